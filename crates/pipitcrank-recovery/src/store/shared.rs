//! State shared between the store's owner and the writer thread.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::database_file::StoredValues;
use super::error::StoreError;

/// Error of the last write, and how long values have been pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteStatus {
    /// Error of opening the file or of the last write; `None` after a successful write.
    pub error: Option<StoreError>,
    /// How long values have been pending; zero without pending values.
    pub pending_for: Duration,
}

/// Encoded voter state with its sequence number.
#[derive(Clone)]
pub struct SequencedValue {
    pub sequence: u64,
    pub bytes: Vec<u8>,
}

/// Values to be written. Only the newest value of each kind is kept, which bounds the size of the queue.
#[derive(Clone, Default)]
pub struct PendingWrites {
    pub voter_state: Option<SequencedValue>,
    pub last_known_state: Option<Vec<u8>>,
}

impl PendingWrites {
    pub fn is_empty(&self) -> bool {
        self.voter_state.is_none() && self.last_known_state.is_none()
    }

    /// Removes the values of `written`, except those that a newer value has replaced.
    fn remove_written(&mut self, written: &PendingWrites) {
        if let Some(synced) = &written.voter_state {
            self.voter_state = self.voter_state.take().filter(|newer| newer.sequence > synced.sequence);
        }
        self.last_known_state =
            self.last_known_state.take().filter(|newer| Some(newer) != written.last_known_state.as_ref());
    }
}

#[derive(Default)]
pub struct State {
    pub pending: PendingWrites,
    pub synced_sequence: u64,
    pub error: Option<StoreError>,
    pub pending_since: Option<Instant>,
    /// Result of opening the file; `None` while the file is being opened.
    pub opened: Option<Result<StoredValues, StoreError>>,
    pub shutting_down: bool,
}

impl State {
    pub fn write_status(&self) -> WriteStatus {
        let pending_for = self.pending_since.map_or(Duration::ZERO, |since| since.elapsed());
        WriteStatus { error: self.error.clone(), pending_for }
    }
}

/// Shared state, with a condition variable for its changes.
#[derive(Default)]
pub struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Functions for the store's owner.

    pub fn queue_voter_state(&self, sequence: u64, bytes: Vec<u8>) {
        self.queue(|pending| pending.voter_state = Some(SequencedValue { sequence, bytes }));
    }

    pub fn queue_last_known_state(&self, bytes: Vec<u8>) {
        self.queue(|pending| pending.last_known_state = Some(bytes));
    }

    fn queue(&self, set: impl FnOnce(&mut PendingWrites)) {
        let mut state = self.lock();
        set(&mut state.pending);
        state.pending_since.get_or_insert(Instant::now());
        self.changed.notify_all();
    }

    /// Waits until `deadline` for the result of opening the file.
    pub fn wait_until_opened(&self, deadline: Instant) -> Result<StoredValues, StoreError> {
        let mut state = self.lock();
        loop {
            if let Some(opened) = state.opened.clone() {
                return opened;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(StoreError::OpenTimeout);
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    pub fn shut_down(&self) {
        self.lock().shutting_down = true;
        self.changed.notify_all();
    }

    // Functions for the writer thread.

    pub fn set_opened(&self, opened: Result<StoredValues, StoreError>) {
        let mut state = self.lock();
        state.error = opened.as_ref().err().cloned();
        state.opened = Some(opened);
        self.changed.notify_all();
    }

    /// Waits for pending values. Returns `None` once the store shuts down and no value is pending.
    pub fn wait_for_pending(&self) -> Option<PendingWrites> {
        let mut state = self.lock();
        while state.pending.is_empty() && !state.shutting_down {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        (!state.pending.is_empty()).then(|| state.pending.clone())
    }

    /// Discards the pending values, so that they are not reported as pending. Returns whether the store keeps running.
    pub fn discard_pending(&self) -> bool {
        let mut state = self.lock();
        state.pending = PendingWrites::default();
        !state.shutting_down
    }

    pub fn set_written(&self, written: &PendingWrites) {
        let mut state = self.lock();
        if let Some(synced) = &written.voter_state {
            state.synced_sequence = synced.sequence;
        }
        state.pending.remove_written(written);
        state.error = None;
        state.pending_since = (!state.pending.is_empty()).then(Instant::now);
    }

    pub fn set_error(&self, error: StoreError) {
        self.lock().error = Some(error);
    }

    /// Waits for `delay`, or until the store shuts down. Returns whether the write is to be retried: this is not the case
    /// if the shutdown began before the wait.
    pub fn wait_before_retry(&self, delay: Duration) -> bool {
        let state = self.lock();
        if state.shutting_down {
            return false;
        }
        let _ = self.changed.wait_timeout_while(state, delay, |state| !state.shutting_down);
        true
    }
}
