//! What the next decision is: asked by the voter that leads, from the combined evidence and the current decision. No I/O, no
//! clock, no randomness; whether the decision is made is up to the voters.
//!
//! ```text
//! Serving      -- evidence against it for OBSERVED_FOR             --> Suspected
//! Suspected    -- against it for `suspect_after` more              --> Draining, by one step
//!              -- healthy for as long                              --> Serving
//! Draining     -- each DRAIN_STEP_INTERVAL                         --> retains one step less; at none OutOfService
//!              -- evidence that it is healthy (not drained)        --> Returning, hold-down doubled
//! OutOfService -- healthy for the hold-down, not drained           --> Returning, by one return step
//! Returning    -- each RETURN_STEP_INTERVAL, twice that while
//!                 warming up                                       --> retains one return step more; at all Serving
//!              -- evidence against it                              --> Draining, hold-down doubled
//! Serving for `hold_down_reset_after` without a fault                         --> hold-down at its shortest
//! ```
//!
//! Whatever the evidence: no step while no other zone is known to be healthy; a zone that still answers (slow, or drained)
//! is left only as far as the others have capacity; what was observed before this voter led does not count.
//!
//! | file | contents |
//! | --- | --- |
//! | `timing.rs` | operators' times, and the sizes and intervals of steps |
//! | `watch.rs` | since when the evidence on zones and paths has been as it is |
//! | `capacity.rs` | capacity and demand of zones |
//! | `steps.rs` | the steps of one zone |
//! | `orders.rs` | operators' orders |

mod capacity;
mod orders;
mod steps;
mod timing;
mod watch;

use pipitcrank_core::time::Timestamp;
use pipitcrank_membership::evidence::EvidenceMatrix;

use self::capacity::{load_changed, update_load};
pub use self::orders::OrderError;
use self::steps::ZoneSteps;
pub use self::timing::FailoverTiming;
use self::timing::LOAD_UPDATE_INTERVAL;
use self::watch::EvidenceWatch;
use crate::constants::DISTANT_PAST;
use crate::decision::{Decision, DecisionCause, OperatorOrder, ZoneState};
use crate::routing_table::Proximity;

/// Proposes decisions while its voter leads.
pub struct FailoverController {
    timing: FailoverTiming,
    proximity: Proximity,
    watch: EvidenceWatch,
    last_proposal: Timestamp,
}

impl FailoverController {
    /// `replica_capacity`: parts per second that operators say a replica answers once warm; 0 where they do not say.
    pub fn new(
        timing: FailoverTiming,
        proximity: Proximity,
        zone_count: usize,
        replica_capacity: f64,
    ) -> FailoverController {
        FailoverController {
            timing,
            proximity,
            watch: EvidenceWatch::new(zone_count, replica_capacity),
            last_proposal: DISTANT_PAST,
        }
    }

    /// This voter leads from now on: evidence begins to count anew.
    pub fn leadership_gained(&mut self, now: Timestamp) {
        self.watch.restart(now);
    }

    /// The next decision, if there is a cause for one.
    pub fn next_decision(
        &mut self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
    ) -> Option<Decision> {
        self.watch.update(now, matrix, current);
        if current.frozen {
            return None;
        }
        let mut next = current.clone();
        update_load(&self.watch, matrix, &mut next);
        if let Some((zone, cause)) = self.next_step(now, matrix, current, &mut next) {
            self.watch.record_step(now, zone, next.zones[zone].state == ZoneState::Serving);
            (next.cause, next.zone) = (cause, zone as u16);
        } else if let Some(change) = self.watch.path_change(now, &self.timing, matrix, current) {
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

    /// The first zone with a step that is due; `next` is changed by it.
    fn next_step(
        &self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
        next: &mut Decision,
    ) -> Option<(usize, DecisionCause)> {
        let (timing, proximity, watch) = (&self.timing, &self.proximity, &self.watch);
        let steps = ZoneSteps { now, timing, proximity, watch, matrix, current };
        (0..current.zones.len()).find_map(|zone| Some((zone, steps.next_step(next, zone)?)))
    }

    /// An operator's order as a decision.
    ///
    /// # Errors
    /// Why the order is rejected.
    pub fn apply_order(
        &self,
        matrix: &EvidenceMatrix,
        current: &Decision,
        order: OperatorOrder,
    ) -> Result<Decision, OrderError> {
        let mut next = current.clone();
        update_load(&self.watch, matrix, &mut next);
        orders::apply(order, matrix, current, &mut next)?;
        Ok(next)
    }
}

#[cfg(test)]
mod tests;
