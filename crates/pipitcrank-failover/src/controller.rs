//! Computes the next decision from the combined evidence and the current decision, on the voter that leads.
//! The controller does no I/O, reads no clock and uses no randomness. The voters decide whether its proposal
//! is accepted.
//!
//! ```text
//! Serving      -- unhealthy for OBSERVATION_TIME                   --> Suspected
//! Suspected    -- unhealthy for `suspect_after` more               --> Draining, by one step
//!              -- healthy for `suspect_after`                      --> Serving
//! Draining     -- each DRAIN_STEP_INTERVAL                         --> keeps one step less; at 0 OutOfService
//!              -- healthy, not drained by an operator              --> Returning, hold-down doubled
//! OutOfService -- healthy for the hold-down, not drained           --> Returning, by one step
//! Returning    -- each RETURN_STEP_INTERVAL, doubled while
//!                 replicas warm up                                 --> keeps one step more; at 1000 Serving
//!              -- unhealthy for OBSERVATION_TIME                   --> Draining, hold-down doubled
//! Serving      -- no fault for `hold_down_reset_after`             --> hold-down reset to the shortest
//! ```
//!
//! Three rules hold whatever the evidence is. A zone is drained only while another zone is known to be
//! healthy. A zone that still answers (slow, or drained by an operator) is drained only as far as the other
//! zones have capacity. Observations from before this voter became leader do not count.
//!
//! | file | contents |
//! | --- | --- |
//! | `timing.rs` | times set by operators, sizes and intervals of steps |
//! | `evidence_tracker.rs` | how long the evidence on zones and paths has been unchanged |
//! | `capacity.rs` | capacity and demand of zones |
//! | `steps.rs` | state transitions of one zone |
//! | `orders.rs` | operators' orders |

mod capacity;
mod evidence_tracker;
mod orders;
mod steps;
mod timing;

use pipitcrank_core::time::Timestamp;
use pipitcrank_membership::evidence::EvidenceMatrix;

use self::capacity::{load_changed, update_load};
use self::evidence_tracker::EvidenceTracker;
pub use self::orders::OrderError;
use self::steps::ZoneSteps;
pub use self::timing::FailoverTiming;
use self::timing::LOAD_UPDATE_INTERVAL;
use crate::constants::DISTANT_PAST;
use crate::decision::{Decision, DecisionCause, OperatorOrder, ZoneState};
use crate::routing_table::Proximity;

/// Proposes decisions while its node leads the voters.
pub struct FailoverController {
    timing: FailoverTiming,
    proximity: Proximity,
    tracker: EvidenceTracker,
    last_proposal: Timestamp,
}

impl FailoverController {
    /// Creates a controller for `zone_count` zones. `replica_capacity` is the configured capacity of a warm
    /// replica in parts per second, 0 if none is configured.
    pub fn new(
        timing: FailoverTiming,
        proximity: Proximity,
        zone_count: usize,
        replica_capacity: f64,
    ) -> FailoverController {
        FailoverController {
            timing,
            proximity,
            tracker: EvidenceTracker::new(zone_count, replica_capacity),
            last_proposal: DISTANT_PAST,
        }
    }

    /// Resets the observation times: only evidence from the new leadership counts.
    pub fn leadership_gained(&mut self, now: Timestamp) {
        self.tracker.restart(now);
    }

    /// Returns the next decision, or `None` if nothing is to change.
    pub fn next_decision(
        &mut self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
    ) -> Option<Decision> {
        self.tracker.update(now, matrix, current);
        if current.frozen {
            return None;
        }
        let mut next = current.clone();
        update_load(&self.tracker, matrix, &mut next);
        if let Some((zone, cause)) = self.next_step(now, matrix, current, &mut next) {
            self.tracker.record_step(now, zone, next.zones[zone].state == ZoneState::Serving);
            (next.cause, next.zone) = (cause, zone as u16);
        } else if let Some(change) = self.tracker.path_change(now, &self.timing, matrix, current) {
            next.zones[change.from].cut_paths = change.cut_paths;
            (next.cause, next.zone) = (DecisionCause::PathChanged, change.from as u16);
        } else if now - self.last_proposal >= LOAD_UPDATE_INTERVAL
            && load_changed(current, &next, &self.proximity)
        {
            (next.cause, next.zone) = (DecisionCause::LoadChanged, 0);
        } else {
            return None;
        }
        self.last_proposal = now;
        Some(next)
    }

    /// Changes `next` by the first step that is due. Returns the zone and the cause of the step, or `None`
    /// if no step is due.
    fn next_step(
        &self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
        next: &mut Decision,
    ) -> Option<(usize, DecisionCause)> {
        let (timing, proximity, tracker) = (&self.timing, &self.proximity, &self.tracker);
        let steps = ZoneSteps { now, timing, proximity, tracker, matrix, current };
        (0..current.zones.len()).find_map(|zone| Some((zone, steps.next_step(next, zone)?)))
    }

    /// Returns the decision that carries out an operator's order.
    ///
    /// # Errors
    /// Returns the rule that forbids the order.
    pub fn apply_order(
        &self,
        matrix: &EvidenceMatrix,
        current: &Decision,
        order: OperatorOrder,
    ) -> Result<Decision, OrderError> {
        let mut next = current.clone();
        update_load(&self.tracker, matrix, &mut next);
        orders::apply(order, matrix, current, &mut next)?;
        Ok(next)
    }
}

#[cfg(test)]
mod tests;
