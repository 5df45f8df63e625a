//! The deploy file, and the configuration that a front end is started with.
use crate::experiment::Experiment;
use heronslip_policy::json::parse;
use heronslip_policy::Settings;
use miniserde::json::{self, Number, Object, Value};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Why a deploy or settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeployError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The deploy file has no usable `run`.
    #[error("{}: {problem}", path.display())]
    Deploy {
        /// Which.
        path: PathBuf,
        /// What is wrong.
        problem: String,
    },
    /// The settings are no JSON object.
    #[error("{}: not a JSON object", path.display())]
    Settings {
        /// Which.
        path: PathBuf,
    },
}

/// How a front end is started.
#[derive(Clone, Debug)]
pub struct Deploy {
    /// The command, for a shell.
    pub run: String,
    /// Where it is run: the folder above the deploy file's own.
    pub root: PathBuf,
}

impl Deploy {
    /// Reads `run` from a deploy file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or names no command.
    pub fn read(path: &Path) -> Result<Deploy, DeployError> {
        #[derive(Deserialize)]
        struct File {
            run: String,
        }
        let text = std::fs::read_to_string(path)
            .map_err(|source| DeployError::Unreadable { path: path.to_owned(), source })?;
        let file: File = toml::from_str(&text)
            .map_err(|e| DeployError::Deploy { path: path.to_owned(), problem: e.message().to_owned() })?;
        let folder = path.parent().and_then(Path::parent).filter(|p| !p.as_os_str().is_empty());
        Ok(Deploy { run: file.run, root: folder.unwrap_or(Path::new(".")).to_owned() })
    }
}

/// The settings of an experiment: its file's, with the number of front ends and the zones of the experiment.
///
/// # Errors
/// Fails if the settings file cannot be read or is no JSON object.
pub fn settings(experiment: &Experiment) -> Result<(Settings, Object), DeployError> {
    let path = &experiment.settings;
    let text = std::fs::read_to_string(path)
        .map_err(|source| DeployError::Unreadable { path: path.clone(), source })?;
    let Ok(Value::Object(mut fields)) = parse(&text) else {
        return Err(DeployError::Settings { path: path.clone() });
    };
    let told = u64::from(experiment.fleet.told());
    fields.insert("balancers".to_owned(), Value::Number(Number::U64(told)));
    let zones = (0..experiment.fleet.zones).map(|z| Value::String(zone_name(z as usize)));
    fields.insert("failure-domains".to_owned(), Value::Array(zones.collect()));
    Ok((Settings::from_json(&fields), fields))
}

/// A zone's name on the wires.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The text of NODE_CONFIG for one front end.
pub fn node_config(
    experiment: &Experiment, settings: &Object, front_end: usize, board: std::net::SocketAddr, known: &str,
) -> String {
    let node = &experiment.node;
    let mut settings = settings.clone();
    let (told, run) = (u64::from(experiment.fleet.told()), u64::from(experiment.fleet.front_ends));
    let index = front_end as u64 * told / run;
    settings.insert("index".to_owned(), Value::Number(Number::U64(index)));
    let settings = json::to_string(&Value::Object(settings));
    format!(
        r#"{{"name":"n{front_end}","listen":"127.0.0.1:0","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"board":"{board}","known":{known},"settings":{settings}}}"#,
        experiment.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ front_end as u64,
        node.memory_mb,
        node.sockets,
    )
}
