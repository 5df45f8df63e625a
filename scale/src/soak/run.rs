//! Runs of a soak: starts front ends and stand-ins, injects the scenario's faults, and has the checker judge
//! the record.
use super::checker::{check, RetrySafety, Rules, Violation};
use super::clients::{self, bad_client, Class, Clients, ConnectGate};
use super::config::{ConfigError, SoakConfig};
use super::discovery_server::{Change, DiscoveryServer};
use super::flood::flood;
use super::network;
use super::process::{FrontEndProcess, LaunchOptions, LogTail};
use super::record::{Command, Event, Outage, Record, Recorder, Response, Signal, WorkerState};
use super::scenario::{Fault, Scenario};
use super::violation_trace::violation_trace;
use super::worker::{self, Worker, WorkerStatus};
use crate::interrupt::Interrupt;
use crate::node::clients::is_ready;
use crate::node::usage::Usage;
use crate::node::{Deploy, DeployError};
use heronslip_shim_control::{ControlFile, SystemCall, CONTROL_VARIABLE, SYSTEM_CALLS};
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

/// SIGKILL follows SIGTERM after the longest client timeout, or [`MAX_TIMEOUT_BEFORE_KILL`] if that is shorter,
/// plus this time: the earliest time that the rules allow.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Client timeouts beyond this do not delay SIGKILL further.
const MAX_TIMEOUT_BEFORE_KILL: Duration = Duration::from_secs(3);
/// How long clients go on opening connections after SIGTERM.
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
const USAGE_POLL_INTERVAL: Duration = Duration::from_millis(500);
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time at the end for pending requests to complete, in addition to the longest client timeout.
const COMPLETION_MARGIN: Duration = Duration::from_millis(900);
// Limits and settings of the front ends; the checker judges by the same values.
const DEDUP_WINDOW_MS: u64 = 1_500;
const WARM_UP_TIME_MS: u64 = 6_000;
const OVERLOAD_WINDOW_MS: u64 = 3_000;
const OVERLOAD_MULTIPLE: f64 = 4.0;
const COLD_CAPACITY: f64 = 0.2;
const DRAIN_GRACE_MS: u64 = 1_000;
const MAX_ATTEMPTS: usize = 3;
/// The classes of requests: safe to retry, deduplicated, and unsafe to retry.
pub(super) const CLASSES: [&str; 3] = ["lookup", "confirm", "once"];
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Spreads the seeds of runs, so that front ends of different runs get different seeds: 2^64 divided by the
/// golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why a soak cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The soak's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The deploy file cannot be used.
    #[error(transparent)]
    Deploy(#[from] DeployError),
    /// The shim library does not exist.
    #[error("{}: shim library not found; build it with `cargo build --release -p heronslip-shim`", .0.display())]
    NoShim(PathBuf),
    /// A file, process or socket could not be created.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The soak was interrupted.
    #[error("interrupted")]
    Interrupted,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The ranges from which scenarios are drawn.
    pub config: SoakConfig,
    /// How front ends are started.
    pub deploy: Deploy,
    /// Path of the shim library.
    pub shim: PathBuf,
    /// Seeds of the scenarios.
    pub seeds: std::ops::RangeInclusive<u64>,
    /// Directory in which records are stored, as one JSON object a line.
    pub out: Option<PathBuf>,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The scenario.
    #[serde(rename = "plan")]
    pub scenario: Scenario,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of responses of each kind.
    #[serde(rename = "answers")]
    pub responses: BTreeMap<String, usize>,
    /// Number of probes that workers received.
    pub probes: usize,
    /// Kinds of system calls that the shim was to make fail and never did.
    pub never_injected: Vec<String>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Traces of the first violations, and the last log lines of each front end.
    #[serde(skip)]
    pub violation_traces: Vec<String>,
}

impl RunReport {
    /// Percentage of the requests that were served.
    pub fn served_percent(&self) -> f64 {
        let served = self.responses.get("served").copied().unwrap_or(0);
        100.0 * served as f64 / self.requests.max(1) as f64
    }
}

