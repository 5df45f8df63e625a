//! A run of real front ends: start, readiness, calls, changes of the list, and the figures.
use super::board::Board;
use super::clients::{is_ready, Clients};
use super::deploy::{node_config, Deploy, DeployError};
use super::process::FrontEndProcess;
use super::usage::Usage;
use super::workers::{Kind, Workers};
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use crate::fleet::calls::{CallBook, Times};
use crate::report::{CallReport, Machine, NodeControl, NodeFrontEnd, NodeReport, Shape};
use crate::time::{milliseconds, seconds, RealClock};
use crate::world::{Change, List, Schedule, Timed, World};
use heronslip_policy::{Micros, Settings};
use miniserde::json::Object;
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// A front end that is not ready within this is measured as it is.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// How often the run looks at its front ends.
const LOOK: Duration = Duration::from_millis(50);
/// Rank of the functions' seed against that of the clients.
const CLIENT_SEED: u64 = 0x636c_6965_6e74;

/// Why a run of real front ends could not be finished.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The deploy or settings file cannot be used.
    #[error(transparent)]
    Deploy(#[from] DeployError),
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was wanted.
        what: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// A front end ended by itself.
    #[error("front end n{front_end} ended ({how}); its log's last lines:\n{tail}")]
    Ended {
        /// Which.
        front_end: usize,
        /// How.
        how: String,
        /// The last lines of its log.
        tail: String,
    },
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}

fn system(what: &'static str) -> impl Fn(io::Error) -> NodeError {
    move |source| NodeError::System { what, source }
}

/// Runs an experiment against real front ends. No process of it is left when this returns.
///
/// # Errors
/// Fails if something cannot be started, a front end ends by itself, or the run is interrupted.
pub async fn run(
    experiment: &Experiment, settings: Settings, told: &Object, deploy: &Deploy,
) -> Result<NodeReport, NodeError> {
    let mut front_ends = Vec::new();
    let played = tokio::select! {
        played = play(experiment, settings, told, deploy, &mut front_ends) => played,
        () = interrupted() => Err(NodeError::Interrupted),
    };
    for front_end in &mut front_ends {
        front_end.process.kill().await;
    }
    played
}

/// Waits for SIGINT or SIGTERM.
pub(crate) async fn interrupted() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

struct Running {
    process: FrontEndProcess,
    address: std::net::SocketAddr,
    ready_s: Option<f64>,
    /// At the begin of the counted time.
    before: Usage,
}

/// A folder for configurations, removed with the run.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("heronslip-scale-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // what is left lies in the system's folder for such files
    }
}

