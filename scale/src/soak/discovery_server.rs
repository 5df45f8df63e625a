//! A stand-in discovery server: publishes one worker list to every front end, each at an address of its own,
//! and can be cut off from each.
use super::network;
use super::record::{Event, Outage, Recorder, WorkerState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// An event stream comment, sent as a keep-alive.
const COMMENT: &[u8] = b":\n\n";
/// Time after which a comment is sent if there is no event.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// How long connections to an old address stay open after the server has moved to a new one.
const OLD_ADDRESS_LINGER: Duration = Duration::from_millis(1_500);
/// Share of events that are sent twice.
const DUPLICATED_EVENT_SHARE: f64 = 0.1;
const LISTEN_BACKLOG: u32 = 64;

/// A change of the worker list.
#[derive(Clone, Debug)]
pub struct Change {
    /// The worker.
    pub worker: usize,
    /// Number of its process.
    pub process: u32,
    /// Its new state.
    pub state: WorkerState,
    /// When the process started, in Unix milliseconds; 0 if that was before the run.
    pub started_at_ms: u64,
}

/// The state of the server as one front end sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerStatus {
    outage: Option<Outage>,
    /// Index of the present address, incremented with each change of address.
    address_index: u32,
}

/// The server as one front end sees it.
struct Endpoint {
    status: watch::Sender<ServerStatus>,
    /// All addresses so far, the present one last.
    addresses: Mutex<Vec<SocketAddr>>,
    /// The address of each worker for this front end.
    workers: Vec<SocketAddr>,
}

struct Shared {
    recorder: Arc<Recorder>,
    /// All changes; a change's version is its position, counted from 1.
    changes: Mutex<Vec<Change>>,
    version: watch::Sender<u64>,
    endpoints: Vec<Endpoint>,
    rng: Mutex<Pcg64>,
}

/// The discovery server.
#[derive(Clone)]
pub struct DiscoveryServer(Arc<Shared>);

