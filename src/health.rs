//! Worker health: how slow each worker is compared with what was expected of it, trial requests to suspects,
//! and workers that reject calls.
use crate::control::{SEC, TICK};
use crate::fleet_stats::MIN_REPORT_DECAY;
use crate::interface::*;
use crate::state::*;

/// Weight of a new sample in running means: about the last ten samples count.
pub(crate) const MEAN_WEIGHT: f64 = 0.1;
/// Slowness sample of a failed attempt, and the largest sample of a slow response.
pub(crate) const FAILURE_SLOWNESS: f64 = 5.0;
/// A worker is slow above this multiple of the median slowness: more than machine types differ.
pub(crate) const SLOW_RATIO: f64 = 2.5;
/// Without new samples, slowness returns to 1 with this time constant, in microseconds.
pub(crate) const SLOWNESS_DECAY: f64 = 6.0 * SEC as f64;
/// An attempt without a response is overdue after this multiple of its expected time.
pub(crate) const OVERDUE_RATIO: f64 = 9.0;
/// Shortest interval between trial requests or queries to one suspect, in microseconds.
pub(crate) const TRIAL_INTERVAL: Micros = SEC;
/// Fraction of our calls that all suspects together get as trial requests. With many front ends that each see
/// a worker seldom, every one of them would otherwise lose calls to it for as long as it is unhealthy.
pub(crate) const TRIAL_SHARE: f64 = 0.02;
/// First backoff from a worker that is full, in microseconds; doubled by each further rejected call. Load
/// commands always pause for this long after a worker had no room for a copy.
pub(crate) const FULL_BACKOFF: Micros = SEC / 5;
/// Key of a block that applies to all calls.
pub(crate) const ALL_CALLS: CallKind = (None, usize::MAX);
/// Shortest block of a tenant and class that a worker with free capacity rejects, in microseconds: in a
/// shorter time hardly any call of that kind would come to the same worker. Also the longest block of all
/// calls.
const MIN_BLOCK: Micros = 5 * SEC;
/// Longest block of a tenant and class, in microseconds.
const MAX_BLOCK: Micros = 20 * SEC;
/// Bound on the factor by which the weight of a slowness sample grows where calls to a worker are rare.
const MAX_RARE_CALL_FACTOR: f64 = 2.5;

/// How an attempt ended, for [`Controller::update_slowness`].
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Time since it was sent.
    pub(crate) elapsed: Micros,
    /// The final response to its request had already been given.
    pub(crate) request_done: bool,
    /// The function was loaded for it, so its time is not a service time.
    pub(crate) loaded_for_it: bool,
}

impl Controller {
    /// Lets a worker's slowness return to 1 over the span `past`, raises it if the oldest attempt is overdue,
    /// and compares it with the median.
    pub(crate) fn refresh_slowness(&mut self, worker_slot: usize, past: Micros, now: Micros) {
        let worker = &mut self.workers[worker_slot];
        // Trial requests clear a suspect. Without one it recovers with a time constant of at least twice the
        // interval between them.
        let trial_decay = if worker.slow { 2.0 * self.trial_interval as f64 } else { 0.0 };
        worker.slowness += (past as f64 / SLOWNESS_DECAY.max(self.report_decay).max(trial_decay)).min(1.0)
            * (1.0 - worker.slowness);
        worker.slow = worker.slowness > SLOW_RATIO * self.median_slowness;
        let Some(&(sent_at, id, n)) = worker.attempts.first() else { return };
        let overdue_after = self.requests.get(&id).map_or(0.0, |r| r.attempts[n].overdue_after);
        // Only responses to calls count: a stalled worker may still reply to commands.
        let silent = now.saturating_sub(sent_at.max(worker.last_response).max(self.resumed_at)) as f64;
        if silent > overdue_after {
            worker.slowness = worker.slowness.max(FAILURE_SLOWNESS * self.median_slowness);
        }
    }

    /// A connection could not be established. The worker is not chosen until it replies; its copies are still
    /// assumed to be loaded.
    pub(crate) fn mark_disconnected(&mut self, worker_slot: usize, now: Micros) {
        self.workers[worker_slot].disconnected = true;
        self.workers[worker_slot].next_trial = now + TRIAL_INTERVAL / 4;
        if self.discovery_lost() {
            self.workers[worker_slot].unreachable_since.get_or_insert(now);
        }
    }

    /// Blocks calls after a worker rejected one. A worker that is not crowded rejects by tenant or class, so
    /// only calls of that kind are blocked. Otherwise, or if no worker reports its load, it counts as full,
    /// or as draining before the list says so, and all calls are blocked, for a shorter time.
    pub(crate) fn record_rejection(&mut self, worker_slot: usize, kind: CallKind, now: Micros) {
        let selective = self.load_reported && !self.is_crowded(worker_slot, now);
        let (key, shortest, longest) =
            if selective { (kind, MIN_BLOCK, MAX_BLOCK) } else { (ALL_CALLS, FULL_BACKOFF, MIN_BLOCK) };
        let block = self.workers[worker_slot].blocks.entry(key).or_default();
        block.duration = (block.duration * 2).clamp(shortest, longest);
        block.until = now + block.duration;
    }

    /// A connection was reset. The process may have restarted without its copies, so a copy query follows
    /// soon.
    pub(crate) fn suspect_restart(&mut self, worker_slot: usize, now: Micros) {
        let worker = &mut self.workers[worker_slot];
        (worker.reset_at, worker.restart_suspected, self.last_reset_at) = (now, true, now);
        worker.next_trial = now + TRIAL_INTERVAL / 4;
    }

