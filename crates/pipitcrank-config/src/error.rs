//! Faults of an operators' file.

/// A fault of the operators' file: an invalid value, or a failure to read or parse the file.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {reason}")]
pub struct ConfigError {
    /// The key as a path within the file, such as `/upgrade/start_s`, or the path of the file itself.
    pub key: String,
    /// The fault, and the accepted values.
    pub reason: String,
}

impl ConfigError {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), reason: reason.into() }
    }
}
