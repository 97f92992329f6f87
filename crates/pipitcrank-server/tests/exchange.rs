//! The exchange driven by hand: no socket, no clock but the one in the test.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_server::audit;
use pipitcrank_server::exchange::{
    AttemptId, DelegatedRequest, Endpoint, Exchange, QueryPart, QueryRequest, QueryResponse, ReplicaTransport,
};
use pipitcrank_server::replicas::frames::LoadReport;
use pipitcrank_server::runtime::counters::Counters;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":true,
  "max_retry_after_s":2.0,"try_limit":4},"classes":[
  {"aim_s":1.0,"hard_limit_s":4.0,"idempotency":"safe","name":"view"},
  {"aim_s":1.0,"hard_limit_s":4.0,"idempotency":"safe","name":"rank"},
  {"aim_s":1.0,"hard_limit_s":4.0,"idempotency":"unsafe","name":"sale"}],
  "domain":{"call_cost_s":0.01,"complete_from":[1.0,1.0,1.0],"floor_by_class":[1.0,0.4,1.0],"follow_up":[0,0,0],
  "parts_a_call":4,"sets":3,"shards":12,"span":2},
  "rules":{"cold_from":0.3,"cold_s":9.0,"fall_s":1.5,"overload_factor":4.0},"tick_s":0.005}"#;
const MAX_OPEN: usize = 9;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

/// The replica side, written down.
#[derive(Default)]
struct RecordingTransport {
    calls: Vec<(ReplicaId, Vec<AttemptId>)>,
    cancelled: Vec<AttemptId>,
    met: BTreeMap<ReplicaId, SocketAddr>,
    probed: Vec<ReplicaId>,
}

impl ReplicaTransport for RecordingTransport {
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.met.insert(replica, address);
    }
    fn remove_replica(&mut self, replica: ReplicaId) {
        self.met.remove(&replica);
    }
    fn send_attempts(&mut self, replica: ReplicaId, parts: Vec<AttemptId>) {
        self.calls.push((replica, parts));
    }
    fn cancel_attempt(&mut self, _replica: ReplicaId, call: AttemptId) {
        self.cancelled.push(call);
    }
    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.probed.push(replica);
    }
}

fn listed(n: u32, up: bool) -> Endpoint {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], 5000 + n as u16)));
    Endpoint { uid: format!("leaf-{n}"), address, cell: n, zone: None, up, started: None }
}

/// The rules that the run-time check goes by, of those settings.
fn audit_rules(settings: &serde_json::Value) -> audit::AuditRules {
    let number = |key: &str| settings.pointer(key).and_then(serde_json::Value::as_f64);
    let class = |n: usize| audit::ClassRules {
        idempotency: SettingsReader::new(settings).idempotency(n).unwrap(),
        dedup_window: TimeSpan::from_secs_f64(number(&format!("/classes/{n}/dedup_window_s")).unwrap_or(0.0)),
        floor: number(&format!("/domain/floor_by_class/{n}")).unwrap(),
        complete_from: number(&format!("/domain/complete_from/{n}")).unwrap(),
    };
    audit::AuditRules {
        classes: (0..settings["classes"].as_array().unwrap().len()).map(class).collect(),
        may_hedge: settings["allowed"]["may_duplicate"].as_bool().unwrap(),
        max_attempts: number("/allowed/try_limit").unwrap() as u32,
        drain_grace: TimeSpan::ZERO,
        budget_free: number("/rules/extra_free").unwrap_or(0.0),
        budget_ratio: number("/rules/repeat_ratio").unwrap_or(0.0),
        budget_window: number("/rules/budget_span_s").map(TimeSpan::from_secs_f64),
    }
}

type Answers = Rc<RefCell<Vec<(String, QueryResponse)>>>;

struct Harness {
    exchange: Exchange,
    transport: RecordingTransport,
    counters: Counters,
    answers: Answers,
    tickets: u64,
}

