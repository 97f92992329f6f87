//! State transitions of one zone.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{EvidenceMatrix, ZoneHealth};

use super::capacity::another_zone_serves;
use super::evidence_tracker::{EvidenceTracker, ZoneTracker};
use super::timing::{
    DRAIN_STEP, DRAIN_STEP_INTERVAL, FailoverTiming, OBSERVATION_TIME, RETURN_STEP, RETURN_STEP_INTERVAL,
    SLOW_RETURN_FRACTION,
};
use crate::decision::{Decision, DecisionCause, FULL_PERMILLE, ZoneDecision, ZoneState};
use crate::routing_table::{Proximity, RoutingTable};

/// Upper bound of the number of times that the hold-down is doubled.
const MAX_HOLD_DOWN_LEVEL: u8 = 16;
/// Factor by which the return interval grows while replicas are warming up.
const SLOW_RETURN_FACTOR: f64 = 2.0;

/// Inputs for the next step of a zone.
pub(super) struct ZoneSteps<'a> {
    pub(super) now: Timestamp,
    pub(super) timing: &'a FailoverTiming,
    pub(super) proximity: &'a Proximity,
    pub(super) tracker: &'a EvidenceTracker,
    pub(super) matrix: &'a EvidenceMatrix,
    pub(super) current: &'a Decision,
}

