//! Hollow front ends on one virtual clock: each runs the real decision module against the hollow world.
//!
//! Time moves in steps. In each, front ends take what has come for them by the step's end, side by side, as they
//! share nothing; then the world takes their commands in a fixed order. So the same experiment gives the same
//! result, byte for byte, on any number of cores.
pub mod calls;
mod engine;
mod front_end;

pub use engine::run;
