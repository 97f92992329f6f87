//! Single-threaded runtime for trials and tests, with a limit on the duration of the whole run.

use std::time::Duration;

use anyhow::{Result, bail};

/// Runs the future on a single-threaded runtime that allows local tasks.
///
/// # Errors
///
/// The error of the future, or an error if it did not end within `limit`.
pub fn on_one_thread<T>(limit: Duration, run: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        match tokio::time::timeout(limit, run).await {
            Ok(result) => result,
            Err(_) => bail!("run did not end within {limit:?}"),
        }
    })
}
