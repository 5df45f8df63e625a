//! What happens in a play, drawn from its seed before it begins.
use super::config::SoakConfig;
use super::record::{At, Outage};
use heronslip_shim_control::{Call, Rates, CALLS};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::collections::BTreeMap;

const SECOND: f64 = 1e6;
/// No fault before: front ends start, and some calls are served.
const CALM_BEGIN_S: f64 = 3.0;
/// No fault after, counted from the end: what was broken is whole again.
const CALM_END_S: f64 = 3.0;
/// The longest wait is so many times the mean work, at least.
const GIVE_UP_OVER_WORK: u64 = 12;
/// Part of the workers' capacity that clients ask for, at most.
const MOST_BUSY: f64 = 0.5;
/// Workers that drain inside an outage, at most.
const DRAINS_INSIDE: u32 = 2;

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// Front ends lose the board for so long.
    Outage {
        /// Which of them.
        front_ends: Vec<usize>,
        /// How.
        outage: Outage,
        /// For how long.
        span: At,
    },
    /// A worker drains, stays up for a while, ends, and a new process comes to its address.
    Drain {
        /// Which.
        worker: usize,
        /// How long it stays up.
        stays: At,
        /// How long it is gone.
        away: At,
    },
    /// A worker dies and comes back as a new process.
    Death {
        /// Which.
        worker: usize,
        /// How long it is gone.
        away: At,
        /// Whether the list tells of its end.
        listed: bool,
    },
    /// A worker says nothing.
    Hang {
        /// Which.
        worker: usize,
        /// For how long.
        span: At,
    },
    /// A worker resets its connections that carry no call.
    Resets {
        /// Which.
        worker: usize,
    },
    /// A worker turns everything away, though it is listed as ready.
    Refusals {
        /// Which.
        worker: usize,
        /// For how long.
        span: At,
    },
    /// SIGTERM, SIGKILL at the earliest, a new process.
    Restart {
        /// Which front end.
        front_end: usize,
        /// Signals in series: SIGHUP before it and SIGTERM again behind it.
        series: bool,
    },
    /// SIGKILL and a new process.
    Kill {
        /// Which front end.
        front_end: usize,
    },
    /// The board moves, so often in a row.
    Moves {
        /// Which front end is told so.
        front_end: usize,
        /// How often.
        times: u32,
    },
    /// The wall clock of a front end's machine is stepped.
    WallStep {
        /// Which front end.
        front_end: usize,
        /// To so many seconds beside the true time.
        seconds: i64,
    },
    /// Clients that connect by the dozen and say nothing, or nothing of use.
    Crowd {
        /// At which front end.
        front_end: usize,
        /// How many.
        clients: usize,
    },
}

/// A play.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed it was drawn from.
    pub seed: u64,
    /// Its length.
    pub length: At,
    /// Front ends.
    pub front_ends: usize,
    /// Workers.
    pub workers: usize,
    /// Functions.
    pub functions: usize,
    /// Calls a second at a front end.
    pub calls_per_s: f64,
    /// Mean work of a call, in microseconds.
    pub work: At,
    /// Calls that a worker runs at a time.
    pub lanes: u32,
    /// Longest wait of a client, in milliseconds.
    pub give_up_ms: u64,
    /// Rates of failing system calls.
    pub rates: Rates,
    /// Seconds by which the front ends' wall clocks stand beside the true one at their start.
    pub wall_step_s: i64,
    /// Faults and their times, in order.
    pub faults: Vec<(At, Fault)>,
}

impl Plan {
    /// Draws the play of a seed.
    pub fn draw(config: &SoakConfig, seed: u64) -> Plan {
        let mut draw = Draw(Pcg64::seed_from_u64(seed));
        let length = draw.span(config.duration_s);
        let front_ends = draw.0.random_range(config.front_ends[0]..=config.front_ends[1]);
        let workers = draw.0.random_range(config.workers[0]..=config.workers[1]);
        let mut plan = Plan {
            seed,
            length,
            front_ends,
            workers,
            functions: draw.0.random_range(config.functions[0]..=config.functions[1]),
            calls_per_s: draw.0.random_range(config.calls_per_s[0]..=config.calls_per_s[1]),
            work: (draw.0.random_range(config.work_ms[0]..=config.work_ms[1]) * 1e3) as At,
            lanes: draw.0.random_range(config.lanes[0]..=config.lanes[1]),
            give_up_ms: config.give_up_ms.choose(&mut draw.0).copied().unwrap_or(3_000),
            rates: [0; CALLS.len()],
            wall_step_s: 0,
            faults: Vec::new(),
        };
        // Most calls can be served within their shortest time, on a loaded machine too.
        plan.work = plan.work.min(plan.give_up_ms * 1_000 / GIVE_UP_OVER_WORK);
        // No more than the workers can do while some of them are away.
        let capacity = plan.workers as f64 * f64::from(plan.lanes) / (plan.work as f64 / SECOND);
        plan.calls_per_s = plan.calls_per_s.min(MOST_BUSY * capacity / plan.front_ends as f64);
        if draw.0.random_bool(0.5) {
            plan.rates = draw.rates(config.failing_calls);
        }
        if draw.0.random_bool(0.5) {
            plan.wall_step_s = config.wall_step_s.choose(&mut draw.0).copied().unwrap_or(0);
        }
        plan.faults = draw.faults(config, &plan);
        plan
    }
}

impl Fault {
    /// Its kind in a word.
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
        }
    }
}

