//! Very long, repeated, cut, oversized and reordered list events. Each test plays the discovery server.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::{
    connect, fastcgi_call, instance, read_fastcgi_response, send_event, ProgramConfig, ScriptedWorker,
    TestProgram,
};
use std::io::Write;
use std::net::SocketAddr;

/// An address at which no worker listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Instances of many workers, each with its own address.
fn instances(count: u32) -> Vec<String> {
    let address = |n: u32| SocketAddr::from(([127, 9, (n >> 8) as u8, n as u8], 9));
    (0..count).map(|n| instance(&format!("many-{n:05}"), address(n), "ready", 0)).collect()
}

/// An event of far more than a megabyte is applied, without another request.
#[test]
fn a_long_list_is_applied() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::start(ProgramConfig {
        discovery_server,
        known: Some(String::new()),
        ..ProgramConfig::default()
    });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, true, &instances(12_500));
    program.wait_for_worker("many-12499", "ready", "the last worker of the list");
    send_event(&mut stream, 3, false, &[instance("many-00007", address(UNUSED_ADDRESS), "draining", 0)]);
    program.wait_for_worker("many-00007", "draining", "the connection is still followed");
}

/// A full list without changes leaves pending calls and worker connections as they are.
#[test]
fn a_full_list_without_changes_keeps_calls_and_connections() {
    let (listener, discovery_server) = bind_discovery_server();
    let mut worker = ScriptedWorker::new();
    let program = TestProgram::with(ProgramConfig {
        workers: vec![worker.address()],
        discovery_server,
        ..ProgramConfig::default()
    });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let same = instance("w0", worker.address(), "ready", 0);
    send_event(&mut stream, 2, false, std::slice::from_ref(&same));
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let first = worker.command();
    send_event(&mut stream, 3, true, &[same, instance("other", address(UNUSED_ADDRESS), "draining", 0)]);
    program.wait_for_worker("other", "draining", "the list is applied");
    worker.serve(first.id, "ONE");
    assert_eq!(read_fastcgi_response(&mut client).expect("a response").1, b"ONE");
    client.write_all(&fastcgi_call(2, "00000000000000a2", "9000", "y")).expect("written");
    let second = worker.command();
    worker.serve(second.id, "TWO");
    assert_eq!(read_fastcgi_response(&mut client).expect("a response").1, b"TWO");
}

/// A full list that is cut off inside or after an entry changes nothing, and is requested again by the last
/// event id.
#[test]
fn a_list_that_is_cut_off_changes_nothing() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let full_list =
        format!(r#"{{"rev":2,"pool":{{"reset":true,"instances":[{}]}}}}"#, instances(3).join(","));
    let after_entry = full_list.find("},{").expect("two entries") + 1;
    for length in [after_entry, after_entry + 40] {
        let (mut stream, head) = accept_request(&listener);
        assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
        stream
            .write_all(format!("{RESPONSE_HEAD}id: 2\ndata: {}", &full_list[..length]).as_bytes())
            .expect("written");
    }
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    program.wait_for_worker("w0", "ready", "the cut list did not remove it");
    program.wait_for_worker("many-00000", "absent", "the cut list did not add it");
    stream.write_all(format!("{RESPONSE_HEAD}id: 2\ndata: {full_list}\n\n").as_bytes()).expect("written");
    program.wait_for_worker("many-00002", "ready", "the full list is applied");
    program.wait_for_worker("w0", "absent", "the full list does not name it");
}

/// An event with an oversized entry is requested once more. Then it is skipped, and the log names its size
/// and the bound: the list stays as it was, and the connection stays open.
#[test]
fn an_event_with_an_oversized_entry_is_skipped() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let oversized = instance(&"x".repeat(100_000), address(UNUSED_ADDRESS), "ready", 0);
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, true, std::slice::from_ref(&oversized));
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, true, &[oversized]);
    program.wait_for_log("an entry of more than 4096 bytes");
    program.wait_for_log("cannot be used");
    program.wait_for_worker("w0", "ready", "the list stays as it was");
    send_event(&mut stream, 3, false, &[instance("w1", address(UNUSED_ADDRESS), "draining", 0)]);
    program.wait_for_worker("w1", "draining", "the connection is still followed");
}

/// Events arrive out of order: missing ones are requested, and repeated ones are applied once.
#[test]
fn a_missing_event_is_requested() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let draining = |id: &str| instance(id, address(UNUSED_ADDRESS), "draining", 0);
    send_event(&mut stream, 3, false, &[draining("three")]);
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, false, &[draining("two")]);
    send_event(&mut stream, 3, false, &[draining("three")]);
    send_event(&mut stream, 2, false, &[draining("two").replace("draining", "gone")]);
    send_event(&mut stream, 4, false, &[draining("four")]);
    program.wait_for_worker("four", "draining", "the last event is applied");
    program.wait_for_worker("two", "draining", "it was requested, and applied once");
    program.wait_for_worker("three", "draining", "it is applied in order");
}

/// An endless line of an unknown field is neither buffered nor taken for progress: the program reconnects.
#[test]
fn an_endless_line_does_not_keep_the_connection() {
    let (listener, discovery_server) = bind_discovery_server();
    let _program = TestProgram::start(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let endless = std::thread::spawn(move || while stream.write_all(&[b'x'; 4_096]).is_ok() {});
    accept_request(&listener);
    endless.join().expect("the connection was closed");
}
