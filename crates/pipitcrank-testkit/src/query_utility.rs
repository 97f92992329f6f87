//! Utility of a query: the priority weight of its request class, and how much of it an answer earns.

use std::time::Duration;

use crate::query_outcome::QueryOutcome;

/// Fraction of its utility that a partial answer earns: nine tenths of the least coverage that still serves.
const PARTIAL_FRACTION: f64 = 0.9 * 0.8;
/// Fraction that an answer past the latency objective earns.
const LATE_FRACTION: f64 = 0.3;

/// Utility of one query.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Utility {
    /// What its answer earned.
    pub earned: f64,
    /// What a complete answer within the latency objective would have earned.
    pub offered: f64,
}

/// Priority weight and latency objective of a request class, as the node configuration states them.
fn class_weight(class: &str) -> (f64, Duration) {
    match class {
        "rank" => (3.0, Duration::from_secs(1)),
        "sale" => (1.0, Duration::from_secs(3)),
        _ => (1.0, Duration::from_secs(1)),
    }
}

/// Utility of the query with that id, whose class is the id's part before the first `-`.
pub(crate) fn of_query(id: &str, outcome: QueryOutcome, took: Duration) -> Utility {
    let (offered, objective) = class_weight(id.split('-').next().unwrap_or(""));
    let fraction = match outcome {
        QueryOutcome::Complete => 1.0,
        QueryOutcome::Partial => PARTIAL_FRACTION,
        _ => 0.0,
    };
    let lateness = if took <= objective { 1.0 } else { LATE_FRACTION };
    Utility { earned: offered * fraction * lateness, offered }
}
