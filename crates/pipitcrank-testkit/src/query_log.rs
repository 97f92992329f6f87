//! Record of all queries and of the parts that replicas ran. Only what stand-ins saw themselves is entered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

pub use crate::query_outcome::QueryOutcome;
use crate::query_utility::{self, Utility};

/// A part as it arrived at a replica.
#[derive(Clone)]
pub struct Arrival {
    /// Id of the part: the query's id, a dot and the shard.
    pub part: String,
    /// When it arrived.
    pub at: Instant,
    /// The replica that it arrived at.
    pub replica: SocketAddr,
    /// How long the coordinator says that it waits for the answer.
    pub stated_deadline: Duration,
}

/// Bound on further runs of parts, as the node configuration states it for one coordinator.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Further runs allowed in any window whatever was sent.
    pub free: f64,
    /// Further runs allowed for each query and each part sent in the window.
    pub fraction: f64,
    /// Length of the window.
    pub window: Duration,
    /// Longest time by which a run may lag its sending.
    pub run_delay: Duration,
}

/// What the queries sent within some time earned.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTotals {
    /// Utility that their answers earned.
    pub earned: f64,
    /// Utility that complete answers in time would have earned.
    pub offered: f64,
    /// Queries that got no answer they can use.
    pub failed: u64,
}

/// A query sent, with its number of parts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentQuery {
    /// Since the log's start.
    at: Duration,
    parts: usize,
}

/// A query that ended.
struct FinishedQuery {
    sent_at: Instant,
    utility: Utility,
    failed: bool,
}

struct QueryLogState {
    start: Instant,
    /// All arrivals so far; none where they are not recorded.
    arrivals: Option<Vec<Arrival>>,
    sent: Vec<SentQuery>,
    /// When parts ran that had run before, since the start.
    further_runs: Vec<Duration>,
    /// By id: the outcome, none while the query is open.
    queries: BTreeMap<String, Option<QueryOutcome>>,
    answered_twice: u64,
    /// By part: how often a replica ran it.
    runs: BTreeMap<String, u32>,
    /// Response times in microseconds.
    response_times: Option<Histogram<u64>>,
    /// Response times of answers, complete and partial.
    answer_times: Vec<Duration>,
    longest: Duration,
    utility: Utility,
    finished: Vec<FinishedQuery>,
}

/// The record; clones share it.
#[derive(Clone)]
pub struct QueryLog(Rc<RefCell<QueryLogState>>);

impl Default for QueryLog {
    fn default() -> QueryLog {
        QueryLog(Rc::new(RefCell::new(QueryLogState {
            start: Instant::now(),
            arrivals: None,
            sent: Vec::new(),
            further_runs: Vec::new(),
            queries: BTreeMap::new(),
            answered_twice: 0,
            runs: BTreeMap::new(),
            response_times: None,
            answer_times: Vec::new(),
            longest: Duration::ZERO,
            utility: Utility::default(),
            finished: Vec::new(),
        })))
    }
}

impl QueryLog {
    /// A log that records each part's arrival at a replica.
    pub fn with_arrivals() -> QueryLog {
        let log = QueryLog::default();
        log.0.borrow_mut().arrivals = Some(Vec::new());
        log
    }

    /// Records an arrival, where arrivals are recorded.
    pub fn part_arrived(&self, arrival: impl FnOnce() -> Arrival) {
        if let Some(arrivals) = &mut self.0.borrow_mut().arrivals {
            arrivals.push(arrival());
        }
    }

