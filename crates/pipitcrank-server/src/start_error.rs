//! Reads the node configuration's file, and defines the errors that prevent a start.

use std::io;
use std::time::Duration;

use pipitcrank_core::config::ConfigError;

use crate::runtime::system_errors::retry_open_for_blocking;

/// Time for which a start retries transient errors of its configuration file and listen address. Nine of ten starts must serve
/// within 10 s.
pub const START_TIMEOUT: Duration = Duration::from_secs(8);

/// The node configuration's file.
pub struct NodeConfigFile {
    /// The path that `NODE_CONFIG` names.
    pub path: String,
    /// The file's contents.
    pub text: String,
}

/// Error of reading the node configuration's file.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigFileError {
    /// The variable is not set, or is not valid Unicode.
    #[error("NODE_CONFIG: {0}")]
    Variable(#[from] std::env::VarError),
    /// The file can't be read.
    #[error("NODE_CONFIG: {path}: {error}")]
    Unreadable {
        /// The path.
        path: String,
        /// The I/O error.
        error: io::Error,
    },
}

/// Error that prevents the server from starting.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The signal handlers can't be installed.
    #[error("{0}")]
    Signals(io::Error),
    /// The node configuration's file can't be read.
    #[error("{0}")]
    ConfigFile(#[from] NodeConfigFileError),
    /// A key of the node configuration is missing or invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The listen address can't be bound.
    #[error("/listen: {0}")]
    Listen(io::Error),
}

/// Reads the file that `NODE_CONFIG` names. Blocks the thread, so it must be called before other tasks run.
pub fn node_config_file() -> Result<NodeConfigFile, NodeConfigFileError> {
    let path = std::env::var("NODE_CONFIG")?;
    match retry_open_for_blocking(START_TIMEOUT, || std::fs::read_to_string(&path)) {
        Ok(text) => Ok(NodeConfigFile { path, text }),
        Err(error) => Err(NodeConfigFileError::Unreadable { path, error }),
    }
}
