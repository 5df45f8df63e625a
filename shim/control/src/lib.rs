//! The file that the fault tool and the shim share: what is to fail, and what has.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// The environment variable that names the file.
pub const CONTROL_VARIABLE: &str = "HERONSLIP_SHIM_CONTROL";

/// A kind of system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`: ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM.
    Accept,
    /// `socket`: EMFILE, ENFILE, ENOBUFS, ENOMEM.
    Socket,
    /// `connect`: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT.
    Connect,
    /// `recv` brings EINTR, or less than there is.
    Read,
    /// `send` brings EINTR, or takes less than there is.
    Write,
    /// `epoll_wait` brings EINTR.
    Wait,
    /// A connection that was reset shows as ETIMEDOUT or EHOSTUNREACH.
    Broken,
    /// The wall clock was read while it was stepped.
    WallClock,
}

/// All kinds, in the order of their counters.
pub const CALLS: [Call; 8] = [
    Call::Accept,
    Call::Socket,
    Call::Connect,
    Call::Read,
    Call::Write,
    Call::Wait,
    Call::Broken,
    Call::WallClock,
];

/// Of how many calls of each kind one fails, in thousandths.
pub type Rates = [u32; CALLS.len()];

/// The mapped file. All of it is atomic: the two sides are processes of their own.
#[repr(C)]
#[derive(Debug)]
pub struct Control {
    /// What is added to the wall clock, in nanoseconds.
    wall_step: AtomicI64,
    /// State of the random numbers.
    random: AtomicU64,
    injected: [AtomicU64; CALLS.len()],
    rates: [AtomicU32; CALLS.len()],
}

/// Bytes of the file.
pub const CONTROL_BYTES: usize = size_of::<Control>();

const MILLE: u64 = 1_000;
/// Weyl sequence and mixer of SplitMix64 (Steele, Lea, Flood 2014).
const WEYL: u64 = 0x9e37_79b9_7f4a_7c15;

impl Control {
    /// Starts the random numbers.
    pub fn seed(&self, seed: u64) {
        self.random.store(seed, Ordering::Relaxed);
    }

    /// Sets how often each kind fails, in thousandths.
    pub fn set_rates(&self, rates: &Rates) {
        for (to, rate) in self.rates.iter().zip(rates) {
            to.store(*rate, Ordering::Relaxed);
        }
    }

    /// Steps the wall clock to so many nanoseconds beside the true one.
    pub fn step_wall_clock(&self, nanoseconds: i64) {
        self.wall_step.store(nanoseconds, Ordering::Relaxed);
    }

    /// How often each kind was made to fail.
    pub fn injected(&self) -> [u64; CALLS.len()] {
        std::array::from_fn(|n| self.injected[n].load(Ordering::Relaxed))
    }

    /// What is added to the wall clock, in nanoseconds; counted if anything is.
    pub fn wall_step(&self) -> i64 {
        let step = self.wall_step.load(Ordering::Relaxed);
        if step != 0 {
            self.count(Call::WallClock);
        }
        step
    }

    /// Counts an injected fault.
    pub fn count(&self, call: Call) {
        self.injected[call as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// A random number.
    pub fn draw(&self) -> u64 {
        let mut z = self.random.fetch_add(WEYL, Ordering::Relaxed).wrapping_add(WEYL);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Whether this call is to fail; counted if so.
    pub fn fails(&self, call: Call) -> bool {
        let rate = self.rates[call as usize].load(Ordering::Relaxed);
        let fails = rate > 0 && self.draw() % MILLE < u64::from(rate);
        if fails {
            self.count(call);
        }
        fails
    }
}
