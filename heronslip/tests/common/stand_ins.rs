//! Stand-ins that several tests share: workers that serve every call, and a listener on which connects hang.
use super::{code, reply_frame, CommandFrame};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts a worker that serves every call with the call's own body, and replies to other commands as if every
/// function had a loaded copy. Returns its address and the number of calls that it has received.
pub fn counting_worker() -> (SocketAddr, Arc<AtomicUsize>) {
    start_worker(serve)
}

/// Starts a worker that replies to every call with an error, and to other commands as if every function had a
/// loaded copy. Returns its address.
pub fn failing_worker() -> SocketAddr {
    start_worker(|command| match command.code {
        code::CALL => Some((code::ERROR, "", &[])),
        _ => serve(command),
    })
    .0
}

/// Starts a worker that never replies to calls, and replies to other commands as if every function had a loaded
/// copy. Returns its address and the number of calls that it has received.
pub fn silent_worker() -> (SocketAddr, Arc<AtomicUsize>) {
    start_worker(|command| match command.code {
        code::CALL => None,
        _ => serve(command),
    })
}

/// The reply to a command: its code, fields and body.
type Reply<'a> = (u8, &'static str, &'a [u8]);

/// Starts a worker that replies so. Returns its address and the number of calls that it has received.
fn start_worker(reply: fn(&CommandFrame) -> Option<Reply<'_>>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let calls = Arc::<AtomicUsize>::default();
    let call_count = calls.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let call_count = call_count.clone();
            std::thread::spawn(move || answer_commands(stream, reply, &call_count));
        }
    });
    (address, calls)
}

fn answer_commands(
    mut stream: TcpStream, reply: fn(&CommandFrame) -> Option<Reply<'_>>, calls: &AtomicUsize,
) {
    while let Ok(command) = CommandFrame::read(&mut stream) {
        calls.fetch_add(usize::from(command.code == code::CALL), Ordering::AcqRel);
        let Some((reply_code, fields, body)) = reply(&command) else { continue };
        if stream.write_all(&reply_frame(reply_code, command.id, fields, body)).is_err() {
            return;
        }
    }
}

fn serve(command: &CommandFrame) -> Option<Reply<'_>> {
    match command.code {
        code::CALL => Some((code::OK, "detail=resident", &command.body)),
        code::PROBE | code::ALTERNATIVE_PROBE => Some((code::ACCEPTING, "", &[])),
        code::LOAD => Some((code::OK, "slots_up=1", &[])),
        _ => None,
    }
}

/// Starts a [`counting_worker`] whose calls need not be counted.
pub fn serving_worker() -> SocketAddr {
    counting_worker().0
}

/// A listener whose accept queue is full, and the connections that fill it: further connects hang until some
/// are accepted.
pub fn saturated_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("bound");
    socket.listen(0).expect("listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
        fillers.push(stream);
    }
    (listener, fillers)
}
