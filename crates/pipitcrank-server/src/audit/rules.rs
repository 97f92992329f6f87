//! The rules that are checked, and what the settings say of them.

use pipitcrank_core::ids::Idempotency;
use pipitcrank_core::time::TimeSpan;

use crate::runtime::counter_names::group;
use crate::runtime::counters::Counters;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A query is answered by its client's deadline.
    AnswerInTime,
    /// A query has one final answer.
    OneAnswer,
    /// Nothing is sent for a query that has ended.
    NothingSentAfterAnswer,
    /// Nothing is sent for a client that has closed.
    NothingSentAfterClose,
    /// A connection is not closed while its request is unanswered.
    NoCloseUnanswered,
    /// A replica is sent no later deadline than the client's.
    DeadlineNotExtended,
    /// A part that is not idempotent is not repeated once it may have run.
    NoUnsafeRetry,
    /// A part that is idempotent by key is repeated only within the window.
    RetryWithinWindow,
    /// Hedged requests are sent only where they are allowed.
    NoForbiddenHedge,
    /// A part has no more attempts than allowed.
    AttemptLimit,
    /// Nothing is sent to a replica that drains.
    NothingSentToDraining,
    /// Retries and hedged requests stay within the budget.
    RetryBudget,
    /// An answer has the weight that its mark stands for.
    AnswerWeight,
}

impl Rule {
    /// Its name in `/counters`.
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

/// Counts one violation and logs it.
pub fn violated(counters: &Counters, rule: Rule, request: &str, reason: &str) {
    counters.add(group::VIOLATIONS, rule.name());
    tracing::error!(rule = rule.name(), request, reason, "a rule is broken");
}

/// What the settings say of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// Whether a part may be repeated.
    pub idempotency: Idempotency,
    /// For how long replicas recognize a repeat by its key, from the first attempt.
    pub dedup_window: TimeSpan,
    /// Weight that any answer needs.
    pub floor: f64,
    /// Weight that a complete answer needs.
    pub complete_from: f64,
}

/// What the settings say of attempts.
#[derive(Clone, Debug)]
pub struct AuditRules {
    /// By request class.
    pub classes: Vec<ClassRules>,
    /// Whether hedged requests are allowed.
    pub may_hedge: bool,
    /// Most attempts at a part.
    pub max_attempts: u32,
    /// For how long after the list named a replica as draining an attempt may still be sent to it.
    pub drain_grace: TimeSpan,
    /// Retries and hedged requests that are free in each window.
    pub budget_free: f64,
    /// Further ones for each admitted request.
    pub budget_ratio: f64,
    /// The window; none where there is no budget.
    pub budget_window: Option<TimeSpan>,
}
