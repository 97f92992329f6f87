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

/// Of each request class, the share (0 to 1) to be turned away so that `lack` (thousandths) of the work is: those of least
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
mod tests;
