//! An unbounded queue from which several coroutines receive, each for a limited time.
use crate::timer::{Sleeper, Waker};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Why [`Receiver::receive_within`] has returned no item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveError {
    /// The time is up.
    TimedOut,
    /// The queue is empty and its sender is gone.
    Closed,
}

/// Creates an empty queue.
pub fn queue<T>() -> (Sender<T>, Receiver<T>) {
    let state = State { items: VecDeque::new(), waiting: VecDeque::new(), closed: false };
    let shared = Arc::new(Mutex::new(state));
    (Sender(shared.clone()), Receiver(shared))
}

/// The sending side of a queue. Dropping it closes the queue.
pub struct Sender<T>(Arc<Mutex<State<T>>>);

/// A receiving side of a queue. Each item goes to one of them.
pub struct Receiver<T>(Arc<Mutex<State<T>>>);

struct State<T> {
    items: VecDeque<T>,
    /// The receivers that wait, the longest-waiting first.
    waiting: VecDeque<Waker>,
    closed: bool,
}

fn lock<T>(state: &Mutex<State<T>>) -> MutexGuard<'_, State<T>> {
    // Each change under the lock is a single operation on a queue, so a panic leaves it whole.
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<T> Sender<T> {
    /// Adds an item and wakes the receiver that has waited longest.
    pub fn send(&self, item: T) {
        let mut state = lock(&self.0);
        state.items.push_back(item);
        let longest_waiting = state.waiting.pop_front();
        drop(state);
        if let Some(waker) = longest_waiting {
            waker.wake();
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.closed = true;
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        waiting.iter().for_each(Waker::wake);
    }
}

impl<T> Clone for Receiver<T> {
    fn clone(&self) -> Self {
        Receiver(self.0.clone())
    }
}

impl<T> Receiver<T> {
    /// Takes the oldest item; suspends the coroutine until there is one, for at most this long.
    ///
    /// # Errors
    /// Fails if the time is up, or once the sender is gone and all items are taken.
    pub fn receive_within(&self, timeout: Duration) -> Result<T, ReceiveError> {
        let deadline = Instant::now() + timeout;
        loop {
            let mut state = lock(&self.0);
            if let Some(item) = state.items.pop_front() {
                return Ok(item);
            }
            if state.closed {
                return Err(ReceiveError::Closed);
            }
            if Instant::now() >= deadline {
                return Err(ReceiveError::TimedOut);
            }
            let sleeper = Sleeper::until(deadline);
            state.waiting.push_back(sleeper.waker());
            drop(state);
            sleeper.wait();
            lock(&self.0).waiting.retain(|waker| !waker.wakes(&sleeper));
        }
    }
}
