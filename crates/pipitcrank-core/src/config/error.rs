//! The error of configuration.

/// A key whose value is missing or not accepted.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {reason}")]
pub struct ConfigError {
    /// The key, as a JSON pointer.
    pub key: String,
    /// What is wrong with its value.
    pub reason: String,
}
