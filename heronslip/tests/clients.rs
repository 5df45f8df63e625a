//! Edge cases of client connections at the FastCGI server. The test takes the place of the core.
mod common;

use common::{
    connect, fastcgi_call, fastcgi_record, fastcgi_request, read_fastcgi_response, start_fastcgi_server,
    start_server, test_context, TIMEOUT,
};
use heronslip::connection_limiter::ConnectionPermit;
use heronslip::messages::{Client, Message, Payload, Response};
use heronslip::net::Socket;
use heronslip::server::{fastcgi, kserve, ServerContext};
use rstest::rstest;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// FastCGI protocol status of a request that is rejected for lack of capacity.
const OVERLOADED: u8 = 2;
/// Length of a FastCGI record header, which is all of the empty record that ends a request.
const RECORD_HEADER: usize = 8;

/// An inference request of a KServe v2 client.
const INFER: &[u8] = b"POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nContent-Length: 54\r\n\r\n\
    {\"parameters\":{\"class\":\"tile-render\",\"tenant\":\"acme\"}}";

/// The next request that reaches the core: its body, its client and its tag.
fn next_request(queue: &Receiver<Message>) -> (Vec<u8>, Arc<dyn Client>, u64) {
    loop {
        if let Message::Request { request, client, tag } = queue.recv_timeout(TIMEOUT).expect("a request") {
            return (request.payload.bytes().to_vec(), client, tag);
        }
    }
}

/// Requests are rejected for lack of memory while they are still being read. The bytes discarded of each
/// request must count for that request alone: added up they would close the connection, with the open request
/// on it.
#[test]
fn rejected_partial_requests_leave_the_connection_open() {
    let (context, queue) = test_context(|limits| limits.buffered_bytes = 2_000);
    let mut client = connect(start_fastcgi_server(&context));
    client.write_all(&fastcgi_call(9, "00000000000000a9", "9000", "open")).expect("written");
    assert_eq!(next_request(&queue).0, b"open");
    for id in 10..24 {
        client
            .write_all(&fastcgi_call(id, "00000000000000a1", "9000", &"x".repeat(15_000)))
            .expect("written");
        assert_eq!(read_fastcgi_response(&mut client).expect("a response").2, OVERLOADED);
    }
    client.write_all(&fastcgi_call(1, "00000000000000a2", "9000", "last")).expect("written");
    assert_eq!(next_request(&queue).0, b"last");
}

/// Guards against a served request of a client whose last parameter announces more bytes than it sends.
#[rstest]
#[case::without_a_value_length(&[4])]
#[case::long_value(&[4, 200, b'n', b'a', b'm', b'e', b'v'])]
#[case::huge_value(&[4, 0xff, 0xff, 0xff, 0xff, b'n', b'a', b'm', b'e', b'v'])]
#[case::huge_name(&[0xff, 0xff, 0xff, 0xff, 1, b'n'])]
fn a_request_whose_last_parameter_is_cut_off_fails(#[case] cut_off: &[u8]) {
    const PARAMS: u8 = 4;
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    let request = fastcgi_call(1, "00000000000000a1", "9000", "bad");
    let end_of_params = fastcgi_record(PARAMS, 1, &[]);
    let end = request.windows(RECORD_HEADER).position(|w| w == end_of_params).expect("an end");
    let cut_off = fastcgi_record(PARAMS, 1, cut_off);
    client.write_all(&[&request[..end], &cut_off, &request[end..]].concat()).expect("written");
    let (head, _, _) = read_fastcgi_response(&mut client).expect("a response");
    assert_eq!(head.lines().next(), Some("Status: 400 Bad Request"));
    client.write_all(&fastcgi_call(2, "00000000000000a2", "9000", "good")).expect("written");
    assert_eq!(next_request(&queue).0, b"good");
}

/// A request is rejected while it is still being read. Its client stops sending it and uses its FastCGI id
/// again.
#[test]
fn the_id_of_a_rejected_partial_request_can_be_used_again() {
    let (context, queue) = test_context(|limits| limits.buffered_bytes = 2_000);
    let mut client = connect(start_fastcgi_server(&context));
    let request = fastcgi_call(1, "00000000000000a1", "9000", &"x".repeat(15_000));
    client.write_all(&request[..request.len() - RECORD_HEADER]).expect("written");
    assert_eq!(read_fastcgi_response(&mut client).expect("a response").2, OVERLOADED);
    client.write_all(&fastcgi_call(1, "00000000000000a2", "9000", "again")).expect("written");
    assert_eq!(next_request(&queue).0, b"again");
}

