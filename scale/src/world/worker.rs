//! Hollow workers: copies with lanes, loads, memory, idle unloading, queues and load reports.
use super::{Others, Store};
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use heronslip_policy::{Micros, Outcome, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

/// An attempt on its way to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallOut {
    /// The front end that sent it.
    pub front_end: usize,
    /// The front end's number of the request.
    pub id: u64,
    /// The attempt, counted from 0.
    pub attempt: usize,
    /// The function's rank.
    pub rank: usize,
    /// When it arrived at the worker.
    pub arrived: Micros,
}

/// What a front end asks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Run a call.
    Call(CallOut),
    /// Nobody waits for this call any more: it is dropped if it has not begun.
    Cancel(CallOut),
    /// Hold so many copies; 0 only asks.
    Hold {
        /// Who asks.
        front_end: usize,
        /// The order's number there.
        order: u64,
        /// The function's rank.
        rank: usize,
        /// Copies wanted.
        copies: u32,
    },
    /// Unload the idle copies of the function of this rank.
    Unload(usize),
    /// Tell whether the worker takes work.
    Probe {
        /// Who asks.
        front_end: usize,
        /// The probe's number there.
        probe: u64,
    },
}

/// What a worker answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// A call ended.
    Ended {
        /// The call.
        call: CallOut,
        /// How.
        outcome: Outcome,
        /// Whether a copy stood loaded when it came.
        warm: bool,
        /// Calls that the worker held then, others' included.
        held: f64,
        /// How long it waited at the worker before it began.
        waited: Micros,
    },
    /// An order ended.
    Held {
        /// Who asked.
        front_end: usize,
        /// The order's number there.
        order: u64,
        /// How.
        outcome: Outcome,
        /// Copies that stand.
        copies: u32,
    },
    /// A probe ended.
    Probed {
        /// Who asked.
        front_end: usize,
        /// The probe's number there.
        probe: u64,
        /// How: a worker that runs takes work.
        outcome: Outcome,
        /// Calls that the worker holds, others' included.
        held: f64,
    },
}

/// What the world has done so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldCounts {
    /// Loads begun.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Copies unloaded for want of memory.
    pub evicted: u64,
    /// Calls begun.
    pub calls: u64,
    /// Orders to hold copies.
    pub holds: u64,
    /// Questions: orders for no copy.
    pub questions: u64,
    /// Orders to unload.
    pub unloads: u64,
}

/// The copies of one function at one worker.
#[derive(Debug, Default)]
struct Copies {
    loaded: u32,
    loading: u32,
    busy_lanes: u32,
    idle_since: Micros,
    waiting: VecDeque<(CallOut, bool)>,
    /// Orders that wait for copies: who, its number, how many.
    orders: Vec<(usize, u64, u32)>,
}

impl Copies {
    fn busy(&self, lanes: u32) -> u32 {
        self.busy_lanes.div_ceil(lanes)
    }

    fn in_use(&self) -> bool {
        self.loading > 0 || self.busy_lanes > 0 || !self.waiting.is_empty() || !self.orders.is_empty()
    }
}

#[derive(Debug)]
struct Worker {
    up: bool,
    /// Counts its processes; what belongs to an earlier one is void.
    process: u32,
    memory_mb: f64,
    used_mb: f64,
    running: u32,
    held: u32,
    loads: u32,
    loads_waiting: VecDeque<usize>,
    copies: BTreeMap<usize, Copies>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrives(Command),
    Finished(CallOut, bool, Micros),
    Loaded(usize, bool),
    Idle(usize),
}

/// Something that happens at a worker: in order of time, and as it was scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Micros,
    sequence: u64,
    worker: usize,
    /// The worker's process that it belongs to.
    process: u32,
    due: Due,
}

/// All workers and the store.
pub struct World {
    catalogue: Arc<Catalogue>,
    workers: Vec<Worker>,
    store: Store,
    others: Others,
    others_held: f64,
    cores: u32,
    loads_at_once: u32,
    most_held: u32,
    fetch_share: f64,
    keep: Micros,
    loads_on_absence: bool,
    due: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    replies: Vec<(Micros, usize, Reply)>,
    counts: WorldCounts,
}

