//! The sending side of a client connection: responses are written at once where the socket has room, and wait
//! in a bounded queue for a coroutine otherwise.
use crate::connection_limiter::ConnectionPermit;
use crate::coop::{Budget, Group};
use crate::limits::Limits;
use crate::memory::{Account, Reservation};
use crate::memory_shares::UNRESERVED_RESPONSES;
use crate::net::{is_timeout, spawn, Socket};
use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Memory that a queued response takes besides its content, in bytes: its entry in the queue and what the
/// allocator adds to small blocks.
const QUEUE_ENTRY_OVERHEAD: usize = 96;

/// Memory in bytes that a queued response of this many bytes takes.
pub fn memory_of_response(len: usize) -> usize {
    len + QUEUE_ENTRY_OVERHEAD
}

/// A response, or the rest of one, that waits to be written.
struct Chunk {
    bytes: Vec<u8>,
    /// How many of them have been written.
    written: usize,
    /// Its memory; `None` if it counts towards [`UNRESERVED_RESPONSES`].
    _room: Option<Reservation>,
}

/// What can be written to, until the connection has closed. The permit is kept as long, since the descriptor
/// stays in use until then.
struct Open {
    stream: Socket,
    _permit: Arc<ConnectionPermit>,
}

struct State {
    open: Option<Open>,
    queue: VecDeque<Chunk>,
    /// Memory of the queued responses, in bytes.
    queued_memory: usize,
    /// Whether a coroutine is writing the queue.
    has_writer: bool,
}

struct Shared {
    state: Mutex<State>,
    /// Whether the connection closes once the queued bytes have been written.
    closing: AtomicBool,
    /// Queued bytes over all connections.
    unsent_bytes: Arc<AtomicUsize>,
    limits: Arc<Limits>,
    /// The connection's memory.
    account: Arc<Account>,
}

/// The sending side of a client connection. Any thread may send.
#[derive(Clone)]
pub struct Outbox(Arc<Shared>);

impl Outbox {
    /// The sending side of a connection. It keeps the permit until the last byte is written or discarded.
    /// `unsent_bytes` counts the bytes over all connections.
    pub fn new(
        stream: Socket, permit: Arc<ConnectionPermit>, limits: &Arc<Limits>, unsent_bytes: &Arc<AtomicUsize>,
    ) -> Outbox {
        let account = permit.activity.account.clone();
        let open = Some(Open { stream, _permit: permit });
        let state = State { open, queue: VecDeque::new(), queued_memory: 0, has_writer: false };
        Outbox(Arc::new(Shared {
            state: Mutex::new(state),
            closing: AtomicBool::new(false),
            unsent_bytes: unsent_bytes.clone(),
            limits: limits.clone(),
            account,
        }))
    }

    /// Sends a response for which no memory has been reserved. Closes the connection of a client that leaves
    /// too many of them unread, so that it does not use up other clients' memory. On a closing connection the
    /// bytes are dropped.
    pub fn send(&self, bytes: Vec<u8>) {
        if self.is_closing() {
            return;
        }
        let mut state = self.0.lock();
        let Some(chunk) = self.0.write_now(&mut state, bytes) else { return };
        let (memory, queued) = (memory_of_response(chunk.bytes.len()), state.queued_memory);
        let room = self.0.account.reserve(memory);
        let exceeds_budget = room.is_none() && queued + memory > UNRESERVED_RESPONSES;
        let exceeds_queue = queued > 0 && queued + memory > self.0.limits.max_unsent_per_connection;
        if exceeds_budget || exceeds_queue {
            drop(state);
            log_limited!("client: connection closed: {queued} bytes of memory hold unread responses");
            return self.close();
        }
        self.0.enqueue(state, Chunk { _room: room, ..chunk });
    }

    /// Sends the response to a request, with the memory that was reserved for it. If the client does not read
    /// it at once and it needs more memory than is left, `fallback` is sent in its place, which must fit.
    pub fn send_reserved(&self, bytes: Vec<u8>, mut room: Reservation, fallback: impl FnOnce() -> Vec<u8>) {
        if self.is_closing() {
            return;
        }
        let mut state = self.0.lock();
        let Some(mut chunk) = self.0.write_now(&mut state, bytes) else { return };
        if !room.resize(memory_of_response(chunk.bytes.len())) {
            if chunk.written == 0 {
                chunk.bytes = fallback();
            }
            // A response that has been begun must be ended.
            room.force_resize(memory_of_response(chunk.bytes.len()));
        }
        self.0.enqueue(state, Chunk { _room: Some(room), ..chunk });
    }

