//! Reads one event of the list of workers while it arrives: entry by entry, bounded by the number of entries and
//! by the size of one, not by the size of the event.
use super::instance::{instance, Unreadable};
use super::json_array::{ArrayScanner, Place, ScanError};
use crate::messages::Member;
use heronslip_policy::json::{boolean, object, parse};
use miniserde::json::Value;

/// Most bytes of an event beside its entries.
const MOST_OUTSIDE: usize = 4 * 1024;

/// Why an event cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// It is not in the board's form.
    #[error(transparent)]
    Scan(#[from] ScanError),
    /// It has no list.
    #[error("it has no 'pool'")]
    NoPool,
    /// It claims to be whole and has no entries: what is known would all be left out.
    #[error("a whole list without 'instances'")]
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
    /// Bytes of one entry.
    pub entry_bytes: usize,
    /// Entries.
    pub entries: usize,
}

/// Reads an event byte by byte.
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
        let scanner = ArrayScanner::new(["pool", "instances"], MOST_OUTSIDE);
        EventReader { scanner, bounds, entry: Vec::new(), entries: 0, bytes: 0 }
    }

    /// Takes the next byte; an entry once it has come whole, as far as it can be read.
    ///
    /// # Errors
    /// Fails where the event cannot be used, whatever follows.
    pub fn byte(&mut self, byte: u8) -> Result<Option<Result<Member, Unreadable>>, EventError> {
        self.bytes += 1;
        match self.scanner.byte(byte)? {
            Place::Outside => return Ok(None),
            Place::Inside => {
                self.keep(byte)?;
                return Ok(None);
            }
            Place::Last => self.keep(byte)?,
            Place::After => {}
        }
        self.entries += 1;
        if self.entries > self.bounds.entries {
            return Err(EventError::TooManyEntries(self.bounds.entries));
        }
        let read = instance(&self.entry);
        self.entry.clear();
        Ok(Some(read))
    }

    /// Bytes taken so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ends the event; tells whether it is the whole list.
    ///
    /// # Errors
    /// Fails if it was cut off or is not in the board's form.
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

    fn keep(&mut self, byte: u8) -> Result<(), EventError> {
        if self.entry.len() >= self.bounds.entry_bytes {
            return Err(EventError::EntryTooLong(self.bounds.entry_bytes));
        }
        self.entry.push(byte);
        Ok(())
    }
}
