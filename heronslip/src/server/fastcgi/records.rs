//! FastCGI 1.0 records and name-value pairs, as the specification defines them.
use crate::ring::RingBuffer;
use std::time::Instant;

const VERSION: u8 = 1;
/// The role of an application that answers requests.
pub(super) const RESPONDER: u16 = 1;
/// Flag of BEGIN_REQUEST: the connection stays open after the response.
pub(super) const KEEP_CONN: u8 = 1;
/// Length of a record header, in bytes.
const HEADER: usize = 8;
/// Maximum content of a STDOUT record in bytes, a multiple of 8 below 64 KiB.
const MAX_STDOUT_CONTENT: usize = 0xfff8;

/// Maximum content of a record that is returned in one part, and of a part of a longer one, in bytes.
const MAX_COLLECTED: usize = 1024;

/// Record types.
pub(super) mod kind {
    pub const BEGIN_REQUEST: u8 = 1;
    pub const ABORT_REQUEST: u8 = 2;
    pub const END_REQUEST: u8 = 3;
    pub const PARAMS: u8 = 4;
    pub const STDIN: u8 = 5;
    pub const STDOUT: u8 = 6;
    pub const GET_VALUES: u8 = 9;
    pub const GET_VALUES_RESULT: u8 = 10;
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// Protocol statuses of END_REQUEST.
pub(super) mod status {
    pub const REQUEST_COMPLETE: u8 = 0;
    pub const OVERLOADED: u8 = 2;
    pub const UNKNOWN_ROLE: u8 = 3;
}

/// Encodes a record; `content` must be shorter than 64 KiB.
pub fn encode_record(kind: u8, id: u16, content: &[u8], out: &mut Vec<u8>) {
    encode_header(kind, id, content.len(), out);
    out.extend(content);
}

fn encode_header(kind: u8, id: u16, content_len: usize, out: &mut Vec<u8>) {
    out.extend([VERSION, kind]);
    out.extend(id.to_be_bytes());
    out.extend((content_len as u16).to_be_bytes());
    out.extend([0, 0]);
}

/// Encodes the end of a request with a protocol status.
pub(super) fn encode_end_request(id: u16, status: u8, out: &mut Vec<u8>) {
    encode_record(kind::END_REQUEST, id, &[0, 0, 0, 0, status, 0, 0, 0], out);
}

/// Encodes a CGI response as STDOUT records and END_REQUEST.
pub fn encode_response(id: u16, head: &str, body: &[u8]) -> Vec<u8> {
    let head = [head.as_bytes(), b"\r\n"].concat();
    let content = head.len() + body.len();
    // All records but the end of the stream, which are those of the content and two more.
    let records = content.div_ceil(MAX_STDOUT_CONTENT) + 2;
    let mut out = Vec::with_capacity(content + (records + 1) * HEADER);
    let (first, rest) = body.split_at(body.len().min(MAX_STDOUT_CONTENT.saturating_sub(head.len())));
    encode_header(kind::STDOUT, id, head.len() + first.len(), &mut out);
    out.extend(&head);
    out.extend(first);
    for part in rest.chunks(MAX_STDOUT_CONTENT) {
        encode_record(kind::STDOUT, id, part, &mut out);
    }
    encode_record(kind::STDOUT, id, &[], &mut out);
    encode_end_request(id, status::REQUEST_COMPLETE, &mut out);
    out
}

/// A part of a record of the other side.
///
/// The content of PARAMS and STDIN is passed on as it arrives, so that a connection holds no whole record.
/// Short records of other types come in one part. The content of long ones is skipped.
#[derive(Debug, PartialEq)]
pub(super) struct RecordPart<'a> {
    /// The record's type, see [`kind`].
    pub kind: u8,
    /// The FastCGI id of its request; 0 in management records.
    pub id: u16,
    /// Content, without padding.
    pub content: &'a [u8],
    /// Bytes of the record's content that have not arrived yet.
    pub missing: usize,
    /// Bytes of content that the whole record has.
    pub record_content: usize,
}

/// What the bytes that follow belong to.
#[derive(Clone, Copy, Debug)]
enum Position {
    Header,
    Content(CurrentRecord),
    /// So many bytes of padding are left.
    Padding(usize),
}

/// A record whose header has been read.
#[derive(Clone, Copy, Debug)]
struct CurrentRecord {
    kind: u8,
    id: u16,
    record_content: usize,
    /// Bytes of content that have not been read yet.
    missing: usize,
    padding: usize,
}

impl CurrentRecord {
    fn parse(header: &[u8; HEADER]) -> Result<Self, String> {
        let [version, kind, i0, i1, c0, c1, padding, _] = *header;
        if version != VERSION {
            return Err(format!("unsupported FastCGI version {version}"));
        }
        let id = u16::from_be_bytes([i0, i1]);
        let record_content = usize::from(u16::from_be_bytes([c0, c1]));
        Ok(CurrentRecord { kind, id, record_content, missing: record_content, padding: padding.into() })
    }

