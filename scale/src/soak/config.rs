//! What plays are drawn from: a TOML file.
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Why a soak's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// It is no such file.
    #[error(transparent)]
    Malformed(#[from] toml::de::Error),
    /// A range is empty, or a count is out of bounds.
    #[error("{0}")]
    OutOfRange(&'static str),
}

/// The ranges from which a play is drawn.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakConfig {
    /// Length of a play, in seconds.
    pub duration_s: [f64; 2],
    /// Front ends, and workers.
    pub front_ends: [usize; 2],
    /// Workers.
    pub workers: [usize; 2],
    /// Functions that clients call.
    pub functions: [usize; 2],
    /// Calls a second at one front end.
    pub calls_per_s: [f64; 2],
    /// Mean work of a call, in milliseconds.
    pub work_ms: [f64; 2],
    /// Calls that a worker runs at a time.
    pub lanes: [u32; 2],
    /// Longest wait of the classes, in milliseconds: one is drawn for a play.
    pub give_up_ms: Vec<u64>,
    /// Share of calls that clients take back or leave at some instant.
    pub leaving: f64,
    /// Share of workers' answers that come late, twice, spoilt or cut.
    pub odd_answers: f64,
    /// Rates of failing system calls, in thousandths, where a play has any.
    pub failing_calls: u32,
    /// How far the wall clock is stepped, in seconds, where a play has that.
    pub wall_step_s: Vec<i64>,
    /// Length of an outage of the board, in seconds.
    pub outage_s: [f64; 2],
    /// Faults of each kind in a play, at most.
    pub faults: FaultCounts,
}

/// How many faults of each kind a play has at most; each number is drawn from none up to this.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCounts {
    /// Outages of the board, of one or of all front ends.
    pub outages: u32,
    /// Workers that drain, end, and come back as new processes.
    pub drains: u32,
    /// Workers that die and come back.
    pub deaths: u32,
    /// Workers that say nothing for a while.
    pub hangs: u32,
    /// Workers that reset their idle connections.
    pub resets: u32,
    /// Workers that turn all away while they are listed as ready.
    pub refusals: u32,
    /// Front ends restarted with SIGTERM, and SIGKILL at the earliest time.
    pub restarts: u32,
    /// Front ends killed and started again.
    pub kills: u32,
    /// Moves of the board, with SIGHUP, up to three in a row.
    pub moves: u32,
    /// Times at which clients come by the dozen.
    pub crowds: u32,
}

/// Bounds that keep the tool under a few hundred processes and half of the machine.
const MOST_FRONT_ENDS: usize = 8;
const MOST_WORKERS: usize = 100;

impl SoakConfig {
    /// Reads a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let config: SoakConfig = toml::from_str(&std::fs::read_to_string(path)?)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let orders = |[least, most]: [f64; 2]| 0.0 < least && least <= most;
        let counts = |[least, most]: [usize; 2], bound: usize| 0 < least && least <= most && most <= bound;
        let fails = |what| Err(ConfigError::OutOfRange(what));
        match () {
            () if !orders(self.duration_s) => fails("duration_s is no range"),
            () if !orders(self.calls_per_s) => fails("calls_per_s is no range"),
            () if !orders(self.work_ms) => fails("work_ms is no range"),
            () if !orders(self.outage_s) => fails("outage_s is no range"),
            () if !counts(self.front_ends, MOST_FRONT_ENDS) => fails("front_ends: 1 to 8"),
            () if !counts(self.workers, MOST_WORKERS) => fails("workers: 1 to 100"),
            () if !counts(self.functions, 1_000) => fails("functions: 1 to 1,000"),
            () if self.lanes[0] == 0 || self.lanes[0] > self.lanes[1] => fails("lanes is no range"),
            () if self.give_up_ms.is_empty() => fails("give_up_ms is empty"),
            () => Ok(()),
        }
    }
}
