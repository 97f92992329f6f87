//! Exact cases of the cover, and each failure found, as small as it goes.

mod helper;

use std::collections::{BTreeMap, BTreeSet};

use helper::{Act, Tape, at, coordinator, list, ms};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};

/// A query of request class `v` with one part a shard; part ids follow from `base`.
fn ask(coordinator: &mut Coordinator, tape: &mut Tape, t: i64, v: u16, base: u32, shards: &[u32]) {
    let n = shards.len() as f64;
    let query = NewQuery {
        id: QueryId(base),
        class: RequestClassId(v),
        time_left: ms(3000),
        work_hint: None,
        part_count: n,
    };
    coordinator.start_query(tape, at(t), query);
    for (i, &shard) in shards.iter().enumerate() {
        let part = NewPart {
            id: PartId(base + i as u32),
            query: QueryId(base),
            shard,
            weight: 1.0 / n,
            work_hint: None,
        };
        coordinator.add_part(tape, at(t), part);
    }
}

fn turned(coordinator: &mut Coordinator, t: i64) -> Tape {
    let mut tape = Tape::default();
    coordinator.dispatch(&mut tape, at(t));
    tape
}

fn fresh(seed: u64) -> (Coordinator, Tape) {
    let (mut coordinator, mut tape) = (coordinator(seed, 2, true), Tape::default());
    list(&mut coordinator, &mut tape, &[]);
    (coordinator, tape)
}

fn end(coordinator: &mut Coordinator, t: i64, part: PartId, nth: u32, outcome: AttemptOutcome) -> Tape {
    let mut tape = Tape::default();
    coordinator.attempt_ended(&mut tape, at(t), AttemptId { part, number: nth }, outcome);
    coordinator.dispatch(&mut tape, at(t));
    tape
}

/// Asks for shard 2 at each of the times, and counts what goes to the replica.
fn sent_to(coordinator: &mut Coordinator, tape: &mut Tape, replica: ReplicaId, times: &[i64]) -> usize {
    let mut count = 0;
    for (n, &t) in (1..).zip(times) {
        ask(coordinator, tape, t, 0, n * 10, &[2]);
        count += turned(coordinator, t).calls().iter().filter(|c| c.1 == replica).count();
    }
    count
}

#[test]
fn the_candidates_are_the_holders_of_the_random_shard() {
    for seed in 0..50 {
        let (mut coordinator, mut tape) = fresh(seed);
        ask(&mut coordinator, &mut tape, 0, 0, 0, &[4]);
        let calls = turned(&mut coordinator, 0).calls();
        assert_eq!(calls.len(), 1);
        assert!([4, 5, 0].contains(&calls[0].1.0), "{calls:?}");
    }
}

/// A root that has learned that parts are quick, so that no bundle is cut.
fn taught(seed: u64) -> (Coordinator, Tape) {
    let (mut coordinator, mut tape) = fresh(seed);
    for n in 0..80 {
        let t = n * 30 - 3000;
        ask(&mut coordinator, &mut tape, t, 0, 0, &[n as u32]);
        turned(&mut coordinator, t);
        end(&mut coordinator, t + 10, PartId(0), 0, AttemptOutcome::Success);
    }
    (coordinator, tape)
}

#[test]
fn after_a_move_the_replicas_carry_over_and_classes_only_by_name() {
    // Work learned of one deployment's request class was taken by another's in the same place (the move, 2026-12-01).
    let (mut old, _) = taught(3);
    let known = old.learned_state(at(0));
    let mut other = helper::coordinator_named(3, "w");
    let mut tape = Tape::default();
    list(&mut other, &mut tape, &[]);
    let before = other.learned_state(at(0));
    other.restore_learned_state(at(10), ms(10), known.clone());
    let after = other.learned_state(at(10));
    assert_eq!(after.classes, before.classes, "no vertical of the old names is here");
    assert_eq!(after.replicas.len(), known.replicas.len(), "the same leaves carry over");
    let mut same = helper::coordinator_named(3, "v");
    list(&mut same, &mut tape, &[]);
    same.restore_learned_state(at(10), ms(10), known.clone());
    assert_eq!(
        same.learned_state(at(10)).classes[0],
        old.learned_state(at(10)).classes[0],
        "taken under its own name"
    );
    // The first seconds after the switch: a query of the new deployment goes at once to a replica learned of.
    ask(&mut other, &mut tape, 20, 0, 0, &[2]);
    assert_eq!(turned(&mut other, 20).calls().len(), 1, "sent at once after the switch");
}

