//! Simulated workers: copies with lanes, loads, memory, idle unloading, queues and load reports.
use super::{BackgroundLoad, Store};
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use heronslip_policy::{Micros, Outcome, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

/// Loads that a worker queues for each load that it runs at once; further ones are rejected.
const QUEUED_LOADS_PER_SLOT: u32 = 2;

/// An attempt of a request at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerCall {
    /// The front end that sent it.
    pub front_end: usize,
    /// The request's number at the front end.
    pub request: u64,
    /// The attempt's number, from 0 on.
    pub attempt: usize,
    /// The function's rank.
    pub rank: usize,
    /// When it arrived at the worker.
    pub arrived: Micros,
}

/// A message from a front end to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Runs a call.
    Call(WorkerCall),
    /// Cancels a call; it is dropped if it has not started.
    Cancel(WorkerCall),
    /// Loads copies until this many are there; 0 is a copy query, which loads none and returns their number.
    Load {
        /// The front end that sent it.
        front_end: usize,
        /// The command's number at the front end.
        id: u64,
        /// The function's rank.
        rank: usize,
        /// Copies wanted.
        copies: u32,
    },
    /// Unloads the idle copies of the function of this rank.
    Unload(usize),
    /// Checks whether the worker accepts calls.
    Probe {
        /// The front end that sent it.
        front_end: usize,
        /// The probe's number at the front end.
        id: u64,
    },
}

/// A message from a worker to a front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// A call ended.
    CallEnded {
        /// The call.
        call: WorkerCall,
        /// How it ended.
        outcome: Outcome,
        /// Whether a copy was loaded when the call arrived.
        warm: bool,
        /// Calls in flight at the worker, background calls included.
        inflight: f64,
        /// How long the call was queued at the worker before it started.
        waited: Micros,
    },
    /// A load command or copy query ended.
    LoadEnded {
        /// The front end that sent the command.
        front_end: usize,
        /// The command's number at the front end.
        id: u64,
        /// How it ended.
        outcome: Outcome,
        /// Copies that are loaded.
        copies: u32,
    },
    /// A probe ended.
    ProbeEnded {
        /// The front end that sent the probe.
        front_end: usize,
        /// The probe's number at the front end.
        id: u64,
        /// `Ok` if the worker's process runs and so accepts calls.
        outcome: Outcome,
        /// Calls in flight at the worker, background calls included.
        inflight: f64,
    },
}

/// Counters of the workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldCounts {
    /// Loads started.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Copies unloaded to make room for others.
    pub evicted: u64,
    /// Calls started.
    pub calls: u64,
    /// Load commands.
    pub load_commands: u64,
    /// Copy queries.
    pub copy_queries: u64,
    /// Unload commands.
    pub unload_commands: u64,
}

/// A load command that waits for its copies.
#[derive(Debug)]
struct PendingLoad {
    front_end: usize,
    id: u64,
    /// Copies wanted.
    copies: u32,
}

/// The copies of one function at one worker.
#[derive(Debug, Default)]
struct Copies {
    loaded: u32,
    loading: u32,
    busy_lanes: u32,
    idle_since: Micros,
    /// Calls that wait for a lane, each with whether a copy was loaded when it arrived.
    queued: VecDeque<(WorkerCall, bool)>,
    pending_loads: Vec<PendingLoad>,
}

impl Copies {
    /// Copies with a call on at least one of their lanes, if calls fill one copy after another.
    fn busy(&self, lanes: u32) -> u32 {
        self.busy_lanes.div_ceil(lanes)
    }

    fn in_use(&self) -> bool {
        self.loading > 0 || self.busy_lanes > 0 || !self.queued.is_empty() || !self.pending_loads.is_empty()
    }
}

