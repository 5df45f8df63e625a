//! The module's clock. It is monotonic and shares nothing with the wall clock, which may be stepped at any time.
use heronslip_policy::Micros;
use std::time::{Duration, Instant};

/// The clock's time at its start: far from 0, which stands for "long ago", so that spans before the start have a place.
const ORIGIN: Micros = 1_000_000_000_000;

/// A clock that never goes back or leaps.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// An instant on this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        ORIGIN + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of a time on this clock; the clock's start for what lies before it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(ORIGIN))
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
}