/// Runs the scenarios of all seeds one after the other, passes each report to `on_report` and returns the
/// number of violations. All processes that it started have exited when it returns.
///
/// # Errors
/// Fails if something cannot be started, or on SIGINT or SIGTERM.
pub async fn soak(options: &SoakOptions, mut on_report: impl FnMut(&RunReport)) -> Result<usize, SoakError> {
    if !options.shim.is_file() {
        return Err(SoakError::NoShim(options.shim.clone()));
    }
    let mut interrupt = Interrupt::listen()?;
    let mut violations = 0;
    for seed in options.seeds.clone() {
        let scenario = Scenario::draw(&options.config, seed);
        let directory = TempDirectory::new(scenario.seed)?;
        let run = Arc::new(Run::set_up(options, scenario, &directory).await?);
        let report = tokio::select! {
            report = run.clone().execute(options) => report,
            () = interrupt.received() => Err(SoakError::Interrupted),
        };
        // The front ends must have exited before this function returns, also after an error or interrupt.
        run.kill_all().await;
        let report = report?;
        violations += report.violations.len();
        on_report(&report);
    }
    Ok(violations)
}

/// A temporary directory for the configurations and control files of a run, removed when dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(seed: u64) -> io::Result<TempDirectory> {
        let path = std::env::temp_dir().join(format!("heronslip-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDirectory(path))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // a leftover is in the system's temporary directory
    }
}

/// A front end and its present process, which faults may end and start again.
struct FrontEnd {
    number: usize,
    listen: SocketAddr,
    config: PathBuf,
    control_path: PathBuf,
    control: ControlFile,
    log: LogTail,
    connect_gate: Arc<ConnectGate>,
    process: tokio::sync::Mutex<Option<FrontEndProcess>>,
    wall_clock_offset_s: Mutex<i64>,
}

struct Run {
    scenario: Scenario,
    deploy: Deploy,
    shim: PathBuf,
    recorder: Arc<Recorder>,
    discovery: DiscoveryServer,
    workers: Vec<Arc<Worker>>,
    front_ends: Vec<FrontEnd>,
    client_settings: Arc<clients::Settings>,
}

impl Run {
    async fn execute(self: Arc<Self>, options: &SoakOptions) -> Result<RunReport, SoakError> {
        for front_end in &self.front_ends {
            self.start(front_end).await?;
        }
        let mut tasks = JoinSet::new();
        for front_end in &self.front_ends {
            self.wait_until_ready(front_end).await;
            tasks.spawn(self.regular_clients(front_end).run());
        }
        tasks.spawn(self.clone().watch_usage());
        let start = Instant::now();
        let mut faults = JoinSet::new();
        for (at, fault) in self.scenario.faults.clone() {
            let at = Duration::from_micros(at);
            tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
            faults.spawn(self.clone().inject(fault));
        }
        tokio::time::sleep(Duration::from_micros(self.scenario.duration).saturating_sub(start.elapsed()))
            .await;
        while faults.join_next().await.is_some() {}
        tasks.abort_all();
        while tasks.join_next().await.is_some() {}
        tokio::time::sleep(Duration::from_millis(self.scenario.client_timeout_ms) + COMPLETION_MARGIN).await;
        self.kill_all().await;
        self.report(options)
    }

    async fn kill_all(&self) {
        for front_end in &self.front_ends {
            self.kill(front_end).await;
        }
    }

    async fn set_up(
        options: &SoakOptions, scenario: Scenario, directory: &TempDirectory,
    ) -> Result<Run, SoakError> {
        let recorder = Arc::new(Recorder::start());
        let worker_settings = Arc::new(worker::Settings {
            recorder: recorder.clone(),
            work: Duration::from_micros(scenario.work),
            lanes: scenario.lanes,
            faulty_reply_share: options.config.faulty_reply_share,
            next_connection: AtomicU64::new(1),
        });
        let mut workers = Vec::new();
        let mut worker_addresses = vec![Vec::new(); scenario.front_ends];
        for number in 0..scenario.workers {
            let seed = scenario.seed ^ (number as u64 + 1) << 32;
            let (worker, addresses) =
                Worker::start(number, scenario.front_ends, worker_settings.clone(), seed).await?;
            workers.push(worker);
            worker_addresses.iter_mut().zip(addresses).for_each(|(list, address)| list.push(address));
        }
        let discovery = DiscoveryServer::start(recorder.clone(), worker_addresses, scenario.seed).await?;
        let mut front_ends = Vec::new();
        for number in 0..scenario.front_ends {
            front_ends.push(FrontEnd::new(number, &scenario, directory)?);
        }
        let client_settings = Arc::new(clients::Settings {
            recorder: recorder.clone(),
            classes: CLASSES.map(|name| Class { name, deduplicated: name == "confirm" }).to_vec(),
            timeout_ms: scenario.client_timeout_ms,
            functions: scenario.functions,
            cancelled_share: options.config.cancelled_share,
            next_number: AtomicU64::new(1),
        });
        let (deploy, shim) = (options.deploy.clone(), options.shim.clone());
        Ok(Run { scenario, deploy, shim, recorder, discovery, workers, front_ends, client_settings })
    }

