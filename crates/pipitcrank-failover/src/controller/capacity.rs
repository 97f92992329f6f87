//! Capacity and demand of zones.

use pipitcrank_membership::evidence::EvidenceMatrix;

use super::timing::{DRAIN_STEP, RETURN_STEP};
use super::watch::EvidenceWatch;
use crate::decision::{Decision, FULL_PERMILLE, UNKNOWN_CAPACITY};
use crate::routing_table::{Proximity, RoutingTable, TARGET_UTILIZATION_PERMILLE};

/// Fraction of a warm replica's capacity that one that is warming up has, at least.
const WARMING_UP_CAPACITY: f64 = 0.3;
/// Thousandths by which a routed fraction must change for a decision of its own.
const SIGNIFICANT_FRACTION: u16 = 50;
/// A zone's capacity must change by more than itself divided by this for a decision of its own.
const SIGNIFICANT_CAPACITY_DIVISOR: u32 = 4;
/// Highest capacity or demand that is decided: the next value means unknown.
const MAX_PARTS_PER_SECOND: f64 = (UNKNOWN_CAPACITY - 1) as f64;

/// Sets capacity and demand of each zone as evidence shows them.
pub(super) fn update_load(watch: &EvidenceWatch, matrix: &EvidenceMatrix, next: &mut Decision) {
    for (zone, decided) in next.zones.iter_mut().enumerate() {
        if matrix.reporters(zone) > 0 {
            decided.demand = whole_parts(matrix.demand[zone]);
        }
        // A zone that is not usable at all is drained in steps, whatever its capacity.
        if watch.configured_replica_capacity > 0.0 && matrix.zone_health(zone).is_usable() {
            decided.capacity = whole_parts(capacity(watch, matrix, zone, decided.capacity));
        }
    }
}

fn whole_parts(parts_per_second: f64) -> u32 {
    parts_per_second.round().clamp(0.0, MAX_PARTS_PER_SECOND) as u32
}

/// The capacity that evidence shows, within one step of the capacity decided before.
fn capacity(watch: &EvidenceWatch, matrix: &EvidenceMatrix, zone: usize, decided: u32) -> f64 {
    let warm_fraction = 1.0 - matrix.warming_up_fraction(zone) * (1.0 - WARMING_UP_CAPACITY);
    let observed = matrix.healthy_replicas(zone) * warm_fraction * watch.zones[zone].replica_capacity;
    if decided == UNKNOWN_CAPACITY {
        return observed;
    }
    let configured = matrix.listed_replicas(zone) * watch.configured_replica_capacity;
    let step = |permille: u16| configured * f64::from(permille) / f64::from(FULL_PERMILLE);
    observed.clamp(f64::from(decided) - step(DRAIN_STEP), f64::from(decided) + step(RETURN_STEP))
}

/// Whether capacity or routing differ by enough for a decision.
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

/// Parts per second that all zones but one can take, of those that serve; none where that is unknown.
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

/// Parts per second that the clients of all zones request.
pub(super) fn total_demand(decision: &Decision) -> u64 {
    decision.zones.iter().map(|zone| u64::from(zone.demand)).sum()
}

/// Whether some other zone is known to be healthy and serves. Where the observer itself is cut off none is, and load must not
/// be moved to nowhere.
pub(super) fn another_zone_serves(matrix: &EvidenceMatrix, current: &Decision, without: usize) -> bool {
    (0..current.zones.len()).filter(|&zone| zone != without).any(|zone| {
        let decided = &current.zones[zone];
        matrix.zone_health(zone).is_usable()
            && matrix.reporters(zone) > 0
            && decided.retained > 0
            && !decided.drained
    })
}
