//! The records of the audit, and its checks.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use pipitcrank_core::ids::{AttemptId, AttemptOutcome, Idempotency, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::rules::{AuditRules, Rule, violated};
use crate::runtime::counters::Counters;

/// For so long after the client's deadline a final answer counts.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// For so long after its client has closed an attempt may begin.
const CLOSE_SLACK: TimeSpan = TimeSpan::from_millis(100);
/// By so much the deadline sent to a replica may exceed what the client has left.
const DEADLINE_SLACK: TimeSpan = TimeSpan::from_millis(150);
/// By so much time limits on sockets are longer (protocol page).
const SOCKET_SLACK: TimeSpan = TimeSpan::from_millis(50);
/// By so much sums of weights may fall short.
const WEIGHT_SLACK: f64 = 1e-4;

/// A query that was admitted.
pub struct AdmittedQuery<'a> {
    /// Stands for the query.
    pub ticket: u64,
    /// The client's id of it.
    pub id: &'a str,
    /// Its request class.
    pub class: RequestClassId,
    /// The client's own deadline.
    pub deadline: Timestamp,
    /// Another site forwarded it, and counts it in its own budget.
    pub forwarded: bool,
    /// Its parts.
    pub parts: &'a [PartId],
}

/// An attempt whose first byte is about to be written.
pub struct SentAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it goes.
    pub replica: ReplicaId,
    /// The time left that is sent to the replica.
    pub time_left: TimeSpan,
}

struct QueryRecord {
    id: Rc<str>,
    class: RequestClassId,
    deadline: Timestamp,
    forwarded: bool,
    answered: bool,
    closed: Option<Timestamp>,
    /// Number of its parts that are open.
    parts: usize,
}

enum AttemptState {
    InFlight,
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
    /// Attempts whose first byte was written; at most as many as the settings allow.
    attempts: Vec<AttemptRecord>,
}

/// Numbers of records.
#[derive(Debug, PartialEq, Eq)]
pub struct RecordCounts {
    /// Of queries.
    pub queries: usize,
    /// Of parts.
    pub parts: usize,
}

/// The audit. Records of a query and its parts end as the exchange releases them, a replica's with the replica.
pub struct Audit {
    rules: AuditRules,
    counters: Counters,
    queries: BTreeMap<u64, QueryRecord>,
    parts: BTreeMap<PartId, PartRecord>,
    /// Since when replicas drain.
    draining: BTreeMap<ReplicaId, Timestamp>,
    /// Times of admitted requests; removed as they leave the budget's window.
    admitted: VecDeque<Timestamp>,
    /// Times of retries and hedged requests; removed as they leave the budget's window.
    retries: VecDeque<Timestamp>,
}

impl Audit {
    /// An audit without records.
    pub fn new(rules: AuditRules, counters: Counters) -> Audit {
        Audit {
            rules,
            counters,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            draining: BTreeMap::new(),
            admitted: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// A query was admitted.
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
            self.admitted.extend(std::iter::repeat_n(now, 1 + parts.len()));
            while self.admitted.front().is_some_and(|&at| now - at > window) {
                self.admitted.pop_front();
            }
        }
    }

    /// The first byte of an attempt is written next.
    pub fn sent(&mut self, now: Timestamp, sent: SentAttempt) {
        let AttemptId { part, number } = sent.attempt;
        let after_answer = Rule::NothingSentAfterAnswer;
        let Some(record) = self.parts.get(&part) else {
            return violated(&self.counters, after_answer, "unknown", "the part is not open");
        };
        let Some(query) = self.queries.get(&record.ticket) else {
            return violated(&self.counters, after_answer, "unknown", "the query is not open");
        };
        let (is_repeat, forwarded) = (!record.attempts.is_empty(), query.forwarded);
        for (rule, reason) in self.broken_by(now, query, record, &sent) {
            violated(&self.counters, rule, &query.id, reason);
        }
        let id = query.id.clone();
        if let Some(record) = self.parts.get_mut(&part) {
            record.attempts.push(AttemptRecord { number, at: now, state: AttemptState::InFlight });
        }
        if is_repeat && !forwarded {
            self.retried(now, &id);
        }
    }

