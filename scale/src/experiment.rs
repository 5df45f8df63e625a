//! The experiment file, in TOML. It is validated completely before the run starts.
//!
//! Times are in seconds (`_s`) or milliseconds (`_ms`), sizes in megabytes (`_mb`), rates in events per
//! second (`_per_s`). What a front end is configured with for its deployment (classes, limits, costs,
//! machine memory) is in the file that `settings` names: a JSON object, as the `settings` key of a front end's
//! configuration holds it.
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Why an experiment file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// A key is unknown, missing, of the wrong type or out of its range.
    #[error("{}, line {line}: key '{key}': {problem}", path.display())]
    Key {
        /// The experiment file.
        path: PathBuf,
        /// The line, from 1 on.
        line: usize,
        /// The key.
        key: String,
        /// Why its value cannot be used.
        problem: String,
    },
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Names the result files.
    pub name: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Length of the run, from the first call on.
    pub duration_s: f64,
    /// Calls that arrive before this are made but not counted.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Length of a step of the virtual clock.
    #[serde(default = "default_step_ms")]
    pub step_ms: f64,
    /// The settings file of the front ends, relative to the experiment file.
    pub settings: PathBuf,
    /// Numbers of front ends, workers, zones and regions.
    pub fleet: FleetConfig,
    /// Capacity of a worker.
    pub workers: WorkerConfig,
    /// The store from which workers fetch functions.
    pub store: StoreConfig,
    /// The functions that clients call.
    pub functions: FunctionConfig,
    /// The calls of the clients.
    pub calls: CallConfig,
    /// Latency of the network.
    #[serde(default)]
    pub network: NetworkConfig,
    /// The discovery server that sends the worker list.
    #[serde(default, rename = "board")]
    pub discovery: DiscoveryConfig,
    /// Real front ends, in the role `node`.
    #[serde(default)]
    pub node: NodeConfig,
    /// Failures and bursts of changes.
    #[serde(default, rename = "failure")]
    pub failures: Vec<Failure>,
}

/// Numbers of front ends, workers, zones and regions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Front ends that run in the experiment.
    pub front_ends: u32,
    /// Front ends that the settings name, if more than run. The others are simulated as background load:
    /// calls and copies at the workers.
    #[serde(rename = "told_front_ends")]
    pub configured_front_ends: Option<u32>,
    /// Regions; zones and front ends are spread evenly over them.
    #[serde(default = "default_count")]
    pub regions: u32,
    /// Zones over all regions.
    #[serde(default = "default_count")]
    pub zones: u32,
    /// Listed workers.
    pub workers: u32,
}

/// Capacity of a worker.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerConfig {
    /// Cores; more running calls than cores slow each other down.
    pub cores: u32,
    /// Loads that run at the same time; twice as many may be queued.
    pub loads_at_once: u32,
    /// Calls that may run or be queued; a worker rejects further calls as full.
    #[serde(rename = "most_held")]
    pub max_inflight: u32,
}

/// The store from which workers fetch functions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreConfig {
    /// Fetches served per second, over the whole fleet.
    pub fetches_per_s: f64,
    /// Fetches that may be queued; beyond that a load fails.
    #[serde(rename = "most_waiting")]
    pub max_queued: u32,
    /// Share of a function's load time that is the fetch; the rest is its start.
    #[serde(default = "default_fetch_share")]
    pub fetch_share: f64,
}

/// The functions that clients call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionConfig {
    /// Number of functions.
    pub count: u32,
    /// Exponent of the popularity (Zipf): the call share of rank r is proportional to r to the power of minus
    /// this.
    pub exponent: f64,
    /// Memory of a copy, drawn uniformly.
    pub memory_mb: [f64; 2],
    /// Duration of a load, drawn uniformly.
    pub load_ms: [f64; 2],
    /// Duration of a call on an idle worker, drawn uniformly for each function.
    pub work_ms: [f64; 2],
    /// Calls that a copy can run at the same time.
    pub lanes: u32,
}

/// The calls of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallConfig {
    /// Calls per second at a front end, as the mean over all.
    pub per_front_end_s: f64,
    /// The busiest front end gets this multiple of the mean; the other front ends share the rest evenly.
    #[serde(default = "default_busiest")]
    pub busiest: f64,
    /// Time over which the call rate grows linearly from zero to its full value. Without a ramp the run
    /// starts with the whole fleet cold, which is a case of its own.
    #[serde(default)]
    pub ramp_s: f64,
    /// Share of the functions in each class, in the settings' order.
    pub class_shares: Vec<f64>,
    /// How often a client retries a refused call.
    #[serde(default)]
    pub retries: u32,
}

/// Latency of the network.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkConfig {
    /// One-way latency inside a zone.
    pub same_zone_ms: f64,
    /// One-way latency between zones.
    pub cross_zone_ms: f64,
}

