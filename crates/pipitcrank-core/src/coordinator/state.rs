//! All that a coordinator holds. The rules stand in the modules that extend `State`, one job each.

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

/// All that a coordinator is configured with, its request classes aside.
#[derive(Default)]
pub struct CoordinatorConfig {
    /// Source of all random choice.
    pub rng: Rng,
    /// The ring of cells and the limits of one call.
    pub set_cover: SetCoverConfig,
    /// How many retries are allowed.
    pub retry_budget: RetryBudgetConfig,
    /// Work that a replica just started may be sent.
    pub slow_start: SlowStartConfig,
    /// What attempts, hedged requests and probes are allowed.
    pub retry_policy: RetryPolicy,
    /// Whether the endpoint list is watched.
    pub watch_endpoints: bool,
    /// Longest time between an event and the `dispatch` after it.
    pub tick: TimeSpan,
}

/// What happens when a timer fires.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The endpoint list is watched again.
    WatchEndpoints,
    /// The query is reviewed, if it is still open.
    ReviewQuery { query: QueryId, serial: u64 },
    /// Probes have had their time; what waits for them is placed.
    ProbesTimedOut,
}

/// All that a coordinator holds.
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
    /// One per replica listed or with attempts out; an entry ends when it is neither.
    pub(super) replicas: BTreeMap<ReplicaId, ReplicaState>,
    pub(super) listed_replicas: usize,
    /// Open queries; an entry ends with the query's final answer.
    pub(super) queries: BTreeMap<QueryId, OpenQuery>,
    /// An entry ends when the part's query and its attempts have.
    pub(super) parts: BTreeMap<PartId, PartState>,
    /// Attempts out; an entry ends with the attempt.
    pub(super) attempts: BTreeMap<AttemptId, AttemptContext>,
    /// By label; an entry ends as the timer fires.
    pub(super) timers: BTreeMap<u64, Timer>,
    sequence: u64,
    /// Number of the present dispatch pass.
    pub(super) pass: u64,
    /// An entry ends at a dispatch pass that finds no part of the query waiting.
    pub(super) waiting: BTreeSet<WaitingQuery>,
    pub(super) service: ServiceEstimates,
    pub(super) target_utilization: TargetUtilization,
    pub(super) zones: ZoneRouter,
    /// Something has happened since the last dispatch pass.
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

    /// The next number of the sequence from which queries have their serials and timers their labels.
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

    /// Marks the part to be placed by the next dispatch pass.
    pub(super) fn enqueue(&mut self, part: PartId) {
        let state = self.parts.get_mut(&part).expect("parts to be placed are held");
        state.is_waiting = true;
        let query = state.query;
        self.waiting.extend(self.queries.get(&query).map(|q| WaitingQuery { serial: q.serial, query }));
    }

    /// Seconds of work of a usual part, over all request classes.
    pub(super) fn usual_part_work(&self) -> f64 {
        let sum: f64 = self.classes.iter().map(RequestClassState::usual_work).sum();
        sum / self.classes.len().max(1) as f64
    }
}
