//! The operators' file: Dhall settings of a co-ordinator that are not part of the platform's node configuration. The
//! Dhall library checks the types, and this crate checks the bounds. A file is accepted as a whole or not at all, and
//! a fault names its key. Defaults for absent keys come from `deploy/operators.dhall` if the file imports it, and
//! from this crate otherwise.
//!
//! Without an operators' file all sections are off. Each section has a module with two types: a public configuration,
//! which the program uses, and a private form with the keys of the file, which is converted to the configuration.

mod checks;
mod error;
mod gateway;
mod logs;
mod store;
mod upgrade;
mod zones;

use std::path::Path;

use serde::Deserialize;

pub use error::ConfigError;
pub use gateway::{GatewayConfig, Site};
pub use logs::LogsConfig;
pub use store::StoreConfig;
pub use upgrade::UpgradeConfig;
pub use zones::{Voter, ZoneConfig, ZonesConfig};

/// Largest accepted size of the file, in bytes. Usual files have about one page of settings.
const MAX_FILE_SIZE: u64 = 256 * 1024;

/// The checked operators' file. A section that is `None` is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorsConfig {
    /// Upgrades under load.
    pub upgrade: Option<UpgradeConfig>,
    /// Gateway between sites.
    pub gateway: Option<GatewayConfig>,
    /// Failover between zones.
    pub zones: Option<ZonesConfig>,
    /// Store on disk.
    pub store: Option<StoreConfig>,
    /// Format and levels of the log.
    pub logs: LogsConfig,
}

impl OperatorsConfig {
    /// Reads a file. Imports are resolved relative to it and only from disk, since the Dhall library is built without
    /// network access.
    ///
    /// # Errors
    /// The first fault found, with its key, or with the file's path if the file can't be read or parsed.
    pub fn read(path: &Path) -> Result<OperatorsConfig, ConfigError> {
        let fault = |reason: String| ConfigError::new(path.display().to_string(), reason);
        let size = std::fs::metadata(path).map_err(|e| fault(format!("can't be read: {e}")))?.len();
        if size > MAX_FILE_SIZE {
            return Err(fault(format!("has {size} bytes, over {MAX_FILE_SIZE}")));
        }
        let file: FileForm =
            serde_dhall::from_file(path).parse().map_err(|e| parse_error(path, &e.to_string()))?;
        file.checked()
    }

    /// Parses a text without imports.
    ///
    /// # Errors
    /// The first fault found, as for [`OperatorsConfig::read`].
    pub fn parse(text: &str) -> Result<OperatorsConfig, ConfigError> {
        let file: FileForm = serde_dhall::from_str(text)
            .parse()
            .map_err(|e| parse_error(Path::new("the operators' file"), &e.to_string()))?;
        file.checked()
    }
}

/// Converts an error of the Dhall library. If its message names a field, the field becomes the key.
fn parse_error(path: &Path, message: &str) -> ConfigError {
    let field =
        message.split_once("field `").and_then(|(_, rest)| rest.split_once('`')).map(|(name, _)| name);
    let key = field.map_or(path.display().to_string(), |name| format!("/{name}"));
    ConfigError::new(key, message.trim().replace('\n', " "))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileForm {
    upgrade: Option<upgrade::UpgradeForm>,
    gateway: Option<gateway::GatewayForm>,
    zones: Option<zones::ZonesForm>,
    store: Option<store::StoreForm>,
    logs: Option<logs::LogsForm>,
}

impl FileForm {
    fn checked(self) -> Result<OperatorsConfig, ConfigError> {
        Ok(OperatorsConfig {
            upgrade: self.upgrade.map(upgrade::UpgradeForm::checked).transpose()?,
            gateway: self.gateway.map(gateway::GatewayForm::checked).transpose()?,
            zones: self.zones.map(zones::ZonesForm::checked).transpose()?,
            store: self.store.map(store::StoreForm::checked).transpose()?,
            logs: self.logs.map(LogsConfig::from).unwrap_or_default(),
        })
    }
}

#[cfg(test)]
mod tests;
