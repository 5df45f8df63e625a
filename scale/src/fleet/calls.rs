//! Outcomes of calls and their statistics.
use crate::time::SECOND;
use hdrhistogram::Histogram;
use heronslip_policy::{Micros, Settings};
use serde::Serialize;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Largest duration that the histograms resolve.
const MAX_DURATION: Micros = 3_600 * SECOND;

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with a worker's response.
    Served,
    /// Refused, without a further retry.
    Refused,
    /// Failed.
    Failed,
    /// Lost because its front end ended.
    Lost,
}

/// A call that has ended, with all its retries.
#[derive(Clone, Copy, Debug)]
pub struct CallRecord {
    /// Its class's position in the settings.
    pub class: usize,
    /// When the client first sent it.
    pub sent: Micros,
    /// When it ended.
    pub ended: Micros,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time from its arrival at the front end to its start at a worker, if it waited for a load. With real front
    /// ends it counts from when the client sent the call.
    pub cold_start: Option<Micros>,
}

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Quantiles {
    /// Number of samples.
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

/// A histogram of durations.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        // This fails only if the bounds or the digits are out of range.
        DurationHistogram(
            Histogram::new_with_bounds(1, MAX_DURATION, HISTOGRAM_DIGITS).expect("the bounds are in range"),
        )
    }
}

impl DurationHistogram {
    /// Adds a duration.
    pub fn add(&mut self, duration: Micros) {
        self.0.saturating_record(duration);
    }

    /// The share of all durations that are at most `limit`; 1 if there are none.
    pub fn share_within(&self, limit: Micros) -> f64 {
        if self.0.is_empty() {
            return 1.0;
        }
        let within = self.0.count_between(0, limit);
        within as f64 / self.0.len() as f64
    }

    /// The quantiles for the report.
    pub fn quantiles(&self) -> Quantiles {
        let at = |q: f64| self.0.value_at_quantile(q) as f64 / 1000.0;
        let max_ms = self.0.max() as f64 / 1000.0;
        Quantiles { count: self.0.len(), p50_ms: at(0.5), p99_ms: at(0.99), p999_ms: at(0.999), max_ms }
    }
}

/// Numbers of calls by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct CallCounts {
    /// All calls; a client's retries are part of the call.
    #[serde(rename = "asked")]
    pub calls: u64,
    /// Served within the class's latency target.
    pub served_in_time: u64,
    /// Served later than that.
    pub served_late: u64,
    /// Refused, without a further retry.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Lost because their front end ended.
    pub lost: u64,
    /// Served calls that waited for a load.
    pub cold: u64,
}

/// The calls that were sent in one second of the run.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    calls: u64,
    /// Calls served within the class's latency target.
    in_time: u64,
}

/// Statistics of the calls of a run.
#[derive(Debug, Default)]
pub struct CallStatistics {
    /// Start of the counted time, after the warm-up.
    counted_from: Micros,
    /// Latency targets by class.
    latency_targets: Vec<Micros>,
    counts: CallCounts,
    latency: DurationHistogram,
    cold_start: DurationHistogram,
    /// Calls by the second of the run in which they were sent, the warm-up included.
    seconds: Vec<SecondCounts>,
    /// Start of the run.
    start: Micros,
}

impl CallStatistics {
    /// Statistics of a run that starts at `start`, of the calls that are sent at `counted_from` or later.
    pub fn new(settings: &Settings, start: Micros, counted_from: Micros) -> Self {
        let latency_targets = settings.classes.iter().map(|c| c.latency_target).collect();
        CallStatistics { counted_from, latency_targets, start, ..CallStatistics::default() }
    }

    /// Adds a call that has ended.
    pub fn add(&mut self, call: &CallRecord) {
        let latency = call.ended.saturating_sub(call.sent);
        let latency_target = self.latency_targets.get(call.class).copied().unwrap_or(0);
        let in_time = call.outcome == CallOutcome::Served && latency <= latency_target;
        let second = (call.sent.saturating_sub(self.start) / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        self.seconds[second].calls += 1;
        self.seconds[second].in_time += u64::from(in_time);
        if call.sent < self.counted_from {
            return;
        }
        let counts = &mut self.counts;
        counts.calls += 1;
        match call.outcome {
            CallOutcome::Served if in_time => counts.served_in_time += 1,
            CallOutcome::Served => counts.served_late += 1,
            CallOutcome::Refused => counts.refused += 1,
            CallOutcome::Failed => counts.failed += 1,
            CallOutcome::Lost => counts.lost += 1,
        }
        if call.outcome == CallOutcome::Served {
            self.latency.add(latency);
        }
        if let (CallOutcome::Served, Some(cold)) = (call.outcome, call.cold_start) {
            counts.cold += 1;
            self.cold_start.add(cold);
        }
    }

    /// The numbers of calls by outcome.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Latency of served calls, from when the client first sent them to their response.
    pub fn latency(&self) -> &DurationHistogram {
        &self.latency
    }

    /// Time from the arrival of a call at the front end to its start at a worker, of calls that waited for a
    /// load.
    pub fn cold_start(&self) -> &DurationHistogram {
        &self.cold_start
    }

    /// Seconds from `since` until the share of calls served in time has recovered and stays so until `until`,
    /// both counted from the start of the run. `None` if it does not recover by then.
    ///
    /// Recovered means at least 95 % of the share in the five seconds before `since`.
    pub fn recovery_time(&self, since: Micros, until: Micros) -> Option<u64> {
        const BASELINE_SECONDS: usize = 5;
        const RECOVERED_SHARE: f64 = 0.95;
        let (begin, end) = ((since / SECOND) as usize, (until / SECOND) as usize);
        let baseline = self.in_time_share(begin.saturating_sub(BASELINE_SECONDS), begin)?;
        let recovered = |at: usize| {
            self.in_time_share(at, at + 1).is_none_or(|share| share >= RECOVERED_SHARE * baseline)
        };
        match (begin..end).rev().find(|&at| !recovered(at)) {
            None => Some(0),
            Some(last) if last + 1 < end => Some((last + 1 - begin) as u64),
            Some(_) => None,
        }
    }

    /// The smallest share of the calls of one second that was served in time, between two times counted from
    /// the start of the run. The second before is included: some of its calls were still open at `since`.
    pub fn min_in_time_share(&self, since: Micros, until: Micros) -> f64 {
        let (begin, end) = ((since / SECOND) as usize, (until / SECOND) as usize);
        (begin.saturating_sub(1)..end).filter_map(|at| self.in_time_share(at, at + 1)).fold(1.0, f64::min)
    }

    /// The share of the calls sent in these seconds of the run that was served in time; `None` if there were
    /// none.
    fn in_time_share(&self, from: usize, to: usize) -> Option<f64> {
        let range = self.seconds.get(from..to.min(self.seconds.len()))?;
        let calls: u64 = range.iter().map(|s| s.calls).sum();
        let in_time: u64 = range.iter().map(|s| s.in_time).sum();
        (calls > 0).then(|| in_time as f64 / calls as f64)
    }
}
