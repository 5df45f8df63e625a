//! The store from which all workers fetch functions: a limited rate and a bounded queue.
use crate::experiment::StoreConfig;
use crate::time::SECOND;
use heronslip_policy::Micros;

/// A store that begins fetches one after another at a fixed rate.
#[derive(Debug)]
pub struct Store {
    /// Microseconds between the starts of two fetches.
    fetch_interval: f64,
    max_queued: f64,
    /// Time by which all fetches accepted so far have begun.
    busy_until: f64,
    /// Fetches accepted.
    pub fetches: u64,
    /// Fetches rejected because the queue was full.
    pub rejected_fetches: u64,
}

impl Store {
    /// An idle store.
    pub fn new(config: &StoreConfig) -> Self {
        let fetch_interval = SECOND as f64 / config.fetches_per_s;
        let max_queued = f64::from(config.max_queued);
        Store { fetch_interval, max_queued, busy_until: 0.0, fetches: 0, rejected_fetches: 0 }
    }

    /// Queues a fetch that takes `duration` once begun. Returns when it completes, or `None` if the queue is
    /// full.
    pub fn fetch(&mut self, now: Micros, duration: Micros) -> Option<Micros> {
        let delay = (self.busy_until - now as f64).max(0.0);
        if delay / self.fetch_interval > self.max_queued {
            self.rejected_fetches += 1;
            return None;
        }
        self.fetches += 1;
        self.busy_until = self.busy_until.max(now as f64) + self.fetch_interval;
        Some(now + delay as Micros + duration)
    }
}
