//! Slow start, as one co-ordinator decides it.

mod helper;

use std::collections::{BTreeMap, BTreeSet};

use helper::driver::{dispatch_at, end_attempt, start_query};
use helper::{RecordedOutput, Setup, at, list_replicas};
use pipitcrank_core::ids::{AttemptOutcome, PartId, ReplicaId};

#[test]
fn a_replica_warming_up_gets_one_part_a_window_until_more_is_known() {
    let (mut coordinator, mut output) = (Setup::with_seed(9).build(), RecordedOutput::default());
    list_replicas(&mut coordinator, &mut output, &[(2, at(0)), (3, at(0)), (4, at(0))]);
    for n in 0..6 {
        start_query(&mut coordinator, &mut output, 10, 0, n * 10, &[2]);
    }
    let attempts = dispatch_at(&mut coordinator, 10).attempts();
    let to: BTreeSet<ReplicaId> = attempts.iter().map(|c| c.1).collect();
    assert_eq!((attempts.len(), to.len()), (3, 3), "{attempts:?}");
}

/// When each of 300 co-ordinators sent one part a window, 178 went in a second and the replica failed. A replica with one
/// worker bears 12 of these parts in the window; each query needs two replicas, both of them warming up.
#[test]
fn of_hundreds_of_coordinators_few_send_to_replicas_warming_up_and_those_whole_queries() {
    check_that_few_send(false);
}

/// The same of co-ordinators that have had answers before: with a threshold only where nothing was carried, all sent.
#[test]
fn few_send_to_replicas_warming_up_also_where_work_was_carried_before() {
    check_that_few_send(true);
}

fn check_that_few_send(served_before: bool) {
    let (mut whole, mut most) = (0, BTreeMap::new());
    for seed in 0..300 {
        let (mut coordinator, mut output) =
            (Setup { coordinators: 300, ..Setup::with_seed(seed) }.build(), RecordedOutput::default());
        if served_before {
            list_replicas(&mut coordinator, &mut output, &[]);
            start_query(&mut coordinator, &mut output, 0, 0, 100, &[0, 3]);
            dispatch_at(&mut coordinator, 0);
            // The initial estimate of the work of a part, and the call's cost.
            for part in [100, 101] {
                end_attempt(&mut coordinator, 150, PartId(part), 0, AttemptOutcome::Success);
            }
        }
        list_replicas(
            &mut coordinator,
            &mut output,
            &(0..6).map(|replica| (replica, at(150))).collect::<Vec<_>>(),
        );
        start_query(&mut coordinator, &mut output, 160, 0, 0, &[0, 3]);
        let attempts = dispatch_at(&mut coordinator, 160).attempts();
        whole += usize::from(attempts.len() == 2);
        assert!(attempts.is_empty() || attempts.len() == 2, "the whole query or nothing");
        attempts.into_iter().for_each(|(_, replica)| *most.entry(replica).or_insert(0) += 1);
    }
    assert!(most.values().all(|&n| n <= 20), "12 and what is chance, 2 sqrt(12) + 2: {most:?}");
    assert!(whole >= 3, "some send all the same: {whole}");
}
