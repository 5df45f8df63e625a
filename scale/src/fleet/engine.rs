//! The run of a fleet: steps of the virtual clock, failures, the discovery server, and the report.
use super::calls::{CallStatistics, DurationHistogram};
use super::front_end::{ClientCall, CommandCounts, FrontEnd, FrontEndEvent, SharedContext};
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use crate::report::{
    CallReport, ControlReport, DiscoveryReport, ExperimentSize, FailureReport, FleetReport, Machine,
    StateReport, WorkerReport,
};
use crate::time::{milliseconds, seconds, VirtualClock, MILLISECOND, SECOND};
use crate::world::{Change, ListEvent, Reply, Schedule, ScheduledChange, WorkerList, World};
use heronslip::discovery::backoff::Backoff;
use heronslip::limits::Limits;
use heronslip_policy::{DiscoveryState, Micros, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Start time of the virtual clock. It is not 0, as the worker list uses 0 for "long ago".
const EPOCH: Micros = 1_000 * SECOND;
/// How long the run continues after the last call, so that all calls end.
const DRAIN_TIME: Micros = 10 * SECOND;
/// Memory limit of a front end in MB, from which its program derives its other limits.
const MEMORY_LIMIT_MB: u64 = 192;
/// Descriptor limit of a front end, from which its program derives its other limits.
const DESCRIPTOR_LIMIT: u64 = 1_024;
/// Width of the time buckets in which requests to the discovery server are counted.
const BUCKET: Micros = 100_000;
/// Bytes of the frame of a load command or copy query, and of the reply to it.
const LOAD_COMMAND_BYTES: u64 = 52 + 30;
/// Bytes of the frame of an unload command.
const UNLOAD_COMMAND_BYTES: u64 = 20;
/// Bytes of the comment that the discovery server sends each second.
const COMMENT_BYTES: u64 = 3;
/// Bytes of a request to the discovery server and of the head of its response.
const DISCOVERY_REQUEST_BYTES: u64 = 220;
/// Time that a client takes to send a call to another front end, when its own is down.
const REDIRECT_DELAY: Micros = MILLISECOND;
/// Time after which a client tries its own front end again, when all are down.
const ALL_DOWN_RETRY_DELAY: Micros = SECOND;
/// Separates the engine's random numbers from others of the same seed: "engine" in ASCII.
const ENGINE_SEED: u64 = 0x656e_6769_6e65;

/// Runs an experiment on the virtual clock.
pub fn run(experiment: &Experiment, settings: Settings) -> FleetReport {
    let started = Instant::now();
    let mut engine = Engine::new(experiment, settings);
    engine.run();
    engine.report(started)
}

/// A change of the worker list on its way to the front ends.
struct Propagation {
    at: Micros,
    /// Front ends that have not applied it.
    pending: usize,
    /// When a front end last applied it.
    last_applied: Micros,
}

/// A front end's subscription to the discovery server.
#[derive(Clone, Copy, Default)]
struct Subscription {
    /// When it was cut off, while it is.
    cut_at: Option<Micros>,
    /// The number of the last event sent to it.
    last_sent: u64,
    /// When that event arrives.
    last_arrival: Micros,
}

/// Load of the discovery server.
#[derive(Default)]
struct DiscoveryLoad {
    /// Requests by time bucket.
    requests: BTreeMap<Micros, u64>,
    /// Bytes of requests and responses by time bucket.
    bytes: BTreeMap<Micros, u64>,
    /// Reconnects that got the full list.
    full_lists: u64,
    /// Reconnects that got the missed events only.
    resumed: u64,
}

impl DiscoveryLoad {
    fn add_request(&mut self, at: Micros, response_bytes: u64) {
        *self.requests.entry(at / BUCKET).or_default() += 1;
        *self.bytes.entry(at / BUCKET).or_default() += response_bytes + DISCOVERY_REQUEST_BYTES;
    }
}

struct Engine<'a> {
    experiment: &'a Experiment,
    settings: Arc<Settings>,
    clock: VirtualClock,
    rng: Pcg64,
    shared: SharedContext,
    front_ends: Vec<FrontEnd>,
    subscriptions: Vec<Subscription>,
    world: World,
    list: WorkerList,
    schedule: Schedule,
    /// Changes of the list that some front end has not applied, by event number.
    propagations: BTreeMap<u64, Propagation>,
    /// Times from a change of the list until the last front end has applied it.
    propagation_times: DurationHistogram,
    calls: CallStatistics,
    discovery: DiscoveryLoad,
    /// Bytes of the list changes sent to front ends.
    list_bytes: u64,
    /// Failed requests to the discovery server.
    failed_requests: u64,
    /// Times from the end of a cut until a front end is connected to the discovery server again.
    reconnect_times: DurationHistogram,
    /// Front ends connected to each worker when the calls end.
    connections: Vec<u32>,
}

