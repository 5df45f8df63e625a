//! The memory budget: bounds the bytes that are kept for others, such as requests and unsent responses.
//!
//! A [`MemoryBudget`] is shared. An [`Account`] draws on it and may have a guaranteed part of its own, which it
//! can use however much the others take. Beyond that, one half of the budget goes to whoever comes first, and
//! the other half to accounts that hold less than an equal share of it. A [`Reservation`] holds bytes of an
//! account and releases them when it is dropped.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bounds the bytes that all its accounts together hold beyond their guaranteed parts.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    pool: Arc<Pool>,
}

#[derive(Debug)]
struct Pool {
    /// Bytes that the accounts hold in all.
    held: AtomicUsize,
    /// Bytes that they hold beyond their guaranteed parts.
    shared: AtomicUsize,
    /// Maximum of `shared`.
    limit: usize,
    /// Accounts that are open.
    accounts: AtomicUsize,
}

impl Pool {
    /// What an account may hold beyond its guaranteed part once half of the budget is used.
    fn equal_share(&self) -> usize {
        self.limit / 2 / self.accounts.load(Ordering::Relaxed).max(1)
    }

    /// Takes bytes beyond a guaranteed part for an account that will then hold `after` such bytes; nothing if
    /// fewer are left.
    fn take_shared(&self, bytes: usize, after: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let limit = if after <= self.equal_share() { self.limit } else { self.limit / 2 };
        let before = self.shared.fetch_add(bytes, Ordering::Relaxed);
        let fits = before.saturating_add(bytes) <= limit;
        if !fits {
            self.shared.fetch_sub(bytes, Ordering::Relaxed);
        }
        fits
    }
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let [held, shared, accounts] = [0, 0, 0].map(AtomicUsize::new);
        MemoryBudget { pool: Arc::new(Pool { held, shared, limit, accounts }) }
    }

    /// An account that can always hold `guaranteed` bytes, which do not count towards the budget.
    pub fn open_account(&self, guaranteed: usize) -> Arc<Account> {
        self.pool.accounts.fetch_add(1, Ordering::Relaxed);
        let balance = Mutex::new(Balance { held: 0, guaranteed, is_open: true });
        Arc::new(Account { pool: self.pool.clone(), balance })
    }

    /// Bytes that are reserved now, guaranteed parts included.
    pub fn used(&self) -> usize {
        self.pool.held.load(Ordering::Relaxed)
    }
}

/// One of those who draw on a [`MemoryBudget`].
#[derive(Debug)]
pub struct Account {
    pool: Arc<Pool>,
    balance: Mutex<Balance>,
}

/// Bytes of an account.
#[derive(Clone, Copy, Debug)]
struct Balance {
    held: usize,
    guaranteed: usize,
    is_open: bool,
}

impl Balance {
    /// Bytes beyond the guaranteed part.
    fn shared(self) -> usize {
        self.held.saturating_sub(self.guaranteed)
    }
}

impl Account {
    /// Reserves bytes, or nothing if fewer are available.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { account: self.clone(), bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Bytes that the account holds now.
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Closes the account, which ends the guarantee: what it still holds counts towards the budget.
    pub fn close(&self) {
        let mut balance = self.lock();
        if !std::mem::take(&mut balance.is_open) {
            return;
        }
        self.pool.accounts.fetch_sub(1, Ordering::Relaxed);
        let shared_before = balance.shared();
        balance.guaranteed = 0;
        self.pool.shared.fetch_add(balance.shared() - shared_before, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Balance> {
        // Each change under the lock is complete before anything can panic.
        self.balance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, bytes: usize) -> bool {
        let mut balance = self.lock();
        let after = Balance { held: balance.held + bytes, ..*balance };
        let fits = self.pool.take_shared(after.shared() - balance.shared(), after.shared());
        if fits {
            *balance = after;
            self.pool.held.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    /// Takes bytes whether or not they are available.
    fn overdraw(&self, bytes: usize) {
        let mut balance = self.lock();
        let after = Balance { held: balance.held + bytes, ..*balance };
        self.pool.shared.fetch_add(after.shared() - balance.shared(), Ordering::Relaxed);
        self.pool.held.fetch_add(bytes, Ordering::Relaxed);
        *balance = after;
    }

    fn release(&self, bytes: usize) {
        let mut balance = self.lock();
        let after = Balance { held: balance.held - bytes, ..*balance };
        self.pool.shared.fetch_sub(balance.shared() - after.shared(), Ordering::Relaxed);
        self.pool.held.fetch_sub(bytes, Ordering::Relaxed);
        *balance = after;
    }
}

/// Bytes reserved in a [`MemoryBudget`]. Dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Account>,
    bytes: usize,
}

impl Reservation {
    /// The reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes. Returns false, and reserves nothing, if fewer are available.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.account.take(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Changes the number of reserved bytes. Returns false, and changes nothing, if more are wanted than are
    /// available.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.account.release(self.bytes - bytes);
        self.bytes = bytes;
        true
    }

    /// Changes the number of reserved bytes, beyond the budget if need be: for bytes that are in memory
    /// already and cannot be given up.
    pub fn force_resize(&mut self, bytes: usize) {
        if !self.resize(bytes) {
            self.account.overdraw(bytes - self.bytes);
            self.bytes = bytes;
        }
    }

    /// Moves up to `bytes` of it to a reservation of their own.
    pub fn split(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation { account: self.account.clone(), bytes }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.release(self.bytes);
    }
}
