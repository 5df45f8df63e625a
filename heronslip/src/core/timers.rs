//! The core's timers in one heap. Those no longer needed are ignored when they fire, and are removed before
//! where there are many.
use crate::messages::AttemptKey;
use heronslip_policy::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Longest wait for the next timer, also if none is scheduled.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Fewer timers than this are not looked through for those no longer needed.
const MIN_PRUNED: usize = 1_024;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The controller's timer with this token.
    Controller(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptKey),
    /// The load command with this number times out.
    LoadTimeout(u64),
    /// The probe with this number times out.
    ProbeTimeout(u64),
    /// The client of the request with this number stops waiting.
    RequestDeadline(u64),
    /// Worker connections are checked for liveness.
    LivenessCheck,
    /// Idle worker connections and removed workers are cleaned up.
    Sweep,
}

/// The heap of timers. Timers with the same time fire in the order in which they were scheduled.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    last_sequence: u64,
    /// Timers that were left when they were last pruned.
    left_by_pruning: usize,
}

impl Timers {
    /// Adds a timer that fires at this time.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, timer)));
    }

    /// Whether there are so many timers that [`Timers::prune`] is worth its cost: twice as many as it left.
    pub fn should_prune(&self) -> bool {
        self.heap.len() >= MIN_PRUNED.max(2 * self.left_by_pruning)
    }

    /// Removes the timers that are no longer needed, and releases their memory.
    pub fn prune(&mut self, is_needed: impl Fn(&Timer) -> bool) {
        self.heap.retain(|Reverse((_, _, timer))| is_needed(timer));
        self.left_by_pruning = self.heap.len();
        self.heap.shrink_to(MIN_PRUNED.max(2 * self.left_by_pruning));
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        match self.heap.peek() {
            Some(Reverse((at, _, _))) if *at <= now => self.heap.pop().map(|Reverse((_, _, timer))| timer),
            _ => None,
        }
    }

    /// By how much the next timer is overdue.
    pub fn lateness(&self, now: Micros) -> Micros {
        self.heap.peek().map_or(0, |Reverse((at, _, _))| now.saturating_sub(*at))
    }

    /// Time until the next timer is due, at most [`MAX_SLEEP`].
    pub fn time_to_next(&self, now: Micros) -> Duration {
        let next = self.heap.peek().map(|Reverse((at, _, _))| at.saturating_sub(now));
        next.map_or(MAX_SLEEP, |n| Duration::from_micros(n).min(MAX_SLEEP))
    }
}
