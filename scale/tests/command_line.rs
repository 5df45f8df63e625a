//! The tool as it is run: its exit codes, its words, and what it leaves behind.
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// A folder of this test's own with an experiment, its settings and a deploy file in it.
struct Files(PathBuf);

impl Files {
    fn new(name: &str, change: impl FnOnce(String) -> String, run: &str) -> Files {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("deploy")).expect("a folder");
        let experiments = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
        let text = std::fs::read_to_string(experiments.join("small.toml")).expect("the sample");
        std::fs::write(folder.join("e.toml"), change(text)).expect("written");
        std::fs::copy(experiments.join("settings.json"), folder.join("settings.json")).expect("copied");
        let deploy = format!("run = {run:?}\n");
        std::fs::write(folder.join("deploy/balancer.toml"), deploy).expect("written");
        Files(folder)
    }

    fn command(&self, role: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_heronslip-scale"));
        command.arg(role).arg(self.0.join("e.toml"));
        if role == "node" {
            command.arg("--deploy").arg(self.0.join("deploy/balancer.toml"));
        }
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn run(&self, role: &str) -> (Option<i32>, String) {
        let Output { status, stderr, .. } = self.command(role).output().expect("it runs");
        (status.code(), String::from_utf8_lossy(&stderr).into_owned())
    }
}

#[test]
fn a_bad_experiment_ends_with_its_line_and_key() {
    let cases = [
        ("front_ends = 10\n", "front_ends = \"ten\"\n", "line 9", "front_ends"),
        ("cores = 3\n", "kores = 3\n", "line 15", "kores"),
        ("lanes = 1\n", "lanes = 0\n", "line 29", "functions.lanes"),
        ("share = 0.05\n", "", "line ", "failure.share"),
    ];
    for (n, (from, to, line, key)) in cases.into_iter().enumerate() {
        let files = Files::new(&format!("bad-{n}"), |text| text.replace(from, to), "exit 0");
        let (code, words) = files.run("fleet");
        assert_eq!(code, Some(2), "{words}");
        assert!(words.contains(line) && words.contains(key), "{words}");
    }
}

#[test]
fn what_would_go_over_a_bound_is_refused_with_its_figure() {
    let files = Files::new("memory", |t| t.replace("front_ends = 10\n", "front_ends = 60000\n"), "exit 0");
    let (code, words) = files.run("fleet");
    assert_eq!(code, Some(2), "{words}");
    assert!(words.contains("MB, 12000 are allowed"), "{words}");
    let files = Files::new("processes", |t| t.replace("front_ends = 10\n", "front_ends = 200\n"), "exit 0");
    let (code, words) = files.run("node");
    assert_eq!(code, Some(2), "{words}");
    assert!(words.contains("201 processes, 200 are allowed"), "{words}");
}

#[test]
fn a_front_end_that_dies_ends_the_run_with_the_last_of_its_log() {
    let files = Files::new("dies", |text| text, "echo these were its last words >&2; exit 3");
    let (code, words) = files.run("node");
    assert_eq!(code, Some(1), "{words}");
    assert!(words.contains("front end n0 ended") && words.contains("these were its last words"), "{words}");
}

/// Waits until a file holds a line; the process number in it.
fn process_in(file: &Path, child: &mut Child) -> u32 {
    let since = Instant::now();
    loop {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        if let Ok(process) = text.trim().parse() {
            return process;
        }
        assert!(child.try_wait().expect("it was started").is_none(), "the tool has ended");
        assert!(since.elapsed() < PATIENCE, "no front end was started");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn an_interrupt_leaves_no_process_behind() {
    let files = Files::new("interrupt", |text| text, "echo $$ > child; exec sleep 600");
    let mut tool = files.command("node").spawn().expect("it runs");
    let front_end = process_in(&files.0.join("child"), &mut tool);
    let signal = Command::new("kill").args(["-INT", &tool.id().to_string()]).status().expect("kill runs");
    assert!(signal.success());
    assert_eq!(tool.wait().expect("it ends").code(), Some(130));
    let since = Instant::now();
    while Path::new(&format!("/proc/{front_end}")).exists() {
        assert!(since.elapsed() < PATIENCE, "front end {front_end} is still there");
        std::thread::sleep(Duration::from_millis(10));
    }
}
