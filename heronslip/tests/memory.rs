//! The platform's limit on memory, over which it kills the program.
mod common;

use common::{connect, fastcgi_record, ProgramConfig, TestProgram};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bytes that a bad client sends in all.
const SENT_BYTES: usize = 20_000_000;

/// Sends the same bytes again and again at full speed, on a new connection when it is turned away, and reads
/// what it is sent.
fn send_at_full_speed(address: SocketAddr, bytes: &[u8]) {
    let mut sent = 0;
    while sent < SENT_BYTES {
        let mut stream = connect(address);
        let mut receiver: TcpStream = stream.try_clone().expect("a descriptor");
        std::thread::spawn(move || std::io::copy(&mut receiver, &mut std::io::sink()));
        while sent < SENT_BYTES && stream.write_all(bytes).is_ok() {
            sent += bytes.len();
        }
        let _ = stream.shutdown(std::net::Shutdown::Both); // the server may have closed it
    }
}

/// Guards against memory over the limit: clients cause many short responses, and the queue of them takes far
/// more memory than their content.
#[test]
fn many_short_responses_stay_within_the_memory_limit() {
    const MEMORY_MB: u64 = 32;
    const CLIENTS: usize = 12;
    let program = TestProgram::with(ProgramConfig { memory_mb: MEMORY_MB, ..ProgramConfig::default() });
    let address = program.fastcgi;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                send_at_full_speed(address, &fastcgi_record(77, 0, b"unknown.").repeat(4_000));
            })
        })
        .collect();
    let (mut most_kib, start) = (0, Instant::now());
    while clients.iter().any(|client| !client.is_finished()) {
        most_kib = most_kib.max(program.memory_kib());
        assert!(most_kib <= MEMORY_MB * 1024, "{most_kib} KiB after {} ms", start.elapsed().as_millis());
        std::thread::sleep(Duration::from_millis(5));
    }
    println!("most memory: {most_kib} KiB");
}
