//! A slow, plain model of the six rules beside the module, on generated events: whatever the module does, the
//! model must allow.

mod helper;

use std::collections::BTreeMap;

use helper::{Act, Tape, at, ms};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{
    AttemptId, AttemptOutcome, Idempotency, PartId, QueryId, ReplicaId, RequestClassId,
};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Op {
    Ask { class: usize, first: u32, count: u32, left: i64 },
    End { which: usize, outcome: usize },
    Pass(i64),
    List { replica: u32, up: bool, cold: bool },
    Gone(usize),
    ListFails,
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
            .prop_map(|(class, first, count, left)| Op::Ask { class, first, count, left }),
        8 => (any::<usize>(), 0..10usize).prop_map(|(which, outcome)| Op::End { which, outcome }),
        5 => (1..400i64).prop_map(Op::Pass),
        1 => (0..helper::CELLS, any::<bool>(), any::<bool>()).prop_map(|(replica, up, cold)| Op::List { replica, up, cold }),
        1 => any::<usize>().prop_map(Op::Gone),
        1 => Just(Op::ListFails),
    ]
}

struct Piece {
    query: QueryId,
    shard: u32,
    weight: f64,
    step: u8,
    /// Time, replica and ending of each attempt.
    calls: Vec<(Timestamp, ReplicaId, Option<AttemptOutcome>)>,
    passed: bool,
}

struct Asked {
    class: usize,
    arrived: Timestamp,
    ends: Timestamp,
    step: u8,
    first_whole: bool,
}

/// The model: what is known from the events alone.
struct World {
    now: Timestamp,
    coordinator: Coordinator,
    duplicates: bool,
    asked: BTreeMap<QueryId, Asked>,
    pieces: BTreeMap<PartId, Piece>,
    alarms: BTreeMap<(Timestamp, u64), ()>,
    up: Vec<bool>,
    started: Vec<Option<Timestamp>>,
    taken: Vec<Timestamp>,
    further: Vec<Timestamp>,
    merged_any: bool,
    cold_sends: Vec<(Timestamp, ReplicaId)>,
}

impl World {
    fn did(&mut self, tape: Tape) -> Result<(), TestCaseError> {
        for act in tape.0 {
            match act {
                Act::Call(part, replica) => self.called(part, replica)?,
                Act::Cancel(AttemptId { part, number }) => {
                    prop_assert!(
                        (number as usize) < self.pieces[&part].calls.len(),
                        "abandons what was never sent"
                    )
                }
                Act::Merge(query, whole) => self.merged(query, whole)?,
                Act::Reject(query) => {
                    let asked = self.asked.remove(&query);
                    prop_assert!(asked.is_some(), "a second final answer");
                    let ran = |p: &Piece| p.calls.iter().any(|c| !c.2.is_some_and(unrun));
                    let mut ours = self.pieces.values().filter(|p| p.query == query);
                    let repeatable = helper::EFFECTS[asked.unwrap().class] == Idempotency::Idempotent;
                    prop_assert!(repeatable || !ours.any(ran), "rejected though something may have run");
                }
                Act::Abort(query) => {
                    prop_assert!(self.asked.remove(&query).is_some(), "a second final answer")
                }
                Act::Wake(at, label) => {
                    self.alarms.insert((at, label), ());
                }
                Act::FreePart(part) => {
                    let piece = self.pieces.remove(&part).expect("let go twice");
                    prop_assert!(piece.calls.iter().all(|c| c.2.is_some()), "let go with a call out");
                }
                Act::FreeQuery(query) => prop_assert!(!self.asked.contains_key(&query), "let go while open"),
                Act::Watch | Act::FreeReplica(_) | Act::Probe(_) => {}
            }
        }
        Ok(())
    }

