//! Errors of opening, reading and writing the store.

use std::path::PathBuf;

use super::format::FORMAT_VERSION;

/// Error of opening, reading or writing the store file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The file is open in another process.
    #[error("the store file is open in another process")]
    InUse,
    /// The file belongs to another node, whose name is given.
    #[error("the store file belongs to node '{0}', not to this node")]
    OtherOwner(String),
    /// The file has the given format version, which is not supported.
    #[error("the store file has format version {0}, expected {FORMAT_VERSION}")]
    UnsupportedVersion(u16),
    /// The file is corrupt.
    #[error("the store file is corrupt: {cause}{}", describe_rename(.moved_to))]
    Corrupt {
        /// Cause of the corruption.
        cause: Corruption,
        /// New path of the file, if it was renamed.
        moved_to: Option<PathBuf>,
    },
    /// The file can't be opened, read or written, with the error of the operating system or of the database.
    #[error("the store file can't be opened, read or written: {0}")]
    NotWritable(String),
    /// The file was not opened within the timeout.
    #[error("the store file was not opened within the timeout")]
    OpenTimeout,
}

/// Cause of a corrupt file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The value under the given key does not match its checksum, or has an invalid length.
    #[error("the value of key '{0}' does not match its checksum, or has an invalid length")]
    Checksum(String),
    /// The header is missing.
    #[error("the table has no header")]
    NoHeader,
    /// The header is shorter than the format version.
    #[error("the header is truncated: expected at least the 2 bytes of the format version")]
    TruncatedHeader,
    /// The file has an outdated format of the database library, or its repair was aborted.
    #[error("the database file has an outdated format, or its repair was aborted")]
    DatabaseFormat,
    /// The database library panicked while it opened the file.
    #[error("the database library panicked while it opened the file")]
    DatabasePanic,
    /// The database library rejected the file with the given error.
    #[error("the database library rejected the file: {0}")]
    Database(String),
}

impl StoreError {
    /// Name under which the error is counted.
    pub fn counter_name(&self) -> &'static str {
        match self {
            StoreError::InUse => "in_use",
            StoreError::OtherOwner(_) => "other_owner",
            StoreError::UnsupportedVersion(_) => "version",
            StoreError::Corrupt { .. } => "torn",
            StoreError::NotWritable(_) => "not_writable",
            StoreError::OpenTimeout => "slow",
        }
    }

    /// Whether the error lasts until the process ends; other errors may disappear when a write is retried.
    pub(super) fn is_permanent(&self) -> bool {
        matches!(self, StoreError::OtherOwner(_) | StoreError::UnsupportedVersion(_))
    }

    pub(super) fn not_writable(error: impl std::fmt::Display) -> StoreError {
        StoreError::NotWritable(error.to_string())
    }
}

impl From<Corruption> for StoreError {
    fn from(cause: Corruption) -> StoreError {
        StoreError::Corrupt { cause, moved_to: None }
    }
}

fn describe_rename(path: &Option<PathBuf>) -> String {
    path.as_ref().map(|path| format!("; the file was renamed to {}", path.display())).unwrap_or_default()
}
