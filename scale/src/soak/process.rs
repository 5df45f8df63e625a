//! A front-end process under test: its start, signals, log and exit.
use super::core_binding::CoreBinding;
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

/// Last lines of a log that are kept for violation traces.
const MAX_TAIL_LINES: usize = 400;

/// The last lines that the processes of a front end logged.
#[derive(Clone, Debug, Default)]
pub struct LogTail(Arc<Mutex<VecDeque<String>>>);

impl LogTail {
    fn push(&self, line: String) {
        if let Ok(mut lines) = self.0.lock() {
            if lines.len() == MAX_TAIL_LINES {
                lines.pop_front();
            }
            lines.push_back(line);
        }
    }

    /// The retained lines, oldest first.
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().map(|lines| lines.iter().cloned().collect()).unwrap_or_default()
    }
}

/// How a front end is started.
pub struct LaunchOptions<'a> {
    /// The deploy file, whose `run` is the command.
    pub deploy: &'a Deploy,
    /// The front end's number, by which it is named and bound to a core.
    pub number: usize,
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// Its configuration file.
    pub config: &'a Path,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
}

/// A front-end process; killed when dropped.
pub struct FrontEndProcess {
    child: Child,
    pid: i32,
}

impl FrontEndProcess {
    /// Starts a process and appends its standard error to `log`.
    ///
    /// # Errors
    /// Fails if the process cannot be started.
    pub fn start(options: LaunchOptions<'_>, log: &LogTail) -> io::Result<FrontEndProcess> {
        let binding = CoreBinding::new(options.number)?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &options.deploy.command])
            .current_dir(&options.deploy.working_directory)
            .env("NODE_CONFIG", options.config)
            .env("NODE_NAME", format!("n{}", options.number))
            .env("NODE_LISTEN", options.listen.to_string())
            .envs(options.environment)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        drop(binding);
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).unwrap_or(0);
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("the standard error of the front end is not captured"))?;
        let log = log.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                log.push(line);
            }
        });
        Ok(FrontEndProcess { child, pid })
    }

    /// Its process ID.
    pub fn id(&self) -> u32 {
        self.pid.unsigned_abs()
    }

    /// Sends a signal, unless the process is known to have exited.
    pub fn signal(&self, signal: SystemSignal) {
        if self.pid > 0 && self.child.id().is_some() {
            let _ = kill(Pid::from_raw(self.pid), signal); // the process may just have exited
        }
    }

    /// Its exit status as text, if it has exited.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits until it has exited; returns its exit status as text.
    pub async fn wait(&mut self) -> String {
        self.child.wait().await.map_or_else(|e| e.to_string(), |status| status.to_string())
    }
}
