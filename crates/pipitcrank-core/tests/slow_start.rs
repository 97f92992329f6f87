//! Slow start as decided by a single co-ordinator.

mod helper;

use std::collections::{BTreeMap, BTreeSet};

use helper::driver::{dispatch_at, end_attempt, start_query};
use helper::{RecordedOutput, Setup, at, list_replicas};
use pipitcrank_core::ids::{AttemptOutcome, PartId, ReplicaId};

#[test]
fn one_part_per_window_in_slow_start_without_estimates() {
    let (mut coordinator, mut output) = (Setup::with_seed(9).build(), RecordedOutput::default());
    list_replicas(&mut coordinator, &mut output, &[(2, at(0)), (3, at(0)), (4, at(0))]);
    for n in 0..6 {
        start_query(&mut coordinator, &mut output, 10, 0, n * 10, &[2]);
    }
    let attempts = dispatch_at(&mut coordinator, 10).attempts();
    let to: BTreeSet<ReplicaId> = attempts.iter().map(|c| c.1).collect();
    assert_eq!((attempts.len(), to.len()), (3, 3), "{attempts:?}");
}

/// When each of 300 co-ordinators sent one part per window, 178 parts were sent within a second and the
/// replica failed. A replica with one worker can sustain 12 of these parts per window. Each query needs two
/// replicas, both of them in slow start.
#[test]
fn few_of_many_coordinators_send_in_slow_start() {
    check_few_coordinators_send(false);
}

/// Checks the same limit for co-ordinators that received answers before. All of them sent when the random
/// threshold was applied only without earlier throughput.
#[test]
fn few_of_many_coordinators_send_in_slow_start_after_answers() {
    check_few_coordinators_send(true);
}

fn check_few_coordinators_send(has_history: bool) {
    let (mut sent_queries, mut most) = (0, BTreeMap::new());
    for seed in 0..300 {
        let (mut coordinator, mut output) =
            (Setup { coordinators: 300, ..Setup::with_seed(seed) }.build(), RecordedOutput::default());
        if has_history {
            list_replicas(&mut coordinator, &mut output, &[]);
            start_query(&mut coordinator, &mut output, 0, 0, 100, &[0, 3]);
            dispatch_at(&mut coordinator, 0);
            // The answers take the initial estimate of the work of a part plus the cost of a call.
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
        sent_queries += usize::from(attempts.len() == 2);
        assert!(attempts.is_empty() || attempts.len() == 2, "the query is sent in part");
        attempts.into_iter().for_each(|(_, replica)| *most.entry(replica).or_insert(0) += 1);
    }
    assert!(most.values().all(|&n| n <= 20), "more than 12 + 2 sqrt(12) + 2 parts: {most:?}");
    assert!(sent_queries >= 3, "too few queries were sent: {sent_queries}");
}
