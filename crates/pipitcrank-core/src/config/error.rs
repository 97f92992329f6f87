//! Configuration errors.

/// A key whose value is missing or invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {reason}")]
pub struct ConfigError {
    /// Key of the value, as a JSON pointer.
    pub key: String,
    /// Description of the problem with the value.
    pub reason: String,
}
