use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};

use redb::backends::FileBackend;
use redb::{StorageBackend, StorageError};

use super::format::{HEADER_KEY, TABLE, prepend_checksum};
use super::*;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn open(path: &Path, owner: &str) -> (Store, Result<StoredValues, StoreError>) {
    let store = Store::open(path.to_path_buf(), owner.to_string(), || {});
    let found = store.stored_values(TEST_TIMEOUT);
    (store, found)
}

fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met within {TEST_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn write_voter_state(path: &Path, bytes: &[u8]) {
    let (mut store, _) = open(path, "n1");
    let sequence = store.save_voter_state(bytes.to_vec());
    wait_until(|| store.synced_sequence() >= sequence);
}

#[test]
fn newest_saved_values_are_read_back() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("store");
    let (mut store, found) = open(&path, "n1");
    assert_eq!(found, Ok(StoredValues::default()));
    for n in 0..50u8 {
        store.save_voter_state(vec![n; 100]);
        store.save_last_known_state(vec![n; 3]);
    }
    drop(store);
    let (store, found) = open(&path, "n1");
    assert_eq!(
        found,
        Ok(StoredValues { voter_state: Some(vec![49; 100]), last_known_state: Some(vec![49; 3]) })
    );
    assert_eq!(store.write_status().error, None);
}

#[test]
fn second_process_writes_nothing_until_the_first_closes_the_file() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("store");
    let (first, _) = open(&path, "n1");
    let (mut second, found) = open(&path, "n1");
    assert_eq!(found, Err(StoreError::InUse));
    let sequence = second.save_voter_state(vec![1]);
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!((second.synced_sequence(), second.write_status().error), (0, Some(StoreError::InUse)));
    drop(first);
    wait_until(|| second.synced_sequence() >= sequence);
}

#[test]
fn files_of_another_owner_or_version_are_left_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("store");
    write_voter_state(&path, b"mine");
    let before = std::fs::read(&path).unwrap();
    let (mut store, found) = open(&path, "n2");
    assert_eq!(found, Err(StoreError::OtherOwner("n1".into())));
    store.save_voter_state(b"other".to_vec());
    drop(store);
    assert_eq!(open(&path, "n1").1.unwrap().voter_state, Some(b"mine".to_vec()));
    assert_eq!(before.len(), std::fs::read(&path).unwrap().len());
    // A file with the header of a later format version.
    let database = Database::create(&path).unwrap();
    let writing = database.begin_write().unwrap();
    let header = [&(FORMAT_VERSION + 1).to_be_bytes()[..], b"n1"].concat();
    writing.open_table(TABLE).unwrap().insert(HEADER_KEY, &prepend_checksum(&header)[..]).unwrap();
    writing.commit().unwrap();
    drop(database);
    assert_eq!(open(&path, "n1").1, Err(StoreError::UnsupportedVersion(FORMAT_VERSION + 1)));
}

#[test]
fn corrupt_and_foreign_files_are_renamed_and_not_used() {
    let directory = tempfile::tempdir().unwrap();
    for (n, damage) in [0usize, 1, 2, 3, 4].into_iter().enumerate() {
        let path = directory.path().join(format!("store{n}"));
        write_voter_state(&path, &[7; 2000]);
        let mut bytes = std::fs::read(&path).unwrap();
        match damage {
            0 => bytes.truncate(bytes.len() / 2),
            1 => bytes.truncate(100),
            2 => bytes = b"this is a text, and long enough to be read as something".repeat(200),
            3 => bytes[..4096].fill(0),
            // Flips one bit of the stored value.
            _ => {
                let at = bytes.windows(64).position(|w| w == [7; 64]).unwrap();
                bytes[at + 5] ^= 1;
            }
        }
        std::fs::write(&path, &bytes).unwrap();
        let (mut store, found) = open(&path, "n1");
        match found {
            Err(StoreError::Corrupt { .. }) => {
                assert!(path.with_added_extension("torn").exists(), "the corrupt file was not renamed");
            }
            Err(StoreError::NotWritable(_)) => {}
            other => panic!("damage {damage}: expected a corrupt or unwritable file, got {other:?}"),
        }
        let sequence = store.save_voter_state(b"anew".to_vec());
        if store.write_status().error.is_none() || damage != 1 {
            wait_until(|| store.synced_sequence() >= sequence);
            drop(store);
            assert_eq!(open(&path, "n1").1.unwrap().voter_state, Some(b"anew".to_vec()));
        }
    }
}

