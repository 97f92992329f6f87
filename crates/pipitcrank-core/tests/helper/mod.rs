//! A port that writes down what the module asks for, and a root over a small ring of replicas.

use pipitcrank_core::coordinator::{
    Coordinator, CoordinatorConfig, RequestClassConfig, RetryBudgetConfig, RetryPolicy, SetCoverConfig,
    SlowStartConfig,
};
use pipitcrank_core::ids::{AttemptId, Idempotency, PartId, QueryId, RejectReason, ReplicaId};
use pipitcrank_core::output::CoordinatorOutput;
use pipitcrank_core::rng::Rng;
use pipitcrank_core::time::{TimeSpan, Timestamp};

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Call(PartId, ReplicaId),
    Cancel(AttemptId),
    Merge(QueryId, bool),
    Reject(QueryId),
    Abort(QueryId),
    Wake(Timestamp, u64),
    Watch,
    Probe(ReplicaId),
    FreeQuery(QueryId),
    FreePart(PartId),
    FreeReplica(ReplicaId),
}

#[derive(Default)]
pub struct Tape(pub Vec<Act>);

impl CoordinatorOutput for Tape {
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, _until: Timestamp) {
        self.0.push(Act::Call(part, replica));
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.0.push(Act::Cancel(attempt));
    }
    fn answer(&mut self, query: QueryId, whole: bool) {
        self.0.push(Act::Merge(query, whole));
    }
    fn reject(&mut self, query: QueryId, _retry_after: TimeSpan, _why: RejectReason) {
        self.0.push(Act::Reject(query));
    }
    fn abort(&mut self, query: QueryId, _why: RejectReason) {
        self.0.push(Act::Abort(query));
    }
    fn set_timer(&mut self, at: Timestamp, label: u64) {
        self.0.push(Act::Wake(at, label));
    }
    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.0.push(Act::Probe(replica));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Act::Watch);
    }
    fn log(&mut self, _text: &str) {}
    fn release_query(&mut self, query: QueryId) {
        self.0.push(Act::FreeQuery(query));
    }
    fn release_part(&mut self, part: PartId) {
        self.0.push(Act::FreePart(part));
    }
    fn release_replica(&mut self, replica: ReplicaId) {
        self.0.push(Act::FreeReplica(replica));
    }
}

#[allow(dead_code)] // not every test file reads calls alone
impl Tape {
    pub fn calls(&self) -> Vec<(PartId, ReplicaId)> {
        let call = |a: &Act| if let Act::Call(p, l) = a { Some((*p, *l)) } else { None };
        self.0.iter().filter_map(call).collect()
    }
}

pub const CELLS: u32 = 6;
pub const HOLD: u32 = 3;
pub const TICK: TimeSpan = TimeSpan::from_millis(5);
pub const TRY_LIMIT: usize = 3;
pub const FREE: f64 = 2.0;
pub const SHARE: f64 = 0.1;
pub const BUDGET_SPAN: TimeSpan = TimeSpan::from_millis(1000);
pub const DEDUP: TimeSpan = TimeSpan::from_millis(700);
/// A repeat counts as it comes to its replica.
pub const WAY: TimeSpan = TimeSpan::from_millis(80);
/// Floor and need by request class: repeatable whole, repeatable with a floor, deduplicated, side-effecting, and one
/// with a second step; a sixth, repeatable and whole, earns nothing after its SLO time.
pub const FLOORS: [(f64, f64); 6] = [(1.0, 1.0), (0.6, 1.0), (1.0, 1.0), (1.0, 1.0), (0.5, 0.8), (1.0, 1.0)];
pub const EFFECTS: [Idempotency; 6] = [
    Idempotency::Idempotent,
    Idempotency::Idempotent,
    Idempotency::IdempotentByKey,
    Idempotency::NonIdempotent,
    Idempotency::Idempotent,
    Idempotency::Idempotent,
];
pub const LATE_WORTH: [f64; 6] = [0.3, 0.3, 0.3, 0.3, 0.3, 0.0];

pub fn ms(n: i64) -> TimeSpan {
    TimeSpan::from_millis(n)
}

pub fn at(n: i64) -> Timestamp {
    Timestamp::from_secs_f64(1000.0) + ms(n)
}

#[allow(dead_code)] // not every test file has a ring of its own
pub fn coordinator(seed: u64, call_size: usize, may_duplicate: bool) -> Coordinator {
    coordinator_on(CELLS, HOLD, seed, call_size, may_duplicate, false)
}

