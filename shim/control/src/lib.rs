//! The control file that the fault injection tool and the shim share: failure rates and counts of injected
//! faults.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fs::File;
use std::io;
use std::mem::offset_of;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// The environment variable that holds the path of the control file.
pub const CONTROL_VARIABLE: &str = "HERONSLIP_SHIM_CONTROL";

/// A kind of system call into which faults can be injected.
///
/// The order of the variants is the order of the rates and counters in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept4` fails with ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS or ENOMEM.
    Accept,
    /// `socket` fails with EMFILE, ENFILE, ENOBUFS or ENOMEM.
    Socket,
    /// `connect` fails with EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH or ETIMEDOUT.
    Connect,
    /// `recv` fails with EINTR, or returns fewer bytes than are available.
    Read,
    /// `send` fails with EINTR, or writes fewer bytes than it was given.
    Write,
    /// `epoll_wait` fails with EINTR.
    Wait,
    /// `recv` or `send` on a reset connection reports ETIMEDOUT or EHOSTUNREACH instead of ECONNRESET.
    Broken,
    /// The wall clock was read while it had an offset.
    WallClock,
}

/// All kinds, in the order of their rates and counters.
pub const SYSTEM_CALLS: [SystemCall; 8] = [
    SystemCall::Accept,
    SystemCall::Socket,
    SystemCall::Connect,
    SystemCall::Read,
    SystemCall::Write,
    SystemCall::Wait,
    SystemCall::Broken,
    SystemCall::WallClock,
];

/// Failing calls per thousand, for each kind.
pub type FailureRates = [u32; SYSTEM_CALLS.len()];

/// The contents of the control file as both sides map it; all fields are atomic because two processes share
/// them.
#[repr(C)]
#[derive(Debug)]
pub struct Control {
    wall_clock_offset_ns: AtomicI64,
    /// State of the random number generator.
    random: AtomicU64,
    injected: [AtomicU64; SYSTEM_CALLS.len()],
    rates: [AtomicU32; SYSTEM_CALLS.len()],
}

/// Size of the control file in bytes.
pub const CONTROL_BYTES: usize = size_of::<Control>();

const PER_MILLE: u64 = 1_000;
/// Increment of SplitMix64 (Steele, Lea, Flood 2014).
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

impl Control {
    /// The offset to add to the wall clock, in nanoseconds. An offset other than 0 is counted as an injected
    /// fault.
    pub fn wall_clock_offset_ns(&self) -> i64 {
        let offset = self.wall_clock_offset_ns.load(Ordering::Relaxed);
        if offset != 0 {
            self.count_injected(SystemCall::WallClock);
        }
        offset
    }

    /// Counts an injected fault.
    pub fn count_injected(&self, call: SystemCall) {
        self.injected[call as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Draws a random number (SplitMix64).
    pub fn next_random(&self) -> u64 {
        let mut z =
            self.random.fetch_add(SPLITMIX64_INCREMENT, Ordering::Relaxed).wrapping_add(SPLITMIX64_INCREMENT);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Decides at random whether this call is to fail, and counts it if so.
    pub fn should_fail(&self, call: SystemCall) -> bool {
        let rate = self.rates[call as usize].load(Ordering::Relaxed);
        let fails = rate > 0 && self.next_random() % PER_MILLE < u64::from(rate);
        if fails {
            self.count_injected(call);
        }
        fails
    }
}

/// The control file as the fault injection tool writes and reads it, also while a shim has it mapped.
#[derive(Debug)]
pub struct ControlFile(File);

impl ControlFile {
    /// Creates a control file in which all failure rates are 0.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; CONTROL_BYTES], 0)?;
        file.write_all_at(&seed.to_ne_bytes(), offset_of!(Control, random) as u64)?;
        Ok(ControlFile(file))
    }

    /// Sets the failure rate of each kind of system call.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn set_rates(&self, rates: &FailureRates) -> io::Result<()> {
        let bytes: Vec<u8> = rates.iter().flat_map(|rate| rate.to_ne_bytes()).collect();
        self.0.write_all_at(&bytes, offset_of!(Control, rates) as u64)
    }

    /// Sets the offset of the wall clock from the true time.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn set_wall_clock_offset(&self, nanoseconds: i64) -> io::Result<()> {
        self.0.write_all_at(&nanoseconds.to_ne_bytes(), offset_of!(Control, wall_clock_offset_ns) as u64)
    }

    /// The number of faults injected so far, for each kind.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn injected(&self) -> io::Result<[u64; SYSTEM_CALLS.len()]> {
        let mut bytes = [0; 8 * SYSTEM_CALLS.len()];
        self.0.read_exact_at(&mut bytes, offset_of!(Control, injected) as u64)?;
        let (counts, _) = bytes.as_chunks::<8>();
        Ok(std::array::from_fn(|n| u64::from_ne_bytes(counts[n])))
    }
}
