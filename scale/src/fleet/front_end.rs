//! One hollow front end: the real decision module, with stubs for its sockets and clients.
use super::calls::{CallRecord, End};
use crate::catalogue::Catalogue;
use crate::time::{milliseconds, SECOND};
use crate::world::{worker_number, CallOut, Command, ListEvent, Reply};
use heronslip_policy::{
    Action, Controller, DiscoveryState, Event, Footprint, Micros, Outcome, Settings, WorkerEntry,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// A client that is refused and told no time waits this long before its next try.
const CLIENT_WAIT_MS: f64 = 100.0;
/// An order to load that is answered within this found the copy standing: the call that waited for it was not cold.
const FOUND_STANDING: Micros = 20_000;
/// What a client waits where its class states no time.
const DEFAULT_GIVE_UP: Micros = 3 * SECOND;

/// What comes to a front end.
#[derive(Debug)]
pub enum Incoming {
    /// A worker's reply.
    Reply(Reply),
    /// An event of the board.
    List(Arc<ListEvent>),
    /// The program's word on the board.
    Discovery(DiscoveryState),
    /// The board's whole list, as it stood at an event's number.
    Whole(u64, Arc<Vec<WorkerEntry>>),
    /// A call that a client sends again, or that its own front end did not take.
    Again(Try),
    /// The next call of its own clients.
    Arrival,
    /// A timer of the module.
    Timer(u64),
    /// An attempt's time is up.
    AttemptDue(u64, usize),
    /// A client leaves.
    ClientLeaves(u64),
}

/// One try of a call.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// The function's rank.
    pub rank: usize,
    /// When the client first sent it.
    pub asked: Micros,
    /// Tries before this one.
    pub before: u32,
}

/// What a front end did in a step.
#[derive(Debug, Default)]
pub struct Done {
    /// Commands with the time at which each left, and the worker.
    pub commands: Vec<(Micros, usize, Command)>,
    /// Calls that ended.
    pub calls: Vec<CallRecord>,
    /// Events of the board that came into force.
    pub known: Vec<(u64, Micros)>,
    /// Calls that found this front end down.
    pub turned_elsewhere: Vec<(Micros, Try)>,
}

/// Orders sent, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderCounts {
    /// Orders to hold copies.
    pub holds: u64,
    /// Questions.
    pub questions: u64,
    /// Orders to unload.
    pub unloads: u64,
    /// Probes.
    pub probes: u64,
}

struct Queued {
    at: Micros,
    sequence: u64,
    what: Incoming,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

struct Attempt {
    worker: usize,
    sent: Micros,
    open: bool,
}

struct Open {
    call: Try,
    class: usize,
    arrived: Micros,
    answered: bool,
    /// An order to load was given while it waited for its first attempt.
    awaits_load: bool,
    attempts: Vec<Attempt>,
}

/// A hollow front end.
pub struct FrontEnd {
    number: usize,
    settings: Arc<Settings>,
    catalogue: Arc<Catalogue>,
    calls_per_s: f64,
    /// When calls begin, and how long they grow until they come at their full rate.
    ramp: (Micros, Micros),
    retries: u32,
    random: Pcg64,
    controller: Option<Controller>,
    queue: BinaryHeap<Reverse<Queued>>,
    sequence: u64,
    now: Micros,
    last: u64,
    open: BTreeMap<u64, Open>,
    /// Orders out: the worker's name, the function's rank, and since when.
    orders: BTreeMap<u64, (String, usize, Micros)>,
    /// Probes out, and the workers probed.
    probes: BTreeMap<u64, String>,
    /// When each worker was last sent something.
    connections: BTreeMap<usize, Micros>,
    ranks: Arc<BTreeMap<u64, usize>>,
    order_counts: OrderCounts,
    actions: Vec<Action>,
    done: Done,
}

/// What all front ends of a run share.
pub struct Common {
    /// The settings that each is told.
    pub settings: Arc<Settings>,
    /// The functions.
    pub catalogue: Arc<Catalogue>,
    /// Ranks by the functions' identifiers.
    pub ranks: Arc<BTreeMap<u64, usize>>,
    /// Front ends that run.
    pub front_ends: u32,
    /// Further tries of a refused client.
    pub retries: u32,
    /// Time over which calls grow to their full rate.
    pub ramp: Micros,
    /// The run's seed.
    pub seed: u64,
}

impl Common {
    /// The position of a front end among those that the settings name, over which those that run are spread.
    fn index_of(&self, number: usize) -> u32 {
        (number as u64 * u64::from(self.settings.front_ends) / u64::from(self.front_ends.max(1))) as u32
    }
}

impl FrontEnd {
    /// A front end that gets so many calls a second. It has not been started.
    pub fn new(number: usize, calls_per_s: f64, common: &Common) -> Self {
        let seed = common.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
        FrontEnd {
            number,
            settings: Arc::new(Settings { index: common.index_of(number), ..(*common.settings).clone() }),
            catalogue: common.catalogue.clone(),
            calls_per_s,
            ramp: (0, common.ramp),
            retries: common.retries,
            random: Pcg64::seed_from_u64(seed),
            controller: None,
            queue: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            last: 0,
            open: BTreeMap::new(),
            orders: BTreeMap::new(),
            probes: BTreeMap::new(),
            connections: BTreeMap::new(),
            ranks: common.ranks.clone(),
            order_counts: OrderCounts::default(),
            actions: Vec::new(),
            done: Done::default(),
        }
    }

