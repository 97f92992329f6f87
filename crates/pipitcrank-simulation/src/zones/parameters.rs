//! Parameters of the experiment. Times without a unit in their type are seconds since the start.

use std::ops::Range;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_failover::controller::FailoverTiming;

/// Step of load and replicas.
pub const STEP: TimeSpan = TimeSpan::from_millis(100);
/// Replicas of a zone, and parts a second that one answers.
pub const REPLICAS_PER_ZONE: u16 = 40;
pub const REPLICA_CAPACITY: f64 = 200.0;
/// Part of a replica's capacity that the failover controller plans with.
pub const USABLE_CAPACITY: f64 = 0.95;
/// Demand as a fraction of all replicas' capacity: without one of three zones the others have a tenth to spare.
pub const DEMAND_FRACTION: f64 = 0.54;
/// Fraction of unanswered parts that the retry budget lets be retried.
pub const RETRIED_FRACTION: f64 = 0.1;
/// The zone's failure, its return, and the end.
pub const OUTAGE: Range<f64> = 4.0..12.0;
pub const END_S: f64 = 30.0;
/// When a node notices a zone's silence, counted from its beginning.
pub const DETECTION_DELAY_S: Range<f64> = 0.4..1.0;
/// How long a node that decides alone stays away from its zone before it probes it.
pub const PROBE_DELAY_S: Range<f64> = 1.0..3.0;
/// Nodes start within this time.
pub const START_SPREAD_S: Range<f64> = 0.0..0.25;
pub const MAX_VOTERS: usize = 5;
/// Fraction of datagrams lost, and longest delay beyond the network's shortest.
pub const DATAGRAM_LOSS: f64 = 0.01;
pub const MAX_DELAY: TimeSpan = TimeSpan::from_millis(4);
/// Replicas with a longer queue are reported as saturated.
pub const SATURATED_DELAY_S: f64 = 1.0;
/// How long a node follows a decision without hearing of the voters.
pub const DECISION_HOLD: TimeSpan = TimeSpan::from_millis(10_000);
/// Shortest time between two deadlines of a node.
pub const MIN_DEADLINE_DELAY: TimeSpan = TimeSpan::from_millis(1);

pub const FAILOVER_TIMING: FailoverTiming = FailoverTiming {
    suspect_after: TimeSpan::from_millis(600),
    hold_down: TimeSpan::from_millis(2000),
    max_hold_down: TimeSpan::from_millis(60_000),
    hold_down_reset_after: TimeSpan::from_millis(60_000),
};
