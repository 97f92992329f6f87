//! Log lines to standard error from a thread of their own: whoever logs never waits, and what is dropped is counted.

use pipitcrank_config::LogsConfig;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::time::SystemTime;

/// Lines that wait to be written, at most: a quarter of a megabyte. What comes on top is dropped.
const WAITING: usize = 1024;

pub struct Writing {
    dropped: ErrorCounter,
    guard: WorkerGuard,
}

/// Takes all log lines from now on. Levels that can't be read stand for `info`, and are said.
pub fn start(logs: &LogsConfig) -> Writing {
    let (out, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(WAITING).lossy(true).finish(std::io::stderr());
    let dropped = out.error_counter();
    let levels = if logs.levels.is_empty() { "info" } else { &logs.levels };
    let filter = EnvFilter::try_new(levels);
    let wrong = filter.as_ref().err().map(ToString::to_string);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_timer(SystemTime)
        .with_ansi(false)
        .with_writer(out);
    if logs.json {
        lines.json().init();
    } else {
        lines.with_target(false).init();
    }
    if let Some(wrong) = wrong {
        tracing::error!("/logs/levels {levels}: {wrong}");
    }
    Writing { dropped, guard }
}

impl Writing {
    /// Has what waits written.
    pub fn finish(self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!("{dropped} log lines were dropped");
        }
        drop(self.guard);
    }
}