    /// All arrivals recorded so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.borrow().arrivals.clone().unwrap_or_default()
    }

    /// Records that a query is sent; it is open until `query_finished`.
    pub fn query_sent(&self, id: &str, parts: usize) {
        let mut state = self.0.borrow_mut();
        let at = state.start.elapsed();
        state.sent.push(SentQuery { at, parts });
        state.queries.insert(id.to_string(), None);
    }

    /// Records the outcome of a query.
    pub fn query_finished(&self, id: &str, outcome: QueryOutcome, took: Duration) {
        let mut state = self.0.borrow_mut();
        match state.queries.get_mut(id) {
            Some(open @ None) => *open = Some(outcome),
            _ => state.answered_twice += 1,
        }
        let utility = query_utility::of_query(id, outcome, took);
        state.utility.earned += utility.earned;
        state.utility.offered += utility.offered;
        let sent_at = Instant::now() - took;
        state.finished.push(FinishedQuery { sent_at, utility, failed: !outcome.is_answered() });
        if matches!(outcome, QueryOutcome::ConnectionRefused | QueryOutcome::Lost) {
            return;
        }
        if outcome.is_answered() {
            state.answer_times.push(took);
        }
        state.longest = state.longest.max(took);
        let response_times =
            state.response_times.get_or_insert_with(|| Histogram::new(3).expect("three digits are allowed"));
        let _ = response_times.record(took.as_micros() as u64);
    }

    /// Records that a replica begins to work on the part. What another site names `q@site....1` is part 1 of `q`.
    pub fn part_started(&self, part: &str) {
        let name = match (part.split_once('@'), part.rsplit_once('.')) {
            (Some((query, _)), Some((_, shard))) => format!("{query}.{shard}"),
            _ => part.to_string(),
        };
        let mut state = self.0.borrow_mut();
        let runs = state.runs.entry(name).or_default();
        *runs += 1;
        if *runs > 1 {
            let at = state.start.elapsed();
            state.further_runs.push(at);
        }
    }

    /// The most by which further runs exceeded the budget in any window: zero or below where it was kept.
    pub fn over_budget(&self, budget: RetryBudget) -> f64 {
        let state = self.0.borrow();
        over_budget(&state.sent, &state.further_runs, budget)
    }

    /// The same where queries are recorded in other logs, each begun before anything ran: further runs are this one's.
    pub fn over_budget_with_queries_of(&self, others: &[&QueryLog], budget: RetryBudget) -> f64 {
        let state = self.0.borrow();
        let mut sent: Vec<SentQuery> = Vec::new();
        for other in others {
            let other = other.0.borrow();
            // On this one's clock.
            let offset = other.start.saturating_duration_since(state.start);
            sent.extend(other.sent.iter().map(|query| SentQuery { at: query.at + offset, ..*query }));
        }
        sent.sort();
        over_budget(&sent, &state.further_runs, budget)
    }

    /// Queries with that outcome.
    pub fn count(&self, outcome: QueryOutcome) -> u64 {
        self.0.borrow().queries.values().filter(|known| **known == Some(outcome)).count() as u64
    }

    /// Queries that were answered with a status that no coordinator should give.
    pub fn unexpected_statuses(&self) -> u64 {
        let unexpected =
            |outcome: &&Option<QueryOutcome>| matches!(outcome, Some(QueryOutcome::UnexpectedStatus(_)));
        self.0.borrow().queries.values().filter(unexpected).count() as u64
    }

    /// Queries sent.
    pub fn total(&self) -> u64 {
        self.0.borrow().queries.len() as u64
    }

    /// Queries that have not ended.
    pub fn open(&self) -> u64 {
        self.0.borrow().queries.values().filter(|outcome| outcome.is_none()).count() as u64
    }

    /// Outcomes recorded for queries that had one already.
    pub fn answered_twice(&self) -> u64 {
        self.0.borrow().answered_twice
    }

    /// Parts that ran more than once, of queries whose ids begin with the prefix.
    pub fn parts_run_again(&self, prefix: &str) -> u64 {
        self.0.borrow().runs.iter().filter(|(id, n)| id.starts_with(prefix) && **n > 1).count() as u64
    }

    /// Runs of parts, first and further ones.
    pub fn part_runs(&self) -> u64 {
        self.0.borrow().runs.values().map(|n| u64::from(*n)).sum()
    }

    /// A quantile of the response time, in milliseconds; 0 where nothing was answered.
    pub fn response_time_ms(&self, quantile: f64) -> f64 {
        let state = self.0.borrow();
        state.response_times.as_ref().map_or(0.0, |times| times.value_at_quantile(quantile) as f64 / 1000.0)
    }

    /// The longest response time, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        self.0.borrow().longest.as_secs_f64() * 1000.0
    }

    /// The fraction of all queries that were answered within that time.
    pub fn answered_within(&self, limit: Duration) -> f64 {
        let state = self.0.borrow();
        let soon = state.answer_times.iter().filter(|time| **time <= limit).count();
        soon as f64 / state.queries.len().max(1) as f64
    }

    /// Utility earned over utility offered.
    pub fn service(&self) -> f64 {
        let Utility { earned, offered } = self.0.borrow().utility;
        earned / offered.max(1e-9)
    }

    /// What the queries sent within that time earned.
    pub fn service_between(&self, from: Instant, to: Instant) -> ServiceTotals {
        let state = self.0.borrow();
        let within = state.finished.iter().filter(|query| (from..to).contains(&query.sent_at));
        within.fold(ServiceTotals::default(), |sum, query| ServiceTotals {
            earned: sum.earned + query.utility.earned,
            offered: sum.offered + query.utility.offered,
            failed: sum.failed + u64::from(query.failed),
        })
    }
}

fn over_budget(sent: &[SentQuery], further_runs: &[Duration], budget: RetryBudget) -> f64 {
    let within = |times: &[Duration], from: Duration, to: Duration| {
        times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
    };
    let mut sent_times = Vec::new();
    for query in sent {
        sent_times.extend(std::iter::repeat_n(query.at, 1 + query.parts));
    }
    let RetryBudget { free, fraction, window, run_delay } = budget;
    let over = further_runs.iter().map(|&t| {
        let made = within(further_runs, t.saturating_sub(window), t);
        let earned = within(&sent_times, t.saturating_sub(window + run_delay), t);
        made as f64 - free - fraction * earned as f64
    });
    over.fold(-free, f64::max)
}

#[cfg(test)]
mod tests;
