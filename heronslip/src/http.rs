//! The parts of HTTP/1.1 that KServe v2, the administration API and discovery need: message heads, parsed by
//! httparse, and the chunked transfer coding.

/// Maximum bytes of the line that states a chunk's size.
const MAX_CHUNK_SIZE_LINE: usize = 64;

/// The fields of a message head that matter here.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Method of a request.
    pub method: String,
    /// Target of a request.
    pub target: String,
    /// Status of a response.
    pub status: u16,
    /// The body's length, if stated.
    pub length: Option<usize>,
    /// Whether the body uses the chunked transfer coding.
    pub chunked: bool,
    /// Whether the connection closes after this exchange.
    pub close: bool,
    /// Whether the client expects a `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl Head {
    /// Parses the head of a request; `head` includes the empty line at its end.
    pub fn parse_request(head: &[u8]) -> Result<Head, String> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut headers);
        check_whole(request.parse(head), head)?;
        let owned = |text: Option<&str>| text.unwrap_or_default().to_owned();
        let (method, target) = (owned(request.method), owned(request.path));
        let close = request.version == Some(0);
        Head { method, target, close, ..Head::default() }.with_headers(request.headers)
    }

    /// Parses the head of a response; `head` includes the empty line at its end.
    pub fn parse_response(head: &[u8]) -> Result<Head, String> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut response = httparse::Response::new(&mut headers);
        check_whole(response.parse(head), head)?;
        let close = response.version == Some(0);
        Head { status: response.code.unwrap_or(0), close, ..Head::default() }.with_headers(response.headers)
    }

    fn with_headers(mut self, headers: &[httparse::Header]) -> Result<Head, String> {
        for header in headers {
            let value = String::from_utf8_lossy(header.value).trim().to_ascii_lowercase();
            match header.name.to_ascii_lowercase().as_str() {
                "content-length" => {
                    // Differing or malformed lengths would allow request smuggling.
                    let is_number = value.bytes().all(|b| b.is_ascii_digit());
                    let length = value.parse().ok().filter(|_| is_number).ok_or("bad Content-Length")?;
                    if self.length.is_some_and(|known| known != length) {
                        return Err("two lengths".to_owned());
                    }
                    self.length = Some(length);
                }
                // Without the coding it is not known where the body ends.
                "transfer-encoding" if self.chunked || value != "chunked" => {
                    return Err("unsupported Transfer-Encoding".to_owned());
                }
                "transfer-encoding" => self.chunked = true,
                "connection" => self.close = value == "close" || self.close && value != "keep-alive",
                "expect" => self.expects_continue = value == "100-continue",
                _ => {}
            }
        }
        if self.chunked && self.length.is_some() {
            return Err("a length and chunks".to_owned());
        }
        Ok(self)
    }
}

/// Checks that a head was parsed to its end: nothing may be left of it, as that would be dropped.
fn check_whole(parsed: httparse::Result<usize>, head: &[u8]) -> Result<(), String> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length == head.len() => Ok(()),
        Ok(httparse::Status::Complete(_)) => Err("bytes after the end of the head".to_owned()),
        Ok(httparse::Status::Partial) => Err("the head is not complete".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// The meaning of one byte of a chunked body.
#[derive(Debug, PartialEq)]
pub enum ChunkedItem {
    /// A byte of the content.
    Content(u8),
    /// A byte of the coding itself.
    Framing,
    /// The last byte of the size line of the last chunk.
    End,
}

/// Decodes the chunked transfer coding byte by byte.
#[derive(Default)]
pub struct ChunkedDecoder {
    /// Bytes left of the current chunk.
    remaining: usize,
    size_line: Vec<u8>,
}

impl ChunkedDecoder {
    /// Decodes the next byte.
    pub fn decode(&mut self, byte: u8) -> Result<ChunkedItem, String> {
        if self.remaining > 0 {
            self.remaining -= 1;
            return Ok(ChunkedItem::Content(byte));
        }
        match byte {
            b'\n' if self.size_line.is_empty() => {} // the line end after a chunk
            b'\n' => {
                let line = String::from_utf8_lossy(&self.size_line).into_owned();
                let size = line.split(';').next().unwrap_or_default().trim();
                self.remaining = usize::from_str_radix(size, 16).map_err(|_| "invalid chunk size")?;
                self.size_line.clear();
                if self.remaining == 0 {
                    return Ok(ChunkedItem::End);
                }
            }
            b'\r' => {}
            _ if self.size_line.len() > MAX_CHUNK_SIZE_LINE => return Err("invalid chunk size".to_owned()),
            _ => self.size_line.push(byte),
        }
        Ok(ChunkedItem::Framing)
    }
}

/// Encodes a response with a JSON body. `headers` are further header lines, each with its line end.
pub fn response(status: &str, headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}{connection}\r\n"
    );
    [head.as_bytes(), body].concat()
}
