//! Log of all queries and of the parts that replicas ran. It contains only what the stand-ins observed themselves.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

pub use crate::query_outcome::QueryOutcome;
use crate::query_utility::{self, Utility};

/// Arrival of a part at a replica.
#[derive(Clone)]
pub struct Arrival {
    /// Part id: the query id, a dot and the shard.
    pub part: String,
    /// Time of arrival.
    pub at: Instant,
    /// Address of the replica.
    pub replica: SocketAddr,
    /// Time to answer that the co-ordinator stated with the part.
    pub stated_deadline: Duration,
}

/// Limit on repeated runs of parts, as set in the node configuration of one co-ordinator.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Repeated runs allowed in any window regardless of the traffic.
    pub free: f64,
    /// Repeated runs allowed for each query and each part sent in the window.
    pub fraction: f64,
    /// Length of the window.
    pub window: Duration,
    /// Longest time between the sending of a query and a run of one of its parts.
    pub run_delay: Duration,
}

/// Utility and failures of the queries sent within a period.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTotals {
    /// Utility that their answers earned.
    pub earned: f64,
    /// Utility that complete answers within the latency objective would have earned.
    pub offered: f64,
    /// Queries without a usable answer.
    pub failed: u64,
}

/// A sent query and its number of parts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentQuery {
    /// Time of sending, since the start of the log.
    at: Duration,
    parts: usize,
}

/// A query that has ended.
struct FinishedQuery {
    sent_at: Instant,
    utility: Utility,
    failed: bool,
}

struct QueryLogState {
    start: Instant,
    /// All arrivals so far; `None` if arrivals are not recorded.
    arrivals: Option<Vec<Arrival>>,
    sent: Vec<SentQuery>,
    /// Times of repeated runs, since the start of the log.
    repeated_runs: Vec<Duration>,
    /// Outcome by query id; `None` while the query is open.
    queries: BTreeMap<String, Option<QueryOutcome>>,
    answered_twice: u64,
    /// Number of runs by part id.
    runs: BTreeMap<String, u32>,
    /// Response times in microseconds.
    response_times: Option<Histogram<u64>>,
    /// Response times of complete and partial answers.
    answer_times: Vec<Duration>,
    max_response_time: Duration,
    utility: Utility,
    finished: Vec<FinishedQuery>,
}

/// The query log; clones share its state.
#[derive(Clone)]
pub struct QueryLog(Rc<RefCell<QueryLogState>>);

impl Default for QueryLog {
    fn default() -> QueryLog {
        QueryLog(Rc::new(RefCell::new(QueryLogState {
            start: Instant::now(),
            arrivals: None,
            sent: Vec::new(),
            repeated_runs: Vec::new(),
            queries: BTreeMap::new(),
            answered_twice: 0,
            runs: BTreeMap::new(),
            response_times: None,
            answer_times: Vec::new(),
            max_response_time: Duration::ZERO,
            utility: Utility::default(),
            finished: Vec::new(),
        })))
    }
}

impl QueryLog {
    /// Creates a log that also records the arrival of each part at a replica.
    pub fn with_arrivals() -> QueryLog {
        let log = QueryLog::default();
        log.0.borrow_mut().arrivals = Some(Vec::new());
        log
    }

    /// Records an arrival, if this log records arrivals.
    pub fn part_arrived(&self, arrival: impl FnOnce() -> Arrival) {
        if let Some(arrivals) = &mut self.0.borrow_mut().arrivals {
            arrivals.push(arrival());
        }
    }

