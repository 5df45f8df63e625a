//! The command line of the emulator and load tool.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use heronslip_scale::experiment::Experiment;
use heronslip_scale::soak::{RunReport, SoakConfig, SoakError, SoakOptions};
use heronslip_scale::{bounds, fleet, node};
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code of an experiment that cannot be run as it is written.
const BAD_EXPERIMENT: u8 = 2;
/// Exit code after SIGINT or SIGTERM, as shells count it.
const INTERRUPTED: u8 = 130;

/// Emulator and load tool of the front end.
#[derive(Parser)]
#[command(name = "heronslip-scale", version)]
struct CommandLine {
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// Hollow front ends with the real decision module, on one virtual clock.
    Fleet(Run),
    /// Real front-end processes on loopback sockets.
    Node {
        #[command(flatten)]
        run: Run,
        /// The deploy file whose `run` starts a front end.
        #[arg(long, default_value = "deploy/balancer.toml")]
        deploy: PathBuf,
    },
    /// Seeded faults round real front ends, and a checker of the rules. Ends with 0 only if none was broken.
    Soak(Soak),
}

/// What a soak plays.
#[derive(Args)]
struct Soak {
    /// What plays are drawn from.
    config: PathBuf,
    /// Seeds, FROM..TO, both played.
    #[arg(long, default_value = "1..3", value_parser = seeds)]
    seeds: std::ops::RangeInclusive<u64>,
    /// The deploy file whose `run` starts a front end.
    #[arg(long, default_value = "deploy/balancer.toml")]
    deploy: PathBuf,
    /// The shim's library; else the one beside this program.
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Folder for the records, SEED.jsonl.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    Ok(number(from)?..=number(to)?)
}

#[derive(Args)]
struct Run {
    /// The experiment file.
    experiment: PathBuf,
    /// Folder for NAME.json and NAME.md.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Another seed than the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Another number of listed workers.
    #[arg(long)]
    workers: Option<u32>,
    /// Another number of functions.
    #[arg(long)]
    functions: Option<u32>,
    /// Another exponent of the popularity.
    #[arg(long)]
    exponent: Option<f64>,
    /// Another rate of calls at a front end, a second.
    #[arg(long)]
    calls: Option<f64>,
    /// Another number of front ends.
    #[arg(long)]
    front_ends: Option<u32>,
    /// Another number of changes of the list an hour.
    #[arg(long)]
    changes_per_hour: Option<f64>,
    /// Another name for the results.
    #[arg(long)]
    name: Option<String>,
}

impl Run {
    fn read(&self) -> Result<Experiment, Box<dyn Error>> {
        let mut experiment = Experiment::read(&self.experiment)?;
        let set = |to: &mut u32, value: Option<u32>| *to = value.unwrap_or(*to);
        set(&mut experiment.fleet.workers, self.workers);
        set(&mut experiment.functions.count, self.functions);
        set(&mut experiment.fleet.front_ends, self.front_ends);
        experiment.seed = self.seed.unwrap_or(experiment.seed);
        experiment.functions.exponent = self.exponent.unwrap_or(experiment.functions.exponent);
        experiment.calls.per_front_end_s = self.calls.unwrap_or(experiment.calls.per_front_end_s);
        experiment.board.changes_per_hour =
            self.changes_per_hour.unwrap_or(experiment.board.changes_per_hour);
        if let Some(name) = &self.name {
            experiment.name.clone_from(name);
        }
        Ok(experiment)
    }

    fn write(&self, name: &str, report: &impl Serialize, table: &str) -> Result<(), Box<dyn Error>> {
        print!("{table}");
        let Some(folder) = &self.out else { return Ok(()) };
        std::fs::create_dir_all(folder)?;
        let path = |kind: &str| Path::new(folder).join(format!("{name}.{kind}"));
        std::fs::write(path("json"), serde_json::to_string_pretty(report)? + "\n")?;
        std::fs::write(path("md"), table)?;
        Ok(())
    }
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("HERONSLIP_SCALE_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let (result, run) = match CommandLine::parse().role {
        Role::Fleet(run) => (run_fleet(&run), run),
        Role::Node { run, deploy } => (run_node(&run, &deploy), run),
        Role::Soak(soak) => return run_soak(&soak),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heronslip-scale: {}: {error}", run.experiment.display());
            match error.downcast_ref() {
                Some(node::NodeError::Interrupted) => ExitCode::from(INTERRUPTED),
                Some(_) => ExitCode::FAILURE,
                None => ExitCode::from(BAD_EXPERIMENT),
            }
        }
    }
}

fn run_fleet(run: &Run) -> Result<(), Box<dyn Error>> {
    let experiment = run.read()?;
    let (settings, _) = node::settings(&experiment)?;
    bounds::check_fleet(&experiment, &settings)?;
    let report = fleet::run(&experiment, settings);
    run.write(&experiment.name, &report, &report.markdown())
}

fn run_node(run: &Run, deploy: &Path) -> Result<(), Box<dyn Error>> {
    let experiment = run.read()?;
    let (settings, told) = node::settings(&experiment)?;
    bounds::check_node(&experiment, &settings)?;
    let deploy = node::Deploy::read(deploy)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(node::run(&experiment, settings, &told, &deploy))?;
    run.write(&experiment.name, &report, &report.markdown())
}

fn run_soak(soak: &Soak) -> ExitCode {
    match play_soak(soak) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken) => {
            eprintln!("heronslip-scale: {broken} broken rules");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("heronslip-scale: {}: {error}", soak.config.display());
            match error.downcast_ref() {
                Some(SoakError::Interrupted) => ExitCode::from(INTERRUPTED),
                _ => ExitCode::from(BAD_EXPERIMENT),
            }
        }
    }
}

fn play_soak(soak: &Soak) -> Result<usize, Box<dyn Error>> {
    let beside = std::env::current_exe()?.with_file_name("libheronslip_shim.so");
    let options = SoakOptions {
        config: SoakConfig::read(&soak.config)?,
        deploy: node::Deploy::read(&soak.deploy)?,
        shim: std::path::absolute(soak.shim.clone().unwrap_or(beside))?,
        seeds: soak.seeds.clone(),
        out: soak.out.clone(),
    };
    println!("| seed | s | front ends, workers | faults | requests | served | refused, failed | probes | rules broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    Ok(runtime.block_on(heronslip_scale::soak::soak(&options, print_play))?)
}

fn print_play(report: &RunReport) {
    let plan = &report.scenario;
    let count = |name: &str| report.responses.get(name).copied().unwrap_or(0);
    let rules: std::collections::BTreeSet<String> =
        report.violations.iter().map(|violation| violation.rule.to_string()).collect();
    let rules =
        if rules.is_empty() { "none".to_owned() } else { rules.into_iter().collect::<Vec<_>>().join(", ") };
    println!(
        "| {} | {:.0} | {}, {} | {} | {} | {:.1}% | {}, {} | {} | {rules} |",
        plan.seed,
        plan.duration as f64 / 1e6,
        plan.front_ends,
        plan.workers,
        plan.fault_summary(),
        report.requests,
        report.served_percent(),
        count("refused"),
        count("failed"),
        report.probes,
    );
    if !report.never_injected.is_empty() {
        println!("seed {}: wanted and never injected: {}", plan.seed, report.never_injected.join(", "));
    }
    report.violation_traces.iter().for_each(|story| eprintln!("seed {}: {story}", plan.seed));
}
