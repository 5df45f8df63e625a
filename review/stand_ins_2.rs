//! Stand-ins and scenarios for the cases 6 to 10 of the review: clients, workers, and a discovery service.
//!
//!     stand_ins_2 CASE FOLDER
//!
//! Starts front ends with the `run` command of the deploy file, plays a scenario on loopback addresses, writes
//! `record.txt` into the folder of the case, and ends with 0 (the rule held), 1 (it was broken) or 2 (the case
//! could not run). `TROUBLE=0` plays the same without the disruption. Only the standard library is used.
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "10/scenario.rs"]
mod case_10;
#[path = "6/scenario.rs"]
mod case_6;
#[path = "7/scenario.rs"]
mod case_7;
#[path = "8/scenario.rs"]
mod case_8;
#[path = "9/scenario.rs"]
mod case_9;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What was sent, answered and run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn line(&self, text: impl Into<String>) {
        lock(&self.lines).push((self.start.elapsed(), text.into()));
    }

    pub fn write(&self, folder: &str) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|l| l.0);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>10.3} s  {line}", at.as_secs_f64());
        }
        let _ = std::fs::write(format!("{folder}/record.txt"), text);
    }

    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// A small generator of random numbers, so that ids are new with every run.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64) | 1;
    let _ = STATE.compare_exchange(0, seed(), Ordering::AcqRel, Ordering::Acquire);
    let mut z = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::AcqRel);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn crc32(bytes: &[u8]) -> u32 {
    let mut crc = !0u32;
    for &byte in bytes {
        crc ^= u32::from(byte);
        for _ in 0..8 {
            crc = (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg());
        }
    }
    !crc
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_or(0, |a| a.port())
}

// ---------------------------------------------------------------------------------------------- workers

/// A frame of the worker protocol.
pub struct Frame {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Frame {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.split(',').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name)).map(|p| p.1)
    }
}

fn read_frame(stream: &mut TcpStream) -> std::io::Result<Frame> {
    let mut head = [0; 16];
    stream.read_exact(&mut head)?;
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if head[0] != 126 || body > 1 << 20 {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut rest = vec![0; fields + body + 4];
    stream.read_exact(&mut rest)?;
    let (content, check) = rest.split_at(fields + body);
    if crc32(content).to_be_bytes() != check {
        return Err(ErrorKind::InvalidData.into());
    }
    Ok(Frame {
        code: head[1],
        id: u64::from_be_bytes(head[8..16].try_into().unwrap_or_default()),
        fields: String::from_utf8_lossy(&content[..fields]).into_owned(),
        body: content[fields..].to_vec(),
    })
}

fn answer_frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = vec![127, code];
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let check = crc32(&frame[16..]);
    frame.extend(check.to_be_bytes());
    frame
}

/// What a worker is like.
#[derive(Clone)]
pub struct WorkerKind {
    pub cores: usize,
    /// Core speed; the yardstick is 1.
    pub speed: f64,
    /// Work of a call on a yardstick core.
    pub work: Duration,
    /// Time of a load.
    pub load: Duration,
    /// An idle copy is unloaded after this time.
    pub keep: Duration,
}

impl WorkerKind {
    pub fn big() -> Self {
        WorkerKind { cores: 3, speed: 0.95, work: ms(100), load: ms(500), keep: ms(12_000) }
    }
}

struct Copies {
    count: u32,
    ready_at: Instant,
    last_used: Instant,
}

/// The idempotency keys that all workers share, with the time of the first call under each.
#[derive(Default)]
pub struct Keys(Mutex<HashMap<String, Instant>>);

/// How long a repeat under the same key is dropped.
const KEY_SPAN: Duration = Duration::from_millis(1_500);

impl Keys {
    /// Whether a call under this key is a repeat, which is dropped.
    fn is_repeat(&self, key: &str, now: Instant) -> bool {
        let mut keys = lock(&self.0);
        let is_repeat = keys.get(key).is_some_and(|&first| now < first + KEY_SPAN);
        if !is_repeat {
            keys.insert(key.to_owned(), now);
        }
        is_repeat
    }
}

struct Job {
    /// The connection that it came on.
    connection: u64,
    /// A core was free for it when it arrived, so that it was begun at once.
    is_begun: bool,
    frame: Frame,
    function: u64,
    arrived: Instant,
    expires: Instant,
    ready_at: Instant,
    detail: &'static str,
    out: Arc<Mutex<TcpStream>>,
}

/// How a worker treats loads that fail.
#[derive(Default)]
pub struct LoadFaults {
    /// One of so many loads fails; 0: none.
    pub failing_loads: AtomicUsize,
    loads: AtomicUsize,
    failed: AtomicUsize,
    /// The answer to a call that waited on a failed load comes a second time, some milliseconds later.
    pub second_copy: AtomicBool,
}

