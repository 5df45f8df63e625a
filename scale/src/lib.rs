//! Emulator and load tool of the front end.
//!
//! Two roles, one experiment file: [`fleet`] runs some hundreds of hollow front ends, each with the real decision
//! module, against a hollow world on one virtual clock; [`node`] runs real front-end processes on loopback sockets
//! against the same hollow workers in real time. No decision is copied into this crate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bounds;
pub mod catalogue;
pub mod experiment;
pub mod fleet;
pub mod node;
pub mod report;
pub mod soak;
pub mod time;
pub mod world;
