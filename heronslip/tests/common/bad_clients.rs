//! Clients that take more than their share: their messages, and the threads that send them.
use super::{connect, fastcgi_record, FUNCTION};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// FastCGI record types.
pub mod record {
    pub const BEGIN_REQUEST: u8 = 1;
    pub const ABORT_REQUEST: u8 = 2;
    pub const PARAMS: u8 = 4;
    pub const STDIN: u8 = 5;
}

/// Content of a BEGIN_REQUEST record: a Responder whose connection stays open.
const BEGIN_RESPONDER: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];
/// Most requests that a client may have open on one connection.
const OPEN_REQUESTS: u16 = 32;

/// Bytes that one connection sends, how, and what follows.
#[derive(Clone)]
pub struct Behaviour {
    pub bytes: Arc<Vec<u8>>,
    /// Bytes that are written at once.
    pub piece: usize,
    /// Wait after each piece.
    pub pause: Duration,
}

impl Behaviour {
    pub fn at_full_speed(bytes: Vec<u8>) -> Behaviour {
        let piece = bytes.len();
        Behaviour { bytes: Arc::new(bytes), piece, pause: Duration::ZERO }
    }

    pub fn in_pieces(bytes: Vec<u8>, piece: usize, pause: Duration) -> Behaviour {
        Behaviour { bytes: Arc::new(bytes), piece, pause }
    }
}

/// Requests whose parameters and body are nearly as long as allowed and whose body does not end, and a record
/// that stops before its end.
pub fn unfinished_requests() -> Vec<u8> {
    let mut bytes = Vec::new();
    for id in 1..OPEN_REQUESTS {
        bytes.extend(fastcgi_record(record::BEGIN_REQUEST, id, &BEGIN_RESPONDER));
        bytes.extend(fastcgi_record(record::PARAMS, id, &[1; 16_000]));
        bytes.extend(fastcgi_record(record::STDIN, id, &[2; 16_000]));
    }
    bytes.extend(fastcgi_record(record::STDIN, OPEN_REQUESTS, &[3; 65_535]));
    bytes.truncate(bytes.len() - 1_535);
    bytes
}

/// Name-value pairs of three bytes each: a name of one byte and no value.
fn short_pairs(bytes: usize) -> Vec<u8> {
    (0..bytes / 3).flat_map(|n| [1, 0, b'a' + (n % 26) as u8]).collect()
}

/// Whole requests with as many short fields as the parameters have room for; half of them have a body.
pub fn requests_of_short_fields() -> Vec<u8> {
    let (pairs, mut bytes) = (short_pairs(16_300), Vec::new());
    for id in 1..=OPEN_REQUESTS {
        bytes.extend(fastcgi_record(record::BEGIN_REQUEST, id, &BEGIN_RESPONDER));
        bytes.extend(fastcgi_record(record::PARAMS, id, &pairs));
        bytes.extend(fastcgi_record(record::PARAMS, id, &[]));
        if id % 2 == 0 {
            bytes.extend(fastcgi_record(record::STDIN, id, &[2; 15_000]));
        }
        bytes.extend(fastcgi_record(record::STDIN, id, &[]));
    }
    bytes
}

/// A call of a function, with an id of its own.
pub fn call_of(stream_id: u16, wire_id: u64, function: &str, class: &str, body: &[u8]) -> Vec<u8> {
    let params = [
        ("SCRIPT_NAME", &*format!("/v1/{class}")),
        ("HTTP_REQ_ID", &*format!("{wire_id:016x}")),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "3000"),
        ("HTTP_REQ_KEY", function),
        ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
    ];
    super::fastcgi_request(stream_id, &params, body)
}

/// A sound call of [`FUNCTION`], with an id of its own.
pub fn sound_call(stream_id: u16, wire_id: u64) -> Vec<u8> {
    call_of(stream_id, wire_id, FUNCTION, "tile-render", b"x")
}

/// Threads that send until this is dropped.
pub struct BadClients {
    done: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BadClients {
    /// Clients that behave like this on one connection after the other.
    pub fn start(address: SocketAddr, clients: usize, behaviour: &Behaviour) -> BadClients {
        BadClients::start_with(clients, |done| {
            let behaviour = behaviour.clone();
            move || {
                while !done.load(Ordering::Acquire) {
                    send_and_hold(address, &behaviour, &done);
                }
            }
        })
    }

    /// Clients of which each runs what `client` returns, in a thread of its own, until the flag is set.
    pub fn start_with<Client: FnOnce() + Send + 'static>(
        clients: usize, client: impl Fn(Arc<AtomicBool>) -> Client,
    ) -> BadClients {
        let done = Arc::<AtomicBool>::default();
        let threads = (0..clients).map(|_| std::thread::spawn(client(done.clone()))).collect();
        BadClients { done, threads }
    }
}

impl Drop for BadClients {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Release);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Sends on one connection, and holds it open until the other side closes it.
fn send_and_hold(address: SocketAddr, behaviour: &Behaviour, done: &AtomicBool) {
    let mut stream = connect(address);
    stream.set_write_timeout(Some(Duration::from_millis(500))).expect("set");
    for piece in behaviour.bytes.chunks(behaviour.piece) {
        if done.load(Ordering::Acquire) || stream.write_all(piece).is_err() {
            break;
        }
        std::thread::sleep(behaviour.pause);
    }
    read_until_closed(&mut stream, done);
}

fn read_until_closed(stream: &mut TcpStream, done: &AtomicBool) {
    stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set");
    let mut buffer = [0; 4096];
    while !done.load(Ordering::Acquire) {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(_) => {}
            Err(e) if heronslip::net::is_timeout(&e) => {}
            Err(_) => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both); // the other side may have closed it
}