impl Drop for Harness {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let all = self.counters.all();
            let broken: Vec<_> = all.into_iter().filter(|counter| counter.group == "violations").collect();
            assert!(broken.is_empty(), "rules broken: {broken:?}");
        }
    }
}

impl Harness {
    /// Three replicas in a ring of three cells, each shard held by two.
    fn new() -> Harness {
        Harness::with_settings(SETTINGS)
    }

    fn with_settings(settings: &str) -> Harness {
        let settings = serde_json::from_str(settings).unwrap();
        let counters = Counters::default();
        let coordinator = SettingsReader::new(&settings).coordinator(7).unwrap();
        let mut exchange = Exchange::new(coordinator, MAX_OPEN, 4, counters.clone());
        exchange.enable_audit(audit_rules(&settings));
        exchange.update_endpoints(at(0), true, (0..3).map(|n| listed(n, true)).collect());
        let mut harness = Harness {
            exchange,
            transport: RecordingTransport::default(),
            counters,
            answers: Answers::default(),
            tickets: 0,
        };
        harness.turn(0);
        harness
    }

    fn turn(&mut self, ms: i64) {
        self.exchange.run_batch(at(ms), &mut self.transport);
    }

    fn ask(&mut self, id: &str, class: u16, shards: std::ops::Range<u32>, ends: i64) -> u64 {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards.map(|shard| QueryPart { shard, weight, work: Some(0.02) }).collect();
        let asked = QueryRequest {
            id: id.into(),
            class: RequestClassId(class),
            deadline: at(ends),
            parts,
            idempotency_key: None,
            text: "text".into(),
        };
        let (answers, name) = (self.answers.clone(), id.to_string());
        self.tickets += 1;
        self.exchange.submit(
            self.tickets,
            asked,
            Box::new(move |last: QueryResponse| answers.borrow_mut().push((name, last))),
        );
        self.tickets
    }

    /// Lets all calls made so far go, as the connections would just before the first byte.
    fn release(&mut self, ms: i64) -> Vec<(ReplicaId, AttemptId, String, u32)> {
        let mut out = Vec::new();
        for (replica, mut parts) in std::mem::take(&mut self.transport.calls) {
            let going = self.exchange.authorize_send(at(ms), replica, &mut parts);
            assert_eq!(going.len(), parts.len());
            for (part, call) in going.into_iter().zip(parts) {
                assert_eq!(&*part.text, "text");
                out.push((replica, call, part.id.to_string(), part.shard));
            }
        }
        out
    }

    fn pass(&mut self, call: AttemptId, value: &str) {
        self.exchange.attempt_ended(call, AttemptOutcome::Success, Some(value.into()), None);
    }

    /// Turns at their times until `ms`.
    fn run_to(&mut self, ms: i64) {
        while let Some(next) = self.exchange.next_due().filter(|&t| t <= at(ms)) {
            self.exchange.run_batch(next, &mut self.transport);
        }
        self.turn(ms);
    }

    fn response_to(&self, id: &str) -> Option<String> {
        let answers = self.answers.borrow();
        let mut mine = answers.iter().filter(|(name, _)| name == id);
        let last = mine.next().map(|(_, last)| format!("{last:?}"));
        assert!(mine.next().is_none(), "one final answer each");
        last
    }
}

#[test]
fn a_query_travels_in_calls_and_is_answered_as_the_replicas_gave_it() {
    let mut harness = Harness::new();
    harness.ask("q", 0, 0..6, 4000);
    harness.turn(10);
    assert!(harness.transport.calls.iter().all(|(_, parts)| parts.len() <= 4), "calls within the call size");
    assert!(harness.transport.calls.len() < 6, "parts for one leaf share calls");
    let out = harness.release(11);
    let mut ids: Vec<&str> = out.iter().map(|o| &*o.2).collect();
    ids.sort();
    assert_eq!(ids, ["q.0", "q.1", "q.2", "q.3", "q.4", "q.5"]);
    for (replica, _, _, shard) in &out {
        let cell = harness.transport.met[replica].port() as u32 - 5000;
        assert!((cell + 3 - shard % 3) % 3 < 2, "leaf {cell} does not hold shard {shard}");
    }
    for (_, call, id, _) in out.iter().rev() {
        harness.pass(*call, &format!("doc of {id}"));
    }
    assert_eq!(harness.response_to("q"), None, "answered in the turn, not between");
    harness.turn(60);
    let hits = (0..6).map(|n| (n, format!("doc of q.{n}"))).collect();
    let wanted = QueryResponse::Answered { complete: true, hits };
    assert_eq!(harness.response_to("q"), Some(format!("{wanted:?}")));
    assert!(harness.exchange.is_drained());
    assert_eq!(harness.counters.get("leaf_calls", "pass"), 6);
}