    /// Whether its content is returned in one part.
    fn is_collected(&self) -> bool {
        !matches!(self.kind, kind::PARAMS | kind::STDIN) && self.record_content <= MAX_COLLECTED
    }
}

/// Splits the bytes of a connection into records.
pub(super) struct RecordReader {
    position: Position,
    /// What has been read of the header or of the part of the content that is returned next.
    bytes: Vec<u8>,
    /// Whether `bytes` has been returned.
    returned: bool,
    /// When the first byte of the current record was looked for.
    started_at: Instant,
}

impl RecordReader {
    pub fn new() -> Self {
        RecordReader {
            position: Position::Header,
            bytes: Vec::new(),
            returned: false,
            started_at: Instant::now(),
        }
    }

    /// Since when a record has been read in part.
    pub fn partial_since(&self) -> Option<Instant> {
        let has_header = !matches!(self.position, Position::Header);
        let is_partial = has_header || !self.returned && !self.bytes.is_empty();
        is_partial.then_some(self.started_at)
    }

    /// The next part of a record; `None` if the ring buffer, which is empty then, does not hold it.
    ///
    /// # Errors
    /// Fails if the record is of another version of the protocol.
    pub fn next(&mut self, ring: &mut RingBuffer) -> Result<Option<RecordPart<'_>>, String> {
        if std::mem::take(&mut self.returned) {
            self.bytes.clear();
        }
        loop {
            match self.position {
                Position::Header => {
                    if !self.read_header(ring)? {
                        return Ok(None);
                    }
                }
                Position::Padding(left) => {
                    let left = left - ring.skip(left);
                    if left > 0 {
                        self.position = Position::Padding(left);
                        return Ok(None);
                    }
                    self.position = Position::Header;
                }
                Position::Content(record) => return Ok(self.read_content(record, ring)),
            }
        }
    }

    /// Reads a header; whether it is complete.
    fn read_header(&mut self, ring: &mut RingBuffer) -> Result<bool, String> {
        if self.bytes.is_empty() {
            self.started_at = Instant::now();
        }
        ring.drain_into(HEADER - self.bytes.len(), &mut self.bytes);
        let Ok(header) = self.bytes[..].try_into() else { return Ok(false) };
        self.position = Position::Content(CurrentRecord::parse(header)?);
        self.bytes.clear();
        Ok(true)
    }

    fn read_content(&mut self, mut record: CurrentRecord, ring: &mut RingBuffer) -> Option<RecordPart<'_>> {
        record.missing -= ring.drain_into(record.missing.min(MAX_COLLECTED), &mut self.bytes);
        self.position = match record.missing {
            0 => Position::Padding(record.padding),
            _ => Position::Content(record),
        };
        let is_part = !record.is_collected() && !self.bytes.is_empty();
        if record.missing > 0 && !is_part {
            return None;
        }
        self.returned = true;
        let CurrentRecord { kind, id, missing, record_content, .. } = record;
        Some(RecordPart { kind, id, content: &self.bytes, missing, record_content })
    }
}

/// The bytes of a parameter stream end within a name-value pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream ends within a name-value pair")]
pub struct TruncatedPair;

/// A name and its value.
pub type Pair<'a> = (&'a [u8], &'a [u8]);

/// Decodes the name-value pairs of a complete parameter stream one by one: a stream of very short pairs would
/// take many times its length if it were kept in decoded form.
///
/// An item is an error if its pair announces more bytes than there are; no item follows it.
pub fn decode_pairs(bytes: &[u8]) -> impl Iterator<Item = Result<Pair<'_>, TruncatedPair>> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let pair = take_pair(&mut rest);
        if pair.is_err() {
            rest = &[];
        }
        Some(pair)
    })
}

fn take_pair<'a>(bytes: &mut &'a [u8]) -> Result<Pair<'a>, TruncatedPair> {
    let name_len = take_length(bytes)?;
    let value_len = take_length(bytes)?;
    Ok((take_bytes(bytes, name_len)?, take_bytes(bytes, value_len)?))
}

/// Takes a length off the front: one byte, or four if the highest bit is set.
fn take_length(bytes: &mut &[u8]) -> Result<usize, TruncatedPair> {
    const LONG_LENGTH: u8 = 0x80;
    let (&first, rest) = bytes.split_first().ok_or(TruncatedPair)?;
    if first < LONG_LENGTH {
        *bytes = rest;
        return Ok(first.into());
    }
    let (long, rest) = bytes.split_first_chunk::<4>().ok_or(TruncatedPair)?;
    *bytes = rest;
    Ok((u32::from_be_bytes(*long) & 0x7fff_ffff) as usize)
}

fn take_bytes<'a>(bytes: &mut &'a [u8], len: usize) -> Result<&'a [u8], TruncatedPair> {
    let (taken, rest) = bytes.split_at_checked(len).ok_or(TruncatedPair)?;
    *bytes = rest;
    Ok(taken)
}
