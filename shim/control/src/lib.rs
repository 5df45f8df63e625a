//! The file that the fault tool and the shim share: what is to fail, and what has.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fs::File;
use std::io;
use std::mem::offset_of;
use std::os::unix::fs::FileExt;
use std::path::Path;
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

/// The file as the fault tool writes and reads it, also while a shim has it mapped.
#[derive(Debug)]
pub struct ControlFile(File);

impl ControlFile {
    /// Makes a file in which nothing fails, with random numbers from this seed.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; CONTROL_BYTES], 0)?;
        file.write_all_at(&seed.to_ne_bytes(), offset_of!(Control, random) as u64)?;
        Ok(ControlFile(file))
    }

    /// Sets how often each kind of call fails.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn set_rates(&self, rates: &Rates) -> io::Result<()> {
        let bytes: Vec<u8> = rates.iter().flat_map(|rate| rate.to_ne_bytes()).collect();
        self.0.write_all_at(&bytes, offset_of!(Control, rates) as u64)
    }

    /// Steps the wall clock to so many nanoseconds beside the true one.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn step_wall_clock(&self, nanoseconds: i64) -> io::Result<()> {
        self.0.write_all_at(&nanoseconds.to_ne_bytes(), offset_of!(Control, wall_step) as u64)
    }

    /// How often each kind was made to fail so far.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn injected(&self) -> io::Result<[u64; CALLS.len()]> {
        let mut bytes = [0; 8 * CALLS.len()];
        self.0.read_exact_at(&mut bytes, offset_of!(Control, injected) as u64)?;
        let (counts, _) = bytes.as_chunks::<8>();
        Ok(std::array::from_fn(|n| u64::from_ne_bytes(counts[n])))
    }
}
