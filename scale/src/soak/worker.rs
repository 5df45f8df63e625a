//! A stand-in worker. It loads copies and serves calls, and on demand it drains, rejects, crashes, hangs or
//! sends faulty replies.
use super::network;
use super::record::{Command, Event, Recorder, Reply};
use crate::node::wire::{encode_reply, read_frame, Frame};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};

// Frame codes of commands.
const CALL: u8 = 2;
const CANCEL: u8 = 3;
const PROBES: [u8; 2] = [4, 5];
const LOAD: u8 = 6;
// Frame codes of replies.
const OK: u8 = 200;
const REJECTED: u8 = 203;
const EXPIRED: u8 = 205;
const ACCEPTING: u8 = 206;
const NOT_ACCEPTING: u8 = 207;
/// Calls that may be queued for each lane: enough that a worker can be sent more calls than it can serve in
/// time.
const QUEUED_CALLS_PER_LANE: usize = 100;
const LOAD_TIME: Duration = Duration::from_millis(150);
/// Delay of a reply that is made late as a fault.
const LATE_REPLY_DELAY: Duration = Duration::from_millis(2_000);
/// Number of kinds of faulty replies: late, sent twice, corrupted, truncated.
const FAULTY_REPLY_KINDS: u32 = 4;
const LISTEN_BACKLOG: u32 = 256;

/// The state of a worker, set by the run's faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Number of its process, incremented with each start. Connections belong to one process.
    pub process: u32,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it drains.
    pub draining: bool,
    /// Whether it rejects all calls.
    pub rejecting: bool,
    /// Whether it has stopped executing commands and writing.
    pub hung: bool,
    /// Number of resets of its idle connections so far.
    pub resets: u32,
}

/// Settings and state that all workers of a run share.
pub struct Settings {
    /// Records the events.
    pub recorder: Arc<Recorder>,
    /// Mean execution time of a call.
    pub work: Duration,
    /// Calls that a worker runs at the same time.
    pub lanes: u32,
    /// Share of faulty replies.
    pub faulty_reply_share: f64,
    /// Number of the next worker connection.
    pub next_connection: AtomicU64,
}

/// A worker, which has an address of its own for each front end.
pub struct Worker {
    number: usize,
    settings: Arc<Settings>,
    /// Its state; set by the run's faults.
    pub status: watch::Sender<WorkerStatus>,
    lanes: Semaphore,
    /// Calls that wait for a lane or run.
    open_calls: AtomicUsize,
    /// A process number and the functions loaded in that process.
    loaded: Mutex<(u32, HashSet<u64>)>,
    rng: Mutex<Pcg64>,
}

/// The sending side of a front end's connection to a worker.
struct Connection {
    number: u64,
    front_end: usize,
    process: u32,
    write: tokio::sync::Mutex<Option<OwnedWriteHalf>>,
    /// Requests whose calls are open; `None` once the connection has ended.
    open: Mutex<Option<HashSet<u64>>>,
}