impl World {
    /// Empty workers that have just become ready. Memory follows the settings' kinds in turn.
    pub fn new(experiment: &Experiment, settings: &Settings, catalogue: Arc<Catalogue>) -> Self {
        let kinds = &settings.machine_memory_mb;
        let memory = |n: usize| kinds.get(n % kinds.len().max(1)).copied().unwrap_or(f64::INFINITY);
        let workers = (0..experiment.fleet.workers as usize).map(|n| Worker::new(memory(n))).collect();
        let shape = &experiment.workers;
        let absent = f64::from(experiment.fleet.told() - experiment.fleet.front_ends);
        let others = Others::new(absent * experiment.calls.per_front_end_s, settings.keep_alive);
        let others_held = others.held(&catalogue, experiment.fleet.workers as usize);
        World {
            others_held,
            others,
            workers,
            catalogue,
            store: Store::new(&experiment.store),
            cores: shape.cores,
            loads_at_once: shape.loads_at_once,
            most_held: shape.most_held,
            fetch_share: experiment.store.fetch_share,
            keep: settings.keep_alive,
            loads_on_absence: settings.load_on_miss,
            due: BinaryHeap::new(),
            sequence: 0,
            replies: Vec::new(),
            counts: WorldCounts::default(),
        }
    }

    /// A command that arrives at a worker at this time.
    pub fn command(&mut self, at: Micros, worker: usize, command: Command) {
        let process = self.workers[worker].process;
        self.schedule(at, worker, process, Due::Arrives(command));
    }

    /// When something happens next.
    pub fn next(&self) -> Option<Micros> {
        self.due.peek().map(|next| next.0.at)
    }

