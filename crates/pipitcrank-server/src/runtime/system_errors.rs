//! What to do where a system call on a listener, a file or a new socket fails: one policy for each class of error.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::{Instant, sleep};

/// Pause between two attempts while a resource runs short.
pub const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Attempts in all where the network may be gone.
const UNREACHABLE_ATTEMPTS: u32 = 3;

/// What a failed call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorPolicy {
    /// It concerned this one attempt: the next may succeed, now.
    RetryAtOnce,
    /// A resource of this machine runs short, until others give it back.
    RetryAfterPause,
    /// To be repeated once or twice: the network may be gone.
    RetryFew,
    /// It will fail again.
    GiveUp,
}

/// Policy for an error of `accept`. A working listener reports errors of the connection that was next, and shortages.
pub fn accept_policy(error: &io::Error) -> ErrorPolicy {
    match Errno::from_io_error(error) {
        Some(Errno::BADF | Errno::INVAL | Errno::NOTSOCK | Errno::FAULT) => ErrorPolicy::GiveUp,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => ErrorPolicy::RetryAfterPause,
        _ => ErrorPolicy::RetryAtOnce,
    }
}

/// Policy for an error of opening a connection, binding, or opening a file: limits, ports or memory run short, or a
/// signal interrupted the call.
pub fn open_policy(error: &io::Error) -> ErrorPolicy {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorPolicy::RetryAtOnce,
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::AGAIN
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => ErrorPolicy::RetryAfterPause,
        Some(Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN | Errno::IO) => ErrorPolicy::RetryFew,
        _ => ErrorPolicy::GiveUp,
    }
}

/// What follows a failed attempt.
enum NextAttempt {
    Never,
    AtOnce,
    AfterPause,
}

/// Attempts to open something, until an error counts.
struct OpenRetry {
    failures: u32,
    /// Until then any error that may pass is waited out; without it an unreachable network counts soon.
    until: Option<Instant>,
}

impl OpenRetry {
    fn new(limit: Option<Duration>) -> OpenRetry {
        OpenRetry { failures: 0, until: limit.map(|limit| Instant::now() + limit) }
    }

    fn after(&mut self, error: &io::Error) -> NextAttempt {
        self.failures += 1;
        match (open_policy(error), self.until) {
            (ErrorPolicy::GiveUp, _) => NextAttempt::Never,
            (_, Some(until)) if Instant::now() < until => NextAttempt::AfterPause,
            (_, Some(_)) => NextAttempt::Never,
            (ErrorPolicy::RetryFew, None) if self.failures >= UNREACHABLE_ATTEMPTS => NextAttempt::Never,
            (ErrorPolicy::RetryAtOnce, None) => NextAttempt::AtOnce,
            (ErrorPolicy::RetryFew | ErrorPolicy::RetryAfterPause, None) => NextAttempt::AfterPause,
        }
    }

    async fn run<T, F: Future<Output = io::Result<T>>>(
        mut self,
        mut attempt: impl FnMut() -> F,
    ) -> io::Result<T> {
        loop {
            let error = match attempt().await {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            match self.after(&error) {
                NextAttempt::Never => return Err(error),
                // Other tasks run in between, also where it never succeeds.
                NextAttempt::AtOnce => tokio::task::yield_now().await,
                NextAttempt::AfterPause => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// Repeats an attempt until it succeeds or its error counts. The caller bounds the time.
pub async fn retry_open<T, F: Future<Output = io::Result<T>>>(attempt: impl FnMut() -> F) -> io::Result<T> {
    OpenRetry::new(None).run(attempt).await
}

/// Repeats an attempt for up to `limit`, waiting out any error that may pass: for what a process can't start without.
pub async fn retry_open_for<T, F: Future<Output = io::Result<T>>>(
    limit: Duration,
    attempt: impl FnMut() -> F,
) -> io::Result<T> {
    OpenRetry::new(Some(limit)).run(attempt).await
}

/// The same as [`retry_open_for`] before a runtime is there: it blocks the thread.
pub fn retry_open_for_blocking<T>(
    limit: Duration,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut retry = OpenRetry::new(Some(limit));
    loop {
        let error = match attempt() {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match retry.after(&error) {
            NextAttempt::Never => return Err(error),
            NextAttempt::AtOnce | NextAttempt::AfterPause => std::thread::sleep(RETRY_PAUSE),
        }
    }
}

#[cfg(test)]
mod tests;
