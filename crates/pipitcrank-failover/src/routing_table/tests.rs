use proptest::prelude::*;

use super::*;
use crate::decision::ZoneState;

fn one_region(zones: usize) -> Proximity {
    Proximity::new(&vec!["r".to_string(); zones])
}

fn decision(inputs: &[(u32, u32, u16)]) -> Decision {
    let mut decision = Decision::initial(inputs.len(), 1);
    for (zone, &(demand, capacity, retained)) in decision.zones.iter_mut().zip(inputs) {
        (zone.demand, zone.capacity, zone.retained) = (demand, capacity, retained);
        zone.state = if retained == 0 { ZoneState::OutOfService } else { ZoneState::Serving };
    }
    decision
}

#[test]
fn without_faults_everything_stays_local() {
    for inputs in [vec![(0, UNKNOWN_CAPACITY, 1000); 3], vec![(100, 200, 1000); 3], vec![(180, 200, 1000); 3]]
    {
        let table = RoutingTable::new(&decision(&inputs), &one_region(3));
        for from in 0..3 {
            assert_eq!((table.fractions[from][from], table.shed[from]), (1000, 0), "{inputs:?}");
        }
    }
}

#[test]
fn the_least_spills_in_proportion_to_free_capacity() {
    // Zone 0 has a demand of 300 and answers 180 itself; the two other zones have 80 free each.
    let spilled =
        RoutingTable::new(&decision(&[(300, 200, 1000), (100, 200, 1000), (100, 200, 1000)]), &one_region(3));
    assert_eq!(spilled.fractions[0], [600, 200, 200]);
    assert_eq!(spilled.fractions[1], [0, 1000, 0], "demand within the local capacity stays local");
    assert_eq!(spilled.shed, [0, 0, 0]);
}

#[test]
fn load_of_a_zone_out_of_service_moves_or_is_shed() {
    let moved =
        RoutingTable::new(&decision(&[(100, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &one_region(3));
    assert_eq!(moved.fractions[0], [0, 500, 500]);
    let shed =
        RoutingTable::new(&decision(&[(300, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &one_region(3));
    assert_eq!(shed.fractions[0], [0, 500, 500]);
    assert_eq!(shed.shed[0], 466, "160 of 300 are answered");
    assert_eq!((shed.shed[1], shed.shed[2]), (0, 0), "no other zone sheds");
    let closed = RoutingTable::new(&decision(&[(10, 200, 0), (10, 200, 0)]), &one_region(2));
    assert_eq!((closed.fractions[0].clone(), closed.shed[0]), (vec![0, 0], 1000));
}

#[test]
fn steps_move_that_fraction_of_the_usual_load() {
    for retained in [750, 500, 250] {
        let moved = RoutingTable::new(
            &decision(&[(100, 1000, retained), (100, 1000, 1000), (100, 1000, 1000)]),
            &one_region(3),
        );
        assert!(moved.fractions[0][0].abs_diff(retained) <= 1, "{moved:?}");
    }
}

#[test]
fn a_cut_path_is_not_used_and_other_regions_come_last() {
    let mut cut = decision(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]);
    cut.zones[0].cut_paths = 0b010;
    assert_eq!(RoutingTable::new(&cut, &one_region(3)).fractions[0][1], 0);
    let regions = ["a", "a", "b"].map(str::to_string);
    let other_region = RoutingTable::new(
        &decision(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]),
        &Proximity::new(&regions),
    );
    assert_eq!(
        (other_region.fractions[0][1] > 0, other_region.fractions[0][2]),
        (true, 0),
        "{other_region:?}"
    );
}

#[test]
fn the_lowest_priority_is_shed_first() {
    let classes = [(0.5, 1.0), (0.3, 3.0), (0.2, 0.5)]
        .map(|(work_fraction, priority_weight)| ClassLoad { work_fraction, priority_weight });
    assert_eq!(shed_fractions(0, &classes), [0.0, 0.0, 0.0]);
    let shed = shed_fractions(300, &classes);
    assert!((shed[0] - 0.2).abs() < 1e-9 && shed[1] == 0.0 && shed[2] == 1.0, "{shed:?}");
    assert_eq!(shed_fractions(1000, &classes), [1.0, 1.0, 1.0]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Invariants for random demand, capacity, states and cut paths: no zone is routed more than its
    /// capacity, every row is complete, nothing is routed to a closed zone or over a cut path, nothing is
    /// shed while an open zone has free capacity, and nothing spills while the local zone has free capacity.
    #[test]
    fn routing_keeps_its_invariants(inputs in proptest::collection::vec((0u32..5000, 0u32..5000, 0usize..4), 1..6),
                                  cuts in proptest::collection::vec(0u16..64, 6)) {
        let zones = inputs.len();
        let retained = [0, 1000, 1000, 500];
        let mut decision = decision(&inputs.iter().map(|f| (f.0, f.1, retained[f.2])).collect::<Vec<_>>());
        for (n, zone) in decision.zones.iter_mut().enumerate() {
            zone.cut_paths = cuts[n] & !(1 << n);
        }
        let proximity = one_region(zones);
        let table = RoutingTable::new(&decision, &proximity);
        for to in 0..zones {
            let zone = &decision.zones[to];
            prop_assert!(table.load[to] <= u64::from(zone.capacity) * 9 / 10 + 1, "load of zone {to} exceeds its capacity: {table:?}");
            prop_assert!(zone.retained > 0 || table.load[to] == 0);
        }
        for from in 0..zones {
            let sum: u16 = table.fractions[from].iter().sum();
            prop_assert!(sum == 1000 || sum == 0 && table.shed[from] == 1000, "{table:?}");
            for to in 0..zones {
                prop_assert!(table.fractions[from][to] == 0 || decision.allows(from, to));
            }
            let free = |to: usize| {
                let zone = &decision.zones[to];
                if zone.retained == 1000 { (u64::from(zone.capacity) * 9 / 10).saturating_sub(table.load[to]) } else { 0 }
            };
            let open_free = (0..zones).filter(|&to| decision.allows(from, to)).map(free).max().unwrap_or(0);
            prop_assert!(table.shed[from] == 0 || open_free <= 2 + u64::from(decision.zones[from].demand) / 200, "{decision:?} {table:?}");
            if table.fractions[from][from] < 990 && decision.allows(from, from) && table.shed[from] == 0 {
                prop_assert!(free(from) <= 2 + u64::from(decision.zones[from].demand) / 100, "{decision:?} {table:?}");
            }
        }
    }
}
