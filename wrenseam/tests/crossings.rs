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
