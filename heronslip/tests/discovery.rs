//! The board as it hangs, stops and breaks off: each test is the board, and forces one crossing.
mod common;

use common::board_hand::{board, called, HEAD};
use common::stand_ins::hanging_listener;
use common::{instance, tell, Hand, Plan, Stage, SETTINGS};
use rstest::rstest;
use std::io::Write;
use std::time::Duration;

/// A board that takes the call and then comes to nothing is called anew; bytes alone are no word.
#[rstest]
#[case::silent_before_the_head("", "")]
#[case::a_head_that_never_ends("HTTP/1.1 200 OK\r\nX-Long: ", "x")]
#[case::silent_after_the_head(HEAD, "")]
#[case::an_event_that_never_ends(&format!("{HEAD}id: 2\ndata: "), " ")]
fn a_board_that_tells_nothing_is_called_again(#[case] begins: &str, #[case] drip: &'static str) {
    let (listener, board) = board();
    let _stage = Stage::start(Plan { board, ..Plan::default() });
    let (mut stream, _) = called(&listener);
    stream.write_all(begins.as_bytes()).expect("written");
    let drips = std::thread::spawn(move || {
        // Ends with the connection, or far behind the tests' patience.
        for _ in 0..1_000 {
            if stream.write_all(drip.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let (_, head) = called(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    drop((listener, drips));
}

/// The board breaks off inside an event: it is asked for again, and counts once.
#[test]
fn a_break_inside_an_event_loses_nothing() {
    let (listener, board) = board();
    let stage = Stage::start(Plan { board, ..Plan::default() });
    let (mut stream, _) = called(&listener);
    let event = format!("{HEAD}id: 2\ndata: {{\"rev\":2,\"pool\":{{\"reset\":fal");
    stream.write_all(event.as_bytes()).expect("written");
    drop(stream);
    let (mut stream, head) = called(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(HEAD.as_bytes()).expect("written");
    let drains = instance("w0", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    tell(&mut stream, 2, false, std::slice::from_ref(&drains));
    tell(&mut stream, 2, false, &[drains.replace("draining", "ready")]);
    tell(&mut stream, 3, false, &[drains.replace("w0", "w1")]);
    stage.listed("w1", "draining", "the last event is in");
    stage.listed("w0", "draining", "an event written twice counts once");
}

/// A connect that hangs, under settings that would wait a minute for a worker, and a move while it does.
#[test]
fn a_board_that_moves_while_a_connect_hangs_is_followed() {
    let (listener, _fillers) = hanging_listener();
    let at = listener.local_addr().expect("bound");
    let settings = SETTINGS.replace(r#""connect-timeout":250"#, r#""connect-timeout":60000"#);
    let stage = Stage::with(Plan { settings, board: Some(at), ..Plan::default() });
    stage.reload(false);
    assert_eq!(stage.board_call().0, "1");
}

const BAD: &str = r#"{"instanceId":"odd","hostPort":"nowhere","lifecycle":"ready"}"#;

/// An instance that cannot be used, in a whole list: asked for once more, then passed over by itself; the others
/// count, and a known worker of which no more could be read stays.
#[test]
fn an_instance_that_cannot_be_read_spoils_no_others() {
    let (listener, board) = board();
    let (worker, other) = (Hand::new(), Hand::new());
    let stage = Stage::with(Plan { workers: vec![worker.address()], board, ..Plan::default() });
    for _ in 0..2 {
        let (mut stream, head) = called(&listener);
        assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
        stream.write_all(HEAD.as_bytes()).expect("written");
        let spoilt = instance("w0", worker.address(), "asleep", 0);
        let fine = instance("fine", other.address(), "ready", 0);
        tell(&mut stream, 2, true, &[BAD.to_owned(), spoilt, fine, "7".to_owned()]);
    }
    stage.listed("fine", "ready", "it can be read");
    stage.listed("w0", "ready", "it is as it was");
    stage.logged("skipped an instance of the worker list: odd: invalid address nowhere");
}

/// The same among what is known at the start: the rest counts, and the board is asked for all.
#[test]
fn a_known_instance_that_cannot_be_read_is_asked_for() {
    let worker = Hand::new();
    let fine = instance("w0", worker.address(), "ready", 0);
    let known =
        Some(format!(r#"{{"rev":1,"pool":{{"reset":true,"instances":[{BAD},{fine}]}}}}, {{"rev":2}}"#));
    let stage = Stage::with(Plan { known, ..Plan::default() });
    stage.listed("w0", "ready", "it can be read");
    assert_eq!(stage.board_call().0, "0");
}
