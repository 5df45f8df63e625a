//! Plays: front ends, stand-ins and faults in their time, then the record and what the checker makes of it.
use super::board::{Board, Change};
use super::checker::{check, Effect, Rules, Violation};
use super::clients::{self, bad_client, Class, Clients, Door};
use super::config::{ConfigError, SoakConfig};
use super::network;
use super::plan::{Fault, Plan};
use super::process::{Launch, LogTail, Process};
use super::record::{Answer, Event, Listing, Outage, Record, Recorder, Signal};
use super::story::story;
use super::worker::{self, Standing, Worker};
use crate::node::clients::is_ready;
use crate::node::usage::Usage;
use crate::node::{Deploy, DeployError};
use heronslip_shim_control::{Call, ControlFile, CALLS, CONTROL_VARIABLE};
use nix::sys::signal::Signal as SystemSignal;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// SIGKILL comes so long after SIGTERM, beside the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// The longest deadline counts as this at most.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// After SIGTERM new connections go on coming for this long.
const CONNECTING_AFTER_TERM: Duration = Duration::from_millis(300);
/// How often the limits are looked at.
const USAGE_EACH: Duration = Duration::from_millis(500);
/// How often readiness is asked for.
const READY_EACH: Duration = Duration::from_millis(20);
/// At the end, what is open may take so much longer than its time.
const END_SLACK: Duration = Duration::from_millis(900);
const DESCRIPTORS: u64 = 512;
const MEMORY_MB: f64 = 96.0;
const KEY_WINDOW_MS: u64 = 1_500;
const WARM_WITHIN_MS: u64 = 6_000;
const FALL_MS: u64 = 3_000;
const FALL_MULTIPLE: f64 = 4.0;
const COLD_FROM: f64 = 0.2;
const DRAIN_GRACE_MS: u64 = 1_000;
const MAX_ATTEMPTS: usize = 3;
const CLASSES: [&str; 3] = ["lookup", "confirm", "once"];
const NANOS: i64 = 1_000_000_000;

/// Why a soak cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The soak's file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The deploy file cannot be used.
    #[error(transparent)]
    Deploy(#[from] DeployError),
    /// The shim is not where it is looked for.
    #[error("{}: no shim; build it with `cargo build --release -p heronslip-shim`", .0.display())]
    NoShim(PathBuf),
    /// The system refused something.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The soak was interrupted.
    #[error("interrupted")]
    Interrupted,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// What plays are drawn from.
    pub config: SoakConfig,
    /// How front ends are started.
    pub deploy: Deploy,
    /// The shim's library.
    pub shim: PathBuf,
    /// Seeds.
    pub seeds: std::ops::RangeInclusive<u64>,
    /// Where records are kept, as JSON lines.
    pub out: Option<PathBuf>,
}

/// What came of a play.
#[derive(Clone, Debug, Serialize)]
pub struct PlayReport {
    /// The play.
    pub plan: Plan,
    /// Requests sent.
    pub requests: usize,
    /// Answers, by kind.
    pub answers: BTreeMap<String, usize>,
    /// Probes that workers got.
    pub probes: usize,
    /// Faults that the shim was to inject and never did.
    pub never_injected: Vec<String>,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Their stories.
    #[serde(skip)]
    pub stories: Vec<String>,
}

impl PlayReport {
    /// Share of the requests that were served, in percent.
    pub fn served(&self) -> f64 {
        let served = self.answers.get("served").copied().unwrap_or(0);
        100.0 * served as f64 / self.requests.max(1) as f64
    }
}