    fn regular_clients(&self, front_end: &FrontEnd) -> Clients {
        Clients {
            front_end: front_end.number,
            address: front_end.listen,
            calls_per_s: self.scenario.calls_per_s,
            connect_gate: front_end.connect_gate.clone(),
            settings: self.client_settings.clone(),
            seed: self.scenario.seed ^ (front_end.number as u64 + 1) << 16,
        }
    }

    fn settings(&self, front_end: usize) -> String {
        let client_timeout = self.scenario.client_timeout_ms;
        let latency_target = client_timeout / 2;
        let class = |name: &str, retry_safety: &str| {
            format!(
                r#"{{"name":"{name}","effect":"{retry_safety}","key-scope":"all","goal-time":{latency_target},"give-up":{client_timeout},"memory-span":{DEDUP_WINDOW_MS},"worth":1}}"#
            )
        };
        let classes =
            [class(CLASSES[0], "retryable"), class(CLASSES[1], "dedup"), class(CLASSES[2], "fragile")];
        format!(
            r#"{{"balancers":{},"index":{front_end},"classes":[{}],"tenants":[],"failure-domains":["zone-0"],"flavors":["std"],"over-share-worth":0.1,"registry-mode":"push","deductions":{{"probe":0.01}},"family-info":{{"orders":true,"tells-warm":true,"tells-crowd":false,"when-absent":"load","keep":10000,"load-wait":10000,"load-span":0,"free-loads":0,"loads-per-request":0,"machine-mb":[16000]}},"limits":{{"conn-idle":15000,"connect-timeout":250,"max-attempts":{MAX_ATTEMPTS},"max-retry-after":1000,"may-cancel":true,"probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":100}},"rules":{{"cold-from":{COLD_CAPACITY},"drain-grace":{DRAIN_GRACE_MS},"fall":{OVERLOAD_WINDOW_MS},"fall-multiple":{OVERLOAD_MULTIPLE},"warm-within":{WARM_UP_TIME_MS}}}}}"#,
            self.scenario.front_ends,
            classes.join(",")
        )
    }

    fn rules(&self) -> Rules {
        const MICROS_PER_MS: u64 = 1_000;
        Rules {
            retry_safety: vec![
                RetrySafety::Safe,
                RetrySafety::Deduplicated { window: DEDUP_WINDOW_MS * MICROS_PER_MS },
                RetrySafety::Unsafe,
            ],
            drain_grace: DRAIN_GRACE_MS * MICROS_PER_MS,
            max_attempts: MAX_ATTEMPTS,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW_MS * MICROS_PER_MS,
            cold_capacity: COLD_CAPACITY,
            warm_up_time: WARM_UP_TIME_MS * MICROS_PER_MS,
            capacity_per_s: f64::from(self.scenario.lanes) / (self.scenario.work as f64 / 1e6),
            max_descriptors: self.scenario.descriptors,
            max_memory_mb: self.scenario.memory_mb as f64,
        }
    }

    /// Writes a front end's configuration; returns the version of the worker list in it.
    fn configure(&self, front_end: &FrontEnd) -> io::Result<u64> {
        let number = front_end.number;
        let discovery_address = self
            .discovery
            .address(number)
            .ok_or_else(|| io::Error::other(format!("no discovery server address for front end {number}")))?;
        let (version, configured_list) = self.discovery.configured_list(number);
        let seed = self.scenario.seed.wrapping_mul(SEED_MULTIPLIER) ^ self.recorder.now();
        let text = format!(
            r#"{{"name":"n{number}","listen":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"board":"{discovery_address}","known":{configured_list},"settings":{}}}"#,
            front_end.listen,
            self.scenario.memory_mb,
            self.scenario.descriptors,
            self.settings(number)
        );
        std::fs::write(&front_end.config, text)?;
        Ok(version)
    }

