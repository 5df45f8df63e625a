//! A front end around the decision controller of `heronslip_policy`: servers for the client protocols, the
//! core that owns the controller, transports to the workers, and discovery of the workers.
//!
//! A request goes through these steps: a client protocol server reads it and passes it to the core's queue.
//! The core passes it to the controller and performs the controller's actions. A transport sends each attempt
//! to a worker and reports how it ended. The core sends the final response to the outbox of the client's
//! connection, which writes it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[macro_use]
pub mod log;
pub mod config;
pub mod connection_limiter;
pub mod coop;
pub mod core;
pub mod discovery;
pub mod hang_up;
pub mod http;
pub mod limits;
pub mod memory;
pub mod memory_shares;
pub mod messages;
pub mod net;
pub mod outbox;
pub mod queue;
pub mod response_size;
pub mod ring;
pub mod server;
pub mod shutdown;
pub mod timer;
pub mod worker;

use crate::core::{Core, SharedState};
use crate::messages::{Message, WorkerProtocol};
use config::Config;
use connection_limiter::{ConnectionLimiter, ConnectionPermit};
use discovery::{EventError, ListEvent, Subscriber};
use hang_up::HangUpWatcher;
use may::net::TcpListener;
use memory::MemoryBudget;
use nix::errno::Errno;
use server::validation::RequestRules;
use server::{Acceptor, ServerContext};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// Stack of a coroutine that accepts connections, in bytes.
const ACCEPTOR_STACK: usize = 64 * 1024;

/// Runs a front end until it has been signalled to stop and no request is open.
pub fn run(config: Config, signals: signal_hook::iterator::Signals) -> Result<(), String> {
    let limits = Arc::new(config.limits);
    net::configure_scheduler(&limits);
    timer::start();
    let (queue, inbox) = mpsc::channel();
    let shared = Arc::new(SharedState::default());
    let memory_budget = MemoryBudget::new(limits.buffered_bytes);
    let context = ServerContext {
        core: queue.clone(),
        limits: limits.clone(),
        rules: Arc::new(RequestRules::new(&config.settings, &limits)),
        connection_limiter: ConnectionLimiter::new(&limits, &memory_budget),
        memory_budget,
        hang_ups: HangUpWatcher::default(),
        expected_response: Arc::default(),
        unsent_bytes: Arc::default(),
        shared: shared.clone(),
        incoming_requests: Arc::default(),
        closing: Arc::new(AtomicBool::new(false)),
    };
    context
        .hang_ups
        .start(context.connection_limiter.clone(), queue.clone())
        .map_err(|e| format!("cannot watch client connections: {e}"))?;
    let reply_memory = context.memory_budget.open_account(limits.reply_bytes);
    let reports = worker::ReportSender::new(queue.clone(), reply_memory);
    let core = Core::new(config.settings, config.seed, limits.clone(), inbox, reports, shared);
    // A panic leaves the controller half-changed, and a front end without its core must not continue.
    std::thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || {
            if std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| core.run())).is_err() {
                std::process::abort();
            }
        })
        .map_err(|e| format!("cannot start the core thread: {e}"))?;
    let service_address = Arc::new(discovery::ServiceAddress::new(config.discovery_address));
    let subscriber = Subscriber::new(&limits, queue.clone());
    let subscriber = apply_initial_events(config.initial_events, config.last_initial_event, subscriber);
    let (followed, subscriber_limits, seed) = (service_address.clone(), limits.clone(), config.seed);
    net::spawn(limits.coroutine_stack, move || {
        discovery::follow(&followed, subscriber, &subscriber_limits, seed)
    })
    .map_err(|e| format!("cannot start discovery: {e}"))?;
    let fastcgi = listen(config.listen, &context, "fastcgi", server::fastcgi::serve)?;
    log_listener(&config.name, &fastcgi);
    let mut listeners = vec![fastcgi];
    if let Some(kserve) = config.kserve {
        if let Some(endpoints) = &kserve.endpoints {
            let workers = discovery::parse_endpoints(endpoints)
                .map_err(|e| format!("cannot read the endpoints of KServe v2 workers: {e}"))?;
            let _ = queue.send(Message::WorkerList { source: WorkerProtocol::Kserve, full: true, workers });
        }
        let listener = listen(kserve.listen, &context, "kserve", server::kserve::serve)?;
        log_listener("KServe v2", &listener);
        listeners.push(listener);
        if let Some(admin) = kserve.admin {
            let listener = listen(admin, &context, "admin", server::kserve::serve_admin)?;
            log_listener("administration", &listener);
            listeners.push(listener);
        }
    }
    shutdown::run_until_shutdown(signals, &listeners, &context, &service_address)
}

/// Applies the events from the configuration. If one could not be read, the subscriber starts at event 0, and
/// the discovery service sends the whole list again.
fn apply_initial_events(
    events: Vec<Result<ListEvent, EventError>>, last_event: u64, mut subscriber: Subscriber,
) -> Subscriber {
    let mut all_readable = true;
    for event in events {
        match event {
            Ok(event) => all_readable &= subscriber.apply_initial(event),
            Err(error) => {
                all_readable = false;
                log!("start: skipped an event of the configuration: {error}");
            }
        }
    }
    subscriber.finish_initial(if all_readable { last_event } else { 0 });
    subscriber
}

fn log_listener(name: &str, acceptor: &Acceptor) {
    let address = acceptor.listener.local_addr().map_or("?".to_owned(), |a| a.to_string());
    // heronslip-scale reads this line.
    log!("start: {name} listens on {address}");
}

/// Binds a listener. Retries for a while if descriptors or memory are short, or if the address is still in
/// use by a process that ended just before.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    const MAX_TRIES: u32 = 400;
    const RETRY_DELAY: Duration = Duration::from_millis(20);
    for _ in 1..MAX_TRIES {
        match TcpListener::bind(address) {
            Err(e) if is_transient(&e) => {
                log_limited!("start: cannot listen on {address} yet, retrying: {e}")
            }
            result => return result,
        }
        std::thread::sleep(RETRY_DELAY);
    }
    TcpListener::bind(address)
}

/// Whether a failure to bind may go away by itself.
fn is_transient(error: &std::io::Error) -> bool {
    let error = error.raw_os_error().map(Errno::from_raw);
    let out_of_resources =
        matches!(error, Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM));
    out_of_resources || matches!(error, Some(Errno::EINTR | Errno::EADDRINUSE | Errno::EADDRNOTAVAIL))
}

fn listen(
    address: SocketAddr, context: &ServerContext, name: &'static str,
    serve: fn(net::Socket, &ServerContext, ConnectionPermit),
) -> Result<Acceptor, String> {
    let error = |e: std::io::Error| format!("cannot listen on {address}: {e}");
    let acceptor = Acceptor::new(bind(address).map_err(error)?);
    let (accepting, context) = (acceptor.clone(), context.clone());
    let accept = move || server::accept_connections(&accepting, &context, name, serve);
    net::spawn(ACCEPTOR_STACK, accept).map_err(error)?;
    Ok(acceptor)
}
