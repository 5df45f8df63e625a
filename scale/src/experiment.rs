//! The experiment file: what a run consists of. It is read from TOML and checked whole before anything starts.
//!
//! Times are seconds (`_s`) or milliseconds (`_ms`), sizes megabytes (`_mb`), rates events a second (`_per_s`).
//! What a front end is told of its deployment (classes, limits, prices, machine memory) stands in the settings
//! file that `settings` names, in the platform's own form.
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Why an experiment cannot be run as it is written.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A key is unknown, missing, of the wrong type or out of its range.
    #[error("{}, line {line}: key '{key}': {problem}", path.display())]
    Key {
        /// The experiment file.
        path: PathBuf,
        /// Its line, counted from 1.
        line: usize,
        /// The key at fault.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Names the results.
    pub name: String,
    /// Starts every random number of the run.
    pub seed: u64,
    /// Length of the run, from the first call on.
    pub duration_s: f64,
    /// Calls that arrive before this are made but not counted.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Length of a step of the virtual clock.
    #[serde(default = "default_step_ms")]
    pub step_ms: f64,
    /// The settings that front ends are told, as a file beside the experiment.
    pub settings: PathBuf,
    /// Front ends, workers and where they stand.
    pub fleet: FleetSize,
    /// What a worker can do.
    pub workers: WorkerShape,
    /// The store from which workers fetch functions.
    pub store: StoreShape,
    /// What is called.
    pub functions: FunctionShape,
    /// How it is called.
    pub calls: CallShape,
    /// The way between the parties.
    #[serde(default)]
    pub network: NetworkShape,
    /// The board that tells the list of workers.
    #[serde(default)]
    pub board: BoardShape,
    /// Real front ends, in the role `node`.
    #[serde(default)]
    pub node: NodeShape,
    /// Failures and bursts, each at its time.
    #[serde(default)]
    pub failure: Vec<Failure>,
}

/// How many there are of each party.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Front ends that run in the experiment.
    pub front_ends: u32,
    /// Front ends that the settings name; the rest are played as load and copies at the workers.
    pub told_front_ends: Option<u32>,
    /// Regions; zones and front ends are spread evenly over them.
    #[serde(default = "one")]
    pub regions: u32,
    /// Zones over all regions.
    #[serde(default = "one")]
    pub zones: u32,
    /// Workers listed.
    pub workers: u32,
}

/// What a worker can do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Cores; calls in work beyond this slow each other down.
    pub cores: u32,
    /// Loads that run at a time; twice as many may wait.
    pub loads_at_once: u32,
    /// Calls that may be held; beyond that a worker answers that it is full.
    pub most_held: u32,
}

/// The store from which workers fetch functions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreShape {
    /// Fetches served a second, over the whole fleet.
    pub fetches_per_s: f64,
    /// Fetches that may wait; beyond that a load fails.
    pub most_waiting: u32,
    /// Part of a function's load time that is the fetch; the rest is its start.
    #[serde(default = "default_fetch_share")]
    pub fetch_share: f64,
}

/// What is called.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionShape {
    /// Functions in all.
    pub count: u32,
    /// Exponent of the popularity (Zipf): the call share of rank r goes with r to the minus this.
    pub exponent: f64,
    /// Memory of a copy, drawn evenly.
    pub memory_mb: [f64; 2],
    /// Time of a load, drawn evenly.
    pub load_ms: [f64; 2],
    /// Work of a call on an idle worker, drawn evenly for each function.
    pub work_ms: [f64; 2],
    /// Calls that a copy runs at a time.
    pub lanes: u32,
}

/// How functions are called.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallShape {
    /// Calls a second at a front end, on the mean over all.
    pub per_front_end_s: f64,
    /// Unevenness: the busiest front end gets this multiple of the mean, the others share the rest evenly.
    #[serde(default = "one_f")]
    pub busiest: f64,
    /// Time over which calls grow evenly from none to their full rate: a fleet that is cold everywhere at once is a
    /// case of its own.
    #[serde(default)]
    pub ramp_s: f64,
    /// Part of the functions in each class, in the settings' order.
    pub class_shares: Vec<f64>,
    /// Further tries that a client makes after a refusal.
    #[serde(default)]
    pub retries: u32,
}

/// The way between the parties.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkShape {
    /// One way inside a zone.
    pub same_zone_ms: f64,
    /// One way between zones.
    pub cross_zone_ms: f64,
}

/// The board that tells the list of workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoardShape {
    /// How late a change is told, drawn evenly for each front end and change.
    pub delay_ms: [f64; 2],
    /// Events that the board can tell again; whoever missed more gets the whole list.
    pub history: u32,
    /// Single changes of the list an hour, spread evenly.
    pub changes_per_hour: f64,
    /// Workers of a burst that one event carries.
    pub changes_per_event: u32,
}

