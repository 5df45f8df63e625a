//! Scenarios: the size, load and faults of a run, drawn from a seed before it begins.
use super::config::SoakConfig;
use super::flood::FloodKind;
use super::record::{Micros, Outage};
use heronslip_shim_control::{FailureRates, SystemCall, SYSTEM_CALLS};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::collections::BTreeMap;

const MICROS_PER_SECOND: f64 = 1e6;
/// Time without faults at the beginning, in which front ends start and serve some calls.
const QUIET_START_S: f64 = 3.0;
/// Time at the end in which no fault begins, except for drains during an outage, so that the system can
/// recover.
const QUIET_END_S: f64 = 3.0;
/// The longest client timeout is at least this multiple of the mean execution time.
const MIN_TIMEOUT_PER_WORK: u64 = 12;
/// Highest share of the workers' capacity that clients use.
const MAX_UTILIZATION: f64 = 0.5;
const MAX_DRAINS_PER_OUTAGE: u32 = 2;
/// Chance that a scenario has failing system calls, and that it has a stepped wall clock.
const SYSTEM_FAULT_CHANCE: f64 = 0.5;
/// Chance that a kind of system call fails, in scenarios with failing system calls.
const FAILING_KIND_CHANCE: f64 = 0.7;
/// Chance that an outage affects all front ends and not just one.
const ALL_FRONT_ENDS_CHANCE: f64 = 0.6;
/// Chance that a crashed worker is removed from the worker list.
const LISTED_CRASH_CHANCE: f64 = 0.7;
/// Chance that a restart is a series of signals.
const SIGNAL_SERIES_CHANCE: f64 = 0.5;
/// How long a draining worker keeps running, and how long one that drains during an outage does after its end.
const DRAIN_TIME_S: [f64; 2] = [2.0, 15.0];
const DRAIN_TIME_AFTER_OUTAGE_S: [f64; 2] = [0.5, 3.0];
/// Time between the exit of a worker process and the start of the next one, after a drain and after a crash.
const DRAIN_DOWNTIME_S: [f64; 2] = [0.2, 4.0];
const CRASH_DOWNTIME_S: [f64; 2] = [0.2, 5.0];
const HANG_TIME_S: [f64; 2] = [0.3, 6.0];
const REJECTING_TIME_S: [f64; 2] = [0.5, 5.0];
const FLOOD_TIME_S: [f64; 2] = [1.0, 6.0];

/// A fault of a scenario.
///
/// Records hold its `Debug` text, so the names of its variants and fields belong to the stored format.
/// Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// Front ends cannot reach the discovery server.
    Outage {
        /// The front ends.
        front_ends: Vec<usize>,
        /// How they are cut off.
        outage: Outage,
        /// Duration.
        span: Micros,
    },
    /// A worker drains, then exits, and a new process starts at its address.
    Drain {
        /// The worker.
        worker: usize,
        /// How long the draining process keeps running.
        stays: Micros,
        /// Time between its exit and the start of the new process.
        away: Micros,
    },
    /// A worker crashes, and a new process starts at its address.
    Death {
        /// The worker.
        worker: usize,
        /// Time between the crash and the start of the new process.
        away: Micros,
        /// Whether the crashed process is removed from the worker list.
        listed: bool,
    },
    /// A worker stops executing commands and writing; it still reads and records commands.
    Hang {
        /// The worker.
        worker: usize,
        /// Duration.
        span: Micros,
    },
    /// A worker resets its connections that carry no call.
    Resets {
        /// The worker.
        worker: usize,
    },
    /// A worker rejects all calls though it is listed as ready.
    Refusals {
        /// The worker.
        worker: usize,
        /// Duration.
        span: Micros,
    },
    /// A front end gets SIGTERM, then SIGKILL at the earliest time that the rules allow, and is started
    /// again.
    Restart {
        /// The front end.
        front_end: usize,
        /// Whether SIGHUP precedes SIGTERM and a second SIGTERM follows it.
        series: bool,
    },
    /// A front end gets SIGKILL and is started again.
    Kill {
        /// The front end.
        front_end: usize,
    },
    /// The discovery server changes its address several times in a row.
    Moves {
        /// The front end that uses the address.
        front_end: usize,
        /// Number of changes.
        times: u32,
    },
    /// A front end's wall clock is stepped.
    WallStep {
        /// The front end.
        front_end: usize,
        /// New offset from the true time.
        seconds: i64,
    },
    /// Many clients connect at once that send nothing, or no valid request.
    Crowd {
        /// The front end.
        front_end: usize,
        /// Number of clients.
        clients: usize,
    },
    /// Clients send more than their share.
    Flood {
        /// The front end.
        front_end: usize,
        /// What they send.
        kind: FloodKind,
        /// Number of clients.
        clients: u64,
        /// Duration.
        span: Micros,
    },
}

