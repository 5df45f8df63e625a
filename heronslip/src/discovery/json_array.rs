//! An incremental scanner that finds the elements of one array inside a JSON text while the text arrives.
//!
//! The caller needs to hold only one element at a time, whatever the length of the array. Everything outside
//! the array is kept as a JSON text in which the array is empty, and can be parsed once the text has ended.

/// Why a text cannot be scanned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScanError {
    /// Elements are not separated as JSON requires, brackets do not match, or the text is not one object.
    #[error("not a JSON object")]
    Malformed,
    /// There is more text outside the array than the scanner keeps.
    #[error("more than {0} bytes outside the list")]
    OutsideTooLong(usize),
}

/// Where a byte is, relative to the array's elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BytePosition {
    /// Outside all elements.
    Outside,
    /// Inside an element that continues.
    Inside,
    /// The last byte of an element.
    Last,
    /// The first byte after an element that is a number or a literal: only this byte shows that the element
    /// has ended.
    After,
}

/// What may come next between the array's elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The first element, or the array's end.
    ElementOrEnd,
    /// A comma, or the array's end.
    CommaOrEnd,
    /// An element.
    Element,
}

/// The kind and state of an element that is being read.
#[derive(Clone, Copy, Debug)]
enum Element {
    /// An object or array: the number of open brackets, and the string inside it that is being read.
    Nested {
        depth: usize,
        string: Option<StringState>,
    },
    String(StringState),
    /// A number or a literal.
    Scalar,
}

/// The state of a string that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StringState {
    /// Whether the last byte was a backslash that escapes the next.
    escaped: bool,
}

impl StringState {
    /// The state after the next byte; nothing once the string has ended.
    fn next(self, byte: u8) -> Option<StringState> {
        match byte {
            _ if self.escaped => Some(StringState { escaped: false }),
            b'\\' => Some(StringState { escaped: true }),
            b'"' => None,
            _ => Some(StringState { escaped: false }),
        }
    }
}

/// Most bytes of a key that are compared: keys of a path are shorter.
const MAX_KEY_BYTES: usize = 32;

