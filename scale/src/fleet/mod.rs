//! Simulated front ends on one virtual clock: each runs the real controller of `heronslip-policy` against the
//! simulated workers and discovery server.
//!
//! Time advances in steps. In each step the front ends handle their events in parallel, as they share no
//! state; then the workers get their commands in a fixed order. So an experiment gives the same result, byte
//! for byte, on any number of cores.
pub mod calls;
mod engine;
mod front_end;

pub use engine::run;
