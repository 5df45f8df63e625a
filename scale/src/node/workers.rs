//! Simulated workers on sockets: each has a listener, and all share one simulated environment that runs in
//! real time.
use super::wire::{encode_reply, read_frame, Frame};
use crate::time::RealClock;
use crate::world::{Command, Reply, WorkerCall, World};
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

// Codes of frames from front ends.
const CALL: u8 = 2;
const CANCEL: u8 = 3;
const PROBES: [u8; 2] = [4, 5];
const LOAD: u8 = 6;
const UNLOAD: u8 = 8;

// Codes of replies.
const OK: u8 = 200;
const MISS: u8 = 202;
const REJECTED: u8 = 203;
const FAILED: u8 = 204;
const EXPIRED: u8 = 205;
const ACCEPTING: u8 = 206;
const NOT_ACCEPTING: u8 = 207;

/// IDs of copy queries that keep an idle connection alive: front ends number these down from the middle of
/// the range of IDs. Commands are numbered down from its end, and the IDs of calls are random.
const KEEP_ALIVE_IDS: std::ops::Range<u64> = (u64::MAX / 2 - (1 << 40))..(u64::MAX / 2 + 1);

/// Bytes of the frames of one kind, in both directions.
#[derive(Debug, Default)]
pub struct ByteCounter(AtomicU64);

impl ByteCounter {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Traffic between front ends and workers, by kind.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Calls, cancellations, and the replies to calls.
    pub calls: ByteCounter,
    /// Load and unload commands.
    pub commands: ByteCounter,
    /// Copy queries, and the replies to all commands.
    pub copy_queries: ByteCounter,
    /// Copy queries that keep idle connections alive, and the replies to them.
    pub keep_alives: ByteCounter,
    /// Probes, by which a front end that has lost the discovery server checks whether workers accept calls,
    /// and the replies to them.
    pub probes: ByteCounter,
    /// Connections accepted so far.
    pub accepted_connections: AtomicU64,
    /// Connections that are open.
    pub open_connections: AtomicU64,
}

/// A message to the task that runs the simulated environment.
enum WorldMessage {
    /// A connection of this number was opened; replies go to the sender.
    Opened(usize, UnboundedSender<Vec<u8>>),
    /// A connection was closed.
    Closed(usize),
    /// A command arrived at a worker.
    Command { worker: usize, command: Command },
    /// The processes of these workers end and new ones start.
    Replace(Vec<usize>),
}

/// Simulated workers on their sockets.
pub struct Workers {
    /// The address of each worker.
    pub addresses: Vec<SocketAddr>,
    /// Traffic of the workers.
    pub traffic: Arc<Traffic>,
    world: UnboundedSender<WorldMessage>,
}

impl Workers {
    /// Binds a listener for each worker and starts the environment behind them.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound, such as for lack of ports or descriptors.
    pub async fn start(
        world: World, count: usize, ranks: BTreeMap<FunctionId, usize>,
    ) -> io::Result<Workers> {
        let traffic = Arc::new(Traffic::default());
        let (message_sender, messages) = unbounded_channel();
        let ranks = Arc::new(ranks);
        let mut addresses = Vec::with_capacity(count);
        for worker in 0..count {
            // Each worker has its own address: one address has too few ports for all listeners and
            // connections.
            let [.., a, b] = (worker as u32 + 1).to_be_bytes();
            let listener = TcpListener::bind((Ipv4Addr::new(127, 1, a, b), 0)).await?;
            addresses.push(listener.local_addr()?);
            let acceptor = Acceptor {
                worker,
                traffic: traffic.clone(),
                ranks: ranks.clone(),
                world: message_sender.clone(),
            };
            tokio::spawn(acceptor.run(listener));
        }
        tokio::spawn(run_world(world, messages, traffic.clone()));
        Ok(Workers { addresses, traffic, world: message_sender })
    }

    /// Replaces the processes of these workers.
    pub fn replace(&self, workers: Vec<usize>) {
        let _ = self.world.send(WorldMessage::Replace(workers)); // the environment ends with the run
    }
}

/// Accepts the connections to one worker.
#[derive(Clone)]
struct Acceptor {
    worker: usize,
    traffic: Arc<Traffic>,
    /// The rank of each function.
    ranks: Arc<BTreeMap<FunctionId, usize>>,
    world: UnboundedSender<WorldMessage>,
}

