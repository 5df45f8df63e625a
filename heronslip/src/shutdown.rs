//! Signal handling and graceful shutdown. SIGHUP reloads the discovery service's address, also during a
//! shutdown. After SIGTERM or SIGINT the process serves requests for a short while and then exits once
//! all of them are answered and all responses are written.
use crate::config::Config;
use crate::discovery::ServiceAddress;
use crate::server::{Acceptor, ServerContext};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between checks for open requests, or for connections that wait to be accepted.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before a configuration that could not be read is read again.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Handles signals until SIGTERM or SIGINT, then shuts down gracefully. Returns when the process may exit;
/// further signals to stop do not shorten the shutdown.
pub fn run_until_shutdown(
    mut signals: Signals, listeners: &[Acceptor], context: &ServerContext,
    service_address: &Arc<ServiceAddress>,
) -> Result<(), String> {
    let (stop, stopped) = channel();
    let service_address = service_address.clone();
    // Signals have a thread of their own: open requests may take as long as the longest deadline after
    // SIGTERM, and the discovery service may move meanwhile.
    let handle_signals = move || loop {
        let mut reloaded = true;
        for signal in signals.wait() {
            if signal == SIGHUP {
                reloaded = reload(&service_address);
            } else {
                let _ = stop.send(()); // only the first is received; fails once the process exits
            }
        }
        while !reloaded {
            std::thread::sleep(RELOAD_RETRY_DELAY);
            if signals.pending().any(|signal| signal != SIGHUP) {
                let _ = stop.send(());
            }
            reloaded = reload(&service_address);
        }
    };
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(handle_signals)
        .map_err(|e| format!("cannot start the signal thread: {e}"))?;
    stopped.recv().map_err(|_| "the signal thread ended")?;
    let limits = &context.limits;
    log!("stop: signal received, closing the listeners in {} ms", limits.shutdown_listen_time.as_millis());
    // Clients go on sending for a while; requests that arrive in this time are still served.
    std::thread::sleep(limits.shutdown_serve_time);
    context.shared.refuses_requests.store(true, Ordering::Release);
    std::thread::sleep(limits.shutdown_listen_time.saturating_sub(limits.shutdown_serve_time));
    log!("stop: closing the listeners");
    close_listeners(listeners, context);
    let start = Instant::now();
    let mut idle_checks = 0;
    // Two idle checks in a row: a single one may miss a request or response that moves from one counter to
    // another between the loads.
    while idle_checks < 2 && start.elapsed() < limits.shutdown_timeout {
        let open = context.shared.open_requests.load(Ordering::Acquire)
            + context.unsent_bytes.load(Ordering::Acquire);
        // A request that has been read in part is soon complete, or its connection closes: see
        // `Limits::request_read_timeout`.
        let open = open + context.incoming_requests.load(Ordering::Acquire);
        idle_checks = if open == 0 { idle_checks + 1 } else { 0 };
        std::thread::sleep(POLL_INTERVAL);
    }
    log!("stop: exiting with {} open requests", context.shared.open_requests.load(Ordering::Acquire));
    Ok(())
}

/// Reads the discovery service's address again, and returns whether that succeeded. If the file is missing or
/// only partly written, the old address stays in use and the caller retries.
fn reload(service_address: &ServiceAddress) -> bool {
    match Config::read_discovery_address() {
        Ok(address) => {
            log!("reload: the discovery service is at {address}");
            service_address.set(address);
            true
        }
        Err(error) => {
            log_limited!("reload: failed, keeping the old configuration and retrying: {error}");
            false
        }
    }
}

/// Closes the listeners once they have accepted all waiting connections. A listener that closes earlier
/// resets those connections, and the requests sent on them are lost.
pub fn close_listeners(listeners: &[Acceptor], context: &ServerContext) {
    context.closing.store(true, Ordering::Release);
    let start = Instant::now();
    while !listeners.iter().all(Acceptor::all_accepted)
        && start.elapsed() < context.limits.shutdown_listen_time
    {
        std::thread::sleep(POLL_INTERVAL);
    }
    listeners.iter().for_each(Acceptor::close);
}

/// Registers the signal handlers. Called first, so that no signal is missed or ends the process.
pub fn register_signals() -> Result<Signals, String> {
    Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|e| format!("cannot register signal handlers: {e}"))
}
