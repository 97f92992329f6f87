//! Waiting for a condition, within a limit.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};

/// Waits for the condition.
///
/// # Errors
///
/// That it did not come about within the limit.
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
    bail!("waited in vain for {what}")
}