#[test]
fn coverage_decides_within_one_part_of_the_best() {
    // Of shards 0 to 2 replica 2 holds all, 1 and 3 hold two, 0 and 4 one: whichever is drawn, two parts or three
    // go to one replica, and replica 0 or 4 comes in only for what is left after that.
    let (mut whole, mut split) = (0, 0);
    for seed in 0..200 {
        let (mut coordinator, mut tape) = taught(seed);
        ask(&mut coordinator, &mut tape, 0, 0, 0, &[0, 1, 2]);
        let calls = turned(&mut coordinator, 0).calls();
        assert_eq!(calls.len(), 3, "each part goes once");
        let most = (0..6).map(|l| calls.iter().filter(|c| c.1 == ReplicaId(l)).count()).max().unwrap();
        assert!(most >= 2, "{calls:?}");
        if most == 3 { whole += 1 } else { split += 1 }
    }
    assert!(whole > 50 && split > 50, "both near-ties are taken: {whole} and {split}");
}

/// A root over so many replicas, each the only holder of its shards.
fn lone_holders(count: u32) -> (Coordinator, Tape) {
    let (mut coordinator, mut tape) = (helper::coordinator_on(count, 1, 1, 2, true, false), Tape::default());
    coordinator.begin_endpoint_list(true);
    for n in 0..count {
        coordinator.list_replica(ReplicaId(n), n, true, None);
    }
    coordinator.finish_endpoint_list(&mut tape);
    (coordinator, tape)
}

#[test]
fn at_most_k_rounds_a_turn_and_the_rest_is_placed_anew() {
    let (mut coordinator, mut tape) = lone_holders(160);
    let shards: Vec<u32> = (0..160).collect();
    ask(&mut coordinator, &mut tape, 0, 0, 0, &shards);
    let first = turned(&mut coordinator, 0).calls();
    let second = turned(&mut coordinator, 5).calls();
    assert_eq!((first.len(), second.len()), (128, 32));
    let all: BTreeSet<PartId> = first.into_iter().chain(second).map(|c| c.0).collect();
    assert_eq!(all.len(), 160);
}

#[test]
fn among_near_ties_the_fewest_own_calls_out_decides() {
    for seed in 0..50 {
        let (mut coordinator, mut tape) = fresh(seed);
        // Two parts in one call and one in another: whoever has no call out is next.
        ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
        let first = turned(&mut coordinator, 0).calls()[0].1;
        ask(&mut coordinator, &mut tape, 1, 0, 10, &[2]);
        let second = turned(&mut coordinator, 1).calls()[0].1;
        ask(&mut coordinator, &mut tape, 2, 0, 20, &[2]);
        let third = turned(&mut coordinator, 2).calls()[0].1;
        assert_eq!(
            BTreeSet::from([first, second, third]),
            BTreeSet::from([ReplicaId(2), ReplicaId(3), ReplicaId(4)])
        );
    }
}

#[test]
fn many_parts_are_spread_over_their_holders() {
    // Uncut, two replicas of six would have taken six parts each and held the query up.
    let (mut coordinator, mut tape) = fresh(3);
    let shards: Vec<u32> = (0..12).collect();
    ask(&mut coordinator, &mut tape, 0, 0, 0, &shards);
    let calls = turned(&mut coordinator, 0).calls();
    assert_eq!(calls.len(), 12);
    let most = (0..6).map(|l| calls.iter().filter(|c| c.1 == ReplicaId(l)).count()).max();
    assert!(most <= Some(4), "{calls:?}");
}

#[test]
fn a_failed_part_goes_to_a_holder_not_yet_asked() {
    let (mut coordinator, mut tape) = fresh(5);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    let first = turned(&mut coordinator, 0).calls()[0].1;
    let again = end(&mut coordinator, 5, PartId(0), 0, AttemptOutcome::Fault).calls();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, first);
}

