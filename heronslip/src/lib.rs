//! The front end round the decision module: fronts parse, the core owns the module, transports carry.
//!
//! The life of a request: a front reads it whole and hands it to the core's queue; the core tells the module and
//! carries out its actions; a transport writes the attempt to a worker and reports how it ended; the core gives
//! the one final answer to the client's outbox, which writes it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[macro_use]
pub mod log;
pub mod config;
pub mod core;
pub mod discovery;
pub mod front;
pub mod http;
pub mod limits;
pub mod messages;
pub mod net;
pub mod ring;
pub mod shutdown;
pub mod worker;

use crate::core::{Core, Shared};
use crate::messages::{Message, Speech};
use config::Config;
use discovery::{EventError, ListEvent, Subscriber};
use front::{Acceptor, FrontContext};
use limits::Budget;
use may::net::TcpListener;
use nix::errno::Errno;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// Runs one front end until it has been told to stop and nothing is open.
pub fn run(config: Config, signals: signal_hook::iterator::Signals) -> Result<(), String> {
    let limits = Arc::new(config.limits);
    net::schedule(&limits);
    let (queue, inbox) = mpsc::channel();
    let shared = Arc::new(Shared::default());
    let context = FrontContext {
        core: queue.clone(),
        limits: limits.clone(),
        budget: Budget::new(limits.held_bytes),
        permits: net::Permits::new(limits.client_connections),
        unsent: Arc::default(),
        shared: shared.clone(),
        reading: Arc::default(),
        closing: Arc::new(AtomicBool::new(false)),
    };
    let reports = worker::ReportSender(queue.clone());
    let core = Core::new(config.settings, config.seed, limits.clone(), inbox, reports, shared);
    // The module would be half-changed after a panic: a front end without its core must not go on.
    std::thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || {
            if std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| core.run())).is_err() {
                std::process::abort();
            }
        })
        .map_err(|e| format!("core thread: {e}"))?;
    let board = Arc::new(discovery::ServiceAddress::new(config.board));
    let follower = known(config.known, config.known_to, Subscriber::new(&limits, queue.clone()));
    let (own, within, seed) = (board.clone(), limits.clone(), config.seed);
    net::spawn(limits.stack, move || discovery::follow(&own, follower, &within, seed))
        .map_err(|e| format!("board: {e}"))?;
    let main = listen(config.listen, &context, "fastcgi", front::fastcgi::serve)?;
    announce(&config.name, &main);
    let mut listeners = vec![main];
    if let Some(kserve) = config.kserve {
        if let Some(endpoints) = &kserve.endpoints {
            let members = discovery::parse_endpoints(endpoints).map_err(|e| format!("endpoints: {e}"))?;
            let _ = queue.send(Message::Members { source: Speech::Kserve, full: true, members });
        }
        let front = listen(kserve.listen, &context, "kserve", front::kserve::serve)?;
        announce("KServe v2", &front);
        listeners.push(front);
        if let Some(admin) = kserve.admin {
            let front = listen(admin, &context, "admin", front::kserve::serve_admin)?;
            announce("administration", &front);
            listeners.push(front);
        }
    }
    shutdown::wait(signals, &listeners, &context, &board)
}

/// Takes over the events that the configuration tells. What could not be read is asked for again: the board tells
/// all it knows to whoever knows nothing.
fn known(events: Vec<Result<ListEvent, EventError>>, to: u64, mut follower: Subscriber) -> Subscriber {
    let mut sound = true;
    for event in events {
        match event {
            Ok(event) => sound &= follower.apply_configured(event),
            Err(why) => {
                sound = false;
                log!("start: known event skipped: {why}");
            }
        }
    }
    follower.finish_configured(if sound { to } else { 0 });
    follower
}

fn announce(name: &str, acceptor: &Acceptor) {
    let address = acceptor.listener.local_addr().map_or("?".to_owned(), |a| a.to_string());
    log!("start: {name} listens on {address}");
}

/// Binds a listener, and tries again for a while: descriptors and memory may be short for a moment, and the address
/// may still be held by the process that ended before this one.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    const TRIES: u32 = 400;
    const PAUSE: Duration = Duration::from_millis(20);
    for _ in 1..TRIES {
        match TcpListener::bind(address) {
            Err(e) if is_momentary(&e) => note!("start: {address}: {e}"),
            bound => return bound,
        }
        std::thread::sleep(PAUSE);
    }
    TcpListener::bind(address)
}

/// Whether a failure to bind may pass by itself.
fn is_momentary(error: &std::io::Error) -> bool {
    let error = error.raw_os_error().map(Errno::from_raw);
    let short = matches!(error, Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM));
    short || matches!(error, Some(Errno::EINTR | Errno::EADDRINUSE | Errno::EADDRNOTAVAIL))
}

fn listen(
    address: SocketAddr, context: &FrontContext, name: &'static str,
    serve: fn(net::Socket, &FrontContext, net::Permit),
) -> Result<Acceptor, String> {
    let listener = bind(address).map_err(|e| format!("{address}: {e}"))?;
    let (acceptor, context) = (Acceptor::new(listener), context.clone());
    let inside = acceptor.clone();
    let accept = move || front::accept(&inside, &context, name, serve);
    net::spawn(64 * 1024, accept).map_err(|e| format!("{address}: {e}"))?;
    Ok(acceptor)
}
