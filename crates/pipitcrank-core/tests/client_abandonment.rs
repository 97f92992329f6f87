//! Clients that close the connection before their deadline, and deadlines before the latency objective.

mod helper;

use helper::driver::{dispatch_at, end_attempt, listed_coordinator, start_query};
use helper::{Action, RecordedOutput, Setup, at, ms};
use pipitcrank_core::coordinator::{NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptOutcome, PartId, QueryId, RequestClassId};

#[test]
fn partial_answer_is_given_before_clients_leave() {
    // See docs/incidents/i85cd7c.md: clients closed the connection after a third of the latency objective. A
    // request class that allows partial answers must answer before that.
    let (mut coordinator, mut output) = listed_coordinator(7);
    for n in 0..4 {
        start_query(&mut coordinator, &mut output, n * 1000, 1, 0, &[0, 1, 2, 3, 4]);
        dispatch_at(&mut coordinator, n * 1000);
        coordinator.cancel_query(&mut output, at(n * 1000 + 500), QueryId(0));
        for part in 0..5 {
            end_attempt(&mut coordinator, n * 1000 + 510, PartId(part), 0, AttemptOutcome::Cancelled);
        }
    }
    let mut started = RecordedOutput::default();
    start_query(&mut coordinator, &mut started, 5000, 1, 0, &[0, 1, 2, 3, 4]);
    dispatch_at(&mut coordinator, 5000);
    for part in 0..4 {
        end_attempt(&mut coordinator, 5100, PartId(part), 0, AttemptOutcome::Success);
    }
    let seen = helper::advance_to(&mut coordinator, &started.0, at(5499));
    assert!(seen.0.contains(&Action::Answer(QueryId(0), false)), "{:?}", seen.0);
}

#[test]
fn two_abandoned_queries_do_not_shorten_the_objective() {
    // Two clients in a row closed early by chance, and all other queries of the request class were rejected
    // for 100 s: the objective was shortened below the time of any answer, and only answers counted as
    // evidence that clients stay connected.
    let (mut coordinator, mut output) = listed_coordinator(7);
    let mut sent = 0;
    for n in 0..60 {
        let (t, mut started) = (n * 1000, RecordedOutput::default());
        start_query(&mut coordinator, &mut started, t, 0, 0, &[2]);
        let attempts = dispatch_at(&mut coordinator, t).attempts().len();
        if n == 30 || n == 31 {
            coordinator.cancel_query(&mut output, at(t + 30), QueryId(0));
            end_attempt(&mut coordinator, t + 31, PartId(0), 0, AttemptOutcome::Cancelled);
        } else if attempts == 1 {
            sent += usize::from(n > 31);
            end_attempt(&mut coordinator, t + 300, PartId(0), 0, AttemptOutcome::Success);
        } else {
            let seen = helper::advance_to(&mut coordinator, &started.0, at(t + 900)).0;
            assert!(
                seen.contains(&Action::Reject(QueryId(0))),
                "an unsent query is rejected early: {seen:?}"
            );
        }
    }
    assert!(sent >= 26, "only {sent} of 28 queries sent");
}

#[test]
fn a_query_with_little_time_left_is_rejected_early() {
    // Limits given as fractions of the objective refer to the client's time limit if that is shorter
    // (docs/incidents/i9ec2ef.md).
    let (mut coordinator, mut output) = (Setup::with_seed(1).build(), RecordedOutput::default());
    let query = NewQuery {
        id: QueryId(0),
        class: RequestClassId(0),
        time_left: ms(300),
        work_hint: None,
        part_count: 1.0,
    };
    coordinator.start_query(&mut output, at(0), query);
    let part = NewPart { id: PartId(0), query: QueryId(0), shard: 0, weight: 1.0, work_hint: None };
    coordinator.add_part(&mut output, at(0), part);
    let seen = helper::advance_to(&mut coordinator, &output.0, at(60));
    assert!(
        seen.0.contains(&Action::Reject(QueryId(0))),
        "not rejected although no replica is listed: {:?}",
        seen.0
    );
}

#[test]
fn clients_that_leave_at_once_do_not_have_the_queries_of_others_rejected() {
    let (mut coordinator, mut output) = listed_coordinator(7);
    let (mut stayed, mut sent) = (0, 0);
    for n in 0..200 {
        let (t, query, part) = (i64::from(n) * 50, QueryId(n), PartId(n));
        start_query(&mut coordinator, &mut output, t, 0, n, &[2]);
        let attempts = dispatch_at(&mut coordinator, t).attempts().len();
        // Nine of ten clients leave after 10 ms, before any replica can answer.
        if n % 10 != 9 {
            coordinator.cancel_query(&mut output, at(t + 10), query);
            end_attempt(&mut coordinator, t + 11, part, 0, AttemptOutcome::Cancelled);
            continue;
        }
        stayed += 1;
        sent += attempts;
        if attempts > 0 {
            end_attempt(&mut coordinator, t + 40, part, 0, AttemptOutcome::Success);
        }
    }
    assert_eq!(sent, stayed, "queries of clients that stay are sent");
}
