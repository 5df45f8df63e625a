//! A simulated discovery server: it streams the worker list as server-sent events, in full or from an event
//! number on.
use super::deploy::zone_name;
use crate::world::{worker_number, WorkerList};
use heronslip_policy::{WorkerEntry, WorkerState};
use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// An event stream comment, sent as a keep-alive.
const COMMENT: &[u8] = b":\n\n";
/// Time after which a comment is sent if there is no event.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Counters of the discovery server.
#[derive(Debug, Default)]
pub struct DiscoveryCounts {
    /// Requests, including those refused during a cut.
    pub requests: AtomicU64,
    /// Full lists sent.
    pub full_lists: AtomicU64,
    /// Bytes of the events and comments sent.
    pub bytes: AtomicU64,
    /// Times of the accepted requests since the last cut ended, or since the start.
    pub requests_after_cut: Mutex<Vec<Instant>>,
}

/// State shared by the server's connections.
struct Shared {
    list: Mutex<WorkerList>,
    /// Address of each worker.
    addresses: Vec<SocketAddr>,
    /// Names of the machine types.
    machine_types: Vec<String>,
    last_event: watch::Sender<u64>,
    /// Whether the server is cut off.
    cut: watch::Sender<bool>,
    counts: DiscoveryCounts,
}

/// A discovery server on a loopback socket.
#[derive(Clone)]
pub struct DiscoveryServer {
    /// The address it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl DiscoveryServer {
    /// Starts a server that sends this worker list, with these addresses of the workers.
    ///
    /// # Errors
    /// Fails if the server cannot listen.
    pub async fn start(
        list: WorkerList, addresses: Vec<SocketAddr>, machine_types: Vec<String>,
    ) -> io::Result<DiscoveryServer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            last_event: watch::Sender::new(list.last_event()),
            cut: watch::Sender::new(false),
            list: Mutex::new(list),
            addresses,
            machine_types,
            counts: DiscoveryCounts::default(),
        });
        let server = shared.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.counts.requests.fetch_add(1, Ordering::Relaxed);
                if !*server.cut.borrow() {
                    if let Ok(mut requests) = server.counts.requests_after_cut.lock() {
                        requests.push(Instant::now());
                    }
                    tokio::spawn(serve(stream, server.clone()));
                }
            }
        });
        Ok(DiscoveryServer { address, shared })
    }

    /// The counters so far.
    pub fn counts(&self) -> &DiscoveryCounts {
        &self.shared.counts
    }

    /// The full list in the format of the configuration's `known`.
    pub fn configured_list(&self) -> String {
        let Ok(list) = self.shared.list.lock() else { return String::new() };
        format!(
            r#"{{"rev":{},"notices":[{}]}}"#,
            list.last_event(),
            self.shared.event_json(list.last_event(), true, &list.snapshot())
        )
    }

    /// Replaces workers by new ones and returns the names of the new ones.
    pub fn replace(&self, now: u64, workers: &[usize]) -> Vec<String> {
        let Ok(mut list) = self.shared.list.lock() else { return Vec::new() };
        let event = list.replace(now, workers);
        self.shared.last_event.send_replace(event.number);
        let ready = event.entries.iter().filter(|e| e.state == WorkerState::Ready);
        ready.map(|e| e.worker.clone()).collect()
    }

    /// Cuts the server off: it closes all connections, and each new one immediately.
    pub fn cut(&self) {
        self.shared.cut.send_replace(true);
    }

    /// Ends a cut.
    pub fn restore(&self) {
        if let Ok(mut requests) = self.shared.counts.requests_after_cut.lock() {
            requests.clear();
        }
        self.shared.cut.send_replace(false);
    }
}

impl Shared {
    /// An event in JSON; `reset` says that it replaces all entries that the client has.
    fn event_json(&self, number: u64, reset: bool, entries: &[WorkerEntry]) -> String {
        let mut instances = String::new();
        for entry in entries {
            let address = worker_number(&entry.worker).and_then(|n| self.addresses.get(n));
            let Some(address) = address else { continue };
            let machine_type = self.machine_types.get(entry.machine_type).map_or("", String::as_str);
            let comma = if instances.is_empty() { "" } else { "," };
            let _ = write!(
                instances,
                r#"{comma}{{"instanceId":"{}","hostPort":"{address}","zone":"{}","machineType":"{machine_type}","cell":{},"lifecycle":"{}","weight":4,"startedAtMs":{}}}"#,
                entry.worker,
                zone_name(entry.zone),
                entry.cell,
                if entry.state == WorkerState::Gone { "gone" } else { "ready" },
                entry.started_at / 1_000,
            ); // writing to a String cannot fail
        }
        format!(r#"{{"rev":{number},"pool":{{"generation":1,"reset":{reset},"instances":[{instances}]}}}}"#)
    }

    /// The events after number `last` for a client, or the full list if the history does not reach back that
    /// far; and the number of the newest event.
    fn events_after(&self, last: u64) -> (Vec<u8>, u64) {
        let Ok(list) = self.list.lock() else { return (Vec::new(), last) };
        let mut out = String::new();
        let missed = if last == 0 { None } else { list.events_after(last) };
        match missed {
            Some(events) => {
                for event in events {
                    let _ = write!(
                        out,
                        "id: {}\ndata: {}\n\n",
                        event.number,
                        self.event_json(event.number, false, &event.entries)
                    );
                }
            }
            None => {
                self.counts.full_lists.fetch_add(1, Ordering::Relaxed);
                let number = list.last_event();
                let _ = write!(
                    out,
                    "id: {number}\ndata: {}\n\n",
                    self.event_json(number, true, &list.snapshot())
                );
            }
        }
        (out.into_bytes(), list.last_event())
    }
}

/// Serves a connection until it ends or the server is cut off.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let mut cut = shared.cut.subscribe();
    tokio::select! {
        _ = stream_events(stream, shared.clone()) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

/// Reads a request and sends events for as long as the connection lasts.
async fn stream_events(mut stream: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let last_event_id = head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: "));
    let mut last: u64 = last_event_id.and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut changes = shared.last_event.subscribe();
    stream.write_all(RESPONSE_HEAD).await?;
    loop {
        let newest = *changes.borrow_and_update();
        let (bytes, next) = if newest > last { shared.events_after(last) } else { (COMMENT.to_vec(), last) };
        shared.counts.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        stream.write_all(&bytes).await?;
        last = next;
        // If this times out, a comment is sent next.
        let _ = tokio::time::timeout(COMMENT_INTERVAL, changes.changed()).await;
    }
}
