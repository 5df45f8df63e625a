//! Calls and load commands that the system has not delivered when they are given up: they must not arrive later.
mod common;

use common::{report_sender, TIMEOUT};
use heronslip::limits::Limits;
use heronslip::messages::{AttemptKey, Message, Payload, Request};
use heronslip::worker::frames::FrameTransport;
use heronslip::worker::kserve::KserveTransport;
use heronslip::worker::Transport;
use heronslip_policy::{Outcome, Settings};
use rstest::rstest;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

const KEY: AttemptKey = AttemptKey { request: 1, attempt: 0 };
/// Pause between two looks at a connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

fn request() -> Arc<Request> {
    Arc::new(Request {
        wire_id: 9,
        class: "tile-render".to_owned(),
        class_index: 0,
        tenant: String::new(),
        tenant_index: None,
        function: 7,
        wait: 1_000_000,
        received_at: Instant::now(),
        idempotency_key: None,
        is_retry: false,
        memory_mb: 0.0,
        lanes: 1,
        load_time: 0,
        payload: Payload::Bytes(Vec::new()),
        reservation: None,
        incoming: None,
    })
}

fn frames(address: SocketAddr, reports: mpsc::Sender<Message>) -> Box<dyn Transport> {
    let limits = Limits::new(192, 1024, &Settings::default());
    heronslip::net::configure_scheduler(&limits);
    Box::new(FrameTransport::new(address, Arc::new(limits), report_sender(reports)))
}

fn kserve(address: SocketAddr, reports: mpsc::Sender<Message>) -> Box<dyn Transport> {
    let limits = Limits::new(192, 1024, &Settings::default());
    heronslip::net::configure_scheduler(&limits);
    Box::new(KserveTransport::new(address, Arc::new(limits), report_sender(reports)))
}

/// Waits until what the transport has written is on its way; the worker does not read it.
fn wait_for_bytes(stream: &TcpStream) {
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    assert_eq!(stream.peek(&mut [0]).expect("bytes"), 1);
}

/// Waits until the connection has been reset, which drops what the worker has not received.
fn wait_for_reset(stream: &TcpStream, transport: &mut dyn Transport) {
    let deadline = Instant::now() + TIMEOUT;
    while stream.take_error().expect("open").is_none() {
        assert!(Instant::now() < deadline, "the connection was not reset");
        transport.check_liveness();
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Guards against calls that run after their repeat elsewhere was served: the connection to their worker falls
/// silent, and delivers them once the worker is reached again.
#[test]
fn a_silent_connection_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, reports) = mpsc::channel();
    let mut transport = frames(listener.local_addr().expect("bound"), queue);
    transport.send_attempt(KEY, &request(), 60_000_000, None);
    let (stream, _) = listener.accept().expect("a connection");
    wait_for_bytes(&stream);
    wait_for_reset(&stream, &mut *transport);
    match reports.recv_timeout(TIMEOUT) {
        Ok(Message::AttemptEnded { key, report }) => {
            assert_eq!((key, report.outcome), (KEY, Outcome::Reset));
        }
        _ => panic!("the attempt did not end"),
    }
}

/// What is given up on a silent connection.
#[derive(Clone, Copy)]
enum GivenUp {
    Attempt,
    Load,
}

/// Guards against calls that run after their client has left, and load commands that arrive long after: nothing
/// waits any more on the silent connection that holds them.
#[rstest]
#[case::attempt(GivenUp::Attempt)]
#[case::load_command(GivenUp::Load)]
fn a_silent_connection_is_reset_after_its_last_exchange_was_given_up(#[case] given_up: GivenUp) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, _reports) = mpsc::channel();
    let mut transport = frames(listener.local_addr().expect("bound"), queue);
    match given_up {
        GivenUp::Attempt => transport.send_attempt(KEY, &request(), 60_000_000, None),
        GivenUp::Load => transport.send_load(1, 7, 1, None),
    }
    let (stream, _) = listener.accept().expect("a connection");
    wait_for_bytes(&stream);
    match given_up {
        GivenUp::Attempt => transport.cancel_attempt(KEY),
        GivenUp::Load => transport.abandon(1),
    }
    wait_for_reset(&stream, &mut *transport);
}

/// As above, where the connection is closed before a liveness check shows that it is silent.
#[test]
fn a_connection_that_closes_is_reset_if_it_may_hold_a_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, _reports) = mpsc::channel();
    let mut transport = frames(listener.local_addr().expect("bound"), queue);
    transport.send_attempt(KEY, &request(), 60_000_000, None);
    let (stream, _) = listener.accept().expect("a connection");
    wait_for_bytes(&stream);
    transport.cancel_attempt(KEY);
    let deadline = Instant::now() + TIMEOUT;
    while transport.idle_since().is_none() {
        assert!(Instant::now() < deadline, "the call is not cancelled");
        std::thread::sleep(CHECK_INTERVAL);
    }
    transport.close_longest_idle();
    let mut other = frames(listener.local_addr().expect("bound"), mpsc::channel().0);
    wait_for_reset(&stream, &mut *other);
}

/// Guards against the same with KServe v2 workers, whose connection is closed to give a call up.
#[rstest]
#[case::cancelled(true)]
#[case::past_its_deadline(false)]
fn a_kserve_connection_is_reset_when_its_call_is_given_up(#[case] cancelled: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, _reports) = mpsc::channel();
    let mut transport = kserve(listener.local_addr().expect("bound"), queue);
    let budget = if cancelled { 60_000_000 } else { 50_000 };
    transport.send_attempt(KEY, &request(), budget, None);
    let (stream, _) = listener.accept().expect("a connection");
    if cancelled {
        wait_for_bytes(&stream);
        transport.cancel_attempt(KEY);
    }
    wait_for_reset(&stream, &mut *transport);
}
