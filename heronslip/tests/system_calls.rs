//! Transient failures of system calls, as documented for Linux, injected by the shim.
mod common;

use common::shim::build_shim;
use common::stand_ins::{counting_worker, serving_worker};
use common::{connect, fastcgi_call, read_fastcgi_response, ProgramConfig, TestProgram, TIMEOUT};
use heronslip_shim_control::{ControlFile, FailureRates, SystemCall, CONTROL_VARIABLE, SYSTEM_CALLS};
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Failure rates in thousandths: these for the given system calls, 0 for all others.
fn rates(given: &[(SystemCall, u32)]) -> FailureRates {
    let mut rates = [0; SYSTEM_CALLS.len()];
    given.iter().for_each(|(call, rate)| rates[*call as usize] = *rate);
    rates
}

/// The environment that loads the shim with these failure rates, and the file that controls it.
fn shim_environment(rates: FailureRates) -> (Vec<(&'static str, PathBuf)>, ControlFile) {
    static FILES: AtomicU64 = AtomicU64::new(0);
    let name = format!("control-{}-{}", std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let control = ControlFile::create(&path, 7).expect("a control file");
    control.set_rates(&rates).expect("written");
    (vec![("LD_PRELOAD", build_shim()), (CONTROL_VARIABLE, path)], control)
}

/// Reads are interrupted while a reply arrives: the rest of it must be read, and its call must not be sent
/// again.
#[test]
fn an_interrupted_read_loses_no_reply() {
    let (worker, calls) = counting_worker();
    let (environment, _) = shim_environment(rates(&[(SystemCall::Read, 800)]));
    let program =
        TestProgram::with(ProgramConfig { workers: vec![worker], environment, ..ProgramConfig::default() });
    let body = "x".repeat(4_000);
    for id in 1..=30 {
        let mut client = connect(program.fastcgi);
        client.write_all(&fastcgi_call(1, &format!("{id:016x}"), "5000", &body)).expect("written");
        let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
        assert!(head.starts_with("Status: 200"), "{head}");
    }
    assert_eq!(calls.load(Ordering::Acquire), 30);
}

/// At a graceful shutdown accepting fails for a while: the connections that wait must still be accepted and
/// served.
#[test]
fn a_graceful_shutdown_accepts_waiting_connections_after_accept_errors() {
    let (environment, control) = shim_environment(rates(&[]));
    let workers = vec![serving_worker()];
    let mut program = TestProgram::with(ProgramConfig { workers, environment, ..ProgramConfig::default() });
    control.set_rates(&rates(&[(SystemCall::Accept, 1_000)])).expect("written");
    let mut clients: Vec<_> = (1..=10u64).map(|id| (id, connect(program.fastcgi))).collect();
    for (id, client) in &mut clients {
        client.write_all(&fastcgi_call(1, &format!("{id:016x}"), "3000", "x")).expect("written");
    }
    program.signal("-TERM");
    program.wait_for_log("stop: closing the listeners");
    std::thread::sleep(Duration::from_millis(50)); // time for several failed accepts
    control.set_rates(&rates(&[])).expect("written");
    for (id, client) in &mut clients {
        let response = read_fastcgi_response(client).map(|(head, _, _)| head);
        let answered = response.as_ref().is_ok_and(|head| head.starts_with("Status: "));
        assert!(answered, "client {id}: {response:?}");
    }
    assert!(program.wait_for_exit());
}

/// Creating a socket fails when the program starts: it must retry, and listen once that succeeds.
#[test]
fn a_start_retries_to_create_a_socket() {
    let (environment, control) = shim_environment(rates(&[(SystemCall::Socket, 1_000)]));
    let deadline = Instant::now() + TIMEOUT;
    let stop_failures = std::thread::spawn(move || {
        let failures = || control.injected().expect("read")[SystemCall::Socket as usize];
        while failures() < 3 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        control.set_rates(&rates(&[])).expect("written");
        failures()
    });
    let mut program = TestProgram::with(ProgramConfig {
        workers: vec![serving_worker()],
        environment,
        ..ProgramConfig::default()
    });
    assert!(stop_failures.join().expect("no panic") >= 3);
    assert!(program.terminate());
}

/// Many system calls of all kinds fail transiently: every request must get a response.
#[test]
fn requests_are_answered_while_system_calls_fail() {
    use SystemCall::{Accept, Connect, Read, Socket, Wait, Write};
    let failing = [(Accept, 300), (Socket, 100), (Connect, 100), (Read, 300), (Write, 300), (Wait, 300)];
    let (environment, _) = shim_environment(rates(&failing));
    let workers = vec![serving_worker(), serving_worker(), serving_worker()];
    let program = TestProgram::with(ProgramConfig { workers, environment, ..ProgramConfig::default() });
    let (mut served, requests) = (0, 60);
    for id in 1..=requests {
        let mut client = connect(program.fastcgi);
        client.write_all(&fastcgi_call(1, &format!("{id:016x}"), "3000", "x")).expect("written");
        let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
        served += usize::from(head.starts_with("Status: 200"));
    }
    assert!(served > requests / 2, "{served} of {requests} served");
}
