//! Which share of a zone's queries is meant for which zone. All copies derive the same from the same decision, in whole
//! numbers, so that together they balance: near as far as near can carry, the least spill beyond, to the next nearest.
//! What no zone can carry is a lack, which is turned away.

use serde::{Deserialize, Serialize};

use crate::decision::{Decision, FULL_PERMILLE, UNKNOWN_CAPACITY};

/// Of what a zone can carry, what is planned for, in thousandths: the rest is for what is uneven within a second.
const PLANNED: u64 = 900;
/// Turns in which zones of one distance share out what is left: each halves what is uneven at the least.
const TURNS: usize = 8;

/// The nearness of zones: 0 is the zone itself, 1 are the others of its region, 2 those of other regions. Zones of one
/// nearness share what spills, by the room they have.
#[derive(Clone, Debug, PartialEq)]
pub struct Proximity(Vec<Vec<u32>>);

impl Proximity {
    /// From each zone's region.
    pub fn new(regions: &[String]) -> Proximity {
        let zones = regions.len();
        let far = |from: usize, to: usize| match (from == to, regions[from] == regions[to]) {
            (true, _) => 0,
            // One class a region: who spills splits over all of it.
            (_, true) => 1,
            _ => 2,
        };
        Proximity((0..zones).map(|from| (0..zones).map(|to| far(from, to)).collect()).collect())
    }

    pub fn of(&self, from: usize, to: usize) -> u32 {
        self.0[from][to]
    }

    fn farthest(&self) -> u32 {
        self.0.iter().flatten().copied().max().unwrap_or(0)
    }
}

/// The fraction of a node's queries that is routed to one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneFraction {
    /// The zone, by its place in the operators' list.
    pub zone: u16,
    /// Thousandths of the queries.
    pub permille: u16,
}

/// One request class's part of a node's work, as load shedding weighs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLoad {
    /// Fraction of the node's work, 0 to 1.
    pub work_fraction: f64,
    /// Priority weight of a unit of work: the lowest is shed first.
    pub priority_weight: f64,
}

/// What goes where, in thousandths.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    /// `[from][to]`: of the queries of a zone that are served. Each row sums to a thousand, or to nothing where nobody can
    /// serve it.
    pub fractions: Vec<Vec<u16>>,
    /// Of a zone's queries, what can't be carried by anybody.
    pub shed: Vec<u16>,
    /// Parts a second planned for each zone.
    pub load: Vec<u64>,
}

/// Parts a second that go from each zone to each, where zone `t` may be given `room[t]`.
fn flows(
    demand: &[u64],
    room: &[u64],
    open: &dyn Fn(usize, usize) -> bool,
    near: &Proximity,
) -> Vec<Vec<u64>> {
    let zones = demand.len();
    let (mut left, mut room) = (demand.to_vec(), room.to_vec());
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

impl RoutingTable {
    /// The routing that follows from a decision.
    pub fn new(decision: &Decision, near: &Proximity) -> RoutingTable {
        let zones = decision.zones.len();
        let places = &decision.zones;
        // A zone that nobody asks at still needs a row: the first query may come.
        let demand: Vec<u64> =
            places.iter().map(|p| u64::from(p.demand).max(1) * u64::from(FULL_PERMILLE)).collect();
        let most = |capacity: u32| match capacity {
            UNKNOWN_CAPACITY => u64::MAX >> 24,
            known => u64::from(known) * u64::from(FULL_PERMILLE) * PLANNED / 1000,
        };
        let room: Vec<u64> = places.iter().map(|p| most(p.capacity)).collect();
        let load = |flow: &[Vec<u64>]| -> Vec<u64> {
            (0..zones).map(|to| flow.iter().map(|row| row[to]).sum()).collect()
        };
        // A zone that is left in steps keeps that part of what it would have were all well.
        let usual = load(&flows(&demand, &room, &|from, to| places[from].cut_paths & (1 << to) == 0, near));
        let room: Vec<u64> = (0..zones)
            .map(|t| match places[t].retained {
                FULL_PERMILLE => room[t],
                retained => {
                    (u128::from(usual[t].min(room[t])) * u128::from(retained) / u128::from(FULL_PERMILLE))
                        as u64
                }
            })
            .collect();
        let flow = flows(&demand, &room, &|from, to| decision.allows(from, to), near);
        let mut table =
            RoutingTable { fractions: vec![vec![0; zones]; zones], shed: vec![0; zones], load: load(&flow) };
        table.load.iter_mut().for_each(|l| *l /= u64::from(FULL_PERMILLE));
        for from in 0..zones {
            let served: u64 = flow[from].iter().sum();
            table.shed[from] = thousandths(demand[from] - served, demand[from]);
            if served == 0 {
                continue;
            }
            table.fractions[from] = flow[from].iter().map(|&given| thousandths(given, served)).collect();
            // What rounding left goes to the largest.
            let sum: u16 = table.fractions[from].iter().sum();
            if let Some(largest) = (0..zones).max_by_key(|&to| (table.fractions[from][to], zones - to)) {
                table.fractions[from][largest] += FULL_PERMILLE - sum;
            }
        }
        table
    }
}

fn thousandths(part: u64, of: u64) -> u16 {
    (u128::from(part) * u128::from(FULL_PERMILLE) / u128::from(of.max(1))) as u16
}

/// Of each request class, the share (0 to 1) to be turned away so that `shed` (thousandths) of the work is: those of least
/// utility a work first. `mix`: share of the work and utility a work of each.
pub fn shed_fractions(shed: u16, mix: &[ClassLoad]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..mix.len()).collect();
    order.sort_by(|&a, &b| mix[a].priority_weight.total_cmp(&mix[b].priority_weight));
    let all: f64 = mix.iter().map(|m| m.work_fraction).sum();
    let mut left = f64::from(shed) / f64::from(FULL_PERMILLE) * all;
    let mut away = vec![0.0; mix.len()];
    for n in order {
        let take = left.min(mix[n].work_fraction);
        away[n] = if mix[n].work_fraction > 0.0 { take / mix[n].work_fraction } else { 0.0 };
        left -= take;
    }
    away
}

#[cfg(test)]
mod tests;
