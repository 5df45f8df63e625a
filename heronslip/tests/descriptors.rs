//! The platform's limit on descriptors, also set in the kernel for the program: how many of them connections
//! to clients, workers and discovery use.
mod common;

use common::stand_ins::serving_worker;
use common::{
    connect, fastcgi_request, instance, read_fastcgi_response, ProgramConfig, TestProgram, TIMEOUT,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const HEALTH: [(&str, &str); 1] = [("SCRIPT_NAME", "/healthz")];

/// Calls the n-th function, and returns whether the response is 200 with the call's own body.
fn is_served(stream: &mut TcpStream, n: u64) -> bool {
    let (id, key, body) = (format!("{n:016x}"), format!("{:016x}", n * 0x9e37_79b9), n.to_string());
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", &id),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "9000"),
        ("HTTP_REQ_KEY", &key),
        ("HTTP_X_MORE", "memory_mb:5;lanes:4;load_ms:20"),
    ];
    stream.write_all(&fastcgi_request(1, &params, body.as_bytes())).expect("written");
    let (head, got, _) = read_fastcgi_response(stream).expect("a response");
    head.starts_with("Status: 200") && got == body.as_bytes()
}

fn check_health(stream: &mut TcpStream) {
    stream.write_all(&fastcgi_request(1, &HEALTH, b"")).expect("written");
    assert!(read_fastcgi_response(stream).expect("a response").0.starts_with("Status: 200"));
}

/// The reader and the writer of a connection share one descriptor. A second one would halve the number of
/// connections.
#[test]
fn a_connection_uses_one_descriptor() {
    let program =
        TestProgram::with(ProgramConfig { workers: vec![serving_worker()], ..ProgramConfig::default() });
    let mut first = connect(program.fastcgi);
    assert!(is_served(&mut first, 1));
    let before = program.open_descriptors();
    let mut others: Vec<TcpStream> = (0..30).map(|_| connect(program.fastcgi)).collect();
    others.iter_mut().for_each(check_health); // all are accepted by now
    assert!(program.open_descriptors() <= before + 30, "{} after {before}", program.open_descriptors());
}

/// 120 workers, silent clients up to the limit on client connections, and a lost discovery connection: with
/// 256 descriptors the other clients must still be served by all workers, and the worker list must still be
/// followed.
#[test]
fn silent_clients_leave_descriptors_for_all_workers_and_discovery() {
    let workers: Vec<_> = (0..120).map(|_| serving_worker()).collect();
    let program = TestProgram::with(ProgramConfig { workers, ..ProgramConfig::default() });
    let (last_event, lost) = program.discovery_request();
    assert_eq!(last_event, "1");
    let mut client = connect(program.fastcgi);
    assert!(is_served(&mut client, 1));
    let silent: Vec<TcpStream> = (0..200).map(|_| connect(program.fastcgi)).collect();
    let mut active: Vec<TcpStream> = (0..80).map(|_| connect(program.fastcgi)).collect();
    active.iter_mut().for_each(check_health);
    drop(lost); // discovery reconnects while most descriptors are in use
    assert_eq!(program.discovery_request().0, "1");
    let mut max_descriptors = 0;
    for n in 2..600 {
        assert!(is_served(&mut active[n as usize % 80], n), "call {n}");
        max_descriptors = max_descriptors.max(program.open_descriptors());
    }
    assert!(max_descriptors <= 256, "{max_descriptors} descriptors");
    let draining = instance("w7", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    let event = format!(r#"{{"rev":2,"pool":{{"reset":false,"instances":[{draining}]}}}}"#);
    let (_, mut discovery) = program.new_discovery_request();
    discovery.write_all(format!("id: 2\ndata: {event}\n\n").as_bytes()).expect("written");
    program.wait_for_worker("w7", "draining", "the list is followed");
    drop(silent);
}

/// More workers than the limit on worker connections: the longest idle connections must be closed for new
/// ones, and every call must be served.
#[test]
fn idle_worker_connections_are_closed_for_new_ones() {
    let workers: Vec<_> = (0..90).map(|_| serving_worker()).collect();
    let program = TestProgram::with(ProgramConfig { workers, sockets: 128, ..ProgramConfig::default() });
    let mut client = connect(program.fastcgi);
    let start = Instant::now();
    for n in 1..400 {
        assert!(is_served(&mut client, n), "call {n}");
        assert!(program.open_descriptors() <= 128);
    }
    assert!(start.elapsed() < TIMEOUT + Duration::from_secs(50), "calls had to wait");
}