    /// Closes the connection once the queued bytes have been written.
    pub fn close(&self) {
        self.0.closing.store(true, Ordering::Release);
        let mut state = self.0.lock();
        if !state.has_writer {
            self.0.finish(&mut state);
        }
    }

    /// Whether the connection is closing, so that nothing sent from now on reaches the client. Its reader
    /// must end then: the rest of the client's input gets no response.
    pub fn is_closing(&self) -> bool {
        self.0.closing.load(Ordering::Acquire)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change under the lock is complete before anything can panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what the socket takes at once, if nothing else waits. Returns what is left.
    fn write_now(&self, state: &mut State, bytes: Vec<u8>) -> Option<Chunk> {
        let open = state.open.as_ref()?;
        let mut written = 0;
        if !state.has_writer {
            match open.stream.write_some(&bytes) {
                Ok(n) => written = n,
                Err(e) if is_timeout(&e) => {}
                Err(e) => {
                    self.fail(state, &e);
                    return None;
                }
            }
        }
        (written < bytes.len()).then_some(Chunk { bytes, written, _room: None })
    }

    /// Queues a response, and starts a writer if there is none.
    fn enqueue(self: &Arc<Self>, mut state: MutexGuard<'_, State>, chunk: Chunk) {
        let bytes = &chunk.bytes;
        state.queued_memory += memory_of_response(bytes.len());
        self.unsent_bytes.fetch_add(bytes.len(), Ordering::AcqRel);
        state.queue.push_back(chunk);
        if std::mem::replace(&mut state.has_writer, true) {
            return;
        }
        let Some(stream) = state.open.as_ref().map(|open| open.stream.clone()) else { return };
        let shared = self.clone();
        if let Err(e) = spawn(self.limits.coroutine_stack, move || shared.write_queue(&stream)) {
            state.has_writer = false;
            self.fail(&mut state, &e);
        }
    }

    /// Writes the queue until it is empty.
    fn write_queue(&self, stream: &Socket) {
        let mut budget = Budget::new(Group::Clients);
        while let Some(mut chunk) = self.next_chunk() {
            let result = self.write_chunk(stream, &mut chunk, &mut budget);
            let mut state = self.lock();
            self.discard(&mut state, &chunk);
            if let Err(e) = result {
                self.fail(&mut state, &e);
            }
        }
    }

    /// The next chunk to write; `None` once there is none, after which this writer must end.
    fn next_chunk(&self) -> Option<Chunk> {
        let mut state = self.lock();
        let chunk = state.queue.pop_front();
        if chunk.is_none() {
            state.has_writer = false;
            if self.closing.load(Ordering::Acquire) {
                self.finish(&mut state);
            }
        }
        chunk
    }

    fn write_chunk(&self, stream: &Socket, chunk: &mut Chunk, budget: &mut Budget) -> io::Result<()> {
        while chunk.written < chunk.bytes.len() {
            let rest = &chunk.bytes[chunk.written..];
            match stream.write_within(rest, self.limits.write_stall_timeout)? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => chunk.written += n,
            }
            budget.record_operation();
        }
        Ok(())
    }

    /// Counts a chunk as no longer queued.
    fn discard(&self, state: &mut State, chunk: &Chunk) {
        state.queued_memory -= memory_of_response(chunk.bytes.len());
        self.unsent_bytes.fetch_sub(chunk.bytes.len(), Ordering::AcqRel);
    }

    /// Gives up the connection after a failed write.
    fn fail(&self, state: &mut State, error: &io::Error) {
        log_limited!("client: connection closed: writing a response failed: {error}");
        self.closing.store(true, Ordering::Release);
        while let Some(chunk) = state.queue.pop_front() {
            self.discard(state, &chunk);
        }
        self.finish(state);
    }

    /// Closes the connection; its reader sees the end of the stream.
    fn finish(&self, state: &mut State) {
        if let Some(open) = state.open.take() {
            open.stream.close();
        }
    }
}