impl Acceptor {
    /// Serves each connection on a task of its own.
    async fn run(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.traffic.accepted_connections.fetch_add(1, Ordering::Relaxed) as usize;
            self.traffic.open_connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve(stream, number));
        }
    }

    /// Passes on the commands and replies of a connection until it ends.
    async fn serve(self, stream: TcpStream, number: usize) {
        let _ = stream.set_nodelay(true); // on failure replies are only delayed
        let (mut read, mut write) = stream.into_split();
        let (replies, mut queue) = unbounded_channel::<Vec<u8>>();
        let _ = self.world.send(WorldMessage::Opened(number, replies));
        let writer = tokio::spawn(async move {
            while let Some(bytes) = queue.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        while let Ok(frame) = read_frame(&mut read).await {
            let Some(command) = self.command(number, &frame) else { continue };
            let _ = self.world.send(WorldMessage::Command { worker: self.worker, command });
        }
        let _ = self.world.send(WorldMessage::Closed(number));
        writer.abort();
        self.traffic.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Decodes the command of a frame, and counts the frame. Returns `None` for a frame that the simulation
    /// ignores.
    fn command(&self, connection: usize, frame: &Frame) -> Option<Command> {
        let hex = |name: &str| frame.field(name).and_then(|v| u64::from_str_radix(v, 16).ok());
        let rank = |id: u64| self.ranks.get(&id).copied();
        let (front_end, id) = (connection, frame.id);
        let call = |rank| WorkerCall { front_end, request: id, attempt: 0, rank, arrived: 0 };
        match frame.code {
            CALL => {
                self.traffic.calls.add(frame.bytes);
                Some(Command::Call(call(rank(hex("path")?)?)))
            }
            CANCEL => {
                self.traffic.calls.add(frame.bytes);
                Some(Command::Cancel(call(0)))
            }
            LOAD => {
                let copies = frame.field("slots_up").and_then(|c| c.parse().ok())?;
                let counter = match copies {
                    0 if KEEP_ALIVE_IDS.contains(&id) => &self.traffic.keep_alives,
                    0 => &self.traffic.copy_queries,
                    _ => &self.traffic.commands,
                };
                counter.add(frame.bytes);
                Some(Command::Load { front_end, id, rank: rank(hex("path")?)?, copies })
            }
            UNLOAD => {
                self.traffic.commands.add(frame.bytes);
                Some(Command::Unload(rank(id)?))
            }
            code if PROBES.contains(&code) => {
                self.traffic.probes.add(frame.bytes);
                Some(Command::Probe { front_end, id })
            }
            _ => None,
        }
    }
}

/// Runs the simulated environment on the real clock until all senders of messages are gone.
async fn run_world(mut world: World, mut messages: UnboundedReceiver<WorldMessage>, traffic: Arc<Traffic>) {
    const MAX_SLEEP: Duration = Duration::from_millis(100);
    let clock = RealClock::start();
    let mut connections: HashMap<usize, UnboundedSender<Vec<u8>>> = HashMap::new();
    loop {
        let wait =
            world.next_event().map_or(MAX_SLEEP, |at| Duration::from_micros(at.saturating_sub(clock.now())));
        tokio::select! {
            message = messages.recv() => match message {
                Some(WorldMessage::Opened(number, replies)) => {
                    connections.insert(number, replies);
                }
                Some(WorldMessage::Closed(number)) => {
                    connections.remove(&number);
                }
                Some(WorldMessage::Command { worker, command }) => {
                    world.command(clock.now(), worker, command);
                }
                Some(WorldMessage::Replace(workers)) => for worker in workers {
                    world.stop(clock.now(), worker);
                    world.start(worker);
                },
                None => return,
            },
            () = tokio::time::sleep(wait.min(MAX_SLEEP)) => {}
        }
        for (at, _, reply) in world.advance(clock.now()) {
            let (connection, bytes) = encode_world_reply(at, &reply, &traffic);
            if let Some(replies) = connections.get(&connection) {
                let _ = replies.send(bytes); // the connection may just have ended
            }
        }
    }
}

/// The code of the reply for an outcome.
fn reply_code(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Ok => OK,
        Outcome::Miss => MISS,
        Outcome::Rejected => REJECTED,
        Outcome::NotSent => EXPIRED,
        _ => FAILED,
    }
}

/// Encodes a reply as a frame, and returns it with the number of its connection. The body of a served call
/// holds whether the call was warm (1 or 0), when it started, and when it ended.
fn encode_world_reply(at: u64, reply: &Reply, traffic: &Traffic) -> (usize, Vec<u8>) {
    match *reply {
        Reply::CallEnded { call, outcome, warm, inflight, waited } => {
            let detail = if warm { "resident" } else { "booted" };
            let fields = format!("detail={detail},use=busy_reqs:{inflight:.2};x1:0");
            let body = format!("{} {} {at}", u8::from(warm), call.arrived + waited);
            let body = if outcome == Outcome::Ok { body.as_bytes() } else { &[] };
            let bytes = encode_reply(reply_code(outcome), call.request, &fields, body);
            traffic.calls.add(bytes.len());
            (call.front_end, bytes)
        }
        Reply::ProbeEnded { front_end, id, outcome, inflight } => {
            let code = if outcome == Outcome::Ok { ACCEPTING } else { NOT_ACCEPTING };
            let bytes = encode_reply(code, id, &format!("use=busy_reqs:{inflight:.2};x1:0"), &[]);
            traffic.probes.add(bytes.len());
            (front_end, bytes)
        }
        Reply::LoadEnded { front_end, id, outcome, copies } => {
            let bytes = encode_reply(reply_code(outcome), id, &format!("slots_up={copies}"), &[]);
            let counter =
                if KEEP_ALIVE_IDS.contains(&id) { &traffic.keep_alives } else { &traffic.copy_queries };
            counter.add(bytes.len());
            (front_end, bytes)
        }
    }
}