impl Plan {
    /// The kinds of its faults, with how often each comes.
    pub fn fault_names(&self) -> String {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        self.faults.iter().for_each(|(_, fault)| *counts.entry(fault.name()).or_default() += 1);
        let mut names: Vec<String> = counts.iter().map(|(name, n)| format!("{n} {name}")).collect();
        if self.rates.iter().any(|&rate| rate > 0) {
            names.push("system calls".to_owned());
        }
        if self.wall_step_s != 0 {
            names.push(format!("clock {:+} s", self.wall_step_s));
        }
        names.join(", ")
    }
}

struct Draw(Pcg64);

impl Draw {
    fn span(&mut self, [least, most]: [f64; 2]) -> At {
        (self.0.random_range(least..=most) * SECOND) as At
    }

    /// A rate for each kind of call, some of them none.
    fn rates(&mut self, most: u32) -> Rates {
        let mut rates = [0; CALLS.len()];
        for call in CALLS.into_iter().filter(|call| *call != Call::WallClock) {
            if self.0.random_bool(0.7) {
                rates[call as usize] = self.0.random_range(1..=most.max(1));
            }
        }
        rates
    }

    fn faults(&mut self, config: &SoakConfig, plan: &Plan) -> Vec<(At, Fault)> {
        let end = plan.length as f64 / SECOND - CALM_END_S;
        let most = &config.faults;
        let mut faults: Vec<(At, Fault)> = Vec::new();
        let mut put = |draw: &mut Draw, times: u32, make: &mut dyn FnMut(&mut Draw) -> Fault| {
            for _ in 0..draw.0.random_range(0..=times) {
                let at = draw.span([CALM_BEGIN_S, end.max(CALM_BEGIN_S)]);
                let fault = make(draw);
                faults.push((at, fault));
            }
        };
        let (workers, front_ends) = (plan.workers, plan.front_ends);
        let mut busy: Vec<usize> = Vec::new();
        // A worker has one fault that changes the list: states would else be told in an order of their own.
        let mut own = |draw: &mut Draw| {
            let free: Vec<usize> = (0..workers).filter(|w| !busy.contains(w)).collect();
            let worker = free.choose(&mut draw.0).copied();
            busy.extend(worker);
            worker
        };
        put(self, most.outages, &mut |draw| {
            let all = draw.0.random_bool(0.6);
            let one = draw.0.random_range(0..front_ends);
            let kinds = [Outage::Refused, Outage::MidEvent, Outage::Silent, Outage::Hanging];
            Fault::Outage {
                front_ends: if all { (0..front_ends).collect() } else { vec![one] },
                outage: kinds.choose(&mut draw.0).copied().unwrap_or(Outage::Refused),
                span: draw.span(config.outage_s),
            }
        });
        // Drains that begin inside an outage and are stayed up through: nobody tells of them in time.
        let outages: Vec<(At, At)> = faults
            .iter()
            .filter_map(|(at, fault)| match fault {
                Fault::Outage { span, .. } => Some((*at, *span)),
                _ => None,
            })
            .collect();
        for (from, span) in outages {
            for _ in 0..self.0.random_range(0..=DRAINS_INSIDE) {
                let after = self.0.random_range(0..=span / 2);
                let (stays, away) = (span - after + self.span([0.5, 3.0]), self.span([0.2, 4.0]));
                if let Some(worker) = own(self) {
                    faults.push((from + after, Fault::Drain { worker, stays, away }));
                }
            }
        }
        let mut put = |draw: &mut Draw, times: u32, make: &mut dyn FnMut(&mut Draw) -> Fault| {
            for _ in 0..draw.0.random_range(0..=times) {
                let at = draw.span([CALM_BEGIN_S, end.max(CALM_BEGIN_S)]);
                let fault = make(draw);
                faults.push((at, fault));
            }
        };
        put(self, most.drains, &mut |draw| match own(draw) {
            Some(worker) => {
                Fault::Drain { worker, stays: draw.span([2.0, 15.0]), away: draw.span([0.2, 4.0]) }
            }
            None => Fault::Resets { worker: draw.0.random_range(0..workers) },
        });
        put(self, most.deaths, &mut |draw| match own(draw) {
            Some(worker) => {
                Fault::Death { worker, away: draw.span([0.2, 5.0]), listed: draw.0.random_bool(0.7) }
            }
            None => Fault::Resets { worker: draw.0.random_range(0..workers) },
        });
        put(self, most.hangs, &mut |draw| Fault::Hang {
            worker: draw.0.random_range(0..workers),
            span: draw.span([0.3, 6.0]),
        });
        put(self, most.resets, &mut |draw| Fault::Resets { worker: draw.0.random_range(0..workers) });
        put(self, most.refusals, &mut |draw| Fault::Refusals {
            worker: draw.0.random_range(0..workers),
            span: draw.span([0.5, 5.0]),
        });
        put(self, most.restarts, &mut |draw| Fault::Restart {
            front_end: draw.0.random_range(0..front_ends),
            series: draw.0.random_bool(0.5),
        });
        put(self, most.kills, &mut |draw| Fault::Kill { front_end: draw.0.random_range(0..front_ends) });
        put(self, most.moves, &mut |draw| Fault::Moves {
            front_end: draw.0.random_range(0..front_ends),
            times: draw.0.random_range(1..=3),
        });
        put(self, most.crowds, &mut |draw| Fault::Crowd {
            front_end: draw.0.random_range(0..front_ends),
            clients: draw.0.random_range(10..=60),
        });
        put(self, u32::from(plan.wall_step_s != 0), &mut |draw| Fault::WallStep {
            front_end: draw.0.random_range(0..front_ends),
            seconds: config.wall_step_s.choose(&mut draw.0).copied().unwrap_or(0),
        });
        faults.sort_by_key(|(at, _)| *at);
        faults
    }
}
