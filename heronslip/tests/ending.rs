//! A planned end, its parts held at gates: what has connected, and what is on its way between coroutines.
mod common;

use common::{connect, context, fastcgi, fastcgi_front, PATIENCE};
use heronslip::messages::Message;
use heronslip::net::{spawn, ConnectionPermit, Socket};
use heronslip::server::{accept_connections, Acceptor, ServerContext};
use may::net::TcpListener;
use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

static GATE: Mutex<Option<(Sender<()>, Receiver<()>)>> = Mutex::new(None);

/// Holds the scheduler's one thread at the gate, then says one byte.
fn say_one(mut stream: Socket, _: &ServerContext, _permit: ConnectionPermit) {
    if let Some((here, open)) = GATE.lock().expect("sound").take() {
        here.send(()).expect("awaited");
        open.recv().expect("opened");
    }
    stream.write_within(b"1", PATIENCE).expect("written");
    let _ = stream.read(&mut [0]); // until the client leaves
}

/// Connections wait to be accepted when the listener is to close: all of them are taken in first.
#[test]
fn what_has_connected_is_taken_in_before_the_listener_closes() {
    let (context, _queue) = context(|limits| limits.shutdown_listen_time = PATIENCE);
    let acceptor = Acceptor::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = acceptor.listener.local_addr().expect("bound");
    let ((open, opened), (here, arrived)) = (channel(), channel());
    *GATE.lock().expect("sound") = Some((here, opened));
    let (inside, within) = (acceptor.clone(), context.clone());
    spawn(64 * 1024, move || accept_connections(&inside, &within, "test", say_one)).expect("a coroutine");
    let mut clients = vec![connect(address)];
    arrived.recv_timeout(PATIENCE).expect("the first connection is taken");
    clients.extend((1..20).map(|_| connect(address)));
    let closing = std::thread::spawn({
        let (acceptor, context) = (acceptor.clone(), context.clone());
        move || heronslip::shutdown::close_listeners(&[acceptor], &context)
    });
    // A listener that does not wait is shut within this; one that waits is held by the gate, however long.
    let until = Instant::now() + Duration::from_millis(300);
    while Instant::now() < until && !closing.is_finished() {
        std::thread::yield_now();
    }
    assert!(context.closing.load(Ordering::Acquire), "it has begun to close");
    open.send(()).expect("awaited");
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.read(&mut [0]).ok(), Some(1), "client {n}");
    }
    closing.join().expect("closed");
    assert!(std::net::TcpStream::connect(address).is_err(), "it still listens");
}

/// A request that the reader has handed over and the core has not taken yet is still counted.
#[test]
fn a_request_on_its_way_to_the_core_is_counted() {
    let (context, queue) = context(|_| ());
    let mut client = connect(fastcgi_front(&context));
    let params = [
        ("SCRIPT_NAME", "/v1/any"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_WAIT_MS", "900"),
        ("HTTP_REQ_KEY", common::FUNCTION),
    ];
    client.write_all(&fastcgi(1, &params, b"x")).expect("written");
    let message = queue.recv_timeout(PATIENCE).expect("handed over");
    assert!(matches!(message, Message::Request { .. }));
    // The reader goes on to wait for more: its part is done once it has seen the next, bad one through.
    client.write_all(&fastcgi(2, &[], b"")).expect("written");
    assert!(common::fastcgi_answer(&mut client).expect("an answer").0.starts_with("Status: 400"));
    let until = Instant::now() + PATIENCE;
    while context.incoming_requests.load(Ordering::Acquire) > 1 && Instant::now() < until {
        std::thread::yield_now();
    }
    assert_eq!(context.incoming_requests.load(Ordering::Acquire), 1);
    drop(message);
    assert_eq!(context.incoming_requests.load(Ordering::Acquire), 0);
}
