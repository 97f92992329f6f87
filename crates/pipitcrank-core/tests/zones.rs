//! Zones: preference for the nearest zone, overflow to other zones, closed zones, drawn fractions, and
//! observation of the replicas of a zone.

mod helper;

use helper::{Action, RecordedOutput, Setup, at, ms};
use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::coordinator::zones::{RequestTraffic, ZoneFraction, ZoneId, ZoneRouting};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use serde_json::json;

const OWN_ZONE: ZoneId = ZoneId(0);
const OTHER_ZONE: ZoneId = ZoneId(1);

/// A ring of six cells with replicas 0 to 5 in the own zone and replicas 6 to 11 in the other, one per cell
/// in each zone.
fn two_zones(seed: u64, may_probe: bool) -> (Coordinator, RecordedOutput) {
    let (mut coordinator, mut output) =
        (Setup { may_probe, ..Setup::with_seed(seed) }.build(), RecordedOutput::default());
    coordinator.begin_endpoint_list(true);
    for n in 0..12 {
        coordinator.list_replica(ReplicaId(n), n % 6, true, None);
        coordinator.set_replica_zone(ReplicaId(n), Some(if n < 6 { OWN_ZONE } else { OTHER_ZONE }));
    }
    coordinator.finish_endpoint_list(&mut output);
    (coordinator, output)
}

fn routing(fractions: &[(ZoneId, f64)], closed: &[ZoneId]) -> ZoneRouting {
    let fractions = fractions.iter().map(|&(zone, fraction)| ZoneFraction { zone, fraction }).collect();
    ZoneRouting { fractions, closed: closed.to_vec(), ..ZoneRouting::default() }
}

/// Starts a query of one shard, and returns the replicas that it was sent to and all actions.
fn send_query(coordinator: &mut Coordinator, n: u32, t: i64, class: u16) -> (Vec<ReplicaId>, Vec<Action>) {
    let mut output = RecordedOutput::default();
    let query = NewQuery {
        id: QueryId(n),
        class: RequestClassId(class),
        time_left: ms(3000),
        work_hint: None,
        part_count: 1.0,
    };
    coordinator.start_query(&mut output, at(t), query);
    let part = NewPart { id: PartId(n), query: QueryId(n), shard: n % 6, weight: 1.0, work_hint: None };
    coordinator.add_part(&mut output, at(t), part);
    coordinator.dispatch(&mut output, at(t));
    (output.attempts().into_iter().map(|c| c.1).collect(), output.0)
}

fn answer(coordinator: &mut Coordinator, n: u32, t: i64) {
    coordinator.attempt_ended(
        &mut RecordedOutput::default(),
        at(t),
        AttemptId { part: PartId(n), number: 0 },
        AttemptOutcome::Success,
    );
}

#[test]
fn nearest_zone_is_preferred_if_queries_are_routed() {
    for (is_routed, is_cross_zone_expected) in [(true, false), (false, true)] {
        let mut cross_zone = 0;
        let (mut coordinator, _) = two_zones(3, false);
        if is_routed {
            coordinator.set_zone_routing(routing(&[(OWN_ZONE, 1.0)], &[]));
        }
        for n in 0..60 {
            let (replicas, _) = send_query(&mut coordinator, n, i64::from(n) * 50, 0);
            cross_zone += replicas.iter().filter(|l| l.0 >= 6).count();
            answer(&mut coordinator, n, i64::from(n) * 50 + 20);
        }
        assert_eq!(
            cross_zone > 0,
            is_cross_zone_expected,
            "{cross_zone} of 60 cross-zone, routed: {is_routed}"
        );
        let traffic = coordinator.zone_traffic();
        assert_eq!(
            (traffic.same_zone_parts, traffic.cross_zone_parts),
            if is_routed { (60, 0) } else { (0, 0) }
        );
        assert_eq!(
            (traffic.requested[0], traffic.answered_parts.iter().sum::<u64>()),
            (RequestTraffic { queries: 60, parts: 60 }, 60)
        );
    }
}

#[test]
fn overload_in_the_nearest_zone_sends_work_to_others() {
    let (mut coordinator, _) = two_zones(3, false);
    coordinator.set_zone_routing(routing(&[(OWN_ZONE, 1.0)], &[]));
    // Gives every replica of the own zone an attempt that is outstanding for longer than the cross-zone
    // penalty.
    for n in 0..12 {
        send_query(&mut coordinator, n, 0, 0);
    }
    let (replicas, _) = send_query(&mut coordinator, 30, 600, 0);
    assert!(replicas[0].0 >= 6, "{replicas:?}");
}

#[test]
fn closed_zone_gets_nothing_as_the_only_holder() {
    let (mut coordinator, mut output) = two_zones(3, false);
    coordinator.set_zone_routing(routing(&[(OWN_ZONE, 1.0)], &[OTHER_ZONE]));
    coordinator.begin_endpoint_list(false);
    (0..6).for_each(|n| coordinator.list_replica(ReplicaId(n), n, false, None));
    coordinator.finish_endpoint_list(&mut output);
    let (replicas, _) = send_query(&mut coordinator, 1, 0, 0);
    assert_eq!(replicas, []);
    // Once the zone is open again, the query is sent there.
    coordinator.set_zone_routing(routing(&[(OWN_ZONE, 1.0)], &[]));
    let mut output = RecordedOutput::default();
    coordinator.dispatch(&mut output, at(5));
    assert_eq!(output.attempts().len(), 1);
}

