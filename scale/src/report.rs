//! What a run found: one JSON file and a Markdown table.
//!
//! All of a fleet's report but `machine` is of the virtual clock, the same byte for byte in every run of the same
//! file and seed.
use crate::experiment::Experiment;
use crate::fleet::calls::{CallCounts, Quantiles};
use serde::Serialize;
use std::fmt::Write;
use std::time::Instant;

/// A fleet's run.
#[derive(Debug, Serialize)]
pub struct FleetReport {
    /// What was run.
    pub shape: Shape,
    /// Calls.
    pub calls: CallReport,
    /// Control traffic of a front end, on the mean.
    pub control: ControlReport,
    /// Workers and store.
    pub workers: WorkerReport,
    /// The board.
    pub board: BoardReport,
    /// Records that a front end's decision module keeps, on the mean, at the end.
    pub state: StateReport,
    /// Failures and how long their effect lasted.
    pub failures: Vec<FailureReport>,
    /// What the machine that ran it needed; no part of the result.
    pub machine: Machine,
}

/// The sizes of an experiment.
#[derive(Debug, Serialize)]
pub struct Shape {
    /// The experiment's name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Front ends that ran.
    pub front_ends: u32,
    /// Front ends that the settings name.
    pub told_front_ends: u32,
    /// Workers listed.
    pub workers: u32,
    /// Functions.
    pub functions: u32,
    /// Exponent of the popularity.
    pub exponent: f64,
    /// Part of the functions that are called less than once a minute by the whole fleet.
    pub rare_functions: f64,
    /// Calls a second at a front end.
    pub calls_s: f64,
    /// Length of the run, in seconds.
    pub duration_s: f64,
}

impl Shape {
    /// The sizes of this experiment; `rare_functions` as [`crate::catalogue::Catalogue::rare`] tells.
    pub fn of(experiment: &Experiment, rare_functions: f64) -> Self {
        Shape {
            name: experiment.name.clone(),
            seed: experiment.seed,
            front_ends: experiment.fleet.front_ends,
            told_front_ends: experiment.fleet.told(),
            workers: experiment.fleet.workers,
            functions: experiment.functions.count,
            exponent: experiment.functions.exponent,
            rare_functions,
            calls_s: experiment.calls.per_front_end_s,
            duration_s: experiment.duration_s,
        }
    }
}

/// Calls after the warm-up.
#[derive(Debug, Serialize)]
pub struct CallReport {
    /// By how they ended.
    pub counts: CallCounts,
    /// From a served call's first try to its answer.
    pub latency: Quantiles,
    /// From a cold call's arrival to its begin at a worker.
    pub cold_start: Quantiles,
    /// Part of the cold starts that took 1.5 s at most.
    pub cold_within_1500_ms: f64,
}

/// Control traffic of a front end: bytes and messages a second.
#[derive(Debug, Serialize)]
pub struct ControlReport {
    /// Changes of the list and the board's comments.
    pub list_bytes_s: f64,
    /// Orders to hold and to unload copies, and their answers.
    pub hold_bytes_s: f64,
    /// Questions and their answers.
    pub question_bytes_s: f64,
    /// Orders to hold copies.
    pub holds_s: f64,
    /// Questions.
    pub questions_s: f64,
    /// Orders to unload copies.
    pub unloads_s: f64,
    /// Probes, over the whole run.
    pub probes_s: f64,
}

/// Workers and store over the whole run.
#[derive(Debug, Serialize)]
pub struct WorkerReport {
    /// Loads begun.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Copies unloaded for want of memory.
    pub evicted: u64,
    /// Calls begun.
    pub calls: u64,
    /// Fetches from the store.
    pub fetches: u64,
    /// Fetches that the store turned away.
    pub fetches_turned_away: u64,
    /// Workers to which a front end holds a connection at the end of the calls, on the mean.
    pub connections_of_a_front_end: f64,
    /// Front ends that hold a connection to a worker then, on the mean.
    pub connections_of_a_worker: f64,
    /// The most that hold one to a single worker then.
    pub most_connections_of_a_worker: u32,
}

