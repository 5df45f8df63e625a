//! Stand-in clients: usual ones, which call, take back and leave, and bad ones, which say nothing of use.
use super::record::{Answer, Event, Recorder};
use super::worker::body;
use crate::node::wire::{encode_abort, encode_request, read_record, Record};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Requests that one connection may carry together, by the protocol.
const REQUESTS_A_CONNECTION: usize = 32;
/// Clients close connections that have been idle for this long, by the protocol.
const IDLE: Duration = Duration::from_secs(4);
/// A bad client listens for a word for this long.
const BAD_PATIENCE: Duration = Duration::from_secs(6);
/// Requests that share a connection are one in so many; others have one to themselves while it lasts.
const SHARED: f64 = 0.3;

/// A class of requests, as clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Whether its requests carry a key.
    pub keyed: bool,
}

/// Whether a front end's clients may open new connections.
#[derive(Debug, Default)]
pub struct Door(AtomicBool);

impl Door {
    /// Opens or closes it.
    pub fn set(&self, open: bool) {
        self.0.store(open, Ordering::Release);
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// What the clients of a play share.
pub struct Common {
    /// Where events go.
    pub recorder: Arc<Recorder>,
    /// The classes.
    pub classes: Vec<Class>,
    /// Longest wait, in milliseconds.
    pub give_up_ms: u64,
    /// Functions.
    pub functions: usize,
    /// Share of requests that are taken back or left.
    pub leaving: f64,
    /// Numbers of requests, connections and bad clients.
    pub numbers: AtomicU64,
}

impl Common {
    fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}

/// What is to be written on a connection.
enum Outgoing {
    Request {
        number: u64,
        id: u16,
        class: usize,
        wait: u64,
        bytes: Vec<u8>,
    },
    /// The client takes a request back.
    Abort {
        number: u64,
        id: u16,
    },
    /// The client closes the connection.
    Close,
}

#[derive(Default)]
struct Open {
    /// Requests that are owed an answer, by their number on the connection, with what has come of it.
    requests: HashMap<u16, (u64, Vec<u8>)>,
    ended: bool,
}

struct Connection {
    send: UnboundedSender<Outgoing>,
    open: Arc<Mutex<Open>>,
    next: u16,
}

/// The usual clients of one front end.
pub struct Clients {
    /// The front end's number.
    pub front_end: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Whether new connections may be opened.
    pub door: Arc<Door>,
    /// What all share.
    pub common: Arc<Common>,
    /// Their random numbers' seed.
    pub seed: u64,
}

impl Clients {
    /// Calls until the task is ended.
    pub async fn run(self) {
        let mut random = Pcg64::seed_from_u64(self.seed);
        let mut connections: Vec<Connection> = Vec::new();
        let mut next = tokio::time::Instant::now();
        loop {
            let drawn: f64 = random.random();
            next += Duration::from_secs_f64(-(1.0 - drawn).ln() / self.calls_per_s);
            tokio::time::sleep_until(next).await;
            self.call(&mut random, &mut connections).await;
        }
    }

    async fn call(&self, random: &mut Pcg64, connections: &mut Vec<Connection>) {
        connections.retain(|c| !c.send.is_closed() && c.open.lock().is_ok_and(|open| !open.ended));
        // All draws come first: what a play draws does not depend on how it goes.
        let class = random.random_range(0..self.common.classes.len());
        let function = random.random_range(0..self.common.functions) as u64 + 1;
        let wait_ms = (self.common.give_up_ms as f64 * random.random_range(0.5..=1.0)) as u64;
        let shares = random.random_bool(SHARED);
        let leaves = random.random_bool(self.common.leaving);
        let (leaves_after, closes) = (random.random::<f64>(), random.random_bool(0.4));
        let most = if shares { REQUESTS_A_CONNECTION } else { 1 };
        let Some(connection) = self.connection(connections, most).await else { return };
        let number = self.common.number();
        connection.next = connection.next % u16::MAX + 1;
        let (id, told) = (connection.next, &self.common.classes[class]);
        let mut params = vec![
            ("SCRIPT_NAME", format!("/v1/{}", told.name)),
            ("HTTP_REQ_ID", format!("{number:016x}")),
            ("HTTP_REQ_WAIT_MS", wait_ms.to_string()),
            ("HTTP_REQ_KEY", format!("{function:016x}")),
            ("HTTP_X_MORE", "memory_mb:300;lanes:4;load_ms:150".to_owned()),
        ];
        if told.keyed {
            params.push(("HTTP_REQ_TOKEN", format!("{number:032x}")));
        }
        let bytes = encode_request(id, &params, format!("body of {number}").as_bytes());
        let wait = wait_ms * 1_000;
        if connection.send.send(Outgoing::Request { number, id, class, wait, bytes }).is_err() {
            return;
        }
        if leaves {
            let send = connection.send.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros((wait as f64 * leaves_after) as u64)).await;
                let _ = send.send(if closes { Outgoing::Close } else { Outgoing::Abort { number, id } });
            });
        }
    }

    async fn connection<'a>(
        &self, connections: &'a mut Vec<Connection>, most: usize,
    ) -> Option<&'a mut Connection> {
        let free = |c: &Connection| c.open.lock().is_ok_and(|open| open.requests.len() < most);
        let at = match connections.iter().position(free) {
            Some(at) => at,
            None if !self.door.is_open() => return None,
            None => {
                let stream = TcpStream::connect(self.address).await.ok()?;
                connections.push(self.start(stream));
                connections.len() - 1
            }
        };
        connections.get_mut(at)
    }

    fn start(&self, stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // without it requests are only later
        let number = self.common.number();
        let (read, write) = stream.into_split();
        let (send, queue) = unbounded_channel();
        let open = Arc::<Mutex<Open>>::default();
        let side = Side {
            number,
            front_end: self.front_end,
            recorder: self.common.recorder.clone(),
            open: open.clone(),
        };
        let side = Arc::new(side);
        tokio::spawn(side.clone().write(write, queue));
        tokio::spawn(side.read(read));
        Connection { send, open, next: 0 }
    }
}