impl<'a> Engine<'a> {
    fn new(experiment: &'a Experiment, settings: Settings) -> Self {
        let catalogue = Arc::new(Catalogue::new(experiment));
        let ranks = catalogue.functions.iter().enumerate().map(|(rank, f)| (f.id, rank)).collect();
        let settings = Arc::new(settings);
        let shared = SharedContext {
            settings: settings.clone(),
            catalogue: catalogue.clone(),
            ranks: Arc::new(ranks),
            front_ends: experiment.fleet.front_ends,
            max_retries: experiment.calls.retries,
            ramp: seconds(experiment.calls.ramp_s),
            seed: experiment.seed,
        };
        let count = experiment.fleet.front_ends as usize;
        let front_end = |n| FrontEnd::new(n, calls_per_second(experiment, n), &shared);
        Engine {
            front_ends: (0..count).map(front_end).collect(),
            subscriptions: vec![Subscription::default(); count],
            world: World::new(experiment, &settings, catalogue),
            list: WorkerList::new(experiment, settings.machine_memory_mb.len()),
            schedule: Schedule::new(experiment),
            calls: CallStatistics::new(&settings, EPOCH, EPOCH + seconds(experiment.warm_up_s)),
            clock: VirtualClock::new(EPOCH, milliseconds(experiment.step_ms)),
            rng: Pcg64::seed_from_u64(experiment.seed ^ ENGINE_SEED),
            propagations: BTreeMap::new(),
            propagation_times: DurationHistogram::default(),
            discovery: DiscoveryLoad::default(),
            list_bytes: 0,
            failed_requests: 0,
            reconnect_times: DurationHistogram::default(),
            connections: Vec::new(),
            experiment,
            settings,
            shared,
        }
    }

