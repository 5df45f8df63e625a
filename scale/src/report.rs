//! The results of a run, as JSON and as a Markdown table.
//!
//! Except for `machine`, all values in the report of a fleet are on the virtual clock: every run of the same
//! experiment and seed gives the same bytes.
use crate::experiment::Experiment;
use crate::fleet::calls::{CallCounts, Quantiles};
use serde::Serialize;
use std::fmt::Write;
use std::time::Instant;

/// Results of a simulated fleet.
#[derive(Debug, Serialize)]
pub struct FleetReport {
    /// Size of the experiment.
    #[serde(rename = "shape")]
    pub size: ExperimentSize,
    /// Outcomes and latency of the calls.
    pub calls: CallReport,
    /// Control traffic per front end, as the mean.
    pub control: ControlReport,
    /// Workers and store.
    pub workers: WorkerReport,
    /// The discovery server.
    #[serde(rename = "board")]
    pub discovery: DiscoveryReport,
    /// State of a front end's controller at the end, as the mean.
    pub state: StateReport,
    /// The failures and the recovery from them.
    pub failures: Vec<FailureReport>,
    /// Resources that the run used; they differ between runs.
    pub machine: Machine,
}

/// Size of an experiment.
#[derive(Debug, Serialize)]
pub struct ExperimentSize {
    /// The experiment's name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Front ends that ran.
    pub front_ends: u32,
    /// Front ends that the settings name.
    #[serde(rename = "told_front_ends")]
    pub configured_front_ends: u32,
    /// Listed workers.
    pub workers: u32,
    /// Number of functions.
    pub functions: u32,
    /// Exponent of the functions' popularity.
    pub exponent: f64,
    /// Share of the functions that the whole fleet calls less than once a minute.
    #[serde(rename = "rare_functions")]
    pub rare_function_share: f64,
    /// Calls per second at a front end.
    pub calls_s: f64,
    /// Length of the run, in seconds.
    pub duration_s: f64,
}

impl ExperimentSize {
    /// The size of an experiment; `rare_function_share` is what [`crate::catalogue::Catalogue::rare_share`]
    /// returns.
    pub fn of(experiment: &Experiment, rare_function_share: f64) -> Self {
        ExperimentSize {
            name: experiment.name.clone(),
            seed: experiment.seed,
            front_ends: experiment.fleet.front_ends,
            configured_front_ends: experiment.fleet.configured(),
            workers: experiment.fleet.workers,
            functions: experiment.functions.count,
            exponent: experiment.functions.exponent,
            rare_function_share,
            calls_s: experiment.calls.per_front_end_s,
            duration_s: experiment.duration_s,
        }
    }
}

/// Outcomes and latency of the calls after the warm-up.
#[derive(Debug, Serialize)]
pub struct CallReport {
    /// Numbers of calls by outcome.
    pub counts: CallCounts,
    /// Latency of served calls, from when the client first sent them to their response.
    pub latency: Quantiles,
    /// Time from the arrival of a call at the front end to its start at a worker, of calls that waited for a
    /// load.
    pub cold_start: Quantiles,
    /// Share of the cold starts that took at most 1.5 s.
    pub cold_within_1500_ms: f64,
}

/// Control traffic per front end: bytes and messages per second.
#[derive(Debug, Serialize)]
pub struct ControlReport {
    /// Changes of the worker list and the discovery server's comments.
    pub list_bytes_s: f64,
    /// Load and unload commands and their replies.
    #[serde(rename = "hold_bytes_s")]
    pub load_bytes_s: f64,
    /// Copy queries and their replies.
    #[serde(rename = "question_bytes_s")]
    pub query_bytes_s: f64,
    /// Load commands.
    #[serde(rename = "holds_s")]
    pub loads_s: f64,
    /// Copy queries.
    #[serde(rename = "questions_s")]
    pub copy_queries_s: f64,
    /// Unload commands.
    pub unloads_s: f64,
    /// Probes.
    pub probes_s: f64,
}

/// Workers and store over the whole run.
#[derive(Debug, Serialize)]
pub struct WorkerReport {
    /// Loads started.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Copies unloaded to make room for others.
    pub evicted: u64,
    /// Calls started.
    pub calls: u64,
    /// Fetches from the store.
    pub fetches: u64,
    /// Fetches that the store rejected.
    #[serde(rename = "fetches_turned_away")]
    pub rejected_fetches: u64,
    /// Workers that a front end has a connection to when the calls end, as the mean.
    #[serde(rename = "connections_of_a_front_end")]
    pub connections_per_front_end: f64,
    /// Front ends that have a connection to a worker at that time, as the mean.
    #[serde(rename = "connections_of_a_worker")]
    pub connections_per_worker: f64,
    /// The largest number of front ends that have a connection to the same worker at that time.
    #[serde(rename = "most_connections_of_a_worker")]
    pub max_connections_per_worker: u32,
}

