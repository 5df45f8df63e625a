//! The platform's limit on descriptors, held to by the kernel too: what clients, workers and board may take.
mod common;

use common::stand_ins::serving_worker;
use common::{
    connect, fastcgi_request, instance, read_fastcgi_response, ProgramConfig, TestProgram, TIMEOUT,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const HEALTH: [(&str, &str); 1] = [("SCRIPT_NAME", "/healthz")];

/// A call of the n-th function: whether it was served with its own body.
fn served(stream: &mut TcpStream, n: u64) -> bool {
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
    let (head, got, _) = read_fastcgi_response(stream).expect("an answer");
    head.starts_with("Status: 200") && got == body.as_bytes()
}

fn healthy(stream: &mut TcpStream) {
    stream.write_all(&fastcgi_request(1, &HEALTH, b"")).expect("written");
    assert!(read_fastcgi_response(stream).expect("an answer").0.starts_with("Status: 200"));
}

/// Reader and writer of a connection share its descriptor: two each would halve what fits.
#[test]
fn a_connection_takes_one_descriptor() {
    let program =
        TestProgram::with(ProgramConfig { workers: vec![serving_worker()], ..ProgramConfig::default() });
    let mut first = connect(program.fastcgi);
    assert!(served(&mut first, 1));
    let before = program.open_descriptors();
    let mut others: Vec<TcpStream> = (0..30).map(|_| connect(program.fastcgi)).collect();
    others.iter_mut().for_each(healthy); // all are taken in by now
    assert!(program.open_descriptors() <= before + 30, "{} after {before}", program.open_descriptors());
}

/// 120 workers, clients that say nothing at every permit, and a board that breaks off: within 256 descriptors
/// the usual clients are served by all workers and the list is followed.
#[test]
fn silent_clients_leave_descriptors_for_all_workers_and_the_board() {
    let workers: Vec<_> = (0..120).map(|_| serving_worker()).collect();
    let program = TestProgram::with(ProgramConfig { workers, ..ProgramConfig::default() });
    let (last, broken) = program.discovery_request();
    assert_eq!(last, "1");
    let mut client = connect(program.fastcgi);
    assert!(served(&mut client, 1));
    let silent: Vec<TcpStream> = (0..200).map(|_| connect(program.fastcgi)).collect();
    let mut usual: Vec<TcpStream> = (0..80).map(|_| connect(program.fastcgi)).collect();
    usual.iter_mut().for_each(healthy);
    drop(broken); // the board is called again while the descriptors are most in use
    assert_eq!(program.discovery_request().0, "1");
    let mut most = 0;
    for n in 2..600 {
        assert!(served(&mut usual[n as usize % 80], n), "call {n}");
        most = most.max(program.open_descriptors());
    }
    assert!(most <= 256, "{most} descriptors");
    let gone = instance("w7", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    let event = format!(r#"{{"rev":2,"pool":{{"reset":false,"instances":[{gone}]}}}}"#);
    let (_, mut board) = program.new_discovery_request();
    board.write_all(format!("id: 2\ndata: {event}\n\n").as_bytes()).expect("written");
    program.wait_for_worker("w7", "draining", "the list is followed");
    drop(silent);
}

/// More workers than connections fit: those idle longest make way, and every call is still served.
#[test]
fn idle_worker_connections_make_way_for_others() {
    let workers: Vec<_> = (0..90).map(|_| serving_worker()).collect();
    let program = TestProgram::with(ProgramConfig { workers, sockets: 128, ..ProgramConfig::default() });
    let mut client = connect(program.fastcgi);
    let since = Instant::now();
    for n in 1..400 {
        assert!(served(&mut client, n), "call {n}");
        assert!(program.open_descriptors() <= 128);
    }
    assert!(since.elapsed() < TIMEOUT + Duration::from_secs(50), "calls waited");
}
