//! The accept queue of a listener: for how long clients may have waited in it, and what is done where accepting fails.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::runtime::counters::Counters;
use crate::runtime::system_errors::{ErrorPolicy, RETRY_PAUSE, accept_policy};

/// Accepts that failed in a row after which other tasks run.
const MAX_FAILURES_IN_A_ROW: u32 = 256;
/// Failures are logged no more often: they come by thousands where resources run short.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A client's connection.
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// For how long it may have waited at most.
    pub wait: Duration,
}

/// The accept queue of a listener that is open.
pub struct AcceptQueue {
    listener: TcpListener,
    /// When it was last seen to be empty.
    empty_at: Cell<Instant>,
    failures: Failures,
}

impl AcceptQueue {
    /// The queue of that listener.
    pub fn new(listener: TcpListener, counters: Counters) -> AcceptQueue {
        AcceptQueue { listener, empty_at: Cell::new(Instant::now()), failures: Failures::new(counters) }
    }

    /// Accepts the next client. An error is one of the listener itself: nobody can be accepted any more.
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

    /// Stops listening but for clients that wait already. What the runtime knows of the queue may be old: from now on the
    /// queue itself is asked.
    pub fn close(self) -> Option<ClosingQueue> {
        let listener = self.listener.into_std().ok()?;
        Some(ClosingQueue { listener, empty_at: self.empty_at.get(), failures: self.failures })
    }
}

/// A queue that is emptied before its listener closes.
pub struct ClosingQueue {
    listener: std::net::TcpListener,
    empty_at: Instant,
    failures: Failures,
}

/// What the next accept of a closing queue brought.
pub enum NextClient {
    /// A client.
    Accepted(Accepted),
    /// Nobody waits.
    Empty,
    /// Accepting fails for now.
    Failing,
    /// Nobody can be accepted any more.
    Broken,
}

impl ClosingQueue {
    /// Accepts the next client. What fails is repeated at once, and by later calls: clients left in the queue would be reset.
    pub fn next(&self) -> NextClient {
        for _ in 0..MAX_FAILURES_IN_A_ROW {
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

/// Accepts that failed: each is counted, some are logged.
struct Failures {
    counters: Counters,
    logged: Cell<Option<Instant>>,
}

impl Failures {
    fn new(counters: Counters) -> Failures {
        Failures { counters, logged: Cell::default() }
    }

    /// Records a failure; returns what it asks for.
    fn record(&self, error: &io::Error) -> ErrorPolicy {
        let policy = accept_policy(error);
        let name = match policy {
            ErrorPolicy::RetryAtOnce => "retried_at_once",
            ErrorPolicy::RetryAfterPause | ErrorPolicy::RetryFew => "retried_after_pause",
            ErrorPolicy::GiveUp => "given_up",
        };
        self.counters.add("accept_errors", name);
        if self.logged.get().is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged.set(Some(Instant::now()));
            tracing::warn!(policy = name, "accept failed: {error}");
        }
        policy
    }
}
