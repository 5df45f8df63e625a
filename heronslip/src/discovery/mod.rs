//! The list of workers: followed from the notice board by events, or read from a file of endpoints.
//!
//! What holds whatever the board sends: an event counts as a whole or not at all, one that cannot be used leaves
//! the list as it was, and entries that tell nothing new reach nobody. Memory while an event arrives follows what
//! it changes, not its size. After a break the board is asked for what came after the last event that counted.
pub mod backoff;
pub mod client;
pub mod event_stream;
pub mod instance;
pub mod json_array;
pub mod list_event;
pub mod table;
mod xds;

pub use client::{follow, Board, Follower};
pub use list_event::{EventBounds, EventError, EventReader};
pub use table::Table;
pub use xds::endpoints;

use crate::messages::ListedWorker;
use instance::Unreadable;

/// An event of the list, read whole.
#[derive(Debug)]
pub struct ListEvent {
    /// Whether this is the whole list.
    pub full: bool,
    /// Its entries, as far as each can be read.
    pub entries: Vec<Result<ListedWorker, Unreadable>>,
}
