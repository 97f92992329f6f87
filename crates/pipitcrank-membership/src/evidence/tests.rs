use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use proptest::prelude::*;

use super::*;

fn at(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn counts(responsive: u16, unresponsive: u16) -> ReplicaCounts {
    ReplicaCounts { listed: responsive + unresponsive, responsive, unresponsive, ..ReplicaCounts::default() }
}

/// Builds a matrix from three nodes per zone. `silent[from][to]` of ten replicas of zone `to` are silent as
/// observed from zone `from`.
fn matrix_of(silent: [[u16; 3]; 3]) -> EvidenceMatrix {
    let mut table = EvidenceTable::new(3);
    for zone in 0..3u16 {
        for node in 0..3 {
            let replica_counts = silent[usize::from(zone)].iter().map(|&s| counts(10 - s, s)).collect();
            let report = EvidenceReport { zone, sequence: 1, replica_counts, demand: 10, nodes: 3 };
            assert!(table.record(Timestamp::default(), at(zone * 10 + node), 1, report));
        }
    }
    table.matrix(Timestamp::default())
}

#[test]
fn four_faults_are_distinguished() {
    let healthy = matrix_of([[0, 0, 0], [0, 0, 0], [0, 0, 0]]);
    assert!((0..3).all(|z| healthy.zone_health(z) == ZoneHealth::Healthy));
    assert_eq!(healthy.demand, [30.0, 30.0, 30.0]);
    let dead = matrix_of([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
    assert_eq!(
        [0, 1, 2].map(|z| dead.zone_health(z)),
        [ZoneHealth::Healthy, ZoneHealth::Dead, ZoneHealth::Healthy]
    );
    let one_way = matrix_of([[0, 10, 0], [10, 0, 0], [0, 0, 0]]);
    assert!((0..3).all(|z| one_way.zone_health(z) == ZoneHealth::Healthy), "the third zone reaches both");
    assert!(one_way.is_path_cut(0, 1) && one_way.is_path_cut(1, 0) && !one_way.is_path_cut(2, 1));
    let cut_off = matrix_of([[0, 10, 0], [10, 0, 10], [0, 10, 0]]);
    assert!(
        (0..3).all(|z| cut_off.zone_health(z) == ZoneHealth::Healthy),
        "the zone is healthy for its own clients"
    );
    assert!(
        cut_off.is_path_cut(0, 1)
            && cut_off.is_path_cut(2, 1)
            && cut_off.is_path_cut(1, 0)
            && !cut_off.is_path_cut(1, 1)
    );
    let half = matrix_of([[0, 5, 0], [0, 5, 0], [0, 5, 0]]);
    assert_eq!(half.zone_health(1), ZoneHealth::Degraded);
    assert_eq!(half.healthy_replicas(1), 5.0);
}

#[test]
fn one_isolated_reporter_is_named_and_changes_nothing() {
    let mut table = EvidenceTable::new(2);
    for node in 0..3 {
        let silent = if node == 2 { 10 } else { 0 };
        let replica_counts = vec![counts(10 - silent, silent); 2];
        table.record(
            Timestamp::default(),
            at(node),
            1,
            EvidenceReport { zone: 0, sequence: 1, replica_counts, demand: 1, nodes: 3 },
        );
    }
    let matrix = table.matrix(Timestamp::default());
    assert_eq!(matrix.isolated_reporters, [at(2)]);
    assert_eq!(matrix.zone_health(1), ZoneHealth::Healthy);
    assert_eq!(matrix.reporters(0), 2);
}

#[test]
fn reporters_of_a_zone_with_dead_replicas_are_counted() {
    // All nodes observe the replicas of zone 1 as dead and all others as healthy; the nodes of zone 1 report.
    let matrix = matrix_of([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
    assert_eq!((matrix.zone_health(1), matrix.reporters(1)), (ZoneHealth::Dead, 3));
    // The opposite case: the replicas of zone 1 are healthy, and none of its nodes reports.
    let mut table = EvidenceTable::new(2);
    table.record(
        Timestamp::default(),
        at(1),
        1,
        EvidenceReport { zone: 0, sequence: 1, replica_counts: vec![counts(9, 0); 2], demand: 1, nodes: 1 },
    );
    let matrix = table.matrix(Timestamp::default());
    assert_eq!((matrix.zone_health(1), matrix.reporters(1)), (ZoneHealth::Healthy, 0));
}

#[test]
fn a_slow_zone_is_not_a_dead_one() {
    let mut table = EvidenceTable::new(2);
    let slow = ReplicaCounts { listed: 10, saturated: 9, responsive: 1, ..ReplicaCounts::default() };
    table.record(
        Timestamp::default(),
        at(1),
        1,
        EvidenceReport {
            zone: 0,
            sequence: 1,
            replica_counts: vec![counts(9, 0), slow],
            demand: 1,
            nodes: 1,
        },
    );
    assert_eq!(table.matrix(Timestamp::default()).zone_health(1), ZoneHealth::Slow);
}

#[test]
fn old_and_invalid_reports_do_not_count() {
    let mut table = EvidenceTable::new(2);
    let report = |sequence, responsive| EvidenceReport {
        zone: 0,
        sequence,
        replica_counts: vec![counts(responsive, 0); 2],
        demand: 5,
        nodes: 1,
    };
    assert!(table.record(Timestamp::default(), at(1), 1, report(2, 9)));
    assert!(table.record(Timestamp::default(), at(1), 1, report(1, 3)), "an overtaken report is ignored");
    assert_eq!(table.matrix(Timestamp::default()).healthy_replicas(1), 9.0);
    assert!(
        table.record(Timestamp::default(), at(1), 2, report(1, 4)),
        "a new process starts a new sequence"
    );
    assert_eq!(table.matrix(Timestamp::default()).healthy_replicas(1), 4.0);
    assert!(!table.record(Timestamp::default(), at(2), 1, EvidenceReport { zone: 7, ..report(1, 1) }));
    assert!(!table.record(
        Timestamp::default(),
        at(2),
        1,
        EvidenceReport { replica_counts: vec![], ..report(1, 1) }
    ));
    let over = ReplicaCounts { listed: 1, responsive: 5, ..ReplicaCounts::default() };
    assert!(!table.record(
        Timestamp::default(),
        at(2),
        1,
        EvidenceReport { replica_counts: vec![over; 2], ..report(1, 1) }
    ));
    let later = Timestamp::default() + REPORT_LIFETIME + TimeSpan::from_millis(1);
    assert_eq!(table.matrix(later).zone_health(1), ZoneHealth::Unknown);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Random false reports from two of the five reporters of each zone do not change the health of any zone.
    #[test]
    fn a_minority_of_false_reports_changes_no_zone_health(false_counts in proptest::collection::vec((0u16..10, 0u16..10), 6)) {
        let honest = matrix_of([[0, 10, 0], [0, 10, 0], [0, 10, 0]]);
        let mut table = EvidenceTable::new(3);
        for zone in 0..3u16 {
            for node in 0..5u16 {
                let replica_counts = (0..3).map(|z| match (node, z) {
                    (0 | 1, z) => { let (g, s) = false_counts[usize::from(node) * 3 + z]; counts(g, s) }
                    (_, 1) => counts(0, 10),
                    _ => counts(10, 0),
                }).collect();
                table.record(Timestamp::default(), at(zone * 10 + node), 1, EvidenceReport { zone, sequence: 1, replica_counts, demand: 1, nodes: 5 });
            }
        }
        let matrix = table.matrix(Timestamp::default());
        for zone in 0..3 {
            prop_assert_eq!(matrix.zone_health(zone), honest.zone_health(zone));
        }
    }

    /// The number of reporters is bounded whatever the size of the zone.
    #[test]
    fn the_number_of_reporters_is_bounded(nodes in 1u16..40) {
        let all: Vec<_> = (0..nodes).map(|n| crate::peer::Peer { address: at(n), instance: 3, zone: 0 }).collect();
        let reporting = all.iter().filter(|p| is_reporter(p, all.iter().cloned())).count();
        prop_assert_eq!(reporting, usize::from(nodes).min(REPORTERS_PER_ZONE));
    }
}
