//! What is wrong with an operators' file.

/// A fault of the operators' file: the key it concerns and the reason, or why the file could not be read.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {reason}")]
pub struct ConfigError {
    /// The key as a path through the file, such as `/upgrade/start_s`, or the file's own path.
    pub key: String,
    /// What is wrong with it, and what is accepted.
    pub reason: String,
}

impl ConfigError {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), reason: reason.into() }
    }
}