/// The discovery server.
#[derive(Debug, Serialize)]
pub struct DiscoveryReport {
    /// Time from a change of the worker list until every subscribed front end has applied it.
    #[serde(rename = "known_everywhere")]
    pub propagation: Quantiles,
    /// Time from the end of a cut until a front end is connected again.
    #[serde(rename = "reconnected")]
    pub reconnect: Quantiles,
    /// Requests that failed because the discovery server was cut off.
    #[serde(rename = "failed_calls")]
    pub failed_requests: u64,
    /// Reconnects that got only the missed events.
    pub resumed: u64,
    /// Reconnects that got the full list.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Most requests, as a rate per second over a tenth of a second.
    #[serde(rename = "peak_calls_s")]
    pub peak_requests_s: u64,
    /// Most bytes of requests and responses, as a rate per second over a tenth of a second.
    pub peak_bytes_s: u64,
}

/// State that a front end's controller keeps.
#[derive(Debug, Serialize)]
pub struct StateReport {
    /// Workers.
    pub workers: usize,
    /// Functions.
    pub functions: usize,
    /// Pairs of a function and a worker.
    pub copies: usize,
    /// Entries of the functions' preference orders of workers.
    pub preferences: usize,
    /// Size of these records in bytes.
    pub bytes: usize,
}

/// A failure of the experiment and the recovery from it.
#[derive(Debug, Serialize)]
pub struct FailureReport {
    /// Its position in the experiment.
    #[serde(rename = "number")]
    pub index: usize,
    /// Its kind.
    pub kind: String,
    /// When it began.
    pub at_s: f64,
    /// How long it lasted.
    pub for_s: Option<f64>,
    /// The smallest share of the calls of one second that was served in time, until the next failure.
    #[serde(rename = "least_in_time")]
    pub min_in_time_share: f64,
    /// Seconds from its beginning until the share of calls served in time was at least 95 % of that before it,
    /// and stayed so until the next failure; `None` if that was not reached.
    pub recovered_after_s: Option<u64>,
}

/// Resources that the tool used.
#[derive(Debug, Serialize)]
pub struct Machine {
    /// Wall-clock time, in seconds.
    pub wall_s: f64,
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Peak memory, in MB.
    pub peak_mb: f64,
}

impl Machine {
    /// Resources that this process has used since it started; the wall-clock time counts from `started`.
    pub fn measure(started: Instant) -> Self {
        let usage = crate::node::usage::Usage::of_this_process();
        Machine { wall_s: started.elapsed().as_secs_f64(), cpu_s: usage.cpu_s, peak_mb: usage.peak_mb }
    }
}

/// A two-column Markdown table.
#[derive(Default)]
pub struct Table(String);

impl Table {
    /// A table under this title.
    pub fn new(title: &str) -> Self {
        Table(format!("# {title}\n\n| figure | value |\n| --- | --- |\n"))
    }

    /// Adds a row.
    pub fn row(&mut self, name: &str, value: impl std::fmt::Display) {
        let _ = writeln!(self.0, "| {name} | {value} |"); // writing to a String cannot fail
    }

    /// Adds a row with a number, rounded to `decimals` places.
    pub fn number(&mut self, name: &str, value: f64, decimals: usize) {
        self.row(name, format!("{value:.decimals$}"));
    }

    /// The table as Markdown.
    pub fn text(self) -> String {
        self.0
    }
}

impl FleetReport {
    /// The part of the report that is the same in every run of an experiment and seed, as JSON.
    ///
    /// # Errors
    /// Fails only if a value cannot be represented in JSON.
    pub fn deterministic_json(&self) -> Result<String, serde_json::Error> {
        let mut all = serde_json::to_value(self)?;
        if let Some(fields) = all.as_object_mut() {
            fields.remove("machine");
        }
        serde_json::to_string_pretty(&all)
    }