    /// Whether a worker gets trial requests only.
    pub(crate) fn is_suspect(&self, worker_slot: usize) -> bool {
        !self.ignore_suspicion && (self.workers[worker_slot].disconnected || self.workers[worker_slot].slow)
    }

    /// Updates a worker's slowness, and the service times of function and class, when an attempt has ended.
    pub(crate) fn update_slowness(
        &mut self, now: Micros, function_slot: usize, attempt: &Attempt, result: AttemptResult,
    ) {
        let AttemptResult { outcome, elapsed, request_done, loaded_for_it } = result;
        let (worker_slot, class, expected) =
            (attempt.worker, self.functions[function_slot].class, attempt.expected_time);
        let mut sample = None;
        match outcome {
            Outcome::Ok => {
                (self.workers[worker_slot].last_response, self.workers[worker_slot].disconnected) =
                    (now, false);
                if !loaded_for_it {
                    let elapsed = elapsed as f64;
                    let ratio = (elapsed / expected).min(FAILURE_SLOWNESS);
                    sample = Some(ratio);
                    if !self.load_reported {
                        // Workers that report no load: the relative response time stands for the requests
                        // there.
                        let worker = &mut self.workers[worker_slot];
                        let before = worker.report.map_or(1.0, |r| r.inflight);
                        let (inflight, our_inflight) = ((before + ratio) / 2.0, worker.attempts.len());
                        worker.report = Some(LoadReport { at: now, inflight, our_inflight });
                    }
                    let function = &mut self.functions[function_slot];
                    function.service_time +=
                        MEAN_WEIGHT * (elapsed.min(expected * FAILURE_SLOWNESS) - function.service_time);
                    let mean = &mut self.class_service_time[class];
                    *mean += MEAN_WEIGHT / 2.0 * (elapsed.min(expected * FAILURE_SLOWNESS) - *mean);
                }
                self.work_done += self.class_service_time[class];
            }
            // If the function has never been served, the call itself may be at fault, not the worker.
            Outcome::Error if !self.functions[function_slot].ever_served => {}
            Outcome::Error | Outcome::Timeout if !attempt.cancelled => sample = Some(FAILURE_SLOWNESS),
            // Cancelled because its time was up: it would have taken even longer.
            Outcome::Cancelled if request_done => {
                let ratio = (elapsed as f64 / expected).min(FAILURE_SLOWNESS);
                sample = Some(ratio).filter(|&r| r > self.workers[worker_slot].slowness);
            }
            Outcome::ConnectFailed => {
                self.mark_disconnected(worker_slot, now);
                sample = Some(FAILURE_SLOWNESS);
            }
            // A connection may end while the process lives; if the process is gone, the next connection is
            // refused. All attempts on one connection count once, or a single malformed reply would make a
            // healthy worker a suspect.
            Outcome::Reset if now > self.workers[worker_slot].reset_at + TICK => {
                self.suspect_restart(worker_slot, now);
                sample = Some(FAILURE_SLOWNESS);
            }
            _ => {}
        }
        // Right after a stall of this front end, times say nothing about workers.
        if now < self.resumed_at + TICK {
            sample = None;
        }
        // Where our calls reach a worker rarely, a sample weighs more, and its effect lasts longer: see
        // `refresh_slowness`.
        let weight =
            2.0 * MEAN_WEIGHT * (self.report_decay / MIN_REPORT_DECAY).clamp(1.0, MAX_RARE_CALL_FACTOR);
        let slowness = &mut self.workers[worker_slot].slowness;
        *slowness += weight * (sample.unwrap_or(*slowness) - *slowness);
    }

    /// Sends a copy query to each worker whose connection was refused or lost, for the last called function
    /// that it is assumed to have loaded, or else for the last called one. A reply clears the suspicion.
    pub(crate) fn send_trials(&mut self, now: Micros, ready: &[usize], out: &mut Vec<Action>) {
        for &worker_slot in ready {
            let may_query = self.settings.may_command && self.load_tokens >= 1.0;
            if !self.workers[worker_slot].copies_unconfirmed()
                || now < self.workers[worker_slot].next_trial
                || !may_query
            {
                continue;
            }
            self.workers[worker_slot].next_trial = now + TRIAL_INTERVAL;
            self.load_tokens -= 1.0;
            let no_command = |function_slot: &usize| {
                self.functions[*function_slot]
                    .copies
                    .get(&worker_slot)
                    .is_none_or(|copy| copy.command.is_none())
            };
            let candidates = self.workers[worker_slot]
                .functions
                .iter()
                .copied()
                .chain([self.last_called])
                .filter(no_command);
            let warm = |function_slot: usize| {
                self.functions[function_slot].copies.get(&worker_slot).is_some_and(|copy| copy.warm(now))
            };
            let known = candidates.filter(|&function_slot| {
                self.functions.get(function_slot).is_some_and(|function| function.last_call > 0)
            });
            if let Some(function_slot) = known
                .max_by_key(|&function_slot| (warm(function_slot), self.functions[function_slot].last_call))
            {
                self.copy_record(function_slot, worker_slot).command = Some(Command::Query(now));
                out.push(self.load_action(function_slot, worker_slot, 0));
            }
        }
    }
}
