//! Slow start: what a worker that has just started may be sent, as a budget that all front ends together keep
//! to.
use crate::interface::*;
use crate::state::*;

/// Part of a cold worker's budget that is used: chance and misjudgement.
pub(crate) const COLD_MARGIN: f64 = 0.7;

impl Controller {
    /// Adds to a worker's budget what it earned in a span. It follows what the fleet does for us: summed
    /// over all front ends it is part of the capacity. One core for all front ends is granted, so that an all-
    /// cold fleet gets going. `dearest` is the time of the dearest class.
    pub(crate) fn refill_budget(&mut self, w: usize, dearest: f64, past: Micros, now: Micros) {
        let cold = self.cold_share(w, now).unwrap_or(0.0);
        let known = self.work_rate.max(1.0 / f64::from(self.set.front_ends.max(1)));
        let rate = known * self.set.overload_multiple * COLD_MARGIN * cold;
        let most = (rate * self.set.overload_window as f64 / 2.0).max(dearest);
        let worker = &mut self.workers[w];
        worker.budget = (worker.budget + rate * past as f64).min(most);
    }

    /// What part of its full capacity a started worker has for certain; `None` once it is warm.
    pub(crate) fn cold_share(&self, w: usize, now: Micros) -> Option<f64> {
        let (worker, within) = (&self.workers[w], self.set.warm_up_time);
        let started_at = worker.entry.started_at.max(worker.cold_since);
        let age = now.saturating_sub(started_at);
        if started_at == 0 || self.set.overload_multiple <= 0.0 || age >= within {
            return None;
        }
        let from = self.set.cold_capacity.clamp(0.0, 1.0);
        Some(from + (1.0 - from) * age as f64 / within as f64)
    }
}
