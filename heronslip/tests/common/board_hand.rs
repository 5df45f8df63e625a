//! A board that a test plays by hand.
use super::PATIENCE;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The head of a board's answer.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// The next call of a board, its head read, within the tests' patience.
pub fn called(listener: &TcpListener) -> (TcpStream, String) {
    listener.set_nonblocking(true).expect("set");
    let until = Instant::now() + PATIENCE;
    loop {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("set");
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a head");
                head.extend(byte);
            }
            return (stream, String::from_utf8(head).expect("text"));
        }
        assert!(Instant::now() < until, "the board was not called again");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A port for a board, and its address.
pub fn board() -> (TcpListener, Option<SocketAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().ok();
    (listener, at)
}
