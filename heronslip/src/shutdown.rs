//! Signals. SIGHUP has the configuration read again, to the last; SIGTERM lets the program go on for a while,
//! then it ends once nothing is open.
use crate::config::Config;
use crate::discovery::ServiceAddress;
use crate::front::{Acceptor, FrontContext};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(10);
/// A configuration that could not be read is read again after this.
const RELOAD_RETRY: Duration = Duration::from_millis(100);

/// Serves SIGHUP until SIGTERM or SIGINT comes, then waits for the end of what is open. Returns when the
/// program may exit.
pub fn wait(
    mut signals: Signals, listeners: &[Acceptor], context: &FrontContext, board: &Arc<ServiceAddress>,
) -> Result<(), String> {
    let (stop, stopped) = channel();
    let board = board.clone();
    // A thread of their own: what is open at SIGTERM may take as long as the longest deadline, and the board
    // may move meanwhile.
    let serve = move || loop {
        let mut read = true;
        for signal in signals.wait() {
            if signal == SIGHUP {
                read = reload(&board);
            } else {
                let _ = stop.send(()); // told before
            }
        }
        while !read {
            std::thread::sleep(RELOAD_RETRY);
            if signals.pending().any(|signal| signal != SIGHUP) {
                let _ = stop.send(());
            }
            read = reload(&board);
        }
    };
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(serve)
        .map_err(|e| format!("signals thread: {e}"))?;
    stopped.recv().map_err(|_| "the signals' thread ended")?;
    let limits = &context.limits;
    log!("stop: signal; listening for {} ms more", limits.stop_listening.as_millis());
    // The front goes on sending for a while: what comes in that time is owed an answer like any other.
    std::thread::sleep(limits.stop_serving);
    context.shared.ending.store(true, Ordering::Release);
    std::thread::sleep(limits.stop_listening.saturating_sub(limits.stop_serving));
    log!("stop: closing the listeners");
    close(listeners, context);
    let since = Instant::now();
    let mut quiet = 0;
    // Twice quiet, so that an answer on its way from core to writer is counted by one of them.
    while quiet < 2 && since.elapsed() < limits.stop_at_last {
        let open = context.shared.open.load(Ordering::Acquire) + context.unsent.load(Ordering::Acquire);
        // What has come in part by now comes whole soon, or its connection closes: see `Limits::request_read`.
        let open = open + context.reading.load(Ordering::Acquire);
        quiet = if open == 0 { quiet + 1 } else { 0 };
        std::thread::sleep(LOOK);
    }
    log!("stop: done, {} requests open", context.shared.open.load(Ordering::Acquire));
    Ok(())
}

/// Reads the board's address again; whether it could. Guards against a file that is missing or half written: what
/// held before goes on to hold, and the file is read again until it can be.
fn reload(board: &ServiceAddress) -> bool {
    match Config::board_now() {
        Ok(address) => {
            log!("reload: the board is at {address}");
            board.set(address);
            true
        }
        Err(why) => {
            note!("reload: nothing changed yet: {why}");
            false
        }
    }
}

/// Closes the listeners once they have taken in what has connected. Guards connections that wait to be
/// accepted: a listener that is shut resets them, and what was sent there is lost.
pub fn close(listeners: &[Acceptor], context: &FrontContext) {
    context.closing.store(true, Ordering::Release);
    let since = Instant::now();
    while !listeners.iter().all(Acceptor::is_empty) && since.elapsed() < context.limits.stop_listening {
        std::thread::sleep(LOOK);
    }
    listeners.iter().for_each(Acceptor::close);
}

/// Registers the signals; called before anything else runs, so that none is missed or ends the program.
pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))
}
