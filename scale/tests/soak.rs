//! What plays are drawn from and what is drawn: the same seed has the same faults at the same times, within
//! bounds.
use heronslip_scale::soak::scenario::{Fault, Scenario};
use heronslip_scale::soak::SoakConfig;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[test]
fn a_seed_draws_the_same_play_each_time() {
    let config = SoakConfig::read(&shipped("soak.toml")).expect("a soak's file");
    let drawn = |seed| serde_json::to_string(&Scenario::draw(&config, seed)).expect("JSON");
    for seed in 0..50 {
        assert_eq!(drawn(seed), drawn(seed), "seed {seed}");
    }
    assert_ne!(drawn(1), drawn(2));
}

/// Faults come in the order of their times, none in the first seconds; a worker has one fault that changes
/// the list.
#[test]
fn plays_keep_to_their_ranges() {
    for file in ["soak.toml", "soak-ci.toml"] {
        let config = SoakConfig::read(&shipped(file)).expect("a soak's file");
        for seed in 0..200 {
            let plan = Scenario::draw(&config, seed);
            assert!((config.workers[0]..=config.workers[1]).contains(&plan.workers));
            assert!(plan.faults.is_sorted_by_key(|(at, _)| *at));
            assert!(plan.faults.iter().all(|(at, _)| *at >= 3_000_000), "seed {seed}");
            let mut listed = Vec::new();
            for (_, fault) in &plan.faults {
                if let Fault::Drain { worker, .. } | Fault::Death { worker, .. } = fault {
                    assert!(!listed.contains(worker), "seed {seed}: worker {worker} twice");
                    listed.push(*worker);
                }
            }
        }
    }
}

/// Files that ask for what the machine has not, or for nothing, are refused.
#[test]
fn files_out_of_bounds_are_refused() {
    let text = std::fs::read_to_string(shipped("soak.toml")).expect("a soak's file");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("out-of-bounds.toml");
    for (what, other) in [
        ("workers = [5, 10]", "workers = [5, 1000]"),
        ("front_ends = [2, 3]", "front_ends = [3, 2]"),
        ("duration_s = [20, 60]", "duration_s = [0, 60]"),
        ("give_up_ms = [300, 1200, 3000]", "give_up_ms = []"),
        ("leaving = 0.05", "leaving = 0.05\nunknown = 1"),
    ] {
        assert!(text.contains(what), "{what}");
        std::fs::write(&path, text.replace(what, other)).expect("written");
        assert!(SoakConfig::read(&path).is_err(), "{other}");
    }
}

/// SIGINT ends a soak with the shells' code for it, and the front ends of its play have ended by then.
#[test]
fn an_interrupted_soak_leaves_nothing_behind() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("interrupted-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("deploy")).expect("a folder");
    let deploy = folder.join("deploy/balancer.toml");
    std::fs::write(&deploy, "run = \"echo $$ > $NODE_NAME.started; exec sleep 600\"\n").expect("written");
    let mut soak = Command::new(env!("CARGO_BIN_EXE_heronslip-scale"))
        .args(["soak", "--seeds", "1..1", "--deploy"])
        .arg(&deploy)
        .arg("--shim")
        .arg(&deploy) // any file: what stands for the front end loads no library
        .arg(shipped("soak.toml"))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it runs");
    let started = folder.join("n0.started");
    let until = Instant::now() + PATIENCE;
    let process = loop {
        let told = std::fs::read_to_string(&started).unwrap_or_default();
        if let Ok(process) = told.trim().parse::<u32>() {
            break process;
        }
        assert!(Instant::now() < until, "no front end was started");
        std::thread::sleep(Duration::from_millis(10));
    };
    let tool = soak.id().to_string();
    assert!(Command::new("kill").args(["-INT", &tool]).status().expect("kill runs").success());
    assert_eq!(soak.wait().expect("waited for").code(), Some(130));
    assert!(!Path::new(&format!("/proc/{process}")).exists(), "a front end is left");
}
