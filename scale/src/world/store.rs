//! The store from which every worker fetches functions: of bounded rate, with a bounded queue.
use crate::experiment::StoreShape;
use crate::time::SECOND;
use heronslip_policy::Micros;

/// A server of fetches in turn.
#[derive(Debug)]
pub struct Store {
    interval: f64,
    most_waiting: f64,
    /// When the fetches accepted so far have all been begun.
    busy_until: f64,
    /// Fetches served or being served.
    pub fetches: u64,
    /// Fetches turned away.
    pub turned_away: u64,
}

impl Store {
    /// An idle store.
    pub fn new(shape: &StoreShape) -> Self {
        let interval = SECOND as f64 / shape.fetches_per_s;
        let most_waiting = f64::from(shape.most_waiting);
        Store { interval, most_waiting, busy_until: 0.0, fetches: 0, turned_away: 0 }
    }

    /// Takes a fetch that lasts `alone` on an idle store; tells when it is done, or nothing if too many wait.
    pub fn fetch(&mut self, now: Micros, alone: Micros) -> Option<Micros> {
        let waits = (self.busy_until - now as f64).max(0.0);
        if waits / self.interval > self.most_waiting {
            self.turned_away += 1;
            return None;
        }
        self.fetches += 1;
        self.busy_until = self.busy_until.max(now as f64) + self.interval;
        Some(now + waits as Micros + alone)
    }
}
