//! How large responses are: the room that is reserved for the response of a request before it is known.
use std::sync::atomic::{AtomicUsize, Ordering};

/// Least expected size, in bytes: enough for a response without a body.
const MIN_EXPECTED: usize = 512;
/// Largest expected size, in bytes. Larger responses need memory that is free when they arrive.
const MAX_EXPECTED: usize = 64 * 1024;
/// After a smaller response the expected size falls by this fraction (1/16) of the difference.
const DECAY_DIVISOR: usize = 16;

/// The expected size of responses: that of the largest recent one.
#[derive(Debug, Default)]
pub struct ExpectedResponse(AtomicUsize);

impl ExpectedResponse {
    /// Bytes to reserve for a response.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed).clamp(MIN_EXPECTED, MAX_EXPECTED)
    }

    /// Records the size of a response that was served, in bytes.
    pub fn record(&self, bytes: usize) {
        let expected = self.0.load(Ordering::Relaxed);
        let decayed = expected - expected.saturating_sub(bytes).div_ceil(DECAY_DIVISOR);
        self.0.store(decayed.max(bytes), Ordering::Relaxed);
    }
}