impl LoadFaults {
    /// Whether the load that now begins fails.
    fn next_fails(&self) -> bool {
        let (number, of) = (self.loads.fetch_add(1, Ordering::AcqRel), self.failing_loads.load(Ordering::Acquire));
        let fails = of > 0 && number % of == of / 2;
        self.failed.fetch_add(usize::from(fails), Ordering::AcqRel);
        fails
    }

    /// Loads, and how many of them failed.
    pub fn counts(&self) -> (usize, usize) {
        (self.loads.load(Ordering::Acquire), self.failed.load(Ordering::Acquire))
    }
}

/// A call or command that gives work, as it arrived.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub code: u8,
    pub id: u64,
    pub fields: String,
}

pub struct Worker {
    pub name: String,
    pub port: u16,
    pub kind: WorkerKind,
    pub faults: LoadFaults,
    draining: AtomicBool,
    copies: Mutex<HashMap<u64, Copies>>,
    failed_loads: Mutex<HashMap<u64, Instant>>,
    queue: Mutex<VecDeque<Job>>,
    queued: Condvar,
    inflight: AtomicUsize,
    /// Cores that run a call, or are about to.
    busy: AtomicUsize,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// How often each request was begun to be run.
    pub runs: Mutex<BTreeMap<u64, u32>>,
    /// The calls that were begun, by their idempotency key.
    pub applied: Mutex<Vec<(Instant, String, u64)>>,
    pub keys: Mutex<Option<Arc<Keys>>>,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker on this port.
    pub fn start(record: &Arc<Record>, name: &str, port: u16, kind: WorkerKind) -> Arc<Worker> {
        let listener = bind(port);
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            port,
            faults: LoadFaults::default(),
            draining: AtomicBool::new(false),
            copies: Mutex::default(),
            failed_loads: Mutex::default(),
            queue: Mutex::default(),
            queued: Condvar::new(),
            inflight: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            applied: Mutex::default(),
            keys: Mutex::default(),
            record: record.clone(),
            kind,
        });
        record.line(format!("worker {name} starts"));
        for _ in 0..worker.kind.cores {
            let core = worker.clone();
            spawn(move || core.run_jobs());
        }
        let accepting = worker.clone();
        spawn(move || {
            let _ = listener.set_nonblocking(true);
            loop {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let worker = accepting.clone();
                        spawn(move || worker.serve(stream));
                    }
                    Err(_) => sleep(ms(1)),
                }
            }
        });
        worker
    }

    pub fn address(&self) -> String {
        format!("127.0.0.1:{}", self.port)
    }

    /// It finishes its work and takes nothing new.
    pub fn drain(&self) {
        self.record.line(format!("worker {} drains", self.name));
        self.draining.store(true, Ordering::Release);
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let Ok(out) = stream.try_clone() else { return };
        let (out, connection) = (Arc::new(Mutex::new(out)), random());
        while let Ok(frame) = read_frame(&mut stream) {
            self.handle(frame, &out, connection);
        }
        // The end of a connection abandons what waits; what runs goes on.
        lock(&self.queue).retain(|job| job.connection != connection || job.is_begun);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    fn use_field(&self) -> String {
        format!("use=busy_reqs:{};x1:0", self.inflight.load(Ordering::Acquire))
    }

    fn handle(self: &Arc<Self>, frame: Frame, out: &Arc<Mutex<TcpStream>>, connection: u64) {
        let now = Instant::now();
        let draining = self.draining.load(Ordering::Acquire);
        let send = |code: u8, id: u64, fields: &str| {
            let _ = lock(out).write_all(&answer_frame(code, id, fields, &[]));
        };
        let function = |text: Option<&str>| text.and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0);
        match frame.code {
            2 => {
                self.note_arrival(&frame, now);
                if draining {
                    return send(203, frame.id, &self.use_field());
                }
                let function = function(frame.field("path"));
                let budget = frame.field("budget").and_then(|b| b.parse().ok()).unwrap_or(0);
                let (ready_at, detail) = self.find_copy(function, now);
                self.inflight.fetch_add(1, Ordering::AcqRel);
                let (out, expires) = (out.clone(), now + ms(budget));
                let mut queue = lock(&self.queue);
                let is_free = queue.is_empty() && self.busy.load(Ordering::Acquire) < self.kind.cores;
                let is_begun = is_free && ready_at <= now;
                let job =
                    Job { connection, is_begun, frame, function, arrived: now, expires, ready_at, detail, out };
                queue.push_back(job);
                self.queued.notify_one();
            }
            3 => self.record.line(format!("worker {}: request {:016x} is given up", self.name, frame.id)),
            4 | 5 => send(if draining { 207 } else { 206 }, frame.id, &self.use_field()),
            6 => {
                let wanted: u32 = frame.field("slots_up").and_then(|n| n.parse().ok()).unwrap_or(0);
                let function = function(frame.field("path"));
                if wanted == 0 {
                    let count = self.standing(function, now);
                    return send(200, frame.id, &format!("slots_up={count}"));
                }
                self.note_arrival(&frame, now);
                if draining {
                    return send(203, frame.id, &format!("slots_up={}", self.standing(function, now)));
                }
                let (ready_at, _) = self.find_copy(function, now);
                if let Some(copies) = lock(&self.copies).get_mut(&function) {
                    copies.count = copies.count.max(wanted);
                }
                let (out, id) = (out.clone(), frame.id);
                let (code, count) = if is_unknown(function) { (204, 0) } else { (200, wanted) };
                spawn(move || {
                    sleep(ready_at.saturating_duration_since(Instant::now()));
                    let _ = lock(&out).write_all(&answer_frame(code, id, &format!("slots_up={count}"), &[]));
                });
            }
            8 => drop(lock(&self.copies).remove(&frame.id)),
            code => self.record.line(format!("worker {}: unknown code {code}", self.name)),
        }
    }

    fn note_arrival(&self, frame: &Frame, at: Instant) {
        let (code, id, fields) = (frame.code, frame.id, frame.fields.clone());
        self.record.line(format!("worker {}: received code {code} id {id:016x} {fields}", self.name));
        lock(&self.arrivals).push(Arrival { at, code, id, fields });
    }

    fn standing(&self, function: u64, now: Instant) -> u32 {
        let copies = lock(&self.copies);
        let is_standing = |c: &&Copies| c.ready_at <= now && now < c.last_used + self.kind.keep;
        copies.get(&function).filter(is_standing).map_or(0, |c| c.count)
    }

    /// When a copy of the function stands, and what the answer tells of it.
    fn find_copy(&self, function: u64, now: Instant) -> (Instant, &'static str) {
        let mut copies = lock(&self.copies);
        if let Some(copy) = copies.get_mut(&function).filter(|c| now < c.last_used + self.kind.keep) {
            copy.last_used = copy.last_used.max(now);
            return (copy.ready_at, if copy.ready_at <= now { "resident" } else { "rode" });
        }
        let ready_at = now + self.kind.load;
        if is_unknown(function) {
            return (ready_at, "boot_error");
        }
        copies.insert(function, Copies { count: 1, ready_at, last_used: ready_at });
        let mut failed = lock(&self.failed_loads);
        if self.faults.next_fails() {
            failed.insert(function, ready_at);
        }
        (ready_at, "booted")
    }

    /// One core.
    fn run_jobs(&self) {
        loop {
            let mut queue = lock(&self.queue);
            let now = Instant::now();
            // Calls whose copy stands, or whose load ends, are taken in their order.
            let Some(index) = queue.iter().position(|job| job.ready_at <= now) else {
                let (guard, _) = self.queued.wait_timeout(queue, ms(2)).unwrap_or_else(PoisonError::into_inner);
                drop(guard);
                continue;
            };
            let Some(job) = queue.remove(index) else { continue };
            self.busy.fetch_add(1, Ordering::AcqRel);
            drop(queue);
            self.run_job(job);
            self.busy.fetch_sub(1, Ordering::AcqRel);
            self.inflight.fetch_sub(1, Ordering::AcqRel);
        }
    }

    fn run_job(&self, job: Job) {
        let (id, name) = (job.frame.id, &self.name);
        let load_failed = lock(&self.failed_loads).get(&job.function) == Some(&job.ready_at);
        if load_failed {
            let fields = format!("detail=boot_error,{}", self.use_field());
            self.record.line(format!("worker {name}: answers {id:016x} with 202, its load failed"));
            lock(&self.copies).remove(&job.function);
            let frame = answer_frame(202, id, &fields, &[]);
            let _ = lock(&job.out).write_all(&frame);
            if self.faults.second_copy.load(Ordering::Acquire) {
                let (out, record, name) = (job.out.clone(), self.record.clone(), name.clone());
                spawn(move || {
                    sleep(ms(5));
                    record.line(format!("worker {name}: the answer 202 to {id:016x} comes a second time"));
                    let _ = lock(&out).write_all(&frame);
                });
            }
            return;
        }
        if is_unknown(job.function) {
            let fields = format!("detail=boot_error,{}", self.use_field());
            let _ = lock(&job.out).write_all(&answer_frame(204, id, &fields, &[]));
            return;
        }
        if Instant::now() >= job.expires {
            self.record.line(format!("worker {name}: answers {id:016x} with 205, its time is over"));
            let _ = lock(&job.out).write_all(&answer_frame(205, id, &self.use_field(), &[]));
            return;
        }
        let key = job.frame.field("uniq").map(str::to_owned);
        if let (Some(key), Some(keys)) = (&key, lock(&self.keys).clone()) {
            if keys.is_repeat(key, Instant::now()) {
                self.record.line(format!("worker {name}: drops {id:016x}, a repeat under key {key}"));
                let _ = lock(&job.out).write_all(&answer_frame(200, id, "detail=resident", &job.frame.body));
                return;
            }
        }
        *lock(&self.runs).entry(id).or_default() += 1;
        lock(&self.applied).push((Instant::now(), key.unwrap_or_default(), id));
        let waited = job.arrived.elapsed().as_millis();
        self.record.line(format!("worker {name}: runs {id:016x}, {waited} ms after it arrived"));
        sleep(self.kind.work.div_f64(self.kind.speed));
        if let Some(copies) = lock(&self.copies).get_mut(&job.function) {
            copies.last_used = Instant::now();
        }
        let fields = format!("detail={},{}", job.detail, self.use_field());
        self.record.line(format!("worker {name}: answers {id:016x} with 200"));
        let _ = lock(&job.out).write_all(&answer_frame(200, id, &fields, &job.frame.body));
    }
}

