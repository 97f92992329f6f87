//! Ids of queries that have ended and must not run again under the same id: a part of such a query may have run, or may
//! still run at a replica that did not receive the cancellation, and a second run would repeat its effect.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Time for which an id is remembered after its query has ended.
const RETENTION: TimeSpan = TimeSpan::from_millis(60_000);
/// Time for which an id is remembered even when the table is full: longer than any attempt of an ended query runs.
const MIN_RETENTION: TimeSpan = TimeSpan::from_millis(6000);
/// Largest number of remembered ids, which take under 1 MB.
const MAX_IDS: usize = 16 * 1024;

/// Hashes of the ids, which bound the memory of an entry; the hash function is keyed, so that clients cannot choose ids
/// that collide.
#[derive(Default)]
pub(super) struct RecentQueries {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// End of each query, oldest first.
    ended: VecDeque<(Timestamp, u64)>,
}

impl RecentQueries {
    /// Records the end of a query that may have run.
    pub(super) fn add(&mut self, now: Timestamp, id: &str) {
        self.remove_expired(now);
        if self.ended.len() == MAX_IDS {
            self.remove_oldest();
        }
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.ended.push_back((now, hash));
        }
    }

    /// Whether a query with this id has ended within the retention time.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    /// Whether another id would replace one that must still be remembered. Queries that would have to be remembered are
    /// rejected meanwhile.
    pub(super) fn is_full(&mut self, now: Timestamp) -> bool {
        self.remove_expired(now);
        let oldest = self.ended.front().filter(|_| self.ended.len() == MAX_IDS);
        oldest.is_some_and(|&(ended, _)| now - ended < MIN_RETENTION)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.ended.front().is_some_and(|&(ended, _)| now - ended >= RETENTION) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, hash)) = self.ended.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
