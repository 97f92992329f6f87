use super::*;
use crate::decision::ZoneState;

const HOLD: TimeSpan = TimeSpan::from_millis(10_000);

/// Builds zone fractions from pairs of zone and thousandths.
fn fractions<const N: usize>(expected: [(u16, u16); N]) -> Vec<ZoneFraction> {
    expected.map(|(zone, permille)| ZoneFraction { zone, permille }).to_vec()
}

fn heartbeat(term: u64, count: u64, decision_number: u64) -> LeaderHeartbeat {
    LeaderHeartbeat { rank: HeartbeatRank { term, count }, decision_number }
}

fn at(ms: i64) -> Timestamp {
    Timestamp::from_secs_f64(100.0) + TimeSpan::from_millis(ms)
}

fn follower() -> DecisionFollower {
    DecisionFollower::new(0, 3, Proximity::new(&["r", "r", "r"].map(str::to_string)), HOLD, false)
}

fn replica_counts(silent: [u16; 3]) -> Vec<ReplicaCounts> {
    silent
        .iter()
        .map(|&s| ReplicaCounts {
            listed: 10,
            responsive: 10 - s,
            unresponsive: s,
            ..ReplicaCounts::default()
        })
        .collect()
}

/// Decision in which zone 1 is out of service.
fn out_of_service(number: u64) -> Decision {
    let mut decision = Decision::initial(3, number);
    (decision.zones[1].state, decision.zones[1].retained) = (ZoneState::OutOfService, 0);
    decision
}

fn advance(follower: &mut DecisionFollower, from: i64, to: i64, silent: [u16; 3]) {
    (from..=to).step_by(100).for_each(|ms| follower.tick(at(ms), &replica_counts(silent)));
}

#[test]
fn no_older_decision_is_accepted_after_a_newer_one() {
    let mut follower = follower();
    assert_eq!(follower.status(at(0)), DecisionStatus::NoDecision);
    assert_eq!(
        follower.plan(at(0)),
        RoutingPlan { decision_number: 0, fractions: fractions([(0, 1000)]), closed_zones: vec![], shed: 0 }
    );
    assert!(follower.handle_decision(at(0), out_of_service(5)));
    assert!(
        !follower.handle_decision(at(0), out_of_service(4))
            && !follower.handle_decision(at(0), Decision::initial(3, 5))
    );
    assert_eq!(
        (follower.stale_decisions, follower.plan(at(0)).decision_number, follower.plan(at(0)).closed_zones),
        (2, 5, vec![1])
    );
    assert!(
        !follower.handle_decision(at(0), Decision::initial(2, 9)),
        "a decision for another number of zones is rejected"
    );
}

#[test]
fn old_heartbeats_are_ignored_and_a_missed_decision_is_queried() {
    let mut follower = follower();
    follower.handle_decision(at(0), out_of_service(5));
    follower.handle_heartbeat(at(0), heartbeat(2, 7, 5));
    assert_eq!(follower.status(at(100)), DecisionStatus::Following);
    // An earlier leader that resumes continues to send heartbeats.
    follower.handle_heartbeat(at(3000), heartbeat(1, 900, 5));
    follower.handle_heartbeat(at(3000), heartbeat(2, 7, 5));
    assert_eq!(follower.status(at(3000)), DecisionStatus::Holding);
    follower.handle_heartbeat(at(3100), heartbeat(2, 8, 6));
    assert!(follower.should_query(at(3100)) && follower.status(at(3100)) == DecisionStatus::Holding);
    follower.handle_decision(at(0), out_of_service(6));
    follower.handle_heartbeat(at(3200), heartbeat(2, 9, 6));
    assert!(!follower.should_query(at(3200)));
}

#[test]
fn a_heartbeat_passed_on_late_keeps_its_age() {
    let mut follower = follower();
    follower.handle_decision(at(0), out_of_service(5));
    follower.handle_heartbeat(at(0), heartbeat(1, 1, 5));
    // A newer heartbeat arrives at 2.4 s, two seconds after the relaying member received it.
    follower.handle_heartbeat(at(400), heartbeat(1, 2, 5));
    assert_eq!(follower.status(at(2800)), DecisionStatus::Following);
    assert_eq!(
        (follower.status(at(3000)), follower.heartbeat_age(at(3000))),
        (DecisionStatus::Holding, TimeSpan::from_millis(2600))
    );
}

