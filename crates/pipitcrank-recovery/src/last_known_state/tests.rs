use proptest::prelude::*;

use super::*;

const OLDEST: TimeSpan = TimeSpan::from_millis(60_000);

fn clocks(day_s: i64, boot_s: i64) -> Clocks {
    Clocks { day_us: day_s * 1_000_000, since_boot_us: boot_s * 1_000_000 }
}

fn some(now: Clocks) -> Beliefs {
    let peer = Peer { address: ([127, 0, 0, 1], 9).into(), instance: 5, zone: 0 };
    let known = pipitcrank_core::coordinator::Coordinator::new(
        pipitcrank_core::rng::Rng::new(1),
        Default::default(),
        Default::default(),
        Default::default(),
        Default::default(),
        false,
        TimeSpan::from_millis(5),
    )
    .learned_state(pipitcrank_core::time::Timestamp::default());
    let snapshot = Snapshot { learned: known, ..Snapshot::default() };
    Beliefs::new(now, &snapshot, Some(Decision::initial(3, 7 << 32)), vec![peer; MOST_MEMBERS + 80])
}

#[test]
fn young_all_of_it_old_whom_to_ask_and_without_a_clock_the_number_alone() {
    let written = clocks(1_000_000, 500);
    for (now, known, members) in [
        (clocks(1_000_010, 510), true, true),
        (clocks(1_000_100, 600), false, true),
        // Started anew ten seconds ago.
        (clocks(1_000_020, 10), true, true),
        // The day's clock was set back, with the machine up and after a start.
        (clocks(999_000, 510), false, false),
        (clocks(999_000, 10), false, false),
        // It was set ahead: held to be as old as that.
        (clocks(2_000_000, 510), false, true),
    ] {
        let kept = Beliefs::decode(&some(written).encode()).unwrap();
        let recalled = kept.recall(now, OLDEST);
        assert_eq!((recalled.known.is_some(), !recalled.members.is_empty()), (known, members), "{now:?}");
        assert_eq!(recalled.decision.map(|d| d.number), Some(7 << 32));
    }
    assert_eq!(some(written).members.len(), MOST_MEMBERS);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Never younger than it is by the clock that was not touched.
    #[test]
    fn nothing_is_taken_for_younger_than_it_is(passed in 0i64..100_000, set in -50_000i64..50_000, booted in any::<bool>()) {
        let written = clocks(1_000_000, 5_000);
        let now = clocks(1_000_000 + passed + set, if booted { 1 } else { 5_000 + passed });
        let age = age(written, now);
        // With the machine started anew and its clock set back by less than has passed nothing tells.
        if let Some(age) = age.filter(|_| !booted || set >= 0) {
            prop_assert!(age.as_secs_f64() >= passed as f64 - 2.0, "{age:?} for {passed}");
        }
    }

    #[test]
    fn cut_or_longer_it_is_left(cut in 0usize..4000, more in 1usize..9) {
        let bytes = some(clocks(9, 9)).encode();
        prop_assert!(Beliefs::decode(&bytes[..cut % bytes.len()]).is_none());
        prop_assert!(Beliefs::decode(&[&bytes[..], &vec![0; more][..]].concat()).is_none());
    }

    #[test]
    fn noise_does_no_harm(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Some(beliefs) = Beliefs::decode(&noise) {
            prop_assert!(beliefs.recall(clocks(9, 9), OLDEST).members.len() <= MOST_MEMBERS);
        }
    }
}
