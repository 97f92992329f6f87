//! What this co-ordinator, and it alone, has seen of a zone's replicas: evidence for decisions on zones.

use super::attempts::NO_CAPACITY_LAG_S;
use super::replica_load::OutstandingAttempt;
use super::replica_state::{ReplicaState, Site};
use super::state::State;
use super::zones::{ZoneId, ZoneObservation};
use crate::time::{TimeSpan, Timestamp};

/// Heard of within this, a replica needs no probe.
const RECENTLY: TimeSpan = TimeSpan::from_millis(500);
/// Heard of within this, a replica answers.
const ANSWERING: TimeSpan = TimeSpan::from_millis(2000);
/// An attempt out for longer than its usual time and this, with nothing heard since, makes a replica silent.
const SILENT_AFTER: TimeSpan = TimeSpan::from_millis(700);
/// The same whatever its usual time.
const SILENT_AFTER_AT_MOST: TimeSpan = TimeSpan::from_millis(2000);
/// An attempt out for longer, with nothing heard since, makes a replica suspected.
const SUSPECTED_AFTER: TimeSpan = TimeSpan::from_millis(200);
/// Lag from which a replica is overloaded, in seconds.
const OVERLOADED_LAG_S: f64 = NO_CAPACITY_LAG_S / 2.0;

impl State {
    pub(super) fn observe_zone(&self, now: Timestamp, zone: ZoneId) -> ZoneObservation {
        let mut observation = ZoneObservation::default();
        let is_in_zone = |r: &&ReplicaState| r.zone == Some(zone) && r.is_listed;
        for replica in self.replicas.values().filter(is_in_zone) {
            self.observe_replica(now, replica, &mut observation);
        }
        observation.part_work_ms = (self.usual_part_work() * 1000.0) as u32;
        observation
    }

    fn observe_replica(&self, now: Timestamp, replica: &ReplicaState, observation: &mut ZoneObservation) {
        let health = &replica.health;
        observation.listed += 1;
        observation.recently_responded += u32::from(health.heard_within(now, RECENTLY));
        observation.suspected += u32::from(is_suspected(now, replica));
        observation.in_slow_start += u32::from(self.slow_start.is_warming_up(replica.started, now));
        observation.outstanding += replica.load.outstanding.len() as u32;
        if replica.site == Site::RemoteClosed || health.is_failing(now) {
            observation.failing += 1;
        } else if self.is_silent(now, replica) {
            observation.unresponsive += 1;
        } else if replica.load.lag().remaining(now) >= OVERLOADED_LAG_S {
            observation.overloaded += 1;
        } else if health.heard_within(now, ANSWERING) {
            observation.responsive += 1;
        }
    }

    fn is_silent(&self, now: Timestamp, replica: &ReplicaState) -> bool {
        let pace = self.service.overdue_pace();
        let is_unheard = |attempt: &OutstandingAttempt| {
            let usual_time = TimeSpan::from_secs_f64(attempt.work_ahead * pace);
            now - attempt.sent_at > (SILENT_AFTER + usual_time).min(SILENT_AFTER_AT_MOST)
                && replica.health.nothing_heard_since(attempt.sent_at)
        };
        replica.health.is_silent(now) || replica.load.outstanding.values().any(is_unheard)
    }
}

fn is_suspected(now: Timestamp, replica: &ReplicaState) -> bool {
    let is_late = |attempt: &OutstandingAttempt| {
        now - attempt.sent_at > SUSPECTED_AFTER && replica.health.nothing_heard_since(attempt.sent_at)
    };
    replica.health.is_suspected(now) || replica.load.outstanding.values().any(is_late)
}
