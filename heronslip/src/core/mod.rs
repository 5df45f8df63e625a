//! The core: one thread that owns the decision controller and the state of all open requests.
//!
//! Client protocol servers, worker transports and discovery reach it only through its queue of [`Message`]s.
//! It knows requests, attempts, outcomes and workers, but no wire format.
mod actions;
mod client_shares;
mod clock;
mod inspect;
mod list_updates;
mod start_times;
mod timers;
mod wire_ids;
mod worker_pool;

pub use clock::Clock;

use crate::limits::Limits;
use crate::messages::{AttemptKey, AttemptReport, Client, Message, Request, Response};
use crate::worker::ReportSender;
use client_shares::ClientShares;
use heronslip_policy::{Controller, DiscoveryState, Event, FunctionId, Micros, Outcome, Settings};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use timers::{Timer, Timers};
use wire_ids::WireIds;
use worker_pool::WorkerPool;

/// How often idle worker connections and removed workers are cleaned up.
const SWEEP_INTERVAL: Micros = 1_000_000;
/// Maximum number of queued messages that are handled after the first before due timers get their turn.
const MAX_MESSAGES_BEFORE_TIMERS: usize = 256;
/// Shortest time for which the id of a request that may have run is remembered after its end.
const MIN_ID_LIFETIME: Micros = 1_000_000;
/// Timers that fire later than this are logged: such a delay can exceed the time reserved for sending a
/// response.
const LATE_TIMER_LOG_THRESHOLD: Micros = 20_000;

/// State of the core that other threads may read directly.
#[derive(Default)]
pub struct SharedState {
    /// Requests accepted and not finished.
    pub open_requests: AtomicUsize,
    /// Whether the core runs and has received a worker list.
    pub ready: AtomicBool,
    /// Set late in a graceful shutdown, when the process may be killed before a new request could be served:
    /// new requests are refused at once.
    pub refuses_requests: AtomicBool,
}

struct Attempt {
    worker: String,
    sent_at: Micros,
    open: bool,
    /// Whether it may have run; so it is until its end shows that it has not.
    may_have_run: bool,
}

/// A request from its arrival until it has its response and all its attempts have ended.
struct OpenRequest {
    request: Arc<Request>,
    client: Arc<dyn Client>,
    tag: u64,
    tenant: Option<usize>,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// A load command or copy query that waits for its reply.
struct LoadCommand {
    worker: String,
    function: FunctionId,
    sent_at: Micros,
}

#[derive(Clone, Default)]
struct TenantCounters {
    received: u64,
    served: u64,
    refused: u64,
    failed: u64,
    cancelled: u64,
}

/// How an attempt or a probe ended, for the log.
fn describe(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "the worker replied with an error",
        Outcome::Rejected => "rejected by the worker",
        Outcome::Timeout => "timed out",
        Outcome::ConnectFailed => "connection failed",
        Outcome::Reset => "connection lost",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent",
        Outcome::Miss => "the function is not loaded at the worker",
    }
}

/// The state of the core's thread.
pub struct Core {
    controller: Controller,
    settings: Settings,
    limits: Arc<Limits>,
    clock: Clock,
    inbox: Receiver<Message>,
    reports: ReportSender,
    shared: Arc<SharedState>,
    /// Last id given to a request, load command, copy query or probe.
    last_id: u64,
    last_liveness_check: Micros,
    /// When the list of the discovery service was last known to be up to date; 0: never.
    list_current_at: Micros,
    requests: HashMap<u64, OpenRequest>,
    /// Core ids of unanswered requests by client connection and tag.
    requests_by_client: BTreeMap<(u64, u64), u64>,
    client_shares: ClientShares,
    /// Wire ids that may not be used for another request now.
    wire_ids: WireIds,
    workers: WorkerPool,
    load_commands: HashMap<u64, LoadCommand>,
    /// Worker of each open probe.
    probes: HashMap<u64, String>,
    timers: Timers,
    /// Events that the controller has not handled yet.
    events: VecDeque<Event>,
    /// By tenant; the last entry counts requests without a tenant.
    tenant_counters: Vec<TenantCounters>,
}

