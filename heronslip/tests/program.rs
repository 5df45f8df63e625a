//! Invalid input, health checks, the administration API, and graceful shutdown.
mod common;

use common::{connect, fastcgi, fastcgi_answer, get, record, Plan, Speech, Stage, FUNCTION};
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
    fastcgi(1, &params, b"")
}

/// A request that cannot be served gets a response, and the connection stays open.
#[rstest]
#[case::body_too_long(fastcgi(1, &params("900"), &[7; 17_000]), "Status: 400", 0)]
#[case::wait_is_no_number(fastcgi(1, &params("soon"), b""), "Status: 400", 0)]
// Values that are not numbers or out of range must not reach the clock or the controller.
#[case::endless_wait(fastcgi(1, &params("inf"), b""), "Status: 400", 0)]
#[case::huge_wait(fastcgi(1, &params("1e300"), b""), "Status: 400", 0)]
#[case::negative_wait(fastcgi(1, &params("-5"), b""), "Status: 400", 0)]
#[case::memory_is_no_number(request_with("HTTP_X_MORE", "memory_mb:NaN;lanes:2"), "Status: 400", 0)]
#[case::negative_memory(request_with("HTTP_X_MORE", "memory_mb:-1"), "Status: 400", 0)]
#[case::huge_lanes(request_with("HTTP_X_MORE", "lanes:1e9"), "Status: 400", 0)]
#[case::load_time_is_no_number(request_with("HTTP_X_MORE", "load_ms:soon"), "Status: 400", 0)]
#[case::unknown_tenant(request_with("HTTP_REQ_OWNER", "nobody"), "Status: 500", 0)]
#[case::unknown_class(request_with("SCRIPT_NAME", "/v1/other"), "Status: 500", 0)]
#[case::no_parameters(fastcgi(1, &[], b""), "Status: 400", 0)]
#[case::unknown_role(record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0]), "", 3)]
#[case::health(fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b""), "Status: 200", 0)]
fn invalid_requests_get_a_response(#[case] bytes: Vec<u8>, #[case] head: &str, #[case] status: u8) {
    let stage = Stage::new(Speech::Platform);
    let mut stream = connect(stage.front);
    for _ in 0..2 {
        stream.write_all(&bytes).expect("written");
        let (actual_head, _, actual_status) = fastcgi_answer(&mut stream).expect("a response");
        assert!(actual_head.starts_with(head) && actual_status == status, "{actual_head} {actual_status}");
    }
}

/// Input that violates FastCGI closes its own connection and no other.
#[rstest]
#[case::not_fastcgi(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::id_in_use([record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]), record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0])].concat())]
#[case::truncated_begin_request(record(1, 1, &[0, 1]))]
fn input_that_violates_fastcgi_closes_its_connection(#[case] bytes: Vec<u8>) {
    let stage = Stage::new(Speech::Platform);
    let mut stream = connect(stage.front);
    stream.write_all(&bytes).expect("written");
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0);
    stage.play(Speech::Platform, SERVED);
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
    let stage = Stage::new(Speech::Kserve);
    let mut stream = connect(stage.kserve);
    stream.write_all(bytes.as_bytes()).expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")) && response.contains(r#"{"error":""#),
        "{response}"
    );
    stage.play(Speech::Kserve, SERVED);
}

/// A connection without a complete request gets an error or is closed, and must not lock out other clients.
#[rstest]
#[case::silent("client expect closed")]
#[case::stops_midway("client send part\nclient expect closed")]
#[case::endless_request("client send endless\nclient expect failed\nclient expect closed")]
#[case::idle_after_a_request(&format!("{SERVED}\nclient expect closed"))]
#[case::more_than_a_hundred_silent_connections(&format!("client open 130\n{SERVED}"))]
fn useless_connections_are_closed(
    #[values(Speech::Platform, Speech::Kserve)] front: Speech, #[case] scenario: &str,
) {
    Stage::new(Speech::Platform).play(front, scenario);
}