/// Whether no worker knows the function: its load fails.
pub fn is_unknown(function: u64) -> bool {
    function >> 48 == 0xbad0
}

fn bind(port: u16) -> TcpListener {
    for _ in 0..400 {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
        sleep(ms(5));
    }
    cannot_run("a stand-in could not listen")
}

/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that could not run, and all processes that it started.
pub fn cannot_run(why: &str) -> ! {
    for pid in lock(&CHILDREN).iter() {
        let kill = format!("kill -KILL {pid} 2>/dev/null");
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

// --------------------------------------------------------------------------------------------- a network

/// The network between the front ends and one worker. It can be cut off for a while.
///
/// While it is cut off, nothing passes and no connection comes up. Afterwards what the front end's system still
/// holds arrives, as with TCP, which sends again what was not acknowledged. A connection that the front end has
/// reset meanwhile delivers nothing any more.
pub struct Network {
    pub port: u16,
    to: u16,
    is_cut: AtomicBool,
    cuts: AtomicUsize,
    record: Arc<Record>,
}

impl Network {
    pub fn start(record: &Arc<Record>, to: u16) -> Arc<Network> {
        let port = free_port();
        let (is_cut, cuts) = (AtomicBool::new(false), AtomicUsize::new(0));
        let network = Arc::new(Network { port, to, is_cut, cuts, record: record.clone() });
        let (listener, accepting) = (bind(port), network.clone());
        spawn(move || {
            let _ = listener.set_nonblocking(true);
            loop {
                if accepting.is_cut() {
                    sleep(ms(2));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => accepting.connect(stream),
                    Err(_) => sleep(ms(1)),
                }
            }
        });
        network
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Acquire)
    }

    fn connect(self: &Arc<Self>, client: TcpStream) {
        let Ok(server) = TcpStream::connect(("127.0.0.1", self.to)) else { return };
        let _ = (client.set_nonblocking(true), server.set_nonblocking(true));
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let network = self.clone();
        spawn(move || network.pass(client, server));
    }

    fn pass(&self, mut client: TcpStream, mut server: TcpStream) {
        let mut buffer = [0; 64 * 1024];
        let (mut cuts, mut ends) = (self.cuts.load(Ordering::Acquire), 0);
        while ends < 2 {
            if self.is_cut() {
                sleep(ms(1));
                continue;
            }
            if cuts != self.cuts.load(Ordering::Acquire) {
                cuts = self.cuts.load(Ordering::Acquire);
                if client.take_error().is_ok_and(|e| e.is_some()) {
                    self.record.line("network: a connection was reset while it was cut off; nothing arrives");
                    break;
                }
            }
            let mut idle = true;
            for is_request in [true, false] {
                let (from, to) = if is_request { (&mut client, &mut server) } else { (&mut server, &mut client) };
                match from.read(&mut buffer) {
                    Ok(0) => {
                        ends += 1;
                        let _ = to.shutdown(std::net::Shutdown::Write);
                        if is_request {
                            ends = 2;
                        }
                    }
                    Ok(n) => {
                        idle = false;
                        let mut rest = &buffer[..n];
                        while !rest.is_empty() {
                            match to.write(rest) {
                                Ok(n) => rest = &rest[n..],
                                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(ms(1)),
                                Err(_) => return,
                            }
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            if idle {
                std::thread::sleep(Duration::from_micros(200));
            }
        }
    }

    /// Cuts the worker off for this long.
    pub fn cut(&self, span: Duration) {
        self.record.line("network: the worker is cut off");
        self.is_cut.store(true, Ordering::Release);
        let start = Instant::now();
        // Fills the queue of the listener, so that no further connection comes up.
        let address = SocketAddr::from(([127, 0, 0, 1], self.port));
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, ms(150)) {
            filling.push(stream);
            if filling.len() > 5_000 {
                break;
            }
        }
        sleep(span.saturating_sub(start.elapsed()));
        drop(filling);
        self.cuts.fetch_add(1, Ordering::AcqRel);
        self.is_cut.store(false, Ordering::Release);
        self.record.line("network: the worker is reached again");
    }
}

// ------------------------------------------------------------------------------------- discovery service

#[derive(Default)]
struct BoardState {
    events: Vec<String>,
    up: bool,
    /// Pause before each event after the first one that a connection is sent.
    pace: Duration,
}

/// The discovery service.
pub struct Board {
    pub port: u16,
    state: Mutex<BoardState>,
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

/// An entry of the worker list.
pub fn entry(id: &str, port: u16, kind: &str, state: &str, started_at_ms: u64) -> String {
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"127.0.0.1:{port}\",\"zone\":\"zone-a\",\"machineType\":\"{kind}\",\
         \"cell\":0,\"lifecycle\":\"{state}\",\"weight\":1,\"startedAtMs\":{started_at_ms}}}"
    )
}

impl Board {
    pub fn start(record: &Arc<Record>, first: &[String]) -> Arc<Board> {
        let board = Arc::new(Board {
            port: free_port(),
            state: Mutex::new(BoardState { events: Vec::new(), up: false, pace: Duration::ZERO }),
            streams: Mutex::default(),
            record: record.clone(),
        });
        board.publish(true, first);
        board.come_up(Duration::ZERO);
        board
    }

    /// Adds an event.
    pub fn publish(&self, full: bool, entries: &[String]) {
        let mut state = lock(&self.state);
        let number = state.events.len() + 1;
        let event = format!(
            "{{\"rev\":{number},\"pool\":{{\"generation\":{number},\"reset\":{full},\"instances\":[{}]}}}}",
            entries.join(",")
        );
        self.record.line(format!("discovery: event {number} is in the list: {event}"));
        state.events.push(event);
    }

    /// The events up to now, for the configuration.
    pub fn known(&self) -> String {
        let state = lock(&self.state);
        format!("{{\"rev\":{},\"notices\":[{}]}}", state.events.len(), state.events.join(","))
    }

    /// Ends all connections and refuses new ones.
    pub fn go_down(&self) {
        self.record.line("discovery: goes down");
        lock(&self.state).up = false;
        lock(&self.streams).drain(..).for_each(|s| drop(s.shutdown(std::net::Shutdown::Both)));
    }

    /// Accepts connections. `pace` is the pause between two events.
    pub fn come_up(self: &Arc<Self>, pace: Duration) {
        self.record.line("discovery: is up");
        let mut state = lock(&self.state);
        (state.up, state.pace) = (true, pace);
        drop(state);
        let listener = bind(self.port);
        let board = self.clone();
        spawn(move || {
            let _ = listener.set_nonblocking(true);
            while lock(&board.state).up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&board.streams).push(copy);
                        }
                        let board = board.clone();
                        spawn(move || drop(board.serve(stream)));
                    }
                    Err(_) => sleep(ms(2)),
                }
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let last =
            head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: ")).and_then(|n| n.trim().parse().ok());
        let mut sent: usize = last.unwrap_or(0);
        self.record.line(format!("discovery: a front end asks for the events after {sent}"));
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let (mut last_comment, mut is_first) = (Instant::now(), true);
        loop {
            let (next, pace, up) = {
                let state = lock(&self.state);
                (state.events.get(sent).cloned(), state.pace, state.up)
            };
            if !up {
                return Ok(());
            }
            if let Some(event) = next {
                if !std::mem::replace(&mut is_first, false) {
                    sleep(pace);
                }
                sent += 1;
                stream.write_all(format!("id: {sent}\ndata: {event}\n\n").as_bytes())?;
                self.record.line(format!("discovery: event {sent} is sent to a front end"));
            } else {
                sleep(ms(2));
            }
            if last_comment.elapsed() >= ms(1_000) {
                stream.write_all(b": \n")?;
                last_comment = Instant::now();
            }
        }
    }
}

// ------------------------------------------------------------------------------------------- front ends

pub struct FrontEnd {
    pub port: u16,
    child: Child,
    folder: String,
}

/// The settings of a small deployment; `family` and `classes` replace those parts.
pub fn settings(front_ends: usize, classes: &str, orders: bool) -> String {
    format!(
        r#"{{"balancers":{front_ends},"index":0,"classes":{classes},"tenants":[],"failure-domains":["zone-a"],
"flavors":["large","small"],"deductions":{{"probe":0.01}},"locality":"zone-a","registry-mode":"push",
"clients":{{"marks-retry":true}},"counted-by":"request","family":"warm",
"family-info":{{"orders":{orders},"tells-warm":true,"tells-crowd":false,"when-absent":"load","keep":9700,"load-wait":10000,
"load-span":0,"free-loads":0,"loads-per-request":0,"machine-mb":[15616,9152]}},
"limits":{{"conn-idle":30000,"connect-timeout":250,"max-attempts":3,"max-open":20000,"max-retry-after":1000,
"may-cancel":true,"probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":100}},
"load-report":{{"fields":["busy_reqs","x1"],"source":"answers"}},
"rules":{{"ask-within":10000,"cold-from":0.2,"drain-grace":1000,"fall":3000,"fall-multiple":4,"grace-to-answer":8,"warm-within":18000}}}}"#
    )
}

