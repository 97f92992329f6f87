//! Placing the waiting parts of a query: a modified greedy set cover (docs/design.md). Each round draws a part, asks which of
//! its holders would answer it together with the most other parts in time, and picks one of the best.

use super::candidates::Bundle;
use super::load_estimate::CoverPlan;
use super::open_query::WaitingQuery;
use super::replica_load::LoadModel;
use super::state::State;
use super::target_utilization::TargetUtilization;
use crate::ids::{PartId, QueryId, ReplicaId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Most rounds of one query in a pass; what is left is placed in the next.
const MAX_ROUNDS: usize = 128;
/// Fraction of the latency objective within which bundles are never cut.
const SOON_FRACTION: f64 = 0.1;
/// A holder that is ready later than the first by more than this fraction of the latency objective is no candidate.
const BEHIND_FRACTION: f64 = 0.05;
/// A hedged request must promise an answer within this fraction of the first attempt's age.
const HEDGE_FRACTION: f64 = 0.5;

/// What the rounds of one query go by.
struct CoverBounds {
    now: Timestamp,
    query: QueryId,
    /// None of its parts has been sent.
    is_first: bool,
    time_left: TimeSpan,
    soon: TimeSpan,
    behind: TimeSpan,
    /// Time in which the work would be done if it could be spread evenly; bundles are cut to it.
    level: TimeSpan,
    /// Weight needed for a partial answer, where one is allowed.
    partial_threshold: Option<f64>,
    model: LoadModel,
}

impl State {
    /// Places what waits, the oldest query first. Called once a moment, after its events, so that what arrived together
    /// shares calls.
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

    /// Places the parts, all of one query. Its first attempts go only when those of parts enough for an answer can: the
    /// work would be lost otherwise.
    fn place(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        query: QueryId,
        mut parts: Vec<PartId>,
    ) {
        parts.retain(|&p| self.may_attempt(now, p));
        self.slow_start.draw_threshold(now, &mut self.rng);
        let may_go = !self.wants_load_reports(now, query) || self.have_load_reports(output, now, &parts);
        if !may_go {
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

    /// Probes have their price: there are none for first attempts while replicas that answered were in time.
    fn wants_load_reports(&self, now: Timestamp, query: QueryId) -> bool {
        let open = &self.queries[&query];
        let soon = (open.objective_at - open.arrived) * SOON_FRACTION;
        let lag = self.service.lag;
        let is_calm = self.is_unsent(query) && lag.seconds < soon.as_secs_f64() && lag.is_recent(now);
        self.retry_policy.may_probe && !is_calm
    }

    fn cover_bounds(&self, now: Timestamp, query: QueryId, parts: &[PartId]) -> CoverBounds {
        let open = &self.queries[&query];
        let objective = open.objective_at - open.arrived;
        let due = if now < open.objective_at { open.objective_at } else { open.deadline };
        let soon = objective * SOON_FRACTION;
        let thresholds = self.thresholds(open);
        CoverBounds {
            now,
            query,
            is_first: self.is_unsent(query),
            time_left: due - now,
            soon,
            behind: objective * BEHIND_FRACTION,
            level: self.level(now, parts).max(soon),
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
                // No replica can take it now; it waits for a later pass.
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

    /// The bundles that cover the most parts, to within one, at the replicas with the fewest own calls out.
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

    /// Whether the query can be answered in part without this one. Such a part must not keep a busy replica from queries
    /// that need theirs.
    fn is_optional(&self, bounds: &CoverBounds, part: PartId, unplaced_weight: f64) -> bool {
        let weight = self.parts[&part].weight;
        bounds.partial_threshold.is_some_and(|threshold| 1.0 - unplaced_weight - weight >= threshold)
    }

    /// One bundle for each candidate that would answer the first part in time, cut to what it would answer by the level:
    /// a query is as slow as its slowest bundle.
    fn bundles_in_time(
        &self,
        bounds: &CoverBounds,
        first: PartId,
        uncovered: &[PartId],
        plan: &CoverPlan,
        is_optional: bool,
    ) -> Vec<Bundle> {
        let now = bounds.now;
        let most_time = self.most_time(bounds, first);
        let mut candidates = self.candidates(now, first, plan);
        let ready_in = |replica: ReplicaId| self.ready_in(now, replica, bounds.query, plan);
        let soonest = candidates.iter().map(|c| ready_in(c.replica)).min().unwrap_or_default();
        candidates.retain(|c| ready_in(c.replica) <= soonest + bounds.behind);
        let mut bundles = Vec::new();
        for candidate in candidates {
            let waiting_time = self.completion(now, candidate.replica, &CoverPlan::new()).until_ready();
            if is_optional && waiting_time > bounds.soon {
                continue;
            }
            let bundle = self.bundle(&candidate, first, uncovered);
            let time = most_time.min(self.usable_time(bounds, waiting_time));
            bundles.extend(self.cut_to_time(bounds, bundle, plan, time));
        }
        bundles
    }

    /// Time in which an attempt of the part has to be answered, what waits at the replica aside.
    fn most_time(&self, bounds: &CoverBounds, part: PartId) -> TimeSpan {
        let attempts = self.parts[&part].attempts.iter().filter(|a| a.is_outstanding);
        let oldest_age = attempts.map(|a| bounds.now - a.sent_at).max();
        oldest_age
            .map_or(bounds.time_left, |age| age * HEDGE_FRACTION)
            .min(bounds.time_left * TargetUtilization::MAX)
    }

    /// What waits at the replica may fill the target utilization of the time left beside this query's own work.
    fn usable_time(&self, bounds: &CoverBounds, waiting_time: TimeSpan) -> TimeSpan {
        bounds.time_left - waiting_time * (1.0 / self.target_utilization.value() - 1.0)
    }

    /// None if not even the first part would be answered in time.
    fn cut_to_time(
        &self,
        bounds: &CoverBounds,
        mut bundle: Bundle,
        plan: &CoverPlan,
        time: TimeSpan,
    ) -> Option<Bundle> {
        let completion = self.completion(bounds.now, bundle.replica, plan);
        let work = self.cumulative_work(&bundle.parts);
        let taken = |parts: usize| completion.after(work[parts - 1]);
        while bundle.parts.len() > 1 && taken(bundle.parts.len()) > time.min(bounds.level) {
            bundle.parts.pop();
        }
        (taken(bundle.parts.len()) <= time).then_some(bundle)
    }

    /// Own calls out and planned.
    fn call_count(&self, bounds: &CoverBounds, replica: ReplicaId, plan: &CoverPlan) -> usize {
        let limits = self.call_limits;
        let planned = plan.get(&replica).map_or(0, |parts| parts.len().div_ceil(limits.max_parts));
        let estimate = self.replicas[&replica].load_estimate(bounds.model, limits.cost);
        estimate.outstanding_calls + planned
    }
}

/// The parts of one query given to replicas.
struct Cover {
    plan: CoverPlan,
    /// Weight of the parts that no replica can take now.
    unplaced_weight: f64,
    /// The rounds did not suffice.
    is_incomplete: bool,
}
