//! Parts that all connections share: coroutines, sockets, the writer of client connections and the limit on
//! client connections.
use crate::coop::{pause, Budget, Group};
use crate::limits::{Limits, MemoryBudget, Reservation};
use crate::ring::RingBuffer;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::RecvError;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First pause of a write that finds no room in the socket. Each further pause is twice as long.
const MIN_WRITE_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause of a write that finds no room in the socket.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(16);
/// When the limit on client connections is reached, this fraction (1/16) of the limit is closed at a time.
const IDLE_CLOSE_DIVISOR: usize = 16;

/// Memory that a queued response takes besides its content, in bytes: its entry in the queue and what the
/// allocator adds to small blocks.
const QUEUE_ENTRY_OVERHEAD: usize = 96;

static NEXT_CONNECTION_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other connection of the process has.
pub fn next_connection_id() -> u64 {
    NEXT_CONNECTION_ID.fetch_add(1, Ordering::Relaxed)
}

/// Configures the coroutine scheduler. Must be called before the first coroutine starts.
pub fn configure_scheduler(limits: &Limits) {
    // The process has one CPU core: further scheduler threads would only take turns on it. `may` counts stack
    // sizes in machine words.
    may::config()
        .set_workers(1)
        .set_stack_size(limits.coroutine_stack / size_of::<usize>())
        .set_pool_capacity(64);
    may::config().set_worker_pin(false);
}

/// Starts a coroutine with a stack of this many bytes. The default of `may` is smaller and undocumented.
pub fn spawn(stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // A panic leaves no shared state half-changed: each connection's state belongs to its coroutines.
    let builder = may::coroutine::Builder::new().stack_size(stack / size_of::<usize>());
    may::go!(builder, run).map(|_| ())
}

/// Whether an error of a blocking call only means that its time is up.
pub fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// A connection that one coroutine reads and another writes, through one descriptor.
///
/// `may` lets only one coroutine wait on a descriptor. That is the reader; a writer that finds no room tries
/// again after pauses. A second descriptor for the writer would halve the number of connections within the
/// platform's limit.
#[derive(Clone)]
pub struct Socket {
    stream: Arc<TcpStream>,
    read_budget: Budget,
}

impl Socket {
    /// Wraps a connection whose coroutines belong to this group.
    pub fn new(stream: TcpStream, group: Group) -> Self {
        Socket { stream: Arc::new(stream), read_budget: Budget::new(group) }
    }

    /// Sets the time after which a read without data ends with an error; see [`is_timeout`].
    pub fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// The address of the other side.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Closes both directions; the reader sees the end of the stream.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both); // fails if the other side has already closed the connection
    }

    /// Writes at least one byte. Fails, see [`is_timeout`], if the socket has no room within `timeout`.
    pub fn write_within(&self, bytes: &[u8], timeout: Duration) -> io::Result<usize> {
        let (start, mut next_pause) = (Instant::now(), MIN_WRITE_PAUSE);
        loop {
            match self.stream.inner().write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < timeout => {
                    pause(next_pause.min(timeout));
                    next_pause = (2 * next_pause).min(MAX_WRITE_PAUSE);
                }
                result => return result,
            }
        }
    }
}

impl Read for Socket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.stream.inner().read(buffer) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.read_budget.record_wait();
                    self.stream.peek(&mut [0])?; // waits for data
                }
                result => {
                    self.read_budget.record_operation();
                    return result;
                }
            }
        }
    }
}

enum Chunk {
    Bytes(Vec<u8>, Option<Reservation>),
    Close,
}

/// The sending side of a client connection. Any thread may queue responses; a coroutine writes them.
#[derive(Clone)]
pub struct Outbox {
    chunks: Sender<Chunk>,
    /// Memory of the queued responses, in bytes.
    queued_memory: Arc<AtomicUsize>,
    /// Whether the connection closes once the queued bytes have been written.
    closing: Arc<AtomicBool>,
    unsent_bytes: Arc<AtomicUsize>,
    memory_budget: MemoryBudget,
    max_queued: usize,
    /// Memory in bytes that queued responses may take even if the memory budget is exhausted.
    unreserved_queued: usize,
}

impl Outbox {
    /// Starts the writer of a connection. It keeps the permit until the last byte is written or discarded,
    /// since the descriptor stays in use as long. `unsent_bytes` counts the bytes over all connections.
    pub fn start(
        stream: Socket, permit: Arc<ConnectionPermit>, limits: &Arc<Limits>, memory_budget: &MemoryBudget,
        unsent_bytes: &Arc<AtomicUsize>,
    ) -> io::Result<Outbox> {
        let (chunks, queue) = channel();
        let outbox = Outbox {
            chunks,
            queued_memory: Arc::default(),
            closing: Arc::default(),
            unsent_bytes: unsent_bytes.clone(),
            memory_budget: memory_budget.clone(),
            max_queued: limits.max_unsent_per_connection,
            unreserved_queued: limits.client_buffer,
        };
        let stack = limits.coroutine_stack;
        let (limits, queued_memory, unsent_bytes) =
            (limits.clone(), outbox.queued_memory.clone(), unsent_bytes.clone());
        spawn(stack, move || {
            write_chunks(stream, &queue, &limits, &queued_memory, &unsent_bytes);
            drop(permit);
        })?;
        Ok(outbox)
    }

