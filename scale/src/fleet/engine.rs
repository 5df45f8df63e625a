//! The run of a fleet: steps of the virtual clock, failures, the board, and what is written down of it.
use super::calls::{CallBook, Times};
use super::front_end::{Common, FrontEnd, Incoming, Try};
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use crate::report::{
    BoardReport, CallReport, ControlReport, FailureReport, FleetReport, Machine, Shape, StateReport,
    WorkerReport,
};
use crate::time::{milliseconds, seconds, VirtualClock, SECOND};
use crate::world::{Change, List, ListEvent, Reply, Schedule, Timed, World};
use heronslip::discovery::backoff::Backoff;
use heronslip::limits::Limits;
use heronslip_policy::{DiscoveryState, Micros, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// The virtual clock's time at the start: any but 0, which the list's form keeps for "long ago".
const EPOCH: Micros = 1_000 * SECOND;
/// How long after the last call the run goes on, so that all calls end.
const AFTER: Micros = 10 * SECOND;
/// Descriptor and memory limits of a front end, for the times that its program works out from them.
const LIMITS: (u64, u64) = (192, 1_024);
/// Width of the buckets in which the board's load is counted.
const BUCKET: Micros = 100_000;
/// Bytes of an order's or a question's frame and its answer, by the wire's form.
const ORDER_BYTES: u64 = 52 + 30;
/// Bytes of the frame of an order to unload.
const UNLOAD_BYTES: u64 = 20;
/// Bytes of the board's comment each second.
const COMMENT_BYTES: u64 = 3;
/// Bytes of a call to the board with its answer's head.
const BOARD_CALL_BYTES: u64 = 220;

/// Runs an experiment on the virtual clock.
pub fn run(experiment: &Experiment, settings: Settings) -> FleetReport {
    let began = Instant::now();
    let mut engine = Engine::new(experiment, settings);
    engine.run();
    engine.report(began)
}

/// One change of the list on its way to all front ends.
struct Spread {
    at: Micros,
    waiting: usize,
    last: Micros,
}

/// How a front end stands with the board.
#[derive(Clone, Copy, Default)]
struct Watch {
    /// Since when it hears nothing of the board.
    cut: Option<Micros>,
    /// The number of the last event on its way to it or there.
    told: u64,
    /// When that arrives.
    last_at: Micros,
}

/// What the board was asked for and told.
#[derive(Default)]
struct BoardLoad {
    calls: BTreeMap<Micros, u64>,
    bytes: BTreeMap<Micros, u64>,
    whole_lists: u64,
    resumed: u64,
}

impl BoardLoad {
    fn called(&mut self, at: Micros, bytes: u64) {
        *self.calls.entry(at / BUCKET).or_default() += 1;
        *self.bytes.entry(at / BUCKET).or_default() += bytes + BOARD_CALL_BYTES;
    }
}

struct Engine<'a> {
    experiment: &'a Experiment,
    settings: Arc<Settings>,
    clock: VirtualClock,
    random: Pcg64,
    common: Common,
    front_ends: Vec<FrontEnd>,
    watches: Vec<Watch>,
    world: World,
    list: List,
    schedule: Schedule,
    spreads: BTreeMap<u64, Spread>,
    known: Times,
    book: CallBook,
    board: BoardLoad,
    list_bytes: u64,
    /// Calls of the board that came to nothing.
    failed_calls: u64,
    /// Times from a heal of the board's link until a front end is connected again.
    heals: Times,
    most_connections: Vec<u32>,
}

impl<'a> Engine<'a> {
    fn new(experiment: &'a Experiment, settings: Settings) -> Self {
        let catalogue = Arc::new(Catalogue::new(experiment));
        let ranks = catalogue.functions.iter().enumerate().map(|(rank, f)| (f.id, rank)).collect();
        let settings = Arc::new(settings);
        let common = Common {
            settings: settings.clone(),
            catalogue: catalogue.clone(),
            ranks: Arc::new(ranks),
            front_ends: experiment.fleet.front_ends,
            retries: experiment.calls.retries,
            ramp: seconds(experiment.calls.ramp_s),
            seed: experiment.seed,
        };
        let count = experiment.fleet.front_ends as usize;
        let front_end = |n| FrontEnd::new(n, rate(experiment, n), &common);
        Engine {
            front_ends: (0..count).map(front_end).collect(),
            watches: vec![Watch::default(); count],
            world: World::new(experiment, &settings, catalogue),
            list: List::new(experiment, settings.machine_memory_mb.len()),
            schedule: Schedule::new(experiment),
            book: CallBook::new(&settings, EPOCH, EPOCH + seconds(experiment.warm_up_s)),
            clock: VirtualClock::new(EPOCH, milliseconds(experiment.step_ms)),
            random: Pcg64::seed_from_u64(experiment.seed ^ 0x656e_6769_6e65),
            spreads: BTreeMap::new(),
            known: Times::default(),
            board: BoardLoad::default(),
            list_bytes: 0,
            failed_calls: 0,
            heals: Times::default(),
            most_connections: Vec::new(),
            experiment,
            settings,
            common,
        }
    }

