//! The send guard, which checks each attempt before its first byte is written.

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::QueryResponse;

use crate::harness::{Harness, SETTINGS, at, endpoint};

#[test]
fn an_attempt_of_an_ended_query_is_dropped_as_never_sent() {
    let mut harness = Harness::new();
    let ticket = harness.submit_query("q", 2, 0..2, 4000);
    harness.run_batch(10);
    let queued = harness.transport.calls.clone();
    harness.exchange.client_disconnected(ticket);
    harness.run_batch(20);
    assert!(harness.authorize_calls(21).is_empty());
    assert_eq!(harness.response_to("q"), None, "a disconnected client must get no response");
    harness.run_batch(30);
    let attempt_count = queued.iter().map(|(_, attempts)| attempts.len() as u64).sum::<u64>();
    assert_eq!(harness.counters.get("leaf_calls", "undone"), attempt_count);
    assert!(harness.exchange.is_drained() && harness.exchange.next_due().is_none_or(|t| t > at(30)));
}

#[test]
fn an_attempt_past_its_deadline_is_dropped_as_never_sent() {
    let mut harness = Harness::new();
    harness.submit_query("q", 2, 0..1, 300);
    harness.run_batch(10);
    assert!(harness.authorize_calls(300).is_empty());
    harness.run_batch(300);
    assert_eq!(harness.counters.get("leaf_calls", "stale"), 1);
    // A query that is given up is rejected at once, with a retry delay of a tenth of its SLO time.
    let rejected = QueryResponse::Rejected { retry_after: TimeSpan::from_millis(100) };
    // The attempt never ran, so even a query with side effects may be rejected.
    assert_eq!(harness.response_to("q"), Some(format!("{rejected:?}")));
}

#[test]
fn an_attempt_to_a_draining_replica_is_dropped_and_sent_to_another() {
    for complete in [false, true] {
        let mut harness = Harness::new();
        harness.submit_query("early", 2, 0..1, 4000);
        harness.submit_query("late", 2, 0..1, 4000);
        harness.run_batch(10);
        let (replica, _) = harness.transport.calls[0].clone();
        let n = harness.transport.addresses[&replica].port() as u32 - 5000;
        // The drain is reported either by the replica's own entry or by a complete list without the replica.
        let endpoints = if complete {
            (0..3).filter(|m| *m != n).map(|m| endpoint(m, true)).collect()
        } else {
            vec![endpoint(n, false)]
        };
        harness.exchange.update_endpoints(at(20), complete, endpoints);
        harness.run_batch(25);
        let (to_draining, to_others): (Vec<_>, Vec<_>) =
            harness.transport.calls.clone().into_iter().partition(|call| call.0 == replica);
        let mut queued = to_draining.into_iter().flat_map(|call| call.1).collect::<Vec<_>>();
        let dropped = queued.len();
        assert!(dropped > 0);
        assert_eq!(
            harness.exchange.authorize_send(at(26), replica, &mut queued).len(),
            0,
            "nothing may be sent within the drain grace either"
        );
        harness.run_batch(30);
        assert_eq!(harness.counters.get("leaf_calls", "stale"), dropped as u64);
        let resent =
            harness.transport.calls.iter().skip(to_others.len()).filter(|call| call.0 != replica).count();
        assert!(resent > 0, "no attempt was sent to the other replica of the shard");
    }
}

/// Guards against a duplicate send: the id of an attempt that is still queued has been reused for another attempt. The
/// queued attempt must not be sent, to whichever replica and whether or not the other one was sent, and none of its ends
/// may end the other one.
#[test]
fn a_queued_attempt_with_a_reused_id_is_not_sent() {
    let mut harness = Harness::new();
    let ticket = harness.submit_query("first", 2, 0..1, 4000);
    harness.run_batch(10);
    let (replica, queued) = harness.transport.calls.remove(0);
    // The client disconnects while the attempt is queued, and the part of the next query gets the same index.
    harness.exchange.client_disconnected(ticket);
    harness.run_batch(20);
    harness.submit_query("second", 2, 0..1, 4000);
    harness.run_batch(30);
    let (new_replica, attempts) = harness.transport.calls.remove(0);
    assert_eq!(attempts[0].id, queued[0].id, "the id must be reused");
    assert_ne!(attempts, queued, "the handle must not be reused");
    assert!(harness.exchange.authorize_send(at(30), replica, &mut queued.clone()).is_empty());
    assert!(harness.exchange.authorize_send(at(30), new_replica, &mut queued.clone()).is_empty());
    harness.exchange.attempt_never_started(queued[0]);
    assert_eq!(harness.exchange.authorize_send(at(31), new_replica, &mut attempts.clone()).len(), 1);
    assert!(
        harness.exchange.authorize_send(at(32), replica, &mut queued.clone()).is_empty(),
        "the attempt may be sent only once and to its own replica"
    );
    harness.exchange.attempt_never_started(queued[0]);
    harness.exchange.attempt_ended(queued[0], AttemptOutcome::Success, Some("w".into()), None);
    harness.exchange.attempt_ended(queued[0], AttemptOutcome::Disconnected, None, None);
    harness.run_batch(33);
    assert!(harness.transport.calls.is_empty(), "a query with side effects was sent again");
    harness.exchange.attempt_ended(attempts[0], AttemptOutcome::Success, Some("v".into()), None);
    harness.run_batch(34);
    assert!(harness.response_to("second").is_some_and(|response| response.contains("\"v\"")));
    assert_eq!(harness.counters.get("dropped_answers", "attempt_ended"), 1);
}

/// Guards against exceeding the retry budget: retries that wait for a connection may be sent in the same window as later
/// ones. The budget limits the retries sent in any window, so each counts when its first byte is written.
#[test]
fn retries_count_against_the_budget_when_they_are_sent() {
    let settings = SETTINGS.replace(
        r#""overload_factor":4.0"#,
        r#""overload_factor":4.0,"extra_free":2.0,"repeat_ratio":0.0,"budget_span_s":0.1"#,
    );
    let mut harness = Harness::with_settings(&settings);
    harness.submit_query("first", 0, 0..2, 4000);
    harness.run_batch(10);
    for (_, attempt, ..) in harness.authorize_calls(10) {
        harness.exchange.attempt_ended(attempt, AttemptOutcome::Disconnected, None, None);
    }
    harness.run_batch(20);
    let waiting = std::mem::take(&mut harness.transport.calls);
    assert_eq!(
        waiting.iter().map(|(_, attempts)| attempts.len()).sum::<usize>(),
        2,
        "the budget allows two retries"
    );
    // The window after the decision on these retries has passed, and none of them has been sent yet.
    harness.submit_query("second", 0, 4..6, 4000);
    harness.run_batch(130);
    for (_, attempt, ..) in harness.authorize_calls(130) {
        harness.exchange.attempt_ended(attempt, AttemptOutcome::Disconnected, None, None);
    }
    harness.run_batch(140);
    assert_eq!(harness.counters.get("again", "after_cut"), 4, "the retries of the next window were decided");
    harness.transport.calls.extend(waiting);
    let retries =
        harness.authorize_calls(150).into_iter().filter(|(_, attempt, ..)| attempt.id.number > 0).count();
    assert_eq!(retries, 2, "retries sent in one window");
    assert_eq!(harness.counters.get("not_sent", "budget_spent"), 2);
}
