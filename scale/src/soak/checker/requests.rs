//! The rule that each accepted request gets one final response in time.
use super::{Rule, Violation, MILLISECOND, TOLERANCE};
use crate::soak::record::{Event, Micros, Record, Response, Signal};
use std::collections::BTreeMap;

/// How long after the client's deadline a response may still come; afterwards the request is lost.
const MAX_RESPONSE_DELAY: Micros = 500 * MILLISECOND;
/// A request that comes later than this after SIGTERM must get a response before SIGKILL.
const RESPONSE_DUE_AFTER_TERM: Micros = 700 * MILLISECOND;
/// A request sent within this time before its connection is closed may cross the close if it is the only one
/// open; the client then sends it again.
const CROSSING_TIME: Micros = 50 * MILLISECOND;

/// A request that a client sent.
struct SentRequest {
    at: Micros,
    front_end: usize,
    connection: u64,
    deadline: Micros,
    responses: Vec<(Micros, Response)>,
    cancelled_at: Option<Micros>,
    /// When its connection was closed, and how many requests were open on it then.
    connection_closed: Option<(Micros, usize)>,
}

/// The processes of each front end with the times at which they started.
type Processes = BTreeMap<usize, Vec<(Micros, Process)>>;

/// When a front-end process was signalled and when it exited.
#[derive(Default)]
struct Process {
    terminated_at: Option<Micros>,
    killed_at: Option<Micros>,
    exited_at: Option<Micros>,
}

pub(super) fn check(records: &[Record], violations: &mut Vec<Violation>) {
    let (requests, processes) = collect(records);
    for (id, request) in &requests {
        check_request(*id, request, &processes, violations);
    }
}

fn collect(records: &[Record]) -> (BTreeMap<u64, SentRequest>, Processes) {
    let mut requests = BTreeMap::new();
    let mut processes = Processes::new();
    for Record { at, event } in records {
        let at = *at;
        match event {
            Event::FrontEndStarted { front_end, .. } => {
                processes.entry(*front_end).or_default().push((at, Process::default()));
            }
            Event::SignalSent { front_end, signal } => {
                if let Some((_, process)) = processes.get_mut(front_end).and_then(|p| p.last_mut()) {
                    match signal {
                        Signal::Term => process.terminated_at = process.terminated_at.or(Some(at)),
                        Signal::Kill => process.killed_at = Some(at),
                        Signal::Hup => {}
                    }
                }
            }
            Event::FrontEndExited { front_end, .. } => {
                if let Some((_, process)) = processes.get_mut(front_end).and_then(|p| p.last_mut()) {
                    process.exited_at = Some(at);
                }
            }
            Event::RequestSent { front_end, connection, request, timeout, .. } => {
                let sent = SentRequest {
                    at,
                    front_end: *front_end,
                    connection: *connection,
                    deadline: at + timeout,
                    responses: Vec::new(),
                    cancelled_at: None,
                    connection_closed: None,
                };
                requests.insert(*request, sent);
            }
            Event::ResponseReceived { request, response, .. } => {
                if let Some(sent) = requests.get_mut(request) {
                    sent.responses.push((at, *response));
                }
            }
            Event::RequestCancelled { request } => {
                if let Some(sent) = requests.get_mut(request) {
                    sent.cancelled_at = Some(at);
                }
            }
            Event::ClientConnectionEnded { connection, pending, .. } => {
                for request in pending {
                    if let Some(sent) = requests.get_mut(request).filter(|s| s.connection == *connection) {
                        sent.connection_closed = Some((at, pending.len()));
                    }
                }
            }
            _ => {}
        }
    }
    (requests, processes)
}

fn check_request(id: u64, request: &SentRequest, processes: &Processes, violations: &mut Vec<Violation>) {
    let mut report = |rule, at, text: String| {
        violations.push(Violation { rule, at, request: Some(id), text });
    };
    let latest = request.deadline + MAX_RESPONSE_DELAY + TOLERANCE;
    match request.responses[..] {
        [(at, response), ref more @ ..] => {
            if let Some((second_at, _)) = more.first() {
                report(Rule::Answer, *second_at, "a second response".to_owned());
            }
            if response == Response::WrongBody {
                report(Rule::Answer, at, "a body that no worker produced for the request".to_owned());
            }
            if at > latest {
                let late_ms = (at - request.deadline) / MILLISECOND;
                report(Rule::Lost, at, format!("response {late_ms} ms after the deadline"));
            }
        }
        [] => {
            let abandoned_at = request.cancelled_at.or(request.connection_closed.map(|(at, _)| at));
            if let Some(abandoned_at) = abandoned_at.filter(|abandoned_at| *abandoned_at > latest) {
                let late_ms = (abandoned_at - request.deadline) / MILLISECOND;
                return report(Rule::Lost, latest, format!("no response {late_ms} ms after the deadline"));
            }
            if request.cancelled_at.is_some() {
                return;
            }
            if let Some(reason) = loss_reason(request, processes) {
                report(Rule::Lost, request.at, reason);
            }
        }
    }
}

/// Why a request without a response counts as lost; `None` if it does not.
fn loss_reason(request: &SentRequest, processes: &Processes) -> Option<String> {
    let process = processes
        .get(&request.front_end)
        .and_then(|p| p.iter().rev().find(|(started_at, _)| *started_at <= request.at))
        .map(|(_, process)| process);
    let Some((closed_at, open_requests)) = request.connection_closed else {
        return Some("no response, and its connection is still open".to_owned());
    };
    let crossed = open_requests == 1 && closed_at <= request.at + CROSSING_TIME;
    if crossed {
        return None;
    }
    let Some(process) = process else {
        return Some("sent to a front end that was never started".to_owned());
    };
    match (process.terminated_at, process.killed_at) {
        (None, Some(killed_at)) if killed_at <= closed_at + TOLERANCE => None,
        (Some(terminated_at), Some(killed_at)) if killed_at <= closed_at + TOLERANCE => {
            (request.at > terminated_at + RESPONSE_DUE_AFTER_TERM).then(|| {
                let ms_after_term = (request.at - terminated_at) / MILLISECOND;
                format!("sent {ms_after_term} ms after SIGTERM, no response before SIGKILL")
            })
        }
        _ if process.exited_at.is_some_and(|exited_at| exited_at <= closed_at + TOLERANCE) => {
            Some("the front end exited without a response".to_owned())
        }
        _ => {
            let open_ms = (closed_at - request.at) / MILLISECOND;
            Some(format!("its connection was closed {open_ms} ms after the request was sent"))
        }
    }
}
