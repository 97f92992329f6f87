//! Logging to standard error from a separate thread. Logging never blocks the caller: lines that exceed the buffer
//! are dropped and counted.

use pipitcrank_config::LogsConfig;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::time::SystemTime;

/// Largest number of buffered lines, about a quarter of a megabyte.
const MAX_BUFFERED_LINES: usize = 1024;
/// Log levels if the operators' file has none or invalid ones.
const DEFAULT_LEVELS: &str = "info";

/// Handle of the thread that writes log lines.
pub(crate) struct LogWriter {
    dropped: ErrorCounter,
    guard: WorkerGuard,
}

/// Starts logging. If the configured levels are invalid, the error is logged and the default levels are used.
pub(crate) fn start(logs: &LogsConfig) -> LogWriter {
    let (out, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
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
        tracing::error!("/logs/levels '{levels}' is invalid, using '{DEFAULT_LEVELS}': {error}");
    }
    LogWriter { dropped, guard }
}

impl LogWriter {
    /// Waits until all buffered lines are written.
    pub(crate) fn finish(self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!("{dropped} log lines were dropped because the log buffer was full");
        }
        drop(self.guard);
    }
}
