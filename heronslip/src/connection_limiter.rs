//! The limit on client connections, and what each of them is doing.
use crate::limits::Limits;
use crate::memory::{Account, MemoryBudget, Reservation};
use crate::net::{next_connection_id, Socket};
use crate::outbox::Outbox;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// When the limit on client connections is reached, this fraction (1/16) of the limit is closed at a time.
const IDLE_CLOSE_DIVISOR: usize = 16;

/// Beyond the limit this fraction (1/32) of it, and one more, may be connections that have been told to close but
/// have not yet, or that close once a request on them has been refused: a client whose connection closes unread
/// would get no response at all.
const CLOSING_DIVISOR: usize = 32;

/// A connection whose requests are refused is not closed for another one sooner than this after it was accepted,
/// so that its client's request can arrive.
const MIN_REFUSING_TIME: Duration = Duration::from_millis(50);

/// A connection whose requests are refused closes if no request has arrived after this time: it takes the place
/// of others that are to be refused.
const MAX_REFUSING_IDLE: Duration = Duration::from_millis(250);

/// Limits the client connections of all listeners together.
#[derive(Clone)]
pub struct ConnectionLimiter {
    connections: Arc<Mutex<BTreeMap<u64, Arc<ClientActivity>>>>,
    /// Connections that the limiter has told to close, or that refuse requests.
    closing: Arc<AtomicUsize>,
    limit: usize,
    memory_budget: MemoryBudget,
    guaranteed_memory: usize,
}

/// A connection that can give up the requests that it has read in part.
pub trait RejectIncomplete: Send + Sync {
    /// Rejects all requests that have been read in part, and releases their memory.
    fn reject_incomplete(&self);
}

/// What a client connection is doing.
#[derive(Clone, Copy)]
struct Activity {
    /// Requests without a response.
    open_requests: usize,
    /// When the last request was answered or aborted; before that, when the client connected.
    idle_since: Instant,
    /// Whether a request on it was served or refused. Other connections may never carry a valid request.
    had_valid_request: bool,
    /// Whether a request has been read in part.
    reading_request: bool,
}

/// The activity of one client connection, by which the limiter chooses the connections to close.
pub struct ClientActivity {
    /// The connection's id, unique in the process.
    pub connection_id: u64,
    /// Memory of its requests and unsent responses.
    pub account: Arc<Account>,
    /// Whether its requests are refused, because the limit on connections is reached.
    pub refuses_requests: bool,
    /// Its requests that wait for the core.
    pub queued_requests: Arc<AtomicUsize>,
    /// Memory of requests that have been read in part, in bytes.
    incomplete_bytes: AtomicUsize,
    /// Whether the connection counts as one that closes.
    is_closing: AtomicBool,
    /// Whether the client has closed the connection.
    hung_up: AtomicBool,
    state: Mutex<(Activity, Option<ServerSide>)>,
}

/// The server's side of a connection, through which the limiter can act on it.
struct ServerSide {
    outbox: Outbox,
    requests: Weak<dyn RejectIncomplete>,
}

impl ClientActivity {
    fn update(&self, update: impl FnOnce(&mut Activity)) {
        if let Ok(mut state) = self.state.lock() {
            update(&mut state.0);
        }
    }

    /// Sets the server's side, through which the limiter can close the connection, or have it give up the
    /// requests that it has read in part.
    pub fn set_server_side(&self, outbox: &Outbox, requests: Weak<dyn RejectIncomplete>) {
        if let Ok(mut state) = self.state.lock() {
            state.1 = Some(ServerSide { outbox: outbox.clone(), requests });
        }
    }

    /// Whether the client is known to have closed the connection. What is unread of it is of no use any more.
    pub fn has_hung_up(&self) -> bool {
        self.hung_up.load(Ordering::Acquire)
    }

    /// Whether more of its requests wait for the core than it may have open: those that were cancelled do so too.
    /// It must not be read on until the core has caught up.
    pub fn is_ahead_of_core(&self, limits: &Limits) -> bool {
        self.queued_requests.load(Ordering::Acquire) >= limits.requests_per_connection
    }

