use proptest::prelude::*;

use super::*;

const MAX_AGE: TimeSpan = TimeSpan::from_millis(60_000);

fn clocks(wall_s: i64, monotonic_s: i64) -> ClockReading {
    ClockReading { wall_us: wall_s * 1_000_000, monotonic_us: monotonic_s * 1_000_000 }
}

fn state(now: ClockReading) -> LastKnownState {
    let peer = Peer { address: ([127, 0, 0, 1], 9).into(), instance: 5, zone: 0 };
    let learned =
        pipitcrank_core::coordinator::Coordinator::new(pipitcrank_core::coordinator::CoordinatorConfig {
            rng: pipitcrank_core::rng::Rng::new(1),
            tick: TimeSpan::from_millis(5),
            ..Default::default()
        })
        .learned_state(pipitcrank_core::time::Timestamp::default());
    let snapshot = Snapshot { learned, ..Snapshot::default() };
    LastKnownState::new(now, &snapshot, Some(Decision::initial(3, 7 << 32)), vec![peer; MAX_MEMBERS + 80])
}

#[test]
fn recovered_parts_depend_on_age_and_clocks() {
    let written = clocks(1_000_000, 500);
    for (now, learned, members) in [
        (clocks(1_000_010, 510), true, true),
        (clocks(1_000_100, 600), false, true),
        // The machine was rebooted ten seconds before.
        (clocks(1_000_020, 10), true, true),
        // The wall clock was set back, without and with a reboot.
        (clocks(999_000, 510), false, false),
        (clocks(999_000, 10), false, false),
        // The wall clock was set forward, which makes the state look older than it is.
        (clocks(2_000_000, 510), false, true),
    ] {
        let stored = LastKnownState::decode(&state(written).encode()).unwrap();
        let recovered = stored.recover(now, MAX_AGE);
        assert_eq!(
            (recovered.learned.is_some(), !recovered.members.is_empty()),
            (learned, members),
            "{now:?}"
        );
        assert_eq!(recovered.decision.map(|d| d.number), Some(7 << 32));
    }
    assert_eq!(state(written).members.len(), MAX_MEMBERS);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The computed age is never below the time that passed, whichever clock was set or reset.
    #[test]
    fn age_is_never_underestimated(passed_s in 0i64..100_000, set_by_s in -50_000i64..50_000, rebooted in any::<bool>()) {
        let written = clocks(1_000_000, 5_000);
        let now = clocks(1_000_000 + passed_s + set_by_s, if rebooted { 1 } else { 5_000 + passed_s });
        let age = elapsed(written, now);
        // A reboot hides a wall clock that was set back by less than the time that passed, which excludes this case.
        if let Some(age) = age.filter(|_| !rebooted || set_by_s >= 0) {
            prop_assert!(age.as_secs_f64() >= passed_s as f64 - 2.0, "computed age {age:?} after {passed_s} s");
        }
    }

    #[test]
    fn truncated_or_longer_states_are_rejected(cut in 0usize..4000, more in 1usize..9) {
        let bytes = state(clocks(9, 9)).encode();
        prop_assert!(LastKnownState::decode(&bytes[..cut % bytes.len()]).is_none());
        prop_assert!(LastKnownState::decode(&[&bytes[..], &vec![0; more][..]].concat()).is_none());
    }

    #[test]
    fn random_bytes_never_yield_too_many_members(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Some(state) = LastKnownState::decode(&noise) {
            prop_assert!(state.recover(clocks(9, 9), MAX_AGE).members.len() <= MAX_MEMBERS);
        }
    }
}
