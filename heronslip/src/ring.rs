//! A bounded ring buffer of bytes. Each connection has one for each direction.
use std::io::{self, Read};

/// First allocation of a buffer, in bytes. Few connections ever carry more than a short frame at a time.
const INITIAL_ALLOCATION: usize = 1024;
/// A buffer that becomes empty releases its memory if it has allocated more bytes than this.
const MAX_IDLE_ALLOCATION: usize = 8 * 1024;

/// A ring buffer of bounded capacity that allocates memory as needed.
pub struct RingBuffer {
    bytes: Vec<u8>,
    capacity: usize,
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// An empty buffer of this capacity in bytes.
    pub fn new(capacity: usize) -> Self {
        RingBuffer { bytes: Vec::new(), capacity: capacity.max(1), head: 0, len: 0 }
    }

    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of bytes that still fit.
    pub fn free(&self) -> usize {
        self.capacity - self.len
    }

    /// The number of bytes allocated.
    pub fn allocated(&self) -> usize {
        self.bytes.len()
    }

    /// Appends as many bytes as fit and returns their number.
    pub fn push(&mut self, data: &[u8]) -> usize {
        let n = data.len().min(self.free());
        if n == 0 {
            return 0;
        }
        self.grow(self.len + n);
        let tail = (self.head + self.len) % self.bytes.len();
        let first = n.min(self.bytes.len() - tail);
        self.bytes[tail..tail + first].copy_from_slice(&data[..first]);
        self.bytes[..n - first].copy_from_slice(&data[first..n]);
        self.len += n;
        n
    }

    /// The oldest bytes, as far as they are contiguous in memory.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Removes the oldest `n` bytes.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        if self.len > 0 {
            self.head = (self.head + n) % self.bytes.len();
            return;
        }
        self.head = 0;
        if self.bytes.len() > MAX_IDLE_ALLOCATION {
            self.bytes = Vec::new();
        }
    }

    /// Keeps only the oldest `len` bytes.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
    }

    /// Reads once into the free space and returns the number of bytes; 0 means the end of the stream. Must
    /// not be called on a full buffer.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1);
        }
        let tail = (self.head + self.len) % self.bytes.len();
        let end = if tail < self.head { self.head } else { self.bytes.len() };
        loop {
            match source.read(&mut self.bytes[tail..end]) {
                // An interruption is neither an end nor a timeout: callers would drop a partly read message.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(n) => {
                    self.len += n;
                    return Ok(n);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Allocates room for at least `needed` bytes, within the capacity. At least doubles the allocation.
    fn grow(&mut self, needed: usize) {
        if needed <= self.bytes.len() {
            return;
        }
        let size = needed.max(2 * self.bytes.len()).max(INITIAL_ALLOCATION).min(self.capacity);
        let mut bytes = Vec::with_capacity(size);
        let (first, second) = (self.front().len(), self.len - self.front().len());
        bytes.extend_from_slice(&self.bytes[self.head..self.head + first]);
        bytes.extend_from_slice(&self.bytes[..second]);
        bytes.resize(size, 0);
        (self.bytes, self.head) = (bytes, 0);
    }

    /// Moves up to `max` of the oldest bytes to the end of `target` and returns their number.
    pub fn drain_into(&mut self, max: usize, target: &mut Vec<u8>) -> usize {
        let mut moved = 0;
        while moved < max && !self.is_empty() {
            let slice = self.front();
            let n = slice.len().min(max - moved);
            target.extend_from_slice(&slice[..n]);
            self.consume(n);
            moved += n;
        }
        moved
    }

    /// Removes up to `max` of the oldest bytes and returns their number.
    pub fn skip(&mut self, max: usize) -> usize {
        let skipped = max.min(self.len);
        self.consume(skipped);
        skipped
    }
}