#[test]
fn a_partial_answer_names_what_is_in_and_is_not_marked_complete() {
    let mut harness = Harness::new();
    harness.ask("q", 1, 0..2, 4000);
    harness.turn(10);
    let out = harness.release(10);
    let (_, call, _, shard) = out[0].clone();
    harness.pass(call, "in");
    harness.run_to(1100);
    let wanted = QueryResponse::Answered { complete: false, hits: vec![(shard, "in".into())] };
    assert_eq!(harness.response_to("q"), Some(format!("{wanted:?}")));
    assert!(harness.transport.cancelled.contains(&out[1].1), "nobody waits for the other part");
}

#[test]
fn queries_are_rejected_only_once_the_limit_is_open() {
    let mut harness = Harness::new();
    harness.ask("five", 0, 0..5, 4000);
    // Six are open, under nine: this one is taken although it passes the number.
    harness.ask("long", 0, 5..12, 4000);
    harness.ask("over", 0, 0..1, 4000);
    harness.turn(10);
    assert_eq!((harness.response_to("five"), harness.response_to("long")), (None, None));
    let over = QueryResponse::Rejected { retry_after: TimeSpan::ZERO };
    assert_eq!(harness.response_to("over"), Some(format!("{over:?}")));
    assert_eq!(harness.counters.get("queries", "turned_away_over_most_open"), 1);
    // Nine are open again but for the parts that are in: those are not, though their query is.
    for (_, call, id, _) in harness.release(10) {
        if id != "long.5" {
            harness.pass(call, "x");
        }
    }
    harness.turn(20);
    assert_eq!(harness.response_to("long"), None);
    harness.ask("next", 0, 0..7, 4000);
    harness.ask("over again", 0, 0..1, 4000);
    harness.turn(30);
    assert_eq!(harness.response_to("next"), None, "room again");
    assert_eq!(harness.response_to("over again"), Some(format!("{over:?}")), "2 and 8 are open");
}

#[test]
fn the_id_of_an_open_query_is_not_admitted_again() {
    let mut harness = Harness::new();
    harness.ask("q", 0, 0..1, 4000);
    harness.ask("q", 0, 1..2, 4000);
    harness.turn(10);
    let answers: Vec<_> = harness.answers.borrow_mut().drain(..).collect();
    assert_eq!(answers, [("q".to_string(), QueryResponse::DuplicateId)]);
    harness.release(10).iter().for_each(|o| harness.pass(o.1, "x"));
    harness.turn(20);
    assert!(harness.response_to("q").unwrap().contains("complete: true"), "the first is served all the same");
}

#[test]
fn a_frame_delayed_until_its_query_is_over_is_dropped_as_never_sent() {
    let mut harness = Harness::new();
    let ticket = harness.ask("q", 2, 0..2, 4000);
    harness.turn(10);
    let held_up = harness.transport.calls.clone();
    harness.exchange.client_disconnected(ticket);
    harness.turn(20);
    assert!(harness.release(21).is_empty());
    assert_eq!(harness.response_to("q"), None, "a client that left gets no answer");
    harness.turn(30);
    let calls = held_up.iter().map(|(_, parts)| parts.len() as u64).sum::<u64>();
    assert_eq!(harness.counters.get("leaf_calls", "undone"), calls);
    assert!(harness.exchange.is_drained() && harness.exchange.next_due().is_none_or(|t| t > at(30)));
}

