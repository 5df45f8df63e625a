//! What front ends that do not run in the experiment do at the workers: their calls keep copies standing.
use crate::catalogue::Catalogue;
use crate::time::SECOND;
use heronslip_policy::Micros;
use std::collections::BTreeMap;

/// Copies that others' calls keep, decided when a function is first asked for at a worker.
///
/// All front ends look for a function in the same order of workers, so the first workers asked for it here are
/// where the others found it: as many as their calls in flight need. It stands there in a span of the keep-alive
/// with the chance that at least one of their calls came in it.
#[derive(Debug)]
pub struct Others {
    /// Calls a second of all others together; 0: there are none.
    calls_per_s: f64,
    keep: Micros,
    homes: BTreeMap<usize, Vec<usize>>,
}

impl Others {
    /// Others that make this many calls a second in all, before workers that keep an idle copy this long.
    pub fn new(calls_per_s: f64, keep: Micros) -> Self {
        Others { calls_per_s, keep: keep.max(1), homes: BTreeMap::new() }
    }

    /// Calls of others that one of so many workers has in hand, on the mean.
    pub fn held(&self, catalogue: &Catalogue, workers: usize) -> f64 {
        let work: f64 = (0..catalogue.functions.len())
            .map(|r| catalogue.share(r) * catalogue.functions[r].work as f64)
            .sum::<f64>();
        self.calls_per_s * work / SECOND as f64 / workers.max(1) as f64
    }

    /// Whether others hold a copy of the function of this rank at this worker now.
    pub fn hold(&mut self, catalogue: &Catalogue, rank: usize, worker: usize, now: Micros) -> bool {
        if self.calls_per_s <= 0.0 {
            return false;
        }
        let rate = self.calls_per_s * catalogue.share(rank);
        let function = &catalogue.functions[rank];
        let in_flight = rate * function.work as f64 / SECOND as f64 / f64::from(catalogue.lanes);
        let copies = in_flight.ceil().max(1.0) as usize;
        let homes = self.homes.entry(rank).or_default();
        if !homes.contains(&worker) {
            if homes.len() >= copies {
                return false;
            }
            homes.push(worker);
        }
        let warm = 1.0 - (-rate * self.keep as f64 / SECOND as f64).exp();
        chance(function.id, now / self.keep) < warm
    }

    /// A worker's process ended: others' copies there went with it.
    pub fn forget(&mut self, worker: usize) {
        self.homes.values_mut().for_each(|homes| homes.retain(|&w| w != worker));
    }
}

/// A number from 0 to 1 that a function and a span of time alone decide.
fn chance(function: u64, span: u64) -> f64 {
    let mixed = (function ^ span.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