impl DiscoveryServer {
    /// Starts a server that lists all workers as ready; `workers` holds their addresses for each front end.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(
        recorder: Arc<Recorder>, workers: Vec<Vec<SocketAddr>>, seed: u64,
    ) -> io::Result<DiscoveryServer> {
        let count = workers.first().map_or(0, Vec::len);
        let initial = |worker| Change { worker, process: 0, state: WorkerState::Ready, started_at_ms: 0 };
        let changes: Vec<Change> = (0..count).map(initial).collect();
        let status = ServerStatus { outage: None, address_index: 0 };
        let endpoint =
            |workers| Endpoint { status: watch::Sender::new(status), addresses: Mutex::default(), workers };
        let server = DiscoveryServer(Arc::new(Shared {
            recorder,
            version: watch::Sender::new(changes.len() as u64),
            changes: Mutex::new(changes),
            endpoints: workers.into_iter().map(endpoint).collect(),
            rng: Mutex::new(Pcg64::seed_from_u64(seed)),
        }));
        for front_end in 0..server.0.endpoints.len() {
            server.listen(front_end, 0).await?;
        }
        Ok(server)
    }

    /// The present address of the server for a front end.
    pub fn address(&self, front_end: usize) -> Option<SocketAddr> {
        self.0.endpoints.get(front_end)?.addresses.lock().ok()?.last().copied()
    }

    /// The version of the worker list.
    pub fn version(&self) -> u64 {
        *self.0.version.borrow()
    }

    /// The version of the worker list, and the full list in the format of the configuration's `known`.
    pub fn configured_list(&self, front_end: usize) -> (u64, String) {
        let version = self.version();
        (version, format!(r#"{{"rev":{version},"notices":[{}]}}"#, self.0.snapshot(front_end, version)))
    }

    /// Changes the worker list and notifies the front ends.
    pub fn publish(&self, change: Change) {
        let Ok(mut changes) = self.0.changes.lock() else { return };
        changes.push(change.clone());
        let version = changes.len() as u64;
        let (worker, process, state) = (change.worker, change.process, change.state);
        let has_start_time = change.started_at_ms > 0;
        self.0.recorder.record(Event::WorkerListChanged { version, worker, process, state, has_start_time });
        self.0.version.send_replace(version);
    }

    /// Begins or ends an outage for a front end.
    pub fn set_outage(&self, front_end: usize, outage: Option<Outage>) {
        let Some(endpoint) = self.0.endpoints.get(front_end) else { return };
        match outage {
            Some(outage) => self.0.recorder.record(Event::OutageBegan { front_end, outage }),
            None => self.0.recorder.record(Event::OutageEnded { front_end }),
        };
        endpoint.status.send_modify(|status| status.outage = outage);
    }

    /// Changes the address of the server for a front end.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn change_address(&self, front_end: usize) -> io::Result<()> {
        let Some(endpoint) = self.0.endpoints.get(front_end) else { return Ok(()) };
        let next = endpoint.status.borrow().address_index + 1;
        self.listen(front_end, next).await?;
        endpoint.status.send_modify(|status| status.address_index = next);
        Ok(())
    }

    /// Serves an address for a front end until the server moves to another one.
    async fn listen(&self, front_end: usize, address_index: u32) -> io::Result<()> {
        let listener = bind(SocketAddr::from((network::discovery(), 0)), LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        if let Ok(mut addresses) = self.0.endpoints[front_end].addresses.lock() {
            addresses.push(address);
        }
        tokio::spawn(self.0.clone().accept(front_end, address_index, address, listener));
        Ok(())
    }
}

fn bind(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

impl Shared {
    /// Accepts connections at an address; during an outage refuses them, or leaves them hanging.
    async fn accept(
        self: Arc<Self>, front_end: usize, address_index: u32, address: SocketAddr, listener: TcpListener,
    ) {
        let mut status = self.endpoints[front_end].status.subscribe();
        let mut listener = Some(listener);
        let mut fillers: Vec<TcpStream> = Vec::new();
        loop {
            let current = *status.borrow_and_update();
            if current.address_index > address_index {
                return;
            }
            match current.outage {
                Some(Outage::Refused | Outage::MidEvent) => listener = None,
                Some(Outage::Hanging) if fillers.is_empty() => {
                    drop(listener.take());
                    listener = bind(address, 0).ok();
                    fillers = fill_backlog(address).await;
                }
                Some(Outage::Hanging) => {}
                Some(Outage::Silent) | None => {
                    if listener.is_none() || !fillers.is_empty() {
                        fillers.clear();
                        drop(listener.take());
                        listener = bind(address, LISTEN_BACKLOG).ok();
                    }
                }
            }
            let accepts = current.outage.is_none_or(|outage| outage == Outage::Silent);
            tokio::select! {
                changed = status.changed() => if changed.is_err() { return },
                accepted = accept_next(listener.as_ref().filter(|_| accepts)) => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().serve(front_end, address_index, stream));
                    }
                }
            }
        }
    }

    /// Serves one subscription to the worker list.
    async fn serve(self: Arc<Self>, front_end: usize, address_index: u32, stream: TcpStream) {
        let mut status = self.endpoints[front_end].status.subscribe();
        let _ = stream.set_nodelay(true); // only affects latency
        let (mut read, mut write) = stream.into_split();
        let Some(mut last_sent) = self.read_request(front_end, &mut read).await else { return };
        let mut version_changes = self.version.subscribe();
        let mut head = RESPONSE_HEAD;
        loop {
            let current = *status.borrow_and_update();
            match current.outage {
                _ if current.address_index > address_index => {
                    tokio::time::sleep(OLD_ADDRESS_LINGER).await;
                    return;
                }
                Some(Outage::Silent | Outage::Hanging) => {
                    // Sends nothing until the outage ends, then closes the connection.
                    while status.borrow().outage.is_some() && status.borrow().address_index <= address_index {
                        if status.changed().await.is_err() {
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
            let (bytes, version) = self.events_since(front_end, last_sent, &mut version_changes);
            if !head.is_empty() && write.write_all(head).await.is_err() {
                return;
            }
            head = &[];
            if write.write_all(&bytes).await.is_err() {
                return;
            }
            if version > last_sent {
                self.recorder.record(Event::DiscoverySent { front_end, version });
                last_sent = version;
            }
            tokio::select! {
                _ = version_changes.changed() => {}
                _ = status.changed() => {}
                () = tokio::time::sleep(COMMENT_INTERVAL) => {}
                byte = read.read_u8() => if byte.is_err() { return },
            }
        }
    }

    /// Reads a request; returns the last version that the front end has, or 0.
    async fn read_request(&self, front_end: usize, read: &mut (impl AsyncReadExt + Unpin)) -> Option<u64> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(read.read_u8().await.ok()?);
        }
        self.recorder.record(Event::DiscoveryRequested { front_end });
        let head = String::from_utf8_lossy(&head).into_owned();
        let last_event_id = head.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
        Some(last_event_id.and_then(|id| id.parse().ok()).unwrap_or(0))
    }

    /// The events after version `last` and the version that they lead to, or a keep-alive comment if there
    /// are none. A front end without a version (`last` is 0) gets the full list as one event.
    fn events_since(
        &self, front_end: usize, last: u64, version_changes: &mut watch::Receiver<u64>,
    ) -> (Vec<u8>, u64) {
        let version = *version_changes.borrow_and_update();
        if version <= last {
            return (COMMENT.to_vec(), last);
        }
        let mut text = String::from_utf8_lossy(COMMENT).into_owned();
        if last == 0 {
            text += &format!("id: {version}\ndata: {}\n\n", self.snapshot(front_end, version));
            return (text.into_bytes(), version);
        }
        for number in last + 1..=version {
            let event = format!("id: {number}\ndata: {}\n\n", self.event(front_end, number));
            let duplicated = self.rng.lock().is_ok_and(|mut rng| rng.random_bool(DUPLICATED_EVENT_SHARE));
            text += &event.repeat(1 + usize::from(duplicated));
        }
        (text.into_bytes(), version)
    }

    /// The change that led to a version, as the data of an event.
    fn event(&self, front_end: usize, version: u64) -> String {
        let Ok(changes) = self.changes.lock() else { return String::new() };
        let change = changes.get(version as usize - 1);
        let instances = change.map_or(String::new(), |c| self.instance(front_end, c));
        format!(r#"{{"rev":{version},"pool":{{"generation":1,"reset":false,"instances":[{instances}]}}}}"#)
    }

    /// The full worker list as of a version, as the data of an event.
    fn snapshot(&self, front_end: usize, version: u64) -> String {
        let Ok(changes) = self.changes.lock() else { return String::new() };
        let mut latest: Vec<Option<&Change>> = vec![None; self.endpoints[front_end].workers.len()];
        changes.iter().take(version as usize).for_each(|c| latest[c.worker] = Some(c));
        let listed = latest.into_iter().flatten().filter(|c| c.state != WorkerState::Gone);
        let instances: Vec<String> = listed.map(|c| self.instance(front_end, c)).collect();
        let instances = instances.join(",");
        format!(r#"{{"rev":{version},"pool":{{"generation":1,"reset":true,"instances":[{instances}]}}}}"#)
    }

    fn instance(&self, front_end: usize, change: &Change) -> String {
        let state = match change.state {
            WorkerState::Ready => "ready",
            WorkerState::Draining => "draining",
            WorkerState::Gone => "gone",
        };
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"zone-0","machineType":"std","cell":0,"lifecycle":"{state}","weight":4,"startedAtMs":{}}}"#,
            instance_id(change.worker, change.process),
            self.endpoints[front_end].workers[change.worker],
            change.started_at_ms
        )
    }
}

/// The id under which a worker's process is listed; each process has its own.
pub fn instance_id(worker: usize, process: u32) -> String {
    format!("w{worker}-{process}")
}

async fn accept_next(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Fills the backlog of a listener that accepts nothing, so that further connections hang.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
    const MAX_FILLERS: usize = 8;
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS {
        match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Ends a connection with a reset.
fn reset(write: tokio::net::tcp::OwnedWriteHalf, read: tokio::net::tcp::OwnedReadHalf) {
    if let Ok(stream) = read.reunite(write) {
        let _ = stream.set_zero_linger(); // if it fails, the connection ends with a FIN
    }
}
