//! Memory footprint of a controller, for capacity planning: counts of its records, and their size in bytes.
use crate::interface::RequestId;
use crate::state::{Attempt, Controller, CopyRecord, Function, PreferredWorker, Request, Worker};
use std::mem::size_of;

/// Records that a [`Controller`] keeps. The counts are exact; [`Footprint::bytes`] is computed from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Known workers, including removed ones whose slot has not been reused.
    pub workers: usize,
    /// Known functions.
    pub functions: usize,
    /// Pairs of a function and a worker with a record of copies.
    pub copies: usize,
    /// Cached entries of the functions' preference orders.
    pub preferences: usize,
    /// Open requests.
    pub requests: usize,
}

impl Footprint {
    /// Bytes that these records take, without the allocator's overhead and the unused capacity of the trees.
    pub fn bytes(&self) -> usize {
        // A worker's name, taken as 16 bytes, is kept in its entry and in the index.
        let names = 2 * 16;
        let index = size_of::<usize>();
        self.workers * (size_of::<Worker>() + names + 4 * index)
            + self.functions * (size_of::<Function>() + 3 * index)
            + self.copies * (size_of::<CopyRecord>() + 3 * index)
            + self.preferences * size_of::<PreferredWorker>()
            + self.requests * (size_of::<RequestId>() + size_of::<Request>() + size_of::<Attempt>())
    }
}

impl Controller {
    /// The current footprint. Visits all records.
    pub fn footprint(&self) -> Footprint {
        let functions = || self.functions.iter();
        Footprint {
            workers: self.workers.len(),
            functions: self.function_slots.len(),
            copies: functions().map(|function| function.copies.len()).sum(),
            preferences: functions().map(|function| function.preferred.len()).sum(),
            requests: self.requests.len(),
        }
    }
}
