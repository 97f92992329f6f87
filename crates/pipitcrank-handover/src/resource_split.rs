//! What predecessor and successor may use while both live: together no more than one process could.
//!
//! **Retries.** Within any window, attempts beyond a part's first stay within `free + fraction * queries`. The predecessor
//! keeps its open queries and accepts no new ones; it gets a fixed number of retries, to be used within a time. The
//! successor takes over the window with these counted as used. Only queries that still count when that time is over are
//! passed on, so that the successor's own limit never falls while the predecessor may still retry.
//!
//! **Slow start.** The successor has the whole allowance for warming replicas, with all that was sent counted; the
//! predecessor sends them nothing.
//!
//! **Connections and open queries.** The predecessor keeps what it has, and reports to the successor as that shrinks.

use pipitcrank_core::coordinator::RetryBudgetConfig;
use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// The predecessor's share of the retries left in the window: it has all open queries, the successor the coming ones.
const PREDECESSOR_FRACTION: f64 = 0.5;
/// Two processes read the clock one after the other; a window's edge is not trusted to be finer than this.
const CLOCK_TOLERANCE: TimeSpan = TimeSpan::from_millis(20);

/// Retries that one process may make on behalf of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DelegatedRetries {
    /// How many.
    pub count: u32,
    /// Until when, counted from the moment they were delegated.
    pub valid_for: TimeSpan,
}

/// Divides a limit of connections between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSplit {
    /// Most connections of the predecessor from now on.
    pub predecessor: usize,
    /// Most connections of the successor.
    pub successor: usize,
}

/// Divides a retry budget. Returns what the predecessor keeps, while `learned` becomes what the successor goes on with.
/// `drain_limit` is how long the predecessor may need for its open queries.
pub fn split_retry_budget(
    budget: RetryBudgetConfig,
    drain_limit: TimeSpan,
    learned: &mut LearnedState,
) -> DelegatedRetries {
    let RetryBudgetConfig { fraction, free, window } = budget;
    // Without a budget neither process counts.
    if window <= TimeSpan::ZERO {
        return DelegatedRetries { count: 0, valid_for: drain_limit };
    }
    // Retries delegated to other sites may be used until their own time is over: queries have to count until then too.
    let delegated_for =
        learned.delegated_retries.iter().map(|(_, left)| *left).max().unwrap_or(TimeSpan::ZERO);
    let valid_for = drain_limit.max(delegated_for).min(window);
    learned.admitted.retain(|&age| age + valid_for + CLOCK_TOLERANCE < window);
    learned.admitted.iter_mut().for_each(|age| *age = *age + CLOCK_TOLERANCE);
    learned.retries.iter_mut().for_each(|age| *age = (*age - CLOCK_TOLERANCE).max(TimeSpan::ZERO));
    let delegated: u32 = learned.delegated_retries.iter().map(|(count, _)| count).sum();
    let left =
        free + fraction * learned.admitted.len() as f64 - learned.retries.len() as f64 - f64::from(delegated);
    let count = (left * PREDECESSOR_FRACTION).floor().max(0.0) as u32;
    DelegatedRetries { count, valid_for }
}

/// Divides `limit` connections of one kind, of which the predecessor has `open_at_predecessor`.
pub fn split_connections(limit: usize, open_at_predecessor: usize) -> ConnectionSplit {
    let predecessor = open_at_predecessor.min(limit);
    ConnectionSplit { predecessor, successor: limit - predecessor }
}

#[cfg(test)]
mod tests;
