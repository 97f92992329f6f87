//! Log lines go to standard error from a thread of their own: whoever logs never waits, and lines that are dropped are
//! counted.

use pipitcrank_config::LogsConfig;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::time::SystemTime;

/// Lines that wait to be written, at most: a quarter of a megabyte. Further lines are dropped.
const MAX_WAITING_LINES: usize = 1024;
/// Levels where the operators' file has none, or some that can't be read.
const DEFAULT_LEVELS: &str = "info";

/// The thread that writes log lines.
pub(crate) struct LogWriter {
    dropped: ErrorCounter,
    guard: WorkerGuard,
}

/// Takes all log lines from now on. In place of levels that can't be read the default is used, and that is logged.
pub(crate) fn start(logs: &LogsConfig) -> LogWriter {
    let (out, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stderr());
    let dropped = out.error_counter();
    let levels = if logs.levels.is_empty() { DEFAULT_LEVELS } else { &logs.levels };
    let filter = EnvFilter::try_new(levels);
    let error = filter.as_ref().err().map(ToString::to_string);
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_LEVELS)))
        .with_timer(SystemTime)
        .with_ansi(false)
        .with_writer(out);
    if logs.json {
        lines.json().init();
    } else {
        lines.with_target(false).init();
    }
    if let Some(error) = error {
        tracing::error!("/logs/levels {levels}: {error}");
    }
    LogWriter { dropped, guard }
}

impl LogWriter {
    /// Waits until all lines are written.
    pub(crate) fn finish(self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!("{dropped} log lines were dropped");
        }
        drop(self.guard);
    }
}
