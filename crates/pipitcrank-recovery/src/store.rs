//! One file on disk, in an embedded database (`redb`). A thread of its own writes, so that serving never waits for a disk.
//!
//! Two values are kept. The *voter's memory* is what a voter must not forget: nothing that it says is sent before the
//! memory is synced. The *learned state* is written now and then; losing some of it costs nothing but time.
//!
//! | fault | what is done |
//! | --- | --- |
//! | in use by another process; of another node or version | the file is left as it is, and nothing is kept |
//! | corrupt | the file is renamed, and a new one begun |
//! | not writable (read-only, full, missing directory) | pending values wait, tried again each second |
//!
//! In no case is half of a file used, and none ends serving.
//!
//! Why `redb`: one file, synced commits, no thread and no log of its own. A plain file that is renamed into place can't
//! tell a truncated file from a whole one, and does not keep two processes apart; `fjall` is made for a high rate of
//! writes, and needs a directory and threads.

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

/// The database's cache, in bytes: all values take some ten thousand.
const CACHE_SIZE: usize = 512 * 1024;

/// One node's store. Dropped, it writes what is pending and closes the file.
pub struct Store {
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
    last_sequence: u64,
}

impl Store {
    /// Opens the file at `path`, of the node `owner`, from a thread of its own. `notify` is called from there each time
    /// that something was synced, or failed.
    pub fn open(path: PathBuf, owner: String, notify: impl Fn() + Send + 'static) -> Store {
        let opener: DatabaseOpener =
            Box::new(|path| Database::builder().set_cache_size(CACHE_SIZE).create(path));
        Store::open_with(opener, path, owner, notify)
    }

    /// Like [`Store::open`], with another way to open the database.
    pub fn open_with(
        opener: DatabaseOpener,
        path: PathBuf,
        owner: String,
        notify: impl Fn() + Send + 'static,
    ) -> Store {
        let shared = Arc::new(Shared::default());
        let writers = shared.clone();
        let file = DatabaseFile::new(opener, path, owner);
        let run = move || writer::run(file, &writers, &notify);
        let spawned = std::thread::Builder::new().name("store".into()).spawn(run);
        if let Err(error) = &spawned {
            shared.lock().opened = Some(Err(StoreError::NotWritable(error.to_string())));
        }
        Store { shared, writer: spawned.ok(), last_sequence: 0 }
    }

    /// The values found on opening, waited for no longer than `timeout`.
    pub fn stored_values(&self, timeout: Duration) -> Result<StoredValues, StoreError> {
        self.shared.wait_until_opened(Instant::now() + timeout)
    }

    /// Queues a voter's memory, in place of one that is still pending. Returns the sequence number that
    /// [`Store::synced_sequence`] reaches once it is synced.
    pub fn save_voter_memory(&mut self, bytes: Vec<u8>) -> u64 {
        self.last_sequence += 1;
        self.shared.queue_voter_memory(self.last_sequence, bytes);
        self.last_sequence
    }

    /// Queues a learned state, in place of one that is still pending.
    pub fn save_learned_state(&mut self, bytes: Vec<u8>) {
        self.shared.queue_learned_state(bytes);
    }

    /// Sequence number of the last voter's memory that is synced.
    pub fn synced_sequence(&self) -> u64 {
        self.shared.lock().synced_sequence
    }

    /// Whether writing fails, and for how long something has been pending.
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