pub fn coordinator_on(
    cells: u32,
    hold: u32,
    seed: u64,
    call_size: usize,
    may_duplicate: bool,
    may_probe: bool,
) -> Coordinator {
    let mut coordinator = bare(cells, hold, seed, call_size, may_duplicate, may_probe, 1);
    classes(&mut coordinator, "v");
    coordinator
}

/// One of so many co-ordinators.
#[allow(dead_code)] // the cases use it, the rules do not
pub fn coordinator_among(seed: u64, among: u32) -> Coordinator {
    let mut coordinator = bare(CELLS, HOLD, seed, 2, true, false, among);
    classes(&mut coordinator, "v");
    coordinator
}

/// A root as the tests' at another deployment: the same replicas and rules, request classes of other names.
#[allow(dead_code)] // the cases use it, the rules do not
pub fn coordinator_named(seed: u64, prefix: &str) -> Coordinator {
    let mut coordinator = bare(CELLS, HOLD, seed, 2, true, false, 1);
    classes(&mut coordinator, prefix);
    coordinator
}

fn bare(
    cells: u32,
    hold: u32,
    seed: u64,
    call_size: usize,
    may_duplicate: bool,
    may_probe: bool,
    among: u32,
) -> Coordinator {
    let retry_policy = RetryPolicy {
        max_attempts: TRY_LIMIT as u32,
        may_hedge: may_duplicate,
        may_cancel: true,
        may_probe,
        max_retry_after: Some(ms(500)),
        max_network_delay: WAY,
    };
    let slow_start = SlowStartConfig {
        initial_capacity: 0.2,
        warm_up: ms(10_000),
        overload_factor: 3.0,
        window: ms(2000),
        coordinators: among,
    };
    let retry_budget = RetryBudgetConfig { fraction: SHARE, free: FREE, window: BUDGET_SPAN };
    let set_cover = SetCoverConfig { cells, cells_per_shard: hold, call_size, call_cost: ms(50) };
    Coordinator::new(CoordinatorConfig {
        rng: Rng::new(seed),
        set_cover,
        retry_budget,
        slow_start,
        retry_policy,
        watch_endpoints: true,
        tick: TICK,
    })
}

/// The request classes of the tests, named from `prefix` and their number.
pub fn classes(coordinator: &mut Coordinator, prefix: &str) {
    for (n, (partial_from, complete_from)) in FLOORS.into_iter().enumerate() {
        coordinator.add_request_class(RequestClassConfig {
            name: format!("{prefix}{n}"),
            idempotency: EFFECTS[n],
            idempotency_window: DEDUP,
            latency_objective: ms(1500),
            objective_stretch: 0.0,
            late_weight: LATE_WORTH[n],
            hard_limit: ms(4000),
            complete_from,
            partial_from,
            has_second_step: n == 4,
        });
    }
}

#[allow(dead_code)] // the cases of zones list their own
/// Lists one replica a cell, all long up but those named, which started at that time.
pub fn list(coordinator: &mut Coordinator, tape: &mut Tape, cold: &[(u32, Timestamp)]) {
    coordinator.begin_endpoint_list(true);
    for n in 0..CELLS {
        let started = cold.iter().find(|(l, _)| *l == n).map(|(_, t)| *t);
        coordinator.list_replica(ReplicaId(n), n, true, started);
    }
    coordinator.finish_endpoint_list(tape);
}

/// Rings the alarms that the acts set, and those set meanwhile, up to a time; a turn after each. What was done.
#[allow(dead_code)] // not every test file lets time pass alone
pub fn pass(coordinator: &mut Coordinator, acts: &[Act], until: Timestamp) -> Tape {
    let mut done = Tape::default();
    let mut seen = acts.to_vec();
    while let Some((n, due, label)) = (seen.iter().enumerate())
        .filter_map(|(n, a)| if let Act::Wake(t, l) = a { Some((n, *t, *l)) } else { None })
        .filter(|(_, t, _)| *t <= until)
        .min_by_key(|(_, t, l)| (*t, *l))
    {
        seen.remove(n);
        let mut tape = Tape::default();
        coordinator.timer_fired(&mut tape, due, label);
        coordinator.dispatch(&mut tape, due);
        seen.extend(tape.0.iter().cloned());
        done.0.extend(tape.0);
    }
    done
}
