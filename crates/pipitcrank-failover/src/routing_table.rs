//! Computes which fraction of each zone's queries is routed to which zone. All nodes derive the same table
//! from the same decision in integer arithmetic, so their routing balances without further communication.
//! Queries stay local as far as local capacity allows; the excess spills to the nearest zones first. Queries
//! that no zone can answer are shed.

use serde::{Deserialize, Serialize};

use crate::decision::{Decision, FULL_PERMILLE, UNKNOWN_CAPACITY};

/// Fraction of a zone's capacity that is planned for, in thousandths. The rest absorbs load variations within
/// a second.
pub(crate) const TARGET_UTILIZATION_PERMILLE: u64 = 900;
/// Number of rounds in which zones at one distance share the remaining demand; each round at least halves the
/// imbalance.
const ROUNDS_PER_DISTANCE: usize = 8;
/// Capacity assumed for a zone with unknown capacity, in thousandths of a part per second: above any demand,
/// and small enough not to overflow.
const UNBOUNDED_CAPACITY: u64 = u64::MAX >> 24;

/// Distances between zones: 0 for the zone itself, 1 for other zones of its region, 2 for zones of other
/// regions. Zones at the same distance share the spilled demand in proportion to their free capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Proximity(Vec<Vec<u32>>);

impl Proximity {
    /// Computes the distances from the region of each zone.
    pub fn new(regions: &[String]) -> Proximity {
        let zone_count = regions.len();
        let distance = |from: usize, to: usize| match (from == to, regions[from] == regions[to]) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        };
        let distances_from = |from: usize| (0..zone_count).map(|to| distance(from, to)).collect();
        Proximity((0..zone_count).map(distances_from).collect())
    }

    /// Distance from zone `from` to zone `to`.
    pub fn distance(&self, from: usize, to: usize) -> u32 {
        self.0[from][to]
    }

    fn max_distance(&self) -> u32 {
        self.0.iter().flatten().copied().max().unwrap_or(0)
    }
}

/// Fraction of a node's queries that is routed to one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneFraction {
    /// The zone, as an index into the operators' list.
    pub zone: u16,
    /// Fraction of the queries, in thousandths.
    pub permille: u16,
}

/// Routing of all zones.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    /// `[from][to]`: fraction of the answered queries of zone `from` that is routed to zone `to`, in
    /// thousandths. Each row sums to 1000, or to 0 if no zone can answer.
    pub fractions: Vec<Vec<u16>>,
    /// By zone: fraction of its queries that no zone can answer, in thousandths.
    pub shed: Vec<u16>,
    /// By zone: planned load in parts per second.
    pub load: Vec<u64>,
}

impl RoutingTable {
    /// Computes the routing for a decision.
    pub fn new(decision: &Decision, proximity: &Proximity) -> RoutingTable {
        let zones = &decision.zones;
        // A zone without demand needs a row as well: its first query may arrive at any time.
        let demand: Vec<u64> =
            zones.iter().map(|zone| u64::from(zone.demand).max(1) * u64::from(FULL_PERMILLE)).collect();
        let capacity: Vec<u64> = zones.iter().map(|zone| target_load(zone.capacity)).collect();
        // A zone that is being drained or returned keeps a fraction of the load that it would have if all
        // zones served.
        let uncut = |from: usize, to: usize| !decision.is_path_cut(from, to);
        let normal_load = load_by_zone(&flows(&demand, &capacity, &uncut, proximity));
        let retained_capacity: Vec<u64> = (0..zones.len())
            .map(|zone| match zones[zone].retained {
                FULL_PERMILLE => capacity[zone],
                retained => permille_of(normal_load[zone].min(capacity[zone]), retained),
            })
            .collect();
        let allowed = |from: usize, to: usize| decision.allows(from, to);
        let flow = flows(&demand, &retained_capacity, &allowed, proximity);
        let load = load_by_zone(&flow).into_iter().map(|load| load / u64::from(FULL_PERMILLE)).collect();
        let unanswered =
            |(row, demand): (&Vec<u64>, &u64)| permille(demand - row.iter().sum::<u64>(), *demand);
        RoutingTable {
            fractions: flow.iter().map(|row| fractions_of(row)).collect(),
            shed: flow.iter().zip(&demand).map(unanswered).collect(),
            load,
        }
    }
}

/// Planned load of a zone with the given capacity, in thousandths of a part per second.
fn target_load(capacity: u32) -> u64 {
    match capacity {
        UNKNOWN_CAPACITY => UNBOUNDED_CAPACITY,
        known => u64::from(known) * u64::from(FULL_PERMILLE) * TARGET_UTILIZATION_PERMILLE / 1000,
    }
}

fn load_by_zone(flow: &[Vec<u64>]) -> Vec<u64> {
    (0..flow.len()).map(|to| flow.iter().map(|row| row[to]).sum()).collect()
}

