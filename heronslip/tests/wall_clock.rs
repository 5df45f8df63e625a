//! The front end's wall clock differs by an hour from the clock that stamps the start times of workers.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::stand_ins::counting_worker;
use common::{
    connect, fastcgi_call, instance, read_fastcgi_response, send_event, ProgramConfig, TestProgram, SETTINGS,
};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

/// Lists an old worker and one that started just now by a clock that is `ahead_ms` ahead of the front end's.
/// Sends 200 calls `after` the new worker is listed, and returns how many each worker received.
fn calls_after_a_start(ahead_ms: i64, settings: &str, after: Duration) -> [usize; 2] {
    let (old, calls_of_old) = counting_worker();
    let (new, calls_of_new) = counting_worker();
    let (listener, address) = bind_discovery_server();
    let (settings, workers) = (settings.to_owned(), vec![old]);
    let program = TestProgram::with(ProgramConfig {
        settings,
        workers,
        discovery_server: address,
        ..ProgramConfig::default()
    });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(format!("{RESPONSE_HEAD}:\n\n").as_bytes()).expect("written");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    let started = (unix + ahead_ms).unsigned_abs();
    send_event(&mut stream, 2, false, &[instance("new", new, "ready", started)]);
    program.wait_for_worker("new", "ready", "it is listed");
    std::thread::sleep(after);
    let mut client = connect(program.fastcgi);
    for id in 1..=200 {
        client.write_all(&fastcgi_call(1, &format!("{id:016x}"), "900", "x")).expect("written");
        let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
        assert!(head.starts_with("Status: 200"), "{head}");
    }
    [calls_of_old, calls_of_new].map(|calls| calls.load(Ordering::Acquire))
}

/// The front end's clock is ahead: a worker that has just started looks an hour old, and would get the calls
/// of a warm one.
#[test]
fn a_new_worker_is_cold_whatever_the_wall_clock_shows() {
    // A cold worker gets almost no calls for half an hour, longer than the slowest machine takes for this
    // test.
    let settings = SETTINGS
        .replace(r#""warm-within":17000"#, r#""warm-within":1800000"#)
        .replace(r#""cold-from":0.2"#, r#""cold-from":0"#)
        .replace(r#""fall-multiple":2"#, r#""fall-multiple":0.01"#);
    let [old, new] = calls_after_a_start(-HOUR_MS, &settings, Duration::ZERO);
    assert!(new <= 5, "{new} calls to the cold worker, {old} to the warm one");
}

/// The front end's clock is behind: a worker that started long ago looks as if it had not started yet.
#[test]
fn a_worker_becomes_warm_whatever_the_wall_clock_shows() {
    let settings = SETTINGS.replace(r#""warm-within":17000"#, r#""warm-within":300"#);
    let [old, new] = calls_after_a_start(HOUR_MS, &settings, Duration::from_millis(400));
    assert!(new > old / 4, "{new} calls to the worker that is warm by now, {old} to the other");
}
