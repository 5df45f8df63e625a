//! Invalid input, health checks, the administration API, and graceful shutdown.
mod common;

use common::{
    connect, fastcgi_record, fastcgi_request, http_get, read_fastcgi_response, ProgramConfig, Protocol,
    TestProgram, FUNCTION,
};
use rstest::rstest;
use std::io::{Read, Write};

type Params = Vec<(&'static str, &'static str)>;

fn params(wait: &'static str) -> Params {
    vec![
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", wait),
        ("HTTP_REQ_KEY", FUNCTION),
    ]
}

fn request_with(name: &'static str, value: &'static str) -> Vec<u8> {
    let mut params: Params = params("900").into_iter().filter(|p| p.0 != name).collect();
    params.push((name, value));
    fastcgi_request(1, &params, b"")
}

/// A request that cannot be served gets a response, and the connection stays open.
#[rstest]
#[case::body_too_long(fastcgi_request(1, &params("900"), &[7; 17_000]), "Status: 400", 0)]
#[case::wait_is_no_number(fastcgi_request(1, &params("soon"), b""), "Status: 400", 0)]
// Values that are not numbers or out of range must not reach the clock or the controller.
#[case::endless_wait(fastcgi_request(1, &params("inf"), b""), "Status: 400", 0)]
#[case::huge_wait(fastcgi_request(1, &params("1e300"), b""), "Status: 400", 0)]
#[case::negative_wait(fastcgi_request(1, &params("-5"), b""), "Status: 400", 0)]
#[case::memory_is_no_number(request_with("HTTP_X_MORE", "memory_mb:NaN;lanes:2"), "Status: 400", 0)]
#[case::negative_memory(request_with("HTTP_X_MORE", "memory_mb:-1"), "Status: 400", 0)]
#[case::huge_lanes(request_with("HTTP_X_MORE", "lanes:1e9"), "Status: 400", 0)]
#[case::load_time_is_no_number(request_with("HTTP_X_MORE", "load_ms:soon"), "Status: 400", 0)]
#[case::unknown_tenant(request_with("HTTP_REQ_OWNER", "nobody"), "Status: 500", 0)]
#[case::unknown_class(request_with("SCRIPT_NAME", "/v1/other"), "Status: 500", 0)]
#[case::no_parameters(fastcgi_request(1, &[], b""), "Status: 400", 0)]
#[case::unknown_role(fastcgi_record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0]), "", 3)]
#[case::health(fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""), "Status: 200", 0)]
fn invalid_requests_get_a_response(#[case] bytes: Vec<u8>, #[case] head: &str, #[case] status: u8) {
    let program = TestProgram::new(Protocol::Platform);
    let mut stream = connect(program.fastcgi);
    for _ in 0..2 {
        stream.write_all(&bytes).expect("written");
        let (actual_head, _, actual_status) = read_fastcgi_response(&mut stream).expect("a response");
        assert!(actual_head.starts_with(head) && actual_status == status, "{actual_head} {actual_status}");
    }
}

/// Input that violates FastCGI closes its own connection and no other.
#[rstest]
#[case::not_fastcgi(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::id_in_use([fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]), fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0])].concat())]
#[case::truncated_begin_request(fastcgi_record(1, 1, &[0, 1]))]
fn input_that_violates_fastcgi_closes_its_connection(#[case] bytes: Vec<u8>) {
    let program = TestProgram::new(Protocol::Platform);
    let mut stream = connect(program.fastcgi);
    stream.write_all(&bytes).expect("written");
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0);
    program.run_scenario(Protocol::Platform, SERVED);
}

