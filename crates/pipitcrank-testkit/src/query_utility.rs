//! Utility of a query: the priority weight of its request class and the fraction of it that an answer earns.

use std::time::Duration;

use crate::query_outcome::QueryOutcome;

/// Fraction of its utility that a partial answer earns: nine tenths of the lowest coverage that is still usable, 0.8.
const PARTIAL_FRACTION: f64 = 0.9 * 0.8;
/// Fraction of its utility that an answer after the latency objective earns.
const LATE_FRACTION: f64 = 0.3;

/// Utility of one query.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Utility {
    /// Utility that its answer earned.
    pub earned: f64,
    /// Utility that a complete answer within the latency objective would have earned.
    pub offered: f64,
}

/// Priority weight and latency objective of a request class, as set in the node configuration.
fn class_weight(class: &str) -> (f64, Duration) {
    match class {
        "rank" => (3.0, Duration::from_secs(1)),
        "sale" => (1.0, Duration::from_secs(3)),
        _ => (1.0, Duration::from_secs(1)),
    }
}

/// Utility of a query. Its request class is the text before the first `-` of its id.
pub(crate) fn of_query(id: &str, outcome: QueryOutcome, took: Duration) -> Utility {
    let (offered, objective) = class_weight(id.split('-').next().unwrap_or(""));
    let fraction = match outcome {
        QueryOutcome::Complete => 1.0,
        QueryOutcome::Partial => PARTIAL_FRACTION,
        _ => 0.0,
    };
    let time_factor = if took <= objective { 1.0 } else { LATE_FRACTION };
    Utility { earned: offered * fraction * time_factor, offered }
}
