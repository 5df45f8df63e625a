//! The program at its edges: odd input, health, administration, and its planned end.
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

fn with(name: &'static str, value: &'static str) -> Vec<u8> {
    let mut params: Params = params("900").into_iter().filter(|p| p.0 != name).collect();
    params.push((name, value));
    fastcgi_request(1, &params, b"")
}

/// What cannot be served ends in an answer of its own, and the connection goes on.
#[rstest]
#[case::body_too_long(fastcgi_request(1, &params("900"), &[7; 17_000]), "Status: 400", 0)]
#[case::no_wait(fastcgi_request(1, &params("soon"), b""), "Status: 400", 0)]
// Figures that are none or out of range must not reach clock or module.
#[case::endless_wait(fastcgi_request(1, &params("inf"), b""), "Status: 400", 0)]
#[case::huge_wait(fastcgi_request(1, &params("1e300"), b""), "Status: 400", 0)]
#[case::negative_wait(fastcgi_request(1, &params("-5"), b""), "Status: 400", 0)]
#[case::memory_is_no_number(with("HTTP_X_MORE", "memory_mb:NaN;lanes:2"), "Status: 400", 0)]
#[case::negative_memory(with("HTTP_X_MORE", "memory_mb:-1"), "Status: 400", 0)]
#[case::huge_lanes(with("HTTP_X_MORE", "lanes:1e9"), "Status: 400", 0)]
#[case::a_load_of_text(with("HTTP_X_MORE", "load_ms:soon"), "Status: 400", 0)]
#[case::unknown_tenant(with("HTTP_REQ_OWNER", "nobody"), "Status: 500", 0)]
#[case::unknown_class(with("SCRIPT_NAME", "/v1/other"), "Status: 500", 0)]
#[case::no_parameters(fastcgi_request(1, &[], b""), "Status: 400", 0)]
#[case::unknown_role(fastcgi_record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0]), "", 3)]
#[case::health(fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""), "Status: 200", 0)]
fn odd_requests_are_answered(#[case] bytes: Vec<u8>, #[case] head: &str, #[case] status: u8) {
    let program = TestProgram::new(Protocol::Platform);
    let mut stream = connect(program.fastcgi);
    for _ in 0..2 {
        stream.write_all(&bytes).expect("written");
        let (got, _, protocol) = read_fastcgi_response(&mut stream).expect("an answer");
        assert!(got.starts_with(head) && protocol == status, "{got} {protocol}");
    }
}

/// What is not the protocol ends its connection, and only that.
#[rstest]
#[case::not_fastcgi(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::begun_twice([fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]), fastcgi_record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0])].concat())]
#[case::begin_cut_short(fastcgi_record(1, 1, &[0, 1]))]
fn what_is_not_fastcgi_ends_its_connection(#[case] bytes: Vec<u8>) {
    let program = TestProgram::new(Protocol::Platform);
    let mut stream = connect(program.fastcgi);
    stream.write_all(&bytes).expect("written");
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0);
    program.run_scenario(Protocol::Platform, SERVED);
}

