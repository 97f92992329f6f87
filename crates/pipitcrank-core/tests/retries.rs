//! Retries and hedged requests.

mod helper;

use helper::driver::{dispatch_at, end_attempt, listed_coordinator, start_query};
use helper::{Action, at};
use pipitcrank_core::ids::{AttemptOutcome, PartId};

#[test]
fn a_failed_part_is_retried_at_a_holder_not_yet_attempted() {
    let (mut coordinator, mut output) = listed_coordinator(5);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let first = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    let retries = end_attempt(&mut coordinator, 5, PartId(0), 0, AttemptOutcome::Fault).attempts();
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].1, first);
}

#[test]
fn query_with_sent_parts_is_not_rejected_for_a_waiting_part() {
    let (mut coordinator, mut output) = listed_coordinator(2);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[0, 3]);
    assert_eq!(dispatch_at(&mut coordinator, 0).attempts().len(), 2);
    let mut seen = end_attempt(&mut coordinator, 390, PartId(0), 0, AttemptOutcome::NoCapacity).0;
    seen.extend(helper::advance_to(&mut coordinator, &output.0, at(400)).0);
    assert!(!seen.iter().any(|a| matches!(a, Action::Reject(_) | Action::Abort(_))), "{seen:?}");
}

#[test]
fn overdue_part_is_hedged_after_replica_release() {
    // A part may refer to a replica that is no longer listed and has been released. Looking up that replica
    // used to panic.
    let (mut coordinator, mut output) = listed_coordinator(4);
    start_query(&mut coordinator, &mut output, 0, 0, 0, &[2]);
    let first = dispatch_at(&mut coordinator, 0).attempts()[0].1;
    coordinator.begin_endpoint_list(false);
    coordinator.list_replica(first, first.0, false, None);
    coordinator.finish_endpoint_list(&mut output);
    let mut after = end_attempt(&mut coordinator, 5, PartId(0), 0, AttemptOutcome::Fault);
    assert!(after.0.contains(&Action::ReleaseReplica(first)));
    assert_eq!(after.attempts().len(), 1);
    after.0.extend(output.0);
    let hedged_attempts = helper::advance_to(&mut coordinator, &after.0, at(1400)).attempts().len();
    assert_eq!(hedged_attempts, 1, "the last holder is attempted once the second attempt is overdue");
}

#[test]
fn last_unanswered_parts_are_hedged_early() {
    // See docs/incidents/id3caa8.md: queries with all but one or two parts answered waited until their
    // clients closed the connection.
    for (answered, hedged) in [(9, 1), (5, 0)] {
        let (mut coordinator, mut output) = listed_coordinator(3);
        start_query(&mut coordinator, &mut output, 0, 0, 0, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        assert_eq!(dispatch_at(&mut coordinator, 0).attempts().len(), 10);
        for part in 0..answered {
            end_attempt(&mut coordinator, 10, PartId(part), 0, AttemptOutcome::Success);
        }
        let sent = helper::advance_to(&mut coordinator, &output.0, at(550)).attempts().len();
        assert_eq!(sent, hedged, "with {answered} of ten answered");
    }
}
