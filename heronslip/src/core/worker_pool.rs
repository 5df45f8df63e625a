//! The workers known to the core and their connections.
use crate::messages::{AttemptKey, ListedWorker, WorkerProtocol};
use crate::worker::Transport;
use heronslip_policy::{Micros, WorkerState};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

/// A known worker and its transports.
pub struct Worker {
    /// Its last entry in the worker list.
    pub listing: ListedWorker,
    /// When its process started, on the core's clock; 0: long ago.
    pub started_at: Micros,
    /// The transport to its current address.
    pub transport: Box<dyn Transport>,
    /// Transports to its former addresses, where replies to open exchanges may still arrive.
    pub former_transports: Vec<Box<dyn Transport>>,
}

impl Worker {
    /// The transports to its current and former addresses.
    pub fn transports(&mut self) -> impl Iterator<Item = &mut Box<dyn Transport>> {
        self.former_transports.iter_mut().chain([&mut self.transport])
    }

    /// Cancels an attempt, whichever address it was sent to.
    pub fn cancel(&mut self, key: AttemptKey) {
        self.transports().for_each(|t| t.cancel_attempt(key));
    }

    /// Its listing with the state `Gone`.
    pub fn listing_as_gone(&self) -> ListedWorker {
        ListedWorker { state: WorkerState::Gone, ..self.listing.clone() }
    }

    /// Whether it is listed at this address and not gone.
    pub fn is_listed_at(&self, address: SocketAddr) -> bool {
        self.listing.address == address && self.listing.state != WorkerState::Gone
    }

    fn sweep(&mut self) {
        self.transports().for_each(|t| t.sweep());
        self.former_transports.retain(|t| !t.is_idle());
    }

    fn is_idle(&self) -> bool {
        self.former_transports.is_empty() && self.transport.is_idle()
    }

    fn connections(&self) -> usize {
        self.former_transports.iter().chain([&self.transport]).map(|t| t.open_connections()).sum()
    }
}

/// All known workers, by name.
///
/// Operations on connections visit only the workers that may have any. The limit on descriptors bounds the
/// number of those workers; nothing bounds the number of listed workers.
#[derive(Default)]
pub struct WorkerPool {
    workers: BTreeMap<String, Worker>,
    /// Workers that something was sent to and that were not seen without a connection since.
    connected: BTreeSet<String>,
    /// Connections at the last recount, plus those opened and less the idle ones closed since.
    connections: usize,
}

impl WorkerPool {
    /// A worker.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// A worker, to update it or to cancel exchanges with it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// A worker that something is about to be sent to. From now on it counts as connected.
    pub fn get_for_send(&mut self, id: &str) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        if !self.connected.contains(id) {
            self.connected.insert(id.to_owned());
        }
        Some(worker)
    }

    /// Inserts a worker, and returns the previous one of the same name.
    pub fn insert(&mut self, worker: Worker) -> Option<Worker> {
        self.workers.insert(worker.listing.id.clone(), worker)
    }

    /// All workers, ordered by name.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// The number of known workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Connections that are open or being opened. An upper bound between two calls of
    /// [`WorkerPool::recount_connections`].
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Counts a connection that is about to be opened.
    pub fn reserve_connection(&mut self) {
        self.connections += 1;
    }

    /// Closes up to `max` idle connections, longest idle first, and returns how many it closed.
    pub fn close_idle(&mut self, max: usize) -> usize {
        let idle_since = |id: &String| Some((self.workers.get(id)?.transport.idle_since()?, id.clone()));
        let mut idle: Vec<(Instant, String)> = self.connected.iter().filter_map(idle_since).collect();
        idle.sort_unstable();
        idle.truncate(max);
        for (_, id) in &idle {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.transport.close_longest_idle();
            }
        }
        self.connections = self.connections.saturating_sub(idle.len());
        idle.len()
    }

    /// Checks that connections with outstanding replies are still alive.
    pub fn check_liveness(&mut self) {
        self.for_each_connected(|worker| worker.transports().for_each(|t| t.check_liveness()));
    }

    /// Counts the connections again, without those that have ended since the last count, and returns their
    /// number.
    pub fn recount_connections(&mut self) -> usize {
        self.connections =
            self.connected.iter().filter_map(|id| self.workers.get(id)).map(Worker::connections).sum();
        self.connections
    }

    /// Closes connections that have been idle for long, and removes gone workers without connections. Workers
    /// are replaced by new ones all the time, so the pool would grow without bound otherwise.
    pub fn sweep(&mut self) {
        self.for_each_connected(Worker::sweep);
        let workers = &self.workers;
        self.connected.retain(|id| workers.get(id).is_some_and(|w| !w.is_idle()));
        let is_needed = |w: &Worker| w.listing.state != WorkerState::Gone || !w.is_idle();
        self.workers.retain(|_, w| is_needed(w));
    }

    fn for_each_connected(&mut self, mut visit: impl FnMut(&mut Worker)) {
        for id in &self.connected {
            if let Some(worker) = self.workers.get_mut(id) {
                visit(worker);
            }
        }
    }

    /// Known workers whose address an update gives to another ready worker, listed as gone.
    ///
    /// The other worker may be new or may have moved there, and the list may report the end of the former
    /// worker only later. Until then calls would reach the new worker under the former one's name and load
    /// accounting.
    pub fn displaced_by(&self, source: WorkerProtocol, listed: &[ListedWorker]) -> Vec<ListedWorker> {
        let is_known_there =
            |l: &ListedWorker| self.workers.get(&l.id).is_some_and(|w| w.is_listed_at(l.address));
        let arrives = |l: &&ListedWorker| l.state == WorkerState::Ready && !is_known_there(l);
        let arrivals: HashMap<SocketAddr, &str> =
            listed.iter().filter(arrives).map(|l| (l.address, l.id.as_str())).collect();
        if arrivals.is_empty() {
            return Vec::new();
        }
        let is_displaced = |w: &Worker| {
            let arrival = arrivals.get(&w.listing.address).filter(|_| w.listing.state != WorkerState::Gone);
            arrival.is_some_and(|id| *id != w.listing.id)
        };
        let displaced = |w: &&Worker| w.listing.protocol == source && is_displaced(w);
        self.workers.values().filter(displaced).map(Worker::listing_as_gone).collect()
    }
}

/// Keeps one ready worker for each address, the one with the latest start or, of equal starts, the one listed
/// last. The others are marked as gone.
pub fn keep_one_per_address(listed: &mut [ListedWorker]) {
    let mut kept = BTreeMap::new();
    for (index, worker) in listed.iter().enumerate().filter(|(_, w)| w.state == WorkerState::Ready) {
        let best = kept.entry(worker.address).or_insert((worker.started_at, index));
        *best = (*best).max((worker.started_at, index));
    }
    for (index, worker) in listed.iter_mut().enumerate().filter(|(_, w)| w.state == WorkerState::Ready) {
        if kept.get(&worker.address).is_some_and(|&(_, last)| last != index) {
            log_limited!(
                "worker {}: removed: another worker is listed at its address {}",
                worker.id,
                worker.address
            );
            worker.state = WorkerState::Gone;
        }
    }
}
