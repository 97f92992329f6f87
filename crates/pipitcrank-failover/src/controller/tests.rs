use pipitcrank_core::time::TimeSpan;
use pipitcrank_membership::evidence::{EvidenceReport, EvidenceTable, ReplicaCounts};
use proptest::prelude::*;

use super::timing::{DRAIN_STEP, DRAIN_STEP_INTERVAL, RETURN_STEP};
use super::*;
use crate::routing_table::RoutingTable;

const TIMING: FailoverTiming = FailoverTiming {
    suspect_after: TimeSpan::from_millis(500),
    hold_down: TimeSpan::from_millis(2000),
    max_hold_down: TimeSpan::from_millis(16_000),
    hold_down_reset_after: TimeSpan::from_millis(30_000),
};

/// Three zones of ten replicas each. A replica answers 100 parts per second; each zone has a demand of 300.
struct Setup {
    controller: FailoverController,
    decision: Decision,
    now: Timestamp,
    /// `[from][to]`: replicas of zone `to` that are silent as observed from zone `from`.
    silent: [[u16; 3]; 3],
    /// Saturated replicas of each zone.
    saturated: [u16; 3],
    demand: u32,
    answered_parts: u32,
    /// Zone whose nodes send no reports.
    unreported: Option<usize>,
    history: Vec<(Timestamp, Decision)>,
}

fn setup() -> Setup {
    let proximity = Proximity::new(&["r", "r", "r"].map(str::to_string));
    let mut controller = FailoverController::new(TIMING, proximity, 3, 100.0);
    controller.leadership_gained(Timestamp::default());
    let (silent, saturated) = ([[0; 3]; 3], [0; 3]);
    let decision = Decision::initial(3, 1 << 32);
    Setup {
        controller,
        decision,
        now: Timestamp::default(),
        silent,
        saturated,
        demand: 300,
        answered_parts: 100,
        unreported: None,
        history: Vec::new(),
    }
}

impl Setup {
    fn matrix(&self) -> EvidenceMatrix {
        let mut table = EvidenceTable::new(3);
        for zone in (0..3usize).filter(|z| self.unreported != Some(*z)) {
            let counts = |to: usize| {
                let silent = self.silent[zone][to];
                let saturated = self.saturated[to].min(10 - silent);
                ReplicaCounts {
                    listed: 10,
                    unresponsive: silent,
                    saturated,
                    responsive: 10 - silent - saturated,
                    answered_parts: self.answered_parts,
                    ..ReplicaCounts::default()
                }
            };
            let report = EvidenceReport {
                zone: zone as u16,
                sequence: 1,
                replica_counts: (0..3).map(counts).collect(),
                demand: self.demand,
                nodes: 1,
            };
            let from = ([127, 0, 0, 1], zone as u16).into();
            assert!(table.record(self.now, from, 1, report));
        }
        table.matrix(self.now)
    }

    fn advance(&mut self, ms: i64) {
        for _ in 0..ms / 50 {
            self.now = self.now + TimeSpan::from_millis(50);
            let matrix = self.matrix();
            if let Some(mut next) = self.controller.next_decision(self.now, &matrix, &self.decision) {
                next.number = self.decision.number + 1;
                self.decision = next;
                self.history.push((self.now, self.decision.clone()));
            }
        }
    }

    fn kill(&mut self, zone: usize) {
        (0..3).for_each(|from| self.silent[from][zone] = 10);
    }

    fn heal(&mut self) {
        self.silent = [[0; 3]; 3];
    }

    fn state(&self, zone: usize) -> (ZoneState, u16) {
        (self.decision.zones[zone].state, self.decision.zones[zone].retained)
    }
}

#[test]
fn a_dead_zone_is_drained_and_returned_in_steps() {
    let mut setup = setup();
    setup.advance(2000);
    assert_eq!(setup.state(1), (ZoneState::Serving, 1000));
    setup.kill(1);
    setup.advance(2000);
    assert_eq!(setup.state(1), (ZoneState::OutOfService, 0), "within two seconds of the evidence");
    let retained: Vec<u16> = setup.history.iter().map(|(_, d)| d.zones[1].retained).collect();
    assert!(retained.windows(2).all(|w| w[0].abs_diff(w[1]) <= DRAIN_STEP), "{retained:?}");
    setup.advance(5000);
    assert_eq!(setup.state(1), (ZoneState::OutOfService, 0), "a dead zone does not return");
    setup.heal();
    let healed = setup.now;
    setup.advance(12_000);
    assert_eq!(setup.state(1), (ZoneState::Serving, 1000));
    let first = setup.history.iter().find(|(at, d)| *at > healed && d.zones[1].retained > 0).unwrap();
    assert!(first.0 - healed >= TIMING.hold_down);
}