/// The limit on client connections is reached when another client connects. A client that is sending its next
/// request must keep its connection.
#[test]
fn a_client_keeps_its_connection_while_it_sends() {
    let (context, queue) = test_context(|limits| limits.client_connections = 1);
    let address = start_fastcgi_server(&context);
    let mut client = connect(address);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "first")).expect("written");
    let (_, receiver, tag) = next_request(&queue);
    receiver.respond(tag, Response::Refused { retry_after: 0 });
    assert!(read_fastcgi_response(&mut client).expect("a response").0.starts_with("Status: 503"));
    let next = fastcgi_call(2, "00000000000000a2", "9000", "next");
    let (begin, rest) = next.split_at(20);
    client.write_all(begin).expect("written");
    let deadline = Instant::now() + TIMEOUT;
    while context.incoming_requests.load(Ordering::Acquire) == 0 {
        assert!(Instant::now() < deadline, "the first part is not read");
        std::thread::yield_now();
    }
    let mut other = connect(address);
    assert_eq!(other.read(&mut [0]).unwrap_or(0), 0, "it must not get a permit");
    client.write_all(rest).expect("written");
    assert_eq!(next_request(&queue).0, b"next");
}

/// Guards against requests without a response: all connections have open requests, and those of further clients
/// were closed unread.
#[rstest]
#[case::fastcgi(fastcgi::serve, fastcgi_call(1, "00000000000000b1", "9000", "x"))]
#[case::kserve(kserve::serve, INFER.to_vec())]
fn clients_beyond_the_limit_on_connections_are_refused(
    #[case] serve: fn(Socket, &ServerContext, ConnectionPermit), #[case] request: Vec<u8>,
) {
    let (context, queue) = test_context(|limits| limits.client_connections = 8);
    let address = start_server(&context, serve);
    let open: Vec<_> = (0..context.limits.client_connections)
        .map(|_| {
            let mut client = connect(address);
            client.write_all(&request).expect("written");
            (next_request(&queue), client)
        })
        .collect();
    for _ in 0..3 {
        let mut client = connect(address);
        client.write_all(&request).expect("written");
        let mut response = Vec::new();
        client.read_to_end(&mut response).expect("a response and a close");
        let is_refused = match fastcgi_end_status(&response) {
            Some(status) => status == OVERLOADED,
            None => response.starts_with(b"HTTP/1.1 503 "),
        };
        assert!(is_refused, "{}", String::from_utf8_lossy(&response));
    }
    drop(open);
}

/// The protocol status in a response that is one END_REQUEST record.
fn fastcgi_end_status(response: &[u8]) -> Option<u8> {
    const END_REQUEST: u8 = 3;
    let (header, content) = response.split_first_chunk::<RECORD_HEADER>()?;
    (header[..2] == [1, END_REQUEST]).then(|| content[4])
}

/// A client half-closes its connection without reading its responses. The permit must not be released while
/// they are still being written, since the descriptor is in use as long.
#[test]
fn a_permit_is_held_until_its_connection_is_closed() {
    let (context, queue) = test_context(|limits| {
        limits.client_connections = 1;
        limits.max_unsent_per_connection = limits.buffered_bytes;
    });
    let mut client = connect(start_fastcgi_server(&context));
    let requests = fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b"").repeat(500);
    // Until the socket accepts no more responses; far below the limit of unsent bytes for one client.
    while context.unsent_bytes.load(Ordering::Acquire) < 100_000 {
        client.write_all(&requests).expect("written");
    }
    client.shutdown(std::net::Shutdown::Write).expect("open");
    while !matches!(
        queue.recv_timeout(TIMEOUT).expect("the disconnection"),
        Message::ClientDisconnected { .. }
    ) {}
    assert!(context.unsent_bytes.load(Ordering::Acquire) > 0, "responses are still being written");
    assert!(context.connection_limiter.acquire().is_none(), "two connections with one permit");
    client.read_to_end(&mut Vec::new()).expect("the rest");
    let deadline = Instant::now() + TIMEOUT;
    while context.connection_limiter.acquire().is_none() {
        assert!(Instant::now() < deadline, "the permit is not released");
        std::thread::yield_now();
    }
}

