//! All sizes, counts and times of the process, computed once at the start.
use crate::memory_shares::{MemoryShares, GUARANTEED_BYTES};
use heronslip_policy::{Micros, Settings};
use std::time::Duration;

/// Descriptors for other uses than connections to clients and workers: listeners, signals, the scheduler, the
/// log, the discovery connection, and some room for connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 32;

/// Sizes, counts and times.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum bytes of a request's body.
    pub max_body: usize,
    /// Maximum bytes of the parameters or headers of a request, or of the headers of an HTTP response.
    pub max_head: usize,
    /// Maximum bytes of a worker's reply.
    pub max_reply: usize,
    /// Maximum open requests on one client connection.
    pub requests_per_connection: usize,
    /// Maximum client connections over all listeners.
    pub client_connections: usize,
    /// Maximum connections to workers.
    pub worker_connections: usize,
    /// Maximum memory of requests and unsent responses over all client connections, in bytes, beyond what
    /// `guaranteed_per_connection` allows.
    pub buffered_bytes: usize,
    /// Memory in bytes that the requests and unsent responses of each client connection can always take.
    pub guaranteed_per_connection: usize,
    /// Memory in bytes that replies of workers that have arrived in part can always take together.
    pub reply_bytes: usize,
    /// Maximum memory of the functions that the controller remembers, in bytes.
    pub function_bytes: usize,
    /// Maximum memory of the ids that are remembered of requests that have ended, in bytes.
    pub wire_id_bytes: usize,
    /// Maximum memory of direct responses that are unsent on one client connection, in bytes.
    pub max_unsent_per_connection: usize,
    /// Capacity of a client connection's ring buffers, in bytes.
    pub client_buffer: usize,
    /// Capacity of a worker connection's ring buffers, in bytes.
    pub worker_buffer: usize,
    /// A client connection without a valid request closes after this time.
    pub first_request_timeout: Duration,
    /// Maximum time from a request's first byte to its last.
    pub request_read_timeout: Duration,
    /// A client connection without an open request closes after this time. Common clients close after 4 s.
    pub client_idle_timeout: Duration,
    /// How often a client connection checks these timeouts.
    pub client_check_interval: Duration,
    /// Maximum bytes read and discarded of rejected requests before their connection closes.
    pub max_discarded: usize,
    /// Maximum wait that a client may state.
    pub max_wait: Micros,
    /// Maximum memory in MB that a client may state for a copy.
    pub max_copy_memory_mb: f64,
    /// Maximum lanes that a client may state for a copy.
    pub max_copy_lanes: f64,
    /// Stack of a coroutine, in bytes.
    pub coroutine_stack: usize,
    /// Maximum part of a client's wait that is kept for sending the response and hidden from the controller.
    pub max_response_margin: Micros,
    /// Wait of a KServe v2 client that states none.
    pub default_wait: Micros,
    /// Maximum connections to one KServe v2 worker. Each carries one exchange at a time.
    pub connections_per_kserve_worker: usize,
    /// Maximum concurrent attempts on one worker connection of the platform's protocol.
    pub streams_per_connection: usize,
    /// Maximum time to establish a connection to a worker.
    pub connect_timeout: Duration,
    /// An idle worker connection closes after this time, before the worker closes it.
    pub worker_idle_timeout: Duration,
    /// A connection on which a write makes no progress for this time is closed.
    pub write_stall_timeout: Duration,
    /// A connection on which a partly read reply makes no progress for this time is closed.
    pub reply_stall_timeout: Duration,
    /// A worker connection with open exchanges that is silent for this time gets a liveness check message.
    pub liveness_check_after: Duration,
    /// A worker connection without a reply to a liveness check within this time is closed.
    pub liveness_check_timeout: Duration,
    /// How often the core looks for worker connections that need a liveness check.
    pub liveness_poll_interval: Micros,
    /// How often a stalled write looks for cancellations and drains.
    pub write_check_interval: Duration,
    /// Timeout of a probe.
    pub probe_timeout: Micros,
    /// Timeout of a load command or copy query.
    pub command_timeout: Micros,
    /// The discovery connection is renewed after this silence; the service sends a comment each second.
    pub discovery_silence_timeout: Duration,
    /// How often a wait for the discovery service checks whether its address has changed.
    pub discovery_check_interval: Duration,
    /// Upper bound of the random delay before the first reconnection to the discovery service.
    pub discovery_initial_backoff: Duration,
    /// Upper bound of the random delay before later reconnections. The platform counts all list changes as
    /// received 2 s after a connection loss.
    pub discovery_max_backoff: Duration,
    /// Maximum bytes of one entry of the discovery service's worker list.
    pub discovery_max_entry_bytes: usize,
    /// Maximum entries of one event of the discovery service.
    pub discovery_max_entries: usize,
    /// Requests that arrive later than this after SIGTERM are refused at once. Clients stop sending new
    /// requests before. The process may be killed soon after, and what arrives later than 0.7 s counts as
    /// lost with it.
    pub shutdown_serve_time: Duration,
    /// The listeners close this long after SIGTERM.
    pub shutdown_listen_time: Duration,
    /// Maximum time from closing the listeners to the end of the process.
    pub shutdown_timeout: Duration,
}

