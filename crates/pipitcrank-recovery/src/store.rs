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
/// Longest value taken: a snapshot of the most leaves told and its head.
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
mod tests {
    use std::sync::atomic::{AtomicU8, Ordering};

    use redb::StorageBackend;
    use redb::backends::FileBackend;

    use super::*;

    const SOON: Duration = Duration::from_secs(10);

    fn open(path: &Path, owner: &str) -> (Store, Result<Found, Fault>) {
        let store = Store::open(path.to_path_buf(), owner.to_string(), || {});
        let found = store.found(SOON);
        (store, found)
    }

    fn wait(what: impl Fn() -> bool) {
        let until = Instant::now() + SOON;
        while !what() {
            assert!(Instant::now() < until, "in time");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn kept(path: &Path, promises: &[u8]) {
        let (mut store, _) = open(path, "n1");
        let number = store.keep(promises.to_vec());
        wait(|| store.synced() >= number);
    }

    #[test]
    fn what_is_kept_is_found_again_and_the_newest_of_it() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("store");
        let (mut store, found) = open(&path, "n1");
        assert_eq!(found, Ok(Found::default()));
        for n in 0..50u8 {
            store.keep(vec![n; 100]);
            store.believe(vec![n; 3]);
        }
        drop(store);
        let (store, found) = open(&path, "n1");
        assert_eq!(found, Ok(Found { promises: Some(vec![49; 100]), beliefs: Some(vec![49; 3]) }));
        assert_eq!(store.failing().0, None);
    }

    #[test]
    fn of_two_processes_at_one_store_the_second_keeps_nothing_until_the_first_lets_go() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("store");
        let (first, _) = open(&path, "n1");
        let (mut second, found) = open(&path, "n1");
        assert_eq!(found, Err(Fault::InUse));
        let number = second.keep(vec![1]);
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!((second.synced(), second.failing().0), (0, Some(Fault::InUse)));
        drop(first);
        wait(|| second.synced() >= number);
    }

