//! Judges a record by the published rules, from what the record holds alone.
mod attempts;
mod discovery;
mod processes;
mod requests;
mod slow_start;

use super::record::{Micros, Record};
use serde::Serialize;
use std::fmt;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
/// Added to every time limit of the rules, for delays on sockets.
pub(crate) const TOLERANCE: Micros = 50 * MILLISECOND;

/// Whether a call of a class may be retried after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Safe,
    /// All workers drop duplicates for a while after the first run.
    Deduplicated {
        /// How long duplicates are dropped.
        window: Micros,
    },
    /// It must never run twice.
    Unsafe,
}

/// The parameters of the rules, as the settings of the front ends state them.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Retry safety of each class, by the class's index.
    pub retry_safety: Vec<RetrySafety>,
    /// How long after the notification of a drain a front end may still send to the worker.
    pub drain_grace: Micros,
    /// Highest number of attempts of a request.
    pub max_attempts: usize,
    /// A worker that warms up is overloaded if it gets more calls than this multiple of what it can serve in the
    /// same time.
    pub overload_multiple: f64,
    /// The time over which its calls are counted for that.
    pub overload_window: Micros,
    /// Share of its capacity that a worker has when it starts.
    pub cold_capacity: f64,
    /// Time after which a worker has its full capacity; the share grows linearly until then.
    pub warm_up_time: Micros,
    /// Calls of mean execution time that a warm worker serves a second.
    pub capacity_per_s: f64,
    /// Highest number of file descriptors of a front end.
    pub max_descriptors: u64,
    /// Highest resident memory of a front end, in MB.
    pub max_memory_mb: f64,
}

/// The rules, by their published names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each accepted request gets a final response in time.
    Lost,
    /// A request gets one final response, and one with status 200 has the body that a worker produced for the
    /// request.
    Answer,
    /// A call that must not run twice does not.
    Duplicate,
    /// Attempts of a request do not overlap.
    Overlap,
    /// A draining worker gets no new calls and no load commands.
    Drain,
    /// A starting worker is not overloaded.
    SlowStart,
    /// No attempt begins after the client has cancelled the request or received a response.
    LateAttempt,
    /// The budget stated to a worker is no longer than the remaining time.
    Budget,
    /// A request has no more attempts than allowed.
    Attempts,
    /// A front end does not exit without a signal.
    Crash,
    /// A front end becomes ready in time.
    Ready,
    /// A front end stays within its limits of descriptors and memory.
    Limits,
    /// A client that sends nothing, or no valid request, gets some bytes or a close in time.
    BadClient,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "lost",
            Rule::Answer => "answer",
            Rule::Duplicate => "duplicate",
            Rule::Overlap => "overlap",
            Rule::Drain => "drain",
            Rule::SlowStart => "slow start",
            Rule::LateAttempt => "late attempt",
            Rule::Budget => "budget",
            Rule::Attempts => "attempts",
            Rule::Crash => "crash",
            Rule::Ready => "ready",
            Rule::Limits => "limits",
            Rule::BadClient => "bad client",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: Micros,
    /// The request that it concerns, if it concerns a single one.
    pub request: Option<u64>,
    /// What happened, with figures.
    pub text: String,
}

/// All violations in a record, sorted by time.
pub fn check(records: &[Record], rules: &Rules) -> Vec<Violation> {
    let mut violations = Vec::new();
    requests::check(records, &mut violations);
    attempts::check(records, rules, &mut violations);
    let notifications = discovery::Notifications::from_records(records);
    discovery::check(records, rules, &notifications, &mut violations);
    slow_start::check(records, rules, &notifications, &mut violations);
    processes::check(records, rules, &mut violations);
    violations.sort_by_key(|violation| (violation.at, violation.rule));
    violations
}
