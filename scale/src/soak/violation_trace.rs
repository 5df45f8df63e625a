//! Formats a rule violation with the records that lead up to it, one line each.
use super::checker::Violation;
use super::record::{Command, Event, Micros, Record};
use std::fmt::Write;

/// For a violation that concerns no single request: how long before it the shown records begin.
const CONTEXT_BEFORE: Micros = 1_500_000;
/// For a violation that concerns a request: how long before it the shown faults begin.
const FAULT_CONTEXT_BEFORE: Micros = 8_000_000;
const MAX_TRACE_LINES: usize = 60;

/// Formats a violation and the related records, oldest first.
pub fn violation_trace(records: &[Record], violation: &Violation) -> String {
    let mut text = format!("rule {}: {:.3} {}\n", violation.rule, seconds(violation.at), violation.text);
    let is_related = |record: &&Record| match violation.request {
        Some(request) => {
            request_of(&record.event) == Some(request)
                || is_recent_fault(&record.event, record.at, violation.at)
        }
        None => {
            record.at + CONTEXT_BEFORE > violation.at
                && record.at <= violation.at
                && !is_traffic(&record.event)
        }
    };
    for record in records.iter().filter(is_related).take(MAX_TRACE_LINES) {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "  {:.3} {:?}", seconds(record.at), record.event);
    }
    text
}

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// The request that an event concerns.
fn request_of(event: &Event) -> Option<u64> {
    match event {
        Event::RequestSent { request, .. }
        | Event::ResponseReceived { request, .. }
        | Event::RequestCancelled { request }
        | Event::ReplySent { request, .. }
        | Event::CommandReceived {
            command: Command::Call { request, .. } | Command::Cancel { request },
            ..
        } => Some(*request),
        _ => None,
    }
}

fn is_traffic(event: &Event) -> bool {
    request_of(event).is_some()
        || matches!(event, Event::CommandReceived { .. } | Event::WorkerConnectionEnded { .. })
}

fn is_recent_fault(event: &Event, at: Micros, violation_at: Micros) -> bool {
    let is_fault = matches!(
        event,
        Event::FaultBegan { .. }
            | Event::SignalSent { .. }
            | Event::FrontEndExited { .. }
            | Event::OutageBegan { .. }
            | Event::OutageEnded { .. }
            | Event::WorkerListChanged { .. }
    );
    is_fault && at <= violation_at && at + FAULT_CONTEXT_BEFORE > violation_at
}