#[test]
fn a_frame_delayed_past_its_deadline_is_dropped_as_never_sent() {
    let mut harness = Harness::new();
    harness.ask("q", 2, 0..1, 300);
    harness.turn(10);
    assert!(harness.release(300).is_empty());
    harness.turn(300);
    assert_eq!(harness.counters.get("leaf_calls", "stale"), 1);
    // A tenth of its SLO time: given up on, it is told at once when to come back (the move, 2026-12-01).
    let rejected = QueryResponse::Rejected { retry_after: TimeSpan::from_millis(100) };
    // It never ran, so even a side-effecting query may be rejected.
    assert_eq!(harness.response_to("q"), Some(format!("{rejected:?}")));
}

#[test]
fn a_frame_for_a_draining_replica_is_dropped_at_once_and_sent_to_another() {
    for whole in [false, true] {
        let mut harness = Harness::new();
        harness.ask("early", 2, 0..1, 4000);
        harness.ask("late", 2, 0..1, 4000);
        harness.turn(10);
        let (replica, _) = harness.transport.calls[0].clone();
        let n = harness.transport.met[&replica].port() as u32 - 5000;
        // Told by its own row, or by a whole list that lacks it.
        let rows = if whole {
            (0..3).filter(|m| *m != n).map(|m| listed(m, true)).collect()
        } else {
            vec![listed(n, false)]
        };
        harness.exchange.update_endpoints(at(20), whole, rows);
        harness.turn(25);
        let (on, off): (Vec<_>, Vec<_>) =
            harness.transport.calls.clone().into_iter().partition(|c| c.0 == replica);
        let mut queued = on.into_iter().flat_map(|c| c.1).collect::<Vec<_>>();
        let dropped = queued.len();
        assert!(dropped > 0);
        assert_eq!(
            harness.exchange.authorize_send(at(26), replica, &mut queued).len(),
            0,
            "not within the grace either"
        );
        harness.turn(30);
        assert_eq!(harness.counters.get("leaf_calls", "stale"), dropped as u64);
        let again = harness.transport.calls.iter().skip(off.len()).filter(|c| c.0 != replica).count();
        assert!(again > 0, "the other holder is asked");
    }
}

#[test]
fn an_attempt_is_cancelled_at_its_deadline_and_a_later_answer_is_ignored() {
    let mut harness = Harness::new();
    harness.ask("q", 2, 0..1, 400);
    harness.turn(10);
    let out = harness.release(10);
    harness.run_to(399);
    let aborted = harness.response_to("q").expect("answered before its deadline");
    assert_eq!(aborted, format!("{:?}", QueryResponse::Aborted), "it may have run");
    harness.run_to(500);
    assert!(harness.transport.cancelled.contains(&out[0].1));
    harness.pass(out[0].1, "late");
    harness.run_to(600);
    assert_eq!(harness.response_to("q").as_ref(), Some(&aborted));
}

#[test]
fn what_replicas_report_to_probes_reaches_the_decisions() {
    for busy in [false, true] {
        let mut harness = Harness::with_settings(&SETTINGS.replace("\"probing\":false", "\"probing\":true"));
        // Long after anything was heard of the replicas.
        harness.ask("q", 0, 0..1, 9000);
        harness.turn(5010);
        let holders = std::mem::take(&mut harness.transport.probed);
        assert_eq!(
            (holders.len(), harness.transport.calls.len()),
            (2, 0),
            "holders are probed before anything is sent"
        );
        let chosen =
            |n: usize| LoadReport { queued: Some(if busy && n == 1 { 40.0 } else { 0.0 }), in_flight: None };
        for (n, replica) in holders.iter().enumerate() {
            harness.exchange.load_probe_ended(*replica, AttemptOutcome::Success, Some(chosen(n)));
        }
        harness.turn(5015);
        assert_eq!(harness.transport.calls.len(), 1);
        assert!(
            !busy || harness.transport.calls[0].0 == holders[0],
            "the one with forty parts waiting is left out"
        );
    }
}

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let mut harness = Harness::new();
    harness.ask("q", 0, 0..1, 4000);
    harness.turn(10);
    let (_, call, _, _) = harness.release(10)[0].clone();
    harness.pass(call, "first");
    harness.exchange.attempt_ended(call, AttemptOutcome::Disconnected, None, None);
    harness.pass(call, "second");
    harness.turn(20);
    assert!(harness.response_to("q").unwrap().contains("first"));
    assert_eq!(
        (harness.counters.get("leaf_calls", "pass"), harness.counters.get("leaf_calls", "cut")),
        (1, 0)
    );
}

