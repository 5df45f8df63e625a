//! How much a controller keeps, for those who plan for larger fleets: counts of its records, and their bytes.
use crate::interface::RequestId;
use crate::state::{Attempt, Controller, CopyRecord, Function, PreferredWorker, Request, Worker};
use std::mem::size_of;

/// Records that a [`Controller`] keeps. Counts are exact; [`Footprint::bytes`] is worked out from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Workers known, gone ones included whose place has not been taken.
    pub workers: usize,
    /// Functions remembered.
    pub functions: usize,
    /// Pairs of a function and a worker of which something is known.
    pub copies: usize,
    /// Entries of the orders in which functions look at workers.
    pub preferences: usize,
    /// Requests that are open.
    pub requests: usize,
}

impl Footprint {
    /// Bytes that these records take, without the allocator's own and the trees' spare room.
    pub fn bytes(&self) -> usize {
        let name = 2 * 16; // a worker's name, in its entry and in the index
        let index = size_of::<usize>();
        self.workers * (size_of::<Worker>() + name + 4 * index)
            + self.functions * (size_of::<Function>() + 3 * index)
            + self.copies * (size_of::<CopyRecord>() + 3 * index)
            + self.preferences * size_of::<PreferredWorker>()
            + self.requests * (size_of::<RequestId>() + size_of::<Request>() + size_of::<Attempt>())
    }
}

impl Controller {
    /// What is kept now. Walks all records.
    pub fn footprint(&self) -> Footprint {
        let functions = || self.functions.iter();
        Footprint {
            workers: self.workers.len(),
            functions: self.function_ids.len(),
            copies: functions().map(|f| f.copies.len()).sum(),
            preferences: functions().map(|f| f.preferred.len()).sum(),
            requests: self.requests.len(),
        }
    }
}
