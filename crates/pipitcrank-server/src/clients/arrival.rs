//! What the connection tells the HTTP service of a request beside its text.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Signals that a request's body has been read whole.
#[derive(Default)]
pub struct BodyCompletion {
    is_complete: AtomicBool,
    completed: Notify,
}

impl BodyCompletion {
    /// The body has been read whole.
    pub fn set(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
        self.completed.notify_one();
    }

    /// Ends when it has been.
    pub async fn wait(&self) {
        while !self.is_complete.load(Ordering::Relaxed) {
            self.completed.notified().await;
        }
    }
}

/// How a request arrived.
#[derive(Clone)]
pub struct Arrival {
    /// By then it has to be here whole.
    pub deadline: Instant,
    /// It has both a length and chunks, so that two readers may not agree on where it ends.
    pub ambiguous_framing: bool,
    /// To be set when its body is whole.
    pub body: Arc<BodyCompletion>,
    /// For how long it may have waited for its connection to be accepted.
    pub accept_wait: Duration,
}
