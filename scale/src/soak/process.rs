//! A front-end process under test: start, signals, log and end.
use crate::node::Deploy;
use nix::sys::signal::{kill, Signal as SystemSignal};
use nix::unistd::Pid;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Lines of a log that are kept for stories.
const LINES_KEPT: usize = 400;

/// The last lines of a front end's log, over all its lives.
#[derive(Clone, Debug, Default)]
pub struct LogTail(Arc<Mutex<VecDeque<String>>>);

impl LogTail {
    fn push(&self, line: String) {
        if let Ok(mut lines) = self.0.lock() {
            if lines.len() == LINES_KEPT {
                lines.pop_front();
            }
            lines.push_back(line);
        }
    }

    /// The lines.
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().map(|lines| lines.iter().cloned().collect()).unwrap_or_default()
    }
}

/// How a process is started.
pub struct Launch<'a> {
    /// The deploy file's `run`.
    pub deploy: &'a Deploy,
    /// The front end's name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its configuration.
    pub config: &'a Path,
    /// Further variables of its environment.
    pub environment: Vec<(String, String)>,
}

/// A running front end; killed when dropped.
pub struct Process {
    child: Child,
    pid: i32,
}

impl Process {
    /// Starts one; its log goes to `log`.
    ///
    /// # Errors
    /// Fails if no process can be started.
    pub fn start(launch: Launch<'_>, log: &LogTail) -> io::Result<Process> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &launch.deploy.command])
            .current_dir(&launch.deploy.working_directory)
            .env("NODE_CONFIG", launch.config)
            .env("NODE_NAME", &launch.name)
            .env("NODE_LISTEN", launch.listen.to_string())
            .envs(launch.environment)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).unwrap_or(0);
        let stderr = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
        let log = log.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                log.push(line);
            }
        });
        Ok(Process { child, pid })
    }

    /// Its number in the system.
    pub fn id(&self) -> u32 {
        self.pid.unsigned_abs()
    }

    /// Sends a signal, unless it has ended.
    pub fn signal(&self, signal: SystemSignal) {
        if self.pid > 0 && self.child.id().is_some() {
            let _ = kill(Pid::from_raw(self.pid), signal); // it may just have ended
        }
    }

    /// How it ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> String {
        self.child.wait().await.map_or_else(|e| e.to_string(), |status| status.to_string())
    }
}
