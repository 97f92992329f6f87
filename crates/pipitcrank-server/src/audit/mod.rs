//! Run-time check of the rules. It is time_left what the co-ordinator does, at the moment it does it, keeps books of its own
//! and counts each violation (`/counters`, lines `violations RULE`), with a log event that names request and reason. It
//! decides nothing and shares no state with the guards it checks; `docs/rules.md` lists both for each rule.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use pipitcrank_core::ids::{AttemptOutcome, Idempotency, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use crate::runtime::counters::Counters;

/// A final answer counts for so long after the client's time; later it is as good as none.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// An attempt may begin for so long after its client has closed.
const CLOSE_SLACK: TimeSpan = TimeSpan::from_millis(100);
/// The time time_left to a replica may be so much more than the client has left.
const DEADLINE_SLACK: TimeSpan = TimeSpan::from_millis(150);
/// Time limits on sockets are longer by this (protocol page).
const SOCKET_SLACK: TimeSpan = TimeSpan::from_millis(50);
/// Sums of weights may fall short by this much.
const WEIGHT_SLACK: f64 = 1e-4;

/// The rules that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    LateAnswer,
    SecondAnswer,
    SentAfterAnswer,
    SentAfterClose,
    ClosedUnanswered,
    DeadlineTold,
    RepeatedUnsafe,
    RepeatedLate,
    SecondCopy,
    TooManyTries,
    SentToDrained,
    Budget,
    DishonestAnswer,
}

impl Rule {
    /// Its word in `/counters`.
    pub fn name(self) -> &'static str {
        match self {
            Rule::LateAnswer => "late_answer",
            Rule::SecondAnswer => "second_answer",
            Rule::SentAfterAnswer => "sent_after_answer",
            Rule::SentAfterClose => "sent_after_close",
            Rule::ClosedUnanswered => "closed_unanswered",
            Rule::DeadlineTold => "deadline_told",
            Rule::RepeatedUnsafe => "repeated_unsafe",
            Rule::RepeatedLate => "repeated_late",
            Rule::SecondCopy => "second_copy",
            Rule::TooManyTries => "too_many_tries",
            Rule::SentToDrained => "sent_to_drained",
            Rule::Budget => "budget",
            Rule::DishonestAnswer => "dishonest_answer",
        }
    }
}

/// Counts one violation and logs it.
pub fn violated(counters: &Counters, rule: Rule, request: &str, reason: &str) {
    counters.add("violations", rule.name());
    tracing::error!(rule = rule.name(), request, reason, "a rule is broken");
}

/// What the settings say of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    pub idempotency: Idempotency,
    pub dedup_window: TimeSpan,
    /// Weight needed for any answer, and for a whole one.
    pub floor: f64,
    pub whole_from: f64,
}

/// What the settings say of attempts.
#[derive(Clone, Debug)]
pub struct AuditRules {
    pub classes: Vec<ClassRules>,
    pub may_duplicate: bool,
    pub try_limit: u32,
    pub drain_grace: TimeSpan,
    pub budget_free: f64,
    pub budget_ratio: f64,
    /// None where there is no budget.
    pub budget_span: Option<TimeSpan>,
}

/// A query as it was taken.
pub struct AdmittedQuery<'a> {
    pub ticket: u64,
    pub id: &'a str,
    pub class: RequestClassId,
    /// When the client's own time is over.
    pub deadline: Timestamp,
    /// Another site's: that one counts it in its budget.
    pub forwarded: bool,
    pub parts: &'a [PartId],
}

/// An attempt whose first byte is about to be written.
pub struct SentAttempt {
    pub part: PartId,
    pub attempt: u32,
    pub replica: ReplicaId,
    /// The time time_left to the replica.
    pub time_left: TimeSpan,
}

struct Query {
    id: Rc<str>,
    class: RequestClassId,
    deadline: Timestamp,
    forwarded: bool,
    answered: bool,
    closed: Option<Timestamp>,
    /// Parts of it that are held.
    parts: usize,
}

enum State {
    Out,
    NeverRan,
    MayHaveRun,
}

struct Attempt {
    number: u32,
    at: Timestamp,
    state: State,
}

struct PartRecord {
    ticket: u64,
    /// Attempts whose first byte was written; at most the tries the settings allow.
    attempts: Vec<Attempt>,
}