    /// Starts a new process that is told the whole list.
    pub fn start(&mut self, now: Micros, number: u64, list: Arc<Vec<WorkerEntry>>) {
        self.controller = Some(Controller::new((*self.settings).clone(), self.random.random()));
        self.put(now, Incoming::Whole(number, list));
    }

    /// Begins the calls of its own clients.
    pub fn open_for_clients(&mut self, now: Micros) {
        self.ramp.0 = now;
        let first = now + self.gap();
        self.put(first, Incoming::Arrival);
    }

    /// No more calls come.
    pub fn close_to_clients(&mut self) {
        self.queue.retain(|q| !matches!(q.0.what, Incoming::Arrival));
    }

    /// The process ends: all that is open is lost, and nobody hears of it.
    pub fn stop(&mut self, now: Micros) {
        self.controller = None;
        let (class, ended, end) = (0, now, End::Lost);
        for open in std::mem::take(&mut self.open).into_values().filter(|o| !o.answered) {
            let record = CallRecord { class, asked: open.call.asked, ended, end, cold_start: None };
            self.done.calls.push(CallRecord { class: open.class, ..record });
        }
        self.orders.clear();
        self.connections.clear();
        let clients = |q: &Reverse<Queued>| matches!(q.0.what, Incoming::Arrival | Incoming::Again(_));
        self.queue.retain(clients);
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.controller.is_some()
    }

    /// Puts something in its queue.
    pub fn put(&mut self, at: Micros, what: Incoming) {
        self.sequence += 1;
        self.queue.push(Reverse(Queued { at, sequence: self.sequence, what }));
    }

    /// Takes all that has come by now.
    pub fn run(&mut self, now: Micros) {
        while self.queue.peek().is_some_and(|q| q.0.at <= now) {
            let Some(Reverse(Queued { at, what, .. })) = self.queue.pop() else { return };
            self.now = self.now.max(at);
            self.take(what);
        }
    }

    /// What was done since this was last asked.
    pub fn done(&mut self) -> Done {
        std::mem::take(&mut self.done)
    }

    /// The records that its module keeps.
    pub fn footprint(&self) -> Footprint {
        self.controller.as_ref().map(Controller::footprint).unwrap_or_default()
    }

    /// Orders sent so far.
    pub fn orders(&self) -> OrderCounts {
        self.order_counts
    }

    /// Workers sent something after this time: those to which a connection stands.
    pub fn connected_since(&self, since: Micros) -> impl Iterator<Item = usize> + '_ {
        self.connections.iter().filter(move |(_, &used)| used > since).map(|(&worker, _)| worker)
    }

    fn gap(&mut self) -> Micros {
        let drawn: f64 = self.random.random();
        (-(1.0 - drawn).ln() / self.calls_per_s * SECOND as f64) as Micros + 1
    }

    /// Whether a call comes that would at the full rate.
    fn comes(&mut self) -> bool {
        let (start, length) = self.ramp;
        let past = self.now.saturating_sub(start);
        past >= length || self.random.random::<f64>() * (length as f64) < past as f64
    }