    fn called(&mut self, part: PartId, replica: ReplicaId) -> Result<(), TestCaseError> {
        let now = self.now;
        let piece = self.pieces.get_mut(&part).expect("sends what it let go");
        let asked = self.asked.get(&piece.query);
        prop_assert!(asked.is_some_and(|a| a.step == piece.step && now < a.ends), "sent after the end");
        let asked = asked.unwrap();
        prop_assert!(!piece.passed, "sent though its answer is in");
        prop_assert!(self.up[replica.0 as usize], "sent to a leaf that is leaving or gone");
        prop_assert!(
            (replica.0 + helper::CELLS - piece.shard % helper::CELLS) % helper::CELLS < helper::HOLD
        );
        prop_assert!(piece.calls.len() < helper::TRY_LIMIT);
        prop_assert!(self.duplicates || piece.calls.iter().all(|c| c.2.is_some()), "two calls out");
        let risky = piece.calls.iter().find(|c| !c.2.is_some_and(unrun)).map(|c| c.0);
        match (helper::EFFECTS[asked.class], risky) {
            (Idempotency::NonIdempotent, Some(_)) => prop_assert!(false, "an effect may happen twice"),
            (Idempotency::IdempotentByKey, Some(first)) => {
                prop_assert!(now - first + helper::WAY <= helper::DEDUP, "too late")
            }
            _ => {}
        }
        if !piece.calls.is_empty() {
            self.further.push(now);
            let within = |t: &&Timestamp| now - **t < helper::BUDGET_SPAN;
            let taken = self.taken.iter().filter(within).count() as f64;
            let further = self.further.iter().filter(within).count() as f64;
            prop_assert!(further <= helper::FREE + helper::SHARE * taken, "over the budget");
        }
        piece.calls.push((now, replica, None));
        // With nothing merged yet there is nothing to judge a cold replica's allowance by: one part a window.
        if self.started[replica.0 as usize].is_some_and(|t| now - t < ms(10_000)) && !self.merged_any {
            let near = self.cold_sends.iter().filter(|(t, l)| *l == replica && now - *t <= ms(2000)).count();
            prop_assert!(near == 0, "a cold leaf is pushed");
            self.cold_sends.push((now, replica));
        }
        Ok(())
    }

    fn merged(&mut self, query: QueryId, whole: bool) -> Result<(), TestCaseError> {
        let asked = self.asked.get_mut(&query);
        prop_assert!(asked.is_some(), "a second final answer");
        let asked = asked.unwrap();
        let (floor, need) = helper::FLOORS[asked.class];
        let need = if asked.step == 0 { need } else { 1.0 };
        let ours = || self.pieces.values().filter(|p| p.query == query && p.step == asked.step);
        let weight: f64 = ours().filter(|p| p.passed).map(|p| p.weight).sum();
        prop_assert!(weight >= floor - 1e-4, "answered from {weight}, under the floor");
        let may = weight >= need - 1e-4 && asked.first_whole && (asked.step == 0 || ours().all(|p| p.passed));
        prop_assert!(!whole || may, "marked whole at {weight}");
        if asked.class == 4 && asked.step == 0 {
            let count = ours().filter(|p| p.passed).count().clamp(1, 2);
            (asked.step, asked.first_whole) = (1, whole);
            return self.second_step(query, count);
        }
        self.asked.remove(&query);
        Ok(())
    }

    fn second_step(&mut self, query: QueryId, count: usize) -> Result<(), TestCaseError> {
        let mut tape = Tape::default();
        for n in 0..count {
            self.piece(&mut tape, query, n as u32, 1.0 / count as f64, 1);
        }
        self.did(tape)
    }

    fn piece(&mut self, tape: &mut Tape, query: QueryId, shard: u32, weight: f64, step: u8) {
        let id = PartId((0..).find(|n| !self.pieces.contains_key(&PartId(*n))).unwrap());
        self.pieces.insert(id, Piece { query, shard, weight, step, calls: Vec::new(), passed: false });
        self.taken.push(self.now);
        self.coordinator.add_part(
            tape,
            self.now,
            NewPart { id, query, shard, weight, work_hint: shard.is_multiple_of(2).then_some(0.1) },
        );
    }

    /// One event, then the turn that ends its moment.
    fn event(&mut self, event: impl FnOnce(&mut World, &mut Tape)) -> Result<(), TestCaseError> {
        let mut tape = Tape::default();
        event(self, &mut tape);
        self.did(tape)?;
        let mut tape = Tape::default();
        self.coordinator.dispatch(&mut tape, self.now);
        self.did(tape)
    }

    fn ask(&mut self, class: usize, first: u32, count: u32, left: TimeSpan) -> Result<(), TestCaseError> {
        let ids = || self.pieces.values().map(|p| p.query);
        let query = QueryId(
            (0..).find(|n| !self.asked.contains_key(&QueryId(*n)) && ids().all(|q| q.0 != *n)).unwrap(),
        );
        let ends = self.now + left;
        self.taken.push(self.now);
        self.asked.insert(query, Asked { class, arrived: self.now, ends, step: 0, first_whole: true });
        self.event(|w, tape| {
            w.coordinator.start_query(
                tape,
                w.now,
                NewQuery {
                    id: query,
                    class: RequestClassId(class as u16),
                    time_left: left,
                    work_hint: Some(0.5),
                    part_count: f64::from(count),
                },
            );
            for n in 0..count {
                w.piece(tape, query, first + n, 1.0 / f64::from(count), 0);
            }
        })
    }

