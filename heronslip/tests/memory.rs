//! The platform's limit on memory, over which it kills the program.
mod common;

use common::{connect, fastcgi_call, fastcgi_record, fastcgi_request, ProgramConfig, TestProgram};
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
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

/// Records of a type that FastCGI does not define.
fn unknown_records() -> Vec<u8> {
    fastcgi_record(77, 0, b"unknown.").repeat(4_000)
}

/// Requests that are refused at once.
fn requests_without_an_id() -> Vec<u8> {
    fastcgi_request(1, &[("SCRIPT_NAME", "/v1/tile-render")], b"").repeat(500)
}

/// Requests that are taken back at once, with this wait in ms.
fn aborted_requests(wait: &str) -> Vec<u8> {
    const ABORT_REQUEST: u8 = 2;
    let request = fastcgi_call(1, "00000000000000a1", wait, "x");
    [request, fastcgi_record(ABORT_REQUEST, 1, &[])].concat().repeat(200)
}

/// Guards against memory over the limit: clients that send at full speed and never wait for a response fill a
/// queue of responses or of messages to the core, and each entry takes far more memory than its content.
#[rstest]
#[case::unknown_records(unknown_records())]
#[case::requests_without_an_id(requests_without_an_id())]
#[case::aborted_requests(aborted_requests("9000"))]
#[case::aborted_requests_that_might_wait_long(aborted_requests("600000"))]
fn clients_at_full_speed_stay_within_the_memory_limit(#[case] messages: Vec<u8>) {
    const MEMORY_MB: u64 = 32;
    const CLIENTS: usize = 12;
    // Nothing is sent to workers that never answer, so that ids are free again once their requests have ended.
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a port");
    let workers = vec![unresponsive.local_addr().expect("bound")];
    let program =
        TestProgram::with(ProgramConfig { workers, memory_mb: MEMORY_MB, ..ProgramConfig::default() });
    let (address, messages) = (program.fastcgi, Arc::new(messages));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let messages = messages.clone();
            std::thread::spawn(move || send_at_full_speed(address, &messages))
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
