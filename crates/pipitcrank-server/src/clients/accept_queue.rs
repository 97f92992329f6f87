//! The accept queue of a listener: who waits in it, for how long at most, and what is done where accepting fails.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::runtime::counters::Counters;
use crate::runtime::system_errors::{ErrorPolicy, RETRY_PAUSE, accept_policy};

/// Accepts that failed in a row after which others get a turn.
const IN_A_ROW: u32 = 256;

/// A client's connection, and how long it may have waited at most.
pub struct Accepted {
    pub stream: TcpStream,
    pub waited: Duration,
}

pub struct AcceptQueue {
    listener: TcpListener,
    /// When it was last seen to be empty.
    empty_at: Cell<Instant>,
    failures: Failures,
}

impl AcceptQueue {
    pub fn new(listener: TcpListener, counters: Counters) -> AcceptQueue {
        AcceptQueue { listener, empty_at: Cell::new(Instant::now()), failures: Failures::new(counters) }
    }

    /// The next client. An error is one of the listener itself: nobody can be accepted any more.
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
                Ok((stream, _)) => return Ok(Accepted { stream, waited: self.empty_at.get().elapsed() }),
                Err(e) => match self.failures.policy(&e) {
                    ErrorPolicy::GiveUp => return Err(e),
                    ErrorPolicy::RetryAtOnce => tokio::task::yield_now().await,
                    ErrorPolicy::RetryAfterPause | ErrorPolicy::RetryFew => {
                        tokio::time::sleep(RETRY_PAUSE).await
                    }
                },
            }
        }
    }

    /// The listening ends, but for who waits already. What the runtime knows of the queue may be as old as its last look: from
    /// now on the queue itself is asked.
    pub fn close(self) -> Option<ClosingQueue> {
        let listener = self.listener.into_std().ok()?;
        Some(ClosingQueue { listener, empty_at: self.empty_at.get(), failures: self.failures })
    }
}

/// One that is emptied before its listener closes.
pub struct ClosingQueue {
    listener: std::net::TcpListener,
    empty_at: Instant,
    failures: Failures,
}

/// What comes of one look into a closing queue.
pub enum Next {
    Client(Accepted),
    /// Nobody waits.
    Empty,
    /// It can't be told for now.
    Failing,
    /// Nobody can be accepted any more.
    Broken,
}

impl ClosingQueue {
    /// Guards against clients reset in a queue whose accepts fail: what failed is tried again, at once and later.
    pub fn next(&self) -> Next {
        for _ in 0..IN_A_ROW {
            let error = match self.listener.accept() {
                Ok((stream, _)) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    match stream {
                        Ok(stream) => {
                            let waited = self.empty_at.elapsed();
                            return Next::Client(Accepted { stream, waited });
                        }
                        Err(e) => e,
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Next::Empty,
                Err(e) => e,
            };
            if self.failures.policy(&error) == ErrorPolicy::GiveUp {
                return Next::Broken;
            }
        }
        Next::Failing
    }
}

/// Accepts that failed: counted each, logged now and then.
struct Failures {
    counters: Counters,
    logged: Cell<Option<Instant>>,
}

/// Failures are logged so often at most: they come by thousands where means run short.
const LOG_AGAIN: Duration = Duration::from_secs(1);

impl Failures {
    fn new(counters: Counters) -> Failures {
        Failures { counters, logged: Cell::default() }
    }

    /// What the error asks for.
    fn policy(&self, error: &io::Error) -> ErrorPolicy {
        let policy = accept_policy(error);
        let word = match policy {
            ErrorPolicy::RetryAtOnce => "retried_at_once",
            ErrorPolicy::RetryAfterPause | ErrorPolicy::RetryFew => "retried_after_pause",
            ErrorPolicy::GiveUp => "given_up",
        };
        self.counters.add("accept_errors", word);
        if self.logged.get().is_none_or(|at| at.elapsed() >= LOG_AGAIN) {
            self.logged.set(Some(Instant::now()));
            tracing::warn!(policy = word, "accept failed: {error}");
        }
        policy
    }
}