    async fn start(&self, front_end: &FrontEnd) -> io::Result<()> {
        let version = self.configure(front_end)?;
        front_end.control.set_rates(&self.scenario.system_call_failures)?;
        let number = front_end.number;
        self.recorder.record(Event::FrontEndStarted { front_end: number, version });
        let options = LaunchOptions {
            deploy: &self.deploy,
            number,
            listen: front_end.listen,
            config: &front_end.config,
            environment: vec![
                ("LD_PRELOAD".to_owned(), self.shim.display().to_string()),
                (CONTROL_VARIABLE.to_owned(), front_end.control_path.display().to_string()),
            ],
        };
        *front_end.process.lock().await = Some(FrontEndProcess::start(options, &front_end.log)?);
        Ok(())
    }

    async fn wait_until_ready(&self, front_end: &FrontEnd) {
        const READY_TIMEOUT: Duration = Duration::from_secs(30);
        let start = Instant::now();
        while !is_ready(front_end.listen).await && start.elapsed() < READY_TIMEOUT {
            tokio::time::sleep(READINESS_POLL_INTERVAL).await;
        }
        if start.elapsed() < READY_TIMEOUT {
            self.recorder.record(Event::FrontEndReady { front_end: front_end.number });
            front_end.connect_gate.set(true);
        }
    }

    /// Polls the processes: records the resource usage of those that run, and the exit of those that do not.
    async fn watch_usage(self: Arc<Self>) {
        loop {
            for front_end in &self.front_ends {
                let mut process = front_end.process.lock().await;
                let Some(running) = process.as_mut() else { continue };
                let number = front_end.number;
                if let Some(exit_status) = running.exit_status() {
                    *process = None;
                    self.recorder.record(Event::FrontEndExited {
                        front_end: number,
                        killed: false,
                        exit_status,
                    });
                    continue;
                }
                let usage = Usage::of(running.id());
                self.recorder.record(Event::ResourceUsage {
                    front_end: number,
                    descriptors: usage.descriptors as u64,
                    memory_mb: usage.peak_mb,
                });
            }
            tokio::time::sleep(USAGE_POLL_INTERVAL).await;
        }
    }

    async fn kill(&self, front_end: &FrontEnd) {
        front_end.connect_gate.set(false);
        let number = front_end.number;
        let Some(mut process) = front_end.process.lock().await.take() else { return };
        self.recorder.record(Event::SignalSent { front_end: number, signal: Signal::Kill });
        process.signal(SystemSignal::SIGKILL);
        let exit_status = process.wait().await;
        self.recorder.record(Event::FrontEndExited { front_end: number, killed: true, exit_status });
        let counts = front_end.control.injected().map(|counts| counts.to_vec()).unwrap_or_default();
        self.recorder.record(Event::FaultsInjected { front_end: number, counts });
    }

    async fn inject(self: Arc<Self>, fault: Fault) {
        self.recorder.record(Event::FaultBegan { description: format!("{fault:?}") });
        match fault {
            Fault::Outage { front_ends, outage, span } => self.outage(&front_ends, outage, span).await,
            Fault::Drain { worker, stays, away } => self.drain(worker, stays, away).await,
            Fault::Death { worker, away, listed } => self.crash(worker, away, listed).await,
            Fault::Hang { worker, span } => {
                self.set_temporarily(worker, span, |status, on| status.hung = on).await;
            }
            Fault::Resets { worker } => {
                self.workers[worker].status.send_modify(|status| status.resets += 1);
            }
            Fault::Refusals { worker, span } => {
                self.set_temporarily(worker, span, |status, on| status.rejecting = on).await;
            }
            Fault::Restart { front_end, series } => self.restart(&self.front_ends[front_end], series).await,
            Fault::Kill { front_end } => {
                let front_end = &self.front_ends[front_end];
                self.kill(front_end).await;
                self.start_again(front_end).await;
            }
            Fault::Moves { front_end, times } => {
                self.move_discovery(&self.front_ends[front_end], times).await;
            }
            Fault::WallStep { front_end, seconds } => {
                self.front_ends[front_end].set_wall_clock_offset(seconds);
            }
            Fault::Crowd { front_end, clients } => {
                let address = self.front_ends[front_end].listen;
                for kind in 0..clients as u32 {
                    tokio::spawn(bad_client(front_end, address, self.client_settings.clone(), kind));
                }
            }
            Fault::Flood { front_end, kind, clients, span } => {
                let address = self.front_ends[front_end].listen;
                for client in 0..clients {
                    let seed = self.scenario.seed ^ client << 32;
                    tokio::spawn(flood(address, kind, Duration::from_micros(span), seed));
                }
            }
        }
    }

