//! The operators' file, in Dhall: what a co-ordinator does beside what the platform's node configuration says. It is typed
//! by the reader, checked against bounds here, and read whole; a fault names its key. What a key absent from the file
//! stands for is in `deploy/operators.dhall`, which a file takes its defaults from, or here where it does not import that.
//!
//! Without the file all of it is off. Each section has a module: its configuration, which the program uses, and its form
//! in the file, with the file's keys, which is private and mapped to the configuration once.

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

/// Longest file accepted, in bytes, with what it imports: it is a page of settings.
const MAX_FILE_SIZE: u64 = 256 * 1024;

/// The operators' file, checked. A section that is none is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorsConfig {
    /// Upgrade under load.
    pub upgrade: Option<UpgradeConfig>,
    /// Gateway between sites.
    pub gateway: Option<GatewayConfig>,
    /// Failover between zones.
    pub zones: Option<ZonesConfig>,
    /// Store on disk.
    pub store: Option<StoreConfig>,
    /// Form and levels of the log.
    pub logs: LogsConfig,
}

impl OperatorsConfig {
    /// Reads a file; imports are looked for beside it. Nothing is fetched from elsewhere: the reader is built without the
    /// network.
    ///
    /// # Errors
    /// The first fault found, by its key, or by the file's path where it can't be read or parsed.
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

    /// The same from a text without imports.
    ///
    /// # Errors
    /// As those of [`OperatorsConfig::read`].
    pub fn parse(text: &str) -> Result<OperatorsConfig, ConfigError> {
        let file: FileForm = serde_dhall::from_str(text)
            .parse()
            .map_err(|e| parse_error(Path::new("the operators' file"), &e.to_string()))?;
        file.checked()
    }
}

/// The reader's message names the field: it becomes the key.
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