    /// Looks whether the client has closed the connection, however much of what it sent is unread.
    pub fn check_hang_up(&self, stream: &Socket) -> bool {
        if !self.has_hung_up() && stream.has_hung_up() {
            self.hung_up.store(true, Ordering::Release);
        }
        self.has_hung_up()
    }

    /// Records the memory of the requests that have been read in part, in bytes.
    pub fn set_incomplete_bytes(&self, bytes: usize) {
        self.incomplete_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Records that a request was passed to the core.
    pub fn request_opened(&self) {
        self.update(|activity| activity.open_requests += 1);
    }

    /// Records that a request has ended; `valid` if it was one that workers could serve.
    pub fn request_ended(&self, valid: bool) {
        self.update(|activity| {
            activity.open_requests = activity.open_requests.saturating_sub(1);
            activity.idle_since = Instant::now();
            activity.had_valid_request |= valid;
        });
    }

    /// Records whether a request has been read in part.
    pub fn set_reading_request(&self, reading: bool) {
        self.update(|activity| activity.reading_request = reading);
    }

    /// Records that a request was answered without the core.
    pub fn answered_directly(&self) {
        self.update(|activity| activity.idle_since = Instant::now());
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.state.lock().is_ok_and(|s| s.0.open_requests == 0)
    }

    /// Whether the connection has been idle for so long that it should close. This frees the descriptors and
    /// memory of connections that never send a request, or send one and stay open. Common clients close
    /// sooner.
    pub fn is_expired(&self, limits: &Limits) -> bool {
        let Ok(state) = self.state.lock() else { return true };
        let Activity { open_requests, idle_since, had_valid_request, .. } = state.0;
        let timeout = match had_valid_request {
            _ if self.refuses_requests => MAX_REFUSING_IDLE,
            true => limits.client_idle_timeout,
            false => limits.first_request_timeout,
        };
        open_requests == 0 && idle_since.elapsed() > timeout
    }
}

impl ConnectionLimiter {
    /// A limiter of the client connections, whose requests and responses draw on this budget.
    pub fn new(limits: &Limits, memory_budget: &MemoryBudget) -> Self {
        ConnectionLimiter {
            connections: Arc::default(),
            closing: Arc::default(),
            limit: limits.client_connections,
            memory_budget: memory_budget.clone(),
            guaranteed_memory: limits.guaranteed_per_connection,
        }
    }

    /// A permit for a new connection; `None` at the limit.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        // Those that close make way at once. Otherwise a new connection would wait for the readers of others,
        // and those behind it for the new one.
        let closing = self.closing.load(Ordering::Acquire).min(self.max_closing());
        self.acquire_below(self.limit + closing, false)
    }

    /// A permit for a new connection whose requests are refused; `None` if too many others close, too.
    pub fn acquire_refusing(&self) -> Option<ConnectionPermit> {
        self.acquire_below(self.limit + self.max_closing(), true)
    }

    /// Connections that may be open beyond the limit, while they close.
    fn max_closing(&self) -> usize {
        self.limit / CLOSING_DIVISOR + 1
    }

    fn acquire_below(&self, limit: usize, refuses_requests: bool) -> Option<ConnectionPermit> {
        let mut connections = self.connections.lock().ok()?;
        if connections.len() >= limit {
            return None;
        }
        if refuses_requests {
            self.closing.fetch_add(1, Ordering::AcqRel);
        }
        let activity = Activity {
            open_requests: 0,
            idle_since: Instant::now(),
            had_valid_request: false,
            reading_request: false,
        };
        let state = Mutex::new((activity, None));
        let activity = Arc::new(ClientActivity {
            connection_id: next_connection_id(),
            account: self.memory_budget.open_account(self.guaranteed_memory),
            refuses_requests,
            queued_requests: Arc::default(),
            incomplete_bytes: AtomicUsize::new(0),
            is_closing: AtomicBool::new(refuses_requests),
            hung_up: AtomicBool::new(false),
            state,
        });
        connections.insert(activity.connection_id, activity.clone());
        Some(ConnectionPermit { limiter: self.clone(), activity })
    }

