//! How calls end, and what is counted of it.
use crate::time::SECOND;
use hdrhistogram::Histogram;
use heronslip_policy::{Micros, Settings};
use serde::Serialize;

/// Digits to which times are kept.
const DIGITS: u8 = 3;
/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 3_600 * SECOND;

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered with a worker's body.
    Served,
    /// Refused, and not tried again.
    Refused,
    /// Failed.
    Failed,
    /// Its front end ended under it.
    Lost,
}

/// One call over all its tries.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// Its class's position in the settings.
    pub class: usize,
    /// When the client first sent it.
    pub asked: Micros,
    /// When it ended.
    pub ended: Micros,
    /// How.
    pub end: End,
    /// Time from its arrival to its begin, where it had to wait for a load.
    pub cold_start: Option<Micros>,
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Quantiles {
    /// How many were counted.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// A histogram of times.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // Only bounds or digits out of range fail.
        Times(Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are in range"))
    }
}

impl Times {
    /// Counts one time.
    pub fn add(&mut self, time: Micros) {
        self.0.saturating_record(time);
    }

    /// The part of all times that are at most this.
    pub fn within(&self, time: Micros) -> f64 {
        if self.0.is_empty() {
            return 1.0;
        }
        let below = self.0.count_between(0, time);
        below as f64 / self.0.len() as f64
    }

    /// The quantiles that reports show.
    pub fn quantiles(&self) -> Quantiles {
        let at = |q: f64| self.0.value_at_quantile(q) as f64 / 1000.0;
        let max_ms = self.0.max() as f64 / 1000.0;
        Quantiles { count: self.0.len(), p50_ms: at(0.5), p99_ms: at(0.99), p999_ms: at(0.999), max_ms }
    }
}

/// Calls by how they ended.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct CallCounts {
    /// Calls asked for; a client's further tries are part of the first.
    pub asked: u64,
    /// Answered within the class's aim.
    pub served_in_time: u64,
    /// Answered later.
    pub served_late: u64,
    /// Refused, and not tried again.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Lost with their front end.
    pub lost: u64,
    /// Served calls that had to wait for a load.
    pub cold: u64,
}

/// Calls asked and served in time in one second of the run.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    asked: u64,
    in_time: u64,
}

/// The count of all calls of a run.
#[derive(Debug, Default)]
pub struct CallBook {
    from: Micros,
    aims: Vec<Micros>,
    counts: CallCounts,
    latency: Times,
    cold_start: Times,
    seconds: Vec<Second>,
    start: Micros,
}

impl CallBook {
    /// Counts calls asked at `from` or later; `start` is the run's first moment.
    pub fn new(settings: &Settings, start: Micros, from: Micros) -> Self {
        let aims = settings.classes.iter().map(|c| c.latency_target).collect();
        CallBook { from, aims, start, ..CallBook::default() }
    }

    /// Takes one call that has ended.
    pub fn add(&mut self, call: &CallRecord) {
        let took = call.ended.saturating_sub(call.asked);
        let aim = self.aims.get(call.class).copied().unwrap_or(0);
        let in_time = call.end == End::Served && took <= aim;
        let second = (call.asked.saturating_sub(self.start) / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        self.seconds[second].asked += 1;
        self.seconds[second].in_time += u64::from(in_time);
        if call.asked < self.from {
            return;
        }
        let counts = &mut self.counts;
        counts.asked += 1;
        match call.end {
            End::Served if in_time => counts.served_in_time += 1,
            End::Served => counts.served_late += 1,
            End::Refused => counts.refused += 1,
            End::Failed => counts.failed += 1,
            End::Lost => counts.lost += 1,
        }
        if call.end == End::Served {
            self.latency.add(took);
        }
        if let (End::Served, Some(cold)) = (call.end, call.cold_start) {
            counts.cold += 1;
            self.cold_start.add(cold);
        }
    }

    /// The counts.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Times from a served call's first try to its answer.
    pub fn latency(&self) -> &Times {
        &self.latency
    }

    /// Times from a cold call's arrival to its begin at a worker.
    pub fn cold_start(&self) -> &Times {
        &self.cold_start
    }

    /// Seconds from `since` (from the run's start) until calls are served in time as before again, for good until
    /// `until`: at 95 in 100 of the mean of the five seconds before `since`. Nothing if that has not come by then.
    pub fn recovery(&self, since: Micros, until: Micros) -> Option<u64> {
        const BEFORE: usize = 5;
        const ENOUGH: f64 = 0.95;
        let (begin, end) = ((since / SECOND) as usize, (until / SECOND) as usize);
        let usual = self.in_time(begin.saturating_sub(BEFORE), begin)?;
        let good = |at: usize| self.in_time(at, at + 1).is_none_or(|s| s >= ENOUGH * usual);
        match (begin..end).rev().find(|&at| !good(at)) {
            None => Some(0),
            Some(last) if last + 1 < end => Some((last + 1 - begin) as u64),
            Some(_) => None,
        }
    }

    /// The least part of the calls asked in a second that was served in time, over these seconds of the run and the
    /// one before, whose last calls were still open when they began.
    pub fn least_in_time(&self, since: Micros, until: Micros) -> f64 {
        let (begin, end) = ((since / SECOND) as usize, (until / SECOND) as usize);
        (begin.saturating_sub(1)..end).filter_map(|at| self.in_time(at, at + 1)).fold(1.0, f64::min)
    }

    /// The part of the calls asked in these seconds that was served in time; nothing if there were none.
    fn in_time(&self, from: usize, to: usize) -> Option<f64> {
        let span = self.seconds.get(from..to.min(self.seconds.len()))?;
        let asked: u64 = span.iter().map(|s| s.asked).sum();
        let in_time: u64 = span.iter().map(|s| s.in_time).sum();
        (asked > 0).then(|| in_time as f64 / asked as f64)
    }
}
