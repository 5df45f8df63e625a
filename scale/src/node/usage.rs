//! Resource usage of a process, read from `/proc`.
use std::path::Path;

/// Clock ticks per second in `/proc/PID/stat`: the same on all platforms that Linux supports today.
const TICKS_PER_SECOND: f64 = 100.0;

/// Position of the user time in `/proc/PID/stat`, counted from the field after the name.
const USER_TIME: usize = 11;
/// Position of the system time, counted likewise.
const SYSTEM_TIME: usize = 12;

/// Memory, CPU time and open descriptors of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Usage of this process.
    pub fn of_this_process() -> Self {
        Usage::read(Path::new("/proc/self"))
    }

    /// Usage of another process; all zero if it has ended.
    pub fn of(pid: u32) -> Self {
        Usage::read(Path::new(&format!("/proc/{pid}")))
    }

    fn read(directory: &Path) -> Self {
        let text = |name: &str| std::fs::read_to_string(directory.join(name)).unwrap_or_default();
        let status = text("status");
        let megabytes = |key: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(key)).unwrap_or_default();
            line.split_whitespace().next().and_then(|k| k.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
        };
        // The second field, the name in parentheses, may contain spaces, so fields are counted from the one
        // after it. User and system time are fields 14 and 15 of the line.
        let stat = text("stat");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |n: usize| {
            after_name.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0)
        };
        Usage {
            cpu_s: (ticks(USER_TIME) + ticks(SYSTEM_TIME)) / TICKS_PER_SECOND,
            memory_mb: megabytes("VmRSS:"),
            peak_mb: megabytes("VmHWM:"),
            descriptors: std::fs::read_dir(directory.join("fd")).map_or(0, Iterator::count),
        }
    }
}
