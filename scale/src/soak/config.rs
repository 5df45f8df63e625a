//! The soak's configuration, a TOML file: the ranges from which scenarios are drawn.
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Why a soak configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// The file is not valid TOML, or has missing or unknown keys.
    #[error(transparent)]
    Malformed(#[from] toml::de::Error),
    /// A range is empty, or a count is out of bounds.
    #[error("{0}")]
    OutOfRange(&'static str),
}

/// The ranges from which a scenario is drawn; pairs are `[min, max]`, both included.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakConfig {
    /// Length of a run, in seconds.
    pub duration_s: [f64; 2],
    /// Number of front ends.
    pub front_ends: [usize; 2],
    /// Number of workers.
    pub workers: [usize; 2],
    /// Number of functions that clients call.
    pub functions: [usize; 2],
    /// Calls a second at each front end.
    pub calls_per_s: [f64; 2],
    /// Mean execution time of a call, in milliseconds.
    pub work_ms: [f64; 2],
    /// Calls that a worker runs at the same time.
    pub lanes: [u32; 2],
    /// Limits on the memory of front ends, in MB; each scenario uses one of them.
    pub memory_mb: Vec<u64>,
    /// Limits on the descriptors of front ends; each scenario uses one of them.
    pub descriptors: Vec<u64>,
    /// Longest timeouts of the classes, in milliseconds; each scenario uses one of them for all classes.
    #[serde(rename = "give_up_ms")]
    pub client_timeouts_ms: Vec<u64>,
    /// Share of requests that clients cancel, or whose connection they close, before their timeout.
    #[serde(rename = "leaving")]
    pub cancelled_share: f64,
    /// Share of workers' replies that are delayed, sent twice, corrupted or truncated.
    #[serde(rename = "odd_answers")]
    pub faulty_reply_share: f64,
    /// Highest rate of failing system calls, per thousand, in scenarios that have any.
    #[serde(rename = "failing_calls")]
    pub max_system_call_failures_per_mille: u32,
    /// Offsets of the wall clock, in seconds, for scenarios that step it.
    #[serde(rename = "wall_step_s")]
    pub wall_clock_offsets_s: Vec<i64>,
    /// Length of an outage of the discovery server, in seconds.
    pub outage_s: [f64; 2],
    /// Highest number of faults of each kind.
    pub faults: FaultCounts,
}

/// The highest number of faults of each kind in a scenario; the number is drawn from 0 up to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCounts {
    /// Outages of the discovery server, for one or all front ends.
    pub outages: u32,
    /// Workers that drain, exit and come back as new processes.
    pub drains: u32,
    /// Workers that crash and come back as new processes.
    pub deaths: u32,
    /// Workers that stop executing commands and writing for a while.
    pub hangs: u32,
    /// Workers that reset their idle connections.
    pub resets: u32,
    /// Workers that reject all calls while they are listed as ready.
    pub refusals: u32,
    /// Front ends restarted with SIGTERM, followed by SIGKILL at the earliest time that the rules allow.
    pub restarts: u32,
    /// Front ends ended with SIGKILL and started again.
    pub kills: u32,
    /// Changes of the discovery server's address, announced with SIGHUP, up to three in a row.
    pub moves: u32,
    /// Bursts of misbehaving clients.
    pub crowds: u32,
    /// Clients that send more than their share: a few at full speed, or hundreds with large requests.
    pub floods: u32,
}

// These bounds keep a soak under a few hundred processes and half of the machine's resources.
const MAX_FRONT_ENDS: usize = 8;
const MAX_WORKERS: usize = 100;
const MAX_FUNCTIONS: usize = 1_000;

impl SoakConfig {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or parsed, or if a value is out of range.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let config: SoakConfig = toml::from_str(&std::fs::read_to_string(path)?)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let is_range = |[min, max]: [f64; 2]| 0.0 < min && min <= max;
        let is_count = |[min, max]: [usize; 2], bound: usize| 0 < min && min <= max && max <= bound;
        let fail = |message| Err(ConfigError::OutOfRange(message));
        match () {
            () if !is_range(self.duration_s) => fail("duration_s must be a range of positive numbers"),
            () if !is_range(self.calls_per_s) => fail("calls_per_s must be a range of positive numbers"),
            () if !is_range(self.work_ms) => fail("work_ms must be a range of positive numbers"),
            () if !is_range(self.outage_s) => fail("outage_s must be a range of positive numbers"),
            () if !is_count(self.front_ends, MAX_FRONT_ENDS) => {
                fail("front_ends must be a range within 1 to 8")
            }
            () if !is_count(self.workers, MAX_WORKERS) => fail("workers must be a range within 1 to 100"),
            () if !is_count(self.functions, MAX_FUNCTIONS) => {
                fail("functions must be a range within 1 to 1,000")
            }
            () if self.lanes[0] == 0 || self.lanes[0] > self.lanes[1] => {
                fail("lanes must be a range of positive numbers")
            }
            () if self.memory_mb.is_empty() => fail("memory_mb must not be empty"),
            () if self.descriptors.is_empty() => fail("descriptors must not be empty"),
            () if self.client_timeouts_ms.is_empty() => fail("give_up_ms must not be empty"),
            () => Ok(()),
        }
    }
}
