//! Timed waits of coroutines.
//!
//! A thread of its own keeps the deadlines and only wakes: a coroutine goes on where it ran before, on the
//! scheduler's thread. The timed waits of `may` must not be used in their place. They resume a coroutine on
//! `may`'s timer thread, beside the scheduler, and free a timer while a handle to it is still in use.
use may::sync::Blocker;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Condvar, LazyLock, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

static TIMERS: LazyLock<Arc<Timers>> = LazyLock::new(Timers::start);

/// Suspends the current coroutine for at least this long.
pub fn sleep(duration: Duration) {
    let sleeper = Sleeper::until(Instant::now() + duration);
    sleeper.wait();
}

/// One wait of the current coroutine, or thread, for whichever comes first: its deadline or
/// [`Waker::wake`].
pub struct Sleeper {
    blocker: Arc<Blocker>,
    key: TimerKey,
}

impl Sleeper {
    /// A wait that begins with [`Sleeper::wait`] and ends at the deadline. Belongs to the coroutine that calls
    /// this.
    pub fn until(deadline: Instant) -> Self {
        let blocker = Blocker::current();
        let key = TIMERS.schedule(deadline, blocker.clone());
        Sleeper { blocker, key }
    }

    /// What ends the wait before its deadline.
    pub fn waker(&self) -> Waker {
        Waker(self.blocker.clone())
    }

    /// Waits. Returns at once if the deadline has passed or the waker was used already.
    pub fn wait(&self) {
        // Fails only for a cancelled coroutine, and none ever is.
        let _ = self.blocker.park(None);
    }
}

impl Drop for Sleeper {
    fn drop(&mut self) {
        TIMERS.cancel(self.key);
    }
}

/// Ends the wait of one [`Sleeper`]; any thread may do so. Of no effect once the wait has ended.
pub struct Waker(Arc<Blocker>);

impl Waker {
    /// Ends the wait.
    pub fn wake(&self) {
        self.0.unpark();
    }

    /// Whether this is the waker of that wait.
    pub fn wakes(&self, sleeper: &Sleeper) -> bool {
        Arc::ptr_eq(&self.0, &sleeper.blocker)
    }
}

/// The deadline of a wait, and a number that tells it from others with the same deadline.
type TimerKey = (Instant, u64);

/// The waits of the process, by their deadlines.
#[derive(Default)]
struct Timers {
    pending: Mutex<Pending>,
    /// Notified when the earliest deadline has changed.
    earlier: Condvar,
}

#[derive(Default)]
struct Pending {
    waits: BTreeMap<TimerKey, Arc<Blocker>>,
    /// Number of the last wait.
    last_number: u64,
}

impl Pending {
    /// Removes and returns the waits whose deadline has passed.
    fn take_due(&mut self, now: Instant) -> BTreeMap<TimerKey, Arc<Blocker>> {
        let later = self.waits.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.waits, later)
    }
}

impl Timers {
    /// Starts the thread that wakes the coroutines.
    fn start() -> Arc<Timers> {
        let timers = Arc::<Timers>::default();
        let run = timers.clone();
        // A front end whose coroutines are no longer woken must not continue.
        let run_or_abort = move || match std::panic::catch_unwind(AssertUnwindSafe(|| run.run())) {
            Ok(never) => never,
            Err(_) => std::process::abort(),
        };
        let thread = std::thread::Builder::new().name("timers".to_owned()).spawn(run_or_abort);
        thread.expect("the timer thread starts");
        timers
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        // Each change under the lock is a single operation on the map, so a panic leaves it whole.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn schedule(&self, deadline: Instant, blocker: Arc<Blocker>) -> TimerKey {
        let mut pending = self.lock();
        pending.last_number += 1;
        let key = (deadline, pending.last_number);
        pending.waits.insert(key, blocker);
        let is_earliest = pending.waits.first_key_value().is_some_and(|(first, _)| *first == key);
        drop(pending);
        if is_earliest {
            self.earlier.notify_one();
        }
        key
    }

    fn cancel(&self, key: TimerKey) {
        let wait = self.lock().waits.remove(&key);
        drop(wait); // outside of the lock
    }

    /// Wakes each coroutine at its deadline, forever.
    fn run(&self) -> Infallible {
        let mut pending = self.lock();
        loop {
            let now = Instant::now();
            let due = pending.take_due(now);
            if due.is_empty() {
                pending = self.wait_for_next(pending, now);
                continue;
            }
            drop(pending);
            due.into_values().for_each(|blocker| blocker.unpark());
            pending = self.lock();
        }
    }

    /// Waits until the earliest deadline, or until there is an earlier one.
    fn wait_for_next<'a>(&self, pending: MutexGuard<'a, Pending>, now: Instant) -> MutexGuard<'a, Pending> {
        let earliest = pending.waits.first_key_value().map(|(&(deadline, _), _)| deadline);
        match earliest {
            None => self.earlier.wait(pending).unwrap_or_else(PoisonError::into_inner),
            Some(deadline) => {
                let waited = self.earlier.wait_timeout(pending, deadline.saturating_duration_since(now));
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        }
    }
}

/// Starts the timer thread, if it has not been started yet.
pub fn start() {
    LazyLock::force(&TIMERS);
}
