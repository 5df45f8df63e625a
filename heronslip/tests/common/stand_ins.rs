//! Stand-ins that several tests share: workers that serve everything, and a listener on which connections hang.
use super::{frame, Received};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A worker that serves every call with its own body and answers orders as if all stood loaded; how many calls it got.
pub fn counting_worker() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let calls = Arc::<AtomicUsize>::default();
    let counted = calls.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counted = counted.clone();
            std::thread::spawn(move || serve(stream, &counted));
        }
    });
    (address, calls)
}

fn serve(mut stream: TcpStream, calls: &AtomicUsize) {
    while let Ok(command) = Received::read(&mut stream) {
        let (code, fields, body) = match command.code {
            2 => (200, "detail=resident", &command.body[..]),
            4 | 5 => (206, "", &[][..]),
            6 => (200, "slots_up=1", &[][..]),
            _ => continue,
        };
        calls.fetch_add(usize::from(command.code == 2), Ordering::AcqRel);
        if stream.write_all(&frame(code, command.id, fields, body)).is_err() {
            return;
        }
    }
}

/// The same, where nobody counts.
pub fn obliging_worker() -> SocketAddr {
    counting_worker().0
}

/// A listener whose queue of connections is full, and the connections that fill it: the next one gets no answer until
/// some are taken.
pub fn hanging_listener() -> (TcpListener, Vec<TcpStream>) {
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