/// Storage backend on a simulated disk, which can be full or slow.
#[derive(Debug)]
struct Disk {
    file: FileBackend,
    state: Arc<AtomicU8>,
}

const FULL: u8 = 1;
const SLOW: u8 = 2;

impl Disk {
    fn inject_fault(&self) -> Result<(), std::io::Error> {
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
        self.inject_fault().and_then(|()| self.file.set_len(len))
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.inject_fault().and_then(|()| self.file.sync_data())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.inject_fault().and_then(|()| self.file.write(offset, data))
    }
    fn close(&self) -> Result<(), std::io::Error> {
        self.file.close()
    }
}

fn open_on_disk(path: &Path, state: &Arc<AtomicU8>) -> Store {
    let state = state.clone();
    let opener: DatabaseOpener = Box::new(move |path| {
        let options =
            std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let file = FileBackend::new(options.map_err(StorageError::Io)?)?;
        Database::builder().create_with_backend(Disk { file, state: state.clone() })
    });
    Store::open_with(opener, path.to_path_buf(), "n1".into(), || {})
}

#[test]
fn full_disk_loses_nothing_that_was_reported_synced() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("store");
    let state = Arc::new(AtomicU8::new(0));
    let mut store = open_on_disk(&path, &state);
    assert_eq!(store.stored_values(TEST_TIMEOUT), Ok(StoredValues::default()));
    let first = store.save_voter_state(vec![1; 64]);
    wait_until(|| store.synced_sequence() >= first);
    state.store(FULL, Ordering::Relaxed);
    let second = store.save_voter_state(vec![2; 64]);
    wait_until(|| matches!(store.write_status().error, Some(StoreError::NotWritable(_))));
    assert_eq!(store.synced_sequence(), first, "a voter state that is not on disk was reported as synced");
    assert!(store.write_status().pending_for > Duration::ZERO);
    state.store(0, Ordering::Relaxed);
    wait_until(|| store.synced_sequence() >= second);
    assert_eq!(store.write_status(), WriteStatus { error: None, pending_for: Duration::ZERO });
    drop(store);
    assert_eq!(open(&path, "n1").1.unwrap().voter_state, Some(vec![2; 64]));
}

#[test]
fn slow_disk_does_not_block_the_caller() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("store");
    write_voter_state(&path, &[1]);
    let state = Arc::new(AtomicU8::new(SLOW));
    let mut store = open_on_disk(&path, &state);
    let _ = store.stored_values(TEST_TIMEOUT);
    let start = Instant::now();
    let last = (0..100).map(|n| store.save_voter_state(vec![n; 64])).last().unwrap();
    assert!(start.elapsed() < Duration::from_millis(100), "saving a voter state waited for the disk");
    wait_until(|| store.write_status().pending_for > Duration::from_millis(50));
    state.store(0, Ordering::Relaxed);
    wait_until(|| store.synced_sequence() == last);
}

#[test]
fn missing_directory_is_reported_and_retried() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("missing").join("store");
    let (mut store, found) = open(&path, "n1");
    assert!(matches!(found, Err(StoreError::NotWritable(_))), "{found:?}");
    let sequence = store.save_voter_state(vec![1]);
    std::fs::create_dir(path.parent().unwrap()).unwrap();
    wait_until(|| store.synced_sequence() >= sequence);
}
