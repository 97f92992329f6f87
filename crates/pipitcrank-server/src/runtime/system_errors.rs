//! Policies for failed system calls on listeners, files and new sockets, by class of error.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::{Instant, sleep};

/// Pause between two attempts during a resource shortage.
pub const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Total number of attempts while the network is unreachable.
const UNREACHABLE_ATTEMPTS: u32 = 3;

/// How to handle a failed system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorPolicy {
    /// The error concerns this attempt only; the next may succeed immediately.
    RetryAtOnce,
    /// A local resource is exhausted until others release it.
    RetryAfterPause,
    /// The network may be down; the call is retried a few times.
    RetryFew,
    /// The error is permanent.
    GiveUp,
}

/// Policy for an error of `accept`. A working listener also reports errors of the accepted connection, and resource shortages.
pub fn accept_policy(error: &io::Error) -> ErrorPolicy {
    match Errno::from_io_error(error) {
        Some(Errno::BADF | Errno::INVAL | Errno::NOTSOCK | Errno::FAULT) => ErrorPolicy::GiveUp,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => ErrorPolicy::RetryAfterPause,
        _ => ErrorPolicy::RetryAtOnce,
    }
}

/// Policy for an error of connecting, binding or opening a file. Errors are transient if limits, ports or memory are
/// exhausted, a signal interrupted the call, or the network may be down.
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

/// What to do after a failed attempt.
enum NextAttempt {
    Never,
    AtOnce,
    AfterPause,
}

/// Retry state of an open call.
struct OpenRetry {
    failures: u32,
    /// End of the time in which all transient errors are retried. Without it, an unreachable network is reported after
    /// `UNREACHABLE_ATTEMPTS`.
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
                // Lets other tasks run between the attempts, even if none succeeds.
                NextAttempt::AtOnce => tokio::task::yield_now().await,
                NextAttempt::AfterPause => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// Retries an attempt until it succeeds or its error is not transient. The caller bounds the time.
pub async fn retry_open<T, F: Future<Output = io::Result<T>>>(attempt: impl FnMut() -> F) -> io::Result<T> {
    OpenRetry::new(None).run(attempt).await
}

/// Retries an attempt for up to `limit` while its errors are transient. Used for resources without which a process can't start.
pub async fn retry_open_for<T, F: Future<Output = io::Result<T>>>(
    limit: Duration,
    attempt: impl FnMut() -> F,
) -> io::Result<T> {
    OpenRetry::new(Some(limit)).run(attempt).await
}

/// Blocking version of [`retry_open_for`], for use before the runtime is started.
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
