use proptest::prelude::*;

use super::*;

fn sample() -> Snapshot {
    let replica = |n: u32| ReplicaRecord {
        index: n,
        uid: format!("s-{n}"),
        address: Some(([127, 0, 0, 1], n as u16).into()),
        cell: n,
        zone: (n > 2).then(|| "a".to_string()),
        uptime: (n > 1).then(|| TimeSpan::from_millis(70)),
        draining_for: (n == 3).then(|| TimeSpan::from_millis(5)),
    };
    // A default state is not valid: the fill target starts between its bounds.
    let mut coordinator =
        pipitcrank_core::coordinator::Coordinator::new(pipitcrank_core::coordinator::CoordinatorConfig {
            rng: pipitcrank_core::rng::Rng::new(1),
            tick: TimeSpan::from_millis(5),
            ..Default::default()
        });
    let mut learned = coordinator.learned_state(pipitcrank_core::time::Timestamp::default());
    learned.admitted = vec![TimeSpan::from_millis(3); 9];
    Snapshot {
        taken_us: 5,
        revision: Some(7),
        replicas: (0..4).map(replica).collect(),
        learned,
        delegated_retries: DelegatedRetries { count: 2, valid_for: TimeSpan::from_millis(9) },
    }
}

#[test]
fn snapshot_round_trips_and_other_versions_are_rejected() {
    let bytes = sample().encode().unwrap();
    assert_eq!(Snapshot::decode(&bytes), Ok(sample()));
    let mut other = bytes.clone();
    other[5] += 1;
    assert_eq!(Snapshot::decode(&other), Err(SnapshotError::UnsupportedVersion(FORMAT_VERSION + 1)));
    let mut foreign = bytes.clone();
    foreign[0] = b'x';
    assert_eq!(Snapshot::decode(&foreign), Err(SnapshotError::BadMagic));
    let mut invalid = sample();
    invalid.learned.admitted[0] = TimeSpan::from_millis(-1);
    assert_eq!(Snapshot::decode(&invalid.encode().unwrap()), Err(SnapshotError::Invalid));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Truncated at any byte, longer by a few, or with any bit flipped.
    #[test]
    fn truncated_and_corrupted_snapshots_are_rejected(cut in 0usize..10_000, at in 0usize..10_000, bit in 0u8..8, more in 1usize..9) {
        let bytes = sample().encode().unwrap();
        prop_assert!(Snapshot::decode(&bytes[..cut % bytes.len()]).is_err());
        let mut corrupted = bytes.clone();
        let at = at % bytes.len();
        corrupted[at] ^= 1 << bit;
        prop_assert!(Snapshot::decode(&corrupted).is_err());
        prop_assert!(Snapshot::decode(&[&bytes[..], &vec![0; more][..]].concat()).is_err());
    }

    #[test]
    fn random_bytes_are_rejected(noise in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(Snapshot::decode(&noise).is_err());
    }
}
