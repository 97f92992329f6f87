//! Why a store is not used, or not written.

use std::path::PathBuf;

use super::format::FORMAT_VERSION;

/// Why a store is not used, or not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Another process has the file open.
    #[error("another process has it open")]
    InUse,
    /// The file is the store of another node, of this name.
    #[error("it is the store of '{0}'")]
    OtherOwner(String),
    /// The file has another format version.
    #[error("its format version is {0}, not {FORMAT_VERSION}")]
    UnsupportedVersion(u16),
    /// The file can't be read.
    #[error("it can't be read: {cause}{}", renamed(.moved_to))]
    Corrupt {
        /// What is wrong with it.
        cause: Corruption,
        /// Where the file is now.
        moved_to: Option<PathBuf>,
    },
    /// The file can't be opened or written; the operating system's or the database's reason.
    #[error("it can't be written: {0}")]
    NotWritable(String),
    /// The file is not open yet.
    #[error("it did not open in time")]
    OpenTimeout,
}

/// What is wrong with a corrupt file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The checksum of the value under this key does not match.
    #[error("the checksum of '{0}' does not match")]
    Checksum(String),
    /// There is no header.
    #[error("it has no header")]
    NoHeader,
    /// The header is too short.
    #[error("its header is truncated")]
    TruncatedHeader,
    /// The file has an old format of the database, or can't be repaired.
    #[error("its database format is outdated, or can't be repaired")]
    DatabaseFormat,
    /// The database's code panicked on the file.
    #[error("the database panicked")]
    DatabasePanic,
    /// The database refuses the file, for this reason.
    #[error("{0}")]
    Database(String),
}

impl StoreError {
    /// Its name in the counters.
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

    /// Whether nothing is kept for as long as this process runs.
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

fn renamed(path: &Option<PathBuf>) -> String {
    path.as_ref().map(|path| format!("; it is now {}", path.display())).unwrap_or_default()
}
