//! Forgetting: which functions' records are dropped, and when.
//!
//! Clients choose the names of functions, so their number is bounded by time and by memory. When memory is
//! short, functions that were never served go first, then those called only once, then the others; within
//! each of these groups the least recently called. A client that calls ever new functions thus displaces its
//! own, not those that others call again and again.
use crate::interface::*;
use crate::state::*;
use std::mem::size_of;

/// Memory of a function without copies and preference order, in bytes: its record and its index entries.
const FUNCTION_BYTES: usize = size_of::<Function>() + 64;
/// Memory of a record of copies, in bytes, with its entry in the worker's index and the unused part of its
/// tree node.
const COPY_BYTES: usize = 2 * size_of::<CopyRecord>();
/// Copies that a new function of one of many front ends is taken to get records of, until they are counted.
const NEW_FUNCTION_COPIES: usize = 8;
/// When memory is short, this fraction (1/8) of it is freed at a time: finding what to forget visits all
/// functions.
const FREED_DIVISOR: usize = 8;

impl Function {
    /// Estimated memory of its records, in bytes.
    fn bytes(&self) -> usize {
        FUNCTION_BYTES
            + self.preferred.capacity() * size_of::<PreferredWorker>()
            + self.copies.len() * COPY_BYTES
    }

    /// Whether something of it is in flight or queued, so that it must not be forgotten.
    fn in_use(&self) -> bool {
        !self.queued.is_empty() || self.copies.values().any(CopyRecord::in_use)
    }
}

impl Controller {
    /// Whether a request of this function can be accepted: it is known, or there is memory for another one.
    pub(crate) fn has_room_for(&mut self, function: FunctionId) -> bool {
        let limit = self.settings.function_memory;
        if limit == 0 || self.function_slots.contains_key(&function) {
            return true;
        }
        let needed = self.new_function_bytes();
        if self.function_bytes + needed > limit {
            self.free_function_memory(limit - limit / FREED_DIVISOR);
        }
        let has_room = self.function_bytes + needed <= limit;
        if has_room {
            self.function_bytes += needed;
        }
        has_room
    }

    /// Memory that a new function is taken to need until its records are counted, in bytes.
    fn new_function_bytes(&self) -> usize {
        // A single front end queries all workers.
        let copies = if self.settings.front_ends > 1 { NEW_FUNCTION_COPIES } else { self.workers.len() };
        FUNCTION_BYTES + MIN_PREFERRED * size_of::<PreferredWorker>() + copies * COPY_BYTES
    }

    /// Counts the memory of the functions' records, and forgets some functions if it exceeds the limit.
    pub(crate) fn bound_function_memory(&mut self) {
        let limit = self.settings.function_memory;
        if limit == 0 {
            return;
        }
        self.count_function_bytes();
        if self.function_bytes > limit {
            self.free_function_memory(limit - limit / FREED_DIVISOR);
        }
    }

    fn count_function_bytes(&mut self) {
        let known = self.function_slots.values().map(|&function_slot| self.functions[function_slot].bytes());
        self.function_bytes = known.sum();
    }

    /// Forgets functions until the records take at most `target` bytes, or all that are left are in use.
    fn free_function_memory(&mut self, target: usize) {
        self.count_function_bytes();
        let slots = self.function_slots.values().copied();
        let mut unused: Vec<usize> = slots.filter(|&slot| !self.functions[slot].in_use()).collect();
        unused.sort_by_cached_key(|&slot| {
            let function = &self.functions[slot];
            (function.ever_served, function.called_again, function.last_call)
        });
        for function_slot in unused {
            if self.function_bytes <= target {
                return;
            }
            self.function_bytes -= self.functions[function_slot].bytes();
            self.forget_function(function_slot);
        }
    }

    /// Forgets functions not called since `before` that have nothing in flight or queued.
    pub(crate) fn forget_idle_functions(&mut self, before: Micros) {
        for function_slot in 0..self.functions.len() {
            let function = &self.functions[function_slot];
            let is_known = self.function_slots.get(&function.id) == Some(&function_slot);
            if is_known && function.last_call <= before && !function.in_use() {
                self.forget_function(function_slot);
            }
        }
    }

    /// Drops all records of a function that has nothing in flight or queued.
    fn forget_function(&mut self, function_slot: usize) {
        let function = std::mem::take(&mut self.functions[function_slot]);
        self.function_slots.remove(&function.id);
        for worker_slot in function.copies.into_keys() {
            self.workers[worker_slot].functions.remove(&function_slot);
        }
        self.free_slots.push(function_slot);
    }
}