    /// Lets everything happen that is due by now; replies with the times at which they leave, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<(Micros, usize, Reply)> {
        while self.due.peek().is_some_and(|next| next.0.at <= now) {
            let Some(Reverse(Scheduled { at, worker, process, due, .. })) = self.due.pop() else { break };
            let current = self.workers[worker].process == process;
            match due {
                Due::Arrives(command) => self.arrives(at, worker, command),
                Due::Finished(call, warm, waited) if current => self.finished(at, worker, call, warm, waited),
                Due::Loaded(rank, ok) if current => self.loaded(at, worker, rank, ok),
                Due::Idle(rank) if current => self.lapse(at, worker, rank),
                _ => {}
            }
        }
        std::mem::take(&mut self.replies)
    }

    /// A worker's process ends: what it held and ran is lost, connections break.
    pub fn stop(&mut self, now: Micros, worker: usize) {
        self.others.forget(worker);
        let w = &mut self.workers[worker];
        let fresh = Worker { up: false, process: w.process + 1, ..Worker::new(w.memory_mb) };
        let old = std::mem::replace(w, fresh);
        for copies in old.copies.into_values() {
            for (call, warm) in copies.waiting {
                let reply = Reply::Ended { call, outcome: Outcome::Reset, warm, held: 0.0, waited: 0 };
                self.replies.push((now, worker, reply));
            }
            for (front_end, order, _) in copies.orders {
                let reply = Reply::Held { front_end, order, outcome: Outcome::Reset, copies: 0 };
                self.replies.push((now, worker, reply));
            }
        }
        // Calls that ran there: their ends are void, but each front end hears of the break.
        let of_it = |s: &&Reverse<Scheduled>| s.0.worker == worker && s.0.process == old.process;
        let void = self.due.iter().filter(of_it).filter_map(|s| match s.0.due {
            Due::Finished(call, warm, _) => Some((call, warm)),
            _ => None,
        });
        let mut void: Vec<_> = void.collect();
        void.sort();
        for (call, warm) in void {
            let reply = Reply::Ended { call, outcome: Outcome::Reset, warm, held: 0.0, waited: 0 };
            self.replies.push((now, worker, reply));
        }
    }

    /// A new process starts there, empty.
    pub fn start(&mut self, worker: usize) {
        self.workers[worker].up = true;
    }

    /// Whether a process runs there.
    pub fn is_up(&self, worker: usize) -> bool {
        self.workers[worker].up
    }

    /// What has been done so far.
    pub fn counts(&self) -> WorldCounts {
        self.counts
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    fn schedule(&mut self, at: Micros, worker: usize, process: u32, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse(Scheduled { at, sequence: self.sequence, worker, process, due }));
    }

    fn arrives(&mut self, now: Micros, worker: usize, command: Command) {
        let up = self.workers[worker].up;
        match command {
            Command::Call(call) if !up => self.end(now, worker, call, Outcome::ConnectFailed),
            Command::Call(call) => self.call(now, worker, CallOut { arrived: now, ..call }),
            Command::Cancel(call) if up => self.cancel(worker, call),
            Command::Hold { front_end, order, .. } if !up => {
                self.held(now, worker, front_end, order, Outcome::ConnectFailed, 0);
            }
            Command::Hold { front_end, order, rank, copies } => {
                self.hold(now, worker, (front_end, order), rank, copies);
            }
            Command::Probe { front_end, probe } => {
                let outcome = if up { Outcome::Ok } else { Outcome::ConnectFailed };
                let held = f64::from(self.workers[worker].held) + self.others_held;
                self.replies.push((now, worker, Reply::Probed { front_end, probe, outcome, held }));
            }
            Command::Unload(rank) if up => self.unload(now, worker, rank),
            Command::Cancel(_) | Command::Unload(_) => {}
        }
    }

    fn end(&mut self, now: Micros, worker: usize, call: CallOut, outcome: Outcome) {
        let held = f64::from(self.workers[worker].held) + self.others_held;
        let reply = Reply::Ended { call, outcome, warm: false, held, waited: 0 };
        self.replies.push((now, worker, reply));
    }

    fn held(
        &mut self, now: Micros, worker: usize, front_end: usize, order: u64, outcome: Outcome, copies: u32,
    ) {
        self.replies.push((now, worker, Reply::Held { front_end, order, outcome, copies }));
    }

    /// The copies of a function, others' included, which stand there if their calls keep them.
    fn copies(&mut self, now: Micros, worker: usize, rank: usize) -> &mut Copies {
        let known = self.workers[worker].copies.get(&rank);
        let absent = known.is_none_or(|c| c.loaded == 0 && c.loading == 0);
        if absent && self.others.hold(&self.catalogue, rank, worker, now) {
            let memory = self.catalogue.functions[rank].memory_mb;
            if self.make_room(now, worker, rank, memory) {
                self.workers[worker].used_mb += memory;
                let copies = self.workers[worker].copies.entry(rank).or_default();
                (copies.loaded, copies.idle_since) = (1, now);
                let process = self.workers[worker].process;
                self.schedule(now + self.keep, worker, process, Due::Idle(rank));
            }
        }
        self.workers[worker].copies.entry(rank).or_default()
    }

    fn call(&mut self, now: Micros, worker: usize, call: CallOut) {
        if self.workers[worker].held >= self.most_held {
            return self.end(now, worker, call, Outcome::Rejected);
        }
        let (lanes, rank, loads_on_absence) = (self.catalogue.lanes, call.rank, self.loads_on_absence);
        let copies = self.copies(now, worker, rank);
        let warm = copies.loaded > 0;
        if copies.busy_lanes < copies.loaded * lanes {
            self.workers[worker].held += 1;
            return self.begin(now, worker, call, warm);
        }
        let absent = copies.loaded + copies.loading == 0;
        if absent && !loads_on_absence {
            return self.end(now, worker, call, Outcome::Miss);
        }
        copies.waiting.push_back((call, warm));
        let wanted = copies.waiting.len() as u32 > copies.loading * lanes;
        self.workers[worker].held += 1;
        let started = wanted && self.load(now, worker, rank);
        if absent && !started {
            // No room and nothing to wait for: it is turned away.
            if let Some((call, _)) = self.copies(now, worker, rank).waiting.pop_back() {
                self.workers[worker].held -= 1;
                self.end(now, worker, call, Outcome::Rejected);
            }
        }
    }

    fn begin(&mut self, now: Micros, worker: usize, call: CallOut, warm: bool) {
        let w = &mut self.workers[worker];
        w.running += 1;
        let crowd = (f64::from(w.running) + self.others_held) / f64::from(self.cores);
        let work = self.catalogue.functions[call.rank].work as f64 * crowd.max(1.0);
        if let Some(copies) = w.copies.get_mut(&call.rank) {
            copies.busy_lanes += 1;
        }
        self.counts.calls += 1;
        let process = w.process;
        self.schedule(
            now + work as Micros,
            worker,
            process,
            Due::Finished(call, warm, now.saturating_sub(call.arrived)),
        );
    }

    fn finished(&mut self, now: Micros, worker: usize, call: CallOut, warm: bool, waited: Micros) {
        let w = &mut self.workers[worker];
        (w.running, w.held) = (w.running - 1, w.held - 1);
        let held = f64::from(w.held) + self.others_held;
        if let Some(copies) = w.copies.get_mut(&call.rank) {
            copies.busy_lanes -= 1;
        }
        let reply = Reply::Ended { call, outcome: Outcome::Ok, warm, held, waited };
        self.replies.push((now, worker, reply));
        self.serve_waiting(now, worker, call.rank);
    }

    /// Begins what waits while lanes are free; else the idle time of the copies begins.
    fn serve_waiting(&mut self, now: Micros, worker: usize, rank: usize) {
        let lanes = self.catalogue.lanes;
        loop {
            let w = &mut self.workers[worker];
            let Some(copies) = w.copies.get_mut(&rank) else { return };
            if copies.busy_lanes >= copies.loaded * lanes {
                return;
            }
            let Some((call, warm)) = copies.waiting.pop_front() else {
                copies.idle_since = now;
                let process = w.process;
                return self.schedule(now + self.keep, worker, process, Due::Idle(rank));
            };
            self.begin(now, worker, call, warm);
        }
    }

    /// Starts one more load, or has it wait for its turn; false if there is no room for it.
    fn load(&mut self, now: Micros, worker: usize, rank: usize) -> bool {
        let memory = self.catalogue.functions[rank].memory_mb;
        let full = self.workers[worker].loads_waiting.len() as u32 >= 2 * self.loads_at_once;
        if full || !self.make_room(now, worker, rank, memory) {
            return false;
        }
        let w = &mut self.workers[worker];
        w.used_mb += memory;
        w.copies.entry(rank).or_default().loading += 1;
        if w.loads < self.loads_at_once {
            self.start_load(now, worker, rank);
        } else {
            w.loads_waiting.push_back(rank);
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
        self.schedule(at, worker, process, Due::Loaded(rank, fetched.is_some()));
    }

    fn loaded(&mut self, now: Micros, worker: usize, rank: usize, ok: bool) {
        let memory = self.catalogue.functions[rank].memory_mb;
        let w = &mut self.workers[worker];
        w.loads -= 1;
        if let Some(copies) = w.copies.get_mut(&rank) {
            copies.loading -= 1;
            copies.loaded += u32::from(ok);
        }
        if !ok {
            w.used_mb -= memory;
            self.counts.failed_loads += 1;
            self.give_up_waiting(now, worker, rank);
        }
        self.answer_orders(now, worker, rank, ok);
        self.serve_waiting(now, worker, rank);
        let next = self.workers[worker].loads_waiting.pop_front();
        if let Some(rank) = next {
            self.start_load(now, worker, rank);
        }
    }

    /// A load failed: calls that waited for nothing else end in a miss.
    fn give_up_waiting(&mut self, now: Micros, worker: usize, rank: usize) {
        let w = &mut self.workers[worker];
        let Some(copies) = w.copies.get_mut(&rank) else { return };
        if copies.loaded + copies.loading > 0 {
            return;
        }
        let waiting = std::mem::take(&mut copies.waiting);
        w.held -= waiting.len() as u32;
        waiting.into_iter().for_each(|(call, _)| self.end(now, worker, call, Outcome::Miss));
    }

    fn answer_orders(&mut self, now: Micros, worker: usize, rank: usize, ok: bool) {
        let Some(copies) = self.workers[worker].copies.get_mut(&rank) else { return };
        let (stand, more) = (copies.loaded, copies.loading > 0);
        let (ended, left): (Vec<_>, Vec<_>) =
            copies.orders.drain(..).partition(|&(_, _, wanted)| stand >= wanted || !more);
        copies.orders = left;
        for (front_end, order, wanted) in ended {
            let outcome = if stand >= wanted || ok { Outcome::Ok } else { Outcome::Error };
            self.held(now, worker, front_end, order, outcome, stand);
        }
    }

    fn hold(&mut self, now: Micros, worker: usize, who: (usize, u64), rank: usize, wanted: u32) {
        let (front_end, order) = who;
        if wanted == 0 {
            self.counts.questions += 1;
            let stand = self.copies(now, worker, rank).loaded;
            return self.held(now, worker, front_end, order, Outcome::Ok, stand);
        }
        self.counts.holds += 1;
        let copies = self.copies(now, worker, rank);
        let stand = copies.loaded;
        if copies.busy_lanes == 0 && stand > 0 {
            copies.idle_since = now;
            let process = self.workers[worker].process;
            self.schedule(now + self.keep, worker, process, Due::Idle(rank));
        }
        if stand >= wanted {
            return self.held(now, worker, front_end, order, Outcome::Ok, stand);
        }
        let coming = self.copies(now, worker, rank).loading;
        for _ in (stand + coming)..wanted {
            if !self.load(now, worker, rank) {
                return self.held(now, worker, front_end, order, Outcome::Rejected, stand);
            }
        }
        self.copies(now, worker, rank).orders.push((front_end, order, wanted));
    }

    fn cancel(&mut self, worker: usize, call: CallOut) {
        let w = &mut self.workers[worker];
        let Some(copies) = w.copies.get_mut(&call.rank) else { return };
        let same = |c: &CallOut| (c.front_end, c.id, c.attempt) == (call.front_end, call.id, call.attempt);
        let before = copies.waiting.len();
        copies.waiting.retain(|(c, _)| !same(c));
        w.held -= (before - copies.waiting.len()) as u32;
    }

    fn unload(&mut self, now: Micros, worker: usize, rank: usize) {
        self.counts.unloads += 1;
        self.drop_idle(now, worker, rank);
    }

    /// Unloads what is idle of a function; tells how much memory that gave back, in MB.
    fn drop_idle(&mut self, _now: Micros, worker: usize, rank: usize) -> f64 {
        let lanes = self.catalogue.lanes;
        let memory = self.catalogue.functions[rank].memory_mb;
        let w = &mut self.workers[worker];
        let Some(copies) = w.copies.get_mut(&rank) else { return 0.0 };
        let idle = copies.loaded.saturating_sub(copies.busy(lanes));
        copies.loaded -= idle;
        let freed = f64::from(idle) * memory;
        w.used_mb -= freed;
        if copies.loaded == 0 && !copies.in_use() {
            w.copies.remove(&rank);
        }
        freed
    }

    /// The keep-alive of idle copies may have passed.
    fn lapse(&mut self, now: Micros, worker: usize, rank: usize) {
        let keep = self.keep;
        let Some(copies) = self.workers[worker].copies.get(&rank) else { return };
        if copies.busy_lanes == 0 && now >= copies.idle_since + keep {
            self.drop_idle(now, worker, rank);
        }
    }

    /// Makes room for a copy: idle copies of other functions go, the one idle longest first.
    fn make_room(&mut self, now: Micros, worker: usize, rank: usize, memory: f64) -> bool {
        loop {
            let w = &self.workers[worker];
            if w.used_mb + memory <= w.memory_mb {
                return true;
            }
            let idle = w.copies.iter().filter(|(&r, c)| r != rank && c.loaded > 0 && c.busy_lanes == 0);
            let Some((&oldest, _)) = idle.min_by_key(|(_, c)| c.idle_since) else { return false };
            if self.drop_idle(now, worker, oldest) <= 0.0 {
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
            held: 0,
            loads: 0,
            loads_waiting: VecDeque::new(),
            copies: BTreeMap::new(),
        }
    }
}