/// The board.
#[derive(Debug, Serialize)]
pub struct BoardReport {
    /// From a change of the list until every front end that watches knows it.
    pub known_everywhere: Quantiles,
    /// From the end of a cut until a front end is connected again.
    pub reconnected: Quantiles,
    /// Calls of the board that came to nothing while it was cut off.
    pub failed_calls: u64,
    /// Reconnects that were told what they had missed only.
    pub resumed: u64,
    /// Reconnects that were told the whole list.
    pub whole_lists: u64,
    /// Most calls of the board, as a rate a second over a tenth of one.
    pub peak_calls_s: u64,
    /// Most bytes of the board's answers, likewise.
    pub peak_bytes_s: u64,
}

/// Records that a front end's decision module keeps.
#[derive(Debug, Serialize)]
pub struct StateReport {
    /// Workers.
    pub workers: usize,
    /// Functions.
    pub functions: usize,
    /// Pairs of a function and a worker.
    pub copies: usize,
    /// Entries of functions' orders of workers.
    pub preferences: usize,
    /// Bytes of these records, by their sizes.
    pub bytes: usize,
}

/// One failure of the experiment.
#[derive(Debug, Serialize)]
pub struct FailureReport {
    /// Its position in the experiment.
    pub number: usize,
    /// Its kind.
    pub kind: String,
    /// When it began.
    pub at_s: f64,
    /// How long it lasted.
    pub for_s: Option<f64>,
    /// Least part of a second's calls that was served in time, until the next failure.
    pub least_in_time: f64,
    /// Seconds from its begin until calls were served in time as before; none if that did not come.
    pub recovered_after_s: Option<u64>,
}

/// What a run needed of the machine.
#[derive(Debug, Serialize)]
pub struct Machine {
    /// Time it took, in seconds.
    pub wall_s: f64,
    /// Processor time of the tool, in seconds.
    pub cpu_s: f64,
    /// Most memory of the tool, in MB.
    pub peak_mb: f64,
}

impl Machine {
    /// This process up to now.
    pub fn measure(began: Instant) -> Self {
        let usage = crate::node::usage::Usage::of_this_process();
        Machine { wall_s: began.elapsed().as_secs_f64(), cpu_s: usage.cpu_s, peak_mb: usage.peak_mb }
    }
}

/// Rows of a two-column Markdown table.
#[derive(Default)]
pub struct Table(String);

impl Table {
    /// A table under this title.
    pub fn new(title: &str) -> Self {
        Table(format!("# {title}\n\n| figure | value |\n| --- | --- |\n"))
    }

    /// Adds a row.
    pub fn row(&mut self, name: &str, value: impl std::fmt::Display) {
        let _ = writeln!(self.0, "| {name} | {value} |"); // writing to a text cannot fail
    }

    /// Adds a row of a number with so many decimals.
    pub fn number(&mut self, name: &str, value: f64, decimals: usize) {
        self.row(name, format!("{value:.decimals$}"));
    }

    /// The whole text.
    pub fn text(self) -> String {
        self.0
    }
}

impl FleetReport {
    /// The part of the report that is the same in every run, as JSON.
    ///
    /// # Errors
    /// Fails only if a figure cannot be written as JSON.
    pub fn virtual_part(&self) -> Result<String, serde_json::Error> {
        let mut all = serde_json::to_value(self)?;
        if let Some(fields) = all.as_object_mut() {
            fields.remove("machine");
        }
        serde_json::to_string_pretty(&all)
    }

