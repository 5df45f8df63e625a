//! Time sources: a virtual clock that moves in steps, and the real one. Both count microseconds.
use heronslip_policy::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Seconds of an experiment file in microseconds; what is negative or no number counts as 0.
pub fn seconds(value: f64) -> Micros {
    (value * SECOND as f64).round() as Micros
}

/// Milliseconds of an experiment file in microseconds; what is negative or no number counts as 0.
pub fn milliseconds(value: f64) -> Micros {
    (value * MILLISECOND as f64).round() as Micros
}

/// A clock that moves only when it is told to.
#[derive(Clone, Copy, Debug)]
pub struct VirtualClock {
    now: Micros,
    step: Micros,
}

impl VirtualClock {
    /// A clock at this time that advances in steps of this length.
    pub fn new(now: Micros, step: Micros) -> Self {
        VirtualClock { now, step: step.max(1) }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Moves on by one step and tells the new time.
    pub fn advance(&mut self) -> Micros {
        self.now += self.step;
        self.now
    }
}

/// The system's clock: Unix time at the start, then monotonic.
#[derive(Clone, Copy, Debug)]
pub struct RealClock {
    unix: Micros,
    start: Instant,
}

impl RealClock {
    /// Starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        RealClock { unix, start: Instant::now() }
    }

    /// The present Unix time.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}