/// Other clients' requests use up the memory budget. A client that reads its responses must still get them.
#[test]
fn responses_are_sent_while_requests_exhaust_the_memory_budget() {
    let (context, queue) = test_context(|limits| {
        (limits.buffered_bytes, limits.guaranteed_per_connection) = (40_000, 0);
    });
    let address = start_fastcgi_server(&context);
    let (mut client, mut other) = (connect(address), connect(address));
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "x")).expect("written");
    client.write_all(&fastcgi_call(2, "00000000000000a2", "9000", "y")).expect("written");
    let ((_, receiver, first), (_, _, second)) = (next_request(&queue), next_request(&queue));
    let request = fastcgi_call(1, "00000000000000a3", "9000", &"z".repeat(7_900));
    other.write_all(&request[..request.len() - RECORD_HEADER]).expect("written");
    let deadline = Instant::now() + TIMEOUT;
    while context.memory_budget.used() < 9_500 {
        assert!(Instant::now() < deadline, "the body is not read: {}", context.memory_budget.used());
        std::thread::yield_now();
    }
    for tag in [first, second] {
        receiver.respond(tag, Response::Served(Payload::Bytes(vec![b'a'; 16_000])));
        let (head, body, _) = read_fastcgi_response(&mut client).expect("a response");
        assert!(head.starts_with("Status: 200") && body.len() == 16_000, "{head}");
    }
}

/// Guards against memory that grows without bound: a client whose connection is to close for its unread
/// responses goes on sending, and each further message leaves an entry in the queue of responses.
#[rstest]
#[case::fastcgi(fastcgi::serve, fastcgi_record(77, 0, b"unknown.").repeat(1_000))]
#[case::kserve(kserve::serve, b"GET /v2 HTTP/1.1\r\n\r\n".repeat(1_000))]
fn a_connection_that_closes_for_unread_responses_is_not_read_further(
    #[case] serve: fn(Socket, &ServerContext, ConnectionPermit), #[case] messages: Vec<u8>,
) {
    let (context, queue) = test_context(|limits| {
        limits.max_unsent_per_connection = 64 * 1024;
        limits.write_stall_timeout = Duration::from_secs(3_600); // the writer waits all the time
    });
    let mut client = connect(start_server(&context, serve));
    client.set_write_timeout(Some(Duration::from_millis(20))).expect("set");
    let done = Arc::new(AtomicBool::new(false));
    let sender_done = done.clone();
    let sender = std::thread::spawn(move || {
        let mut sent = 0;
        while !sender_done.load(Ordering::Acquire) {
            sent += client.write(&messages[sent..]).unwrap_or(0); // times out while the server does not read
            sent %= messages.len();
        }
    });
    let message = queue.recv_timeout(TIMEOUT);
    done.store(true, Ordering::Release);
    sender.join().expect("no panic");
    assert!(matches!(message, Ok(Message::ClientDisconnected { .. })), "the server reads on");
}

/// Guards against a queue without bound: a client takes its requests back at once, and sends the next ones while
/// the core has not got to the first.
#[test]
fn a_client_that_takes_requests_back_is_not_read_further_than_the_core_has_come() {
    const ABORT_REQUEST: u8 = 2;
    const SENT: usize = 400;
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    let request = fastcgi_call(1, "00000000000000a1", "9000", "x");
    client
        .write_all(&[request, fastcgi_record(ABORT_REQUEST, 1, &[])].concat().repeat(SENT))
        .expect("written");
    // Requests that are kept here wait for the core.
    let quiet = Duration::from_millis(300);
    let queued: Vec<Message> = std::iter::from_fn(|| queue.recv_timeout(quiet).ok()).collect();
    assert!(queued.len() < 4 * context.limits.requests_per_connection, "{} messages", queued.len());
    drop(queued);
    for _ in 0..SENT {
        queue.recv_timeout(TIMEOUT).expect("the rest is read once the core has caught up");
    }
}
