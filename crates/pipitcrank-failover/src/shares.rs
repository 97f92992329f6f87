//! Which share of a zone's queries is meant for which zone. All copies derive the same from the same decision, in whole
//! numbers, so that together they balance: near as far as near can carry, the least spill beyond, to the next nearest.
//! What no zone can carry is a lack, which is turned away.

use crate::decision::{Decision, UNKNOWN, WHOLE};

/// Of what a zone can carry, what is planned for, in thousandths: the rest is for what is uneven within a second.
const PLANNED: u64 = 900;
/// Turns in which zones of one distance share out what is left: each halves what is uneven at the least.
const TURNS: usize = 8;

/// The nearness of zones: 0 is the zone itself, 1 are the others of its region, 2 those of other regions. Zones of one
/// nearness share what spills, by the room they have.
#[derive(Clone, Debug, PartialEq)]
pub struct Nearness(Vec<Vec<u32>>);

impl Nearness {
    /// From each zone's region.
    pub fn new(regions: &[String]) -> Nearness {
        let zones = regions.len();
        let far = |from: usize, to: usize| match (from == to, regions[from] == regions[to]) {
            (true, _) => 0,
            // One class a region: who spills splits over all of it.
            (_, true) => 1,
            _ => 2,
        };
        Nearness((0..zones).map(|from| (0..zones).map(|to| far(from, to)).collect()).collect())
    }

    pub fn of(&self, from: usize, to: usize) -> u32 {
        self.0[from][to]
    }

    fn farthest(&self) -> u32 {
        self.0.iter().flatten().copied().max().unwrap_or(0)
    }
}

/// What goes where, in thousandths.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// `[from][to]`: of the queries of a zone that are served. Each row sums to a thousand, or to nothing where nobody can
    /// serve it.
    pub of: Vec<Vec<u16>>,
    /// Of a zone's queries, what can't be carried by anybody.
    pub lack: Vec<u16>,
    /// Parts a second planned for each zone.
    pub load: Vec<u64>,
}

/// Parts a second that go from each zone to each, where zone `t` may be given `room[t]`.
fn flows(asked: &[u64], room: &[u64], open: &dyn Fn(usize, usize) -> bool, near: &Nearness) -> Vec<Vec<u64>> {
    let zones = asked.len();
    let (mut left, mut room) = (asked.to_vec(), room.to_vec());
    let mut flow = vec![vec![0u64; zones]; zones];
    for class in 0..=near.farthest() {
        for _ in 0..TURNS {
            let may = |from: usize, to: usize| near.of(from, to) == class && open(from, to);
            // What each would give to each, by the room there is.
            let mut wanted = vec![vec![0u64; zones]; zones];
            for from in 0..zones {
                let all: u128 = (0..zones).filter(|&to| may(from, to)).map(|to| u128::from(room[to])).sum();
                for to in (0..zones).filter(|&to| may(from, to) && all > 0) {
                    let share = u128::from(left[from]) * u128::from(room[to]);
                    wanted[from][to] = (share.div_ceil(all)).min(u128::from(left[from])) as u64;
                }
            }
            let mut moved = 0;
            for to in 0..zones {
                let all: u128 = (0..zones).map(|from| u128::from(wanted[from][to])).sum();
                let fits = u128::from(room[to]).min(all);
                for from in 0..zones {
                    if all == 0 {
                        break;
                    }
                    let given = (u128::from(wanted[from][to]) * fits / all) as u64;
                    let given = given.min(left[from]);
                    flow[from][to] += given;
                    left[from] -= given;
                    room[to] -= given.min(room[to]);
                    moved += given;
                }
            }
            if moved == 0 {
                break;
            }
        }
    }
    flow
}