/// Plays all seeds, one after the other; `each` is shown every play's report. No process stays behind.
///
/// # Errors
/// Fails if something cannot be started, or on SIGINT or SIGTERM.
pub async fn soak(options: &SoakOptions, mut each: impl FnMut(&PlayReport)) -> Result<usize, SoakError> {
    if !options.shim.is_file() {
        return Err(SoakError::NoShim(options.shim.clone()));
    }
    let mut broken = 0;
    for seed in options.seeds.clone() {
        let plan = Plan::draw(&options.config, seed);
        let folder = Folder::new(plan.seed)?;
        let play = Arc::new(Play::set_up(options, plan, &folder).await?);
        let report = tokio::select! {
            report = play.clone().run(options) => report,
            () = crate::node::interrupted() => Err(SoakError::Interrupted),
        };
        // Whatever ended the play: its front ends have ended when this goes on.
        play.kill_all().await;
        let report = report?;
        broken += report.violations.len();
        each(&report);
    }
    Ok(broken)
}

/// A folder for configurations, removed with the play.
struct Folder(PathBuf);

impl Folder {
    fn new(seed: u64) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("heronslip-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // what is left lies in the system's folder for such files
    }
}

/// One front end over all its lives.
struct FrontEnd {
    number: usize,
    listen: SocketAddr,
    config: PathBuf,
    control_path: PathBuf,
    control: ControlFile,
    log: LogTail,
    door: Arc<Door>,
    process: tokio::sync::Mutex<Option<Process>>,
    /// Seconds that its wall clock stands beside the true one.
    wall_step_s: Mutex<i64>,
}

struct Play {
    plan: Plan,
    deploy: Deploy,
    shim: PathBuf,
    recorder: Arc<Recorder>,
    board: Board,
    workers: Vec<Arc<Worker>>,
    front_ends: Vec<FrontEnd>,
    clients: Arc<clients::Common>,
}

impl Play {
    async fn run(self: Arc<Self>, options: &SoakOptions) -> Result<PlayReport, SoakError> {
        for front_end in &self.front_ends {
            self.start(front_end).await?;
        }
        let mut tasks = JoinSet::new();
        for front_end in &self.front_ends {
            self.until_ready(front_end).await;
            tasks.spawn(self.usual_clients(front_end).run());
        }
        tasks.spawn(self.clone().watch_usage());
        let began = Instant::now();
        let mut faults = JoinSet::new();
        for (at, fault) in self.plan.faults.clone() {
            let at = Duration::from_micros(at);
            tokio::time::sleep(at.saturating_sub(began.elapsed())).await;
            faults.spawn(self.clone().inject(fault));
        }
        tokio::time::sleep(Duration::from_micros(self.plan.length).saturating_sub(began.elapsed())).await;
        while faults.join_next().await.is_some() {}
        tasks.abort_all();
        while tasks.join_next().await.is_some() {}
        tokio::time::sleep(Duration::from_millis(self.plan.give_up_ms) + END_SLACK).await;
        self.kill_all().await;
        self.report(options)
    }

    async fn kill_all(&self) {
        for front_end in &self.front_ends {
            self.kill(front_end).await;
        }
    }

    async fn set_up(options: &SoakOptions, plan: Plan, folder: &Folder) -> Result<Play, SoakError> {
        let recorder = Arc::new(Recorder::start());
        let common = Arc::new(worker::Common {
            recorder: recorder.clone(),
            work: Duration::from_micros(plan.work),
            lanes: plan.lanes,
            odd_answers: options.config.odd_answers,
            links: AtomicU64::new(1),
        });
        let mut workers = Vec::new();
        let mut addresses = vec![Vec::new(); plan.front_ends];
        for number in 0..plan.workers {
            let seed = plan.seed ^ (number as u64 + 1) << 32;
            let (worker, at) = Worker::start(number, plan.front_ends, common.clone(), seed).await?;
            workers.push(worker);
            addresses.iter_mut().zip(at).for_each(|(list, address)| list.push(address));
        }
        let board = Board::start(recorder.clone(), addresses, plan.seed).await?;
        let mut front_ends = Vec::new();
        for number in 0..plan.front_ends {
            front_ends.push(FrontEnd::new(number, &plan, folder)?);
        }
        let clients = Arc::new(clients::Common {
            recorder: recorder.clone(),
            classes: CLASSES.map(|name| Class { name, keyed: name == "confirm" }).to_vec(),
            give_up_ms: plan.give_up_ms,
            functions: plan.functions,
            leaving: options.config.leaving,
            numbers: AtomicU64::new(1),
        });
        let (deploy, shim) = (options.deploy.clone(), options.shim.clone());
        Ok(Play { plan, deploy, shim, recorder, board, workers, front_ends, clients })
    }

