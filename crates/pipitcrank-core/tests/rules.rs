//! Checks every action of a co-ordinator against a simple model of six rules, on generated sequences of
//! events.

mod helper;

use std::collections::BTreeMap;

use helper::{Action, RecordedOutput, Setup, at, ms};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{
    AttemptId, AttemptOutcome, Idempotency, PartId, QueryId, ReplicaId, RequestClassId,
};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Op {
    StartQuery { class: usize, first: u32, count: u32, time_left: i64 },
    EndAttempt { which: usize, outcome: usize },
    Advance(i64),
    ListReplica { replica: u32, is_up: bool, is_new: bool },
    CancelQuery(usize),
    EndpointListFails,
}

const OUTCOMES: [AttemptOutcome; 10] = [
    AttemptOutcome::Success,
    AttemptOutcome::Success,
    AttemptOutcome::Success,
    AttemptOutcome::Fault,
    AttemptOutcome::NoCapacity,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::Disconnected,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NeverSent,
];

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..6usize, 0..12u32, 1..8u32, 30..4000i64)
            .prop_map(|(class, first, count, time_left)| Op::StartQuery { class, first, count, time_left }),
        8 => (any::<usize>(), 0..10usize).prop_map(|(which, outcome)| Op::EndAttempt { which, outcome }),
        5 => (1..400i64).prop_map(Op::Advance),
        1 => (0..helper::CELLS, any::<bool>(), any::<bool>()).prop_map(|(replica, is_up, is_new)| Op::ListReplica { replica, is_up, is_new }),
        1 => any::<usize>().prop_map(Op::CancelQuery),
        1 => Just(Op::EndpointListFails),
    ]
}

struct ModelPart {
    query: QueryId,
    shard: u32,
    weight: f64,
    step: u8,
    attempts: Vec<ModelAttempt>,
    is_answered: bool,
}

struct ModelAttempt {
    sent_at: Timestamp,
    /// `None` while the attempt is outstanding.
    outcome: Option<AttemptOutcome>,
}

impl ModelAttempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(never_ran)
    }
}

struct ModelQuery {
    class: usize,
    arrived: Timestamp,
    deadline: Timestamp,
    step: u8,
    is_first_complete: bool,
}

/// Model of the rules, which depends on the events alone.
struct Model {
    now: Timestamp,
    coordinator: Coordinator,
    may_hedge: bool,
    queries: BTreeMap<QueryId, ModelQuery>,
    parts: BTreeMap<PartId, ModelPart>,
    timers: BTreeMap<(Timestamp, u64), ()>,
    is_up: Vec<bool>,
    started: Vec<Option<Timestamp>>,
    admissions: Vec<Timestamp>,
    retries: Vec<Timestamp>,
    has_success: bool,
    slow_start_sends: Vec<(Timestamp, ReplicaId)>,
}

impl Model {
    fn new(seed: u64, may_hedge: bool) -> Model {
        Model {
            now: at(0),
            coordinator: Setup { may_hedge, ..Setup::with_seed(seed) }.build(),
            may_hedge,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            timers: BTreeMap::new(),
            is_up: vec![true; helper::CELLS as usize],
            started: vec![None; helper::CELLS as usize],
            admissions: Vec::new(),
            retries: Vec::new(),
            has_success: false,
            slow_start_sends: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::StartQuery { class, first, count, time_left } => {
                self.start_query(class, first, count, ms(time_left))
            }
            Op::EndAttempt { which, outcome } => self.end_attempt(which, OUTCOMES[outcome]),
            Op::Advance(span) => self.advance(ms(span)),
            Op::ListReplica { replica, is_up, is_new } => self.list_replica(replica, is_up, is_new),
            Op::CancelQuery(which) => self.cancel_query(which),
            Op::EndpointListFails => {
                self.event(|model, output| model.coordinator.endpoint_list_failed(output, model.now))
            }
        }
    }

