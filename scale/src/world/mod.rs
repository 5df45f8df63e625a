//! The hollow world: workers with their copies of functions, the store they load from, and what other front ends
//! do there. It runs on whatever clock feeds it: commands go in with their time of arrival, replies come out with
//! the time at which they leave the worker.
mod failures;
mod list;
mod others;
mod store;
mod worker;

pub use failures::{Change, Schedule, Timed};
pub use list::{worker_number, List, ListEvent};
pub use others::Others;
pub use store::Store;
pub use worker::{CallOut, Command, Reply, World, WorldCounts};
