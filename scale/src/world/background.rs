//! Load from front ends that the settings name but that do not run in the experiment: their calls keep copies
//! loaded and workers busy.
use crate::catalogue::Catalogue;
use crate::time::SECOND;
use heronslip_policy::Micros;
use std::collections::BTreeMap;

/// The calls of all front ends outside the experiment, and the copies that these calls keep loaded.
///
/// All front ends rank the workers for a function in the same preference order, so the first workers at which
/// the experiment asks for a function are those where the other front ends use it: as many workers as their
/// calls in flight need. A copy is loaded there in a given keep-alive period with the probability that at
/// least one of their calls arrived in it.
#[derive(Debug)]
pub struct BackgroundLoad {
    /// Calls per second over all front ends outside the experiment; 0 if there are none.
    calls_per_s: f64,
    keep_alive: Micros,
    /// Workers that hold a copy for the background calls, by function rank.
    workers_by_function: BTreeMap<usize, Vec<usize>>,
}

impl BackgroundLoad {
    /// Background load of this many calls per second in all, on workers that keep an idle copy for
    /// `keep_alive`.
    pub fn new(calls_per_s: f64, keep_alive: Micros) -> Self {
        BackgroundLoad { calls_per_s, keep_alive: keep_alive.max(1), workers_by_function: BTreeMap::new() }
    }

    /// Mean number of background calls in flight at each of `workers` workers.
    pub fn inflight_per_worker(&self, catalogue: &Catalogue, workers: usize) -> f64 {
        let work: f64 = (0..catalogue.functions.len())
            .map(|r| catalogue.share(r) * catalogue.functions[r].work as f64)
            .sum::<f64>();
        self.calls_per_s * work / SECOND as f64 / workers.max(1) as f64
    }

    /// Whether background calls keep a copy of the function of this rank loaded at this worker now.
    pub fn keeps_copy(&mut self, catalogue: &Catalogue, rank: usize, worker: usize, now: Micros) -> bool {
        if self.calls_per_s <= 0.0 {
            return false;
        }
        let rate = self.calls_per_s * catalogue.share(rank);
        let function = &catalogue.functions[rank];
        let in_flight = rate * function.work as f64 / SECOND as f64 / f64::from(catalogue.lanes);
        let copies = in_flight.ceil().max(1.0) as usize;
        let workers = self.workers_by_function.entry(rank).or_default();
        if !workers.contains(&worker) {
            if workers.len() >= copies {
                return false;
            }
            workers.push(worker);
        }
        let warm_probability = 1.0 - (-rate * self.keep_alive as f64 / SECOND as f64).exp();
        uniform_hash(function.id, now / self.keep_alive) < warm_probability
    }

    /// Drops the copies that background calls kept at a worker whose process ended.
    pub fn forget_worker(&mut self, worker: usize) {
        self.workers_by_function.values_mut().for_each(|workers| workers.retain(|&w| w != worker));
    }
}

/// A number from 0 to 1, determined by the function and the keep-alive period alone: a hash with the
/// constants of SplitMix64.
fn uniform_hash(function: u64, period: u64) -> f64 {
    let mixed = (function ^ period.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
