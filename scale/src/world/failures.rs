//! What happens in an experiment and when, worked out before it starts.
use crate::experiment::{Experiment, Failure, FailureKind};
use crate::time::{seconds, SECOND};
use heronslip_policy::Micros;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// One thing that happens to the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// These front ends end.
    FrontEndsStop(Vec<usize>),
    /// These front ends start again, knowing nothing.
    FrontEndsStart(Vec<usize>),
    /// These workers' processes end.
    WorkersStop(Vec<usize>),
    /// These workers' processes start again, empty.
    WorkersStart(Vec<usize>),
    /// These workers are replaced by new machines.
    WorkersReplaced(Vec<usize>),
    /// These front ends hear nothing of the board.
    BoardCut(Vec<usize>),
    /// They do again.
    BoardHealed(Vec<usize>),
}

/// A change with its time, and the failure it begins or ends, by its position in the experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// When, from the first call on.
    pub at: Micros,
    /// Which failure of the experiment; none for the list's ordinary changes.
    pub failure: Option<usize>,
    /// What.
    pub change: Change,
}

/// All changes of an experiment, the last first.
#[derive(Debug)]
pub struct Schedule {
    left: Vec<Timed>,
}

impl Schedule {
    /// Works out the changes of an experiment from its seed.
    pub fn new(experiment: &Experiment) -> Self {
        let mut random = Pcg64::seed_from_u64(experiment.seed ^ 0x6661_696c_7572_6573);
        let mut left = Vec::new();
        for (n, failure) in experiment.failure.iter().enumerate() {
            let (begins, ends) = changes(experiment, failure, &mut random);
            let end = seconds(failure.at_s + failure.for_s.unwrap_or(0.0));
            left.extend(begins.into_iter().map(|c| Timed {
                at: seconds(failure.at_s),
                failure: Some(n),
                change: c,
            }));
            left.extend(ends.into_iter().map(|c| Timed { at: end, failure: Some(n), change: c }));
        }
        left.extend(ordinary_changes(experiment, &mut random));
        left.sort_by_key(|t| std::cmp::Reverse(t.at));
        Schedule { left }
    }

    /// The next change that is due.
    pub fn due(&mut self, now: Micros) -> Option<Timed> {
        self.left.last().is_some_and(|t| t.at <= now).then(|| self.left.pop()).flatten()
    }
}

/// Front ends of a zone; zones belong to regions in turn.
fn front_ends_in(experiment: &Experiment, zone: u32) -> Vec<usize> {
    let zones = experiment.fleet.zones as usize;
    (0..experiment.fleet.front_ends as usize).filter(|f| f % zones == zone as usize).collect()
}

fn front_ends_of_region(experiment: &Experiment, region: u32) -> Vec<usize> {
    let (zones, regions) = (experiment.fleet.zones as usize, experiment.fleet.regions as usize);
    let of = |f: &usize| f % zones % regions == region as usize;
    (0..experiment.fleet.front_ends as usize).filter(of).collect()
}

fn some(count: u32, share: f64, random: &mut Pcg64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count as usize).collect();
    all.shuffle(random);
    all.truncate(((f64::from(count) * share).round() as usize).max(1));
    all.sort_unstable();
    all
}

fn changes(experiment: &Experiment, failure: &Failure, random: &mut Pcg64) -> (Vec<Change>, Vec<Change>) {
    let (fleet, share) = (&experiment.fleet, failure.share.unwrap_or(0.0));
    let both = |begin, end| (vec![begin], vec![end]);
    match failure.kind {
        FailureKind::FrontEndsLost => {
            let lost = some(fleet.front_ends, share, random);
            both(Change::FrontEndsStop(lost.clone()), Change::FrontEndsStart(lost))
        }
        FailureKind::WorkersLost => {
            let lost = some(fleet.workers, share, random);
            both(Change::WorkersStop(lost.clone()), Change::WorkersStart(lost))
        }
        FailureKind::ZoneLost => {
            let zone = failure.zone.unwrap_or(0);
            let of = |w: &usize| *w % fleet.zones as usize == zone as usize;
            let workers: Vec<usize> = (0..fleet.workers as usize).filter(of).collect();
            let front_ends = front_ends_in(experiment, zone);
            (
                vec![Change::WorkersStop(workers.clone()), Change::FrontEndsStop(front_ends.clone())],
                vec![Change::WorkersStart(workers), Change::FrontEndsStart(front_ends)],
            )
        }
        FailureKind::BoardCut => {
            let cut = front_ends_of_region(experiment, failure.region.unwrap_or(0));
            both(Change::BoardCut(cut.clone()), Change::BoardHealed(cut))
        }
        FailureKind::ListChanges => {
            let count = failure.count.unwrap_or(0);
            let share = f64::from(count) / f64::from(fleet.workers);
            let replaced = some(fleet.workers, share, random);
            let each = experiment.board.changes_per_event as usize;
            (replaced.chunks(each).map(|c| Change::WorkersReplaced(c.to_vec())).collect(), Vec::new())
        }
    }
}

/// Single replacements spread evenly over the run.
fn ordinary_changes(experiment: &Experiment, random: &mut Pcg64) -> Vec<Timed> {
    let per_s = experiment.board.changes_per_hour / 3600.0;
    let count = (experiment.duration_s * per_s) as u64;
    let change = |n: u64| Timed {
        at: ((n as f64 + 0.5) / per_s * SECOND as f64) as Micros,
        failure: None,
        change: Change::WorkersReplaced(some(experiment.fleet.workers, 0.0, random)),
    };
    (0..count).map(change).collect()
}
