//! Discovery is out of reach for longer than what it told can be trusted.
//!
//! What users saw: calls and orders to load were sent to servers that had begun to drain just after discovery was
//! lost. All were turned away. Order of events: the connection to discovery ends and every new one is refused; some
//! servers drain and stay up; 4 s later their drain counts as told, 1 s after that the grace is over; front ends go on
//! sending to them until discovery is back.
//!
//! Cause: the list of workers had no age. A worker counted as ready from the last word about it until the next,
//! however long ago that was and whether or not any could come. The evidence: the sends were decided 7.8 s and 8.7 s
//! after the drain, far beyond any write that had been held up, and the first lines of the log that tell of the drains
//! come after discovery's return.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server, RESPONSE_HEAD};
use common::{
    connect, fastcgi_call, read_fastcgi_response, reply_frame, CommandFrame, ProgramConfig, TestProgram,
};
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// From the loss of discovery until a drain that follows it counts as told, the grace and the wire's slack included.
const TOLD_AND_GRACE: Duration = Duration::from_millis(4_000 + 1_000 + 50);

/// What a front end sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sent {
    Call,
    OrderToLoad,
    /// A probe, or an order for no copy.
    Question,
}

/// A worker that turns new work away while it drains, and answers questions all the same.
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
            let (sent, code, fields) = match (command.code, command.field("slots_up")) {
                (2, _) => (Sent::Call, if draining { 203 } else { 200 }, "detail=resident"),
                (6, "0") => (Sent::Question, 200, "slots_up=1"),
                (6, _) => (Sent::OrderToLoad, if draining { 203 } else { 200 }, "slots_up=1"),
                (4 | 5, _) => (Sent::Question, if draining { 207 } else { 206 }, ""),
                _ => continue,
            };
            self.received.lock().expect("sound").push((sent, Instant::now()));
            let body: &[u8] = if code == 200 && sent == Sent::Call { &command.body } else { &[] };
            if stream.write_all(&reply_frame(code, command.id, fields, body)).is_err() {
                return;
            }
        }
    }

    fn received_since(&self, since: Instant) -> Vec<Sent> {
        let received = self.received.lock().expect("sound");
        received.iter().filter(|(_, at)| *at >= since).map(|(sent, _)| *sent).collect()
    }

    fn new_work_since(&self, since: Instant) -> usize {
        self.received_since(since).iter().filter(|sent| **sent != Sent::Question).count()
    }
}

/// How discovery is out of reach.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Connections are refused.
    Refused,
    /// Connections stand, and nothing comes.
    Silent,
}

/// A front end that knows these workers, has heard from discovery and lost it. The listener of a silent board is
/// handed back, so that it stays silent.
fn without_discovery(
    outage: Outage, workers: Vec<SocketAddr>,
) -> (TestProgram, Option<(TcpListener, TcpStream)>) {
    let (listener, address) = bind_discovery_server();
    let program =
        TestProgram::with(ProgramConfig { workers, discovery_server: address, ..ProgramConfig::default() });
    let (mut stream, _) = accept_request(&listener);
    stream.write_all(format!("{RESPONSE_HEAD}:\n\n").as_bytes()).expect("written");
    assert_eq!(ask(&program, 1), "Status: 200", "served while discovery is there");
    match outage {
        Outage::Refused => (program, None),
        Outage::Silent => (program, Some((listener, stream))),
    }
}

/// The status of a call's answer.
fn ask(program: &TestProgram, id: u16) -> String {
    let mut client = connect(program.fastcgi);
    client
        .write_all(&fastcgi_call(1, &format!("{:016x}", 0xa0_0000 + u64::from(id)), "900", "x"))
        .expect("written");
    let (head, _, _) = read_fastcgi_response(&mut client).expect("an answer");
    head.lines().next().unwrap_or_default().split(' ').take(2).collect::<Vec<_>>().join(" ")
}

/// Nothing new goes to a worker that may have been draining for so long that this counts as told.
#[rstest]
#[case::refused(Outage::Refused)]
#[case::silent(Outage::Silent)]
fn nothing_new_goes_to_a_worker_that_drains_during_an_outage(#[case] outage: Outage) {
    let (drains, address) = Worker::start();
    let (program, _board) = without_discovery(outage, vec![address]);
    drains.draining.store(true, Ordering::Release);
    std::thread::sleep(TOLD_AND_GRACE);
    let since = Instant::now();
    assert_eq!(ask(&program, 2), "Status: 503", "no worker takes it");
    assert_eq!(drains.new_work_since(since), 0, "{:?}", drains.received_since(since));
}

/// Service goes on at the workers that prove to be ready, and only there.
#[rstest]
#[case::refused(Outage::Refused)]
#[case::silent(Outage::Silent)]
fn workers_that_are_ready_serve_through_an_outage(#[case] outage: Outage) {
    let workers: Vec<(Arc<Worker>, SocketAddr)> = (0..4).map(|_| Worker::start()).collect();
    let (program, _board) = without_discovery(outage, workers.iter().map(|w| w.1).collect());
    let drains = [&workers[0].0, &workers[1].0];
    drains.iter().for_each(|w| w.draining.store(true, Ordering::Release));
    std::thread::sleep(TOLD_AND_GRACE);
    let since = Instant::now();
    for id in 2..42 {
        assert_eq!(ask(&program, id), "Status: 200", "call {id}");
    }
    for (n, worker) in drains.iter().enumerate() {
        assert_eq!(worker.new_work_since(since), 0, "worker {n}: {:?}", worker.received_since(since));
    }
}

/// What a worker proves is as old as what it was asked: the first thing it gets after a quiet time is a question.
#[test]
fn a_worker_is_asked_before_it_gets_work_after_a_quiet_time() {
    let (worker, address) = Worker::start();
    let (program, _board) = without_discovery(Outage::Refused, vec![address]);
    for id in 2..4 {
        std::thread::sleep(TOLD_AND_GRACE);
        let since = Instant::now();
        assert_eq!(ask(&program, id), "Status: 200");
        assert_eq!(worker.received_since(since).first(), Some(&Sent::Question));
    }
}
