use pipitcrank_core::time::TimeSpan;
use proptest::prelude::*;

use super::*;

fn deadline() -> Timestamp {
    Timestamp::from_micros(1_000_000)
}

fn new_forward(parts: [(u32, u32); 2], idempotent: bool, delegation: u64, health_id: u64) -> NewForward<u32> {
    let parts = parts.map(|(shard, attempt)| ForwardedPart { shard, attempt }).to_vec();
    NewForward { parts, idempotent, delegation, health_id, deadline: deadline() }
}

/// Attempts that end with a closed forward, each with its outcome.
fn attempt_outcomes(closed: &ClosedForward<u32>) -> Vec<(u32, AttemptOutcome)> {
    closed.attempts.iter().map(|attempt| (*attempt, closed.outcome)).collect()
}

fn begin(forwards: &mut SentForwards<u32>, idempotent: bool) -> u64 {
    forwards.begin(new_forward([(1, 10), (2, 20)], idempotent, 5, 6))
}

#[test]
fn incomplete_frame_never_ran_and_complete_one_may_have() {
    for idempotent in [true, false] {
        let mut forwards = SentForwards::default();
        begin(&mut forwards, idempotent);
        let closed = forwards.connection_lost();
        assert_eq!(
            attempt_outcomes(&closed[0]),
            [(10, AttemptOutcome::Unreachable), (20, AttemptOutcome::Unreachable)]
        );
        assert_eq!(closed[0].retries_made, Some(0));
    }
    let mut forwards = SentForwards::default();
    let number = begin(&mut forwards, true);
    forwards.mark_written(number);
    assert_eq!(forwards.part_answered(number, 1), Some(10));
    let closed = forwards.connection_lost();
    assert_eq!(
        (attempt_outcomes(&closed[0]), closed[0].retries_made),
        (vec![(20, AttemptOutcome::Disconnected)], None)
    );
}

#[test]
fn a_non_idempotent_forward_in_doubt_waits_for_its_status() {
    let mut forwards = SentForwards::default();
    let number = begin(&mut forwards, false);
    forwards.mark_written(number);
    assert_eq!(forwards.connection_lost(), []);
    assert_eq!(forwards.reconnected(true), Reconnection::RequestStatus(vec![number]));
    assert_eq!(forwards.connection_lost(), [], "the connection is lost again");
    assert_eq!(forwards.reconnected(true), Reconnection::RequestStatus(vec![number]));
    let closed = forwards.end(number, ForwardOutcome::Unknown, 9).unwrap();
    assert_eq!(
        (attempt_outcomes(&closed)[0].1, closed.retries_made),
        (AttemptOutcome::Unreachable, Some(0)),
        "a forward that was not received was not executed"
    );
    let number = begin(&mut forwards, false);
    forwards.mark_written(number);
    forwards.connection_lost();
    let Reconnection::Closed(closed) = forwards.reconnected(false) else {
        panic!("expected closed forwards after a reconnection to another process")
    };
    assert_eq!(
        attempt_outcomes(&closed[0])[0].1,
        AttemptOutcome::Disconnected,
        "another process has no record of the forward"
    );
}

#[test]
fn a_rejection_proves_that_nothing_ran_and_an_abort_does_not() {
    let mut forwards = SentForwards::default();
    let retry_after = TimeSpan::from_millis(70);
    for (ended, outcome) in [
        (ForwardOutcome::Rejected { retry_after }, AttemptOutcome::NoCapacity),
        (ForwardOutcome::Aborted, AttemptOutcome::Fault),
        (ForwardOutcome::TooLate, AttemptOutcome::NeverSent),
        (ForwardOutcome::NotServed, AttemptOutcome::Unreachable),
        (ForwardOutcome::Complete, AttemptOutcome::Fault),
    ] {
        let number = begin(&mut forwards, false);
        forwards.mark_written(number);
        assert_eq!(
            attempt_outcomes(&forwards.end(number, ended, 1).unwrap()),
            [(10, outcome), (20, outcome)]
        );
        assert_eq!(forwards.end(number, ended, 1), None, "a second end is ignored");
    }
}

