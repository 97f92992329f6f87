use super::*;
use crate::decision::ZoneState;

const HOLD: TimeSpan = TimeSpan::from_millis(10_000);

/// Zones and the thousandths of queries that are routed to them.
fn fractions<const N: usize>(expected: [(u16, u16); N]) -> Vec<ZoneFraction> {
    expected.map(|(zone, permille)| ZoneFraction { zone, permille }).to_vec()
}

fn at(ms: i64) -> Timestamp {
    Timestamp::from_secs_f64(100.0) + TimeSpan::from_millis(ms)
}

fn follow() -> DecisionFollower {
    DecisionFollower::new(0, 3, Proximity::new(&["r", "r", "r"].map(str::to_string)), HOLD, false)
}

fn replica_counts(silent: [u16; 3]) -> Vec<ReplicaCounts> {
    silent
        .iter()
        .map(|&s| ReplicaCounts { listed: 10, answering: 10 - s, silent: s, ..ReplicaCounts::default() })
        .collect()
}

/// Zone 1 is out.
fn out(number: u64) -> Decision {
    let mut decision = Decision::initial(3, number);
    (decision.zones[1].state, decision.zones[1].retained) = (ZoneState::OutOfService, 0);
    decision
}

fn pass(follow: &mut DecisionFollower, from: i64, to: i64, silent: [u16; 3]) {
    (from..=to).step_by(100).for_each(|ms| follow.tick(at(ms), &replica_counts(silent)));
}

#[test]
fn no_older_decision_is_taken_after_a_newer_one() {
    let mut follow = follow();
    assert_eq!(follow.status(at(0)), DecisionStatus::NoDecision);
    assert_eq!(
        follow.plan(at(0)),
        RoutingPlan { decision_number: 0, fractions: fractions([(0, 1000)]), closed_zones: vec![], shed: 0 }
    );
    assert!(follow.handle_decision(at(0), out(5)));
    assert!(
        !follow.handle_decision(at(0), out(4)) && !follow.handle_decision(at(0), Decision::initial(3, 5))
    );
    assert_eq!(
        (follow.stale_decisions, follow.plan(at(0)).decision_number, follow.plan(at(0)).closed_zones),
        (2, 5, vec![1])
    );
    assert!(!follow.handle_decision(at(0), Decision::initial(2, 9)), "of other zones");
}

#[test]
fn old_beats_say_nothing_and_one_of_a_missed_decision_makes_it_look() {
    let mut follow = follow();
    follow.handle_decision(at(0), out(5));
    follow.handle_heartbeat(at(0), (2, 7), 5);
    assert_eq!(follow.status(at(100)), DecisionStatus::Following);
    // A leader of before that woke goes on beating.
    follow.handle_heartbeat(at(3000), (1, 900), 5);
    follow.handle_heartbeat(at(3000), (2, 7), 5);
    assert_eq!(follow.status(at(3000)), DecisionStatus::Holding);
    follow.handle_heartbeat(at(3100), (2, 8), 6);
    assert!(follow.should_query(at(3100)) && follow.status(at(3100)) == DecisionStatus::Holding);
    follow.handle_decision(at(0), out(6));
    follow.handle_heartbeat(at(3200), (2, 9), 6);
    assert!(!follow.should_query(at(3200)));
}

#[test]
fn a_beat_heard_of_late_is_as_old_as_it_is() {
    let mut follow = follow();
    follow.handle_decision(at(0), out(5));
    follow.handle_heartbeat(at(0), (1, 1), 5);
    // At 2.4 s a member says that it heard a newer one, two seconds ago.
    follow.handle_heartbeat(at(400), (1, 2), 5);
    assert_eq!(follow.status(at(2800)), DecisionStatus::Following);
    assert_eq!(
        (follow.status(at(3000)), follow.heartbeat_age(at(3000))),
        (DecisionStatus::Holding, TimeSpan::from_millis(2600))
    );
}

