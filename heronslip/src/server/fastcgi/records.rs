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
    out.extend([VERSION, kind]);
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
}

/// Encodes the end of a request with a protocol status.
pub(super) fn encode_end_request(id: u16, status: u8, out: &mut Vec<u8>) {
    encode_record(kind::END_REQUEST, id, &[0, 0, 0, 0, status, 0, 0, 0], out);
}

/// Encodes a CGI response as STDOUT records and END_REQUEST.
pub fn encode_response(id: u16, head: &str, body: &[u8]) -> Vec<u8> {
    let content = [head.as_bytes(), b"\r\n", body].concat();
    let mut out = Vec::with_capacity(content.len() + 64);
    for part in content.chunks(MAX_STDOUT_CONTENT) {
        encode_record(kind::STDOUT, id, part, &mut out);
    }
    encode_record(kind::STDOUT, id, &[], &mut out);
    encode_end_request(id, status::REQUEST_COMPLETE, &mut out);
    out
}

/// A record of the other side.
#[derive(Debug, PartialEq)]
pub(super) struct Record<'a> {
    /// Its type, see [`kind`].
    pub kind: u8,
    /// The FastCGI id of its request; 0 in management records.
    pub id: u16,
    /// Its content, without padding.
    pub content: &'a [u8],
}

/// Assembles records from the bytes of a connection.
pub(super) struct RecordReader {
    /// What has been read of the current record.
    bytes: Vec<u8>,
    /// When its first byte was looked for.
    started_at: Instant,
    /// Whether it is complete and has been returned.
    returned: bool,
}

impl RecordReader {
    pub fn new() -> Self {
        RecordReader { bytes: Vec::new(), started_at: Instant::now(), returned: false }
    }

    /// Since when a record has been read in part.
    pub fn partial_since(&self) -> Option<Instant> {
        let is_partial = !self.bytes.is_empty() && !self.returned;
        is_partial.then_some(self.started_at)
    }

    /// The next complete record; `None` if the ring buffer, which is empty then, does not hold the rest of it.
    ///
    /// # Errors
    /// Fails if the record is of another version of the protocol.
    pub fn next(&mut self, ring: &mut RingBuffer) -> Result<Option<Record<'_>>, String> {
        if std::mem::take(&mut self.returned) {
            self.bytes.clear();
        }
        if self.bytes.is_empty() {
            self.started_at = Instant::now();
        }
        if self.bytes.len() < HEADER {
            ring.drain_into(HEADER - self.bytes.len(), &mut self.bytes);
        }
        let [version, kind, i0, i1, c0, c1, padding, _, ..] = self.bytes[..] else { return Ok(None) };
        if version != VERSION {
            return Err(format!("unsupported FastCGI version {version}"));
        }
        let content_end = HEADER + usize::from(u16::from_be_bytes([c0, c1]));
        let record_len = content_end + usize::from(padding);
        ring.drain_into(record_len - self.bytes.len(), &mut self.bytes);
        if self.bytes.len() < record_len {
            return Ok(None);
        }
        self.returned = true;
        let id = u16::from_be_bytes([i0, i1]);
        Ok(Some(Record { kind, id, content: &self.bytes[HEADER..content_end] }))
    }
}

/// The reason of [`TruncatedPair`].
pub(super) const TRUNCATED_PAIR: &str = "the parameters end within a name-value pair";

/// The bytes of a parameter stream end within a name-value pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{TRUNCATED_PAIR}")]
pub struct TruncatedPair;

/// Decodes the name-value pairs of a complete parameter stream.
///
/// # Errors
/// Fails if the last pair announces more bytes than there are.
pub fn decode_pairs(mut bytes: &[u8]) -> Result<Vec<(String, String)>, TruncatedPair> {
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let name_len = take_length(&mut bytes)?;
        let value_len = take_length(&mut bytes)?;
        let name = take_text(&mut bytes, name_len)?;
        let value = take_text(&mut bytes, value_len)?;
        pairs.push((name, value));
    }
    Ok(pairs)
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

fn take_text(bytes: &mut &[u8], len: usize) -> Result<String, TruncatedPair> {
    let (text, rest) = bytes.split_at_checked(len).ok_or(TruncatedPair)?;
    *bytes = rest;
    Ok(String::from_utf8_lossy(text).into_owned())
}