async fn play(
    experiment: &Experiment, settings: Settings, told: &Object, deploy: &Deploy,
    front_ends: &mut Vec<Running>,
) -> Result<NodeReport, NodeError> {
    let began = Instant::now();
    let catalogue = Arc::new(Catalogue::new(experiment));
    let ranks = catalogue.functions.iter().enumerate().map(|(rank, f)| (f.id, rank)).collect();
    let world = World::new(experiment, &settings, catalogue.clone());
    let count = experiment.fleet.workers as usize;
    let workers = Workers::start(world, count, ranks).await.map_err(system("workers' listeners"))?;
    let list = List::new(experiment, settings.machine_memory_mb.len());
    let board = Board::start(list, workers.addresses.clone(), settings.machine_types.clone());
    let board = board.await.map_err(system("the board's listener"))?;
    let folder = Folder::new().map_err(system("a folder for configurations"))?;
    let known =
        if experiment.node.told_at_start { board.known() } else { r#"{"rev":0,"notices":[]}"#.to_owned() };
    for n in 0..experiment.fleet.front_ends as usize {
        let config = folder.0.join(format!("n{n}.json"));
        let text = node_config(experiment, told, n, board.address, &known);
        std::fs::write(&config, text).map_err(system("a configuration"))?;
        let mut process =
            FrontEndProcess::start(deploy, &format!("n{n}"), &config).map_err(system("a front end"))?;
        let listens = tokio::time::timeout(READY_WITHIN, process.address()).await;
        let Ok(Some(address)) = listens else {
            tokio::time::sleep(LOOK).await; // its end and the last of its log come after the log's end
            let how = process.ended().unwrap_or_else(|| "it does not listen".to_owned());
            return Err(NodeError::Ended { front_end: n, how, tail: process.tail() });
        };
        tracing::info!(front_end = n, %address, "started");
        front_ends.push(Running { process, address, ready_s: None, before: Usage::default() });
    }
    become_ready(front_ends, began).await?;
    let settings = Arc::new(settings);
    let mut run =
        Run { experiment, board, workers, clock: RealClock::start(), spreads: HashMap::new(), cut: None };
    let (ended, calls) = unbounded_channel();
    let start = run.clock.now();
    let book = CallBook::new(&settings, start, start + seconds(experiment.warm_up_s));
    let mut clients = tokio::task::JoinSet::new();
    for (n, front_end) in front_ends.iter().enumerate() {
        let seed = experiment.seed ^ CLIENT_SEED ^ (n as u64) << 32;
        let calls_per_s = experiment.calls.per_front_end_s;
        let (catalogue, settings, ended) = (catalogue.clone(), settings.clone(), ended.clone());
        let address = front_end.address;
        clients.spawn(Clients::new(address, seed, calls_per_s, catalogue, settings, run.clock, ended).run());
    }
    drop(ended);
    run.measure(front_ends, start, book, calls, began).await
}

/// Waits until all front ends are ready, or [`READY_WITHIN`] has passed.
async fn become_ready(front_ends: &mut [Running], began: Instant) -> Result<(), NodeError> {
    while began.elapsed() < READY_WITHIN && front_ends.iter().any(|f| f.ready_s.is_none()) {
        for (n, front_end) in front_ends.iter_mut().enumerate() {
            alive(n, front_end)?;
            if front_end.ready_s.is_none() && is_ready(front_end.address).await {
                front_end.ready_s = Some(began.elapsed().as_secs_f64());
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

fn alive(number: usize, front_end: &mut Running) -> Result<(), NodeError> {
    match front_end.process.ended() {
        Some(how) => Err(NodeError::Ended { front_end: number, how, tail: front_end.process.tail() }),
        None => Ok(()),
    }
}

/// Counters at one moment.
#[derive(Clone, Copy, Default)]
struct Counters {
    orders: (u64, u64),
    questions: (u64, u64),
    keep_alives: (u64, u64),
    probes: (u64, u64),
    calls: (u64, u64),
    list_bytes: u64,
    board_calls: u64,
}

struct Run<'a> {
    experiment: &'a Experiment,
    board: Board,
    workers: Workers,
    clock: RealClock,
    /// Workers that were listed anew, and when.
    spreads: HashMap<String, Instant>,
    cut: Option<Instant>,
}

impl Run<'_> {
    fn counters(&self) -> Counters {
        let (traffic, board) = (&self.workers.traffic, self.board.counts());
        Counters {
            orders: traffic.orders.read(),
            questions: traffic.questions.read(),
            keep_alives: traffic.keep_alives.read(),
            probes: traffic.probes.read(),
            calls: Kind::read(&traffic.calls),
            list_bytes: board.bytes.load(Ordering::Relaxed),
            board_calls: board.calls.load(Ordering::Relaxed),
        }
    }

    async fn measure(
        &mut self, front_ends: &mut [Running], start: Micros, mut book: CallBook,
        mut calls: UnboundedReceiver<crate::fleet::calls::CallRecord>, began: Instant,
    ) -> Result<NodeReport, NodeError> {
        let experiment = self.experiment;
        let mut schedule = Schedule::new(experiment);
        let (from, end) = (start + seconds(experiment.warm_up_s), start + seconds(experiment.duration_s));
        let (mut before, mut counted_from) = (Counters::default(), None);
        while self.clock.now() < end {
            let now = self.clock.now();
            if now >= from && counted_from.is_none() {
                before = self.counters();
                front_ends.iter_mut().for_each(|f| f.before = Usage::of(f.process.id));
                counted_from = Some(Instant::now());
            }
            while let Some(timed) = schedule.due(now - start) {
                self.change(timed);
            }
            while let Ok(call) = calls.try_recv() {
                book.add(&call);
            }
            for (n, front_end) in front_ends.iter_mut().enumerate() {
                alive(n, front_end)?;
            }
            tokio::time::sleep(LOOK).await;
        }
        let span = counted_from.map_or(1.0, |at| at.elapsed().as_secs_f64());
        let (after, count) = (self.counters(), front_ends.len() as f64);
        let rate = |now: u64, then: u64| (now - then) as f64 / count / span;
        let kind = |now: (u64, u64), then: (u64, u64)| rate(now.1, then.1);
        let each: Vec<NodeFrontEnd> = front_ends.iter().map(|f| figures(f, span)).collect();
        Ok(NodeReport {
            shape: Shape::of(experiment, self.rare()),
            told_at_start: experiment.node.told_at_start,
            calls: CallReport {
                counts: book.counts(),
                latency: book.latency().quantiles(),
                cold_start: book.cold_start().quantiles(),
                cold_within_1500_ms: book.cold_start().within(milliseconds(1_500.0)),
            },
            control: NodeControl {
                list_bytes_s: rate(after.list_bytes, before.list_bytes),
                order_bytes_s: kind(after.orders, before.orders),
                question_bytes_s: kind(after.questions, before.questions),
                keep_alive_bytes_s: kind(after.keep_alives, before.keep_alives),
                probe_bytes_s: kind(after.probes, before.probes),
                call_bytes_s: kind(after.calls, before.calls),
                board_calls_s: rate(after.board_calls, before.board_calls),
                whole_lists: self.board.counts().whole_lists.load(Ordering::Relaxed),
            },
            known_everywhere: self.known(front_ends).quantiles(),
            reconnected: self.reconnected().quantiles(),
            workers_connected: self.workers.traffic.open.load(Ordering::Relaxed) as f64 / count,
            front_ends: each,
            machine: Machine::measure(began),
        })
    }

    fn rare(&self) -> f64 {
        let total = f64::from(self.experiment.fleet.told()) * self.experiment.calls.per_front_end_s;
        Catalogue::new(self.experiment).rare(total)
    }

    fn change(&mut self, timed: Timed) {
        match timed.change {
            Change::WorkersReplaced(which) => {
                self.workers.replace(which.clone());
                let now = Instant::now();
                for name in self.board.replace(self.clock.now(), &which) {
                    self.spreads.insert(name, now);
                }
            }
            Change::BoardCut(_) => self.board.cut(),
            Change::BoardHealed(_) => {
                self.board.heal();
                self.cut = Some(Instant::now());
            }
            other => tracing::warn!(?other, "not played with real front ends"),
        }
    }

    /// From each new worker's listing until every front end has it, by the front ends' logs.
    fn known(&self, front_ends: &[Running]) -> Times {
        let mut last: HashMap<&str, (usize, Instant)> = HashMap::new();
        let logs: Vec<Vec<(String, Instant)>> = front_ends
            .iter()
            .map(|f| f.process.log.lock().map(|l| l.members.clone()).unwrap_or_default())
            .collect();
        for (name, at) in logs.iter().flatten().filter(|(name, _)| self.spreads.contains_key(name)) {
            let entry = last.entry(name).or_insert((0, *at));
            *entry = (entry.0 + 1, entry.1.max(*at));
        }
        let mut times = Times::default();
        for (name, (heard, at)) in last {
            if let Some(since) = self.spreads.get(name).filter(|_| heard >= front_ends.len()) {
                times.add(at.saturating_duration_since(*since).as_micros() as Micros);
            }
        }
        times
    }

    /// From the end of the board's cut until each call that came after it.
    fn reconnected(&self) -> Times {
        let mut times = Times::default();
        let (Some(since), Ok(calls)) = (self.cut, self.board.counts().after_heal.lock()) else {
            return times;
        };
        calls.iter().for_each(|at| times.add(at.saturating_duration_since(since).as_micros() as Micros));
        times
    }
}

fn figures(front_end: &Running, span: f64) -> NodeFrontEnd {
    let now = Usage::of(front_end.process.id);
    NodeFrontEnd {
        ready_s: front_end.ready_s,
        memory_mb: now.memory_mb,
        peak_mb: now.peak_mb,
        core_share: (now.cpu_s - front_end.before.cpu_s) / span,
        start_cpu_s: front_end.before.cpu_s,
        descriptors: now.descriptors,
        log_lines: front_end.process.log.lock().map_or(0, |l| l.lines),
    }
}
