//! Single-threaded runtimes.

use anyhow::Result;

/// Runs a future whose tasks all run on the current thread.
pub(crate) fn block_on_local<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}

/// Runs a future that spawns no tasks.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}
