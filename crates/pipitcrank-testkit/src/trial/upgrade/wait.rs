//! Waits for a condition with a time limit.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};

/// Waits until the condition holds.
///
/// # Errors
///
/// Returns an error that names `what` if the condition does not hold within the limit.
pub(super) async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("timed out after {limit:?} waiting for {what}")
}
