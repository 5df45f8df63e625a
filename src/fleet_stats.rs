//! Fleet statistics, refreshed at short intervals.
use crate::admission::MIN_INFLIGHT_TO_REFUSE;
use crate::control::{MAX_TIME, SEC};
use crate::health::{TRIAL_INTERVAL, TRIAL_SHARE};
use crate::interface::*;
use crate::replication::theta;
use crate::state::*;

/// Rates are taken over about this many calls: over fewer they are noise.
const RATE_CALLS: f64 = 30.0;
/// Shortest time over which rates are taken, in microseconds.
pub(crate) const MIN_RATE_SPAN: Micros = 2 * SEC;
/// Longest time over which rates are taken, in microseconds.
pub(crate) const MAX_RATE_SPAN: Micros = 8 * SEC;
/// Bounds of the time constant with which load reports lose weight, in microseconds. Between them it is the
/// time in which our calls reach every worker once.
pub(crate) const MIN_REPORT_DECAY: f64 = 2.0 * SEC as f64;
const MAX_REPORT_DECAY: f64 = 15.0 * SEC as f64;
/// A worker's last report counts in the mean for this long, in microseconds: where few calls go to many
/// workers, reports are rare.
const REPORT_LIFETIME: Micros = 20 * SEC;
/// A function is forgotten this many keep-alives after its last call.
const FORGET_AFTER_KEEP_ALIVES: Micros = 4;
/// The busy fraction follows changes this many times faster than the rates.
const BUSY_WEIGHT: f64 = 4.0;
/// Shortest interval between log lines on the state of the fleet, in microseconds.
const LOG_INTERVAL: Micros = 10 * SEC;

impl Controller {
    /// Refreshes the statistics over the span `past` since the last refresh, and each worker's budget and
    /// slowness. Then sends trial queries, renews copies, and forgets functions that are no longer called.
    pub(crate) fn refresh_fleet_stats(&mut self, now: Micros, past: Micros, out: &mut Vec<Action>) {
        let longest_span = self.settings.load_window.max(MAX_RATE_SPAN);
        while self.request_times.front().is_some_and(|&t| t + longest_span < now) {
            self.request_times.pop_front();
        }
        let ready = std::mem::take(&mut self.ready);
        let ready_count = ready.len().max(1) as f64;
        let busy = ready.iter().filter(|&&worker_slot| !self.workers[worker_slot].attempts.is_empty()).count()
            as f64
            / ready_count;
        let calls = self.request_times.iter().rev().take_while(|&&t| t + MAX_RATE_SPAN > now).count() as f64;
        let span = (RATE_CALLS / calls.max(1.0) * MAX_RATE_SPAN as f64)
            .clamp(MIN_RATE_SPAN as f64, MAX_RATE_SPAN as f64);
        let weight = (past as f64 / span).min(1.0);
        self.report_decay =
            (ready_count / calls.max(1.0) * MAX_RATE_SPAN as f64).clamp(MIN_REPORT_DECAY, MAX_REPORT_DECAY);
        self.busy_fraction += (BUSY_WEIGHT * weight).min(1.0) * (busy - self.busy_fraction);
        // Each worker counts once, by its last report. A mean over reports would be biased towards the
        // workers that we send most to.
        let last_inflight = |worker: &Worker| {
            worker.report.filter(|report| now < report.at + REPORT_LIFETIME).map(|report| report.inflight)
        };
        let inflight: Vec<f64> =
            ready.iter().filter_map(|&worker_slot| last_inflight(&self.workers[worker_slot])).collect();
        self.mean_inflight = if inflight.is_empty() {
            MIN_INFLIGHT_TO_REFUSE
        } else {
            inflight.iter().sum::<f64>() / inflight.len() as f64
        };
        let capacity: f64 =
            ready.iter().map(|&worker_slot| self.capacity_share(worker_slot, now).unwrap_or(1.0)).sum();
        self.work_rate += weight * (self.work_done / capacity.max(1.0) / past as f64 - self.work_rate);
        self.served_rate += weight * (self.served * SEC as f64 / past as f64 - self.served_rate);
        (self.work_done, self.served) = (0.0, 0.0);
        for requests in &mut self.tenant_requests {
            *requests *= 1.0 - weight;
        }
        let known_functions = self.functions.len().saturating_sub(self.free_slots.len()).max(1) as f64;
        let mean_memory_mb =
            self.functions.iter().map(|function| function.memory_mb).sum::<f64>() / known_functions;
        let machines = &self.settings.machine_memory_mb;
        self.copies_per_worker =
            machines.iter().sum::<f64>() / machines.len().max(1) as f64 / mean_memory_mb.max(1.0);
        let theta = theta(self.busy_fraction, self.copies_per_worker);
        let z_stars = self
            .functions
            .iter()
            .map(|function| self.copies_and_inflight(function, now))
            .map(|(copies, inflight)| (copies as f64 - inflight) / theta);
        self.min_z_star = z_stars.filter(|&z_star| z_star >= 1.0).fold(f64::INFINITY, f64::min);
        let recent_and_warm = |r: &&Request| {
            let open = r.attempts.last().is_some_and(|a| a.open && !a.cold);
            open && !r.done && now < r.arrived_at + 2 * self.settings.classes[r.class].latency_target
        };
        // From 0 where calls are many, so that the backlog is the present count, to 1 where they are few.
        let scarcity = (span - MIN_RATE_SPAN as f64) / (MAX_RATE_SPAN - MIN_RATE_SPAN) as f64;
        let backlog_weight = (past as f64 / (span * scarcity).max(1.0)).min(1.0);
        let backlog = self.requests.values().filter(recent_and_warm).count() as f64;
        self.backlog += backlog_weight * (backlog - self.backlog);
        let mut slowness: Vec<f64> =
            ready.iter().map(|&worker_slot| self.workers[worker_slot].slowness).collect();
        slowness.sort_by(f64::total_cmp);
        self.median_slowness = slowness.get(slowness.len() / 2).copied().unwrap_or(1.0).max(1.0);
        // The last class stands for unknown ones.
        let known_classes = 1.max(self.class_service_time.len() - 1);
        let longest_class = self.class_service_time[..known_classes].iter().copied().fold(0.0, f64::max);
        let mut bad = 0;
        for &worker_slot in &ready {
            self.refill_budget(worker_slot, longest_class, past, now);
            self.refresh_slowness(worker_slot, past, now);
            let worker = &self.workers[worker_slot];
            bad += usize::from(worker.disconnected || worker.slow);
        }
        self.ignore_suspicion = bad * 2 > ready.len();
        let slow = |&&worker_slot: &&usize| {
            self.workers[worker_slot].slow && !self.workers[worker_slot].disconnected
        };
        let slow_workers = ready.iter().filter(slow).count();
        let interval = slow_workers as f64 * MAX_RATE_SPAN as f64 / (TRIAL_SHARE * calls.max(1.0));
        self.trial_interval = TRIAL_INTERVAL.max(interval as Micros).min(MAX_TIME);
        if now >= self.logged_at + LOG_INTERVAL && (bad * 10 > ready.len() || self.load_cap < 2.0) {
            self.logged_at = now;
            let text = format!("{bad} of {ready_count} workers look bad; load cap {:.0}", self.load_cap);
            out.push(Action::Log { text });
        }
        self.send_trials(now, &ready, out);
        self.ready = ready;
        self.renew_last_copies(now, out);
        self.forget_idle_functions(now.saturating_sub(FORGET_AFTER_KEEP_ALIVES * self.keep_alive()));
        self.bound_function_memory();
    }
}
