//! Attempts at workers: no effect twice, none together, none late, and the time that they tell.
use super::{Effect, Rule, Rules, Violation, MS, SLACK};
use crate::soak::record::{Answer, At, Command, Event, Record, Reply};
use std::collections::BTreeMap;

/// An attempt that begins so long after its client has left is a break.
const AFTER_LEAVING: At = 100 * MS;
/// A worker may be told of so much more time than is left.
const BUDGET_SLACK: At = 150 * MS;

struct Attempt {
    worker: usize,
    link: u64,
    began: At,
    arrived: At,
    budget: At,
    ended: Option<At>,
    reply: Option<Reply>,
}

#[derive(Default)]
struct Request {
    class: usize,
    deadline: At,
    left: Option<At>,
    answered: Option<(At, Answer)>,
    attempts: Vec<Attempt>,
}

pub(super) fn check(records: &[Record], rules: &Rules, found: &mut Vec<Violation>) {
    for (id, request) in gather(records) {
        let mut report = |rule, at, text: String| {
            found.push(Violation { rule, at, request: Some(id), text });
        };
        for attempt in &request.attempts {
            timing(&request, attempt, &mut report);
        }
        if request.attempts.len() > rules.max_attempts {
            let at = request.attempts.last().map_or(0, |a| a.arrived);
            report(Rule::Attempts, at, format!("{} attempts", request.attempts.len()));
        }
        for pair in request.attempts.windows(2) {
            let (first, second) = (&pair[0], &pair[1]);
            if first.ended.is_none_or(|ended| second.arrived + SLACK < ended) {
                let text = format!("at worker {} while one is out at worker {}", second.worker, first.worker);
                report(Rule::Overlap, second.arrived, text);
            }
        }
        effects(&request, rules, &mut report);
    }
}

fn gather(records: &[Record]) -> BTreeMap<u64, Request> {
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    // Requests with an attempt that is out, by the connection it is out on.
    let mut out: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for Record { at, event } in records {
        let at = *at;
        match event {
            Event::Sent { request, class, wait, .. } => {
                let told = requests.entry(*request).or_default();
                (told.class, told.deadline) = (*class, at + wait);
            }
            Event::Left { request } => requests.entry(*request).or_default().left = Some(at),
            Event::Answered { request, answer, .. } => {
                let request = requests.entry(*request).or_default();
                request.answered = request.answered.or(Some((at, *answer)));
            }
            Event::Received {
                worker, link, began, command: Command::Call { request, budget_ms }, ..
            } => {
                requests.entry(*request).or_default().attempts.push(Attempt {
                    worker: *worker,
                    link: *link,
                    began: *began,
                    arrived: at,
                    budget: budget_ms * MS,
                    ended: None,
                    reply: None,
                });
                out.entry(*link).or_default().push(*request);
            }
            Event::Received { link, command: Command::GiveUp { request }, .. } => {
                end(&mut requests, *request, |a| a.link == *link, at, None);
            }
            Event::Replied { worker, request, reply, .. } => {
                end(&mut requests, *request, |a| a.worker == *worker, at, Some(*reply));
            }
            Event::LinkEnded { link } => {
                for request in out.remove(link).unwrap_or_default() {
                    end(&mut requests, request, |a| a.link == *link, at, None);
                }
            }
            _ => {}
        }
    }
    requests
}

/// Ends the open attempt of a request that fits.
fn end(
    requests: &mut BTreeMap<u64, Request>, request: u64, fits: impl Fn(&Attempt) -> bool, at: At,
    reply: Option<Reply>,
) {
    let attempts = requests.get_mut(&request).map(|r| r.attempts.iter_mut()).into_iter().flatten();
    for attempt in attempts.filter(|a| fits(a) && a.ended.is_none()) {
        (attempt.ended, attempt.reply) = (Some(at), reply);
    }
}

fn timing(request: &Request, attempt: &Attempt, report: &mut impl FnMut(Rule, At, String)) {
    let late = |since: At| attempt.began.saturating_sub(since) / MS;
    if let Some(left) = request.left.filter(|left| attempt.began > left + AFTER_LEAVING + SLACK) {
        report(Rule::LateAttempt, attempt.began, format!("{} ms after its client left", late(left)));
    }
    if let Some((at, _)) = request.answered.filter(|(at, _)| attempt.began > at + SLACK) {
        report(Rule::LateAttempt, attempt.began, format!("{} ms after its answer", late(at)));
    }
    let left = request.deadline.saturating_sub(attempt.began);
    if request.deadline > 0 && attempt.budget > left + BUDGET_SLACK {
        let text = format!("{} ms are told where {} are left", attempt.budget / MS, left / MS);
        report(Rule::Budget, attempt.began, text);
    }
}

/// No effect twice, and no promise of no effect where there may have been one.
fn effects(request: &Request, rules: &Rules, report: &mut impl FnMut(Rule, At, String)) {
    let Some(effect) = rules.classes.get(request.class) else { return };
    let may_have_run = |a: &&Attempt| a.reply != Some(Reply::TurnedAway);
    let Some(first) = request.attempts.iter().find(may_have_run) else { return };
    let later = request.attempts.iter().filter(|a| a.arrived > first.arrived);
    match effect {
        Effect::Safe => {}
        Effect::Keyed { window } => {
            for again in later.filter(|a| a.began > first.arrived + window + SLACK) {
                report(Rule::Duplicate, again.began, "repeated after its key is forgotten".to_owned());
            }
        }
        Effect::Unsafe => {
            for again in later {
                let text = format!("at worker {} after it may have run at {}", again.worker, first.worker);
                report(Rule::Duplicate, again.began, text);
            }
            if let Some((at, Answer::Refused)) = request.answered {
                report(Rule::Duplicate, at, "refused, though it may have run".to_owned());
            }
        }
    }
}
