//! One real front-end process: its start, its log, and its end with the run.
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

/// Lines of a log that are kept for messages.
const LINES_KEPT: usize = 20;

/// What a front end's log has told.
#[derive(Debug, Default)]
pub struct Log {
    last: VecDeque<String>,
    /// Lines in all.
    pub lines: u64,
    /// When each worker of the list was first told to be ready.
    pub members: Vec<(String, Instant)>,
}

impl Log {
    fn take(&mut self, line: String) {
        self.lines += 1;
        if let Some((id, _)) = line.strip_prefix("member ").and_then(|l| l.split_once(": Ready")) {
            self.members.push((id.to_owned(), Instant::now()));
        }
        if self.last.len() == LINES_KEPT {
            self.last.pop_front();
        }
        self.last.push_back(line);
    }

    /// The last lines.
    pub fn tail(&self) -> String {
        self.last.iter().map(|l| format!("  {l}\n")).collect()
    }
}

/// A front end that runs. It is killed when this is dropped.
pub struct FrontEndProcess {
    child: Child,
    /// Its process number.
    pub id: u32,
    /// Its log.
    pub log: Arc<Mutex<Log>>,
    listens: watch::Receiver<Option<SocketAddr>>,
}

impl FrontEndProcess {
    /// Starts one with this configuration file.
    ///
    /// # Errors
    /// Fails if no process can be started.
    pub fn start(deploy: &Deploy, name: &str, config: &Path) -> io::Result<FrontEndProcess> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", &deploy.run])
            .current_dir(&deploy.root)
            .env("NODE_CONFIG", config)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let id = child.id().unwrap_or(0);
        let stderr = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
        let log = Arc::new(Mutex::new(Log::default()));
        let (tell, listens) = watch::channel(None);
        let (kept, prefix) = (log.clone(), format!("start: {name} listens on "));
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(address) = line.strip_prefix(&prefix).and_then(|a| a.parse().ok()) {
                    let _ = tell.send(Some(address)); // nobody waits for it after the start
                }
                if let Ok(mut log) = kept.lock() {
                    log.take(line);
                }
            }
        });
        Ok(FrontEndProcess { child, id, log, listens })
    }

    /// Where it listens, once it does; nothing if it ends before.
    pub async fn address(&mut self) -> Option<SocketAddr> {
        self.listens.wait_for(Option::is_some).await.ok().and_then(|a| *a)
    }

    /// How it ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Ends it and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await; // it may have ended by itself
    }

    /// The last lines of its log.
    pub fn tail(&self) -> String {
        self.log.lock().map(|l| l.tail()).unwrap_or_default()
    }
}