    fn end(&mut self, which: usize, outcome: AttemptOutcome) -> Result<(), TestCaseError> {
        let out = |p: &Piece| p.calls.iter().position(|c| c.2.is_none());
        let outs: Vec<PartId> =
            self.pieces.iter().filter(|(_, p)| out(p).is_some()).map(|(id, _)| *id).collect();
        if outs.is_empty() {
            return Ok(());
        }
        let id = outs[which % outs.len()];
        let piece = self.pieces.get_mut(&id).unwrap();
        let nth = out(piece).unwrap();
        piece.calls[nth].2 = Some(outcome);
        // Only while its query waits does an answer count.
        let waited = self.asked.get(&piece.query).is_some_and(|a| a.step == piece.step);
        piece.passed |= outcome == AttemptOutcome::Success && waited;
        self.merged_any |= outcome == AttemptOutcome::Success;
        self.event(|w, tape| {
            w.coordinator.attempt_ended(tape, w.now, AttemptId { part: id, number: nth as u32 }, outcome)
        })
    }

    fn pass(&mut self, span: TimeSpan) -> Result<(), TestCaseError> {
        let until = self.now + span;
        while let Some((&(due, label), ())) = self.alarms.first_key_value().filter(|((t, _), ())| *t <= until)
        {
            self.alarms.remove(&(due, label));
            self.now = self.now.max(due);
            self.event(|w, tape| w.coordinator.timer_fired(tape, w.now, label))?;
        }
        self.now = until;
        let lost = self.asked.values().any(|a| self.now >= a.ends);
        prop_assert!(!lost, "a query has had no answer in its time");
        // A query that can earn nothing more is not held: one look after its SLO time of 1.5 s at most.
        let worthless = |a: &Asked| helper::LATE_WORTH[a.class] == 0.0;
        let held = self.asked.values().any(|a| worthless(a) && self.now > a.arrived + ms(1500 + 50 + 5));
        prop_assert!(!held, "a query worth nothing more is held past its SLO time");
        Ok(())
    }
}

fn unrun(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::NoCapacity | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold(seed in any::<u64>(), duplicates in any::<bool>(), ops in prop::collection::vec(op(), 1..90)) {
        let mut w = World {
            now: at(0),
            coordinator: helper::coordinator(seed, 2, duplicates),
            duplicates,
            asked: BTreeMap::new(),
            pieces: BTreeMap::new(),
            alarms: BTreeMap::new(),
            up: vec![true; helper::CELLS as usize],
            started: vec![None; helper::CELLS as usize],
            taken: Vec::new(),
            further: Vec::new(),
            merged_any: false,
            cold_sends: Vec::new(),
        };
        w.event(|w, tape| {
            w.coordinator.start(tape);
            helper::list(&mut w.coordinator, tape, &[]);
        })?;
        for op in ops {
            match op {
                Op::Ask { class, first, count, left } => w.ask(class, first, count, ms(left))?,
                Op::End { which, outcome } => w.end(which, OUTCOMES[outcome])?,
                Op::Pass(span) => w.pass(ms(span))?,
                Op::ListFails => w.event(|w, tape| w.coordinator.endpoint_list_failed(tape, w.now))?,
                Op::List { replica, up, cold } => {
                    w.up[replica as usize] = up;
                    if cold {
                        w.started[replica as usize] = Some(w.now);
                    }
                    let started = w.started[replica as usize];
                    w.event(|w, tape| {
                        w.coordinator.begin_endpoint_list(false);
                        w.coordinator.list_replica(ReplicaId(replica), replica, up, started);
                        w.coordinator.finish_endpoint_list(tape);
                    })?;
                }
                Op::Gone(which) => {
                    let open: Vec<QueryId> = w.asked.keys().copied().collect();
                    if !open.is_empty() {
                        let query = open[which % open.len()];
                        w.asked.remove(&query);
                        w.event(|w, tape| w.coordinator.cancel_query(tape, w.now, query))?;
                    }
                }
            }
        }
        w.pass(ms(5000))?;
        while w.pieces.values().any(|p| p.calls.iter().any(|c| c.2.is_none())) {
            w.end(0, AttemptOutcome::Cancelled)?;
        }
        prop_assert!(w.pieces.is_empty(), "parts are held for ever");
    }
}
