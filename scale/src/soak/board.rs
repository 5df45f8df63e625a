//! The stand-in board: one list, told to each front end at an address of its own, which can fail.
use super::network;
use super::record::{Event, Listing, Outage, Recorder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const COMMENT: &[u8] = b":\n\n";
const COMMENT_EACH: Duration = Duration::from_secs(1);
/// After a move the old address closes its connections.
const OLD_ADDRESS: Duration = Duration::from_millis(1_500);
/// Of how many events one is written twice.
const TWICE: f64 = 0.1;
const QUEUE: u32 = 64;

/// One change of the list.
#[derive(Clone, Debug)]
pub struct Change {
    /// The worker.
    pub worker: usize,
    /// The number of its process.
    pub process: u32,
    /// Its state.
    pub state: Listing,
    /// Unix milliseconds of a late start; 0: long ago.
    pub started_ms: u64,
}

/// How a front end's side of the board stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Standing {
    outage: Option<Outage>,
    /// Counted up with each move.
    address: u32,
}

/// One front end's side.
struct Side {
    standing: watch::Sender<Standing>,
    addresses: Mutex<Vec<SocketAddr>>,
    /// Where this front end finds each worker.
    workers: Vec<SocketAddr>,
}

struct Shared {
    recorder: Arc<Recorder>,
    changes: Mutex<Vec<Change>>,
    last: watch::Sender<u64>,
    sides: Vec<Side>,
    random: Mutex<Pcg64>,
}

/// The board.
#[derive(Clone)]
pub struct Board(Arc<Shared>);

impl Board {
    /// A board that lists all workers as ready since long ago; `workers` tells where each front end finds them.
    ///
    /// # Errors
    /// Fails if there is no port.
    pub async fn start(
        recorder: Arc<Recorder>, workers: Vec<Vec<SocketAddr>>, seed: u64,
    ) -> io::Result<Board> {
        let count = workers.first().map_or(0, Vec::len);
        let first = |worker| Change { worker, process: 0, state: Listing::Ready, started_ms: 0 };
        let changes: Vec<Change> = (0..count).map(first).collect();
        let standing = Standing { outage: None, address: 0 };
        let side =
            |workers| Side { standing: watch::Sender::new(standing), addresses: Mutex::default(), workers };
        let board = Board(Arc::new(Shared {
            recorder,
            last: watch::Sender::new(changes.len() as u64),
            changes: Mutex::new(changes),
            sides: workers.into_iter().map(side).collect(),
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
        }));
        for front_end in 0..board.0.sides.len() {
            board.listen(front_end, 0).await?;
        }
        Ok(board)
    }

    /// Where a front end finds the board now.
    pub fn address(&self, front_end: usize) -> Option<SocketAddr> {
        self.0.sides.get(front_end)?.addresses.lock().ok()?.last().copied()
    }

    /// The list's version.
    pub fn version(&self) -> u64 {
        *self.0.last.borrow()
    }