    /// The rules that this attempt breaks, but for the budget's.
    fn broken_by(
        &self,
        now: Timestamp,
        query: &QueryRecord,
        part: &PartRecord,
        sent: &SentAttempt,
    ) -> Vec<(Rule, &'static str)> {
        let rules = &self.rules;
        let class = &rules.classes[query.class.0 as usize];
        let may_have_run = part.attempts.iter().find(|a| !matches!(a.state, AttemptState::NeverRan));
        let in_flight = part.attempts.iter().any(|a| matches!(a.state, AttemptState::InFlight));
        let drained = self.draining.get(&sent.replica).is_some_and(|&at| now - at > rules.drain_grace);
        let closed = query.closed.is_some_and(|at| now - at > CLOSE_SLACK);
        let unsafe_repeat = class.idempotency == Idempotency::NonIdempotent && may_have_run.is_some();
        let late_repeat = class.idempotency == Idempotency::IdempotentByKey
            && may_have_run.is_some_and(|first| now - first.at > class.dedup_window);
        let too_long = sent.time_left > query.deadline - now + DEADLINE_SLACK;
        let too_many = part.attempts.len() as u32 >= rules.max_attempts;
        let all = [
            (query.answered, Rule::NothingSentAfterAnswer, "its query was answered"),
            (closed, Rule::NothingSentAfterClose, "its client had closed"),
            (too_long, Rule::DeadlineNotExtended, "more than the client has"),
            (unsafe_repeat, Rule::NoUnsafeRetry, "an earlier attempt may have run"),
            (late_repeat, Rule::RetryWithinWindow, "beyond the window from the first attempt"),
            (in_flight && !rules.may_hedge, Rule::NoForbiddenHedge, "an earlier attempt is in flight"),
            (too_many, Rule::AttemptLimit, "over the attempts allowed"),
            (drained, Rule::NothingSentToDraining, "its replica drains or is gone"),
        ];
        all.into_iter().filter(|(broken, ..)| *broken).map(|(_, rule, reason)| (rule, reason)).collect()
    }

    fn retried(&mut self, now: Timestamp, id: &str) {
        let Some(window) = self.rules.budget_window else { return };
        self.retries.push_back(now);
        while self.retries.front().is_some_and(|&at| now - at > window) {
            self.retries.pop_front();
        }
        let admitted = self.admitted.iter().filter(|&&at| now - at < window + SOCKET_SLACK).count();
        let budget = self.rules.budget_free + self.rules.budget_ratio * admitted as f64;
        if self.retries.len() as f64 > budget + WEIGHT_SLACK {
            violated(&self.counters, Rule::RetryBudget, id, "more retries than the budget allows");
        }
    }

    /// No byte of the attempt was written after all.
    pub fn unsent(&mut self, attempt: AttemptId) {
        let Some(record) = self.parts.get_mut(&attempt.part) else { return };
        record.attempts.retain(|other| other.number != attempt.number);
        if !record.attempts.is_empty() {
            self.retries.pop_back();
        }
    }

    /// An attempt has ended.
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

    /// The final answer is given. `weight`: of the parts whose values are in it, none where it carries no values; `complete`:
    /// it is marked so.
    pub fn answered(&mut self, now: Timestamp, ticket: u64, weight: Option<f64>, complete: bool) {
        let Some(query) = self.queries.get_mut(&ticket) else { return };
        if std::mem::replace(&mut query.answered, true) {
            violated(&self.counters, Rule::OneAnswer, &query.id, "it has had its final answer");
        }
        if now - query.deadline > ANSWER_SLACK && query.closed.is_none() {
            violated(&self.counters, Rule::AnswerInTime, &query.id, "after the client's deadline");
        }
        let class = &self.rules.classes[query.class.0 as usize];
        let needed = if complete { class.complete_from } else { class.floor.min(class.complete_from) };
        if weight.is_some_and(|weight| weight + 2.0 * WEIGHT_SLACK < needed) {
            violated(&self.counters, Rule::AnswerWeight, &query.id, "the parts in it weigh too little");
        }
    }

    /// The client closed, or its own connection ended.
    pub fn client_closed(&mut self, now: Timestamp, ticket: u64) {
        let Some(query) = self.queries.get_mut(&ticket) else { return };
        query.closed = query.closed.or(Some(now));
        if !query.answered && now - query.deadline > ANSWER_SLACK {
            violated(&self.counters, Rule::AnswerInTime, &query.id, "the client left, after its deadline");
        }
    }

    /// The endpoint list names the replica as draining since then, or as up.
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

    /// The exchange has released the query: whatever is sent for it from now on is sent after its end.
    pub fn release_query(&mut self, ticket: u64) {
        if let Some(query) = self.queries.get_mut(&ticket) {
            query.answered = true;
            self.remove_if_over(ticket);
        }
    }

    /// The exchange has released the part.
    pub fn release_part(&mut self, part: PartId) {
        let Some(record) = self.parts.remove(&part) else { return };
        if let Some(query) = self.queries.get_mut(&record.ticket) {
            query.parts -= 1;
            self.remove_if_over(record.ticket);
        }
    }

    fn remove_if_over(&mut self, ticket: u64) {
        if self.queries.get(&ticket).is_some_and(|query| query.answered && query.parts == 0) {
            self.queries.remove(&ticket);
        }
    }

    /// The exchange has released the replica.
    pub fn release_replica(&mut self, replica: ReplicaId) {
        self.draining.remove(&replica);
    }

    /// Numbers of records.
    pub fn record_counts(&self) -> RecordCounts {
        RecordCounts { queries: self.queries.len(), parts: self.parts.len() }
    }
}
