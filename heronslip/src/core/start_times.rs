//! Start times of listed workers on the core's own clock.
//!
//! A worker list gives start times on the wall clock of the machine that observed the start. That clock has
//! no known relation to the core's clock, and either machine's wall clock may be stepped. So only the
//! differences between the timestamps of one update are used: the worker with the latest timestamp counts as
//! started when the update arrived, the others earlier by their difference to it. No worker counts as older
//! than the list states, and each slow start ends in time, whatever the wall clocks show.
use crate::messages::ListedWorker;
use heronslip_policy::Micros;

/// The start timestamps of one list update.
pub struct StartTimes {
    /// When the update arrived, on the core's clock.
    received_at: Micros,
    /// The latest of its timestamps; 0: none.
    latest: Micros,
}

impl StartTimes {
    /// For an update that arrived at `received_at` on the core's clock.
    pub fn new(received_at: Micros, listed: &[ListedWorker]) -> Self {
        let latest = listed.iter().map(|worker| worker.started_at).max().unwrap_or(0);
        StartTimes { received_at, latest }
    }

    /// A start timestamp of the update on the core's clock; 0 for "long ago".
    pub fn local_time(&self, timestamp: Micros) -> Micros {
        if timestamp == 0 {
            return 0;
        }
        self.received_at.saturating_sub(self.latest.saturating_sub(timestamp)).max(1)
    }
}
