//! What a process has taken of the machine, as the system tells it.
use std::path::Path;

/// Ticks of processor time in a second, as Linux reports them to programs on every platform it runs on today.
const TICKS_A_SECOND: f64 = 100.0;

/// Memory, processor time and descriptors of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Memory now, in MB.
    pub memory_mb: f64,
    /// Most memory so far, in MB.
    pub peak_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// This process.
    pub fn of_this_process() -> Self {
        Usage::read(Path::new("/proc/self"))
    }

    /// Another process; zeros where it has ended.
    pub fn of(process: u32) -> Self {
        Usage::read(Path::new(&format!("/proc/{process}")))
    }

    fn read(folder: &Path) -> Self {
        let text = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap_or_default();
        let status = text("status");
        let megabytes = |key: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(key)).unwrap_or_default();
            line.split_whitespace().next().and_then(|k| k.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
        };
        // The name in parentheses may hold blanks; times in user and system mode are fields 14 and 15.
        let stat = text("stat");
        let after = stat.rsplit(')').next().unwrap_or_default();
        let ticks =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        Usage {
            cpu_s: (ticks(11) + ticks(12)) / TICKS_A_SECOND,
            memory_mb: megabytes("VmRSS:"),
            peak_mb: megabytes("VmHWM:"),
            descriptors: std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count),
        }
    }
}
