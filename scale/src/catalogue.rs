//! The functions of an experiment and how popular each is.
use crate::experiment::Experiment;
use crate::time::milliseconds;
use heronslip_policy::{FunctionId, Micros};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// One function.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its identifier on every wire.
    pub id: FunctionId,
    /// Its class's position in the settings.
    pub class: usize,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Time of a load from an idle store.
    pub load_time: Micros,
    /// Work of a call on an idle worker.
    pub work: Micros,
}

/// All functions, the most popular first.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// The functions by rank.
    pub functions: Vec<Function>,
    /// Calls that a copy runs at a time.
    pub lanes: u32,
    /// Sum of the call shares up to and with each rank.
    cumulative: Vec<f64>,
}

impl Catalogue {
    /// Draws the functions of an experiment from its seed.
    pub fn new(experiment: &Experiment) -> Self {
        let mut random = Pcg64::seed_from_u64(experiment.seed ^ 0x6361_7461_6c6f_6775);
        let shape = &experiment.functions;
        let shares = &experiment.calls.class_shares;
        let functions = (0..shape.count).map(|_| Function {
            id: random.random(),
            class: class(shares, random.random()),
            memory_mb: between(shape.memory_mb, random.random()),
            load_time: milliseconds(between(shape.load_ms, random.random())),
            work: milliseconds(between(shape.work_ms, random.random())),
        });
        let functions: Vec<Function> = functions.collect();
        let mut cumulative = Vec::with_capacity(functions.len());
        let mut sum = 0.0;
        for rank in 1..=functions.len() {
            sum += (rank as f64).powf(-shape.exponent);
            cumulative.push(sum);
        }
        cumulative.iter_mut().for_each(|c| *c /= sum);
        Catalogue { functions, lanes: shape.lanes, cumulative }
    }

    /// The rank that a number drawn evenly from 0 to 1 stands for.
    pub fn rank(&self, drawn: f64) -> usize {
        self.cumulative.partition_point(|&c| c < drawn).min(self.functions.len() - 1)
    }

    /// The part of all calls that goes to a rank, counted from 0.
    pub fn share(&self, rank: usize) -> f64 {
        let before = if rank == 0 { 0.0 } else { self.cumulative[rank - 1] };
        self.cumulative[rank] - before
    }

    /// The part of the functions that are called less often than once a minute at this rate over all.
    pub fn rare(&self, calls_per_s: f64) -> f64 {
        let rare = (0..self.functions.len()).filter(|&r| self.share(r) * calls_per_s < 1.0 / 60.0).count();
        rare as f64 / self.functions.len() as f64
    }
}

fn between([least, most]: [f64; 2], drawn: f64) -> f64 {
    least + (most - least) * drawn
}

fn class(shares: &[f64], drawn: f64) -> usize {
    let all: f64 = shares.iter().sum();
    let mut left = drawn * all;
    for (class, share) in shares.iter().enumerate() {
        if left < *share {
            return class;
        }
        left -= share;
    }
    shares.len() - 1
}
