//! Opens, checks, reads and writes the store's database file.

use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableError};

use super::error::{Corruption, StoreError};
use super::format::{
    FORMAT_VERSION, HEADER_KEY, LAST_KNOWN_STATE_KEY, TABLE, VOTER_STATE_KEY, prepend_checksum,
    verify_checksum,
};

/// Opens or creates the database. Tests pass one that simulates disk faults.
pub type DatabaseOpener = Box<dyn FnMut(&Path) -> Result<Database, DatabaseError> + Send>;

/// Values stored by an earlier process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredValues {
    /// Encoded voter state.
    pub voter_state: Option<Vec<u8>>,
    /// Encoded last known state.
    pub last_known_state: Option<Vec<u8>>,
}

/// Database file of the node `owner`, open or closed.
pub struct DatabaseFile {
    opener: DatabaseOpener,
    path: PathBuf,
    owner: String,
    database: Option<Database>,
}

fn storage_error(error: &StorageError) -> StoreError {
    match error {
        StorageError::Corrupted(reason) => Corruption::Database(reason.clone()).into(),
        error => StoreError::not_writable(error),
    }
}

fn open_error(error: DatabaseError) -> StoreError {
    use std::io::ErrorKind::{InvalidData, UnexpectedEof};
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
        DatabaseError::UpgradeRequired(_) | DatabaseError::RepairAborted => Corruption::DatabaseFormat.into(),
        // The database library reports files of another type by these I/O errors.
        DatabaseError::Storage(StorageError::Io(error))
            if matches!(error.kind(), InvalidData | UnexpectedEof) =>
        {
            Corruption::Database(error.to_string()).into()
        }
        DatabaseError::Storage(StorageError::Io(error)) => StoreError::not_writable(error),
        DatabaseError::Storage(error) => storage_error(&error),
        error => StoreError::not_writable(error),
    }
}

impl DatabaseFile {
    /// Returns a file that is not open yet.
    pub fn new(opener: DatabaseOpener, path: PathBuf, owner: String) -> DatabaseFile {
        DatabaseFile { opener, path, owner, database: None }
    }

    /// Opens the file and reads its values. Renames a corrupt file, creates a new one in its place, and returns
    /// [`StoreError::Corrupt`] with the new path of the corrupt file.
    pub fn open(&mut self) -> Result<StoredValues, StoreError> {
        match self.open_existing() {
            Err(StoreError::Corrupt { cause, .. }) => {
                self.database = None;
                let renamed = self.path.with_added_extension("torn");
                std::fs::rename(&self.path, &renamed).map_err(StoreError::not_writable)?;
                self.open_existing()?;
                Err(StoreError::Corrupt { cause, moved_to: Some(renamed) })
            }
            opened => opened,
        }
    }

    fn open_existing(&mut self) -> Result<StoredValues, StoreError> {
        let opener = AssertUnwindSafe(&mut self.opener);
        let path = self.path.clone();
        // The database library panics on some corrupt files.
        let opened = std::panic::catch_unwind(move || {
            let opener = opener;
            (opener.0)(&path)
        });
        let database = opened.map_err(|_| Corruption::DatabasePanic)?.map_err(open_error)?;
        let values = self.read_values(&database)?;
        self.database = Some(database);
        Ok(values)
    }

    fn read_values(&self, database: &Database) -> Result<StoredValues, StoreError> {
        let transaction = database.begin_read().map_err(StoreError::not_writable)?;
        let table = match transaction.open_table(TABLE) {
            Ok(table) => table,
            // A new file has no table.
            Err(TableError::TableDoesNotExist(_)) => return Ok(StoredValues::default()),
            Err(error) => return Err(Corruption::Database(error.to_string()).into()),
        };
        let header = read_value(&table, HEADER_KEY)?.ok_or(Corruption::NoHeader)?;
        self.check_header(&header)?;
        Ok(StoredValues {
            voter_state: read_value(&table, VOTER_STATE_KEY)?,
            last_known_state: read_value(&table, LAST_KNOWN_STATE_KEY)?,
        })
    }

    fn check_header(&self, header: &[u8]) -> Result<(), StoreError> {
        let (version, owner) = header.split_first_chunk::<2>().ok_or(Corruption::TruncatedHeader)?;
        let version = u16::from_be_bytes(*version);
        if version != FORMAT_VERSION {
            return Err(StoreError::UnsupportedVersion(version));
        }
        if owner != self.owner.as_bytes() {
            return Err(StoreError::OtherOwner(String::from_utf8_lossy(owner).into_owned()));
        }
        Ok(())
    }

    /// Writes the given values in one transaction, which is synced when the function returns.
    pub fn write(
        &mut self,
        voter_state: Option<&[u8]>,
        last_known_state: Option<&[u8]>,
    ) -> Result<(), StoreError> {
        if self.database.is_none() {
            // Another node's file may have replaced this one while it was closed; reopening checks the header again.
            self.open()?;
        }
        let Some(database) = &self.database else { return Err(StoreError::InUse) };
        let header = [&FORMAT_VERSION.to_be_bytes()[..], self.owner.as_bytes()].concat();
        let values = [
            (HEADER_KEY, Some(&header[..])),
            (VOTER_STATE_KEY, voter_state),
            (LAST_KNOWN_STATE_KEY, last_known_state),
        ];
        let written = write_values(database, &values);
        if written.is_err() {
            // After a failed write the database rejects all others until the file is reopened.
            self.database = None;
        }
        written
    }
}

fn read_value(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<Vec<u8>>, StoreError> {
    let Some(stored) = table.get(key).map_err(|error| storage_error(&error))? else { return Ok(None) };
    let value = verify_checksum(stored.value()).ok_or_else(|| Corruption::Checksum(key.to_string()))?;
    Ok(Some(value))
}

fn write_values(database: &Database, values: &[(&str, Option<&[u8]>)]) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(StoreError::not_writable)?;
    {
        let mut table = transaction.open_table(TABLE).map_err(StoreError::not_writable)?;
        for &(key, value) in values {
            let Some(value) = value else { continue };
            table.insert(key, &prepend_checksum(value)[..]).map_err(StoreError::not_writable)?;
        }
    }
    transaction.commit().map_err(StoreError::not_writable)
}
