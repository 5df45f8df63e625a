//! When each front end counts as notified of a worker list change, and the rule on draining workers.
use super::{Rule, Rules, Violation, MILLISECOND, TOLERANCE};
use crate::soak::record::{Command, Event, Micros, Outage, Record, Signal, WorkerState};
use std::collections::BTreeMap;

/// Time from the break of a discovery connection to when the front end counts as notified of changes.
const NOTIFIED_AFTER_BREAK: Micros = 2_000 * MILLISECOND;
/// The same when the discovery server has gone silent, or when SIGHUP has announced a new address.
const NOTIFIED_AFTER_SILENCE: Micros = 4_000 * MILLISECOND;

/// A time in which a front end may not receive worker list changes.
struct Gap {
    from: Micros,
    /// `Micros::MAX` while the gap is open.
    to: Micros,
    /// Time from the gap's start to when the front end counts as notified.
    notified_after: Micros,
}

/// When each front end counts as notified of each version of the worker list.
pub(super) struct Notifications {
    gaps: BTreeMap<usize, Vec<Gap>>,
    /// For each front end, when it received, started with or requested the worker list, and the version that it
    /// has from then on.
    received: BTreeMap<usize, Vec<(Micros, u64)>>,
}

impl Notifications {
    pub(super) fn from_records(records: &[Record]) -> Notifications {
        let mut notifications = Notifications { gaps: BTreeMap::new(), received: BTreeMap::new() };
        let mut current_version = 0;
        for Record { at, event } in records {
            let at = *at;
            match event {
                Event::WorkerListChanged { version, .. } => current_version = *version,
                Event::FrontEndStarted { front_end, version } => {
                    notifications.received.entry(*front_end).or_default().push((at, *version));
                }
                Event::DiscoverySent { front_end, version } => {
                    notifications.received.entry(*front_end).or_default().push((at, *version));
                }
                Event::DiscoveryRequested { front_end } => {
                    notifications.close_silent_gaps(*front_end, at);
                    notifications.received.entry(*front_end).or_default().push((at, current_version));
                }
                Event::OutageBegan { front_end, outage } => {
                    let notified_after = match outage {
                        Outage::Refused | Outage::MidEvent => NOTIFIED_AFTER_BREAK,
                        Outage::Silent | Outage::Hanging => NOTIFIED_AFTER_SILENCE,
                    };
                    notifications.open_gap(*front_end, at, notified_after);
                }
                Event::OutageEnded { front_end } => notifications.close_gaps(*front_end, at),
                Event::SignalSent { front_end, signal: Signal::Hup } => {
                    notifications.open_gap(*front_end, at, NOTIFIED_AFTER_SILENCE);
                }
                _ => {}
            }
        }
        notifications
    }

    fn open_gap(&mut self, front_end: usize, from: Micros, notified_after: Micros) {
        self.gaps.entry(front_end).or_default().push(Gap { from, to: Micros::MAX, notified_after });
    }

    fn close_gaps(&mut self, front_end: usize, at: Micros) {
        let gaps = self.gaps.entry(front_end).or_default().iter_mut();
        for gap in gaps.filter(|gap| gap.to == Micros::MAX) {
            gap.to = at;
        }
    }

    /// Closes the gaps that a new address or a silent server opened: a front end that sends a request has
    /// reconnected.
    fn close_silent_gaps(&mut self, front_end: usize, at: Micros) {
        let open = self.gaps.entry(front_end).or_default().iter_mut().filter(|gap| gap.to == Micros::MAX);
        open.filter(|gap| gap.notified_after == NOTIFIED_AFTER_SILENCE).for_each(|gap| gap.to = at);
    }

    /// When a front end counts as notified of a version that was published at `published_at`: at once, or if a
    /// gap was open then, when it received the version, but no later than `notified_after` the gap's start.
    pub(super) fn notified_at(&self, front_end: usize, version: u64, published_at: Micros) -> Micros {
        let gaps = self.gaps.get(&front_end).map_or(&[][..], Vec::as_slice);
        let open_gaps = gaps.iter().filter(|gap| gap.from <= published_at && published_at < gap.to);
        let latest = open_gaps.map(|gap| gap.from + gap.notified_after).fold(published_at, Micros::max);
        let received = self.received.get(&front_end).map_or(&[][..], Vec::as_slice);
        let first = received
            .iter()
            .find(|(at, received)| *at >= published_at && *received >= version)
            .map(|(at, _)| *at);
        first.unwrap_or(Micros::MAX).min(latest)
    }
}

/// Checks that a worker gets no new call and no load command after the drain grace period, which begins when
/// the front end is notified of the drain.
pub(super) fn check(
    records: &[Record], rules: &Rules, notifications: &Notifications, violations: &mut Vec<Violation>,
) {
    // The version that announced the drain of a worker's process, and when that was published.
    let mut drains: BTreeMap<(usize, u32), (u64, Micros)> = BTreeMap::new();
    for Record { at, event } in records {
        match event {
            Event::WorkerListChanged {
                version,
                worker,
                process,
                state: WorkerState::Draining | WorkerState::Gone,
                ..
            } => {
                drains.entry((*worker, *process)).or_insert((*version, *at));
            }
            Event::CommandReceived { worker, process, front_end, first_byte_at, command, .. } => {
                let (what, request) = match command {
                    Command::Call { request, .. } => ("a call", Some(*request)),
                    Command::Load { copies: 1.. } => ("a load command", None),
                    _ => continue,
                };
                let Some(&(version, published_at)) = drains.get(&(*worker, *process)) else { continue };
                let notified_at = notifications.notified_at(*front_end, version, published_at);
                let until = notified_at.saturating_add(rules.drain_grace + TOLERANCE);
                if *first_byte_at > until {
                    let late_ms = (first_byte_at - until) / MILLISECOND;
                    let text = format!(
                        "{what} from front end {front_end} to worker {worker}, {late_ms} ms after the drain grace period; the worker has been draining since {:.3} s",
                        published_at as f64 / 1e6
                    );
                    violations.push(Violation { rule: Rule::Drain, at: *first_byte_at, request, text });
                }
            }
            _ => {}
        }
    }
}