/// The discovery server that sends the worker list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryConfig {
    /// Delay of a change, drawn uniformly for each front end and change.
    pub delay_ms: [f64; 2],
    /// Events that the discovery server can send again; a front end that missed more gets the full list.
    pub history: u32,
    /// Changes of single workers per hour, spread evenly.
    pub changes_per_hour: f64,
    /// Workers of a burst that one event carries.
    pub changes_per_event: u32,
}

/// Real front ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeConfig {
    /// Whether the configuration holds the full worker list; otherwise the discovery server sends it.
    #[serde(rename = "told_at_start")]
    pub list_in_configuration: bool,
    /// Memory limit configured for each front end.
    pub memory_mb: u32,
    /// Descriptor limit configured for each front end.
    pub sockets: u32,
}

/// A failure or a burst of changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// Time since the first call.
    pub at_s: f64,
    /// What fails.
    pub kind: FailureKind,
    /// How long it lasts, for kinds that have an end.
    pub for_s: Option<f64>,
    /// Share of the front ends or workers that fail.
    pub share: Option<f64>,
    /// The zone that fails, from 0 on.
    pub zone: Option<u32>,
    /// The region that is cut off, from 0 on.
    pub region: Option<u32>,
    /// Changes in a burst.
    pub count: Option<u32>,
}

/// Kinds of failures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// A share of the front ends ends at the same time and restarts without any state.
    FrontEndsLost,
    /// A share of the workers ends at the same time and restarts without any copies.
    WorkersLost,
    /// The workers and front ends of a zone end at the same time and restart.
    ZoneLost,
    /// The front ends of a region lose the discovery server.
    BoardCut,
    /// A number of workers are replaced by new ones at the same time.
    ListChanges,
}

fn default_step_ms() -> f64 {
    2.0
}

fn default_fetch_share() -> f64 {
    0.6
}

fn default_count() -> u32 {
    1
}

fn default_busiest() -> f64 {
    1.0
}

impl Default for NodeConfig {
    fn default() -> Self {
        NodeConfig { list_in_configuration: true, memory_mb: 192, sockets: 1024 }
    }
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig { same_zone_ms: 0.2, cross_zone_ms: 0.6 }
    }
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig {
            delay_ms: [200.0, 1500.0],
            history: 10_000,
            changes_per_hour: 0.0,
            changes_per_event: 1,
        }
    }
}

impl FleetConfig {
    /// Number of front ends that the settings name.
    pub fn configured(&self) -> u32 {
        self.configured_front_ends.unwrap_or(self.front_ends)
    }
}

/// The text of an experiment file, to report the lines of errors.
#[derive(Clone, Debug)]
pub struct SourceFile {
    path: PathBuf,
    text: String,
}

impl SourceFile {
    /// The line, from 1 on, of a key given as `section.key`; if it is absent the section's own line, or 1.
    fn line_of(&self, key: &str) -> usize {
        let (section, name) = key.rsplit_once('.').unwrap_or(("", key));
        let (mut section_line, mut current, mut key_line) = (1, String::new(), None);
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                current = line.trim_matches(['[', ']']).trim().to_owned();
                if current == section {
                    section_line = number + 1;
                }
            } else if current == section && line.split('=').next().is_some_and(|k| k.trim() == name) {
                key_line = key_line.or(Some(number + 1));
            }
        }
        key_line.unwrap_or(section_line)
    }

    fn error(&self, key: &str, problem: impl Into<String>) -> ExperimentError {
        let (path, line) = (self.path.clone(), self.line_of(key));
        ExperimentError::Key { path, line, key: key.to_owned(), problem: problem.into() }
    }

    fn syntax_error(&self, e: &toml::de::Error) -> ExperimentError {
        let start = e.span().map_or(0, |s| s.start).min(self.text.len());
        let line = self.text[..start].matches('\n').count() + 1;
        let quoted = e.message().split('`').nth(1).filter(|_| e.message().contains(" field `"));
        let line_key = self.text.lines().nth(line - 1).and_then(|l| l.split('=').next()).map(str::trim);
        let key = quoted.or(line_key).unwrap_or_default().to_owned();
        ExperimentError::Key { path: self.path.clone(), line, key, problem: e.message().to_owned() }
    }
}