/// Scans a JSON text for the array at the path `[object, array]` of its outermost object.
#[derive(Debug)]
pub struct ArrayScanner {
    path: [&'static str; 2],
    /// Open brackets outside the array.
    depth: usize,
    /// The string outside the array that is being read.
    string: Option<StringState>,
    /// The start of the last string that was read outside the array.
    key: Vec<u8>,
    /// Whether the next value is the one that the path names.
    key_matched: bool,
    /// Whether the path's object is open.
    in_path_object: bool,
    /// While the path's array is open and no element is being read: what may come next.
    array: Option<Expected>,
    element: Option<Element>,
    /// The text outside the array.
    outside: Vec<u8>,
    max_outside: usize,
}

impl ArrayScanner {
    /// A scanner for this path that keeps at most `max_outside` bytes outside the array.
    pub fn new(path: [&'static str; 2], max_outside: usize) -> Self {
        ArrayScanner {
            path,
            depth: 0,
            string: None,
            key: Vec::new(),
            key_matched: false,
            in_path_object: false,
            array: None,
            element: None,
            outside: Vec::new(),
            max_outside,
        }
    }

    /// Takes the next byte and returns where it is.
    ///
    /// # Errors
    /// Fails if the text is not a JSON object, or too much of it is outside the array.
    pub fn push(&mut self, byte: u8) -> Result<BytePosition, ScanError> {
        match (self.element.take(), self.array) {
            (Some(element), _) => self.push_inside(element, byte),
            (None, Some(expected)) => self.push_between(expected, byte),
            (None, None) => self.push_outside(byte).map(|()| BytePosition::Outside),
        }
    }

    /// Ends the text, and returns it with the array empty.
    ///
    /// # Errors
    /// Fails if the outermost object has not ended.
    pub fn finish(self) -> Result<Vec<u8>, ScanError> {
        let complete = self.depth == 0 && self.string.is_none() && !self.outside.is_empty();
        complete.then_some(self.outside).ok_or(ScanError::Malformed)
    }

    fn push_inside(&mut self, element: Element, byte: u8) -> Result<BytePosition, ScanError> {
        let next = match element {
            Element::String(string) => string.next(byte).map(Element::String),
            Element::Nested { depth, string: Some(string) } => {
                Some(Element::Nested { depth, string: string.next(byte) })
            }
            Element::Nested { depth, string: None } => match byte {
                b'"' => Some(Element::Nested { depth, string: Some(StringState { escaped: false }) }),
                b'{' | b'[' => Some(Element::Nested { depth: depth + 1, string: None }),
                b'}' | b']' if depth == 1 => None,
                b'}' | b']' => Some(Element::Nested { depth: depth - 1, string: None }),
                _ => Some(Element::Nested { depth, string: None }),
            },
            Element::Scalar if matches!(byte, b',' | b']') || byte.is_ascii_whitespace() => {
                self.push_between(Expected::CommaOrEnd, byte)?;
                return Ok(BytePosition::After);
            }
            Element::Scalar => Some(Element::Scalar),
        };
        self.element = next;
        if self.element.is_some() {
            return Ok(BytePosition::Inside);
        }
        self.array = Some(Expected::CommaOrEnd);
        Ok(BytePosition::Last)
    }

    fn push_between(&mut self, expected: Expected, byte: u8) -> Result<BytePosition, ScanError> {
        match (expected, byte) {
            (_, b) if b.is_ascii_whitespace() => self.array = Some(expected),
            (Expected::ElementOrEnd | Expected::CommaOrEnd, b']') => {
                self.array = None;
                return self.push_outside(byte).map(|()| BytePosition::Outside);
            }
            (Expected::CommaOrEnd, b',') => self.array = Some(Expected::Element),
            (Expected::CommaOrEnd, _) | (_, b',' | b']' | b'}' | b':') => return Err(ScanError::Malformed),
            (Expected::ElementOrEnd | Expected::Element, _) => {
                self.element = Some(match byte {
                    b'{' | b'[' => Element::Nested { depth: 1, string: None },
                    b'"' => Element::String(StringState { escaped: false }),
                    _ => Element::Scalar,
                });
                return Ok(BytePosition::Inside);
            }
        }
        Ok(BytePosition::Outside)
    }

    fn push_outside(&mut self, byte: u8) -> Result<(), ScanError> {
        if self.depth == 0 && byte.is_ascii_whitespace() {
            return Ok(());
        }
        if self.outside.len() >= self.max_outside {
            return Err(ScanError::OutsideTooLong(self.max_outside));
        }
        let ended = self.depth == 0 && !self.outside.is_empty();
        if ended || self.depth == 0 && byte != b'{' {
            return Err(ScanError::Malformed);
        }
        self.outside.push(byte);
        if let Some(string) = self.string {
            self.string = string.next(byte);
            if self.string.is_some() && self.key.len() <= MAX_KEY_BYTES {
                self.key.push(byte);
            }
            return Ok(());
        }
        match byte {
            b'"' => {
                self.string = Some(StringState { escaped: false });
                self.key.clear();
                self.key_matched = false;
            }
            b':' => self.key_matched = self.key_matches_path(),
            b'{' | b'[' => self.open(byte),
            b'}' | b']' => self.close()?,
            b if b.is_ascii_whitespace() => {}
            _ => self.key_matched = false,
        }
        Ok(())
    }

    /// Whether the key that was read last is the next one of the path.
    fn key_matches_path(&self) -> bool {
        let expected = match (self.depth, self.in_path_object) {
            (1, _) => self.path[0],
            (2, true) => self.path[1],
            _ => return false,
        };
        self.key == expected.as_bytes()
    }

    fn open(&mut self, byte: u8) {
        let key_matched = std::mem::take(&mut self.key_matched);
        self.depth += 1;
        match (byte, self.depth) {
            (b'{', 2) => self.in_path_object = key_matched,
            (b'[', 3) if key_matched => self.array = Some(Expected::ElementOrEnd),
            _ => {}
        }
    }

    fn close(&mut self) -> Result<(), ScanError> {
        self.key_matched = false;
        self.depth = self.depth.checked_sub(1).ok_or(ScanError::Malformed)?;
        self.in_path_object &= self.depth >= 2;
        Ok(())
    }
}
