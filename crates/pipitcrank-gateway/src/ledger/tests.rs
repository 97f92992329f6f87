use proptest::prelude::*;

use super::*;

const LONGEST: TimeSpan = TimeSpan::from_millis(5000);

fn lane(instance: u64) -> Lane {
    Lane { site: "north".into(), instance, lane: 0 }
}

fn forward(number: u64) -> Forward {
    Forward {
        number,
        id: "q".into(),
        class: "sale".into(),
        left: TimeSpan::from_millis(800),
        further: 0,
        crossed: vec!["north".into()],
        parts: vec![(1, 1.0, None)],
        text: String::new(),
    }
}

#[test]
fn a_repeat_is_known_and_answered_from_what_is_held() {
    let (mut ledger, now) = (Ledger::new("south", LONGEST), Timestamp::from_micros(0));
    let Verdict::Begin(mark) = ledger.came(now, &lane(1), &forward(1), true) else { panic!("it is new") };
    assert_eq!(ledger.came(now, &lane(1), &forward(1), true), Verdict::Again);
    assert_eq!(ledger.asked(now, &lane(1), 1), Some(Told { answers: vec![], end: None }));
    assert!(ledger.answered(mark, 1, "v"));
    assert!(!ledger.answered(mark, 1, "w"), "once");
    assert!(ledger.ended(mark, How::Done, 2));
    assert!(!ledger.ended(mark, How::Aborted, 0), "one last word");
    let told = Told { answers: vec![(1, "v".into())], end: Some((How::Done, 2)) };
    assert_eq!(ledger.asked(now, &lane(1), 1), Some(told));
    assert!(matches!(ledger.came(now, &lane(2), &forward(1), true), Verdict::Begin(_)), "another instance's");
}

#[test]
fn what_was_said_not_to_have_come_is_never_begun() {
    let (mut ledger, now) = (Ledger::new("south", LONGEST), Timestamp::from_micros(0));
    assert_eq!(ledger.asked(now, &lane(1), 4), None);
    assert_eq!(ledger.came(now, &lane(1), &forward(4), true), Verdict::Refuse(How::Unknown));
}

#[test]
fn circles_strange_parts_and_too_little_time_are_refused() {
    let (mut ledger, now) = (Ledger::new("south", LONGEST), Timestamp::from_micros(0));
    let mut come = |change: &dyn Fn(&mut Forward), known| {
        let mut f = forward(1);
        change(&mut f);
        ledger.came(now, &lane(1), &f, known)
    };
    let not_here = Verdict::Refuse(How::NotHere);
    assert_eq!(come(&|f| f.crossed = vec!["south".into()], true), not_here);
    assert_eq!(come(&|f| f.crossed = vec!["north".into(), "west".into()], true), not_here);
    assert_eq!(come(&|f| f.crossed = vec!["west".into()], true), not_here, "it names another origin");
    assert_eq!(come(&|f| f.crossed.clear(), true), not_here);
    assert_eq!(come(&|_| (), false), not_here);
    assert_eq!(come(&|f| f.left = TimeSpan::from_millis(2), true), Verdict::Refuse(How::Late));
    assert!(matches!(come(&|_| (), true), Verdict::Begin(_)), "none of that was begun");
}

#[test]
fn answers_held_are_bounded_and_those_dropped_are_said_to_be_aborted() {
    let (mut ledger, now) = (Ledger::new("south", LONGEST), Timestamp::from_micros(0));
    let value = "x".repeat(64 * 1024);
    for n in 1..=300 {
        let Verdict::Begin(mark) = ledger.came(now, &lane(1), &forward(n), true) else { panic!("it is new") };
        ledger.answered(mark, 1, &value);
        ledger.ended(mark, How::Done, 1);
    }
    assert!(ledger.bytes <= MOST_BYTES);
    assert_eq!(ledger.asked(now, &lane(1), 1).unwrap().end, Some((How::Aborted, 1)));
    assert_eq!(ledger.asked(now, &lane(1), 300).unwrap().end, Some((How::Done, 1)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Beside a plain set of all that was ever begun: nothing twice, nothing after it was said not to have come, and
    /// nothing is held for longer than it can be asked for.
    #[test]
    fn nothing_is_begun_twice(steps in proptest::collection::vec((0u8..5, 1u64..12, 0u64..2, 0i64..3000), 0..300)) {
        let (mut ledger, mut now) = (Ledger::new("south", LONGEST), Timestamp::from_micros(0));
        let (mut begun, mut denied) = (BTreeSet::new(), BTreeSet::new());
        for (kind, number, instance, ms) in steps {
            match kind {
                0 | 1 => match ledger.came(now, &lane(instance), &forward(number), true) {
                    Verdict::Begin(_) => {
                        prop_assert!(begun.insert((instance, number)), "begun twice");
                        prop_assert!(!denied.contains(&(instance, number)), "begun after it was denied");
                    }
                    Verdict::Again => prop_assert!(begun.contains(&(instance, number))),
                    Verdict::Refuse(how) => prop_assert_eq!(how, How::Unknown),
                },
                2 => if ledger.asked(now, &lane(instance), number).is_none() { denied.insert((instance, number)); },
                3 => { ledger.given_up(&lane(instance), number); }
                _ => now = now + TimeSpan::from_millis(ms),
            }
        }
        now = now + LONGEST + LONGEST;
        ledger.forget(now);
        prop_assert_eq!((ledger.held(), ledger.bytes), (0, 0));
    }
}