/// Converts a row of flows to thousandths that sum to 1000, or to 0 if nothing is answered.
fn fractions_of(row: &[u64]) -> Vec<u16> {
    let answered: u64 = row.iter().sum();
    if answered == 0 {
        return vec![0; row.len()];
    }
    let mut fractions: Vec<u16> = row.iter().map(|&flow| permille(flow, answered)).collect();
    // The largest fraction receives the rounding remainder.
    let sum: u16 = fractions.iter().sum();
    if let Some(largest) = (0..row.len()).max_by_key(|&to| (fractions[to], row.len() - to)) {
        fractions[largest] += FULL_PERMILLE - sum;
    }
    fractions
}

fn permille(part: u64, whole: u64) -> u16 {
    (u128::from(part) * u128::from(FULL_PERMILLE) / u128::from(whole.max(1))) as u16
}

fn permille_of(value: u64, permille: u16) -> u64 {
    (u128::from(value) * u128::from(permille) / u128::from(FULL_PERMILLE)) as u64
}

/// Computes the flow from each zone to each zone, in the unit of `demand`; zone `t` accepts at most
/// `capacity[t]`.
fn flows(
    demand: &[u64],
    capacity: &[u64],
    allowed: &dyn Fn(usize, usize) -> bool,
    proximity: &Proximity,
) -> Vec<Vec<u64>> {
    let zone_count = demand.len();
    let mut remaining = Remaining { demand: demand.to_vec(), capacity: capacity.to_vec() };
    let mut flow = vec![vec![0u64; zone_count]; zone_count];
    for distance in 0..=proximity.max_distance() {
        let reachable =
            |from: usize, to: usize| proximity.distance(from, to) == distance && allowed(from, to);
        for _ in 0..ROUNDS_PER_DISTANCE {
            let offers = remaining.offers(&reachable);
            if remaining.accept(&offers, &mut flow) == 0 {
                break;
            }
        }
    }
    flow
}

/// Demand and capacity that are not assigned yet.
struct Remaining {
    demand: Vec<u64>,
    capacity: Vec<u64>,
}

impl Remaining {
    /// `[from][to]`: demand that each zone offers to each reachable zone, in proportion to free capacity.
    fn offers(&self, reachable: &dyn Fn(usize, usize) -> bool) -> Vec<Vec<u64>> {
        let zone_count = self.demand.len();
        let mut offers = vec![vec![0u64; zone_count]; zone_count];
        for (from, row) in offers.iter_mut().enumerate() {
            let targets: Vec<usize> = (0..zone_count).filter(|&to| reachable(from, to)).collect();
            let free: u128 = targets.iter().map(|&to| u128::from(self.capacity[to])).sum();
            if free == 0 {
                continue;
            }
            let demand = u128::from(self.demand[from]);
            for to in targets {
                let proportional = (demand * u128::from(self.capacity[to])).div_ceil(free);
                row[to] = proportional.min(demand) as u64;
            }
        }
        offers
    }

    /// Accepts the fitting part of each offer and returns the total accepted amount.
    fn accept(&mut self, offers: &[Vec<u64>], flow: &mut [Vec<u64>]) -> u64 {
        let mut accepted = 0;
        for to in 0..offers.len() {
            let offered: u128 = offers.iter().map(|row| u128::from(row[to])).sum();
            if offered == 0 {
                continue;
            }
            let fitting = u128::from(self.capacity[to]).min(offered);
            for (from, row) in offers.iter().enumerate() {
                let proportional = (u128::from(row[to]) * fitting / offered) as u64;
                let assigned = proportional.min(self.demand[from]);
                flow[from][to] += assigned;
                self.demand[from] -= assigned;
                self.capacity[to] -= assigned.min(self.capacity[to]);
                accepted += assigned;
            }
        }
        accepted
    }
}

/// Load of one request class on a node, as input for load shedding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLoad {
    /// Fraction of the node's work, 0 to 1.
    pub work_fraction: f64,
    /// Priority weight of a unit of work; the lowest weight is shed first.
    pub priority_weight: f64,
}

/// Returns, by request class, the fraction (0 to 1) of queries to shed so that `shed` thousandths of all work
/// are shed.
pub fn shed_fractions(shed: u16, classes: &[ClassLoad]) -> Vec<f64> {
    let mut lowest_weight_first: Vec<usize> = (0..classes.len()).collect();
    lowest_weight_first.sort_by(|&a, &b| classes[a].priority_weight.total_cmp(&classes[b].priority_weight));
    let total_work: f64 = classes.iter().map(|class| class.work_fraction).sum();
    let mut remaining = f64::from(shed) / f64::from(FULL_PERMILLE) * total_work;
    let mut fractions = vec![0.0; classes.len()];
    for class in lowest_weight_first {
        let work = classes[class].work_fraction;
        let shed_work = remaining.min(work);
        fractions[class] = if work > 0.0 { shed_work / work } else { 0.0 };
        remaining -= shed_work;
    }
    fractions
}

#[cfg(test)]
mod tests;