#[test]
fn cancelled_parts_are_not_answered_and_the_last_one_cancels_the_forward() {
    let mut forwards = SentForwards::default();
    let number = begin(&mut forwards, true);
    assert_eq!(forwards.cancel(10), Some(CancelledPart { number, last: false }));
    assert_eq!(forwards.part_answered(number, 1), None);
    assert_eq!(forwards.cancel(20), Some(CancelledPart { number, last: true }));
    assert_eq!(forwards.cancel(20), None);
    assert_eq!(
        forwards.end(number, ForwardOutcome::Aborted, 2).unwrap().retries_made,
        Some(2),
        "retries of a cancelled forward count"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Begin(bool),
    Write,
    Part(u32),
    End(u8),
    LoseConnection,
    Reconnect(bool),
    Cancel(u32),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Begin),
        Just(Step::Write),
        (0u32..3).prop_map(Step::Part),
        (0u8..6).prop_map(Step::End),
        Just(Step::LoseConnection),
        any::<bool>().prop_map(Step::Reconnect),
        (0u32..60).prop_map(Step::Cancel),
        Just(Step::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 500, ..ProptestConfig::default() })]

    /// Each attempt ends once. An attempt whose frame was written completely ends as not executed only if the other site
    /// reported it.
    #[test]
    fn each_attempt_ends_once_with_the_right_outcome(steps in proptest::collection::vec(step(), 0..150)) {
        let mut forwards: SentForwards<u32> = SentForwards::default();
        let (mut next_attempt, mut open, mut written) = (0, Vec::new(), Vec::new());
        let mut newest = 0;
        for step in steps {
            let reported_by_site = matches!(step, Step::End(_));
            let closed: Vec<ClosedForward<u32>> = match step {
                Step::Begin(idempotent) => {
                    newest = forwards.begin(new_forward([(0, next_attempt), (1, next_attempt + 1)], idempotent, 0, 0));
                    open.extend([next_attempt, next_attempt + 1]);
                    next_attempt += 2;
                    vec![]
                }
                Step::Write if newest == 0 => vec![],
                Step::Write => { forwards.mark_written(newest); written.extend([next_attempt.saturating_sub(2), next_attempt.saturating_sub(1)]); vec![] }
                Step::Part(shard) => {
                    if let Some(attempt) = forwards.part_answered(newest, shard) {
                        prop_assert!(open.contains(&attempt));
                        open.retain(|other| *other != attempt);
                    }
                    vec![]
                }
                Step::End(n) => {
                    let outcomes = [ForwardOutcome::Complete, ForwardOutcome::Rejected { retry_after: TimeSpan::ZERO }, ForwardOutcome::Aborted, ForwardOutcome::TooLate, ForwardOutcome::NotServed, ForwardOutcome::Unknown];
                    forwards.end(newest, outcomes[n as usize], 1).into_iter().collect()
                }
                Step::LoseConnection => forwards.connection_lost(),
                Step::Reconnect(same) => match forwards.reconnected(same) {
                    Reconnection::RequestStatus(_) => vec![],
                    Reconnection::Closed(closed) => closed,
                },
                Step::Cancel(attempt) => { if forwards.cancel(attempt).is_some() { open.retain(|other| *other != attempt); } vec![] }
                Step::Expire => forwards.expire(deadline()),
            };
            for (attempt, outcome) in closed.into_iter().flat_map(|closed| attempt_outcomes(&closed)) {
                prop_assert!(open.contains(&attempt), "attempt ended twice");
                open.retain(|other| *other != attempt);
                let not_executed = matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NoCapacity | AttemptOutcome::NeverSent);
                prop_assert!(!not_executed || reported_by_site || !written.contains(&attempt), "attempt {attempt} was written completely: {outcome:?}");
            }
        }
        forwards.expire(deadline()).into_iter().flat_map(|closed| attempt_outcomes(&closed)).for_each(|(attempt, _)| open.retain(|other| *other != attempt));
        prop_assert!(open.is_empty() && forwards.outstanding() == 0, "forwards are outstanding after their deadline");
    }
}
