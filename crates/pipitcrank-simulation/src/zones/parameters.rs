//! Parameters of the experiment.

use std::ops::Range;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_failover::controller::FailoverTiming;

/// Length of a step of the load and the replicas.
pub const STEP: TimeSpan = TimeSpan::from_millis(100);
/// Number of replicas in a zone.
pub const REPLICAS_PER_ZONE: u16 = 40;
/// Capacity of one replica in parts per second.
pub const REPLICA_CAPACITY: f64 = 200.0;
/// Fraction of the capacity of a replica that the failover controller plans with.
pub const USABLE_CAPACITY: f64 = 0.95;
/// Demand as a fraction of the capacity of all replicas. With one of three zones out of service, the others
/// still have at least a tenth of their capacity to spare.
pub const DEMAND_FRACTION: f64 = 0.54;
/// Fraction of unanswered parts that the retry budget allows to be retried.
pub const RETRIED_FRACTION: f64 = 0.1;
/// Outage of the failing zone, in seconds since the start of the run.
pub const OUTAGE: Range<f64> = 4.0..12.0;
/// Length of the run in seconds.
pub const END_S: f64 = 30.0;
/// Range of the times in seconds from the start of an outage until a node detects it.
pub const DETECTION_DELAY_S: Range<f64> = 0.4..1.0;
/// Range of the times in seconds for which a node in the mode `RoutingMode::Independent` avoids its own zone
/// before it probes the zone.
pub const PROBE_DELAY_S: Range<f64> = 1.0..3.0;
/// Range of the start times of the nodes, in seconds.
pub const START_SPREAD_S: Range<f64> = 0.0..0.25;
/// Largest number of voters.
pub const MAX_VOTERS: usize = 5;
/// Fraction of datagrams lost.
pub const DATAGRAM_LOSS: f64 = 0.01;
/// Largest delay of a datagram in addition to the minimum delay of the network.
pub const MAX_DELAY: TimeSpan = TimeSpan::from_millis(4);
/// Queue delay in seconds above which replicas are reported as saturated.
pub const SATURATED_DELAY_S: f64 = 1.0;
/// Time after the last heartbeat for which a node applies a decision unchanged.
pub const DECISION_HOLD: TimeSpan = TimeSpan::from_millis(10_000);
/// Shortest time from a run of a node to its next deadline.
pub const MIN_DEADLINE_DELAY: TimeSpan = TimeSpan::from_millis(1);

/// Timing of the failover controller.
pub const FAILOVER_TIMING: FailoverTiming = FailoverTiming {
    suspect_after: TimeSpan::from_millis(600),
    hold_down: TimeSpan::from_millis(2000),
    max_hold_down: TimeSpan::from_millis(60_000),
    hold_down_reset_after: TimeSpan::from_millis(60_000),
};
