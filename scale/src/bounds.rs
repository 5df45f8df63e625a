//! What a run may take of the machine, checked before it starts.
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use heronslip_policy::Settings;

/// Most memory of all processes of a run, in MB.
pub const MOST_MEMORY_MB: f64 = 12_000.0;
/// Most processes of a run.
pub const MOST_PROCESSES: u32 = 200;

/// Bytes of a front end's module for each worker it knows: its record, its name twice, its place in the lists.
const BYTES_A_WORKER: f64 = 1_000.0;
/// Bytes for each function that a module remembers: its record, the copies it knows of, the head of its order.
const BYTES_A_FUNCTION: f64 = 5_000.0;
/// Bytes of a real front end beside that: program, rings and stacks of its connections.
const BYTES_A_PROCESS: f64 = 24e6;
/// Bytes of the tool's own world for each worker and function.
const BYTES_OF_THE_WORLD: f64 = 2_000.0;
/// Keep-alives after its last call for which a function is remembered.
const REMEMBERED: f64 = 4.0;

/// A bound that an experiment would break.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum BoundError {
    /// Too much memory.
    #[error("the run would take about {needed:.0} MB, {most:.0} are allowed")]
    Memory {
        /// The estimate, in MB.
        needed: f64,
        /// The bound, in MB.
        most: f64,
    },
    /// Too many processes.
    #[error("the run would take {needed} processes, {most} are allowed")]
    Processes {
        /// The number needed.
        needed: u32,
        /// The bound.
        most: u32,
    },
}

/// Memory that a module of this experiment takes, in bytes, worked out from measured slopes.
pub fn module_bytes(experiment: &Experiment, settings: &Settings) -> f64 {
    let catalogue = Catalogue::new(experiment);
    let span = REMEMBERED * settings.keep_alive as f64 / 1e6;
    let calls = experiment.calls.per_front_end_s * span;
    let live: f64 = (0..catalogue.functions.len()).map(|r| 1.0 - (-calls * catalogue.share(r)).exp()).sum();
    let workers = f64::from(experiment.fleet.workers);
    workers * BYTES_A_WORKER + live * BYTES_A_FUNCTION
}

fn world_bytes(experiment: &Experiment) -> f64 {
    f64::from(experiment.fleet.workers + experiment.functions.count) * BYTES_OF_THE_WORLD
}

fn within(bytes: f64, processes: u32) -> Result<(), BoundError> {
    let needed = bytes / 1e6;
    if needed > MOST_MEMORY_MB {
        return Err(BoundError::Memory { needed, most: MOST_MEMORY_MB });
    }
    if processes > MOST_PROCESSES {
        return Err(BoundError::Processes { needed: processes, most: MOST_PROCESSES });
    }
    Ok(())
}

/// Whether a fleet of hollow front ends fits.
///
/// # Errors
/// Names the figure that would go over its bound.
pub fn check_fleet(experiment: &Experiment, settings: &Settings) -> Result<(), BoundError> {
    let modules = f64::from(experiment.fleet.front_ends) * module_bytes(experiment, settings);
    within(modules + world_bytes(experiment), 1)
}

/// Whether real front-end processes fit.
///
/// # Errors
/// Names the figure that would go over its bound.
pub fn check_node(experiment: &Experiment, settings: &Settings) -> Result<(), BoundError> {
    let one = module_bytes(experiment, settings) + BYTES_A_PROCESS;
    let processes = experiment.fleet.front_ends + 1;
    within(f64::from(experiment.fleet.front_ends) * one + world_bytes(experiment), processes)
}
