//! The memory budget: bounds the bytes that are kept for others, such as requests and unsent responses.
//!
//! A [`MemoryBudget`] is shared. An [`Account`] draws on it and may have a guaranteed part of its own, which it
//! can use however much the others take. A [`Reservation`] holds bytes of an account and releases them when it
//! is dropped.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bounds the bytes that all its accounts together hold beyond their guaranteed parts.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    pool: Arc<Pool>,
    /// The account of reservations that belong to no other.
    common: Arc<Account>,
}

#[derive(Debug)]
struct Pool {
    /// Bytes that the accounts hold in all.
    held: AtomicUsize,
    /// Bytes that they hold beyond their guaranteed parts.
    shared: AtomicUsize,
    /// Maximum of `shared`.
    limit: usize,
}

impl Pool {
    /// Takes bytes beyond a guaranteed part; nothing if fewer are left.
    fn take_shared(&self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let before = self.shared.fetch_add(bytes, Ordering::Relaxed);
        let fits = before.saturating_add(bytes) <= self.limit;
        if !fits {
            self.shared.fetch_sub(bytes, Ordering::Relaxed);
        }
        fits
    }
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let pool = Arc::new(Pool { held: AtomicUsize::new(0), shared: AtomicUsize::new(0), limit });
        let common = Arc::new(Account::new(pool.clone(), 0));
        MemoryBudget { pool, common }
    }

    /// An account that can always hold `guaranteed` bytes, which do not count towards the budget.
    pub fn open_account(&self, guaranteed: usize) -> Arc<Account> {
        Arc::new(Account::new(self.pool.clone(), guaranteed))
    }

    /// Reserves bytes, or nothing if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.common.reserve(bytes)
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
}

impl Balance {
    /// Bytes beyond the guaranteed part.
    fn shared(self) -> usize {
        self.held.saturating_sub(self.guaranteed)
    }
}

impl Account {
    fn new(pool: Arc<Pool>, guaranteed: usize) -> Self {
        Account { pool, balance: Mutex::new(Balance { held: 0, guaranteed }) }
    }

    /// Reserves bytes, or nothing if fewer are available.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { account: self.clone(), bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Bytes that the account holds now.
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Ends the guarantee: what the account still holds counts towards the budget.
    pub fn close(&self) {
        let mut balance = self.lock();
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
        let fits = self.pool.take_shared(after.shared() - balance.shared());
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
