//! Placement: which worker a request goes to, or how long it is queued.
use crate::control::{DEFAULT_TIME, MS, SEC, TICK};
use crate::fleet_stats::MIN_REPORT_DECAY;
use crate::health::{ALL_CALLS, OVERDUE_RATIO};
use crate::interface::*;
use crate::replication::SLOW_LOAD_RATIO;
use crate::state::*;

/// A worker is crowded if its requests, times its slowness, exceed this multiple of the mean per worker by
/// more than [`CROWDED_EXCESS`].
const CROWDED_RATIO: f64 = 1.25;
/// Number of requests: see [`CROWDED_RATIO`].
const CROWDED_EXCESS: f64 = 0.75;
/// In place of [`CROWDED_RATIO`] where few front ends serve the workers. Each of them sends a large part of a
/// worker's requests itself, and with a tighter bound ordinary unevenness caused losses, and with them loads.
const CROWDED_RATIO_FEW: f64 = 2.0;
/// In place of [`CROWDED_EXCESS`] where few front ends serve the workers.
const CROWDED_EXCESS_FEW: f64 = 1.5;
/// Most front ends that count as few.
pub(crate) const FEW_FRONT_ENDS: u32 = 16;
/// A request is queued without an attempt for at most this fraction of the time from its arrival to its
/// deadline.
const MAX_QUEUED_FRACTION: f64 = 0.45;
/// The same for a function that has never been served here, in microseconds: perhaps no worker knows the
/// function, and a response is due within 3 s.
const MAX_QUEUED_NEVER_SERVED: Micros = 2_700 * MS;
/// A request ends after this many attempts that did not run.
const MAX_REJECTIONS: usize = 3;
/// A request of a function that has never been served here ends after this many error replies.
const MAX_ERRORS_NEVER_SERVED: u32 = 2;
/// How long a report of other front ends' requests for a function at a worker counts, in microseconds.
const OTHERS_LIFETIME: Micros = SEC / 2;
/// Least service time on which the expected time of an attempt is based, in microseconds.
const MIN_SERVICE_TIME: f64 = 10.0 * MS as f64;
/// Least service time on which the time after which an attempt is overdue is based, in microseconds.
const MIN_OVERDUE_SERVICE_TIME: f64 = 50.0 * MS as f64;

impl CopyRecord {
    /// Whether a lane is free: not taken by our requests, nor by those of other front ends if reported
    /// recently.
    pub(crate) fn has_free_lane(&self, now: Micros, lanes: u32) -> bool {
        let recent = now < self.others_inflight.at + OTHERS_LIFETIME;
        let others = if recent { self.others_inflight.count } else { 0 };
        self.our_inflight + others < self.count.saturating_mul(lanes)
    }
}

impl Controller {
    /// Whether a worker may be sent a call of this class now. A draining worker gets nothing from the moment
    /// that the drain is known. A cold worker gets only what its budget allows. A suspect gets only trial
    /// requests, which are safe to repeat and sent one at a time while it is connected. If most of the fleet
    /// looks bad, the judgement is more likely at fault than the workers, and none counts as a suspect.
    pub(crate) fn usable(&self, worker_slot: usize, class: usize, now: Micros) -> bool {
        let worker = &self.workers[worker_slot];
        let over_budget = self.capacity_share(worker_slot, now).is_some()
            && worker.cold_budget < worker.cold_threshold * self.class_service_time[class];
        let safe = self.settings.classes[class].retry_safety == RetrySafety::Safe;
        let trial = safe && !worker.disconnected && worker.attempts.is_empty() && now >= worker.next_trial;
        worker.ready()
            && !over_budget
            && !self.suspended(worker_slot, now)
            && (!self.is_suspect(worker_slot) || trial)
    }

    /// Whether a worker has clearly more requests than the mean, because other front ends load it or because
    /// it is slow.
    pub(crate) fn is_crowded(&self, worker_slot: usize, now: Micros) -> bool {
        let few = (2..=FEW_FRONT_ENDS).contains(&self.settings.front_ends);
        let (ratio, excess) =
            if few { (CROWDED_RATIO_FEW, CROWDED_EXCESS_FEW) } else { (CROWDED_RATIO, CROWDED_EXCESS) };
        self.estimated_inflight(worker_slot, now) * self.workers[worker_slot].slowness
            > self.mean_inflight * ratio + excess
    }

    /// Estimated requests at a worker: its last report, decaying to the mean, and the change of ours since.
    pub(crate) fn estimated_inflight(&self, worker_slot: usize, now: Micros) -> f64 {
        let ours = self.workers[worker_slot].attempts.len() as f64;
        let estimate = self.workers[worker_slot].report.map(|report| {
            let age = now.saturating_sub(report.at) as f64;
            let weight = (-age / self.report_decay.max(MIN_REPORT_DECAY)).exp();
            self.mean_inflight + (report.inflight - self.mean_inflight) * weight + ours
                - report.our_inflight as f64
        });
        estimate.unwrap_or(self.mean_inflight).max(ours)
    }

