use proptest::prelude::*;

use super::*;
use crate::decision::ZoneState;

fn near(zones: usize) -> Proximity {
    Proximity::new(&vec!["r".to_string(); zones])
}

fn decided(figures: &[(u32, u32, u16)]) -> Decision {
    let mut decision = Decision::initial(figures.len(), 1);
    for (place, &(demand, capacity, retained)) in decision.zones.iter_mut().zip(figures) {
        (place.demand, place.capacity, place.retained) = (demand, capacity, retained);
        place.state = if retained == 0 { ZoneState::OutOfService } else { ZoneState::Serving };
    }
    decision
}

#[test]
fn on_calm_all_stays_near() {
    for figures in
        [vec![(0, UNKNOWN_CAPACITY, 1000); 3], vec![(100, 200, 1000); 3], vec![(180, 200, 1000); 3]]
    {
        let table = RoutingTable::new(&decided(&figures), &near(3));
        for from in 0..3 {
            assert_eq!((table.fractions[from][from], table.shed[from]), (1000, 0), "{figures:?}");
        }
    }
}

#[test]
fn the_least_spills_and_evenly_to_who_has_room() {
    // Zone 0 is asked 300 and carries 180 of them; the two others have 80 free each.
    let spilled =
        RoutingTable::new(&decided(&[(300, 200, 1000), (100, 200, 1000), (100, 200, 1000)]), &near(3));
    assert_eq!(spilled.fractions[0], [600, 200, 200]);
    assert_eq!(spilled.fractions[1], [0, 1000, 0], "near stays near");
    assert_eq!(spilled.shed, [0, 0, 0]);
}

#[test]
fn a_zone_that_is_out_goes_to_the_others_and_the_rest_is_lacking() {
    let out = RoutingTable::new(&decided(&[(100, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &near(3));
    assert_eq!(out.fractions[0], [0, 500, 500]);
    let shed = RoutingTable::new(&decided(&[(300, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &near(3));
    assert_eq!(shed.fractions[0], [0, 500, 500]);
    assert_eq!(shed.shed[0], 466, "160 of 300 are carried");
    assert_eq!((shed.shed[1], shed.shed[2]), (0, 0), "nobody else gives way");
    let nobody = RoutingTable::new(&decided(&[(10, 200, 0), (10, 200, 0)]), &near(2));
    assert_eq!((nobody.fractions[0].clone(), nobody.shed[0]), (vec![0, 0], 1000));
}

#[test]
fn steps_move_that_much_of_the_usual_load() {
    for retained in [750, 500, 250] {
        let moved = RoutingTable::new(
            &decided(&[(100, 1000, retained), (100, 1000, 1000), (100, 1000, 1000)]),
            &near(3),
        );
        assert!(moved.fractions[0][0].abs_diff(retained) <= 1, "{moved:?}");
    }
}

#[test]
fn a_cut_way_is_not_used_and_regions_come_last() {
    let mut decision = decided(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]);
    decision.zones[0].cut_paths = 0b010;
    assert_eq!(RoutingTable::new(&decision, &near(3)).fractions[0][1], 0);
    let regions = ["a", "a", "b"].map(str::to_string);
    let far = RoutingTable::new(
        &decided(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]),
        &Proximity::new(&regions),
    );
    assert_eq!((far.fractions[0][1] > 0, far.fractions[0][2]), (true, 0), "{far:?}");
}

#[test]
fn the_least_useful_is_turned_away_first() {
    let mix = [(0.5, 1.0), (0.3, 3.0), (0.2, 0.5)]
        .map(|(work_fraction, priority_weight)| ClassLoad { work_fraction, priority_weight });
    assert_eq!(shed_fractions(0, &mix), [0.0, 0.0, 0.0]);
    let away = shed_fractions(300, &mix);
    assert!((away[0] - 0.2).abs() < 1e-9 && away[1] == 0.0 && away[2] == 1.0, "{away:?}");
    assert_eq!(shed_fractions(1000, &mix), [1.0, 1.0, 1.0]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is asked and can be carried: no zone is given more than it carries, all rows are whole, nothing goes
    /// into a zone that is out or over a cut way, nothing is lacking while an open zone has room, and nothing goes
    /// across while there is room at home.
    #[test]
    fn shares_keep_their_promises(figures in proptest::collection::vec((0u32..5000, 0u32..5000, 0usize..4), 1..6),
                                  cuts in proptest::collection::vec(0u16..64, 6)) {
        let zones = figures.len();
        let retained = [0, 1000, 1000, 500];
        let mut decision = decided(&figures.iter().map(|f| (f.0, f.1, retained[f.2])).collect::<Vec<_>>());
        for (n, place) in decision.zones.iter_mut().enumerate() {
            place.cut_paths = cuts[n] & !(1 << n);
        }
        let near = near(zones);
        let found = RoutingTable::new(&decision, &near);
        for to in 0..zones {
            let place = &decision.zones[to];
            prop_assert!(found.load[to] <= u64::from(place.capacity) * 9 / 10 + 1, "over what {to} carries: {found:?}");
            prop_assert!(place.retained > 0 || found.load[to] == 0);
        }
        for from in 0..zones {
            let sum: u16 = found.fractions[from].iter().sum();
            prop_assert!(sum == 1000 || sum == 0 && found.shed[from] == 1000, "{found:?}");
            for to in 0..zones {
                prop_assert!(found.fractions[from][to] == 0 || decision.allows(from, to));
            }
            let room = |to: usize| {
                let place = &decision.zones[to];
                if place.retained == 1000 { (u64::from(place.capacity) * 9 / 10).saturating_sub(found.load[to]) } else { 0 }
            };
            let open_room = (0..zones).filter(|&to| decision.allows(from, to)).map(room).max().unwrap_or(0);
            prop_assert!(found.shed[from] == 0 || open_room <= 2 + u64::from(decision.zones[from].demand) / 200, "{decision:?} {found:?}");
            if found.fractions[from][from] < 990 && decision.allows(from, from) && found.shed[from] == 0 {
                prop_assert!(room(from) <= 2 + u64::from(decision.zones[from].demand) / 100, "{decision:?} {found:?}");
            }
        }
    }
}
