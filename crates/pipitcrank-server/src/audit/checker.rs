//! The audit's records and checks.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use pipitcrank_core::ids::{AttemptId, AttemptOutcome, Idempotency, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::sliding_count::SlidingCount;
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::rules::{AuditRules, Rule, violated};
use crate::runtime::counters::Counters;

/// Time after the client's deadline within which a final answer is still in time.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// Time after the client's close within which an attempt may still begin.
const CLOSE_SLACK: TimeSpan = TimeSpan::from_millis(100);
/// Amount by which the time sent to a replica may exceed the client's remaining time.
const DEADLINE_SLACK: TimeSpan = TimeSpan::from_millis(150);
/// Amount by which the protocol extends time limits on sockets.
const SOCKET_SLACK: TimeSpan = TimeSpan::from_millis(50);
/// Rounding tolerance of sums of weights.
const WEIGHT_SLACK: f64 = 1e-4;

/// An admitted query.
pub struct AdmittedQuery<'a> {
    /// Identifies the query in this process.
    pub ticket: u64,
    /// The id that the client gave the query.
    pub id: &'a str,
    /// The request class.
    pub class: RequestClassId,
    /// The client's deadline.
    pub deadline: Timestamp,
    /// Whether another site forwarded the query; retries then count in that site's budget.
    pub forwarded: bool,
    /// The parts of the query.
    pub parts: &'a [PartId],
}

/// An attempt whose first byte is about to be written.
pub struct SentAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The replica to which the attempt is sent.
    pub replica: ReplicaId,
    /// The remaining time that is sent to the replica.
    pub time_left: TimeSpan,
}

struct QueryRecord {
    id: Rc<str>,
    class: RequestClassId,
    deadline: Timestamp,
    forwarded: bool,
    answered: bool,
    closed: Option<Timestamp>,
    /// Number of open parts.
    parts: usize,
}

enum AttemptState {
    Outstanding,
    NeverRan,
    MayHaveRun,
}

struct AttemptRecord {
    number: u32,
    at: Timestamp,
    state: AttemptState,
}

struct PartRecord {
    ticket: u64,
    /// Attempts whose first byte was written; the settings limit their number.
    attempts: Vec<AttemptRecord>,
}

/// Numbers of records that the audit holds.
#[derive(Debug, PartialEq, Eq)]
pub struct RecordCounts {
    /// Number of query records.
    pub queries: usize,
    /// Number of part records.
    pub parts: usize,
}

/// Checks the co-ordinator's actions against the rules. Records of queries, parts and replicas are removed when the
/// exchange releases these.
pub struct Audit {
    rules: AuditRules,
    counters: Counters,
    queries: BTreeMap<u64, QueryRecord>,
    parts: BTreeMap<PartId, PartRecord>,
    /// Time since which each draining replica has been listed as such.
    draining: BTreeMap<ReplicaId, Timestamp>,
    /// Admissions of queries and parts within the budget's window and its slack.
    admitted: SlidingCount,
    /// Times of retries and hedged requests within the budget's window.
    retries: VecDeque<Timestamp>,
}

impl Audit {
    /// Creates an audit without records.
    pub fn new(rules: AuditRules, counters: Counters) -> Audit {
        Audit {
            rules,
            counters,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            draining: BTreeMap::new(),
            admitted: SlidingCount::default(),
            retries: VecDeque::new(),
        }
    }

    /// Records the admission of a query.
    pub fn admitted(&mut self, now: Timestamp, query: AdmittedQuery) {
        let AdmittedQuery { ticket, id, class, deadline, forwarded, parts } = query;
        let record = QueryRecord {
            id: id.into(),
            class,
            deadline,
            forwarded,
            answered: false,
            closed: None,
            parts: parts.len(),
        };
        self.queries.insert(ticket, record);
        for &part in parts {
            self.parts.insert(part, PartRecord { ticket, attempts: Vec::new() });
        }
        if let Some(window) = self.rules.budget_window.filter(|_| !forwarded) {
            self.admitted.remove_expired(now, window + SOCKET_SLACK);
            self.admitted.add(now, 1 + parts.len());
        }
    }

