//! Usual clients in unlucky moments, met by the FastCGI front; the test is the core.
mod common;

use common::{call, connect, context, fastcgi, fastcgi_answer, fastcgi_front, PATIENCE};
use heronslip::messages::{Client, Message, Payload, Response};
use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Instant;

/// The next request that reaches the core: its body, whom it is owed to and the tag.
fn taken(queue: &Receiver<Message>) -> (Vec<u8>, Arc<dyn Client>, u64) {
    loop {
        if let Message::Request { request, client, tag } = queue.recv_timeout(PATIENCE).expect("a request") {
            return (request.payload.bytes().to_vec(), client, tag);
        }
    }
}

/// Requests are turned away while they come, for want of room: what is passed over of each is its own, and does not
/// add up to an end of the connection and of what else is open there.
#[test]
fn requests_turned_away_while_they_come_leave_the_connection_open() {
    let (context, queue) = context(|limits| limits.buffered_bytes = 2_000);
    let mut client = connect(fastcgi_front(&context));
    client.write_all(&call(9, "00000000000000a9", "9000", "open")).expect("written");
    assert_eq!(taken(&queue).0, b"open");
    for id in 10..24 {
        client.write_all(&call(id, "00000000000000a1", "9000", &"x".repeat(15_000))).expect("written");
        assert_eq!(fastcgi_answer(&mut client).expect("an answer").2, 2, "overloaded");
    }
    client.write_all(&call(1, "00000000000000a2", "9000", "last")).expect("written");
    assert_eq!(taken(&queue).0, b"last");
}

/// A request is answered while it comes; its client sends no more of it and uses the id anew.
#[test]
fn an_id_answered_while_it_came_can_be_used_anew() {
    let (context, queue) = context(|limits| limits.buffered_bytes = 2_000);
    let mut client = connect(fastcgi_front(&context));
    let whole = call(1, "00000000000000a1", "9000", &"x".repeat(15_000));
    client.write_all(&whole[..whole.len() - 8]).expect("written"); // all but the record that ends it
    assert_eq!(fastcgi_answer(&mut client).expect("an answer").2, 2, "overloaded");
    client.write_all(&call(1, "00000000000000a2", "9000", "anew")).expect("written");
    assert_eq!(taken(&queue).0, b"anew");
}

/// All permits are taken and another client connects: one that is sending its next request keeps its connection.
#[test]
fn a_usual_client_keeps_its_permit_while_it_sends() {
    let (context, queue) = context(|limits| limits.client_connections = 1);
    let address = fastcgi_front(&context);
    let mut client = connect(address);
    client.write_all(&call(1, "00000000000000a1", "9000", "first")).expect("written");
    let (_, owed, tag) = taken(&queue);
    owed.respond(tag, Response::Refused { retry_after: 0 });
    assert!(fastcgi_answer(&mut client).expect("an answer").0.starts_with("Status: 503"));
    let next = call(2, "00000000000000a2", "9000", "next");
    let (begin, rest) = next.split_at(20);
    client.write_all(begin).expect("written");
    let until = Instant::now() + PATIENCE;
    while context.incoming_requests.load(Ordering::Acquire) == 0 {
        assert!(Instant::now() < until, "the part is not read");
        std::thread::yield_now();
    }
    let mut other = connect(address);
    assert_eq!(other.read(&mut [0]).unwrap_or(0), 0, "there is no permit for it");
    client.write_all(rest).expect("written");
    assert_eq!(taken(&queue).0, b"next");
}

/// A client leaves without reading what it asked for: while that is still being written, its permit is not given away.
#[test]
fn a_permit_is_taken_until_its_connection_is_closed() {
    let (context, queue) = context(|limits| limits.client_connections = 1);
    let mut client = connect(fastcgi_front(&context));
    let question = fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b"").repeat(500);
    // Until the socket takes no more answers; far below what may wait for one client.
    while context.unsent_bytes.load(Ordering::Acquire) < 100_000 {
        client.write_all(&question).expect("written");
    }
    client.shutdown(std::net::Shutdown::Write).expect("open");
    while !matches!(queue.recv_timeout(PATIENCE).expect("it has left"), Message::ClientDisconnected { .. }) {}
    assert!(context.unsent_bytes.load(Ordering::Acquire) > 0, "still being written");
    assert!(context.connection_limiter.acquire().is_none(), "two connections on one permit");
    client.read_to_end(&mut Vec::new()).expect("the rest");
    let until = Instant::now() + PATIENCE;
    while context.connection_limiter.acquire().is_none() {
        assert!(Instant::now() < until, "the permit is not given back");
        std::thread::yield_now();
    }
}

/// Others' requests fill the bytes held: what a client that reads is owed is still written to it.
#[test]
fn an_answer_comes_through_while_requests_fill_the_bytes_held() {
    let (context, queue) = context(|limits| limits.buffered_bytes = 9_000);
    let address = fastcgi_front(&context);
    let (mut client, mut other) = (connect(address), connect(address));
    client.write_all(&call(1, "00000000000000a1", "9000", "x")).expect("written");
    client.write_all(&call(2, "00000000000000a2", "9000", "y")).expect("written");
    let ((_, owed, tag), (_, _, next)) = (taken(&queue), taken(&queue));
    let whole = call(1, "00000000000000a3", "9000", &"z".repeat(7_900));
    other.write_all(&whole[..whole.len() - 8]).expect("written"); // all but the record that ends it
    let until = Instant::now() + PATIENCE;
    while context.memory_budget.used() < 8_000 {
        assert!(Instant::now() < until, "the body is not read");
        std::thread::yield_now();
    }
    for tag in [tag, next] {
        owed.respond(tag, Response::Served(Payload::Bytes(vec![b'a'; 2_000])));
        let (head, body, _) = fastcgi_answer(&mut client).expect("an answer");
        assert!(head.starts_with("Status: 200") && body.len() == 2_000, "{head}");
    }
}
