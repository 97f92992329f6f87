//! What became of each query, and how often each part ran. Only what stand-ins saw themselves is entered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ended {
    Merged,
    MergedInPart,
    Rejected,
    Aborted,
    /// Another status: the stand-in client's own fault, or ours.
    Odd(u16),
    /// The connection could not be opened.
    Refused,
    /// The connection ended without an answer, or none came in time.
    Lost,
}

#[derive(Default)]
struct Books {
    /// By query: how it ended. One that is here without an end is open.
    queries: BTreeMap<String, Option<Ended>>,
    /// Queries answered more than once.
    answered_twice: u64,
    /// By part: how often a leaf ran it.
    runs: BTreeMap<String, u32>,
    took: Option<Histogram<u64>>,
    /// What merged answers took.
    merged: Vec<Duration>,
    longest: Duration,
}

#[derive(Clone, Default)]
pub struct Ledger(Rc<RefCell<Books>>);

impl Ledger {
    pub fn asked(&self, id: &str) {
        self.0.borrow_mut().queries.insert(id.to_string(), None);
    }

    pub fn ended(&self, id: &str, how: Ended, took: Duration) {
        let mut books = self.0.borrow_mut();
        match books.queries.get_mut(id) {
            Some(end @ None) => *end = Some(how),
            _ => books.answered_twice += 1,
        }
        if matches!(how, Ended::Refused | Ended::Lost) {
            return;
        }
        if matches!(how, Ended::Merged | Ended::MergedInPart) {
            books.merged.push(took);
        }
        books.longest = books.longest.max(took);
        let histogram =
            books.took.get_or_insert_with(|| Histogram::new(3).expect("three digits are allowed"));
        let _ = histogram.record(took.as_micros() as u64);
    }

    /// A leaf begins to work on the part.
    pub fn ran(&self, part: &str) {
        *self.0.borrow_mut().runs.entry(part.to_string()).or_default() += 1;
    }

    pub fn count(&self, how: Ended) -> u64 {
        self.0.borrow().queries.values().filter(|e| **e == Some(how)).count() as u64
    }

    pub fn odd(&self) -> u64 {
        self.0.borrow().queries.values().filter(|e| matches!(e, Some(Ended::Odd(_)))).count() as u64
    }

    pub fn all(&self) -> u64 {
        self.0.borrow().queries.len() as u64
    }

    pub fn open(&self) -> u64 {
        self.0.borrow().queries.values().filter(|e| e.is_none()).count() as u64
    }

    pub fn answered_twice(&self) -> u64 {
        self.0.borrow().answered_twice
    }

    /// Parts that ran more than once, of queries whose ids begin like that.
    pub fn ran_again(&self, prefix: &str) -> u64 {
        self.0.borrow().runs.iter().filter(|(id, n)| id.starts_with(prefix) && **n > 1).count() as u64
    }

    pub fn runs(&self) -> u64 {
        self.0.borrow().runs.values().map(|n| u64::from(*n)).sum()
    }

    /// Milliseconds that this share of the answers came within.
    pub fn within(&self, share: f64) -> f64 {
        self.0.borrow().took.as_ref().map_or(0.0, |h| h.value_at_quantile(share) as f64 / 1000.0)
    }

    /// The share of all queries that were merged within that time.
    pub fn merged_within(&self, limit: Duration) -> f64 {
        let books = self.0.borrow();
        let soon = books.merged.iter().filter(|t| **t <= limit).count();
        soon as f64 / books.queries.len().max(1) as f64
    }

    pub fn longest(&self) -> f64 {
        self.0.borrow().longest.as_secs_f64() * 1000.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_is_entered_once_and_second_ones_are_seen() {
        let ledger = Ledger::default();
        for id in ["a", "b", "c"] {
            ledger.asked(id);
        }
        ledger.ended("a", Ended::Merged, Duration::from_millis(5));
        ledger.ended("b", Ended::Lost, Duration::ZERO);
        assert_eq!((ledger.open(), ledger.count(Ended::Merged), ledger.answered_twice()), (1, 1, 0));
        ledger.ended("a", Ended::Aborted, Duration::from_millis(9));
        assert_eq!((ledger.answered_twice(), ledger.count(Ended::Merged)), (1, 1));
        for part in ["a.1", "a.1", "b.1"] {
            ledger.ran(part);
        }
        assert_eq!((ledger.ran_again("a"), ledger.ran_again("b"), ledger.runs()), (1, 0, 3));
    }
}
