//! Ejection of outliers, unresponsive replicas, and lag.

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
        "nothing is sent during the ejection"
    );
    start_query(&mut coordinator, &mut output, 1010, 0, 500, &[2]);
    let attempts = dispatch_at(&mut coordinator, 1010).attempts();
    assert!(
        attempts.iter().any(|c| c.1 == bad),
        "the replica has the fewest outstanding attempts: {attempts:?}"
    );
}

#[test]
fn replica_without_capacity_gets_no_parts_while_it_drains() {
    // See docs/incidents/i695bd0.md: rejected parts moved straight on to the next full replica.
    let (mut coordinator, mut output) = listed_coordinator(8);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let full = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    end_attempt(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::NoCapacity);
    assert_eq!(count_sent_to(&mut coordinator, &mut output, full, &[100; 9]), 0);
}

#[test]
fn only_repeated_disconnects_eject_a_replica() {
    // Replicas that close connections after an answer were ejected in turn, and the other holders received
    // all work.
    let (mut coordinator, mut output) = listed_coordinator(6);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let disconnecting = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    end_attempt(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::Disconnected);
    let times: Vec<i64> = (1..20).map(|n| 10 + n * 20).collect();
    assert!(
        count_sent_to(&mut coordinator, &mut output, disconnecting, &times) > 0,
        "one disconnect does not eject"
    );
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
            if to == disconnecting { AttemptOutcome::Disconnected } else { AttemptOutcome::Success },
        );
        (sent, last) = if to == disconnecting { (sent + 1, n) } else { (sent, last) };
    }
    assert!(sent >= 8 && last < 110, "not ejected: {sent} attempts sent, the last for query {last}");
}

/// A co-ordinator with load probes enabled, after a query of shard 2 has sent one probe to each holder.
fn coordinator_with_probes_sent(seed: u64) -> (Coordinator, RecordedOutput) {
    let (mut coordinator, mut output) =
        (Setup { may_probe: true, ..Setup::with_seed(seed) }.build(), RecordedOutput::default());
    list_replicas(&mut coordinator, &mut output, &[]);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let first = dispatch_at(&mut coordinator, 0);
    assert_eq!(first.0[..3], [2, 3, 4].map(|l| Action::SendLoadProbe(ReplicaId(l))), "{:?}", first.0);
    assert_eq!(first.attempts(), [], "the query waits for load reports");
    output.0.extend(first.0);
    (coordinator, output)
}

#[test]
fn replica_with_timed_out_probe_is_not_a_candidate() {
    // See docs/incidents/i052771.md: a tenth of the replicas did not respond, and every query of 75 parts had
    // some parts there.
    for seed in 0..20 {
        let (mut coordinator, output) = coordinator_with_probes_sent(seed);
        coordinator.load_probe_ended(at(5), ReplicaId(2), AttemptOutcome::Success);
        coordinator.load_probe_ended(at(5), ReplicaId(4), AttemptOutcome::Success);
        let attempts = helper::advance_to(&mut coordinator, &output.0, at(30)).attempts();
        assert!(attempts.len() == 1 && attempts[0].1 != ReplicaId(3), "{attempts:?}");
    }
}

#[test]
fn replica_with_long_reported_queue_is_not_a_candidate() {
    // See docs/incidents/i263f35.md: no co-ordinator observed the queues caused by 87 others.
    for seed in 0..20 {
        let (mut coordinator, _) = coordinator_with_probes_sent(seed);
        for (replica, held) in [(2, 9.0), (3, 0.0), (4, 8.0)] {
            coordinator.load_report(at(5), ReplicaId(replica), Some(held), None);
            coordinator.load_probe_ended(at(5), ReplicaId(replica), AttemptOutcome::Success);
        }
        let attempts = dispatch_at(&mut coordinator, 5).attempts();
        assert_eq!(attempts, [(PartId(0), ReplicaId(3))]);
    }
}

#[test]
fn old_lag_does_not_keep_replicas_idle() {
    // See docs/incidents/ie11df8.md: replicas were idle because of answers that had been late seconds before.
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
    assert_eq!(dispatch_at(&mut coordinator, 2800).attempts(), [], "late answers give every replica a lag");
    start_query(&mut coordinator, &mut output, 5600, 0, 60, &shards);
    let attempts = dispatch_at(&mut coordinator, 5600).attempts();
    assert!(attempts.iter().filter(|c| c.0.0 >= 60).count() == 6, "{attempts:?}");
}

#[test]
fn replica_without_recent_answers_has_typical_lag() {
    // In a large fleet a co-ordinator contacts each replica about once in 30 s; see
    // docs/incidents/i4a20e0.md.
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
    assert_eq!(
        dispatch_at(&mut coordinator, 2510).attempts(),
        [],
        "nothing is sent while the typical lag is high"
    );
    start_query(&mut coordinator, &mut output, 6000, 0, 60, &[39]);
    assert!(
        dispatch_at(&mut coordinator, 6000).attempts().contains(&(PartId(60), ReplicaId(39))),
        "the typical lag has decreased"
    );
}
