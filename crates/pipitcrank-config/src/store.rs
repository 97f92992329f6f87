//! Section `store`: what is kept on disk for the process that comes after this one.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::checks::duration;
use crate::error::ConfigError;

/// Longest path accepted, in bytes, as systems have it.
const MAX_PATH_LENGTH: usize = 4096;

/// The store on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// One file, of this co-ordinator alone.
    pub path: PathBuf,
    /// How often the learned state is written. What a voter must not forget is written as it changes.
    pub write_interval: Duration,
    /// Learned state that is older is not used.
    pub max_age: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoreForm {
    path: String,
    every_s: f64,
    oldest_s: f64,
}

impl StoreForm {
    /// Each write is a sync of the disk: ten a second are more than any start gains by. Learned state that is a day old
    /// is of no use.
    pub(crate) fn checked(self) -> Result<StoreConfig, ConfigError> {
        Ok(StoreConfig {
            path: checked_path(self.path)?,
            write_interval: duration("/store/every_s", self.every_s, 0.1, 60.0)?,
            max_age: duration("/store/oldest_s", self.oldest_s, 1.0, 86_400.0)?,
        })
    }
}

fn checked_path(text: String) -> Result<PathBuf, ConfigError> {
    let path = PathBuf::from(&text);
    let fault = |reason: &str| ConfigError::new("/store/path", format!("is '{text}', {reason}"));
    if path.file_name().is_none() || text.len() > MAX_PATH_LENGTH || text.contains('\0') {
        return Err(fault("the path of no file"));
    }
    if path.is_dir() {
        return Err(fault("a directory, not a file"));
    }
    Ok(path)
}
