//! The send guard: what is still sent just before its first byte.

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::QueryResponse;

use crate::harness::{Harness, SETTINGS, at, listed};

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
