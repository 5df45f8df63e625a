//! The transport of frames against sockets: what it writes, and when it lets connections go.
mod common;

use common::stand_ins::hanging_listener;
use heronslip::limits::Limits;
use heronslip::messages::{AttemptKey, Message, Payload, Request};
use heronslip::worker::frames::{encode, Begin, Frames, Outgoing, Withheld};
use heronslip::worker::{Reports, Transport};
use heronslip_policy::{Outcome, Settings};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// A transport to this address, on one scheduler thread as the program has it.
fn frames(address: SocketAddr, limits: Limits, reports: mpsc::Sender<Message>) -> Frames {
    heronslip::net::schedule(&limits);
    Frames::new(address, Arc::new(limits), Reports(reports))
}

/// Guards rule 3: what still waits for a connection when its worker drains is never written.
#[test]
fn an_order_that_waits_for_a_connection_is_not_written_after_a_drain() {
    let (listener, fillers) = hanging_listener();
    let address = listener.local_addr().expect("bound");
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.connect = Duration::from_secs(20);
    let (queue, reports) = mpsc::channel();
    let mut transport = frames(address, limits, queue);
    transport.order(1, 7, 1, None);
    transport.retire();
    let accepted: Vec<TcpStream> = (0..=fillers.len()).map(|_| listener.accept().expect("one").0).collect();
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::Ordered(1, outcome, 0)) => assert_eq!(outcome, Outcome::NotSent),
        _ => panic!("the order did not end"),
    }
    drop((transport, fillers)); // closes every connection from this side
    for mut stream in accepted {
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("closed");
        assert!(got.is_empty(), "{got:?}");
    }
}

/// What a worker is told of the time left counts from when it is told: the connection may come up late.
#[test]
fn the_budget_of_a_call_counts_the_wait_for_its_connection() {
    let (listener, fillers) = hanging_listener();
    let address = listener.local_addr().expect("bound");
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.connect = Duration::from_secs(20);
    let (queue, _reports) = mpsc::channel();
    let mut transport = frames(address, limits, queue);
    let since = Instant::now();
    let budget = Duration::from_secs(60);
    let key = AttemptKey { request: 1, attempt: 0 };
    transport.send(key, &request(9), budget.as_micros() as u64, None);
    std::thread::sleep(Duration::from_millis(500));
    let waited = since.elapsed();
    drop(fillers); // their ends are read as empty connections
    let told = loop {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut first = [0];
        if stream.peek(&mut first).is_ok_and(|n| n > 0) {
            let (_, _, fields) = command(&mut stream);
            let told = fields.split("budget=").nth(1).expect("a budget").to_owned();
            break told.split(',').next().expect("a figure").parse().expect("a number");
        }
    };
    assert!(Duration::from_millis(told) <= budget - waited, "{told} ms are told after {waited:?}");
}

/// Guards descriptors: an order that gets no answer must not hold its connection for ever.
#[test]
fn a_connection_whose_order_was_lost_closes_after_it_lapsed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (queue, _reports) = mpsc::channel();
    let mut transport = frames(address, Limits::new(192, 1024, &Settings::default()), queue);
    transport.order(1, 7, 1, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.read_exact(&mut [0; 52]).expect("the order");
    transport.lapse(1);
    transport.retire();
    let since = Instant::now();
    while !transport.is_idle() {
        assert!(since.elapsed() < Duration::from_secs(10), "still open");
        transport.sweep();
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(stream.read_to_end(&mut Vec::new()).expect("closed"), 0, "more than the order was written");
}

fn request(wire_id: u64) -> Arc<Request> {
    Arc::new(Request {
        wire_id,
        class: "tile-render".to_owned(),
        tenant: String::new(),
        function: 7,
        wait: 1_000_000,
        read_at: Instant::now(),
        token: None,
        retry: false,
        memory_mb: 0.0,
        lanes: 1,
        load_time: 0,
        payload: Payload::Bytes(Vec::new()),
        held: None,
        reading: None,
    })
}

/// Reads a command off a connection: its code, id and fields.
fn command(stream: &mut TcpStream) -> (u8, u64, String) {
    let mut head = [0; 16];
    stream.read_exact(&mut head).expect("a command");
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    let mut rest = vec![0; fields + body + 4];
    stream.read_exact(&mut rest).expect("the rest of it");
    let id = u64::from_be_bytes(head[8..].try_into().expect("eight bytes"));
    (head[1], id, String::from_utf8_lossy(&rest[..fields]).into_owned())
}

fn reply(stream: &mut TcpStream, code: u8, id: u64, fields: &str) {
    let mut frame = vec![127, code];
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend([0; 4]);
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(crc32fast::hash(fields.as_bytes()).to_be_bytes());
    stream.write_all(&frame).expect("written");
}

/// The module spreads calls by what workers hold: an answer's load report must not stay behind on the way.
#[rstest]
#[case::the_settings_word("detail=resident,use=busy_reqs:2.5;x1:1", Some(2.5))]
#[case::the_protocols_word("use=x1:3;inflight:7", Some(7.0))]
#[case::none("detail=resident", None)]
#[case::no_number("use=busy_reqs:many", None)]
fn the_load_report_of_an_answer_is_passed_on(#[case] fields: &str, #[case] told: Option<f64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (queue, reports) = mpsc::channel();
    let mut transport = frames(address, Limits::new(192, 1024, &Settings::default()), queue);
    transport.send(AttemptKey { request: 1, attempt: 0 }, &request(9), 1_000_000, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    let (_, id, _) = command(&mut stream);
    reply(&mut stream, 203, id, fields);
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::Ended(_, report)) => assert_eq!(report.inflight, told),
        _ => panic!("the attempt did not end"),
    }
}

