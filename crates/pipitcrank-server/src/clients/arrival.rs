//! Properties of a request that the connection passes to the HTTP service along with the request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without bytes behind a request after which the client counts as still connected. While a client's bytes arrive, its
/// close may be waiting behind them, in its own system.
const TAIL_QUIET_TIME: Duration = Duration::from_millis(20);

/// How far a request has been received.
#[derive(Default)]
pub struct ReceiveProgress {
    is_chunked: bool,
    is_complete: AtomicBool,
    completed: Notify,
    /// When bytes behind the request were last read; `None` if there were none.
    tail_read_at: Mutex<Option<Instant>>,
}

impl ReceiveProgress {
    /// Creates the progress of a request of which the body has not been read.
    pub fn new(is_chunked: bool) -> ReceiveProgress {
        ReceiveProgress { is_chunked, ..ReceiveProgress::default() }
    }

    /// Marks the body as read completely.
    pub fn set_complete(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
        self.completed.notify_one();
    }

    /// Whether the body has been read completely.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }

    /// Completes once the body has been read completely.
    pub async fn wait_until_complete(&self) {
        while !self.is_complete() {
            self.completed.notified().await;
        }
    }

    /// Records that bytes behind the request were read, or that there may be unread ones.
    pub fn record_tail(&self, now: Instant) {
        *self.tail_read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Completes once the bytes behind the request have been read, so that a close behind them has been noticed.
    pub async fn wait_until_tail_is_read(&self) {
        if self.is_chunked {
            // The connection reads behind a chunked body only from now on.
            tokio::task::yield_now().await;
        }
        while let Some(quiet_at) = self.tail_quiet_at().filter(|&at| at > Instant::now()) {
            tokio::time::sleep_until(quiet_at).await;
        }
    }

    fn tail_quiet_at(&self) -> Option<Instant> {
        let read_at = *self.tail_read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.map(|at| at + TAIL_QUIET_TIME)
    }
}

/// How a request arrived.
#[derive(Clone)]
pub struct Arrival {
    /// Deadline for receiving the whole request.
    pub deadline: Instant,
    /// Whether the head has both framing headers, so that two parsers may disagree about the end of the request.
    pub ambiguous_framing: bool,
    /// How far the request has been received; the HTTP service marks it once it has read the whole body.
    pub progress: Arc<ReceiveProgress>,
    /// Upper bound of the request's time in the accept queue.
    pub accept_wait: Duration,
}