#[test]
fn it_can_serve_only_with_a_replica_that_is_up() {
    let mut harness = Harness::new();
    assert!(harness.exchange.can_serve());
    harness.exchange.update_endpoints(at(10), true, vec![listed(1, false)]);
    harness.turn(10);
    assert!(!harness.exchange.can_serve());
    assert_eq!(harness.transport.met.len(), 0, "leaves that are off the list are let go");
    harness.exchange.update_endpoints(at(20), false, vec![listed(2, true)]);
    harness.turn(20);
    assert!(harness.exchange.can_serve());
}

#[derive(Clone, Debug)]
enum Op {
    Ask(u16, u32, u32, i64),
    End(usize, usize),
    Wait(i64),
    Gone(u64),
    List(u32, bool, bool),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..3u16, 0..11u32, 1..5u32, 20..3000i64).prop_map(|(v, s, n, left)| Op::Ask(v, s, n, left)),
        8 => (any::<usize>(), 0..6usize).prop_map(|(which, how)| Op::End(which, how)),
        4 => (1..300i64).prop_map(Op::Wait),
        1 => (1..20u64).prop_map(Op::Gone),
        1 => (0..3u32, any::<bool>(), any::<bool>()).prop_map(|(n, up, whole)| Op::List(n, up, whole)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever happens and in whatever order: one final answer before the deadline unless the client left; hits
    /// only as replicas gave them; nothing is released for a query that is over.
    #[test]
    fn every_query_ends_once_and_in_time(ops in proptest::collection::vec(op(), 1..60)) {
        const HOW: [AttemptOutcome; 6] =
            [AttemptOutcome::Success, AttemptOutcome::Success, AttemptOutcome::Fault, AttemptOutcome::NoCapacity, AttemptOutcome::Unreachable, AttemptOutcome::Disconnected];
        let (mut harness, mut now, mut out) = (Harness::new(), 0i64, Vec::new());
        let mut asked: BTreeMap<String, (i64, bool)> = BTreeMap::new();
        let mut given: BTreeMap<(String, u32), Vec<String>> = BTreeMap::new();
        for (n, op) in ops.into_iter().enumerate() {
            match op {
                Op::Ask(class, first, count, left) => {
                    let ticket = harness.ask(&format!("q{}", harness.tickets + 1), class, first..(first + count).min(12), now + left);
                    asked.insert(format!("q{ticket}"), (now + left, false));
                }
                Op::End(which, how) if !out.is_empty() => {
                    let (_, call, id, shard): (ReplicaId, AttemptId, String, u32) = out.swap_remove(which % out.len());
                    let value = (HOW[how] == AttemptOutcome::Success).then(|| format!("v{n}"));
                    let query = id.split('.').next().unwrap().to_string();
                    given.entry((query, shard)).or_default().extend(value.clone());
                    harness.exchange.attempt_ended(call, HOW[how], value, None);
                }
                Op::End(..) => {}
                Op::Wait(ms) => {
                    now += ms;
                    harness.run_to(now);
                }
                Op::Gone(ticket) => {
                    if let Some(entry) = asked.get_mut(&format!("q{ticket}")) {
                        entry.1 = true;
                        harness.exchange.client_disconnected(ticket);
                    }
                }
                Op::List(replica, up, whole) => harness.exchange.update_endpoints(at(now), whole, vec![listed(replica, up)]),
            }
            harness.turn(now);
            // Of calls given up the replica side tells nothing more.
            out.retain(|(_, call, _, _)| !harness.transport.cancelled.contains(call));
            harness.transport.cancelled.clear();
            for released in harness.release(now) {
                let query = released.2.split('.').next().unwrap();
                prop_assert!(harness.response_to(query).is_none(), "{} was over", released.2);
                prop_assert!(now < asked[query].0);
                out.push(released);
            }
            for (query, (ends, gone)) in &asked {
                prop_assert!(*gone || now < *ends || harness.response_to(query).is_some(), "{query} has no answer");
            }
        }
        for (query, last) in harness.answers.borrow().iter() {
            if let QueryResponse::Answered { hits, .. } = last {
                for (shard, value) in hits {
                    prop_assert!(given[&(query.clone(), *shard)].contains(value));
                }
            }
        }
        harness.run_to(now + 4000);
        prop_assert!(harness.exchange.is_drained());
    }
}

