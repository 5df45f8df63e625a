//! What each front end counts as told of the list, and the rule on workers that drain.
use super::{Rule, Rules, Violation, MS, SLACK};
use crate::soak::record::{At, Command, Event, Listing, Outage, Record, Signal};
use std::collections::BTreeMap;

/// What the board would have told counts as told so long after it broke off, ...
const TOLD_AFTER_BREAK: At = 2_000 * MS;
/// ... so long after it went silent, or after SIGHUP told of a move, or as soon as the front end asks again.
const TOLD_AFTER_SILENCE: At = 4_000 * MS;

/// A time in which a front end may not have been able to hear the board.
struct Gap {
    from: At,
    to: At,
    told_after: At,
}

/// When each front end counts as told of each version of the list.
pub(super) struct Told {
    gaps: BTreeMap<usize, Vec<Gap>>,
    /// When each was written to, started with or asked for something, and up to which version that tells.
    heard: BTreeMap<usize, Vec<(At, u64)>>,
}

impl Told {
    pub(super) fn of(records: &[Record]) -> Told {
        let mut told = Told { gaps: BTreeMap::new(), heard: BTreeMap::new() };
        let mut version = 0;
        for Record { at, event } in records {
            let at = *at;
            match event {
                Event::Listed { version: now, .. } => version = *now,
                Event::Started { front_end, version } => {
                    told.heard.entry(*front_end).or_default().push((at, *version));
                }
                Event::BoardTold { front_end, version } => {
                    told.heard.entry(*front_end).or_default().push((at, *version));
                }
                Event::BoardAsked { front_end } => {
                    told.close_moves(*front_end, at);
                    told.heard.entry(*front_end).or_default().push((at, version));
                }
                Event::OutageBegan { front_end, outage } => {
                    let told_after = match outage {
                        Outage::Refused | Outage::MidEvent => TOLD_AFTER_BREAK,
                        Outage::Silent | Outage::Hanging => TOLD_AFTER_SILENCE,
                    };
                    told.open(*front_end, at, told_after);
                }
                Event::OutageEnded { front_end } => told.close(*front_end, at),
                Event::Signalled { front_end, signal: Signal::Hup } => {
                    told.open(*front_end, at, TOLD_AFTER_SILENCE);
                }
                _ => {}
            }
        }
        told
    }

    fn open(&mut self, front_end: usize, from: At, told_after: At) {
        self.gaps.entry(front_end).or_default().push(Gap { from, to: At::MAX, told_after });
    }

    fn close(&mut self, front_end: usize, at: At) {
        for gap in self.gaps.entry(front_end).or_default().iter_mut().filter(|gap| gap.to == At::MAX) {
            gap.to = at;
        }
    }

    /// A front end that asks has followed the move.
    fn close_moves(&mut self, front_end: usize, at: At) {
        let open = self.gaps.entry(front_end).or_default().iter_mut().filter(|gap| gap.to == At::MAX);
        open.filter(|gap| gap.told_after == TOLD_AFTER_SILENCE).for_each(|gap| gap.to = at);
    }

    /// When a front end counts as told of a version that was listed at this time.
    pub(super) fn at(&self, front_end: usize, version: u64, listed: At) -> At {
        let gaps = self.gaps.get(&front_end).map_or(&[][..], Vec::as_slice);
        let unheard = gaps.iter().filter(|gap| gap.from <= listed && listed < gap.to);
        let latest = unheard.map(|gap| gap.from + gap.told_after).fold(listed, At::max);
        let heard = self.heard.get(&front_end).map_or(&[][..], Vec::as_slice);
        let first = heard.iter().find(|(at, to)| *at >= listed && *to >= version).map(|(at, _)| *at);
        first.unwrap_or(At::MAX).min(latest)
    }
}

/// Nothing new, call or order to load, goes to a worker that drains later than the grace after that was told.
pub(super) fn check(records: &[Record], rules: &Rules, told: &Told, found: &mut Vec<Violation>) {
    // Of each process that drains: the version that tells it, and when that was listed.
    let mut drains: BTreeMap<(usize, u32), (u64, At)> = BTreeMap::new();
    for Record { at, event } in records {
        match event {
            Event::Listed { version, worker, process, state: Listing::Draining | Listing::Gone, .. } => {
                drains.entry((*worker, *process)).or_insert((*version, *at));
            }
            Event::Received { worker, process, front_end, began, command, .. } => {
                let (what, request) = match command {
                    Command::Call { request, .. } => ("a call", Some(*request)),
                    Command::Order { copies: 1.. } => ("an order to load", None),
                    _ => continue,
                };
                let Some(&(version, listed)) = drains.get(&(*worker, *process)) else { continue };
                let until = told.at(*front_end, version, listed).saturating_add(rules.drain_grace + SLACK);
                if *began > until {
                    let late = (began - until) / MS;
                    let text = format!(
                        "{what} from front end {front_end} to worker {worker}, {late} ms after the grace; it drains since {:.3} s",
                        listed as f64 / 1e6
                    );
                    found.push(Violation { rule: Rule::Drain, at: *began, request, text });
                }
            }
            _ => {}
        }
    }
}
