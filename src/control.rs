//! Entry point of the decision logic: [`Controller::handle`] takes an event, calls the modules that decide,
//! and returns actions.
//!
//! The main path follows the paper on adaptive replication in loss networks. A request goes to a uniformly
//! random worker among those that are assumed to have the function loaded with a free lane: see `placement`.
//! If there is none, that is a loss. Losses, real or virtual, add copies where the least recently lost
//! function is idle: see `replication`. Everything else protects this path: admission, slow start, health,
//! retries and readiness.
use crate::admission::{NewCall, MIN_INFLIGHT_TO_REFUSE};
use crate::fleet_stats::MAX_RATE_SPAN;
use crate::health::{AttemptResult, ALL_CALLS, TRIAL_INTERVAL};
use crate::interface::*;
use crate::replication::{
    rendezvous_score, MAX_LOAD_CAP, MAX_LOAD_COST, MAX_LOAD_TOKENS, MAX_QUERY_COST, MAX_QUERY_TOKENS,
    QUERY_TOKENS_PER_CALL,
};
use crate::state::*;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// A millisecond.
pub(crate) const MS: Micros = 1_000;
/// A second.
pub(crate) const SEC: Micros = 1_000_000;
/// Period of the timer while requests are open, in microseconds: well below any latency target.
pub(crate) const TICK: Micros = 20 * MS;
/// Period of the fleet statistics, which visit every worker, and of the timer while no request is open, in
/// microseconds.
const STATS_PERIOD: Micros = 100 * MS;
/// The final response is given this long before the client gives up, in microseconds.
pub(crate) const RESPONSE_MARGIN: Micros = 8 * MS;
/// Longest time accepted from settings and requests, in microseconds, so that times cannot overflow.
pub(crate) const MAX_TIME: Micros = 3_600 * SEC;
/// Load time if none is known, in microseconds. Also a fifth of the keep-alive if none is stated, and the
/// bound on the latency target from which the service time of a class is first estimated.
pub(crate) const DEFAULT_TIME: Micros = SEC;
/// Without an event for longer, timers included, this front end has stalled; in microseconds.
const STALL_THRESHOLD: Micros = 2 * STATS_PERIOD;
/// Tokens for further attempts that a request earns: bounds what retries add to an overload.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.15;
/// Tokens for further attempts at the start.
const INITIAL_RETRY_TOKENS: f64 = 5.0;
/// Most tokens for further attempts that are saved up.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Most lanes of a copy that are used.
const MAX_LANES: u32 = 1024;
/// Most requests whose arrival times are kept. Rates beyond are taken for that of these.
const MAX_REQUEST_TIMES: usize = 1 << 15;
/// Token of the periodic timer. The timer of a request has the token `id << 1 | 1`.
const PERIODIC_TIMER: u64 = 0;

