//! The functions of an experiment and their popularity.
use crate::experiment::Experiment;
use crate::time::milliseconds;
use heronslip_policy::{FunctionId, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Separates the catalogue's random numbers from others of the same seed: "catalogu" in ASCII.
const CATALOGUE_SEED: u64 = 0x6361_7461_6c6f_6775;

/// A function.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its identifier in all protocols.
    pub id: FunctionId,
    /// Its class's position in the settings.
    pub class: usize,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Duration of a load from an idle store.
    pub load_time: Micros,
    /// Duration of a call on an idle worker.
    pub work: Micros,
}

/// All functions, in descending order of popularity.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// The functions by rank.
    pub functions: Vec<Function>,
    /// Calls that a copy can run at the same time.
    pub lanes: u32,
    /// Cumulative share of the calls, up to and including each rank.
    cumulative: Vec<f64>,
}

impl Catalogue {
    /// Draws the functions of an experiment from its seed.
    pub fn new(experiment: &Experiment) -> Self {
        let mut rng = Pcg64::seed_from_u64(experiment.seed ^ CATALOGUE_SEED);
        let config = &experiment.functions;
        let class_shares = &experiment.calls.class_shares;
        let functions = (0..config.count).map(|_| Function {
            id: rng.random(),
            class: pick_class(class_shares, rng.random()),
            memory_mb: interpolate(config.memory_mb, rng.random()),
            load_time: milliseconds(interpolate(config.load_ms, rng.random())),
            work: milliseconds(interpolate(config.work_ms, rng.random())),
        });
        let functions: Vec<Function> = functions.collect();
        let mut cumulative = Vec::with_capacity(functions.len());
        let mut sum = 0.0;
        for rank in 1..=functions.len() {
            sum += (rank as f64).powf(-config.exponent);
            cumulative.push(sum);
        }
        cumulative.iter_mut().for_each(|c| *c /= sum);
        Catalogue { functions, lanes: config.lanes, cumulative }
    }

    /// Maps a uniform random number from 0 to 1 to a rank, by the popularity of the functions.
    pub fn rank(&self, uniform: f64) -> usize {
        self.cumulative.partition_point(|&c| c < uniform).min(self.functions.len() - 1)
    }

    /// The share of all calls that goes to the function of this rank, from 0 on.
    pub fn share(&self, rank: usize) -> f64 {
        let before = if rank == 0 { 0.0 } else { self.cumulative[rank - 1] };
        self.cumulative[rank] - before
    }

    /// The share of the functions that are called less than once a minute, at this rate over all functions.
    pub fn rare_share(&self, calls_per_s: f64) -> f64 {
        let rare = (0..self.functions.len()).filter(|&r| self.share(r) * calls_per_s < 1.0 / 60.0).count();
        rare as f64 / self.functions.len() as f64
    }
}

/// Maps a number from 0 to 1 linearly to a range.
fn interpolate([min, max]: [f64; 2], fraction: f64) -> f64 {
    min + (max - min) * fraction
}

/// Maps a uniform random number from 0 to 1 to a class, by the shares of the classes.
fn pick_class(shares: &[f64], uniform: f64) -> usize {
    let total: f64 = shares.iter().sum();
    let mut rest = uniform * total;
    for (class, share) in shares.iter().enumerate() {
        if rest < *share {
            return class;
        }
        rest -= share;
    }
    shares.len() - 1
}
