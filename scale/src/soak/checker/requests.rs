//! One final answer for each request that was taken.
use super::{Rule, Violation, MS, SLACK};
use crate::soak::record::{Answer, At, Event, Record, Signal};
use std::collections::BTreeMap;

/// An answer this long after the client's deadline earns nothing; later it is lost.
const LATEST: At = 500 * MS;
/// After SIGTERM: what comes later than this must be answered before the kill.
const OWED_AFTER_TERM: At = 700 * MS;
/// A request that crosses the end of a connection on which nothing is open within this is sent again.
const CROSSING: At = 50 * MS;

struct Sent {
    at: At,
    front_end: usize,
    connection: u64,
    deadline: At,
    answers: Vec<(At, Answer)>,
    left: Option<At>,
    /// When its connection ended, and how many requests were open there then.
    cut: Option<(At, usize)>,
}

/// The lives of each front end, with their starts.
type Lives = BTreeMap<usize, Vec<(At, Life)>>;

/// A life of a front end's process.
#[derive(Default)]
struct Life {
    term: Option<At>,
    kill: Option<At>,
    ended: Option<At>,
}

pub(super) fn check(records: &[Record], found: &mut Vec<Violation>) {
    let (requests, lives) = gather(records);
    for (request, sent) in &requests {
        judge(*request, sent, &lives, found);
    }
}

fn gather(records: &[Record]) -> (BTreeMap<u64, Sent>, Lives) {
    let mut requests = BTreeMap::new();
    let mut lives = Lives::new();
    for Record { at, event } in records {
        let at = *at;
        match event {
            Event::Started { front_end, .. } => {
                lives.entry(*front_end).or_default().push((at, Life::default()));
            }
            Event::Signalled { front_end, signal } => {
                if let Some((_, life)) = lives.get_mut(front_end).and_then(|l| l.last_mut()) {
                    match signal {
                        Signal::Term => life.term = life.term.or(Some(at)),
                        Signal::Kill => life.kill = Some(at),
                        Signal::Hup => {}
                    }
                }
            }
            Event::Ended { front_end, .. } => {
                if let Some((_, life)) = lives.get_mut(front_end).and_then(|l| l.last_mut()) {
                    life.ended = Some(at);
                }
            }
            Event::Sent { front_end, connection, request, wait, .. } => {
                let sent = Sent {
                    at,
                    front_end: *front_end,
                    connection: *connection,
                    deadline: at + wait,
                    answers: Vec::new(),
                    left: None,
                    cut: None,
                };
                requests.insert(*request, sent);
            }
            Event::Answered { request, answer, .. } => {
                if let Some(sent) = requests.get_mut(request) {
                    sent.answers.push((at, *answer));
                }
            }
            Event::Left { request } => {
                if let Some(sent) = requests.get_mut(request) {
                    sent.left = Some(at);
                }
            }
            Event::ConnectionEnded { connection, open, .. } => {
                for request in open {
                    if let Some(sent) = requests.get_mut(request).filter(|s| s.connection == *connection) {
                        sent.cut = Some((at, open.len()));
                    }
                }
            }
            _ => {}
        }
    }
    (requests, lives)
}

fn judge(request: u64, sent: &Sent, lives: &Lives, found: &mut Vec<Violation>) {
    let mut report = |rule, at, text: String| {
        found.push(Violation { rule, at, request: Some(request), text });
    };
    match sent.answers[..] {
        [(at, answer), ref more @ ..] => {
            if let Some((again, _)) = more.first() {
                report(Rule::Answer, *again, "a second answer".to_owned());
            }
            if answer == Answer::WrongBody {
                report(Rule::Answer, at, "a body that no worker made for it".to_owned());
            }
            if at > sent.deadline + LATEST + SLACK {
                report(Rule::Lost, at, format!("answered {} ms after its time", (at - sent.deadline) / MS));
            }
        }
        [] => {
            let latest = sent.deadline + LATEST + SLACK;
            let gone = sent.left.or(sent.cut.map(|(at, _)| at));
            if let Some(gone) = gone.filter(|gone| *gone > latest) {
                let text = format!("no answer {} ms after its time", (gone - sent.deadline) / MS);
                return report(Rule::Lost, latest, text);
            }
            if sent.left.is_some() {
                return;
            }
            if let Some(why) = lost(sent, lives) {
                report(Rule::Lost, sent.at, why);
            }
        }
    }
}

/// Why a request without an answer is lost, if it is.
fn lost(sent: &Sent, lives: &Lives) -> Option<String> {
    let life = lives.get(&sent.front_end).and_then(|l| l.iter().rev().find(|(from, _)| *from <= sent.at));
    let life = life.map(|(_, life)| life);
    let Some((cut, open)) = sent.cut else { return Some("no answer, and its connection stands".to_owned()) };
    let crossed = open == 1 && cut <= sent.at + CROSSING;
    if crossed {
        return None;
    }
    let Some(life) = life else { return Some("sent to a front end that never was".to_owned()) };
    match (life.term, life.kill) {
        (None, Some(kill)) if kill <= cut + SLACK => None,
        (Some(term), Some(kill)) if kill <= cut + SLACK => (sent.at > term + OWED_AFTER_TERM)
            .then(|| format!("sent {} ms after SIGTERM, killed without an answer", (sent.at - term) / MS)),
        _ if life.ended.is_some_and(|ended| ended <= cut + SLACK) => {
            Some("the front end ended without answering it".to_owned())
        }
        _ => Some(format!("its connection was closed {} ms after it was sent", (cut - sent.at) / MS)),
    }
}
