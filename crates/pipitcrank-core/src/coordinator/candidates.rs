//! Selects the replicas that a part may be sent to, and the further parts that can be bundled with it.

use super::load_estimate::CoverPlan;
use super::state::State;
use crate::ids::{PartId, ReplicaId};
use crate::time::Timestamp;

/// A replica that a part may be sent to.
pub(super) struct Candidate {
    pub(super) replica: ReplicaId,
    /// Work allowed by the slow-start budget, or infinity if the replica is not in slow start.
    pub(super) allowance: f64,
}

/// Parts for one replica.
pub(super) struct Bundle {
    pub(super) replica: ReplicaId,
    pub(super) parts: Vec<PartId>,
}

impl State {
    /// Returns the holders of the part's shard that it may be sent to. Replicas with an outstanding attempt
    /// of the part, or with a spent slow-start budget, are always excluded. Three further criteria are
    /// applied in turn, each only if some replica meets it: not attempted before, no probe timed out, and not
    /// ejected.
    pub(super) fn candidates(&self, now: Timestamp, id: PartId, plan: &CoverPlan) -> Vec<Candidate> {
        let part = &self.parts[&id];
        let is_forwarded = self.is_forwarded(part.query);
        let mut holders: Vec<ReplicaId> = self.replica_index.holders(part.shard).collect();
        holders.retain(|r| self.is_reachable(*r, is_forwarded) && !part.is_outstanding_at(*r));
        retain_if_any(&mut holders, |r| !part.was_sent_to(*r));
        retain_if_any(&mut holders, |r| !self.replicas[r].health.is_probe_timed_out(now));
        // Ejected replicas are skipped even if most are ejected, because the faults may affect this
        // co-ordinator only.
        retain_if_any(&mut holders, |r| !self.replicas[r].health.is_ejected(now));
        let candidate =
            |replica| Candidate { replica, allowance: self.allowance(now, replica, part.work, plan) };
        holders.into_iter().map(candidate).filter(|c| c.allowance > 0.0).collect()
    }

    /// Returns the work that the slow-start budget allows for the replica. It is zero once the plan assigns
    /// anything to a replica in slow start.
    fn allowance(&self, now: Timestamp, replica: ReplicaId, part_work: f64, plan: &CoverPlan) -> f64 {
        let state = &self.replicas[&replica];
        let throughput = self.service.throughput.at(now) / self.listed_replicas.max(1) as f64;
        let sends = &state.slow_start_sends;
        let allowance = self.slow_start.allowance(now, state.started, sends, throughput, part_work);
        if allowance < f64::INFINITY && plan.contains_key(&replica) { 0.0 } else { allowance }
    }

    /// Bundles the first part, which always fits, with other parts that the candidate holds and has room for.
    pub(super) fn bundle(&self, candidate: &Candidate, first: PartId, uncovered: &[PartId]) -> Bundle {
        let replica = candidate.replica;
        let cell = self.replicas[&replica].cell;
        let mut parts = vec![first];
        let mut remaining = candidate.allowance - self.parts[&first].work - self.call_limits.cost;
        for &id in uncovered.iter().filter(|&&id| id != first) {
            let part = &self.parts[&id];
            let may_take = self.replica_index.holds(cell, part.shard) && !part.was_sent_to(replica);
            if may_take && part.work <= remaining {
                remaining -= part.work;
                parts.push(id);
            }
        }
        Bundle { replica, parts }
    }
}

/// Retains the replicas that pass the test, unless none does.
fn retain_if_any(replicas: &mut Vec<ReplicaId>, passes: impl Fn(&ReplicaId) -> bool) {
    if replicas.iter().any(&passes) {
        replicas.retain(passes);
    }
}
