//! A simulated front end: the real controller of `heronslip-policy`, with simulated sockets and clients.
use super::calls::{CallOutcome, CallRecord};
use crate::catalogue::Catalogue;
use crate::time::{milliseconds, SECOND};
use crate::world::{worker_number, Command, ListEvent, Reply, WorkerCall};
use heronslip_policy::{
    Action, Controller, DiscoveryState, Event, Footprint, Micros, Outcome, Settings, WorkerEntry,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Shortest wait of a client before its next retry, also where a refusal states a shorter one or none.
const MIN_RETRY_WAIT_MS: f64 = 100.0;
/// A call that started within this time of its arrival, after a load command, found the copy already loaded
/// and does not count as cold.
const ALREADY_LOADED_WITHIN: Micros = 20_000;
/// Timeout of a client whose class states none.
const DEFAULT_CLIENT_TIMEOUT: Micros = 3 * SECOND;
/// Spreads the seeds of runs, so that front ends of different runs get different seeds: 2^64 divided by the
/// golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// An event at a front end.
#[derive(Debug)]
pub enum FrontEndEvent {
    /// A worker's reply arrives.
    Reply(Reply),
    /// The discovery server sends a change of the worker list.
    ListChange(Arc<ListEvent>),
    /// The state of the connection to the discovery server changes.
    Discovery(DiscoveryState),
    /// The discovery server sends the full worker list, as of the event of this number.
    ListSnapshot(u64, Arc<Vec<WorkerEntry>>),
    /// A client retries a call, or sends it here because its own front end is down.
    Retry(ClientCall),
    /// The front end's own clients make their next call.
    NextCall,
    /// A timer of the controller fires.
    Timer(u64),
    /// An attempt of a request times out.
    AttemptTimeout(u64, usize),
    /// The client of a request stops waiting.
    ClientTimeout(u64),
}

/// A call as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct ClientCall {
    /// The function's rank.
    pub rank: usize,
    /// When the client first sent it.
    pub sent: Micros,
    /// Retries so far.
    pub retries: u32,
}

/// What a front end did in a step.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Commands, each with the time at which it was sent and the worker.
    pub commands: Vec<(Micros, usize, Command)>,
    /// Calls that ended.
    pub ended_calls: Vec<CallRecord>,
    /// Numbers of the discovery events that were applied, each with its time.
    pub applied_events: Vec<(u64, Micros)>,
    /// Calls that arrived while this front end was down.
    pub undelivered_calls: Vec<(Micros, ClientCall)>,
}

/// Commands sent, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommandCounts {
    /// Load commands.
    pub loads: u64,
    /// Copy queries.
    pub copy_queries: u64,
    /// Unload commands.
    pub unloads: u64,
    /// Probes.
    pub probes: u64,
}

