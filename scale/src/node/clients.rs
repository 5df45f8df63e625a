//! Hollow clients of one front end: they call functions by their popularity over a few kept connections.
use super::wire::{abort, read_record, request, Record};
use crate::catalogue::Catalogue;
use crate::fleet::calls::{CallRecord, End};
use crate::time::{RealClock, SECOND};
use heronslip_policy::{Micros, RetrySafety, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;

/// What a client waits where its class states no time.
const DEFAULT_WAIT: Micros = 3 * SECOND;
/// Requests that one connection may carry together, by the protocol.
const REQUESTS_A_CONNECTION: usize = 32;
/// A connection without a request for this long is closed, by the protocol.
const IDLE: Duration = Duration::from_secs(4);

/// Whether a front end answers that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let path = [("SCRIPT_NAME", "/healthz".to_owned())];
        stream.write_all(&request(1, &path, &[])).await.ok()?;
        loop {
            match read_record(&mut stream).await.ok()? {
                Record::Output(_, content) if content.starts_with(b"Status: 200") => return Some(()),
                Record::End(_) => return None,
                _ => {}
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(1), ask).await.ok().flatten().is_some()
}

/// Answers that are awaited on a connection, by request id.
type Awaited = Arc<Mutex<HashMap<u16, (Vec<u8>, oneshot::Sender<Vec<u8>>)>>>;

/// A kept connection.
struct Connection {
    send: UnboundedSender<Vec<u8>>,
    awaited: Awaited,
    next: u16,
}

impl Connection {
    async fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (send, mut queue) = unbounded_channel::<Vec<u8>>();
        let awaited = Awaited::default();
        tokio::spawn(async move {
            while let Ok(Some(bytes)) = tokio::time::timeout(IDLE, queue.recv()).await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(read_answers(read, awaited.clone()));
        Ok(Connection { send, awaited, next: 0 })
    }

    fn open_requests(&self) -> usize {
        self.awaited.lock().map_or(usize::MAX, |a| a.len())
    }

    fn is_closed(&self) -> bool {
        self.send.is_closed()
    }
}

async fn read_answers(mut read: OwnedReadHalf, awaited: Awaited) {
    loop {
        let record = read_record(&mut read).await;
        let Ok(mut awaited) = awaited.lock() else { return };
        match record {
            Ok(Record::Output(id, content)) => {
                if let Some((output, _)) = awaited.get_mut(&id) {
                    output.extend(content);
                }
            }
            Ok(Record::End(id)) => {
                if let Some((output, tell)) = awaited.remove(&id) {
                    let _ = tell.send(output); // the client may just have left
                }
            }
            Ok(Record::Other) => {}
            Err(_) => return awaited.clear(),
        }
    }
}

/// Where calls that ended are handed in.
pub type Ended = UnboundedSender<CallRecord>;

/// The clients of one front end.
pub struct Clients {
    address: SocketAddr,
    catalogue: Arc<Catalogue>,
    settings: Arc<Settings>,
    calls_per_s: f64,
    clock: RealClock,
    random: Pcg64,
    ended: Ended,
    connections: Vec<Connection>,
}

impl Clients {
    /// Clients that make so many calls a second.
    pub fn new(
        address: SocketAddr, seed: u64, calls_per_s: f64, catalogue: Arc<Catalogue>, settings: Arc<Settings>,
        clock: RealClock, ended: Ended,
    ) -> Self {
        let random = Pcg64::seed_from_u64(seed);
        let connections = Vec::new();
        Clients { address, catalogue, settings, calls_per_s, clock, random, ended, connections }
    }

    /// Calls until the task is ended.
    pub async fn run(mut self) {
        if self.calls_per_s <= 0.0 {
            return;
        }
        let mut next = tokio::time::Instant::now();
        loop {
            let drawn: f64 = self.random.random();
            next += Duration::from_secs_f64(-(1.0 - drawn).ln() / self.calls_per_s);
            tokio::time::sleep_until(next).await;
            if self.call().await.is_none() {
                self.lost();
            }
        }
    }

    /// A call that could not be made.
    fn lost(&self) {
        let now = self.clock.now();
        let record = CallRecord { class: 0, asked: now, ended: now, end: End::Lost, cold_start: None };
        let _ = self.ended.send(record); // the run may just have ended
    }

    /// A connection with room, a new one if there is none.
    async fn connection(&mut self) -> Option<&mut Connection> {
        self.connections.retain(|c| !c.is_closed());
        let free = self.connections.iter().position(|c| c.open_requests() < REQUESTS_A_CONNECTION);
        let at = match free {
            Some(at) => at,
            None => {
                self.connections.push(Connection::open(self.address).await.ok()?);
                self.connections.len() - 1
            }
        };
        self.connections.get_mut(at)
    }

    async fn call(&mut self) -> Option<()> {
        let rank = self.catalogue.rank(self.random.random());
        let id: u64 = self.random.random();
        let function = &self.catalogue.functions[rank];
        let class = self.settings.classes.get(function.class)?;
        let wait = if class.client_timeout > 0 { class.client_timeout } else { DEFAULT_WAIT };
        let mut params = vec![
            ("SCRIPT_NAME", format!("/v1/{}", class.name)),
            ("HTTP_REQ_ID", format!("{id:016x}")),
            ("HTTP_REQ_WAIT_MS", (wait / 1_000).to_string()),
            ("HTTP_REQ_KEY", format!("{:016x}", function.id)),
            (
                "HTTP_X_MORE",
                format!(
                    "memory_mb:{:.0};lanes:{};load_ms:{}",
                    function.memory_mb,
                    self.catalogue.lanes,
                    function.load_time / 1_000
                ),
            ),
        ];
        if class.retry_safety == RetrySafety::Deduplicated {
            params.push(("HTTP_REQ_TOKEN", format!("{id:032x}")));
        }
        let class = function.class;
        let (clock, ended) = (self.clock, self.ended.clone());
        let connection = self.connection().await?;
        connection.next = connection.next % u16::MAX + 1;
        let number = connection.next;
        let (tell, answer) = oneshot::channel();
        connection.awaited.lock().ok()?.insert(number, (Vec::new(), tell));
        let asked = clock.now();
        connection.send.send(request(number, &params, b"emulated call")).ok()?;
        let (send, awaited) = (connection.send.clone(), connection.awaited.clone());
        tokio::spawn(async move {
            let answer = tokio::time::timeout(Duration::from_micros(wait), answer).await;
            if answer.is_err() {
                if let Ok(mut awaited) = awaited.lock() {
                    awaited.remove(&number);
                }
                let _ = send.send(abort(number)); // the connection may be gone
            }
            let (end, cold_start) = match answer {
                Ok(Ok(output)) => outcome(&output, asked),
                Ok(Err(_)) => (End::Lost, None),
                Err(_) => (End::Failed, None),
            };
            let _ = ended.send(CallRecord { class, asked, ended: clock.now(), end, cold_start });
        });
        Some(())
    }
}

/// How a call ended by its CGI response, and the time until it began where a load was needed for it.
fn outcome(output: &[u8], asked: Micros) -> (End, Option<Micros>) {
    let text = String::from_utf8_lossy(output);
    let status = text.strip_prefix("Status: ").and_then(|s| s.get(..3)).unwrap_or_default();
    match status {
        "200" => {
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
            let mut figures = body.split(' ').filter_map(|f| f.parse::<u64>().ok());
            let (warm, began) = (figures.next(), figures.next().unwrap_or(asked));
            (End::Served, (warm == Some(0)).then(|| began.saturating_sub(asked)))
        }
        "429" | "503" | "" => (End::Refused, None),
        _ => (End::Failed, None),
    }
}