    #[test]
    fn another_copys_and_another_versions_are_left_as_they_are() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("store");
        kept(&path, b"mine");
        let before = std::fs::read(&path).unwrap();
        let (mut store, found) = open(&path, "n2");
        assert_eq!(found, Err(Fault::OtherOwner("n1".into())));
        store.keep(b"other".to_vec());
        drop(store);
        assert_eq!(open(&path, "n1").1.unwrap().promises, Some(b"mine".to_vec()));
        assert_eq!(before.len(), std::fs::read(&path).unwrap().len());
        // As a later version would write it.
        let database = Database::create(&path).unwrap();
        let writing = database.begin_write().unwrap();
        let head = [&(VERSION + 1).to_be_bytes()[..], b"n1"].concat();
        writing.open_table(KEPT).unwrap().insert(HEAD, &summed(&head)[..]).unwrap();
        writing.commit().unwrap();
        drop(database);
        assert_eq!(open(&path, "n1").1, Err(Fault::Version(VERSION + 1)));
    }

    #[test]
    fn torn_and_foreign_files_are_put_aside_and_never_half_used() {
        let place = tempfile::tempdir().unwrap();
        for (n, spoil) in [0usize, 1, 2, 3, 4].into_iter().enumerate() {
            let path = place.path().join(format!("store{n}"));
            kept(&path, &[7; 2000]);
            let mut bytes = std::fs::read(&path).unwrap();
            match spoil {
                0 => bytes.truncate(bytes.len() / 2),
                1 => bytes.truncate(100),
                2 => bytes = b"this is a text, and long enough to be read as something".repeat(200),
                3 => bytes[..4096].fill(0),
                // One bit of what was kept.
                _ => {
                    let at = bytes.windows(64).position(|w| w == [7; 64]).unwrap();
                    bytes[at + 5] ^= 1;
                }
            }
            std::fs::write(&path, &bytes).unwrap();
            let (mut store, found) = open(&path, "n1");
            match found {
                Err(Fault::Torn(_)) => {
                    assert!(path.with_added_extension("torn").exists(), "put aside");
                }
                Err(Fault::NotWritable(_)) => {}
                other => panic!("spoilt by {spoil}: {other:?}"),
            }
            let number = store.keep(b"anew".to_vec());
            if store.failing().0.is_none() || spoil != 1 {
                wait(|| store.synced() >= number);
                drop(store);
                assert_eq!(open(&path, "n1").1.unwrap().promises, Some(b"anew".to_vec()));
            }
        }
    }

    /// A file on a disk that is full, or very slow, when told.
    #[derive(Debug)]
    struct Disk {
        file: FileBackend,
        state: Arc<AtomicU8>,
    }

    const FULL: u8 = 1;
    const SLOW: u8 = 2;

    impl Disk {
        fn at(&self) -> Result<(), std::io::Error> {
            match self.state.load(Ordering::Relaxed) {
                FULL => Err(std::io::Error::from(std::io::ErrorKind::StorageFull)),
                SLOW => {
                    std::thread::sleep(Duration::from_millis(100));
                    Ok(())
                }
                _ => Ok(()),
            }
        }
    }

    impl StorageBackend for Disk {
        fn len(&self) -> Result<u64, std::io::Error> {
            self.file.len()
        }
        fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
            self.file.read(offset, out)
        }
        fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
            self.at().and_then(|()| self.file.set_len(len))
        }
        fn sync_data(&self) -> Result<(), std::io::Error> {
            self.at().and_then(|()| self.file.sync_data())
        }
        fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
            self.at().and_then(|()| self.file.write(offset, data))
        }
        fn close(&self) -> Result<(), std::io::Error> {
            self.file.close()
        }
    }

    fn on_disk(path: &Path, state: &Arc<AtomicU8>) -> Store {
        let state = state.clone();
        let opener: Opener = Box::new(move |path| {
            let options =
                std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
            let file = FileBackend::new(options.map_err(StorageError::Io)?)?;
            Database::builder().create_with_backend(Disk { file, state: state.clone() })
        });
        Store::open_by(opener, path.to_path_buf(), "n1".into(), || {})
    }

    #[test]
    fn a_disk_that_fills_up_and_empties_again_loses_nothing_that_was_said_to_be_kept() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("store");
        let state = Arc::new(AtomicU8::new(0));
        let mut store = on_disk(&path, &state);
        assert_eq!(store.found(SOON), Ok(Found::default()));
        let first = store.keep(vec![1; 64]);
        wait(|| store.synced() >= first);
        state.store(FULL, Ordering::Relaxed);
        let second = store.keep(vec![2; 64]);
        wait(|| matches!(store.failing().0, Some(Fault::NotWritable(_))));
        assert_eq!(store.synced(), first, "what is not on the disk is not said to be");
        assert!(store.failing().1 > Duration::ZERO);
        state.store(0, Ordering::Relaxed);
        wait(|| store.synced() >= second);
        assert_eq!(store.failing(), (None, Duration::ZERO));
        drop(store);
        assert_eq!(open(&path, "n1").1.unwrap().promises, Some(vec![2; 64]));
    }

    #[test]
    fn a_slow_disk_holds_up_nobody_but_what_waits_for_it() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("store");
        kept(&path, &[1]);
        let state = Arc::new(AtomicU8::new(SLOW));
        let mut store = on_disk(&path, &state);
        let _ = store.found(SOON);
        let began = Instant::now();
        let last = (0..100).map(|n| store.keep(vec![n; 64])).last().unwrap();
        assert!(began.elapsed() < Duration::from_millis(100), "whoever keeps does not wait");
        wait(|| store.failing().1 > Duration::from_millis(50));
        state.store(0, Ordering::Relaxed);
        wait(|| store.synced() == last);
    }

    #[test]
    fn a_place_that_is_not_there_is_named_and_tried_again() {
        let place = tempfile::tempdir().unwrap();
        let path = place.path().join("not yet").join("store");
        let (mut store, found) = open(&path, "n1");
        assert!(matches!(found, Err(Fault::NotWritable(_))), "{found:?}");
        let number = store.keep(vec![1]);
        std::fs::create_dir(path.parent().unwrap()).unwrap();
        wait(|| store.synced() >= number);
    }
}