    fn take(&mut self, what: Incoming) {
        match what {
            Incoming::Arrival => {
                let next = self.now + self.gap();
                self.put(next, Incoming::Arrival);
                let rank = self.catalogue.rank(self.random.random());
                if self.comes() {
                    self.call(Try { rank, asked: self.now, before: 0 });
                }
            }
            Incoming::Again(call) => self.call(call),
            _ if self.controller.is_none() => {}
            Incoming::Reply(Reply::Ended { call, outcome, warm, held, waited }) => {
                self.ended(call, outcome, warm, held, waited);
            }
            Incoming::Reply(Reply::Held { order, outcome, copies, .. }) => {
                self.order_ended(order, outcome, copies)
            }
            Incoming::Reply(Reply::Probed { probe, outcome, held, .. }) => {
                if let Some(worker) = self.probes.remove(&probe) {
                    self.feed(Event::Probed { worker, outcome, inflight: Some(held) });
                }
            }
            Incoming::Discovery(state) => self.feed(Event::Discovery { state }),
            Incoming::List(event) => {
                self.feed(Event::WorkerList { full: false, entries: event.entries.clone() });
                self.done.known.push((event.number, self.now));
            }
            Incoming::Whole(number, entries) => {
                self.feed(Event::WorkerList { full: true, entries: (*entries).clone() });
                self.done.known.push((number, self.now));
            }
            Incoming::Timer(token) => self.feed(Event::Timer { token }),
            Incoming::AttemptDue(id, attempt) => self.attempt_due(id, attempt),
            Incoming::ClientLeaves(id) => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) {
                    open.answered = true;
                    let call = record(open, self.now, End::Failed, None);
                    self.done.calls.push(call);
                    self.feed(Event::Withdrawn { id });
                }
            }
        }
    }

    fn call(&mut self, call: Try) {
        if self.controller.is_none() {
            return self.done.turned_elsewhere.push((self.now, call));
        }
        self.last += 1;
        let id = self.last;
        let function = &self.catalogue.functions[call.rank];
        let (class, memory_mb, lanes) = (function.class, function.memory_mb, self.catalogue.lanes);
        let told = self.settings.classes.get(class).map_or(0, |c| c.client_timeout);
        let left = if told > 0 { told } else { DEFAULT_GIVE_UP };
        let (load_time, id_of, retry) = (function.load_time, function.id, call.before > 0);
        let open = Open {
            call,
            class,
            arrived: self.now,
            answered: false,
            awaits_load: false,
            attempts: Vec::new(),
        };
        self.open.insert(id, open);
        self.put(self.now + left, Incoming::ClientLeaves(id));
        self.feed(Event::Request {
            id,
            class,
            tenant: None,
            function: id_of,
            timeout: left,
            memory_mb,
            lanes,
            load_time,
            retry,
        });
    }

    fn ended(&mut self, call: CallOut, outcome: Outcome, warm: bool, held: f64, waited: Micros) {
        let Some(open) = self.open.get_mut(&call.id) else { return };
        let Some(attempt) = open.attempts.get_mut(call.attempt).filter(|a| a.open) else { return };
        attempt.open = false;
        let elapsed = self.now.saturating_sub(attempt.sent);
        if outcome == Outcome::Ok && !open.answered {
            open.answered = true;
            let began = call.arrived + waited;
            let wait = began.saturating_sub(open.arrived);
            let cold = (!warm || open.awaits_load && wait > FOUND_STANDING).then_some(wait);
            let call = record(open, self.now, End::Served, cold);
            self.done.calls.push(call);
        }
        let (id, attempt, closed) = (call.id, call.attempt, open.answered);
        let warm = (outcome == Outcome::Ok).then_some(warm);
        let inflight = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Miss).then_some(held);
        self.feed(Event::Outcome {
            id,
            attempt,
            outcome,
            elapsed,
            closed,
            warm,
            function_inflight: None,
            inflight,
        });
        self.forget(id);
    }

    fn attempt_due(&mut self, id: u64, attempt: usize) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        out.open = false;
        let (worker, elapsed) = (out.worker, self.now.saturating_sub(out.sent));
        let (rank, closed) = (open.call.rank, open.answered);
        self.cancel(id, attempt, rank, worker);
        let outcome = Outcome::Timeout;
        let (warm, function_inflight, inflight) = (None, None, None);
        self.feed(Event::Outcome {
            id,
            attempt,
            outcome,
            elapsed,
            closed,
            warm,
            function_inflight,
            inflight,
        });
        self.forget(id);
    }

    fn order_ended(&mut self, order: u64, outcome: Outcome, count: u32) {
        let Some((worker, rank, since)) = self.orders.remove(&order) else { return };
        let function = self.catalogue.functions[rank].id;
        let elapsed = self.now.saturating_sub(since);
        self.feed(Event::Loaded { worker, function, count, outcome, elapsed });
    }

    fn cancel(&mut self, id: u64, attempt: usize, rank: usize, worker: usize) {
        let call = CallOut { front_end: self.number, id, attempt, rank, arrived: 0 };
        self.done.commands.push((self.now, worker, Command::Cancel(call)));
    }

    /// Drops a call's record once it is answered and nothing of it is out.
    fn forget(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(|o| o.answered && !o.attempts.iter().any(|a| a.open)) {
            self.open.remove(&id);
        }
    }

    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(controller) = &mut self.controller else { return };
            let mut actions = std::mem::take(&mut self.actions);
            controller.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(action));
            }
            self.actions = actions;
        }
    }

    /// Carries an action out; tells what it leads to at once.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, worker, timeout } => self.send(id, &worker, timeout),
            Action::Cancel { id, attempt } => {
                let open = self.open.get_mut(&id)?;
                let out = open.attempts.get_mut(attempt).filter(|a| a.open)?;
                out.open = false;
                let (worker, elapsed) = (out.worker, self.now.saturating_sub(out.sent));
                let (rank, closed) = (open.call.rank, open.answered);
                self.cancel(id, attempt, rank, worker);
                self.forget(id);
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
            Action::Refuse { id, retry_after } => self.refused(id, retry_after),
            Action::Fail { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) {
                    open.answered = true;
                    let call = record(open, self.now, End::Failed, None);
                    self.done.calls.push(call);
                    self.forget(id);
                }
            }
            Action::Load { worker, function, count } => self.order(&worker, function, count),
            Action::Unload { worker, function } => {
                self.order_counts.unloads += 1;
                let (worker, rank) = (worker_number(&worker)?, *self.ranks.get(&function)?);
                self.connections.insert(worker, self.now);
                self.done.commands.push((self.now, worker, Command::Unload(rank)));
            }
            Action::Probe { worker } => self.probe(worker),
            Action::Timer { delay, token } => self.put(self.now + delay, Incoming::Timer(token)),
            Action::Subscribe | Action::Log { .. } => {}
        }
        None
    }

    fn send(&mut self, id: u64, worker: &str, timeout: Micros) {
        let (Some(worker), Some(open)) = (worker_number(worker), self.open.get_mut(&id)) else { return };
        let (attempt, rank) = (open.attempts.len(), open.call.rank);
        open.attempts.push(Attempt { worker, sent: self.now, open: true });
        self.connections.insert(worker, self.now);
        let call = CallOut { front_end: self.number, id, attempt, rank, arrived: 0 };
        self.done.commands.push((self.now, worker, Command::Call(call)));
        if timeout > 0 {
            self.put(self.now + timeout, Incoming::AttemptDue(id, attempt));
        }
    }

    fn order(&mut self, name: &str, function: u64, copies: u32) {
        let (Some(worker), Some(&rank)) = (worker_number(name), self.ranks.get(&function)) else { return };
        self.last += 1;
        let (front_end, order) = (self.number, self.last);
        self.orders.insert(order, (name.to_owned(), rank, self.now));
        self.connections.insert(worker, self.now);
        self.done.commands.push((self.now, worker, Command::Hold { front_end, order, rank, copies }));
        if copies == 0 {
            self.order_counts.questions += 1;
            return;
        }
        self.order_counts.holds += 1;
        let waits = |o: &&mut Open| o.call.rank == rank && o.attempts.is_empty() && !o.answered;
        self.open.values_mut().filter(waits).for_each(|o| o.awaits_load = true);
    }

    fn probe(&mut self, name: String) {
        let Some(worker) = worker_number(&name) else { return };
        self.last += 1;
        let (front_end, probe) = (self.number, self.last);
        self.probes.insert(probe, name);
        self.connections.insert(worker, self.now);
        self.done.commands.push((self.now, worker, Command::Probe { front_end, probe }));
        self.order_counts.probes += 1;
    }

    fn refused(&mut self, id: u64, retry_after: Micros) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let call = Try { before: open.call.before + 1, ..open.call };
        if call.before > self.retries {
            let call = record(open, self.now, End::Refused, None);
            self.done.calls.push(call);
        } else {
            let wait = retry_after.max(milliseconds(CLIENT_WAIT_MS));
            self.put(self.now + wait, Incoming::Again(call));
        }
        self.forget(id);
    }
}

fn record(open: &Open, ended: Micros, end: End, cold_start: Option<Micros>) -> CallRecord {
    CallRecord { class: open.class, asked: open.call.asked, ended, end, cold_start }
}
