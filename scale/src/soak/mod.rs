//! Fault injection into real front ends over loopback, with a checker of the published rules.
//!
//! A run's faults are drawn from its seed ([`scenario`]). The run starts built front ends with stand-in
//! workers, a stand-in discovery server and stand-in clients (`run`), and records every event that these see,
//! with its time on a monotonic clock ([`record`]). The checker ([`checker`]) judges the record alone; it
//! uses neither the front ends' code nor their logs.
pub mod checker;
mod clients;
pub mod config;
mod core_binding;
mod discovery_server;
mod flood;
mod network;
mod process;
pub mod record;
mod run;
pub mod scenario;
mod violation_trace;
mod worker;

pub use config::SoakConfig;
pub use run::{soak, RunReport, SoakError, SoakOptions};
