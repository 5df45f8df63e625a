//! A run of real front ends: start, readiness, calls, changes of the worker list, and the measurements.
use super::clients::{is_ready, Clients};
use super::deploy::{front_end_config, Deploy, DeployError};
use super::discovery::DiscoveryServer;
use super::process::FrontEndProcess;
use super::usage::Usage;
use super::workers::Workers;
use crate::catalogue::Catalogue;
use crate::experiment::Experiment;
use crate::fleet::calls::{CallRecord, CallStatistics, DurationHistogram};
use crate::interrupt::Interrupt;
use crate::report::{CallReport, ExperimentSize, Machine, NodeControl, NodeFrontEnd, NodeReport};
use crate::time::{milliseconds, seconds, RealClock};
use crate::world::{Change, Schedule, ScheduledChange, WorkerList, World};
use heronslip_policy::{Micros, Settings};
use miniserde::json::Object;
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// How long to wait for the front ends to become ready; the run starts even if some are not.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the front ends are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Separates the clients' random numbers from others of the same seed: "client" in ASCII.
const CLIENT_SEED: u64 = 0x636c_6965_6e74;

/// Why a run of real front ends could not be finished.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The deploy or settings file cannot be used.
    #[error(transparent)]
    Deploy(#[from] DeployError),
    /// A system call failed.
    #[error("{action}: {source}")]
    System {
        /// What failed.
        action: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// A front end ended before the run did.
    #[error("front end n{front_end} ended ({status}); last lines of its log:\n{log_tail}")]
    Ended {
        /// Number of the front end.
        front_end: usize,
        /// Its exit status.
        status: String,
        /// The last lines of its log.
        log_tail: String,
    },
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}

fn system(action: &'static str) -> impl Fn(io::Error) -> NodeError {
    move |source| NodeError::System { action, source }
}

/// Runs an experiment against real front ends. All their processes have ended when this returns.
///
/// # Errors
/// Fails if something cannot be started, a front end ends before the run does, or the run is interrupted.
pub async fn run(
    experiment: &Experiment, settings: Settings, settings_json: &Object, deploy: &Deploy,
) -> Result<NodeReport, NodeError> {
    let mut interrupt = Interrupt::listen().map_err(system("cannot listen for signals"))?;
    let mut front_ends = Vec::new();
    let result = tokio::select! {
        result = run_experiment(experiment, settings, settings_json, deploy, &mut front_ends) => result,
        () = interrupt.received() => Err(NodeError::Interrupted),
    };
    for front_end in &mut front_ends {
        front_end.process.kill().await;
    }
    result
}

/// A front end of the run.
struct RunningFrontEnd {
    process: FrontEndProcess,
    address: std::net::SocketAddr,
    /// Seconds from the start of the run until it was ready; `None` while it is not.
    ready_s: Option<f64>,
    /// Its usage at the start of the counted time.
    start_usage: Usage,
}

/// A temporary directory for the configuration files, removed when the run ends.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> io::Result<TempDirectory> {
        let path = std::env::temp_dir().join(format!("heronslip-scale-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDirectory(path))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // a leftover is in the system's temporary directory
    }
}

/// Starts everything, runs the experiment, and returns the report. The front ends that were started are added
/// to `front_ends`, for the caller to end.
async fn run_experiment(
    experiment: &Experiment, settings: Settings, settings_json: &Object, deploy: &Deploy,
    front_ends: &mut Vec<RunningFrontEnd>,
) -> Result<NodeReport, NodeError> {
    let started = Instant::now();
    let catalogue = Arc::new(Catalogue::new(experiment));
    let ranks = catalogue.functions.iter().enumerate().map(|(rank, f)| (f.id, rank)).collect();
    let world = World::new(experiment, &settings, catalogue.clone());
    let count = experiment.fleet.workers as usize;
    let workers =
        Workers::start(world, count, ranks).await.map_err(system("binding the listeners of the workers"))?;
    let list = WorkerList::new(experiment, settings.machine_memory_mb.len());
    let discovery = DiscoveryServer::start(list, workers.addresses.clone(), settings.machine_types.clone());
    let discovery = discovery.await.map_err(system("binding the listener of the discovery server"))?;
    let directory = TempDirectory::new().map_err(system("creating the directory for configurations"))?;
    let configured_list = if experiment.node.list_in_configuration {
        discovery.configured_list()
    } else {
        r#"{"rev":0,"notices":[]}"#.to_owned()
    };
    for n in 0..experiment.fleet.front_ends as usize {
        let config = directory.0.join(format!("n{n}.json"));
        let text = front_end_config(experiment, settings_json, n, discovery.address, &configured_list);
        std::fs::write(&config, text).map_err(system("writing a configuration"))?;
        let mut process = FrontEndProcess::start(deploy, &format!("n{n}"), &config)
            .map_err(system("starting a front end"))?;
        let listening = tokio::time::timeout(READY_TIMEOUT, process.listen_address()).await;
        let Ok(Some(address)) = listening else {
            // The exit status and the last log lines may only be available a moment later.
            tokio::time::sleep(POLL_INTERVAL).await;
            let status = process.exit_status().unwrap_or_else(|| "did not start to listen".to_owned());
            return Err(NodeError::Ended { front_end: n, status, log_tail: process.log_tail() });
        };
        tracing::info!(front_end = n, %address, "started");
        front_ends.push(RunningFrontEnd { process, address, ready_s: None, start_usage: Usage::default() });
    }
    wait_until_ready(front_ends, started).await?;
    let settings = Arc::new(settings);
    let mut run = Run {
        experiment,
        discovery,
        workers,
        clock: RealClock::start(),
        listed_at: HashMap::new(),
        cut_ended_at: None,
    };
    let (record_sender, records) = unbounded_channel();
    let start = run.clock.now();
    let statistics = CallStatistics::new(&settings, start, start + seconds(experiment.warm_up_s));
    let mut clients = tokio::task::JoinSet::new();
    for (n, front_end) in front_ends.iter().enumerate() {
        let seed = experiment.seed ^ CLIENT_SEED ^ (n as u64) << 32;
        let calls_per_s = experiment.calls.per_front_end_s;
        let (catalogue, settings, records) = (catalogue.clone(), settings.clone(), record_sender.clone());
        let address = front_end.address;
        clients
            .spawn(Clients::new(address, seed, calls_per_s, catalogue, settings, run.clock, records).run());
    }
    drop(record_sender);
    run.measure(front_ends, start, statistics, records, started).await
}

/// Waits until all front ends are ready, or [`READY_TIMEOUT`] has passed.
async fn wait_until_ready(front_ends: &mut [RunningFrontEnd], started: Instant) -> Result<(), NodeError> {
    while started.elapsed() < READY_TIMEOUT && front_ends.iter().any(|f| f.ready_s.is_none()) {
        for (n, front_end) in front_ends.iter_mut().enumerate() {
            check_running(n, front_end)?;
            if front_end.ready_s.is_none() && is_ready(front_end.address).await {
                front_end.ready_s = Some(started.elapsed().as_secs_f64());
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Fails if a front end has ended.
fn check_running(number: usize, front_end: &mut RunningFrontEnd) -> Result<(), NodeError> {
    match front_end.process.exit_status() {
        Some(status) => {
            Err(NodeError::Ended { front_end: number, status, log_tail: front_end.process.log_tail() })
        }
        None => Ok(()),
    }
}

/// A snapshot of the traffic counters: bytes, and requests to the discovery server.
#[derive(Clone, Copy, Default)]
struct Counters {
    command_bytes: u64,
    query_bytes: u64,
    keep_alive_bytes: u64,
    probe_bytes: u64,
    call_bytes: u64,
    list_bytes: u64,
    discovery_requests: u64,
}

/// A run whose front ends have started.
struct Run<'a> {
    experiment: &'a Experiment,
    discovery: DiscoveryServer,
    workers: Workers,
    clock: RealClock,
    /// When each new worker of the run was listed, by its name.
    listed_at: HashMap<String, Instant>,
    cut_ended_at: Option<Instant>,
}

impl Run<'_> {
    fn counters(&self) -> Counters {
        let (traffic, discovery) = (&self.workers.traffic, self.discovery.counts());
        Counters {
            command_bytes: traffic.commands.total(),
            query_bytes: traffic.copy_queries.total(),
            keep_alive_bytes: traffic.keep_alives.total(),
            probe_bytes: traffic.probes.total(),
            call_bytes: traffic.calls.total(),
            list_bytes: discovery.bytes.load(Ordering::Relaxed),
            discovery_requests: discovery.requests.load(Ordering::Relaxed),
        }
    }

    /// Applies the schedule and collects the calls until the run ends, then makes the report.
    async fn measure(
        &mut self, front_ends: &mut [RunningFrontEnd], start: Micros, mut statistics: CallStatistics,
        mut records: UnboundedReceiver<CallRecord>, started: Instant,
    ) -> Result<NodeReport, NodeError> {
        let experiment = self.experiment;
        let mut schedule = Schedule::new(experiment);
        let (counted_start, end) =
            (start + seconds(experiment.warm_up_s), start + seconds(experiment.duration_s));
        let (mut before, mut counted_from) = (Counters::default(), None);
        while self.clock.now() < end {
            let now = self.clock.now();
            if now >= counted_start && counted_from.is_none() {
                before = self.counters();
                front_ends.iter_mut().for_each(|f| f.start_usage = Usage::of(f.process.pid));
                counted_from = Some(Instant::now());
            }
            while let Some(scheduled) = schedule.pop_due(now - start) {
                self.apply(scheduled);
            }
            while let Ok(call) = records.try_recv() {
                statistics.add(&call);
            }
            for (n, front_end) in front_ends.iter_mut().enumerate() {
                check_running(n, front_end)?;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let counted_s = counted_from.map_or(1.0, |at| at.elapsed().as_secs_f64());
        let (after, count) = (self.counters(), front_ends.len() as f64);
        let rate = |after: u64, before: u64| (after - before) as f64 / count / counted_s;
        let front_end_reports: Vec<NodeFrontEnd> =
            front_ends.iter().map(|f| measure_front_end(f, counted_s)).collect();
        Ok(NodeReport {
            size: ExperimentSize::of(experiment, self.rare_function_share()),
            list_in_configuration: experiment.node.list_in_configuration,
            calls: CallReport {
                counts: statistics.counts(),
                latency: statistics.latency().quantiles(),
                cold_start: statistics.cold_start().quantiles(),
                cold_within_1500_ms: statistics.cold_start().share_within(milliseconds(1_500.0)),
            },
            control: NodeControl {
                list_bytes_s: rate(after.list_bytes, before.list_bytes),
                command_bytes_s: rate(after.command_bytes, before.command_bytes),
                query_bytes_s: rate(after.query_bytes, before.query_bytes),
                keep_alive_bytes_s: rate(after.keep_alive_bytes, before.keep_alive_bytes),
                probe_bytes_s: rate(after.probe_bytes, before.probe_bytes),
                call_bytes_s: rate(after.call_bytes, before.call_bytes),
                discovery_requests_s: rate(after.discovery_requests, before.discovery_requests),
                full_lists: self.discovery.counts().full_lists.load(Ordering::Relaxed),
            },
            propagation: self.propagation_times(front_ends).quantiles(),
            reconnect: self.reconnect_times().quantiles(),
            worker_connections: self.workers.traffic.open_connections.load(Ordering::Relaxed) as f64 / count,
            front_ends: front_end_reports,
            machine: Machine::measure(started),
        })
    }

    fn rare_function_share(&self) -> f64 {
        let total_calls_s =
            f64::from(self.experiment.fleet.configured()) * self.experiment.calls.per_front_end_s;
        Catalogue::new(self.experiment).rare_share(total_calls_s)
    }

    /// Applies a change, or logs that it is not supported.
    fn apply(&mut self, scheduled: ScheduledChange) {
        match scheduled.change {
            Change::WorkersReplaced(workers) => {
                self.workers.replace(workers.clone());
                let now = Instant::now();
                for name in self.discovery.replace(self.clock.now(), &workers) {
                    self.listed_at.insert(name, now);
                }
            }
            Change::DiscoveryCut(_) => self.discovery.cut(),
            Change::DiscoveryRestored(_) => {
                self.discovery.restore();
                self.cut_ended_at = Some(Instant::now());
            }
            other => tracing::warn!(?other, "change is not supported with real front ends; ignored"),
        }
    }

    /// Times from when each new worker was listed until the logs of all front ends have it.
    fn propagation_times(&self, front_ends: &[RunningFrontEnd]) -> DurationHistogram {
        // For each new worker: how many logs have it, and when the last of them got it.
        let mut reported: HashMap<&str, (usize, Instant)> = HashMap::new();
        let logs: Vec<Vec<(String, Instant)>> = front_ends
            .iter()
            .map(|f| f.process.log.lock().map(|l| l.ready_workers.clone()).unwrap_or_default())
            .collect();
        for (name, at) in logs.iter().flatten().filter(|(name, _)| self.listed_at.contains_key(name)) {
            let entry = reported.entry(name).or_insert((0, *at));
            *entry = (entry.0 + 1, entry.1.max(*at));
        }
        let mut times = DurationHistogram::default();
        for (name, (count, at)) in reported {
            if let Some(since) = self.listed_at.get(name).filter(|_| count >= front_ends.len()) {
                times.add(at.saturating_duration_since(*since).as_micros() as Micros);
            }
        }
        times
    }

    /// Times from the end of the discovery server's cut until each request that came after it.
    fn reconnect_times(&self) -> DurationHistogram {
        let mut times = DurationHistogram::default();
        let (Some(since), Ok(requests)) =
            (self.cut_ended_at, self.discovery.counts().requests_after_cut.lock())
        else {
            return times;
        };
        requests.iter().for_each(|at| times.add(at.saturating_duration_since(since).as_micros() as Micros));
        times
    }
}

fn measure_front_end(front_end: &RunningFrontEnd, counted_s: f64) -> NodeFrontEnd {
    let usage = Usage::of(front_end.process.pid);
    NodeFrontEnd {
        ready_s: front_end.ready_s,
        memory_mb: usage.memory_mb,
        peak_mb: usage.peak_mb,
        core_share: (usage.cpu_s - front_end.start_usage.cpu_s) / counted_s,
        start_cpu_s: front_end.start_usage.cpu_s,
        descriptors: usage.descriptors,
        log_lines: front_end.process.log.lock().map_or(0, |l| l.line_count),
    }
}
