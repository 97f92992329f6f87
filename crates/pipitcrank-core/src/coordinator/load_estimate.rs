//! Estimates when replicas will have answered the work planned for them. No decisions are made here.

use std::collections::{BTreeMap, BTreeSet};

use super::replica_state::Site;
use super::state::State;
use crate::ids::{PartId, QueryId, ReplicaId};
use crate::time::{TimeSpan, Timestamp};

/// The parts that a set cover assigns to each replica, before anything is sent.
pub(super) type CoverPlan = BTreeMap<ReplicaId, Vec<PartId>>;

/// Expected completion time of work at a replica.
pub(super) struct CompletionEstimate {
    lag: f64,
    seconds_per_work: f64,
    /// Work of this co-ordinator that is outstanding or planned, including the cost of calls.
    work_before: f64,
    network_delay: TimeSpan,
}

impl CompletionEstimate {
    /// Time until the replica is expected to have answered this much additional work.
    pub(super) fn after(&self, work: f64) -> TimeSpan {
        let seconds = self.lag + self.seconds_per_work * (self.work_before + work);
        TimeSpan::from_secs_f64(seconds) + self.network_delay
    }

    /// Time until the replica is expected to start on additional work.
    pub(super) fn until_ready(&self) -> TimeSpan {
        self.after(0.0)
    }
}

impl State {
    /// Upper bound of the balanced completion time, in seconds.
    const MAX_BALANCED_TIME_S: f64 = 1e6;
    /// Penalty for a replica outside the zone that a query is routed to, as a fraction of the latency
    /// objective. It exceeds the delay at which a candidate is still accepted, and is small enough that
    /// overload in the zone moves work to other zones.
    const CROSS_ZONE_FRACTION: f64 = 0.1;

    pub(super) fn work_of(&self, parts: &[PartId]) -> f64 {
        parts.iter().map(|p| self.parts[p].work).sum()
    }

    /// Work of the first part, of the first two parts, and so on.
    pub(super) fn cumulative_work(&self, parts: &[PartId]) -> Vec<f64> {
        let mut sum = 0.0;
        let next = |p: &PartId| {
            sum += self.parts[p].work;
            sum
        };
        parts.iter().map(next).collect()
    }

    /// Estimates when the replica will have answered additional work on top of what the plan assigns to it.
    pub(super) fn completion(
        &self,
        now: Timestamp,
        replica: ReplicaId,
        plan: &CoverPlan,
    ) -> CompletionEstimate {
        let (state, cost) = (&self.replicas[&replica], self.call_limits.cost);
        let estimate = state.load_estimate(self.service.load_model(now), cost);
        let planned = plan.get(&replica).map_or(0.0, |parts| self.work_of(parts) + cost);
        CompletionEstimate {
            lag: estimate.lag,
            seconds_per_work: self.service.seconds_per_work(),
            work_before: estimate.outstanding_work + planned + cost,
            network_delay: state.network_delay,
        }
    }

    /// Time until the replica is expected to start on additional work, including the cross-zone penalty.
    pub(super) fn ready_in(
        &self,
        now: Timestamp,
        replica: ReplicaId,
        query: QueryId,
        plan: &CoverPlan,
    ) -> TimeSpan {
        self.completion(now, replica, plan).until_ready() + self.cross_zone_cost(replica, query)
    }

    fn cross_zone_cost(&self, replica: ReplicaId, query: QueryId) -> TimeSpan {
        let open = &self.queries[&query];
        match (self.replicas[&replica].zone, open.zone) {
            (Some(at), Some(wanted)) if at != wanted => {
                (open.objective_at - open.arrived) * Self::CROSS_ZONE_FRACTION
            }
            _ => TimeSpan::ZERO,
        }
    }

    /// Time until all holders of the parts would have answered if the work were spread evenly over them.
    pub(super) fn balanced_time(&self, now: Timestamp, parts: &[PartId]) -> TimeSpan {
        let is_forwarded = parts.first().is_some_and(|p| self.is_forwarded(self.parts[p].query));
        let is_usable = |r: &ReplicaId| {
            self.is_reachable(*r, is_forwarded) && self.replicas[r].health.ejected_until.is_none()
        };
        let no_plan = CoverPlan::new();
        let mut ready: Vec<f64> = (self.holders(parts).into_iter().filter(is_usable))
            .map(|r| self.completion(now, r, &no_plan).until_ready().as_secs_f64())
            .collect();
        ready.sort_by(f64::total_cmp);
        let mut sum = self.work_of(parts) * self.service.seconds_per_work();
        let mut balanced_time = f64::INFINITY;
        for (index, at) in ready.into_iter().enumerate() {
            if at >= balanced_time {
                break;
            }
            sum += at;
            balanced_time = sum / (index + 1) as f64;
        }
        TimeSpan::from_secs_f64(balanced_time.min(Self::MAX_BALANCED_TIME_S))
    }

    /// All replicas that hold the shard of at least one of the parts.
    pub(super) fn holders(&self, parts: &[PartId]) -> BTreeSet<ReplicaId> {
        parts.iter().flat_map(|p| self.replica_index.holders(self.parts[p].shard)).collect()
    }

    pub(super) fn is_forwarded(&self, query: QueryId) -> bool {
        self.queries[&query].delegated_retries.is_some()
    }

    /// Returns whether parts may be sent to the replica at all. Parts of a forwarded query are not forwarded
    /// to a third site.
    pub(super) fn is_reachable(&self, replica: ReplicaId, is_forwarded: bool) -> bool {
        let state = &self.replicas[&replica];
        let is_site_open = match state.site {
            Site::Local => true,
            Site::Remote => !is_forwarded,
            Site::RemoteClosed => false,
        };
        is_site_open && !self.zones.is_closed(state.zone)
    }
}
