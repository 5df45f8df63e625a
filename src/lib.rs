//! Decision logic of a front end for functions that workers load on demand: which worker runs a call, where
//! copies of a function are loaded and unloaded, and which requests are retried, refused or failed.
//!
//! This crate does no I/O. The front end owns the sockets and the clock: it passes [`Event`]s to a
//! [`Controller`] and carries out the [`Action`]s that it returns, in order.
//!
//! ```
//! use heronslip_policy::*;
//!
//! let settings = Settings {
//!     front_ends: 1,
//!     classes: vec![ClassSettings {
//!         retry_safety: RetrySafety::Safe, latency_target: 1_000_000, worth: 1.0, ..ClassSettings::default()
//!     }],
//!     tenants: vec![], over_quota_worth: 1.0, machine_memory_mb: vec![8192.0], keep_alive: 8_000_000,
//!     load_on_miss: false, may_command: true, command_timeout: 10_000_000,
//!     load_window: 0, free_loads: 0.0, loads_per_request: 0.0, max_attempts: 3, may_cancel: true,
//!     may_hedge: false, max_retry_after: 0, cold_capacity: 0.3, warm_up_time: 10_000_000,
//!     overload_multiple: 2.0, overload_window: 1_000_000, ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//! let entry = WorkerEntry {
//!     worker: "w1".into(), state: WorkerState::Ready, started_at: 0, zone: 0, machine_type: 0, cell: 0,
//! };
//! controller.handle(0, Event::WorkerList { full: true, entries: vec![entry] }, &mut actions);
//! controller.handle(1_000, Event::Request {
//!     id: 1, class: 0, tenant: None, function: 42, timeout: 3_000_000,
//!     memory_mb: 300.0, lanes: 1, load_time: 0, retry: false,
//! }, &mut actions);
//! // A new front end knows of no loaded copy, so it first sends the worker a copy query.
//! assert!(actions.contains(&Action::Load { worker: "w1".into(), function: 42, count: 0 }));
//! actions.clear();
//! controller.handle(3_000, Event::Loaded {
//!     worker: "w1".into(), function: 42, count: 1, outcome: Outcome::Ok, elapsed: 2_000,
//! }, &mut actions);
//! assert!(matches!(&actions[0], Action::Send { id: 1, worker, .. } if worker == "w1"));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod control;
mod fleet_stats;
mod footprint;
mod forgetting;
mod health;
mod interface;
pub mod json;
mod placement;
mod readiness;
mod replication;
mod retries;
mod settings;
mod slow_start;
mod state;

pub use footprint::Footprint;
pub use interface::*;
pub use state::Controller;

#[cfg(test)]
#[path = "../tests/inside/controller.rs"]
mod inside;
