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

/// The attempts that a closed forward ends, each with its outcome.
fn ends(closed: &ClosedForward<u32>) -> Vec<(u32, AttemptOutcome)> {
    closed.attempts.iter().map(|attempt| (*attempt, closed.outcome)).collect()
}

fn begin(f: &mut SentForwards<u32>, idempotent: bool) -> u64 {
    f.begin(new_forward([(1, 10), (2, 20)], idempotent, 5, 6))
}

#[test]
fn a_frame_not_written_whole_never_ran_and_a_written_one_may_have() {
    for idempotent in [true, false] {
        let mut f = SentForwards::default();
        begin(&mut f, idempotent);
        let closed = f.connection_lost();
        assert_eq!(ends(&closed[0]), [(10, AttemptOutcome::Unreachable), (20, AttemptOutcome::Unreachable)]);
        assert_eq!(closed[0].retries_made, Some(0));
    }
    let mut f = SentForwards::default();
    let number = begin(&mut f, true);
    f.mark_written(number);
    assert_eq!(f.part_answered(number, 1), Some(10));
    let closed = f.connection_lost();
    assert_eq!((ends(&closed[0]), closed[0].retries_made), (vec![(20, AttemptOutcome::Disconnected)], None));
}

#[test]
fn a_non_idempotent_forward_in_doubt_waits_for_its_status() {
    let mut f = SentForwards::default();
    let number = begin(&mut f, false);
    f.mark_written(number);
    assert_eq!(f.connection_lost(), []);
    assert_eq!(f.reconnected(true), Reconnection::RequestStatus(vec![number]));
    assert_eq!(f.connection_lost(), [], "the link flaps");
    assert_eq!(f.reconnected(true), Reconnection::RequestStatus(vec![number]));
    let closed = f.end(number, ForwardOutcome::Unknown, 9).unwrap();
    assert_eq!(
        (ends(&closed)[0].1, closed.retries_made),
        (AttemptOutcome::Unreachable, Some(0)),
        "it never came, so it never ran"
    );
    let number = begin(&mut f, false);
    f.mark_written(number);
    f.connection_lost();
    let Reconnection::Closed(closed) = f.reconnected(false) else { panic!("another process") };
    assert_eq!(ends(&closed[0])[0].1, AttemptOutcome::Disconnected, "another process can't tell");
}

#[test]
fn a_rejection_proves_that_nothing_ran_and_an_abort_does_not() {
    let mut f = SentForwards::default();
    let retry_after = TimeSpan::from_millis(70);
    for (ended, outcome) in [
        (ForwardOutcome::Rejected { retry_after }, AttemptOutcome::NoCapacity),
        (ForwardOutcome::Aborted, AttemptOutcome::Fault),
        (ForwardOutcome::TooLate, AttemptOutcome::NeverSent),
        (ForwardOutcome::NotServed, AttemptOutcome::Unreachable),
        (ForwardOutcome::Complete, AttemptOutcome::Fault),
    ] {
        let number = begin(&mut f, false);
        f.mark_written(number);
        assert_eq!(ends(&f.end(number, ended, 1).unwrap()), [(10, outcome), (20, outcome)]);
        assert_eq!(f.end(number, ended, 1), None, "one end");
    }
}

#[test]
fn cancelled_parts_are_not_answered_and_the_last_one_cancels_the_forward() {
    let mut f = SentForwards::default();
    let number = begin(&mut f, true);
    assert_eq!(f.cancel(10), Some(CancelledPart { number, last: false }));
    assert_eq!(f.part_answered(number, 1), None);
    assert_eq!(f.cancel(20), Some(CancelledPart { number, last: true }));
    assert_eq!(f.cancel(20), None);
    assert_eq!(
        f.end(number, ForwardOutcome::Aborted, 2).unwrap().retries_made,
        Some(2),
        "what it spent still counts"
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

    /// Each attempt ends once, and one whose frame was written whole counts as never run only where the other site says so.
    #[test]
    fn each_attempt_ends_once_with_the_right_outcome(steps in proptest::collection::vec(step(), 0..150)) {
        let mut f: SentForwards<u32> = SentForwards::default();
        let (mut next_attempt, mut open, mut written) = (0, Vec::new(), Vec::new());
        let mut newest = 0;
        for step in steps {
            let site_says = matches!(step, Step::End(_));
            let closed: Vec<ClosedForward<u32>> = match step {
                Step::Begin(idempotent) => {
                    newest = f.begin(new_forward([(0, next_attempt), (1, next_attempt + 1)], idempotent, 0, 0));
                    open.extend([next_attempt, next_attempt + 1]);
                    next_attempt += 2;
                    vec![]
                }
                Step::Write if newest == 0 => vec![],
                Step::Write => { f.mark_written(newest); written.extend([next_attempt.saturating_sub(2), next_attempt.saturating_sub(1)]); vec![] }
                Step::Part(shard) => {
                    if let Some(attempt) = f.part_answered(newest, shard) {
                        prop_assert!(open.contains(&attempt));
                        open.retain(|c| *c != attempt);
                    }
                    vec![]
                }
                Step::End(n) => {
                    let outcomes = [ForwardOutcome::Complete, ForwardOutcome::Rejected { retry_after: TimeSpan::ZERO }, ForwardOutcome::Aborted, ForwardOutcome::TooLate, ForwardOutcome::NotServed, ForwardOutcome::Unknown];
                    f.end(newest, outcomes[n as usize], 1).into_iter().collect()
                }
                Step::LoseConnection => f.connection_lost(),
                Step::Reconnect(same) => match f.reconnected(same) {
                    Reconnection::RequestStatus(_) => vec![],
                    Reconnection::Closed(closed) => closed,
                },
                Step::Cancel(attempt) => { if f.cancel(attempt).is_some() { open.retain(|c| *c != attempt); } vec![] }
                Step::Expire => f.expire(deadline()),
            };
            for (attempt, outcome) in closed.into_iter().flat_map(|closed| ends(&closed)) {
                prop_assert!(open.contains(&attempt), "it ends twice");
                open.retain(|c| *c != attempt);
                let never = matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NoCapacity | AttemptOutcome::NeverSent);
                prop_assert!(!never || site_says || !written.contains(&attempt), "{attempt} was written whole: {outcome:?}");
            }
        }
        f.expire(deadline()).into_iter().flat_map(|closed| ends(&closed)).for_each(|(attempt, _)| open.retain(|c| *c != attempt));
        prop_assert!(open.is_empty() && f.outstanding() == 0, "all end by their deadline");
    }
}
