//! Capacity and demand of zones.

use pipitcrank_membership::evidence::EvidenceMatrix;

use super::evidence_tracker::EvidenceTracker;
use super::timing::{DRAIN_STEP, RETURN_STEP};
use crate::decision::{Decision, FULL_PERMILLE, UNKNOWN_CAPACITY};
use crate::routing_table::{Proximity, RoutingTable, TARGET_UTILIZATION_PERMILLE};

/// Lower bound of a warming replica's capacity, as a fraction of a warm one's.
const WARMING_UP_CAPACITY: f64 = 0.3;
/// Change of a routed or shed fraction, in thousandths, that justifies a decision.
const SIGNIFICANT_FRACTION: u16 = 50;
/// A capacity change of more than the old capacity divided by this justifies a decision.
const SIGNIFICANT_CAPACITY_DIVISOR: u32 = 4;
/// Highest capacity or demand in a decision; the value above it means that the capacity is unknown.
const MAX_PARTS_PER_SECOND: f64 = (UNKNOWN_CAPACITY - 1) as f64;

/// Sets the capacity and demand of each zone from the evidence.
pub(super) fn update_load(tracker: &EvidenceTracker, matrix: &EvidenceMatrix, next: &mut Decision) {
    for (zone, decided) in next.zones.iter_mut().enumerate() {
        if matrix.reporters(zone) > 0 {
            decided.demand = whole_parts(matrix.demand[zone]);
        }
        // An unusable zone is drained in steps whatever its capacity, so its capacity stays unchanged here.
        if tracker.configured_replica_capacity > 0.0 && matrix.zone_health(zone).is_usable() {
            decided.capacity = whole_parts(capacity(tracker, matrix, zone, decided.capacity));
        }
    }
}

fn whole_parts(parts_per_second: f64) -> u32 {
    parts_per_second.round().clamp(0.0, MAX_PARTS_PER_SECOND) as u32
}

/// Capacity according to the evidence, limited to one step away from the capacity in the current decision.
fn capacity(tracker: &EvidenceTracker, matrix: &EvidenceMatrix, zone: usize, decided: u32) -> f64 {
    let warm_fraction = 1.0 - matrix.warming_up_fraction(zone) * (1.0 - WARMING_UP_CAPACITY);
    let observed = matrix.healthy_replicas(zone) * warm_fraction * tracker.zones[zone].replica_capacity;
    if decided == UNKNOWN_CAPACITY {
        return observed;
    }
    let configured = matrix.listed_replicas(zone) * tracker.configured_replica_capacity;
    let step = |permille: u16| configured * f64::from(permille) / f64::from(FULL_PERMILLE);
    observed.clamp(f64::from(decided) - step(DRAIN_STEP), f64::from(decided) + step(RETURN_STEP))
}

/// Whether capacity or routing changed enough to justify a decision.
pub(super) fn load_changed(current: &Decision, next: &Decision, proximity: &Proximity) -> bool {
    let mut zones = current.zones.iter().zip(&next.zones);
    if zones.any(|(current, next)| is_significant_capacity_change(current.capacity, next.capacity)) {
        return true;
    }
    let (old, new) = (RoutingTable::new(current, proximity), RoutingTable::new(next, proximity));
    let differ = |old: &[u16], new: &[u16]| {
        old.iter().zip(new).any(|(old, new)| old.abs_diff(*new) >= SIGNIFICANT_FRACTION)
    };
    old.fractions.iter().zip(&new.fractions).any(|(old, new)| differ(old, new))
        || differ(&old.shed, &new.shed)
}

fn is_significant_capacity_change(old: u32, new: u32) -> bool {
    let known_differs = (old == UNKNOWN_CAPACITY) != (new == UNKNOWN_CAPACITY);
    known_differs || old.abs_diff(new) > old / SIGNIFICANT_CAPACITY_DIVISOR
}

/// Planned capacity, in parts per second, of all serving zones except `without`; `None` if any of them is
/// unknown.
pub(super) fn capacity_without(decision: &Decision, without: usize) -> Option<u64> {
    let others =
        decision.zones.iter().enumerate().filter(|(zone, decided)| {
            *zone != without && decided.retained == FULL_PERMILLE && !decided.drained
        });
    others
        .map(|(_, zone)| {
            (zone.capacity != UNKNOWN_CAPACITY)
                .then_some(u64::from(zone.capacity) * TARGET_UTILIZATION_PERMILLE / u64::from(FULL_PERMILLE))
        })
        .sum()
}

/// Demand of the clients of all zones, in parts per second.
pub(super) fn total_demand(decision: &Decision) -> u64 {
    decision.zones.iter().map(|zone| u64::from(zone.demand)).sum()
}

/// Whether a zone other than `without` is known to be healthy and serves. If the observer itself is cut off,
/// no zone qualifies, so load is never moved to a zone that may be unreachable.
pub(super) fn another_zone_serves(matrix: &EvidenceMatrix, current: &Decision, without: usize) -> bool {
    (0..current.zones.len()).filter(|&zone| zone != without).any(|zone| {
        let decided = &current.zones[zone];
        matrix.zone_health(zone).is_usable()
            && matrix.reporters(zone) > 0
            && decided.retained > 0
            && !decided.drained
    })
}
