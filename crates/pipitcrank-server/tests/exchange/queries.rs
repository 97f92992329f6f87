//! Queries from their admission to their response.

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::QueryResponse;
use pipitcrank_server::replicas::frames::LoadReport;

use crate::harness::{Harness, SETTINGS, at, endpoint};

#[test]
fn a_query_is_sent_in_calls_and_answered_with_the_replicas_values() {
    let mut harness = Harness::new();
    harness.submit_query("q", 0, 0..6, 4000);
    harness.run_batch(10);
    assert!(
        harness.transport.calls.iter().all(|(_, attempts)| attempts.len() <= 4),
        "more than 4 parts in a call"
    );
    assert!(harness.transport.calls.len() < 6, "parts for the same replica must share calls");
    let authorized = harness.authorize_calls(11);
    let mut ids: Vec<&str> = authorized.iter().map(|entry| &*entry.2).collect();
    ids.sort();
    assert_eq!(ids, ["q.0", "q.1", "q.2", "q.3", "q.4", "q.5"]);
    for (replica, _, _, shard) in &authorized {
        let cell = harness.transport.addresses[replica].port() as u32 - 5000;
        assert!((cell + 3 - shard % 3) % 3 < 2, "replica {cell} does not hold shard {shard}");
    }
    for (_, attempt, id, _) in authorized.iter().rev() {
        harness.succeed(*attempt, &format!("doc of {id}"));
    }
    assert_eq!(harness.response_to("q"), None, "responses are sent only within a batch");
    harness.run_batch(60);
    let hits = (0..6).map(|n| (n, format!("doc of q.{n}"))).collect();
    let expected = QueryResponse::Answered { complete: true, hits };
    assert_eq!(harness.response_to("q"), Some(format!("{expected:?}")));
    assert!(harness.exchange.is_drained());
    assert_eq!(harness.counters.get("leaf_calls", "pass"), 6);
}

#[test]
fn a_partial_answer_contains_the_answered_parts_and_is_not_complete() {
    let mut harness = Harness::new();
    harness.submit_query("q", 1, 0..2, 4000);
    harness.run_batch(10);
    let authorized = harness.authorize_calls(10);
    let (_, attempt, _, shard) = authorized[0].clone();
    harness.succeed(attempt, "in");
    harness.run_until(1100);
    let expected = QueryResponse::Answered { complete: false, hits: vec![(shard, "in".into())] };
    assert_eq!(harness.response_to("q"), Some(format!("{expected:?}")));
    assert!(harness.transport.cancelled.contains(&authorized[1].1), "the unanswered part was not cancelled");
}

#[test]
fn queries_are_rejected_only_at_the_limit() {
    let mut harness = Harness::new();
    harness.submit_query("five", 0, 0..5, 4000);
    // One query and five parts are open, below the limit of nine. The next query is admitted although it exceeds it.
    harness.submit_query("long", 0, 5..12, 4000);
    harness.submit_query("over", 0, 0..1, 4000);
    harness.run_batch(10);
    assert_eq!((harness.response_to("five"), harness.response_to("long")), (None, None));
    let over = QueryResponse::Rejected { retry_after: TimeSpan::ZERO };
    assert_eq!(harness.response_to("over"), Some(format!("{over:?}")));
    assert_eq!(harness.counters.get("queries", "turned_away_over_most_open"), 1);
    // All parts but one are answered. Answered parts do not count as open, even while their query is open.
    for (_, attempt, id, _) in harness.authorize_calls(10) {
        if id != "long.5" {
            harness.succeed(attempt, "x");
        }
    }
    harness.run_batch(20);
    assert_eq!(harness.response_to("long"), None);
    harness.submit_query("next", 0, 0..7, 4000);
    harness.submit_query("over again", 0, 0..1, 4000);
    harness.run_batch(30);
    assert_eq!(harness.response_to("next"), None, "a query below the limit must be admitted");
    assert_eq!(
        harness.response_to("over again"),
        Some(format!("{over:?}")),
        "2 queries and 8 parts are open"
    );
}

#[test]
fn the_id_of_an_open_query_is_not_admitted_again() {
    let mut harness = Harness::new();
    harness.submit_query("q", 0, 0..1, 4000);
    harness.submit_query("q", 0, 1..2, 4000);
    harness.run_batch(10);
    let responses: Vec<_> = harness.responses.borrow_mut().drain(..).collect();
    assert_eq!(responses, [("q".to_string(), QueryResponse::DuplicateId)]);
    harness.authorize_calls(10).iter().for_each(|entry| harness.succeed(entry.1, "x"));
    harness.run_batch(20);
    assert!(harness.response_to("q").unwrap().contains("complete: true"), "the first query must be answered");
}

