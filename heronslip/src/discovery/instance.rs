//! Parses one entry of the discovery service's worker list.
use crate::messages::{ListedWorker, WorkerProtocol};
use heronslip_policy::json::{millis, parse, string, unsigned};
use heronslip_policy::WorkerState;
use miniserde::json::{Object, Value};

/// An entry that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct InvalidInstance {
    /// The worker that it names, where that can be read.
    pub id: Option<String>,
    /// What is wrong with it.
    pub reason: String,
}

/// Parses an entry from its JSON text.
///
/// # Errors
/// Returns why the entry cannot be used, and the worker that it names where that can be read.
pub fn parse_instance(json: &[u8]) -> Result<ListedWorker, InvalidInstance> {
    let parsed = std::str::from_utf8(json).ok().and_then(|t| parse(t).ok());
    let Some(Value::Object(fields)) = parsed else {
        return Err(InvalidInstance { id: None, reason: "the instance is not a JSON object".to_owned() });
    };
    parse_worker(&fields).map_err(|reason| {
        let id = string(&fields, "instanceId").map(str::to_owned);
        InvalidInstance { id, reason }
    })
}

fn parse_worker(fields: &Object) -> Result<ListedWorker, String> {
    let required = |key: &str| string(fields, key).ok_or_else(|| format!("an instance without '{key}'"));
    let (id, address) = (required("instanceId")?.to_owned(), required("hostPort")?);
    Ok(ListedWorker {
        address: address.parse().map_err(|_| format!("{id}: invalid address {address}"))?,
        state: match required("lifecycle")? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            "gone" => WorkerState::Gone,
            other => return Err(format!("{id}: unknown lifecycle {other}")),
        },
        started_at: millis(fields, "startedAtMs"),
        zone: string(fields, "zone").unwrap_or_default().to_owned(),
        machine_type: string(fields, "machineType").unwrap_or_default().to_owned(),
        cell: unsigned(fields, "cell").unwrap_or(0),
        protocol: WorkerProtocol::Frames,
        id,
    })
}
