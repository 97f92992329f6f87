//! Section `store`: the file on disk that preserves state across restarts.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::checks::duration;
use crate::error::ConfigError;

/// Longest accepted path, in bytes: the limit of common operating systems.
const MAX_PATH_LENGTH: usize = 4096;

/// Configuration of the store on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Path of the file, which only this co-ordinator uses.
    pub path: PathBuf,
    /// Interval between writes of the learned state. State that a voter must not lose is written on each change.
    pub write_interval: Duration,
    /// Largest age of stored learned state that is still used.
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
    /// Checks the section. Each write syncs the disk, and more than ten writes per second would not improve a
    /// restart. Learned state older than a day is of no use.
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