    async fn outage(&self, front_ends: &[usize], outage: Outage, span: u64) {
        front_ends.iter().for_each(|&n| self.discovery.set_outage(n, Some(outage)));
        tokio::time::sleep(Duration::from_micros(span)).await;
        front_ends.iter().for_each(|&n| self.discovery.set_outage(n, None));
    }

    async fn set_temporarily(&self, worker: usize, span: u64, set: impl Fn(&mut WorkerStatus, bool)) {
        let status: &watch::Sender<WorkerStatus> = &self.workers[worker].status;
        status.send_modify(|status| set(status, true));
        tokio::time::sleep(Duration::from_micros(span)).await;
        status.send_modify(|status| set(status, false));
    }

    fn publish(&self, worker: usize, process: u32, state: WorkerState, with_start_time: bool) {
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let started_at_ms = if with_start_time { unix_ms } else { 0 };
        self.discovery.publish(Change { worker, process, state, started_at_ms });
    }

    async fn drain(&self, worker: usize, stays: u64, away: u64) {
        let status = &self.workers[worker].status;
        let process = status.borrow().process;
        status.send_modify(|status| status.draining = true);
        self.publish(worker, process, WorkerState::Draining, false);
        tokio::time::sleep(Duration::from_micros(stays)).await;
        status.send_modify(|status| status.up = false);
        self.publish(worker, process, WorkerState::Gone, false);
        self.start_new_process(worker, away).await;
    }

    async fn crash(&self, worker: usize, away: u64, listed: bool) {
        let status = &self.workers[worker].status;
        let process = status.borrow().process;
        status.send_modify(|status| status.up = false);
        if listed {
            self.publish(worker, process, WorkerState::Gone, false);
        }
        self.start_new_process(worker, away).await;
    }

    async fn start_new_process(&self, worker: usize, away: u64) {
        tokio::time::sleep(Duration::from_micros(away)).await;
        let status = &self.workers[worker].status;
        status.send_modify(|status| {
            (status.process, status.up, status.draining) = (status.process + 1, true, false);
        });
        let process = status.borrow().process;
        self.recorder.record(Event::WorkerStarted { worker, process });
        self.publish(worker, process, WorkerState::Ready, true);
    }

    fn signal(&self, front_end: &FrontEnd, process: Option<&FrontEndProcess>, signal: Signal) {
        let Some(process) = process else { return };
        self.recorder.record(Event::SignalSent { front_end: front_end.number, signal });
        process.signal(match signal {
            Signal::Term => SystemSignal::SIGTERM,
            Signal::Hup => SystemSignal::SIGHUP,
            Signal::Kill => SystemSignal::SIGKILL,
        });
    }

    /// Sends SIGTERM, then SIGKILL at the earliest time that the rules allow, and starts the front end again.
    /// Clients send requests until SIGKILL.
    async fn restart(&self, front_end: &FrontEnd, series: bool) {
        if series {
            self.move_discovery(front_end, 1).await;
        }
        let terminated_at = Instant::now();
        self.signal(front_end, front_end.process.lock().await.as_ref(), Signal::Term);
        tokio::time::sleep(NEW_CONNECTIONS_AFTER_TERM).await;
        front_end.connect_gate.set(false);
        if series {
            self.signal(front_end, front_end.process.lock().await.as_ref(), Signal::Term);
        }
        let timeout = Duration::from_millis(self.scenario.client_timeout_ms).min(MAX_TIMEOUT_BEFORE_KILL);
        tokio::time::sleep((timeout + KILL_DELAY).saturating_sub(terminated_at.elapsed())).await;
        self.kill(front_end).await;
        self.start_again(front_end).await;
    }

    /// Starts a front end again, unless another fault has already done so.
    async fn start_again(&self, front_end: &FrontEnd) {
        if front_end.process.lock().await.is_none() && self.start(front_end).await.is_ok() {
            self.wait_until_ready(front_end).await;
        }
    }

    /// Moves the discovery server to a new address several times in a row, each announced with SIGHUP. Does
    /// nothing while the front end is not ready.
    async fn move_discovery(&self, front_end: &FrontEnd, times: u32) {
        const MOVE_INTERVAL: Duration = Duration::from_millis(120);
        for _ in 0..times {
            let process = front_end.process.lock().await;
            if process.is_none() || !front_end.connect_gate.is_open() {
                return;
            }
            if self.discovery.change_address(front_end.number).await.is_err()
                || self.configure(front_end).is_err()
            {
                return;
            }
            self.signal(front_end, process.as_ref(), Signal::Hup);
            drop(process);
            tokio::time::sleep(MOVE_INTERVAL).await;
        }
    }

