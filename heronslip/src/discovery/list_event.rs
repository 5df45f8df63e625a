//! Parses one event of the worker list while it arrives, entry by entry. Memory is bounded by the number of
//! entries and the size of one entry, not by the size of the event.
use super::instance::{parse_instance, InvalidInstance};
use super::json_array::{ArrayScanner, BytePosition, ScanError};
use crate::messages::ListedWorker;
use heronslip_policy::json::{boolean, object, parse};
use miniserde::json::Value;

/// Most bytes of an event outside its entries.
const MAX_OUTSIDE_BYTES: usize = 4 * 1024;

/// Why an event cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// It is not the JSON that the discovery service sends.
    #[error(transparent)]
    Scan(#[from] ScanError),
    /// It has no list.
    #[error("the event has no 'pool'")]
    NoPool,
    /// It says that it is a full list, but has no entries. Applying it would remove every known worker.
    #[error("a full list without 'instances'")]
    NoInstances,
    /// One of its entries is too long.
    #[error("an entry of more than {0} bytes")]
    EntryTooLong(usize),
    /// It has too many entries.
    #[error("more than {0} entries")]
    TooManyEntries(usize),
}

/// Bounds of an event.
#[derive(Clone, Copy, Debug)]
pub struct EventBounds {
    /// Most bytes of one entry.
    pub entry_bytes: usize,
    /// Most entries.
    pub entries: usize,
}

/// Parses an event byte by byte.
#[derive(Debug)]
pub struct EventReader {
    scanner: ArrayScanner,
    bounds: EventBounds,
    entry: Vec<u8>,
    entries: usize,
    bytes: usize,
}

impl EventReader {
    /// A reader for one event.
    pub fn new(bounds: EventBounds) -> Self {
        let scanner = ArrayScanner::new(["pool", "instances"], MAX_OUTSIDE_BYTES);
        EventReader { scanner, bounds, entry: Vec::new(), entries: 0, bytes: 0 }
    }

    /// Takes the next byte. Returns an entry, or why it is invalid, once it is complete.
    ///
    /// # Errors
    /// Fails if the event cannot be used, whatever follows.
    pub fn push(&mut self, byte: u8) -> Result<Option<Result<ListedWorker, InvalidInstance>>, EventError> {
        self.bytes += 1;
        match self.scanner.push(byte)? {
            BytePosition::Outside => return Ok(None),
            BytePosition::Inside => {
                self.push_entry_byte(byte)?;
                return Ok(None);
            }
            BytePosition::Last => self.push_entry_byte(byte)?,
            BytePosition::After => {}
        }
        self.entries += 1;
        if self.entries > self.bounds.entries {
            return Err(EventError::TooManyEntries(self.bounds.entries));
        }
        let entry = parse_instance(&self.entry);
        self.entry.clear();
        Ok(Some(entry))
    }

    /// Bytes read so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ends the event, and returns whether it is a full list.
    ///
    /// # Errors
    /// Fails if the event is cut off or is not what the discovery service sends.
    pub fn finish(self) -> Result<bool, EventError> {
        let outside = String::from_utf8(self.scanner.finish()?).map_err(|_| ScanError::Malformed)?;
        let Ok(Value::Object(event)) = parse(&outside) else { return Err(ScanError::Malformed.into()) };
        let pool = object(&event, "pool").ok_or(EventError::NoPool)?;
        let full = boolean(pool, "reset");
        if full && !matches!(pool.get("instances"), Some(Value::Array(_))) {
            return Err(EventError::NoInstances);
        }
        Ok(full)
    }

    fn push_entry_byte(&mut self, byte: u8) -> Result<(), EventError> {
        if self.entry.len() >= self.bounds.entry_bytes {
            return Err(EventError::EntryTooLong(self.bounds.entry_bytes));
        }
        self.entry.push(byte);
        Ok(())
    }
}
