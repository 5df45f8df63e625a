//! The worker list as the discovery server keeps it: entries and numbered events.
use crate::experiment::Experiment;
use heronslip_policy::{Micros, WorkerEntry, WorkerState};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of an entry in the discovery server's JSON, without the worker's name: keys, punctuation, address,
/// zone and machine type.
const ENTRY_BYTES: usize = 140;
/// Bytes of an event in the discovery server's JSON, without its entries.
const EVENT_BYTES: usize = 80;

/// A numbered event of the discovery server.
#[derive(Clone, Debug)]
pub struct ListEvent {
    /// Its number, from 1 on.
    pub number: u64,
    /// When it happened.
    pub at: Micros,
    /// The entries it changes.
    pub entries: Vec<WorkerEntry>,
}

impl ListEvent {
    /// Size of the event in bytes, as the discovery server sends it.
    pub fn bytes(&self) -> usize {
        event_bytes(&self.entries)
    }
}

fn event_bytes(entries: &[WorkerEntry]) -> usize {
    EVENT_BYTES + entries.iter().map(|e| ENTRY_BYTES + e.worker.len()).sum::<usize>()
}

/// The listed name of a worker. Replacing its machine changes the name.
fn worker_name(worker: usize, generation: u32) -> String {
    format!("w{worker:05}-{generation}")
}

/// The number of the worker that is listed under this name.
pub fn worker_number(name: &str) -> Option<usize> {
    name.strip_prefix('w')?.split('-').next()?.parse().ok()
}

/// The current worker list and its most recent events.
#[derive(Debug)]
pub struct WorkerList {
    entries: Vec<WorkerEntry>,
    /// How often each worker's machine was replaced.
    generations: Vec<u32>,
    history: VecDeque<Arc<ListEvent>>,
    max_history: usize,
    last_event: u64,
}

impl WorkerList {
    /// A list of all workers, all ready, as event 1.
    pub fn new(experiment: &Experiment, machine_types: usize) -> Self {
        let zones = experiment.fleet.zones as usize;
        let entry = |n: usize| WorkerEntry {
            worker: worker_name(n, 0),
            state: WorkerState::Ready,
            started_at: 0,
            zone: n % zones,
            machine_type: n % machine_types.max(1),
            cell: (n % zones) as u64,
        };
        let workers = experiment.fleet.workers as usize;
        WorkerList {
            entries: (0..workers).map(entry).collect(),
            generations: vec![0; workers],
            history: VecDeque::new(),
            max_history: experiment.discovery.history as usize,
            last_event: 1,
        }
    }

    /// All entries except those of workers that are gone.
    pub fn snapshot(&self) -> Vec<WorkerEntry> {
        self.entries.iter().filter(|e| e.state != WorkerState::Gone).cloned().collect()
    }

    /// Size of the full list in bytes, as the discovery server sends it.
    pub fn snapshot_bytes(&self) -> usize {
        event_bytes(&self.entries)
    }

    /// The number of the most recent event.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// The zone of a worker.
    pub fn zone(&self, worker: usize) -> usize {
        self.entries[worker].zone
    }

    /// The events after a number, or `None` if the history no longer holds all of them.
    pub fn events_after(&self, number: u64) -> Option<Vec<Arc<ListEvent>>> {
        let missed = (self.last_event - number) as usize;
        (missed <= self.history.len())
            .then(|| self.history.iter().rev().take(missed).rev().cloned().collect())
    }

    /// Lists workers as gone: their processes ended.
    pub fn mark_gone(&mut self, now: Micros, workers: &[usize]) -> Arc<ListEvent> {
        workers.iter().for_each(|&w| self.entries[w].state = WorkerState::Gone);
        let entries = workers.iter().map(|&w| self.entries[w].clone()).collect();
        self.push_event(now, entries)
    }

    /// Lists workers as ready: their processes restarted.
    pub fn mark_ready(&mut self, now: Micros, workers: &[usize]) -> Arc<ListEvent> {
        for &w in workers {
            (self.entries[w].state, self.entries[w].started_at) = (WorkerState::Ready, now);
        }
        let entries = workers.iter().map(|&w| self.entries[w].clone()).collect();
        self.push_event(now, entries)
    }

    /// Replaces workers by new machines under new names.
    pub fn replace(&mut self, now: Micros, workers: &[usize]) -> Arc<ListEvent> {
        let mut changed = Vec::with_capacity(2 * workers.len());
        for &w in workers {
            changed.push(WorkerEntry { state: WorkerState::Gone, ..self.entries[w].clone() });
            self.generations[w] += 1;
            let worker = worker_name(w, self.generations[w]);
            let replacement =
                WorkerEntry { worker, started_at: now, state: WorkerState::Ready, ..self.entries[w].clone() };
            self.entries[w] = replacement.clone();
            changed.push(replacement);
        }
        self.push_event(now, changed)
    }

    fn push_event(&mut self, at: Micros, entries: Vec<WorkerEntry>) -> Arc<ListEvent> {
        self.last_event += 1;
        let event = Arc::new(ListEvent { number: self.last_event, at, entries });
        self.history.push_back(event.clone());
        if self.history.len() > self.max_history {
            self.history.pop_front();
        }
        event
    }
}
