//! Repeats of requests that may have run: workers drop them only within the deduplication window of their class.
mod common;

use common::discovery_server::{accept_request, bind_discovery_server};
use common::{
    code, connect, fastcgi_request, read_fastcgi_response, reply_frame, CommandFrame, ProgramConfig,
    TestProgram, SETTINGS, TIMEOUT,
};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Deduplication window of the class in these tests.
const WINDOW: Duration = Duration::from_millis(1_000);
const ACCEPT_QUEUE: i32 = 128;

/// A call that a stand-in worker received.
struct ReceivedCall {
    /// Index of the worker.
    worker: usize,
    id: u64,
    stream: TcpStream,
}

impl ReceivedCall {
    fn reply(&mut self, reply_code: u8, body: &str) {
        let frame = reply_frame(reply_code, self.id, "detail=resident", body.as_bytes());
        self.stream.write_all(&frame).expect("written");
    }
}

/// A worker whose replies to calls the test sends, and whose new connections the test may hold up.
struct HeldWorker {
    listener: TcpListener,
    /// While the test holds it, no connection is accepted.
    accepting: Mutex<()>,
    open_connections: AtomicUsize,
}

impl HeldWorker {
    fn start(index: usize, calls: &Sender<ReceivedCall>) -> Arc<HeldWorker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let (accepting, open_connections) = (Mutex::default(), AtomicUsize::new(0));
        let worker = Arc::new(HeldWorker { listener, accepting, open_connections });
        let (accepting, calls) = (worker.clone(), calls.clone());
        std::thread::spawn(move || loop {
            let guard = accepting.accepting.lock().expect("not poisoned");
            if let Ok((stream, _)) = accepting.listener.accept() {
                accepting.open_connections.fetch_add(1, Ordering::AcqRel);
                let (worker, calls) = (accepting.clone(), calls.clone());
                std::thread::spawn(move || {
                    serve(stream, index, &calls);
                    worker.open_connections.fetch_sub(1, Ordering::AcqRel);
                });
            }
            drop(guard);
            std::thread::sleep(Duration::from_millis(1));
        });
        worker
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Holds up new connections until the result is dropped and the accept queue is [released](Self::release).
    fn hold_up(&self) -> (MutexGuard<'_, ()>, Vec<TcpStream>) {
        let guard = self.accepting.lock().expect("not poisoned");
        SockRef::from(&self.listener).listen(0).expect("listens");
        let mut fillers = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address(), Duration::from_millis(200)) {
            fillers.push(stream);
        }
        (guard, fillers)
    }

    fn release(&self, held: (MutexGuard<'_, ()>, Vec<TcpStream>)) {
        SockRef::from(&self.listener).listen(ACCEPT_QUEUE).expect("listens");
        drop(held);
    }
}

/// Replies to commands as if every function had a loaded copy, and passes calls on to the test.
fn serve(mut stream: TcpStream, worker: usize, calls: &Sender<ReceivedCall>) {
    stream.set_nonblocking(false).expect("set");
    while let Ok(command) = CommandFrame::read(&mut stream) {
        let reply = match command.code {
            code::CALL => {
                let stream = stream.try_clone().expect("a descriptor");
                let _ = calls.send(ReceivedCall { worker, id: command.id, stream }); // the test may have ended
                continue;
            }
            code::LOAD => reply_frame(code::OK, command.id, "slots_up=1", b""),
            code::PROBE | code::ALTERNATIVE_PROBE => reply_frame(code::ACCEPTING, command.id, "", b""),
            _ => continue,
        };
        if stream.write_all(&reply).is_err() {
            return;
        }
    }
}

/// A discovery service that has nothing new to tell and sends a comment now and then.
fn start_discovery_server() -> SocketAddr {
    let (listener, address) = bind_discovery_server();
    std::thread::spawn(move || {
        let (mut stream, _) = accept_request(&listener);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        let mut open = stream.write_all(head.as_bytes()).is_ok();
        while open {
            open = stream.write_all(b":\n\n").is_ok();
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    address.expect("an address")
}

/// Sends a request with an idempotency key.
fn send(client: &mut TcpStream, id: &str) {
    let params = [
        ("SCRIPT_NAME", "/v1/tile-order"),
        ("HTTP_REQ_ID", id),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_TOKEN", id),
        ("HTTP_REQ_WAIT_MS", "6000"),
        ("HTTP_REQ_KEY", common::FUNCTION),
        ("HTTP_X_MORE", "memory_mb:5;lanes:4;load_ms:20"),
    ];
    client.write_all(&fastcgi_request(1, &params, b"order")).expect("written");
}

fn next_call(calls: &Receiver<ReceivedCall>) -> ReceivedCall {
    calls.recv_timeout(TIMEOUT).expect("a call")
}

fn settings() -> String {
    let window = format!(r#""key-scope":"zone","memory-span":{},"name":"tile-order""#, WINDOW.as_millis());
    SETTINGS
        .replace(r#""key-scope":"zone","memory-span":5000,"name":"tile-order""#, &window)
        .replace(r#""conn-idle":15000"#, r#""conn-idle":300"#)
        .replace(r#""connect-timeout":250"#, r#""connect-timeout":20000"#)
}

/// Guards against requests that run twice: a repeat waits for a connection to its worker, which comes up only
/// after the deduplication window.
#[test]
fn a_repeat_that_waits_for_a_connection_is_not_sent_after_the_window() {
    let (sender, calls) = channel();
    let workers = [0, 1].map(|index| HeldWorker::start(index, &sender));
    let addresses = workers.iter().map(|worker| worker.address()).collect();
    let config = ProgramConfig {
        workers: addresses,
        settings: settings(),
        discovery_server: Some(start_discovery_server()),
        ..ProgramConfig::default()
    };
    let program = TestProgram::with(config);
    let mut client = connect(program.fastcgi);
    send(&mut client, "00000000000000a1");
    next_call(&calls).reply(code::OK, "first");
    assert!(read_fastcgi_response(&mut client).expect("a response").0.starts_with("Status: 200"));
    let deadline = Instant::now() + TIMEOUT;
    while workers.iter().any(|worker| worker.open_connections.load(Ordering::Acquire) > 0) {
        assert!(Instant::now() < deadline, "idle connections stay open");
        std::thread::sleep(Duration::from_millis(5));
    }

    send(&mut client, "00000000000000a2");
    let mut call = next_call(&calls);
    let received_at = Instant::now();
    let other = &workers[1 - call.worker];
    let held = other.hold_up();
    call.reply(code::ERROR, ""); // it may have run
    std::thread::sleep((WINDOW + WINDOW / 2).saturating_sub(received_at.elapsed()));
    other.release(held);
    let response = read_fastcgi_response(&mut client).expect("a response").0;
    assert!(response.starts_with("Status: 500"), "{response}");
    assert!(calls.try_recv().is_err(), "a repeat after the window");
}
