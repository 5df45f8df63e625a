//! Limits on the memory and processes of a run, checked before it starts.
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use heronslip_policy::Settings;

/// Limit of the memory of all processes of a run, in MB.
pub const MAX_MEMORY_MB: f64 = 12_000.0;
/// Limit of the number of processes of a run.
pub const MAX_PROCESSES: u32 = 200;

/// Bytes of a controller for each listed worker: its record, its name twice, and its entries in the lists.
/// `tests/slopes.rs` checks that a controller needs less.
const BYTES_PER_WORKER: f64 = 1_000.0;
/// Bytes of a controller for each function that it keeps: its record, its known copies, and the start of its
/// preference order. `tests/slopes.rs` checks that a controller needs less.
const BYTES_PER_FUNCTION: f64 = 5_000.0;
/// Bytes of a real front end beside its controller: the program, and the ring buffers and stacks of its
/// connections.
const BYTES_PER_PROCESS: f64 = 24e6;
/// Bytes of the simulated environment for each worker and function.
const WORLD_BYTES_PER_ITEM: f64 = 2_000.0;
/// How long a controller keeps a function after its last call, as a multiple of the keep-alive time.
const FUNCTION_RETENTION: f64 = 4.0;

/// A limit that an experiment would exceed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum BoundError {
    /// Too much memory.
    #[error("the run would take about {needed:.0} MB, {limit:.0} are allowed")]
    Memory {
        /// The estimate, in MB.
        needed: f64,
        /// The limit, in MB.
        limit: f64,
    },
    /// Too many processes.
    #[error("the run would take {needed} processes, {limit} are allowed")]
    Processes {
        /// The number needed.
        needed: u32,
        /// The limit.
        limit: u32,
    },
}

/// Estimated memory of a controller in this experiment, in bytes: linear in the listed workers and in the
/// functions that it keeps.
pub fn controller_bytes(experiment: &Experiment, settings: &Settings) -> f64 {
    let catalogue = Catalogue::new(experiment);
    let retention_s = FUNCTION_RETENTION * settings.keep_alive as f64 / 1e6;
    let calls = experiment.calls.per_front_end_s * retention_s;
    let kept: f64 = (0..catalogue.functions.len()).map(|r| 1.0 - (-calls * catalogue.share(r)).exp()).sum();
    let workers = f64::from(experiment.fleet.workers);
    workers * BYTES_PER_WORKER + kept * BYTES_PER_FUNCTION
}

fn world_bytes(experiment: &Experiment) -> f64 {
    f64::from(experiment.fleet.workers + experiment.functions.count) * WORLD_BYTES_PER_ITEM
}

fn check_limits(bytes: f64, processes: u32) -> Result<(), BoundError> {
    let needed = bytes / 1e6;
    if needed > MAX_MEMORY_MB {
        return Err(BoundError::Memory { needed, limit: MAX_MEMORY_MB });
    }
    if processes > MAX_PROCESSES {
        return Err(BoundError::Processes { needed: processes, limit: MAX_PROCESSES });
    }
    Ok(())
}

/// Checks whether a simulated fleet stays within the limits.
///
/// # Errors
/// Returns the limit that the run would exceed.
pub fn check_fleet(experiment: &Experiment, settings: &Settings) -> Result<(), BoundError> {
    let controllers = f64::from(experiment.fleet.front_ends) * controller_bytes(experiment, settings);
    check_limits(controllers + world_bytes(experiment), 1)
}

/// Checks whether a run of real front ends stays within the limits.
///
/// # Errors
/// Returns the limit that the run would exceed.
pub fn check_node(experiment: &Experiment, settings: &Settings) -> Result<(), BoundError> {
    let per_front_end = controller_bytes(experiment, settings) + BYTES_PER_PROCESS;
    let processes = experiment.fleet.front_ends + 1;
    check_limits(f64::from(experiment.fleet.front_ends) * per_front_end + world_bytes(experiment), processes)
}
