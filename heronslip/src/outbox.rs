//! The sending side of a client connection: a bounded queue of responses and the coroutine that writes them.
use crate::connection_limiter::ConnectionPermit;
use crate::coop::{Budget, Group};
use crate::limits::{Limits, MemoryBudget, Reservation};
use crate::net::{spawn, Socket};
use crate::ring::RingBuffer;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::RecvError;
use std::sync::Arc;

/// Memory that a queued response takes besides its content, in bytes: its entry in the queue and what the
/// allocator adds to small blocks.
const QUEUE_ENTRY_OVERHEAD: usize = 96;

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
