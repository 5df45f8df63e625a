//! Lists and events at their bounds, over a socket: each test is the board.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::{
    connect, fastcgi_call, instance, read_fastcgi_response, send_event, ProgramConfig, ScriptedWorker,
    TestProgram,
};
use std::io::Write;
use std::net::SocketAddr;

const NOWHERE: &str = "127.0.0.1:9";

fn at(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// So many workers, each at an address of its own.
fn many(count: u32) -> Vec<String> {
    let address = |n: u32| SocketAddr::from(([127, 9, (n >> 8) as u8, n as u8], 9));
    (0..count).map(|n| instance(&format!("many-{n:05}"), address(n), "ready", 0)).collect()
}

/// Far more than a megabyte in one event, told by the board: it counts, and the board is not called again for it.
#[test]
fn a_long_list_comes_through() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::start(ProgramConfig {
        discovery_server,
        known: Some(String::new()),
        ..ProgramConfig::default()
    });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, true, &many(12_500));
    program.wait_for_worker("many-12499", "ready", "the last of the list");
    send_event(&mut stream, 3, false, &[instance("many-00007", at(NOWHERE), "draining", 0)]);
    program.wait_for_worker("many-00007", "draining", "the connection is the same");
}

/// A whole list that tells nothing new, on a new connection: calls that are out, and connections, stay as they are.
#[test]
fn a_list_that_is_known_changes_nothing() {
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
    send_event(&mut stream, 3, true, &[same, instance("other", at(NOWHERE), "draining", 0)]);
    program.wait_for_worker("other", "draining", "the list is in");
    worker.serve(first.id, "ONE");
    assert_eq!(read_fastcgi_response(&mut client).expect("an answer").1, b"ONE");
    client.write_all(&fastcgi_call(2, "00000000000000a2", "9000", "y")).expect("written");
    let second = worker.command();
    worker.serve(second.id, "TWO");
    assert_eq!(read_fastcgi_response(&mut client).expect("an answer").1, b"TWO");
}

/// A whole list is cut off inside and behind an entry: it changes nothing, and is asked for by the number before.
#[test]
fn a_list_that_is_cut_changes_nothing() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let whole = format!(r#"{{"rev":2,"pool":{{"reset":true,"instances":[{}]}}}}"#, many(3).join(","));
    let behind = whole.find("},{").expect("two entries") + 1;
    for length in [behind, behind + 40] {
        let (mut stream, head) = accept_request(&listener);
        assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
        stream
            .write_all(format!("{RESPONSE_HEAD}id: 2\ndata: {}", &whole[..length]).as_bytes())
            .expect("written");
    }
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    program.wait_for_worker("w0", "ready", "it was not left out");
    program.wait_for_worker("many-00000", "absent", "it was not let in");
    stream.write_all(format!("{RESPONSE_HEAD}id: 2\ndata: {whole}\n\n").as_bytes()).expect("written");
    program.wait_for_worker("many-00002", "ready", "the whole list");
    program.wait_for_worker("w0", "absent", "the whole list leaves it out");
}

/// An entry over its bound: asked for once more, then passed over with its size and bound; the list before holds, and
/// the board is not called a third time.
#[test]
fn a_giant_entry_is_passed_over_and_work_goes_on() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let giant = instance(&"x".repeat(100_000), at(NOWHERE), "ready", 0);
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, true, std::slice::from_ref(&giant));
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, true, &[giant]);
    program.wait_for_log("an entry of more than 4096 bytes");
    program.wait_for_log("cannot be used");
    program.wait_for_worker("w0", "ready", "the list before holds");
    send_event(&mut stream, 3, false, &[instance("w1", at(NOWHERE), "draining", 0)]);
    program.wait_for_worker("w1", "draining", "the connection is the same");
}

/// Events that come out of order: what is missing between is asked for; what comes twice counts once.
#[test]
fn an_event_that_was_left_out_is_asked_for() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let new = |id: &str| instance(id, at(NOWHERE), "draining", 0);
    send_event(&mut stream, 3, false, &[new("three")]);
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    send_event(&mut stream, 2, false, &[new("two")]);
    send_event(&mut stream, 3, false, &[new("three")]);
    send_event(&mut stream, 2, false, &[new("two").replace("draining", "gone")]);
    send_event(&mut stream, 4, false, &[new("four")]);
    program.wait_for_worker("four", "draining", "the last event is in");
    program.wait_for_worker("two", "draining", "it was asked for, and counted once");
    program.wait_for_worker("three", "draining", "it counts when its turn comes");
}

/// A line that never ends, of no field that matters: nothing of it is kept, and it is no word from the board.
#[test]
fn an_endless_line_holds_nobody() {
    let (listener, discovery_server) = bind_discovery_server();
    let _program = TestProgram::start(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let endless = std::thread::spawn(move || while stream.write_all(&[b'x'; 4_096]).is_ok() {});
    accept_request(&listener);
    endless.join().expect("the connection was closed");
}