/// An HTTP request that cannot be served gets an error object, and then the connection closes.
#[rstest]
#[case::garbage("\u{1}\r\n\r\n", "400")]
#[case::too_long(
    "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "413"
)]
#[case::conflicting_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400")]
#[case::chunked("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411")]
#[case::unknown_model("GET /v2/models/x/ready HTTP/1.1\r\nConnection: close\r\n\r\n", "404")]
#[case::not_json("POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.0\r\nContent-Length: 1\r\n\r\nx", "400")]
fn invalid_http_gets_an_error_object(#[case] bytes: &str, #[case] status: &str) {
    let program = TestProgram::new(Protocol::Kserve);
    let mut stream = connect(program.kserve);
    stream.write_all(bytes.as_bytes()).expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")) && response.contains(r#"{"error":""#),
        "{response}"
    );
    program.run_scenario(Protocol::Kserve, SERVED);
}

/// A connection without a complete request gets an error or is closed, and must not lock out other clients.
#[rstest]
#[case::silent("client expect closed")]
#[case::stops_midway("client send partial\nclient expect closed")]
#[case::endless_request("client send endless\nclient expect failed\nclient expect closed")]
#[case::idle_after_a_request(&format!("{SERVED}\nclient expect closed"))]
#[case::more_than_a_hundred_silent_connections(&format!("client open 130\n{SERVED}"))]
fn useless_connections_are_closed(
    #[values(Protocol::Platform, Protocol::Kserve)] clients: Protocol, #[case] scenario: &str,
) {
    TestProgram::new(Protocol::Platform).run_scenario(clients, scenario);
}

