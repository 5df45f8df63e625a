//! The simulated environment of the front ends: workers with their copies of functions, the store they load
//! functions from, the worker list, and the load that front ends outside the experiment put on the workers.
//!
//! It is independent of the clock: commands go in with their time of arrival, replies come out with the time
//! at which they leave the worker.
mod background;
mod failures;
mod list;
mod store;
mod worker;

pub use background::BackgroundLoad;
pub use failures::{Change, Schedule, ScheduledChange};
pub use list::{worker_number, ListEvent, WorkerList};
pub use store::Store;
pub use worker::{Command, Reply, WorkerCall, World, WorldCounts};
