//! The complete state of a co-ordinator. Each rule extends `State` in a module of its own.

use std::collections::{BTreeMap, BTreeSet};

use super::open_query::{AttemptContext, OpenQuery, PartState, WaitingQuery};
use super::replica_index::{CallLimits, ReplicaIndex, SetCoverConfig};
use super::replica_state::ReplicaState;
use super::request_class::{RequestClassConfig, RequestClassState};
use super::retry_budget::{RetryBudget, RetryBudgetConfig};
use super::retry_policy::RetryPolicy;
use super::service_estimates::ServiceEstimates;
use super::slow_start::{SlowStart, SlowStartConfig};
use super::target_utilization::TargetUtilization;
use super::zones::ZoneRouter;
use crate::ids::{AttemptId, PartId, QueryId, ReplicaId, RequestClassId};
use crate::output::CoordinatorOutput;
use crate::rng::Rng;
use crate::time::{TimeSpan, Timestamp};

/// Configuration of a co-ordinator, without its request classes.
#[derive(Default)]
pub struct CoordinatorConfig {
    /// Source of all random choices.
    pub rng: Rng,
    /// The ring of cells and the limits of one call.
    pub set_cover: SetCoverConfig,
    /// Limits on retries.
    pub retry_budget: RetryBudgetConfig,
    /// Limits on the work sent to replicas that have just started.
    pub slow_start: SlowStartConfig,
    /// Limits on attempts, hedged requests and probes.
    pub retry_policy: RetryPolicy,
    /// Whether the endpoint list is watched.
    pub watch_endpoints: bool,
    /// Longest time between an event and the `dispatch` that follows it.
    pub tick: TimeSpan,
}

/// Action to take when a timer fires.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// Restarts the watch on the endpoint list.
    WatchEndpoints,
    /// Reviews the query if it is still open.
    ReviewQuery { query: QueryId, serial: u64 },
    /// Places the parts that waited for load probes which have now timed out.
    ProbesTimedOut,
}

/// The complete state of a co-ordinator.
#[derive(Default)]
pub(super) struct State {
    pub(super) rng: Rng,
    pub(super) replica_index: ReplicaIndex,
    pub(super) call_limits: CallLimits,
    pub(super) retry_budget: RetryBudget,
    pub(super) slow_start: SlowStart,
    pub(super) retry_policy: RetryPolicy,
    pub(super) watch_endpoints: bool,
    pub(super) tick: TimeSpan,
    pub(super) classes: Vec<RequestClassState>,
    /// Replicas that are listed or have outstanding attempts. Other entries are removed.
    pub(super) replicas: BTreeMap<ReplicaId, ReplicaState>,
    pub(super) listed_replicas: usize,
    /// Open queries. An entry is removed with the final answer of its query.
    pub(super) queries: BTreeMap<QueryId, OpenQuery>,
    /// Parts of open queries and parts with outstanding attempts. Other entries are removed.
    pub(super) parts: BTreeMap<PartId, PartState>,
    pub(super) attempts: BTreeMap<AttemptId, AttemptContext>,
    /// Pending timers by label.
    pub(super) timers: BTreeMap<u64, Timer>,
    sequence: u64,
    /// Number of the current dispatch pass.
    pub(super) pass: u64,
    /// Queries that may have waiting parts. An entry is removed by a dispatch pass that finds none.
    pub(super) waiting: BTreeSet<WaitingQuery>,
    pub(super) service: ServiceEstimates,
    pub(super) target_utilization: TargetUtilization,
    pub(super) zones: ZoneRouter,
    /// Whether any event has occurred since the last dispatch pass.
    pub(super) needs_dispatch: bool,
}

impl State {
    pub(super) fn new(config: CoordinatorConfig) -> State {
        State {
            rng: config.rng,
            replica_index: ReplicaIndex::new(&config.set_cover),
            call_limits: CallLimits::new(&config.set_cover),
            retry_budget: RetryBudget::from_config(config.retry_budget),
            slow_start: SlowStart::new(config.slow_start),
            retry_policy: config.retry_policy,
            watch_endpoints: config.watch_endpoints,
            tick: config.tick,
            service: ServiceEstimates::new(),
            target_utilization: TargetUtilization::initial(),
            ..State::default()
        }
    }

    /// Returns the next number of the sequence that provides serials of queries and labels of timers.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    pub(super) fn set_timer(&mut self, output: &mut dyn CoordinatorOutput, at: Timestamp, timer: Timer) {
        let label = self.next_sequence();
        self.timers.insert(label, timer);
        output.set_timer(at, label);
    }

    pub(super) fn class_config(&self, class: RequestClassId) -> &RequestClassConfig {
        &self.classes[usize::from(class.0)].config
    }

    pub(super) fn class_of(&self, query: &OpenQuery) -> &RequestClassConfig {
        self.class_config(query.class)
    }

    /// Marks the part for placement in the next dispatch pass.
    pub(super) fn enqueue(&mut self, part: PartId) {
        let state = self.parts.get_mut(&part).expect("an enqueued part is tracked");
        state.is_waiting = true;
        let query = state.query;
        self.waiting.extend(self.queries.get(&query).map(|q| WaitingQuery { serial: q.serial, query }));
    }

    /// Seconds of work of a typical part, averaged over all request classes.
    pub(super) fn typical_part_work(&self) -> f64 {
        let sum: f64 = self.classes.iter().map(RequestClassState::typical_work).sum();
        sum / self.classes.len().max(1) as f64
    }
}
