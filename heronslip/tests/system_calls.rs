//! System calls that fail for a moment, in the ways that Linux documents.
mod common;

use common::stand_ins::{counting_worker, obliging_worker};
use common::{call, connect, fastcgi_answer, Plan, Stage, PATIENCE};
use heronslip_shim_control::{ControlFile, FailureRates, SystemCall, CONTROL_VARIABLE, SYSTEM_CALLS};
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The shim, built into a folder of the tests.
fn shim() -> PathBuf {
    let target = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("shim");
    let build = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "-p", "heronslip-shim", "--target-dir"])
        .arg(&target)
        .status();
    assert!(build.expect("cargo runs").success());
    target.join("debug/libheronslip_shim.so")
}

/// Thousandths of the calls of some kinds.
fn rates(of: &[(SystemCall, u32)]) -> FailureRates {
    let mut rates = [0; SYSTEM_CALLS.len()];
    of.iter().for_each(|(call, rate)| rates[*call as usize] = *rate);
    rates
}

/// The environment that loads the shim, and the file that controls it.
fn failing(rates: FailureRates) -> (Vec<(&'static str, PathBuf)>, ControlFile) {
    static FILES: AtomicU64 = AtomicU64::new(0);
    let name = format!("control-{}-{}", std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let control = ControlFile::create(&path, 7).expect("a control file");
    control.set_rates(&rates).expect("written");
    (vec![("LD_PRELOAD", shim()), (CONTROL_VARIABLE, path)], control)
}

/// An interrupted read is no end: an answer of which a part has come is read on, and its call is not sent again.
#[test]
fn an_interrupted_read_loses_no_answer() {
    let (worker, calls) = counting_worker();
    let (environment, _) = failing(rates(&[(SystemCall::Read, 800)]));
    let stage = Stage::with(Plan { workers: vec![worker], environment, ..Plan::default() });
    let body = "x".repeat(4_000);
    for id in 1..=30 {
        let mut client = connect(stage.front);
        client.write_all(&call(1, &format!("{id:016x}"), "5000", &body)).expect("written");
        let (head, _, _) = fastcgi_answer(&mut client).expect("an answer");
        assert!(head.starts_with("Status: 200"), "{head}");
    }
    assert_eq!(calls.load(Ordering::Acquire), 30);
}

/// Connections that wait at a planned end are taken in though accepting fails for a while.
#[test]
fn a_planned_end_takes_connections_in_though_accepting_fails() {
    let (environment, control) = failing(rates(&[]));
    let workers = vec![obliging_worker()];
    let mut stage = Stage::with(Plan { workers, environment, ..Plan::default() });
    control.set_rates(&rates(&[(SystemCall::Accept, 1_000)])).expect("written");
    let mut clients: Vec<_> = (1..=10u64).map(|id| (id, connect(stage.front))).collect();
    for (id, client) in &mut clients {
        client.write_all(&call(1, &format!("{id:016x}"), "3000", "x")).expect("written");
    }
    stage.signal("-TERM");
    stage.logged("stop: closing the listeners");
    std::thread::sleep(Duration::from_millis(50)); // several tries to accept
    control.set_rates(&rates(&[])).expect("written");
    for (id, client) in &mut clients {
        let answer = fastcgi_answer(client).map(|(head, _, _)| head);
        assert!(answer.as_ref().is_ok_and(|head| head.starts_with("Status: ")), "client {id}: {answer:?}");
    }
    assert!(stage.ended());
}

/// No socket is to be had when the program starts: it goes on trying, and listens once there is one.
#[test]
fn a_start_waits_for_a_socket() {
    let (environment, control) = failing(rates(&[(SystemCall::Socket, 1_000)]));
    let until = Instant::now() + PATIENCE;
    let frees = std::thread::spawn(move || {
        let tries = || control.injected().expect("read")[SystemCall::Socket as usize];
        while tries() < 3 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        control.set_rates(&rates(&[])).expect("written");
        tries()
    });
    let mut stage = Stage::with(Plan { workers: vec![obliging_worker()], environment, ..Plan::default() });
    assert!(frees.join().expect("sound") >= 3);
    assert!(stage.stop());
}

/// Accepts, sockets, connects, reads, writes and waits fail often, each for a moment: every call gets its answer.
#[test]
fn calls_are_answered_while_system_calls_fail() {
    use SystemCall::{Accept, Connect, Read, Socket, Wait, Write};
    let often = [(Accept, 300), (Socket, 100), (Connect, 100), (Read, 300), (Write, 300), (Wait, 300)];
    let (environment, _) = failing(rates(&often));
    let workers = vec![obliging_worker(), obliging_worker(), obliging_worker()];
    let stage = Stage::with(Plan { workers, environment, ..Plan::default() });
    let (mut served, all) = (0, 60);
    for id in 1..=all {
        let mut client = connect(stage.front);
        client.write_all(&call(1, &format!("{id:016x}"), "3000", "x")).expect("written");
        let (head, _, _) = fastcgi_answer(&mut client).expect("an answer");
        served += usize::from(head.starts_with("Status: 200"));
    }
    assert!(served > all / 2, "{served} of {all} served");
}
