//! The board as it hangs, stops and breaks off: each test is the board, and forces one crossing.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::stand_ins::saturated_listener;
use common::{instance, send_event, ProgramConfig, ScriptedWorker, TestProgram, SETTINGS};
use rstest::rstest;
use std::io::Write;
use std::time::Duration;

/// A board that takes the call and then comes to nothing is called anew; bytes alone are no word.
#[rstest]
#[case::silent_before_the_head("", "")]
#[case::a_head_that_never_ends("HTTP/1.1 200 OK\r\nX-Long: ", "x")]
#[case::silent_after_the_head(RESPONSE_HEAD, "")]
#[case::an_event_that_never_ends(&format!("{RESPONSE_HEAD}id: 2\ndata: "), " ")]
fn a_board_that_tells_nothing_is_called_again(#[case] begins: &str, #[case] drip: &'static str) {
    let (listener, discovery_server) = bind_discovery_server();
    let _program = TestProgram::start(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
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
    let (_, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    drop((listener, drips));
}

/// The board breaks off inside an event: it is asked for again, and counts once.
#[test]
fn a_break_inside_an_event_loses_nothing() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::start(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    let event = format!("{RESPONSE_HEAD}id: 2\ndata: {{\"rev\":2,\"pool\":{{\"reset\":fal");
    stream.write_all(event.as_bytes()).expect("written");
    drop(stream);
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let drains = instance("w0", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    send_event(&mut stream, 2, false, std::slice::from_ref(&drains));
    send_event(&mut stream, 2, false, &[drains.replace("draining", "ready")]);
    send_event(&mut stream, 3, false, &[drains.replace("w0", "w1")]);
    program.wait_for_worker("w1", "draining", "the last event is in");
    program.wait_for_worker("w0", "draining", "an event written twice counts once");
}

/// A connect that hangs, under settings that would wait a minute for a worker, and a move while it does.
#[test]
fn a_board_that_moves_while_a_connect_hangs_is_followed() {
    let (listener, _fillers) = saturated_listener();
    let at = listener.local_addr().expect("bound");
    let settings = SETTINGS.replace(r#""connect-timeout":250"#, r#""connect-timeout":60000"#);
    let program =
        TestProgram::with(ProgramConfig { settings, discovery_server: Some(at), ..ProgramConfig::default() });
    program.reload(false);
    assert_eq!(program.discovery_request().0, "1");
}

const BAD: &str = r#"{"instanceId":"odd","hostPort":"nowhere","lifecycle":"ready"}"#;

/// An instance that cannot be used, in a whole list: asked for once more, then passed over by itself; the others
/// count, and a known worker of which no more could be read stays.
#[test]
fn an_instance_that_cannot_be_read_spoils_no_others() {
    let (listener, discovery_server) = bind_discovery_server();
    let (worker, other) = (ScriptedWorker::new(), ScriptedWorker::new());
    let program = TestProgram::with(ProgramConfig {
        workers: vec![worker.address()],
        discovery_server,
        ..ProgramConfig::default()
    });
    for _ in 0..2 {
        let (mut stream, head) = accept_request(&listener);
        assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
        stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
        let spoilt = instance("w0", worker.address(), "asleep", 0);
        let fine = instance("fine", other.address(), "ready", 0);
        send_event(&mut stream, 2, true, &[BAD.to_owned(), spoilt, fine, "7".to_owned()]);
    }
    program.wait_for_worker("fine", "ready", "it can be read");
    program.wait_for_worker("w0", "ready", "it is as it was");
    program.wait_for_log("skipped an instance of the worker list: odd: invalid address nowhere");
}

/// The same among what is known at the start: the rest counts, and the board is asked for all.
#[test]
fn a_known_instance_that_cannot_be_read_is_asked_for() {
    let worker = ScriptedWorker::new();
    let fine = instance("w0", worker.address(), "ready", 0);
    let known =
        Some(format!(r#"{{"rev":1,"pool":{{"reset":true,"instances":[{BAD},{fine}]}}}}, {{"rev":2}}"#));
    let program = TestProgram::with(ProgramConfig { known, ..ProgramConfig::default() });
    program.wait_for_worker("w0", "ready", "it can be read");
    assert_eq!(program.discovery_request().0, "0");
}
