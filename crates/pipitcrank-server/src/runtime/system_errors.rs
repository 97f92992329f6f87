//! What to do where a system call on a listener or a new socket fails: one policy for each class of error.

use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::{Instant, sleep};

/// What a failed call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// It concerned this one attempt: the next may go through, now.
    RetryAtOnce,
    /// Something of this machine's runs short, and passes as others give it back.
    RetryAfterPause,
    /// Once or twice more, then it counts: the way may be gone.
    RetryFew,
    GiveUp,
}

/// Between two attempts where something runs short.
pub const PAUSE: Duration = Duration::from_millis(5);
/// Attempts in all where the way may be gone.
pub const FEW: u32 = 3;

fn errno(error: &io::Error) -> Option<Errno> {
    Errno::from_io_error(error)
}

/// Of an accept. A listener that works otherwise has errors of the connection that was next, and those of short means.
pub fn of_accept(error: &io::Error) -> Policy {
    match errno(error) {
        Some(Errno::BADF | Errno::INVAL | Errno::NOTSOCK | Errno::FAULT) => Policy::GiveUp,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Policy::RetryAfterPause,
        _ => Policy::RetryAtOnce,
    }
}

/// Of opening a connection, binding or opening a file: its own limits, ports or memory run short, or a signal came between.
pub fn of_open(error: &io::Error) -> Policy {
    match errno(error) {
        Some(Errno::INTR) => Policy::RetryAtOnce,
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::AGAIN
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => Policy::RetryAfterPause,
        Some(Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN | Errno::IO) => Policy::RetryFew,
        _ => Policy::GiveUp,
    }
}

/// Makes the attempt until it succeeds, or its failure counts. The caller bounds the time.
pub async fn retried<T, F: Future<Output = io::Result<T>>>(mut attempt: impl FnMut() -> F) -> io::Result<T> {
    let mut made = 0;
    loop {
        let error = match attempt().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        made += 1;
        match of_open(&error) {
            Policy::GiveUp => return Err(error),
            Policy::RetryFew if made >= FEW => return Err(error),
            // Other tasks go on between, also where it never succeeds.
            Policy::RetryAtOnce => tokio::task::yield_now().await,
            Policy::RetryFew | Policy::RetryAfterPause => sleep(PAUSE).await,
        }
    }
}

/// Whether an error is of a kind that passes, so that who can't go on without waits for that.
pub fn passes(error: &io::Error) -> bool {
    of_open(error) != Policy::GiveUp
}

/// The same as `retried`, for as long as told, whatever of it passes: what a process can't start without.
pub async fn waited_for<T, F: Future<Output = io::Result<T>>>(
    limit: Duration,
    mut attempt: impl FnMut() -> F,
) -> io::Result<T> {
    let until = Instant::now() + limit;
    loop {
        match attempt().await {
            Err(e) if passes(&e) && Instant::now() < until => sleep(PAUSE).await,
            ended => return ended,
        }
    }
}

#[cfg(test)]
mod tests;