/// Real front ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeShape {
    /// Whether the configuration holds the whole list; else the board tells it.
    pub told_at_start: bool,
    /// Memory limit that each is told.
    pub memory_mb: u32,
    /// Descriptor limit that each is told.
    pub sockets: u32,
}

/// What happens at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// When, from the first call on.
    pub at_s: f64,
    /// What.
    pub kind: FailureKind,
    /// How long it lasts, where it has an end.
    pub for_s: Option<f64>,
    /// Part of the front ends or workers it takes.
    pub share: Option<f64>,
    /// The zone it takes, counted from 0.
    pub zone: Option<u32>,
    /// The region it cuts off, counted from 0.
    pub region: Option<u32>,
    /// Changes in a burst.
    pub count: Option<u32>,
}

/// Kinds of failures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// A part of the front ends ends at once and comes back knowing nothing.
    FrontEndsLost,
    /// A part of the workers ends at once and comes back empty.
    WorkersLost,
    /// A zone's workers and front ends end at once and come back.
    ZoneLost,
    /// A region's front ends hear nothing of the board.
    BoardCut,
    /// So many workers are replaced by new ones at once.
    ListChanges,
}

fn default_step_ms() -> f64 {
    2.0
}

fn default_fetch_share() -> f64 {
    0.6
}

fn one() -> u32 {
    1
}

fn one_f() -> f64 {
    1.0
}

impl Default for NodeShape {
    fn default() -> Self {
        NodeShape { told_at_start: true, memory_mb: 192, sockets: 1024 }
    }
}

impl Default for NetworkShape {
    fn default() -> Self {
        NetworkShape { same_zone_ms: 0.2, cross_zone_ms: 0.6 }
    }
}

impl Default for BoardShape {
    fn default() -> Self {
        BoardShape { delay_ms: [200.0, 1500.0], history: 10_000, changes_per_hour: 0.0, changes_per_event: 1 }
    }
}

impl FleetSize {
    /// Front ends that the settings name.
    pub fn told(&self) -> u32 {
        self.told_front_ends.unwrap_or(self.front_ends)
    }
}

/// An experiment with the file it came from, for messages.
#[derive(Clone, Debug)]
pub struct Source {
    path: PathBuf,
    text: String,
}

