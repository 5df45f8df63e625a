//! Discovery is unreachable for longer than the worker list can be trusted.
//!
//! Guards against calls and load commands to workers that began to drain just after discovery was lost; all
//! of them were rejected. A drain counts as known 4 s after it begins, and the grace for calls that cross it
//! ends 1 s later, but front ends kept sending until discovery was back. These sends were decided 7.8 s and
//! 8.7 s after the drain, so they were no delayed writes. The cause: the worker list had no age, so a worker
//! counted as ready from the last event about it until the next one, however long ago that was and whether
//! or not another could arrive.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::{
    code, connect, fastcgi_call, read_fastcgi_response, reply_frame, CommandFrame, ProgramConfig, TestProgram,
};
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time after which a drain that follows the loss of discovery counts as known: 4 s, the drain's grace,
/// and some time for the network.
const DRAIN_KNOWN_AFTER: Duration = Duration::from_millis(4_000 + 1_000 + 50);

/// What a front end sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sent {
    Call,
    LoadCommand,
    /// A probe or a copy query.
    Query,
}

/// A worker that rejects new work while it drains, but replies to queries.
#[derive(Default)]
struct Worker {
    draining: AtomicBool,
    received: Mutex<Vec<(Sent, Instant)>>,
}

impl Worker {
    fn start() -> (Arc<Worker>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let worker = Arc::<Worker>::default();
        let shared = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let worker = shared.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        (worker, address)
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Ok(command) = CommandFrame::read(&mut stream) {
            let draining = self.draining.load(Ordering::Acquire);
            let work_reply = if draining { code::REJECTED } else { code::OK };
            let probe_reply = if draining { code::NOT_ACCEPTING } else { code::ACCEPTING };
            let (sent, reply_code, fields) = match (command.code, command.field("slots_up")) {
                (code::CALL, _) => (Sent::Call, work_reply, "detail=resident"),
                (code::LOAD, "0") => (Sent::Query, code::OK, "slots_up=1"),
                (code::LOAD, _) => (Sent::LoadCommand, work_reply, "slots_up=1"),
                (code::PROBE | code::ALTERNATIVE_PROBE, _) => (Sent::Query, probe_reply, ""),
                _ => continue,
            };
            self.received.lock().expect("not poisoned").push((sent, Instant::now()));
            let body: &[u8] = if reply_code == code::OK && sent == Sent::Call { &command.body } else { &[] };
            if stream.write_all(&reply_frame(reply_code, command.id, fields, body)).is_err() {
                return;
            }
        }
    }

    fn received_since(&self, since: Instant) -> Vec<Sent> {
        let received = self.received.lock().expect("not poisoned");
        received.iter().filter(|(_, at)| *at >= since).map(|(sent, _)| *sent).collect()
    }

    fn new_work_since(&self, since: Instant) -> usize {
        self.received_since(since).iter().filter(|sent| **sent != Sent::Query).count()
    }
}

/// Why discovery is unreachable.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Connects are refused.
    Refused,
    /// The connection stays open, and nothing is received.
    Silent,
}

/// Starts a front end that knows these workers, was up to date and then lost discovery. Also returns what
/// keeps a silent server's connection open.
fn program_without_discovery(
    outage: Outage, workers: Vec<SocketAddr>,
) -> (TestProgram, Option<(TcpListener, TcpStream)>) {
    let (listener, address) = bind_discovery_server();
    let program =
        TestProgram::with(ProgramConfig { workers, discovery_server: address, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(format!("{RESPONSE_HEAD}:\n\n").as_bytes()).expect("written");
    assert_eq!(call_status(&program, 1), "Status: 200", "served while discovery is available");
    match outage {
        Outage::Refused => (program, None),
        Outage::Silent => (program, Some((listener, stream))),
    }
}

/// Sends a call, and returns its status.
fn call_status(program: &TestProgram, id: u16) -> String {
    let mut client = connect(program.fastcgi);
    client
        .write_all(&fastcgi_call(1, &format!("{:016x}", 0xa0_0000 + u64::from(id)), "900", "x"))
        .expect("written");
    let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
    head.lines().next().unwrap_or_default().split(' ').take(2).collect::<Vec<_>>().join(" ")
}

/// No new work goes to a worker that may have been draining for so long that its drain counts as known.
#[rstest]
#[case::refused(Outage::Refused)]
#[case::silent(Outage::Silent)]
fn no_new_work_goes_to_a_worker_that_drains_during_an_outage(#[case] outage: Outage) {
    let (worker, address) = Worker::start();
    let (program, _discovery) = program_without_discovery(outage, vec![address]);
    worker.draining.store(true, Ordering::Release);
    std::thread::sleep(DRAIN_KNOWN_AFTER);
    let since = Instant::now();
    assert_eq!(call_status(&program, 2), "Status: 503", "no worker accepts it");
    assert_eq!(worker.new_work_since(since), 0, "{:?}", worker.received_since(since));
}

/// Workers that prove to be ready serve calls, and only they do.
#[rstest]
#[case::refused(Outage::Refused)]
#[case::silent(Outage::Silent)]
fn workers_that_are_ready_serve_through_an_outage(#[case] outage: Outage) {
    let workers: Vec<(Arc<Worker>, SocketAddr)> = (0..4).map(|_| Worker::start()).collect();
    let (program, _discovery) = program_without_discovery(outage, workers.iter().map(|w| w.1).collect());
    let draining = [&workers[0].0, &workers[1].0];
    draining.iter().for_each(|w| w.draining.store(true, Ordering::Release));
    std::thread::sleep(DRAIN_KNOWN_AFTER);
    let since = Instant::now();
    for id in 2..42 {
        assert_eq!(call_status(&program, id), "Status: 200", "call {id}");
    }
    for (n, worker) in draining.iter().enumerate() {
        assert_eq!(worker.new_work_since(since), 0, "worker {n}: {:?}", worker.received_since(since));
    }
}

/// A worker's reply proves its readiness as of the query, so after a quiet time the first thing it receives
/// is a query.
#[test]
fn a_worker_is_queried_before_it_gets_work_after_a_quiet_time() {
    let (worker, address) = Worker::start();
    let (program, _discovery) = program_without_discovery(Outage::Refused, vec![address]);
    for id in 2..4 {
        std::thread::sleep(DRAIN_KNOWN_AFTER);
        let since = Instant::now();
        assert_eq!(call_status(&program, id), "Status: 200");
        assert_eq!(worker.received_since(since).first(), Some(&Sent::Query));
    }
}
