//! Writer thread of the store: opens the file, then writes pending values until the store shuts down.

use std::time::Duration;

use super::database_file::DatabaseFile;
use super::error::StoreError;
use super::shared::Shared;

/// Delay before a failed write is retried. A disk that is full for a moment blocks a voter for one second.
const RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Runs until the store shuts down. Calls `notify` after the attempt to open the file and after each attempt to write.
pub fn run(mut file: DatabaseFile, shared: &Shared, notify: &dyn Fn()) {
    let opened = file.open();
    let unusable = opened.as_ref().err().is_some_and(StoreError::is_permanent);
    shared.set_opened(opened);
    notify();
    while let Some(pending) = shared.wait_for_pending() {
        if unusable {
            if shared.discard_pending() {
                continue;
            }
            return;
        }
        let voter_state = pending.voter_state.as_ref().map(|state| &state.bytes[..]);
        let written = file.write(voter_state, pending.last_known_state.as_deref());
        let failed = written.is_err();
        match written {
            Ok(()) => shared.set_written(&pending),
            Err(error) => shared.set_error(error),
        }
        notify();
        if failed && !shared.wait_before_retry(RETRY_DELAY) {
            return;
        }
    }
}
