//! The two protocols of a front end, implemented from their specifications: FastCGI 1.0 for its clients, and
//! binary frames for its workers.
use std::io;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt};

// FastCGI: the version, the types of records, the flag that keeps a connection open, and the role.
const VERSION: u8 = 1;
const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const KEEP_CONNECTION: u8 = 1;
const RESPONDER: u8 = 1;

fn push_record(kind: u8, id: u16, content: &[u8], out: &mut Vec<u8>) {
    let ([i0, i1], [c0, c1]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    out.extend([VERSION, kind, i0, i1, c0, c1, 0, 0]);
    out.extend(content);
}

/// Encodes a request; parameters and body must each fit in one record.
pub fn encode_request(id: u16, params: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut pairs = Vec::new();
    for (name, value) in params {
        pairs.push(name.len() as u8);
        match u8::try_from(value.len()) {
            Ok(short) if short < 128 => pairs.push(short),
            _ => pairs.extend((value.len() as u32 | 1 << 31).to_be_bytes()),
        }
        pairs.extend(name.as_bytes());
        pairs.extend(value.as_bytes());
    }
    let mut out = Vec::new();
    push_record(BEGIN_REQUEST, id, &[0, RESPONDER, KEEP_CONNECTION, 0, 0, 0, 0, 0], &mut out);
    push_record(PARAMS, id, &pairs, &mut out);
    push_record(PARAMS, id, &[], &mut out);
    if !body.is_empty() {
        push_record(STDIN, id, body, &mut out);
    }
    push_record(STDIN, id, &[], &mut out);
    out
}

/// Encodes a request without the records that end its parameters and its body; each must fit in one record.
pub fn encode_unfinished_request(id: u16, params: &[u8], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    push_record(BEGIN_REQUEST, id, &[0, RESPONDER, KEEP_CONNECTION, 0, 0, 0, 0, 0], &mut out);
    push_record(PARAMS, id, params, &mut out);
    push_record(STDIN, id, body, &mut out);
    out
}

/// Encodes the record that aborts a request.
pub fn encode_abort(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    push_record(ABORT_REQUEST, id, &[], &mut out);
    out
}

/// A record of a response.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// A fragment of the CGI response to the request of this ID.
    Output(u16, Vec<u8>),
    /// The request of this ID has ended.
    End(u16),
    /// Any other record.
    Other,
}

/// Reads the next record.
///
/// # Errors
/// Fails if the connection fails or ends.
pub async fn read_record(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Record> {
    let mut head = [0; 8];
    from.read_exact(&mut head).await?;
    let [_, kind, i0, i1, c0, c1, padding, _] = head;
    let length = usize::from(u16::from_be_bytes([c0, c1]));
    let mut content = vec![0; length + usize::from(padding)];
    from.read_exact(&mut content).await?;
    content.truncate(length);
    let id = u16::from_be_bytes([i0, i1]);
    Ok(match kind {
        STDOUT => Record::Output(id, content),
        END_REQUEST => Record::End(id),
        _ => Record::Other,
    })
}

/// First byte of a frame from a front end.
const FRONT_END_MAGIC: u8 = 126;
/// First byte of a frame from a worker.
const WORKER_MAGIC: u8 = 127;
/// Bytes of a frame before its fields.
const HEADER_LEN: usize = 16;
/// Bytes of the checksum at the end of a frame.
const CHECKSUM_LEN: usize = 4;
/// Longest body of a frame that a simulated worker accepts.
const MAX_BODY_LEN: usize = 64 * 1024;

/// A frame from a front end.
#[derive(Debug)]
pub struct Frame {
    /// What kind of message it is.
    pub code: u8,
    /// ID of the call or command it belongs to.
    pub id: u64,
    /// Its fields, as `name=value,name=value`.
    pub fields: String,
    /// Its size on the wire.
    pub bytes: usize,
    /// When its first byte was read.
    pub received: Instant,
}

impl Frame {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.split(',').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name)).map(|p| p.1)
    }
}

/// Reads the next frame.
///
/// # Errors
/// Fails if the connection fails or ends, or if the data is not a valid frame.
pub async fn read_frame(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Frame> {
    let mut head = [0; HEADER_LEN];
    from.read_exact(&mut head[..1]).await?;
    let received = Instant::now();
    from.read_exact(&mut head[1..]).await?;
    let [magic, code, f0, f1, b0, b1, b2, b3, id @ ..] = head;
    let fields = usize::from(u16::from_be_bytes([f0, f1]));
    let body = u32::from_be_bytes([b0, b1, b2, b3]) as usize;
    if magic != FRONT_END_MAGIC || body > MAX_BODY_LEN {
        return Err(io::Error::other("invalid frame from a front end"));
    }
    let mut rest = vec![0; fields + body + CHECKSUM_LEN];
    from.read_exact(&mut rest).await?;
    let fields_text = String::from_utf8_lossy(&rest[..fields]).into_owned();
    let bytes = HEADER_LEN + rest.len();
    Ok(Frame { code, id: u64::from_be_bytes(id), fields: fields_text, bytes, received })
}

/// Encodes a worker's reply.
pub fn encode_reply(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = vec![WORKER_MAGIC, code];
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let checksum = crc32fast::hash(&frame[HEADER_LEN..]);
    frame.extend(checksum.to_be_bytes());
    frame
}