#[derive(Debug)]
struct Worker {
    up: bool,
    /// Number of the current process; events of earlier processes are ignored.
    process: u32,
    memory_mb: f64,
    used_mb: f64,
    /// Calls running on a lane.
    running: u32,
    /// Calls running or queued.
    inflight: u32,
    /// Loads running.
    loads: u32,
    /// Ranks of the functions whose loads wait for a running one to end.
    queued_loads: VecDeque<usize>,
    /// Copies by function rank.
    copies: BTreeMap<usize, Copies>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkerEvent {
    CommandArrived(Command),
    /// A call finished: whether it was warm, and how long it was queued.
    CallFinished(WorkerCall, bool, Micros),
    /// A load of the function of this rank finished: whether it succeeded.
    LoadFinished(usize, bool),
    /// The keep-alive time of this function's idle copies may have passed.
    IdleTimeout(usize),
}

/// An event at a worker. Events are ordered by time, then by the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    sequence: u64,
    worker: usize,
    /// The worker's process to which the event belongs.
    process: u32,
    event: WorkerEvent,
}

/// All workers and the store they load functions from.
pub struct World {
    catalogue: Arc<Catalogue>,
    workers: Vec<Worker>,
    store: Store,
    background: BackgroundLoad,
    /// Background calls in flight at each worker.
    background_inflight: f64,
    cores: u32,
    loads_at_once: u32,
    max_inflight: u32,
    fetch_share: f64,
    keep_alive: Micros,
    /// Whether a call loads a function that is absent from the worker.
    load_on_miss: bool,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Sequence number of the event scheduled last.
    sequence: u64,
    /// Replies that have not left yet: time, worker, reply.
    replies: Vec<(Micros, usize, Reply)>,
    counts: WorldCounts,
}

impl World {
    /// Ready workers without any copies. The settings' machine types are assigned to them in turn.
    pub fn new(experiment: &Experiment, settings: &Settings, catalogue: Arc<Catalogue>) -> Self {
        let memory_by_type = &settings.machine_memory_mb;
        let memory =
            |n: usize| memory_by_type.get(n % memory_by_type.len().max(1)).copied().unwrap_or(f64::INFINITY);
        let workers = (0..experiment.fleet.workers as usize).map(|n| Worker::new(memory(n))).collect();
        let config = &experiment.workers;
        let absent = f64::from(experiment.fleet.configured() - experiment.fleet.front_ends);
        let background = BackgroundLoad::new(absent * experiment.calls.per_front_end_s, settings.keep_alive);
        let background_inflight =
            background.inflight_per_worker(&catalogue, experiment.fleet.workers as usize);
        World {
            background_inflight,
            background,
            workers,
            catalogue,
            store: Store::new(&experiment.store),
            cores: config.cores,
            loads_at_once: config.loads_at_once,
            max_inflight: config.max_inflight,
            fetch_share: experiment.store.fetch_share,
            keep_alive: settings.keep_alive,
            load_on_miss: settings.load_on_miss,
            events: BinaryHeap::new(),
            sequence: 0,
            replies: Vec::new(),
            counts: WorldCounts::default(),
        }
    }

    /// Schedules the arrival of a command at a worker.
    pub fn command(&mut self, at: Micros, worker: usize, command: Command) {
        let process = self.workers[worker].process;
        self.schedule(at, worker, process, WorkerEvent::CommandArrived(command));
    }

    /// The time of the next event.
    pub fn next_event(&self) -> Option<Micros> {
        self.events.peek().map(|next| next.0.at)
    }

    /// Processes all events that are due by `now`. Returns the replies in order, each with the time at which
    /// it leaves and the worker it leaves from.
    pub fn advance(&mut self, now: Micros) -> Vec<(Micros, usize, Reply)> {
        while self.events.peek().is_some_and(|next| next.0.at <= now) {
            let Some(Reverse(ScheduledEvent { at, worker, process, event, .. })) = self.events.pop() else {
                break;
            };
            let current = self.workers[worker].process == process;
            match event {
                WorkerEvent::CommandArrived(command) => self.receive(at, worker, command),
                WorkerEvent::CallFinished(call, warm, waited) if current => {
                    self.finish_call(at, worker, call, warm, waited)
                }
                WorkerEvent::LoadFinished(rank, ok) if current => self.finish_load(at, worker, rank, ok),
                WorkerEvent::IdleTimeout(rank) if current => self.expire_idle(at, worker, rank),
                _ => {}
            }
        }
        std::mem::take(&mut self.replies)
    }

