//! Ejection of outliers, silence, and lag.

mod helper;

use helper::driver::{
    coordinator_of_single_holders, coordinator_with_history, count_sent_to, dispatch_at, end_attempt,
    listed_coordinator, start_query,
};
use helper::{Action, RecordedOutput, Setup, at, list_replicas};
use pipitcrank_core::coordinator::Coordinator;
use pipitcrank_core::ids::{AttemptOutcome, PartId, ReplicaId};

#[test]
fn an_outlier_is_ejected_for_a_second() {
    let (mut coordinator, mut output) = listed_coordinator(6);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let bad = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    end_attempt(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::Unreachable);
    let times: Vec<i64> = (1..20).map(|n| 10 + n * 20).collect();
    assert_eq!(
        count_sent_to(&mut coordinator, &mut output, bad, &times),
        0,
        "nothing before the wait is over"
    );
    start_query(&mut coordinator, &mut output, 1010, 0, 500, &[2]);
    let attempts = dispatch_at(&mut coordinator, 1010).attempts();
    assert!(attempts.iter().any(|c| c.1 == bad), "it has the fewest attempts out: {attempts:?}");
}

#[test]
fn a_replica_without_capacity_is_left_to_drain() {
    // See docs/incidents/i695bd0.md: rejected parts went straight on to the next full replica.
    let (mut coordinator, mut output) = listed_coordinator(8);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let full = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    end_attempt(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::NoCapacity);
    assert_eq!(count_sent_to(&mut coordinator, &mut output, full, &[100; 9]), 0);
}

#[test]
fn one_disconnect_does_not_eject_a_replica_but_constant_ones_do() {
    // Replicas that close connections after an answer were ejected by turns, and the other holders got all work.
    let (mut coordinator, mut output) = listed_coordinator(6);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let cuts = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    end_attempt(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::Disconnected);
    let times: Vec<i64> = (1..20).map(|n| 10 + n * 20).collect();
    assert!(count_sent_to(&mut coordinator, &mut output, cuts, &times) > 0, "one disconnect is no fault");
    let ((mut coordinator, mut output), mut sent, mut last) = (listed_coordinator(6), 0, 0);
    for n in 0..120 {
        let t = n * 5;
        start_query(&mut coordinator, &mut output, t, 3, 0, &[2]);
        let to = dispatch_at(&mut coordinator, t).attempts()[0].1;
        end_attempt(
            &mut coordinator,
            t + 1,
            PartId(0),
            0,
            if to == cuts { AttemptOutcome::Disconnected } else { AttemptOutcome::Success },
        );
        (sent, last) = if to == cuts { (sent + 1, n) } else { (sent, last) };
    }
    assert!(sent >= 8 && last < 110, "ejected in the end: {sent} sent, the last as number {last}");
}

/// A coordinator that may probe; a query of shard 2 has sent its probes, one to each holder.
fn probing(seed: u64) -> (Coordinator, RecordedOutput) {
    let (mut coordinator, mut output) =
        (Setup { may_probe: true, ..Setup::with_seed(seed) }.build(), RecordedOutput::default());
    list_replicas(&mut coordinator, &mut output, &[]);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let first = dispatch_at(&mut coordinator, 0);
    assert_eq!(first.0[..3], [2, 3, 4].map(|l| Action::SendLoadProbe(ReplicaId(l))), "{:?}", first.0);
    assert_eq!(first.attempts(), [], "it waits for the reports");
    output.0.extend(first.0);
    (coordinator, output)
}

#[test]
fn a_replica_silent_to_a_probe_is_no_candidate() {
    // See docs/incidents/i052771.md: a tenth of the replicas was silent, and every query of 75 parts had some there.
    for seed in 0..20 {
        let (mut coordinator, output) = probing(seed);
        coordinator.load_probe_ended(at(5), ReplicaId(2), AttemptOutcome::Success);
        coordinator.load_probe_ended(at(5), ReplicaId(4), AttemptOutcome::Success);
        let attempts = helper::advance_to(&mut coordinator, &output.0, at(30)).attempts();
        assert!(attempts.len() == 1 && attempts[0].1 != ReplicaId(3), "{attempts:?}");
    }
}

#[test]
fn a_replica_that_reports_a_long_queue_is_no_candidate() {
    // See docs/incidents/i263f35.md: no co-ordinator saw the queues that 87 others had caused.
    for seed in 0..20 {
        let (mut coordinator, _) = probing(seed);
        for (replica, held) in [(2, 9.0), (3, 0.0), (4, 8.0)] {
            coordinator.load_report(at(5), ReplicaId(replica), Some(held), None);
            coordinator.load_probe_ended(at(5), ReplicaId(replica), AttemptOutcome::Success);
        }
        let attempts = dispatch_at(&mut coordinator, 5).attempts();
        assert_eq!(attempts, [(PartId(0), ReplicaId(3))]);
    }
}

#[test]
fn a_lag_of_the_past_does_not_keep_replicas_idle() {
    // See docs/incidents/ie11df8.md: replicas were idle because of answers that were late seconds before.
    let (mut coordinator, mut output) = coordinator_with_history(12);
    let shards: Vec<u32> = (0..6).collect();
    for n in 0..4 {
        start_query(&mut coordinator, &mut output, n * 10, 0, n as u32 * 10, &shards);
        dispatch_at(&mut coordinator, n * 10);
    }
    for n in 0..4 {
        for part in 0..6 {
            end_attempt(&mut coordinator, 2800, PartId(n * 10 + part), 0, AttemptOutcome::Success);
        }
    }
    start_query(&mut coordinator, &mut output, 2800, 0, 50, &shards);
    assert_eq!(dispatch_at(&mut coordinator, 2800).attempts(), [], "just after, every replica has a lag");
    start_query(&mut coordinator, &mut output, 5600, 0, 60, &shards);
    let attempts = dispatch_at(&mut coordinator, 5600).attempts();
    assert!(attempts.iter().filter(|c| c.0.0 >= 60).count() == 6, "{attempts:?}");
}

#[test]
fn a_replica_without_recent_answers_has_the_usual_lag() {
    // A co-ordinator of a large fleet contacts a replica once in half a minute; see docs/incidents/i4a20e0.md.
    let (mut coordinator, mut output) = coordinator_of_single_holders(40);
    let shards: Vec<u32> = (0..39).collect();
    start_query(&mut coordinator, &mut output, 0, 0, 0, &shards);
    dispatch_at(&mut coordinator, 0);
    for part in 0..39 {
        end_attempt(
            &mut coordinator,
            if part == 0 { 10 } else { 2500 },
            PartId(part),
            0,
            AttemptOutcome::Success,
        );
    }
    start_query(&mut coordinator, &mut output, 2510, 0, 50, &[39]);
    assert_eq!(dispatch_at(&mut coordinator, 2510).attempts(), [], "not while the others have just lagged");
    start_query(&mut coordinator, &mut output, 6000, 0, 60, &[39]);
    assert!(
        dispatch_at(&mut coordinator, 6000).attempts().contains(&(PartId(60), ReplicaId(39))),
        "the lag has drained"
    );
}
