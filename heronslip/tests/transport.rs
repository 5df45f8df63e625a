//! The transports to workers: what they write, what they remove before it is written, and when they close
//! connections.
mod common;

use common::stand_ins::saturated_listener;
use common::{code, report_sender};
use heronslip::limits::Limits;
use heronslip::memory::MemoryBudget;
use heronslip::messages::{AttemptKey, Message, Payload, Request};
use heronslip::worker::frames::{encode, FrameTransport, RemovedFrames, StartCondition, WriteQueue};
use heronslip::worker::kserve::KserveTransport;
use heronslip::worker::{ReportSender, Transport};
use heronslip_policy::{Outcome, Settings};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// A transport to this address. It runs on one scheduler thread, as in the program.
fn frame_transport(address: SocketAddr, limits: Limits, reports: mpsc::Sender<Message>) -> FrameTransport {
    heronslip::net::configure_scheduler(&limits);
    FrameTransport::new(address, Arc::new(limits), report_sender(reports))
}

/// Rule 3 (a worker that drains gets no new work): a load command that still waits for its connection is not
/// written.
#[test]
fn a_load_command_that_waits_for_a_connection_is_not_written_after_a_drain() {
    let (listener, fillers) = saturated_listener();
    let address = listener.local_addr().expect("bound");
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.connect_timeout = Duration::from_secs(20);
    let (queue, reports) = mpsc::channel();
    let mut transport = frame_transport(address, limits, queue);
    transport.send_load(1, 7, 1, None);
    transport.retire();
    let accepted: Vec<TcpStream> = (0..=fillers.len()).map(|_| listener.accept().expect("one").0).collect();
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::LoadEnded { command: 1, outcome, copies: 0 }) => assert_eq!(outcome, Outcome::NotSent),
        _ => panic!("the load command did not end"),
    }
    drop((transport, fillers)); // closes every connection from this side
    for mut stream in accepted {
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("closed");
        assert!(got.is_empty(), "{got:?}");
    }
}

/// A connect may take long: the budget in a call is the time that remains when the call is written.
#[test]
fn the_budget_of_a_call_excludes_the_wait_for_its_connection() {
    let (listener, fillers) = saturated_listener();
    let address = listener.local_addr().expect("bound");
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.connect_timeout = Duration::from_secs(20);
    let (queue, _reports) = mpsc::channel();
    let mut transport = frame_transport(address, limits, queue);
    let since = Instant::now();
    let budget = Duration::from_secs(60);
    let key = AttemptKey { request: 1, attempt: 0 };
    transport.send_attempt(key, &request(9), budget.as_micros() as u64, None);
    std::thread::sleep(Duration::from_millis(500));
    let waited = since.elapsed();
    drop(fillers); // these are accepted as connections without data
    let written_ms = loop {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut first = [0];
        if stream.peek(&mut first).is_ok_and(|n| n > 0) {
            let (_, _, fields) = read_command(&mut stream);
            let rest = fields.split("budget=").nth(1).expect("a budget").to_owned();
            break rest.split(',').next().expect("a value").parse().expect("a number");
        }
    };
    assert!(Duration::from_millis(written_ms) <= budget - waited, "{written_ms} ms after {waited:?}");
}

/// A load command without a reply must not keep its connection, and thus a descriptor, forever.
#[test]
fn a_connection_closes_after_its_load_command_was_abandoned() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (queue, _reports) = mpsc::channel();
    let mut transport = frame_transport(address, Limits::new(192, 1024, &Settings::default()), queue);
    transport.send_load(1, 7, 1, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.read_exact(&mut [0; 52]).expect("the load command");
    transport.abandon(1);
    transport.retire();
    let since = Instant::now();
    while !transport.is_idle() {
        assert!(since.elapsed() < Duration::from_secs(10), "still open");
        transport.sweep();
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        stream.read_to_end(&mut Vec::new()).expect("closed"),
        0,
        "more than the load command was written"
    );
}

fn frames(address: SocketAddr, limits: Limits, reports: mpsc::Sender<Message>) -> Box<dyn Transport> {
    Box::new(frame_transport(address, limits, reports))
}