/// One connection's tasks.
struct Side {
    number: u64,
    front_end: usize,
    recorder: Arc<Recorder>,
    open: Arc<Mutex<Open>>,
}

impl Side {
    async fn write(self: Arc<Self>, mut write: OwnedWriteHalf, mut queue: UnboundedReceiver<Outgoing>) {
        while let Ok(Some(next)) = tokio::time::timeout(IDLE, queue.recv()).await {
            match next {
                Outgoing::Request { number, id, class, wait, bytes } => {
                    let (front_end, connection) = (self.front_end, self.number);
                    match self.open.lock() {
                        Ok(mut open) if !open.ended => {
                            // Taken down under the lock: its answer or its connection's end comes behind it.
                            self.recorder.add(Event::Sent {
                                front_end,
                                connection,
                                request: number,
                                class,
                                wait,
                            });
                            open.requests.insert(id, (number, Vec::new()));
                        }
                        _ => return,
                    }
                    if write.write_all(&bytes).await.is_err() {
                        return; // the reader sees the end
                    }
                }
                Outgoing::Abort { number, id } => {
                    let owed = self.open.lock().is_ok_and(|mut open| open.requests.remove(&id).is_some());
                    if owed && write.write_all(&encode_abort(id)).await.is_ok() {
                        self.recorder.add(Event::Left { request: number });
                    }
                }
                Outgoing::Close => break,
            }
        }
        // Idle for long, or left: whatever is open is given up with the connection.
        let left = self.close();
        drop(write);
        for request in left {
            self.recorder.add(Event::Left { request });
        }
    }

    fn close(&self) -> Vec<u64> {
        let Ok(mut open) = self.open.lock() else { return Vec::new() };
        open.ended = true;
        open.requests.drain().map(|(_, (number, _))| number).collect()
    }

    async fn read(self: Arc<Self>, mut read: OwnedReadHalf) {
        loop {
            let record = read_record(&mut read).await;
            let Ok(mut open) = self.open.lock() else { return };
            match record {
                Ok(Record::Output(id, content)) => {
                    if let Some((_, output)) = open.requests.get_mut(&id) {
                        output.extend(content);
                    }
                }
                Ok(Record::End(id)) => {
                    if let Some((request, output)) = open.requests.remove(&id) {
                        let (front_end, answer) = (self.front_end, judge(request, &output));
                        self.recorder.add(Event::Answered { front_end, request, answer });
                    }
                }
                Ok(Record::Other) => {}
                Err(_) if open.ended => return,
                Err(_) => {
                    open.ended = true;
                    let left = open.requests.drain().map(|(_, (number, _))| number).collect();
                    let (front_end, connection) = (self.front_end, self.number);
                    self.recorder.add(Event::ConnectionEnded { front_end, connection, open: left });
                    return;
                }
            }
        }
    }
}

/// What an answer is worth.
fn judge(request: u64, output: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(output);
    let (head, content) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match head {
        head if head.starts_with("Status: 200") && content == body(request) => Answer::Served,
        head if head.starts_with("Status: 200") => Answer::WrongBody,
        head if head.starts_with("Status: 503") || head.starts_with("Status: 429") || head.is_empty() => {
            Answer::Refused
        }
        _ => Answer::Failed,
    }
}

/// Connects and says nothing of use, in one of several ways.
pub async fn bad_client(front_end: usize, address: SocketAddr, common: Arc<Common>, kind: u32) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let client = common.number();
    common.recorder.add(Event::BadClient { front_end, client });
    let half = encode_request(1, &[("SCRIPT_NAME", "/v1/lookup".to_owned())], b"half");
    let _ = match kind % 4 {
        0 => Ok(()),
        1 => stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await,
        2 => stream.write_all(&half[..half.len() - 8]).await,
        _ => stream.write_all(&encode_request(1, &[("SCRIPT_NAME", "/v1/none".to_owned())], &[])).await,
    }; // the front end may have closed
    let word = tokio::time::timeout(BAD_PATIENCE, stream.read(&mut [0; 256])).await;
    if word.is_ok() {
        common.recorder.add(Event::BadClientHeard { client });
    }
}
