//! The controller's clock. It is monotonic and independent of the wall clock, which may be stepped.
use heronslip_policy::Micros;
use std::time::{Duration, Instant};

/// The clock's reading when it starts. Far from 0, which means "long ago", so that times before the start can
/// be represented.
const ORIGIN: Micros = 1_000_000_000_000;

/// A monotonic clock with microsecond readings.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The clock's reading at an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        ORIGIN + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of a reading; the clock's start for readings before it.
    pub fn instant(&self, reading: Micros) -> Instant {
        self.start + Duration::from_micros(reading.saturating_sub(ORIGIN))
    }

    /// The current reading.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
}