/// The books. A query's and a part's entry end as the exchange lets go of them, a replica's with the replica.
pub struct Audit {
    terms: AuditRules,
    counters: Counters,
    queries: BTreeMap<u64, Query>,
    parts: BTreeMap<PartId, PartRecord>,
    /// Since when replicas count as draining or gone.
    drained: BTreeMap<ReplicaId, Timestamp>,
    /// Times of requests taken and of further attempts; emptied as they leave the budget's span.
    taken: VecDeque<Timestamp>,
    further: VecDeque<Timestamp>,
}

impl Audit {
    pub fn new(terms: AuditRules, counters: Counters) -> Audit {
        Audit {
            terms,
            counters,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            drained: BTreeMap::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
        }
    }

    pub fn admitted(&mut self, now: Timestamp, query: AdmittedQuery) {
        let AdmittedQuery { ticket, id, class, deadline, forwarded, parts } = query;
        let query = Query {
            id: id.into(),
            class,
            deadline,
            forwarded,
            answered: false,
            closed: None,
            parts: parts.len(),
        };
        self.queries.insert(ticket, query);
        for &part in parts {
            self.parts.insert(part, PartRecord { ticket, attempts: Vec::new() });
        }
        if let Some(span) = self.terms.budget_span.filter(|_| !forwarded) {
            self.taken.extend(std::iter::repeat_n(now, 1 + parts.len()));
            while self.taken.front().is_some_and(|&t| now - t > span) {
                self.taken.pop_front();
            }
        }
    }

    /// The last look has passed it: its first byte is written next.
    pub fn sent(&mut self, now: Timestamp, sent: SentAttempt) {
        let SentAttempt { part, attempt, replica, time_left } = sent;
        let Some(book) = self.parts.get(&part) else {
            return violated(&self.counters, Rule::SentAfterAnswer, "unknown", "the part is not held");
        };
        let Some(query) = self.queries.get(&book.ticket) else {
            return violated(&self.counters, Rule::SentAfterAnswer, "unknown", "the query is not held");
        };
        let (further, forwarded) = (!book.attempts.is_empty(), query.forwarded);
        for (rule, reason) in self.broken_by(now, query, book, replica, time_left) {
            violated(&self.counters, rule, &query.id, reason);
        }
        let id = query.id.clone();
        if let Some(book) = self.parts.get_mut(&part) {
            book.attempts.push(Attempt { number: attempt, at: now, state: State::Out });
        }
        if further && !forwarded {
            self.spent(now, &id);
        }
    }

    /// The rules that this attempt breaks, but for the budget's.
    fn broken_by(
        &self,
        now: Timestamp,
        query: &Query,
        book: &PartRecord,
        replica: ReplicaId,
        time_left: TimeSpan,
    ) -> Vec<(Rule, &'static str)> {
        let terms = &self.terms;
        let class = &terms.classes[query.class.0 as usize];
        let risky = book.attempts.iter().find(|a| !matches!(a.state, State::NeverRan));
        let out = book.attempts.iter().any(|a| matches!(a.state, State::Out));
        let drained = self.drained.get(&replica).is_some_and(|&since| now - since > terms.drain_grace);
        let closed = query.closed.is_some_and(|at| now - at > CLOSE_SLACK);
        let unsafe_again = class.idempotency == Idempotency::NonIdempotent && risky.is_some();
        let late_again = class.idempotency == Idempotency::IdempotentByKey
            && risky.is_some_and(|first| now - first.at > class.dedup_window);
        let all = [
            (query.answered, Rule::SentAfterAnswer, "its query was answered"),
            (closed, Rule::SentAfterClose, "its client had closed"),
            (
                time_left > query.deadline - now + DEADLINE_SLACK,
                Rule::DeadlineTold,
                "more than the client has",
            ),
            (unsafe_again, Rule::RepeatedUnsafe, "an earlier attempt may have run"),
            (late_again, Rule::RepeatedLate, "beyond the window from the first attempt"),
            (out && !terms.may_duplicate, Rule::SecondCopy, "an earlier attempt is out"),
            (book.attempts.len() as u32 >= terms.try_limit, Rule::TooManyTries, "over the tries allowed"),
            (drained, Rule::SentToDrained, "its replica was time_left draining or gone"),
        ];
        all.into_iter().filter(|(broken, ..)| *broken).map(|(_, rule, reason)| (rule, reason)).collect()
    }

