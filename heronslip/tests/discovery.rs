//! A discovery server that hangs, stops sending or closes connections. Each test plays the server.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::stand_ins::saturated_listener;
use common::{instance, send_event, ProgramConfig, ScriptedWorker, TestProgram, SETTINGS};
use rstest::rstest;
use std::io::Write;
use std::time::Duration;

/// The program reconnects to a server that sends no complete line or entry, even if it keeps sending bytes.
#[rstest]
#[case::silent_before_the_head("", "")]
#[case::a_head_that_never_ends("HTTP/1.1 200 OK\r\nX-Long: ", "x")]
#[case::silent_after_the_head(RESPONSE_HEAD, "")]
#[case::an_event_that_never_ends(&format!("{RESPONSE_HEAD}id: 2\ndata: "), " ")]
fn a_server_that_sends_nothing_complete_is_abandoned(#[case] start: &str, #[case] repeated: &'static str) {
    let (listener, discovery_server) = bind_discovery_server();
    let _program = TestProgram::start(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(start.as_bytes()).expect("written");
    let writer = std::thread::spawn(move || {
        // Ends with the connection, or long after the tests' timeout.
        for _ in 0..1_000 {
            if stream.write_all(repeated.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let (_, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    drop((listener, writer));
}

/// An event that the server breaks off is requested again, and is applied once.
#[test]
fn a_connection_that_ends_inside_an_event_loses_nothing() {
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::start(ProgramConfig { discovery_server, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    let event = format!("{RESPONSE_HEAD}id: 2\ndata: {{\"rev\":2,\"pool\":{{\"reset\":fal");
    stream.write_all(event.as_bytes()).expect("written");
    drop(stream);
    let (mut stream, head) = accept_request(&listener);
    assert!(head.contains("Last-Event-ID: 1\r\n"), "{head}");
    stream.write_all(RESPONSE_HEAD.as_bytes()).expect("written");
    let draining = instance("w0", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    send_event(&mut stream, 2, false, std::slice::from_ref(&draining));
    send_event(&mut stream, 2, false, &[draining.replace("draining", "ready")]);
    send_event(&mut stream, 3, false, &[draining.replace("w0", "w1")]);
    program.wait_for_worker("w1", "draining", "the last event is applied");
    program.wait_for_worker("w0", "draining", "a repeated event is applied once");
}

/// A connect to the server hangs, with settings that allow connects to workers a minute, and the address
/// changes.
#[test]
fn an_address_change_is_followed_while_a_connect_hangs() {
    let (listener, _fillers) = saturated_listener();
    let address = listener.local_addr().expect("bound");
    let settings = SETTINGS.replace(r#""connect-timeout":250"#, r#""connect-timeout":60000"#);
    let program = TestProgram::with(ProgramConfig {
        settings,
        discovery_server: Some(address),
        ..ProgramConfig::default()
    });
    program.reload(false);
    assert_eq!(program.discovery_request().0, "1");
}

const INVALID_INSTANCE: &str = r#"{"instanceId":"odd","hostPort":"nowhere","lifecycle":"ready"}"#;

/// A full list with invalid instances is requested once more. Then only the invalid instances are skipped:
/// the others are applied, and a known worker whose instance is invalid stays as it was.
#[test]
fn invalid_instances_do_not_affect_others() {
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
        let invalid = instance("w0", worker.address(), "asleep", 0);
        let valid = instance("valid", other.address(), "ready", 0);
        send_event(&mut stream, 2, true, &[INVALID_INSTANCE.to_owned(), invalid, valid, "7".to_owned()]);
    }
    program.wait_for_worker("valid", "ready", "its instance is valid");
    program.wait_for_worker("w0", "ready", "it stays as it was");
    program.wait_for_log("skipped an instance of the worker list: odd: invalid address nowhere");
}

/// If a configured instance is invalid, the others are applied and the server is asked for the whole list.
#[test]
fn the_whole_list_is_requested_after_an_invalid_configured_instance() {
    let worker = ScriptedWorker::new();
    let valid = instance("w0", worker.address(), "ready", 0);
    let known = Some(format!(
        r#"{{"rev":1,"pool":{{"reset":true,"instances":[{INVALID_INSTANCE},{valid}]}}}}, {{"rev":2}}"#
    ));
    let program = TestProgram::with(ProgramConfig { known, ..ProgramConfig::default() });
    program.wait_for_worker("w0", "ready", "its instance is valid");
    assert_eq!(program.discovery_request().0, "0");
}