    /// The table of the report.
    pub fn markdown(&self) -> String {
        let mut t = Table::new(&self.shape.name);
        let (shape, counts) = (&self.shape, &self.calls.counts);
        let share = |n: u64| format!("{n} ({:.2}%)", 100.0 * n as f64 / counts.asked.max(1) as f64);
        t.row("front ends, of the told number", format!("{} of {}", shape.front_ends, shape.told_front_ends));
        t.row(
            "workers, functions, exponent",
            format!("{}, {}, {}", shape.workers, shape.functions, shape.exponent),
        );
        t.number("functions called less than once a minute", shape.rare_functions, 3);
        t.number("calls/s of a front end", shape.calls_s, 1);
        t.row("calls", counts.asked);
        t.row("served in time", share(counts.served_in_time));
        t.row("served late", share(counts.served_late));
        t.row("refused", share(counts.refused));
        t.row("failed", share(counts.failed));
        t.row("lost", share(counts.lost));
        t.row("cold", share(counts.cold));
        let q =
            |q: &Quantiles| format!("{:.0}, {:.0}, {:.0}, {:.0}", q.p50_ms, q.p99_ms, q.p999_ms, q.max_ms);
        t.row("latency p50, p99, p99.9, max, ms", q(&self.calls.latency));
        t.row("cold start p50, p99, p99.9, max, ms", q(&self.calls.cold_start));
        t.number("cold starts within 1.5 s", self.calls.cold_within_1500_ms, 4);
        let c = &self.control;
        t.number("list, B/s a front end", c.list_bytes_s, 1);
        t.number("orders, B/s a front end", c.hold_bytes_s, 1);
        t.number("questions, B/s a front end", c.question_bytes_s, 1);
        t.number("probes/s a front end", c.probes_s, 2);
        t.row("loads, failed", format!("{}, {}", self.workers.loads, self.workers.failed_loads));
        t.number("workers connected to a front end", self.workers.connections_of_a_front_end, 1);
        t.row(
            "front ends connected to a worker: mean, most",
            format!(
                "{:.1}, {}",
                self.workers.connections_of_a_worker, self.workers.most_connections_of_a_worker
            ),
        );
        t.row("list change known everywhere p50, p99, p99.9, max, ms", q(&self.board.known_everywhere));
        t.row("reconnected after a cut p50, p99, p99.9, max, ms", q(&self.board.reconnected));
        t.row(
            "board: peak calls/s, B/s",
            format!("{}, {}", self.board.peak_calls_s, self.board.peak_bytes_s),
        );
        t.row(
            "reconnects: resumed, whole lists",
            format!("{}, {}", self.board.resumed, self.board.whole_lists),
        );
        t.row(
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
            let figures = format!("{after}, {:.3}", f.least_in_time);
            t.row(&format!("{} at {} s: recovered after, least in time", f.kind, f.at_s), figures);
        }
        let m = &self.machine;
        t.row("tool: wall s, CPU s, MB", format!("{:.1}, {:.1}, {:.0}", m.wall_s, m.cpu_s, m.peak_mb));
        t.text()
    }
}

/// A run of real front ends.
#[derive(Debug, Serialize)]
pub struct NodeReport {
    /// What was run.
    pub shape: Shape,
    /// Whether the list came with the configuration; else the board told it.
    pub told_at_start: bool,
    /// Calls, as clients saw them.
    pub calls: CallReport,
    /// Control traffic of a front end, on the mean.
    pub control: NodeControl,
    /// From a change of the list until every front end's log names it.
    pub known_everywhere: Quantiles,
    /// From the end of a cut of the board until each call that came after it.
    pub reconnected: Quantiles,
    /// Connections that a front end holds to workers at the end, on the mean.
    pub workers_connected: f64,
    /// Each front end.
    pub front_ends: Vec<NodeFrontEnd>,
    /// What the tool itself needed: the hollow workers, board and clients.
    pub machine: Machine,
}

/// Control traffic of a real front end, in bytes a second both ways unless said otherwise.
#[derive(Debug, Serialize)]
pub struct NodeControl {
    /// Events and comments of the board.
    pub list_bytes_s: f64,
    /// Orders to hold and unload copies.
    pub order_bytes_s: f64,
    /// Questions, and the answers to orders.
    pub question_bytes_s: f64,
    /// Questions on quiet connections.
    pub keep_alive_bytes_s: f64,
    /// Probes.
    pub probe_bytes_s: f64,
    /// Calls and answers; no control.
    pub call_bytes_s: f64,
    /// Calls of the board a second.
    pub board_calls_s: f64,
    /// Whole lists told in all.
    pub whole_lists: u64,
}