/// Bytes that leave, in pieces of this size.
fn leave(outgoing: &mut Outgoing, mut bytes: usize) -> Vec<u8> {
    let mut left = Vec::new();
    while bytes > 0 && !outgoing.is_empty() {
        let n = outgoing.front().len().min(bytes);
        left.extend(&outgoing.front()[..n]);
        outgoing.wrote(n);
        bytes -= n;
    }
    left
}

/// The worker drains while the socket takes nothing more: calls of which no byte has left are taken back, and what
/// has begun, what gives others up and what only asks still goes, whole and in order.
#[test]
fn a_drain_takes_back_unbegun_calls_and_nothing_else() {
    let frame = |code, id| encode(code, id, "queue=c,path=7", b"body");
    let (begun, unbegun, give_up) = (frame(2, 1), frame(2, 2), encode(3, 9, "", b""));
    let (question, last) = (frame(6, 3), frame(2, 4));
    let (new, now) = (Begin::WhileReady { until: None }, Instant::now());
    let mut outgoing = Outgoing::new(4096);
    outgoing.push(&begun, Some((1, new)));
    outgoing.push(&unbegun, Some((2, new)));
    outgoing.push(&give_up, None);
    outgoing.push(&question, Some((3, Begin::AnyTime)));
    outgoing.push(&last, Some((4, new)));
    let mut left = leave(&mut outgoing, 5);
    let end = (begun.len() + give_up.len() + question.len()) as u64;
    assert_eq!(outgoing.withhold(true, now), Withheld { ids: vec![2, 4], moved: vec![(3, end)] });
    assert_eq!(outgoing.withhold(true, now), Withheld::default(), "once");
    left.extend(leave(&mut outgoing, usize::MAX));
    assert_eq!(left, [begun, give_up, question].concat());
}

fn ended(reports: &mpsc::Receiver<Message>) -> (AttemptKey, Outcome) {
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::Ended(key, report)) => (key, report.outcome),
        _ => panic!("no attempt ended"),
    }
}

/// A client takes a call back and sends another under its id at once, or after it was served: the answer to the
/// first, or its second copy, must not end the other. That one is not sent where the first was.
#[rstest]
#[case::given_up(false)]
#[case::served(true)]
fn an_id_is_not_used_again_where_its_answer_may_still_come(#[case] served: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, reports) = mpsc::channel();
    let limits = Limits::new(192, 1024, &Settings::default());
    let mut transport = frames(listener.local_addr().expect("bound"), limits, queue);
    let [first, second] = [1, 2].map(|request| AttemptKey { request, attempt: 0 });
    transport.send(first, &request(9), 1_000_000, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    assert_eq!(command(&mut stream).0, 2);
    if served {
        reply(&mut stream, 200, 9, "");
        assert_eq!(ended(&reports), (first, Outcome::Ok));
    } else {
        transport.cancel(first);
        assert_eq!(command(&mut stream).0, 3);
    }
    transport.send(second, &request(9), 1_000_000, None);
    reply(&mut stream, 200, 9, ""); // the answer to the first crosses
    assert_eq!(ended(&reports), (second, Outcome::NotSent));
}

/// Turned away unseen, a call may come back to the same worker, on the same connection, under its id.
#[test]
fn a_call_turned_away_may_come_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, reports) = mpsc::channel();
    let limits = Limits::new(192, 1024, &Settings::default());
    let mut transport = frames(listener.local_addr().expect("bound"), limits, queue);
    let mut stream = None;
    for (attempt, (code, outcome)) in [(203, Outcome::Rejected), (200, Outcome::Ok)].into_iter().enumerate() {
        let key = AttemptKey { request: 1, attempt };
        transport.send(key, &request(9), 1_000_000, None);
        let stream = stream.get_or_insert_with(|| listener.accept().expect("a connection").0);
        assert_eq!(command(stream).0, 2);
        reply(stream, code, 9, "");
        assert_eq!(ended(&reports), (key, outcome));
    }
}