#[test]
fn it_holds_for_the_stated_time_and_then_moves_no_more_than_the_stated_share() {
    let mut follow = follow();
    follow.handle_decision(at(0), Decision::initial(3, 5));
    follow.handle_heartbeat(at(0), (1, 1), 5);
    pass(&mut follow, 0, 9000, [10, 0, 0]);
    assert_eq!(follow.status(at(9000)), DecisionStatus::Holding);
    assert_eq!(follow.plan(at(9000)).fractions, fractions([(0, 1000)]), "own evidence does not count yet");
    pass(&mut follow, 9100, 11_000, [10, 0, 0]);
    assert_eq!(follow.status(at(11_000)), DecisionStatus::Isolated);
    assert_eq!(follow.plan(at(11_000)).fractions, fractions([(0, 500), (1, 250), (2, 250)]));
    // Voters again: to the letter.
    follow.handle_heartbeat(at(11_100), (1, 2), 5);
    assert_eq!(follow.plan(at(11_100)).fractions, fractions([(0, 1000)]));
}

#[test]
fn alone_a_zone_that_was_out_stays_out_while_another_serves() {
    let mut follow = follow();
    follow.handle_decision(at(0), out(5));
    pass(&mut follow, 0, 20_000, [0, 0, 0]);
    assert_eq!(follow.status(at(20_000)), DecisionStatus::Isolated);
    assert_eq!(follow.plan(at(20_000)).closed_zones, [1]);
}

#[test]
fn a_copy_that_stood_still_looks_before_it_goes_on() {
    let mut follow = follow();
    let mut spilling = Decision::initial(3, 5);
    for (place, (demand, capacity)) in spilling.zones.iter_mut().zip([(300, 200), (10, 900), (10, 900)]) {
        (place.demand, place.capacity) = (demand, capacity);
    }
    follow.handle_decision(at(0), spilling);
    pass(&mut follow, 0, 500, [0; 3]);
    follow.handle_heartbeat(at(500), (1, 1), 5);
    assert!(follow.plan(at(500)).fractions.len() == 3);
    follow.tick(at(30_000), &replica_counts([0; 3]));
    assert_eq!(follow.status(at(30_000)), DecisionStatus::Resyncing);
    assert_eq!(follow.plan(at(30_000)).fractions, fractions([(0, 1000)]));
    assert!(follow.should_query(at(30_000)));
    follow.handle_heartbeat(at(30_100), (1, 60), 5);
    assert_eq!(
        (follow.status(at(30_100)), follow.plan(at(30_100)).fractions.len()),
        (DecisionStatus::Following, 3)
    );
}

#[test]
fn what_is_recalled_is_a_floor_at_once_and_gone_by_only_when_nobody_says_what_stands() {
    let mut follow = follow();
    follow.restore(at(0), out(7));
    assert_eq!((follow.status(at(0)), follow.plan(at(0)).closed_zones), (DecisionStatus::NoDecision, vec![]));
    assert!(
        !follow.handle_decision(at(10), out(6)),
        "a survivor that missed one says less than was acted on"
    );
    assert_eq!(follow.stale_decisions, 1);
    pass(&mut follow, 0, 3900, [0; 3]);
    assert_eq!(follow.status(at(3900)), DecisionStatus::NoDecision);
    pass(&mut follow, 4000, 4100, [0; 3]);
    assert_eq!(
        (follow.status(at(4100)), follow.plan(at(4100)).closed_zones),
        (DecisionStatus::Isolated, vec![1])
    );
    // Then what stands is heard after all.
    assert!(follow.handle_decision(at(4200), Decision::initial(3, 8)));
    follow.handle_heartbeat(at(4200), (1, 1), 8);
    assert_eq!(
        (follow.status(at(4300)), follow.plan(at(4300)).closed_zones),
        (DecisionStatus::Following, vec![])
    );
}

#[test]
fn the_same_that_was_recalled_is_followed_as_soon_as_it_is_said_to_stand() {
    let mut follow = follow();
    follow.restore(at(0), out(7));
    assert!(follow.handle_decision(at(300), out(7)));
    follow.handle_heartbeat(at(300), (4, 1), 7);
    assert_eq!(
        (follow.status(at(400)), follow.plan(at(400)).closed_zones),
        (DecisionStatus::Following, vec![1])
    );
}

#[test]
fn dry_nothing_moves() {
    let mut follow =
        DecisionFollower::new(1, 3, Proximity::new(&["r", "r", "r"].map(str::to_string)), HOLD, true);
    follow.handle_decision(at(0), out(5));
    assert_eq!(follow.plan(at(0)).fractions, fractions([(1, 1000)]));
    assert_eq!(follow.plan(at(0)).closed_zones, Vec::<u16>::new());
}