/// One real front end.
#[derive(Debug, Serialize)]
pub struct NodeFrontEnd {
    /// Seconds from the run's begin until it was ready; none if that took over 30.
    pub ready_s: Option<f64>,
    /// Memory at the end, in MB.
    pub memory_mb: f64,
    /// Most memory, in MB.
    pub peak_mb: f64,
    /// Part of a core that it used in the counted time.
    pub core_share: f64,
    /// Processor time before the counted time, in seconds.
    pub start_cpu_s: f64,
    /// Descriptors at the end.
    pub descriptors: usize,
    /// Lines of its log.
    pub log_lines: u64,
}

impl NodeReport {
    /// The table of the report.
    pub fn markdown(&self) -> String {
        let mut t = Table::new(&self.shape.name);
        let (shape, counts) = (&self.shape, &self.calls.counts);
        let share = |n: u64| format!("{n} ({:.2}%)", 100.0 * n as f64 / counts.asked.max(1) as f64);
        t.row("front ends, of the told number", format!("{} of {}", shape.front_ends, shape.told_front_ends));
        t.row(
            "workers, functions, exponent",
            format!("{}, {}, {}", shape.workers, shape.functions, shape.exponent),
        );
        t.row("the list came", if self.told_at_start { "with the configuration" } else { "from the board" });
        let all = |of: &dyn Fn(&NodeFrontEnd) -> String| {
            self.front_ends.iter().map(of).collect::<Vec<_>>().join(", ")
        };
        t.row("ready after, s", all(&|f| f.ready_s.map_or("never".to_owned(), |s| format!("{s:.2}"))));
        t.row("memory now, MB", all(&|f| format!("{:.1}", f.memory_mb)));
        t.row("memory at most, MB", all(&|f| format!("{:.1}", f.peak_mb)));
        t.row("part of a core", all(&|f| format!("{:.4}", f.core_share)));
        t.row("processor time before, s", all(&|f| format!("{:.2}", f.start_cpu_s)));
        t.row("descriptors", all(&|f| f.descriptors.to_string()));
        t.row("log lines", all(&|f| f.log_lines.to_string()));
        t.number("workers connected", self.workers_connected, 1);
        t.row("calls", counts.asked);
        t.row("served in time", share(counts.served_in_time));
        t.row("served late", share(counts.served_late));
        t.row("refused", share(counts.refused));
        t.row("failed", share(counts.failed));
        t.row("lost", share(counts.lost));
        t.row("cold", share(counts.cold));
        let q =
            |q: &Quantiles| format!("{:.0}, {:.0}, {:.0}, {:.0}", q.p50_ms, q.p99_ms, q.p999_ms, q.max_ms);
        t.row("latency p50, p99, p99.9, max, ms", q(&self.calls.latency));
        t.row("cold start p50, p99, p99.9, max, ms", q(&self.calls.cold_start));
        t.number("cold starts within 1.5 s", self.calls.cold_within_1500_ms, 4);
        let c = &self.control;
        t.number("list, B/s", c.list_bytes_s, 1);
        t.number("orders, B/s", c.order_bytes_s, 1);
        t.number("questions and answers to orders, B/s", c.question_bytes_s, 1);
        t.number("keep-alives, B/s", c.keep_alive_bytes_s, 1);
        t.number("probes, B/s", c.probe_bytes_s, 1);
        t.number("calls, B/s", c.call_bytes_s, 1);
        t.number("calls of the board/s", c.board_calls_s, 2);
        t.row("whole lists told", c.whole_lists);
        t.row("list change known everywhere p50, p99, p99.9, max, ms", q(&self.known_everywhere));
        t.row("calls of the board after a cut p50, p99, p99.9, max, ms", q(&self.reconnected));
        t.text()
    }
}