    fn list_replica(&mut self, replica: u32, is_up: bool, is_new: bool) -> Result<(), TestCaseError> {
        self.is_up[replica as usize] = is_up;
        if is_new {
            self.started[replica as usize] = Some(self.now);
        }
        let started = self.started[replica as usize];
        self.event(|model, output| {
            model.coordinator.begin_endpoint_list(false);
            model.coordinator.list_replica(ReplicaId(replica), replica, is_up, started);
            model.coordinator.finish_endpoint_list(output);
        })
    }

    fn cancel_query(&mut self, which: usize) -> Result<(), TestCaseError> {
        let open: Vec<QueryId> = self.queries.keys().copied().collect();
        if open.is_empty() {
            return Ok(());
        }
        let query = open[which % open.len()];
        self.queries.remove(&query);
        self.event(|model, output| model.coordinator.cancel_query(output, model.now, query))
    }

    fn check_actions(&mut self, output: RecordedOutput) -> Result<(), TestCaseError> {
        for action in output.0 {
            match action {
                Action::SendAttempt(part, replica) => self.check_attempt(part, replica)?,
                Action::CancelAttempt(AttemptId { part, number }) => {
                    prop_assert!(
                        (number as usize) < self.parts[&part].attempts.len(),
                        "cancelled an attempt that was not sent"
                    )
                }
                Action::Answer(query, is_complete) => self.check_answer(query, is_complete)?,
                Action::Reject(query) => {
                    let open = self.queries.remove(&query);
                    prop_assert!(open.is_some(), "second final answer of a query");
                    let ran = |p: &ModelPart| p.attempts.iter().any(ModelAttempt::may_have_run);
                    let mut own_parts = self.parts.values().filter(|p| p.query == query);
                    let is_idempotent =
                        helper::CLASSES[open.unwrap().class].idempotency == Idempotency::Idempotent;
                    prop_assert!(
                        is_idempotent || !own_parts.any(ran),
                        "rejected although an attempt may have run"
                    );
                }
                Action::Abort(query) => {
                    prop_assert!(self.queries.remove(&query).is_some(), "second final answer of a query")
                }
                Action::SetTimer(at, label) => {
                    self.timers.insert((at, label), ());
                }
                Action::ReleasePart(part) => {
                    let part_state = self.parts.remove(&part).expect("part released twice");
                    prop_assert!(
                        part_state.attempts.iter().all(|a| a.outcome.is_some()),
                        "part released with an outstanding attempt"
                    );
                }
                Action::ReleaseQuery(query) => {
                    prop_assert!(!self.queries.contains_key(&query), "query released while open")
                }
                Action::WatchEndpoints | Action::ReleaseReplica(_) | Action::SendLoadProbe(_) => {}
            }
        }
        Ok(())
    }

