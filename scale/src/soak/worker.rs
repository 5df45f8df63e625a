//! A stand-in worker: it loads, serves, turns away, drains, dies, hangs and answers oddly, as it is told.
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

const CALL: u8 = 2;
const GIVE_UP: u8 = 3;
const HOLD: u8 = 6;
const OK: u8 = 200;
const FULL: u8 = 203;
const OVER: u8 = 205;
const TAKES_WORK: u8 = 206;
const TAKES_NO_WORK: u8 = 207;
/// Calls that wait for a lane, for each lane: enough that a worker can be sent more than it can do.
const WAITING_PER_LANE: usize = 100;
/// A load takes this long.
const LOAD: Duration = Duration::from_millis(150);

/// How a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The number of its process; odd answers and links belong to one.
    pub process: u32,
    /// Whether a process runs.
    pub up: bool,
    /// Whether it drains.
    pub draining: bool,
    /// Whether it turns all away.
    pub refusing: bool,
    /// Whether it reads and writes nothing.
    pub hung: bool,
    /// Counted up with each reset of the idle connections.
    pub resets: u32,
}

/// What all workers of a play share.
pub struct Common {
    /// Where events go.
    pub recorder: Arc<Recorder>,
    /// Mean work of a call.
    pub work: Duration,
    /// Calls that a worker runs at a time.
    pub lanes: u32,
    /// Share of odd answers.
    pub odd_answers: f64,
    /// Numbers of links.
    pub links: AtomicU64,
}

/// A worker with an address for each front end.
pub struct Worker {
    number: usize,
    common: Arc<Common>,
    /// How it stands; changed by the play.
    pub standing: watch::Sender<Standing>,
    lanes: Semaphore,
    waiting: AtomicUsize,
    loaded: Mutex<(u32, HashSet<u64>)>,
    random: Mutex<Pcg64>,
}

/// The sending side of a link.
struct Link {
    number: u64,
    front_end: usize,
    process: u32,
    write: tokio::sync::Mutex<Option<OwnedWriteHalf>>,
    /// Requests whose calls are open; nothing once the link has ended.
    open: Mutex<Option<HashSet<u64>>>,
}

