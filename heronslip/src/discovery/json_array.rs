//! Finds the elements of one array inside a JSON text while the text arrives, byte by byte.
//!
//! Only one element has to be held at a time, whatever the length of the array. All that stands outside the array
//! is kept as a JSON text of its own in which the array is empty, and can be parsed once the text has ended.

/// What is wrong with a text, or too much of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScanError {
    /// Elements are not separated as JSON wants it, or brackets do not match.
    #[error("it is no JSON object")]
    Malformed,
    /// More stands outside the array than is kept.
    #[error("more than {0} bytes beside its entries")]
    OutsideTooLong(usize),
}

/// Where a byte belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Outside of any element.
    Outside,
    /// Inside an element, which goes on.
    Inside,
    /// The last byte of an element.
    Last,
    /// Outside; an element, a bare number or word, has ended before it.
    After,
}

/// What may come next between the array's elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    /// The first element, or the array's end.
    First,
    /// A comma, or the array's end.
    Comma,
    /// An element.
    Element,
}

/// What kind of value an element is, and how far it has come.
#[derive(Clone, Copy, Debug)]
enum Element {
    /// An object or array: brackets open, and whether a string is.
    Nested { depth: usize, string: Option<Escape> },
    /// A string.
    Text(Escape),
    /// A number or a word.
    Bare,
}

/// Whether the last byte of a string was a backslash that escapes the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Escape(bool);

impl Escape {
    /// Takes the next byte of a string; nothing once the string has ended.
    fn next(self, byte: u8) -> Option<Escape> {
        match byte {
            _ if self.0 => Some(Escape(false)),
            b'\\' => Some(Escape(true)),
            b'"' => None,
            _ => Some(Escape(false)),
        }
    }
}

/// Longest key that is compared with the path's.
const LONGEST_KEY: usize = 32;

/// Scans a text for the array at `object.array` of its outermost object.
#[derive(Debug)]
pub struct ArrayScanner {
    path: [&'static str; 2],
    depth: usize,
    /// The string outside that is being read.
    string: Option<Escape>,
    /// The last string read outside, as far as it is compared.
    key: Vec<u8>,
    /// The value that comes next is the one that the path names.
    named: bool,
    /// The object of the path is open.
    inside_object: bool,
    /// The array of the path is open.
    array: Option<Between>,
    element: Option<Element>,
    outside: Vec<u8>,
    most_outside: usize,
}

impl ArrayScanner {
    /// A scanner for this path that keeps at most so many bytes of what stands outside the array.
    pub fn new(path: [&'static str; 2], most_outside: usize) -> Self {
        ArrayScanner {
            path,
            depth: 0,
            string: None,
            key: Vec::new(),
            named: false,
            inside_object: false,
            array: None,
            element: None,
            outside: Vec::new(),
            most_outside,
        }
    }

    /// Takes the next byte and tells where it belongs.
    ///
    /// # Errors
    /// Fails where the text cannot be JSON, or too much of it stands outside the array.
    pub fn byte(&mut self, byte: u8) -> Result<Place, ScanError> {
        match (self.element.take(), self.array) {
            (Some(element), _) => self.inside(element, byte),
            (None, Some(between)) => self.between(between, byte),
            (None, None) => self.outside(byte).map(|()| Place::Outside),
        }
    }

    /// The text outside the array, with the array empty, once the outermost object has ended.
    ///
    /// # Errors
    /// Fails if it has not.
    pub fn finish(self) -> Result<Vec<u8>, ScanError> {
        let whole = self.depth == 0 && self.string.is_none() && !self.outside.is_empty();
        whole.then_some(self.outside).ok_or(ScanError::Malformed)
    }

    fn inside(&mut self, element: Element, byte: u8) -> Result<Place, ScanError> {
        let next = match element {
            Element::Text(escape) => escape.next(byte).map(Element::Text),
            Element::Nested { depth, string: Some(escape) } => {
                Some(Element::Nested { depth, string: escape.next(byte) })
            }
            Element::Nested { depth, string: None } => match byte {
                b'"' => Some(Element::Nested { depth, string: Some(Escape(false)) }),
                b'{' | b'[' => Some(Element::Nested { depth: depth + 1, string: None }),
                b'}' | b']' if depth == 1 => None,
                b'}' | b']' => Some(Element::Nested { depth: depth - 1, string: None }),
                _ => Some(Element::Nested { depth, string: None }),
            },
            Element::Bare if matches!(byte, b',' | b']') || byte.is_ascii_whitespace() => {
                self.between(Between::Comma, byte)?;
                return Ok(Place::After);
            }
            Element::Bare => Some(Element::Bare),
        };
        self.element = next;
        if self.element.is_some() {
            return Ok(Place::Inside);
        }
        self.array = Some(Between::Comma);
        Ok(Place::Last)
    }

    fn between(&mut self, between: Between, byte: u8) -> Result<Place, ScanError> {
        match (between, byte) {
            (_, b) if b.is_ascii_whitespace() => self.array = Some(between),
            (Between::First | Between::Comma, b']') => {
                self.array = None;
                return self.outside(byte).map(|()| Place::Outside);
            }
            (Between::Comma, b',') => self.array = Some(Between::Element),
            (Between::Comma, _) | (_, b',' | b']' | b'}' | b':') => return Err(ScanError::Malformed),
            (Between::First | Between::Element, _) => {
                self.element = Some(match byte {
                    b'{' | b'[' => Element::Nested { depth: 1, string: None },
                    b'"' => Element::Text(Escape(false)),
                    _ => Element::Bare,
                });
                return Ok(Place::Inside);
            }
        }
        Ok(Place::Outside)
    }

    fn outside(&mut self, byte: u8) -> Result<(), ScanError> {
        if self.depth == 0 && byte.is_ascii_whitespace() {
            return Ok(());
        }
        if self.outside.len() >= self.most_outside {
            return Err(ScanError::OutsideTooLong(self.most_outside));
        }
        let ended = self.depth == 0 && !self.outside.is_empty();
        if ended || self.depth == 0 && byte != b'{' {
            return Err(ScanError::Malformed);
        }
        self.outside.push(byte);
        if let Some(escape) = self.string {
            self.string = escape.next(byte);
            if self.string.is_some() && self.key.len() <= LONGEST_KEY {
                self.key.push(byte);
            }
            return Ok(());
        }
        match byte {
            b'"' => {
                self.string = Some(Escape(false));
                self.key.clear();
                self.named = false;
            }
            b':' => self.named = self.names(),
            b'{' | b'[' => self.open(byte),
            b'}' | b']' => self.close()?,
            b if b.is_ascii_whitespace() => {}
            _ => self.named = false,
        }
        Ok(())
    }

    /// Whether the key just read is the next one of the path.
    fn names(&self) -> bool {
        let wanted = match (self.depth, self.inside_object) {
            (1, _) => self.path[0],
            (2, true) => self.path[1],
            _ => return false,
        };
        self.key == wanted.as_bytes()
    }

    fn open(&mut self, byte: u8) {
        let named = std::mem::take(&mut self.named);
        self.depth += 1;
        match (byte, self.depth) {
            (b'{', 2) => self.inside_object = named,
            (b'[', 3) if named => self.array = Some(Between::First),
            _ => {}
        }
    }

    fn close(&mut self) -> Result<(), ScanError> {
        self.named = false;
        self.depth = self.depth.checked_sub(1).ok_or(ScanError::Malformed)?;
        self.inside_object &= self.depth >= 2;
        Ok(())
    }
}
