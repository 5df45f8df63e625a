//! Clocks: a virtual one that advances in steps, and the system's. Both count microseconds.
use heronslip_policy::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Converts seconds to microseconds; negative values and NaN become 0.
pub fn seconds(value: f64) -> Micros {
    (value * SECOND as f64).round() as Micros
}

/// Converts milliseconds to microseconds; negative values and NaN become 0.
pub fn milliseconds(value: f64) -> Micros {
    (value * MILLISECOND as f64).round() as Micros
}

/// A clock that moves only when it is advanced.
#[derive(Clone, Copy, Debug)]
pub struct VirtualClock {
    now: Micros,
    step: Micros,
}

impl VirtualClock {
    /// A clock that starts at `now` and advances in steps of at least one microsecond.
    pub fn new(now: Micros, step: Micros) -> Self {
        VirtualClock { now, step: step.max(1) }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Advances by one step and returns the new time.
    pub fn advance(&mut self) -> Micros {
        self.now += self.step;
        self.now
    }
}

/// A monotonic clock that starts at the current Unix time.
#[derive(Clone, Copy, Debug)]
pub struct RealClock {
    start_unix: Micros,
    start: Instant,
}

impl RealClock {
    /// Starts the clock.
    pub fn start() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        RealClock { start_unix, start: Instant::now() }
    }

    /// The Unix time at the start plus the time elapsed since.
    pub fn now(&self) -> Micros {
        self.start_unix + self.start.elapsed().as_micros() as Micros
    }
}