fn kserve(address: SocketAddr, limits: Limits, reports: mpsc::Sender<Message>) -> Box<dyn Transport> {
    heronslip::net::configure_scheduler(&limits);
    Box::new(KserveTransport::new(address, Arc::new(limits), report_sender(reports)))
}

/// Guards against requests that run twice: an attempt waits for its connection until after its start deadline,
/// when workers no longer know the key of the attempt that it repeats.
#[rstest]
#[case::frames(frames)]
#[case::kserve(kserve)]
fn an_attempt_that_waits_for_a_connection_is_not_written_after_its_start_deadline(
    #[case] new_transport: fn(SocketAddr, Limits, mpsc::Sender<Message>) -> Box<dyn Transport>,
) {
    let (listener, fillers) = saturated_listener();
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.connect_timeout = Duration::from_secs(20);
    let (queue, reports) = mpsc::channel();
    let mut transport = new_transport(listener.local_addr().expect("bound"), limits, queue);
    let start_deadline = Instant::now() + Duration::from_millis(50);
    let key = AttemptKey { request: 1, attempt: 0 };
    transport.send_attempt(key, &request(9), 15_000_000, Some(start_deadline));
    std::thread::sleep(start_deadline.saturating_duration_since(Instant::now()));
    let _accepted: Vec<TcpStream> = (0..=fillers.len()).map(|_| listener.accept().expect("one").0).collect();
    assert_eq!(attempt_end(&reports), (key, Outcome::NotSent));
}

fn request(wire_id: u64) -> Arc<Request> {
    Arc::new(Request {
        wire_id,
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

/// Reads a command: its code, id and fields.
fn read_command(stream: &mut TcpStream) -> (u8, u64, String) {
    let mut head = [0; 16];
    stream.read_exact(&mut head).expect("a command");
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    let mut rest = vec![0; fields + body + 4];
    stream.read_exact(&mut rest).expect("the rest of it");
    let id = u64::from_be_bytes(head[8..].try_into().expect("eight bytes"));
    (head[1], id, String::from_utf8_lossy(&rest[..fields]).into_owned())
}

/// Writes a reply without a body.
fn write_reply(stream: &mut TcpStream, code: u8, id: u64, fields: &str) {
    let mut frame = vec![127, code];
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend([0; 4]);
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(crc32fast::hash(fields.as_bytes()).to_be_bytes());
    stream.write_all(&frame).expect("written");
}

/// The policy balances calls by the number of requests in flight that workers report, so the transport must
/// pass it on.
#[rstest]
#[case::name_in_the_settings("detail=resident,use=busy_reqs:2.5;x1:1", Some(2.5))]
#[case::name_in_the_protocol("use=x1:3;inflight:7", Some(7.0))]
#[case::not_reported("detail=resident", None)]
#[case::not_a_number("use=busy_reqs:many", None)]
fn the_reported_number_of_requests_is_passed_on(#[case] fields: &str, #[case] inflight: Option<f64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (queue, reports) = mpsc::channel();
    let mut transport = frame_transport(address, Limits::new(192, 1024, &Settings::default()), queue);
    transport.send_attempt(AttemptKey { request: 1, attempt: 0 }, &request(9), 1_000_000, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    let (_, id, _) = read_command(&mut stream);
    write_reply(&mut stream, code::REJECTED, id, fields);
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::AttemptEnded { report, .. }) => assert_eq!(report.inflight, inflight),
        _ => panic!("the attempt did not end"),
    }
}

/// Takes up to this many bytes from the queue, as if they were written.
fn write_out(queue: &mut WriteQueue, mut bytes: usize) -> Vec<u8> {
    let mut written = Vec::new();
    while bytes > 0 && !queue.is_empty() {
        let n = queue.front().len().min(bytes);
        written.extend(&queue.front()[..n]);
        queue.consume(n);
        bytes -= n;
    }
    written
}

/// The worker drains while the socket is not writable. Calls of which no byte has been written are removed.
/// Calls that have been written in part, cancels and copy queries stay, complete and in order.
#[test]
fn a_drain_removes_unstarted_calls_and_nothing_else() {
    let frame = |frame_code, id| encode(frame_code, id, "queue=c,path=7", b"body");
    let (started, unstarted, cancel) =
        (frame(code::CALL, 1), frame(code::CALL, 2), encode(code::CANCEL, 9, "", b""));
    let (query, last) = (frame(code::LOAD, 3), frame(code::CALL, 4));
    let (while_ready, now) = (StartCondition::WhileReady { deadline: None }, Instant::now());
    let mut queue = WriteQueue::new(4096);
    queue.push(&started, Some((1, while_ready)));
    queue.push(&unstarted, Some((2, while_ready)));
    queue.push(&cancel, None);
    queue.push(&query, Some((3, StartCondition::Always)));
    queue.push(&last, Some((4, while_ready)));
    let mut written = write_out(&mut queue, 5);
    let end = (started.len() + cancel.len() + query.len()) as u64;
    assert_eq!(queue.remove_expired(true, now), RemovedFrames { ids: vec![2, 4], moved: vec![(3, end)] });
    assert_eq!(queue.remove_expired(true, now), RemovedFrames::default(), "they are removed once");
    written.extend(write_out(&mut queue, usize::MAX));
    assert_eq!(written, [started, cancel, query].concat());
}

/// The client of a call has left while the socket is not writable. The call is removed, unless a byte of it has
/// been written.
#[test]
fn an_unstarted_call_is_removed_alone() {
    let call = |id| encode(code::CALL, id, "queue=c,path=7", b"body");
    let while_ready = StartCondition::WhileReady { deadline: None };
    let mut queue = WriteQueue::new(4096);
    for id in 1..=3 {
        queue.push(&call(id), Some((id, while_ready)));
    }
    let mut written = write_out(&mut queue, 5);
    assert_eq!(queue.remove_unstarted(1), RemovedFrames::default(), "it has been begun");
    let end = 2 * call(1).len() as u64;
    assert_eq!(queue.remove_unstarted(2), RemovedFrames { ids: vec![2], moved: vec![(3, end)] });
    written.extend(write_out(&mut queue, usize::MAX));
    assert_eq!(written, [call(1), call(3)].concat());
}

/// Waits for the end of an attempt.
fn attempt_end(reports: &mpsc::Receiver<Message>) -> (AttemptKey, Outcome) {
    match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::AttemptEnded { key, report }) => (key, report.outcome),
        _ => panic!("no attempt ended"),
    }
}