/// The size, load and faults of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Scenario {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Length of the run.
    #[serde(rename = "length")]
    pub duration: Micros,
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of functions that clients call.
    pub functions: usize,
    /// Calls a second at each front end.
    pub calls_per_s: f64,
    /// Mean execution time of a call.
    pub work: Micros,
    /// Calls that a worker runs at the same time.
    pub lanes: u32,
    /// Limit on each front end's memory, in MB.
    pub memory_mb: u64,
    /// Limit on each front end's descriptors.
    pub descriptors: u64,
    /// Longest timeout of a client, in milliseconds.
    #[serde(rename = "give_up_ms")]
    pub client_timeout_ms: u64,
    /// Rates of failing system calls in front ends.
    #[serde(rename = "rates")]
    pub system_call_failures: FailureRates,
    /// Offset of the front ends' wall clocks from the true time at the start, in seconds.
    #[serde(rename = "wall_step_s")]
    pub wall_clock_offset_s: i64,
    /// Faults with the times at which they begin, sorted by time.
    pub faults: Vec<(Micros, Fault)>,
}

impl Scenario {
    /// Draws the scenario of a seed.
    pub fn draw(config: &SoakConfig, seed: u64) -> Scenario {
        let mut sampler = Sampler { rng: Pcg64::seed_from_u64(seed) };
        let duration = sampler.duration(config.duration_s);
        let front_ends = sampler.rng.random_range(config.front_ends[0]..=config.front_ends[1]);
        let workers = sampler.rng.random_range(config.workers[0]..=config.workers[1]);
        let mut scenario = Scenario {
            seed,
            duration,
            front_ends,
            workers,
            functions: sampler.rng.random_range(config.functions[0]..=config.functions[1]),
            calls_per_s: sampler.rng.random_range(config.calls_per_s[0]..=config.calls_per_s[1]),
            work: (sampler.rng.random_range(config.work_ms[0]..=config.work_ms[1]) * 1e3) as Micros,
            lanes: sampler.rng.random_range(config.lanes[0]..=config.lanes[1]),
            memory_mb: *config.memory_mb.choose(&mut sampler.rng).expect("checked"),
            descriptors: *config.descriptors.choose(&mut sampler.rng).expect("checked"),
            client_timeout_ms: config.client_timeouts_ms.choose(&mut sampler.rng).copied().unwrap_or(3_000),
            system_call_failures: [0; SYSTEM_CALLS.len()],
            wall_clock_offset_s: 0,
            faults: Vec::new(),
        };
        // Most calls can then be served within the shortest timeout, even on a loaded machine.
        scenario.work = scenario.work.min(scenario.client_timeout_ms * 1_000 / MIN_TIMEOUT_PER_WORK);
        // The load stays within the workers' capacity while some of them are down.
        let capacity_per_s =
            scenario.workers as f64 * f64::from(scenario.lanes) / (scenario.work as f64 / MICROS_PER_SECOND);
        scenario.calls_per_s =
            scenario.calls_per_s.min(MAX_UTILIZATION * capacity_per_s / scenario.front_ends as f64);
        if sampler.rng.random_bool(SYSTEM_FAULT_CHANCE) {
            scenario.system_call_failures =
                sampler.system_call_failures(config.max_system_call_failures_per_mille);
        }
        if sampler.rng.random_bool(SYSTEM_FAULT_CHANCE) {
            scenario.wall_clock_offset_s =
                config.wall_clock_offsets_s.choose(&mut sampler.rng).copied().unwrap_or(0);
        }
        scenario.faults = sampler.faults(config, &scenario);
        scenario
    }
}

