//! The schedule of an experiment: its failures and changes of the worker list, worked out before it starts.
use crate::experiment::{Experiment, Failure, FailureKind};
use crate::time::{seconds, SECOND};
use heronslip_policy::Micros;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Separates the schedule's random numbers from others of the same seed: "failures" in ASCII.
const SCHEDULE_SEED: u64 = 0x6661_696c_7572_6573;

/// A change of the environment.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The processes of these front ends end.
    FrontEndsStop(Vec<usize>),
    /// These front ends start again without any state.
    FrontEndsStart(Vec<usize>),
    /// The processes of these workers end.
    WorkersStop(Vec<usize>),
    /// These workers start again without any copies.
    WorkersStart(Vec<usize>),
    /// These workers are replaced by new machines.
    WorkersReplaced(Vec<usize>),
    /// These front ends lose the discovery server.
    DiscoveryCut(Vec<usize>),
    /// These front ends can reach the discovery server again.
    DiscoveryRestored(Vec<usize>),
}

/// A change, its time, and the failure that it begins or ends.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledChange {
    /// Time since the first call.
    pub at: Micros,
    /// The failure's position in the experiment; `None` for regular changes of the worker list.
    pub failure: Option<usize>,
    /// What changes.
    pub change: Change,
}

/// The changes of an experiment that are still to come.
#[derive(Debug)]
pub struct Schedule {
    /// In reverse order of time: the next change is the last.
    pending: Vec<ScheduledChange>,
}

impl Schedule {
    /// Draws the changes of an experiment from its seed.
    pub fn new(experiment: &Experiment) -> Self {
        let mut rng = Pcg64::seed_from_u64(experiment.seed ^ SCHEDULE_SEED);
        let mut pending = Vec::new();
        for (n, failure) in experiment.failures.iter().enumerate() {
            let (begin, end) = changes(experiment, failure, &mut rng);
            let end_at = seconds(failure.at_s + failure.for_s.unwrap_or(0.0));
            pending.extend(begin.into_iter().map(|change| ScheduledChange {
                at: seconds(failure.at_s),
                failure: Some(n),
                change,
            }));
            pending.extend(end.into_iter().map(|change| ScheduledChange {
                at: end_at,
                failure: Some(n),
                change,
            }));
        }
        pending.extend(regular_changes(experiment, &mut rng));
        pending.sort_by_key(|change| std::cmp::Reverse(change.at));
        Schedule { pending }
    }

    /// Removes and returns the next change that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<ScheduledChange> {
        self.pending.last().is_some_and(|change| change.at <= now).then(|| self.pending.pop()).flatten()
    }
}

/// Front ends in a zone. They are assigned to the zones in turn.
fn front_ends_in_zone(experiment: &Experiment, zone: u32) -> Vec<usize> {
    let zones = experiment.fleet.zones as usize;
    (0..experiment.fleet.front_ends as usize).filter(|f| f % zones == zone as usize).collect()
}

/// Front ends in a region. The zones are assigned to the regions in turn.
fn front_ends_in_region(experiment: &Experiment, region: u32) -> Vec<usize> {
    let (zones, regions) = (experiment.fleet.zones as usize, experiment.fleet.regions as usize);
    let in_region = |f: &usize| f % zones % regions == region as usize;
    (0..experiment.fleet.front_ends as usize).filter(in_region).collect()
}

/// A random share of the numbers below `count`, at least one of them, in ascending order.
fn random_subset(count: u32, share: f64, rng: &mut Pcg64) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..count as usize).collect();
    numbers.shuffle(rng);
    numbers.truncate(((f64::from(count) * share).round() as usize).max(1));
    numbers.sort_unstable();
    numbers
}

/// The changes at the beginning and at the end of a failure.
fn changes(experiment: &Experiment, failure: &Failure, rng: &mut Pcg64) -> (Vec<Change>, Vec<Change>) {
    let (fleet, share) = (&experiment.fleet, failure.share.unwrap_or(0.0));
    let single = |begin, end| (vec![begin], vec![end]);
    match failure.kind {
        FailureKind::FrontEndsLost => {
            let lost = random_subset(fleet.front_ends, share, rng);
            single(Change::FrontEndsStop(lost.clone()), Change::FrontEndsStart(lost))
        }
        FailureKind::WorkersLost => {
            let lost = random_subset(fleet.workers, share, rng);
            single(Change::WorkersStop(lost.clone()), Change::WorkersStart(lost))
        }
        FailureKind::ZoneLost => {
            let zone = failure.zone.unwrap_or(0);
            let in_zone = |w: &usize| *w % fleet.zones as usize == zone as usize;
            let workers: Vec<usize> = (0..fleet.workers as usize).filter(in_zone).collect();
            let front_ends = front_ends_in_zone(experiment, zone);
            (
                vec![Change::WorkersStop(workers.clone()), Change::FrontEndsStop(front_ends.clone())],
                vec![Change::WorkersStart(workers), Change::FrontEndsStart(front_ends)],
            )
        }
        FailureKind::BoardCut => {
            let cut = front_ends_in_region(experiment, failure.region.unwrap_or(0));
            single(Change::DiscoveryCut(cut.clone()), Change::DiscoveryRestored(cut))
        }
        FailureKind::ListChanges => {
            let count = failure.count.unwrap_or(0);
            let share = f64::from(count) / f64::from(fleet.workers);
            let replaced = random_subset(fleet.workers, share, rng);
            let per_event = experiment.discovery.changes_per_event as usize;
            (replaced.chunks(per_event).map(|c| Change::WorkersReplaced(c.to_vec())).collect(), Vec::new())
        }
    }
}

/// Replacements of single workers, spread evenly over the run.
fn regular_changes(experiment: &Experiment, rng: &mut Pcg64) -> Vec<ScheduledChange> {
    let per_s = experiment.discovery.changes_per_hour / 3600.0;
    let count = (experiment.duration_s * per_s) as u64;
    let change = |n: u64| ScheduledChange {
        at: ((n as f64 + 0.5) / per_s * SECOND as f64) as Micros,
        failure: None,
        change: Change::WorkersReplaced(random_subset(experiment.fleet.workers, 0.0, rng)),
    };
    (0..count).map(change).collect()
}