    /// The report as a Markdown table.
    pub fn markdown(&self) -> String {
        let mut table = Table::new(&self.size.name);
        let (size, counts) = (&self.size, &self.calls.counts);
        let share = |n: u64| format!("{n} ({:.2}%)", 100.0 * n as f64 / counts.calls.max(1) as f64);
        table.row(
            "front ends, of the told number",
            format!("{} of {}", size.front_ends, size.configured_front_ends),
        );
        table.row(
            "workers, functions, exponent",
            format!("{}, {}, {}", size.workers, size.functions, size.exponent),
        );
        table.number("functions called less than once a minute", size.rare_function_share, 3);
        table.number("calls/s of a front end", size.calls_s, 1);
        table.row("calls", counts.calls);
        table.row("served in time", share(counts.served_in_time));
        table.row("served late", share(counts.served_late));
        table.row("refused", share(counts.refused));
        table.row("failed", share(counts.failed));
        table.row("lost", share(counts.lost));
        table.row("cold", share(counts.cold));
        let q =
            |q: &Quantiles| format!("{:.0}, {:.0}, {:.0}, {:.0}", q.p50_ms, q.p99_ms, q.p999_ms, q.max_ms);
        table.row("latency p50, p99, p99.9, max, ms", q(&self.calls.latency));
        table.row("cold start p50, p99, p99.9, max, ms", q(&self.calls.cold_start));
        table.number("cold starts within 1.5 s", self.calls.cold_within_1500_ms, 4);
        let c = &self.control;
        table.number("list, B/s a front end", c.list_bytes_s, 1);
        table.number("orders, B/s a front end", c.load_bytes_s, 1);
        table.number("questions, B/s a front end", c.query_bytes_s, 1);
        table.number("probes/s a front end", c.probes_s, 2);
        table.row("loads, failed", format!("{}, {}", self.workers.loads, self.workers.failed_loads));
        table.number("workers connected to a front end", self.workers.connections_per_front_end, 1);
        table.row(
            "front ends connected to a worker: mean, most",
            format!(
                "{:.1}, {}",
                self.workers.connections_per_worker, self.workers.max_connections_per_worker
            ),
        );
        table.row("list change known everywhere p50, p99, p99.9, max, ms", q(&self.discovery.propagation));
        table.row("reconnected after a cut p50, p99, p99.9, max, ms", q(&self.discovery.reconnect));
        table.row(
            "board: peak calls/s, B/s",
            format!("{}, {}", self.discovery.peak_requests_s, self.discovery.peak_bytes_s),
        );
        table.row(
            "reconnects: resumed, whole lists",
            format!("{}, {}", self.discovery.resumed, self.discovery.full_lists),
        );
        table.row(
            "state of a module: workers, functions, copies, order entries, bytes",
            format!(
                "{}, {}, {}, {}, {}",
                self.state.workers,
                self.state.functions,
                self.state.copies,
                self.state.preferences,
                self.state.bytes
            ),
        );
        for f in &self.failures {
            let after = f.recovered_after_s.map_or("not in this run".to_owned(), |s| format!("{s} s"));
            let figures = format!("{after}, {:.3}", f.min_in_time_share);
            table.row(&format!("{} at {} s: recovered after, least in time", f.kind, f.at_s), figures);
        }
        let m = &self.machine;
        table.row("tool: wall s, CPU s, MB", format!("{:.1}, {:.1}, {:.0}", m.wall_s, m.cpu_s, m.peak_mb));
        table.text()
    }
}

/// Results of a run of real front ends.
#[derive(Debug, Serialize)]
pub struct NodeReport {
    /// Size of the experiment.
    #[serde(rename = "shape")]
    pub size: ExperimentSize,
    /// Whether the worker list came with the configuration; otherwise the discovery server sent it.
    #[serde(rename = "told_at_start")]
    pub list_in_configuration: bool,
    /// Outcomes and latency of the calls, as the clients saw them.
    pub calls: CallReport,
    /// Control traffic per front end, as the mean.
    pub control: NodeControl,
    /// Time from a change of the worker list until the logs of all front ends have it.
    #[serde(rename = "known_everywhere")]
    pub propagation: Quantiles,
    /// Time from the end of the discovery server's cut until each request that came after it.
    #[serde(rename = "reconnected")]
    pub reconnect: Quantiles,
    /// Connections to workers per front end at the end, as the mean.
    #[serde(rename = "workers_connected")]
    pub worker_connections: f64,
    /// The front ends.
    pub front_ends: Vec<NodeFrontEnd>,
    /// Resources that the tool itself used, for the simulated workers, discovery server and clients.
    pub machine: Machine,
}