    /// Ends a worker's process: its copies and calls are lost, and its connections are reset.
    pub fn stop(&mut self, now: Micros, worker: usize) {
        self.background.forget_worker(worker);
        let state = &mut self.workers[worker];
        let replacement = Worker { up: false, process: state.process + 1, ..Worker::new(state.memory_mb) };
        let old = std::mem::replace(state, replacement);
        for copies in old.copies.into_values() {
            for (call, warm) in copies.queued {
                let reply =
                    Reply::CallEnded { call, outcome: Outcome::Reset, warm, inflight: 0.0, waited: 0 };
                self.replies.push((now, worker, reply));
            }
            for PendingLoad { front_end, id, .. } in copies.pending_loads {
                let reply = Reply::LoadEnded { front_end, id, outcome: Outcome::Reset, copies: 0 };
                self.replies.push((now, worker, reply));
            }
        }
        // The finish events of running calls are now ignored; their front ends get a reset instead.
        let of_old_process =
            |s: &&Reverse<ScheduledEvent>| s.0.worker == worker && s.0.process == old.process;
        let running = self.events.iter().filter(of_old_process).filter_map(|s| match s.0.event {
            WorkerEvent::CallFinished(call, warm, _) => Some((call, warm)),
            _ => None,
        });
        let mut running: Vec<_> = running.collect();
        running.sort();
        for (call, warm) in running {
            let reply = Reply::CallEnded { call, outcome: Outcome::Reset, warm, inflight: 0.0, waited: 0 };
            self.replies.push((now, worker, reply));
        }
    }

    /// Starts a new process of a worker, without any copies.
    pub fn start(&mut self, worker: usize) {
        self.workers[worker].up = true;
    }

    /// Whether a worker's process runs.
    pub fn is_up(&self, worker: usize) -> bool {
        self.workers[worker].up
    }

