//! Zones in the cover: near first, across when near lags, nothing into a shut zone, shares drawn, and what is seen of a
//! zone's replicas.

mod helper;

use helper::{Act, Tape, at, coordinator_on, ms};
use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::coordinator::zones::{RequestTraffic, ZoneFraction, ZoneId, ZoneRouting};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use serde_json::json;

const HERE: ZoneId = ZoneId(0);
const THERE: ZoneId = ZoneId(1);

/// Six cells; replicas 0 to 5 stand here, 6 to 11 there, one a cell each.
fn two_zones(seed: u64, may_probe: bool) -> (Coordinator, Tape) {
    let (mut coordinator, mut tape) = (coordinator_on(6, 3, seed, 2, true, may_probe), Tape::default());
    coordinator.begin_endpoint_list(true);
    for n in 0..12 {
        coordinator.list_replica(ReplicaId(n), n % 6, true, None);
        coordinator.set_replica_zone(ReplicaId(n), Some(if n < 6 { HERE } else { THERE }));
    }
    coordinator.finish_endpoint_list(&mut tape);
    (coordinator, tape)
}

fn shares(of: &[(ZoneId, f64)], shut: &[ZoneId]) -> ZoneRouting {
    let fractions = of.iter().map(|&(zone, fraction)| ZoneFraction { zone, fraction }).collect();
    ZoneRouting { fractions, closed: shut.to_vec(), ..ZoneRouting::default() }
}

/// Asks one query of one shard; where it went.
fn goes(coordinator: &mut Coordinator, n: u32, t: i64, class: u16) -> (Vec<ReplicaId>, Vec<Act>) {
    let mut tape = Tape::default();
    let query = NewQuery {
        id: QueryId(n),
        class: RequestClassId(class),
        time_left: ms(3000),
        work_hint: None,
        part_count: 1.0,
    };
    coordinator.start_query(&mut tape, at(t), query);
    let part = NewPart { id: PartId(n), query: QueryId(n), shard: n % 6, weight: 1.0, work_hint: None };
    coordinator.add_part(&mut tape, at(t), part);
    coordinator.dispatch(&mut tape, at(t));
    (tape.calls().into_iter().map(|c| c.1).collect(), tape.0)
}

fn answered(coordinator: &mut Coordinator, n: u32, t: i64) {
    coordinator.attempt_ended(
        &mut Tape::default(),
        at(t),
        AttemptId { part: PartId(n), number: 0 },
        AttemptOutcome::Success,
    );
}

#[test]
fn near_goes_first_and_without_zones_both_are_used() {
    for (told, across_wanted) in [(true, false), (false, true)] {
        let mut across = 0;
        let (mut coordinator, _) = two_zones(3, false);
        if told {
            coordinator.set_zone_routing(shares(&[(HERE, 1.0)], &[]));
        }
        for n in 0..60 {
            let (replicas, _) = goes(&mut coordinator, n, i64::from(n) * 50, 0);
            across += replicas.iter().filter(|l| l.0 >= 6).count();
            answered(&mut coordinator, n, i64::from(n) * 50 + 20);
        }
        assert_eq!(across > 0, across_wanted, "{across} of 60 across, zones told: {told}");
        let tally = coordinator.zone_traffic();
        assert_eq!((tally.same_zone_parts, tally.cross_zone_parts), if told { (60, 0) } else { (0, 0) });
        assert_eq!(
            (tally.requested[0], tally.answered_parts.iter().sum::<u64>()),
            (RequestTraffic { queries: 60, parts: 60 }, 60)
        );
    }
}

#[test]
fn a_jam_at_home_sends_work_across() {
    let (mut coordinator, _) = two_zones(3, false);
    coordinator.set_zone_routing(shares(&[(HERE, 1.0)], &[]));
    // Every replica here has a call out and unanswered for longer than a crossing is held to cost.
    for n in 0..12 {
        goes(&mut coordinator, n, 0, 0);
    }
    let (replicas, _) = goes(&mut coordinator, 30, 600, 0);
    assert!(replicas[0].0 >= 6, "{replicas:?}");
}

#[test]
fn nothing_goes_into_a_shut_zone_even_where_nobody_else_holds_the_shard() {
    let (mut coordinator, mut tape) = two_zones(3, false);
    coordinator.set_zone_routing(shares(&[(HERE, 1.0)], &[THERE]));
    coordinator.begin_endpoint_list(false);
    (0..6).for_each(|n| coordinator.list_replica(ReplicaId(n), n, false, None));
    coordinator.finish_endpoint_list(&mut tape);
    let (replicas, _) = goes(&mut coordinator, 1, 0, 0);
    assert_eq!(replicas, []);
    // Opened again it is placed.
    coordinator.set_zone_routing(shares(&[(HERE, 1.0)], &[]));
    let mut tape = Tape::default();
    coordinator.dispatch(&mut tape, at(5));
    assert_eq!(tape.calls().len(), 1);
}