impl Experiment {
    /// Reads and validates an experiment file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or a key is unknown, missing, or has an invalid value.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Unreadable { path: path.to_owned(), source })?;
        let mut experiment = Experiment::parse(path, text)?;
        if let Some(directory) = path.parent() {
            experiment.settings = directory.join(&experiment.settings);
        }
        Ok(experiment)
    }

    /// Parses and validates the text of an experiment file; `path` is used in error messages only.
    ///
    /// # Errors
    /// Fails if a key is unknown, missing, or has an invalid value.
    pub fn parse(path: &Path, text: String) -> Result<Experiment, ExperimentError> {
        let source = SourceFile { path: path.to_owned(), text };
        let experiment: Experiment = toml::from_str(&source.text).map_err(|e| source.syntax_error(&e))?;
        experiment.validate(&source)?;
        Ok(experiment)
    }

    fn validate(&self, source: &SourceFile) -> Result<(), ExperimentError> {
        let positive = [
            ("duration_s", self.duration_s),
            ("step_ms", self.step_ms),
            ("fleet.front_ends", f64::from(self.fleet.front_ends)),
            ("fleet.regions", f64::from(self.fleet.regions)),
            ("fleet.zones", f64::from(self.fleet.zones)),
            ("fleet.workers", f64::from(self.fleet.workers)),
            ("workers.cores", f64::from(self.workers.cores)),
            ("workers.loads_at_once", f64::from(self.workers.loads_at_once)),
            ("workers.most_held", f64::from(self.workers.max_inflight)),
            ("store.fetches_per_s", self.store.fetches_per_s),
            ("functions.count", f64::from(self.functions.count)),
            ("functions.lanes", f64::from(self.functions.lanes)),
            ("board.changes_per_event", f64::from(self.discovery.changes_per_event)),
        ];
        if let Some((key, _)) = positive.iter().find(|(_, value)| !(value.is_finite() && *value > 0.0)) {
            return Err(source.error(key, "must be above 0"));
        }
        let ranges = [
            ("functions.memory_mb", self.functions.memory_mb),
            ("functions.load_ms", self.functions.load_ms),
            ("functions.work_ms", self.functions.work_ms),
            ("board.delay_ms", self.discovery.delay_ms),
        ];
        let valid = |[min, max]: [f64; 2]| min >= 0.0 && min <= max && max.is_finite();
        if let Some((key, _)) = ranges.iter().find(|(_, range)| !valid(*range)) {
            return Err(source.error(key, "must be [min, max] with 0 <= min <= max"));
        }
        if !(0.0..self.duration_s).contains(&self.warm_up_s) {
            return Err(source.error("warm_up_s", "must be at least 0 and below duration_s"));
        }
        if !(0.0..=1.0).contains(&self.store.fetch_share) {
            return Err(source.error("store.fetch_share", "must be between 0 and 1"));
        }
        if !(0.0..=5.0).contains(&self.functions.exponent) {
            return Err(source.error("functions.exponent", "must be between 0 and 5"));
        }
        if !(0.0..=1e6).contains(&self.calls.per_front_end_s) {
            return Err(source.error("calls.per_front_end_s", "must be between 0 and 1000000"));
        }
        if self.calls.busiest < 1.0 || self.calls.busiest > f64::from(self.fleet.front_ends).max(1.0) {
            return Err(source.error("calls.busiest", "must be between 1 and the number of front ends"));
        }
        if !(0.0..=self.duration_s).contains(&self.calls.ramp_s) {
            return Err(source.error("calls.ramp_s", "must be between 0 and duration_s"));
        }
        let shares = &self.calls.class_shares;
        if shares.is_empty() || shares.iter().any(|s| !(0.0..=1.0).contains(s)) {
            return Err(source.error("calls.class_shares", "must be a list of shares between 0 and 1"));
        }
        if self.fleet.configured() < self.fleet.front_ends {
            return Err(source.error("fleet.told_front_ends", "must not be below fleet.front_ends"));
        }
        if self.fleet.zones < self.fleet.regions {
            return Err(source.error("fleet.zones", "must not be below fleet.regions"));
        }
        self.failures.iter().try_for_each(|f| self.validate_failure(f, source))
    }

    fn validate_failure(&self, failure: &Failure, source: &SourceFile) -> Result<(), ExperimentError> {
        let failure_key = |key: &str| format!("failure.{key}");
        let valid_share = |value: Option<f64>| value.is_some_and(|v| v > 0.0 && v <= 1.0);
        if !(0.0..=self.duration_s).contains(&failure.at_s) {
            return Err(source.error(&failure_key("at_s"), "must be between 0 and duration_s"));
        }
        let has_end = failure.kind != FailureKind::ListChanges;
        if has_end && !failure.for_s.is_some_and(|f| f.is_finite() && f > 0.0) {
            return Err(source.error(&failure_key("for_s"), "is required and must be above 0"));
        }
        match failure.kind {
            FailureKind::FrontEndsLost | FailureKind::WorkersLost if !valid_share(failure.share) => {
                Err(source.error(&failure_key("share"), "is required, above 0 and at most 1"))
            }
            FailureKind::ZoneLost if failure.zone.is_none_or(|z| z >= self.fleet.zones) => {
                Err(source.error(&failure_key("zone"), "is required and must be below fleet.zones"))
            }
            FailureKind::BoardCut if failure.region.is_none_or(|r| r >= self.fleet.regions) => {
                Err(source.error(&failure_key("region"), "is required and must be below fleet.regions"))
            }
            FailureKind::ListChanges if failure.count.is_none_or(|c| c == 0 || c > self.fleet.workers) => {
                Err(source.error(&failure_key("count"), "is required, above 0 and at most fleet.workers"))
            }
            _ => Ok(()),
        }
    }
}
