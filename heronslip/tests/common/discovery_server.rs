//! A discovery server whose responses the test writes.
use super::TIMEOUT;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The head of a discovery server's response.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Accepts the next request, within the tests' timeout. Returns its connection and its head.
pub fn accept_request(listener: &TcpListener) -> (TcpStream, String) {
    listener.set_nonblocking(true).expect("set");
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("set");
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a head");
                head.extend(byte);
            }
            return (stream, String::from_utf8(head).expect("text"));
        }
        assert!(Instant::now() < until, "no request to the discovery server");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Binds a discovery server's listener, and returns its address in the form that `ProgramConfig` takes.
pub fn bind_discovery_server() -> (TcpListener, Option<SocketAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().ok();
    (listener, address)
}
