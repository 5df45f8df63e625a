//! The rules on front-end processes: they do not crash, become ready in time, stay within their limits and
//! answer or close the connections of bad clients.
use super::{Rule, Rules, Violation, MILLISECOND};
use crate::soak::record::{Event, Micros, Record, Signal};
use std::collections::BTreeMap;

/// Time in which a started front end must become ready.
const READY_TIMEOUT: Micros = 10_000 * MILLISECOND;
/// Time in which a bad client must receive some bytes or a close.
const BAD_CLIENT_TIMEOUT: Micros = 3_000 * MILLISECOND;
/// Tolerance for the time in which the stand-in client notices the bytes or the close.
const DETECTION_TOLERANCE: Micros = 250 * MILLISECOND;

#[derive(Default)]
struct Process {
    started_at: Micros,
    ready: bool,
    /// Whether a signal that ends it was sent.
    terminated: bool,
}

pub(super) fn check(records: &[Record], rules: &Rules, violations: &mut Vec<Violation>) {
    let end = records.last().map_or(0, |r| r.at);
    let mut processes: BTreeMap<usize, Process> = BTreeMap::new();
    let mut bad_clients: BTreeMap<u64, (Micros, usize)> = BTreeMap::new();
    let mut report = |rule, at, text: String| violations.push(Violation { rule, at, request: None, text });
    for Record { at, event } in records {
        let at = *at;
        match event {
            Event::FrontEndStarted { front_end, .. } => {
                processes.insert(*front_end, Process { started_at: at, ..Process::default() });
            }
            Event::FrontEndReady { front_end } => {
                let process = processes.entry(*front_end).or_default();
                process.ready = true;
                let time_to_ready = at - process.started_at;
                if time_to_ready > READY_TIMEOUT {
                    report(
                        Rule::Ready,
                        at,
                        format!(
                            "front end {front_end} became ready after {} ms",
                            time_to_ready / MILLISECOND
                        ),
                    );
                }
            }
            Event::SignalSent { front_end, signal: Signal::Term | Signal::Kill } => {
                processes.entry(*front_end).or_default().terminated = true;
            }
            Event::FrontEndExited { front_end, exit_status, .. }
                if !processes.entry(*front_end).or_default().terminated =>
            {
                report(
                    Rule::Crash,
                    at,
                    format!("front end {front_end} exited without a signal: {exit_status}"),
                );
            }
            Event::ResourceUsage { front_end, descriptors, memory_mb } => {
                if *descriptors > rules.max_descriptors {
                    report(Rule::Limits, at, format!("front end {front_end} uses {descriptors} descriptors"));
                }
                if *memory_mb > rules.max_memory_mb {
                    report(Rule::Limits, at, format!("front end {front_end} uses {memory_mb:.1} MB"));
                }
            }
            Event::BadClientConnected { front_end, client } => {
                bad_clients.insert(*client, (at, *front_end));
            }
            Event::BadClientAnswered { client } => {
                let connected_at = bad_clients.remove(client).map_or(at, |(connected_at, _)| connected_at);
                if at > connected_at + BAD_CLIENT_TIMEOUT + DETECTION_TOLERANCE {
                    report(
                        Rule::BadClient,
                        at,
                        format!("first bytes or close after {} ms", (at - connected_at) / MILLISECOND),
                    );
                }
            }
            _ => {}
        }
    }
    let unanswered = bad_clients
        .into_values()
        .filter(|(connected_at, _)| end > connected_at + BAD_CLIENT_TIMEOUT + DETECTION_TOLERANCE);
    for (connected_at, front_end) in unanswered {
        report(Rule::BadClient, connected_at, format!("no bytes or close from front end {front_end}"));
    }
    for (front_end, process) in &processes {
        if !process.ready && !process.terminated && end > process.started_at + READY_TIMEOUT {
            report(Rule::Ready, process.started_at, format!("front end {front_end} never became ready"));
        }
    }
}