    fn usual_clients(&self, front_end: &FrontEnd) -> Clients {
        Clients {
            front_end: front_end.number,
            address: front_end.listen,
            calls_per_s: self.plan.calls_per_s,
            door: front_end.door.clone(),
            common: self.clients.clone(),
            seed: self.plan.seed ^ (front_end.number as u64 + 1) << 16,
        }
    }

    fn settings(&self, front_end: usize) -> String {
        let (give_up, goal) = (self.plan.give_up_ms, self.plan.give_up_ms / 2);
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","key-scope":"all","goal-time":{goal},"give-up":{give_up},"memory-span":{KEY_WINDOW_MS},"worth":1}}"#
            )
        };
        let classes =
            [class(CLASSES[0], "retryable"), class(CLASSES[1], "dedup"), class(CLASSES[2], "fragile")];
        format!(
            r#"{{"balancers":{},"index":{front_end},"classes":[{}],"tenants":[],"failure-domains":["zone-0"],"flavors":["std"],"over-share-worth":0.1,"registry-mode":"push","deductions":{{"probe":0.01}},"family-info":{{"orders":true,"tells-warm":true,"tells-crowd":false,"when-absent":"load","keep":10000,"load-wait":10000,"load-span":0,"free-loads":0,"loads-per-request":0,"machine-mb":[16000]}},"limits":{{"conn-idle":15000,"connect-timeout":250,"max-attempts":{MAX_ATTEMPTS},"max-retry-after":1000,"may-cancel":true,"probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":100}},"rules":{{"cold-from":{COLD_FROM},"drain-grace":{DRAIN_GRACE_MS},"fall":{FALL_MS},"fall-multiple":{FALL_MULTIPLE},"warm-within":{WARM_WITHIN_MS}}}}}"#,
            self.plan.front_ends,
            classes.join(",")
        )
    }

    fn rules(&self) -> Rules {
        const MS: u64 = 1_000;
        Rules {
            classes: vec![Effect::Safe, Effect::Keyed { window: KEY_WINDOW_MS * MS }, Effect::Unsafe],
            drain_grace: DRAIN_GRACE_MS * MS,
            max_attempts: MAX_ATTEMPTS,
            fall_multiple: FALL_MULTIPLE,
            fall_span: FALL_MS * MS,
            cold_from: COLD_FROM,
            warm_within: WARM_WITHIN_MS * MS,
            capacity_per_s: f64::from(self.plan.lanes) / (self.plan.work as f64 / 1e6),
            descriptors: DESCRIPTORS,
            memory_mb: MEMORY_MB,
        }
    }

    /// Writes a front end's configuration; the version of the list that it tells.
    fn configure(&self, front_end: &FrontEnd) -> io::Result<u64> {
        let number = front_end.number;
        let board = self.board.address(number).ok_or_else(|| io::Error::other("no board"))?;
        let (version, known) = self.board.known(number);
        let seed = self.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.recorder.now();
        let text = format!(
            r#"{{"name":"n{number}","listen":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{DESCRIPTORS}}},"board":"{board}","known":{known},"settings":{}}}"#,
            front_end.listen,
            self.settings(number)
        );
        std::fs::write(&front_end.config, text)?;
        Ok(version)
    }

    async fn start(&self, front_end: &FrontEnd) -> io::Result<()> {
        let version = self.configure(front_end)?;
        front_end.control.set_rates(&self.plan.rates)?;
        let number = front_end.number;
        self.recorder.add(Event::Started { front_end: number, version });
        let launch = Launch {
            deploy: &self.deploy,
            name: format!("n{number}"),
            listen: front_end.listen,
            config: &front_end.config,
            environment: vec![
                ("LD_PRELOAD".to_owned(), self.shim.display().to_string()),
                (CONTROL_VARIABLE.to_owned(), front_end.control_path.display().to_string()),
            ],
        };
        *front_end.process.lock().await = Some(Process::start(launch, &front_end.log)?);
        Ok(())
    }

    async fn until_ready(&self, front_end: &FrontEnd) {
        const PATIENCE: Duration = Duration::from_secs(30);
        let since = Instant::now();
        while !is_ready(front_end.listen).await && since.elapsed() < PATIENCE {
            tokio::time::sleep(READY_EACH).await;
        }
        if since.elapsed() < PATIENCE {
            self.recorder.add(Event::Ready { front_end: front_end.number });
            front_end.door.set(true);
        }
    }

    /// Looks at the processes: whether they run, and what they hold.
    async fn watch_usage(self: Arc<Self>) {
        loop {
            for front_end in &self.front_ends {
                let mut process = front_end.process.lock().await;
                let Some(running) = process.as_mut() else { continue };
                let number = front_end.number;
                if let Some(how) = running.ended() {
                    *process = None;
                    self.recorder.add(Event::Ended { front_end: number, killed: false, how });
                    continue;
                }
                let usage = Usage::of(running.id());
                self.recorder.add(Event::Usage {
                    front_end: number,
                    descriptors: usage.descriptors as u64,
                    memory_mb: usage.memory_mb,
                });
            }
            tokio::time::sleep(USAGE_EACH).await;
        }
    }

    async fn kill(&self, front_end: &FrontEnd) {
        front_end.door.set(false);
        let number = front_end.number;
        let Some(mut process) = front_end.process.lock().await.take() else { return };
        self.recorder.add(Event::Signalled { front_end: number, signal: Signal::Kill });
        process.signal(SystemSignal::SIGKILL);
        let how = process.wait().await;
        self.recorder.add(Event::Ended { front_end: number, killed: true, how });
        let calls = front_end.control.injected().map(|counts| counts.to_vec()).unwrap_or_default();
        self.recorder.add(Event::Injected { front_end: number, calls });
    }

    async fn inject(self: Arc<Self>, fault: Fault) {
        self.recorder.add(Event::Fault { text: format!("{fault:?}") });
        match fault {
            Fault::Outage { front_ends, outage, span } => self.outage(&front_ends, outage, span).await,
            Fault::Drain { worker, stays, away } => self.drain(worker, stays, away).await,
            Fault::Death { worker, away, listed } => self.death(worker, away, listed).await,
            Fault::Hang { worker, span } => {
                self.for_a_while(worker, span, |standing, on| standing.hung = on).await;
            }
            Fault::Resets { worker } => {
                self.workers[worker].standing.send_modify(|standing| standing.resets += 1);
            }
            Fault::Refusals { worker, span } => {
                self.for_a_while(worker, span, |standing, on| standing.refusing = on).await;
            }
            Fault::Restart { front_end, series } => self.restart(&self.front_ends[front_end], series).await,
            Fault::Kill { front_end } => {
                let front_end = &self.front_ends[front_end];
                self.kill(front_end).await;
                self.again(front_end).await;
            }
            Fault::Moves { front_end, times } => self.moves(&self.front_ends[front_end], times).await,
            Fault::WallStep { front_end, seconds } => self.front_ends[front_end].step_wall_clock(seconds),
            Fault::Crowd { front_end, clients } => {
                let address = self.front_ends[front_end].listen;
                for kind in 0..clients as u32 {
                    tokio::spawn(bad_client(front_end, address, self.clients.clone(), kind));
                }
            }
        }
    }

    async fn outage(&self, front_ends: &[usize], outage: Outage, span: u64) {
        front_ends.iter().for_each(|&n| self.board.cut(n, Some(outage)));
        tokio::time::sleep(Duration::from_micros(span)).await;
        front_ends.iter().for_each(|&n| self.board.cut(n, None));
    }

    async fn for_a_while(&self, worker: usize, span: u64, set: impl Fn(&mut Standing, bool)) {
        let standing: &watch::Sender<Standing> = &self.workers[worker].standing;
        standing.send_modify(|standing| set(standing, true));
        tokio::time::sleep(Duration::from_micros(span)).await;
        standing.send_modify(|standing| set(standing, false));
    }

    fn list(&self, worker: usize, process: u32, state: Listing, late: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let started_ms = if late { unix } else { 0 };
        self.board.change(Change { worker, process, state, started_ms });
    }

    async fn drain(&self, worker: usize, stays: u64, away: u64) {
        let standing = &self.workers[worker].standing;
        let process = standing.borrow().process;
        standing.send_modify(|standing| standing.draining = true);
        self.list(worker, process, Listing::Draining, false);
        tokio::time::sleep(Duration::from_micros(stays)).await;
        standing.send_modify(|standing| standing.up = false);
        self.list(worker, process, Listing::Gone, false);
        self.new_process(worker, away).await;
    }

    async fn death(&self, worker: usize, away: u64, listed: bool) {
        let standing = &self.workers[worker].standing;
        let process = standing.borrow().process;
        standing.send_modify(|standing| standing.up = false);
        if listed {
            self.list(worker, process, Listing::Gone, false);
        }
        self.new_process(worker, away).await;
    }

    async fn new_process(&self, worker: usize, away: u64) {
        tokio::time::sleep(Duration::from_micros(away)).await;
        let standing = &self.workers[worker].standing;
        standing.send_modify(|standing| {
            (standing.process, standing.up, standing.draining) = (standing.process + 1, true, false);
        });
        let process = standing.borrow().process;
        self.recorder.add(Event::WorkerStarted { worker, process });
        self.list(worker, process, Listing::Ready, true);
    }

    fn signal(&self, front_end: &FrontEnd, process: Option<&Process>, signal: Signal) {
        let Some(process) = process else { return };
        self.recorder.add(Event::Signalled { front_end: front_end.number, signal });
        process.signal(match signal {
            Signal::Term => SystemSignal::SIGTERM,
            Signal::Hup => SystemSignal::SIGHUP,
            Signal::Kill => SystemSignal::SIGKILL,
        });
    }

    /// SIGTERM, and SIGKILL at the earliest; clients go on until then.
    async fn restart(&self, front_end: &FrontEnd, series: bool) {
        if series {
            self.moves(front_end, 1).await;
        }
        let since = Instant::now();
        self.signal(front_end, front_end.process.lock().await.as_ref(), Signal::Term);
        tokio::time::sleep(CONNECTING_AFTER_TERM).await;
        front_end.door.set(false);
        if series {
            self.signal(front_end, front_end.process.lock().await.as_ref(), Signal::Term);
        }
        let longest = Duration::from_millis(self.plan.give_up_ms).min(LONGEST_DEADLINE);
        tokio::time::sleep((longest + KILL_AFTER).saturating_sub(since.elapsed())).await;
        self.kill(front_end).await;
        self.again(front_end).await;
    }

    /// Starts a front end anew, unless another fault has done so.
    async fn again(&self, front_end: &FrontEnd) {
        if front_end.process.lock().await.is_none() && self.start(front_end).await.is_ok() {
            self.until_ready(front_end).await;
        }
    }

    /// The board moves, so often in a row.
    async fn moves(&self, front_end: &FrontEnd, times: u32) {
        const BETWEEN: Duration = Duration::from_millis(120);
        for _ in 0..times {
            let process = front_end.process.lock().await;
            if process.is_none() || !front_end.door_is_open() {
                return; // not before it is ready
            }
            if self.board.move_away(front_end.number).await.is_err() || self.configure(front_end).is_err() {
                return;
            }
            self.signal(front_end, process.as_ref(), Signal::Hup);
            drop(process);
            tokio::time::sleep(BETWEEN).await;
        }
    }

    fn report(&self, options: &SoakOptions) -> Result<PlayReport, SoakError> {
        let records = self.recorder.take();
        if let Some(folder) = &options.out {
            keep(folder, self.plan.seed, &records)?;
        }
        let violations = check(&records, &self.rules());
        const MOST_STORIES: usize = 8;
        let mut stories: Vec<String> =
            violations.iter().take(MOST_STORIES).map(|violation| story(&records, violation)).collect();
        if !violations.is_empty() {
            stories.extend(self.front_ends.iter().map(FrontEnd::log_story));
        }
        Ok(PlayReport {
            plan: self.plan.clone(),
            requests: records.iter().filter(|r| matches!(r.event, Event::Sent { .. })).count(),
            answers: answers(&records),
            probes: probes(&records),
            never_injected: self.never_injected(&records),
            violations,
            stories,
        })
    }

    /// Kinds of system calls that were to fail and never did, at any front end.
    fn never_injected(&self, records: &[Record]) -> Vec<String> {
        let mut counts = [0; CALLS.len()];
        for record in records {
            if let Event::Injected { calls, .. } = &record.event {
                counts.iter_mut().zip(calls).for_each(|(sum, calls)| *sum += calls);
            }
        }
        // Connections need not break, and the program need not read the wall clock at all.
        let may_miss = |call: Call| matches!(call, Call::Broken | Call::WallClock);
        let missed = |call: &Call| self.plan.rates[*call as usize] > 0 && counts[*call as usize] == 0;
        CALLS
            .into_iter()
            .filter(|call| !may_miss(*call) && missed(call))
            .map(|call| format!("{call:?}"))
            .collect()
    }
}

