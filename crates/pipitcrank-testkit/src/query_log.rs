//! What became of each query, and how often each part ran. Only what stand-ins saw themselves is entered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryOutcome {
    Complete,
    Partial,
    Rejected,
    Aborted,
    /// Another status: the stand-in client's own fault, or ours.
    UnexpectedStatus(u16),
    /// The connection could not be opened.
    ConnectionRefused,
    /// The connection ended without an answer, or none came in time.
    Lost,
}

/// The spelling that the trials' promises print; staff match on it.
impl std::fmt::Display for QueryOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            QueryOutcome::Complete => f.write_str("Merged"),
            QueryOutcome::Partial => f.write_str("MergedInPart"),
            QueryOutcome::Rejected => f.write_str("Rejected"),
            QueryOutcome::Aborted => f.write_str("Aborted"),
            QueryOutcome::UnexpectedStatus(status) => write!(f, "Odd({status})"),
            QueryOutcome::ConnectionRefused => f.write_str("Refused"),
            QueryOutcome::Lost => f.write_str("Lost"),
        }
    }
}

/// A part as it came to a replica.
#[derive(Clone)]
pub struct Arrival {
    pub part: String,
    pub at: Instant,
    pub replica: SocketAddr,
    /// The time that the co-ordinator says it waits.
    pub stated_deadline: Duration,
}

struct QueryLogState {
    start: Instant,
    /// Where arrivals are kept: all so far.
    arrivals: Option<Vec<Arrival>>,
    /// When each query was asked, and of how many parts.
    asked: Vec<(Duration, usize)>,
    /// When parts ran that had run before.
    further: Vec<Duration>,
    /// By query: how it ended. One that is here without an end is open.
    queries: BTreeMap<String, Option<QueryOutcome>>,
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
pub struct QueryLog(Rc<RefCell<QueryLogState>>);

impl Default for QueryLog {
    fn default() -> QueryLog {
        QueryLog(Rc::new(RefCell::new(QueryLogState {
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

impl QueryLog {
    /// One that keeps each part's arrivals.
    pub fn with_arrivals() -> QueryLog {
        let query_log = QueryLog::default();
        query_log.0.borrow_mut().arrivals = Some(Vec::new());
        query_log
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
        let mut state = self.0.borrow_mut();
        let at = state.start.elapsed();
        state.asked.push((at, parts));
        state.queries.insert(id.to_string(), None);
    }

    /// A client that went away: nothing of its query counts.
    pub fn left(&self, id: &str) {
        self.0.borrow_mut().queries.remove(id);
    }

    pub fn ended(&self, id: &str, how: QueryOutcome, took: Duration) {
        let mut state = self.0.borrow_mut();
        match state.queries.get_mut(id) {
            Some(end @ None) => *end = Some(how),
            _ => state.answered_twice += 1,
        }
        let (earned, all) = crate::fleet::worth(id, how, took);
        state.worth = (state.worth.0 + earned, state.worth.1 + all);
        let asked = Instant::now() - took;
        state.line.push((asked, earned, all, !matches!(how, QueryOutcome::Complete | QueryOutcome::Partial)));
        if matches!(how, QueryOutcome::ConnectionRefused | QueryOutcome::Lost) {
            return;
        }
        if matches!(how, QueryOutcome::Complete | QueryOutcome::Partial) {
            state.merged.push(took);
        }
        state.longest = state.longest.max(took);
        let histogram =
            state.took.get_or_insert_with(|| Histogram::new(3).expect("three digits are allowed"));
        let _ = histogram.record(took.as_micros() as u64);
    }

    /// A replica begins to work on the part. What another site names `q@site....1` is part 1 of `q`.
    pub fn ran(&self, part: &str) {
        let name = match (part.split_once('@'), part.rsplit_once('.')) {
            (Some((query, _)), Some((_, shard))) => format!("{query}.{shard}"),
            _ => part.to_string(),
        };
        let mut state = self.0.borrow_mut();
        let runs = state.runs.entry(name).or_default();
        *runs += 1;
        if *runs > 1 {
            let at = state.start.elapsed();
            state.further.push(at);
        }
    }

    /// The most by which further runs in any window were more than `free` and `share` of what was asked in it: nought
    /// or below where the budget was kept. A run may lag its sending by `slack`.
    pub fn over_budget(&self, free: f64, share: f64, window: Duration, slack: Duration) -> f64 {
        let state = self.0.borrow();
        let within = |times: &[Duration], from: Duration, to: Duration| {
            times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
        };
        let mut asked = Vec::new();
        for (at, parts) in &state.asked {
            asked.extend(std::iter::repeat_n(*at, 1 + parts));
        }
        let over = state.further.iter().map(|&t| {
            let made = within(&state.further, t.saturating_sub(window), t);
            made as f64 - free - share * within(&asked, t.saturating_sub(window + slack), t) as f64
        });
        over.fold(-free, f64::max)
    }

    /// The same where queries are entered in other query logs, each begun before anything ran: further runs are this one's.
    pub fn over_budget_of(
        &self,
        others: &[&QueryLog],
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
        let joined = QueryLog::default();
        {
            let mut state = joined.0.borrow_mut();
            (state.asked, state.further) = (asked, further);
        }
        joined.over_budget(free, share, window, slack)
    }

    pub fn count(&self, how: QueryOutcome) -> u64 {
        self.0.borrow().queries.values().filter(|e| **e == Some(how)).count() as u64
    }

    pub fn unexpected_statuses(&self) -> u64 {
        self.0
            .borrow()
            .queries
            .values()
            .filter(|e| matches!(e, Some(QueryOutcome::UnexpectedStatus(_))))
            .count() as u64
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
    pub fn parts_run_again(&self, prefix: &str) -> u64 {
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
        let state = self.0.borrow();
        let soon = state.merged.iter().filter(|t| **t <= limit).count();
        soon as f64 / state.queries.len().max(1) as f64
    }

    /// Utility in time over utility asked.
    pub fn service(&self) -> f64 {
        let (earned, all) = self.0.borrow().worth;
        earned / all.max(1e-9)
    }

    /// Utility earned and asked for by what was asked within that time, and how many of it got no answer that serves.
    pub fn between(&self, from: Instant, to: Instant) -> (f64, f64, u64) {
        let state = self.0.borrow();
        let within = state.line.iter().filter(|l| (from..to).contains(&l.0));
        within.fold((0.0, 0.0, 0), |sum, l| (sum.0 + l.1, sum.1 + l.2, sum.2 + u64::from(l.3)))
    }

    pub fn longest(&self) -> f64 {
        self.0.borrow().longest.as_secs_f64() * 1000.0
    }
}

#[cfg(test)]
mod tests;
