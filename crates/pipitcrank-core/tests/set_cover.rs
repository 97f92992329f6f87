//! Set cover: selection of the replicas that the parts of a query are sent to.

mod helper;

use std::collections::BTreeSet;

use helper::driver::{
    coordinator_of_single_holders, coordinator_with_history, dispatch_at, end_attempt, listed_coordinator,
    start_query,
};
use helper::{Action, RecordedOutput, Setup, at};
use pipitcrank_core::ids::{AttemptOutcome, PartId, QueryId, ReplicaId};

#[test]
fn candidates_are_the_holders_of_the_drawn_shard() {
    for seed in 0..50 {
        let (mut coordinator, mut output) = listed_coordinator(seed);
        start_query(&mut coordinator, &mut output, 0, 0, 0, &[4]);
        let attempts = dispatch_at(&mut coordinator, 0).attempts();
        assert_eq!(attempts.len(), 1);
        assert!([4, 5, 0].contains(&attempts[0].1.0), "{attempts:?}");
    }
}

#[test]
fn bundles_within_one_part_of_the_best_are_near_ties() {
    // Of shards 0 to 2, replica 2 holds all, replicas 1 and 3 hold two, and replicas 0 and 4 hold one.
    // Whichever shard is drawn, two or three parts go to one replica, and replica 0 or 4 only gets what is
    // left after that.
    let (mut single, mut split) = (0, 0);
    for seed in 0..200 {
        let (mut coordinator, mut output) = coordinator_with_history(seed);
        start_query(&mut coordinator, &mut output, 0, 0, 0, &[0, 1, 2]);
        let attempts = dispatch_at(&mut coordinator, 0).attempts();
        assert_eq!(attempts.len(), 3, "each part is sent once");
        let most = (0..6).map(|l| attempts.iter().filter(|c| c.1 == ReplicaId(l)).count()).max().unwrap();
        assert!(most >= 2, "{attempts:?}");
        if most == 3 { single += 1 } else { split += 1 }
    }
    assert!(single > 50 && split > 50, "both near-ties occur: {single} and {split}");
}

#[test]
fn rounds_per_pass_are_limited() {
    let (mut coordinator, mut output) = coordinator_of_single_holders(160);
    let shards: Vec<u32> = (0..160).collect();
    start_query(&mut coordinator, &mut output, 0, 0, 0, &shards);
    let first = dispatch_at(&mut coordinator, 0).attempts();
    let second = dispatch_at(&mut coordinator, 5).attempts();
    assert_eq!((first.len(), second.len()), (128, 32));
    let all: BTreeSet<PartId> = first.into_iter().chain(second).map(|c| c.0).collect();
    assert_eq!(all.len(), 160);
}

#[test]
fn among_near_ties_the_fewest_outstanding_calls_decide() {
    for seed in 0..50 {
        let (mut coordinator, mut output) = listed_coordinator(seed);
        // Each further query goes to a replica without an outstanding call.
        start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
        let first = dispatch_at(&mut coordinator, 0).attempts()[0].1;
        start_query(&mut coordinator, &mut output, 1, 0, 10, &[2]);
        let second = dispatch_at(&mut coordinator, 1).attempts()[0].1;
        start_query(&mut coordinator, &mut output, 2, 0, 20, &[2]);
        let third = dispatch_at(&mut coordinator, 2).attempts()[0].1;
        assert_eq!(
            BTreeSet::from([first, second, third]),
            BTreeSet::from([ReplicaId(2), ReplicaId(3), ReplicaId(4)])
        );
    }
}

#[test]
fn many_parts_are_spread_over_their_holders() {
    // Without the cut, two of six replicas would have received six parts each and delayed the query.
    let (mut coordinator, mut output) = listed_coordinator(3);
    let shards: Vec<u32> = (0..12).collect();
    start_query(&mut coordinator, &mut output, 0, 0, 0, &shards);
    let attempts = dispatch_at(&mut coordinator, 0).attempts();
    assert_eq!(attempts.len(), 12);
    let most = (0..6).map(|l| attempts.iter().filter(|c| c.1 == ReplicaId(l)).count()).max();
    assert!(most <= Some(4), "{attempts:?}");
}

#[test]
fn a_query_without_a_holder_is_rejected_before_any_attempt() {
    let (mut coordinator, mut output) = (Setup::with_seed(1).build(), RecordedOutput::default());
    coordinator.begin_endpoint_list(true);
    coordinator.list_replica(ReplicaId(0), 0, true, None);
    coordinator.finish_endpoint_list(&mut output);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[0, 3]);
    assert_eq!(
        dispatch_at(&mut coordinator, 0).attempts(),
        [],
        "one shard has no holder, so nothing is sent"
    );
    let late = helper::advance_to(&mut coordinator, &output.0, at(200));
    assert!(late.0.contains(&Action::Reject(QueryId(0))), "{:?}", late.0);
}

#[test]
fn only_required_parts_are_sent_to_busy_replicas() {
    // Queries of 200 parts that allow partial answers filled the one good holder of each shard whose other
    // holder was stalled. Three of four queries that need every part were rejected without being sent.
    for (class, is_sent) in [(1, false), (0, true)] {
        let (mut coordinator, mut output) = listed_coordinator(3);
        // Each holder of shard 2 gets an attempt, which takes a sixth of the objective.
        for n in 0..3 {
            start_query(&mut coordinator, &mut output, n, 2, n as u32, &[2]);
            dispatch_at(&mut coordinator, n);
        }
        start_query(&mut coordinator, &mut output, 100, class, 50, &[2, 5, 0]);
        let attempts = dispatch_at(&mut coordinator, 100).attempts();
        assert_eq!(attempts.iter().any(|c| c.0 == PartId(50)), is_sent, "{attempts:?}");
        assert!(attempts.iter().any(|c| c.0 == PartId(51)), "parts with idle holders are sent: {attempts:?}");
    }
}

#[test]
fn only_queued_work_is_bounded() {
    // A bound on all work, including the query's own, kept queries with long parts from ever being sent.
    let (mut coordinator, mut output) = listed_coordinator(3);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    dispatch_at(&mut coordinator, 0);
    // The part takes more than a fifth of the objective, and there are no other queries.
    end_attempt(&mut coordinator, 330, PartId(0), 0, AttemptOutcome::Success);
    for n in 1..20 {
        let t = n * 5000;
        start_query(&mut coordinator, &mut output, t, 0, 0, &[2]);
        assert_eq!(dispatch_at(&mut coordinator, t).attempts().len(), 1, "query {n}");
        end_attempt(&mut coordinator, t + 330, PartId(0), 0, AttemptOutcome::Success);
    }
}