    fn check_attempt(&mut self, part: PartId, replica: ReplicaId) -> Result<(), TestCaseError> {
        let now = self.now;
        let part_state = self.parts.get_mut(&part).expect("attempt sent for a released part");
        let open = self.queries.get(&part_state.query);
        prop_assert!(
            open.is_some_and(|a| a.step == part_state.step && now < a.deadline),
            "sent after the query or its step had ended"
        );
        let open = open.unwrap();
        prop_assert!(!part_state.is_answered, "sent although the part is answered");
        prop_assert!(self.is_up[replica.0 as usize], "sent to an unlisted replica");
        prop_assert!(
            (replica.0 + helper::CELLS - part_state.shard % helper::CELLS) % helper::CELLS
                < helper::CELLS_PER_SHARD
        );
        prop_assert!(part_state.attempts.len() < helper::MAX_ATTEMPTS);
        prop_assert!(
            self.may_hedge || part_state.attempts.iter().all(|a| a.outcome.is_some()),
            "more than one outstanding attempt"
        );
        let may_have_run_at = part_state.attempts.iter().find(|a| a.may_have_run()).map(|a| a.sent_at);
        match (helper::CLASSES[open.class].idempotency, may_have_run_at) {
            (Idempotency::NonIdempotent, Some(_)) => prop_assert!(false, "repeated a non-idempotent part"),
            (Idempotency::IdempotentByKey, Some(first)) => {
                prop_assert!(
                    now - first + helper::MAX_NETWORK_DELAY <= helper::IDEMPOTENCY_WINDOW,
                    "repeated after the idempotency window"
                )
            }
            _ => {}
        }
        if !part_state.attempts.is_empty() {
            self.retries.push(now);
            let within = |t: &&Timestamp| now - **t < helper::RETRY_WINDOW;
            let admissions = self.admissions.iter().filter(within).count() as f64;
            let retries = self.retries.iter().filter(within).count() as f64;
            prop_assert!(
                retries <= helper::FREE_RETRIES + helper::RETRY_FRACTION * admissions,
                "retry budget exceeded"
            );
        }
        part_state.attempts.push(ModelAttempt { sent_at: now, outcome: None });
        // Before the first answer the throughput of replicas is unknown, so each replica in slow start may
        // get one part per window.
        if self.started[replica.0 as usize].is_some_and(|t| now - t < ms(10_000)) && !self.has_success {
            let near =
                self.slow_start_sends.iter().filter(|(t, l)| *l == replica && now - *t <= ms(2000)).count();
            prop_assert!(near == 0, "second part in one slow-start window");
            self.slow_start_sends.push((now, replica));
        }
        Ok(())
    }

    fn check_answer(&mut self, query: QueryId, is_complete: bool) -> Result<(), TestCaseError> {
        let open = self.queries.get_mut(&query);
        prop_assert!(open.is_some(), "second final answer of a query");
        let open = open.unwrap();
        let rules = &helper::CLASSES[open.class];
        let complete_threshold = if open.step == 0 { rules.complete_threshold } else { 1.0 };
        let own_parts = || self.parts.values().filter(|p| p.query == query && p.step == open.step);
        let weight: f64 = own_parts().filter(|p| p.is_answered).map(|p| p.weight).sum();
        prop_assert!(weight >= rules.partial_threshold - 1e-4, "answered at weight {weight}");
        let may = weight >= complete_threshold - 1e-4
            && open.is_first_complete
            && (open.step == 0 || own_parts().all(|p| p.is_answered));
        prop_assert!(!is_complete || may, "marked complete at {weight}");
        if open.class == helper::TWO_STEP_CLASS && open.step == 0 {
            let count = own_parts().filter(|p| p.is_answered).count().clamp(1, 2);
            (open.step, open.is_first_complete) = (1, is_complete);
            return self.start_second_step(query, count);
        }
        self.queries.remove(&query);
        Ok(())
    }

    fn start_second_step(&mut self, query: QueryId, count: usize) -> Result<(), TestCaseError> {
        let mut output = RecordedOutput::default();
        for n in 0..count {
            self.add_part(&mut output, query, n as u32, 1.0 / count as f64, 1);
        }
        self.check_actions(output)
    }

    fn add_part(&mut self, output: &mut RecordedOutput, query: QueryId, shard: u32, weight: f64, step: u8) {
        let id = PartId((0..).find(|n| !self.parts.contains_key(&PartId(*n))).unwrap());
        self.parts
            .insert(id, ModelPart { query, shard, weight, step, attempts: Vec::new(), is_answered: false });
        self.admissions.push(self.now);
        self.coordinator.add_part(
            output,
            self.now,
            NewPart { id, query, shard, weight, work_hint: shard.is_multiple_of(2).then_some(0.1) },
        );
    }

    /// Applies one event, followed by the dispatch for its point in time.
    fn event(&mut self, event: impl FnOnce(&mut Model, &mut RecordedOutput)) -> Result<(), TestCaseError> {
        let mut output = RecordedOutput::default();
        event(self, &mut output);
        self.check_actions(output)?;
        let mut output = RecordedOutput::default();
        self.coordinator.dispatch(&mut output, self.now);
        self.check_actions(output)
    }