impl Core {
    /// Creates a core that knows no workers yet.
    pub fn new(
        settings: Settings, seed: u64, limits: Arc<Limits>, inbox: Receiver<Message>, reports: ReportSender,
        shared: Arc<SharedState>,
    ) -> Self {
        let tenant_counters = vec![TenantCounters::default(); settings.tenants.len() + 1];
        let wire_ids = WireIds::new(limits.wire_id_bytes);
        Core {
            controller: Controller::new(
                Settings { function_memory: limits.function_bytes, ..settings.clone() },
                seed,
            ),
            settings,
            limits,
            clock: Clock::start(),
            inbox,
            reports,
            shared,
            last_id: 0,
            last_liveness_check: 0,
            list_current_at: 0,
            requests: HashMap::new(),
            requests_by_client: BTreeMap::new(),
            client_shares: ClientShares::new(),
            wire_ids,
            workers: WorkerPool::default(),
            load_commands: HashMap::new(),
            probes: HashMap::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            tenant_counters,
        }
    }

    /// Handles messages and timers until all senders of the queue are dropped.
    pub fn run(mut self) {
        self.timers.schedule(self.clock.now() + SWEEP_INTERVAL, Timer::Sweep);
        self.timers.schedule(self.clock.now() + self.limits.liveness_poll_interval, Timer::LivenessCheck);
        loop {
            match self.inbox.recv_timeout(self.timers.time_to_next(self.clock.now())) {
                Ok(message) => {
                    self.handle_message(message);
                    // Queued messages go before timers: a reply that has arrived wins over its timeout.
                    for _ in 0..MAX_MESSAGES_BEFORE_TIMERS {
                        let Ok(message) = self.inbox.try_recv() else { break };
                        self.handle_message(message);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            let lateness = self.timers.lateness(now);
            if lateness > LATE_TIMER_LOG_THRESHOLD {
                // Distinguishes a starved machine from a fault of this program: responses due in that time
                // may be late.
                log_limited!(
                    "core: timers are {} ms late with {} open requests; responses may be late",
                    lateness / 1000,
                    self.requests.len()
                );
            }
            while let Some(timer) = self.timers.pop_due(self.clock.now()) {
                self.handle_timer(timer);
                self.run_controller();
            }
            if self.timers.should_prune() {
                self.prune_timers();
            }
        }
    }

    /// Removes the timers whose request, attempt or command has ended.
    fn prune_timers(&mut self) {
        let (requests, commands, probes) = (&self.requests, &self.load_commands, &self.probes);
        let controller = &self.controller;
        self.timers.prune(|timer| match timer {
            Timer::Controller(token) => controller.needs_timer(*token),
            Timer::AttemptTimeout(key) => {
                let attempt = requests.get(&key.request).and_then(|open| open.attempts.get(key.attempt));
                attempt.is_some_and(|attempt| attempt.open)
            }
            Timer::LoadTimeout(command) => commands.contains_key(command),
            Timer::ProbeTimeout(probe) => probes.contains_key(probe),
            Timer::RequestDeadline(id) => requests.get(id).is_some_and(|open| !open.answered),
            Timer::LivenessCheck | Timer::Sweep => true,
        });
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request { request, client, tag } => self.accept_request(request, client, tag),
            Message::RequestCancelled { connection, tag } => {
                if let Some(&id) = self.requests_by_client.get(&(connection, tag)) {
                    self.cancel_request(id);
                }
            }
            Message::ClientDisconnected { connection } => {
                let all_tags = (connection, 0)..=(connection, u64::MAX);
                let ids: Vec<u64> = self.requests_by_client.range(all_tags).map(|(_, &id)| id).collect();
                ids.into_iter().for_each(|id| self.cancel_request(id));
            }
            Message::AttemptEnded { key, report } => self.attempt_ended(key, report),
            Message::LoadEnded { command, outcome, copies } => self.load_ended(command, outcome, copies),
            Message::ProbeEnded { probe, outcome, inflight } => self.probe_ended(probe, outcome, inflight),
            Message::Discovery(state) => {
                if state == DiscoveryState::Current {
                    self.list_current_at = self.clock.now();
                }
                self.events.push_back(Event::Discovery { state });
            }
            Message::WorkerList { source, full, workers } => self.update_worker_list(source, full, workers),
            Message::Inspect { reply } => {
                let _ = reply.send(self.state_json()); // the requester may be gone
            }
        }
        self.run_controller();
    }

    fn accept_request(&mut self, mut request: Request, client: Arc<dyn Client>, tag: u64) {
        let _incoming = request.incoming.take(); // until the request is counted as open, or answered
        if client.has_left() {
            return;
        }
        if self.shared.refuses_requests.load(Ordering::Acquire) {
            return client.respond(tag, Response::Refused { retry_after: self.settings.max_retry_after / 2 });
        }
        // A worker could not tell apart two open requests with the same id, and one that has been sent may run
        // on after its client has left.
        if !self.wire_ids.open(request.wire_id, self.clock.now()) {
            log_limited!(
                "request {:016x}: failed: another request with this id is open or has been sent to a worker",
                request.wire_id
            );
            return client.respond(tag, Response::Failed);
        }
        let (class, tenant) = (request.class_index, request.tenant_index);
        // A request's timers stay for its whole wait. This bounds their memory and the time of a shutdown.
        let max_wait = self.settings.classes.get(class).map(|c| c.client_timeout).filter(|&span| span > 0);
        request.wait = request.wait.min(max_wait.unwrap_or(request.wait));
        self.last_id += 1;
        let id = self.last_id;
        let now = self.clock.now();
        let left = self.remaining_wait(now, &request);
        let share = self.client_shares.open(client.connection_id());
        self.events.push_back(Event::ClientShare { id, share });
        self.events.push_back(Event::Request {
            id,
            class,
            tenant,
            function: request.function,
            timeout: left,
            memory_mb: request.memory_mb,
            lanes: request.lanes,
            load_time: request.load_time,
            retry: request.is_retry,
        });
        self.requests_by_client.insert((client.connection_id(), tag), id);
        self.shared.open_requests.fetch_add(1, Ordering::AcqRel);
        self.counters(tenant).received += 1;
        // The controller ends each request in time; this timer answers it if the controller does not.
        self.timers.schedule(now.saturating_add(left), Timer::RequestDeadline(id));
        let (request, answered, attempts) = (Arc::new(request), false, Vec::new());
        self.requests.insert(id, OpenRequest { request, client, tag, tenant, answered, attempts });
    }

    /// The rest of a client's wait, less the time reserved for sending the response. The reserve keeps
    /// responses from being lost when the machine stalls for some tens of milliseconds just before the client
    /// gives up.
    fn remaining_wait(&self, now: Micros, request: &Request) -> Micros {
        let elapsed = now.saturating_sub(self.clock.at(request.received_at));
        request.wait.saturating_sub(elapsed + self.limits.response_margin(request.wait))
    }

    fn counters(&mut self, tenant: Option<usize>) -> &mut TenantCounters {
        let last = self.tenant_counters.len() - 1;
        &mut self.tenant_counters[tenant.unwrap_or(last).min(last)]
    }

    fn cancel_request(&mut self, id: u64) {
        if self.close_request(id).is_some() {
            self.events.push_back(Event::RequestCancelled { id });
            self.run_controller();
            self.remove_if_finished(id);
        }
    }

    /// Marks a request as answered, and returns where its response goes; `None` if it was answered before.
    fn close_request(&mut self, id: u64) -> Option<(Arc<dyn Client>, u64, Option<usize>)> {
        let open = self.requests.get_mut(&id).filter(|o| !o.answered)?;
        open.answered = true;
        let (client, tag, tenant) = (open.client.clone(), open.tag, open.tenant);
        self.requests_by_client.remove(&(client.connection_id(), tag));
        self.client_shares.close(client.connection_id());
        self.withdraw_attempts(id);
        Some((client, tag, tenant))
    }

    /// Keeps attempts of a request from being begun that have not been.
    fn withdraw_attempts(&mut self, id: u64) {
        let Some(open) = self.requests.get(&id) else { return };
        for (number, attempt) in open.attempts.iter().enumerate().filter(|(_, attempt)| attempt.open) {
            if let Some(worker) = self.workers.get_mut(&attempt.worker) {
                let key = AttemptKey { request: id, attempt: number };
                worker.transports().for_each(|transport| transport.withdraw_attempt(key));
            }
        }
    }

    /// Sends the final response. A second response to the same request is dropped.
    fn respond(&mut self, id: u64, response: Response) {
        let Some((client, tag, tenant)) = self.close_request(id) else { return };
        let counters = self.counters(tenant);
        match &response {
            Response::Served(_) => counters.served += 1,
            Response::Refused { .. } => counters.refused += 1,
            Response::Failed => counters.failed += 1,
        }
        client.respond(tag, response);
    }

    /// Removes a request that is answered and has no open attempt.
    fn remove_if_finished(&mut self, id: u64) {
        if self.requests.get(&id).is_none_or(|o| !o.answered || o.attempts.iter().any(|a| a.open)) {
            return;
        }
        let Some(OpenRequest { request, attempts, .. }) = self.requests.remove(&id) else { return };
        self.shared.open_requests.fetch_sub(1, Ordering::AcqRel);
        if attempts.iter().any(|attempt| attempt.may_have_run) {
            let until = self.clock.now().saturating_add(request.wait.max(MIN_ID_LIFETIME));
            self.wire_ids.remember(request.wire_id, until);
        } else {
            self.wire_ids.release(request.wire_id);
        }
    }

    /// Records the end of an attempt and passes it to the controller at once.
    fn attempt_ended(&mut self, key: AttemptKey, report: AttemptReport) {
        self.record_attempt_end(key, report);
        self.run_controller();
        self.remove_if_finished(key.request);
    }

    /// Records the end of an attempt and queues it as the controller's next event. Reports of an attempt that
    /// has already ended are dropped.
    fn record_attempt_end(&mut self, key: AttemptKey, report: AttemptReport) {
        let AttemptKey { request: id, attempt: number } = key;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(number).filter(|a| a.open) else { return };
        attempt.open = false;
        attempt.may_have_run = report.outcome.may_have_run();
        let elapsed = self.clock.now().saturating_sub(attempt.sent_at);
        if report.outcome != Outcome::Ok {
            log_limited!(
                "request {:016x}: attempt {number} at worker {} ended after {} ms: {}",
                open.request.wire_id,
                attempt.worker,
                elapsed / 1_000,
                describe(report.outcome)
            );
        }
        let AttemptReport { outcome, warm, function_inflight, inflight, payload } = report;
        if let (Outcome::Ok, Some(payload)) = (outcome, payload) {
            self.respond(id, Response::Served(payload));
        }
        let closed = self.requests.get(&id).is_none_or(|o| o.answered);
        self.events.push_back(Event::Outcome {
            id,
            attempt: number,
            outcome,
            elapsed,
            closed,
            warm,
            function_inflight,
            inflight,
        });
    }

    fn load_ended(&mut self, command: u64, outcome: Outcome, count: u32) {
        let Some(LoadCommand { worker, function, sent_at }) = self.load_commands.remove(&command) else {
            return;
        };
        let elapsed = self.clock.now().saturating_sub(sent_at);
        self.events.push_back(Event::Loaded { worker, function, count, outcome, elapsed });
    }

    fn probe_ended(&mut self, probe: u64, outcome: Outcome, inflight: Option<f64>) {
        if let Some(worker) = self.probes.remove(&probe) {
            if outcome != Outcome::Ok {
                log_limited!("worker {worker}: probe failed: {}", describe(outcome));
            }
            self.events.push_back(Event::Probed { worker, outcome, inflight });
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Controller(token) => self.events.push_back(Event::Timer { token }),
            Timer::AttemptTimeout(key) => {
                // Ends attempts at workers that disappear without closing their connection.
                let attempt = self.requests.get(&key.request).and_then(|o| o.attempts.get(key.attempt));
                if let Some(attempt) = attempt.filter(|a| a.open) {
                    if let Some(worker) = self.workers.get_mut(&attempt.worker) {
                        worker.cancel(key);
                    }
                    self.attempt_ended(key, AttemptReport::without_reply(Outcome::Timeout));
                }
            }
            Timer::LoadTimeout(command) => {
                // A connection that still waits for the reply to a lost command would never become idle.
                let worker = self.load_commands.get(&command).map(|c| &c.worker);
                if let Some(worker) = worker.and_then(|w| self.workers.get_mut(w)) {
                    worker.transports().for_each(|t| t.abandon(command));
                }
                self.load_ended(command, Outcome::Timeout, 0);
            }
            Timer::ProbeTimeout(probe) => {
                let worker = self.probes.get(&probe);
                if let Some(worker) = worker.and_then(|w| self.workers.get_mut(w)) {
                    worker.transports().for_each(|t| t.abandon(probe));
                }
                self.probe_ended(probe, Outcome::Timeout, None);
            }
            Timer::RequestDeadline(id) => {
                self.respond(id, Response::Failed);
                self.remove_if_finished(id);
            }
            Timer::LivenessCheck => {
                let (now, interval) = (self.clock.now(), self.limits.liveness_poll_interval);
                // If this process itself was stalled, replies that arrived meanwhile are not read yet: a
                // check now would close healthy connections.
                if now < self.last_liveness_check + 2 * interval {
                    self.workers.check_liveness();
                }
                self.workers.recount_connections();
                self.last_liveness_check = now;
                self.timers.schedule(now + interval, Timer::LivenessCheck);
            }
            Timer::Sweep => {
                self.workers.sweep();
                self.timers.schedule(self.clock.now() + SWEEP_INTERVAL, Timer::Sweep);
            }
        }
    }

    /// Passes queued events to the controller and performs its actions until no event is left.
    fn run_controller(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.controller.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }
}