/// A client cancels a call and reuses its id at once, or reuses the id of a served call. A reply to the first
/// call (or a repeated one) must not end the second, so the second is not sent on that connection.
#[rstest]
#[case::cancelled(false)]
#[case::served(true)]
fn an_id_is_not_reused_where_its_reply_may_still_come(#[case] served: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, reports) = mpsc::channel();
    let limits = Limits::new(192, 1024, &Settings::default());
    let mut transport = frame_transport(listener.local_addr().expect("bound"), limits, queue);
    let [first, second] = [1, 2].map(|request| AttemptKey { request, attempt: 0 });
    transport.send_attempt(first, &request(9), 1_000_000, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    assert_eq!(read_command(&mut stream).0, code::CALL);
    if served {
        write_reply(&mut stream, code::OK, 9, "");
        assert_eq!(attempt_end(&reports), (first, Outcome::Ok));
    } else {
        transport.cancel_attempt(first);
        assert_eq!(read_command(&mut stream).0, code::CANCEL);
    }
    transport.send_attempt(second, &request(9), 1_000_000, None);
    write_reply(&mut stream, code::OK, 9, ""); // the reply to the first call
    assert_eq!(attempt_end(&reports), (second, Outcome::NotSent));
}

/// A call that did not run may be sent again to the same worker under its id. Guards against a call that runs
/// twice: a second copy of the reply to the first attempt must not end the second, so that goes over a connection
/// of its own.
#[rstest]
#[case::not_loaded(code::NOT_LOADED, Outcome::Miss)]
#[case::rejected(code::REJECTED, Outcome::Rejected)]
#[case::expired(code::EXPIRED, Outcome::NotSent)]
fn a_call_that_did_not_run_is_sent_again_on_another_connection(
    #[case] reply_code: u8, #[case] outcome: Outcome,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (queue, reports) = mpsc::channel();
    let limits = Limits::new(192, 1024, &Settings::default());
    let mut transport = frame_transport(listener.local_addr().expect("bound"), limits, queue);
    let [first, second] = [0, 1].map(|attempt| AttemptKey { request: 1, attempt });
    let other = AttemptKey { request: 2, attempt: 0 };
    transport.send_attempt(first, &request(9), 60_000_000, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    assert_eq!(read_command(&mut stream).0, code::CALL);
    write_reply(&mut stream, reply_code, 9, "");
    assert_eq!(attempt_end(&reports), (first, outcome));
    transport.send_attempt(second, &request(9), 60_000_000, None);
    write_reply(&mut stream, reply_code, 9, ""); // the second copy
    transport.send_attempt(other, &request(8), 60_000_000, None);
    let id = loop {
        let (command, id, _) = read_command(&mut stream);
        if command == code::CALL {
            break id;
        }
    };
    assert_eq!(id, 8, "the call was sent again where a copy of its reply may come");
    write_reply(&mut stream, code::OK, 8, ""); // read after the copy
    assert_eq!(attempt_end(&reports), (other, Outcome::Ok));
    let (mut second_stream, _) = listener.accept().expect("another connection");
    assert_eq!(read_command(&mut second_stream).0, code::CALL);
    write_reply(&mut second_stream, code::OK, 9, "");
    assert_eq!(attempt_end(&reports), (second, Outcome::Ok));
}

/// A call to a KServe worker carries these headers, letter for letter: a worker ignores a header under
/// another name, and no error shows that it does not know its budget.
#[rstest]
#[case::wrapped_body(Payload::Bytes(b"body".to_vec()))]
#[case::json_body(Payload::Json(br#"{"inputs":[]}"#.to_vec()))]
fn a_call_to_a_kserve_worker_carries_its_headers(#[case] payload: Payload) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let limits = Limits::new(192, 1024, &Settings::default());
    heronslip::net::configure_scheduler(&limits);
    let (queue, _reports) = mpsc::channel();
    let mut transport = KserveTransport::new(address, Arc::new(limits), report_sender(queue));
    let mut request = request(9);
    Arc::get_mut(&mut request).expect("not shared yet").payload = payload;
    // Sent as 60,000 ms: rounding up would tell the worker of more time than is left.
    let budget_us = 60_000_999;
    transport.send_attempt(AttemptKey { request: 1, attempt: 0 }, &request, budget_us, None);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a head");
        head.extend(byte);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).expect("a length");
    let expected = format!(
        "POST /v2/models/0000000000000007/infer HTTP/1.1\r\nHost: {address}\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\nX-Budget-Ms: 60000\r\n\r\n"
    );
    assert_eq!(head, expected);
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).expect("a body of this length");
    let body = String::from_utf8(body).expect("text");
    assert!(heronslip_policy::json::parse(&body).is_ok(), "{body}");
}

