//! The list of workers as the board keeps it: entries, numbered events, and how late each is told.
use crate::experiment::Experiment;
use heronslip_policy::{Micros, WorkerEntry, WorkerState};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of an entry in the board's form beside its worker's name: keys, punctuation, address, zone and kind.
const ENTRY_BYTES: usize = 140;
/// Bytes of an event round its entries.
const EVENT_BYTES: usize = 80;

/// One numbered event of the board.
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
    /// Bytes of the event in the board's form.
    pub fn bytes(&self) -> usize {
        event_bytes(&self.entries)
    }
}

fn event_bytes(entries: &[WorkerEntry]) -> usize {
    EVENT_BYTES + entries.iter().map(|e| ENTRY_BYTES + e.worker.len()).sum::<usize>()
}

/// The name of the process that runs at a worker's place: it changes when a machine is replaced.
fn name(worker: usize, machine: u32) -> String {
    format!("w{worker:05}-{machine}")
}

/// The worker's place behind a name of the list.
pub fn worker_number(name: &str) -> Option<usize> {
    name.strip_prefix('w')?.split('-').next()?.parse().ok()
}

/// The present list and the events that led to it.
#[derive(Debug)]
pub struct List {
    entries: Vec<WorkerEntry>,
    machines: Vec<u32>,
    history: VecDeque<Arc<ListEvent>>,
    most_history: usize,
    last: u64,
}

impl List {
    /// All workers ready, as event 1.
    pub fn new(experiment: &Experiment, kinds: usize) -> Self {
        let zones = experiment.fleet.zones as usize;
        let entry = |n: usize| WorkerEntry {
            worker: name(n, 0),
            state: WorkerState::Ready,
            started_at: 0,
            zone: n % zones,
            machine_type: n % kinds.max(1),
            cell: (n % zones) as u64,
        };
        let workers = experiment.fleet.workers as usize;
        List {
            entries: (0..workers).map(entry).collect(),
            machines: vec![0; workers],
            history: VecDeque::new(),
            most_history: experiment.board.history as usize,
            last: 1,
        }
    }

    /// Every entry that is not gone.
    pub fn whole(&self) -> Vec<WorkerEntry> {
        self.entries.iter().filter(|e| e.state != WorkerState::Gone).cloned().collect()
    }

    /// Bytes of the whole list in the board's form.
    pub fn whole_bytes(&self) -> usize {
        event_bytes(&self.entries)
    }

    /// The last event's number.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The zone of a worker.
    pub fn zone(&self, worker: usize) -> usize {
        self.entries[worker].zone
    }

    /// The events after a number, or nothing if the board does not have them all any more.
    pub fn since(&self, number: u64) -> Option<Vec<Arc<ListEvent>>> {
        let missed = (self.last - number) as usize;
        (missed <= self.history.len())
            .then(|| self.history.iter().rev().take(missed).rev().cloned().collect())
    }

    /// Workers whose processes ended.
    pub fn gone(&mut self, now: Micros, workers: &[usize]) -> Arc<ListEvent> {
        workers.iter().for_each(|&w| self.entries[w].state = WorkerState::Gone);
        let entries = workers.iter().map(|&w| self.entries[w].clone()).collect();
        self.push(now, entries)
    }

    /// Workers whose processes started anew.
    pub fn back(&mut self, now: Micros, workers: &[usize]) -> Arc<ListEvent> {
        for &w in workers {
            (self.entries[w].state, self.entries[w].started_at) = (WorkerState::Ready, now);
        }
        let entries = workers.iter().map(|&w| self.entries[w].clone()).collect();
        self.push(now, entries)
    }

    /// Workers replaced by new machines under new names.
    pub fn replaced(&mut self, now: Micros, workers: &[usize]) -> Arc<ListEvent> {
        let mut changed = Vec::with_capacity(2 * workers.len());
        for &w in workers {
            changed.push(WorkerEntry { state: WorkerState::Gone, ..self.entries[w].clone() });
            self.machines[w] += 1;
            let worker = name(w, self.machines[w]);
            let fresh =
                WorkerEntry { worker, started_at: now, state: WorkerState::Ready, ..self.entries[w].clone() };
            self.entries[w] = fresh.clone();
            changed.push(fresh);
        }
        self.push(now, changed)
    }

    fn push(&mut self, at: Micros, entries: Vec<WorkerEntry>) -> Arc<ListEvent> {
        self.last += 1;
        let event = Arc::new(ListEvent { number: self.last, at, entries });
        self.history.push_back(event.clone());
        if self.history.len() > self.most_history {
            self.history.pop_front();
        }
        event
    }
}