pub const CLASSES: &str = r#"[{"name":"route-lookup","effect":"retryable","key-scope":"all","goal-time":1000,"give-up":3000,"late-worth":0.1,"memory-span":5000,"streaming":false,"worth":1},
{"name":"pick-confirm","effect":"dedup","key-scope":"all","goal-time":750,"give-up":2500,"late-worth":0.1,"memory-span":1500,"streaming":false,"worth":2}]"#;

/// The platform's limits of a front end.
pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

impl FrontEnd {
    /// Starts a front end with the deploy file's command and waits until it is ready.
    pub fn start(record: &Record, name: &str, board: u16, known: &str, settings: &str, limits: &str) -> FrontEnd {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.split('"').next());
        let Some(run) = run else { cannot_run("the deploy file has no `run`") };
        let port = free_port();
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        let folder = folder.to_string_lossy().into_owned();
        let _ = std::fs::create_dir_all(format!("{folder}/tmp"));
        let (config, log) = (format!("{folder}/config.json"), format!("{folder}/log"));
        let listen = format!("127.0.0.1:{port}");
        let seed = random();
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"seed\":\"{seed:016x}\",\"limits\":{limits},\
             \"board\":\"127.0.0.1:{board}\",\"known\":{known},\"settings\":{settings}}}"
        );
        let written = std::fs::write(&config, text);
        let Ok(log) = written.and_then(|()| std::fs::File::create(log)) else {
            cannot_run("no temporary folder")
        };
        let Ok(log_copy) = log.try_clone() else { cannot_run("no log") };
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", &listen)
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", format!("{folder}/tmp"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_copy)
            .spawn();
        let Ok(child) = child else { cannot_run("the front end could not be started") };
        lock(&CHILDREN).push(child.id());
        let front_end = FrontEnd { port, child, folder };
        let start = Instant::now();
        while !front_end.is_healthy() {
            if start.elapsed() > ms(30_000) {
                drop(front_end);
                cannot_run("the front end was not ready within 30 s");
            }
            sleep(ms(20));
        }
        record.line(format!("front end {name} is ready"));
        front_end
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(("127.0.0.1", self.port)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let bytes = encode_request(1, &[("SCRIPT_NAME", "/healthz")], &[]);
        stream.write_all(&bytes).is_ok()
            && read_answers(&mut stream, &mut Vec::new(), Instant::now() + ms(500))
                .is_ok_and(|a| a.iter().any(|a| a.1.status == 200))
    }

    /// Ends it at once.
    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_some())
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        self.stop();
        lock(&CHILDREN).retain(|&pid| pid != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ----------------------------------------------------------------------------------------------- clients

fn record_bytes(kind: u8, id: u16, content: &[u8], out: &mut Vec<u8>) {
    out.extend([1, kind]);
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
}

/// A FastCGI request.
pub fn encode_request(id: u16, parameters: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    record_bytes(1, id, &[0, 1, 1, 0, 0, 0, 0, 0], &mut out);
    let mut pairs = Vec::new();
    for (name, value) in parameters {
        pairs.extend([name.len() as u8, value.len() as u8]);
        pairs.extend(name.as_bytes());
        pairs.extend(value.as_bytes());
    }
    record_bytes(4, id, &pairs, &mut out);
    record_bytes(4, id, &[], &mut out);
    if !body.is_empty() {
        record_bytes(5, id, body, &mut out);
    }
    record_bytes(5, id, &[], &mut out);
    out
}

/// A whole answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The CGI status; 0 if there was none.
    pub status: u16,
    pub protocol_status: u8,
    pub body: Vec<u8>,
}