    /// Checks and records an attempt whose first byte is about to be written.
    pub fn sent(&mut self, now: Timestamp, sent: SentAttempt) {
        let AttemptId { part, number } = sent.attempt;
        let after_answer = Rule::NothingSentAfterAnswer;
        let Some(record) = self.parts.get(&part) else {
            return violated(&self.counters, after_answer, "unknown", "the part is not open");
        };
        let Some(query) = self.queries.get(&record.ticket) else {
            return violated(&self.counters, after_answer, "unknown", "the query is not open");
        };
        let (is_retry, forwarded) = (!record.attempts.is_empty(), query.forwarded);
        for (rule, reason) in self.violations_by(now, query, record, &sent) {
            violated(&self.counters, rule, &query.id, reason);
        }
        let id = query.id.clone();
        if let Some(record) = self.parts.get_mut(&part) {
            record.attempts.push(AttemptRecord { number, at: now, state: AttemptState::Outstanding });
        }
        if is_retry && !forwarded {
            self.record_retry(now, &id);
        }
    }

    /// The rules that an attempt violates, except the retry budget, with the reasons.
    fn violations_by(
        &self,
        now: Timestamp,
        query: &QueryRecord,
        part: &PartRecord,
        sent: &SentAttempt,
    ) -> Vec<(Rule, &'static str)> {
        let rules = &self.rules;
        let class = &rules.classes[query.class.0 as usize];
        let may_have_run = part.attempts.iter().find(|a| !matches!(a.state, AttemptState::NeverRan));
        let outstanding = part.attempts.iter().any(|a| matches!(a.state, AttemptState::Outstanding));
        let drained = self.draining.get(&sent.replica).is_some_and(|&at| now - at > rules.drain_grace);
        let closed = query.closed.is_some_and(|at| now - at > CLOSE_SLACK);
        let unsafe_retry = class.idempotency == Idempotency::NonIdempotent && may_have_run.is_some();
        let late_retry = class.idempotency == Idempotency::IdempotentByKey
            && may_have_run.is_some_and(|first| now - first.at > class.dedup_window);
        let too_long = sent.time_left > query.deadline - now + DEADLINE_SLACK;
        let too_many = part.attempts.len() as u32 >= rules.max_attempts;
        let all = [
            (query.answered, Rule::NothingSentAfterAnswer, "the query was already answered"),
            (closed, Rule::NothingSentAfterClose, "the client had closed its connection"),
            (too_long, Rule::DeadlineNotExtended, "the deadline sent is later than the client's"),
            (unsafe_retry, Rule::NoUnsafeRetry, "an earlier attempt may have run"),
            (late_retry, Rule::RetryWithinWindow, "the deduplication window from the first attempt is over"),
            (outstanding && !rules.may_hedge, Rule::NoForbiddenHedge, "an earlier attempt is in flight"),
            (too_many, Rule::AttemptLimit, "the part already has the maximum number of attempts"),
            (drained, Rule::NothingSentToDraining, "the replica is draining or no longer listed"),
        ];
        all.into_iter().filter(|(broken, ..)| *broken).map(|(_, rule, reason)| (rule, reason)).collect()
    }

    fn record_retry(&mut self, now: Timestamp, id: &str) {
        let Some(window) = self.rules.budget_window else { return };
        self.retries.push_back(now);
        while self.retries.front().is_some_and(|&at| now - at > window) {
            self.retries.pop_front();
        }
        let admitted = self.admitted.count_within(now, window + SOCKET_SLACK);
        let budget = self.rules.budget_free + self.rules.budget_ratio * admitted as f64;
        if self.retries.len() as f64 > budget + WEIGHT_SLACK {
            violated(&self.counters, Rule::RetryBudget, id, "more retries than the budget allows");
        }
    }

