//! Tests of the command line tool: exit codes, error messages, and processes after an interrupt.
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A folder of a test with an experiment, its settings and a deploy file.
struct Fixture(PathBuf);

impl Fixture {
    fn new(name: &str, change: impl FnOnce(String) -> String, run: &str) -> Fixture {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("deploy")).expect("the folder can be created");
        let experiments = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
        let text = std::fs::read_to_string(experiments.join("small.toml"))
            .expect("the sample experiment is readable");
        std::fs::write(folder.join("e.toml"), change(text)).expect("the file can be written");
        std::fs::copy(experiments.join("settings.json"), folder.join("settings.json"))
            .expect("the settings can be copied");
        let deploy = format!("run = {run:?}\n");
        std::fs::write(folder.join("deploy/balancer.toml"), deploy).expect("the file can be written");
        Fixture(folder)
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
        let Output { status, stderr, .. } = self.command(role).output().expect("the tool can be started");
        (status.code(), String::from_utf8_lossy(&stderr).into_owned())
    }
}

#[test]
fn an_invalid_experiment_is_rejected_with_line_and_key() {
    let cases = [
        ("front_ends = 10\n", "front_ends = \"ten\"\n", "line 9", "front_ends"),
        ("cores = 3\n", "kores = 3\n", "line 15", "kores"),
        ("lanes = 1\n", "lanes = 0\n", "line 29", "functions.lanes"),
        ("share = 0.05\n", "", "line ", "failure.share"),
    ];
    for (n, (valid, invalid, line, key)) in cases.into_iter().enumerate() {
        let fixture = Fixture::new(&format!("invalid-{n}"), |text| text.replace(valid, invalid), "exit 0");
        let (code, stderr) = fixture.run("fleet");
        assert_eq!(code, Some(2), "{stderr}");
        assert!(stderr.contains(line) && stderr.contains(key), "{stderr}");
    }
}

#[test]
fn an_experiment_over_a_resource_bound_is_rejected() {
    let fixture =
        Fixture::new("memory", |t| t.replace("front_ends = 10\n", "front_ends = 60000\n"), "exit 0");
    let (code, stderr) = fixture.run("fleet");
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains("MB, 12000 are allowed"), "{stderr}");
    let fixture =
        Fixture::new("processes", |t| t.replace("front_ends = 10\n", "front_ends = 200\n"), "exit 0");
    let (code, stderr) = fixture.run("node");
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains("201 processes, 200 are allowed"), "{stderr}");
}

#[test]
fn a_front_end_that_exits_ends_the_run_with_its_last_log_lines() {
    let fixture = Fixture::new("exits", |text| text, "echo last line of the log >&2; exit 3");
    let (code, stderr) = fixture.run("node");
    assert_eq!(code, Some(1), "{stderr}");
    assert!(stderr.contains("front end n0 ended") && stderr.contains("last line of the log"), "{stderr}");
}

/// Waits until a file holds a process ID, which a front end writes at its start, and returns it.
fn wait_for_process_id(file: &Path, tool: &mut Child) -> u32 {
    let start = Instant::now();
    loop {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        if let Ok(process_id) = text.trim().parse() {
            return process_id;
        }
        assert!(tool.try_wait().expect("the tool can be waited for").is_none(), "the tool has exited");
        assert!(start.elapsed() < TIMEOUT, "no front end was started");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn an_interrupt_leaves_no_process_behind() {
    let fixture = Fixture::new("interrupt", |text| text, "echo $$ > child; exec sleep 600");
    let mut tool = fixture.command("node").spawn().expect("the tool can be started");
    let front_end = wait_for_process_id(&fixture.0.join("child"), &mut tool);
    let signal =
        Command::new("kill").args(["-INT", &tool.id().to_string()]).status().expect("kill can be run");
    assert!(signal.success());
    assert_eq!(tool.wait().expect("the tool can be waited for").code(), Some(130));
    let start = Instant::now();
    while Path::new(&format!("/proc/{front_end}")).exists() {
        assert!(start.elapsed() < TIMEOUT, "front end {front_end} still runs");
        std::thread::sleep(Duration::from_millis(10));
    }
}
