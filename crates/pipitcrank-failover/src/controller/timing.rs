//! Times that operators set, and the sizes and intervals of steps.

use pipitcrank_core::time::TimeSpan;

/// Times that operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverTiming {
    /// For how long evidence against a zone must hold before it is drained.
    pub suspect_after: TimeSpan,
    /// For how long a zone out of service must be healthy before it returns; doubled at each relapse.
    pub hold_down: TimeSpan,
    /// The longest hold-down.
    pub max_hold_down: TimeSpan,
    /// For how long a zone must serve without a fault before its hold-down is at its shortest again.
    pub hold_down_reset_after: TimeSpan,
}

/// For how long evidence must hold before anything is decided from it: two reports of each reporter.
pub(super) const OBSERVED_FOR: TimeSpan = TimeSpan::from_millis(300);
/// Thousandths of a zone's load by which it is drained at once: other zones receive a quarter of its load at a time.
pub(super) const DRAIN_STEP: u16 = 250;
/// Time between two steps of draining; a zone is drained in 0.8 s.
pub(super) const DRAIN_STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Thousandths of a zone's load by which it returns at once: its replicas are still warming up.
pub(super) const RETURN_STEP: u16 = 125;
/// Time between two steps of returning.
pub(super) const RETURN_STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Fraction of replicas that are warming up from which a zone returns at half the pace.
pub(super) const SLOW_RETURN_FRACTION: f64 = 0.3;
/// Shortest time from a decision to one that only updates capacity and demand.
pub(super) const LOAD_UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
