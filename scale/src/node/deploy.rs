//! The deploy file, and the configuration of a front end.
use crate::experiment::Experiment;
use heronslip_policy::json::parse;
use heronslip_policy::Settings;
use miniserde::json::{self, Number, Object, Value};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Spreads the seeds of runs, so that front ends of different runs get different seeds: 2^64 divided by the
/// golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why a deploy or settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeployError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The deploy file has no valid `run`.
    #[error("{}: {problem}", path.display())]
    Deploy {
        /// The file.
        path: PathBuf,
        /// Why `run` cannot be used.
        problem: String,
    },
    /// The settings file does not contain a JSON object.
    #[error("{}: not a JSON object", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
    },
}

/// How a front end is started.
#[derive(Clone, Debug)]
pub struct Deploy {
    /// The shell command.
    pub command: String,
    /// The directory it runs in: the parent of the deploy file's directory.
    pub working_directory: PathBuf,
}

impl Deploy {
    /// Reads `run` from a deploy file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or has no `run`.
    pub fn read(path: &Path) -> Result<Deploy, DeployError> {
        #[derive(Deserialize)]
        struct File {
            run: String,
        }
        let text = std::fs::read_to_string(path)
            .map_err(|source| DeployError::Unreadable { path: path.to_owned(), source })?;
        let file: File = toml::from_str(&text)
            .map_err(|e| DeployError::Deploy { path: path.to_owned(), problem: e.message().to_owned() })?;
        let directory = path.parent().and_then(Path::parent).filter(|p| !p.as_os_str().is_empty());
        let working_directory = directory.unwrap_or(Path::new(".")).to_owned();
        Ok(Deploy { command: file.run, working_directory })
    }
}

/// Reads the settings file of an experiment, and sets the experiment's number of front ends and zones in it.
/// Returns the parsed settings and their JSON object.
///
/// # Errors
/// Fails if the settings file cannot be read or does not contain a JSON object.
pub fn settings(experiment: &Experiment) -> Result<(Settings, Object), DeployError> {
    let path = &experiment.settings;
    let text = std::fs::read_to_string(path)
        .map_err(|source| DeployError::Unreadable { path: path.clone(), source })?;
    let Ok(Value::Object(mut fields)) = parse(&text) else {
        return Err(DeployError::Settings { path: path.clone() });
    };
    let configured = u64::from(experiment.fleet.configured());
    fields.insert("balancers".to_owned(), Value::Number(Number::U64(configured)));
    let zones = (0..experiment.fleet.zones).map(|z| Value::String(zone_name(z as usize)));
    fields.insert("failure-domains".to_owned(), Value::Array(zones.collect()));
    Ok((Settings::from_json(&fields), fields))
}

/// The name of a zone, in settings and in the worker list.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The configuration of a front end, as the JSON text of the file that `NODE_CONFIG` names.
pub fn front_end_config(
    experiment: &Experiment, settings: &Object, front_end: usize, discovery: std::net::SocketAddr,
    configured_list: &str,
) -> String {
    let node = &experiment.node;
    let mut settings = settings.clone();
    let (configured, running) =
        (u64::from(experiment.fleet.configured()), u64::from(experiment.fleet.front_ends));
    let index = front_end as u64 * configured / running;
    settings.insert("index".to_owned(), Value::Number(Number::U64(index)));
    let settings = json::to_string(&Value::Object(settings));
    format!(
        r#"{{"name":"n{front_end}","listen":"127.0.0.1:0","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"board":"{discovery}","known":{configured_list},"settings":{settings}}}"#,
        experiment.seed.wrapping_mul(SEED_MULTIPLIER) ^ front_end as u64,
        node.memory_mb,
        node.sockets,
    )
}
