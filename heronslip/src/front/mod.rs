//! The fronts: each parses its protocol, hands neutral requests to the core and writes the one final answer.
pub mod fastcgi;
pub mod kserve;

use crate::core::Shared;
use crate::limits::{Budget, Limits};
use crate::messages::Message;
use crate::net::{spawn, Outbox, Permit, Permits, Socket};
use may::net::TcpListener;
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

const PERMIT_TRIES: usize = 20;
/// After a want of descriptors or memory, before the next try to accept.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(10);
/// After any other error.
const FAILED_PAUSE: Duration = Duration::from_millis(1);

/// What every front needs.
#[derive(Clone)]
pub struct FrontContext {
    /// The core's queue.
    pub core: Sender<Message>,
    /// All limits.
    pub limits: Arc<Limits>,
    /// Bytes held over all requests.
    pub budget: Budget,
    /// Client connections over all fronts.
    pub permits: Permits,
    /// Bytes of answers not yet written.
    pub unsent: Arc<AtomicUsize>,
    /// Requests of which a part has been read.
    pub reading: Arc<AtomicUsize>,
    /// What the core shows.
    pub shared: Arc<Shared>,
    /// Set once the listeners are to close.
    pub closing: Arc<AtomicBool>,
}

impl FrontContext {
    /// Starts the writer of a client connection.
    pub fn outbox(&self, stream: Socket, permit: Arc<Permit>) -> std::io::Result<Outbox> {
        Outbox::start(stream, permit, &self.limits, &self.budget, &self.unsent)
    }
}

/// A listener, and whether its coroutine waits for the next connection.
#[derive(Clone)]
pub struct Acceptor {
    /// The listener.
    pub listener: Arc<TcpListener>,
    waits: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
}

impl Acceptor {
    /// Nothing has been accepted yet.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor { listener: Arc::new(listener), waits: Arc::default(), closed: Arc::default() }
    }

    /// Ends accepting: what has not been taken in by now is reset.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        // Wakes the coroutine that waits in accept; fails where it has ended already.
        let _ = socket2::SockRef::from(self.listener.inner()).shutdown(Shutdown::Both);
    }

    /// Whether all that has connected has been taken in: the system has none waiting, and none is in hand.
    pub fn is_empty(&self) -> bool {
        let mut listener = [PollFd::new(self.listener.inner().as_fd(), PollFlags::POLLIN)];
        // Where the system does not tell, nothing is known to wait.
        let waiting = poll(&mut listener, PollTimeout::ZERO).is_ok_and(|ready| ready > 0);
        !waiting && self.waits.load(Ordering::Acquire)
    }
}

/// Accepts connections until the listeners close, each served by a coroutine of its own.
pub fn accept(
    acceptor: &Acceptor, context: &FrontContext, front: &'static str,
    serve: fn(Socket, &FrontContext, Permit),
) {
    loop {
        acceptor.waits.store(true, Ordering::Release);
        let accepted = acceptor.listener.accept();
        acceptor.waits.store(false, Ordering::Release);
        match accepted {
            Ok((stream, peer)) => {
                // Guards the descriptors that workers and the board need.
                let Some(permit) = permit(context) else {
                    note!("{front}: connection of {peer} closed, all client connections are taken");
                    continue;
                };
                let inside = context.clone();
                let _ = stream.set_nodelay(true); // a connection without it is only slower
                if let Err(e) =
                    spawn(context.limits.stack, move || serve(Socket::new(stream), &inside, permit))
                {
                    note!("{front}: connection of {peer} closed: {e}");
                }
                // Lets the connection be read before the next is taken: many that come at once would else
                // all stand here as if they had nothing to say.
                may::coroutine::yield_now();
            }
            // Errors come and go, also while the program is ending: only the listener's own end is one.
            Err(_) if acceptor.closed.load(Ordering::Acquire) => {
                acceptor.waits.store(true, Ordering::Release);
                return;
            }
            Err(e) if exhausted(&e) => {
                note!("{front}: accept: {e}");
                may::coroutine::sleep(EXHAUSTED_PAUSE);
            }
            Err(e) => {
                note!("{front}: accept: {e}");
                may::coroutine::sleep(FAILED_PAUSE);
            }
        }
    }
}

/// Whether an accept failed for want of descriptors or memory: the connection still waits, others may leave. Any
/// other error is that of one connection, or an interruption.
fn exhausted(e: &std::io::Error) -> bool {
    let error = e.raw_os_error().map(Errno::from_raw);
    matches!(error, Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM))
}

/// A permit, if need be one that others give up.
fn permit(context: &FrontContext) -> Option<Permit> {
    let mut permit = context.permits.take();
    for _ in 0..PERMIT_TRIES {
        if permit.is_some() || !context.permits.clear() {
            break;
        }
        may::coroutine::sleep(Duration::from_millis(1)); // those that were told to close do so meanwhile
        permit = context.permits.take();
    }
    permit
}

/// A request's figures as a client told them; 0 where it did not.
#[derive(Default)]
pub struct Figures {
    /// Its wait, in ms.
    pub wait_ms: f64,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Calls that a copy runs at a time.
    pub lanes: f64,
    /// Usual time of a load, in ms.
    pub load_ms: f64,
}

impl Figures {
    /// Whether they can be used. Guards clock and module against what is not a number, negative or huge.
    pub fn check(&self, limits: &Limits) -> Result<(), &'static str> {
        let longest = limits.longest_wait as f64 / 1000.0;
        let fits = |value: f64, most: f64| (0.0..=most).contains(&value);
        if !fits(self.wait_ms, longest) {
            return Err("the wait is out of range");
        }
        let fit = fits(self.memory_mb, limits.memory_mb) && fits(self.load_ms, longest);
        (fit && fits(self.lanes, limits.lanes)).then_some(()).ok_or("a figure is out of range")
    }
}

/// Whether an idempotency key can travel on every wire: no separator, no blank.
pub fn token_fits(token: &str) -> bool {
    !token.is_empty()
        && token.len() <= 128
        && token.bytes().all(|b| b.is_ascii_graphic() && !b",=;\"\\".contains(&b))
}

/// The function that 16 hex digits name.
pub fn function(name: &str) -> Option<u64> {
    (name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(name, 16).ok())
        .flatten()
}
