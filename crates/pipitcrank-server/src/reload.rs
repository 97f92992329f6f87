//! A new node configuration while the process runs: at SIGHUP the file is read again, and what may change of it takes effect.

use std::path::PathBuf;
use std::time::Duration;

use pipitcrank_core::config::ConfigError;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::node_config::NodeConfig;
use crate::runtime::clock::Clock;
use crate::runtime::counters::Counters;
use crate::runtime::system_errors::retry_open_for;

/// A file that can't be opened or read for a while is waited for so long: folders may fail for 30 s.
const READ_LIMIT: Duration = Duration::from_secs(40);

/// Heeds each SIGHUP. Of the file `discovery` takes effect at once; the variables given at start do not go before
/// the new file, which was written after them. A file that is faulty anywhere changes nothing.
pub async fn heed(
    mut hangups: Signal,
    path: PathBuf,
    clock: Clock,
    counters: Counters,
    discovery: watch::Sender<String>,
) {
    while hangups.recv().await.is_some() {
        // A further signal meanwhile means the same file.
        let text = retry_open_for(READ_LIMIT, async || std::fs::read_to_string(&path)).await;
        match text.map_err(unreadable).and_then(|text| read(&text, &clock)) {
            Ok(address) => {
                counters.add("reloads", "taken");
                tracing::info!("charter read again: discovery is at {address}");
                // Also where it stays: what discovery has counts as told sooner after a SIGHUP.
                discovery.send_replace(address);
            }
            Err(wrong) => {
                counters.add("reloads", "faulty");
                tracing::error!("the new charter is faulty, the old one stays: {wrong}");
            }
        }
    }
}

fn unreadable(error: std::io::Error) -> ConfigError {
    ConfigError { key: "NODE_CONFIG".to_string(), reason: format!("can't be read: {error}") }
}

/// Where discovery is from now on.
fn read(text: &str, clock: &Clock) -> Result<String, ConfigError> {
    let node_config = NodeConfig::parse(text, |_| None)?;
    node_config.check(clock)?;
    node_config.discovery()
}