/// An event in the queue of a front end, ordered by time, then by the order in which it was scheduled.
struct QueuedEvent {
    at: Micros,
    sequence: u64,
    event: FrontEndEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// An attempt of a request.
struct Attempt {
    worker: usize,
    sent: Micros,
    /// Whether its end is still awaited.
    open: bool,
}

/// A request that is not done yet.
struct OpenRequest {
    call: ClientCall,
    class: usize,
    arrived: Micros,
    /// Whether the client has its response or stopped waiting.
    closed: bool,
    /// Whether a load command was sent while the request waited for its first attempt.
    awaits_load: bool,
    attempts: Vec<Attempt>,
}

/// A load command whose reply is awaited.
struct OpenLoad {
    worker: String,
    rank: usize,
    sent: Micros,
}

/// A simulated front end.
pub struct FrontEnd {
    number: usize,
    settings: Arc<Settings>,
    catalogue: Arc<Catalogue>,
    calls_per_s: f64,
    /// When calls begin.
    ramp_start: Micros,
    /// Time over which the call rate grows to its full value.
    ramp_length: Micros,
    max_retries: u32,
    rng: Pcg64,
    /// The controller of the running process; `None` while the front end is down.
    controller: Option<Controller>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    /// Sequence number of the event queued last.
    sequence: u64,
    now: Micros,
    /// Number of the last request, load command or probe.
    last_id: u64,
    open_requests: BTreeMap<u64, OpenRequest>,
    open_loads: BTreeMap<u64, OpenLoad>,
    /// Names of the workers whose replies to probes are awaited.
    open_probes: BTreeMap<u64, String>,
    /// When each worker was last sent a command.
    last_contact: BTreeMap<usize, Micros>,
    ranks: Arc<BTreeMap<u64, usize>>,
    command_counts: CommandCounts,
    /// Buffer for the controller's actions, kept to reuse its memory.
    actions: Vec<Action>,
    output: StepOutput,
}

/// What all front ends of a run share.
pub struct SharedContext {
    /// The settings that each front end is configured with.
    pub settings: Arc<Settings>,
    /// The functions.
    pub catalogue: Arc<Catalogue>,
    /// The rank of each function by its identifier.
    pub ranks: Arc<BTreeMap<u64, usize>>,
    /// Number of front ends that run.
    pub front_ends: u32,
    /// How often a client retries a refused call.
    pub max_retries: u32,
    /// Time over which the call rate grows to its full value.
    pub ramp: Micros,
    /// The seed of the run.
    pub seed: u64,
}

impl SharedContext {
    /// The position of a front end among those that the settings name; the ones that run are spread evenly
    /// over them.
    fn index_of(&self, number: usize) -> u32 {
        (number as u64 * u64::from(self.settings.front_ends) / u64::from(self.front_ends.max(1))) as u32
    }
}

impl FrontEnd {
    /// A front end that is down, whose clients make `calls_per_s` calls per second once they start.
    pub fn new(number: usize, calls_per_s: f64, shared: &SharedContext) -> Self {
        let seed = shared.seed.wrapping_mul(SEED_MULTIPLIER) ^ number as u64;
        FrontEnd {
            number,
            settings: Arc::new(Settings { index: shared.index_of(number), ..(*shared.settings).clone() }),
            catalogue: shared.catalogue.clone(),
            calls_per_s,
            ramp_start: 0,
            ramp_length: shared.ramp,
            max_retries: shared.max_retries,
            rng: Pcg64::seed_from_u64(seed),
            controller: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            last_id: 0,
            open_requests: BTreeMap::new(),
            open_loads: BTreeMap::new(),
            open_probes: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            ranks: shared.ranks.clone(),
            command_counts: CommandCounts::default(),
            actions: Vec::new(),
            output: StepOutput::default(),
        }
    }

    /// Starts a new process, with the full worker list as of the event of this number.
    pub fn start(&mut self, now: Micros, number: u64, list: Arc<Vec<WorkerEntry>>) {
        self.controller = Some(Controller::new((*self.settings).clone(), self.rng.random()));
        self.schedule(now, FrontEndEvent::ListSnapshot(number, list));
    }

    /// Starts the calls of its own clients.
    pub fn start_calls(&mut self, now: Micros) {
        self.ramp_start = now;
        let first = now + self.next_interval();
        self.schedule(first, FrontEndEvent::NextCall);
    }

    /// Ends the calls of its own clients.
    pub fn stop_calls(&mut self) {
        self.queue.retain(|q| !matches!(q.0.event, FrontEndEvent::NextCall));
    }

