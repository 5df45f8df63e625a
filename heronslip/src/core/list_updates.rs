//! Applying updates of the worker list.
use super::start_times::StartTimes;
use super::worker_pool::{keep_one_per_address, Worker};
use super::Core;
use crate::messages::{ListedWorker, WorkerProtocol};
use crate::worker::new_transport;
use heronslip_policy::{Event, WorkerEntry, WorkerState};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

/// Changed workers that are logged one by one for each list update; only the number of the others is logged.
const MAX_LOGGED_WORKERS: usize = 16;

impl Core {
    pub(super) fn update_worker_list(
        &mut self, source: WorkerProtocol, full: bool, mut listed: Vec<ListedWorker>,
    ) {
        keep_one_per_address(&mut listed);
        if full {
            let ids: BTreeSet<&str> = listed.iter().map(|l| l.id.as_str()).collect();
            let left_out = |w: &&Worker| w.listing.protocol == source && !ids.contains(w.listing.id.as_str());
            let gone: Vec<ListedWorker> =
                self.workers.values().filter(left_out).map(Worker::listing_as_gone).collect();
            listed.extend(gone);
        }
        listed.splice(0..0, self.workers.displaced_by(source, &listed));
        let known = self.workers.values().map(|worker| &worker.listing);
        let start_times = StartTimes::new(self.clock.now(), self.list_current_at, &listed, known);
        let not_logged = listed.len().saturating_sub(MAX_LOGGED_WORKERS);
        let mut entries = Vec::with_capacity(listed.len());
        for (index, listing) in listed.into_iter().enumerate() {
            if index < MAX_LOGGED_WORKERS {
                // heronslip-scale reads this line.
                log!("member {}: {:?} at {}", listing.id, listing.state, listing.address);
            }
            entries.push(self.update_worker(listing, &start_times));
        }
        if not_logged > 0 {
            log!("worker list: {not_logged} more workers changed, {} are known", self.workers.len());
        }
        if !entries.is_empty() {
            self.events.push_back(Event::WorkerList { full: false, entries });
        }
        self.shared.ready.store(true, Ordering::Release);
    }

    /// Updates one worker from the list, and returns its entry for the controller.
    fn update_worker(&mut self, mut listing: ListedWorker, start_times: &StartTimes) -> WorkerEntry {
        let known = self.workers.get_mut(&listing.id);
        if let Some(worker) = known.as_ref().filter(|_| listing.state == WorkerState::Gone) {
            // A worker left out of a full list comes without its other fields.
            listing = worker.listing_as_gone();
        }
        let position = |names: &[String], name: &str| heronslip_policy::json::index_of(names, Some(name));
        let same_process = known.as_ref().filter(|worker| worker.listing.started_at == listing.started_at);
        let started_at =
            same_process.map_or_else(|| start_times.of_new_process(&listing), |worker| worker.started_at);
        let entry = WorkerEntry {
            worker: listing.id.clone(),
            state: listing.state,
            started_at,
            zone: position(&self.settings.zones, &listing.zone),
            machine_type: position(&self.settings.machine_types, &listing.machine_type),
            cell: listing.cell,
        };
        // A worker that moves gets a new transport, as a new worker may take over its former address.
        // Exchanges that are open at the former address end there.
        let is_same_endpoint =
            |w: &&mut Worker| w.listing.address == listing.address && w.listing.protocol == listing.protocol;
        match known.filter(is_same_endpoint) {
            Some(worker) => {
                if listing.state != WorkerState::Ready || worker.listing.started_at != listing.started_at {
                    worker.transport.retire();
                }
                (worker.listing, worker.started_at) = (listing, started_at);
            }
            None => {
                let transport = new_transport(listing.protocol, listing.address, &self.limits, &self.reports);
                let id = listing.id.clone();
                let new = Worker { listing, started_at, transport, former_transports: Vec::new() };
                let old = self.workers.insert(new);
                if let (Some(mut old), Some(worker)) = (old, self.workers.get_mut(&id)) {
                    old.transport.retire();
                    worker.former_transports = old.former_transports;
                    worker.former_transports.push(old.transport);
                }
            }
        }
        entry
    }
}
