//! Reloads the node configuration at SIGHUP: its file is read again, and what may change of it takes effect.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use pipitcrank_core::config::ConfigError;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::node_config::NodeConfig;
use crate::runtime::clock::Clock;
use crate::runtime::counters::Counters;
use crate::runtime::system_errors::retry_open_for;

/// For how long a file is waited for that can't be read: folders may fail for 30 s.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// Reloads at each SIGHUP. Of the file `discovery` takes effect at once; the variables given at start do not override the
/// new file, which was written after them. A file that is faulty anywhere changes nothing.
pub async fn run(
    mut hangups: Signal,
    path: PathBuf,
    clock: Clock,
    counters: Counters,
    discovery: watch::Sender<String>,
) {
    while hangups.recv().await.is_some() {
        // A further signal meanwhile means the same file.
        let text = retry_open_for(READ_TIMEOUT, async || std::fs::read_to_string(&path)).await;
        match text.map_err(unreadable).and_then(|text| discovery_address(&text, &clock)) {
            Ok(address) => {
                counters.add("reloads", "taken");
                tracing::info!("node configuration reloaded: discovery is at {address}");
                // Also where it stays: changes of the endpoint list have to be known sooner after a SIGHUP.
                discovery.send_replace(address);
            }
            Err(error) => {
                counters.add("reloads", "faulty");
                tracing::error!("the new node configuration is faulty, the old one stays: {error}");
            }
        }
    }
}

fn unreadable(error: io::Error) -> ConfigError {
    ConfigError { key: "NODE_CONFIG".to_string(), reason: format!("can't be read: {error}") }
}

/// Where the discovery service is from now on.
fn discovery_address(text: &str, clock: &Clock) -> Result<String, ConfigError> {
    let config = NodeConfig::parse(text, |_| None)?;
    config.check(clock)?;
    config.discovery()
}