impl Worker {
    /// Binds an address for each front end and serves there.
    ///
    /// # Errors
    /// Fails if there is no port.
    pub async fn start(
        number: usize, front_ends: usize, common: Arc<Common>, seed: u64,
    ) -> io::Result<(Arc<Worker>, Vec<SocketAddr>)> {
        let standing =
            Standing { process: 0, up: true, draining: false, refusing: false, hung: false, resets: 0 };
        let worker = Arc::new(Worker {
            number,
            lanes: Semaphore::new(common.lanes as usize),
            common,
            standing: watch::Sender::new(standing),
            waiting: AtomicUsize::new(0),
            loaded: Mutex::default(),
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
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

    async fn accept(self: Arc<Self>, front_end: usize, address: SocketAddr, listener: TcpListener) {
        let mut standing = self.standing.subscribe();
        let mut listener = Some(listener);
        loop {
            let now = *standing.borrow_and_update();
            match (now.up, &listener) {
                (false, _) => listener = None,
                (true, None) => listener = bind(address).ok(),
                _ => {}
            }
            let Some(open) = &listener else {
                if standing.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                changed = standing.changed() => if changed.is_err() { return },
                accepted = open.accept() => if let Ok((stream, _)) = accepted {
                    tokio::spawn(self.clone().serve(front_end, stream));
                },
            }
        }
    }

    async fn serve(self: Arc<Self>, front_end: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true); // without it answers are only later
        let _ = stream.set_zero_linger(); // a process that dies resets its connections
        let mut standing = self.standing.subscribe();
        let now = *standing.borrow_and_update();
        let (mut read, write) = stream.into_split();
        let link = Arc::new(Link {
            number: self.common.links.fetch_add(1, Ordering::Relaxed),
            front_end,
            process: now.process,
            write: tokio::sync::Mutex::new(Some(write)),
            open: Mutex::new(Some(HashSet::new())),
        });
        let resets = now.resets;
        let (frames, mut received) = tokio::sync::mpsc::unbounded_channel();
        let (worker, to) = (self.clone(), link.clone());
        // Commands are taken down as they arrive, also while the worker does nothing about them.
        let reader = tokio::spawn(async move {
            while let Ok(frame) = read_frame(&mut read).await {
                let Some(command) = worker.received(&to, &frame) else { continue };
                if frames.send((frame, command)).is_err() {
                    break;
                }
            }
            worker.ended(&to); // what is open there is given up, also at a worker that does not look
        });
        loop {
            let now = *standing.borrow_and_update();
            let idle = link.open.lock().is_ok_and(|open| open.as_ref().is_none_or(HashSet::is_empty));
            if !now.up || now.process != link.process || now.resets > resets && idle {
                break;
            }
            tokio::select! {
                changed = standing.changed() => if changed.is_err() { break },
                frame = received.recv(), if !now.hung => match frame {
                    Some((frame, command)) => self.take(&link, &frame, command),
                    None => break,
                },
            }
        }
        reader.abort();
        drop(link.write.lock().await.take());
        self.ended(&link);
    }

    /// A link has ended, and what was open there with it.
    fn ended(&self, link: &Link) {
        let Ok(mut open) = link.open.lock() else { return };
        if open.take().is_some() {
            self.common.recorder.add(Event::LinkEnded { link: link.number });
        }
    }

    /// Takes down that a command has arrived.
    fn received(&self, link: &Link, frame: &Frame) -> Option<Command> {
        let number = |name: &str| frame.field(name).and_then(|value| value.parse().ok());
        let command = match frame.code {
            CALL => Command::Call { request: frame.id, budget_ms: number("budget").unwrap_or(0) },
            GIVE_UP => Command::GiveUp { request: frame.id },
            HOLD => Command::Order { copies: number("slots_up").unwrap_or(0) as u32 },
            4 | 5 => Command::Probe,
            _ => return None,
        };
        let began = self.common.recorder.at(frame.received);
        self.common.recorder.add(Event::Received {
            worker: self.number,
            process: link.process,
            front_end: link.front_end,
            link: link.number,
            began,
            command: command.clone(),
        });
        Some(command)
    }

    /// Carries a command out; what takes time goes on by itself.
    fn take(self: &Arc<Self>, link: &Arc<Link>, frame: &Frame, command: Command) {
        let hex = |name: &str| frame.field(name).and_then(|value| u64::from_str_radix(value, 16).ok());
        let standing = *self.standing.borrow();
        let turned_away = standing.draining || standing.refusing;
        let (worker, link, id) = (self.clone(), link.clone(), frame.id);
        match command {
            Command::Call { request, budget_ms } => {
                if let Ok(mut open) = link.open.lock() {
                    open.as_mut().map(|open| open.insert(request));
                }
                let function = hex("path").unwrap_or(0);
                let until = frame.received + Duration::from_millis(budget_ms);
                tokio::spawn(async move { worker.call(&link, request, function, until, turned_away).await });
            }
            Command::GiveUp { request } => {
                if let Ok(mut open) = link.open.lock() {
                    open.as_mut().map(|open| open.remove(&request));
                }
            }
            Command::Order { copies } => {
                let function = hex("path").unwrap_or(0);
                tokio::spawn(async move {
                    let code = if copies > 0 && turned_away { FULL } else { OK };
                    let stands = worker.load(function, copies > 0 && code == OK).await;
                    let fields = format!("slots_up={}", u32::from(stands));
                    worker.send(&link, &encode_reply(code, id, &fields, &[])).await;
                });
            }
            Command::Probe => {
                let code = if turned_away { TAKES_NO_WORK } else { TAKES_WORK };
                tokio::spawn(async move {
                    worker.send(&link, &encode_reply(code, id, "use=busy_reqs:1;x1:0", &[])).await;
                });
            }
        }
    }

    /// Whether a copy stands; loads one if that is wanted.
    async fn load(&self, function: u64, wanted: bool) -> bool {
        let process = self.standing.borrow().process;
        let stands = |insert: bool| {
            let Ok(mut loaded) = self.loaded.lock() else { return false };
            if loaded.0 != process {
                *loaded = (process, HashSet::new());
            }
            if insert {
                loaded.1.insert(function);
            }
            loaded.1.contains(&function)
        };
        if !stands(false) && wanted {
            tokio::time::sleep(LOAD).await;
            return stands(true);
        }
        stands(false)
    }

    async fn call(&self, link: &Link, request: u64, function: u64, until: Instant, turned_away: bool) {
        let most = self.common.lanes as usize * WAITING_PER_LANE;
        if turned_away || self.waiting.load(Ordering::Acquire) >= most {
            return self.reply(link, request, Reply::TurnedAway, &encode_reply(FULL, request, "", &[])).await;
        }
        self.waiting.fetch_add(1, Ordering::AcqRel);
        let lane = self.lanes.acquire().await;
        if Instant::now() > until {
            // One whose time is up is not begun.
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            return self.reply(link, request, Reply::TurnedAway, &encode_reply(OVER, request, "", &[])).await;
        }
        let warm = self.load(function, false).await;
        self.load(function, true).await;
        let (drawn, odd, kind) = match self.random.lock() {
            Ok(mut random) => (
                random.random::<f64>(),
                random.random_bool(self.common.odd_answers),
                random.random_range(0..4),
            ),
            Err(_) => return,
        };
        tokio::time::sleep(self.common.work.mul_f64(0.5 + drawn)).await;
        drop(lane);
        self.waiting.fetch_sub(1, Ordering::AcqRel);
        let detail = if warm { "resident" } else { "booted" };
        let fields = format!("detail={detail},use=busy_reqs:{};x1:0", self.waiting.load(Ordering::Acquire));
        let mut bytes = encode_reply(OK, request, &fields, body(request).as_bytes());
        match (odd, kind) {
            (false, _) => self.reply(link, request, Reply::Ok, &bytes).await,
            (true, 0) => {
                tokio::time::sleep(Duration::from_millis(2_000)).await;
                self.reply(link, request, Reply::Ok, &bytes).await;
            }
            (true, 1) => {
                self.reply(link, request, Reply::Ok, &bytes).await;
                self.send(link, &bytes).await;
            }
            (true, 2) => {
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
                self.reply(link, request, Reply::Spoilt, &bytes).await;
            }
            (true, _) => {
                self.reply(link, request, Reply::Spoilt, &bytes[..bytes.len() / 2]).await;
                drop(link.write.lock().await.take());
            }
        }
    }

    /// Ends a call, unless it was given up.
    async fn reply(&self, link: &Link, request: u64, reply: Reply, bytes: &[u8]) {
        self.while_hung().await;
        {
            let Ok(mut open) = link.open.lock() else { return };
            if !open.as_mut().is_some_and(|open| open.remove(&request)) {
                return; // given up
            }
            let (worker, front_end) = (self.number, link.front_end);
            self.common.recorder.add(Event::Replied { worker, front_end, request, reply });
        }
        self.send(link, bytes).await;
    }

    async fn send(&self, link: &Link, bytes: &[u8]) {
        self.while_hung().await;
        if let Some(write) = link.write.lock().await.as_mut() {
            let _ = write.write_all(bytes).await; // the front end may have closed
        }
    }

    async fn while_hung(&self) {
        let mut standing = self.standing.subscribe();
        let _ = standing.wait_for(|standing| !standing.hung).await; // the play may have ended
    }
}

/// The body that a worker makes for a request.
pub fn body(request: u64) -> String {
    format!("made for {request:016x}")
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(256)
}
