//! The audited rules, and the settings that they depend on.

use pipitcrank_core::ids::Idempotency;
use pipitcrank_core::time::TimeSpan;

use crate::runtime::counter_names::group;
use crate::runtime::counters::Counters;

/// A rule that the co-ordinator must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A query is answered by its client's deadline.
    AnswerInTime,
    /// A query has one final answer.
    OneAnswer,
    /// No attempt is sent for a query that has ended.
    NothingSentAfterAnswer,
    /// No attempt is sent for a client that has closed its connection.
    NothingSentAfterClose,
    /// A connection is not closed while a request on it is unanswered.
    NoCloseUnanswered,
    /// The deadline sent to a replica is not later than the client's.
    DeadlineNotExtended,
    /// A part that is not idempotent is not retried once it may have run.
    NoUnsafeRetry,
    /// A part that is idempotent by key is retried only within the deduplication window.
    RetryWithinWindow,
    /// Hedged requests are sent only if the settings allow them.
    NoForbiddenHedge,
    /// A part has no more attempts than the settings allow.
    AttemptLimit,
    /// No attempt is sent to a draining replica.
    NothingSentToDraining,
    /// Retries and hedged requests stay within the retry budget.
    RetryBudget,
    /// The parts in an answer have the weight that its `complete` mark implies.
    AnswerWeight,
}

impl Rule {
    /// Name of the rule in `/counters`.
    pub fn name(self) -> &'static str {
        match self {
            Rule::AnswerInTime => "late_answer",
            Rule::OneAnswer => "second_answer",
            Rule::NothingSentAfterAnswer => "sent_after_answer",
            Rule::NothingSentAfterClose => "sent_after_close",
            Rule::NoCloseUnanswered => "closed_unanswered",
            Rule::DeadlineNotExtended => "deadline_told",
            Rule::NoUnsafeRetry => "repeated_unsafe",
            Rule::RetryWithinWindow => "repeated_late",
            Rule::NoForbiddenHedge => "second_copy",
            Rule::AttemptLimit => "too_many_tries",
            Rule::NothingSentToDraining => "sent_to_drained",
            Rule::RetryBudget => "budget",
            Rule::AnswerWeight => "dishonest_answer",
        }
    }
}

/// Counts and logs one violation.
pub fn violated(counters: &Counters, rule: Rule, request: &str, reason: &str) {
    counters.add(group::VIOLATIONS, rule.name());
    tracing::error!(rule = rule.name(), request, reason, "a rule is broken");
}

/// The settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// Whether a part may be retried.
    pub idempotency: Idempotency,
    /// Time from the first attempt for which replicas detect duplicates by key.
    pub dedup_window: TimeSpan,
    /// Minimum weight of an answer.
    pub floor: f64,
    /// Minimum weight of a complete answer.
    pub complete_from: f64,
}

/// The settings that the audit checks attempts and answers against.
#[derive(Clone, Debug)]
pub struct AuditRules {
    /// Settings of each request class, by id.
    pub classes: Vec<ClassRules>,
    /// Whether hedged requests are allowed.
    pub may_hedge: bool,
    /// Maximum number of attempts per part.
    pub max_attempts: u32,
    /// Time after the endpoint list marks a replica as draining in which attempts may still be sent to it.
    pub drain_grace: TimeSpan,
    /// Retries and hedged requests allowed in each window regardless of the load.
    pub budget_free: f64,
    /// Additional retries and hedged requests allowed per admitted request.
    pub budget_ratio: f64,
    /// Window of the retry budget; `None` if there is no budget.
    pub budget_window: Option<TimeSpan>,
}
