//! Stand-in clients: regular ones, which send requests, cancel some and close some connections early, and bad
//! ones, which send nothing or no valid request.
use super::record::{Event, Micros, Recorder, Response};
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

/// Requests that may be open on one connection, by the protocol.
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// Idle time after which clients close a connection, by the protocol.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a bad client waits for bytes or a close.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Share of requests that may be sent on a connection with other open requests.
const MULTIPLEXED_SHARE: f64 = 0.3;
/// Share of cancellations in which the client closes the connection instead of aborting the request.
const CLOSE_SHARE: f64 = 0.4;

/// A class of requests, as clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Whether its requests carry a deduplication key.
    pub deduplicated: bool,
}

/// Whether a front end's clients may open new connections.
#[derive(Debug, Default)]
pub struct ConnectGate(AtomicBool);

impl ConnectGate {
    /// Allows or forbids new connections.
    pub fn set(&self, open: bool) {
        self.0.store(open, Ordering::Release);
    }

    /// Whether new connections are allowed.
    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Settings and state that all clients of a run share.
pub struct Settings {
    /// Records the events.
    pub recorder: Arc<Recorder>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Longest timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Number of functions.
    pub functions: usize,
    /// Share of requests that are cancelled.
    pub cancelled_share: f64,
    /// Next number for a request, a connection or a bad client.
    pub next_number: AtomicU64,
}

impl Settings {
    fn take_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }
}

/// What the writing task of a connection is to do.
enum Outgoing {
    Request {
        number: u64,
        id: u16,
        class: usize,
        timeout: Micros,
        bytes: Vec<u8>,
    },
    /// Aborts a request.
    Abort {
        number: u64,
        id: u16,
    },
    /// Closes the connection.
    Close,
}

/// The requests of a connection that have no final response yet.
#[derive(Default)]
struct OpenRequests {
    /// Request numbers and the output received so far, by FastCGI request id.
    requests: HashMap<u16, (u64, Vec<u8>)>,
    /// Whether the connection has ended.
    ended: bool,
}

/// A client's connection, as the sender of requests holds it.
struct Connection {
    send: UnboundedSender<Outgoing>,
    open: Arc<Mutex<OpenRequests>>,
    last_id: u16,
}

/// The regular clients of one front end.
pub struct Clients {
    /// The front end's number.
    pub front_end: usize,
    /// The front end's address.
    pub address: SocketAddr,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Whether new connections may be opened.
    pub connect_gate: Arc<ConnectGate>,
    /// What all clients share.
    pub settings: Arc<Settings>,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Clients {
    /// Sends requests at exponentially distributed intervals until the task is aborted.
    pub async fn run(self) {
        let mut rng = Pcg64::seed_from_u64(self.seed);
        let mut connections: Vec<Connection> = Vec::new();
        let mut next = tokio::time::Instant::now();
        loop {
            let uniform: f64 = rng.random();
            next += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.calls_per_s);
            tokio::time::sleep_until(next).await;
            self.call(&mut rng, &mut connections).await;
        }
    }

    async fn call(&self, rng: &mut Pcg64, connections: &mut Vec<Connection>) {
        connections.retain(|c| !c.send.is_closed() && c.open.lock().is_ok_and(|open| !open.ended));
        // All random numbers are drawn first, so that the sequence does not depend on the course of the run.
        let class_index = rng.random_range(0..self.settings.classes.len());
        let function = rng.random_range(0..self.settings.functions) as u64 + 1;
        let timeout_ms = (self.settings.timeout_ms as f64 * rng.random_range(0.5..=1.0)) as u64;
        let multiplexes = rng.random_bool(MULTIPLEXED_SHARE);
        let cancels = rng.random_bool(self.settings.cancelled_share);
        let (cancels_after, closes) = (rng.random::<f64>(), rng.random_bool(CLOSE_SHARE));
        let max_open = if multiplexes { MAX_REQUESTS_PER_CONNECTION } else { 1 };
        let Some(connection) = self.connection(connections, max_open).await else { return };
        let number = self.settings.take_number();
        connection.last_id = connection.last_id % u16::MAX + 1;
        let (id, class) = (connection.last_id, &self.settings.classes[class_index]);
        let mut params = vec![
            ("SCRIPT_NAME", format!("/v1/{}", class.name)),
            ("HTTP_REQ_ID", format!("{number:016x}")),
            ("HTTP_REQ_WAIT_MS", timeout_ms.to_string()),
            ("HTTP_REQ_KEY", format!("{function:016x}")),
            ("HTTP_X_MORE", "memory_mb:300;lanes:4;load_ms:150".to_owned()),
        ];
        if class.deduplicated {
            params.push(("HTTP_REQ_TOKEN", format!("{number:032x}")));
        }
        let bytes = encode_request(id, &params, format!("body of {number}").as_bytes());
        let timeout = timeout_ms * 1_000;
        if connection.send.send(Outgoing::Request { number, id, class: class_index, timeout, bytes }).is_err()
        {
            return;
        }
        if cancels {
            let send = connection.send.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros((timeout as f64 * cancels_after) as u64)).await;
                let _ = send.send(if closes { Outgoing::Close } else { Outgoing::Abort { number, id } });
            });
        }
    }

    /// A connection with fewer than `max_open` open requests; opens one if there is none and the gate allows
    /// it.
    async fn connection<'a>(
        &self, connections: &'a mut Vec<Connection>, max_open: usize,
    ) -> Option<&'a mut Connection> {
        let is_free = |c: &Connection| c.open.lock().is_ok_and(|open| open.requests.len() < max_open);
        let index = match connections.iter().position(is_free) {
            Some(index) => index,
            None if !self.connect_gate.is_open() => return None,
            None => {
                let stream = TcpStream::connect(self.address).await.ok()?;
                connections.push(self.start(stream));
                connections.len() - 1
            }
        };
        connections.get_mut(index)
    }

    /// Starts the tasks that read from and write to a new connection.
    fn start(&self, stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // only affects latency
        let number = self.settings.take_number();
        let (read, write) = stream.into_split();
        let (send, queue) = unbounded_channel();
        let open = Arc::<Mutex<OpenRequests>>::default();
        let tasks = ConnectionTasks {
            number,
            front_end: self.front_end,
            recorder: self.settings.recorder.clone(),
            open: open.clone(),
        };
        let tasks = Arc::new(tasks);
        tokio::spawn(tasks.clone().write(write, queue));
        tokio::spawn(tasks.read(read));
        Connection { send, open, last_id: 0 }
    }
}