/// A second request with the wire id of an open one fails, and the open one is served.
#[test]
fn the_wire_id_of_an_open_request_cannot_be_reused() {
    let program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    for (id, body) in [(1, b"first"), (2, b"other")] {
        stream.write_all(&fastcgi_request(id, &params("5000"), body)).expect("written");
    }
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 500"), "{head}");
    program.run_scenario(Protocol::Platform, "worker expect tile-render - first\nworker send ok DONE");
    let (head, body, _) = read_fastcgi_response(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}

const SERVED: &str = "
    client send tile-render - x 3000
    worker expect tile-render - x
    worker send ok DONE
    client expect served DONE";

#[test]
fn health_metadata_and_state_are_reported() {
    let program = TestProgram::new(Protocol::Kserve);
    program.run_scenario(Protocol::Platform, SERVED);
    for (path, expected) in [
        ("/v2/health/live", r#"{"live":true}"#),
        ("/v2/health/ready", r#"{"ready":true}"#),
        ("/v2/models/7f3a9c21e0b4d655/ready", r#""ready":true"#),
        ("/v2/models/7f3a9c21e0b4d655/versions/1/ready", r#""ready":true"#),
        ("/v2/models/7f3a9c21e0b4d655", r#""platform":"heronslip""#),
    ] {
        let response = http_get(program.kserve, path);
        assert!(response.starts_with("HTTP/1.1 200") && response.contains(expected), "{path}: {response}");
    }
    let state = http_get(program.admin, "/v1/state");
    assert!(state.contains(r#""asked":1"#) && state.contains(r#""speech":"kserve""#), "{state}");
}

/// The reader of the log goes away. Lines from the core, connections and signals are then lost, and the
/// program must go on.
#[test]
fn a_closed_log_does_not_stop_the_program() {
    let mut program = TestProgram::with(ProgramConfig { close_log: true, ..ProgramConfig::default() });
    program.run_scenario(
        Protocol::Platform,
        "discovery expect 1\ndiscovery send 2 w0 draining\nlist expect w0 draining",
    );
    program.run_scenario(Protocol::Platform, "client send partial\nclient expect closed");
    program.run_scenario(Protocol::Platform, SERVED);
    assert!(program.terminate());
}

/// A request sent just before SIGTERM, and possibly read after it, must get its response before the program
/// exits.
#[test]
fn a_graceful_shutdown_answers_open_requests() {
    let mut program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    stream.write_all(&fastcgi_request(1, &params("1200"), b"open")).expect("written");
    assert!(program.terminate());
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("a response before the exit");
    assert!(head.starts_with("Status: 5"), "{head}");
}

/// Requests that are open at SIGTERM may take long. If the discovery service moves meanwhile, it must be
/// followed, whether SIGHUP comes before SIGTERM, together with it or after it.
#[rstest]
#[case::before("-HUP -TERM")]
#[case::after("-TERM -HUP")]
fn discovery_that_moves_around_a_shutdown_is_followed(#[case] signals: &str) {
    let mut program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    assert_eq!(program.discovery_request().0, "1");
    let mut stream = connect(program.fastcgi);
    stream.write_all(&fastcgi_request(1, &params("60000"), b"open")).expect("written");
    program.run_scenario(Protocol::Platform, "worker expect tile-render - open");
    program.switch_discovery_server();
    for signal in signals.split(' ') {
        program.signal(signal);
        if signal == "-TERM" {
            program.wait_for_log("stop: signal");
        }
    }
    let (last_event, _connection) = program.discovery_request();
    assert_eq!(last_event, "1");
    drop(stream); // no request is open any more
    assert!(program.wait_for_exit());
}

/// A configuration that cannot be read at SIGHUP, for instance because it is only half written, is read
/// later.
#[test]
fn an_unreadable_configuration_is_read_again_later() {
    let program = TestProgram::new(Protocol::Platform);
    assert_eq!(program.discovery_request().0, "1");
    program.reload(true);
    program.wait_for_log("reload:");
    program.switch_discovery_server();
    assert_eq!(program.discovery_request().0, "1");
}

/// A client goes on sending on its open connection until the program is killed, which may happen soon if
/// deadlines are short. A late request must be refused at once, and then the connection closes.
#[test]
fn late_requests_in_a_shutdown_are_refused_at_once() {
    let settings = common::SETTINGS.replace(r#""goal-time":400,"#, r#""goal-time":200,"give-up":300,"#);
    let mut program = TestProgram::with(ProgramConfig { settings, ..ProgramConfig::default() });
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    // An incomplete request on another connection keeps the program from exiting before the late request.
    let mut other = connect(program.fastcgi);
    let incomplete = fastcgi_request(1, &params("5000"), b"half");
    other.write_all(&incomplete[..incomplete.len() - 8]).expect("written");
    program.signal("-TERM");
    program.wait_for_log("stop: closing the listeners");
    stream.write_all(&fastcgi_request(1, &params("5000"), b"late")).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 503") && head.contains("Srv-Wait-Ms: "), "{head}");
    assert_eq!(stream.read(&mut [0; 64]).expect("the end of the stream"), 0, "the connection is still open");
    assert!(program.wait_for_exit());
}

/// SIGTERM arrives before the worker list is known: no request is open, and the program must exit.
#[test]
fn a_graceful_shutdown_before_readiness() {
    let known = Some(String::new());
    let mut program = TestProgram::start(ProgramConfig { known, ..ProgramConfig::default() });
    assert!(!http_get(program.admin, "/healthz").starts_with("HTTP/1.1 200"));
    assert!(program.terminate());
}

/// A client states a longer wait than the client timeout of its class: it gets its response at the class's
/// timeout.
#[test]
fn a_wait_is_capped_by_its_class() {
    let settings = common::SETTINGS.replace(r#""goal-time":400,"#, r#""goal-time":200,"give-up":900,"#);
    let program = TestProgram::with(ProgramConfig { settings, ..ProgramConfig::default() });
    let scenario = "
        client send tile-render - x 600000
        worker expect tile-render - x
        client expect failed";
    program.run_scenario(Protocol::Platform, scenario);
}

/// A request that the client aborts gets no response, and its FastCGI id can be used again.
#[test]
fn an_aborted_request_gets_no_response() {
    let program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    stream.write_all(&fastcgi_request(1, &params("60000"), b"aborted")).expect("written");
    stream.write_all(&fastcgi_record(2, 1, &[])).expect("written");
    stream.write_all(&fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b"")).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 200"), "{head}");
}
