//! Server-sent events as they arrive: fields are handed on at once, nothing but a line's beginning is held.

/// Longest name of a field, and longest value of an `id`, that is looked at.
const LONGEST_WORD: usize = 32;

/// What a byte of the stream completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A byte of an event's data.
    Data(u8),
    /// A line has ended; more of the event may follow.
    Line,
    /// The event has ended.
    Event,
}

/// The part of a line that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    /// Its name.
    Name,
    /// The blank that may follow the colon.
    Blank(Value),
    /// Its value.
    Value(Value),
}

/// Which field a value belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Value {
    Id,
    Data,
    /// A comment or a field without meaning here.
    Other,
}

/// Splits a stream into events.
#[derive(Debug)]
pub struct EventStream {
    field: Field,
    /// The name, or the value of an id, of the present line.
    word: Vec<u8>,
    /// The last id told.
    id: String,
    /// Whether the present event has data.
    data: bool,
}

impl Default for EventStream {
    fn default() -> Self {
        EventStream { field: Field::Name, word: Vec::new(), id: String::new(), data: false }
    }
}

impl EventStream {
    /// Takes the next byte; tells what it completes, if that matters.
    pub fn byte(&mut self, byte: u8) -> Option<StreamItem> {
        if byte == b'\n' {
            return Some(self.end_of_line());
        }
        match self.field {
            Field::Name if byte == b':' => self.field = Field::Blank(self.named()),
            Field::Name => self.keep(byte),
            Field::Blank(value) if byte == b' ' => self.field = Field::Value(value),
            Field::Blank(value) | Field::Value(value) => {
                self.field = Field::Value(value);
                return self.value(value, byte);
            }
        }
        None
    }

    /// The id of the event that is being read or has just ended.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn keep(&mut self, byte: u8) {
        if self.word.len() <= LONGEST_WORD {
            self.word.push(byte);
        }
    }

    /// The field whose name has been read.
    fn named(&mut self) -> Value {
        match std::mem::take(&mut self.word).as_slice() {
            b"id" => Value::Id,
            b"data" => Value::Data,
            _ => Value::Other,
        }
    }

    fn value(&mut self, value: Value, byte: u8) -> Option<StreamItem> {
        match value {
            Value::Id => self.keep(byte),
            Value::Data => {
                self.data = true;
                return Some(StreamItem::Data(byte));
            }
            Value::Other => {}
        }
        None
    }

    fn end_of_line(&mut self) -> StreamItem {
        let word = std::mem::take(&mut self.word);
        match std::mem::replace(&mut self.field, Field::Name) {
            Field::Name if word.is_empty() || word == b"\r" => {
                return if std::mem::take(&mut self.data) { StreamItem::Event } else { StreamItem::Line };
            }
            Field::Blank(Value::Id) | Field::Value(Value::Id) => {
                let id = String::from_utf8_lossy(&word).into_owned();
                id.trim_end_matches('\r').clone_into(&mut self.id);
            }
            _ => {}
        }
        StreamItem::Line
    }
}
