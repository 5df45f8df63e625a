//! Servers for the client protocols. Each parses requests, passes them to the core and writes the responses.
pub mod fastcgi;
pub mod kserve;
pub mod validation;

use crate::connection_limiter::{ClientActivity, ConnectionLimiter, ConnectionPermit};
use crate::coop::{pause, Budget, Group};
use crate::core::SharedState;
use crate::hang_up::HangUpWatcher;
use crate::limits::Limits;
use crate::memory::{MemoryBudget, Reservation};
use crate::messages::Message;
use crate::net::{spawn, Socket};
use crate::outbox::{memory_of_response, Outbox};
use crate::response_size::ExpectedResponse;
use may::net::TcpListener;
use nix::errno::Errno;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use validation::RequestRules;

/// Maximum retries to get a permit for a new connection at the limit on client connections.
const MAX_PERMIT_RETRIES: usize = 20;
/// Delay before each of these retries, in which the connections that were told to close can do so.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Delay before accepting again when descriptors or memory are exhausted.
const EXHAUSTED_DELAY: Duration = Duration::from_millis(10);
/// Delay before accepting again after any other error.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(1);
/// How often a connection that is ahead of the core checks whether that has caught up.
const CORE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Memory of a request that the core has besides its body and its response, in bytes: its records in the core,
/// the controller and the transport, its timers and its messages.
const REQUEST_BYTES: usize = 2_112;

/// What every server needs.
#[derive(Clone)]
pub struct ServerContext {
    /// The core's queue.
    pub core: Sender<Message>,
    /// All limits.
    pub limits: Arc<Limits>,
    /// What requests must satisfy.
    pub rules: Arc<RequestRules>,
    /// Memory for the request bodies and unsent responses of all requests.
    pub memory_budget: MemoryBudget,
    /// Limits the client connections of all servers together.
    pub connection_limiter: ConnectionLimiter,
    /// Notices the ends of client connections.
    pub hang_ups: HangUpWatcher,
    /// How large the next responses may be.
    pub expected_response: Arc<ExpectedResponse>,
    /// Bytes of responses that are not yet written.
    pub unsent_bytes: Arc<AtomicUsize>,
    /// Requests that have been read in part, or that the core has not accepted or answered yet.
    pub incoming_requests: Arc<AtomicUsize>,
    /// The core's state.
    pub shared: Arc<SharedState>,
    /// Set when the listeners are about to close.
    pub closing: Arc<AtomicBool>,
}

impl ServerContext {
    /// The sending side of a client connection.
    pub fn new_outbox(&self, stream: Socket, permit: Arc<ConnectionPermit>) -> Outbox {
        Outbox::new(stream, permit, &self.limits, &self.unsent_bytes)
    }

    /// Waits while the core has not accepted what this connection has sent.
    pub fn wait_for_core(&self, activity: &ClientActivity) {
        while activity.is_ahead_of_core(&self.limits) && !activity.has_hung_up() {
            pause(CORE_CHECK_INTERVAL);
        }
    }

    /// Reserves the memory of a request that is passed to the core, and that of its response: a request that
    /// may run must have room for its final response. `read` is what was reserved while it was read, and
    /// `body` the bytes that its body takes. `None` if there is no room.
    pub fn reserve_request(
        &self, activity: &ClientActivity, read: Option<Reservation>, body: usize,
    ) -> Option<(Reservation, Reservation)> {
        let mut reservation = read?;
        // Attempts are encoded with a copy of the body.
        let request = REQUEST_BYTES + 2 * body;
        let response = memory_of_response(self.expected_response.bytes());
        let fits = self.connection_limiter.resize(activity, &mut reservation, request + response);
        fits.then(|| {
            let response_room = reservation.split(response);
            (reservation, response_room)
        })
    }
}

/// A listener and the state of the coroutine that accepts its connections.
#[derive(Clone)]
pub struct Acceptor {
    /// The listener.
    pub listener: Arc<TcpListener>,
    /// Whether the coroutine waits for the next connection.
    waiting: Arc<AtomicBool>,
    /// Whether [`Acceptor::close`] was called.
    closed: Arc<AtomicBool>,
}

