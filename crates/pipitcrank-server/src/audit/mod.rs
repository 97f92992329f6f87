//! Run-time check of the rules.
//!
//! The audit is notified of what the coordinator does, at the moment it does it, keeps records of its own and counts each violation
//! (`/counters`, lines `violations RULE`), with a log event that names request and reason. It decides nothing and shares no
//! state with the guards that it checks; `docs/rules.md` lists both for each rule.

mod checker;
mod rules;

pub use checker::{AdmittedQuery, Audit, RecordCounts, SentAttempt};
pub use rules::{AuditRules, ClassRules, Rule, violated};

#[cfg(test)]
mod tests;
