//! The rule that a newly started worker gets no more calls, from all front ends together, than it can serve.
use super::discovery::Notifications;
use super::{Rule, Rules, Violation, TOLERANCE};
use crate::soak::record::{Command, Event, Micros, Record, WorkerState};
use std::collections::BTreeMap;

/// The rule is violated only if more than this share of the calls came from front ends notified of the start.
const MIN_NOTIFIED_SHARE: f64 = 2.0 / 3.0;
/// Below this number of calls chance has more weight, and the margin for it is wider.
const FEW_CALLS: f64 = 30.0;
/// Steps of the numerical integration of the capacity over a window.
const INTEGRATION_STEPS: u64 = 32;

/// A worker process that started during the run, and the calls that it received.
#[derive(Default)]
struct Process {
    started_at: Micros,
    /// The version that listed it, and when that was published.
    listed: Option<(u64, Micros)>,
    /// Times of the calls and the front ends that sent them.
    calls: Vec<(Micros, usize)>,
}

pub(super) fn check(
    records: &[Record], rules: &Rules, notifications: &Notifications, violations: &mut Vec<Violation>,
) {
    for ((worker, _), process) in collect_processes(records) {
        let Some((version, published_at)) = process.listed else { continue };
        let was_notified = |&&(at, front_end): &&(Micros, usize)| {
            at + TOLERANCE >= notifications.notified_at(front_end, version, published_at)
        };
        for (n, &(at, _)) in process.calls.iter().enumerate() {
            if at > process.started_at + rules.warm_up_time {
                break;
            }
            let from = at.saturating_sub(rules.overload_window).max(process.started_at);
            let first = process.calls.partition_point(|call| call.0 < from);
            let window = &process.calls[first..=n];
            let max_calls = bound(allowed_calls(process.started_at, from, at, rules));
            let by_notified = window.iter().filter(was_notified).count() as f64;
            if window.len() as f64 > max_calls && by_notified > MIN_NOTIFIED_SHARE * window.len() as f64 {
                let text = format!(
                    "worker {worker} received {} calls, {by_notified} of them from notified front ends; {max_calls:.1} are allowed; it started at {:.3} s",
                    window.len(),
                    process.started_at as f64 / 1e6
                );
                violations.push(Violation { rule: Rule::SlowStart, at, request: None, text });
                break;
            }
        }
    }
}

fn collect_processes(records: &[Record]) -> BTreeMap<(usize, u32), Process> {
    let mut processes: BTreeMap<(usize, u32), Process> = BTreeMap::new();
    for Record { at, event } in records {
        match event {
            Event::WorkerStarted { worker, process } => {
                processes.insert((*worker, *process), Process { started_at: *at, ..Process::default() });
            }
            Event::WorkerListChanged {
                version,
                worker,
                process,
                state: WorkerState::Ready,
                has_start_time: true,
            } => {
                if let Some(started) = processes.get_mut(&(*worker, *process)) {
                    started.listed = started.listed.or(Some((*version, *at)));
                }
            }
            Event::CommandReceived { worker, process, front_end, command: Command::Call { .. }, .. } => {
                if let Some(started) = processes.get_mut(&(*worker, *process)) {
                    started.calls.push((*at, *front_end));
                }
            }
            _ => {}
        }
    }
    processes
}

/// Calls that a process may receive in a window: the overload multiple of its capacity, integrated over the
/// window.
fn allowed_calls(started_at: Micros, from: Micros, to: Micros, rules: &Rules) -> f64 {
    // The budget is that of a whole window, also where the process has not run for that long.
    let from = from.min(to.saturating_sub(rules.overload_window));
    let step = (to - from) as f64 / INTEGRATION_STEPS as f64;
    let capacity_share = |at: f64| {
        let age = (at - started_at as f64).max(0.0) / rules.warm_up_time as f64;
        (rules.cold_capacity + (1.0 - rules.cold_capacity) * age).min(1.0)
    };
    let sum: f64 =
        (0..INTEGRATION_STEPS).map(|n| capacity_share(from as f64 + (n as f64 + 0.5) * step)).sum();
    sum * step / 1e6 * rules.overload_multiple * rules.capacity_per_s
}

/// The allowed number of calls with a margin of some standard deviations for chance.
pub(super) fn bound(calls: f64) -> f64 {
    if calls < FEW_CALLS {
        calls + 3.0 * calls.sqrt() + 3.0
    } else {
        calls + 2.0 * calls.sqrt() + 2.0
    }
}
