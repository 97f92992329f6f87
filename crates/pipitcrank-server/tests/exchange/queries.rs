//! Queries from their admission to their response.

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::QueryResponse;
use pipitcrank_server::replicas::frames::LoadReport;

use crate::harness::{Harness, SETTINGS, at, listed};

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