/// Control traffic per real front end, in bytes per second in both directions unless stated otherwise.
#[derive(Debug, Serialize)]
pub struct NodeControl {
    /// Events and comments of the discovery server.
    pub list_bytes_s: f64,
    /// Load and unload commands.
    #[serde(rename = "order_bytes_s")]
    pub command_bytes_s: f64,
    /// Copy queries, and the replies to all commands.
    #[serde(rename = "question_bytes_s")]
    pub query_bytes_s: f64,
    /// Copy queries that keep idle connections alive.
    pub keep_alive_bytes_s: f64,
    /// Probes.
    pub probe_bytes_s: f64,
    /// Calls and their replies, which are not control traffic.
    pub call_bytes_s: f64,
    /// Requests to the discovery server per second.
    #[serde(rename = "board_calls_s")]
    pub discovery_requests_s: f64,
    /// Full lists that the discovery server sent, in all.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
}

/// A real front end.
#[derive(Debug, Serialize)]
pub struct NodeFrontEnd {
    /// Seconds from the start of the run until it was ready; `None` if that took over 30 seconds.
    pub ready_s: Option<f64>,
    /// Memory at the end, in MB.
    pub memory_mb: f64,
    /// Peak memory, in MB.
    pub peak_mb: f64,
    /// Share of a core that it used in the counted time.
    pub core_share: f64,
    /// CPU time before the counted time, in seconds.
    pub start_cpu_s: f64,
    /// Open descriptors at the end.
    pub descriptors: usize,
    /// Lines of its log.
    pub log_lines: u64,
}

impl NodeReport {
    /// The report as a Markdown table.
    pub fn markdown(&self) -> String {
        let mut table = Table::new(&self.size.name);
        let (size, counts) = (&self.size, &self.calls.counts);
        let share = |n: u64| format!("{n} ({:.2}%)", 100.0 * n as f64 / counts.calls.max(1) as f64);
        table.row(
            "front ends, of the told number",
            format!("{} of {}", size.front_ends, size.configured_front_ends),
        );
        table.row(
            "workers, functions, exponent",
            format!("{}, {}, {}", size.workers, size.functions, size.exponent),
        );
        table.row(
            "the list came",
            if self.list_in_configuration { "with the configuration" } else { "from the board" },
        );
        let all = |of: &dyn Fn(&NodeFrontEnd) -> String| {
            self.front_ends.iter().map(of).collect::<Vec<_>>().join(", ")
        };
        table.row("ready after, s", all(&|f| f.ready_s.map_or("never".to_owned(), |s| format!("{s:.2}"))));
        table.row("memory now, MB", all(&|f| format!("{:.1}", f.memory_mb)));
        table.row("memory at most, MB", all(&|f| format!("{:.1}", f.peak_mb)));
        table.row("part of a core", all(&|f| format!("{:.4}", f.core_share)));
        table.row("processor time before, s", all(&|f| format!("{:.2}", f.start_cpu_s)));
        table.row("descriptors", all(&|f| f.descriptors.to_string()));
        table.row("log lines", all(&|f| f.log_lines.to_string()));
        table.number("workers connected", self.worker_connections, 1);
        table.row("calls", counts.calls);
        table.row("served in time", share(counts.served_in_time));
        table.row("served late", share(counts.served_late));
        table.row("refused", share(counts.refused));
        table.row("failed", share(counts.failed));
        table.row("lost", share(counts.lost));
        table.row("cold", share(counts.cold));
        let q =
            |q: &Quantiles| format!("{:.0}, {:.0}, {:.0}, {:.0}", q.p50_ms, q.p99_ms, q.p999_ms, q.max_ms);
        table.row("latency p50, p99, p99.9, max, ms", q(&self.calls.latency));
        table.row("cold start p50, p99, p99.9, max, ms", q(&self.calls.cold_start));
        table.number("cold starts within 1.5 s", self.calls.cold_within_1500_ms, 4);
        let c = &self.control;
        table.number("list, B/s", c.list_bytes_s, 1);
        table.number("orders, B/s", c.command_bytes_s, 1);
        table.number("questions and answers to orders, B/s", c.query_bytes_s, 1);
        table.number("keep-alives, B/s", c.keep_alive_bytes_s, 1);
        table.number("probes, B/s", c.probe_bytes_s, 1);
        table.number("calls, B/s", c.call_bytes_s, 1);
        table.number("calls of the board/s", c.discovery_requests_s, 2);
        table.row("whole lists told", c.full_lists);
        table.row("list change known everywhere p50, p99, p99.9, max, ms", q(&self.propagation));
        table.row("calls of the board after a cut p50, p99, p99.9, max, ms", q(&self.reconnect));
        table.text()
    }
}
