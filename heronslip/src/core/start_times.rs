//! When listed workers started, on our own clock.
//!
//! The list stamps a late start with the wall clock of the machine that saw it. Nothing ties that clock to ours, and
//! either may be stepped. Only the distances between stamps that are told together are used: the worker that started
//! last of those is taken to have started when it was told, the others by their distance before it. So no worker
//! counts as older than it is told to be, and each is warm in time, whatever any wall clock shows.
use crate::messages::Member;
use heronslip_policy::Micros;

/// The stamps of one piece of news.
pub struct StartTimes {
    /// When it was told, on our clock.
    told: Micros,
    /// The latest of its stamps; 0: none.
    latest: Micros,
}

impl StartTimes {
    /// Of the members told at this time, on our clock.
    pub fn told(now: Micros, members: &[Member]) -> Self {
        let latest = members.iter().map(|member| member.started_at).max().unwrap_or(0);
        StartTimes { told: now, latest }
    }

    /// When the worker of this stamp started, on our clock; 0 for "long ago".
    pub fn of(&self, stamp: Micros) -> Micros {
        if stamp == 0 {
            return 0;
        }
        self.told.saturating_sub(self.latest.saturating_sub(stamp)).max(1)
    }
}
