//! Clients that send as fast as they can and close with answers unread.
mod common;

use common::cores::on_one_core;
use common::shim::build_shim;
use common::stand_ins::failing_worker;
use common::{connect, fastcgi_call, read_fastcgi_response, ProgramConfig, TestProgram};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Requests in a block, each with a FastCGI id of its own.
const BLOCK: u16 = 30;

/// Sends blocks of requests with one request id, on one connection after the other. Reads the answers to all
/// but the last block of a connection.
fn send_and_close(address: SocketAddr, connections: usize) {
    const ANSWERED_BLOCKS: usize = 10;
    let block: Vec<u8> =
        (1..=BLOCK).flat_map(|stream_id| fastcgi_call(stream_id, "00000000000000bb", "9000", "x")).collect();
    for _ in 0..connections {
        let mut client = connect(address);
        for _ in 0..ANSWERED_BLOCKS {
            client.write_all(&block).expect("written");
            (0..BLOCK).for_each(|_| drop(read_fastcgi_response(&mut client).expect("an answer")));
        }
        client.write_all(&block).expect("written");
    }
}

/// Sends requests one after the other until told to stop; how many were answered.
fn send_and_wait(address: SocketAddr, stop: &AtomicBool) -> usize {
    let (mut client, mut answered) = (connect(address), 0);
    while !stop.load(Ordering::Acquire) {
        answered += 1;
        let call = fastcgi_call(1, &format!("{answered:016x}"), "5000", "usual");
        client.write_all(&call).expect("written");
        let (head, _, _) = read_fastcgi_response(&mut client).expect("an answer");
        assert!(!head.is_empty());
    }
    answered
}

/// Guards against an aborted process: clients that close early make the heap corrupt.
#[test]
fn clients_that_close_with_answers_unread_do_not_end_the_program() {
    const BAD_CLIENTS: usize = 3;
    const CONNECTIONS: usize = 30;
    let config = ProgramConfig {
        workers: vec![failing_worker(), failing_worker(), failing_worker()],
        sockets: 512,
        memory_mb: 64,
        environment: vec![("LD_PRELOAD", build_shim())],
        ..ProgramConfig::default()
    };
    let mut program = on_one_core(|| TestProgram::with(config));
    let (address, stop, start) = (program.fastcgi, AtomicBool::new(false), Instant::now());
    std::thread::scope(|scope| {
        let usual = scope.spawn(|| send_and_wait(address, &stop));
        let bad: Vec<_> =
            (0..BAD_CLIENTS).map(|_| scope.spawn(|| send_and_close(address, CONNECTIONS))).collect();
        let ended: Vec<_> = bad.into_iter().map(|client| client.join()).collect();
        stop.store(true, Ordering::Release);
        assert!(ended.into_iter().all(|client| client.is_ok()), "a bad client was not answered");
        let answered = usual.join().expect("all are answered");
        println!("{answered} usual requests in {} ms", start.elapsed().as_millis());
    });
    assert!(program.terminate());
}
