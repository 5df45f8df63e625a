//! The ids of requests, which must not reach a worker twice: those of open requests, and those that were sent
//! to a worker and may still be running there or have run.
use heronslip_policy::Micros;
use std::collections::{HashMap, VecDeque};

/// Memory of a remembered id, in bytes: its entries in the table and in the order, with their unused parts.
const REMEMBERED_ID_BYTES: usize = 64;

/// What is known of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdState {
    /// A request with it is open, or an attempt of one.
    Open,
    /// A request with it may have run; it is remembered until then.
    Remembered(Micros),
}

/// The ids that may not be used for another request now.
pub struct WireIds {
    states: HashMap<u64, IdState>,
    /// The remembered ids in the order in which they were remembered, with the time until which each is.
    remembered: VecDeque<(u64, Micros)>,
    max_remembered: usize,
}

impl WireIds {
    /// Knows no ids, and will remember as many as fit into `memory` bytes. Beyond that the oldest are
    /// forgotten.
    pub fn new(memory: usize) -> Self {
        let max_remembered = memory / REMEMBERED_ID_BYTES;
        WireIds { states: HashMap::new(), remembered: VecDeque::new(), max_remembered }
    }

    /// Records that a request with this id is open. Returns whether no other one is, or may have run.
    pub fn open(&mut self, id: u64, now: Micros) -> bool {
        self.forget_expired(now);
        let is_free = !self.states.contains_key(&id);
        if is_free {
            self.states.insert(id, IdState::Open);
        }
        is_free
    }

    /// Records that the request with this id has ended, and that nothing of it can have run.
    pub fn release(&mut self, id: u64) {
        self.states.remove(&id);
    }

    /// Records that the request with this id has ended, and that it may have run.
    pub fn remember(&mut self, id: u64, until: Micros) {
        self.states.insert(id, IdState::Remembered(until));
        self.remembered.push_back((id, until));
        while self.remembered.len() > self.max_remembered {
            self.forget_oldest();
        }
    }

    /// Forgets the oldest ids as far as their time is over. An id behind one that is remembered for longer
    /// stays as long as that.
    fn forget_expired(&mut self, now: Micros) {
        while self.remembered.front().is_some_and(|&(_, until)| until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((id, until)) = self.remembered.pop_front() {
            if self.states.get(&id) == Some(&IdState::Remembered(until)) {
                self.states.remove(&id);
            }
        }
    }
}
