//! Peers that send at full speed share the scheduler's thread with everybody else.
mod common;

use common::{
    connect, fastcgi_call, fastcgi_record, reply_frame, report_sender, start_fastcgi_server, test_context,
    TIMEOUT,
};
use heronslip::limits::Limits;
use heronslip::messages::Message;
use heronslip::worker::frames::FrameTransport;
use heronslip::worker::Transport;
use heronslip_policy::Settings;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// FastCGI record types.
const BEGIN_REQUEST: u8 = 1;
const PARAMS: u8 = 4;
/// Peers that send at full speed.
const BUSY_PEERS: u64 = 4;
/// Bytes that peers have sent once they count as busy.
const BUSY_BYTES: usize = 1_000_000;
/// Longer than any test.
const FOREVER: Duration = Duration::from_secs(3_600);

/// Peers that send at full speed and read what they are sent, until this is dropped.
struct Flood {
    done: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    senders: Vec<JoinHandle<()>>,
}

impl Flood {
    fn new() -> Flood {
        Flood { done: Arc::default(), sent: Arc::default(), senders: Vec::new() }
    }

    /// Sends `first` and then `block` again and again on a connection, and the same on the next one once it is
    /// turned away.
    fn send(
        &mut self, mut connections: impl Iterator<Item = TcpStream> + Send + 'static, first: &[u8],
        block: &[u8],
    ) {
        let (done, sent) = (self.done.clone(), self.sent.clone());
        let (first, block) = (first.to_vec(), block.to_vec());
        self.senders.push(std::thread::spawn(move || {
            while !done.load(Ordering::Acquire) {
                let Some(stream) = connections.next() else { return };
                send_until_closed(stream, &first, &block, &done, &sent);
            }
        }));
    }

    /// Waits until the peers are busy.
    fn wait_until_busy(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.sent.load(Ordering::Acquire) < BUSY_BYTES {
            assert!(Instant::now() < deadline, "nothing is read");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn send_until_closed(
    mut stream: TcpStream, first: &[u8], block: &[u8], done: &AtomicBool, sent: &AtomicUsize,
) {
    let mut receiver = stream.try_clone().expect("a descriptor");
    receiver.set_read_timeout(None).expect("set");
    std::thread::spawn(move || std::io::copy(&mut receiver, &mut std::io::sink()));
    stream.set_write_timeout(Some(Duration::from_millis(20))).expect("set");
    let mut at = 0;
    let mut open = stream.write_all(first).is_ok();
    while open && !done.load(Ordering::Acquire) {
        match stream.write(&block[at..]) {
            Ok(n) => {
                at = (at + n) % block.len();
                sent.fetch_add(n, Ordering::AcqRel);
            }
            Err(e) => open = heronslip::net::is_timeout(&e), // while nothing is read
        }
    }
    let _ = stream.shutdown(Shutdown::Both); // the other side may have closed it
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Release);
        for sender in self.senders.drain(..) {
            sender.join().expect("no panic");
        }
    }
}

/// Whether a usual client's request reaches the core.
fn is_read(address: SocketAddr, queue: &mpsc::Receiver<Message>) -> bool {
    let mut client = connect(address);
    client.write_all(&fastcgi_call(1, "00000000000000a1", "9000", "usual")).expect("written");
    loop {
        match queue.recv_timeout(TIMEOUT) {
            Ok(Message::Request { request, .. }) if request.payload.bytes() == b"usual" => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
}

/// Guards against lost requests: a reader that always finds bytes keeps all other sockets from being read.
#[test]
fn a_client_that_sends_at_full_speed_does_not_hold_up_others() {
    let (context, queue) = test_context(|limits| limits.request_read_timeout = FOREVER);
    let address = start_fastcgi_server(&context);
    let begin = fastcgi_record(BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let endless_params = fastcgi_record(PARAMS, 1, &[]).repeat(4_000);
    let mut flood = Flood::new();
    for _ in 0..BUSY_PEERS {
        flood.send(std::iter::repeat_with(move || connect(address)), &begin, &endless_params);
    }
    flood.wait_until_busy();
    assert!(is_read(address, &queue), "not read beside clients that send at full speed");
}

/// Guards against lost requests, as above: workers that send replies without end.
#[test]
fn a_worker_that_replies_at_full_speed_does_not_hold_up_others() {
    let (context, queue) = test_context(|_| {});
    let usual = start_fastcgi_server(&context);
    let limits = Arc::new(Limits::new(192, 1024, &Settings::default()));
    let (reports, _reports) = mpsc::channel();
    let replies: Vec<u8> = (1..1_000).flat_map(|id| reply_frame(common::code::OK, id, "", b"")).collect();
    let (mut flood, mut transports) = (Flood::new(), Vec::new());
    for command in 0..BUSY_PEERS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut transport = FrameTransport::new(address, limits.clone(), report_sender(reports.clone()));
        transport.send_load(command, 7, 1, None);
        flood.send(std::iter::once(listener.accept().expect("a connection").0), &[], &replies);
        transports.push(transport);
    }
    flood.wait_until_busy();
    assert!(is_read(usual, &queue), "not read beside workers that reply at full speed");
}
