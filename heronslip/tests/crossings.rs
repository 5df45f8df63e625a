//! The list changes while calls are out: each test holds both sides and forces one order of events.
mod common;

use common::{call, connect, fastcgi_answer, instance, tell, Hand, Plan, Stage};
use std::io::Write;

/// An id's address changes with a call in flight: what is out at the old address is still answered there.
#[test]
fn a_worker_that_moves_still_answers_what_is_out() {
    let (mut old, new) = (Hand::new(), Hand::new());
    let stage = Stage::with(Plan { workers: vec![old.address()], ..Plan::default() });
    let (_, mut board) = stage.board_call();
    let mut client = connect(stage.front);
    client.write_all(&call(1, "00000000000000a1", "9000", "x")).expect("written");
    let out = old.command();
    tell(&mut board, 2, false, &[instance("w0", new.address(), "ready", 0)]);
    stage.shows(&format!(r#""address":"{}","name":"w0""#, new.address()));
    old.serve(out.id, "DONE");
    let (head, body, _) = fastcgi_answer(&mut client).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
    assert!(new.untouched(), "it was sent again");
}

/// A known worker moves to the address of another, of whose end nothing has been told: calls by the other's
/// account, and its cold budget, must not reach the one that stands there now.
#[test]
fn a_worker_that_moves_takes_the_place_of_the_one_before() {
    let (first, second) = (Hand::new(), Hand::new());
    let workers = vec![first.address(), second.address()];
    let stage = Stage::with(Plan { workers, ..Plan::default() });
    let (_, mut board) = stage.board_call();
    tell(&mut board, 2, false, &[instance("w0", second.address(), "ready", 0)]);
    stage.listed("w1", "absent", "another stands at its address");
    stage.listed("w0", "ready", "it has moved");
    // The late word of the other's end changes nothing for the one that is there.
    tell(&mut board, 3, false, &[instance("w1", second.address(), "gone", 0)]);
    tell(&mut board, 4, false, &[instance("w2", first.address(), "ready", 0)]);
    stage.listed("w2", "ready", "the last event is in");
    stage.listed("w0", "ready", "it still stands there");
}

/// One list names two workers at one address, the older one last: the one that started later stands there.
#[test]
fn of_two_workers_at_one_address_the_later_start_counts() {
    let (first, second) = (Hand::new(), Hand::new());
    let stage = Stage::with(Plan { workers: vec![first.address()], ..Plan::default() });
    let (_, mut board) = stage.board_call();
    let at = second.address();
    tell(&mut board, 2, true, &[instance("new", at, "ready", 5), instance("old", at, "ready", 0)]);
    stage.listed("new", "ready", "it started later");
    stage.listed("old", "absent", "it cannot stand there");
}

/// A whole list leaves out a worker with a call in flight: the call is answered, nothing new goes there.
#[test]
fn a_worker_left_out_of_a_whole_list_answers_what_is_out() {
    let (mut left, mut kept) = (Hand::new(), Hand::new());
    let stage = Stage::with(Plan { workers: vec![left.address()], ..Plan::default() });
    let (_, mut board) = stage.board_call();
    let mut client = connect(stage.front);
    client.write_all(&call(1, "00000000000000a1", "9000", "x")).expect("written");
    let out = left.command();
    tell(&mut board, 2, true, &[instance("kept", kept.address(), "ready", 0)]);
    stage.listed("kept", "ready", "the list is in");
    client.write_all(&call(2, "00000000000000a2", "9000", "y")).expect("written");
    let next = kept.command();
    assert_eq!(next.body, b"y");
    left.serve(out.id, "OLD");
    let (head, body, _) = fastcgi_answer(&mut client).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"OLD", "{head}");
    kept.serve(next.id, "NEW");
    assert_eq!(fastcgi_answer(&mut client).expect("an answer").1, b"NEW");
    stage.listed("w0", "absent", "nothing is out there any more");
}

/// A late start is told after sends began: what waits is not lost, what is out is answered once.
#[test]
fn a_late_start_told_after_a_send_leaves_it_its_answer() {
    let mut worker = Hand::new();
    let stage = Stage::with(Plan { workers: vec![worker.address()], ..Plan::default() });
    let (_, mut board) = stage.board_call();
    let mut client = connect(stage.front);
    client.write_all(&call(1, "00000000000000a1", "9000", "x")).expect("written");
    let out = worker.command();
    let (address, now) = (worker.address(), std::time::SystemTime::now());
    let started = now.duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let new = instance("other", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    tell(&mut board, 2, false, &[instance("w0", address, "ready", started), new]);
    stage.listed("other", "draining", "the event is in");
    worker.serve(out.id, "DONE");
    let (head, body, _) = fastcgi_answer(&mut client).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}
