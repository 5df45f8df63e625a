//! Tests of soak configurations and scenarios, and of interrupting a soak.
use heronslip_scale::soak::scenario::{Fault, Scenario};
use heronslip_scale::soak::SoakConfig;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// The path of a soak configuration in the repository.
fn config_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[test]
fn a_seed_draws_the_same_scenario_each_time() {
    let config = SoakConfig::read(&config_path("soak.toml")).expect("the configuration is valid");
    let scenario_json =
        |seed| serde_json::to_string(&Scenario::draw(&config, seed)).expect("a scenario is serializable");
    for seed in 0..50 {
        assert_eq!(scenario_json(seed), scenario_json(seed), "seed {seed}");
    }
    assert_ne!(scenario_json(1), scenario_json(2));
}

/// Faults come in the order of their times, none in the first seconds; a worker has one fault that changes
/// the list.
#[test]
fn scenarios_stay_within_the_configured_ranges() {
    for file in ["soak.toml", "soak-ci.toml"] {
        let config = SoakConfig::read(&config_path(file)).expect("the configuration is valid");
        for seed in 0..200 {
            let scenario = Scenario::draw(&config, seed);
            assert!((config.workers[0]..=config.workers[1]).contains(&scenario.workers));
            assert!(scenario.faults.is_sorted_by_key(|(at, _)| *at));
            assert!(scenario.faults.iter().all(|(at, _)| *at >= 3_000_000), "seed {seed}");
            let mut workers = Vec::new();
            for (_, fault) in &scenario.faults {
                if let Fault::Drain { worker, .. } | Fault::Death { worker, .. } = fault {
                    assert!(!workers.contains(worker), "seed {seed}: two such faults of worker {worker}");
                    workers.push(*worker);
                }
            }
        }
    }
}

/// Counts over the tool's bounds, empty ranges and unknown keys are rejected.
#[test]
fn invalid_configurations_are_rejected() {
    let text = std::fs::read_to_string(config_path("soak.toml")).expect("the configuration is valid");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("out-of-bounds.toml");
    for (valid, invalid) in [
        ("workers = [5, 10]", "workers = [5, 1000]"),
        ("front_ends = [2, 3]", "front_ends = [3, 2]"),
        ("duration_s = [20, 60]", "duration_s = [0, 60]"),
        ("give_up_ms = [300, 1200, 3000]", "give_up_ms = []"),
        ("leaving = 0.05", "leaving = 0.05\nunknown = 1"),
    ] {
        assert!(text.contains(valid), "{valid}");
        std::fs::write(&path, text.replace(valid, invalid)).expect("the file can be written");
        assert!(SoakConfig::read(&path).is_err(), "{invalid}");
    }
}

/// SIGINT ends a soak with exit code 130, as shells report it, and its front ends have exited by then.
#[test]
fn an_interrupted_soak_leaves_no_process_behind() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("interrupted-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("deploy")).expect("the folder can be created");
    let deploy = folder.join("deploy/balancer.toml");
    std::fs::write(&deploy, "run = \"echo $$ > $NODE_NAME.started; exec sleep 600\"\n")
        .expect("the file can be written");
    let mut soak = Command::new(env!("CARGO_BIN_EXE_heronslip-scale"))
        .args(["soak", "--seeds", "1..1", "--deploy"])
        .arg(&deploy)
        .arg("--shim")
        .arg(&deploy) // any existing file will do: the stand-in for the front end is a shell command
        .arg(config_path("soak.toml"))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the tool can be started");
    let started = folder.join("n0.started");
    let deadline = Instant::now() + TIMEOUT;
    let front_end = loop {
        let content = std::fs::read_to_string(&started).unwrap_or_default();
        if let Ok(process_id) = content.trim().parse::<u32>() {
            break process_id;
        }
        assert!(Instant::now() < deadline, "no front end was started");
        std::thread::sleep(Duration::from_millis(10));
    };
    let tool = soak.id().to_string();
    assert!(Command::new("kill").args(["-INT", &tool]).status().expect("kill can be run").success());
    assert_eq!(soak.wait().expect("the tool can be waited for").code(), Some(130));
    assert!(!Path::new(&format!("/proc/{front_end}")).exists(), "front end {front_end} still runs");
}
