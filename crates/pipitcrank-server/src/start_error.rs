//! The node configuration's file, and why the server could not start.

use std::io;
use std::time::Duration;

use pipitcrank_core::config::ConfigError;

use crate::runtime::system_errors::retry_open_for_blocking;

/// For how long a start waits out errors that may pass, of its configuration file and its address. Nine starts in ten are to
/// serve within 10 s.
pub const START_TIMEOUT: Duration = Duration::from_secs(8);

/// The node configuration's file.
pub struct NodeConfigFile {
    /// The path that `NODE_CONFIG` names.
    pub path: String,
    /// What is in it.
    pub text: String,
}

/// Why the node configuration's file can't be read.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigFileError {
    /// The variable is not set, or is no text.
    #[error("NODE_CONFIG: {0}")]
    Variable(#[from] std::env::VarError),
    /// The file can't be read.
    #[error("NODE_CONFIG: {path}: {error}")]
    Unreadable {
        /// The path.
        path: String,
        /// What reading it ended with.
        error: io::Error,
    },
}

/// Why the server could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Signals can't be received.
    #[error("{0}")]
    Signals(io::Error),
    /// The node configuration's file can't be read.
    #[error("{0}")]
    ConfigFile(#[from] NodeConfigFileError),
    /// A key of the node configuration is faulty.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The address can't be listened on.
    #[error("/listen: {0}")]
    Listen(io::Error),
}

/// Reads the file that `NODE_CONFIG` names. It blocks, so it is called before anything else runs.
pub fn node_config_file() -> Result<NodeConfigFile, NodeConfigFileError> {
    let path = std::env::var("NODE_CONFIG")?;
    match retry_open_for_blocking(START_TIMEOUT, || std::fs::read_to_string(&path)) {
        Ok(text) => Ok(NodeConfigFile { path, text }),
        Err(error) => Err(NodeConfigFileError::Unreadable { path, error }),
    }
}
