//! Load probes: selects the replicas to probe and applies their load reports.

use super::replica_health::ReplicaHealth;
use super::replica_load::Lag;
use super::replica_state::ReplicaState;
use super::state::{State, Timer};
use super::zones::ZoneId;
use crate::ids::{AttemptOutcome, PartId, ReplicaId};
use crate::output::CoordinatorOutput;
use crate::time::Timestamp;

impl State {
    /// Probes the local holders of the parts whose load reports have expired. Returns true once every holder
    /// has answered its probe or the probe has timed out.
    ///
    /// With many co-ordinators, the attempts of a single one are too few to detect overloaded, slow and
    /// unresponsive replicas.
    pub(super) fn collect_load_reports(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        parts: &[PartId],
    ) -> bool {
        let (mut is_any_sent, mut are_all_done) = (false, true);
        // The delay of remote sites is measured on their links.
        let is_local = |r: &ReplicaId| self.replicas[r].is_local();
        for replica in self.holders(parts).into_iter().filter(is_local).collect::<Vec<_>>() {
            let health = &mut self.replicas.get_mut(&replica).expect("a listed replica is tracked").health;
            if health.needs_probe(now) {
                health.probe_sent(now);
                output.send_load_probe(replica);
                is_any_sent = true;
            }
            are_all_done &= health.is_probe_done(now);
        }
        if is_any_sent {
            self.set_timer(output, now + ReplicaHealth::PROBE_TIMEOUT, Timer::ProbesTimedOut);
        }
        are_all_done
    }

    pub(super) fn load_probe_ended(&mut self, now: Timestamp, replica: ReplicaId, outcome: AttemptOutcome) {
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        state.health.record_end(now, outcome, false);
        match outcome {
            AttemptOutcome::TimedOut => {}
            AttemptOutcome::Unreachable => state.health.eject(now),
            _ => state.health.probe_answered(),
        }
        self.needs_dispatch = true;
    }

    /// Applies a load report: the number of parts that the replica holds for all co-ordinators.
    pub(super) fn load_report(&mut self, now: Timestamp, replica: ReplicaId, parts_held: f64) {
        let seconds_per_part = self.typical_part_work() * self.service.seconds_per_work();
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        let parts_of_others = (parts_held - state.load.outstanding.len() as f64).max(0.0);
        // A report that arrives with an answer is older than the answer, so only reports of probes update the
        // lag.
        if self.retry_policy.may_probe {
            state.load.set_lag(Lag { seconds: parts_of_others * seconds_per_part, observed_at: now });
        }
    }

    /// Probes up to `max_probes` replicas of a zone, least recently probed first, so that observations of a
    /// zone without traffic stay recent.
    pub(super) fn probe_zone(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        zone: ZoneId,
        max_probes: usize,
    ) {
        if !self.retry_policy.may_probe {
            return;
        }
        let last_probe = |state: &ReplicaState| state.health.last_probe.map(|p| p.sent_at);
        let is_due = |state: &ReplicaState| {
            // The delay of remote sites is measured on their links.
            state.is_listed && state.is_local() && state.zone == Some(zone) && state.health.needs_probe(now)
        };
        let mut due: Vec<(Option<Timestamp>, ReplicaId)> = (self.replicas.iter())
            .filter(|(_, state)| is_due(state))
            .map(|(&id, state)| (last_probe(state), id))
            .collect();
        due.sort();
        for (_, replica) in due.into_iter().take(max_probes) {
            self.replicas.get_mut(&replica).expect("a selected replica is tracked").health.probe_sent(now);
            output.send_load_probe(replica);
        }
    }
}
