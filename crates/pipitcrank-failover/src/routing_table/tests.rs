use proptest::prelude::*;

use super::*;
use crate::decision::ZoneState;

fn one_region(zones: usize) -> Proximity {
    Proximity::new(&vec!["r".to_string(); zones])
}

fn decided(figures: &[(u32, u32, u16)]) -> Decision {
    let mut decision = Decision::initial(figures.len(), 1);
    for (zone, &(demand, capacity, retained)) in decision.zones.iter_mut().zip(figures) {
        (zone.demand, zone.capacity, zone.retained) = (demand, capacity, retained);
        zone.state = if retained == 0 { ZoneState::OutOfService } else { ZoneState::Serving };
    }
    decision
}

#[test]
fn without_faults_everything_stays_local() {
    for figures in
        [vec![(0, UNKNOWN_CAPACITY, 1000); 3], vec![(100, 200, 1000); 3], vec![(180, 200, 1000); 3]]
    {
        let table = RoutingTable::new(&decided(&figures), &one_region(3));
        for from in 0..3 {
            assert_eq!((table.fractions[from][from], table.shed[from]), (1000, 0), "{figures:?}");
        }
    }
}

#[test]
fn the_least_spills_in_proportion_to_free_capacity() {
    // Zone 0 has a demand of 300 and answers 180 of it; the two others have 80 free each.
    let spilled =
        RoutingTable::new(&decided(&[(300, 200, 1000), (100, 200, 1000), (100, 200, 1000)]), &one_region(3));
    assert_eq!(spilled.fractions[0], [600, 200, 200]);
    assert_eq!(spilled.fractions[1], [0, 1000, 0], "what fits stays local");
    assert_eq!(spilled.shed, [0, 0, 0]);
}

#[test]
fn load_of_a_zone_out_of_service_goes_to_the_others_and_the_rest_is_shed() {
    let out =
        RoutingTable::new(&decided(&[(100, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &one_region(3));
    assert_eq!(out.fractions[0], [0, 500, 500]);
    let shed =
        RoutingTable::new(&decided(&[(300, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &one_region(3));
    assert_eq!(shed.fractions[0], [0, 500, 500]);
    assert_eq!(shed.shed[0], 466, "160 of 300 are answered");
    assert_eq!((shed.shed[1], shed.shed[2]), (0, 0), "no other zone sheds");
    let nobody = RoutingTable::new(&decided(&[(10, 200, 0), (10, 200, 0)]), &one_region(2));
    assert_eq!((nobody.fractions[0].clone(), nobody.shed[0]), (vec![0, 0], 1000));
}

#[test]
fn steps_move_that_fraction_of_the_usual_load() {
    for retained in [750, 500, 250] {
        let moved = RoutingTable::new(
            &decided(&[(100, 1000, retained), (100, 1000, 1000), (100, 1000, 1000)]),
            &one_region(3),
        );
        assert!(moved.fractions[0][0].abs_diff(retained) <= 1, "{moved:?}");
    }
}

#[test]
fn a_cut_path_is_not_used_and_other_regions_come_last() {
    let mut decision = decided(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]);
    decision.zones[0].cut_paths = 0b010;
    assert_eq!(RoutingTable::new(&decision, &one_region(3)).fractions[0][1], 0);
    let regions = ["a", "a", "b"].map(str::to_string);
    let other_region = RoutingTable::new(
        &decided(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]),
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

    /// Whatever demand and capacity are: no zone is routed more than its capacity, all rows are complete, nothing is routed
    /// to a zone out of service or over a cut path, nothing is shed while an open zone has free capacity, and nothing
    /// spills while there is free capacity at home.
    #[test]
    fn routing_keeps_its_invariants(figures in proptest::collection::vec((0u32..5000, 0u32..5000, 0usize..4), 1..6),
                                  cuts in proptest::collection::vec(0u16..64, 6)) {
        let zones = figures.len();
        let retained = [0, 1000, 1000, 500];
        let mut decision = decided(&figures.iter().map(|f| (f.0, f.1, retained[f.2])).collect::<Vec<_>>());
        for (n, zone) in decision.zones.iter_mut().enumerate() {
            zone.cut_paths = cuts[n] & !(1 << n);
        }
        let proximity = one_region(zones);
        let found = RoutingTable::new(&decision, &proximity);
        for to in 0..zones {
            let zone = &decision.zones[to];
            prop_assert!(found.load[to] <= u64::from(zone.capacity) * 9 / 10 + 1, "over the capacity of {to}: {found:?}");
            prop_assert!(zone.retained > 0 || found.load[to] == 0);
        }
        for from in 0..zones {
            let sum: u16 = found.fractions[from].iter().sum();
            prop_assert!(sum == 1000 || sum == 0 && found.shed[from] == 1000, "{found:?}");
            for to in 0..zones {
                prop_assert!(found.fractions[from][to] == 0 || decision.allows(from, to));
            }
            let free = |to: usize| {
                let zone = &decision.zones[to];
                if zone.retained == 1000 { (u64::from(zone.capacity) * 9 / 10).saturating_sub(found.load[to]) } else { 0 }
            };
            let open_free = (0..zones).filter(|&to| decision.allows(from, to)).map(free).max().unwrap_or(0);
            prop_assert!(found.shed[from] == 0 || open_free <= 2 + u64::from(decision.zones[from].demand) / 200, "{decision:?} {found:?}");
            if found.fractions[from][from] < 990 && decision.allows(from, from) && found.shed[from] == 0 {
                prop_assert!(free(from) <= 2 + u64::from(decision.zones[from].demand) / 100, "{decision:?} {found:?}");
            }
        }
    }
}
