//! Hollow workers on sockets: a listener each, all before one world that runs in real time.
use super::wire::{answer, read_frame, Frame};
use crate::time::RealClock;
use crate::world::{CallOut, Command, Reply, World};
use heronslip_policy::{FunctionId, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

const CALL: u8 = 2;
const GIVE_UP: u8 = 3;
const PROBES: [u8; 2] = [4, 5];
const TAKES_WORK: u8 = 206;
const TAKES_NO_WORK: u8 = 207;
const HOLD: u8 = 6;
const UNLOAD: u8 = 8;
/// Front ends number their questions on a quiet connection down from the middle of the range of ids; orders are
/// numbered from its end, and calls are drawn at random.
const KEEP_ALIVE_IDS: std::ops::Range<u64> = (u64::MAX / 2 - (1 << 40))..(u64::MAX / 2 + 1);

/// Bytes and frames of one kind, both ways.
#[derive(Debug, Default)]
pub struct Kind {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Kind {
    fn add(&self, frames: u64, bytes: usize) {
        self.frames.fetch_add(frames, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Frames from front ends, and bytes both ways.
    pub fn read(&self) -> (u64, u64) {
        (self.frames.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

/// What front ends sent to workers, by kind.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Calls and their answers.
    pub calls: Kind,
    /// Orders to hold or unload copies.
    pub orders: Kind,
    /// Questions: orders for no copy.
    pub questions: Kind,
    /// Questions on a quiet connection.
    pub keep_alives: Kind,
    /// Probes: a front end that has lost the board asks workers whether they take work.
    pub probes: Kind,
    /// Connections accepted.
    pub accepted: AtomicU64,
    /// Connections open now.
    pub open: AtomicU64,
}

/// What connections hand to the world.
enum ToWorld {
    Opened(usize, UnboundedSender<Vec<u8>>),
    Closed(usize),
    Command {
        worker: usize,
        command: Command,
    },
    /// The workers are replaced: their processes end and new ones start.
    Replace(Vec<usize>),
}

/// The workers on their sockets.
pub struct Workers {
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
    /// What came to them.
    pub traffic: Arc<Traffic>,
    to_world: UnboundedSender<ToWorld>,
}

impl Workers {
    /// Binds a listener for each worker and starts the world behind them.
    ///
    /// # Errors
    /// Fails if there are not enough ports or descriptors.
    pub async fn start(
        world: World, count: usize, ranks: BTreeMap<FunctionId, usize>,
    ) -> io::Result<Workers> {
        let traffic = Arc::new(Traffic::default());
        let (to_world, from_connections) = unbounded_channel();
        let ranks = Arc::new(ranks);
        let mut addresses = Vec::with_capacity(count);
        for worker in 0..count {
            // An address each: one address has too few ports for all of them and the connections to them.
            let [.., a, b] = (worker as u32 + 1).to_be_bytes();
            let listener = TcpListener::bind((Ipv4Addr::new(127, 1, a, b), 0)).await?;
            addresses.push(listener.local_addr()?);
            let accept =
                Accept { worker, traffic: traffic.clone(), ranks: ranks.clone(), to_world: to_world.clone() };
            tokio::spawn(accept.run(listener));
        }
        tokio::spawn(drive(world, from_connections, traffic.clone()));
        Ok(Workers { addresses, traffic, to_world })
    }

    /// Replaces the processes of these workers.
    pub fn replace(&self, workers: Vec<usize>) {
        let _ = self.to_world.send(ToWorld::Replace(workers)); // the world ends with the run
    }
}

#[derive(Clone)]
struct Accept {
    worker: usize,
    traffic: Arc<Traffic>,
    ranks: Arc<BTreeMap<FunctionId, usize>>,
    to_world: UnboundedSender<ToWorld>,
}

impl Accept {
    async fn run(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.traffic.accepted.fetch_add(1, Ordering::Relaxed) as usize;
            self.traffic.open.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve(stream, number));
        }
    }

    async fn serve(self, stream: TcpStream, number: usize) {
        let _ = stream.set_nodelay(true); // without it answers are only later
        let (mut read, mut write) = stream.into_split();
        let (answers, mut queue) = unbounded_channel::<Vec<u8>>();
        let _ = self.to_world.send(ToWorld::Opened(number, answers));
        let writer = tokio::spawn(async move {
            while let Some(bytes) = queue.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        while let Ok(frame) = read_frame(&mut read).await {
            let Some(command) = self.command(number, &frame) else { continue };
            let _ = self.to_world.send(ToWorld::Command { worker: self.worker, command });
        }
        let _ = self.to_world.send(ToWorld::Closed(number));
        writer.abort();
        self.traffic.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// What a frame asks of the world; counts it by its kind.
    fn command(&self, connection: usize, frame: &Frame) -> Option<Command> {
        let hex = |name: &str| frame.field(name).and_then(|v| u64::from_str_radix(v, 16).ok());
        let rank = |id: u64| self.ranks.get(&id).copied();
        let (front_end, id) = (connection, frame.id);
        let call = |rank| CallOut { front_end, id, attempt: 0, rank, arrived: 0 };
        match frame.code {
            CALL => {
                self.traffic.calls.add(1, frame.bytes);
                Some(Command::Call(call(rank(hex("path")?)?)))
            }
            GIVE_UP => {
                self.traffic.calls.add(0, frame.bytes);
                Some(Command::Cancel(call(0)))
            }
            HOLD => {
                let copies = frame.field("slots_up").and_then(|c| c.parse().ok())?;
                let kind = match copies {
                    0 if KEEP_ALIVE_IDS.contains(&id) => &self.traffic.keep_alives,
                    0 => &self.traffic.questions,
                    _ => &self.traffic.orders,
                };
                kind.add(1, frame.bytes);
                Some(Command::Hold { front_end, order: id, rank: rank(hex("path")?)?, copies })
            }
            UNLOAD => {
                self.traffic.orders.add(1, frame.bytes);
                Some(Command::Unload(rank(id)?))
            }
            code if PROBES.contains(&code) => {
                self.traffic.probes.add(1, frame.bytes);
                Some(Command::Probe { front_end, probe: id })
            }
            _ => None,
        }
    }
}

/// Runs the world on the real clock until nobody can reach it any more.
async fn drive(mut world: World, mut queue: UnboundedReceiver<ToWorld>, traffic: Arc<Traffic>) {
    const LONGEST_SLEEP: Duration = Duration::from_millis(100);
    let clock = RealClock::start();
    let mut connections: HashMap<usize, UnboundedSender<Vec<u8>>> = HashMap::new();
    loop {
        let wait =
            world.next().map_or(LONGEST_SLEEP, |at| Duration::from_micros(at.saturating_sub(clock.now())));
        tokio::select! {
            message = queue.recv() => match message {
                Some(ToWorld::Opened(number, answers)) => {
                    connections.insert(number, answers);
                }
                Some(ToWorld::Closed(number)) => {
                    connections.remove(&number);
                }
                Some(ToWorld::Command { worker, command }) => world.command(clock.now(), worker, command),
                Some(ToWorld::Replace(workers)) => for worker in workers {
                    world.stop(clock.now(), worker);
                    world.start(worker);
                },
                None => return,
            },
            () = tokio::time::sleep(wait.min(LONGEST_SLEEP)) => {}
        }
        for (at, _, reply) in world.advance(clock.now()) {
            let (connection, bytes) = encode(at, &reply, &traffic);
            if let Some(answers) = connections.get(&connection) {
                let _ = answers.send(bytes); // the connection may just have ended
            }
        }
    }
}

fn code(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Ok => 200,
        Outcome::Miss => 202,
        Outcome::Rejected => 203,
        Outcome::NotSent => 205,
        _ => 204,
    }
}

/// A reply as the frame of a connection. The body of a served call tells whether it was cold and when it began.
fn encode(at: u64, reply: &Reply, traffic: &Traffic) -> (usize, Vec<u8>) {
    match *reply {
        Reply::Ended { call, outcome, warm, held, waited } => {
            let detail = if warm { "resident" } else { "booted" };
            let fields = format!("detail={detail},use=busy_reqs:{held:.2};x1:0");
            let body = format!("{} {} {at}", u8::from(warm), call.arrived + waited);
            let body = if outcome == Outcome::Ok { body.as_bytes() } else { &[] };
            let bytes = answer(code(outcome), call.id, &fields, body);
            traffic.calls.add(0, bytes.len());
            (call.front_end, bytes)
        }
        Reply::Probed { front_end, probe, outcome, held } => {
            let code = if outcome == Outcome::Ok { TAKES_WORK } else { TAKES_NO_WORK };
            let bytes = answer(code, probe, &format!("use=busy_reqs:{held:.2};x1:0"), &[]);
            traffic.probes.add(0, bytes.len());
            (front_end, bytes)
        }
        Reply::Held { front_end, order, outcome, copies } => {
            let bytes = answer(code(outcome), order, &format!("slots_up={copies}"), &[]);
            let kind =
                if KEEP_ALIVE_IDS.contains(&order) { &traffic.keep_alives } else { &traffic.questions };
            kind.add(0, bytes.len());
            (front_end, bytes)
        }
    }
}