#[test]
fn a_faulty_replica_is_left_out_for_a_second() {
    let (mut coordinator, mut tape) = fresh(6);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    let bad = turned(&mut coordinator, 0).calls()[0].1;
    end(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::Unreachable);
    let times: Vec<i64> = (1..20).map(|n| 10 + n * 20).collect();
    assert_eq!(sent_to(&mut coordinator, &mut tape, bad, &times), 0, "nothing before the wait is over");
    ask(&mut coordinator, &mut tape, 1010, 0, 500, &[2]);
    let calls = turned(&mut coordinator, 1010).calls();
    assert!(calls.iter().any(|c| c.1 == bad), "it has the fewest calls out: {calls:?}");
}

#[test]
fn a_full_replica_is_left_to_drain() {
    // In i695bd0 parts turned away in a millisecond went straight on to the next full replica, a thousand times.
    let (mut coordinator, mut tape) = fresh(8);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    let full = turned(&mut coordinator, 0).calls()[0].1;
    end(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::NoCapacity);
    assert_eq!(sent_to(&mut coordinator, &mut tape, full, &[100; 9]), 0);
}

#[test]
fn a_cold_replica_gets_one_part_a_window_until_more_is_known() {
    let (mut coordinator, mut tape) = (coordinator(9, 2, true), Tape::default());
    list(&mut coordinator, &mut tape, &[(2, at(0)), (3, at(0)), (4, at(0))]);
    for n in 0..6 {
        ask(&mut coordinator, &mut tape, 10, 0, n * 10, &[2]);
    }
    let calls = turned(&mut coordinator, 10).calls();
    let to: BTreeSet<ReplicaId> = calls.iter().map(|c| c.1).collect();
    assert_eq!((calls.len(), to.len()), (3, 3), "{calls:?}");
}

/// Of 300 co-ordinators each sent the one part a window that always went: 178 in a second, and the replica fell over. One replica
/// with one worker bears 12 of these parts in the window; each query needs two replicas, both of them cold.
#[test]
fn of_hundreds_of_co_ordinators_few_send_to_cold_replicas_and_those_whole_queries() {
    few_send(false);
}

/// The same of co-ordinators that have had answers before: with a lot that counted only where nothing was carried all sent.
#[test]
fn few_send_to_cold_replicas_also_where_replicas_have_carried_something() {
    few_send(true);
}

fn few_send(served_before: bool) {
    let (mut whole, mut most) = (0, BTreeMap::new());
    for seed in 0..300 {
        let (mut coordinator, mut tape) = (helper::coordinator_among(seed, 300), Tape::default());
        if served_before {
            list(&mut coordinator, &mut tape, &[]);
            ask(&mut coordinator, &mut tape, 0, 0, 100, &[0, 3]);
            turned(&mut coordinator, 0);
            // As much work as is guessed where nothing is known, and the call's cost.
            for part in [100, 101] {
                end(&mut coordinator, 150, PartId(part), 0, AttemptOutcome::Success);
            }
        }
        list(&mut coordinator, &mut tape, &(0..6).map(|replica| (replica, at(150))).collect::<Vec<_>>());
        ask(&mut coordinator, &mut tape, 160, 0, 0, &[0, 3]);
        let calls = turned(&mut coordinator, 160).calls();
        whole += usize::from(calls.len() == 2);
        assert!(calls.is_empty() || calls.len() == 2, "no work for nothing");
        calls.into_iter().for_each(|(_, replica)| *most.entry(replica).or_insert(0) += 1);
    }
    assert!(most.values().all(|&n| n <= 20), "12 and what is chance, 2 root 12 + 2: {most:?}");
    assert!(whole >= 3, "they are asked all the same: {whole}");
}

#[test]
fn what_nobody_takes_is_turned_away_before_any_work() {
    let (mut coordinator, mut tape) = (coordinator(1, 2, true), Tape::default());
    coordinator.begin_endpoint_list(true);
    coordinator.list_replica(ReplicaId(0), 0, true, None);
    coordinator.finish_endpoint_list(&mut tape);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[0, 3]);
    assert_eq!(turned(&mut coordinator, 0).calls(), [], "one shard has no holder, so nothing goes");
    let late = helper::pass(&mut coordinator, &tape.0, at(200));
    assert!(late.0.contains(&Act::Reject(QueryId(0))), "{:?}", late.0);
}

#[test]
fn a_begun_query_is_not_given_up_because_one_part_waits() {
    let (mut coordinator, mut tape) = fresh(2);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[0, 3]);
    assert_eq!(turned(&mut coordinator, 0).calls().len(), 2);
    let mut seen = end(&mut coordinator, 390, PartId(0), 0, AttemptOutcome::NoCapacity).0;
    seen.extend(helper::pass(&mut coordinator, &tape.0, at(400)).0);
    assert!(!seen.iter().any(|a| matches!(a, Act::Reject(_) | Act::Abort(_))), "{seen:?}");
}

