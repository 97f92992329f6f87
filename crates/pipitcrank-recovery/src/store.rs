//! One file on disk, in an embedded store (`redb`: one file, synced commits, no thread and no log of its own; a plain file
//! renamed into place would do for what is kept, not for telling torn from whole, or for two processes at one file; `fjall`
//! is made for much that is written and keeps a directory and threads). A thread of its own writes: whoever serves never
//! waits for a disk.
//!
//! Two things are kept. *Promises* are what a voter must not forget: nothing it says goes out before they are synced.
//! *Beliefs* are what was known last, written now and then; losing some of it costs nothing but time.
//!
//! ```text
//! in use by another process, another copy's, another version's --> left as it is, nothing kept
//! torn                                                          --> put aside under another name, begun anew
//! can't be written (read-only, full, gone)                      --> what is to be kept waits, tried again each second
//! ```
//!
//! In no case is half of it used, and in none does serving end.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use redb::{Database, DatabaseError, ReadableDatabase, StorageError, TableDefinition};

/// Raised with each change of the file's form.
pub const VERSION: u16 = 1;
/// What can't be written is tried again so often: a disk that is full for a moment costs a voter a second.
const AGAIN: Duration = Duration::from_millis(1000);
/// The store's own cache: what is kept is some ten thousand bytes.
const CACHE: usize = 512 * 1024;
/// Longest value taken: a snapshot of the most replicas told and its head.
const LONGEST: usize = 8 << 20;

const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
const HEAD: &str = "head";
const PROMISES: &str = "promises";
const BELIEFS: &str = "beliefs";

/// Why a store is not gone by, or not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("another process has it open")]
    InUse,
    #[error("it is the store of '{0}'")]
    OtherOwner(String),
    #[error("its form is version {0}, not {VERSION}")]
    Version(u16),
    #[error("it can't be read: {0}")]
    Torn(String),
    #[error("it can't be written: {0}")]
    NotWritable(String),
    #[error("it did not open in time")]
    Slow,
}

impl Fault {
    /// For a counter.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::InUse => "in_use",
            Fault::OtherOwner(_) => "other_owner",
            Fault::Version(_) => "version",
            Fault::Torn(_) => "torn",
            Fault::NotWritable(_) => "not_writable",
            Fault::Slow => "slow",
        }
    }

    /// Whether nothing will be kept for as long as this process runs.
    fn is_final(&self) -> bool {
        matches!(self, Fault::OtherOwner(_) | Fault::Version(_))
    }
}

/// What a process before this one kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub promises: Option<Vec<u8>>,
    pub beliefs: Option<Vec<u8>>,
}

/// Opens the file; in tests, one that fails.
pub type Opener = Box<dyn FnMut(&Path) -> Result<Database, DatabaseError> + Send>;

#[derive(Default)]
struct Slots {
    /// The newest that is to be kept, and its number; bounded, as only the newest counts.
    promises: Option<(u64, Vec<u8>)>,
    beliefs: Option<Vec<u8>>,
    /// Number of the newest promises that are synced.
    synced: u64,
    /// Since when something waits that could not be written.
    failing: Option<Fault>,
    waits_since: Option<Instant>,
    opened: Option<Result<Found, Fault>>,
    ends: bool,
}

#[derive(Default)]
struct Shared {
    slots: Mutex<Slots>,
    bell: Condvar,
}

impl Shared {
    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One copy's store. Dropped, it writes what waits and lets go of the file.
pub struct Store {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
    next: u64,
}

impl Store {
    /// Opens the file at `path`, of the copy `owner`, from a thread of its own. `told` is called from there each time that
    /// something is synced or fails.
    pub fn open(path: PathBuf, owner: String, told: impl Fn() + Send + 'static) -> Store {
        let opener: Opener = Box::new(|path| Database::builder().set_cache_size(CACHE).create(path));
        Store::open_by(opener, path, owner, told)
    }

    pub fn open_by(opener: Opener, path: PathBuf, owner: String, told: impl Fn() + Send + 'static) -> Store {
        let shared = Arc::new(Shared::default());
        let theirs = shared.clone();
        let writing = Writing { opener, path, owner, database: None };
        let spawned =
            std::thread::Builder::new().name("store".into()).spawn(move || run(writing, &theirs, &told));
        if let Err(wrong) = &spawned {
            let mut slots = shared.slots();
            slots.opened = Some(Err(Fault::NotWritable(wrong.to_string())));
        }
        Store { shared, thread: spawned.ok(), next: 0 }
    }