    /// The configuration's `known` for a front end.
    pub fn known(&self, front_end: usize) -> (u64, String) {
        let version = self.version();
        (version, format!(r#"{{"rev":{version},"notices":[{}]}}"#, self.0.whole(front_end, version)))
    }

    /// Changes the list.
    pub fn change(&self, change: Change) {
        let Ok(mut changes) = self.0.changes.lock() else { return };
        changes.push(change.clone());
        let version = changes.len() as u64;
        let (worker, process, state) = (change.worker, change.process, change.state);
        let late_start = change.started_ms > 0;
        self.0.recorder.add(Event::Listed { version, worker, process, state, late_start });
        self.0.last.send_replace(version);
    }

    /// Cuts a front end off, or ends that.
    pub fn cut(&self, front_end: usize, outage: Option<Outage>) {
        let Some(side) = self.0.sides.get(front_end) else { return };
        match outage {
            Some(outage) => self.0.recorder.add(Event::OutageBegan { front_end, outage }),
            None => self.0.recorder.add(Event::OutageEnded { front_end }),
        };
        side.standing.send_modify(|standing| standing.outage = outage);
    }

    /// Has a front end's side move to another address.
    ///
    /// # Errors
    /// Fails if there is no port.
    pub async fn move_away(&self, front_end: usize) -> io::Result<()> {
        let Some(side) = self.0.sides.get(front_end) else { return Ok(()) };
        let next = side.standing.borrow().address + 1;
        self.listen(front_end, next).await?;
        side.standing.send_modify(|standing| standing.address = next);
        Ok(())
    }

    /// Serves an address of a front end's side for as long as it is the present one.
    async fn listen(&self, front_end: usize, number: u32) -> io::Result<()> {
        let listener = bind(SocketAddr::from((network::board(), 0)), QUEUE)?;
        let address = listener.local_addr()?;
        if let Ok(mut addresses) = self.0.sides[front_end].addresses.lock() {
            addresses.push(address);
        }
        tokio::spawn(self.0.clone().accept(front_end, number, address, listener));
        Ok(())
    }
}

fn bind(address: SocketAddr, queue: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(queue)
}

impl Shared {
    async fn accept(
        self: Arc<Self>, front_end: usize, number: u32, address: SocketAddr, listener: TcpListener,
    ) {
        let mut standing = self.sides[front_end].standing.subscribe();
        let mut listener = Some(listener);
        let mut fillers: Vec<TcpStream> = Vec::new();
        loop {
            let now = *standing.borrow_and_update();
            if now.address > number {
                return;
            }
            match now.outage {
                Some(Outage::Refused | Outage::MidEvent) => listener = None,
                Some(Outage::Hanging) if fillers.is_empty() => {
                    drop(listener.take());
                    listener = bind(address, 0).ok();
                    fillers = fill(address).await;
                }
                Some(Outage::Hanging) => {}
                Some(Outage::Silent) | None => {
                    if listener.is_none() || !fillers.is_empty() {
                        fillers.clear();
                        drop(listener.take());
                        listener = bind(address, QUEUE).ok();
                    }
                }
            }
            let takes = now.outage.is_none_or(|outage| outage == Outage::Silent);
            tokio::select! {
                changed = standing.changed() => if changed.is_err() { return },
                accepted = next(listener.as_ref().filter(|_| takes)) => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().watch(front_end, number, stream));
                    }
                }
            }
        }
    }

    /// Serves one call of the board.
    async fn watch(self: Arc<Self>, front_end: usize, number: u32, stream: TcpStream) {
        let mut standing = self.sides[front_end].standing.subscribe();
        let _ = stream.set_nodelay(true); // without it events are only later
        let (mut read, mut write) = stream.into_split();
        let Some(mut last) = self.ask(front_end, &mut read).await else { return };
        let mut changes = self.last.subscribe();
        let mut head = HEAD;
        loop {
            let now = *standing.borrow_and_update();
            match now.outage {
                _ if now.address > number => {
                    tokio::time::sleep(OLD_ADDRESS).await;
                    return;
                }
                Some(Outage::Silent | Outage::Hanging) => {
                    // Mute until the end of the outage, which ends this connection too.
                    while standing.borrow().outage.is_some() && standing.borrow().address <= number {
                        if standing.changed().await.is_err() {
                            return;
                        }
                    }
                    return;
                }
                Some(outage) => {
                    if outage == Outage::MidEvent {
                        let _ = write.write_all(b"id: 99999\ndata: {\"rev\":99999,\"pool\":{\"res").await;
                    }
                    reset(write, read);
                    return;
                }
                None => {}
            }
            let (bytes, version) = self.news(front_end, last, &mut changes);
            if !head.is_empty() && write.write_all(head).await.is_err() {
                return;
            }
            head = &[];
            if write.write_all(&bytes).await.is_err() {
                return;
            }
            if version > last {
                self.recorder.add(Event::BoardTold { front_end, version });
                last = version;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = standing.changed() => {}
                () = tokio::time::sleep(COMMENT_EACH) => {}
                end = read.read_u8() => if end.is_err() { return },
            }
        }
    }

    /// Reads a call; the last version that it names.
    async fn ask(&self, front_end: usize, read: &mut (impl AsyncReadExt + Unpin)) -> Option<u64> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(read.read_u8().await.ok()?);
        }
        self.recorder.add(Event::BoardAsked { front_end });
        let head = String::from_utf8_lossy(&head).into_owned();
        let last = head.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
        Some(last.and_then(|number| number.parse().ok()).unwrap_or(0))
    }

    /// What a front end that knows events up to `last` is to be told, and the version after it.
    fn news(&self, front_end: usize, last: u64, changes: &mut watch::Receiver<u64>) -> (Vec<u8>, u64) {
        let version = *changes.borrow_and_update();
        if version <= last {
            return (COMMENT.to_vec(), last);
        }
        let mut text = String::from_utf8_lossy(COMMENT).into_owned();
        if last == 0 {
            text += &format!("id: {version}\ndata: {}\n\n", self.whole(front_end, version));
            return (text.into_bytes(), version);
        }
        for number in last + 1..=version {
            let event = format!("id: {number}\ndata: {}\n\n", self.event(front_end, number));
            let twice = self.random.lock().is_ok_and(|mut random| random.random_bool(TWICE));
            text += &event.repeat(1 + usize::from(twice));
        }
        (text.into_bytes(), version)
    }

    fn event(&self, front_end: usize, number: u64) -> String {
        let Ok(changes) = self.changes.lock() else { return String::new() };
        let change = changes.get(number as usize - 1);
        let instances = change.map_or(String::new(), |c| self.instance(front_end, c));
        format!(r#"{{"rev":{number},"pool":{{"generation":1,"reset":false,"instances":[{instances}]}}}}"#)
    }

    fn whole(&self, front_end: usize, version: u64) -> String {
        let Ok(changes) = self.changes.lock() else { return String::new() };
        let mut latest: Vec<Option<&Change>> = vec![None; self.sides[front_end].workers.len()];
        changes.iter().take(version as usize).for_each(|c| latest[c.worker] = Some(c));
        let listed = latest.into_iter().flatten().filter(|c| c.state != Listing::Gone);
        let instances: Vec<String> = listed.map(|c| self.instance(front_end, c)).collect();
        let instances = instances.join(",");
        format!(r#"{{"rev":{version},"pool":{{"generation":1,"reset":true,"instances":[{instances}]}}}}"#)
    }

    fn instance(&self, front_end: usize, change: &Change) -> String {
        let state = match change.state {
            Listing::Ready => "ready",
            Listing::Draining => "draining",
            Listing::Gone => "gone",
        };
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"zone-0","machineType":"std","cell":0,"lifecycle":"{state}","weight":4,"startedAtMs":{}}}"#,
            worker_name(change.worker, change.process),
            self.sides[front_end].workers[change.worker],
            change.started_ms
        )
    }
}

/// The name under which a worker's process is listed: each is a new one.
pub fn worker_name(worker: usize, process: u32) -> String {
    format!("w{worker}-{process}")
}

async fn next(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Fills the queue of a listener that nobody accepts from: further connections hang.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    const PATIENCE: Duration = Duration::from_millis(50);
    let mut fillers = Vec::new();
    while fillers.len() < 8 {
        match tokio::time::timeout(PATIENCE, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Ends a connection with a reset.
fn reset(write: tokio::net::tcp::OwnedWriteHalf, read: tokio::net::tcp::OwnedReadHalf) {
    if let Ok(stream) = read.reunite(write) {
        let _ = stream.set_zero_linger(); // else it ends without one
    }
}
