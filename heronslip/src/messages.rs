//! Messages between the client protocol servers, the core, discovery and the worker transports: requests,
//! responses, reports and worker lists. They are independent of any wire format and of the modules that
//! exchange them.
use crate::memory::Reservation;
use heronslip_policy::{DiscoveryState, FunctionId, Micros, Outcome, WorkerState};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// A request or response body, opaque to the core. A transport passes it on as it is, or converts it if the
/// worker uses the other protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Bytes of the platform's protocol.
    Bytes(Vec<u8>),
    /// A JSON body of KServe v2.
    Json(Vec<u8>),
}

impl Payload {
    /// The bytes, without any conversion.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Payload::Bytes(bytes) | Payload::Json(bytes) => bytes,
        }
    }
}

/// Counts a request from its first byte until the core has accepted or answered it: for all clients, so that a
/// graceful shutdown waits for it, and once it is complete for its connection, which waits while the core has
/// much to do.
#[derive(Debug)]
pub struct IncomingGuard {
    all: Arc<AtomicUsize>,
    connection: Option<Arc<AtomicUsize>>,
}

impl IncomingGuard {
    /// Increments the counter until the guard is dropped.
    pub fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        IncomingGuard { all: counter.clone(), connection: None }
    }

    /// Increments the counter of the requests of a connection that wait for the core, too.
    pub fn count_as_queued(&mut self, connection: &Arc<AtomicUsize>) {
        connection.fetch_add(1, Ordering::AcqRel);
        self.connection = Some(connection.clone());
    }
}

impl Drop for IncomingGuard {
    fn drop(&mut self) {
        self.all.fetch_sub(1, Ordering::AcqRel);
        if let Some(connection) = &self.connection {
            connection.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// A complete request of a client.
#[derive(Debug)]
pub struct Request {
    /// The id that the client chose and that workers receive.
    pub wire_id: u64,
    /// Name of its class.
    pub class: String,
    /// Index of its class in the settings.
    pub class_index: usize,
    /// Name of its tenant.
    pub tenant: String,
    /// Index of its tenant in the settings, if they have tenants.
    pub tenant_index: Option<usize>,
    /// The function it calls.
    pub function: FunctionId,
    /// How long the client waits for the response, counted from `received_at`.
    pub wait: Micros,
    /// When its last byte was read.
    pub received_at: Instant,
    /// The idempotency key, required in classes whose duplicates workers drop.
    pub idempotency_key: Option<String>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Memory of one copy of the function, in MB; 0: not stated.
    pub memory_mb: f64,
    /// Calls that one copy runs at the same time; 0: not stated.
    pub lanes: u32,
    /// Usual time to load a copy; 0: not stated.
    pub load_time: Micros,
    /// The body.
    pub payload: Payload,
    /// Bytes reserved for the body in the memory budget of all requests.
    pub reservation: Option<Reservation>,
    /// Counts the request for a graceful shutdown until the core does.
    pub incoming: Option<IncomingGuard>,
}

/// The final response to a request. Each request gets exactly one.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// The body that a worker returned.
    Served(Payload),
    /// Refused: the client may safely retry.
    Refused {
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// Failed: the call may or may not have run.
    Failed,
}

/// The client connection that a request arrived on and that its response is sent to.
pub trait Client: Send + Sync {
    /// Sends the final response to the request with this tag. The tag identifies a request on its connection.
    fn respond(&self, tag: u64, response: Response);
    /// The connection's id, unique in the process.
    fn connection_id(&self) -> u64;
    /// Whether the client has closed the connection, so that nothing must be begun for it any more.
    fn has_left(&self) -> bool;
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The core's number of the request.
    pub request: u64,
    /// Index among the request's attempts, from 0.
    pub attempt: usize,
}

/// How an attempt ended, as its transport saw it.
#[derive(Debug, PartialEq)]
pub struct AttemptReport {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether a copy of the function was already loaded, if the worker reported it.
    pub warm: Option<bool>,
    /// Requests of the same function in flight at the worker, if it reported them.
    pub function_inflight: Option<u32>,
    /// Requests in flight at the worker, if it reported them.
    pub inflight: Option<f64>,
    /// The body, with `Ok`.
    pub payload: Option<Payload>,
}

impl AttemptReport {
    /// Reports an attempt that ended without a reply of the worker.
    pub fn without_reply(outcome: Outcome) -> Self {
        AttemptReport { outcome, warm: None, function_inflight: None, inflight: None, payload: None }
    }
}

/// The protocol that a worker speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerProtocol {
    /// The platform's binary frames.
    Frames,
    /// KServe v2 over HTTP/1.1.
    Kserve,
}

/// One entry of a worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Its name.
    pub id: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its state.
    pub state: WorkerState,
    /// When it started, if that was recently, on the wall clock of whoever listed it; 0: long ago. May only
    /// be compared with other timestamps of the same list.
    pub started_at: Micros,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Its cell, a group of workers that may share their record of idempotency keys.
    pub cell: u64,
    /// The protocol it speaks.
    pub protocol: WorkerProtocol,
}

/// A message to the core.
pub enum Message {
    /// A client sent a request.
    Request {
        /// The request.
        request: Request,
        /// The connection that the response is sent to.
        client: Arc<dyn Client>,
        /// Identifies the request on that connection.
        tag: u64,
    },
    /// The client cancelled a request; it gets no response.
    RequestCancelled {
        /// Id of the client connection.
        connection: u64,
        /// Identifies the request on that connection.
        tag: u64,
    },
    /// A client connection ended; its open requests get no response.
    ClientDisconnected {
        /// Id of the client connection.
        connection: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which attempt.
        key: AttemptKey,
        /// How it ended.
        report: AttemptReport,
    },
    /// A load command or copy query ended.
    LoadEnded {
        /// The core's number of the command.
        command: u64,
        /// How it ended.
        outcome: Outcome,
        /// Copies of the function that are loaded at the worker.
        copies: u32,
    },
    /// A probe ended.
    ProbeEnded {
        /// The core's number of the probe.
        probe: u64,
        /// How it ended.
        outcome: Outcome,
        /// Requests in flight at the worker, if it reported them.
        inflight: Option<f64>,
    },
    /// Whether discovery of the platform's workers is current or lost.
    Discovery(DiscoveryState),
    /// An update of the worker list of one source.
    WorkerList {
        /// The source, identified by the protocol of its workers.
        source: WorkerProtocol,
        /// Whether `workers` replaces all that this source listed before.
        full: bool,
        /// The listed workers.
        workers: Vec<ListedWorker>,
    },
    /// Asks for the core's state: tenants, workers and counts, as JSON.
    Inspect {
        /// Receives the JSON text.
        reply: may::sync::mpsc::Sender<String>,
    },
}
