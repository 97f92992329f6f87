//! Placement of the waiting parts of a query by a modified greedy set cover (docs/design.md). Each round
//! draws one part, determines which of its holders would answer it in time together with the most other
//! parts, and picks one of the best.

use super::candidates::Bundle;
use super::load_estimate::CoverPlan;
use super::open_query::WaitingQuery;
use super::replica_load::LoadModel;
use super::state::State;
use super::target_utilization::TargetUtilization;
use crate::ids::{PartId, QueryId, ReplicaId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Maximum number of rounds per query in one pass. The remaining parts are placed in the next pass.
const MAX_ROUNDS: usize = 128;
/// Fraction of the latency objective within which bundles are never cut.
const SHORT_WAIT_FRACTION: f64 = 0.1;
/// Fraction of the latency objective by which a holder may be ready later than the earliest one and still be
/// a candidate.
const MAX_BEHIND_FRACTION: f64 = 0.05;
/// Fraction of the age of the oldest outstanding attempt within which a hedged request must be expected to be
/// answered.
const HEDGE_FRACTION: f64 = 0.5;

/// Limits that apply to all rounds of one query.
struct CoverBounds {
    now: Timestamp,
    query: QueryId,
    /// Whether no part of the query has been sent.
    is_first: bool,
    time_left: TimeSpan,
    short_wait: TimeSpan,
    max_behind: TimeSpan,
    /// Time in which the work would be done if it were spread evenly; bundles are cut to this time.
    balanced_time: TimeSpan,
    /// Weight needed for a partial answer, if partial answers are allowed.
    partial_threshold: Option<f64>,
    model: LoadModel,
}

impl State {
    /// Places the waiting parts, oldest query first. Called once after all events of one point in time, so
    /// that parts that arrived together share calls.
    pub(super) fn dispatch(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        if !std::mem::take(&mut self.needs_dispatch) {
            return;
        }
        self.pass += 1;
        for waiting in self.waiting.clone() {
            let WaitingQuery { serial, query } = waiting;
            let open = self.queries.get(&query).filter(|q| q.serial == serial);
            let parts = open.map_or(&[][..], |q| &q.parts);
            let parts: Vec<PartId> = parts.iter().copied().filter(|p| self.parts[p].is_waiting).collect();
            if parts.is_empty() {
                self.waiting.remove(&waiting);
            } else {
                self.place(output, now, query, parts);
            }
        }
    }

    /// Places parts of one query. First attempts are sent only if enough parts for an answer can be placed,
    /// because the work would be wasted otherwise.
    fn place(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        query: QueryId,
        mut parts: Vec<PartId>,
    ) {
        parts.retain(|&p| self.may_attempt(now, p));
        self.slow_start.draw_threshold(now, &mut self.rng);
        let may_place =
            !self.needs_load_reports(now, query) || self.collect_load_reports(output, now, &parts);
        if !may_place {
            return;
        }
        let bounds = self.cover_bounds(now, query, &parts);
        let cover = self.cover(&bounds, parts);
        self.needs_dispatch |= cover.is_incomplete;
        let reachable_weight = 1.0 - cover.unplaced_weight;
        if bounds.is_first && reachable_weight < self.thresholds(&self.queries[&query]).partial {
            return;
        }
        for (replica, parts) in cover.plan {
            for part in parts {
                if self.may_attempt(now, part) {
                    self.send_attempt(output, now, part, replica);
                }
            }
        }
    }

    fn is_unsent(&self, query: QueryId) -> bool {
        self.queries[&query].parts.iter().all(|p| self.parts[p].attempts.is_empty())
    }

    /// Returns whether load probes are needed. To save their cost, none are sent for first attempts while
    /// recent answers show little lag.
    fn needs_load_reports(&self, now: Timestamp, query: QueryId) -> bool {
        let open = &self.queries[&query];
        let short_wait = (open.objective_at - open.arrived) * SHORT_WAIT_FRACTION;
        let lag = self.service.lag;
        let may_skip_probes =
            self.is_unsent(query) && lag.seconds < short_wait.as_secs_f64() && lag.is_recent(now);
        self.retry_policy.may_probe && !may_skip_probes
    }

    fn cover_bounds(&self, now: Timestamp, query: QueryId, parts: &[PartId]) -> CoverBounds {
        let open = &self.queries[&query];
        let objective = open.objective_at - open.arrived;
        let due = if now < open.objective_at { open.objective_at } else { open.deadline };
        let short_wait = objective * SHORT_WAIT_FRACTION;
        let thresholds = self.thresholds(open);
        CoverBounds {
            now,
            query,
            is_first: self.is_unsent(query),
            time_left: due - now,
            short_wait,
            max_behind: objective * MAX_BEHIND_FRACTION,
            balanced_time: self.balanced_time(now, parts).max(short_wait),
            partial_threshold: (thresholds.partial < thresholds.complete).then_some(thresholds.partial),
            model: self.service.load_model(now),
        }
    }

    fn cover(&mut self, bounds: &CoverBounds, mut uncovered: Vec<PartId>) -> Cover {
        let mut plan = CoverPlan::new();
        let mut unplaced_weight = 0.0;
        for _ in 0..MAX_ROUNDS {
            if uncovered.is_empty() {
                break;
            }
            let first = uncovered[self.rng.below(uncovered.len())];
            let mut best = self.best_bundles(bounds, first, &uncovered, &plan, unplaced_weight);
            if best.is_empty() {
                // No replica can accept the part now. It waits for a later pass.
                unplaced_weight += self.parts[&first].weight;
                uncovered.retain(|&p| p != first);
                continue;
            }
            let Bundle { replica, parts } = best.swap_remove(self.rng.below(best.len()));
            uncovered.retain(|p| !parts.contains(p));
            plan.entry(replica).or_default().extend(parts);
        }
        Cover { plan, unplaced_weight, is_incomplete: !uncovered.is_empty() }
    }

    /// Returns the bundles that cover the most parts, or one fewer, at the replicas with the fewest calls of
    /// this co-ordinator.
    fn best_bundles(
        &self,
        bounds: &CoverBounds,
        first: PartId,
        uncovered: &[PartId],
        plan: &CoverPlan,
        unplaced_weight: f64,
    ) -> Vec<Bundle> {
        let is_optional = self.is_optional(bounds, first, unplaced_weight);
        let mut bundles = self.bundles_in_time(bounds, first, uncovered, plan, is_optional);
        let most_parts = bundles.iter().map(|b| b.parts.len()).max();
        bundles.retain(|b| Some(b.parts.len() + 1) >= most_parts);
        let fewest_calls = bundles.iter().map(|b| self.call_count(bounds, b.replica, plan)).min();
        bundles.retain(|b| Some(self.call_count(bounds, b.replica, plan)) == fewest_calls);
        bundles
    }

    /// Returns whether the query can be partially answered without this part. Such a part must not occupy a
    /// busy replica that other queries need.
    fn is_optional(&self, bounds: &CoverBounds, part: PartId, unplaced_weight: f64) -> bool {
        let weight = self.parts[&part].weight;
        bounds.partial_threshold.is_some_and(|threshold| 1.0 - unplaced_weight - weight >= threshold)
    }

    /// Returns one bundle for each candidate that would answer the first part in time. Bundles are cut to the
    /// parts that would be answered within the balanced time, because a query is as slow as its slowest
    /// bundle.
    fn bundles_in_time(
        &self,
        bounds: &CoverBounds,
        first: PartId,
        uncovered: &[PartId],
        plan: &CoverPlan,
        is_optional: bool,
    ) -> Vec<Bundle> {
        let now = bounds.now;
        let max_completion_time = self.max_completion_time(bounds, first);
        let mut candidates = self.candidates(now, first, plan);
        let ready_in = |replica: ReplicaId| self.ready_in(now, replica, bounds.query, plan);
        let soonest = candidates.iter().map(|c| ready_in(c.replica)).min().unwrap_or_default();
        candidates.retain(|c| ready_in(c.replica) <= soonest + bounds.max_behind);
        let mut bundles = Vec::new();
        for candidate in candidates {
            let waiting_time = self.completion(now, candidate.replica, &CoverPlan::new()).until_ready();
            if is_optional && waiting_time > bounds.short_wait {
                continue;
            }
            let bundle = self.bundle(&candidate, first, uncovered);
            let time = max_completion_time.min(self.usable_time(bounds, waiting_time));
            bundles.extend(self.cut_to_time(bounds, bundle, plan, time));
        }
        bundles
    }

    /// Time within which an attempt of the part must be answered, without regard to the queue at the replica.
    fn max_completion_time(&self, bounds: &CoverBounds, part: PartId) -> TimeSpan {
        let attempts = self.parts[&part].attempts.iter().filter(|a| a.is_outstanding);
        let oldest_age = attempts.map(|a| bounds.now - a.sent_at).max();
        oldest_age
            .map_or(bounds.time_left, |age| age * HEDGE_FRACTION)
            .min(bounds.time_left * TargetUtilization::MAX)
    }

    /// Time left for this query's own work if the queue at the replica may fill only the target utilization
    /// of the total.
    fn usable_time(&self, bounds: &CoverBounds, waiting_time: TimeSpan) -> TimeSpan {
        bounds.time_left - waiting_time * (1.0 / self.target_utilization.value() - 1.0)
    }

    /// Cuts the bundle to the parts that would be answered in time. Returns `None` if not even the first part
    /// would be.
    fn cut_to_time(
        &self,
        bounds: &CoverBounds,
        mut bundle: Bundle,
        plan: &CoverPlan,
        time: TimeSpan,
    ) -> Option<Bundle> {
        let completion = self.completion(bounds.now, bundle.replica, plan);
        let work = self.cumulative_work(&bundle.parts);
        let completion_time = |parts: usize| completion.after(work[parts - 1]);
        while bundle.parts.len() > 1 && completion_time(bundle.parts.len()) > time.min(bounds.balanced_time) {
            bundle.parts.pop();
        }
        (completion_time(bundle.parts.len()) <= time).then_some(bundle)
    }

    /// Number of calls of this co-ordinator at the replica, outstanding and planned.
    fn call_count(&self, bounds: &CoverBounds, replica: ReplicaId, plan: &CoverPlan) -> usize {
        let limits = self.call_limits;
        let planned = plan.get(&replica).map_or(0, |parts| parts.len().div_ceil(limits.max_parts));
        let estimate = self.replicas[&replica].load_estimate(bounds.model, limits.cost);
        estimate.outstanding_calls + planned
    }
}

/// Assignment of the parts of one query to replicas.
struct Cover {
    plan: CoverPlan,
    /// Weight of the parts that no replica can accept now.
    unplaced_weight: f64,
    /// Whether parts remain because the maximum number of rounds was reached.
    is_incomplete: bool,
}
