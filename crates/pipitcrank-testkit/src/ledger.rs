//! What became of each query, and how often each part ran. Only what stand-ins saw themselves is entered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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

/// A part as it came to a replica.
#[derive(Clone)]
pub struct Arrival {
    pub part: String,
    pub at: Instant,
    pub replica: SocketAddr,
    /// The time that the co-ordinator says it waits.
    pub told: Duration,
}

struct Books {
    start: Instant,
    /// Where arrivals are kept: all so far.
    arrivals: Option<Vec<Arrival>>,
    /// When each query was asked, and of how many parts.
    asked: Vec<(Duration, usize)>,
    /// When parts ran that had run before.
    further: Vec<Duration>,
    /// By query: how it ended. One that is here without an end is open.
    queries: BTreeMap<String, Option<Ended>>,
    /// Queries answered more than once.
    answered_twice: u64,
    /// By part: how often a replica ran it.
    runs: BTreeMap<String, u32>,
    took: Option<Histogram<u64>>,
    /// What merged answers took.
    merged: Vec<Duration>,
    longest: Duration,
    /// Utility earned and asked for.
    worth: (f64, f64),
    /// By when it was asked: utility earned and asked for, and whether it failed.
    line: Vec<(Instant, f64, f64, bool)>,
}

#[derive(Clone)]
pub struct Ledger(Rc<RefCell<Books>>);

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger(Rc::new(RefCell::new(Books {
            start: Instant::now(),
            arrivals: None,
            asked: Vec::new(),
            further: Vec::new(),
            queries: BTreeMap::new(),
            answered_twice: 0,
            runs: BTreeMap::new(),
            took: None,
            merged: Vec::new(),
            longest: Duration::ZERO,
            worth: (0.0, 0.0),
            line: Vec::new(),
        })))
    }
}

impl Ledger {
    /// One that keeps each part's arrivals.
    pub fn with_arrivals() -> Ledger {
        let ledger = Ledger::default();
        ledger.0.borrow_mut().arrivals = Some(Vec::new());
        ledger
    }

    pub fn arrived(&self, arrival: impl FnOnce() -> Arrival) {
        if let Some(arrivals) = &mut self.0.borrow_mut().arrivals {
            arrivals.push(arrival());
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.borrow().arrivals.clone().unwrap_or_default()
    }

    pub fn asked(&self, id: &str, parts: usize) {
        let mut books = self.0.borrow_mut();
        let at = books.start.elapsed();
        books.asked.push((at, parts));
        books.queries.insert(id.to_string(), None);
    }

    /// A client that went away: nothing of its query counts.
    pub fn left(&self, id: &str) {
        self.0.borrow_mut().queries.remove(id);
    }

    pub fn ended(&self, id: &str, how: Ended, took: Duration) {
        let mut books = self.0.borrow_mut();
        match books.queries.get_mut(id) {
            Some(end @ None) => *end = Some(how),
            _ => books.answered_twice += 1,
        }
        let (earned, all) = crate::fleet::worth(id, how, took);
        books.worth = (books.worth.0 + earned, books.worth.1 + all);
        let asked = Instant::now() - took;
        books.line.push((asked, earned, all, !matches!(how, Ended::Merged | Ended::MergedInPart)));
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

    /// A replica begins to work on the part. What another site names `q@site....1` is part 1 of `q`.
    pub fn ran(&self, part: &str) {
        let name = match (part.split_once('@'), part.rsplit_once('.')) {
            (Some((query, _)), Some((_, shard))) => format!("{query}.{shard}"),
            _ => part.to_string(),
        };
        let mut books = self.0.borrow_mut();
        let runs = books.runs.entry(name).or_default();
        *runs += 1;
        if *runs > 1 {
            let at = books.start.elapsed();
            books.further.push(at);
        }
    }

    /// The most by which further runs in any window were more than `free` and `share` of what was asked in it: nought
    /// or below where the budget was kept. A run may lag its sending by `slack`.
    pub fn over_budget(&self, free: f64, share: f64, window: Duration, slack: Duration) -> f64 {
        let books = self.0.borrow();
        let within = |times: &[Duration], from: Duration, to: Duration| {
            times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
        };
        let mut asked = Vec::new();
        for (at, parts) in &books.asked {
            asked.extend(std::iter::repeat_n(*at, 1 + parts));
        }
        let over = books.further.iter().map(|&t| {
            let made = within(&books.further, t.saturating_sub(window), t);
            made as f64 - free - share * within(&asked, t.saturating_sub(window + slack), t) as f64
        });
        over.fold(-free, f64::max)
    }

    /// The same where queries are entered in other ledgers, each begun before anything ran: further runs are this one's.
    pub fn over_budget_of(
        &self,
        others: &[&Ledger],
        free: f64,
        share: f64,
        window: Duration,
        slack: Duration,
    ) -> f64 {
        let ours = self.0.borrow();
        let mut asked: Vec<(Duration, usize)> = Vec::new();
        for other in others {
            let other = other.0.borrow();
            // On this one's clock.
            let offset = other.start.saturating_duration_since(ours.start);
            asked.extend(other.asked.iter().map(|(at, parts)| (*at + offset, *parts)));
        }
        asked.sort();
        let further = ours.further.clone();
        let joined = Ledger::default();
        {
            let mut books = joined.0.borrow_mut();
            (books.asked, books.further) = (asked, further);
        }
        joined.over_budget(free, share, window, slack)
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

    /// Utility in time over utility asked.
    pub fn service(&self) -> f64 {
        let (earned, all) = self.0.borrow().worth;
        earned / all.max(1e-9)
    }

    /// Utility earned and asked for by what was asked within that time, and how many of it got no answer that serves.
    pub fn between(&self, from: Instant, to: Instant) -> (f64, f64, u64) {
        let books = self.0.borrow();
        let within = books.line.iter().filter(|l| (from..to).contains(&l.0));
        within.fold((0.0, 0.0, 0), |sum, l| (sum.0 + l.1, sum.1 + l.2, sum.2 + u64::from(l.3)))
    }

    pub fn longest(&self) -> f64 {
        self.0.borrow().longest.as_secs_f64() * 1000.0
    }
}

#[cfg(test)]
mod tests;
