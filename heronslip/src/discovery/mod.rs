//! Worker discovery: the worker list, followed by events from the discovery service or read from a file of
//! endpoints.
//!
//! Whatever the service sends: an event applies as a whole or not at all, an event that cannot be used leaves
//! the list as it was, and entries that repeat what is known are not passed on. The memory that an arriving
//! event takes depends on what it changes, not on its size. After a connection ends, the service is asked for
//! the events that follow the last one that was applied.
pub mod backoff;
pub mod client;
pub mod event_stream;
pub mod instance;
pub mod json_array;
pub mod list_event;
pub mod table;
mod xds;

pub use client::{follow, ServiceAddress, Subscriber};
pub use list_event::{EventBounds, EventError, EventReader};
pub use table::WorkerTable;
pub use xds::parse_endpoints;

use crate::messages::ListedWorker;
use instance::InvalidInstance;

/// A complete event of the worker list.
#[derive(Debug)]
pub struct ListEvent {
    /// Whether the event is a full list, rather than a change to the list.
    pub full: bool,
    /// The entries; each is invalid by itself if it cannot be parsed.
    pub entries: Vec<Result<ListedWorker, InvalidInstance>>,
}