#[test]
fn shares_are_drawn_about_as_told() {
    let (mut coordinator, _) = two_zones(9, false);
    coordinator.set_zone_routing(shares(&[(HERE, 0.7), (THERE, 0.3)], &[]));
    let mut across = 0;
    for n in 0..1000 {
        let (replicas, _) = goes(&mut coordinator, n, i64::from(n) * 50, 0);
        across += replicas.iter().filter(|l| l.0 >= 6).count();
        answered(&mut coordinator, n, i64::from(n) * 50 + 20);
    }
    assert!((250..350).contains(&across), "{across} of 1000");
    assert_eq!(
        (coordinator.zone_traffic().same_zone_parts, coordinator.zone_traffic().cross_zone_parts),
        (1000 - across as u64, across as u64)
    );
}

#[test]
fn what_no_zone_can_carry_is_rejected_at_once_by_class() {
    let (mut coordinator, _) = two_zones(3, false);
    let shed_fractions = vec![1.0, 0.0];
    coordinator.set_zone_routing(ZoneRouting {
        fractions: vec![ZoneFraction { zone: HERE, fraction: 1.0 }],
        shed_fractions,
        ..ZoneRouting::default()
    });
    let (replicas, acts) = goes(&mut coordinator, 1, 0, 0);
    assert_eq!(replicas, []);
    assert!(acts.contains(&Act::Reject(QueryId(1))) && acts.contains(&Act::FreePart(PartId(1))), "{acts:?}");
    assert_eq!(goes(&mut coordinator, 2, 0, 1).0.len(), 1);
}

#[test]
fn silent_failing_and_answering_replicas_are_told_apart() {
    let (mut coordinator, _) = two_zones(3, true);
    coordinator.set_zone_routing(shares(&[(HERE, 1.0)], &[THERE]));
    let nothing = coordinator.observe_zone(at(0), THERE);
    assert_eq!((nothing.listed, nothing.answering, nothing.silent), (6, 0, 0), "nobody was asked");
    let look = |coordinator: &mut Coordinator, t: i64, answer: &dyn Fn(u32) -> Option<AttemptOutcome>| {
        let mut tape = Tape::default();
        coordinator.probe_zone(&mut tape, at(t), THERE, 6);
        for act in tape.0 {
            let Act::Probe(replica) = act else { continue };
            if let Some(outcome) = answer(replica.0) {
                coordinator.load_probe_ended(at(t + 5), replica, outcome);
            }
        }
    };
    let some = |n: u32| match n {
        6 | 7 => None,
        8 => Some(AttemptOutcome::Unreachable),
        _ => Some(AttemptOutcome::Success),
    };
    (0..3).for_each(|n| look(&mut coordinator, n * 400, &some));
    let seen = coordinator.observe_zone(at(850), THERE);
    assert_eq!((seen.answering, seen.silent, seen.failing), (3, 2, 1));
    (3..5).for_each(|n| look(&mut coordinator, n * 400, &|_| Some(AttemptOutcome::Success)));
    let seen = coordinator.observe_zone(at(1700), THERE);
    assert_eq!((seen.answering + seen.failing, seen.silent), (6, 0), "one word is enough");
}

#[test]
fn a_call_left_unanswered_speaks_of_silence_and_a_long_one_beside_answers_does_not() {
    let (mut coordinator, _) = two_zones(3, false);
    coordinator.set_zone_routing(shares(&[(HERE, 1.0)], &[]));
    let (replicas, _) = goes(&mut coordinator, 1, 0, 0);
    assert_eq!(coordinator.observe_zone(at(300), HERE).silent, 0);
    assert_eq!(coordinator.observe_zone(at(2600), HERE).silent, 1, "{replicas:?}");
    answered(&mut coordinator, 1, 2700);
    assert_eq!(coordinator.observe_zone(at(2701), HERE).silent, 0);
}

#[test]
fn zones_told_are_checked_by_key() {
    let zones = |value: serde_json::Value| {
        SettingsReader::new(&value).zones().map(|z| z.map(|zones| (zones.own.0, zones.names.len())))
    };
    assert_eq!(zones(json!({})), Ok(None));
    assert_eq!(zones(json!({"zone": null, "zones": null})), Ok(None));
    assert_eq!(zones(json!({"zone": "b", "zones": ["a", "b"]})), Ok(Some((1, 2))));
    for (told, key) in [
        (json!({"zone": "c", "zones": ["a", "b"]}), "/zone"),
        (json!({"zones": ["a", "b"]}), "/zone"),
        (json!({"zone": "a"}), "/zones"),
        (json!({"zone": "a", "zones": ["a", "a"]}), "/zones/1"),
        (json!({"zone": "a", "zones": ["a", ""]}), "/zones/1"),
        (json!({"zone": "a", "zones": [3]}), "/zones/0"),
        (json!({"zone": "a", "zones": (0..17).map(|n| format!("z{n}")).collect::<Vec<_>>()}), "/zones"),
    ] {
        let wrong = zones(told).unwrap_err();
        assert_eq!(wrong.key, key, "{wrong}");
    }
}
