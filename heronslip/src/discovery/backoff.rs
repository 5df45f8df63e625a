//! How long to wait before the board is called again: exponential back-off with full jitter.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Waits drawn evenly from nothing to a span that doubles with each failed call, up to a bound.
///
/// Hundreds of front ends that lose the board in the same moment come back spread over that span, and a board that
/// stays away is called ever less often, never less than about once in the bound.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    span: Duration,
    random: Pcg32,
}

impl Backoff {
    /// Waits of up to `first` to begin with, up to `most` at last.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Self {
        Backoff { first, most, span: first, random: Pcg32::seed_from_u64(seed) }
    }

    /// The next wait.
    pub fn wait(&mut self) -> Duration {
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let wait = self.span.mul_f64(part);
        self.span = (2 * self.span).min(self.most);
        wait
    }

    /// A call has succeeded, or the board has moved: the next wait is a short one again.
    pub fn reset(&mut self) {
        self.span = self.first;
    }
}
