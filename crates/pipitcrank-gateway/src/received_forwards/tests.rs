use proptest::prelude::*;

use super::*;
use crate::frames::ForwardPart;

const MAX_QUERY_TIME: TimeSpan = TimeSpan::from_millis(5000);

fn stream(incarnation: u64) -> StreamId {
    StreamId { site: "north".into(), incarnation, stream: 0 }
}

fn end(outcome: ForwardOutcome, retries_made: u32) -> ForwardEnd {
    ForwardEnd { outcome, retries_made }
}

fn part(shard: u32, weight: f64, estimated_work: Option<f64>) -> ForwardPart {
    ForwardPart { shard, weight, estimated_work }
}

fn forward(number: u64) -> Forward {
    Forward {
        number,
        query_id: "q".into(),
        class: "sale".into(),
        time_left: TimeSpan::from_millis(800),
        delegated_retries: 0,
        sites_crossed: vec!["north".into()],
        parts: vec![part(1, 1.0, None)],
        text: String::new(),
    }
}

#[test]
fn a_repeat_is_answered_from_the_record() {
    let (mut received, now) = (ReceivedForwards::new("south", MAX_QUERY_TIME), Timestamp::from_micros(0));
    let Admission::Begin(id) = received.admit(now, &stream(1), &forward(1), true) else {
        panic!("a new forward must be started")
    };
    assert_eq!(received.admit(now, &stream(1), &forward(1), true), Admission::Repeat);
    assert_eq!(
        received.status_or_mark_unknown(now, &stream(1), 1),
        Some(ForwardStatus { answers: vec![], end: None })
    );
    assert!(received.record_answer(id, 1, "v"));
    assert!(!received.record_answer(id, 1, "w"), "a part is answered once");
    assert!(received.record_end(id, end(ForwardOutcome::Complete, 2)));
    assert!(!received.record_end(id, end(ForwardOutcome::Aborted, 0)), "a forward ends once");
    let status = ForwardStatus {
        answers: vec![RecordedAnswer { shard: 1, value: "v".into() }],
        end: Some(end(ForwardOutcome::Complete, 2)),
    };
    assert_eq!(received.status_or_mark_unknown(now, &stream(1), 1), Some(status));
    assert!(
        matches!(received.admit(now, &stream(2), &forward(1), true), Admission::Begin(_)),
        "the same number from another incarnation is new"
    );
}

#[test]
fn a_forward_reported_unknown_is_never_started() {
    let (mut received, now) = (ReceivedForwards::new("south", MAX_QUERY_TIME), Timestamp::from_micros(0));
    assert_eq!(received.status_or_mark_unknown(now, &stream(1), 4), None);
    assert_eq!(
        received.admit(now, &stream(1), &forward(4), true),
        Admission::Refuse(ForwardOutcome::Unknown)
    );
}

#[test]
fn loops_unknown_parts_and_too_little_time_are_refused() {
    let (mut received, now) = (ReceivedForwards::new("south", MAX_QUERY_TIME), Timestamp::from_micros(0));
    let mut admit = |change: &dyn Fn(&mut Forward), known| {
        let mut f = forward(1);
        change(&mut f);
        received.admit(now, &stream(1), &f, known)
    };
    let not_served = Admission::Refuse(ForwardOutcome::NotServed);
    assert_eq!(admit(&|f| f.sites_crossed = vec!["south".into()], true), not_served);
    assert_eq!(admit(&|f| f.sites_crossed = vec!["north".into(), "west".into()], true), not_served);
    assert_eq!(
        admit(&|f| f.sites_crossed = vec!["west".into()], true),
        not_served,
        "the first crossed site is not the peer"
    );
    assert_eq!(admit(&|f| f.sites_crossed.clear(), true), not_served);
    assert_eq!(admit(&|_| (), false), not_served);
    assert_eq!(
        admit(&|f| f.time_left = TimeSpan::from_millis(2), true),
        Admission::Refuse(ForwardOutcome::TooLate)
    );
    assert!(matches!(admit(&|_| (), true), Admission::Begin(_)), "refused forwards were not recorded");
}

#[test]
fn recorded_answers_are_bounded_and_dropped_ones_are_reported_aborted() {
    let (mut received, now) = (ReceivedForwards::new("south", MAX_QUERY_TIME), Timestamp::from_micros(0));
    let value = "x".repeat(64 * 1024);
    for n in 1..=300 {
        let Admission::Begin(id) = received.admit(now, &stream(1), &forward(n), true) else {
            panic!("a new forward must be started")
        };
        received.record_answer(id, 1, &value);
        received.record_end(id, end(ForwardOutcome::Complete, 1));
    }
    assert!(received.answer_bytes <= MAX_ANSWER_BYTES);
    assert_eq!(
        received.status_or_mark_unknown(now, &stream(1), 1).unwrap().end,
        Some(end(ForwardOutcome::Aborted, 1))
    );
    assert_eq!(
        received.status_or_mark_unknown(now, &stream(1), 300).unwrap().end,
        Some(end(ForwardOutcome::Complete, 1))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Compared with a set of all started forwards: no forward starts twice or after it was reported as unknown, and no entry
    /// outlives the time within which a repeat can arrive.
    #[test]
    fn no_forward_starts_twice(steps in proptest::collection::vec((0u8..5, 1u64..12, 0u64..2, 0i64..3000), 0..300)) {
        let (mut received, mut now) = (ReceivedForwards::new("south", MAX_QUERY_TIME), Timestamp::from_micros(0));
        let (mut started, mut unknown) = (BTreeSet::new(), BTreeSet::new());
        for (kind, number, incarnation, delay_ms) in steps {
            match kind {
                0 | 1 => match received.admit(now, &stream(incarnation), &forward(number), true) {
                    Admission::Begin(_) => {
                        prop_assert!(started.insert((incarnation, number)), "forward started twice");
                        prop_assert!(!unknown.contains(&(incarnation, number)), "forward started after it was reported as unknown");
                    }
                    Admission::Repeat => prop_assert!(started.contains(&(incarnation, number))),
                    Admission::Refuse(outcome) => prop_assert_eq!(outcome, ForwardOutcome::Unknown),
                },
                2 => if received.status_or_mark_unknown(now, &stream(incarnation), number).is_none() { unknown.insert((incarnation, number)); },
                3 => { received.cancel(&stream(incarnation), number); }
                _ => now = now + TimeSpan::from_millis(delay_ms),
            }
        }
        now = now + MAX_QUERY_TIME + MAX_QUERY_TIME;
        received.remove_expired(now);
        prop_assert_eq!((received.count(), received.answer_bytes), (0, 0));
    }
}