impl ZoneSteps<'_> {
    /// Changes `next` by the zone's next step if one is due, and returns the cause of the step.
    pub(super) fn next_step(&self, next: &mut Decision, zone: usize) -> Option<DecisionCause> {
        match self.current.zones[zone].state {
            ZoneState::Serving => self.step_while_serving(&mut next.zones[zone], zone),
            ZoneState::Suspected => self.step_while_suspected(next, zone),
            ZoneState::Draining => self.step_while_draining(next, zone),
            ZoneState::OutOfService => self.step_while_out_of_service(&mut next.zones[zone], zone),
            ZoneState::Returning => self.step_while_returning(&mut next.zones[zone], zone),
        }
    }

    fn step_while_serving(&self, next: &mut ZoneDecision, zone: usize) -> Option<DecisionCause> {
        let (tracker, decided) = (self.zone_tracker(zone), &self.current.zones[zone]);
        if self.lasts(tracker.unhealthy_since, OBSERVATION_TIME) && self.another_zone_serves(zone) {
            next.state = ZoneState::Suspected;
            return Some(self.unhealthy_cause(zone));
        }
        if decided.hold_down_level > 0
            && self.now - tracker.serving_since >= self.timing.hold_down_reset_after
        {
            next.hold_down_level = 0;
            return Some(DecisionCause::HoldDownReset);
        }
        None
    }

    fn step_while_suspected(&self, next: &mut Decision, zone: usize) -> Option<DecisionCause> {
        let tracker = self.zone_tracker(zone);
        if self.lasts(tracker.unhealthy_since, OBSERVATION_TIME + self.timing.suspect_after) {
            let drained = self.another_zone_serves(zone) && self.drain_step(next, zone);
            return drained.then(|| self.unhealthy_cause(zone));
        }
        if self.lasts(tracker.healthy_since, self.timing.suspect_after) {
            next.zones[zone].state = ZoneState::Serving;
            return Some(DecisionCause::Healthy);
        }
        None
    }

    fn step_while_draining(&self, next: &mut Decision, zone: usize) -> Option<DecisionCause> {
        let (tracker, decided) = (self.zone_tracker(zone), &self.current.zones[zone]);
        if !decided.drained && self.lasts(tracker.healthy_since, OBSERVATION_TIME + self.timing.suspect_after)
        {
            next.zones[zone].state = ZoneState::Returning;
            next.zones[zone].hold_down_level = next_hold_down_level(decided);
            return Some(DecisionCause::Healthy);
        }
        if self.step_is_due(zone, DRAIN_STEP_INTERVAL) && self.another_zone_serves(zone) {
            let has_cause = decided.drained || tracker.unhealthy_since.is_some();
            return (has_cause && self.drain_step(next, zone)).then_some(DecisionCause::NextStep);
        }
        None
    }

    fn step_while_out_of_service(&self, next: &mut ZoneDecision, zone: usize) -> Option<DecisionCause> {
        let (tracker, decided) = (self.zone_tracker(zone), &self.current.zones[zone]);
        if decided.drained || !self.lasts(tracker.healthy_since, self.hold_down(decided.hold_down_level)) {
            return None;
        }
        (next.state, next.retained) = (ZoneState::Returning, RETURN_STEP);
        Some(DecisionCause::Healthy)
    }

    fn step_while_returning(&self, next: &mut ZoneDecision, zone: usize) -> Option<DecisionCause> {
        let (tracker, decided) = (self.zone_tracker(zone), &self.current.zones[zone]);
        if self.lasts(tracker.unhealthy_since, OBSERVATION_TIME) {
            (next.state, next.hold_down_level) = (ZoneState::Draining, next_hold_down_level(decided));
            return Some(self.unhealthy_cause(zone));
        }
        let is_slow = self.matrix.warming_up_fraction(zone) >= SLOW_RETURN_FRACTION;
        let factor = if is_slow { SLOW_RETURN_FACTOR } else { 1.0 };
        if !self.step_is_due(zone, RETURN_STEP_INTERVAL * factor) || tracker.healthy_since.is_none() {
            return None;
        }
        next.retained = (decided.retained + RETURN_STEP).min(FULL_PERMILLE);
        if next.retained == FULL_PERMILLE {
            next.state = ZoneState::Serving;
        }
        Some(DecisionCause::NextStep)
    }

    fn zone_tracker(&self, zone: usize) -> &ZoneTracker {
        &self.tracker.zones[zone]
    }

    fn lasts(&self, since: Option<Timestamp>, duration: TimeSpan) -> bool {
        since.is_some_and(|since| self.now - since >= duration)
    }

    fn step_is_due(&self, zone: usize, interval: TimeSpan) -> bool {
        self.now - self.zone_tracker(zone).last_step >= interval
    }

    fn another_zone_serves(&self, zone: usize) -> bool {
        another_zone_serves(self.matrix, self.current, zone)
    }

    fn unhealthy_cause(&self, zone: usize) -> DecisionCause {
        match self.matrix.zone_health(zone) {
            ZoneHealth::Dead => DecisionCause::Dead,
            ZoneHealth::CutOff => DecisionCause::CutOff,
            _ => DecisionCause::Slow,
        }
    }

    fn hold_down(&self, level: u8) -> TimeSpan {
        let doubled = f64::from(1u32 << level.min(MAX_HOLD_DOWN_LEVEL));
        (self.timing.hold_down * doubled).min(self.timing.max_hold_down)
    }

    /// Drains a zone by one step, or returns false if the step is not allowed. A zone that answers nothing
    /// is drained whatever the capacity of the other zones. A zone that still answers is drained only while
    /// no additional demand would be shed.
    fn drain_step(&self, next: &mut Decision, zone: usize) -> bool {
        let before = next.zones[zone].clone();
        let answers_nothing = matches!(self.matrix.zone_health(zone), ZoneHealth::Dead | ZoneHealth::CutOff);
        if answers_nothing || before.retained == 0 {
            drain_by_one_step(&mut next.zones[zone]);
            return true;
        }
        let unanswered_before = self.unanswered(next);
        drain_by_one_step(&mut next.zones[zone]);
        let fits = self.unanswered(next) <= unanswered_before;
        if !fits {
            next.zones[zone] = before;
        }
        fits
    }

    /// Demand that no zone can answer, in thousandths of a part per second.
    fn unanswered(&self, decision: &Decision) -> u64 {
        let shed = RoutingTable::new(decision, self.proximity).shed;
        let zones = shed.iter().zip(&decision.zones);
        zones.map(|(shed, zone)| u64::from(*shed) * u64::from(zone.demand)).sum()
    }
}

fn drain_by_one_step(zone: &mut ZoneDecision) {
    zone.retained = zone.retained.saturating_sub(DRAIN_STEP);
    zone.state = if zone.retained == 0 { ZoneState::OutOfService } else { ZoneState::Draining };
}

fn next_hold_down_level(zone: &ZoneDecision) -> u8 {
    zone.hold_down_level.saturating_add(1).min(MAX_HOLD_DOWN_LEVEL)
}