    /// A further attempt was made.
    fn spent(&mut self, now: Timestamp, id: &str) {
        let Some(span) = self.terms.budget_span else { return };
        self.further.push_back(now);
        while self.further.front().is_some_and(|&t| now - t > span) {
            self.further.pop_front();
        }
        let taken = self.taken.iter().filter(|&&t| now - t < span + SOCKET_SLACK).count();
        let most = self.terms.budget_free + self.terms.budget_ratio * taken as f64;
        if self.further.len() as f64 > most + WEIGHT_SLACK {
            violated(&self.counters, Rule::Budget, id, "more further attempts than the budget allows");
        }
    }

    /// Nothing of the attempt was written after all.
    pub fn unsent(&mut self, part: PartId, attempt: u32) {
        let Some(book) = self.parts.get_mut(&part) else { return };
        book.attempts.retain(|a| a.number != attempt);
        if !book.attempts.is_empty() {
            self.further.pop_back();
        }
    }

    pub fn attempt_ended(&mut self, part: PartId, attempt: u32, outcome: AttemptOutcome) {
        let book = self.parts.get_mut(&part);
        if let Some(attempt) = book.and_then(|b| b.attempts.iter_mut().find(|a| a.number == attempt)) {
            let never = matches!(
                outcome,
                AttemptOutcome::NoCapacity | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent
            );
            attempt.state = if never { State::NeverRan } else { State::MayHaveRun };
        }
    }

    /// The final answer goes out. `weight`: of the parts whose values are in it, none where it carries no values; `whole`: it
    /// is marked so.
    pub fn answered(&mut self, now: Timestamp, ticket: u64, weight: Option<f64>, whole: bool) {
        let Some(query) = self.queries.get_mut(&ticket) else { return };
        if std::mem::replace(&mut query.answered, true) {
            violated(&self.counters, Rule::SecondAnswer, &query.id, "it has had its final answer");
        }
        if now - query.deadline > ANSWER_SLACK && query.closed.is_none() {
            violated(&self.counters, Rule::LateAnswer, &query.id, "after the client's time");
        }
        let class = &self.terms.classes[query.class.0 as usize];
        let needed = if whole { class.whole_from } else { class.floor.min(class.whole_from) };
        if weight.is_some_and(|weight| weight + 2.0 * WEIGHT_SLACK < needed) {
            violated(&self.counters, Rule::DishonestAnswer, &query.id, "the parts in it weigh too little");
        }
    }

    /// The client closed, or its own connection ended.
    pub fn client_closed(&mut self, now: Timestamp, ticket: u64) {
        let Some(query) = self.queries.get_mut(&ticket) else { return };
        query.closed = query.closed.or(Some(now));
        if !query.answered && now - query.deadline > ANSWER_SLACK {
            violated(&self.counters, Rule::LateAnswer, &query.id, "the client left, after its time");
        }
    }

    /// A replica counts as draining or gone since then, or is up.
    pub fn replica_listed(&mut self, replica: ReplicaId, off_since: Option<Timestamp>) {
        match off_since {
            Some(since) => {
                self.drained.entry(replica).or_insert(since);
            }
            None => {
                self.drained.remove(&replica);
            }
        }
    }

    /// The exchange holds the query no more: whatever is sent for it from now on is sent after its end.
    pub fn release_query(&mut self, ticket: u64) {
        if let Some(query) = self.queries.get_mut(&ticket) {
            query.answered = true;
            self.forget_if_over(ticket);
        }
    }

    pub fn release_part(&mut self, part: PartId) {
        let Some(book) = self.parts.remove(&part) else { return };
        if let Some(query) = self.queries.get_mut(&book.ticket) {
            query.parts -= 1;
            self.forget_if_over(book.ticket);
        }
    }

    fn forget_if_over(&mut self, ticket: u64) {
        if self.queries.get(&ticket).is_some_and(|q| q.answered && q.parts == 0) {
            self.queries.remove(&ticket);
        }
    }

    pub fn release_replica(&mut self, replica: ReplicaId) {
        self.drained.remove(&replica);
    }

    /// Entries held, of queries and parts.
    pub fn held(&self) -> (usize, usize) {
        (self.queries.len(), self.parts.len())
    }
}

#[cfg(test)]
mod tests;