impl Acceptor {
    /// Wraps a listener that has accepted nothing yet.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor { listener: Arc::new(listener), waiting: Arc::default(), closed: Arc::default() }
    }

    /// Stops accepting. Connections that have not been accepted yet are reset.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        // Wakes the coroutine that waits in accept. Fails if the coroutine has ended already.
        let _ = socket2::SockRef::from(self.listener.inner()).shutdown(Shutdown::Both);
    }

    /// Whether all connections have been accepted: none waits in the system, and the coroutine handles none.
    pub fn all_accepted(&self) -> bool {
        !self.has_pending() && self.waiting.load(Ordering::Acquire)
    }

    /// Whether a connection waits in the system to be accepted.
    fn has_pending(&self) -> bool {
        let mut listener = [PollFd::new(self.listener.inner().as_fd(), PollFlags::POLLIN)];
        // If the poll fails, no connection counts as waiting.
        poll(&mut listener, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
    }
}

/// Accepts connections until the listener closes. Each connection is served by a coroutine of its own.
pub fn accept_connections(
    acceptor: &Acceptor, context: &ServerContext, server: &'static str,
    serve: fn(Socket, &ServerContext, ConnectionPermit),
) {
    let mut budget = Budget::new(Group::Listeners);
    loop {
        if acceptor.has_pending() {
            budget.record_operation();
        } else {
            budget.record_wait();
        }
        acceptor.waiting.store(true, Ordering::Release);
        let accepted = acceptor.listener.accept();
        acceptor.waiting.store(false, Ordering::Release);
        match accepted {
            Ok((stream, peer)) => {
                // The limit keeps descriptors free for workers and discovery.
                let Some(permit) = acquire_permit(context) else {
                    log_limited!(
                        "{server} {peer}: connection closed: the limit on client connections is reached"
                    );
                    continue;
                };
                let connection_context = context.clone();
                let _ = stream.set_nodelay(true); // without it the connection is only slower
                let serve = move || serve(Socket::new(stream, Group::Clients), &connection_context, permit);
                if let Err(e) = spawn(context.limits.coroutine_stack, serve) {
                    log_limited!("{server} {peer}: connection closed: cannot start a coroutine: {e}");
                }
                // Lets this connection be read before the next is accepted. Otherwise many connections that
                // arrive together would all look silent.
                may::coroutine::yield_now();
            }
            // Errors are transient, also during a shutdown. Only the closing of the listener ends the loop.
            Err(_) if acceptor.closed.load(Ordering::Acquire) => {
                acceptor.waiting.store(true, Ordering::Release);
                return;
            }
            Err(e) if is_exhausted(&e) => {
                log_limited!("{server}: accept failed, retrying: {e}");
                pause(EXHAUSTED_DELAY);
            }
            Err(e) => {
                log_limited!("{server}: accept failed, retrying: {e}");
                pause(ACCEPT_ERROR_DELAY);
            }
        }
    }
}

/// Whether an accept failed because descriptors or memory are exhausted. The connection then still waits, and
/// others may close. Any other error concerns a single connection, or is an interruption.
fn is_exhausted(e: &std::io::Error) -> bool {
    let error = e.raw_os_error().map(Errno::from_raw);
    matches!(error, Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM))
}

/// Acquires a permit, if necessary by closing idle connections. If all connections are in use, the permit is one
/// to refuse requests, if necessary once other refusals have been sent.
fn acquire_permit(context: &ServerContext) -> Option<ConnectionPermit> {
    let limiter = &context.connection_limiter;
    for _ in 0..MAX_PERMIT_RETRIES {
        if let Some(permit) = limiter.acquire() {
            return Some(permit);
        }
        if !limiter.close_idle() {
            if let Some(permit) = limiter.acquire_refusing() {
                return Some(permit);
            }
        }
        pause(PERMIT_RETRY_DELAY);
    }
    limiter.acquire().or_else(|| limiter.acquire_refusing())
}
