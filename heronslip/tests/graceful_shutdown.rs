//! Graceful shutdown: connections that wait to be accepted, and requests on their way between coroutines. The
//! tests block coroutines to force the order of events.
mod common;

use common::{connect, fastcgi_request, start_fastcgi_server, test_context, TIMEOUT};
use heronslip::connection_limiter::ConnectionPermit;
use heronslip::messages::Message;
use heronslip::net::{spawn, Socket};
use heronslip::server::{accept_connections, Acceptor, ServerContext};
use may::net::TcpListener;
use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Where the first call of `block_then_write` reports that it runs and waits to be released.
static GATE: Mutex<Option<(Sender<()>, Receiver<()>)>> = Mutex::new(None);

/// Blocks the scheduler's only thread at the gate on its first call, then writes one byte.
fn block_then_write(mut stream: Socket, _: &ServerContext, _permit: ConnectionPermit) {
    if let Some((arrived, released)) = GATE.lock().expect("not poisoned").take() {
        arrived.send(()).expect("the receiver is alive");
        released.recv().expect("released");
    }
    stream.write_within(b"1", TIMEOUT).expect("written");
    let _ = stream.read(&mut [0]); // until the client closes the connection
}

/// Connections wait to be accepted when the listeners are about to close: all of them must be accepted first.
/// A listener that closes earlier resets them, and their requests are lost.
#[test]
fn waiting_connections_are_accepted_before_the_listener_closes() {
    let (context, _queue) = test_context(|limits| limits.shutdown_listen_time = TIMEOUT);
    let acceptor = Acceptor::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
    let address = acceptor.listener.local_addr().expect("bound");
    let ((release, released), (arrive, arrived)) = (channel(), channel());
    *GATE.lock().expect("not poisoned") = Some((arrive, released));
    let (accepting, server_context) = (acceptor.clone(), context.clone());
    spawn(64 * 1024, move || accept_connections(&accepting, &server_context, "test", block_then_write))
        .expect("a coroutine");
    let mut clients = vec![connect(address)];
    arrived.recv_timeout(TIMEOUT).expect("the first connection is accepted");
    clients.extend((1..20).map(|_| connect(address)));
    let closing = std::thread::spawn({
        let (acceptor, context) = (acceptor.clone(), context.clone());
        move || heronslip::shutdown::close_listeners(&[acceptor], &context)
    });
    // Without the wait for pending connections the listener would close within this time. With it the
    // listener stays open until the gate opens.
    let deadline = Instant::now() + Duration::from_millis(300);
    while Instant::now() < deadline && !closing.is_finished() {
        std::thread::yield_now();
    }
    assert!(context.closing.load(Ordering::Acquire), "closing has begun");
    release.send(()).expect("the receiver is alive");
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.read(&mut [0]).ok(), Some(1), "client {n}");
    }
    closing.join().expect("no panic");
    assert!(std::net::TcpStream::connect(address).is_err(), "the listener is still open");
}

/// A request that is queued for the core must count as incoming until the core has handled it. Otherwise a
/// shutdown could end before it is answered.
#[test]
fn a_request_queued_for_the_core_is_counted() {
    let (context, queue) = test_context(|_| ());
    let mut client = connect(start_fastcgi_server(&context));
    let params = [
        ("SCRIPT_NAME", "/v1/tile-render"),
        ("HTTP_REQ_ID", "00000000000000aa"),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_WAIT_MS", "900"),
        ("HTTP_REQ_KEY", common::FUNCTION),
    ];
    client.write_all(&fastcgi_request(1, &params, b"x")).expect("written");
    let message = queue.recv_timeout(TIMEOUT).expect("the queued request");
    assert!(matches!(message, Message::Request { .. }));
    // The reader is done with the first request once it has rejected the next one.
    client.write_all(&fastcgi_request(2, &[], b"")).expect("written");
    assert!(common::read_fastcgi_response(&mut client).expect("a response").0.starts_with("Status: 400"));
    let deadline = Instant::now() + TIMEOUT;
    while context.incoming_requests.load(Ordering::Acquire) > 1 && Instant::now() < deadline {
        std::thread::yield_now();
    }
    assert_eq!(context.incoming_requests.load(Ordering::Acquire), 1);
    drop(message);
    assert_eq!(context.incoming_requests.load(Ordering::Acquire), 0);
}
