//! The rules on attempts at workers: no duplicate effects, no overlap, no late attempts, correct budgets.
use super::{RetrySafety, Rule, Rules, Violation, MILLISECOND, TOLERANCE};
use crate::soak::record::{Command, Event, Micros, Record, Reply, Response};
use std::collections::BTreeMap;

/// How long after a cancellation by the client an attempt may still begin.
const CANCELLATION_GRACE: Micros = 100 * MILLISECOND;
/// How much longer than the remaining time the budget stated to a worker may be.
const BUDGET_TOLERANCE: Micros = 150 * MILLISECOND;

/// A call that a worker received.
struct Attempt {
    worker: usize,
    /// The worker connection.
    connection: u64,
    first_byte_at: Micros,
    received_at: Micros,
    budget: Micros,
    ended_at: Option<Micros>,
    /// The worker's reply; `None` if the attempt was cancelled or lost with its connection.
    reply: Option<Reply>,
}

/// A client's request and its attempts.
#[derive(Default)]
struct Request {
    class: usize,
    deadline: Micros,
    cancelled_at: Option<Micros>,
    response: Option<(Micros, Response)>,
    attempts: Vec<Attempt>,
}

pub(super) fn check(records: &[Record], rules: &Rules, violations: &mut Vec<Violation>) {
    for (id, request) in collect_requests(records) {
        let mut report = |rule, at, text: String| {
            violations.push(Violation { rule, at, request: Some(id), text });
        };
        for attempt in &request.attempts {
            check_timing(&request, attempt, &mut report);
        }
        if request.attempts.len() > rules.max_attempts {
            let at = request.attempts.last().map_or(0, |a| a.received_at);
            report(Rule::Attempts, at, format!("{} attempts", request.attempts.len()));
        }
        for pair in request.attempts.windows(2) {
            let (first, second) = (&pair[0], &pair[1]);
            if first.ended_at.is_none_or(|ended_at| second.received_at + TOLERANCE < ended_at) {
                let text = format!(
                    "attempt at worker {} during the attempt at worker {}",
                    second.worker, first.worker
                );
                report(Rule::Overlap, second.received_at, text);
            }
        }
        check_effects(&request, rules, &mut report);
    }
}

fn collect_requests(records: &[Record]) -> BTreeMap<u64, Request> {
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    // Requests with an attempt on a worker connection, by the connection.
    let mut attempted: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for Record { at, event } in records {
        let at = *at;
        match event {
            Event::RequestSent { request, class, timeout, .. } => {
                let entry = requests.entry(*request).or_default();
                (entry.class, entry.deadline) = (*class, at + timeout);
            }
            Event::RequestCancelled { request } => {
                requests.entry(*request).or_default().cancelled_at = Some(at);
            }
            Event::ResponseReceived { request, response, .. } => {
                let entry = requests.entry(*request).or_default();
                entry.response = entry.response.or(Some((at, *response)));
            }
            Event::CommandReceived {
                worker,
                connection,
                first_byte_at,
                command: Command::Call { request, budget_ms },
                ..
            } => {
                requests.entry(*request).or_default().attempts.push(Attempt {
                    worker: *worker,
                    connection: *connection,
                    first_byte_at: *first_byte_at,
                    received_at: at,
                    budget: budget_ms * MILLISECOND,
                    ended_at: None,
                    reply: None,
                });
                attempted.entry(*connection).or_default().push(*request);
            }
            Event::CommandReceived { connection, command: Command::Cancel { request }, .. } => {
                end_attempt(&mut requests, *request, |a| a.connection == *connection, at, None);
            }
            Event::ReplySent { worker, request, reply, .. } => {
                end_attempt(&mut requests, *request, |a| a.worker == *worker, at, Some(*reply));
            }
            Event::WorkerConnectionEnded { connection } => {
                for request in attempted.remove(connection).unwrap_or_default() {
                    end_attempt(&mut requests, request, |a| a.connection == *connection, at, None);
                }
            }
            _ => {}
        }
    }
    requests
}

/// Ends the open attempts of a request that match.
fn end_attempt(
    requests: &mut BTreeMap<u64, Request>, request: u64, matches: impl Fn(&Attempt) -> bool, at: Micros,
    reply: Option<Reply>,
) {
    let attempts = requests.get_mut(&request).map(|r| r.attempts.iter_mut()).into_iter().flatten();
    for attempt in attempts.filter(|a| matches(a) && a.ended_at.is_none()) {
        (attempt.ended_at, attempt.reply) = (Some(at), reply);
    }
}

fn check_timing(request: &Request, attempt: &Attempt, report: &mut impl FnMut(Rule, Micros, String)) {
    let began = attempt.first_byte_at;
    let ms_after = |earlier: Micros| began.saturating_sub(earlier) / MILLISECOND;
    if let Some(cancelled_at) =
        request.cancelled_at.filter(|cancelled_at| began > cancelled_at + CANCELLATION_GRACE + TOLERANCE)
    {
        let text = format!("attempt began {} ms after the client cancelled", ms_after(cancelled_at));
        report(Rule::LateAttempt, began, text);
    }
    if let Some((at, _)) = request.response.filter(|(at, _)| began > at + TOLERANCE) {
        report(Rule::LateAttempt, began, format!("attempt began {} ms after the response", ms_after(at)));
    }
    let remaining = request.deadline.saturating_sub(began);
    if request.deadline > 0 && attempt.budget > remaining + BUDGET_TOLERANCE {
        let text = format!(
            "the worker was given a budget of {} ms with {} ms remaining",
            attempt.budget / MILLISECOND,
            remaining / MILLISECOND
        );
        report(Rule::Budget, began, text);
    }
}

/// Checks that a call that must not run twice does not, and that none is refused (reported to have had no
/// effect) that may have run.
fn check_effects(request: &Request, rules: &Rules, report: &mut impl FnMut(Rule, Micros, String)) {
    let Some(retry_safety) = rules.retry_safety.get(request.class) else { return };
    let may_have_run = |a: &&Attempt| a.reply != Some(Reply::Rejected);
    let Some(first) = request.attempts.iter().find(may_have_run) else { return };
    let retries = request.attempts.iter().filter(|a| a.received_at > first.received_at);
    match retry_safety {
        RetrySafety::Safe => {}
        RetrySafety::Deduplicated { window } => {
            let window_end = first.received_at + window + TOLERANCE;
            for retry in retries.filter(|a| a.first_byte_at > window_end) {
                let text = "retried after its deduplication window".to_owned();
                report(Rule::Duplicate, retry.first_byte_at, text);
            }
        }
        RetrySafety::Unsafe => {
            for retry in retries {
                let text = format!(
                    "retried at worker {} after it may have run at worker {}",
                    retry.worker, first.worker
                );
                report(Rule::Duplicate, retry.first_byte_at, text);
            }
            if let Some((at, Response::Refused)) = request.response {
                report(Rule::Duplicate, at, "refused although it may have run".to_owned());
            }
        }
    }
}