/// Guards against memory over the limit: many workers send a part of a large reply each. Connections whose replies
/// do not fit close; the others go on.
#[test]
fn replies_that_arrive_in_part_stay_within_their_memory() {
    const REPLY_MEMORY: usize = 1 << 20;
    const WORKERS: u64 = 8;
    let mut limits = Limits::new(192, 1024, &Settings::default());
    limits.reply_stall_timeout = Duration::from_secs(3_600);
    heronslip::net::configure_scheduler(&limits);
    let limits = Arc::new(limits);
    let (budget, (queue, reports)) = (MemoryBudget::new(REPLY_MEMORY), mpsc::channel());
    let sender = ReportSender::new(queue, budget.open_account(0));
    let mut open = Vec::new();
    for id in 1..=WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut transport = FrameTransport::new(address, limits.clone(), sender.clone());
        transport.send_attempt(AttemptKey { request: id, attempt: 0 }, &request(id), 60_000_000, None);
        let (mut stream, _) = listener.accept().expect("a connection");
        assert_eq!(read_command(&mut stream).0, code::CALL);
        let part = &common::reply_frame(code::OK, id, "", &vec![b'r'; 600_000])[..400_000];
        let _ = stream.write_all(part); // the connection may close first
        open.push((transport, stream));
    }
    for _ in 0..WORKERS / 2 {
        assert_eq!(attempt_end(&reports).1, Outcome::Reset);
    }
    assert!(budget.used() <= REPLY_MEMORY, "{} bytes", budget.used());
}
