//! One budget bounds the memory that all clients together take, and leaves room for usual clients.
mod common;

use common::bad_clients::{requests_of_short_fields, sound_call, unfinished_requests, BadClients, Behaviour};
use common::stand_ins::serving_worker;
use common::{connect, read_fastcgi_response, ProgramConfig, TestProgram};
use rstest::rstest;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The least memory and the most descriptors that the platform gives a program.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
/// Clients that fit beside the usual ones into the descriptors for clients.
const CROWD: usize = 380;
/// Longer than a request may take to arrive: each bad client is turned away at least once.
const WATCHED: Duration = Duration::from_secs(5);

/// Ids of usual requests; those of bad clients start elsewhere.
static NEXT_USUAL_ID: AtomicU64 = AtomicU64::new(0x1000_0000_0000_0000);

fn start_program() -> TestProgram {
    TestProgram::with(ProgramConfig {
        workers: vec![serving_worker(), serving_worker(), serving_worker()],
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        ..ProgramConfig::default()
    })
}

/// How usual calls ended.
#[derive(Debug, Default)]
struct UsualCalls {
    served: usize,
    refused: usize,
}

/// Sends usual calls one after the other until told to stop. Each must get its final answer.
fn call_until(address: SocketAddr, stop: &AtomicBool) -> UsualCalls {
    let (mut client, mut calls) = (connect(address), UsualCalls::default());
    while !stop.load(Ordering::Acquire) {
        let id = NEXT_USUAL_ID.fetch_add(1, Ordering::Relaxed);
        client.write_all(&sound_call(1, id)).expect("written");
        let (head, _, status) = read_fastcgi_response(&mut client).expect("a usual call has an answer");
        match head.contains("Status: 200") {
            true => calls.served += 1,
            false => {
                assert!(head.contains("Status: 503") || status == 2, "{head} {status}");
                calls.refused += 1;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    calls
}

/// Watches the program's memory for this long, beside usual calls. Returns these and the most memory in KiB.
fn watch(program: &TestProgram, duration: Duration) -> (UsualCalls, u64) {
    let (address, stop) = (program.fastcgi, AtomicBool::new(false));
    let (start, mut most_kib) = (Instant::now(), 0);
    std::thread::scope(|scope| {
        let usual = scope.spawn(|| call_until(address, &stop));
        while start.elapsed() < duration && most_kib <= MEMORY_MB * 1024 && !usual.is_finished() {
            most_kib = most_kib.max(program.memory_kib());
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Release);
        (usual.join().expect("each usual call has an answer"), most_kib)
    })
}

/// Guards against memory over the limit and lost requests of others: hundreds of clients that write as much as
/// a request may hold, fast or slowly, and stop half way or send very many short fields.
#[rstest]
#[case::unfinished(Behaviour::at_full_speed(unfinished_requests()))]
#[case::unfinished_in_pieces(Behaviour::in_pieces(unfinished_requests(), 20_000, Duration::from_millis(4)))]
#[case::short_fields(Behaviour::at_full_speed(requests_of_short_fields()))]
#[case::short_fields_in_pieces(Behaviour::in_pieces(
    requests_of_short_fields(),
    700,
    Duration::from_millis(4)
))]
fn a_crowd_with_large_requests_stays_within_the_memory_limit(#[case] behaviour: Behaviour) {
    let program = start_program();
    let bad = BadClients::start(program.fastcgi, CROWD, &behaviour);
    let (usual, most_kib) = watch(&program, WATCHED);
    drop(bad);
    println!("most memory: {most_kib} KiB; {usual:?}");
    assert!(most_kib <= MEMORY_MB * 1024, "{most_kib} KiB");
    assert!(usual.served > 9 * usual.refused, "{usual:?}");
}