    fn run(&mut self) {
        let all: Vec<usize> = (0..self.front_ends.len()).collect();
        self.start_front_ends(EPOCH, &all);
        for front_end in &mut self.front_ends {
            front_end.open_for_clients(EPOCH);
        }
        let end = EPOCH + seconds(self.experiment.duration_s);
        while self.clock.now() < end {
            self.step();
        }
        self.count_connections();
        self.front_ends.iter_mut().for_each(FrontEnd::close_to_clients);
        while self.clock.now() < end + AFTER {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.clock.advance();
        while let Some(timed) = self.schedule.due(now - EPOCH) {
            self.change(now, timed);
        }
        for (at, worker, reply) in self.world.advance(now) {
            self.deliver(at, worker, reply);
        }
        self.front_ends.par_iter_mut().for_each(|f| f.run(now));
        self.collect(now);
    }

    /// Takes what front ends did, in their order.
    fn collect(&mut self, now: Micros) {
        let mut elsewhere = Vec::new();
        for n in 0..self.front_ends.len() {
            let done = self.front_ends[n].done();
            for (at, worker, command) in done.commands {
                let arrives = (at + self.way(n, worker)).max(now);
                self.world.command(arrives, worker, command);
            }
            done.calls.iter().for_each(|call| self.book.add(call));
            done.known.into_iter().for_each(|(number, at)| self.told(number, at));
            elsewhere.extend(done.turned_elsewhere.into_iter().map(|(at, call)| (n, at, call)));
        }
        elsewhere.into_iter().for_each(|(n, at, call)| self.send_elsewhere(n, at, call));
    }

    /// The way of a message between a front end and a worker.
    fn way(&self, front_end: usize, worker: usize) -> Micros {
        let same = front_end % self.experiment.fleet.zones as usize == self.list.zone(worker);
        let network = &self.experiment.network;
        milliseconds(if same { network.same_zone_ms } else { network.cross_zone_ms })
    }

    fn deliver(&mut self, at: Micros, worker: usize, reply: Reply) {
        let front_end = match reply {
            Reply::Ended { call, .. } => call.front_end,
            Reply::Held { front_end, .. } | Reply::Probed { front_end, .. } => front_end,
        };
        let arrives = at + self.way(front_end, worker);
        self.front_ends[front_end].put(arrives, Incoming::Reply(reply));
    }

    /// A client whose front end is down goes to the next one that is up.
    fn send_elsewhere(&mut self, from: usize, at: Micros, call: Try) {
        let count = self.front_ends.len();
        let up = (1..count).map(|step| (from + step) % count).find(|&n| self.front_ends[n].is_up());
        match up {
            Some(n) => self.front_ends[n].put(at + milliseconds(1.0), Incoming::Again(call)),
            None => self.front_ends[from].put(at + SECOND, Incoming::Again(call)),
        }
    }

    fn start_front_ends(&mut self, now: Micros, which: &[usize]) {
        let list = Arc::new(self.list.whole());
        for &n in which {
            self.front_ends[n].start(now, self.list.last(), list.clone());
            self.watches[n] = Watch { told: self.list.last(), last_at: now, ..self.watches[n] };
            // What a process is told at its start comes with its configuration, not from the board.
            self.board.called(now, 0);
        }
    }

    fn change(&mut self, now: Micros, timed: Timed) {
        match timed.change {
            Change::FrontEndsStop(which) => {
                for n in which {
                    self.front_ends[n].stop(now);
                    self.forget_told(n);
                }
            }
            Change::FrontEndsStart(which) => self.start_front_ends(now, &which),
            Change::WorkersStop(which) => {
                which.iter().for_each(|&w| self.world.stop(now, w));
                let event = self.list.gone(now, &which);
                self.tell(now, &event);
            }
            Change::WorkersStart(which) => {
                which.iter().for_each(|&w| self.world.start(w));
                let event = self.list.back(now, &which);
                self.tell(now, &event);
            }
            Change::WorkersReplaced(which) => {
                for &w in &which {
                    self.world.stop(now, w);
                    self.world.start(w);
                }
                let event = self.list.replaced(now, &which);
                self.tell(now, &event);
            }
            Change::BoardCut(which) => which.into_iter().for_each(|n| self.cut(now, n)),
            Change::BoardHealed(which) => which.into_iter().for_each(|n| self.heal(now, n)),
        }
    }

    /// Tells an event to all front ends that watch, each late by a time of its own and in order.
    fn tell(&mut self, now: Micros, event: &Arc<ListEvent>) {
        let [least, most] = self.experiment.board.delay_ms;
        let mut waiting = 0;
        for n in 0..self.front_ends.len() {
            let late = milliseconds(least + (most - least) * self.random.random::<f64>());
            let watch = &mut self.watches[n];
            if watch.cut.is_some() || !self.front_ends[n].is_up() {
                continue;
            }
            watch.last_at = watch.last_at.max(now + late);
            watch.told = event.number;
            waiting += 1;
            self.list_bytes += event.bytes() as u64;
            self.front_ends[n].put(watch.last_at, Incoming::List(event.clone()));
        }
        self.spreads.insert(event.number, Spread { at: event.at, waiting, last: now });
    }

    fn told(&mut self, number: u64, at: Micros) {
        let Some(spread) = self.spreads.get_mut(&number) else { return };
        spread.last = spread.last.max(at);
        spread.waiting = spread.waiting.saturating_sub(1);
        if spread.waiting == 0 {
            let took = spread.last - spread.at;
            self.spreads.remove(&number);
            self.known.add(took);
        }
    }

    /// A front end that ended will not come to know what was on its way to it.
    fn forget_told(&mut self, n: usize) {
        let (told, last_at) = (self.watches[n].told, self.watches[n].last_at);
        if last_at <= self.clock.now() {
            return;
        }
        let open: Vec<u64> = self.spreads.range(..=told).map(|(&number, _)| number).collect();
        open.into_iter().for_each(|number| self.told(number, self.clock.now()));
    }

    /// The board falls silent: the front end's program gives its connection up when it has heard nothing for long.
    fn cut(&mut self, now: Micros, n: usize) {
        self.watches[n].cut = Some(now);
        let limits = Limits::new(LIMITS.0, LIMITS.1, &self.settings);
        let lost = now + limits.discovery_silence_timeout.as_micros() as Micros;
        self.front_ends[n].put(lost, Incoming::Discovery(DiscoveryState::Lost));
    }

    /// The board can be reached again: the front end calls it at its next try and is told what it missed.
    fn heal(&mut self, now: Micros, n: usize) {
        let cut = self.watches[n].cut.take();
        if !self.front_ends[n].is_up() {
            return;
        }
        let back = self.next_call(n, cut.unwrap_or(now), now);
        let watch = self.watches[n];
        match self.list.since(watch.told) {
            Some(missed) => {
                self.board.resumed += 1;
                let bytes: usize = missed.iter().map(|e| e.bytes()).sum();
                self.board.called(back, bytes as u64);
                missed.into_iter().for_each(|e| self.front_ends[n].put(back, Incoming::List(e)));
            }
            None => {
                self.board.whole_lists += 1;
                self.board.called(back, self.list.whole_bytes() as u64);
                let whole = Arc::new(self.list.whole());
                self.front_ends[n].put(back, Incoming::Whole(self.list.last(), whole));
            }
        }
        self.front_ends[n].put(back, Incoming::Discovery(DiscoveryState::Current));
        self.watches[n] = Watch { cut: None, told: self.list.last(), last_at: back };
        self.heals.add(back.saturating_sub(now));
    }

    /// When a front end that was cut off calls the board for the first time after the heal: its program notices the
    /// silence, and calls that hang until the program gives each up, with the program's own waits between them.
    fn next_call(&mut self, n: usize, cut: Micros, heal: Micros) -> Micros {
        let limits = Limits::new(LIMITS.0, LIMITS.1, &self.settings);
        let micros = |span: std::time::Duration| span.as_micros() as Micros;
        let mut backoff = Backoff::new(
            limits.discovery_initial_backoff,
            limits.discovery_max_backoff,
            self.random.random(),
        );
        let hangs = micros(limits.connect_timeout.min(limits.discovery_silence_timeout / 2));
        // Where in the board's comments the cut came is chance.
        let mut at = cut + micros(limits.discovery_silence_timeout) - self.random.random_range(0..SECOND);
        while at < heal {
            self.failed_calls += 1;
            // One that hangs over the heal does too: its first packet is lost, and it ends before the next.
            at += hangs + micros(backoff.next_delay());
        }
        at + 2 * self.way(n, 0)
    }

    /// Front ends connected to each worker: those that sent it something within the idle time of connections.
    fn count_connections(&mut self) {
        let idle = self.settings.connection_idle_timeout;
        let since = self.clock.now().saturating_sub(idle - idle / 5);
        let mut at = vec![0u32; self.experiment.fleet.workers as usize];
        for front_end in &self.front_ends {
            front_end.connected_since(since).for_each(|worker| at[worker] += 1);
        }
        self.most_connections = at;
    }

    /// When the failure after this time begins, or the run's last whole second ends.
    fn next_failure(&self, at_s: f64) -> f64 {
        let later = self.experiment.failure.iter().map(|f| f.at_s).filter(|&at| at > at_s);
        later.fold(self.experiment.duration_s - 1.0, f64::min)
    }

    fn report(&mut self, began: Instant) -> FleetReport {
        let experiment = self.experiment;
        let span = experiment.duration_s;
        let counts = self.world.counts();
        let front_ends = f64::from(experiment.fleet.front_ends);
        let each = |n: u64| n as f64 / front_ends / span;
        let orders: (u64, u64, u64) = self
            .front_ends
            .iter()
            .map(FrontEnd::orders)
            .fold((0, 0, 0), |sum, o| (sum.0 + o.holds, sum.1 + o.questions, sum.2 + o.unloads));
        let probes = self.front_ends.iter().map(|front_end| front_end.orders().probes).sum();
        let footprints: Vec<_> = self.front_ends.iter().map(FrontEnd::footprint).collect();
        let mean = |of: &dyn Fn(&heronslip_policy::Footprint) -> usize| {
            footprints.iter().map(of).sum::<usize>() / footprints.len().max(1)
        };
        let failures = experiment.failure.iter().enumerate().map(|(n, f)| FailureReport {
            kind: format!("{:?}", f.kind),
            at_s: f.at_s,
            for_s: f.for_s,
            least_in_time: self.book.least_in_time(seconds(f.at_s), seconds(self.next_failure(f.at_s))),
            recovered_after_s: self.book.recovery(seconds(f.at_s), seconds(self.next_failure(f.at_s))),
            number: n,
        });
        let connected: u32 = self.most_connections.iter().sum();
        let mut sorted = self.most_connections.clone();
        sorted.sort_unstable();
        let total = f64::from(experiment.fleet.told()) * experiment.calls.per_front_end_s;
        FleetReport {
            shape: Shape::of(experiment, self.common.catalogue.rare(total)),
            calls: CallReport {
                counts: self.book.counts(),
                latency: self.book.latency().quantiles(),
                cold_start: self.book.cold_start().quantiles(),
                cold_within_1500_ms: self.book.cold_start().within(milliseconds(1_500.0)),
            },
            control: ControlReport {
                list_bytes_s: each(self.list_bytes) + COMMENT_BYTES as f64,
                hold_bytes_s: each(orders.0 * ORDER_BYTES + orders.2 * UNLOAD_BYTES),
                question_bytes_s: each(orders.1 * ORDER_BYTES),
                holds_s: each(orders.0),
                questions_s: each(orders.1),
                probes_s: each(probes),
                unloads_s: each(orders.2),
            },
            workers: WorkerReport {
                loads: counts.loads,
                failed_loads: counts.failed_loads,
                evicted: counts.evicted,
                calls: counts.calls,
                fetches: self.world.store().fetches,
                fetches_turned_away: self.world.store().turned_away,
                connections_of_a_front_end: f64::from(connected) / front_ends,
                connections_of_a_worker: f64::from(connected) / self.most_connections.len() as f64,
                most_connections_of_a_worker: sorted.last().copied().unwrap_or(0),
            },
            board: BoardReport {
                known_everywhere: self.known.quantiles(),
                reconnected: self.heals.quantiles(),
                failed_calls: self.failed_calls,
                resumed: self.board.resumed,
                whole_lists: self.board.whole_lists,
                peak_calls_s: peak(&self.board.calls),
                peak_bytes_s: peak(&self.board.bytes),
            },
            state: StateReport {
                workers: mean(&|f| f.workers),
                functions: mean(&|f| f.functions),
                copies: mean(&|f| f.copies),
                preferences: mean(&|f| f.preferences),
                bytes: mean(&|f| f.bytes()),
            },
            failures: failures.collect(),
            machine: Machine::measure(began),
        }
    }
}

fn peak(buckets: &BTreeMap<Micros, u64>) -> u64 {
    // The start of all front ends is no reconnect: it has a bucket of its own.
    let first = EPOCH / BUCKET;
    buckets.iter().filter(|(&at, _)| at > first).map(|(_, &n)| n).max().unwrap_or(0) * (SECOND / BUCKET)
}

/// Calls a second at one front end: the first is the busiest, the others share the rest evenly.
fn rate(experiment: &Experiment, front_end: usize) -> f64 {
    let (mean, count) = (experiment.calls.per_front_end_s, f64::from(experiment.fleet.front_ends));
    let busiest = experiment.calls.busiest;
    if front_end == 0 || count < 2.0 {
        mean * busiest
    } else {
        mean * (count - busiest) / (count - 1.0)
    }
}
