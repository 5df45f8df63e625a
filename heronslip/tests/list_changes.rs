//! The worker list changes while calls are in flight. Each test takes the place of the workers and the
//! discovery service, and so forces one order of events.
mod common;

use common::{
    connect, fastcgi_call, instance, read_fastcgi_response, send_event, ProgramConfig, ScriptedWorker,
    TestProgram,
};
use std::io::Write;

/// A worker's address changes with a call in flight: the reply from the old address must still reach the
/// client, and the call must not be sent again.
#[test]
fn a_worker_that_moves_still_answers_calls_in_flight() {
    let (mut old, new) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program =
        TestProgram::with(ProgramConfig { workers: vec![old.address()], ..ProgramConfig::default() });
    let (_, mut discovery) = program.discovery_request();
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let call = old.command();
    send_event(&mut discovery, 2, false, &[instance("w0", new.address(), "ready", 0)]);
    program.wait_for_state(&format!(r#""address":"{}","name":"w0""#, new.address()));
    old.serve(call.id, "DONE");
    let (head, body, _) = read_fastcgi_response(&mut client).expect("a response");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
    assert!(new.has_no_connection(), "the call was sent again");
}

/// A known worker moves to the address of another before the list reports the other's end. Calls under the
/// other's name must not reach the worker that is there now, and neither the other's load accounting nor its
/// slow start may apply to it.
#[test]
fn a_worker_that_moves_replaces_the_one_at_its_address() {
    let (first, second) = (ScriptedWorker::new(), ScriptedWorker::new());
    let workers = vec![first.address(), second.address()];
    let program = TestProgram::with(ProgramConfig { workers, ..ProgramConfig::default() });
    let (_, mut discovery) = program.discovery_request();
    send_event(&mut discovery, 2, false, &[instance("w0", second.address(), "ready", 0)]);
    program.wait_for_worker("w1", "absent", "another worker has its address");
    program.wait_for_worker("w0", "ready", "it has moved");
    // The late report of the other's end must not affect the worker that is there.
    send_event(&mut discovery, 3, false, &[instance("w1", second.address(), "gone", 0)]);
    send_event(&mut discovery, 4, false, &[instance("w2", first.address(), "ready", 0)]);
    program.wait_for_worker("w2", "ready", "the last event is applied");
    program.wait_for_worker("w0", "ready", "it is still there");
}

/// A list has two workers at one address, the older one last: only the one that started later must be kept.
#[test]
fn of_two_workers_at_one_address_the_later_start_is_kept() {
    let (first, second) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program =
        TestProgram::with(ProgramConfig { workers: vec![first.address()], ..ProgramConfig::default() });
    let (_, mut discovery) = program.discovery_request();
    let at = second.address();
    send_event(&mut discovery, 2, true, &[instance("new", at, "ready", 5), instance("old", at, "ready", 0)]);
    program.wait_for_worker("new", "ready", "it started later");
    program.wait_for_worker("old", "absent", "it cannot be at the same address");
}

/// A full list leaves out a worker with a call in flight: its reply must still reach the client, and no new
/// call may be sent to it.
#[test]
fn a_worker_left_out_of_a_full_list_answers_calls_in_flight() {
    let (mut left_out, mut kept) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program =
        TestProgram::with(ProgramConfig { workers: vec![left_out.address()], ..ProgramConfig::default() });
    let (_, mut discovery) = program.discovery_request();
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let first = left_out.command();
    send_event(&mut discovery, 2, true, &[instance("kept", kept.address(), "ready", 0)]);
    program.wait_for_worker("kept", "ready", "the list is applied");
    client.write_all(&fastcgi_call(2, "00000000000000a2", "9000", "y")).expect("written");
    let second = kept.command();
    assert_eq!(second.body, b"y");
    left_out.serve(first.id, "OLD");
    let (head, body, _) = read_fastcgi_response(&mut client).expect("a response");
    assert!(head.starts_with("Status: 200") && body == b"OLD", "{head}");
    kept.serve(second.id, "NEW");
    assert_eq!(read_fastcgi_response(&mut client).expect("a response").1, b"NEW");
    program.wait_for_worker("w0", "absent", "no call is in flight there any more");
}

/// The list reports a worker's recent start while a call to it is in flight: the call must still be answered.
#[test]
fn a_start_time_reported_after_a_send_does_not_lose_the_reply() {
    let mut worker = ScriptedWorker::new();
    let program =
        TestProgram::with(ProgramConfig { workers: vec![worker.address()], ..ProgramConfig::default() });
    let (_, mut discovery) = program.discovery_request();
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let call = worker.command();
    let (address, now) = (worker.address(), std::time::SystemTime::now());
    let started = now.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let other = instance("other", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    send_event(&mut discovery, 2, false, &[instance("w0", address, "ready", started), other]);
    program.wait_for_worker("other", "draining", "the event is applied");
    worker.serve(call.id, "DONE");
    let (head, body, _) = read_fastcgi_response(&mut client).expect("a response");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}
