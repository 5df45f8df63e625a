//! Clients that send more than their share: as fast as they are answered, or as much as a request may hold.
use crate::node::wire::{encode_request, encode_unfinished_request, read_record, Record};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::LazyLock;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Requests in a block; each has its own FastCGI id.
const BLOCK: u16 = 30;
/// Blocks of a connection whose answers are read.
const ANSWERED_BLOCKS: RangeInclusive<u32> = 0..=40;
/// Wait before a client that could not connect tries again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Parameters of a large request, in bytes: nearly as long as allowed.
const LARGE_PARAMS: usize = 16_000;
/// Body of a large request, in bytes: nearly as long as allowed.
const LARGE_BODY: usize = 16_000;
/// Bytes that a slow client writes at once.
const PIECE: usize = 20_000;
/// Longest wait of a slow client after each piece, in milliseconds.
const MAX_PIECE_PAUSE_MS: u64 = 8;
/// Function ids and request ids of floods; those of other clients are small.
static NEXT_NAME: AtomicU64 = AtomicU64::new(1 << 60);

/// What the clients of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FloodKind {
    /// Requests that no worker can serve, as fast as they are answered; the last answers are not read.
    Answered,
    /// Calls of functions that nobody has named before, whose time is over at once.
    NewFunctions,
    /// Large requests that stop half way.
    Unfinished,
    /// Whole requests of very many short fields.
    ShortFields,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 4] =
        [FloodKind::Answered, FloodKind::NewFunctions, FloodKind::Unfinished, FloodKind::ShortFields];

    /// How many clients take part at a time. A few at full speed are enough to be ahead of a front end; memory
    /// is used up by many.
    pub fn clients(self) -> RangeInclusive<u64> {
        match self {
            FloodKind::Answered | FloodKind::NewFunctions => 1..=4,
            FloodKind::Unfinished | FloodKind::ShortFields => 50..=300,
        }
    }
}

/// Sends on one connection after the other, for this long.
pub async fn flood(address: SocketAddr, kind: FloodKind, duration: Duration, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let connection = async {
            match kind {
                FloodKind::Answered => {
                    send_blocks(address, rng.random_range(ANSWERED_BLOCKS), unservable).await
                }
                FloodKind::NewFunctions => send_blocks(address, u32::MAX, call_of_new_function).await,
                FloodKind::Unfinished => send_and_hold(address, &UNFINISHED_REQUESTS, &mut rng).await,
                FloodKind::ShortFields => send_and_hold(address, &REQUESTS_OF_SHORT_FIELDS, &mut rng).await,
            }
        };
        let result = timeout(end.saturating_duration_since(Instant::now()), connection).await;
        if let Ok(Err(error)) = result {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
            }
        }
    }
}

fn unservable(id: u16) -> Vec<u8> {
    encode_request(id, &[("SCRIPT_NAME", "/v1/none".to_owned())], &[])
}

fn call_of_new_function(id: u16) -> Vec<u8> {
    let name = NEXT_NAME.fetch_add(1, Ordering::Relaxed);
    let parameters = [
        ("SCRIPT_NAME", format!("/v1/{}", super::run::CLASSES[0])),
        ("HTTP_REQ_ID", format!("{name:016x}")),
        ("HTTP_REQ_WAIT_MS", "5".to_owned()),
        ("HTTP_REQ_KEY", format!("{name:016x}")),
    ];
    encode_request(id, &parameters, &[])
}

// Encoded once: this process also runs the workers, whose times are checked.
static UNFINISHED_REQUESTS: LazyLock<Vec<u8>> = LazyLock::new(|| {
    (1..=BLOCK).flat_map(|id| encode_unfinished_request(id, &[1; LARGE_PARAMS], &[2; LARGE_BODY])).collect()
});

static REQUESTS_OF_SHORT_FIELDS: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let fields = vec![("a", String::new()); LARGE_PARAMS / 3];
    (1..=BLOCK).flat_map(|id| encode_request(id, &fields, &[2; LARGE_BODY])).collect()
});

/// Sends blocks of requests, and another one after the last whose answers are read.
async fn send_blocks(address: SocketAddr, answered: u32, request: fn(u16) -> Vec<u8>) -> io::Result<()> {
    let block = || (1..=BLOCK).flat_map(request).collect::<Vec<u8>>();
    let mut stream = TcpStream::connect(address).await?;
    for _ in 0..answered {
        stream.write_all(&block()).await?;
        let mut unanswered = BLOCK;
        while unanswered > 0 {
            if let Record::End(_) = read_record(&mut stream).await? {
                unanswered -= 1;
            }
        }
    }
    stream.write_all(&block()).await
}

/// Sends these bytes in pieces, and reads until the connection closes.
async fn send_and_hold(address: SocketAddr, bytes: &[u8], rng: &mut Pcg64) -> io::Result<()> {
    let pause = Duration::from_millis(rng.random_range(0..=MAX_PIECE_PAUSE_MS));
    let mut stream = TcpStream::connect(address).await?;
    for piece in bytes.chunks(PIECE) {
        stream.write_all(piece).await?;
        tokio::time::sleep(pause).await;
    }
    loop {
        read_record(&mut stream).await?;
    }
}
