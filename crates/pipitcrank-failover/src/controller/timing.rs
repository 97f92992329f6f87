//! Times set by operators, sizes and intervals of steps.

use pipitcrank_core::time::TimeSpan;

/// Times set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverTiming {
    /// Time for which a zone must be unhealthy before it is drained.
    pub suspect_after: TimeSpan,
    /// Time for which a zone out of service must be healthy before it returns; doubled at each relapse.
    pub hold_down: TimeSpan,
    /// Upper bound of the hold-down.
    pub max_hold_down: TimeSpan,
    /// Time for which a zone must serve without a fault before its hold-down is reset to the shortest one.
    pub hold_down_reset_after: TimeSpan,
}

/// Time for which evidence must be unchanged before a decision is based on it: two reports of each reporter.
pub(super) const OBSERVATION_TIME: TimeSpan = TimeSpan::from_millis(300);
/// Load moved away by one drain step, in thousandths: the other zones take over a quarter of the load at a
/// time.
pub(super) const DRAIN_STEP: u16 = 250;
/// Time between two drain steps. The four steps take 0.8 s.
pub(super) const DRAIN_STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Load moved back by one return step, in thousandths; small because the replicas are still warming up.
pub(super) const RETURN_STEP: u16 = 125;
/// Time between two return steps.
pub(super) const RETURN_STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Fraction of replicas warming up at which a zone returns at half the pace.
pub(super) const SLOW_RETURN_FRACTION: f64 = 0.3;
/// Minimum time from a proposal to one that only updates capacity and demand.
pub(super) const LOAD_UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