impl Fault {
    /// Its kind, as the result table shows it.
    fn name(&self) -> &'static str {
        match self {
            Fault::Outage { .. } => "outage",
            Fault::Drain { .. } => "drain",
            Fault::Death { .. } => "death",
            Fault::Hang { .. } => "hang",
            Fault::Resets { .. } => "resets",
            Fault::Refusals { .. } => "refusals",
            Fault::Restart { .. } => "restart",
            Fault::Kill { .. } => "kill",
            Fault::Moves { .. } => "move",
            Fault::WallStep { .. } => "step",
            Fault::Crowd { .. } => "crowd",
            Fault::Flood { .. } => "flood",
        }
    }
}

impl Scenario {
    /// Summarizes the faults for the result table: how many there are of each kind.
    pub fn fault_summary(&self) -> String {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        self.faults.iter().for_each(|(_, fault)| *counts.entry(fault.name()).or_default() += 1);
        let mut entries: Vec<String> = counts.iter().map(|(name, n)| format!("{n} {name}")).collect();
        if self.system_call_failures.iter().any(|&rate| rate > 0) {
            entries.push("system calls".to_owned());
        }
        if self.wall_clock_offset_s != 0 {
            entries.push(format!("clock {:+} s", self.wall_clock_offset_s));
        }
        entries.join(", ")
    }
}

/// Draws the parts of a scenario.
struct Sampler {
    rng: Pcg64,
}

impl Sampler {
    fn duration(&mut self, [min_s, max_s]: [f64; 2]) -> Micros {
        (self.rng.random_range(min_s..=max_s) * MICROS_PER_SECOND) as Micros
    }

    /// A failure rate for each kind of system call; some are 0.
    fn system_call_failures(&mut self, max_per_mille: u32) -> FailureRates {
        let mut rates = [0; SYSTEM_CALLS.len()];
        for call in SYSTEM_CALLS.into_iter().filter(|call| *call != SystemCall::WallClock) {
            if self.rng.random_bool(FAILING_KIND_CHANCE) {
                rates[call as usize] = self.rng.random_range(1..=max_per_mille.max(1));
            }
        }
        rates
    }

