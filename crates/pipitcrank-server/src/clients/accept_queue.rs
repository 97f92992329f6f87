//! The accept queue of a listener: bounds the time that clients waited in it, and handles errors of `accept`.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::runtime::counter_names::{accept_error, group};
use crate::runtime::counters::Counters;
use crate::runtime::system_errors::{ErrorPolicy, RETRY_PAUSE, accept_policy};

/// Consecutive failed accepts after which other tasks get to run.
const MAX_CONSECUTIVE_FAILURES: u32 = 256;
/// Minimum interval between log lines of failed accepts, which occur by the thousand when resources run short.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// An accepted client connection.
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// Upper bound of its time in the accept queue.
    pub wait: Duration,
}

/// The accept queue of an open listener.
pub struct AcceptQueue {
    listener: TcpListener,
    /// When the queue was last observed to be empty.
    empty_at: Cell<Instant>,
    failures: FailureLog,
}

impl AcceptQueue {
    /// Creates the accept queue of a listener.
    pub fn new(listener: TcpListener, counters: Counters) -> AcceptQueue {
        AcceptQueue { listener, empty_at: Cell::new(Instant::now()), failures: FailureLog::new(counters) }
    }

    /// Accepts the next client. An error means that the listener itself has failed and will accept no more clients.
    pub async fn accept(&self) -> io::Result<Accepted> {
        loop {
            let accepted = std::future::poll_fn(|cx| {
                let polled = self.listener.poll_accept(cx);
                if polled.is_pending() {
                    self.empty_at.set(Instant::now());
                }
                polled
            });
            match accepted.await {
                Ok((stream, _)) => return Ok(Accepted { stream, wait: self.empty_at.get().elapsed() }),
                Err(error) => match self.failures.record(&error) {
                    ErrorPolicy::GiveUp => return Err(error),
                    ErrorPolicy::RetryAtOnce => tokio::task::yield_now().await,
                    ErrorPolicy::RetryAfterPause | ErrorPolicy::RetryFew => {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                },
            }
        }
    }

    /// Converts the queue for draining before its listener closes. The runtime's readiness state may be stale, so the closing
    /// queue calls `accept` directly.
    pub fn close(self) -> Option<ClosingQueue> {
        let listener = self.listener.into_std().ok()?;
        Some(ClosingQueue { listener, empty_at: self.empty_at.get(), failures: self.failures })
    }
}

/// An accept queue that is emptied before its listener closes.
pub struct ClosingQueue {
    listener: std::net::TcpListener,
    empty_at: Instant,
    failures: FailureLog,
}

/// Result of the next accept of a closing queue.
pub enum NextClient {
    /// A client was accepted.
    Accepted(Accepted),
    /// No client is waiting.
    Empty,
    /// Accepting fails at present; a later call may succeed.
    Failing,
    /// The listener has failed and accepts no more clients.
    Broken,
}

impl ClosingQueue {
    /// Accepts the next client. A failed accept is retried at once and by later calls, since clients left in the queue are
    /// reset when the listener closes.
    pub fn next(&self) -> NextClient {
        for _ in 0..MAX_CONSECUTIVE_FAILURES {
            let error = match self.accept() {
                Ok(accepted) => return NextClient::Accepted(accepted),
                Err(AcceptError::Empty) => return NextClient::Empty,
                Err(AcceptError::Failed(error)) => error,
            };
            if self.failures.record(&error) == ErrorPolicy::GiveUp {
                return NextClient::Broken;
            }
        }
        NextClient::Failing
    }

    fn accept(&self) -> Result<Accepted, AcceptError> {
        let (stream, _) = self.listener.accept().map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => AcceptError::Empty,
            _ => AcceptError::Failed(error),
        })?;
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        let stream = stream.map_err(AcceptError::Failed)?;
        Ok(Accepted { stream, wait: self.empty_at.elapsed() })
    }
}

enum AcceptError {
    Empty,
    Failed(io::Error),
}

/// Counts all failed accepts, and logs some of them.
struct FailureLog {
    counters: Counters,
    last_logged: Cell<Option<Instant>>,
}

impl FailureLog {
    fn new(counters: Counters) -> FailureLog {
        FailureLog { counters, last_logged: Cell::default() }
    }

    /// Records a failure; returns the policy for its error.
    fn record(&self, error: &io::Error) -> ErrorPolicy {
        let policy = accept_policy(error);
        let name = match policy {
            ErrorPolicy::RetryAtOnce => accept_error::RETRIED_AT_ONCE,
            ErrorPolicy::RetryAfterPause | ErrorPolicy::RetryFew => accept_error::RETRIED_AFTER_PAUSE,
            ErrorPolicy::GiveUp => accept_error::GIVEN_UP,
        };
        self.counters.add(group::ACCEPT_ERRORS, name);
        if self.last_logged.get().is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.last_logged.set(Some(Instant::now()));
            tracing::warn!(policy = name, "accept failed: {error}");
        }
        policy
    }
}
