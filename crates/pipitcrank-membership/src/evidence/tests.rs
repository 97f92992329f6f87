use proptest::prelude::*;

use super::*;

fn at(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn row(good: u16, silent: u16) -> ReplicaCounts {
    ReplicaCounts { listed: good + silent, answering: good, silent, ..ReplicaCounts::default() }
}

/// Three copies a zone; each zone sees each other with so many of ten replicas silent.
fn joined(silent: [[u16; 3]; 3]) -> EvidenceMatrix {
    let mut words = EvidenceTable::new(3);
    for zone in 0..3u16 {
        for copy in 0..3 {
            let replica_counts = silent[usize::from(zone)].iter().map(|&s| row(10 - s, s)).collect();
            let word = EvidenceReport { zone, sequence: 1, replica_counts, demand: 10, nodes: 3 };
            assert!(words.record(Timestamp::default(), at(zone * 10 + copy), 1, word));
        }
    }
    words.matrix(Timestamp::default())
}

#[test]
fn four_troubles_are_told_apart() {
    let well = joined([[0, 0, 0], [0, 0, 0], [0, 0, 0]]);
    assert!((0..3).all(|z| well.finding(z) == Finding::Healthy));
    assert_eq!(well.demand, [30.0, 30.0, 30.0]);
    let dead = joined([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
    assert_eq!([0, 1, 2].map(|z| dead.finding(z)), [Finding::Healthy, Finding::Dead, Finding::Healthy]);
    let one_way = joined([[0, 10, 0], [10, 0, 0], [0, 0, 0]]);
    assert!((0..3).all(|z| one_way.finding(z) == Finding::Healthy), "the third reaches both");
    assert!(one_way.is_cut(0, 1) && one_way.is_cut(1, 0) && !one_way.is_cut(2, 1));
    let cut_off = joined([[0, 10, 0], [10, 0, 10], [0, 10, 0]]);
    assert!((0..3).all(|z| cut_off.finding(z) == Finding::Healthy), "it is well for its own clients");
    assert!(cut_off.is_cut(0, 1) && cut_off.is_cut(2, 1) && cut_off.is_cut(1, 0) && !cut_off.is_cut(1, 1));
    let half = joined([[0, 5, 0], [0, 5, 0], [0, 5, 0]]);
    assert_eq!(half.finding(1), Finding::Degraded);
    assert_eq!(half.well(1), 5.0);
}

#[test]
fn one_sick_copy_is_named_and_changes_nothing() {
    let mut words = EvidenceTable::new(2);
    for copy in 0..3 {
        let silent = if copy == 2 { 10 } else { 0 };
        let replica_counts = vec![row(10 - silent, silent); 2];
        words.record(
            Timestamp::default(),
            at(copy),
            1,
            EvidenceReport { zone: 0, sequence: 1, replica_counts, demand: 1, nodes: 3 },
        );
    }
    let matrix = words.matrix(Timestamp::default());
    assert_eq!(matrix.sick, [at(2)]);
    assert_eq!(matrix.finding(1), Finding::Healthy);
    assert_eq!(matrix.reporters(0), 2);
}

#[test]
fn all_copies_of_a_zone_alone_with_dead_replicas_are_heard() {
    // Of the copies of zone 1 all see their own replicas dead, and the others' well.
    let matrix = joined([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
    assert_eq!((matrix.finding(1), matrix.reporters(1)), (Finding::Dead, 3));
    // The other way round: its replicas are well, and none of its copies speaks.
    let mut words = EvidenceTable::new(2);
    words.record(
        Timestamp::default(),
        at(1),
        1,
        EvidenceReport { zone: 0, sequence: 1, replica_counts: vec![row(9, 0); 2], demand: 1, nodes: 1 },
    );
    let matrix = words.matrix(Timestamp::default());
    assert_eq!((matrix.finding(1), matrix.reporters(1)), (Finding::Healthy, 0));
}

#[test]
fn a_slow_zone_is_no_dead_one() {
    let mut words = EvidenceTable::new(2);
    let slow = ReplicaCounts { listed: 10, saturated: 9, answering: 1, ..ReplicaCounts::default() };
    words.record(
        Timestamp::default(),
        at(1),
        1,
        EvidenceReport { zone: 0, sequence: 1, replica_counts: vec![row(9, 0), slow], demand: 1, nodes: 1 },
    );
    assert_eq!(words.matrix(Timestamp::default()).finding(1), Finding::Slow);
}

#[test]
fn old_and_impossible_words_do_not_count() {
    let mut words = EvidenceTable::new(2);
    let word = |sequence, good| EvidenceReport {
        zone: 0,
        sequence,
        replica_counts: vec![row(good, 0); 2],
        demand: 5,
        nodes: 1,
    };
    assert!(words.record(Timestamp::default(), at(1), 1, word(2, 9)));
    assert!(words.record(Timestamp::default(), at(1), 1, word(1, 3)), "overtaken, left");
    assert_eq!(words.matrix(Timestamp::default()).well(1), 9.0);
    assert!(words.record(Timestamp::default(), at(1), 2, word(1, 4)), "another process");
    assert_eq!(words.matrix(Timestamp::default()).well(1), 4.0);
    assert!(!words.record(Timestamp::default(), at(2), 1, EvidenceReport { zone: 7, ..word(1, 1) }));
    assert!(!words.record(
        Timestamp::default(),
        at(2),
        1,
        EvidenceReport { replica_counts: vec![], ..word(1, 1) }
    ));
    let over = ReplicaCounts { listed: 1, answering: 5, ..ReplicaCounts::default() };
    assert!(!words.record(
        Timestamp::default(),
        at(2),
        1,
        EvidenceReport { replica_counts: vec![over; 2], ..word(1, 1) }
    ));
    let later = Timestamp::default() + REPORT_LIFETIME + TimeSpan::from_millis(1);
    assert_eq!(words.matrix(later).finding(1), Finding::Unknown);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever fewer than half of a zone's copies say, the findings on zones stay what the others make them.
    #[test]
    fn a_minority_of_liars_changes_no_finding(lies in proptest::collection::vec((0u16..10, 0u16..10), 6)) {
        let honest = joined([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
        let mut words = EvidenceTable::new(3);
        for zone in 0..3u16 {
            for copy in 0..5u16 {
                let replica_counts = (0..3).map(|z| match (copy, z) {
                    (0 | 1, z) => { let (g, s) = lies[usize::from(copy) * 3 + z]; row(g, s) }
                    (_, 1) => row(0, 10),
                    _ => row(10, 0),
                }).collect();
                words.record(Timestamp::default(), at(zone * 10 + copy), 1, EvidenceReport { zone, sequence: 1, replica_counts, demand: 1, nodes: 5 });
            }
        }
        let matrix = words.matrix(Timestamp::default());
        for zone in 0..3 {
            prop_assert_eq!(matrix.finding(zone), honest.finding(zone));
        }
    }

    /// As many speak as should, whatever the number of copies.
    #[test]
    fn so_many_speak(nodes in 1u16..40) {
        let all: Vec<_> = (0..nodes).map(|n| crate::peer::Peer { address: at(n), instance: 3, zone: 0 }).collect();
        let speaking = all.iter().filter(|p| is_reporter(p, all.iter().cloned())).count();
        prop_assert_eq!(speaking, usize::from(nodes).min(REPORTERS_PER_ZONE));
    }
}
