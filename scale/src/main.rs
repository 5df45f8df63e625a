//! The command line of the emulator, load test and soak test tool.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use heronslip_scale::experiment::Experiment;
use heronslip_scale::soak::{RunReport, SoakConfig, SoakError, SoakOptions};
use heronslip_scale::{bounds, fleet, node};
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for an experiment or soak configuration that cannot be run.
const INVALID_EXPERIMENT: u8 = 2;
/// Exit code after SIGINT or SIGTERM: by convention of shells, 128 plus the number of SIGINT.
const INTERRUPTED: u8 = 130;

/// Emulator, load test and soak test of the front end.
#[derive(Parser)]
#[command(name = "heronslip-scale", version)]
struct CommandLine {
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// Simulated front ends with the real decision logic, on one virtual clock.
    Fleet(RunArgs),
    /// Real front-end processes on loopback sockets.
    Node {
        #[command(flatten)]
        run: RunArgs,
        /// The deploy file; its `run` is the command that starts a front end.
        #[arg(long, default_value = "deploy/balancer.toml")]
        deploy: PathBuf,
    },
    /// Real front ends under seeded faults, checked against the rules. Exits with 0 only if no rule was
    /// broken.
    Soak(SoakArgs),
}

#[derive(Args)]
struct SoakArgs {
    /// The soak configuration, from which each run is drawn.
    config: PathBuf,
    /// Seeds to run, FROM..TO, both included.
    #[arg(long, default_value = "1..3", value_parser = parse_seeds)]
    seeds: std::ops::RangeInclusive<u64>,
    /// The deploy file; its `run` is the command that starts a front end.
    #[arg(long, default_value = "deploy/balancer.toml")]
    deploy: PathBuf,
    /// The shim's library; by default the one next to this program.
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Directory for the records, SEED.jsonl.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn parse_seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let parse = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    Ok(parse(from)?..=parse(to)?)
}

#[derive(Args)]
struct RunArgs {
    /// The experiment file.
    experiment: PathBuf,
    /// Directory for NAME.json and NAME.md.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Overrides the seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Overrides the number of listed workers.
    #[arg(long)]
    workers: Option<u32>,
    /// Overrides the number of functions.
    #[arg(long)]
    functions: Option<u32>,
    /// Overrides the exponent of the popularity.
    #[arg(long)]
    exponent: Option<f64>,
    /// Overrides the calls per second at a front end.
    #[arg(long)]
    calls: Option<f64>,
    /// Overrides the number of front ends.
    #[arg(long)]
    front_ends: Option<u32>,
    /// Overrides the list changes per hour.
    #[arg(long)]
    changes_per_hour: Option<f64>,
    /// Overrides the name of the results.
    #[arg(long)]
    name: Option<String>,
}

impl RunArgs {
    /// Reads the experiment file and applies the overrides.
    fn read(&self) -> Result<Experiment, Box<dyn Error>> {
        let mut experiment = Experiment::read(&self.experiment)?;
        let set = |field: &mut u32, value: Option<u32>| *field = value.unwrap_or(*field);
        set(&mut experiment.fleet.workers, self.workers);
        set(&mut experiment.functions.count, self.functions);
        set(&mut experiment.fleet.front_ends, self.front_ends);
        experiment.seed = self.seed.unwrap_or(experiment.seed);
        experiment.functions.exponent = self.exponent.unwrap_or(experiment.functions.exponent);
        experiment.calls.per_front_end_s = self.calls.unwrap_or(experiment.calls.per_front_end_s);
        experiment.discovery.changes_per_hour =
            self.changes_per_hour.unwrap_or(experiment.discovery.changes_per_hour);
        if let Some(name) = &self.name {
            experiment.name.clone_from(name);
        }
        Ok(experiment)
    }

    /// Prints the table, and writes the results to the output directory if there is one.
    fn write(&self, name: &str, report: &impl Serialize, table: &str) -> Result<(), Box<dyn Error>> {
        print!("{table}");
        let Some(directory) = &self.out else { return Ok(()) };
        std::fs::create_dir_all(directory)?;
        let path = |extension: &str| Path::new(directory).join(format!("{name}.{extension}"));
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
                None => ExitCode::from(INVALID_EXPERIMENT),
            }
        }
    }
}

fn run_fleet(run: &RunArgs) -> Result<(), Box<dyn Error>> {
    let experiment = run.read()?;
    let (settings, _) = node::settings(&experiment)?;
    bounds::check_fleet(&experiment, &settings)?;
    let report = fleet::run(&experiment, settings);
    run.write(&experiment.name, &report, &report.markdown())
}

fn run_node(run: &RunArgs, deploy: &Path) -> Result<(), Box<dyn Error>> {
    let experiment = run.read()?;
    let (settings, settings_json) = node::settings(&experiment)?;
    bounds::check_node(&experiment, &settings)?;
    let deploy = node::Deploy::read(deploy)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(node::run(&experiment, settings, &settings_json, &deploy))?;
    run.write(&experiment.name, &report, &report.markdown())
}

fn run_soak(soak: &SoakArgs) -> ExitCode {
    match soak_violations(soak) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violations) => {
            eprintln!("heronslip-scale: {violations} rule violations");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("heronslip-scale: {}: {error}", soak.config.display());
            match error.downcast_ref() {
                Some(SoakError::Interrupted) => ExitCode::from(INTERRUPTED),
                _ => ExitCode::from(INVALID_EXPERIMENT),
            }
        }
    }
}

/// Runs the soak and returns the number of rule violations.
fn soak_violations(soak: &SoakArgs) -> Result<usize, Box<dyn Error>> {
    let default_shim = std::env::current_exe()?.with_file_name("libheronslip_shim.so");
    let options = SoakOptions {
        config: SoakConfig::read(&soak.config)?,
        deploy: node::Deploy::read(&soak.deploy)?,
        shim: std::path::absolute(soak.shim.clone().unwrap_or(default_shim))?,
        seeds: soak.seeds.clone(),
        out: soak.out.clone(),
    };
    println!("| seed | s | front ends, workers | faults | requests | served | refused, failed | probes | rules broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    Ok(runtime.block_on(heronslip_scale::soak::soak(&options, print_run))?)
}

/// Prints a row of the table for a run, and its violation traces on standard error.
fn print_run(report: &RunReport) {
    let scenario = &report.scenario;
    let count = |name: &str| report.responses.get(name).copied().unwrap_or(0);
    let broken_rules: std::collections::BTreeSet<String> =
        report.violations.iter().map(|violation| violation.rule.to_string()).collect();
    let rules = if broken_rules.is_empty() {
        "none".to_owned()
    } else {
        broken_rules.into_iter().collect::<Vec<_>>().join(", ")
    };
    println!(
        "| {} | {:.0} | {}, {} | {} | {} | {:.1}% | {}, {} | {} | {rules} |",
        scenario.seed,
        scenario.duration as f64 / 1e6,
        scenario.front_ends,
        scenario.workers,
        scenario.fault_summary(),
        report.requests,
        report.served_percent(),
        count("refused"),
        count("failed"),
        report.probes,
    );
    if !report.never_injected.is_empty() {
        println!(
            "seed {}: planned system call failures never injected: {}",
            scenario.seed,
            report.never_injected.join(", ")
        );
    }
    report.violation_traces.iter().for_each(|trace| eprintln!("seed {}: {trace}", scenario.seed));
}