    /// Ends the process: all open requests are lost, and their workers are not notified.
    pub fn stop(&mut self, now: Micros) {
        self.controller = None;
        for request in std::mem::take(&mut self.open_requests).into_values().filter(|r| !r.closed) {
            self.output.ended_calls.push(record(&request, now, CallOutcome::Lost, None));
        }
        self.open_loads.clear();
        self.last_contact.clear();
        let from_clients =
            |q: &Reverse<QueuedEvent>| matches!(q.0.event, FrontEndEvent::NextCall | FrontEndEvent::Retry(_));
        self.queue.retain(from_clients);
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.controller.is_some()
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Micros, event: FrontEndEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedEvent { at, sequence: self.sequence, event }));
    }

    /// Handles all events that are due by `now`.
    pub fn run_until(&mut self, now: Micros) {
        while self.queue.peek().is_some_and(|q| q.0.at <= now) {
            let Some(Reverse(QueuedEvent { at, event, .. })) = self.queue.pop() else { return };
            self.now = self.now.max(at);
            self.handle(event);
        }
    }

    /// Takes what the front end did since the last call of this.
    pub fn take_output(&mut self) -> StepOutput {
        std::mem::take(&mut self.output)
    }

    /// Sizes of the state that its controller keeps.
    pub fn footprint(&self) -> Footprint {
        self.controller.as_ref().map(Controller::footprint).unwrap_or_default()
    }

    /// Commands sent so far.
    pub fn command_counts(&self) -> CommandCounts {
        self.command_counts
    }

    /// Workers that were sent a command after this time, and so have an open connection to this front end.
    pub fn contacted_since(&self, since: Micros) -> impl Iterator<Item = usize> + '_ {
        self.last_contact.iter().filter(move |(_, &last)| last > since).map(|(&worker, _)| worker)
    }

    /// Draws the time until the next call of its own clients, which arrive as a Poisson process.
    fn next_interval(&mut self) -> Micros {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() / self.calls_per_s * SECOND as f64) as Micros + 1
    }

    /// Whether to make a call that is due at the full rate; during the ramp only a growing share is made.
    fn ramp_allows_call(&mut self) -> bool {
        let elapsed = self.now.saturating_sub(self.ramp_start);
        elapsed >= self.ramp_length || self.rng.random::<f64>() * (self.ramp_length as f64) < elapsed as f64
    }

    fn handle(&mut self, event: FrontEndEvent) {
        match event {
            FrontEndEvent::NextCall => {
                let next = self.now + self.next_interval();
                self.schedule(next, FrontEndEvent::NextCall);
                let rank = self.catalogue.rank(self.rng.random());
                if self.ramp_allows_call() {
                    self.start_request(ClientCall { rank, sent: self.now, retries: 0 });
                }
            }
            FrontEndEvent::Retry(call) => self.start_request(call),
            _ if self.controller.is_none() => {}
            FrontEndEvent::Reply(Reply::CallEnded { call, outcome, warm, inflight, waited }) => {
                self.call_ended(call, outcome, warm, inflight, waited);
            }
            FrontEndEvent::Reply(Reply::LoadEnded { id, outcome, copies, .. }) => {
                self.load_ended(id, outcome, copies)
            }
            FrontEndEvent::Reply(Reply::ProbeEnded { id, outcome, inflight, .. }) => {
                if let Some(worker) = self.open_probes.remove(&id) {
                    self.run_controller(Event::Probed { worker, outcome, inflight: Some(inflight) });
                }
            }
            FrontEndEvent::Discovery(state) => self.run_controller(Event::Discovery { state }),
            FrontEndEvent::ListChange(event) => {
                self.run_controller(Event::WorkerList { full: false, entries: event.entries.clone() });
                self.output.applied_events.push((event.number, self.now));
            }
            FrontEndEvent::ListSnapshot(number, entries) => {
                self.run_controller(Event::WorkerList { full: true, entries: (*entries).clone() });
                self.output.applied_events.push((number, self.now));
            }
            FrontEndEvent::Timer(token) => self.run_controller(Event::Timer { token }),
            FrontEndEvent::AttemptTimeout(id, attempt) => self.attempt_timed_out(id, attempt),
            FrontEndEvent::ClientTimeout(id) => {
                if let Some(request) = self.open_requests.get_mut(&id).filter(|r| !r.closed) {
                    request.closed = true;
                    let call = record(request, self.now, CallOutcome::Failed, None);
                    self.output.ended_calls.push(call);
                    self.run_controller(Event::RequestCancelled { id });
                }
            }
        }
    }

    fn start_request(&mut self, call: ClientCall) {
        if self.controller.is_none() {
            return self.output.undelivered_calls.push((self.now, call));
        }
        self.last_id += 1;
        let id = self.last_id;
        let function = &self.catalogue.functions[call.rank];
        let (class, memory_mb, lanes) = (function.class, function.memory_mb, self.catalogue.lanes);
        let configured = self.settings.classes.get(class).map_or(0, |c| c.client_timeout);
        let timeout = if configured > 0 { configured } else { DEFAULT_CLIENT_TIMEOUT };
        let (load_time, function, retry) = (function.load_time, function.id, call.retries > 0);
        let request = OpenRequest {
            call,
            class,
            arrived: self.now,
            closed: false,
            awaits_load: false,
            attempts: Vec::new(),
        };
        self.open_requests.insert(id, request);
        self.schedule(self.now + timeout, FrontEndEvent::ClientTimeout(id));
        self.run_controller(Event::Request {
            id,
            class,
            tenant: None,
            function,
            timeout,
            memory_mb,
            lanes,
            load_time,
            retry,
        });
    }

    fn call_ended(&mut self, call: WorkerCall, outcome: Outcome, warm: bool, inflight: f64, waited: Micros) {
        let Some(request) = self.open_requests.get_mut(&call.request) else { return };
        let Some(attempt) = request.attempts.get_mut(call.attempt).filter(|a| a.open) else { return };
        attempt.open = false;
        let elapsed = self.now.saturating_sub(attempt.sent);
        if outcome == Outcome::Ok && !request.closed {
            request.closed = true;
            let started = call.arrived + waited;
            let wait = started.saturating_sub(request.arrived);
            let cold = (!warm || request.awaits_load && wait > ALREADY_LOADED_WITHIN).then_some(wait);
            let call = record(request, self.now, CallOutcome::Served, cold);
            self.output.ended_calls.push(call);
        }
        let (id, attempt, closed) = (call.request, call.attempt, request.closed);
        let warm = (outcome == Outcome::Ok).then_some(warm);
        let inflight = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Miss).then_some(inflight);
        self.run_controller(Event::Outcome {
            id,
            attempt,
            outcome,
            elapsed,
            closed,
            warm,
            function_inflight: None,
            inflight,
        });
        self.remove_if_done(id);
    }

    fn attempt_timed_out(&mut self, id: u64, attempt: usize) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(open_attempt) = request.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        open_attempt.open = false;
        let (worker, elapsed) = (open_attempt.worker, self.now.saturating_sub(open_attempt.sent));
        let (rank, closed) = (request.call.rank, request.closed);
        self.cancel(id, attempt, rank, worker);
        let outcome = Outcome::Timeout;
        let (warm, function_inflight, inflight) = (None, None, None);
        self.run_controller(Event::Outcome {
            id,
            attempt,
            outcome,
            elapsed,
            closed,
            warm,
            function_inflight,
            inflight,
        });
        self.remove_if_done(id);
    }

    fn load_ended(&mut self, id: u64, outcome: Outcome, count: u32) {
        let Some(OpenLoad { worker, rank, sent }) = self.open_loads.remove(&id) else { return };
        let function = self.catalogue.functions[rank].id;
        let elapsed = self.now.saturating_sub(sent);
        self.run_controller(Event::Loaded { worker, function, count, outcome, elapsed });
    }

    fn cancel(&mut self, id: u64, attempt: usize, rank: usize, worker: usize) {
        let call = WorkerCall { front_end: self.number, request: id, attempt, rank, arrived: 0 };
        self.output.commands.push((self.now, worker, Command::Cancel(call)));
    }

    /// Drops a request once it is closed for its client and none of its attempts is open.
    fn remove_if_done(&mut self, id: u64) {
        if self.open_requests.get(&id).is_some_and(|r| r.closed && !r.attempts.iter().any(|a| a.open)) {
            self.open_requests.remove(&id);
        }
    }

    /// Hands an event to the controller and executes its actions, with the events that follow from them.
    fn run_controller(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(controller) = &mut self.controller else { return };
            let mut actions = std::mem::take(&mut self.actions);
            controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.execute(action));
            }
            self.actions = actions;
        }
    }

    /// Executes an action. Returns the event that follows from it immediately, if any.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, worker, timeout } => self.send_attempt(id, &worker, timeout),
            Action::Cancel { id, attempt } => {
                let request = self.open_requests.get_mut(&id)?;
                let open_attempt = request.attempts.get_mut(attempt).filter(|a| a.open)?;
                open_attempt.open = false;
                let (worker, elapsed) = (open_attempt.worker, self.now.saturating_sub(open_attempt.sent));
                let (rank, closed) = (request.call.rank, request.closed);
                self.cancel(id, attempt, rank, worker);
                self.remove_if_done(id);
                let outcome = Outcome::Cancelled;
                let (warm, function_inflight, inflight) = (None, None, None);
                return Some(Event::Outcome {
                    id,
                    attempt,
                    outcome,
                    elapsed,
                    closed,
                    warm,
                    function_inflight,
                    inflight,
                });
            }
            Action::Refuse { id, retry_after } => self.refuse(id, retry_after),
            Action::Fail { id } => {
                if let Some(request) = self.open_requests.get_mut(&id).filter(|r| !r.closed) {
                    request.closed = true;
                    let call = record(request, self.now, CallOutcome::Failed, None);
                    self.output.ended_calls.push(call);
                    self.remove_if_done(id);
                }
            }
            Action::Load { worker, function, count } => self.send_load(&worker, function, count),
            Action::Unload { worker, function } => {
                self.command_counts.unloads += 1;
                let (worker, rank) = (worker_number(&worker)?, *self.ranks.get(&function)?);
                self.last_contact.insert(worker, self.now);
                self.output.commands.push((self.now, worker, Command::Unload(rank)));
            }
            Action::Probe { worker } => self.send_probe(worker),
            Action::Timer { delay, token } => self.schedule(self.now + delay, FrontEndEvent::Timer(token)),
            Action::Subscribe | Action::Log { .. } => {}
        }
        None
    }

    fn send_attempt(&mut self, id: u64, worker: &str, timeout: Micros) {
        let (Some(worker), Some(request)) = (worker_number(worker), self.open_requests.get_mut(&id)) else {
            return;
        };
        let (attempt, rank) = (request.attempts.len(), request.call.rank);
        request.attempts.push(Attempt { worker, sent: self.now, open: true });
        self.last_contact.insert(worker, self.now);
        let call = WorkerCall { front_end: self.number, request: id, attempt, rank, arrived: 0 };
        self.output.commands.push((self.now, worker, Command::Call(call)));
        if timeout > 0 {
            self.schedule(self.now + timeout, FrontEndEvent::AttemptTimeout(id, attempt));
        }
    }

    fn send_load(&mut self, name: &str, function: u64, copies: u32) {
        let (Some(worker), Some(&rank)) = (worker_number(name), self.ranks.get(&function)) else { return };
        self.last_id += 1;
        let (front_end, id) = (self.number, self.last_id);
        self.open_loads.insert(id, OpenLoad { worker: name.to_owned(), rank, sent: self.now });
        self.last_contact.insert(worker, self.now);
        self.output.commands.push((self.now, worker, Command::Load { front_end, id, rank, copies }));
        if copies == 0 {
            self.command_counts.copy_queries += 1;
            return;
        }
        self.command_counts.loads += 1;
        let unsent = |r: &&mut OpenRequest| r.call.rank == rank && r.attempts.is_empty() && !r.closed;
        self.open_requests.values_mut().filter(unsent).for_each(|r| r.awaits_load = true);
    }

    fn send_probe(&mut self, name: String) {
        let Some(worker) = worker_number(&name) else { return };
        self.last_id += 1;
        let (front_end, id) = (self.number, self.last_id);
        self.open_probes.insert(id, name);
        self.last_contact.insert(worker, self.now);
        self.output.commands.push((self.now, worker, Command::Probe { front_end, id }));
        self.command_counts.probes += 1;
    }

    fn refuse(&mut self, id: u64, retry_after: Micros) {
        let Some(request) = self.open_requests.get_mut(&id).filter(|r| !r.closed) else { return };
        request.closed = true;
        let call = ClientCall { retries: request.call.retries + 1, ..request.call };
        if call.retries > self.max_retries {
            let call = record(request, self.now, CallOutcome::Refused, None);
            self.output.ended_calls.push(call);
        } else {
            let wait = retry_after.max(milliseconds(MIN_RETRY_WAIT_MS));
            self.schedule(self.now + wait, FrontEndEvent::Retry(call));
        }
        self.remove_if_done(id);
    }
}

/// The record of a request that ended for its client.
fn record(
    request: &OpenRequest, ended: Micros, outcome: CallOutcome, cold_start: Option<Micros>,
) -> CallRecord {
    CallRecord { class: request.class, sent: request.call.sent, ended, outcome, cold_start }
}
