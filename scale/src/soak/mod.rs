//! Fault injection on real front ends over loopback: seeded plays, a record of all that stand-ins see, and a checker
//! that judges the record by the published rules.
//!
//! A play draws its faults from its seed ([`plan`]), runs built front ends before stand-in workers, a board and clients
//! (`run`), and writes down every event with its time on the monotonic clock ([`record`]). The checker ([`checker`])
//! reads the record alone; it never sees the program, its log or its types.
mod board;
pub mod checker;
mod clients;
pub mod config;
mod network;
pub mod plan;
mod process;
pub mod record;
mod run;
mod story;
mod worker;

pub use config::SoakConfig;
pub use run::{soak, PlayReport, SoakError, SoakOptions};
