//! A hollow notice board: a numbered list told as server-sent events, whole or from a number on.
use super::deploy::zone_name;
use crate::world::{worker_number, List};
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

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const COMMENT: &[u8] = b":\n\n";
const COMMENT_EACH: Duration = Duration::from_secs(1);

/// What the board was asked for and told.
#[derive(Debug, Default)]
pub struct BoardCounts {
    /// Calls.
    pub calls: AtomicU64,
    /// Whole lists told.
    pub whole_lists: AtomicU64,
    /// Bytes of events and comments.
    pub bytes: AtomicU64,
    /// When calls came after the last heal of the board.
    pub after_heal: Mutex<Vec<Instant>>,
}

struct Shared {
    list: Mutex<List>,
    addresses: Vec<SocketAddr>,
    kinds: Vec<String>,
    last: watch::Sender<u64>,
    cut: watch::Sender<bool>,
    counts: BoardCounts,
}

/// The board on its socket.
#[derive(Clone)]
pub struct Board {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Board {
    /// Starts a board that tells this list of workers at these addresses.
    ///
    /// # Errors
    /// Fails if there is no port.
    pub async fn start(list: List, addresses: Vec<SocketAddr>, kinds: Vec<String>) -> io::Result<Board> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            last: watch::Sender::new(list.last()),
            cut: watch::Sender::new(false),
            list: Mutex::new(list),
            addresses,
            kinds,
            counts: BoardCounts::default(),
        });
        let inside = shared.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                inside.counts.calls.fetch_add(1, Ordering::Relaxed);
                if !*inside.cut.borrow() {
                    if let Ok(mut calls) = inside.counts.after_heal.lock() {
                        calls.push(Instant::now());
                    }
                    tokio::spawn(watcher(stream, inside.clone()));
                }
            }
        });
        Ok(Board { address, shared })
    }

    /// What has been counted.
    pub fn counts(&self) -> &BoardCounts {
        &self.shared.counts
    }

    /// The whole list as the configuration's `known`.
    pub fn known(&self) -> String {
        let Ok(list) = self.shared.list.lock() else { return String::new() };
        format!(
            r#"{{"rev":{},"notices":[{}]}}"#,
            list.last(),
            self.shared.event(list.last(), true, &list.whole())
        )
    }

    /// Replaces workers by new ones; the names under which those are listed.
    pub fn replace(&self, now: u64, workers: &[usize]) -> Vec<String> {
        let Ok(mut list) = self.shared.list.lock() else { return Vec::new() };
        let event = list.replaced(now, workers);
        self.shared.last.send_replace(event.number);
        let ready = event.entries.iter().filter(|e| e.state == WorkerState::Ready);
        ready.map(|e| e.worker.clone()).collect()
    }

    /// Cuts the board off: it closes every connection and every new one at once.
    pub fn cut(&self) {
        self.shared.cut.send_replace(true);
    }

    /// Ends a cut.
    pub fn heal(&self) {
        if let Ok(mut calls) = self.shared.counts.after_heal.lock() {
            calls.clear();
        }
        self.shared.cut.send_replace(false);
    }
}

impl Shared {
    fn event(&self, number: u64, reset: bool, entries: &[WorkerEntry]) -> String {
        let mut instances = String::new();
        for entry in entries {
            let address = worker_number(&entry.worker).and_then(|n| self.addresses.get(n));
            let Some(address) = address else { continue };
            let kind = self.kinds.get(entry.machine_type).map_or("", String::as_str);
            let comma = if instances.is_empty() { "" } else { "," };
            let _ = write!(
                instances,
                r#"{comma}{{"instanceId":"{}","hostPort":"{address}","zone":"{}","machineType":"{kind}","cell":{},"lifecycle":"{}","weight":4,"startedAtMs":{}}}"#,
                entry.worker,
                zone_name(entry.zone),
                entry.cell,
                if entry.state == WorkerState::Gone { "gone" } else { "ready" },
                entry.started_at / 1_000,
            ); // writing to a text cannot fail
        }
        format!(r#"{{"rev":{number},"pool":{{"generation":1,"reset":{reset},"instances":[{instances}]}}}}"#)
    }

    /// What a watcher that knows events up to `last` is to be told, and the number after it.
    fn news(&self, last: u64) -> (Vec<u8>, u64) {
        let Ok(list) = self.list.lock() else { return (Vec::new(), last) };
        let mut out = String::new();
        let missed = if last == 0 { None } else { list.since(last) };
        match missed {
            Some(events) => {
                for e in events {
                    let _ = write!(
                        out,
                        "id: {}\ndata: {}\n\n",
                        e.number,
                        self.event(e.number, false, &e.entries)
                    );
                }
            }
            None => {
                self.counts.whole_lists.fetch_add(1, Ordering::Relaxed);
                let number = list.last();
                let _ = write!(out, "id: {number}\ndata: {}\n\n", self.event(number, true, &list.whole()));
            }
        }
        (out.into_bytes(), list.last())
    }
}

/// Serves one call until it ends.
async fn watcher(stream: TcpStream, shared: Arc<Shared>) {
    let mut cut = shared.cut.subscribe();
    tokio::select! {
        _ = tell(stream, shared.clone()) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

async fn tell(mut stream: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let last = head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: ")).and_then(|n| n.parse().ok());
    let mut last: u64 = last.unwrap_or(0);
    let mut changes = shared.last.subscribe();
    stream.write_all(HEAD).await?;
    loop {
        let newest = *changes.borrow_and_update();
        let (bytes, next) = if newest > last { shared.news(last) } else { (COMMENT.to_vec(), last) };
        shared.counts.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        stream.write_all(&bytes).await?;
        last = next;
        let _ = tokio::time::timeout(COMMENT_EACH, changes.changed()).await; // a comment is due
    }
}