/// The same for HTTP: an error object, then the end.
#[rstest]
#[case::garbage("\u{1}\r\n\r\n", "400")]
#[case::too_long(
    "POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "413"
)]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400")]
#[case::chunked("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411")]
#[case::unknown_model("GET /v2/models/x/ready HTTP/1.1\r\nConnection: close\r\n\r\n", "404")]
#[case::not_json("POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.0\r\nContent-Length: 1\r\n\r\nx", "400")]
fn odd_http_is_answered(#[case] bytes: &str, #[case] status: &str) {
    let program = TestProgram::new(Protocol::Kserve);
    let mut stream = connect(program.kserve);
    stream.write_all(bytes.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")) && answer.contains(r#"{"error":""#),
        "{answer}"
    );
    program.run_scenario(Protocol::Kserve, SERVED);
}

/// Whoever does not come to the point is owed a word or a close, and must not keep others out.
#[rstest]
#[case::says_nothing("client expect closed")]
#[case::stops_midway("client send partial\nclient expect closed")]
#[case::never_ends("client send endless\nclient expect failed\nclient expect closed")]
#[case::asks_once_and_stays(&format!("{SERVED}\nclient expect closed"))]
#[case::says_nothing_by_the_hundred(&format!("client open 130\n{SERVED}"))]
fn connections_do_not_outstay(
    #[values(Protocol::Platform, Protocol::Kserve)] front: Protocol, #[case] scenario: &str,
) {
    TestProgram::new(Protocol::Platform).run_scenario(front, scenario);
}

/// A second request under the id of an open one is failed, and the open one is served.
#[test]
fn an_open_request_keeps_its_id() {
    let program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    for (id, body) in [(1, b"first"), (2, b"other")] {
        stream.write_all(&fastcgi_request(id, &params("5000"), body)).expect("written");
    }
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("an answer");
    assert!(head.starts_with("Status: 500"), "{head}");
    program.run_scenario(Protocol::Platform, "worker expect tile-render - first\nworker send ok DONE");
    let (head, body, _) = read_fastcgi_response(&mut stream).expect("an answer");
    assert!(head.starts_with("Status: 200") && body == b"DONE", "{head}");
}

const SERVED: &str = "
    client send tile-render - x 3000
    worker expect tile-render - x
    worker send ok DONE
    client expect served DONE";

#[test]
fn health_metadata_and_state_are_told() {
    let program = TestProgram::new(Protocol::Kserve);
    program.run_scenario(Protocol::Platform, SERVED);
    for (path, told) in [
        ("/v2/health/live", r#"{"live":true}"#),
        ("/v2/health/ready", r#"{"ready":true}"#),
        ("/v2/models/7f3a9c21e0b4d655/ready", r#""ready":true"#),
        ("/v2/models/7f3a9c21e0b4d655/versions/1/ready", r#""ready":true"#),
        ("/v2/models/7f3a9c21e0b4d655", r#""platform":"heronslip""#),
    ] {
        let answer = http_get(program.kserve, path);
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(told), "{path}: {answer}");
    }
    let state = http_get(program.admin, "/v1/state");
    assert!(state.contains(r#""asked":1"#) && state.contains(r#""speech":"kserve""#), "{state}");
}

/// Whoever reads the log may go away: lines of the core, of connections and of signals are then left out.
#[test]
fn a_log_that_nobody_reads_ends_nothing() {
    let mut program = TestProgram::with(ProgramConfig { close_log: true, ..ProgramConfig::default() });
    program.run_scenario(
        Protocol::Platform,
        "discovery expect 1\ndiscovery send 2 w0 draining\nlist expect w0 draining",
    );
    program.run_scenario(Protocol::Platform, "client send partial\nclient expect closed");
    program.run_scenario(Protocol::Platform, SERVED);
    assert!(program.terminate());
}

/// A request that is open at SIGTERM, and one that comes just after it, are answered before the end.
#[test]
fn a_planned_end_answers_what_was_taken() {
    let mut program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    stream.write_all(&fastcgi_request(1, &params("1200"), b"open")).expect("written");
    assert!(program.terminate());
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("an answer before the end");
    assert!(head.starts_with("Status: 5"), "{head}");
}

/// What is open at SIGTERM may take long: a board that moves meanwhile is followed, with SIGHUP before the
/// signal to end, in one go with it, or after it.
#[rstest]
#[case::before("-HUP -TERM")]
#[case::after("-TERM -HUP")]
fn a_board_that_moves_round_a_planned_end_is_followed(#[case] signals: &str) {
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
    let (last, _board) = program.discovery_request();
    assert_eq!(last, "1");
    drop(stream); // nothing is owed any more
    assert!(program.wait_for_exit());
}

/// A configuration that cannot be read when SIGHUP comes, half written for one, is read once it can be.
#[test]
fn a_configuration_that_is_still_being_written_is_read_in_the_end() {
    let program = TestProgram::new(Protocol::Platform);
    assert_eq!(program.discovery_request().0, "1");
    program.reload(true);
    program.wait_for_log("reload:");
    program.switch_discovery_server();
    assert_eq!(program.discovery_request().0, "1");
}

/// A client goes on sending on its open connection until the program is killed, which may come soon where deadlines are
/// short: what comes late is refused at once, and the connection closes behind it.
#[test]
fn what_comes_late_in_a_planned_end_is_refused_at_once() {
    let settings = common::SETTINGS.replace(r#""goal-time":400,"#, r#""goal-time":200,"give-up":300,"#);
    let mut program = TestProgram::with(ProgramConfig { settings, ..ProgramConfig::default() });
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    // Open beside it: the program does not end before the late one comes.
    let mut other = connect(program.fastcgi);
    let half = fastcgi_request(1, &params("5000"), b"half");
    other.write_all(&half[..half.len() - 8]).expect("written");
    program.signal("-TERM");
    program.wait_for_log("stop: closing the listeners");
    stream.write_all(&fastcgi_request(1, &params("5000"), b"late")).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("an answer");
    assert!(head.starts_with("Status: 503") && head.contains("Srv-Wait-Ms: "), "{head}");
    assert_eq!(stream.read(&mut [0; 64]).expect("its end"), 0, "the connection is still open");
    assert!(program.wait_for_exit());
}

/// SIGTERM before the list of workers is known: nothing is owed, and the program ends.
#[test]
fn a_planned_end_before_it_is_ready() {
    let known = Some(String::new());
    let mut program = TestProgram::start(ProgramConfig { known, ..ProgramConfig::default() });
    assert!(!http_get(program.admin, "/healthz").starts_with("HTTP/1.1 200"));
    assert!(program.terminate());
}

/// A client that claims to wait for longer than its class allows gets its answer when the class gives up.
#[test]
fn a_wait_is_no_longer_than_its_class_allows() {
    let settings = common::SETTINGS.replace(r#""goal-time":400,"#, r#""goal-time":200,"give-up":900,"#);
    let program = TestProgram::with(ProgramConfig { settings, ..ProgramConfig::default() });
    let scenario = "
        client send tile-render - x 600000
        worker expect tile-render - x
        client expect failed";
    program.run_scenario(Protocol::Platform, scenario);
}

/// Given up by the client: no answer, and the id can be used anew.
#[test]
fn an_aborted_request_gets_no_answer() {
    let program = TestProgram::new(Protocol::Platform);
    program.run_scenario(Protocol::Platform, SERVED);
    let mut stream = connect(program.fastcgi);
    stream.write_all(&fastcgi_request(1, &params("60000"), b"given up")).expect("written");
    stream.write_all(&fastcgi_record(2, 1, &[])).expect("written");
    stream.write_all(&fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b"")).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut stream).expect("an answer");
    assert!(head.starts_with("Status: 200"), "{head}");
}