    /// Usable workers with a free lane of a loaded copy that are not crowded.
    pub(crate) fn free_workers(&self, function_slot: usize, now: Micros) -> Vec<usize> {
        let function = &self.functions[function_slot];
        let free = |(&worker_slot, copy): (&usize, &CopyRecord)| {
            let usable = copy.warm(now)
                && copy.has_free_lane(now, function.lanes)
                && self.usable(worker_slot, function.class, now);
            (usable && !self.is_crowded(worker_slot, now)).then_some(worker_slot)
        };
        function.copies.iter().filter_map(free).collect()
    }

    /// Whether a request may go to a worker. An unsafe request may only as long as no attempt can have run. A
    /// deduplicated one that may have run goes only to workers in its scope, and within its window. No
    /// request goes back to a worker where an attempt of it may have run or is in flight.
    pub(crate) fn may_receive(&self, id: RequestId, worker_slot: usize, now: Micros) -> bool {
        let request = &self.requests[&id];
        let blocked =
            |kind| self.workers[worker_slot].blocks.get(&kind).is_some_and(|block| now < block.until);
        if blocked((request.tenant, request.class)) || blocked(ALL_CALLS) {
            return false;
        }
        if request.attempts.iter().any(|a| a.worker == worker_slot && (a.open || a.may_have_run)) {
            return false;
        }
        let Some(first) = request.attempts.iter().find(|a| a.may_have_run) else { return true };
        let class = &self.settings.classes[request.class];
        let window_end = self.dedup_window_end(request.class, &request.attempts);
        let (first_entry, entry) = (&self.workers[first.worker].entry, &self.workers[worker_slot].entry);
        let in_scope = match class.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => first_entry.zone == entry.zone,
            DedupScope::Cell => first_entry.cell == entry.cell,
        };
        class.retry_safety == RetrySafety::Safe || in_scope && window_end.is_some_and(|end| now < end)
    }

    /// Until when workers drop a repeat of these attempts; `None` if none of them can have run, or if workers
    /// drop no repeats of the class.
    fn dedup_window_end(&self, class: usize, attempts: &[Attempt]) -> Option<Micros> {
        let class = &self.settings.classes[class];
        let first = attempts.iter().find(|a| a.may_have_run)?;
        let end = (first.sent_at + class.dedup_window).saturating_sub(TICK);
        (class.retry_safety == RetrySafety::Deduplicated).then_some(end)
    }

    /// Until when the first byte of an attempt may be sent, for the code that carries out actions: a repeat
    /// must reach its worker while the workers still drop it. `None` if the attempt is no such repeat.
    pub fn attempt_start_deadline(&self, id: RequestId, attempt: usize) -> Option<Micros> {
        let request = self.requests.get(&id)?;
        self.dedup_window_end(request.class, request.attempts.get(..attempt)?)
    }

    /// Sends a request, or queues it until a copy is loaded, or ends it if nothing more can be done.
    pub(crate) fn place(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.done) else { return };
        let (function_slot, class, lost, retry) =
            (request.function, request.class, request.lost, request.retry);
        if request.attempts.iter().any(|a| a.open) {
            return;
        }
        let may_have_run = request.attempts.iter().any(|a| a.may_have_run);
        let window_over = self.dedup_window_end(class, &request.attempts).is_some_and(|end| now >= end);
        // The deadline is checked here because an attempt may time out just before the request's timer fires.
        if now >= request.deadline
            || request.attempts.iter().filter(|a| !a.open && !a.may_have_run).count() >= MAX_REJECTIONS
            || request.attempts.len() as u32 >= self.settings.max_attempts
            || may_have_run && self.settings.classes[class].retry_safety == RetrySafety::Unsafe
            || window_over
            // Keeps calls that no worker can serve from going round the workers: each replies with an error.
            || request.errors >= MAX_ERRORS_NEVER_SERVED && !self.functions[function_slot].ever_served
        {
            return self.finish(id, out);
        }
        let mut free = self.free_workers(function_slot, now);
        free.retain(|&worker_slot| self.may_receive(id, worker_slot, now));
        if request.probing.is_some() && self.queued_too_long(id, now) {
            return self.finish(id, out);
        }
        let Some(free) = self.choices_after_probe(id, free, now) else { return };
        if let Some(worker_slot) = self.pick_random(&free) {
            if !self.ensure_ready(now, id, worker_slot, out) {
                return;
            }
            // Exception with several front ends: requests of the others take lanes too. If each of them has
            // as many in flight as this one had lately, all known lanes are taken. That is a loss which
            // cannot be seen here.
            let function = &self.functions[function_slot];
            let (service_time, lanes) = (function.service_time, f64::from(function.lanes));
            let known = function.copies.values().filter(|copy| copy.warm(now)).count() as f64;
            if self.settings.front_ends > 1
                && !(lost || retry)
                && self.fleet_calls(function_slot, service_time) > known * lanes
            {
                self.functions[function_slot].last_loss = now;
                self.add_copy(function_slot, now, Some(id), out);
            }
            return self.send(now, id, worker_slot, out);
        }
        // A retry by the client is no new loss: its first try has been counted.
        let new_loss = !(lost || retry);
        if new_loss {
            self.functions[function_slot].last_loss = now;
        }
        self.requests.entry(id).and_modify(|r| r.lost = true);
        let copies = &self.functions[function_slot].copies;
        let fits = |worker_slot: &usize| {
            self.usable(*worker_slot, class, now) && self.may_receive(id, *worker_slot, now)
        };
        // Ties go to the worker with the fewest requests of all front ends (in sixteenths, as an integer
        // key): with many front ends ours are mostly zero.
        let load = |worker_slot: usize, copy: &CopyRecord| {
            let inflight = self.estimated_inflight(worker_slot, now) * self.workers[worker_slot].slowness;
            (copy.our_inflight, (inflight * 16.0) as u64)
        };
        let warm: Vec<usize> = copies
            .iter()
            .filter(|(worker_slot, copy)| copy.warm(now) && fits(worker_slot))
            .map(|(&worker_slot, _)| worker_slot)
            .collect();
        let Some(warm) = self.choices_after_probe(id, warm, now) else { return };
        if let Some(worker_slot) = warm
            .into_iter()
            .min_by_key(|&worker_slot| (load(worker_slot, &copies[&worker_slot]), worker_slot))
        {
            if !self.ensure_ready(now, id, worker_slot, out) {
                return;
            }
            if new_loss {
                self.add_copy(function_slot, now, Some(id), out);
            }
            return self.send(now, id, worker_slot, out);
        }
        if self.queued_too_long(id, now) {
            return self.finish(id, out);
        }
        self.enqueue(function_slot, id);
        if self.query_copies(function_slot, now, out) {
            return;
        }
        let queued = self.functions[function_slot].queued.len() as u32;
        let function = &self.functions[function_slot];
        let loading = function.copies.values().filter(|copy| copy.loading()).count() as u32;
        if queued > loading * function.lanes.max(2)
            && !self.add_copy(function_slot, now, Some(id), out)
            && loading == 0
        {
            // No load command may be sent, because of a limit or the settings. If calls load by themselves,
            // this one does.
            let may_send = self.settings.load_on_miss && f64::from(self.inflight_loads) < self.load_cap;
            if let Some(worker_slot) =
                may_send.then(|| self.choose_load_target(function_slot, now, Some(id))).flatten()
            {
                if self.ensure_ready(now, id, worker_slot, out) {
                    self.send(now, id, worker_slot, out);
                }
            }
        }
    }

    /// Whether a request has been queued without an attempt for so long that refusing it is better: the
    /// client still has time to try again, which is worth more than a place in the queue.
    pub(crate) fn queued_too_long(&self, id: RequestId, now: Micros) -> bool {
        let request = &self.requests[&id];
        let longest = ((request.deadline - request.arrived_at) as f64 * MAX_QUEUED_FRACTION) as Micros;
        let ever_served = self.functions[request.function].ever_served;
        let longest = if ever_served { longest } else { longest.min(MAX_QUEUED_NEVER_SERVED) };
        request.attempts.is_empty() && now.saturating_sub(request.arrived_at) > longest
    }

    /// Sends an attempt of a request to a worker.
    pub(crate) fn send(&mut self, now: Micros, id: RequestId, worker_slot: usize, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let function = &self.functions[request.function];
        let cold =
            function.copies.get(&worker_slot).is_none_or(|copy| !copy.warm(now) && !copy.load_pending());
        let usual_load = if function.load_time > 0.0 { function.load_time } else { DEFAULT_TIME as f64 };
        let load = if cold { usual_load } else { 0.0 };
        let expected_time = function.service_time.max(MIN_SERVICE_TIME) + load;
        let overdue_after =
            OVERDUE_RATIO * function.service_time.max(MIN_OVERDUE_SERVICE_TIME) + SLOW_LOAD_RATIO * load;
        let (timeout, class) = (request.deadline.saturating_sub(now).max(MS), request.class);
        self.record_send(now, id, worker_slot, cold, (expected_time, overdue_after));
        let threshold = self.random_fraction();
        let worker = &mut self.workers[worker_slot];
        worker.cold_threshold = threshold;
        worker.cold_budget -= self.class_service_time[class];
        worker.next_trial = now + self.trial_interval;
        out.push(Action::Send { id, worker: worker.entry.worker.clone(), timeout });
    }

    /// Places the queued requests of one function, or of all, again.
    pub(crate) fn place_queued(&mut self, only: Option<usize>, now: Micros, out: &mut Vec<Action>) {
        self.queued(only).into_iter().for_each(|id| self.place(now, id, out));
    }
}