#[test]
fn an_attempt_still_queued_under_an_id_that_another_has_now_is_neither_sent_nor_ends_that_one() {
    let mut harness = Harness::new();
    let ticket = harness.ask("first", 2, 0..1, 4000);
    harness.turn(10);
    let (replica, queued) = harness.transport.calls.remove(0);
    // Its client leaves while it waits for its first byte; the next query's part gets its number.
    harness.exchange.client_disconnected(ticket);
    harness.turn(20);
    harness.ask("second", 2, 0..1, 4000);
    harness.turn(30);
    let (now_at, calls) = harness.transport.calls.remove(0);
    assert_eq!(calls, queued, "the number is used again");
    assert_eq!(harness.exchange.authorize_send(at(31), now_at, &mut calls.clone()).len(), 1);
    assert!(
        harness.exchange.authorize_send(at(32), replica, &mut queued.clone()).is_empty(),
        "once, to its own leaf"
    );
    harness.exchange.attempt_never_started(replica, queued[0]);
    harness.turn(33);
    assert!(harness.transport.calls.is_empty(), "a sale that is out is not sent again");
    harness.exchange.attempt_ended(calls[0], AttemptOutcome::Success, Some("v".into()), None);
    harness.turn(34);
    assert_eq!(harness.answers.borrow().len(), 1);
}

/// What is known goes from one exchange to another, as it passes between processes.
fn successor_of(harness: &mut Harness, ms: i64, longest: TimeSpan) -> Harness {
    let snapshot = harness.exchange.begin_handover(at(ms), 0, Some(9), longest);
    let bytes = snapshot.encode().unwrap();
    let mut new = Harness::new();
    // The new one's clock began half a second ago.
    new.exchange.resume_from_predecessor(
        at(500),
        TimeSpan::from_millis(100),
        Snapshot::decode(&bytes).unwrap(),
    );
    new
}

#[test]
fn a_drain_listed_just_before_a_handover_reaches_the_successor() {
    let mut harness = Harness::new();
    harness.exchange.update_endpoints(at(900), false, vec![listed(1, false)]);
    // Not looked at yet when it hands over.
    let mut new = successor_of(&mut harness, 1000, TimeSpan::from_millis(4000));
    for n in 0..9 {
        new.ask(&format!("q{n}"), 0, 0..1, 4000);
    }
    new.turn(510);
    let drained: Vec<ReplicaId> =
        new.transport.met.iter().filter(|(_, a)| a.port() == 5001).map(|(l, _)| *l).collect();
    assert!(!new.transport.calls.is_empty());
    assert!(new.transport.calls.iter().all(|(replica, _)| !drained.contains(replica)), "no new work");
}

