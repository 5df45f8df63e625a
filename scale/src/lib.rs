//! Emulator, load test tool and soak test of the front end.
//!
//! Two roles share the format of the experiment file: [`fleet`] runs hundreds of simulated front ends, each
//! with the real controller of `heronslip-policy`, against simulated workers on one virtual clock; [`node`]
//! runs real front-end processes on loopback sockets against the same simulated workers in real time. A third
//! role, [`soak`], injects faults into runs of real front ends and checks their behaviour. This crate makes
//! no decisions of a front end itself.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bounds;
pub mod catalogue;
pub mod experiment;
pub mod fleet;
mod interrupt;
pub mod node;
pub mod report;
pub mod soak;
pub mod time;
pub mod world;
