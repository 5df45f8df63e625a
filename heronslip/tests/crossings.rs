//! The list changes while calls are out: each test holds both sides and forces one order of events.
mod common;

use common::{
    connect, fastcgi_call, instance, read_fastcgi_response, send_event, ProgramConfig, ScriptedWorker,
    TestProgram,
};
use std::io::Write;

/// An id's address changes with a call in flight: what is out at the old address is still answered there.
#[test]
fn a_worker_that_moves_still_answers_what_is_out() {
    let (mut old, new) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program =
        TestProgram::with(ProgramConfig { workers: vec![old.address()], ..ProgramConfig::default() });
    let (_, mut board) = program.discovery_request();
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let out = old.command();
    send_event(&mut board, 2, false, &[instance("w0", new.address(), "ready", 0)]);
    program.wait_for_state(&format!(r#""address":"{}","name":"w0""#, new.address()));
    old.serve(out.id, "DONE");
    let (head, body, _) = read_fastcgi_response(&mut client).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
    assert!(new.has_no_connection(), "it was sent again");
}

/// A known worker moves to the address of another, of whose end nothing has been told: calls by the other's
/// account, and its cold budget, must not reach the one that stands there now.
#[test]
fn a_worker_that_moves_takes_the_place_of_the_one_before() {
    let (first, second) = (ScriptedWorker::new(), ScriptedWorker::new());
    let workers = vec![first.address(), second.address()];
    let program = TestProgram::with(ProgramConfig { workers, ..ProgramConfig::default() });
    let (_, mut board) = program.discovery_request();
    send_event(&mut board, 2, false, &[instance("w0", second.address(), "ready", 0)]);
    program.wait_for_worker("w1", "absent", "another stands at its address");
    program.wait_for_worker("w0", "ready", "it has moved");
    // The late word of the other's end changes nothing for the one that is there.
    send_event(&mut board, 3, false, &[instance("w1", second.address(), "gone", 0)]);
    send_event(&mut board, 4, false, &[instance("w2", first.address(), "ready", 0)]);
    program.wait_for_worker("w2", "ready", "the last event is in");
    program.wait_for_worker("w0", "ready", "it still stands there");
}

/// One list names two workers at one address, the older one last: the one that started later stands there.
#[test]
fn of_two_workers_at_one_address_the_later_start_counts() {
    let (first, second) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program =
        TestProgram::with(ProgramConfig { workers: vec![first.address()], ..ProgramConfig::default() });
    let (_, mut board) = program.discovery_request();
    let at = second.address();
    send_event(&mut board, 2, true, &[instance("new", at, "ready", 5), instance("old", at, "ready", 0)]);
    program.wait_for_worker("new", "ready", "it started later");
    program.wait_for_worker("old", "absent", "it cannot stand there");
}

/// A whole list leaves out a worker with a call in flight: the call is answered, nothing new goes there.
#[test]
fn a_worker_left_out_of_a_whole_list_answers_what_is_out() {
    let (mut left, mut kept) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program =
        TestProgram::with(ProgramConfig { workers: vec![left.address()], ..ProgramConfig::default() });
    let (_, mut board) = program.discovery_request();
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let out = left.command();
    send_event(&mut board, 2, true, &[instance("kept", kept.address(), "ready", 0)]);
    program.wait_for_worker("kept", "ready", "the list is in");
    client.write_all(&fastcgi_call(2, "00000000000000a2", "9000", "y")).expect("written");
    let next = kept.command();
    assert_eq!(next.body, b"y");
    left.serve(out.id, "OLD");
    let (head, body, _) = read_fastcgi_response(&mut client).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"OLD", "{head}");
    kept.serve(next.id, "NEW");
    assert_eq!(read_fastcgi_response(&mut client).expect("an answer").1, b"NEW");
    program.wait_for_worker("w0", "absent", "nothing is out there any more");
}

/// A late start is told after sends began: what waits is not lost, what is out is answered once.
#[test]
fn a_late_start_told_after_a_send_leaves_it_its_answer() {
    let mut worker = ScriptedWorker::new();
    let program =
        TestProgram::with(ProgramConfig { workers: vec![worker.address()], ..ProgramConfig::default() });
    let (_, mut board) = program.discovery_request();
    let mut client = connect(program.fastcgi);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    let out = worker.command();
    let (address, now) = (worker.address(), std::time::SystemTime::now());
    let started = now.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let new = instance("other", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    send_event(&mut board, 2, false, &[instance("w0", address, "ready", started), new]);
    program.wait_for_worker("other", "draining", "the event is in");
    worker.serve(out.id, "DONE");
    let (head, body, _) = read_fastcgi_response(&mut client).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}