#[test]
fn an_overdue_part_gets_a_copy_although_its_replica_is_forgotten() {
    // A part may remember a replica that has left the list and is held no more; looking it up ended the adapter.
    let (mut coordinator, mut tape) = fresh(4);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    let first = turned(&mut coordinator, 0).calls()[0].1;
    coordinator.begin_endpoint_list(false);
    coordinator.list_replica(first, first.0, false, None);
    coordinator.finish_endpoint_list(&mut tape);
    let mut after = end(&mut coordinator, 5, PartId(0), 0, AttemptOutcome::Fault);
    assert!(after.0.contains(&Act::FreeReplica(first)));
    assert_eq!(after.calls().len(), 1);
    after.0.extend(tape.0);
    let copies = helper::pass(&mut coordinator, &after.0, at(1400)).calls().len();
    assert_eq!(copies, 1, "the last holder is asked once the second call is overdue");
}

#[test]
fn a_lag_of_the_past_does_not_keep_replicas_idle() {
    // In ie11df8 replicas stood idle because of answers that had come late seconds before.
    let (mut coordinator, mut tape) = taught(12);
    let shards: Vec<u32> = (0..6).collect();
    for n in 0..4 {
        ask(&mut coordinator, &mut tape, n * 10, 0, n as u32 * 10, &shards);
        turned(&mut coordinator, n * 10);
    }
    for n in 0..4 {
        for part in 0..6 {
            end(&mut coordinator, 2800, PartId(n * 10 + part), 0, AttemptOutcome::Success);
        }
    }
    ask(&mut coordinator, &mut tape, 2800, 0, 50, &shards);
    assert_eq!(turned(&mut coordinator, 2800).calls(), [], "just after, every leaf is held to lag");
    ask(&mut coordinator, &mut tape, 5600, 0, 60, &shards);
    let calls = turned(&mut coordinator, 5600).calls();
    assert!(calls.iter().filter(|c| c.0.0 >= 60).count() == 6, "{calls:?}");
}

#[test]
fn where_clients_leave_early_a_partial_answer_comes_before_they_do() {
    // In i85cd7c clients left after a third of the SLO time; the request class with a floor has an answer by then.
    let (mut coordinator, mut tape) = fresh(7);
    for n in 0..4 {
        ask(&mut coordinator, &mut tape, n * 1000, 1, 0, &[0, 1, 2, 3, 4]);
        turned(&mut coordinator, n * 1000);
        coordinator.cancel_query(&mut tape, at(n * 1000 + 500), QueryId(0));
        for part in 0..5 {
            end(&mut coordinator, n * 1000 + 510, PartId(part), 0, AttemptOutcome::Cancelled);
        }
    }
    let mut asked = Tape::default();
    ask(&mut coordinator, &mut asked, 5000, 1, 0, &[0, 1, 2, 3, 4]);
    turned(&mut coordinator, 5000);
    for part in 0..4 {
        end(&mut coordinator, 5100, PartId(part), 0, AttemptOutcome::Success);
    }
    let seen = helper::pass(&mut coordinator, &asked.0, at(5499));
    assert!(seen.0.contains(&Act::Merge(QueryId(0), false)), "{:?}", seen.0);
}

#[test]
fn two_stray_leavers_do_not_end_a_class() {
    // On a long day of sockets two clients in a row left early by chance; all others of that request class were then
    // rejected for 100 s: their time was held too short for any answer, and only answers told who had stayed.
    let (mut coordinator, mut tape) = fresh(7);
    let mut begun = 0;
    for n in 0..60 {
        let (t, mut asked) = (n * 1000, Tape::default());
        ask(&mut coordinator, &mut asked, t, 0, 0, &[2]);
        let calls = turned(&mut coordinator, t).calls().len();
        if n == 30 || n == 31 {
            coordinator.cancel_query(&mut tape, at(t + 30), QueryId(0));
            end(&mut coordinator, t + 31, PartId(0), 0, AttemptOutcome::Cancelled);
        } else if calls == 1 {
            begun += usize::from(n > 31);
            end(&mut coordinator, t + 300, PartId(0), 0, AttemptOutcome::Success);
        } else {
            let seen = helper::pass(&mut coordinator, &asked.0, at(t + 900)).0;
            assert!(seen.contains(&Act::Reject(QueryId(0))), "not begun, so it is rejected early: {seen:?}");
        }
    }
    assert!(begun >= 26, "{begun} of 28 begun");
}