/// The shares that follow from a decision.
pub fn table(decision: &Decision, near: &Nearness) -> Table {
    let zones = decision.places.len();
    let places = &decision.places;
    // A zone that nobody asks at still needs a row: the first query may come.
    let asked: Vec<u64> = places.iter().map(|p| u64::from(p.asked).max(1) * u64::from(WHOLE)).collect();
    let most = |carries: u32| match carries {
        UNKNOWN => u64::MAX >> 24,
        known => u64::from(known) * u64::from(WHOLE) * PLANNED / 1000,
    };
    let room: Vec<u64> = places.iter().map(|p| most(p.carries)).collect();
    let load = |flow: &[Vec<u64>]| -> Vec<u64> {
        (0..zones).map(|to| flow.iter().map(|row| row[to]).sum()).collect()
    };
    // A zone that is left in steps keeps that part of what it would have were all well.
    let usual = load(&flows(&asked, &room, &|from, to| places[from].cut & (1 << to) == 0, near));
    let room: Vec<u64> = (0..zones)
        .map(|t| match places[t].kept {
            WHOLE => room[t],
            kept => (u128::from(usual[t].min(room[t])) * u128::from(kept) / u128::from(WHOLE)) as u64,
        })
        .collect();
    let flow = flows(&asked, &room, &|from, to| decision.open(from, to), near);
    let mut table = Table { of: vec![vec![0; zones]; zones], lack: vec![0; zones], load: load(&flow) };
    table.load.iter_mut().for_each(|l| *l /= u64::from(WHOLE));
    for from in 0..zones {
        let served: u64 = flow[from].iter().sum();
        table.lack[from] = thousandths(asked[from] - served, asked[from]);
        if served == 0 {
            continue;
        }
        table.of[from] = flow[from].iter().map(|&given| thousandths(given, served)).collect();
        // What rounding left goes to the largest.
        let sum: u16 = table.of[from].iter().sum();
        if let Some(largest) = (0..zones).max_by_key(|&to| (table.of[from][to], zones - to)) {
            table.of[from][largest] += WHOLE - sum;
        }
    }
    table
}

fn thousandths(part: u64, of: u64) -> u16 {
    (u128::from(part) * u128::from(WHOLE) / u128::from(of.max(1))) as u16
}

