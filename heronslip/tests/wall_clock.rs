//! The front end's wall clock differs by an hour from the clock that stamps the start times of workers.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::stand_ins::counting_worker;
use common::{
    connect, fastcgi_call, instance, read_fastcgi_response, send_event, ProgramConfig, TestProgram, SETTINGS,
};
use rstest::rstest;
use std::io::Write;
use std::net::SocketAddr;
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

/// Sends 100 calls after an event that gives these entries, on a program that knows two workers, and returns how
/// many each of the three workers received.
fn calls_after_an_event(entries: impl Fn([SocketAddr; 3]) -> Vec<String>) -> [usize; 3] {
    let settings = SETTINGS
        .replace(r#""warm-within":17000"#, r#""warm-within":1800000"#)
        .replace(r#""cold-from":0.2"#, r#""cold-from":0"#)
        .replace(r#""fall-multiple":2"#, r#""fall-multiple":0.01"#);
    let workers = [(); 3].map(|()| counting_worker());
    let addresses = [0, 1, 2].map(|n| workers[n].0);
    let (listener, discovery_server) = bind_discovery_server();
    let program = TestProgram::with(ProgramConfig {
        settings,
        workers: addresses[..2].to_vec(),
        discovery_server,
        ..ProgramConfig::default()
    });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(format!("{RESPONSE_HEAD}:\n\n").as_bytes()).expect("written");
    program.wait_for_log("discovery: the worker list is up to date");
    send_event(&mut stream, 2, false, &entries(addresses));
    program.wait_for_worker("new", "ready", "it is listed");
    let mut client = connect(program.fastcgi);
    for id in 1..=100 {
        client.write_all(&fastcgi_call(1, &format!("{id:016x}"), "900", "x")).expect("written");
        let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
        assert!(head.starts_with("Status: 200"), "{head}");
    }
    workers.map(|(_, calls)| calls.load(Ordering::Acquire))
}

/// Guards against too many calls to a cold worker: the clock that stamps starts was stepped back between two of
/// them, so that the worker that started last looks old beside the other.
#[rstest]
#[case::by_seconds(60_000)]
#[case::by_an_hour(HOUR_MS as u64)]
fn a_new_worker_is_cold_though_the_clock_was_stepped_back_before_it_started(#[case] step_ms: u64) {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let [_, other, new] = calls_after_an_event(|[_, other, new]| {
        vec![instance("w1", other, "ready", unix), instance("new", new, "ready", unix - step_ms)]
    });
    assert!(other <= 5 && new <= 5, "{other} and {new} calls to cold workers");
}

/// Guards against too many calls to a cold worker: its process is told apart from the one that had its address
/// by its id alone.
#[test]
fn a_worker_that_takes_over_an_address_is_cold() {
    let [_, taken_over, _] = calls_after_an_event(|[_, other, _]| {
        vec![instance("w1", other, "gone", 0), instance("new", other, "ready", 0)]
    });
    assert!(taken_over <= 5, "{taken_over} calls to the new worker");
}