impl Source {
    /// The line, counted from 1, of a key given as `section.key`; the section's own line, or 1, if it is absent.
    fn line_of(&self, key: &str) -> usize {
        let (section, name) = key.rsplit_once('.').unwrap_or(("", key));
        let (mut at, mut here, mut found) = (1, String::new(), None);
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                here = line.trim_matches(['[', ']']).trim().to_owned();
                if here == section {
                    at = number + 1;
                }
            } else if here == section && line.split('=').next().is_some_and(|k| k.trim() == name) {
                found = found.or(Some(number + 1));
            }
        }
        found.unwrap_or(at)
    }

    fn error(&self, key: &str, problem: impl Into<String>) -> ExperimentError {
        let (path, line) = (self.path.clone(), self.line_of(key));
        ExperimentError::Key { path, line, key: key.to_owned(), problem: problem.into() }
    }

    fn syntax(&self, e: &toml::de::Error) -> ExperimentError {
        let start = e.span().map_or(0, |s| s.start).min(self.text.len());
        let line = self.text[..start].matches('\n').count() + 1;
        let quoted = e.message().split('`').nth(1).filter(|_| e.message().contains(" field `"));
        let written = self.text.lines().nth(line - 1).and_then(|l| l.split('=').next()).map(str::trim);
        let key = quoted.or(written).unwrap_or_default().to_owned();
        ExperimentError::Key { path: self.path.clone(), line, key, problem: e.message().to_owned() }
    }
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the line and key of what cannot be used, or the file that cannot be read.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Unreadable { path: path.to_owned(), source })?;
        let mut experiment = Experiment::parse(path, text)?;
        if let Some(folder) = path.parent() {
            experiment.settings = folder.join(&experiment.settings);
        }
        Ok(experiment)
    }

    /// Reads and checks the text of a file; `path` is for messages.
    ///
    /// # Errors
    /// Names the line and key of what cannot be used.
    pub fn parse(path: &Path, text: String) -> Result<Experiment, ExperimentError> {
        let source = Source { path: path.to_owned(), text };
        let experiment: Experiment = toml::from_str(&source.text).map_err(|e| source.syntax(&e))?;
        experiment.check(&source)?;
        Ok(experiment)
    }

    fn check(&self, source: &Source) -> Result<(), ExperimentError> {
        let positive = [
            ("duration_s", self.duration_s),
            ("step_ms", self.step_ms),
            ("fleet.front_ends", f64::from(self.fleet.front_ends)),
            ("fleet.regions", f64::from(self.fleet.regions)),
            ("fleet.zones", f64::from(self.fleet.zones)),
            ("fleet.workers", f64::from(self.fleet.workers)),
            ("workers.cores", f64::from(self.workers.cores)),
            ("workers.loads_at_once", f64::from(self.workers.loads_at_once)),
            ("workers.most_held", f64::from(self.workers.most_held)),
            ("store.fetches_per_s", self.store.fetches_per_s),
            ("functions.count", f64::from(self.functions.count)),
            ("functions.lanes", f64::from(self.functions.lanes)),
            ("board.changes_per_event", f64::from(self.board.changes_per_event)),
        ];
        if let Some((key, _)) = positive.iter().find(|(_, value)| !(value.is_finite() && *value > 0.0)) {
            return Err(source.error(key, "must be above 0"));
        }
        let ranges = [
            ("functions.memory_mb", self.functions.memory_mb),
            ("functions.load_ms", self.functions.load_ms),
            ("functions.work_ms", self.functions.work_ms),
            ("board.delay_ms", self.board.delay_ms),
        ];
        let fits = |[from, to]: [f64; 2]| from >= 0.0 && from <= to && to.is_finite();
        if let Some((key, _)) = ranges.iter().find(|(_, range)| !fits(*range)) {
            return Err(source.error(key, "must be [least, most] with 0 <= least <= most"));
        }
        if !(0.0..self.duration_s).contains(&self.warm_up_s) {
            return Err(source.error("warm_up_s", "must be 0 or more and below duration_s"));
        }
        if !(0.0..=1.0).contains(&self.store.fetch_share) {
            return Err(source.error("store.fetch_share", "must be within 0 and 1"));
        }
        if !(0.0..=5.0).contains(&self.functions.exponent) {
            return Err(source.error("functions.exponent", "must be within 0 and 5"));
        }
        if !(0.0..=1e6).contains(&self.calls.per_front_end_s) {
            return Err(source.error("calls.per_front_end_s", "must be within 0 and 1000000"));
        }
        if self.calls.busiest < 1.0 || self.calls.busiest > f64::from(self.fleet.front_ends).max(1.0) {
            return Err(source.error("calls.busiest", "must be within 1 and the number of front ends"));
        }
        if !(0.0..=self.duration_s).contains(&self.calls.ramp_s) {
            return Err(source.error("calls.ramp_s", "must lie within the run"));
        }
        let shares = &self.calls.class_shares;
        if shares.is_empty() || shares.iter().any(|s| !(0.0..=1.0).contains(s)) {
            return Err(source.error("calls.class_shares", "must hold parts within 0 and 1"));
        }
        if self.fleet.told() < self.fleet.front_ends {
            return Err(source.error("fleet.told_front_ends", "must not be below fleet.front_ends"));
        }
        if self.fleet.zones < self.fleet.regions {
            return Err(source.error("fleet.zones", "must not be below fleet.regions"));
        }
        self.failure.iter().try_for_each(|f| self.check_failure(f, source))
    }

    fn check_failure(&self, failure: &Failure, source: &Source) -> Result<(), ExperimentError> {
        let at = |key: &str| format!("failure.{key}");
        let part = |value: Option<f64>| value.is_some_and(|v| v > 0.0 && v <= 1.0);
        if !(0.0..=self.duration_s).contains(&failure.at_s) {
            return Err(source.error(&at("at_s"), "must lie within the run"));
        }
        let lasts = failure.kind != FailureKind::ListChanges;
        if lasts && !failure.for_s.is_some_and(|f| f.is_finite() && f > 0.0) {
            return Err(source.error(&at("for_s"), "is needed and must be above 0"));
        }
        match failure.kind {
            FailureKind::FrontEndsLost | FailureKind::WorkersLost if !part(failure.share) => {
                Err(source.error(&at("share"), "is needed, above 0 and at most 1"))
            }
            FailureKind::ZoneLost if failure.zone.is_none_or(|z| z >= self.fleet.zones) => {
                Err(source.error(&at("zone"), "is needed and must be below fleet.zones"))
            }
            FailureKind::BoardCut if failure.region.is_none_or(|r| r >= self.fleet.regions) => {
                Err(source.error(&at("region"), "is needed and must be below fleet.regions"))
            }
            FailureKind::ListChanges if failure.count.is_none_or(|c| c == 0 || c > self.fleet.workers) => {
                Err(source.error(&at("count"), "is needed, above 0 and at most fleet.workers"))
            }
            _ => Ok(()),
        }
    }
}
