//! Parts that all connections share: coroutines and sockets.
use crate::coop::{pause, Budget, Group};
use crate::hang_up::{has_hung_up, HangUpWatcher};
use crate::limits::Limits;
use may::net::TcpStream;
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First pause of a write that finds no room in the socket. Each further pause is twice as long.
const MIN_WRITE_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause of a write that finds no room in the socket.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(16);
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

/// Has the system drop what a connection has not delivered once its descriptor closes, in place of delivering it
/// whenever the other side is reached again.
pub fn reset_when_closed(stream: &TcpStream) {
    // Fails only if the connection has ended already.
    let _ = SockRef::from(stream.inner()).set_linger(Some(Duration::ZERO));
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

    /// Whether the other side has closed the connection, however much of what it sent is unread.
    pub fn has_hung_up(&self) -> bool {
        has_hung_up(self.stream.inner())
    }

    /// Has the end of the connection noticed as soon as the other side closes it.
    pub fn watch(&self, watcher: &HangUpWatcher, connection: u64) {
        watcher.watch(self.stream.inner(), connection);
    }

    /// Closes both directions; the reader sees the end of the stream.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both); // fails if the other side has already closed the connection
    }

    /// Closes both directions, and drops what has not been delivered.
    pub fn reset(&self) {
        reset_when_closed(&self.stream);
        self.close();
    }

    /// Writes what the socket has room for, at once. Fails, see [`is_timeout`], if it has none.
    pub fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.inner().write(bytes)
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
