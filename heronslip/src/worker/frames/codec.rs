//! The frames of the platform's binary protocol: their codes, encoding and decoding.
use crate::ring::RingBuffer;
use heronslip_policy::Outcome;

/// First byte of every frame from a front end.
const FRONT_END_MARK: u8 = 126;
/// First byte of every frame from a worker.
const WORKER_MARK: u8 = 127;
pub(super) const CODE_CALL: u8 = 2;
pub(super) const CODE_CANCEL: u8 = 3;
pub(super) const CODE_PROBE: u8 = 5;
pub(super) const CODE_LOAD: u8 = 6;
pub(super) const CODE_UNLOAD: u8 = 8;
const CODE_OK: u8 = 200;
/// Reply to a call: the function is not loaded.
const CODE_NOT_LOADED: u8 = 202;
const CODE_REJECTED: u8 = 203;
const CODE_ERROR: u8 = 204;
/// Reply to a call: its budget was used up before it ran.
const CODE_EXPIRED: u8 = 205;
/// Reply to a probe: the worker accepts work.
pub(super) const CODE_ACCEPTING: u8 = 206;
/// Reply to a probe: the worker does not accept work.
pub(super) const CODE_NOT_ACCEPTING: u8 = 207;
pub(super) const HEADER_BYTES: usize = 16;
pub(super) const CHECKSUM_BYTES: usize = 4;

/// Encodes one frame.
pub fn encode(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + fields.len() + body.len() + CHECKSUM_BYTES);
    frame.extend([FRONT_END_MARK, code]);
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    frame.extend(checksum.to_be_bytes());
    frame
}

/// A reply frame.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// The reply's code.
    pub code: u8,
    /// The id of the exchange that it replies to.
    pub id: u64,
    /// `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.split(',').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name)).map(|p| p.1)
    }

    /// The number of requests in flight that the worker reports. The settings call it `busy_reqs`, the
    /// protocol's documentation `inflight`; workers use the first.
    pub fn inflight(&self) -> Option<f64> {
        let number = |pair: &str| {
            let (name, value) = pair.split_once(':')?;
            matches!(name, "busy_reqs" | "inflight").then(|| value.parse().ok())?
        };
        self.field("use")?.split(';').find_map(number)
    }
}

/// Decodes frames from the bytes in a ring buffer.
#[derive(Default)]
pub struct Decoder {
    /// What has been read of the next frame.
    partial: Vec<u8>,
}

impl Decoder {
    /// Whether a frame has been read in part.
    pub fn has_partial_frame(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Memory of what has been read of the next frame, in bytes.
    pub fn memory(&self) -> usize {
        self.partial.capacity()
    }

    /// The next complete frame, or why the stream is invalid.
    pub fn next_frame(&mut self, ring: &mut RingBuffer, max_body: usize) -> Result<Option<Frame>, String> {
        if self.partial.len() < HEADER_BYTES {
            ring.drain_into(HEADER_BYTES - self.partial.len(), &mut self.partial);
        }
        let [mark, code, f0, f1, b0, b1, b2, b3, id @ ..] = &self.partial[..] else { return Ok(None) };
        let Some(id) = id.first_chunk::<8>() else { return Ok(None) };
        if *mark != WORKER_MARK {
            return Err(format!("unexpected first byte {mark}"));
        }
        let (code, id) = (*code, u64::from_be_bytes(*id));
        let fields_length = usize::from(u16::from_be_bytes([*f0, *f1]));
        let body_length = u32::from_be_bytes([*b0, *b1, *b2, *b3]) as usize;
        if body_length > max_body {
            return Err(format!("body of {body_length} bytes is too long"));
        }
        let frame_length = HEADER_BYTES + fields_length + body_length + CHECKSUM_BYTES;
        ring.drain_into(frame_length - self.partial.len(), &mut self.partial);
        if self.partial.len() < frame_length {
            return Ok(None);
        }
        let mut frame = std::mem::take(&mut self.partial);
        let (content, checksum) = frame[HEADER_BYTES..].split_at(fields_length + body_length);
        if crc32fast::hash(content).to_be_bytes() != *checksum {
            return Err("checksum mismatch".to_owned());
        }
        let fields = String::from_utf8_lossy(&content[..fields_length]).into_owned();
        frame.truncate(HEADER_BYTES + fields_length + body_length);
        frame.drain(..HEADER_BYTES + fields_length);
        Ok(Some(Frame { code, id, fields, body: frame }))
    }
}

/// The outcome that a reply's code stands for.
pub(super) fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        CODE_OK => Outcome::Ok,
        CODE_NOT_LOADED => Outcome::Miss,
        CODE_REJECTED => Outcome::Rejected,
        CODE_ERROR => Outcome::Error,
        CODE_EXPIRED => Outcome::NotSent,
        CODE_ACCEPTING => Outcome::Ok,
        CODE_NOT_ACCEPTING => Outcome::Rejected,
        _ => return None,
    })
}