impl Controller {
    /// Creates the decision logic of a front end that knows nothing yet; `seed` seeds its random numbers.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // Requests of an unknown class use an additional class: unsafe, without a latency target or worth.
        settings.classes.push(ClassSettings::default());
        for class in &mut settings.classes {
            class.latency_target =
                if class.latency_target > 0 { class.latency_target.min(MAX_TIME) } else { MAX_TIME };
            class.dedup_window = class.dedup_window.min(MAX_TIME);
        }
        settings.max_attempts = settings.max_attempts.wrapping_sub(1).saturating_add(1); // 0: no limit
        let times = [&mut settings.load_window, &mut settings.overload_window, &mut settings.keep_alive];
        times.into_iter().for_each(|time| *time = (*time).min(MAX_TIME));
        let initial_service_time =
            |class: &ClassSettings| class.latency_target.min(DEFAULT_TIME) as f64 / 4.0;
        Controller {
            rng: Some(Pcg32::seed_from_u64(seed)),
            class_service_time: settings.classes.iter().map(initial_service_time).collect(),
            tenant_requests: vec![0.0; settings.tenants.len()],
            mean_inflight: MIN_INFLIGHT_TO_REFUSE,
            load_cap: MAX_LOAD_CAP / 2.0,
            trial_interval: TRIAL_INTERVAL,
            retry_tokens: INITIAL_RETRY_TOKENS,
            query_tokens: if settings.probe_cost > MAX_QUERY_COST { 0.0 } else { MAX_QUERY_TOKENS },
            load_tokens: MAX_LOAD_TOKENS,
            settings,
            ..Controller::default()
        }
    }

    /// Handles one event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.ticks == 0 {
            self.ticks = 1;
            out.push(Action::Timer { delay: TICK, token: PERIODIC_TIMER });
            out.extend(self.settings.must_subscribe.then_some(Action::Subscribe));
        }
        let now = now.min(u64::MAX / 4); // so that adding times to it cannot overflow
        if now > self.last_event_at + STALL_THRESHOLD {
            self.resumed_at = now;
            self.on_stall(self.last_event_at);
        }
        self.last_event_at = now;
        match event {
            Event::WorkerList { full, entries } => self.on_worker_list(now, full, entries, out),
            Event::Discovery { state } => self.on_discovery(now, state),
            Event::Probed { .. } => self.on_probed(now, event, out),
            Event::ClientShare { id, share } => self.next_client_share = Some((id, share.clamp(0.0, 1.0))),
            Event::Request { id, .. } if self.requests.contains_key(&id) => {}
            Event::Request { .. } => self.on_request(now, event, out),
            Event::Outcome { .. } => self.on_outcome(now, event, out),
            Event::RequestCancelled { id } => {
                self.record_early_cancel(now, id);
                self.close_request(id, out);
            }
            Event::Timer { token: PERIODIC_TIMER } => {
                self.on_tick(now, out);
                let delay = if self.requests.is_empty() { STATS_PERIOD } else { TICK };
                out.push(Action::Timer { delay, token: PERIODIC_TIMER });
            }
            Event::Timer { token } if self.requests.get(&(token >> 1)).is_none_or(|r| now < r.deadline) => {}
            Event::Timer { token } => self.finish(token >> 1, out),
            Event::Loaded { worker, function, count, outcome, elapsed } => {
                let known = (self.worker_slots.get(&worker), self.function_slots.get(&function));
                if let (Some(&worker_slot), Some(&function_slot)) = known {
                    self.on_loaded(now, worker_slot, function_slot, (count, outcome, elapsed), out);
                }
            }
        }
    }

    /// Whether the timer with this token still has an effect when it fires.
    pub fn needs_timer(&self, token: u64) -> bool {
        token == PERIODIC_TIMER || self.requests.get(&(token >> 1)).is_some_and(|request| !request.done)
    }

    /// Handles an update of the worker list.
    pub(crate) fn on_worker_list(
        &mut self, now: Micros, full: bool, entries: Vec<WorkerEntry>, out: &mut Vec<Action>,
    ) {
        let (started, emptied) = self.apply_worker_list(now, full, entries, rendezvous_score);
        for worker_slot in started {
            // A new process: it has no copies, and its earlier slowness and reports no longer hold.
            let threshold = self.random_fraction();
            let worker = &mut self.workers[worker_slot];
            (worker.disconnected, worker.slow) = (false, false);
            (worker.slowness, worker.cold_budget) = (1.0, 0.0);
            worker.cold_threshold = threshold;
            worker.report = None;
        }
        emptied.into_iter().for_each(|worker_slot| self.forget_copies(worker_slot));
        self.place_queued(None, now, out);
    }

    /// Handles a client's request.
    pub(crate) fn on_request(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, function, timeout, memory_mb, lanes, load_time, retry } =
            event
        else {
            return;
        };
        let class = class.min(self.settings.classes.len() - 1);
        let positive_or =
            |value: f64, other: f64| if value.is_finite() && value > 0.0 { value } else { other };
        if !self.has_room_for(function) {
            let retry_after = self.settings.max_retry_after / 2;
            return out.push(Action::Refuse { id, retry_after });
        }
        let (function_slot, new) = self.find_or_add_function(function);
        if new {
            let (service_time, load_time) = (self.class_service_time[class], load_time.min(MAX_TIME) as f64);
            self.functions[function_slot] =
                Function { id: function, service_time, load_time, ..Function::default() };
        }
        self.functions[function_slot].called_again |= !new;
        self.last_called = function_slot;
        let record = &mut self.functions[function_slot];
        record.memory_mb = positive_or(memory_mb, record.memory_mb);
        record.lanes = lanes.clamp(1, MAX_LANES);
        let past = now.saturating_sub(record.last_call) as f64;
        record.recent_calls = record.recent_calls * (-past / MAX_RATE_SPAN as f64).exp() + 1.0;
        (record.class, record.last_call) = (class, now);
        self.set_skipped(function_slot, self.our_share(function_slot).0, rendezvous_score);
        let lifetime = self.copy_lifetime(function_slot);
        for copy in self.functions[function_slot].copies.values_mut().filter(|copy| copy.count > 0) {
            copy.expires_at = copy.expires_at.max(copy.confirmed_at + lifetime);
        }
        if self.request_times.len() >= MAX_REQUEST_TIMES {
            self.request_times.pop_front();
        }
        self.request_times.push_back(now);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        let cost = self.settings.probe_cost.max(0.0);
        let query_tokens = if cost > MAX_QUERY_COST { 0.0 } else { QUERY_TOKENS_PER_CALL };
        self.query_tokens = (self.query_tokens + query_tokens).min(MAX_QUERY_TOKENS);
        let load_tokens = (MAX_LOAD_COST / cost).min(MAX_LOAD_TOKENS);
        self.load_tokens = (self.load_tokens + load_tokens).min(MAX_LOAD_TOKENS);
        let timeout = timeout.min(MAX_TIME);
        let deadline = now + timeout.saturating_sub(RESPONSE_MARGIN);
        let tenant = tenant.filter(|&t| t < self.tenant_requests.len());
        tenant.into_iter().for_each(|t| self.tenant_requests[t] += 1.0);
        let request = Request {
            function: function_slot,
            class,
            tenant,
            arrived_at: now,
            deadline,
            retry,
            lost: false,
            done: false,
            errors: 0,
            probing: None,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        let service_time = self.functions[function_slot].service_time;
        let client_share = self.next_client_share.take().filter(|&(of, _)| of == id).map_or(1.0, |(_, s)| s);
        let call = NewCall { class, tenant, timeout: timeout as f64, service_time, client_share };
        if timeout <= RESPONSE_MARGIN || self.overloaded(&call) {
            return self.finish(id, out);
        }
        // Whatever else happens, this timer ends the request in time.
        out.push(Action::Timer { delay: deadline - now, token: id << 1 | 1 });
        if self.virtual_loss(function_slot, now) {
            self.functions[function_slot].last_loss = now;
            self.add_copy(function_slot, now, None, out);
        }
        self.place(now, id, out);
    }

    /// Gives the final response: refused if no attempt can have run, else failed. Attempts in flight are
    /// cancelled.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.done) else { return };
        let may_have_run = request.attempts.iter().any(|a| a.may_have_run);
        let retry_after = self.settings.max_retry_after / 2;
        out.push(if may_have_run { Action::Fail { id } } else { Action::Refuse { id, retry_after } });
        self.close_request(id, out);
    }

    /// Handles the end of an attempt.
    pub(crate) fn on_outcome(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, outcome, elapsed, closed, warm, function_inflight, inflight } =
            event
        else {
            return;
        };
        let number = attempt;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(number).filter(|a| a.open) else { return };
        attempt.open = false;
        attempt.may_have_run = outcome.may_have_run();
        request.errors += u32::from(outcome == Outcome::Error);
        let (worker_slot, function_slot, kind) =
            (attempt.worker, request.function, (request.tenant, request.class));
        let attempt = attempt.clone();
        self.workers[worker_slot].attempts.remove(&(attempt.sent_at, id, number));
        let before_restart = attempt.sent_at < self.workers[worker_slot].entry.started_at;
        let until = now + self.copy_lifetime(function_slot);
        let copy = self.functions[function_slot]
            .copies
            .get_mut(&worker_slot)
            .expect("the copy record stays while an attempt is in flight");
        copy.our_inflight -= 1;
        copy.cold_sends -= u32::from(attempt.cold);
        self.inflight_loads -= u32::from(attempt.cold);
        let mut served = false;
        if self.workers[worker_slot].ready() && !before_restart {
            match outcome {
                Outcome::Ok => {
                    served = true;
                    self.workers[worker_slot].blocks.retain(|&key, _| key != kind && key != ALL_CALLS);
                    copy.count = copy.count.max(1);
                    (copy.expires_at, copy.confirmed_at) = (copy.expires_at.max(until), now);
                }
                Outcome::Miss => copy.count = 0,
                _ => {}
            }
            if let Some(inflight) = function_inflight {
                let ours = attempt.our_inflight_then.saturating_sub(1);
                copy.others_inflight = OthersInflight { at: now, count: inflight.saturating_sub(ours) };
            }
        }
        if served {
            self.confirm_ready(worker_slot, attempt.sent_at);
        }
        if outcome == Outcome::Rejected {
            self.workers[worker_slot].lease.refute(attempt.sent_at);
            self.record_rejection(worker_slot, kind, now);
        }
        self.record_report(worker_slot, now, inflight);
        if !before_restart {
            let request_done = self.requests.get(&id).is_none_or(|r| r.done);
            let loaded_for_it = attempt.cold || warm == Some(false);
            let result = AttemptResult { outcome, elapsed, request_done, loaded_for_it };
            self.update_slowness(now, function_slot, &attempt, result);
        }
        self.served += f64::from(u8::from(outcome == Outcome::Ok));
        self.functions[function_slot].ever_served |= outcome == Outcome::Ok;
        match closed || self.requests[&id].done {
            true => self.close_request(id, out),
            false => self.place(now, id, out),
        }
        self.place_queued(Some(function_slot), now, out);
    }

    /// Counts a call that its client gave up before it could be done as one that has left at the usual pace.
    /// Otherwise clients that leave early make the pace look so slow that all others are refused.
    pub(crate) fn record_early_cancel(&mut self, now: Micros, id: RequestId) {
        let Some(attempt) = self.requests.get(&id).and_then(|request| request.attempts.last()) else {
            return;
        };
        let waited = now.saturating_sub(attempt.sent_at) as f64;
        if attempt.open && waited < attempt.expected_time {
            self.served += 1.0;
        }
    }

    /// Records a worker's load report, if there is one.
    pub(crate) fn record_report(&mut self, worker_slot: usize, now: Micros, inflight: Option<f64>) {
        if let Some(inflight) = inflight.filter(|count| count.is_finite()) {
            let our_inflight = self.workers[worker_slot].attempts.len();
            self.workers[worker_slot].report =
                Some(LoadReport { at: now, inflight: inflight.max(0.0), our_inflight });
            self.load_reported = true;
        }
    }

    /// Handles the periodic timer: starts further attempts, places queued requests, and from time to time
    /// refreshes the fleet statistics.
    pub(crate) fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.ticks = self.ticks.saturating_add(1);
        if now >= self.stats_at + STATS_PERIOD {
            let past = if self.stats_at == 0 { STATS_PERIOD } else { now - self.stats_at };
            self.stats_at = now;
            self.refresh_fleet_stats(now, past, out);
        }
        self.retry_overdue(now, out);
        self.place_queued(None, now, out);
    }
}