    fn run(&mut self) {
        let all: Vec<usize> = (0..self.front_ends.len()).collect();
        self.start_front_ends(EPOCH, &all);
        for front_end in &mut self.front_ends {
            front_end.start_calls(EPOCH);
        }
        let end = EPOCH + seconds(self.experiment.duration_s);
        while self.clock.now() < end {
            self.step();
        }
        self.count_connections();
        self.front_ends.iter_mut().for_each(FrontEnd::stop_calls);
        while self.clock.now() < end + DRAIN_TIME {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.clock.advance();
        while let Some(scheduled) = self.schedule.pop_due(now - EPOCH) {
            self.apply(now, scheduled);
        }
        for (at, worker, reply) in self.world.advance(now) {
            self.deliver(at, worker, reply);
        }
        self.front_ends.par_iter_mut().for_each(|f| f.run_until(now));
        self.collect(now);
    }

    /// Collects the front ends' output of the step, in the order of their numbers.
    fn collect(&mut self, now: Micros) {
        let mut undelivered = Vec::new();
        for n in 0..self.front_ends.len() {
            let output = self.front_ends[n].take_output();
            for (at, worker, command) in output.commands {
                let arrival = (at + self.latency(n, worker)).max(now);
                self.world.command(arrival, worker, command);
            }
            output.ended_calls.iter().for_each(|call| self.calls.add(call));
            output.applied_events.into_iter().for_each(|(number, at)| self.event_applied(number, at));
            undelivered.extend(output.undelivered_calls.into_iter().map(|(at, call)| (n, at, call)));
        }
        undelivered.into_iter().for_each(|(n, at, call)| self.redirect(n, at, call));
    }

    /// One-way latency between a front end and a worker.
    fn latency(&self, front_end: usize, worker: usize) -> Micros {
        let same_zone = front_end % self.experiment.fleet.zones as usize == self.list.zone(worker);
        let network = &self.experiment.network;
        milliseconds(if same_zone { network.same_zone_ms } else { network.cross_zone_ms })
    }

    /// Schedules the arrival of a worker's reply at its front end.
    fn deliver(&mut self, at: Micros, worker: usize, reply: Reply) {
        let front_end = match reply {
            Reply::CallEnded { call, .. } => call.front_end,
            Reply::LoadEnded { front_end, .. } | Reply::ProbeEnded { front_end, .. } => front_end,
        };
        let arrival = at + self.latency(front_end, worker);
        self.front_ends[front_end].schedule(arrival, FrontEndEvent::Reply(reply));
    }

    /// Sends a call whose front end is down to the next front end that is up, or has its client retry later.
    fn redirect(&mut self, from: usize, at: Micros, call: ClientCall) {
        let count = self.front_ends.len();
        let up = (1..count).map(|step| (from + step) % count).find(|&n| self.front_ends[n].is_up());
        match up {
            Some(n) => self.front_ends[n].schedule(at + REDIRECT_DELAY, FrontEndEvent::Retry(call)),
            None => self.front_ends[from].schedule(at + ALL_DOWN_RETRY_DELAY, FrontEndEvent::Retry(call)),
        }
    }

    fn start_front_ends(&mut self, now: Micros, front_ends: &[usize]) {
        let list = Arc::new(self.list.snapshot());
        for &n in front_ends {
            self.front_ends[n].start(now, self.list.last_event(), list.clone());
            self.subscriptions[n] = Subscription {
                last_sent: self.list.last_event(),
                last_arrival: now,
                ..self.subscriptions[n]
            };
            // A process gets its first list with its configuration, so the discovery server sends it none.
            self.discovery.add_request(now, 0);
        }
    }

    fn apply(&mut self, now: Micros, scheduled: ScheduledChange) {
        match scheduled.change {
            Change::FrontEndsStop(front_ends) => {
                for n in front_ends {
                    self.front_ends[n].stop(now);
                    self.drop_events_in_flight(n);
                }
            }
            Change::FrontEndsStart(front_ends) => self.start_front_ends(now, &front_ends),
            Change::WorkersStop(workers) => {
                workers.iter().for_each(|&w| self.world.stop(now, w));
                let event = self.list.mark_gone(now, &workers);
                self.send_event(now, &event);
            }
            Change::WorkersStart(workers) => {
                workers.iter().for_each(|&w| self.world.start(w));
                let event = self.list.mark_ready(now, &workers);
                self.send_event(now, &event);
            }
            Change::WorkersReplaced(workers) => {
                for &w in &workers {
                    self.world.stop(now, w);
                    self.world.start(w);
                }
                let event = self.list.replace(now, &workers);
                self.send_event(now, &event);
            }
            Change::DiscoveryCut(front_ends) => front_ends.into_iter().for_each(|n| self.cut(now, n)),
            Change::DiscoveryRestored(front_ends) => {
                front_ends.into_iter().for_each(|n| self.restore(now, n))
            }
        }
    }

    /// Sends an event to all subscribed front ends, each with a random delay, but in the order of the events.
    fn send_event(&mut self, now: Micros, event: &Arc<ListEvent>) {
        let [min, max] = self.experiment.discovery.delay_ms;
        let mut pending = 0;
        for n in 0..self.front_ends.len() {
            let delay = milliseconds(min + (max - min) * self.rng.random::<f64>());
            let subscription = &mut self.subscriptions[n];
            if subscription.cut_at.is_some() || !self.front_ends[n].is_up() {
                continue;
            }
            subscription.last_arrival = subscription.last_arrival.max(now + delay);
            subscription.last_sent = event.number;
            pending += 1;
            self.list_bytes += event.bytes() as u64;
            self.front_ends[n].schedule(subscription.last_arrival, FrontEndEvent::ListChange(event.clone()));
        }
        self.propagations.insert(event.number, Propagation { at: event.at, pending, last_applied: now });
    }

    /// Notes that one more front end has applied an event, or no longer will.
    fn event_applied(&mut self, number: u64, at: Micros) {
        let Some(propagation) = self.propagations.get_mut(&number) else { return };
        propagation.last_applied = propagation.last_applied.max(at);
        propagation.pending = propagation.pending.saturating_sub(1);
        if propagation.pending == 0 {
            let duration = propagation.last_applied - propagation.at;
            self.propagations.remove(&number);
            self.propagation_times.add(duration);
        }
    }

    /// Stops waiting for a front end that ended to apply the events on their way to it.
    fn drop_events_in_flight(&mut self, n: usize) {
        let Subscription { last_sent, last_arrival, .. } = self.subscriptions[n];
        if last_arrival <= self.clock.now() {
            return;
        }
        let open: Vec<u64> = self.propagations.range(..=last_sent).map(|(&number, _)| number).collect();
        open.into_iter().for_each(|number| self.event_applied(number, self.clock.now()));
    }

    /// Cuts a front end off from the discovery server. Its program closes the connection after the silence
    /// timeout.
    fn cut(&mut self, now: Micros, n: usize) {
        self.subscriptions[n].cut_at = Some(now);
        let limits = Limits::new(MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT, &self.settings);
        let lost = now + limits.discovery_silence_timeout.as_micros() as Micros;
        self.front_ends[n].schedule(lost, FrontEndEvent::Discovery(DiscoveryState::Lost));
    }

    /// Ends a cut: the front end reconnects with its next request and gets the events it missed, or the full
    /// list.
    fn restore(&mut self, now: Micros, n: usize) {
        let cut_at = self.subscriptions[n].cut_at.take();
        if !self.front_ends[n].is_up() {
            return;
        }
        let reconnected = self.reconnect_time(n, cut_at.unwrap_or(now), now);
        let subscription = self.subscriptions[n];
        match self.list.events_after(subscription.last_sent) {
            Some(missed) => {
                self.discovery.resumed += 1;
                let bytes: usize = missed.iter().map(|e| e.bytes()).sum();
                self.discovery.add_request(reconnected, bytes as u64);
                missed
                    .into_iter()
                    .for_each(|e| self.front_ends[n].schedule(reconnected, FrontEndEvent::ListChange(e)));
            }
            None => {
                self.discovery.full_lists += 1;
                self.discovery.add_request(reconnected, self.list.snapshot_bytes() as u64);
                let snapshot = Arc::new(self.list.snapshot());
                self.front_ends[n]
                    .schedule(reconnected, FrontEndEvent::ListSnapshot(self.list.last_event(), snapshot));
            }
        }
        self.front_ends[n].schedule(reconnected, FrontEndEvent::Discovery(DiscoveryState::Current));
        self.subscriptions[n] =
            Subscription { cut_at: None, last_sent: self.list.last_event(), last_arrival: reconnected };
        self.reconnect_times.add(reconnected.saturating_sub(now));
    }

    /// When a front end that was cut off reconnects after the cut has ended. Once its program notices the
    /// silence, it sends requests that hang until they time out, with the program's own backoff between them.
    fn reconnect_time(&mut self, n: usize, cut_at: Micros, restored_at: Micros) -> Micros {
        let limits = Limits::new(MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT, &self.settings);
        let micros = |span: std::time::Duration| span.as_micros() as Micros;
        let mut backoff =
            Backoff::new(limits.discovery_initial_backoff, limits.discovery_max_backoff, self.rng.random());
        let request_timeout = micros(limits.connect_timeout.min(limits.discovery_silence_timeout / 2));
        // The cut begins at a random time between two of the discovery server's comments.
        let mut at = cut_at + micros(limits.discovery_silence_timeout) - self.rng.random_range(0..SECOND);
        while at < restored_at {
            self.failed_requests += 1;
            // A request that is open when the cut ends times out too: its first packet is lost, and it ends
            // before the packet is sent again.
            at += request_timeout + micros(backoff.next_delay());
        }
        at + 2 * self.latency(n, 0)
    }

    /// Counts the front ends connected to each worker: those that sent it a command within the time after which
    /// their program closes an idle connection, four fifths of the configured idle timeout.
    fn count_connections(&mut self) {
        let idle = self.settings.connection_idle_timeout;
        let since = self.clock.now().saturating_sub(idle - idle / 5);
        let mut connections = vec![0u32; self.experiment.fleet.workers as usize];
        for front_end in &self.front_ends {
            front_end.contacted_since(since).for_each(|worker| connections[worker] += 1);
        }
        self.connections = connections;
    }

    /// When the next failure after this time begins; without one, a second before the end of the run.
    fn next_failure(&self, at_s: f64) -> f64 {
        let later = self.experiment.failures.iter().map(|f| f.at_s).filter(|&at| at > at_s);
        later.fold(self.experiment.duration_s - 1.0, f64::min)
    }

    fn report(&mut self, started: Instant) -> FleetReport {
        let experiment = self.experiment;
        let counts = self.world.counts();
        let front_ends = f64::from(experiment.fleet.front_ends);
        let per_front_end_s = |n: u64| n as f64 / front_ends / experiment.duration_s;
        let commands = |of: &dyn Fn(&CommandCounts) -> u64| -> u64 {
            self.front_ends.iter().map(|front_end| of(&front_end.command_counts())).sum()
        };
        let loads = commands(&|c| c.loads);
        let copy_queries = commands(&|c| c.copy_queries);
        let unloads = commands(&|c| c.unloads);
        let probes = commands(&|c| c.probes);
        let footprints: Vec<_> = self.front_ends.iter().map(FrontEnd::footprint).collect();
        let mean = |of: &dyn Fn(&heronslip_policy::Footprint) -> usize| {
            footprints.iter().map(of).sum::<usize>() / footprints.len().max(1)
        };
        let failures = experiment.failures.iter().enumerate().map(|(n, f)| FailureReport {
            kind: format!("{:?}", f.kind),
            at_s: f.at_s,
            for_s: f.for_s,
            min_in_time_share: self
                .calls
                .min_in_time_share(seconds(f.at_s), seconds(self.next_failure(f.at_s))),
            recovered_after_s: self.calls.recovery_time(seconds(f.at_s), seconds(self.next_failure(f.at_s))),
            index: n,
        });
        let total_connections: u32 = self.connections.iter().sum();
        let total_calls_s = f64::from(experiment.fleet.configured()) * experiment.calls.per_front_end_s;
        FleetReport {
            size: ExperimentSize::of(experiment, self.shared.catalogue.rare_share(total_calls_s)),
            calls: CallReport {
                counts: self.calls.counts(),
                latency: self.calls.latency().quantiles(),
                cold_start: self.calls.cold_start().quantiles(),
                cold_within_1500_ms: self.calls.cold_start().share_within(milliseconds(1_500.0)),
            },
            control: ControlReport {
                list_bytes_s: per_front_end_s(self.list_bytes) + COMMENT_BYTES as f64,
                load_bytes_s: per_front_end_s(loads * LOAD_COMMAND_BYTES + unloads * UNLOAD_COMMAND_BYTES),
                query_bytes_s: per_front_end_s(copy_queries * LOAD_COMMAND_BYTES),
                loads_s: per_front_end_s(loads),
                copy_queries_s: per_front_end_s(copy_queries),
                probes_s: per_front_end_s(probes),
                unloads_s: per_front_end_s(unloads),
            },
            workers: WorkerReport {
                loads: counts.loads,
                failed_loads: counts.failed_loads,
                evicted: counts.evicted,
                calls: counts.calls,
                fetches: self.world.store().fetches,
                rejected_fetches: self.world.store().rejected_fetches,
                connections_per_front_end: f64::from(total_connections) / front_ends,
                connections_per_worker: f64::from(total_connections) / self.connections.len() as f64,
                max_connections_per_worker: self.connections.iter().max().copied().unwrap_or(0),
            },
            discovery: DiscoveryReport {
                propagation: self.propagation_times.quantiles(),
                reconnect: self.reconnect_times.quantiles(),
                failed_requests: self.failed_requests,
                resumed: self.discovery.resumed,
                full_lists: self.discovery.full_lists,
                peak_requests_s: peak_per_second(&self.discovery.requests),
                peak_bytes_s: peak_per_second(&self.discovery.bytes),
            },
            state: StateReport {
                workers: mean(&|f| f.workers),
                functions: mean(&|f| f.functions),
                copies: mean(&|f| f.copies),
                preferences: mean(&|f| f.preferences),
                bytes: mean(&|f| f.bytes()),
            },
            failures: failures.collect(),
            machine: Machine::measure(started),
        }
    }
}

/// The largest bucket after the start of the run, as a rate per second.
fn peak_per_second(buckets: &BTreeMap<Micros, u64>) -> u64 {
    // The first bucket holds the start of all front ends, which is no reconnect.
    let first = EPOCH / BUCKET;
    buckets.iter().filter(|(&at, _)| at > first).map(|(_, &n)| n).max().unwrap_or(0) * (SECOND / BUCKET)
}

/// Calls per second at a front end: the first is the busiest, the others share the rest evenly.
fn calls_per_second(experiment: &Experiment, front_end: usize) -> f64 {
    let (mean, count) = (experiment.calls.per_front_end_s, f64::from(experiment.fleet.front_ends));
    let busiest = experiment.calls.busiest;
    if front_end == 0 || count < 2.0 {
        mean * busiest
    } else {
        mean * (count - busiest) / (count - 1.0)
    }
}
