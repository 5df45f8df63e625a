//! Slow start: limits what all front ends together send to a worker that has just started.
use crate::interface::*;
use crate::state::*;

/// Fraction of a cold worker's budget that is used; the rest allows for chance and errors of estimation.
pub(crate) const COLD_MARGIN: f64 = 0.7;

impl Controller {
    /// Adds to a cold worker's budget what it earned over the span `past`. The rate follows the work that a
    /// worker of the fleet does for this front end, so that the budgets of all front ends add up to a
    /// multiple of the worker's capacity. The front ends together get at least one core's work, or a fleet in
    /// which all workers are cold would never start. `longest_class` is the service time of the slowest
    /// class.
    pub(crate) fn refill_budget(
        &mut self, worker_slot: usize, longest_class: f64, past: Micros, now: Micros,
    ) {
        let capacity = self.capacity_share(worker_slot, now).unwrap_or(0.0);
        let work_rate = self.work_rate.max(1.0 / f64::from(self.settings.front_ends.max(1)));
        let rate = work_rate * self.settings.overload_multiple * COLD_MARGIN * capacity;
        let most = (rate * self.settings.overload_window as f64 / 2.0).max(longest_class);
        let worker = &mut self.workers[worker_slot];
        worker.cold_budget = (worker.cold_budget + rate * past as f64).min(most);
    }

    /// The fraction of its full capacity that a cold worker has at least; `None` once it is warm.
    pub(crate) fn capacity_share(&self, worker_slot: usize, now: Micros) -> Option<f64> {
        let (worker, warm_up_time) = (&self.workers[worker_slot], self.settings.warm_up_time);
        let started_at = worker.entry.started_at.max(worker.cold_since);
        let age = now.saturating_sub(started_at);
        if started_at == 0 || self.settings.overload_multiple <= 0.0 || age >= warm_up_time {
            return None;
        }
        let initial = self.settings.cold_capacity.clamp(0.0, 1.0);
        Some(initial + (1.0 - initial) * age as f64 / warm_up_time as f64)
    }
}