/// Of each vertical, the share (0 to 1) to be turned away so that `lack` (thousandths) of the work is: those of least
/// utility a work first. `mix`: share of the work and utility a work of each.
pub fn turned_away(lack: u16, mix: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..mix.len()).collect();
    order.sort_by(|&a, &b| mix[a].1.total_cmp(&mix[b].1));
    let all: f64 = mix.iter().map(|m| m.0).sum();
    let mut left = f64::from(lack) / f64::from(WHOLE) * all;
    let mut away = vec![0.0; mix.len()];
    for n in order {
        let take = left.min(mix[n].0);
        away[n] = if mix[n].0 > 0.0 { take / mix[n].0 } else { 0.0 };
        left -= take;
    }
    away
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::decision::State;

    fn near(zones: usize) -> Nearness {
        Nearness::new(&vec!["r".to_string(); zones])
    }

    fn decided(figures: &[(u32, u32, u16)]) -> Decision {
        let mut decision = Decision::first(figures.len(), 1);
        for (place, &(asked, carries, kept)) in decision.places.iter_mut().zip(figures) {
            (place.asked, place.carries, place.kept) = (asked, carries, kept);
            place.state = if kept == 0 { State::Out } else { State::Serving };
        }
        decision
    }

    #[test]
    fn on_calm_all_stays_near() {
        for figures in [vec![(0, UNKNOWN, 1000); 3], vec![(100, 200, 1000); 3], vec![(180, 200, 1000); 3]] {
            let table = table(&decided(&figures), &near(3));
            for from in 0..3 {
                assert_eq!((table.of[from][from], table.lack[from]), (1000, 0), "{figures:?}");
            }
        }
    }

    #[test]
    fn the_least_spills_and_evenly_to_who_has_room() {
        // Zone 0 is asked 300 and carries 180 of them; the two others have 80 free each.
        let spilled = table(&decided(&[(300, 200, 1000), (100, 200, 1000), (100, 200, 1000)]), &near(3));
        assert_eq!(spilled.of[0], [600, 200, 200]);
        assert_eq!(spilled.of[1], [0, 1000, 0], "near stays near");
        assert_eq!(spilled.lack, [0, 0, 0]);
    }

    #[test]
    fn a_zone_that_is_out_goes_to_the_others_and_the_rest_is_lacking() {
        let out = table(&decided(&[(100, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &near(3));
        assert_eq!(out.of[0], [0, 500, 500]);
        let lack = table(&decided(&[(300, 200, 0), (100, 200, 1000), (100, 200, 1000)]), &near(3));
        assert_eq!(lack.of[0], [0, 500, 500]);
        assert_eq!(lack.lack[0], 466, "160 of 300 are carried");
        assert_eq!((lack.lack[1], lack.lack[2]), (0, 0), "nobody else gives way");
        let nobody = table(&decided(&[(10, 200, 0), (10, 200, 0)]), &near(2));
        assert_eq!((nobody.of[0].clone(), nobody.lack[0]), (vec![0, 0], 1000));
    }

    #[test]
    fn steps_move_that_much_of_the_usual_load() {
        for kept in [750, 500, 250] {
            let moved = table(&decided(&[(100, 1000, kept), (100, 1000, 1000), (100, 1000, 1000)]), &near(3));
            assert!(moved.of[0][0].abs_diff(kept) <= 1, "{moved:?}");
        }
    }

    #[test]
    fn a_cut_way_is_not_used_and_regions_come_last() {
        let mut decision = decided(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]);
        decision.places[0].cut = 0b010;
        assert_eq!(table(&decision, &near(3)).of[0][1], 0);
        let regions = ["a", "a", "b"].map(str::to_string);
        let far = table(
            &decided(&[(300, 100, 1000), (10, 1000, 1000), (10, 1000, 1000)]),
            &Nearness::new(&regions),
        );
        assert_eq!((far.of[0][1] > 0, far.of[0][2]), (true, 0), "{far:?}");
    }

    #[test]
    fn the_least_useful_is_turned_away_first() {
        let mix = [(0.5, 1.0), (0.3, 3.0), (0.2, 0.5)];
        assert_eq!(turned_away(0, &mix), [0.0, 0.0, 0.0]);
        let away = turned_away(300, &mix);
        assert!((away[0] - 0.2).abs() < 1e-9 && away[1] == 0.0 && away[2] == 1.0, "{away:?}");
        assert_eq!(turned_away(1000, &mix), [1.0, 1.0, 1.0]);
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
            let kept = [0, 1000, 1000, 500];
            let mut decision = decided(&figures.iter().map(|f| (f.0, f.1, kept[f.2])).collect::<Vec<_>>());
            for (n, place) in decision.places.iter_mut().enumerate() {
                place.cut = cuts[n] & !(1 << n);
            }
            let near = near(zones);
            let found = table(&decision, &near);
            for to in 0..zones {
                let place = &decision.places[to];
                prop_assert!(found.load[to] <= u64::from(place.carries) * 9 / 10 + 1, "over what {to} carries: {found:?}");
                prop_assert!(place.kept > 0 || found.load[to] == 0);
            }
            for from in 0..zones {
                let sum: u16 = found.of[from].iter().sum();
                prop_assert!(sum == 1000 || sum == 0 && found.lack[from] == 1000, "{found:?}");
                for to in 0..zones {
                    prop_assert!(found.of[from][to] == 0 || decision.open(from, to));
                }
                let room = |to: usize| {
                    let place = &decision.places[to];
                    if place.kept == 1000 { (u64::from(place.carries) * 9 / 10).saturating_sub(found.load[to]) } else { 0 }
                };
                let open_room = (0..zones).filter(|&to| decision.open(from, to)).map(room).max().unwrap_or(0);
                prop_assert!(found.lack[from] == 0 || open_room <= 2 + u64::from(decision.places[from].asked) / 200, "{decision:?} {found:?}");
                if found.of[from][from] < 990 && decision.open(from, from) && found.lack[from] == 0 {
                    prop_assert!(room(from) <= 2 + u64::from(decision.places[from].asked) / 100, "{decision:?} {found:?}");
                }
            }
        }
    }
}
