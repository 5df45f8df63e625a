//! The story of a broken rule, in lines of time and event.
use super::checker::Violation;
use super::record::{At, Command, Event, Record};
use std::fmt::Write;

/// Events round a broken rule that is about no single request.
const ROUND: At = 1_500_000;
const MOST_LINES: usize = 60;

/// What the record holds of a broken rule.
pub fn story(records: &[Record], violation: &Violation) -> String {
    let mut text = format!("rule {}: {:.3} {}\n", violation.rule, seconds(violation.at), violation.text);
    let near = |record: &&Record| match violation.request {
        Some(request) => {
            about(&record.event) == Some(request) || is_fault(&record.event, record.at, violation.at)
        }
        None => record.at + ROUND > violation.at && record.at <= violation.at && !is_call(&record.event),
    };
    for record in records.iter().filter(near).take(MOST_LINES) {
        let _ = writeln!(text, "  {:.3} {:?}", seconds(record.at), record.event);
        // writing to a text cannot fail
    }
    text
}

fn seconds(at: At) -> f64 {
    at as f64 / 1e6
}

/// The request that an event is about.
fn about(event: &Event) -> Option<u64> {
    match event {
        Event::Sent { request, .. }
        | Event::Answered { request, .. }
        | Event::Left { request }
        | Event::Replied { request, .. }
        | Event::Received { command: Command::Call { request, .. } | Command::GiveUp { request }, .. } => {
            Some(*request)
        }
        _ => None,
    }
}

fn is_call(event: &Event) -> bool {
    about(event).is_some() || matches!(event, Event::Received { .. } | Event::LinkEnded { .. })
}

fn is_fault(event: &Event, at: At, of: At) -> bool {
    const BEFORE: At = 8_000_000;
    let fault = matches!(
        event,
        Event::Fault { .. }
            | Event::Signalled { .. }
            | Event::Ended { .. }
            | Event::OutageBegan { .. }
            | Event::OutageEnded { .. }
            | Event::Listed { .. }
    );
    fault && at <= of && at + BEFORE > of
}