    fn report(&self, options: &SoakOptions) -> Result<RunReport, SoakError> {
        let records = self.recorder.take_records();
        if let Some(directory) = &options.out {
            store(directory, self.scenario.seed, &records)?;
        }
        let violations = check(&records, &self.rules());
        const MAX_TRACES: usize = 8;
        let mut violation_traces: Vec<String> = violations
            .iter()
            .take(MAX_TRACES)
            .map(|violation| violation_trace(&records, violation))
            .collect();
        if !violations.is_empty() {
            violation_traces.extend(self.front_ends.iter().map(FrontEnd::log_excerpt));
        }
        Ok(RunReport {
            scenario: self.scenario.clone(),
            requests: records.iter().filter(|r| matches!(r.event, Event::RequestSent { .. })).count(),
            responses: count_responses(&records),
            probes: count_probes(&records),
            never_injected: self.never_injected(&records),
            violations,
            violation_traces,
        })
    }

    /// Kinds of system calls that were to fail but did not in any front end.
    fn never_injected(&self, records: &[Record]) -> Vec<String> {
        let mut counts = [0; SYSTEM_CALLS.len()];
        for record in records {
            if let Event::FaultsInjected { counts: injected, .. } = &record.event {
                counts.iter_mut().zip(injected).for_each(|(sum, count)| *sum += count);
            }
        }
        // A run need not have reset connections, and the front end need not read the wall clock.
        let is_optional = |call: SystemCall| matches!(call, SystemCall::Broken | SystemCall::WallClock);
        let is_missing = |call: &SystemCall| {
            self.scenario.system_call_failures[*call as usize] > 0 && counts[*call as usize] == 0
        };
        SYSTEM_CALLS
            .into_iter()
            .filter(|call| !is_optional(*call) && is_missing(call))
            .map(|call| format!("{call:?}"))
            .collect()
    }
}

impl FrontEnd {
    fn new(number: usize, scenario: &Scenario, directory: &TempDirectory) -> io::Result<FrontEnd> {
        // Restarts keep the port, which no one else takes: the IP address belongs to this front end alone.
        let listen = std::net::TcpListener::bind((network::front_end(number), 0))?.local_addr()?;
        let control_path = directory.0.join(format!("control-{number}"));
        let control = ControlFile::create(&control_path, scenario.seed + number as u64)?;
        let front_end = FrontEnd {
            number,
            listen,
            config: directory.0.join(format!("n{number}.json")),
            control_path,
            control,
            log: LogTail::default(),
            connect_gate: Arc::default(),
            process: tokio::sync::Mutex::new(None),
            wall_clock_offset_s: Mutex::new(0),
        };
        front_end.set_wall_clock_offset(scenario.wall_clock_offset_s);
        Ok(front_end)
    }

    fn set_wall_clock_offset(&self, seconds: i64) {
        if let Ok(mut offset) = self.wall_clock_offset_s.lock() {
            *offset = seconds;
            // The file stays open for as long as the run, so that this write is not expected to fail.
            let _ = self.control.set_wall_clock_offset(seconds * NANOS_PER_SECOND);
        }
    }

    /// The last lines of its log.
    fn log_excerpt(&self) -> String {
        const MAX_LINES: usize = 40;
        let lines = self.log.lines();
        let last = lines.iter().skip(lines.len().saturating_sub(MAX_LINES));
        let text: String = last.map(|line| format!("  {line}\n")).collect();
        format!("log of n{}, last lines:\n{text}", self.number)
    }
}

/// Writes the records of a run to `SEED.jsonl`.
fn store(directory: &Path, seed: u64, records: &[Record]) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let lines: Result<Vec<String>, serde_json::Error> = records.iter().map(serde_json::to_string).collect();
    std::fs::write(directory.join(format!("{seed}.jsonl")), lines?.join("\n") + "\n")
}

fn count_responses(records: &[Record]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let Event::ResponseReceived { response, .. } = &record.event else { continue };
        let name = match response {
            Response::Served => "served",
            Response::WrongBody => "wrong body",
            Response::Refused => "refused",
            Response::Failed => "failed",
        };
        *counts.entry(name.to_owned()).or_default() += 1;
    }
    counts
}

fn count_probes(records: &[Record]) -> usize {
    let is_probe = |r: &&Record| matches!(&r.event, Event::CommandReceived { command: Command::Probe, .. });
    records.iter().filter(is_probe).count()
}