impl Worker {
    /// Starts a worker and returns its addresses, one for each front end.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(
        number: usize, front_ends: usize, settings: Arc<Settings>, seed: u64,
    ) -> io::Result<(Arc<Worker>, Vec<SocketAddr>)> {
        let status =
            WorkerStatus { process: 0, up: true, draining: false, rejecting: false, hung: false, resets: 0 };
        let worker = Arc::new(Worker {
            number,
            lanes: Semaphore::new(settings.lanes as usize),
            settings,
            status: watch::Sender::new(status),
            open_calls: AtomicUsize::new(0),
            loaded: Mutex::default(),
            rng: Mutex::new(Pcg64::seed_from_u64(seed)),
        });
        let mut addresses = Vec::new();
        for front_end in 0..front_ends {
            let listener = bind(SocketAddr::from((network::workers(), 0)))?;
            let address = listener.local_addr()?;
            addresses.push(address);
            tokio::spawn(worker.clone().accept(front_end, address, listener));
        }
        Ok((worker, addresses))
    }

    /// Listens for a front end while the worker is up.
    async fn accept(self: Arc<Self>, front_end: usize, address: SocketAddr, listener: TcpListener) {
        let mut status = self.status.subscribe();
        let mut listener = Some(listener);
        loop {
            let current = *status.borrow_and_update();
            match (current.up, &listener) {
                (false, _) => listener = None,
                (true, None) => listener = bind(address).ok(),
                _ => {}
            }
            let Some(open) = &listener else {
                if status.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                changed = status.changed() => if changed.is_err() { return },
                accepted = open.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().serve(front_end, stream));
                },
            }
        }
    }

    /// Serves a connection until it is closed, or until a fault closes it.
    async fn serve(self: Arc<Self>, front_end: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // only affects latency
        let _ = stream.set_zero_linger(); // a crashing process resets its connections
        let mut status = self.status.subscribe();
        let initial = *status.borrow_and_update();
        let (mut read, write) = stream.into_split();
        let connection = Arc::new(Connection {
            number: self.settings.next_connection.fetch_add(1, Ordering::Relaxed),
            front_end,
            process: initial.process,
            write: tokio::sync::Mutex::new(Some(write)),
            open: Mutex::new(Some(HashSet::new())),
        });
        let resets = initial.resets;
        let (frames, mut received) = tokio::sync::mpsc::unbounded_channel();
        let (worker, from) = (self.clone(), connection.clone());
        // Commands are recorded as they arrive, also while the worker hangs and does not act on them.
        let reader = tokio::spawn(async move {
            while let Ok(frame) = read_frame(&mut read).await {
                let Some(command) = worker.record_command(&from, &frame) else { continue };
                if frames.send((frame, command)).is_err() {
                    break;
                }
            }
            worker.end_connection(&from); // this cancels its calls, also while the worker hangs
        });
        loop {
            let current = *status.borrow_and_update();
            let idle = connection.open.lock().is_ok_and(|open| open.as_ref().is_none_or(HashSet::is_empty));
            if !current.up || current.process != connection.process || current.resets > resets && idle {
                break;
            }
            tokio::select! {
                changed = status.changed() => if changed.is_err() { break },
                frame = received.recv(), if !current.hung => match frame {
                    Some((frame, command)) => self.execute(&connection, &frame, command),
                    None => break,
                },
            }
        }
        reader.abort();
        drop(connection.write.lock().await.take());
        self.end_connection(&connection);
    }

    /// Records the end of a connection and drops the calls open on it.
    fn end_connection(&self, connection: &Connection) {
        let Ok(mut open) = connection.open.lock() else { return };
        if open.take().is_some() {
            self.settings.recorder.record(Event::WorkerConnectionEnded { connection: connection.number });
        }
    }

    /// Decodes a command and records its arrival.
    fn record_command(&self, connection: &Connection, frame: &Frame) -> Option<Command> {
        let number = |name: &str| frame.field(name).and_then(|value| value.parse().ok());
        let command = match frame.code {
            CALL => Command::Call { request: frame.id, budget_ms: number("budget").unwrap_or(0) },
            CANCEL => Command::Cancel { request: frame.id },
            LOAD => Command::Load { copies: number("slots_up").unwrap_or(0) as u32 },
            code if PROBES.contains(&code) => Command::Probe,
            _ => return None,
        };
        let first_byte_at = self.settings.recorder.time_of(frame.received);
        self.settings.recorder.record(Event::CommandReceived {
            worker: self.number,
            process: connection.process,
            front_end: connection.front_end,
            connection: connection.number,
            first_byte_at,
            command: command.clone(),
        });
        Some(command)
    }

    /// Executes a command; what takes time runs in a task of its own.
    fn execute(self: &Arc<Self>, connection: &Arc<Connection>, frame: &Frame, command: Command) {
        let hex = |name: &str| frame.field(name).and_then(|value| u64::from_str_radix(value, 16).ok());
        let status = *self.status.borrow();
        let rejects = status.draining || status.rejecting;
        let (worker, connection, id) = (self.clone(), connection.clone(), frame.id);
        match command {
            Command::Call { request, budget_ms } => {
                if let Ok(mut open) = connection.open.lock() {
                    open.as_mut().map(|open| open.insert(request));
                }
                let function = hex("path").unwrap_or(0);
                let deadline = frame.received + Duration::from_millis(budget_ms);
                tokio::spawn(async move {
                    worker.call(&connection, request, function, deadline, rejects).await;
                });
            }
            Command::Cancel { request } => {
                if let Ok(mut open) = connection.open.lock() {
                    open.as_mut().map(|open| open.remove(&request));
                }
            }
            Command::Load { copies } => {
                let function = hex("path").unwrap_or(0);
                tokio::spawn(async move {
                    let code = if copies > 0 && rejects { REJECTED } else { OK };
                    let loaded = worker.load(function, copies > 0 && code == OK).await;
                    let fields = format!("slots_up={}", u32::from(loaded));
                    worker.send(&connection, &encode_reply(code, id, &fields, &[])).await;
                });
            }
            Command::Probe => {
                let code = if rejects { NOT_ACCEPTING } else { ACCEPTING };
                tokio::spawn(async move {
                    worker.send(&connection, &encode_reply(code, id, "use=busy_reqs:1;x1:0", &[])).await;
                });
            }
        }
    }

    /// Loads a copy of a function if that is wanted and none is loaded; returns whether one is loaded now. A
    /// worker has at most one copy of a function.
    async fn load(&self, function: u64, wanted: bool) -> bool {
        let process = self.status.borrow().process;
        let is_loaded = |insert: bool| {
            let Ok(mut loaded) = self.loaded.lock() else { return false };
            if loaded.0 != process {
                *loaded = (process, HashSet::new());
            }
            if insert {
                loaded.1.insert(function);
            }
            loaded.1.contains(&function)
        };
        if !is_loaded(false) && wanted {
            tokio::time::sleep(LOAD_TIME).await;
            return is_loaded(true);
        }
        is_loaded(false)
    }

    async fn call(
        &self, connection: &Connection, request: u64, function: u64, deadline: Instant, rejects: bool,
    ) {
        let max_open_calls = self.settings.lanes as usize * QUEUED_CALLS_PER_LANE;
        if rejects || self.open_calls.load(Ordering::Acquire) >= max_open_calls {
            let bytes = encode_reply(REJECTED, request, "", &[]);
            return self.reply(connection, request, Reply::Rejected, &bytes).await;
        }
        self.open_calls.fetch_add(1, Ordering::AcqRel);
        let lane = self.lanes.acquire().await;
        if Instant::now() > deadline {
            self.open_calls.fetch_sub(1, Ordering::AcqRel);
            let bytes = encode_reply(EXPIRED, request, "", &[]);
            return self.reply(connection, request, Reply::Rejected, &bytes).await;
        }
        let warm = self.load(function, false).await;
        self.load(function, true).await;
        let (extra_work, faulty, fault) = match self.rng.lock() {
            Ok(mut rng) => (
                rng.random::<f64>(),
                rng.random_bool(self.settings.faulty_reply_share),
                rng.random_range(0..FAULTY_REPLY_KINDS),
            ),
            Err(_) => return,
        };
        tokio::time::sleep(self.settings.work.mul_f64(0.5 + extra_work)).await;
        drop(lane);
        self.open_calls.fetch_sub(1, Ordering::AcqRel);
        let detail = if warm { "resident" } else { "booted" };
        let open_calls = self.open_calls.load(Ordering::Acquire);
        let fields = format!("detail={detail},use=busy_reqs:{open_calls};x1:0");
        let mut bytes = encode_reply(OK, request, &fields, body(request).as_bytes());
        match (faulty, fault) {
            (false, _) => self.reply(connection, request, Reply::Ok, &bytes).await,
            // Late.
            (true, 0) => {
                tokio::time::sleep(LATE_REPLY_DELAY).await;
                self.reply(connection, request, Reply::Ok, &bytes).await;
            }
            // Sent twice.
            (true, 1) => {
                self.reply(connection, request, Reply::Ok, &bytes).await;
                self.send(connection, &bytes).await;
            }
            // Corrupted: the checksum does not match.
            (true, 2) => {
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
                self.reply(connection, request, Reply::Corrupted, &bytes).await;
            }
            // Truncated.
            (true, _) => {
                self.reply(connection, request, Reply::Corrupted, &bytes[..bytes.len() / 2]).await;
                drop(connection.write.lock().await.take());
            }
        }
    }

    /// Ends a call with a reply, unless it was cancelled.
    async fn reply(&self, connection: &Connection, request: u64, reply: Reply, bytes: &[u8]) {
        self.wait_while_hung().await;
        {
            let Ok(mut open) = connection.open.lock() else { return };
            if !open.as_mut().is_some_and(|open| open.remove(&request)) {
                return; // cancelled
            }
            let (worker, front_end) = (self.number, connection.front_end);
            self.settings.recorder.record(Event::ReplySent { worker, front_end, request, reply });
        }
        self.send(connection, bytes).await;
    }

    async fn send(&self, connection: &Connection, bytes: &[u8]) {
        self.wait_while_hung().await;
        if let Some(write) = connection.write.lock().await.as_mut() {
            let _ = write.write_all(bytes).await; // the front end may have closed the connection
        }
    }

    async fn wait_while_hung(&self) {
        let mut status = self.status.subscribe();
        let _ = status.wait_for(|status| !status.hung).await; // fails only when the run has ended
    }
}

/// The body that a worker produces for a request.
pub fn body(request: u64) -> String {
    format!("made for {request:016x}")
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