/// A second request with the wire id of an open one fails, and the open one is served.
#[test]
fn the_wire_id_of_an_open_request_cannot_be_reused() {
    let stage = Stage::new(Speech::Platform);
    stage.play(Speech::Platform, SERVED);
    let mut stream = connect(stage.front);
    for (id, body) in [(1, b"first"), (2, b"other")] {
        stream.write_all(&fastcgi(id, &params("5000"), body)).expect("written");
    }
    let (head, _, _) = fastcgi_answer(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 500"), "{head}");
    stage.play(Speech::Platform, "worker expect tile-render - first\nworker send ok DONE");
    let (head, body, _) = fastcgi_answer(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}

const SERVED: &str = "
    client send tile-render - x 3000
    worker expect tile-render - x
    worker send ok DONE
    client expect served DONE";

#[test]
fn health_metadata_and_state_are_reported() {
    let stage = Stage::new(Speech::Kserve);
    stage.play(Speech::Platform, SERVED);
    for (path, expected) in [
        ("/v2/health/live", r#"{"live":true}"#),
        ("/v2/health/ready", r#"{"ready":true}"#),
        ("/v2/models/7f3a9c21e0b4d655/ready", r#""ready":true"#),
        ("/v2/models/7f3a9c21e0b4d655/versions/1/ready", r#""ready":true"#),
        ("/v2/models/7f3a9c21e0b4d655", r#""platform":"heronslip""#),
    ] {
        let response = get(stage.kserve, path);
        assert!(response.starts_with("HTTP/1.1 200") && response.contains(expected), "{path}: {response}");
    }
    let state = get(stage.admin, "/v1/state");
    assert!(state.contains(r#""asked":1"#) && state.contains(r#""speech":"kserve""#), "{state}");
}

/// The reader of the log goes away. Lines from the core, connections and signals are then lost, and the
/// program must go on.
#[test]
fn a_closed_log_does_not_stop_the_program() {
    let mut stage = Stage::with(Plan { unread: true, ..Plan::default() });
    stage.play(Speech::Platform, "board expect 1\nboard send 2 w0 draining\nlist expect w0 draining");
    stage.play(Speech::Platform, "client send part\nclient expect closed");
    stage.play(Speech::Platform, SERVED);
    assert!(stage.stop());
}

/// A request sent just before SIGTERM, and possibly read after it, must get its response before the program exits.
#[test]
fn a_graceful_shutdown_answers_open_requests() {
    let mut stage = Stage::new(Speech::Platform);
    stage.play(Speech::Platform, SERVED);
    let mut stream = connect(stage.front);
    stream.write_all(&fastcgi(1, &params("1200"), b"open")).expect("written");
    assert!(stage.stop());
    let (head, _, _) = fastcgi_answer(&mut stream).expect("a response before the exit");
    assert!(head.starts_with("Status: 5"), "{head}");
}

/// Requests that are open at SIGTERM may take long. If the discovery service moves meanwhile, it must be
/// followed, whether SIGHUP comes before or after SIGTERM.
#[rstest]
#[case::before("-HUP -TERM")]
#[case::after("-TERM -HUP")]
fn discovery_that_moves_around_a_shutdown_is_followed(#[case] signals: &str) {
    let mut stage = Stage::new(Speech::Platform);
    stage.play(Speech::Platform, SERVED);
    assert_eq!(stage.board_call().0, "1");
    let mut stream = connect(stage.front);
    stream.write_all(&fastcgi(1, &params("60000"), b"open")).expect("written");
    stage.play(Speech::Platform, "worker expect tile-render - open");
    stage.name_other_board();
    for signal in signals.split(' ') {
        stage.signal(signal);
        if signal == "-TERM" {
            stage.logged("stop: signal");
        }
    }
    let (last_event, _connection) = stage.board_call();
    assert_eq!(last_event, "1");
    drop(stream); // no request is open any more
    assert!(stage.ended());
}

/// A configuration that cannot be read at SIGHUP, for instance because it is only half written, is read
/// later.
#[test]
fn an_unreadable_configuration_is_read_again_later() {
    let stage = Stage::new(Speech::Platform);
    assert_eq!(stage.board_call().0, "1");
    stage.reload(true);
    stage.logged("reload:");
    stage.name_other_board();
    assert_eq!(stage.board_call().0, "1");
}

/// A client goes on sending on its open connection until the program is killed, which may happen soon if
/// deadlines are short. A late request must be refused at once, and then the connection closes.
#[test]
fn late_requests_in_a_shutdown_are_refused_at_once() {
    let settings = common::SETTINGS.replace(r#""goal-time":400,"#, r#""goal-time":200,"give-up":300,"#);
    let mut stage = Stage::with(Plan { settings, ..Plan::default() });
    stage.play(Speech::Platform, SERVED);
    let mut stream = connect(stage.front);
    // An incomplete request on another connection keeps the program from exiting before the late request.
    let mut other = connect(stage.front);
    let incomplete = fastcgi(1, &params("5000"), b"half");
    other.write_all(&incomplete[..incomplete.len() - 8]).expect("written");
    stage.signal("-TERM");
    stage.logged("stop: closing the listeners");
    stream.write_all(&fastcgi(1, &params("5000"), b"late")).expect("written");
    let (head, _, _) = fastcgi_answer(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 503") && head.contains("Srv-Wait-Ms: "), "{head}");
    assert_eq!(stream.read(&mut [0; 64]).expect("the end of the stream"), 0, "the connection is still open");
    assert!(stage.ended());
}

/// SIGTERM arrives before the worker list is known: no request is open, and the program must exit.
#[test]
fn a_graceful_shutdown_before_readiness() {
    let known = Some(String::new());
    let mut stage = Stage::start(Plan { known, ..Plan::default() });
    assert!(!get(stage.admin, "/healthz").starts_with("HTTP/1.1 200"));
    assert!(stage.stop());
}

/// A client states a longer wait than the client timeout of its class: it gets its response at the class's
/// timeout.
#[test]
fn a_wait_is_capped_by_its_class() {
    let settings = common::SETTINGS.replace(r#""goal-time":400,"#, r#""goal-time":200,"give-up":900,"#);
    let stage = Stage::with(Plan { settings, ..Plan::default() });
    let scenario = "
        client send tile-render - x 600000
        worker expect tile-render - x
        client expect failed";
    stage.play(Speech::Platform, scenario);
}

/// A request that the client aborts gets no response, and its FastCGI id can be used again.
#[test]
fn an_aborted_request_gets_no_response() {
    let stage = Stage::new(Speech::Platform);
    stage.play(Speech::Platform, SERVED);
    let mut stream = connect(stage.front);
    stream.write_all(&fastcgi(1, &params("60000"), b"aborted")).expect("written");
    stream.write_all(&record(2, 1, &[])).expect("written");
    stream.write_all(&fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b"")).expect("written");
    let (head, _, _) = fastcgi_answer(&mut stream).expect("a response");
    assert!(head.starts_with("Status: 200"), "{head}");
}
