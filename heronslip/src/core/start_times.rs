//! Start times of listed workers on the core's own clock.
//!
//! A worker list gives start times on the wall clock of the machine that observed the start. That clock has
//! no known relation to the core's clock, and either machine's wall clock may be stepped. So only the
//! differences between the timestamps of one update are used: the worker with the latest timestamp counts as
//! started when the update arrived, the others earlier by their difference to it. No worker counts as older
//! than the list states, and each slow start ends in time, whatever the wall clocks show.
//!
//! A clock may be stepped back between two starts that one update tells of. So no process counts as older than
//! the time since when the list was last known to be up to date: it was not listed then.
use crate::messages::ListedWorker;
use heronslip_policy::Micros;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The start timestamps of one list update.
pub struct StartTimes {
    /// When the update arrived, on the core's clock.
    received_at: Micros,
    /// The latest of its timestamps; 0: none.
    latest: Micros,
    /// When the list was last known to be up to date before the update; 0: never.
    current_at: Micros,
    /// Addresses of workers that were known before the update.
    known_addresses: HashSet<SocketAddr>,
}

impl StartTimes {
    /// For an update that arrived at `received_at`, both on the core's clock, after the list had last been known
    /// to be up to date at `current_at`; 0: it never had. `known` are the workers known before the update.
    pub fn new<'a>(
        received_at: Micros, current_at: Micros, listed: &[ListedWorker],
        known: impl Iterator<Item = &'a ListedWorker>,
    ) -> Self {
        let latest = listed.iter().map(|worker| worker.started_at).max().unwrap_or(0);
        // Workers that state no start are new only where they take over an address.
        let may_take_over = current_at > 0 && listed.iter().any(|worker| worker.started_at == 0);
        let known_addresses = known.filter(|_| may_take_over).map(|worker| worker.address).collect();
        StartTimes { received_at, latest, current_at, known_addresses }
    }

    /// When a process that was not known before the update started, on the core's clock; 0: long ago.
    pub fn of_new_process(&self, listed: &ListedWorker) -> Micros {
        if listed.started_at == 0 {
            let takes_over = self.known_addresses.contains(&listed.address);
            return if takes_over { self.current_at } else { 0 };
        }
        let age = self.latest.saturating_sub(listed.started_at);
        self.received_at.saturating_sub(age).max(self.current_at).max(1)
    }
}