/// Reads until at least one answer is whole. `buffer` keeps what has been read of later ones.
fn read_answers(
    stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Instant,
) -> std::io::Result<Vec<(u16, Answer)>> {
    let mut chunk = [0; 16 * 1024];
    loop {
        let answers = take_answers(buffer);
        if !answers.is_empty() {
            return Ok(answers);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left.max(ms(1))))?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => buffer.extend(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Takes the whole answers from the front of a buffer, which holds those of one request at a time.
fn take_answers(buffer: &mut Vec<u8>) -> Vec<(u16, Answer)> {
    let (mut at, mut stdout, mut answers, mut consumed) = (0, BTreeMap::<u16, Vec<u8>>::new(), Vec::new(), 0);
    while buffer.len() >= at + 8 {
        let head = &buffer[at..at + 8];
        let length = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
        let (kind, id) = (head[1], u16::from_be_bytes([head[2], head[3]]));
        let content_length = usize::from(u16::from_be_bytes([head[4], head[5]]));
        if buffer.len() < at + 8 + length {
            break;
        }
        let content = &buffer[at + 8..at + 8 + content_length];
        at += 8 + length;
        match kind {
            6 => stdout.entry(id).or_default().extend(content),
            3 => {
                let text = stdout.remove(&id).unwrap_or_default();
                let mut answer = Answer { protocol_status: *content.get(4).unwrap_or(&255), ..Answer::default() };
                if let Some(end) = text.windows(4).position(|w| w == b"\r\n\r\n") {
                    let head = String::from_utf8_lossy(&text[..end]).into_owned();
                    let status = head.lines().find_map(|l| l.strip_prefix("Status: "));
                    answer.status = status.and_then(|s| s.get(..3)).and_then(|s| s.parse().ok()).unwrap_or(0);
                    answer.body = text[end + 4..].to_vec();
                }
                answers.push((id, answer));
                consumed = at;
            }
            _ => {}
        }
    }
    buffer.drain(..consumed);
    answers
}

/// What a client saw of a request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: u64,
    pub sent: Instant,
    pub ended: Instant,
    pub wait: Duration,
    /// None: its time was up, or its connection ended.
    pub answer: Option<Answer>,
    pub note: &'static str,
}

/// Clients with a pool of connections to one front end, each with one open request at a time.
pub struct Clients {
    port: u16,
    idle: Mutex<Vec<(TcpStream, Instant)>>,
    pub seen: Mutex<Vec<Seen>>,
    open: AtomicUsize,
    /// Each request comes on a new connection, which is closed once it is answered.
    pub always_new: AtomicBool,
    record: Arc<Record>,
}

impl Clients {
    pub fn new(record: &Arc<Record>, port: u16) -> Arc<Clients> {
        Arc::new(Clients {
            port,
            idle: Mutex::default(),
            seen: Mutex::default(),
            open: AtomicUsize::new(0),
            always_new: AtomicBool::new(false),
            record: record.clone(),
        })
    }

    /// Sends a request from a thread of its own.
    pub fn send(self: &Arc<Self>, class: &str, function: u64, wait: Duration, keyed: bool) {
        let (clients, class) = (self.clone(), class.to_owned());
        self.open.fetch_add(1, Ordering::AcqRel);
        spawn(move || {
            clients.request(&class, function, wait, keyed);
            clients.open.fetch_sub(1, Ordering::AcqRel);
        });
    }

    pub fn wait_for_all(&self) {
        let start = Instant::now();
        while self.open.load(Ordering::Acquire) > 0 && start.elapsed() < ms(10_000) {
            sleep(ms(5));
        }
    }

    fn connection(&self, new: bool) -> std::io::Result<TcpStream> {
        let mut idle = lock(&self.idle);
        // Clients close connections that have been idle for 4 s.
        idle.retain(|(_, since)| since.elapsed() < ms(3_900));
        if let Some((stream, _)) = if new { None } else { idle.pop() } {
            return Ok(stream);
        }
        drop(idle);
        let stream = TcpStream::connect(SocketAddr::from(([127, 0, 0, 1], self.port)))?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    pub fn request(&self, class: &str, function: u64, wait: Duration, keyed: bool) -> Seen {
        let id = random();
        let (id_text, key, path) = (format!("{id:016x}"), format!("{function:016x}"), format!("/v1/{class}"));
        let (wait_text, token) = (wait.as_millis().to_string(), format!("{:016x}{:016x}", random(), random()));
        let mut parameters = vec![
            ("SCRIPT_NAME", path.as_str()),
            ("HTTP_REQ_ID", id_text.as_str()),
            ("HTTP_REQ_WAIT_MS", wait_text.as_str()),
            ("HTTP_REQ_KEY", key.as_str()),
            ("HTTP_X_MORE", "memory_mb:400;lanes:1;load_ms:500"),
        ];
        if keyed {
            parameters.push(("HTTP_REQ_TOKEN", token.as_str()));
        }
        let body = id_text.as_bytes();
        let bytes = encode_request(1, &parameters, body);
        let mut seen = Seen { id, sent: Instant::now(), ended: Instant::now(), wait, answer: None, note: "" };
        for try_number in 0..2 {
            seen.note = "no connection";
            let Ok(mut stream) = self.connection(try_number > 0 || self.always_new.load(Ordering::Acquire)) else {
                break;
            };
            let write = stream.write_all(&bytes);
            seen.sent = Instant::now();
            let until = seen.sent + wait + ms(600);
            let result = write.and_then(|()| read_answers(&mut stream, &mut Vec::new(), until));
            match result {
                Ok(mut answers) => {
                    seen.answer = answers.pop().map(|a| a.1);
                    seen.note = "answered";
                    // A client that always brings a new connection closes this one now.
                    if !self.always_new.load(Ordering::Acquire) {
                        lock(&self.idle).push((stream, Instant::now()));
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::TimedOut) => seen.note = "no answer",
                // A request that crosses the close of a resting connection is sent again, once.
                Err(_) if try_number == 0 && seen.sent.elapsed() < ms(50) => continue,
                Err(_) => seen.note = "its connection ended",
            }
            break;
        }
        seen.ended = Instant::now();
        let what = seen.answer.as_ref().map_or(seen.note.to_owned(), |a| match a.status {
            0 => format!("protocol status {}", a.protocol_status),
            status => format!("status {status}"),
        });
        let took = seen.ended.saturating_duration_since(seen.sent).as_millis();
        self.record.line(format!("client: {class} {id:016x} of {key}: {what} after {took} ms"));
        lock(&self.seen).push(seen.clone());
        seen
    }

    /// How many ended with these: served, refused, failed, without an answer.
    pub fn counts(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for seen in lock(&self.seen).iter() {
            let index = match &seen.answer {
                Some(a) if a.status == 200 => 0,
                Some(a) if a.status == 429 || a.status == 503 || a.status == 0 && a.protocol_status == 2 => 1,
                Some(_) => 2,
                None => 3,
            };
            counts[index] += 1;
        }
        counts
    }
}

// ------------------------------------------------------------------------------------ for the scenarios

/// The class and the wait of a function's calls: `keyed` of four functions are called in the class with
/// idempotency keys.
fn class_of(function: u64, keyed: u64) -> (&'static str, Duration, bool) {
    if function % 4 < keyed {
        ("pick-confirm", ms(2_500), true)
    } else {
        ("route-lookup", ms(3_000), false)
    }
}

/// Sends requests at this rate for this time.
pub fn load(clients: &Arc<Clients>, per_second: f64, span: Duration, functions: &[u64], keyed: u64) {
    let (start, mut next) = (Instant::now(), 0.0);
    while start.elapsed() < span {
        sleep(Duration::from_secs_f64(next).saturating_sub(start.elapsed()));
        let function = functions[random() as usize % functions.len()];
        let (class, wait, is_keyed) = class_of(function, keyed);
        clients.send(class, function, wait, is_keyed);
        next += 1.0 / per_second;
    }
}

/// Ids of functions.
pub fn functions(count: usize) -> Vec<u64> {
    (0..count).map(|n| (random() >> 4) / 4 * 4 + n as u64 % 4).collect()
}

/// Starts workers, `worker-1` and so on.
pub fn start_workers(record: &Arc<Record>, count: usize) -> Vec<Arc<Worker>> {
    (1..=count).map(|n| Worker::start(record, &format!("worker-{n}"), free_port(), WorkerKind::big())).collect()
}

/// A case whose front end has ended, or served less than half of the usual clients' requests, shows nothing.
pub fn check_service(front_end: &mut FrontEnd, clients: &Clients) {
    let counts = clients.counts();
    if front_end.has_ended() || counts[0] * 2 < counts.iter().sum() {
        front_end.stop();
        cannot_run("the front end has ended, or served too little");
    }
}

/// What a scenario found: whether the rule held, and what was seen.
pub struct Verdict {
    pub held: bool,
    pub text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &arguments[..] else { cannot_run("usage: stand_ins_2 CASE FOLDER") };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record { start: Instant::now(), lines: Mutex::default() });
    let play: fn(&Arc<Record>, bool) -> Verdict = match scenario.as_str() {
        "6" => case_6::play,
        "7" => case_7::play,
        "8" => case_8::play,
        "9" => case_9::play,
        "10" => case_10::play,
        _ => cannot_run("no such scenario"),
    };
    spawn(|| {
        sleep(ms(115_000));
        cannot_run("it takes too long");
    });
    let verdict = play(&record, trouble);
    let result = if verdict.held { "the rule held" } else { "the rule was broken" };
    record.line(format!("result: {result}: {}", verdict.text));
    record.write(folder);
    println!("{result}: {}", verdict.text);
    std::process::exit(if verdict.held { 0 } else { 1 })
}
