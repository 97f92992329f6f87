//! Run-time audit of the co-ordinator's rules.
//!
//! The co-ordinator notifies the audit of each action as it happens. The audit keeps its own records, counts violations
//! (`/counters`, lines `violations RULE`) and logs each with its request and reason. It makes no decisions and shares
//! no state with the guards that it checks; `docs/rules.md` lists guard and check of each rule.

mod checker;
mod rules;

pub use checker::{AdmittedQuery, Audit, RecordCounts, SentAttempt};
pub use rules::{AuditRules, ClassRules, Rule, violated};

#[cfg(test)]
mod tests;