    /// Removes the record of an attempt of which no byte was written.
    pub fn unsent(&mut self, attempt: AttemptId) {
        let Some(record) = self.parts.get_mut(&attempt.part) else { return };
        record.attempts.retain(|other| other.number != attempt.number);
        if !record.attempts.is_empty() {
            self.retries.pop_back();
        }
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let part = self.parts.get_mut(&attempt.part);
        let record = part.and_then(|p| p.attempts.iter_mut().find(|a| a.number == attempt.number));
        if let Some(record) = record {
            let never_ran = matches!(
                outcome,
                AttemptOutcome::NoCapacity | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent
            );
            record.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        }
    }

    /// Checks and records the final answer to a query. `weight` is the weight of the parts with a value in the answer,
    /// `None` if it carries no values; `complete` is the answer's mark.
    pub fn answered(&mut self, now: Timestamp, ticket: u64, weight: Option<f64>, complete: bool) {
        let Some(query) = self.queries.get_mut(&ticket) else { return };
        if std::mem::replace(&mut query.answered, true) {
            violated(&self.counters, Rule::OneAnswer, &query.id, "the query already had its final answer");
        }
        if now - query.deadline > ANSWER_SLACK && query.closed.is_none() {
            violated(
                &self.counters,
                Rule::AnswerInTime,
                &query.id,
                "the answer came after the client's deadline",
            );
        }
        let class = &self.rules.classes[query.class.0 as usize];
        let needed = if complete { class.complete_from } else { class.floor.min(class.complete_from) };
        if weight.is_some_and(|weight| weight + 2.0 * WEIGHT_SLACK < needed) {
            violated(
                &self.counters,
                Rule::AnswerWeight,
                &query.id,
                "the parts in the answer have too little weight",
            );
        }
    }

    /// Records that the client closed its connection, or that the connection was lost.
    pub fn client_closed(&mut self, now: Timestamp, ticket: u64) {
        let Some(query) = self.queries.get_mut(&ticket) else { return };
        query.closed = query.closed.or(Some(now));
        if !query.answered && now - query.deadline > ANSWER_SLACK {
            violated(
                &self.counters,
                Rule::AnswerInTime,
                &query.id,
                "the client disconnected without an answer after its deadline",
            );
        }
    }

    /// Records the state of a replica in the endpoint list: draining since a time, or up if `draining_since` is `None`.
    pub fn replica_listed(&mut self, replica: ReplicaId, draining_since: Option<Timestamp>) {
        match draining_since {
            Some(since) => {
                self.draining.entry(replica).or_insert(since);
            }
            None => {
                self.draining.remove(&replica);
            }
        }
    }

    /// Records that the exchange released a query; any attempt sent for it from now on is a violation.
    pub fn release_query(&mut self, ticket: u64) {
        if let Some(query) = self.queries.get_mut(&ticket) {
            query.answered = true;
            self.remove_if_done(ticket);
        }
    }

    /// Removes the record of a part that the exchange released.
    pub fn release_part(&mut self, part: PartId) {
        let Some(record) = self.parts.remove(&part) else { return };
        if let Some(query) = self.queries.get_mut(&record.ticket) {
            query.parts -= 1;
            self.remove_if_done(record.ticket);
        }
    }

    fn remove_if_done(&mut self, ticket: u64) {
        if self.queries.get(&ticket).is_some_and(|query| query.answered && query.parts == 0) {
            self.queries.remove(&ticket);
        }
    }

    /// Removes the record of a replica that the exchange released.
    pub fn release_replica(&mut self, replica: ReplicaId) {
        self.draining.remove(&replica);
    }

    /// Numbers of records that the audit holds.
    pub fn record_counts(&self) -> RecordCounts {
        RecordCounts { queries: self.queries.len(), parts: self.parts.len() }
    }
}
