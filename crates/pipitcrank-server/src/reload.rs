//! Reloads the node configuration's file on SIGHUP, and applies the values that may change at run time.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use pipitcrank_core::config::ConfigError;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::node_config::NodeConfig;
use crate::runtime::clock::Clock;
use crate::runtime::counter_names::{group, reload};
use crate::runtime::counters::Counters;
use crate::runtime::system_errors::retry_open_for;

/// Time for which reading the file is retried; file systems may fail for 30 s.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// Reloads the file on each SIGHUP. Only `discovery` takes effect. Environment variables do not override the new file, which is
/// newer than they are. A file with any error changes nothing.
pub async fn run(
    mut hangups: Signal,
    path: PathBuf,
    clock: Clock,
    counters: Counters,
    discovery: watch::Sender<String>,
) {
    while hangups.recv().await.is_some() {
        // Signals that arrive during a reload are merged into one.
        let text = retry_open_for(READ_TIMEOUT, async || std::fs::read_to_string(&path)).await;
        match text.map_err(unreadable).and_then(|text| discovery_address(&text, &clock)) {
            Ok(address) => {
                counters.add(group::RELOADS, reload::LOADED);
                tracing::info!("node configuration reloaded, discovery address is {address}");
                // Sent even if unchanged: after a SIGHUP, changes of the endpoint list have to be received sooner.
                discovery.send_replace(address);
            }
            Err(error) => {
                counters.add(group::RELOADS, reload::FAULTY);
                tracing::error!("new node configuration is invalid, the old one stays: {error}");
            }
        }
    }
}

fn unreadable(error: io::Error) -> ConfigError {
    ConfigError { key: "NODE_CONFIG".to_string(), reason: format!("can't be read: {error}") }
}

/// Checks the new file and returns its address of the discovery service.
fn discovery_address(text: &str, clock: &Clock) -> Result<String, ConfigError> {
    let config = NodeConfig::parse(text, |_| None)?;
    config.check(clock)?;
    config.discovery()
}