    /// The counters so far.
    pub fn counts(&self) -> WorldCounts {
        self.counts
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    fn schedule(&mut self, at: Micros, worker: usize, process: u32, event: WorkerEvent) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.sequence, worker, process, event }));
    }

    fn receive(&mut self, now: Micros, worker: usize, command: Command) {
        let up = self.workers[worker].up;
        match command {
            Command::Call(call) if !up => self.reply_to_call(now, worker, call, Outcome::ConnectFailed),
            Command::Call(call) => self.accept_call(now, worker, WorkerCall { arrived: now, ..call }),
            Command::Cancel(call) if up => self.cancel_call(worker, call),
            Command::Load { front_end, id, .. } if !up => {
                self.reply_to_load(now, worker, (front_end, id), Outcome::ConnectFailed, 0);
            }
            Command::Load { front_end, id, rank, copies } => {
                self.accept_load(now, worker, (front_end, id), rank, copies);
            }
            Command::Probe { front_end, id } => {
                let outcome = if up { Outcome::Ok } else { Outcome::ConnectFailed };
                let inflight = f64::from(self.workers[worker].inflight) + self.background_inflight;
                self.replies.push((now, worker, Reply::ProbeEnded { front_end, id, outcome, inflight }));
            }
            Command::Unload(rank) if up => self.unload(now, worker, rank),
            Command::Cancel(_) | Command::Unload(_) => {}
        }
    }

    fn reply_to_call(&mut self, now: Micros, worker: usize, call: WorkerCall, outcome: Outcome) {
        let inflight = f64::from(self.workers[worker].inflight) + self.background_inflight;
        let reply = Reply::CallEnded { call, outcome, warm: false, inflight, waited: 0 };
        self.replies.push((now, worker, reply));
    }

    fn reply_to_load(
        &mut self, now: Micros, worker: usize, (front_end, id): (usize, u64), outcome: Outcome, copies: u32,
    ) {
        self.replies.push((now, worker, Reply::LoadEnded { front_end, id, outcome, copies }));
    }

    /// The copies of a function at a worker. Where none is loaded or loading, a copy that background calls
    /// keep loaded is added first.
    fn copies_at(&mut self, now: Micros, worker: usize, rank: usize) -> &mut Copies {
        let existing = self.workers[worker].copies.get(&rank);
        let absent = existing.is_none_or(|c| c.loaded == 0 && c.loading == 0);
        if absent && self.background.keeps_copy(&self.catalogue, rank, worker, now) {
            let memory = self.catalogue.functions[rank].memory_mb;
            if self.make_room(now, worker, rank, memory) {
                self.workers[worker].used_mb += memory;
                let copies = self.workers[worker].copies.entry(rank).or_default();
                (copies.loaded, copies.idle_since) = (1, now);
                let process = self.workers[worker].process;
                self.schedule(now + self.keep_alive, worker, process, WorkerEvent::IdleTimeout(rank));
            }
        }
        self.workers[worker].copies.entry(rank).or_default()
    }

    fn accept_call(&mut self, now: Micros, worker: usize, call: WorkerCall) {
        if self.workers[worker].inflight >= self.max_inflight {
            return self.reply_to_call(now, worker, call, Outcome::Rejected);
        }
        let (lanes, rank, load_on_miss) = (self.catalogue.lanes, call.rank, self.load_on_miss);
        let copies = self.copies_at(now, worker, rank);
        let warm = copies.loaded > 0;
        if copies.busy_lanes < copies.loaded * lanes {
            self.workers[worker].inflight += 1;
            return self.start_call(now, worker, call, warm);
        }
        let absent = copies.loaded + copies.loading == 0;
        if absent && !load_on_miss {
            return self.reply_to_call(now, worker, call, Outcome::Miss);
        }
        copies.queued.push_back((call, warm));
        let wanted = copies.queued.len() as u32 > copies.loading * lanes;
        self.workers[worker].inflight += 1;
        let started = wanted && self.request_load(now, worker, rank);
        if absent && !started {
            // No room for a load, and no copy to wait for.
            if let Some((call, _)) = self.copies_at(now, worker, rank).queued.pop_back() {
                self.workers[worker].inflight -= 1;
                self.reply_to_call(now, worker, call, Outcome::Rejected);
            }
        }
    }

    fn start_call(&mut self, now: Micros, worker: usize, call: WorkerCall, warm: bool) {
        let state = &mut self.workers[worker];
        state.running += 1;
        let slowdown = (f64::from(state.running) + self.background_inflight) / f64::from(self.cores);
        let work = self.catalogue.functions[call.rank].work as f64 * slowdown.max(1.0);
        if let Some(copies) = state.copies.get_mut(&call.rank) {
            copies.busy_lanes += 1;
        }
        self.counts.calls += 1;
        let process = state.process;
        self.schedule(
            now + work as Micros,
            worker,
            process,
            WorkerEvent::CallFinished(call, warm, now.saturating_sub(call.arrived)),
        );
    }

    fn finish_call(&mut self, now: Micros, worker: usize, call: WorkerCall, warm: bool, waited: Micros) {
        let state = &mut self.workers[worker];
        (state.running, state.inflight) = (state.running - 1, state.inflight - 1);
        let inflight = f64::from(state.inflight) + self.background_inflight;
        if let Some(copies) = state.copies.get_mut(&call.rank) {
            copies.busy_lanes -= 1;
        }
        let reply = Reply::CallEnded { call, outcome: Outcome::Ok, warm, inflight, waited };
        self.replies.push((now, worker, reply));
        self.start_queued_calls(now, worker, call.rank);
    }

    /// Starts queued calls while lanes are free. Once none is queued, the idle time of the copies begins.
    fn start_queued_calls(&mut self, now: Micros, worker: usize, rank: usize) {
        let lanes = self.catalogue.lanes;
        loop {
            let state = &mut self.workers[worker];
            let Some(copies) = state.copies.get_mut(&rank) else { return };
            if copies.busy_lanes >= copies.loaded * lanes {
                return;
            }
            let Some((call, warm)) = copies.queued.pop_front() else {
                copies.idle_since = now;
                let process = state.process;
                return self.schedule(now + self.keep_alive, worker, process, WorkerEvent::IdleTimeout(rank));
            };
            self.start_call(now, worker, call, warm);
        }
    }

    /// Starts or queues a load. Returns false if the queue of loads is full or there is no memory for the
    /// copy.
    fn request_load(&mut self, now: Micros, worker: usize, rank: usize) -> bool {
        let memory = self.catalogue.functions[rank].memory_mb;
        let full =
            self.workers[worker].queued_loads.len() as u32 >= QUEUED_LOADS_PER_SLOT * self.loads_at_once;
        if full || !self.make_room(now, worker, rank, memory) {
            return false;
        }
        let state = &mut self.workers[worker];
        state.used_mb += memory;
        state.copies.entry(rank).or_default().loading += 1;
        if state.loads < self.loads_at_once {
            self.start_load(now, worker, rank);
        } else {
            state.queued_loads.push_back(rank);
        }
        true
    }

    fn start_load(&mut self, now: Micros, worker: usize, rank: usize) {
        self.workers[worker].loads += 1;
        self.counts.loads += 1;
        let process = self.workers[worker].process;
        let time = self.catalogue.functions[rank].load_time as f64;
        let (fetch, start) = (time * self.fetch_share, time * (1.0 - self.fetch_share));
        let fetched = self.store.fetch(now, fetch as Micros);
        let at = fetched.map_or(now, |at| at + start as Micros);
        self.schedule(at, worker, process, WorkerEvent::LoadFinished(rank, fetched.is_some()));
    }

    fn finish_load(&mut self, now: Micros, worker: usize, rank: usize, ok: bool) {
        let memory = self.catalogue.functions[rank].memory_mb;
        let state = &mut self.workers[worker];
        state.loads -= 1;
        if let Some(copies) = state.copies.get_mut(&rank) {
            copies.loading -= 1;
            copies.loaded += u32::from(ok);
        }
        if !ok {
            state.used_mb -= memory;
            self.counts.failed_loads += 1;
            self.end_queued_calls_as_misses(now, worker, rank);
        }
        self.reply_to_pending_loads(now, worker, rank, ok);
        self.start_queued_calls(now, worker, rank);
        let next = self.workers[worker].queued_loads.pop_front();
        if let Some(rank) = next {
            self.start_load(now, worker, rank);
        }
    }

    /// Ends queued calls in a miss after a failed load, unless another copy is loaded or loading.
    fn end_queued_calls_as_misses(&mut self, now: Micros, worker: usize, rank: usize) {
        let state = &mut self.workers[worker];
        let Some(copies) = state.copies.get_mut(&rank) else { return };
        if copies.loaded + copies.loading > 0 {
            return;
        }
        let queued = std::mem::take(&mut copies.queued);
        state.inflight -= queued.len() as u32;
        queued.into_iter().for_each(|(call, _)| self.reply_to_call(now, worker, call, Outcome::Miss));
    }

    fn reply_to_pending_loads(&mut self, now: Micros, worker: usize, rank: usize, ok: bool) {
        let Some(copies) = self.workers[worker].copies.get_mut(&rank) else { return };
        let (loaded, more_loading) = (copies.loaded, copies.loading > 0);
        let (ended, pending): (Vec<_>, Vec<_>) =
            copies.pending_loads.drain(..).partition(|load| loaded >= load.copies || !more_loading);
        copies.pending_loads = pending;
        for PendingLoad { front_end, id, copies } in ended {
            let outcome = if loaded >= copies || ok { Outcome::Ok } else { Outcome::Error };
            self.reply_to_load(now, worker, (front_end, id), outcome, loaded);
        }
    }

    fn accept_load(&mut self, now: Micros, worker: usize, sender: (usize, u64), rank: usize, wanted: u32) {
        if wanted == 0 {
            self.counts.copy_queries += 1;
            let loaded = self.copies_at(now, worker, rank).loaded;
            return self.reply_to_load(now, worker, sender, Outcome::Ok, loaded);
        }
        self.counts.load_commands += 1;
        let copies = self.copies_at(now, worker, rank);
        let loaded = copies.loaded;
        if copies.busy_lanes == 0 && loaded > 0 {
            copies.idle_since = now;
            let process = self.workers[worker].process;
            self.schedule(now + self.keep_alive, worker, process, WorkerEvent::IdleTimeout(rank));
        }
        if loaded >= wanted {
            return self.reply_to_load(now, worker, sender, Outcome::Ok, loaded);
        }
        let loading = self.copies_at(now, worker, rank).loading;
        for _ in (loaded + loading)..wanted {
            if !self.request_load(now, worker, rank) {
                return self.reply_to_load(now, worker, sender, Outcome::Rejected, loaded);
            }
        }
        let (front_end, id) = sender;
        self.copies_at(now, worker, rank).pending_loads.push(PendingLoad { front_end, id, copies: wanted });
    }

    fn cancel_call(&mut self, worker: usize, call: WorkerCall) {
        let state = &mut self.workers[worker];
        let Some(copies) = state.copies.get_mut(&call.rank) else { return };
        let key = |c: &WorkerCall| (c.front_end, c.request, c.attempt);
        let before = copies.queued.len();
        copies.queued.retain(|(c, _)| key(c) != key(&call));
        state.inflight -= (before - copies.queued.len()) as u32;
    }

    fn unload(&mut self, now: Micros, worker: usize, rank: usize) {
        self.counts.unload_commands += 1;
        self.unload_idle(now, worker, rank);
    }

    /// Unloads the idle copies of a function. Returns the memory that this frees, in MB.
    fn unload_idle(&mut self, _now: Micros, worker: usize, rank: usize) -> f64 {
        let lanes = self.catalogue.lanes;
        let memory = self.catalogue.functions[rank].memory_mb;
        let state = &mut self.workers[worker];
        let Some(copies) = state.copies.get_mut(&rank) else { return 0.0 };
        let idle = copies.loaded.saturating_sub(copies.busy(lanes));
        copies.loaded -= idle;
        let freed = f64::from(idle) * memory;
        state.used_mb -= freed;
        if copies.loaded == 0 && !copies.in_use() {
            state.copies.remove(&rank);
        }
        freed
    }

    /// Unloads the copies of a function if they have been idle for the keep-alive time.
    fn expire_idle(&mut self, now: Micros, worker: usize, rank: usize) {
        let keep_alive = self.keep_alive;
        let Some(copies) = self.workers[worker].copies.get(&rank) else { return };
        if copies.busy_lanes == 0 && now >= copies.idle_since + keep_alive {
            self.unload_idle(now, worker, rank);
        }
    }

    /// Makes room for a copy by unloading idle copies of other functions, the ones idle longest first.
    /// Returns false if that does not free enough memory.
    fn make_room(&mut self, now: Micros, worker: usize, rank: usize, memory: f64) -> bool {
        loop {
            let state = &self.workers[worker];
            if state.used_mb + memory <= state.memory_mb {
                return true;
            }
            let idle = state.copies.iter().filter(|(&r, c)| r != rank && c.loaded > 0 && c.busy_lanes == 0);
            let Some((&oldest, _)) = idle.min_by_key(|(_, c)| c.idle_since) else { return false };
            if self.unload_idle(now, worker, oldest) <= 0.0 {
                return false;
            }
            self.counts.evicted += 1;
        }
    }
}

impl Worker {
    fn new(memory_mb: f64) -> Self {
        Worker {
            up: true,
            process: 0,
            memory_mb,
            used_mb: 0.0,
            running: 0,
            inflight: 0,
            loads: 0,
            queued_loads: VecDeque::new(),
            copies: BTreeMap::new(),
        }
    }
}
