//! One entry of the board's list.
use crate::messages::{Member, Speech};
use heronslip_policy::json::{millis, parse, string, unsigned};
use heronslip_policy::WorkerState;
use miniserde::json::{Object, Value};

/// An entry that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{problem}")]
pub struct Unreadable {
    /// The worker it names, where that could be read.
    pub id: Option<String>,
    /// What is wrong.
    pub problem: String,
}

/// Reads an entry from its JSON text.
///
/// # Errors
/// Tells what cannot be used of it, and the worker it names where that can be read.
pub fn instance(text: &[u8]) -> Result<Member, Unreadable> {
    let parsed = std::str::from_utf8(text).ok().and_then(|t| parse(t).ok());
    let Some(Value::Object(fields)) = parsed else {
        return Err(Unreadable { id: None, problem: "an instance that is no object".to_owned() });
    };
    member(&fields).map_err(|problem| {
        let id = heronslip_policy::json::string(&fields, "instanceId").map(str::to_owned);
        Unreadable { id, problem }
    })
}

fn member(fields: &Object) -> Result<Member, String> {
    let word = |key: &str| string(fields, key).ok_or_else(|| format!("an instance without '{key}'"));
    let (id, address) = (word("instanceId")?.to_owned(), word("hostPort")?);
    Ok(Member {
        address: address.parse().map_err(|_| format!("{id}: address {address}"))?,
        state: match word("lifecycle")? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            "gone" => WorkerState::Gone,
            other => return Err(format!("{id}: state {other}")),
        },
        started_at: millis(fields, "startedAtMs"),
        zone: string(fields, "zone").unwrap_or_default().to_owned(),
        kind: string(fields, "machineType").unwrap_or_default().to_owned(),
        cell: unsigned(fields, "cell").unwrap_or(0),
        speech: Speech::Frames,
        id,
    })
}
