//! An output that records the actions of a co-ordinator, and a co-ordinator over a small ring of replicas.

#![allow(dead_code)] // no test file uses all of it

use pipitcrank_core::coordinator::{
    Coordinator, CoordinatorConfig, RequestClassConfig, RetryBudgetConfig, RetryPolicy, SetCoverConfig,
    SlowStartConfig,
};
use pipitcrank_core::ids::{AttemptId, Idempotency, PartId, QueryId, RejectReason, ReplicaId};
use pipitcrank_core::output::CoordinatorOutput;
use pipitcrank_core::rng::Rng;
use pipitcrank_core::time::{TimeSpan, Timestamp};

pub mod driver;

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    SendAttempt(PartId, ReplicaId),
    CancelAttempt(AttemptId),
    Answer(QueryId, bool),
    Reject(QueryId),
    Abort(QueryId),
    SetTimer(Timestamp, u64),
    WatchEndpoints,
    SendLoadProbe(ReplicaId),
    ReleaseQuery(QueryId),
    ReleasePart(PartId),
    ReleaseReplica(ReplicaId),
}

#[derive(Default)]
pub struct RecordedOutput(pub Vec<Action>);

impl CoordinatorOutput for RecordedOutput {
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, _deadline: Timestamp) {
        self.0.push(Action::SendAttempt(part, replica));
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.0.push(Action::CancelAttempt(attempt));
    }
    fn answer(&mut self, query: QueryId, is_complete: bool) {
        self.0.push(Action::Answer(query, is_complete));
    }
    fn reject(&mut self, query: QueryId, _retry_after: TimeSpan, _reason: RejectReason) {
        self.0.push(Action::Reject(query));
    }
    fn abort(&mut self, query: QueryId, _reason: RejectReason) {
        self.0.push(Action::Abort(query));
    }
    fn set_timer(&mut self, at: Timestamp, label: u64) {
        self.0.push(Action::SetTimer(at, label));
    }
    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.0.push(Action::SendLoadProbe(replica));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Action::WatchEndpoints);
    }
    fn log(&mut self, _text: &str) {}
    fn release_query(&mut self, query: QueryId) {
        self.0.push(Action::ReleaseQuery(query));
    }
    fn release_part(&mut self, part: PartId) {
        self.0.push(Action::ReleasePart(part));
    }
    fn release_replica(&mut self, replica: ReplicaId) {
        self.0.push(Action::ReleaseReplica(replica));
    }
}

impl RecordedOutput {
    /// Returns the attempts sent, in order.
    pub fn attempts(&self) -> Vec<(PartId, ReplicaId)> {
        let attempt = |a: &Action| if let Action::SendAttempt(p, r) = a { Some((*p, *r)) } else { None };
        self.0.iter().filter_map(attempt).collect()
    }
}

pub const CELLS: u32 = 6;
pub const CELLS_PER_SHARD: u32 = 3;
pub const TICK: TimeSpan = TimeSpan::from_millis(5);
pub const MAX_ATTEMPTS: usize = 3;
pub const FREE_RETRIES: f64 = 2.0;
pub const RETRY_FRACTION: f64 = 0.1;
pub const RETRY_WINDOW: TimeSpan = TimeSpan::from_millis(1000);
pub const IDEMPOTENCY_WINDOW: TimeSpan = TimeSpan::from_millis(700);
pub const MAX_NETWORK_DELAY: TimeSpan = TimeSpan::from_millis(80);

/// Parameters in which the request classes of the tests differ.
pub struct ClassRules {
    pub idempotency: Idempotency,
    pub partial_threshold: f64,
    pub complete_threshold: f64,
    pub late_weight: f64,
}

const fn class(
    idempotency: Idempotency,
    partial_threshold: f64,
    complete_threshold: f64,
    late_weight: f64,
) -> ClassRules {
    ClassRules { idempotency, partial_threshold, complete_threshold, late_weight }
}

/// Request classes: idempotent; with partial answers; idempotent by key; non-idempotent; with a second step;
/// and without late weight.
pub const CLASSES: [ClassRules; 6] = [
    class(Idempotency::Idempotent, 1.0, 1.0, 0.3),
    class(Idempotency::Idempotent, 0.6, 1.0, 0.3),
    class(Idempotency::IdempotentByKey, 1.0, 1.0, 0.3),
    class(Idempotency::NonIdempotent, 1.0, 1.0, 0.3),
    class(Idempotency::Idempotent, 0.5, 0.8, 0.3),
    class(Idempotency::Idempotent, 1.0, 1.0, 0.0),
];
/// Index of the request class with a second step.
pub const TWO_STEP_CLASS: usize = 4;

