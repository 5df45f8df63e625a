//! Cooperative scheduling: a coroutine that always finds something to do must let others run.
//!
//! `may` looks for ready sockets only once no coroutine is ready to run. A coroutine that never waits keeps
//! every other socket of the process from being served, and so does one that only yields: it is ready again at
//! once. Here such a coroutine pauses for as long as it has run. Pauses of a [`Group`] follow one another, so
//! that its busy coroutines together take at most half of the scheduler's time, however many they are.
use crate::timer;
use may::sync::Mutex;
use std::sync::{LazyLock, PoisonError};
use std::time::{Duration, Instant};

/// I/O operations without a wait after which a coroutine pauses. Each handles at most one buffer of data.
const OPERATIONS_PER_TURN: u32 = 4;
/// Longest pause. The time that a coroutine has run may include a stall of the whole machine.
const MAX_PAUSE: Duration = Duration::from_millis(5);

/// Coroutines that share the time for busy ones. Those of other groups do not wait for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// The listeners.
    Listeners,
    /// Connections of clients.
    Clients,
    /// Connections to workers.
    Workers,
    /// The connection to the discovery service.
    Discovery,
}

impl Group {
    /// The lock that a coroutine of the group holds while it pauses.
    fn pause_lock(self) -> &'static Mutex<()> {
        static LOCKS: LazyLock<[Mutex<()>; 4]> = LazyLock::new(Default::default);
        &LOCKS[self as usize]
    }
}

/// What one coroutine may still do before it has to pause.
#[derive(Clone, Debug)]
pub struct Budget {
    group: Group,
    /// Operations since the coroutine last waited or paused.
    operations: u32,
    /// When the first of them ended.
    started: Instant,
}

impl Budget {
    /// The budget of a coroutine that has only just begun.
    pub fn new(group: Group) -> Self {
        Budget { group, operations: 0, started: Instant::now() }
    }

    /// Records that the coroutine has waited, so that others could run.
    pub fn record_wait(&mut self) {
        self.operations = 0;
    }

    /// Records an operation that found something to do at once, and pauses if the budget is used up.
    pub fn record_operation(&mut self) {
        if self.operations == 0 {
            self.started = Instant::now();
        }
        self.operations += 1;
        if self.operations > OPERATIONS_PER_TURN {
            self.pause();
        }
    }

    fn pause(&mut self) {
        let time_run = self.started.elapsed();
        // A panic elsewhere leaves nothing half-changed behind this lock.
        let _turn = self.group.pause_lock().lock().unwrap_or_else(PoisonError::into_inner);
        pause(time_run.min(MAX_PAUSE));
        self.operations = 0;
    }
}

/// Lets other coroutines run for this time.
pub fn pause(duration: Duration) {
    timer::sleep(duration);
}
