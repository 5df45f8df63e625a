//! Simulated clients of a front end: they call functions by popularity, over a few persistent connections.
use super::wire::{encode_abort, encode_request, read_record, Record};
use crate::catalogue::Catalogue;
use crate::fleet::calls::{CallOutcome, CallRecord};
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

/// Timeout of a client whose class states none.
const DEFAULT_CLIENT_TIMEOUT: Micros = 3 * SECOND;
/// Limit of the concurrent requests on a connection, by the protocol.
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// Time without a request after which a connection is closed, by the protocol.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Whether a front end responds to its health check as ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let path = [("SCRIPT_NAME", "/healthz".to_owned())];
        stream.write_all(&encode_request(1, &path, &[])).await.ok()?;
        loop {
            match read_record(&mut stream).await.ok()? {
                Record::Output(_, content) if content.starts_with(b"Status: 200") => return Some(()),
                Record::End(_) => return None,
                _ => {}
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(1), check).await.ok().flatten().is_some()
}

/// The requests of a connection whose responses are not complete, by request ID: the output so far, and where
/// the complete one goes.
type PendingResponses = Arc<Mutex<HashMap<u16, (Vec<u8>, oneshot::Sender<Vec<u8>>)>>>;

/// A persistent connection to a front end.
struct Connection {
    send: UnboundedSender<Vec<u8>>,
    pending: PendingResponses,
    /// ID of the request sent last.
    last_id: u16,
}

impl Connection {
    async fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (send, mut queue) = unbounded_channel::<Vec<u8>>();
        let pending = PendingResponses::default();
        tokio::spawn(async move {
            while let Ok(Some(bytes)) = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(read_responses(read, pending.clone()));
        Ok(Connection { send, pending, last_id: 0 })
    }

    fn open_requests(&self) -> usize {
        self.pending.lock().map_or(usize::MAX, |a| a.len())
    }

    fn is_closed(&self) -> bool {
        self.send.is_closed()
    }
}

async fn read_responses(mut read: OwnedReadHalf, pending: PendingResponses) {
    loop {
        let record = read_record(&mut read).await;
        let Ok(mut pending) = pending.lock() else { return };
        match record {
            Ok(Record::Output(id, content)) => {
                if let Some((output, _)) = pending.get_mut(&id) {
                    output.extend(content);
                }
            }
            Ok(Record::End(id)) => {
                if let Some((output, done)) = pending.remove(&id) {
                    let _ = done.send(output); // the client may just have timed out
                }
            }
            Ok(Record::Other) => {}
            Err(_) => return pending.clear(),
        }
    }
}

/// Receives the records of calls that ended.
pub type RecordSender = UnboundedSender<CallRecord>;

/// The clients of one front end.
pub struct Clients {
    address: SocketAddr,
    catalogue: Arc<Catalogue>,
    settings: Arc<Settings>,
    calls_per_s: f64,
    clock: RealClock,
    rng: Pcg64,
    records: RecordSender,
    connections: Vec<Connection>,
}

impl Clients {
    /// Clients that together make `calls_per_s` calls per second.
    pub fn new(
        address: SocketAddr, seed: u64, calls_per_s: f64, catalogue: Arc<Catalogue>, settings: Arc<Settings>,
        clock: RealClock, records: RecordSender,
    ) -> Self {
        let rng = Pcg64::seed_from_u64(seed);
        let connections = Vec::new();
        Clients { address, catalogue, settings, calls_per_s, clock, rng, records, connections }
    }

    /// Makes calls until the task is aborted.
    pub async fn run(mut self) {
        if self.calls_per_s <= 0.0 {
            return;
        }
        let mut next = tokio::time::Instant::now();
        loop {
            let uniform: f64 = self.rng.random();
            next += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.calls_per_s);
            tokio::time::sleep_until(next).await;
            if self.call().await.is_none() {
                self.record_lost();
            }
        }
    }

    /// Records a call that could not be sent.
    fn record_lost(&self) {
        let now = self.clock.now();
        let record =
            CallRecord { class: 0, sent: now, ended: now, outcome: CallOutcome::Lost, cold_start: None };
        let _ = self.records.send(record); // the run may just have ended
    }

    /// A connection with fewer requests than the limit; a new one if there is none.
    async fn connection(&mut self) -> Option<&mut Connection> {
        self.connections.retain(|c| !c.is_closed());
        let free = self.connections.iter().position(|c| c.open_requests() < MAX_REQUESTS_PER_CONNECTION);
        let at = match free {
            Some(at) => at,
            None => {
                self.connections.push(Connection::open(self.address).await.ok()?);
                self.connections.len() - 1
            }
        };
        self.connections.get_mut(at)
    }

    /// Sends a call; a task awaits its response. Returns `None` if it cannot be sent.
    async fn call(&mut self) -> Option<()> {
        let rank = self.catalogue.rank(self.rng.random());
        let id: u64 = self.rng.random();
        let function = &self.catalogue.functions[rank];
        let class = self.settings.classes.get(function.class)?;
        let timeout = if class.client_timeout > 0 { class.client_timeout } else { DEFAULT_CLIENT_TIMEOUT };
        let mut params = vec![
            ("SCRIPT_NAME", format!("/v1/{}", class.name)),
            ("HTTP_REQ_ID", format!("{id:016x}")),
            ("HTTP_REQ_WAIT_MS", (timeout / 1_000).to_string()),
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
        let (clock, records) = (self.clock, self.records.clone());
        let connection = self.connection().await?;
        connection.last_id = connection.last_id % u16::MAX + 1;
        let id_on_connection = connection.last_id;
        let (done, response) = oneshot::channel();
        connection.pending.lock().ok()?.insert(id_on_connection, (Vec::new(), done));
        let sent = clock.now();
        connection.send.send(encode_request(id_on_connection, &params, b"emulated call")).ok()?;
        let (send, pending) = (connection.send.clone(), connection.pending.clone());
        tokio::spawn(async move {
            let response = tokio::time::timeout(Duration::from_micros(timeout), response).await;
            if response.is_err() {
                if let Ok(mut pending) = pending.lock() {
                    pending.remove(&id_on_connection);
                }
                let _ = send.send(encode_abort(id_on_connection)); // the connection may be gone
            }
            let (outcome, cold_start) = match response {
                Ok(Ok(output)) => parse_response(&output, sent),
                Ok(Err(_)) => (CallOutcome::Lost, None),
                Err(_) => (CallOutcome::Failed, None),
            };
            let _ = records.send(CallRecord { class, sent, ended: clock.now(), outcome, cold_start });
        });
        Some(())
    }
}

/// The outcome of a call from its CGI response, and the time until it started at the worker if it waited for
/// a load.
fn parse_response(output: &[u8], sent: Micros) -> (CallOutcome, Option<Micros>) {
    let text = String::from_utf8_lossy(output);
    let status = text.strip_prefix("Status: ").and_then(|s| s.get(..3)).unwrap_or_default();
    match status {
        "200" => {
            let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
            let mut numbers = body.split(' ').filter_map(|f| f.parse::<u64>().ok());
            let (warm, started) = (numbers.next(), numbers.next().unwrap_or(sent));
            (CallOutcome::Served, (warm == Some(0)).then(|| started.saturating_sub(sent)))
        }
        // A front end that is over its limits ends a request without any output.
        "429" | "503" | "" => (CallOutcome::Refused, None),
        _ => (CallOutcome::Failed, None),
    }
}