#[test]
fn an_expired_attempt_is_cancelled_and_its_answer_ignored() {
    let mut harness = Harness::new();
    harness.submit_query("q", 2, 0..1, 400);
    harness.run_batch(10);
    let authorized = harness.authorize_calls(10);
    harness.run_until(399);
    let aborted = harness.response_to("q").expect("a response before the deadline");
    assert_eq!(aborted, format!("{:?}", QueryResponse::Aborted), "the attempt may have run");
    harness.run_until(500);
    assert!(harness.transport.cancelled.contains(&authorized[0].1));
    harness.succeed(authorized[0].1, "late");
    harness.run_until(600);
    assert_eq!(harness.response_to("q").as_ref(), Some(&aborted));
}

#[test]
fn reports_to_load_probes_affect_the_choice_of_replica() {
    for busy in [false, true] {
        let mut harness = Harness::with_settings(&SETTINGS.replace("\"probing\":false", "\"probing\":true"));
        // No replica has reported its load within the last 5 s.
        harness.submit_query("q", 0, 0..1, 9000);
        harness.run_batch(5010);
        let holders = std::mem::take(&mut harness.transport.probed);
        assert_eq!(
            (holders.len(), harness.transport.calls.len()),
            (2, 0),
            "both replicas of the shard are probed before the first call"
        );
        let report =
            |n: usize| LoadReport { queued: Some(if busy && n == 1 { 40.0 } else { 0.0 }), in_flight: None };
        for (n, replica) in holders.iter().enumerate() {
            harness.exchange.load_probe_ended(*replica, AttemptOutcome::Success, Some(report(n)));
        }
        harness.run_batch(5015);
        assert_eq!(harness.transport.calls.len(), 1);
        assert!(
            !busy || harness.transport.calls[0].0 == holders[0],
            "a call went to the replica with 40 queued parts"
        );
    }
}

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let mut harness = Harness::new();
    harness.submit_query("q", 0, 0..1, 4000);
    harness.run_batch(10);
    let (_, attempt, _, _) = harness.authorize_calls(10)[0].clone();
    harness.succeed(attempt, "first");
    harness.exchange.attempt_ended(attempt, AttemptOutcome::Disconnected, None, None);
    harness.succeed(attempt, "second");
    harness.run_batch(20);
    assert!(harness.response_to("q").unwrap().contains("first"));
    assert_eq!(
        (harness.counters.get("leaf_calls", "pass"), harness.counters.get("leaf_calls", "cut")),
        (1, 0)
    );
}

#[test]
fn queries_can_be_served_only_with_a_replica_that_is_up() {
    let mut harness = Harness::new();
    assert!(harness.exchange.can_serve());
    harness.exchange.update_endpoints(at(10), true, vec![endpoint(1, false)]);
    harness.run_batch(10);
    assert!(!harness.exchange.can_serve());
    assert_eq!(harness.transport.addresses.len(), 0, "replicas missing from a complete list must be removed");
    harness.exchange.update_endpoints(at(20), false, vec![endpoint(2, true)]);
    harness.run_batch(20);
    assert!(harness.exchange.can_serve());
}

/// Guards against a replica being ejected for another one's fault: the result of a load probe came after its replica had
/// been removed and its id given to a new replica, but before the replica side had been told.
#[test]
fn the_late_result_of_a_load_probe_concerns_no_other_replica() {
    let mut harness = Harness::new();
    let (&probed, _) = harness.transport.addresses.iter().find(|(_, at)| at.port() == 5000).unwrap();
    harness.exchange.update_endpoints(at(20), true, vec![endpoint(1, true), endpoint(2, true)]);
    harness.exchange.update_endpoints(at(20), false, vec![endpoint(9, true)]);
    harness.exchange.load_probe_ended(probed, AttemptOutcome::Unreachable, None);
    harness.run_batch(20);
    assert_eq!(harness.transport.addresses[&probed].port(), 5009, "the new replica has the id");
    assert_eq!(harness.counters.get("probes", "no_route"), 0, "the result was applied to the new replica");
    assert_eq!(harness.counters.get("dropped_answers", "replica_removed"), 1);
}
