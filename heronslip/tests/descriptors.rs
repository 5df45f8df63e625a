//! The platform's limit on descriptors, held to by the kernel too: what clients, workers and board may take.
mod common;

use common::stand_ins::obliging_worker;
use common::{connect, fastcgi, fastcgi_answer, instance, Plan, Stage, PATIENCE};
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
    stream.write_all(&fastcgi(1, &params, body.as_bytes())).expect("written");
    let (head, got, _) = fastcgi_answer(stream).expect("an answer");
    head.starts_with("Status: 200") && got == body.as_bytes()
}

fn healthy(stream: &mut TcpStream) {
    stream.write_all(&fastcgi(1, &HEALTH, b"")).expect("written");
    assert!(fastcgi_answer(stream).expect("an answer").0.starts_with("Status: 200"));
}

/// Reader and writer of a connection share its descriptor: two each would halve what fits.
#[test]
fn a_connection_takes_one_descriptor() {
    let stage = Stage::with(Plan { workers: vec![obliging_worker()], ..Plan::default() });
    let mut first = connect(stage.front);
    assert!(served(&mut first, 1));
    let before = stage.descriptors();
    let mut others: Vec<TcpStream> = (0..30).map(|_| connect(stage.front)).collect();
    others.iter_mut().for_each(healthy); // all are taken in by now
    assert!(stage.descriptors() <= before + 30, "{} after {before}", stage.descriptors());
}

/// 120 workers, clients that say nothing at every permit, and a board that breaks off: within 256 descriptors
/// the usual clients are served by all workers and the list is followed.
#[test]
fn silent_clients_leave_descriptors_for_all_workers_and_the_board() {
    let workers: Vec<_> = (0..120).map(|_| obliging_worker()).collect();
    let stage = Stage::with(Plan { workers, ..Plan::default() });
    let (last, broken) = stage.board_call();
    assert_eq!(last, "1");
    let mut client = connect(stage.front);
    assert!(served(&mut client, 1));
    let silent: Vec<TcpStream> = (0..200).map(|_| connect(stage.front)).collect();
    let mut usual: Vec<TcpStream> = (0..80).map(|_| connect(stage.front)).collect();
    usual.iter_mut().for_each(healthy);
    drop(broken); // the board is called again while the descriptors are most in use
    assert_eq!(stage.board_call().0, "1");
    let mut most = 0;
    for n in 2..600 {
        assert!(served(&mut usual[n as usize % 80], n), "call {n}");
        most = most.max(stage.descriptors());
    }
    assert!(most <= 256, "{most} descriptors");
    let gone = instance("w7", "127.0.0.1:9".parse().expect("an address"), "draining", 0);
    let event = format!(r#"{{"rev":2,"pool":{{"reset":false,"instances":[{gone}]}}}}"#);
    let (_, mut board) = stage.new_board_call();
    board.write_all(format!("id: 2\ndata: {event}\n\n").as_bytes()).expect("written");
    stage.listed("w7", "draining", "the list is followed");
    drop(silent);
}

/// More workers than connections fit: those idle longest make way, and every call is still served.
#[test]
fn idle_worker_connections_make_way_for_others() {
    let workers: Vec<_> = (0..90).map(|_| obliging_worker()).collect();
    let stage = Stage::with(Plan { workers, sockets: 128, ..Plan::default() });
    let mut client = connect(stage.front);
    let since = Instant::now();
    for n in 1..400 {
        assert!(served(&mut client, n), "call {n}");
        assert!(stage.descriptors() <= 128);
    }
    assert!(since.elapsed() < PATIENCE + Duration::from_secs(50), "calls waited");
}
