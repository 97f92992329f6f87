//! Persistent store of a node: one file of the embedded database `redb`. A dedicated thread writes the file, so that
//! queries never wait for the disk.
//!
//! The store holds two values. The *voter state* must not be lost: a voter sends a message only after the state that
//! the message depends on is synced. The *last known state* holds the learned state, the decision and the members; it
//! is written at intervals, and the loss of a write only prolongs the learning after a restart.
//!
//! | fault | handling |
//! | --- | --- |
//! | the file is open in another process | the file stays unchanged; pending writes are retried every second |
//! | the file belongs to another node, or has another format version | the file stays unchanged; nothing is stored |
//! | the file is corrupt | the file is renamed, and a new one is created |
//! | the file is not writable (read-only, disk full, missing directory) | pending writes are retried every second |
//!
//! A file is used as a whole or not at all, and no fault of the store stops the node from serving.
//!
//! `redb` was chosen because it needs a single file, syncs its commits, and runs no threads or logs of its own. A plain
//! file that is replaced by renaming neither detects truncation nor excludes a second process. `fjall` is designed for
//! high write rates, and needs a directory and threads.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use redb::Database;

mod database_file;
mod error;
mod format;
mod shared;
mod writer;

use database_file::DatabaseFile;
pub use database_file::{DatabaseOpener, StoredValues};
pub use error::{Corruption, StoreError};
pub use format::FORMAT_VERSION;
use shared::Shared;
pub use shared::WriteStatus;

/// Size of the database's cache. All stored values together take about 10 kB.
const CACHE_BYTES: usize = 512 * 1024;

/// Store of one node. Dropping it writes the pending values and closes the file.
pub struct Store {
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
    last_sequence: u64,
}

impl Store {
    /// Starts a thread that opens the file at `path` for the node `owner`. The thread calls `notify` after opening the
    /// file, successfully or not, and after each successful or failed write.
    pub fn open(path: PathBuf, owner: String, notify: impl Fn() + Send + 'static) -> Store {
        let opener: DatabaseOpener =
            Box::new(|path| Database::builder().set_cache_size(CACHE_BYTES).create(path));
        Store::open_with(opener, path, owner, notify)
    }

    /// Like [`Store::open`], with a custom function that opens the database.
    pub fn open_with(
        opener: DatabaseOpener,
        path: PathBuf,
        owner: String,
        notify: impl Fn() + Send + 'static,
    ) -> Store {
        let shared = Arc::new(Shared::default());
        let writer_shared = shared.clone();
        let file = DatabaseFile::new(opener, path, owner);
        let run = move || writer::run(file, &writer_shared, &notify);
        let spawned = std::thread::Builder::new().name("store".into()).spawn(run);
        if let Err(error) = &spawned {
            shared.lock().opened = Some(Err(StoreError::NotWritable(error.to_string())));
        }
        Store { shared, writer: spawned.ok(), last_sequence: 0 }
    }

    /// Returns the values read when the file was opened. Waits at most `timeout` for the file to be opened.
    pub fn stored_values(&self, timeout: Duration) -> Result<StoredValues, StoreError> {
        self.shared.wait_until_opened(Instant::now() + timeout)
    }

    /// Queues a voter state, which replaces a pending one. Returns the sequence number that [`Store::synced_sequence`]
    /// reaches once the state is synced.
    pub fn save_voter_state(&mut self, bytes: Vec<u8>) -> u64 {
        self.last_sequence += 1;
        self.shared.queue_voter_state(self.last_sequence, bytes);
        self.last_sequence
    }

    /// Queues a last known state, which replaces a pending one.
    pub fn save_last_known_state(&mut self, bytes: Vec<u8>) {
        self.shared.queue_last_known_state(bytes);
    }

    /// Sequence number of the last synced voter state.
    pub fn synced_sequence(&self) -> u64 {
        self.shared.lock().synced_sequence
    }

    /// Error of the last write, and how long values have been pending.
    pub fn write_status(&self) -> WriteStatus {
        self.shared.lock().write_status()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.shut_down();
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

#[cfg(test)]
mod tests;