/// The state of a connection that its reading and writing tasks share.
struct ConnectionTasks {
    number: u64,
    front_end: usize,
    recorder: Arc<Recorder>,
    open: Arc<Mutex<OpenRequests>>,
}

impl ConnectionTasks {
    async fn write(self: Arc<Self>, mut write: OwnedWriteHalf, mut queue: UnboundedReceiver<Outgoing>) {
        while let Ok(Some(outgoing)) = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
            match outgoing {
                Outgoing::Request { number, id, class, timeout, bytes } => {
                    let (front_end, connection) = (self.front_end, self.number);
                    match self.open.lock() {
                        Ok(mut open) if !open.ended => {
                            // Recorded under the lock, so that the response and the connection's end are
                            // recorded later.
                            self.recorder.record(Event::RequestSent {
                                front_end,
                                connection,
                                request: number,
                                class,
                                timeout,
                            });
                            open.requests.insert(id, (number, Vec::new()));
                        }
                        _ => return,
                    }
                    if write.write_all(&bytes).await.is_err() {
                        return; // the reading task notices the end
                    }
                }
                Outgoing::Abort { number, id } => {
                    let was_open = self.open.lock().is_ok_and(|mut open| open.requests.remove(&id).is_some());
                    if was_open && write.write_all(&encode_abort(id)).await.is_ok() {
                        self.recorder.record(Event::RequestCancelled { request: number });
                    }
                }
                Outgoing::Close => break,
            }
        }
        // The connection was idle, or the client closes it: its open requests are cancelled.
        let cancelled = self.close();
        drop(write);
        for request in cancelled {
            self.recorder.record(Event::RequestCancelled { request });
        }
    }

    /// Marks the connection as ended; returns the requests that were open.
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
                        let (front_end, response) = (self.front_end, classify(request, &output));
                        self.recorder.record(Event::ResponseReceived { front_end, request, response });
                    }
                }
                Ok(Record::Other) => {}
                Err(_) if open.ended => return,
                Err(_) => {
                    open.ended = true;
                    let pending = open.requests.drain().map(|(_, (number, _))| number).collect();
                    let (front_end, connection) = (self.front_end, self.number);
                    self.recorder.record(Event::ClientConnectionEnded { front_end, connection, pending });
                    return;
                }
            }
        }
    }
}

/// The kind of a response, by its status and body.
fn classify(request: u64, output: &[u8]) -> Response {
    let text = String::from_utf8_lossy(output);
    let (head, content) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match head {
        head if head.starts_with("Status: 200") && content == body(request) => Response::Served,
        head if head.starts_with("Status: 200") => Response::WrongBody,
        // A front end that is over its limits ends a request without any output.
        head if head.starts_with("Status: 503") || head.starts_with("Status: 429") || head.is_empty() => {
            Response::Refused
        }
        _ => Response::Failed,
    }
}

/// Connects, sends nothing or no valid request, and waits for bytes or a close; `kind` selects what is sent.
pub async fn bad_client(front_end: usize, address: SocketAddr, settings: Arc<Settings>, kind: u32) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let client = settings.take_number();
    settings.recorder.record(Event::BadClientConnected { front_end, client });
    let whole = encode_request(1, &[("SCRIPT_NAME", "/v1/lookup".to_owned())], b"half");
    let _ = match kind % 4 {
        0 => Ok(()),
        // HTTP in place of FastCGI.
        1 => stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await,
        // A request without its last record.
        2 => stream.write_all(&whole[..whole.len() - 8]).await,
        // A request of an unknown class.
        _ => stream.write_all(&encode_request(1, &[("SCRIPT_NAME", "/v1/none".to_owned())], &[])).await,
    }; // the front end may have closed the connection
    let answered = tokio::time::timeout(BAD_CLIENT_TIMEOUT, stream.read(&mut [0; 256])).await;
    if answered.is_ok() {
        settings.recorder.record(Event::BadClientAnswered { client });
    }
}