#[test]
fn a_part_cut_off_replicas_its_replica_in_but_a_replica_that_always_cuts_goes_out() {
    // Leaves that closed connections after an answer were left out by turns, and the other holders got it all.
    let (mut coordinator, mut tape) = fresh(6);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    let cuts = turned(&mut coordinator, 0).calls()[0].1;
    end(&mut coordinator, 1, PartId(0), 0, AttemptOutcome::Disconnected);
    let times: Vec<i64> = (1..20).map(|n| 10 + n * 20).collect();
    assert!(sent_to(&mut coordinator, &mut tape, cuts, &times) > 0, "one cut is no fault");
    let ((mut coordinator, mut tape), mut sent, mut last) = (fresh(6), 0, 0);
    for n in 0..120 {
        let t = n * 5;
        ask(&mut coordinator, &mut tape, t, 3, 0, &[2]);
        let to = turned(&mut coordinator, t).calls()[0].1;
        end(
            &mut coordinator,
            t + 1,
            PartId(0),
            0,
            if to == cuts { AttemptOutcome::Disconnected } else { AttemptOutcome::Success },
        );
        (sent, last) = if to == cuts { (sent + 1, n) } else { (sent, last) };
    }
    assert!(sent >= 8 && last < 110, "left out in the end: {sent} sent, the last as number {last}");
}

/// A root that may probe; a query for shard 2 has sent its probes, one to each holder.
fn probing(seed: u64) -> (Coordinator, Tape) {
    let (mut coordinator, mut tape) =
        (helper::coordinator_on(helper::CELLS, helper::HOLD, seed, 2, true, true), Tape::default());
    list(&mut coordinator, &mut tape, &[]);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    let first = turned(&mut coordinator, 0);
    assert_eq!(first.0[..3], [2, 3, 4].map(|l| Act::Probe(ReplicaId(l))), "{:?}", first.0);
    assert_eq!(first.calls(), [], "it waits for them");
    tape.0.extend(first.0);
    (coordinator, tape)
}

#[test]
fn a_replica_silent_to_a_probe_is_no_candidate() {
    // In i052771 a tenth of the replicas fell silent, and every query of 75 parts had some there.
    for seed in 0..20 {
        let (mut coordinator, tape) = probing(seed);
        coordinator.load_probe_ended(at(5), ReplicaId(2), AttemptOutcome::Success);
        coordinator.load_probe_ended(at(5), ReplicaId(4), AttemptOutcome::Success);
        let calls = helper::pass(&mut coordinator, &tape.0, at(30)).calls();
        assert!(calls.len() == 1 && calls[0].1 != ReplicaId(3), "{calls:?}");
    }
}

#[test]
fn a_replica_that_reports_to_hold_much_is_no_candidate() {
    // In i263f35 no co-ordinator saw the queues that 87 others had made.
    for seed in 0..20 {
        let (mut coordinator, _) = probing(seed);
        for (replica, held) in [(2, 9.0), (3, 0.0), (4, 8.0)] {
            coordinator.load_report(at(5), ReplicaId(replica), Some(held), None);
            coordinator.load_probe_ended(at(5), ReplicaId(replica), AttemptOutcome::Success);
        }
        let calls = turned(&mut coordinator, 5).calls();
        assert_eq!(calls, [(PartId(0), ReplicaId(3))]);
    }
}

