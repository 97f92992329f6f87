//! Parts whose answers are no longer expected on a connection.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes of the ids of parts that were sent on a connection and then cancelled or answered. An answer to one of them is
/// late, while an answer to an id that was never sent is a protocol error.
#[derive(Default)]
pub struct FinishedParts {
    /// Cancelled parts for which no answer has come.
    cancelled: Vec<u64>,
    /// The parts answered last. A replica may send an answer twice, the second copy directly behind the first.
    answered: VecDeque<u64>,
}

impl FinishedParts {
    /// Number of cancelled parts from which on the connection is to be retired: 3.5 kB.
    pub const MAX_CANCELLED: usize = 448;
    /// Maximum number of answered parts. The oldest is evicted first.
    const MAX_ANSWERED: usize = 64;

    fn hash(id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        hasher.finish()
    }

    /// Adds a part that was cancelled, so that its answer may still come.
    pub fn cancelled(&mut self, id: &str) {
        self.cancelled.push(Self::hash(id));
    }

    /// Adds a part that was answered, whether or not it was cancelled before.
    pub fn answered(&mut self, id: &str) {
        let hash = Self::hash(id);
        self.cancelled.retain(|cancelled| *cancelled != hash);
        if self.answered.len() == Self::MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(hash);
    }

    /// Whether a part with this id was cancelled or answered.
    pub fn contains(&self, id: &str) -> bool {
        let hash = Self::hash(id);
        self.cancelled.contains(&hash) || self.answered.contains(&hash)
    }

    /// Whether so many cancelled parts are unanswered that no further part should be sent.
    pub fn is_full(&self) -> bool {
        self.cancelled.len() >= Self::MAX_CANCELLED
    }
}

#[cfg(test)]
mod tests;
