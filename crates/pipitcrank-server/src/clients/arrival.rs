//! Properties of a request that the connection passes to the HTTP service along with the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Signals that a request's body has been read completely.
#[derive(Default)]
pub struct BodyCompletion {
    is_complete: AtomicBool,
    completed: Notify,
}

impl BodyCompletion {
    /// Marks the body as read completely.
    pub fn set(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
        self.completed.notify_one();
    }

    /// Whether the body has been read completely.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }

    /// Completes once the body has been read completely.
    pub async fn wait(&self) {
        while !self.is_complete() {
            self.completed.notified().await;
        }
    }
}

/// How a request arrived.
#[derive(Clone)]
pub struct Arrival {
    /// Deadline for receiving the whole request.
    pub deadline: Instant,
    /// Whether the head has both framing headers, so that two parsers may disagree about the end of the request.
    pub ambiguous_framing: bool,
    /// Set by the HTTP service once it has read the whole body.
    pub body: Arc<BodyCompletion>,
    /// Upper bound of the request's time in the accept queue.
    pub accept_wait: Duration,
}