    /// All arrivals recorded so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.borrow().arrivals.clone().unwrap_or_default()
    }

    /// Records that a query was sent; the query is open until `query_finished`.
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
        state.max_response_time = state.max_response_time.max(took);
        let response_times =
            state.response_times.get_or_insert_with(|| Histogram::new(3).expect("three digits are allowed"));
        let _ = response_times.record(took.as_micros() as u64);
    }

    /// Records that a replica starts to process the part. A part id of the form `q@site....1`, as another site sends
    /// it, is recorded as part 1 of query `q`.
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
            state.repeated_runs.push(at);
        }
    }

    /// Largest excess of repeated runs over the budget in any window; zero or less if the budget was kept.
    pub fn over_budget(&self, budget: RetryBudget) -> f64 {
        let state = self.0.borrow();
        over_budget(&state.sent, &state.repeated_runs, budget)
    }

    /// Excess over the budget, with the repeated runs from this log and the queries from `others`. Each of the other
    /// logs must have been created before any part ran.
    pub fn over_budget_with_queries_of(&self, others: &[&QueryLog], budget: RetryBudget) -> f64 {
        let state = self.0.borrow();
        let mut sent: Vec<SentQuery> = Vec::new();
        for other in others {
            let other = other.0.borrow();
            // Converts from the clock of the other log to the clock of this one.
            let offset = other.start.saturating_duration_since(state.start);
            sent.extend(other.sent.iter().map(|query| SentQuery { at: query.at + offset, ..*query }));
        }
        sent.sort();
        over_budget(&sent, &state.repeated_runs, budget)
    }

    /// Number of queries with the outcome.
    pub fn count(&self, outcome: QueryOutcome) -> u64 {
        self.0.borrow().queries.values().filter(|recorded| **recorded == Some(outcome)).count() as u64
    }

    /// Number of queries answered with a status that no co-ordinator should send.
    pub fn unexpected_statuses(&self) -> u64 {
        let unexpected =
            |outcome: &&Option<QueryOutcome>| matches!(outcome, Some(QueryOutcome::UnexpectedStatus(_)));
        self.0.borrow().queries.values().filter(unexpected).count() as u64
    }

    /// Number of queries sent.
    pub fn total(&self) -> u64 {
        self.0.borrow().queries.len() as u64
    }

    /// Number of queries that have not ended.
    pub fn open(&self) -> u64 {
        self.0.borrow().queries.values().filter(|outcome| outcome.is_none()).count() as u64
    }

    /// Number of outcomes recorded for queries that already had one.
    pub fn answered_twice(&self) -> u64 {
        self.0.borrow().answered_twice
    }

    /// Number of parts that ran more than once, among queries whose ids start with the prefix.
    pub fn parts_run_again(&self, prefix: &str) -> u64 {
        self.0.borrow().runs.iter().filter(|(id, n)| id.starts_with(prefix) && **n > 1).count() as u64
    }

    /// Number of runs of parts, first and repeated ones.
    pub fn part_runs(&self) -> u64 {
        self.0.borrow().runs.values().map(|n| u64::from(*n)).sum()
    }

    /// Quantile of the response time, in milliseconds; 0 if there was no response.
    pub fn response_time_ms(&self, quantile: f64) -> f64 {
        let state = self.0.borrow();
        state.response_times.as_ref().map_or(0.0, |times| times.value_at_quantile(quantile) as f64 / 1000.0)
    }

    /// The longest response time, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        self.0.borrow().max_response_time.as_secs_f64() * 1000.0
    }

    /// Fraction of all queries that got a complete or partial answer within the limit.
    pub fn answered_within(&self, limit: Duration) -> f64 {
        let state = self.0.borrow();
        let in_time = state.answer_times.iter().filter(|time| **time <= limit).count();
        in_time as f64 / state.queries.len().max(1) as f64
    }

    /// Ratio of the utility earned to the utility offered.
    pub fn service(&self) -> f64 {
        let Utility { earned, offered } = self.0.borrow().utility;
        earned / offered.max(1e-9)
    }

    /// Utility and failures of the queries sent between `from` and `to`.
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

fn over_budget(sent: &[SentQuery], repeated_runs: &[Duration], budget: RetryBudget) -> f64 {
    let count_between = |times: &[Duration], from: Duration, to: Duration| {
        times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
    };
    let mut sent_times = Vec::new();
    for query in sent {
        sent_times.extend(std::iter::repeat_n(query.at, 1 + query.parts));
    }
    let RetryBudget { free, fraction, window, run_delay } = budget;
    let excess = repeated_runs.iter().map(|&t| {
        let run_count = count_between(repeated_runs, t.saturating_sub(window), t);
        let sent_count = count_between(&sent_times, t.saturating_sub(window + run_delay), t);
        run_count as f64 - free - fraction * sent_count as f64
    });
    excess.fold(-free, f64::max)
}

#[cfg(test)]
mod tests;
