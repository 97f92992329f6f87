//! Which replicas a part may go to, and which further parts they would take along.

use super::load_estimate::CoverPlan;
use super::state::State;
use crate::ids::{PartId, ReplicaId};
use crate::time::Timestamp;

/// A replica that a part may go to.
pub(super) struct Candidate {
    pub(super) replica: ReplicaId,
    /// Work that it may be sent by the slow-start budget; infinite where it is not warming up.
    pub(super) allowance: f64,
}

/// Parts for one replica.
pub(super) struct Bundle {
    pub(super) replica: ReplicaId,
    pub(super) parts: Vec<PartId>,
}

impl State {
    /// Holders of the part's shard that it may go to. They are narrowed in turn, where any are left: not attempted
    /// before; not silent to a probe; not ejected. Never one with an attempt of the part out, or whose slow-start budget
    /// is spent.
    pub(super) fn candidates(&self, now: Timestamp, id: PartId, plan: &CoverPlan) -> Vec<Candidate> {
        let part = &self.parts[&id];
        let is_forwarded = self.is_forwarded(part.query);
        let mut holders: Vec<ReplicaId> = self.replica_index.holders(part.shard).collect();
        holders.retain(|r| self.is_reachable(*r, is_forwarded) && !part.is_outstanding_at(*r));
        narrow(&mut holders, |r| !part.was_sent_to(*r));
        narrow(&mut holders, |r| !self.replicas[r].health.is_silent_to_probe(now));
        // Even where most replicas look bad: they may be bad for this co-ordinator alone.
        narrow(&mut holders, |r| !self.replicas[r].health.is_ejected(now));
        let candidate =
            |replica| Candidate { replica, allowance: self.allowance(now, replica, part.work, plan) };
        holders.into_iter().map(candidate).filter(|c| c.allowance > 0.0).collect()
    }

    /// What the slow-start budget allows the replica; nothing more once the plan gives it anything.
    fn allowance(&self, now: Timestamp, replica: ReplicaId, part_work: f64, plan: &CoverPlan) -> f64 {
        let state = &self.replicas[&replica];
        let carried = self.service.carried.at(now) / self.listed_replicas.max(1) as f64;
        let sends = &state.slow_start_sends;
        let allowance = self.slow_start.allowance(now, state.started, sends, carried, part_work);
        if allowance < f64::INFINITY && plan.contains_key(&replica) { 0.0 } else { allowance }
    }

    /// The first part, which always fits, and others that the candidate holds and has room for.
    pub(super) fn bundle(&self, candidate: &Candidate, first: PartId, uncovered: &[PartId]) -> Bundle {
        let replica = candidate.replica;
        let cell = self.replicas[&replica].cell;
        let mut parts = vec![first];
        let mut left = candidate.allowance - self.parts[&first].work - self.call_limits.cost;
        for &id in uncovered.iter().filter(|&&id| id != first) {
            let part = &self.parts[&id];
            let may_take = self.replica_index.holds(cell, part.shard) && !part.was_sent_to(replica);
            if may_take && part.work <= left {
                left -= part.work;
                parts.push(id);
            }
        }
        Bundle { replica, parts }
    }
}

/// Leaves out what does not pass, if anything does.
fn narrow(replicas: &mut Vec<ReplicaId>, passes: impl Fn(&ReplicaId) -> bool) {
    if replicas.iter().any(&passes) {
        replicas.retain(passes);
    }
}