impl Limits {
    /// Computes the limits from the platform's limits on memory and descriptors and from the settings.
    pub fn new(memory_mb: u64, sockets: u64, settings: &Settings) -> Self {
        // Each connection takes one descriptor. Common clients use at most a third of all, and idle
        // connections may be open besides. The rest is for workers, of which there may be many, and for this
        // process itself.
        let sockets = sockets.clamp(64, 1 << 20) as usize;
        let memory = memory_mb.clamp(32, 1 << 20) as usize * 1024 * 1024;
        let duration_or = |configured: Micros, default_ms: u64| {
            Duration::from_micros(if configured > 0 { configured } else { default_ms * 1000 })
        };
        let longest_client_timeout = settings.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0);
        let shares = MemoryShares::new(memory, sockets * 2 / 5);
        let client_connections = shares.client_connections;
        let idle = duration_or(settings.connection_idle_timeout, 15_000);
        let connect_timeout = duration_or(settings.connect_timeout, 250);
        let liveness_check_timeout = Duration::from_millis(200);
        Limits {
            max_body: 16 * 1024,
            max_head: 16 * 1024,
            max_reply: 1024 * 1024,
            requests_per_connection: 32,
            client_connections,
            worker_connections: (sockets - sockets * 2 / 5 - RESERVED_DESCRIPTORS)
                .min(shares.worker_connections),
            buffered_bytes: shares.buffered_bytes,
            guaranteed_per_connection: GUARANTEED_BYTES,
            reply_bytes: shares.reply_bytes,
            function_bytes: shares.function_bytes,
            wire_id_bytes: shares.wire_id_bytes,
            max_unsent_per_connection: 1024 * 1024,
            client_buffer: 8 * 1024,
            worker_buffer: 64 * 1024,
            // A silent connection must be closed within 3 s.
            first_request_timeout: Duration::from_millis(2_000),
            request_read_timeout: Duration::from_millis(2_000),
            client_idle_timeout: Duration::from_millis(5_000),
            client_check_interval: Duration::from_millis(250),
            max_discarded: 64 * 1024,
            max_wait: longest_client_timeout.max(600_000_000),
            max_copy_memory_mb: 1e6,
            max_copy_lanes: 1024.0,
            coroutine_stack: 64 * 1024,
            streams_per_connection: if settings.streams_per_connection > 0 {
                settings.streams_per_connection as usize
            } else {
                100
            },
            max_response_margin: 80_000,
            default_wait: 4_000_000,
            connections_per_kserve_worker: (sockets / 128).max(2),
            connect_timeout,
            worker_idle_timeout: idle.saturating_sub(idle / 5),
            write_stall_timeout: Duration::from_secs(5),
            reply_stall_timeout: Duration::from_millis(200),
            liveness_check_after: liveness_check_after(settings),
            liveness_check_timeout,
            liveness_poll_interval: 50_000,
            write_check_interval: Duration::from_millis(50),
            // A probe may first need a new connection; its reply takes as long as that to a liveness check.
            probe_timeout: (connect_timeout + liveness_check_timeout).as_micros() as Micros,
            command_timeout: if settings.command_timeout > 0 { settings.command_timeout } else { 10_000_000 },
            // The platform counts the list changes of a silent discovery service as received after 4 s.
            discovery_silence_timeout: Duration::from_millis(2_500),
            discovery_check_interval: Duration::from_millis(50),
            discovery_initial_backoff: Duration::from_millis(100),
            discovery_max_backoff: Duration::from_millis(1_000),
            discovery_max_entry_bytes: 4 * 1024,
            discovery_max_entries: memory / 1024, // the state kept of one worker takes more than 1 KiB
            shutdown_serve_time: Duration::from_millis(650),
            shutdown_listen_time: Duration::from_millis(700),
            // A request accepted just before the listeners close may take as long as any other.
            shutdown_timeout: duration_or(longest_client_timeout, 10_000).max(Duration::from_secs(3)),
        }
    }
}

impl Limits {
    /// The part of a client's wait that is reserved for sending the response: at most an eighth, so that most
    /// of a short wait is left to the worker.
    pub fn response_margin(&self, wait: Micros) -> Micros {
        self.max_response_margin.min(wait / 8)
    }
}

/// Silence after which a worker connection gets a liveness check.
///
/// Workers answer one within a few ms under load too, but each costs as much as a probe. Where that is more
/// than a hundredth of a call's worth, the check is sent only when the call on the connection is far beyond
/// its latency target: with many front ends a connection carries one call at a time and is silent whenever
/// that call takes long.
fn liveness_check_after(settings: &Settings) -> Duration {
    let default = Duration::from_millis(200);
    let late =
        settings.classes.iter().map(|c| 2 * c.latency_target).max().map_or(default, Duration::from_micros);
    if settings.probe_cost > 0.01 {
        late.max(default)
    } else {
        default
    }
}
