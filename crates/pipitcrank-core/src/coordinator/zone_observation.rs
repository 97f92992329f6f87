//! Observations of a zone's replicas by this co-ordinator alone. They are the evidence for failover
//! decisions.

use super::attempts::NO_CAPACITY_LAG_S;
use super::replica_load::OutstandingAttempt;
use super::replica_state::{ReplicaState, Site};
use super::state::State;
use super::zones::{ZoneId, ZoneObservation};
use crate::time::{TimeSpan, Timestamp};

/// A replica that responded within this time needs no probe.
const RECENT_WINDOW: TimeSpan = TimeSpan::from_millis(500);
/// A replica that responded within this time counts as responsive.
const RESPONSIVE_WINDOW: TimeSpan = TimeSpan::from_millis(2000);
/// Time beyond the typical duration of an outstanding attempt after which its replica is unresponsive, if the
/// replica has sent no response since the attempt was sent.
const UNRESPONSIVE_AFTER: TimeSpan = TimeSpan::from_millis(700);
/// Upper bound of the age at which an unanswered attempt makes its replica unresponsive, whatever the typical
/// duration.
const MAX_UNRESPONSIVE_AFTER: TimeSpan = TimeSpan::from_millis(2000);
/// Age from which an outstanding attempt makes a replica suspected, if the replica has sent no response since
/// the attempt was sent.
const SUSPECTED_AFTER: TimeSpan = TimeSpan::from_millis(200);
/// Lag from which a replica is saturated, in seconds.
const OVERLOADED_LAG_S: f64 = NO_CAPACITY_LAG_S / 2.0;

impl State {
    pub(super) fn observe_zone(&self, now: Timestamp, zone: ZoneId) -> ZoneObservation {
        let mut observation = ZoneObservation::default();
        let is_in_zone = |r: &&ReplicaState| r.zone == Some(zone) && r.is_listed;
        for replica in self.replicas.values().filter(is_in_zone) {
            self.observe_replica(now, replica, &mut observation);
        }
        observation.part_work_ms = (self.typical_part_work() * 1000.0) as u32;
        observation
    }

    fn observe_replica(&self, now: Timestamp, replica: &ReplicaState, observation: &mut ZoneObservation) {
        let health = &replica.health;
        observation.listed += 1;
        observation.recently_responded += u32::from(health.responded_within(now, RECENT_WINDOW));
        observation.suspected += u32::from(is_suspected(now, replica));
        observation.warming_up += u32::from(self.slow_start.is_warming_up(replica.started, now));
        observation.outstanding += replica.load.outstanding.len() as u32;
        if replica.site == Site::RemoteClosed || health.is_failing(now) {
            observation.failing += 1;
        } else if self.is_unresponsive(now, replica) {
            observation.unresponsive += 1;
        } else if replica.load.lag().remaining(now) >= OVERLOADED_LAG_S {
            observation.saturated += 1;
        } else if health.responded_within(now, RESPONSIVE_WINDOW) {
            observation.responsive += 1;
        }
    }

    fn is_unresponsive(&self, now: Timestamp, replica: &ReplicaState) -> bool {
        let time_per_work = self.service.overdue_time_per_work();
        let is_unanswered = |attempt: &OutstandingAttempt| {
            let typical_time = TimeSpan::from_secs_f64(attempt.work_ahead * time_per_work);
            now - attempt.sent_at > (UNRESPONSIVE_AFTER + typical_time).min(MAX_UNRESPONSIVE_AFTER)
                && replica.health.no_response_since(attempt.sent_at)
        };
        replica.health.is_unresponsive(now) || replica.load.outstanding.values().any(is_unanswered)
    }
}

fn is_suspected(now: Timestamp, replica: &ReplicaState) -> bool {
    let is_late = |attempt: &OutstandingAttempt| {
        now - attempt.sent_at > SUSPECTED_AFTER && replica.health.no_response_since(attempt.sent_at)
    };
    replica.health.is_suspected(now) || replica.load.outstanding.values().any(is_late)
}