    fn faults(&mut self, config: &SoakConfig, scenario: &Scenario) -> Vec<(Micros, Fault)> {
        let end_s = scenario.duration as f64 / MICROS_PER_SECOND - QUIET_END_S;
        let max = &config.faults;
        let mut faults: Vec<(Micros, Fault)> = Vec::new();
        let mut add = |sampler: &mut Sampler, max: u32, make: &mut dyn FnMut(&mut Sampler) -> Fault| {
            for _ in 0..sampler.rng.random_range(0..=max) {
                let at = sampler.duration([QUIET_START_S, end_s.max(QUIET_START_S)]);
                let fault = make(sampler);
                faults.push((at, fault));
            }
        };
        let (workers, front_ends) = (scenario.workers, scenario.front_ends);
        let mut claimed: Vec<usize> = Vec::new();
        // At most one fault of a worker changes the list: two could publish its states in a contradictory
        // order.
        let mut claim_worker = |sampler: &mut Sampler| {
            let free: Vec<usize> = (0..workers).filter(|w| !claimed.contains(w)).collect();
            let worker = free.choose(&mut sampler.rng).copied();
            claimed.extend(worker);
            worker
        };
        add(self, max.outages, &mut |sampler| {
            let all = sampler.rng.random_bool(ALL_FRONT_ENDS_CHANCE);
            let one = sampler.rng.random_range(0..front_ends);
            let kinds = [Outage::Refused, Outage::MidEvent, Outage::Silent, Outage::Hanging];
            Fault::Outage {
                front_ends: if all { (0..front_ends).collect() } else { vec![one] },
                outage: kinds.choose(&mut sampler.rng).copied().unwrap_or(Outage::Refused),
                span: sampler.duration(config.outage_s),
            }
        });
        // Drains that begin during an outage and last beyond its end: front ends are not notified of them in
        // time.
        let outages: Vec<(Micros, Micros)> = faults
            .iter()
            .filter_map(|(at, fault)| match fault {
                Fault::Outage { span, .. } => Some((*at, *span)),
                _ => None,
            })
            .collect();
        for (outage_start, span) in outages {
            for _ in 0..self.rng.random_range(0..=MAX_DRAINS_PER_OUTAGE) {
                let delay = self.rng.random_range(0..=span / 2);
                let (stays, away) = (
                    span - delay + self.duration(DRAIN_TIME_AFTER_OUTAGE_S),
                    self.duration(DRAIN_DOWNTIME_S),
                );
                if let Some(worker) = claim_worker(self) {
                    faults.push((outage_start + delay, Fault::Drain { worker, stays, away }));
                }
            }
        }
        let mut add = |sampler: &mut Sampler, max: u32, make: &mut dyn FnMut(&mut Sampler) -> Fault| {
            for _ in 0..sampler.rng.random_range(0..=max) {
                let at = sampler.duration([QUIET_START_S, end_s.max(QUIET_START_S)]);
                let fault = make(sampler);
                faults.push((at, fault));
            }
        };
        add(self, max.drains, &mut |sampler| match claim_worker(sampler) {
            Some(worker) => Fault::Drain {
                worker,
                stays: sampler.duration(DRAIN_TIME_S),
                away: sampler.duration(DRAIN_DOWNTIME_S),
            },
            None => Fault::Resets { worker: sampler.rng.random_range(0..workers) },
        });
        add(self, max.deaths, &mut |sampler| match claim_worker(sampler) {
            Some(worker) => Fault::Death {
                worker,
                away: sampler.duration(CRASH_DOWNTIME_S),
                listed: sampler.rng.random_bool(LISTED_CRASH_CHANCE),
            },
            None => Fault::Resets { worker: sampler.rng.random_range(0..workers) },
        });
        add(self, max.hangs, &mut |sampler| Fault::Hang {
            worker: sampler.rng.random_range(0..workers),
            span: sampler.duration(HANG_TIME_S),
        });
        add(self, max.resets, &mut |sampler| Fault::Resets { worker: sampler.rng.random_range(0..workers) });
        add(self, max.refusals, &mut |sampler| Fault::Refusals {
            worker: sampler.rng.random_range(0..workers),
            span: sampler.duration(REJECTING_TIME_S),
        });
        add(self, max.restarts, &mut |sampler| Fault::Restart {
            front_end: sampler.rng.random_range(0..front_ends),
            series: sampler.rng.random_bool(SIGNAL_SERIES_CHANCE),
        });
        add(self, max.kills, &mut |sampler| Fault::Kill {
            front_end: sampler.rng.random_range(0..front_ends),
        });
        add(self, max.moves, &mut |sampler| Fault::Moves {
            front_end: sampler.rng.random_range(0..front_ends),
            times: sampler.rng.random_range(1..=3),
        });
        add(self, max.crowds, &mut |sampler| Fault::Crowd {
            front_end: sampler.rng.random_range(0..front_ends),
            clients: sampler.rng.random_range(10..=60),
        });
        add(self, u32::from(scenario.wall_clock_offset_s != 0), &mut |sampler| Fault::WallStep {
            front_end: sampler.rng.random_range(0..front_ends),
            seconds: config.wall_clock_offsets_s.choose(&mut sampler.rng).copied().unwrap_or(0),
        });
        add(self, max.floods, &mut |sampler| {
            let kind = FloodKind::ALL[sampler.rng.random_range(0..FloodKind::ALL.len())];
            Fault::Flood {
                front_end: sampler.rng.random_range(0..front_ends),
                kind,
                clients: sampler.rng.random_range(kind.clients()),
                span: sampler.duration(FLOOD_TIME_S),
            }
        });
        faults.sort_by_key(|(at, _)| *at);
        faults
    }
}