#[test]
fn an_ejected_replica_stays_ejected_for_the_successor() {
    let mut harness = Harness::new();
    let shunned = harness.transport.met.iter().find(|(_, a)| a.port() == 5000).map(|(l, _)| *l).unwrap();
    for n in 0..40 {
        harness.ask(&format!("q{n}"), 0, 0..1, 3000 + n * 10);
        harness.turn(n * 10);
        for (replica, calls) in std::mem::take(&mut harness.transport.calls) {
            let outcome = if replica == shunned { AttemptOutcome::Fault } else { AttemptOutcome::Success };
            calls.into_iter().for_each(|c| {
                harness.exchange.attempt_ended(
                    c,
                    outcome,
                    (outcome == AttemptOutcome::Success).then(|| "v".into()),
                    None,
                )
            });
        }
        harness.turn(n * 10 + 5);
    }
    let mut new = successor_of(&mut harness, 401, TimeSpan::from_millis(4000));
    let shunned = new.transport.met.iter().find(|(_, a)| a.port() == 5000).map(|(l, _)| *l).unwrap();
    for n in 0..8 {
        new.ask(&format!("q{n}"), 0, 0..1, 4000);
    }
    new.turn(505);
    assert!(
        new.transport.calls.iter().all(|(replica, _)| *replica != shunned),
        "two in a row were seen by the old one"
    );
    let mut fresh = Harness::new();
    for n in 0..8 {
        fresh.ask(&format!("q{n}"), 0, 0..1, 4000);
    }
    fresh.turn(505);
    assert!(
        fresh.transport.calls.iter().any(|(replica, _)| *replica == shunned),
        "who knows nothing asks it"
    );
}

#[test]
fn a_predecessor_sends_nothing_to_a_replica_in_slow_start() {
    let mut harness = Harness::new();
    let cold = |n| Endpoint { started: Some(at(990)), ..listed(n, true) };
    harness.exchange.update_endpoints(at(1000), true, (0..3).map(cold).collect());
    harness.turn(1000);
    harness.exchange.begin_handover(at(1001), 0, None, TimeSpan::from_millis(4000));
    harness.ask("q", 0, 0..1, 4000);
    (1002..1050).step_by(5).for_each(|ms| harness.turn(ms));
    assert!(harness.transport.calls.is_empty(), "the allowance is the new one's");
    harness.exchange.resume_alone(at(1050));
    (1055..2500).step_by(5).for_each(|ms| harness.turn(ms));
    assert!(harness.transport.calls.is_empty(), "what the other sent is not known for a window");
    harness.ask("r", 0, 0..1, 5000);
    (2551..2600).step_by(5).for_each(|ms| harness.turn(ms));
    assert!(!harness.transport.calls.is_empty(), "then it is as before");
}

#[test]
fn a_remote_site_gets_parts_only_at_a_known_delay_and_local_replicas_go_first() {
    let mut harness = Harness::new();
    let far = harness.exchange.add_remote_site(0, "south", 3);
    let asked_of = |harness: &mut Harness, name: &str, ms: i64| {
        harness.ask(name, 0, 0..1, ms + 3000);
        harness.turn(ms);
        let calls = std::mem::take(&mut harness.transport.calls);
        calls.iter().flat_map(|(_, calls)| calls).for_each(|c| harness.pass(*c, "v"));
        harness.turn(ms + 1);
        calls.iter().map(|(replica, _)| *replica).collect::<Vec<_>>()
    };
    let local_down: Vec<Endpoint> = (0..3).map(|n| listed(n, false)).collect();
    assert!(asked_of(&mut harness, "a", 10).iter().all(|l| !far.contains(l)), "closed");
    harness.exchange.set_remote_delay(0, Some(TimeSpan::from_millis(100)));
    for n in 0..5 {
        assert!(
            asked_of(&mut harness, &format!("b{n}"), 20 + 2 * n).iter().all(|l| !far.contains(l)),
            "near ones are free"
        );
    }
    harness.exchange.update_endpoints(at(40), false, local_down);
    harness.turn(41);
    assert!(!harness.exchange.can_serve(), "a far site alone is not ours to be up by");
    let (replica, mut calls) = {
        harness.ask("c", 0, 0..1, 3000);
        harness.turn(50);
        harness.transport.calls.remove(0)
    };
    assert!(far.contains(&replica));
    let going = harness.exchange.authorize_forward(at(51), replica, &mut calls);
    assert_eq!((going.len(), &going[0].id[..], going[0].idempotent), (1, "c", true));
    // Discovery's next whole list does not name sites: they stay.
    harness.exchange.update_endpoints(at(60), true, (0..3).map(|n| listed(n, false)).collect());
    harness.turn(61);
    assert!(far.contains(&asked_of(&mut harness, "d", 70)[0]));
    harness.exchange.set_remote_delay(0, None);
    assert!(asked_of(&mut harness, "e", 80).is_empty(), "closed again, and nobody near");
}