#[test]
fn half_a_zone_is_not_drained_and_a_short_fault_moves_nothing() {
    let mut setup = setup();
    (0..3).for_each(|from| setup.silent[from][1] = 5);
    setup.advance(5000);
    assert_eq!(setup.state(1), (ZoneState::Serving, 1000));
    assert_eq!(setup.decision.zones[1].capacity, 500);
    setup.heal();
    setup.advance(2000);
    setup.kill(1);
    setup.advance(300);
    setup.heal();
    setup.advance(1000);
    assert_eq!(setup.state(1), (ZoneState::Serving, 1000));
    assert!(setup.history.iter().all(|(_, d)| d.zones[1].retained == 1000));
}

#[test]
fn flapping_is_held_down_longer_each_time_until_a_calm_period() {
    let mut setup = setup();
    let mut last = Timestamp::default();
    let mut waits = Vec::new();
    for _ in 0..4 {
        setup.kill(1);
        setup.advance(3000);
        setup.heal();
        last = setup.now;
        while setup.decision.zones[1].retained == 0 {
            setup.advance(50);
        }
        waits.push((setup.now - last).as_secs_f64());
        // The fault returns before the zone serves again.
        setup.advance(300);
    }
    assert!(waits.windows(2).all(|w| w[1] >= w[0] * 1.7), "waits {waits:?}, last heal at {last:?}");
    setup.advance(60_000);
    assert_eq!((setup.state(1).0, setup.decision.zones[1].hold_down_level), (ZoneState::Serving, 0));
}

#[test]
fn a_zone_that_flaps_every_three_seconds_stays_out_of_service() {
    let mut setup = setup();
    for _ in 0..20 {
        setup.kill(1);
        setup.advance(3000);
        setup.heal();
        setup.advance(3000);
    }
    let returns =
        setup.history.iter().filter(|(_, d)| d.zone == 1 && d.cause == DecisionCause::Healthy).count();
    assert!(returns <= 6, "{returns} returns within two minutes");
    assert_eq!(setup.state(1).0, ZoneState::OutOfService);
}

#[test]
fn a_cut_between_two_zones_closes_that_path_alone() {
    let mut setup = setup();
    (setup.silent[0][1], setup.silent[1][0]) = (10, 10);
    setup.advance(3000);
    assert!((0..3).all(|z| setup.state(z) == (ZoneState::Serving, 1000)));
    assert_eq!([0, 1, 2].map(|z| setup.decision.zones[z].cut_paths), [0b010, 0b001, 0]);
    setup.heal();
    setup.advance(4000);
    assert_eq!([0, 1, 2].map(|z| setup.decision.zones[z].cut_paths), [0, 0, 0]);
}

#[test]
fn a_zone_that_nobody_else_reaches_still_serves_its_own_clients() {
    let mut setup = setup();
    setup.silent = [[0, 10, 0], [10, 0, 10], [0, 10, 0]];
    setup.advance(4000);
    assert!((0..3).all(|z| setup.state(z) == (ZoneState::Serving, 1000)));
    assert_eq!([0, 1, 2].map(|z| setup.decision.zones[z].cut_paths), [0b010, 0b101, 0b010]);
    let table = RoutingTable::new(&setup.decision, &setup.controller.proximity);
    assert_eq!((table.fractions[1].clone(), table.shed[1]), (vec![0, 1000, 0], 0));
}

#[test]
fn two_zones_are_drained_a_second_apart_and_never_all() {
    let mut setup = setup();
    setup.kill(1);
    setup.advance(1000);
    setup.kill(2);
    setup.advance(3000);
    assert_eq!([1, 2].map(|z| setup.state(z).0), [ZoneState::OutOfService, ZoneState::OutOfService]);
    setup.kill(0);
    setup.advance(5000);
    assert_eq!(setup.state(0), (ZoneState::Serving, 1000), "no other zone is left to take the load");
}

#[test]
fn a_slow_zone_is_drained_only_within_spare_capacity() {
    let mut setup = setup();
    // Each of the three zones has a demand of 700: the others have 200 free each, so the slow zone's 700 do
    // not fit.
    (setup.demand, setup.answered_parts) = (700, 234);
    setup.saturated[1] = 10;
    setup.advance(6000);
    let retained = setup.state(1).1;
    assert!(
        setup.state(1).0 == ZoneState::Draining && retained > 0 && retained < 1000,
        "{:?}",
        setup.state(1)
    );
    let table = RoutingTable::new(&setup.decision, &setup.controller.proximity);
    assert_eq!(table.shed, [0, 0, 0]);
}