    fn start_query(
        &mut self,
        class: usize,
        first: u32,
        count: u32,
        time_left: TimeSpan,
    ) -> Result<(), TestCaseError> {
        let ids = || self.parts.values().map(|p| p.query);
        let query = QueryId(
            (0..).find(|n| !self.queries.contains_key(&QueryId(*n)) && ids().all(|q| q.0 != *n)).unwrap(),
        );
        let deadline = self.now + time_left;
        self.admissions.push(self.now);
        self.queries.insert(
            query,
            ModelQuery { class, arrived: self.now, deadline, step: 0, is_first_complete: true },
        );
        self.event(|model, output| {
            model.coordinator.start_query(
                output,
                model.now,
                NewQuery {
                    id: query,
                    class: RequestClassId(class as u16),
                    time_left,
                    work_hint: Some(0.5),
                    part_count: f64::from(count),
                },
            );
            for n in 0..count {
                model.add_part(output, query, first + n, 1.0 / f64::from(count), 0);
            }
        })
    }

    fn end_attempt(&mut self, which: usize, outcome: AttemptOutcome) -> Result<(), TestCaseError> {
        let out = |p: &ModelPart| p.attempts.iter().position(|a| a.outcome.is_none());
        let outstanding: Vec<PartId> =
            self.parts.iter().filter(|(_, p)| out(p).is_some()).map(|(id, _)| *id).collect();
        if outstanding.is_empty() {
            return Ok(());
        }
        let id = outstanding[which % outstanding.len()];
        let part_state = self.parts.get_mut(&id).unwrap();
        let number = out(part_state).unwrap();
        part_state.attempts[number].outcome = Some(outcome);
        // An answer counts only if its query is still in the step of the part.
        let waited = self.queries.get(&part_state.query).is_some_and(|a| a.step == part_state.step);
        part_state.is_answered |= outcome == AttemptOutcome::Success && waited;
        self.has_success |= outcome == AttemptOutcome::Success;
        self.event(|model, output| {
            model.coordinator.attempt_ended(
                output,
                model.now,
                AttemptId { part: id, number: number as u32 },
                outcome,
            )
        })
    }

    fn advance(&mut self, span: TimeSpan) -> Result<(), TestCaseError> {
        let until = self.now + span;
        while let Some((&(due, label), ())) = self.timers.first_key_value().filter(|((t, _), ())| *t <= until)
        {
            self.timers.remove(&(due, label));
            self.now = self.now.max(due);
            self.event(|model, output| model.coordinator.timer_fired(output, model.now, label))?;
        }
        self.now = until;
        let lost = self.queries.values().any(|a| self.now >= a.deadline);
        prop_assert!(!lost, "query without a final answer at its deadline");
        // A query without late weight ends within one review after its latency objective of 1.5 s.
        let has_no_late_weight = |a: &ModelQuery| helper::CLASSES[a.class].late_weight == 0.0;
        let held =
            self.queries.values().any(|a| has_no_late_weight(a) && self.now > a.arrived + ms(1500 + 50 + 5));
        prop_assert!(!held, "query without late weight open past its objective");
        Ok(())
    }
}

fn never_ran(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::NoCapacity | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold(seed in any::<u64>(), may_hedge in any::<bool>(), ops in prop::collection::vec(op(), 1..90)) {
        let mut model = Model::new(seed, may_hedge);
        model.event(|model, output| {
            model.coordinator.start(output);
            helper::list_replicas(&mut model.coordinator, output, &[]);
        })?;
        for op in ops {
            model.apply(op)?;
        }
        model.advance(ms(5000))?;
        while model.parts.values().any(|p| p.attempts.iter().any(|a| a.outcome.is_none())) {
            model.end_attempt(0, AttemptOutcome::Cancelled)?;
        }
        prop_assert!(model.parts.is_empty(), "some parts were not released");
    }
}