#[test]
fn a_forwarded_query_goes_to_no_third_site_and_uses_no_more_retries_than_delegated() {
    for further in [0, 1, 2] {
        let mut harness = Harness::new();
        let far = harness.exchange.add_remote_site(0, "west", 3);
        harness.exchange.set_remote_delay(0, Some(TimeSpan::from_millis(1)));
        let parts = vec![QueryPart { shard: 0, weight: 1.0, work: None }];
        let asked = QueryRequest {
            id: "q@n".into(),
            class: RequestClassId(0),
            deadline: at(3000),
            parts,
            idempotency_key: None,
            text: "t".into(),
        };
        let (made, seen) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let noted = seen.clone();
        let as_in =
            Box::new(move |shard: u32, value: &str| noted.borrow_mut().push((shard, value.to_string())));
        harness.exchange.submit_forwarded(
            1,
            asked,
            DelegatedRequest { retries: further, retries_used: made.clone(), on_part: as_in },
            Box::new(|_: QueryResponse| ()),
        );
        let mut calls = 0;
        for ms in (0..2000).step_by(5) {
            harness.turn(ms);
            for (replica, parts) in std::mem::take(&mut harness.transport.calls) {
                assert!(!far.contains(&replica), "hops are bounded");
                calls += parts.len() as u32;
                let outcome = if calls <= further { AttemptOutcome::Fault } else { AttemptOutcome::Success };
                let value = (outcome == AttemptOutcome::Success).then(|| "v".to_string());
                parts
                    .into_iter()
                    .for_each(|c| harness.exchange.attempt_ended(c, outcome, value.clone(), None));
            }
        }
        assert_eq!((calls, made.get()), (1 + further, further));
        assert_eq!(seen.borrow()[..], [(0, "v".to_string())], "told as it was in");
    }
}

/// Further calls wait for their connections and come up late, beside those of the next window. The budget is of what goes out
/// in any window, so each is counted as its first byte goes.
#[test]
fn retries_that_wait_for_a_connection_are_counted_as_they_are_sent() {
    let settings = SETTINGS.replace(
        r#""overload_factor":4.0"#,
        r#""overload_factor":4.0,"extra_free":2.0,"repeat_ratio":0.0,"budget_span_s":0.1"#,
    );
    let mut harness = Harness::with_settings(&settings);
    harness.ask("first", 0, 0..2, 4000);
    harness.turn(10);
    for (_, call, ..) in harness.release(10) {
        harness.exchange.attempt_ended(call, AttemptOutcome::Disconnected, None, None);
    }
    harness.turn(20);
    let waiting = std::mem::take(&mut harness.transport.calls);
    assert_eq!(waiting.iter().map(|(_, parts)| parts.len()).sum::<usize>(), 2, "two are free");
    // Beyond the window from their decision; none has gone out yet.
    harness.ask("second", 0, 4..6, 4000);
    harness.turn(130);
    for (_, call, ..) in harness.release(130) {
        harness.exchange.attempt_ended(call, AttemptOutcome::Disconnected, None, None);
    }
    harness.turn(140);
    assert_eq!(harness.counters.get("again", "after_cut"), 4, "those of the next window were decided");
    harness.transport.calls.extend(waiting);
    let further = harness.release(150).into_iter().filter(|(_, call, ..)| call.number > 0).count();
    assert_eq!(further, 2, "in one window");
    assert_eq!(harness.counters.get("not_sent", "budget_spent"), 2);
}
