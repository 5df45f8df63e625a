//! A real front-end process and its log.
use super::Deploy;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// Last lines of a log that are kept for error messages.
const MAX_TAIL_LINES: usize = 20;

/// What was read from the log of a front end.
#[derive(Debug, Default)]
pub struct Log {
    tail: VecDeque<String>,
    /// Number of all lines.
    pub line_count: u64,
    /// The workers that the log reports as ready, each with the time of its line.
    pub ready_workers: Vec<(String, Instant)>,
}

impl Log {
    fn add_line(&mut self, line: String) {
        self.line_count += 1;
        if let Some((worker, _)) = line.strip_prefix("member ").and_then(|l| l.split_once(": Ready")) {
            self.ready_workers.push((worker.to_owned(), Instant::now()));
        }
        if self.tail.len() == MAX_TAIL_LINES {
            self.tail.pop_front();
        }
        self.tail.push_back(line);
    }

    /// The last lines, each indented.
    pub fn tail(&self) -> String {
        self.tail.iter().map(|l| format!("  {l}\n")).collect()
    }
}

/// A running front end. It is killed when this is dropped.
pub struct FrontEndProcess {
    child: Child,
    /// Its process ID.
    pub pid: u32,
    /// Its log.
    pub log: Arc<Mutex<Log>>,
    listen_address: watch::Receiver<Option<SocketAddr>>,
}

impl FrontEndProcess {
    /// Starts a front end with this configuration file.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub fn start(deploy: &Deploy, name: &str, config: &Path) -> io::Result<FrontEndProcess> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &deploy.command])
            .current_dir(&deploy.working_directory)
            .env("NODE_CONFIG", config)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().unwrap_or(0);
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("the process has no standard error stream"))?;
        let log = Arc::new(Mutex::new(Log::default()));
        let (address_sender, listen_address) = watch::channel(None);
        let (shared_log, prefix) = (log.clone(), format!("start: {name} listens on "));
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(address) = line.strip_prefix(&prefix).and_then(|a| a.parse().ok()) {
                    let _ = address_sender.send(Some(address)); // nobody waits for it after the start
                }
                if let Ok(mut log) = shared_log.lock() {
                    log.add_line(line);
                }
            }
        });
        Ok(FrontEndProcess { child, pid, log, listen_address })
    }

    /// Waits until it listens and returns its address; `None` if it ends before.
    pub async fn listen_address(&mut self) -> Option<SocketAddr> {
        self.listen_address.wait_for(Option::is_some).await.ok().and_then(|a| *a)
    }

    /// Its exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await; // it may have ended already
    }

    /// The last lines of its log, each indented.
    pub fn log_tail(&self) -> String {
        self.log.lock().map(|l| l.tail()).unwrap_or_default()
    }
}