pub fn ms(n: i64) -> TimeSpan {
    TimeSpan::from_millis(n)
}

pub fn at(n: i64) -> Timestamp {
    Timestamp::from_secs_f64(1000.0) + ms(n)
}

/// Parameters in which the co-ordinators of the tests differ.
pub struct Setup {
    pub cells: u32,
    pub cells_per_shard: u32,
    pub seed: u64,
    pub call_size: usize,
    pub may_hedge: bool,
    pub may_probe: bool,
    pub coordinators: u32,
    pub class_prefix: &'static str,
}

impl Setup {
    pub fn with_seed(seed: u64) -> Setup {
        Setup {
            cells: CELLS,
            cells_per_shard: CELLS_PER_SHARD,
            seed,
            call_size: 2,
            may_hedge: true,
            may_probe: false,
            coordinators: 1,
            class_prefix: "v",
        }
    }

    pub fn build(self) -> Coordinator {
        let mut coordinator = Coordinator::new(self.config());
        for (index, rules) in CLASSES.iter().enumerate() {
            coordinator.add_request_class(RequestClassConfig {
                name: format!("{}{index}", self.class_prefix),
                idempotency: rules.idempotency,
                idempotency_window: IDEMPOTENCY_WINDOW,
                latency_objective: ms(1500),
                objective_stretch: 0.0,
                late_weight: rules.late_weight,
                hard_limit: ms(4000),
                complete_threshold: rules.complete_threshold,
                partial_threshold: rules.partial_threshold,
                has_second_step: index == TWO_STEP_CLASS,
            });
        }
        coordinator
    }

    fn config(&self) -> CoordinatorConfig {
        CoordinatorConfig {
            rng: Rng::new(self.seed),
            set_cover: SetCoverConfig {
                cells: self.cells,
                cells_per_shard: self.cells_per_shard,
                call_size: self.call_size,
                call_cost: ms(50),
            },
            retry_budget: RetryBudgetConfig {
                fraction: RETRY_FRACTION,
                free: FREE_RETRIES,
                window: RETRY_WINDOW,
            },
            slow_start: SlowStartConfig {
                initial_capacity: 0.2,
                warm_up: ms(10_000),
                overload_factor: 3.0,
                window: ms(2000),
                coordinators: self.coordinators,
            },
            retry_policy: RetryPolicy {
                max_attempts: MAX_ATTEMPTS as u32,
                may_hedge: self.may_hedge,
                may_cancel: true,
                may_probe: self.may_probe,
                max_retry_after: Some(ms(500)),
                max_network_delay: MAX_NETWORK_DELAY,
            },
            watch_endpoints: true,
            tick: TICK,
        }
    }
}

/// Lists one replica per cell. Those in `started` have the given start time; the start time of the others is
/// unknown.
pub fn list_replicas(
    coordinator: &mut Coordinator,
    output: &mut RecordedOutput,
    started: &[(u32, Timestamp)],
) {
    coordinator.begin_endpoint_list(true);
    for n in 0..CELLS {
        let started = started.iter().find(|(replica, _)| *replica == n).map(|(_, t)| *t);
        coordinator.list_replica(ReplicaId(n), n, true, started);
    }
    coordinator.finish_endpoint_list(output);
}

/// Fires all timers that are due by `until`, including those set meanwhile, with a dispatch after each one.
/// Returns the resulting actions.
pub fn advance_to(coordinator: &mut Coordinator, actions: &[Action], until: Timestamp) -> RecordedOutput {
    let mut done = RecordedOutput::default();
    let mut pending = actions.to_vec();
    while let Some((index, due, label)) = (pending.iter().enumerate())
        .filter_map(|(n, a)| if let Action::SetTimer(t, l) = a { Some((n, *t, *l)) } else { None })
        .filter(|(_, t, _)| *t <= until)
        .min_by_key(|(_, t, l)| (*t, *l))
    {
        pending.remove(index);
        let mut output = RecordedOutput::default();
        coordinator.timer_fired(&mut output, due, label);
        coordinator.dispatch(&mut output, due);
        pending.extend(output.0.iter().cloned());
        done.0.extend(output.0);
    }
    done
}
