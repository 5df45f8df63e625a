//! The two protocols round a front end, from their published pages: FastCGI 1.0 as its clients speak it, and the
//! binary frames as workers do.
use std::io;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt};

const VERSION: u8 = 1;
const BEGIN_REQUEST: u8 = 1;
const ABORT_REQUEST: u8 = 2;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const KEEP_CONNECTION: u8 = 1;
const RESPONDER: u8 = 1;

fn record(kind: u8, id: u16, content: &[u8], out: &mut Vec<u8>) {
    let ([i0, i1], [c0, c1]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    out.extend([VERSION, kind, i0, i1, c0, c1, 0, 0]);
    out.extend(content);
}

/// A whole request; parameters and body must each fit in one record.
pub fn request(id: u16, params: &[(&str, String)], body: &[u8]) -> Vec<u8> {
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
    record(BEGIN_REQUEST, id, &[0, RESPONDER, KEEP_CONNECTION, 0, 0, 0, 0, 0], &mut out);
    record(PARAMS, id, &pairs, &mut out);
    record(PARAMS, id, &[], &mut out);
    if !body.is_empty() {
        record(STDIN, id, body, &mut out);
    }
    record(STDIN, id, &[], &mut out);
    out
}

/// The record that takes a request back.
pub fn abort(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    record(ABORT_REQUEST, id, &[], &mut out);
    out
}

/// One record of an answer.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// A part of the CGI response to this request.
    Output(u16, Vec<u8>),
    /// The request is done.
    End(u16),
    /// Something else.
    Other,
}

/// Reads the next record.
///
/// # Errors
/// Fails with the connection.
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

const FROM_FRONT_END: u8 = 126;
const FROM_WORKER: u8 = 127;
const HEADER: usize = 16;
const CHECK: usize = 4;
/// Longest frame that a hollow worker takes.
const LONGEST: usize = 64 * 1024;

/// A frame that came from a front end.
#[derive(Debug)]
pub struct Frame {
    /// Its code.
    pub code: u8,
    /// Its id.
    pub id: u64,
    /// `name=value,name=value`.
    pub fields: String,
    /// Bytes it took on the wire.
    pub bytes: usize,
    /// When its first byte was read.
    pub began: Instant,
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
/// Fails with the connection, or if what comes is no frame.
pub async fn read_frame(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Frame> {
    let mut head = [0; HEADER];
    from.read_exact(&mut head[..1]).await?;
    let began = Instant::now();
    from.read_exact(&mut head[1..]).await?;
    let [mark, code, f0, f1, b0, b1, b2, b3, id @ ..] = head;
    let fields = usize::from(u16::from_be_bytes([f0, f1]));
    let body = u32::from_be_bytes([b0, b1, b2, b3]) as usize;
    if mark != FROM_FRONT_END || body > LONGEST {
        return Err(io::Error::other("no frame of a front end"));
    }
    let mut rest = vec![0; fields + body + CHECK];
    from.read_exact(&mut rest).await?;
    let fields_text = String::from_utf8_lossy(&rest[..fields]).into_owned();
    let bytes = HEADER + rest.len();
    Ok(Frame { code, id: u64::from_be_bytes(id), fields: fields_text, bytes, began })
}

/// A worker's answer as bytes.
pub fn answer(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = vec![FROM_WORKER, code];
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let check = crc32fast::hash(&frame[HEADER..]);
    frame.extend(check.to_be_bytes());
    frame
}