#[test]
fn after_the_hold_time_local_evidence_moves_a_bounded_fraction() {
    let mut follower = follower();
    follower.handle_decision(at(0), Decision::initial(3, 5));
    follower.handle_heartbeat(at(0), heartbeat(1, 1, 5));
    advance(&mut follower, 0, 9000, [10, 0, 0]);
    assert_eq!(follower.status(at(9000)), DecisionStatus::Holding);
    assert_eq!(
        follower.plan(at(9000)).fractions,
        fractions([(0, 1000)]),
        "local evidence does not count within the hold time"
    );
    advance(&mut follower, 9100, 11_000, [10, 0, 0]);
    assert_eq!(follower.status(at(11_000)), DecisionStatus::Isolated);
    assert_eq!(follower.plan(at(11_000)).fractions, fractions([(0, 500), (1, 250), (2, 250)]));
    // A new heartbeat restores the plan of the decision.
    follower.handle_heartbeat(at(11_100), heartbeat(1, 2, 5));
    assert_eq!(follower.plan(at(11_100)).fractions, fractions([(0, 1000)]));
}

#[test]
fn an_isolated_node_keeps_a_zone_closed_while_another_serves() {
    let mut follower = follower();
    follower.handle_decision(at(0), out_of_service(5));
    advance(&mut follower, 0, 20_000, [0, 0, 0]);
    assert_eq!(follower.status(at(20_000)), DecisionStatus::Isolated);
    assert_eq!(follower.plan(at(20_000)).closed_zones, [1]);
}

#[test]
fn a_stalled_node_resyncs_before_it_spills_again() {
    let mut follower = follower();
    let mut spilling = Decision::initial(3, 5);
    for (zone, (demand, capacity)) in spilling.zones.iter_mut().zip([(300, 200), (10, 900), (10, 900)]) {
        (zone.demand, zone.capacity) = (demand, capacity);
    }
    follower.handle_decision(at(0), spilling);
    advance(&mut follower, 0, 500, [0; 3]);
    follower.handle_heartbeat(at(500), heartbeat(1, 1, 5));
    assert!(follower.plan(at(500)).fractions.len() == 3);
    follower.tick(at(30_000), &replica_counts([0; 3]));
    assert_eq!(follower.status(at(30_000)), DecisionStatus::Resyncing);
    assert_eq!(follower.plan(at(30_000)).fractions, fractions([(0, 1000)]));
    assert!(follower.should_query(at(30_000)));
    follower.handle_heartbeat(at(30_100), heartbeat(1, 60, 5));
    assert_eq!(
        (follower.status(at(30_100)), follower.plan(at(30_100)).fractions.len()),
        (DecisionStatus::Following, 3)
    );
}

#[test]
fn a_restored_decision_is_used_only_without_a_newer_one() {
    let mut follower = follower();
    follower.restore(at(0), out_of_service(7));
    assert_eq!(
        (follower.status(at(0)), follower.plan(at(0)).closed_zones),
        (DecisionStatus::NoDecision, vec![])
    );
    assert!(
        !follower.handle_decision(at(10), out_of_service(6)),
        "a decision older than the restored one is rejected"
    );
    assert_eq!(follower.stale_decisions, 1);
    advance(&mut follower, 0, 3900, [0; 3]);
    assert_eq!(follower.status(at(3900)), DecisionStatus::NoDecision);
    advance(&mut follower, 4000, 4100, [0; 3]);
    assert_eq!(
        (follower.status(at(4100)), follower.plan(at(4100)).closed_zones),
        (DecisionStatus::Isolated, vec![1])
    );
    // A current decision replaces the restored one.
    assert!(follower.handle_decision(at(4200), Decision::initial(3, 8)));
    follower.handle_heartbeat(at(4200), heartbeat(1, 1, 8));
    assert_eq!(
        (follower.status(at(4300)), follower.plan(at(4300)).closed_zones),
        (DecisionStatus::Following, vec![])
    );
}

#[test]
fn the_restored_decision_is_followed_as_soon_as_it_is_confirmed() {
    let mut follower = follower();
    follower.restore(at(0), out_of_service(7));
    assert!(follower.handle_decision(at(300), out_of_service(7)));
    follower.handle_heartbeat(at(300), heartbeat(4, 1, 7));
    assert_eq!(
        (follower.status(at(400)), follower.plan(at(400)).closed_zones),
        (DecisionStatus::Following, vec![1])
    );
}

#[test]
fn in_a_dry_run_nothing_moves() {
    let mut follower =
        DecisionFollower::new(1, 3, Proximity::new(&["r", "r", "r"].map(str::to_string)), HOLD, true);
    follower.handle_decision(at(0), out_of_service(5));
    assert_eq!(follower.plan(at(0)).fractions, fractions([(1, 1000)]));
    assert_eq!(follower.plan(at(0)).closed_zones, Vec::<u16>::new());
}