    /// Queues bytes. Closes the connection of a client that does not read its responses, so that it does not
    /// use up other clients' memory. A client with little unread data gets its response even if the memory
    /// budget is exhausted: requests alone may exhaust it, and the response is in memory already. On a closing
    /// connection the bytes are dropped.
    pub fn send(&self, bytes: Vec<u8>) {
        if self.is_closing() {
            return;
        }
        let len = bytes.len();
        let memory = memory_of_response(len);
        let queued = self.queued_memory.load(Ordering::Relaxed);
        let reservation = self.memory_budget.reserve(memory);
        let exceeds_budget = reservation.is_none() && queued > self.unreserved_queued;
        let exceeds_queue = queued > 0 && queued + memory > self.max_queued;
        if exceeds_budget || exceeds_queue {
            log_limited!("client: connection closed: {queued} bytes of memory hold unread responses");
            return self.close();
        }
        self.queued_memory.fetch_add(memory, Ordering::Relaxed);
        self.unsent_bytes.fetch_add(len, Ordering::AcqRel);
        if self.chunks.send(Chunk::Bytes(bytes, reservation)).is_err() {
            self.unsent_bytes.fetch_sub(len, Ordering::AcqRel);
        }
    }

    /// Closes the connection once the queued bytes have been written.
    pub fn close(&self) {
        let was_closing = self.closing.swap(true, Ordering::AcqRel);
        if !was_closing {
            let _ = self.chunks.send(Chunk::Close); // fails if the writer has ended, which closes the connection
        }
    }

    /// Whether the connection is closing, so that nothing sent from now on reaches the client. Its reader
    /// must end then: the rest of the client's input gets no response.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }
}

/// Memory in bytes that a queued response of this many bytes takes.
fn memory_of_response(len: usize) -> usize {
    len + QUEUE_ENTRY_OVERHEAD
}

/// The next chunk. Fails once all senders are dropped.
fn next_chunk(queue: &Receiver<Chunk>, budget: &mut Budget) -> Result<Chunk, RecvError> {
    queue.try_recv().or_else(|_| {
        budget.record_wait();
        queue.recv()
    })
}

fn write_chunks(
    stream: Socket, queue: &Receiver<Chunk>, limits: &Limits, queued_memory: &AtomicUsize,
    unsent_bytes: &AtomicUsize,
) {
    let mut ring = RingBuffer::new(limits.client_buffer);
    let mut broken = false;
    let mut budget = Budget::new(Group::Clients);
    while let Ok(Chunk::Bytes(bytes, _reservation)) = next_chunk(queue, &mut budget) {
        let (mut rest, len) = (&bytes[..], bytes.len());
        while !broken && (!rest.is_empty() || !ring.is_empty()) {
            rest = &rest[ring.push(rest)..];
            match stream.write_within(ring.front(), limits.write_stall_timeout) {
                Ok(n) if n > 0 => {
                    ring.consume(n);
                    budget.record_operation();
                }
                result => {
                    let reason = result.err().map_or("closed".to_owned(), |e| e.to_string());
                    log_limited!("client: connection closed: writing a response failed: {reason}");
                    broken = true;
                    stream.close();
                }
            }
        }
        queued_memory.fetch_sub(memory_of_response(len), Ordering::Relaxed);
        unsent_bytes.fetch_sub(len, Ordering::AcqRel);
    }
    stream.close(); // the reader sees the end of the stream; chunks that are still queued are not written
    while let Ok(chunk) = queue.try_recv() {
        if let Chunk::Bytes(bytes, _) = chunk {
            unsent_bytes.fetch_sub(bytes.len(), Ordering::AcqRel);
        }
    }
}

/// Limits the client connections of all listeners together.
#[derive(Clone)]
pub struct ConnectionLimiter {
    connections: Arc<Mutex<BTreeMap<u64, Arc<ClientActivity>>>>,
    limit: usize,
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
    state: Mutex<(Activity, Option<Outbox>)>,
}

impl ClientActivity {
    fn update(&self, update: impl FnOnce(&mut Activity)) {
        if let Ok(mut state) = self.state.lock() {
            update(&mut state.0);
        }
    }

    /// Sets the sending side, through which the limiter can close the connection.
    pub fn set_outbox(&self, outbox: &Outbox) {
        if let Ok(mut state) = self.state.lock() {
            state.1 = Some(outbox.clone());
        }
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
        let timeout =
            if had_valid_request { limits.client_idle_timeout } else { limits.first_request_timeout };
        open_requests == 0 && idle_since.elapsed() > timeout
    }
}

impl ConnectionLimiter {
    /// A limiter of `limit` connections.
    pub fn new(limit: usize) -> Self {
        ConnectionLimiter { connections: Arc::default(), limit }
    }

    /// A permit for a new connection; `None` at the limit.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        let mut connections = self.connections.lock().ok()?;
        if connections.len() >= self.limit {
            return None;
        }
        let activity = Activity {
            open_requests: 0,
            idle_since: Instant::now(),
            had_valid_request: false,
            reading_request: false,
        };
        let state = Mutex::new((activity, None));
        let activity = Arc::new(ClientActivity { connection_id: next_connection_id(), state });
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
            // A partly read request counts as a common client's if the connection had a valid request before.
            let in_use = activity.open_requests > 0 || activity.reading_request && activity.had_valid_request;
            let outbox = state.1.clone().filter(|_| !in_use)?;
            Some(((activity.had_valid_request, activity.reading_request, activity.idle_since), outbox))
        };
        let mut idle: Vec<_> = connections.values().filter_map(idle).collect();
        drop(connections);
        idle.sort_by_key(|i| i.0);
        idle.truncate(self.limit.div_ceil(IDLE_CLOSE_DIVISOR));
        idle.iter().for_each(|(_, outbox)| outbox.close());
        any_new || !idle.is_empty()
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
        if let Ok(mut connections) = self.limiter.connections.lock() {
            connections.remove(&self.activity.connection_id);
        }
    }
}
