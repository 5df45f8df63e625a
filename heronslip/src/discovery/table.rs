//! The worker list as the discovery service last sent it, kept so that only changes are passed on to the
//! core.
use super::instance::InvalidInstance;
use crate::messages::{ListedWorker, WorkerProtocol};
use heronslip_policy::WorkerState;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// A listed worker.
#[derive(Debug)]
struct TableEntry {
    /// Hash of everything that the list says of the worker.
    fingerprint: u64,
    address: SocketAddr,
    /// The table's number of the last event that named the worker.
    last_event: u32,
    /// Whether that event changes the worker.
    changed_by_event: bool,
}

/// The worker list.
///
/// An event is staged entry by entry and changes nothing before it is committed, so an event that breaks off
/// leaves the list as it was.
#[derive(Debug, Default)]
pub struct WorkerTable {
    listed: HashMap<Box<str>, TableEntry>,
    /// How many workers are listed at each address. The core keeps only one worker per address, so entries of
    /// workers that share one are always passed on.
    workers_at: HashMap<SocketAddr, u32>,
    /// Number of the current event.
    event: u32,
}

/// The changes of an event that is being read.
#[derive(Debug, Default)]
pub struct StagedEvent {
    changed: Vec<ListedWorker>,
    /// Entries that cannot be used.
    pub invalid: Vec<InvalidInstance>,
}

fn fingerprint(worker: &ListedWorker) -> u64 {
    let mut hasher = DefaultHasher::new();
    (worker.address, worker.started_at, worker.cell).hash(&mut hasher);
    (worker.zone.as_str(), worker.machine_type.as_str()).hash(&mut hasher);
    (worker.state as u8).hash(&mut hasher);
    hasher.finish()
}

impl WorkerTable {
    /// Begins an event. The caller drops any other staged event.
    pub fn begin_event(&mut self) -> StagedEvent {
        self.event = self.event.wrapping_add(1);
        StagedEvent::default()
    }

    /// Stages an entry, unless it repeats what is known.
    pub fn stage(&mut self, entry: Result<ListedWorker, InvalidInstance>, staged: &mut StagedEvent) {
        let worker = match entry {
            Ok(worker) => worker,
            Err(invalid) => {
                // The worker stays as it was: it counts as named, so that a full list does not remove it.
                if let Some(listed) = invalid.id.as_deref().and_then(|id| self.listed.get_mut(id)) {
                    (listed.last_event, listed.changed_by_event) = (self.event, false);
                }
                staged.invalid.push(invalid);
                return;
            }
        };
        if let Some(listed) = self.listed.get_mut(worker.id.as_str()) {
            let changed_before = listed.last_event == self.event && listed.changed_by_event;
            let shares_address = self.workers_at.get(&listed.address).is_some_and(|&n| n > 1);
            let same = listed.fingerprint == fingerprint(&worker) && !shares_address;
            (listed.last_event, listed.changed_by_event) = (self.event, changed_before || !same);
            if same && !changed_before {
                return;
            }
        }
        staged.changed.push(worker);
    }

    /// Applies an event, and returns the changes to pass on to the core. A full list removes the workers that
    /// it does not name.
    pub fn commit(&mut self, full: bool, staged: StagedEvent) -> Vec<ListedWorker> {
        let mut changes = Vec::new();
        if full {
            let event = self.event;
            let missing = self.listed.iter().filter(|(_, l)| l.last_event != event);
            changes.extend(missing.map(|(id, l)| removed_worker(id, l.address)));
            changes.sort_by(|a, b| a.id.cmp(&b.id)); // the map has no fixed order
            for worker in &changes {
                self.remove(&worker.id);
            }
        }
        for worker in staged.changed {
            let was_listed = self.remove(&worker.id);
            if worker.state != WorkerState::Gone {
                self.insert(&worker);
            } else if !was_listed {
                continue;
            }
            changes.push(worker);
        }
        changes
    }

    /// Number of listed workers.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether no worker is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    fn insert(&mut self, worker: &ListedWorker) {
        let (fingerprint, address) = (fingerprint(worker), worker.address);
        let listed = TableEntry { fingerprint, address, last_event: self.event, changed_by_event: false };
        self.listed.insert(worker.id.as_str().into(), listed);
        *self.workers_at.entry(address).or_default() += 1;
    }

    /// Removes a worker, and returns whether it was listed.
    fn remove(&mut self, id: &str) -> bool {
        let Some(listed) = self.listed.remove(id) else { return false };
        if let Some(count) = self.workers_at.get_mut(&listed.address) {
            *count -= 1;
            if *count == 0 {
                self.workers_at.remove(&listed.address);
            }
        }
        true
    }
}

/// The entry of a worker that a full list no longer names.
fn removed_worker(id: &str, address: SocketAddr) -> ListedWorker {
    ListedWorker {
        id: id.to_owned(),
        address,
        state: WorkerState::Gone,
        started_at: 0,
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        protocol: WorkerProtocol::Frames,
    }
}