#[test]
fn operators_orders_are_rejected_with_a_reason_where_a_rule_forbids() {
    let mut setup = setup();
    setup.advance(2000);
    let matrix = setup.matrix();
    let apply = |d: &Decision, order| setup.controller.apply_order(&matrix, d, order);
    assert!(apply(&setup.decision, OperatorOrder::Drain(7)).unwrap_err().to_string().contains("no zone"));
    assert!(apply(&setup.decision, OperatorOrder::Return(1)).unwrap_err().to_string().contains("serving"));
    assert!(apply(&setup.decision, OperatorOrder::Thaw).unwrap_err().to_string().contains("not frozen"));
    let drained = apply(&setup.decision, OperatorOrder::Drain(1)).unwrap();
    assert_eq!((drained.zones[1].state, drained.zones[1].drained), (ZoneState::Draining, true));
    assert!(apply(&drained, OperatorOrder::Drain(1)).unwrap_err().to_string().contains("already"));
    setup.decision = drained;
    setup.advance(3000);
    assert_eq!(setup.state(1), (ZoneState::OutOfService, 0));
    setup.advance(60_000);
    assert_eq!(
        setup.state(1),
        (ZoneState::OutOfService, 0),
        "a drained zone stays out of service until it is returned"
    );
    let (matrix, current) = (setup.matrix(), setup.decision.clone());
    let one_more = setup.controller.apply_order(&matrix, &current, OperatorOrder::Drain(2));
    assert!(one_more.is_err() || setup.decision.zones[2].capacity >= 1000, "{one_more:?}");
    setup.decision = setup.controller.apply_order(&matrix, &current, OperatorOrder::Return(1)).unwrap();
    setup.advance(10_000);
    assert_eq!(setup.state(1), (ZoneState::Serving, 1000));
    // The total demand exceeds the capacity of two zones.
    setup.demand = 700;
    setup.advance(2000);
    let rejection = setup
        .controller
        .apply_order(&setup.matrix(), &setup.decision, OperatorOrder::Drain(1))
        .unwrap_err()
        .to_string();
    assert!(rejection.contains("1800 parts a second of the 2100"), "{rejection}");
}

#[test]
fn while_frozen_nothing_moves_by_itself() {
    let mut setup = setup();
    setup.decision =
        setup.controller.apply_order(&setup.matrix(), &setup.decision, OperatorOrder::Freeze).unwrap();
    setup.kill(1);
    setup.advance(5000);
    assert_eq!(setup.state(1), (ZoneState::Serving, 1000));
    setup.decision =
        setup.controller.apply_order(&setup.matrix(), &setup.decision, OperatorOrder::Thaw).unwrap();
    setup.advance(3000);
    assert_eq!(setup.state(1).0, ZoneState::OutOfService);
}

#[test]
fn a_zone_cut_off_whose_nodes_do_not_report_is_drained() {
    let mut setup = setup();
    setup.kill(1);
    setup.silent[1] = [0; 3];
    setup.unreported = Some(1);
    setup.advance(2500);
    assert_eq!(setup.state(1).0, ZoneState::OutOfService);
    let first = setup.history.iter().find(|(_, d)| d.zone == 1 && d.cause != DecisionCause::LoadChanged);
    assert_eq!(first.unwrap().1.cause, DecisionCause::CutOff);
}

#[test]
fn what_saturated_replicas_answered_counts_against_the_configured_capacity() {
    let mut setup = setup();
    setup.saturated[1] = 4;
    setup.advance(500);
    // Ten saturated replicas answer 300 parts per second: 30 each instead of the configured 100.
    assert!(
        setup.controller.tracker.zones[1].replica_capacity < 31.0,
        "{}",
        setup.controller.tracker.zones[1].replica_capacity
    );
    setup.saturated[1] = 0;
    setup.advance(60_000);
    assert_eq!(setup.controller.tracker.zones[1].replica_capacity, 100.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 64, ..ProptestConfig::default() })]

    /// Checks random evidence sequences against a plain model of the rules: steps are neither larger nor
    /// faster than specified, some zone always keeps load, and after the faults end every zone serves again.
    #[test]
    fn moves_keep_the_rules(script in proptest::collection::vec((0usize..3, 0u16..=10, 0u16..=10, 50i64..1500), 1..40)) {
        let mut setup = setup();
        for (zone, silent, saturated, ms) in script {
            (0..3).for_each(|from| setup.silent[from][zone] = silent);
            setup.saturated[zone] = saturated;
            setup.advance(ms);
        }
        let mut before = (Timestamp::default(), Decision::initial(3, 1 << 32));
        let mut changed = [Timestamp::from_micros(i64::MIN / 4); 3];
        for (at, decision) in &setup.history {
            prop_assert!(decision.is_valid(3));
            prop_assert!(decision.zones.iter().any(|p| p.retained > 0), "all zones are out of service: {:?}", decision);
            for (zone, last) in changed.iter_mut().enumerate() {
                let (was, is) = (&before.1.zones[zone], &decision.zones[zone]);
                prop_assert!(was.retained.saturating_sub(is.retained) <= DRAIN_STEP);
                prop_assert!(is.retained.saturating_sub(was.retained) <= RETURN_STEP);
                if was.retained != is.retained {
                    let quick = decision.cause == DecisionCause::NextStep && *at - *last < DRAIN_STEP_INTERVAL;
                    prop_assert!(!quick, "{at:?} {decision:?}");
                    *last = *at;
                }
            }
            before = (*at, decision.clone());
        }
        setup.heal();
        setup.saturated = [0; 3];
        setup.advance(60_000);
        prop_assert!((0..3).all(|z| setup.state(z) == (ZoneState::Serving, 1000)), "{:?}", setup.decision);
    }
}
