//! A new charter while the process runs: at SIGHUP the file is read again, and what may change of it takes effect.

use std::path::PathBuf;

use pipitcrank::told::Faulty;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::charter::Charter;
use crate::clock::Clock;
use crate::counters::Counters;

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
        match read(&path, &clock) {
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

fn read(path: &PathBuf, clock: &Clock) -> Result<String, Faulty> {
    let fault = |e| Faulty { key: "NODE_CONFIG".to_string(), what: format!("can't be read: {e}") };
    let text = std::fs::read_to_string(path).map_err(fault)?;
    let charter = Charter::read(&text, |_| None)?;
    charter.check(clock)?;
    charter.discovery()
}
