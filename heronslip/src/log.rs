//! The log on standard error, with a rate limit for lines that clients, workers or discovery can cause.
use std::fmt::Arguments;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Instant;

const MAX_LINES_PER_SECOND: u64 = 5;

/// The rate limit of one log statement.
#[derive(Default)]
pub struct RateLimit {
    /// The second of the last line; 0: no line yet.
    second: AtomicU64,
    /// Lines in that second.
    count: AtomicU64,
}

impl RateLimit {
    /// A limit that has seen no line yet.
    pub const fn new() -> Self {
        RateLimit { second: AtomicU64::new(0), count: AtomicU64::new(0) }
    }

    /// Writes the line, unless the limit for this second is reached. Otherwise clients and workers that cause
    /// a line at full speed would stall the process whenever the log's reader is slow.
    pub fn write(&self, text: Arguments) {
        static START: OnceLock<Instant> = OnceLock::new();
        let second = START.get_or_init(Instant::now).elapsed().as_secs() + 1; // 0 means no line yet
        if let Some(line) = self.admit(second, text) {
            write_line(format_args!("{line}"));
        }
    }

    /// The text to write in this second, with the number of lines that were left out before; `None` if the
    /// limit is reached.
    pub fn admit(&self, second: u64, text: Arguments) -> Option<String> {
        let mut omitted = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            omitted = self.count.swap(0, Ordering::Relaxed).saturating_sub(MAX_LINES_PER_SECOND);
        }
        if self.count.fetch_add(1, Ordering::Relaxed) >= MAX_LINES_PER_SECOND {
            return None;
        }
        Some(match omitted {
            0 => text.to_string(),
            n => format!("{text} ({n} similar lines omitted)"),
        })
    }
}

/// Writes a line to the log. Write errors are ignored: `eprintln!` would panic when the log's reader is gone.
pub fn write_line(text: Arguments) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Writes a line to the log, without a rate limit; see [`write_line`](crate::log::write_line).
#[macro_export]
macro_rules! log {
    ($($text:tt)*) => { $crate::log::write_line(format_args!($($text)*)) };
}

/// Writes a line that clients, workers or discovery can cause to the log, with a rate limit for this
/// statement; see [`RateLimit`](crate::log::RateLimit).
#[macro_export]
macro_rules! log_limited {
    ($($text:tt)*) => {{
        static LIMIT: $crate::log::RateLimit = $crate::log::RateLimit::new();
        LIMIT.write(format_args!($($text)*))
    }};
}
