//! Log lines to standard error, from a thread of their own: whoever logs never waits.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::{LevelFilter, Log, Metadata, Record};

use crate::clock::Clock;

/// Lines that wait to be written, at most: a quarter of a megabyte. What comes on top is counted and dropped.
const WAITING: usize = 1024;
/// How long the last lines may take to be written at exit: standard error may be stuck.
const LAST_LINES: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    Done(SyncSender<()>),
}

pub struct Logger {
    clock: Clock,
    lines: SyncSender<Entry>,
    dropped: AtomicU64,
}

impl Logger {
    /// Starts the writing thread and takes all log lines from now on.
    pub fn start(clock: Clock, level: LevelFilter) -> &'static Logger {
        let (lines, waiting) = sync_channel(WAITING);
        let logger: &'static Logger =
            Box::leak(Box::new(Logger { clock, lines, dropped: AtomicU64::new(0) }));
        std::thread::spawn(move || write_out(waiting));
        if log::set_logger(logger).is_ok() {
            log::set_max_level(level);
        }
        logger
    }

    /// Waits a little for what has been logged to be written.
    pub fn finish(&self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            log::warn!("{dropped} log lines were dropped");
        }
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Entry::Done(done)).is_ok() {
            let _ = written.recv_timeout(LAST_LINES);
        }
    }
}

fn write_out(waiting: Receiver<Entry>) {
    for entry in waiting {
        match entry {
            Entry::Line(line) => {
                let _ = std::io::stderr().write_all(line.as_bytes());
            }
            Entry::Done(done) => {
                let _ = done.send(());
            }
        }
    }
}

impl Log for Logger {
    fn enabled(&self, about: &Metadata) -> bool {
        about.target().starts_with("pipitcrank")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = format!("{:10.3} {:5} {}\n", self.clock.now().s(), record.level(), record.args());
        if self.lines.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}
