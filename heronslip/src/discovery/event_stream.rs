//! An incremental parser of server-sent events. Data is handed on byte by byte as it arrives; only the start
//! of the current field's name, or of an event's id, is buffered.

/// Most bytes of a field's name or of an `id` that are looked at: longer ones mean nothing here.
const MAX_TOKEN_BYTES: usize = 32;

/// What a byte of the stream completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A byte of an event's data.
    Data(u8),
    /// A line that does not end an event.
    Line,
    /// An event.
    Event,
}

/// The part of a line that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinePart {
    /// The field's name.
    Name,
    /// The optional space after the colon.
    Space(FieldKind),
    /// The field's value.
    Value(FieldKind),
}

/// Which field a line holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FieldKind {
    Id,
    Data,
    /// A comment or a field that is ignored.
    Ignored,
}

/// Splits a byte stream into events.
#[derive(Debug)]
pub struct EventStream {
    line_part: LinePart,
    /// The current line's field name, or the value of its id.
    token: Vec<u8>,
    /// The last id that was read.
    id: String,
    /// Whether the current event has data.
    has_data: bool,
}

impl Default for EventStream {
    fn default() -> Self {
        EventStream { line_part: LinePart::Name, token: Vec::new(), id: String::new(), has_data: false }
    }
}

impl EventStream {
    /// Takes the next byte and returns what it completes, if anything.
    pub fn push(&mut self, byte: u8) -> Option<StreamItem> {
        if byte == b'\n' {
            return Some(self.end_line());
        }
        match self.line_part {
            LinePart::Name if byte == b':' => self.line_part = LinePart::Space(self.take_field_kind()),
            LinePart::Name => self.push_token(byte),
            LinePart::Space(kind) if byte == b' ' => self.line_part = LinePart::Value(kind),
            LinePart::Space(kind) | LinePart::Value(kind) => {
                self.line_part = LinePart::Value(kind);
                return self.push_value(kind, byte);
            }
        }
        None
    }

    /// The id of the event that is being read or has just ended.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn push_token(&mut self, byte: u8) {
        if self.token.len() <= MAX_TOKEN_BYTES {
            self.token.push(byte);
        }
    }

    /// The kind of the field whose name has been read.
    fn take_field_kind(&mut self) -> FieldKind {
        match std::mem::take(&mut self.token).as_slice() {
            b"id" => FieldKind::Id,
            b"data" => FieldKind::Data,
            _ => FieldKind::Ignored,
        }
    }

    fn push_value(&mut self, kind: FieldKind, byte: u8) -> Option<StreamItem> {
        match kind {
            FieldKind::Id => self.push_token(byte),
            FieldKind::Data => {
                self.has_data = true;
                return Some(StreamItem::Data(byte));
            }
            FieldKind::Ignored => {}
        }
        None
    }

    fn end_line(&mut self) -> StreamItem {
        let token = std::mem::take(&mut self.token);
        match std::mem::replace(&mut self.line_part, LinePart::Name) {
            LinePart::Name if token.is_empty() || token == b"\r" => {
                return if std::mem::take(&mut self.has_data) { StreamItem::Event } else { StreamItem::Line };
            }
            LinePart::Space(FieldKind::Id) | LinePart::Value(FieldKind::Id) => {
                let id = String::from_utf8_lossy(&token).into_owned();
                id.trim_end_matches('\r').clone_into(&mut self.id);
            }
            _ => {}
        }
        StreamItem::Line
    }
}
