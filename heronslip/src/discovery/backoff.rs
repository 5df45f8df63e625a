//! Delays between connection attempts to the discovery service: exponential backoff with full jitter.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Delays that are uniformly random between zero and a range that doubles with each failed attempt, up to a
/// bound.
///
/// Hundreds of front ends that lose the service at the same moment reconnect spread over that range. A
/// service that stays away is tried less and less often, but still about once per `max_range`.
#[derive(Debug)]
pub struct Backoff {
    initial_range: Duration,
    max_range: Duration,
    range: Duration,
    random: Pcg32,
}

impl Backoff {
    /// A backoff whose first delay is at most `initial_range`, and whose later delays are at most
    /// `max_range`.
    pub fn new(initial_range: Duration, max_range: Duration, seed: u64) -> Self {
        Backoff { initial_range, max_range, range: initial_range, random: Pcg32::seed_from_u64(seed) }
    }

    /// The next delay.
    pub fn next_delay(&mut self) -> Duration {
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let delay = self.range.mul_f64(fraction);
        self.range = (2 * self.range).min(self.max_range);
        delay
    }

    /// Makes the next delay a short one again, after an attempt succeeded or the service's address changed.
    pub fn reset(&mut self) {
        self.range = self.initial_range;
    }
}
