//! Clients that send as fast as they are answered and close with answers unread.
use crate::node::wire::{encode_request, read_record, Record};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Requests in a block; each has its own FastCGI id.
const BLOCK: u16 = 30;
/// Blocks of a connection whose answers are read.
const ANSWERED_BLOCKS: RangeInclusive<u32> = 0..=40;
/// Wait before a client that could not connect tries again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends blocks of requests that no worker can serve, on one connection after the other, for this long. The
/// answers to the last block of a connection are not read.
pub async fn flood(address: SocketAddr, duration: Duration, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let blocks = rng.random_range(ANSWERED_BLOCKS);
        if let Err(error) = send_blocks(address, blocks).await {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
            }
        }
    }
}

async fn send_blocks(address: SocketAddr, answered: u32) -> io::Result<()> {
    let parameters = [("SCRIPT_NAME", "/v1/none".to_owned())];
    let block: Vec<u8> = (1..=BLOCK).flat_map(|id| encode_request(id, &parameters, &[])).collect();
    let mut stream = TcpStream::connect(address).await?;
    for _ in 0..answered {
        stream.write_all(&block).await?;
        let mut unanswered = BLOCK;
        while unanswered > 0 {
            if let Record::End(_) = read_record(&mut stream).await? {
                unanswered -= 1;
            }
        }
    }
    stream.write_all(&block).await
}
