//! The queue of frames that wait for a connection's socket.
use super::exchange::StartCondition;
use crate::ring::RingBuffer;
use std::collections::VecDeque;
use std::time::Instant;

/// Frames that wait in the ring buffer for the socket. Positions count bytes from the start of the
/// connection.
pub struct WriteQueue {
    ring: RingBuffer,
    frames: VecDeque<QueuedFrame>,
    /// Position of the next byte that is written.
    written: u64,
    /// Position at which the next frame will start.
    end: u64,
}

/// A frame in the ring buffer.
struct QueuedFrame {
    start: u64,
    end: u64,
    /// The id of the exchange that it starts, and until when it may start.
    starts: Option<(u64, StartCondition)>,
}

impl QueuedFrame {
    /// Whether it starts an exchange, no byte of it has been written, and it is to be removed.
    fn is_removed(&self, written: u64, is_removed: &impl Fn(u64, StartCondition) -> bool) -> bool {
        self.start >= written && self.starts.is_some_and(|(id, condition)| is_removed(id, condition))
    }
}

/// The result of removing frames from a [`WriteQueue`].
#[derive(Debug, Default, PartialEq)]
pub struct RemovedFrames {
    /// Ids of the exchanges whose frames were removed.
    pub ids: Vec<u64>,
    /// Ids of the exchanges whose frames now end at an earlier position of the stream, and that position.
    pub moved: Vec<(u64, u64)>,
}

impl WriteQueue {
    /// An empty queue over a ring buffer of this many bytes.
    pub fn new(ring_bytes: usize) -> Self {
        WriteQueue { ring: RingBuffer::new(ring_bytes), frames: VecDeque::new(), written: 0, end: 0 }
    }

    /// Bytes that still fit.
    pub fn free(&self) -> usize {
        self.ring.free()
    }

    /// Whether all bytes have been written.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// The bytes to write next.
    pub fn front(&self) -> &[u8] {
        self.ring.front()
    }

    /// Appends a frame, for which there must be room, and returns the position of its end. `starts` names the
    /// exchange that the frame starts, and until when it may start.
    pub fn push(&mut self, frame: &[u8], starts: Option<(u64, StartCondition)>) -> u64 {
        let start = self.end;
        self.end += self.ring.push(frame) as u64;
        self.frames.push_back(QueuedFrame { start, end: self.end, starts });
        self.end
    }

    /// Records that this many bytes have been written, and returns how many have been in all.
    pub fn consume(&mut self, bytes: usize) -> u64 {
        self.ring.consume(bytes);
        self.written += bytes as u64;
        while self.frames.front().is_some_and(|f| f.end <= self.written) {
            self.frames.pop_front();
        }
        self.written
    }

    /// Removes frames of which no byte has been written and whose start condition no longer holds; `retired`
    /// tells whether the worker drains. All other frames stay, cancels among them: an attempt whose cancel
    /// was lost would still run beside the one that replaces it.
    pub fn remove_expired(&mut self, retired: bool, now: Instant) -> RemovedFrames {
        self.remove(&|_, condition| condition.has_expired(retired, now))
    }

    /// Removes the frame that starts this exchange, unless a byte of it has been written.
    pub fn remove_unstarted(&mut self, id: u64) -> RemovedFrames {
        self.remove(&|started, _| started == id)
    }

    fn remove(&mut self, is_removed: &impl Fn(u64, StartCondition) -> bool) -> RemovedFrames {
        if !self.frames.iter().any(|frame| frame.is_removed(self.written, is_removed)) {
            return RemovedFrames::default();
        }
        let mut bytes = Vec::new();
        self.ring.drain_into(usize::MAX, &mut bytes);
        let (mut removed, written) = (RemovedFrames::default(), self.written);
        self.end = self.written;
        for mut frame in std::mem::take(&mut self.frames) {
            let partly_written = frame.start < written;
            let removes_frame = frame.is_removed(written, is_removed);
            match frame.starts {
                Some((id, _)) if removes_frame => removed.ids.push(id),
                starts => {
                    let from = frame.start.max(written);
                    let content = &bytes[(from - written) as usize..(frame.end - written) as usize];
                    let end = self.end + self.ring.push(content) as u64;
                    if let Some((id, _)) = starts.filter(|_| end != frame.end) {
                        removed.moved.push((id, end));
                    }
                    (frame.start, frame.end) = (if partly_written { frame.start } else { self.end }, end);
                    self.end = end;
                    self.frames.push_back(frame);
                }
            }
        }
        removed
    }
}
