//! Carrying out the controller's actions.
use super::timers::Timer;
use super::worker_pool::Worker;
use super::{Attempt, Core, LoadCommand};
use crate::messages::{AttemptKey, AttemptReport, Response};
use heronslip_policy::{Action, Micros, Outcome, WorkerState};
use std::time::Instant;

/// When the limit on worker connections is reached, this fraction (1/32) of the limit is closed at a time.
const IDLE_EVICTION_DIVISOR: usize = 32;

/// What a worker connection is needed for.
#[derive(Clone, Copy)]
enum ConnectionUse {
    /// A call, with the id that the worker receives.
    Call(u64),
    /// A load command, a copy query or a probe.
    Command,
}

impl Core {
    pub(super) fn perform(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Send { id, worker, timeout } => self.send_attempt(now, id, worker, timeout),
            Action::Cancel { id, attempt } => {
                let key = AttemptKey { request: id, attempt };
                let attempt = self.requests.get(&id).and_then(|o| o.attempts.get(attempt)).filter(|a| a.open);
                if let Some(worker) = attempt.and_then(|a| self.workers.get_mut(&a.worker)) {
                    worker.cancel(key);
                    self.record_attempt_end(key, AttemptReport::without_reply(Outcome::Cancelled));
                    self.remove_if_finished(id);
                }
            }
            Action::Refuse { id, retry_after } => {
                self.log_rejection(id, "refused");
                self.respond(id, Response::Refused { retry_after });
                self.remove_if_finished(id);
            }
            Action::Fail { id } => {
                self.log_rejection(id, "failed");
                self.respond(id, Response::Failed);
                self.remove_if_finished(id);
            }
            Action::Timer { delay, token } => {
                self.timers.schedule(now.saturating_add(delay), Timer::Controller(token));
            }
            Action::Load { worker, function, count } => {
                self.last_id += 1;
                let command = self.last_id;
                let sent = LoadCommand { worker: worker.clone(), function, sent_at: now };
                self.load_commands.insert(command, sent);
                // A draining worker must not get a load command, whatever the controller assumes.
                let may_send = |w: &&mut Worker| w.listing.state == WorkerState::Ready || count == 0;
                let has_connection = self.reserve_connection(&worker, ConnectionUse::Command);
                let until = self.lease_end(&worker);
                match self.workers.get_for_send(&worker).filter(may_send) {
                    Some(worker) if has_connection => {
                        worker.transport.send_load(command, function, count, until)
                    }
                    Some(_) => self.reports.load_ended(command, Outcome::NotSent, 0),
                    None => self.reports.load_ended(command, Outcome::ConnectFailed, 0),
                }
                self.timers.schedule(now + self.limits.command_timeout, Timer::LoadTimeout(command));
            }
            Action::Probe { worker } => {
                log_limited!("worker {worker}: sending a probe, as it is no longer known to be ready");
                self.last_id += 1;
                let probe = self.last_id;
                let has_connection = self.reserve_connection(&worker, ConnectionUse::Command);
                match self.workers.get_for_send(&worker) {
                    Some(worker) if has_connection => worker.transport.send_probe(probe),
                    Some(_) => self.reports.probe_ended(probe, Outcome::NotSent, None),
                    None => self.reports.probe_ended(probe, Outcome::ConnectFailed, None),
                }
                self.probes.insert(probe, worker);
                self.timers.schedule(now + self.limits.probe_timeout, Timer::ProbeTimeout(probe));
            }
            Action::Unload { worker, function } => {
                let has_connection = self.reserve_connection(&worker, ConnectionUse::Command);
                if let Some(worker) = self.workers.get_for_send(&worker).filter(|_| has_connection) {
                    worker.transport.unload(function);
                }
            }
            Action::Log { text } => log_limited!("controller: {text}"),
            Action::Subscribe => {} // discovery pushes updates without a subscription
        }
    }

    /// Logs a response that the controller decided on.
    fn log_rejection(&self, id: u64, response: &str) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.answered) else { return };
        let elapsed = self.clock.now().saturating_sub(self.clock.at(open.request.received_at));
        let (wire_id, attempts) = (open.request.wire_id, open.attempts.len());
        log_limited!(
            "request {wire_id:016x}: {response} after {} ms and {attempts} attempts",
            elapsed / 1_000
        );
    }

    /// The end of a worker's lease, after which no first byte of a new exchange may be sent to it. The
    /// controller's decision may wait for a connection or a full socket, and the lease it rests on may expire
    /// meanwhile.
    fn lease_end(&self, worker: &str) -> Option<Instant> {
        self.controller.worker_lease_end(worker).map(|end| self.clock.instant(end))
    }

    /// When the first byte of an attempt may no longer be sent: its worker's lease ends, or workers forget the
    /// idempotency key of the attempt that it repeats.
    fn start_deadline(&self, key: AttemptKey, worker: &str) -> Option<Instant> {
        let window_end = self.controller.attempt_start_deadline(key.request, key.attempt);
        let window_end = window_end.map(|end| self.clock.instant(end));
        [self.lease_end(worker), window_end].into_iter().flatten().min()
    }

    /// Whether an exchange with a worker can use an open connection or open a new one. At the limit on worker
    /// connections, which bounds the descriptors, some of the idle connections are closed, least recently
    /// used first. Commands and probes may use three quarters of the limit and leave the rest to calls: a new
    /// function may be queried at all workers at once.
    fn reserve_connection(&mut self, worker: &str, purpose: ConnectionUse) -> bool {
        let limit = self.limits.worker_connections;
        let (call, max_connections) = match purpose {
            ConnectionUse::Call(wire_id) => (Some(wire_id), limit),
            ConnectionUse::Command => (None, limit - limit / 4),
        };
        if !self.workers.get(worker).is_some_and(|w| w.transport.needs_connection(call)) {
            return true;
        }
        // Several at a time: finding the longest idle connections is too costly for each exchange.
        let has_room = self.workers.connections() < max_connections
            || self.workers.close_idle(limit / IDLE_EVICTION_DIVISOR + 1) > 0
            || self.workers.recount_connections() < max_connections;
        if has_room {
            self.workers.reserve_connection();
        } else {
            log_limited!(
                "worker {worker}: nothing sent: {} worker connections are in use",
                self.workers.connections()
            );
        }
        has_room
    }

    fn send_attempt(&mut self, now: Micros, id: u64, worker: String, timeout: Micros) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let key = AttemptKey { request: id, attempt: open.attempts.len() };
        let request = open.request.clone();
        let left = self.remaining_wait(now, &request);
        let budget = if timeout == 0 { left } else { timeout.min(left) };
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.attempts.push(Attempt { worker: worker.clone(), sent_at: now, open: true, may_have_run: true });
        let still_needed = !open.answered && !open.client.has_left() && budget > 0;
        let has_connection =
            still_needed && self.reserve_connection(&worker, ConnectionUse::Call(request.wire_id));
        let is_ready = |w: &&mut Worker| w.listing.state == WorkerState::Ready;
        let start_deadline = self.start_deadline(key, &worker);
        match self.workers.get_for_send(&worker).filter(is_ready) {
            Some(worker) if has_connection => {
                worker.transport.send_attempt(key, &request, budget, start_deadline);
                self.timers.schedule(now.saturating_add(budget), Timer::AttemptTimeout(key));
            }
            _ => {
                self.record_attempt_end(key, AttemptReport::without_reply(Outcome::NotSent));
                self.remove_if_finished(id);
            }
        }
    }
}
