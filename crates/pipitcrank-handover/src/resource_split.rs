//! Division of resources between predecessor and successor during an upgrade. The limits of a single process apply to
//! both processes together.
//!
//! **Retries.** Within any window, the number of attempts beyond the first of each part is at most
//! `free + fraction * queries`. The predecessor keeps its open queries and accepts no new ones; it gets a fixed number
//! of retries, which expire after a time. The successor takes over the window, with these retries counted as used. The
//! window passed on is restricted to queries that still count when the predecessor's retries expire; otherwise the
//! successor's limit could fall while the predecessor may still retry.
//!
//! **Slow start.** The successor gets the whole allowance for replicas in slow start, less the attempts already sent.
//! The predecessor sends nothing to these replicas.
//!
//! **Connections and open queries.** The predecessor keeps its connections and open queries, and reports their falling
//! numbers to the successor.

use pipitcrank_core::coordinator::RetryBudgetConfig;
use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Fraction of the remaining retries for the predecessor, which has the open queries. The successor has the new ones.
const PREDECESSOR_RETRY_FRACTION: f64 = 0.5;
/// Tolerance for ages near the edge of a window, since the two processes read the clock at different times.
const CLOCK_TOLERANCE: TimeSpan = TimeSpan::from_millis(20);

/// Retries that one process may use out of a shared budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DelegatedRetries {
    /// Number of retries.
    pub count: u32,
    /// Time until the retries expire, counted from their delegation.
    pub valid_for: TimeSpan,
}

/// Division of a connection limit between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSplit {
    /// Maximum number of connections of the predecessor.
    pub predecessor: usize,
    /// Maximum number of connections of the successor.
    pub successor: usize,
}

/// Divides a retry budget. Returns the predecessor's retries, and changes `learned` to the state for the successor.
/// `drain_limit` is the maximum time that the predecessor needs for its open queries.
pub fn split_retry_budget(
    budget: RetryBudgetConfig,
    drain_limit: TimeSpan,
    learned: &mut LearnedState,
) -> DelegatedRetries {
    let RetryBudgetConfig { fraction, free, window } = budget;
    // A budget without a window is not limited, and neither process counts its retries.
    if window <= TimeSpan::ZERO {
        return DelegatedRetries { count: 0, valid_for: drain_limit };
    }
    // Other sites may use their delegated retries until these expire: queries passed on have to count until then too.
    let delegated_for =
        learned.delegated_retries.iter().map(|(_, left)| *left).max().unwrap_or(TimeSpan::ZERO);
    let valid_for = drain_limit.max(delegated_for).min(window);
    learned.admitted.retain(|&age| age + valid_for + CLOCK_TOLERANCE < window);
    learned.admitted.iter_mut().for_each(|age| *age = *age + CLOCK_TOLERANCE);
    learned.retries.iter_mut().for_each(|age| *age = (*age - CLOCK_TOLERANCE).max(TimeSpan::ZERO));
    let delegated: u32 = learned.delegated_retries.iter().map(|(count, _)| count).sum();
    let remaining =
        free + fraction * learned.admitted.len() as f64 - learned.retries.len() as f64 - f64::from(delegated);
    let count = (remaining * PREDECESSOR_RETRY_FRACTION).floor().max(0.0) as u32;
    DelegatedRetries { count, valid_for }
}

/// Divides a limit of connections. The predecessor keeps its `open_at_predecessor` open connections, up to `limit`.
pub fn split_connections(limit: usize, open_at_predecessor: usize) -> ConnectionSplit {
    let predecessor = open_at_predecessor.min(limit);
    ConnectionSplit { predecessor, successor: limit - predecessor }
}

#[cfg(test)]
mod tests;
