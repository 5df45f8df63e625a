//! A worker that has just started gets no more, from all front ends together, than it can do.
use super::discovery::Told;
use super::{Rule, Rules, Violation, SLACK};
use crate::soak::record::{At, Command, Event, Listing, Record};
use std::collections::BTreeMap;

/// The rule is broken if more than this part came from front ends that had been told of the start.
const TOLD_PART: f64 = 2.0 / 3.0;
/// Under so many calls chance weighs more.
const FEW: f64 = 30.0;
/// Parts of a window by which the capacity is summed up.
const STEPS: u64 = 32;

/// A process that started late, and the calls that it got.
#[derive(Default)]
struct Process {
    started: At,
    listed: Option<(u64, At)>,
    calls: Vec<(At, usize)>,
}

pub(super) fn check(records: &[Record], rules: &Rules, told: &Told, found: &mut Vec<Violation>) {
    for ((worker, _), process) in gather(records) {
        let Some((version, listed)) = process.listed else { continue };
        let knew = |call: &(At, usize)| call.0 + SLACK >= told.at(call.1, version, listed);
        for (n, &(at, _)) in process.calls.iter().enumerate() {
            if at > process.started + rules.warm_within {
                break;
            }
            let from = at.saturating_sub(rules.fall_span).max(process.started);
            let first = process.calls.partition_point(|call| call.0 < from);
            let window = &process.calls[first..=n];
            let most = bound(allowed(process.started, from, at, rules));
            let by_told = window.iter().filter(|call| knew(call)).count() as f64;
            if window.len() as f64 > most && by_told > TOLD_PART * window.len() as f64 {
                let text = format!(
                    "worker {worker} got {} calls, {by_told} of them by told front ends, where {most:.1} are allowed; it started at {:.3} s",
                    window.len(),
                    process.started as f64 / 1e6
                );
                found.push(Violation { rule: Rule::SlowStart, at, request: None, text });
                break;
            }
        }
    }
}

fn gather(records: &[Record]) -> BTreeMap<(usize, u32), Process> {
    let mut processes: BTreeMap<(usize, u32), Process> = BTreeMap::new();
    for Record { at, event } in records {
        match event {
            Event::WorkerStarted { worker, process } => {
                processes.insert((*worker, *process), Process { started: *at, ..Process::default() });
            }
            Event::Listed { version, worker, process, state: Listing::Ready, late_start: true } => {
                if let Some(known) = processes.get_mut(&(*worker, *process)) {
                    known.listed = known.listed.or(Some((*version, *at)));
                }
            }
            Event::Received { worker, process, front_end, command: Command::Call { .. }, .. } => {
                if let Some(known) = processes.get_mut(&(*worker, *process)) {
                    known.calls.push((*at, *front_end));
                }
            }
            _ => {}
        }
    }
    processes
}

/// Calls that a process may get between two times: the multiple of what it can do then.
fn allowed(started: At, from: At, to: At, rules: &Rules) -> f64 {
    // The rule's budget is that of a whole span, also where the process has not run for so long.
    let from = from.min(to.saturating_sub(rules.fall_span));
    let step = (to - from) as f64 / STEPS as f64;
    let share = |at: f64| {
        let age = (at - started as f64).max(0.0) / rules.warm_within as f64;
        (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
    };
    let sum: f64 = (0..STEPS).map(|n| share(from as f64 + (n as f64 + 0.5) * step)).sum();
    sum * step / 1e6 * rules.fall_multiple * rules.capacity_per_s
}

/// The budget with what chance may add to it.
pub(super) fn bound(calls: f64) -> f64 {
    if calls < FEW {
        calls + 3.0 * calls.sqrt() + 3.0
    } else {
        calls + 2.0 * calls.sqrt() + 2.0
    }
}