impl FrontEnd {
    fn new(number: usize, plan: &Plan, folder: &Folder) -> io::Result<FrontEnd> {
        // The same address over all lives: a port that is free now, on an address of its own.
        let listen = std::net::TcpListener::bind((network::front_end(number), 0))?.local_addr()?;
        let control_path = folder.0.join(format!("control-{number}"));
        let control = ControlFile::create(&control_path, plan.seed + number as u64)?;
        let front_end = FrontEnd {
            number,
            listen,
            config: folder.0.join(format!("n{number}.json")),
            control_path,
            control,
            log: LogTail::default(),
            door: Arc::default(),
            process: tokio::sync::Mutex::new(None),
            wall_step_s: Mutex::new(0),
        };
        front_end.step_wall_clock(plan.wall_step_s);
        Ok(front_end)
    }

    fn step_wall_clock(&self, seconds: i64) {
        if let Ok(mut step) = self.wall_step_s.lock() {
            *step = seconds;
            let _ = self.control.step_wall_clock(seconds * NANOS); // the file is ours and open
        }
    }

    fn door_is_open(&self) -> bool {
        self.door.is_open()
    }

    fn log_story(&self) -> String {
        const LINES: usize = 40;
        let lines = self.log.lines();
        let last = lines.iter().skip(lines.len().saturating_sub(LINES));
        let text: String = last.map(|line| format!("  {line}\n")).collect();
        format!("log of n{}, last lines:\n{text}", self.number)
    }
}

fn keep(folder: &Path, seed: u64, records: &[Record]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let lines: Result<Vec<String>, serde_json::Error> = records.iter().map(serde_json::to_string).collect();
    std::fs::write(folder.join(format!("{seed}.jsonl")), lines?.join("\n") + "\n")
}

fn answers(records: &[Record]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let Event::Answered { answer, .. } = &record.event else { continue };
        let name = match answer {
            Answer::Served => "served",
            Answer::WrongBody => "wrong body",
            Answer::Refused => "refused",
            Answer::Failed => "failed",
        };
        *counts.entry(name.to_owned()).or_default() += 1;
    }
    counts
}

fn probes(records: &[Record]) -> usize {
    let probe =
        |r: &&Record| matches!(&r.event, Event::Received { command: super::record::Command::Probe, .. });
    records.iter().filter(probe).count()
}