    /// What was found, waited for no longer than `within`.
    pub fn found(&self, within: Duration) -> Result<Found, Fault> {
        let until = Instant::now() + within;
        let mut slots = self.shared.slots();
        loop {
            if let Some(found) = slots.opened.clone() {
                return found;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Fault::Slow);
            }
            slots = match self.shared.bell.wait_timeout(slots, left) {
                Ok((slots, _)) => slots,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    /// To be synced; the number is that which `synced` reaches then.
    pub fn keep(&mut self, promises: Vec<u8>) -> u64 {
        self.next += 1;
        let mut slots = self.shared.slots();
        slots.promises = Some((self.next, promises));
        slots.waits_since.get_or_insert(Instant::now());
        self.shared.bell.notify_all();
        self.next
    }

    pub fn believe(&mut self, beliefs: Vec<u8>) {
        let mut slots = self.shared.slots();
        slots.beliefs = Some(beliefs);
        slots.waits_since.get_or_insert(Instant::now());
        self.shared.bell.notify_all();
    }

    pub fn synced(&self) -> u64 {
        self.shared.slots().synced
    }

    /// What keeps it from being written, and for how long something has waited.
    pub fn failing(&self) -> (Option<Fault>, Duration) {
        let slots = self.shared.slots();
        (slots.failing.clone(), slots.waits_since.map_or(Duration::ZERO, |s| s.elapsed()))
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.slots().ends = true;
        self.shared.bell.notify_all();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Writing {
    opener: Opener,
    path: PathBuf,
    owner: String,
    database: Option<Database>,
}

fn run(mut writing: Writing, shared: &Shared, told: &dyn Fn()) {
    let found = writing.begin();
    let gone = found.as_ref().err().is_some_and(Fault::is_final);
    {
        let mut slots = shared.slots();
        slots.failing = found.as_ref().err().cloned();
        slots.opened = Some(found);
        shared.bell.notify_all();
    }
    told();
    loop {
        let mut slots = shared.slots();
        while slots.promises.is_none() && slots.beliefs.is_none() && !slots.ends {
            slots = shared.bell.wait(slots).unwrap_or_else(PoisonError::into_inner);
        }
        let (promises, beliefs, ends) = (slots.promises.clone(), slots.beliefs.clone(), slots.ends);
        drop(slots);
        if promises.is_none() && beliefs.is_none() || gone {
            if ends {
                return;
            }
            // Nothing will ever be kept: what comes is let go of, so that it does not look as if it waited.
            let mut slots = shared.slots();
            (slots.promises, slots.beliefs) = (None, None);
            continue;
        }
        let written = writing.write(promises.as_ref().map(|p| &p.1[..]), beliefs.as_deref());
        let failed = written.is_err();
        {
            let mut slots = shared.slots();
            match written {
                Ok(()) => {
                    if let Some((number, _)) = &promises {
                        slots.synced = *number;
                        slots.promises = slots.promises.take().filter(|(newer, _)| newer > number);
                    }
                    slots.beliefs = slots.beliefs.take().filter(|b| Some(b) != beliefs.as_ref());
                    slots.failing = None;
                    let waits = slots.promises.is_some() || slots.beliefs.is_some();
                    slots.waits_since = waits.then(Instant::now);
                }
                Err(fault) => slots.failing = Some(fault),
            }
        }
        told();
        if failed {
            let slots = shared.slots();
            if slots.ends {
                return;
            }
            let _ = shared.bell.wait_timeout_while(slots, AGAIN, |s| !s.ends);
        }
    }
}

/// With its sum before it: the store checks its own pages only after a crash.
fn summed(bytes: &[u8]) -> Vec<u8> {
    [&crc32fast::hash(bytes).to_be_bytes()[..], bytes].concat()
}

fn unsummed(bytes: &[u8]) -> Option<Vec<u8>> {
    let (sum, rest) = bytes.split_first_chunk::<4>()?;
    (rest.len() <= LONGEST && crc32fast::hash(rest) == u32::from_be_bytes(*sum)).then(|| rest.to_vec())
}

fn storage(wrong: &StorageError) -> Fault {
    match wrong {
        StorageError::Corrupted(what) => Fault::Torn(what.clone()),
        wrong => Fault::NotWritable(wrong.to_string()),
    }
}

fn not_writable(wrong: impl std::fmt::Display) -> Fault {
    Fault::NotWritable(wrong.to_string())
}

impl Writing {
    /// Opens the file, and reads what it holds. A torn one is put aside.
    fn begin(&mut self) -> Result<Found, Fault> {
        match self.read() {
            Err(Fault::Torn(what)) => {
                self.database = None;
                let aside = self.path.with_added_extension("torn");
                std::fs::rename(&self.path, &aside).map_err(not_writable)?;
                self.read()?;
                Err(Fault::Torn(format!("{what}; it is now {}", aside.display())))
            }
            read => read,
        }
    }

    fn read(&mut self) -> Result<Found, Fault> {
        // The library takes some torn files for a fault of its own.
        let opener = std::panic::AssertUnwindSafe(&mut self.opener);
        let path = self.path.clone();
        let opened = std::panic::catch_unwind(move || {
            let opener = opener;
            (opener.0)(&path)
        });
        let database = match opened {
            Ok(Ok(database)) => database,
            Ok(Err(DatabaseError::DatabaseAlreadyOpen)) => return Err(Fault::InUse),
            Ok(Err(DatabaseError::UpgradeRequired(_) | DatabaseError::RepairAborted)) => {
                return Err(Fault::Torn("its form is an old one of the store's".into()));
            }
            Ok(Err(DatabaseError::Storage(StorageError::Io(wrong)))) => {
                // What is no such file at all comes back so.
                let foreign = matches!(
                    wrong.kind(),
                    std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
                );
                return Err(if foreign { Fault::Torn(wrong.to_string()) } else { not_writable(wrong) });
            }
            Ok(Err(DatabaseError::Storage(wrong))) => return Err(storage(&wrong)),
            Ok(Err(wrong)) => return Err(not_writable(wrong)),
            Err(_) => return Err(Fault::Torn("the store's library gave it up".into())),
        };
        let found = self.look(&database)?;
        self.database = Some(database);
        Ok(found)
    }

    fn look(&self, database: &Database) -> Result<Found, Fault> {
        let reading = database.begin_read().map_err(not_writable)?;
        let table = match reading.open_table(KEPT) {
            Ok(table) => table,
            // A new file.
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Found::default()),
            Err(wrong) => return Err(Fault::Torn(wrong.to_string())),
        };
        let value = |key: &str| -> Result<Option<Vec<u8>>, Fault> {
            let held = table.get(key).map_err(|wrong| storage(&wrong))?;
            let torn = || Fault::Torn(format!("the sum of '{key}' is off"));
            held.map(|bytes| unsummed(bytes.value()).ok_or_else(torn)).transpose()
        };
        let Some(head) = value(HEAD)? else { return Err(Fault::Torn("it has no head".into())) };
        let (version, owner) = head.split_first_chunk::<2>().ok_or(Fault::Torn("its head is cut".into()))?;
        let version = u16::from_be_bytes(*version);
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        if owner != self.owner.as_bytes() {
            return Err(Fault::OtherOwner(String::from_utf8_lossy(owner).into_owned()));
        }
        Ok(Found { promises: value(PROMISES)?, beliefs: value(BELIEFS)? })
    }

    /// All of it, or nothing; synced when it returns.
    fn write(&mut self, promises: Option<&[u8]>, beliefs: Option<&[u8]>) -> Result<(), Fault> {
        if self.database.is_none() {
            // Guards against another copy's file put in its place meanwhile: looked at again before it is written.
            self.begin()?;
        }
        let Some(database) = &self.database else { return Err(Fault::InUse) };
        let written = (|| {
            let writing = database.begin_write().map_err(not_writable)?;
            {
                let mut table = writing.open_table(KEPT).map_err(not_writable)?;
                let head = [&VERSION.to_be_bytes()[..], self.owner.as_bytes()].concat();
                let values = [(HEAD, Some(&head[..])), (PROMISES, promises), (BELIEFS, beliefs)];
                for (key, bytes) in values.into_iter().filter_map(|(key, bytes)| Some((key, bytes?))) {
                    table.insert(key, &summed(bytes)[..]).map_err(not_writable)?;
                }
            }
            writing.commit().map_err(not_writable)
        })();
        if written.is_err() {
            // After a failed write the library takes no other: the file is opened anew.
            self.database = None;
        }
        written
    }
}

#[cfg(test)]
mod tests;
