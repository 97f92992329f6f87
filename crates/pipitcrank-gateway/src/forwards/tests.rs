use pipitcrank_core::time::TimeSpan;
use proptest::prelude::*;

use super::*;

fn until() -> Timestamp {
    Timestamp::from_micros(1_000_000)
}

fn begin(f: &mut Forwards<u32>, repeatable: bool) -> u64 {
    f.begin(vec![(1, 10), (2, 20)], repeatable, 5, 6, until())
}

#[test]
fn not_written_whole_never_ran_and_written_may_have() {
    for repeatable in [true, false] {
        let mut f = Forwards::default();
        begin(&mut f, repeatable);
        let over = f.cut();
        assert_eq!(over[0].calls, [(10, AttemptOutcome::Unreachable), (20, AttemptOutcome::Unreachable)]);
        assert_eq!(over[0].made, Some(0));
    }
    let mut f = Forwards::default();
    let number = begin(&mut f, true);
    f.written(number);
    assert_eq!(f.part(number, 1), Some(10));
    let over = f.cut();
    assert_eq!((&over[0].calls[..], over[0].made), (&[(20, AttemptOutcome::Disconnected)][..], None));
}

#[test]
fn a_side_effecting_one_in_doubt_is_asked_for_and_never_free_before() {
    let mut f = Forwards::default();
    let number = begin(&mut f, false);
    f.written(number);
    assert_eq!(f.cut(), []);
    assert_eq!(f.relinked(true), Ok(vec![number]));
    assert_eq!(f.cut(), [], "the link flaps");
    assert_eq!(f.relinked(true), Ok(vec![number]));
    let over = f.end(number, How::Unknown, 9).unwrap();
    assert_eq!(
        (over.calls[0].1, over.made),
        (AttemptOutcome::Unreachable, Some(0)),
        "it never came, so it never ran"
    );
    let number = begin(&mut f, false);
    f.written(number);
    f.cut();
    let over = f.relinked(false).unwrap_err();
    assert_eq!(over[0].calls[0].1, AttemptOutcome::Disconnected, "another process can't tell");
}

#[test]
fn a_rejection_proves_that_nothing_ran_and_an_abort_does_not() {
    let mut f = Forwards::default();
    let stay_away = TimeSpan::from_millis(70);
    for (how, outcome) in [
        (How::Rejected { stay_away }, AttemptOutcome::NoCapacity),
        (How::Aborted, AttemptOutcome::Fault),
        (How::Late, AttemptOutcome::NeverSent),
        (How::NotHere, AttemptOutcome::Unreachable),
        (How::Done, AttemptOutcome::Fault),
    ] {
        let number = begin(&mut f, false);
        f.written(number);
        assert_eq!(f.end(number, how, 1).unwrap().calls, [(10, outcome), (20, outcome)]);
        assert_eq!(f.end(number, how, 1), None, "one last word");
    }
}

#[test]
fn given_up_parts_are_not_answered_and_the_last_one_gives_up_the_forward() {
    let mut f = Forwards::default();
    let number = begin(&mut f, true);
    assert_eq!(f.give_up(10), Some(GaveUp { number, whole: false }));
    assert_eq!(f.part(number, 1), None);
    assert_eq!(f.give_up(20), Some(GaveUp { number, whole: true }));
    assert_eq!(f.give_up(20), None);
    assert_eq!(f.end(number, How::Aborted, 2).unwrap().made, Some(2), "what it spent still counts");
}

#[derive(Clone, Debug)]
enum Step {
    Begin(bool),
    Write,
    Part(u32),
    End(u8),
    Cut,
    Relink(bool),
    GiveUp(u32),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Begin),
        Just(Step::Write),
        (0u32..3).prop_map(Step::Part),
        (0u8..6).prop_map(Step::End),
        Just(Step::Cut),
        any::<bool>().prop_map(Step::Relink),
        (0u32..60).prop_map(Step::GiveUp),
        Just(Step::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 500, ..ProptestConfig::default() })]

    /// Each call ends once, and one whose frame was written whole is said not to have run only by the far side's word.
    #[test]
    fn each_call_ends_once_with_the_right_meaning(steps in proptest::collection::vec(step(), 0..150)) {
        let mut f: Forwards<u32> = Forwards::default();
        let (mut next_call, mut open, mut written) = (0, Vec::new(), Vec::new());
        let mut newest = 0;
        for step in steps {
            let said = matches!(step, Step::End(_));
            let over: Vec<Over<u32>> = match step {
                Step::Begin(repeatable) => {
                    newest = f.begin(vec![(0, next_call), (1, next_call + 1)], repeatable, 0, 0, until());
                    open.extend([next_call, next_call + 1]);
                    next_call += 2;
                    vec![]
                }
                Step::Write if newest == 0 => vec![],
                Step::Write => { f.written(newest); written.extend([next_call.saturating_sub(2), next_call.saturating_sub(1)]); vec![] }
                Step::Part(shard) => {
                    if let Some(call) = f.part(newest, shard) {
                        prop_assert!(open.contains(&call));
                        open.retain(|c| *c != call);
                    }
                    vec![]
                }
                Step::End(n) => {
                    let how = [How::Done, How::Rejected { stay_away: TimeSpan::ZERO }, How::Aborted, How::Late, How::NotHere, How::Unknown];
                    f.end(newest, how[n as usize], 1).into_iter().collect()
                }
                Step::Cut => f.cut(),
                Step::Relink(same) => f.relinked(same).err().unwrap_or_default(),
                Step::GiveUp(call) => { if f.give_up(call).is_some() { open.retain(|c| *c != call); } vec![] }
                Step::Expire => f.expired(until()),
            };
            for (call, outcome) in over.into_iter().flat_map(|o| o.calls) {
                prop_assert!(open.contains(&call), "it ends twice");
                open.retain(|c| *c != call);
                let never = matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NoCapacity | AttemptOutcome::NeverSent);
                prop_assert!(!never || said || !written.contains(&call), "{call} was written whole: {outcome:?}");
            }
        }
        f.expired(until()).into_iter().flat_map(|o| o.calls).for_each(|(call, _)| open.retain(|c| *c != call));
        prop_assert!(open.is_empty() && f.out() == 0, "all end by their time");
    }
}