#[test]
fn zones_are_drawn_by_their_fractions() {
    let (mut coordinator, _) = two_zones(9, false);
    coordinator.set_zone_routing(routing(&[(OWN_ZONE, 0.7), (OTHER_ZONE, 0.3)], &[]));
    let mut cross_zone = 0;
    for n in 0..1000 {
        let (replicas, _) = send_query(&mut coordinator, n, i64::from(n) * 50, 0);
        cross_zone += replicas.iter().filter(|l| l.0 >= 6).count();
        answer(&mut coordinator, n, i64::from(n) * 50 + 20);
    }
    assert!((250..350).contains(&cross_zone), "{cross_zone} of 1000");
    assert_eq!(
        (coordinator.zone_traffic().same_zone_parts, coordinator.zone_traffic().cross_zone_parts),
        (1000 - cross_zone as u64, cross_zone as u64)
    );
}

#[test]
fn load_is_shed_by_request_class() {
    let (mut coordinator, _) = two_zones(3, false);
    let shed_fractions = vec![1.0, 0.0];
    coordinator.set_zone_routing(ZoneRouting {
        fractions: vec![ZoneFraction { zone: OWN_ZONE, fraction: 1.0 }],
        shed_fractions,
        ..ZoneRouting::default()
    });
    let (replicas, actions) = send_query(&mut coordinator, 1, 0, 0);
    assert_eq!(replicas, []);
    assert!(
        actions.contains(&Action::Reject(QueryId(1))) && actions.contains(&Action::ReleasePart(PartId(1))),
        "{actions:?}"
    );
    assert_eq!(send_query(&mut coordinator, 2, 0, 1).0.len(), 1);
}

#[test]
fn replicas_are_classified_by_probe_outcome() {
    let (mut coordinator, _) = two_zones(3, true);
    coordinator.set_zone_routing(routing(&[(OWN_ZONE, 1.0)], &[OTHER_ZONE]));
    let nothing = coordinator.observe_zone(at(0), OTHER_ZONE);
    assert_eq!(
        (nothing.listed, nothing.responsive, nothing.unresponsive),
        (6, 0, 0),
        "no replica was probed"
    );
    let probe = |coordinator: &mut Coordinator, t: i64, answer: &dyn Fn(u32) -> Option<AttemptOutcome>| {
        let mut output = RecordedOutput::default();
        coordinator.probe_zone(&mut output, at(t), OTHER_ZONE, 6);
        for action in output.0 {
            let Action::SendLoadProbe(replica) = action else { continue };
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
    (0..3).for_each(|n| probe(&mut coordinator, n * 400, &some));
    let seen = coordinator.observe_zone(at(850), OTHER_ZONE);
    assert_eq!((seen.responsive, seen.unresponsive, seen.failing), (3, 2, 1));
    (3..5).for_each(|n| probe(&mut coordinator, n * 400, &|_| Some(AttemptOutcome::Success)));
    let seen = coordinator.observe_zone(at(1700), OTHER_ZONE);
    assert_eq!(
        (seen.responsive + seen.failing, seen.unresponsive),
        (6, 0),
        "one answer makes a replica responsive"
    );
}

#[test]
fn unanswered_attempt_makes_a_replica_unresponsive() {
    let (mut coordinator, _) = two_zones(3, false);
    coordinator.set_zone_routing(routing(&[(OWN_ZONE, 1.0)], &[]));
    let (replicas, _) = send_query(&mut coordinator, 1, 0, 0);
    assert_eq!(coordinator.observe_zone(at(300), OWN_ZONE).unresponsive, 0);
    assert_eq!(coordinator.observe_zone(at(2600), OWN_ZONE).unresponsive, 1, "{replicas:?}");
    answer(&mut coordinator, 1, 2700);
    assert_eq!(coordinator.observe_zone(at(2701), OWN_ZONE).unresponsive, 0);
}

#[test]
fn configured_zones_are_checked_by_key() {
    let zones = |value: serde_json::Value| {
        SettingsReader::new(&value).zones().map(|z| z.map(|zones| (zones.own.0, zones.names.len())))
    };
    assert_eq!(zones(json!({})), Ok(None));
    assert_eq!(zones(json!({"zone": null, "zones": null})), Ok(None));
    assert_eq!(zones(json!({"zone": "b", "zones": ["a", "b"]})), Ok(Some((1, 2))));
    for (value, key) in [
        (json!({"zone": "c", "zones": ["a", "b"]}), "/zone"),
        (json!({"zones": ["a", "b"]}), "/zone"),
        (json!({"zone": "a"}), "/zones"),
        (json!({"zone": "a", "zones": ["a", "a"]}), "/zones/1"),
        (json!({"zone": "a", "zones": ["a", ""]}), "/zones/1"),
        (json!({"zone": "a", "zones": [3]}), "/zones/0"),
        (json!({"zone": "a", "zones": (0..17).map(|n| format!("z{n}")).collect::<Vec<_>>()}), "/zones"),
    ] {
        let wrong = zones(value).unwrap_err();
        assert_eq!(wrong.key, key, "{wrong}");
    }
}