#[test]
fn the_last_of_many_parts_is_overdue_before_the_rest_would_be() {
    // In id3caa8 queries with all but one or two parts in waited for these until their clients left.
    for (passed, copies) in [(9, 1), (5, 0)] {
        let (mut coordinator, mut tape) = fresh(3);
        ask(&mut coordinator, &mut tape, 0, 0, 0, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        assert_eq!(turned(&mut coordinator, 0).calls().len(), 10);
        for part in 0..passed {
            end(&mut coordinator, 10, PartId(part), 0, AttemptOutcome::Success);
        }
        let sent = helper::pass(&mut coordinator, &tape.0, at(550)).calls().len();
        assert_eq!(sent, copies, "with {passed} of ten in");
    }
}

#[test]
fn a_replica_not_heard_of_is_held_to_lag_as_all_did() {
    // At the grown size a co-ordinator meets a replica once in half a minute; in i4a20e0 all of them were late.
    let (mut coordinator, mut tape) = lone_holders(40);
    let shards: Vec<u32> = (0..39).collect();
    ask(&mut coordinator, &mut tape, 0, 0, 0, &shards);
    turned(&mut coordinator, 0);
    for part in 0..39 {
        end(&mut coordinator, if part == 0 { 10 } else { 2500 }, PartId(part), 0, AttemptOutcome::Success);
    }
    ask(&mut coordinator, &mut tape, 2510, 0, 50, &[39]);
    assert_eq!(turned(&mut coordinator, 2510).calls(), [], "not while the others have just lagged");
    ask(&mut coordinator, &mut tape, 6000, 0, 60, &[39]);
    assert!(
        turned(&mut coordinator, 6000).calls().contains(&(PartId(60), ReplicaId(39))),
        "the lag has drained"
    );
}

#[test]
fn a_client_with_little_time_left_is_told_soon() {
    // Shares of the SLO time are of the client's time where that is shorter (i9ec2ef).
    let (mut coordinator, mut tape) = (coordinator(1, 2, true), Tape::default());
    let query = NewQuery {
        id: QueryId(0),
        class: RequestClassId(0),
        time_left: ms(300),
        work_hint: None,
        part_count: 1.0,
    };
    coordinator.start_query(&mut tape, at(0), query);
    let part = NewPart { id: PartId(0), query: QueryId(0), shard: 0, weight: 1.0, work_hint: None };
    coordinator.add_part(&mut tape, at(0), part);
    let seen = helper::pass(&mut coordinator, &tape.0, at(60));
    assert!(seen.0.contains(&Act::Reject(QueryId(0))), "no leaf is listed: {:?}", seen.0);
}

#[test]
fn the_generator_is_even_and_follows_its_seed() {
    use pipitcrank_core::rng::Rng;
    let draw = |seed| {
        let mut rng = Rng::new(seed);
        (0..6000).map(|_| rng.below(6)).collect::<Vec<_>>()
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    for n in 0..6 {
        let share = draw(7).iter().filter(|&&d| d == n).count();
        assert!((850..1150).contains(&share), "{n} came {share} times of 6000");
    }
}

#[test]
fn a_part_that_only_adds_is_not_sent_where_much_waits_and_one_that_all_hangs_on_is() {
    // On the fleet's herd and join days queries that may be partial, of 200 parts, filled the one good holder of each
    // shard whose other holder was stuck; queries that need every part were rejected unsent, three of four.
    for (class, goes) in [(1, false), (0, true)] {
        let (mut coordinator, mut tape) = fresh(3);
        // All holders of shard 2 have something out, which takes a sixth of the SLO time.
        for n in 0..3 {
            ask(&mut coordinator, &mut tape, n, 2, n as u32, &[2]);
            turned(&mut coordinator, n);
        }
        ask(&mut coordinator, &mut tape, 100, class, 50, &[2, 5, 0]);
        let calls = turned(&mut coordinator, 100).calls();
        assert_eq!(calls.iter().any(|c| c.0 == PartId(50)), goes, "{calls:?}");
        assert!(calls.iter().any(|c| c.0 == PartId(51)), "others go in any case: {calls:?}");
    }
}

#[test]
fn what_waits_is_bounded_first_and_a_long_part_of_ones_own_is_not() {
    // A share of the time left for all, own work included, kept a request class of long parts from ever beginning.
    let (mut coordinator, mut tape) = fresh(3);
    ask(&mut coordinator, &mut tape, 0, 0, 0, &[2]);
    turned(&mut coordinator, 0);
    // A part takes over a fifth of the SLO time; nobody else asks anything.
    end(&mut coordinator, 330, PartId(0), 0, AttemptOutcome::Success);
    for n in 1..20 {
        let t = n * 5000;
        ask(&mut coordinator, &mut tape, t, 0, 0, &[2]);
        assert_eq!(turned(&mut coordinator, t).calls().len(), 1, "query {n}");
        end(&mut coordinator, t + 330, PartId(0), 0, AttemptOutcome::Success);
    }
}