    /// Closes some of the idle connections: first those that never carried a valid request, then those idle
    /// longest. This keeps hundreds of silent connections from locking out common clients. Returns whether a
    /// permit is free or may soon be.
    pub fn close_idle(&self) -> bool {
        let Ok(connections) = self.connections.lock() else { return false };
        // It is not known yet whether a connection that was only just accepted sends a request.
        let is_new = |a: &Arc<ClientActivity>| a.state.lock().is_ok_and(|s| s.1.is_none());
        let any_new = connections.values().any(is_new);
        let idle = |a: &Arc<ClientActivity>| {
            let state = a.state.lock().ok()?;
            let activity = state.0;
            let awaits_request = activity.idle_since.elapsed() < MIN_REFUSING_TIME;
            let is_closing =
                if a.refuses_requests { awaits_request } else { a.is_closing.load(Ordering::Acquire) };
            if is_closing {
                return None;
            }
            // A partly read request counts as a common client's if the connection had a valid request before.
            let in_use = activity.open_requests > 0 || activity.reading_request && activity.had_valid_request;
            let outbox = state.1.as_ref().filter(|_| !in_use)?.outbox.clone();
            let order = (activity.had_valid_request, activity.reading_request, activity.idle_since);
            Some((order, outbox, a.clone()))
        };
        let mut idle: Vec<_> = connections.values().filter_map(idle).collect();
        drop(connections);
        idle.sort_by_key(|i| i.0);
        idle.truncate(self.limit.div_ceil(IDLE_CLOSE_DIVISOR));
        for (_, outbox, activity) in &idle {
            if !activity.is_closing.swap(true, Ordering::AcqRel) {
                self.closing.fetch_add(1, Ordering::AcqRel);
            }
            outbox.close();
        }
        any_new || !idle.is_empty()
    }

    /// Records that the client of a connection has closed it.
    pub fn record_hang_up(&self, connection: u64) {
        let Ok(connections) = self.connections.lock() else { return };
        if let Some(activity) = connections.get(&connection) {
            activity.hung_up.store(true, Ordering::Release);
        }
    }

    /// Changes a reservation of this connection, if need be at the cost of a connection that holds more memory
    /// for requests that it has read in part. Whoever sends little, or all of it at once, goes before those
    /// who keep much waiting. Returns false, and changes nothing, if there is no room.
    pub fn resize(&self, connection: &ClientActivity, reservation: &mut Reservation, bytes: usize) -> bool {
        while !reservation.resize(bytes) {
            if !self.make_room(connection, bytes.saturating_sub(reservation.bytes())) {
                return false;
            }
        }
        true
    }

    /// Rejects what the connection that holds most for requests read in part has of them, if that is more than
    /// this connection would hold with `bytes` more. Returns whether there is such a connection.
    pub fn make_room(&self, connection: &ClientActivity, bytes: usize) -> bool {
        let wanted = connection.account.held() + bytes;
        let largest = self.largest_incomplete(connection.connection_id, wanted);
        let found = largest.is_some();
        largest.into_iter().for_each(|largest| largest.reject_incomplete());
        found
    }

    /// The connection other than this one that holds most memory for requests read in part, if that is more
    /// than `bytes`.
    fn largest_incomplete(&self, except: u64, bytes: usize) -> Option<Arc<dyn RejectIncomplete>> {
        let connections = self.connections.lock().ok()?;
        let incomplete = |a: &Arc<ClientActivity>| a.incomplete_bytes.load(Ordering::Relaxed);
        let others = connections.values().filter(|a| a.connection_id != except && incomplete(a) > bytes);
        let largest = others.max_by_key(|a| incomplete(a))?.clone();
        drop(connections);
        largest.set_incomplete_bytes(0); // it is given up now, and must not be found again
        let state = largest.state.lock().ok()?;
        state.1.as_ref()?.requests.upgrade()
    }
}

/// The permit of one client connection. Dropping it releases it.
pub struct ConnectionPermit {
    limiter: ConnectionLimiter,
    /// The connection's activity.
    pub activity: Arc<ClientActivity>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.activity.account.close();
        if let Ok(mut connections) = self.limiter.connections.lock() {
            connections.remove(&self.activity.connection_id);
        }
        if self.activity.is_closing.load(Ordering::Acquire) {
            self.limiter.closing.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
