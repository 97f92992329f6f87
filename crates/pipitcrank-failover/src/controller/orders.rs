//! Carries out operators' orders.

use pipitcrank_membership::evidence::{EvidenceMatrix, ZoneHealth};

use super::capacity::{another_zone_serves, capacity_without, total_demand};
use super::timing::{DRAIN_STEP, RETURN_STEP};
use crate::decision::{Decision, DecisionCause, FULL_PERMILLE, OperatorOrder, ZoneState};

/// Reason for rejecting an operator's order, shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum OrderError {
    /// No zone has this index in the operators' list.
    #[error("there is no zone {0}")]
    UnknownZone(u16),
    /// The zone is already drained.
    #[error("it is drained already")]
    AlreadyDrained,
    /// No other zone is healthy and serving.
    #[error("no other zone is known to be well and serving")]
    NoOtherZoneServes,
    /// The other zones have less capacity than the total demand.
    #[error("the zones left carry {capacity} parts a second of the {demand} that are asked")]
    InsufficientCapacity {
        /// Planned capacity of the other zones, in parts per second.
        capacity: u64,
        /// Total demand of all clients, in parts per second.
        demand: u64,
    },
    /// The zone is neither draining nor out of service, so it cannot be returned.
    #[error("it is {}", .0.name())]
    NotOutOfService(ZoneState),
    /// The zone is not known to be usable, so it cannot be returned.
    #[error("evidence on it is {}, not that it is well", .0.name())]
    NotUsable(ZoneHealth),
    /// The zones are already frozen.
    #[error("it is frozen already")]
    AlreadyFrozen,
    /// The zones are not frozen.
    #[error("it is not frozen")]
    NotFrozen,
}

/// Applies an order to `next`, which is the current decision with updated load.
pub(super) fn apply(
    order: OperatorOrder,
    matrix: &EvidenceMatrix,
    current: &Decision,
    next: &mut Decision,
) -> Result<(), OrderError> {
    match order {
        OperatorOrder::Drain(zone) => drain(zone, matrix, current, next),
        OperatorOrder::Return(zone) => return_zone(zone, matrix, current, next),
        OperatorOrder::Freeze if current.frozen => Err(OrderError::AlreadyFrozen),
        OperatorOrder::Thaw if !current.frozen => Err(OrderError::NotFrozen),
        OperatorOrder::Freeze => {
            (next.frozen, next.cause) = (true, DecisionCause::Frozen);
            Ok(())
        }
        OperatorOrder::Thaw => {
            (next.frozen, next.cause) = (false, DecisionCause::Thawed);
            Ok(())
        }
    }
}

fn index_of(zone: u16, current: &Decision) -> Result<usize, OrderError> {
    let index = usize::from(zone);
    if index < current.zones.len() { Ok(index) } else { Err(OrderError::UnknownZone(zone)) }
}

fn drain(
    zone: u16,
    matrix: &EvidenceMatrix,
    current: &Decision,
    next: &mut Decision,
) -> Result<(), OrderError> {
    let index = index_of(zone, current)?;
    if current.zones[index].drained {
        return Err(OrderError::AlreadyDrained);
    }
    if !another_zone_serves(matrix, current, index) {
        return Err(OrderError::NoOtherZoneServes);
    }
    let demand = total_demand(next);
    if let Some(capacity) = capacity_without(next, index)
        && capacity < demand
    {
        return Err(OrderError::InsufficientCapacity { capacity, demand });
    }
    let drained = &mut next.zones[index];
    drained.drained = true;
    if drained.retained > 0 {
        drained.state = ZoneState::Draining;
        drained.retained = drained.retained.saturating_sub(DRAIN_STEP);
        if drained.retained == 0 {
            drained.state = ZoneState::OutOfService;
        }
    }
    (next.cause, next.zone) = (DecisionCause::Drained, zone);
    Ok(())
}

fn return_zone(
    zone: u16,
    matrix: &EvidenceMatrix,
    current: &Decision,
    next: &mut Decision,
) -> Result<(), OrderError> {
    let index = index_of(zone, current)?;
    let state = current.zones[index].state;
    if !matches!(state, ZoneState::Draining | ZoneState::OutOfService) {
        return Err(OrderError::NotOutOfService(state));
    }
    let health = matrix.zone_health(index);
    if !health.is_usable() {
        return Err(OrderError::NotUsable(health));
    }
    let returned = &mut next.zones[index];
    (returned.drained, returned.state) = (false, ZoneState::Returning);
    returned.retained = (returned.retained + RETURN_STEP).min(FULL_PERMILLE - 1);
    (next.cause, next.zone) = (DecisionCause::Returned, zone);
    Ok(())
}
