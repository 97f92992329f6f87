//! The experiment `zones`: a zone's replicas are lost under load and come back cold, before so many copies; by the common
//! decision, by each copy alone, and without zones. What is measured: time to agree and to move, messages and bytes a copy,
//! service, load moved.
//!
//! What stands in for the cover, whose single calls are not played at this size: a part sent to a lost zone is asked again
//! elsewhere within the budget, and else is not answered; a copy sees a zone's silence some tenths of a second after it
//! fell silent, each at its own moment, and then sends what was meant for it to the others, evenly, whichever way it goes.
//! A copy alone tries again now and then; by the common decision the zone stays shut until evidence says otherwise.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::controller::{FailoverController, FailoverTiming};
use pipitcrank_failover::decision::ZoneState;
use pipitcrank_failover::follower::{DecisionFollower, DecisionStatus, RoutingPlan};
use pipitcrank_failover::node::{FailoverNode, FailoverNodeConfig, NodeEvent};
use pipitcrank_failover::routing_table::{Proximity, ZoneFraction};
use pipitcrank_membership::envelope::{OutgoingDatagram, derive_key};
use pipitcrank_membership::evidence::ReplicaCounts;
use pipitcrank_membership::peer::Peer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

use crate::net::{Net, Next};
use crate::plot::Line;
use crate::replicas::Replicas;

const STEP: TimeSpan = TimeSpan::from_millis(100);
/// Leaves a zone, and parts a second that one bears.
const REPLICAS: u16 = 40;
const BEARS: f64 = 200.0;
/// Of what all replicas bear, what is asked: with one of three zones lost the rest has a tenth to spare.
const LOAD: f64 = 0.54;
/// Of parts that get no answer, what the budget lets be asked again.
const AGAIN: f64 = 0.1;
/// When the zone is lost, when it comes back, and the end.
const LOST: f64 = 4.0;
const BACK: f64 = 12.0;
const END: f64 = 30.0;
/// A copy sees silence between these after it began.
const SEES: (f64, f64) = (0.4, 1.0);
/// A copy alone tries again so long after it left.
const TRIES_AGAIN: (f64, f64) = (1.0, 3.0);
const VOTERS: usize = 5;

/// How copies go by zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Common,
    Alone,
    None,
}

/// What was measured, in the order shown.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    pub copies: usize,
    pub zones: usize,
    pub seed: u64,
    /// Seconds from the loss: to the first decision that speaks of it, to the last step, to nearly all copies acting on that.
    pub suspected_s: Option<f64>,
    pub out_s: Option<f64>,
    pub moved_s: Option<f64>,
    /// From the return of the replicas until all copies send home as before.
    pub home_s: Option<f64>,
    /// From a decision's number being agreed on until 99 of 100 copies act on it: the middle and the longest.
    pub spread_s: (f64, f64),
    pub decisions: usize,
    /// A second and copy, on calm and over all; the busiest copy over all.
    pub datagrams_calm: f64,
    pub bytes_calm: f64,
    pub datagrams: f64,
    pub bytes: f64,
    pub bytes_busiest: f64,
    /// Share of what was asked that was answered in time while the zone was lost, and until the end.
    pub service: BTreeMap<String, (f64, f64)>,
    /// Most load on a zone that served, against what it bears.
    pub peak: BTreeMap<String, f64>,
    pub cold_pushed_over: BTreeMap<String, f64>,
    pub two_under_one_number: u64,
    pub older_acted_on: u64,
}

/// Lines for the plots: service of each way, load of each zone by the common decision.
pub struct Lines {
    pub service: Vec<Line>,
    pub load: Vec<Line>,
}

struct Copy {
    instance: Option<FailoverNode>,
    zone: usize,
    /// When it sees a silence, after it began, and how long it keeps away where it goes alone.
    sees: f64,
    again: f64,
    left: Option<Timestamp>,
    plan: RoutingPlan,
    known: (u64, DecisionStatus),
    due: Timestamp,
}

struct World {
    net: Net,
    copies: Vec<Copy>,
    addresses: BTreeMap<SocketAddr, usize>,
    replicas: Vec<Replicas>,
    lost: Option<(usize, Timestamp)>,
    way: Way,
    /// Of each number: when first acted on, and by how many copies, and when by nearly all.
    acted: BTreeMap<u64, (Timestamp, usize, Option<Timestamp>)>,
    states: BTreeMap<u64, (Timestamp, Vec<(ZoneState, u16)>)>,
    two_under_one: u64,
    older: u64,
}

fn address(n: usize) -> SocketAddr {
    ([127, 1 + (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000).into()
}

impl World {
    fn new(copies: usize, zones: usize, seed: u64, way: Way) -> World {
        let mut chance = Pcg64::seed_from_u64(seed);
        let near = Proximity::new(&vec!["r".to_string(); zones]);
        let net = Net::new(Pcg64::seed_from_u64(seed ^ 1), 0.01, TimeSpan::from_millis(4));
        let start = Timestamp::default();
        let peers: Vec<Peer> = (0..copies)
            .map(|n| Peer {
                address: address(n),
                instance: 1_700_000_000_000_000 + n as u64,
                zone: (n % zones) as u16,
            })
            .collect();
        let voters: Vec<SocketAddr> = (0..VOTERS.min(copies | 1)).map(address).collect();
        let timing = FailoverTiming {
            suspect_after: TimeSpan::from_millis(600),
            hold_down: TimeSpan::from_millis(2000),
            max_hold_down: TimeSpan::from_millis(60_000),
            calm_after: TimeSpan::from_millis(60_000),
        };
        let mut world = World {
            net,
            copies: Vec::new(),
            addresses: (0..copies).map(|n| (address(n), n)).collect(),
            replicas: (0..zones).map(|_| Replicas::new(REPLICAS, BEARS)).collect(),
            lost: None,
            way,
            acted: BTreeMap::new(),
            states: BTreeMap::new(),
            two_under_one: 0,
            older: 0,
        };
        for (n, peer) in peers.iter().enumerate() {
            let instance = (way == Way::Common).then(|| {
                let controller = FailoverController::new(timing, near.clone(), zones, BEARS * 0.95);
                let follower = DecisionFollower::new(
                    peer.zone,
                    zones,
                    near.clone(),
                    TimeSpan::from_millis(10_000),
                    false,
                );
                let config = FailoverNodeConfig {
                    own: peer.clone(),
                    key: derive_key("the lab's"),
                    known_nodes: Vec::new(),
                    voters: voters.clone(),
                    zone_count: zones,
                    controller,
                    follower,
                };
                let mut instance = FailoverNode::new(start, config);
                instance.add_known_members(start, peers.iter().cloned());
                instance
            });
            let home = ZoneFraction { zone: peer.zone, permille: 1000 };
            let plan =
                RoutingPlan { decision_number: 0, fractions: vec![home], closed_zones: Vec::new(), shed: 0 };
            let sees = chance.random_range(SEES.0..SEES.1);
            let again = chance.random_range(TRIES_AGAIN.0..TRIES_AGAIN.1);
            let zone = usize::from(peer.zone);
            let (left, known, due) = (None, (0, DecisionStatus::NoDecision), Timestamp::from_secs_f64(1e9));
            world.copies.push(Copy { instance, zone, sees, again, left, plan, known, due });
            // Not all at one moment.
            let first = start + TimeSpan::from_secs_f64(chance.random_range(0.0..0.25));
            world.net.at(first, Next::Due(n));
        }
        world.net.at(start, Next::Step);
        world
    }

    /// What the copy sees of each zone at that moment.
    fn rows(&self, now: Timestamp, copy: usize) -> Vec<ReplicaCounts> {
        let row = |(zone, replicas): (usize, &Replicas)| {
            let count = replicas.count;
            let full = if replicas.wait_s(now) > 1.0 { count } else { 0 };
            let cold = if replicas.is_cold(now) { count } else { 0 };
            match self.sees_silent(now, copy, zone) {
                true => ReplicaCounts { listed: count, silent: count, ..ReplicaCounts::default() },
                false => ReplicaCounts {
                    listed: count,
                    answering: count - full,
                    saturated: full,
                    warming_up: cold,
                    ..ReplicaCounts::default()
                },
            }
        };
        self.replicas.iter().enumerate().map(row).collect()
    }

    /// Calls a copy and passes on what it wants.
    fn call(&mut self, now: Timestamp, copy: usize, datagram: Option<&[u8]>) {
        let wants = self.copies[copy].instance.as_mut().is_some_and(|i| i.take_report_due(now));
        let rows = if wants { self.rows(now, copy) } else { Vec::new() };
        let (asked, count) = (self.asked() / self.copies.len() as f64, self.copies.len());
        let held = &mut self.copies[copy];
        let Some(instance) = &mut held.instance else { return };
        if let Some(datagram) = datagram {
            instance.handle_datagram(now, datagram);
        }
        if wants {
            instance.report_evidence(now, rows, asked.round() as u32);
        }
        instance.tick(now);
        for event in instance.take_events() {
            if let NodeEvent::Decided(decision) = event {
                let states: Vec<(ZoneState, u16)> =
                    decision.zones.iter().map(|p| (p.state, p.retained)).collect();
                let known = self.states.entry(decision.number).or_insert((now, states.clone()));
                self.two_under_one += u64::from(known.1 != states);
            }
        }
        let known = (instance.decision_number(), instance.decision_status());
        if known != held.known {
            self.older += u64::from(known.0 < held.known.0);
            if known.0 != held.known.0 {
                let acted = self.acted.entry(known.0).or_insert((now, 0, None));
                acted.1 += 1;
                if acted.1 * 100 >= count * 99 && acted.2.is_none() {
                    acted.2 = Some(now);
                }
            }
            (held.known, held.plan) = (known, instance.routing_plan(now));
        }
        let zone = held.zone as u16;
        for OutgoingDatagram { to, bytes } in instance.take_datagrams() {
            let to = self.addresses.get(&to).map(|&n| (n, (n % self.replicas.len()) as u16));
            self.net.send(now, zone, to, bytes);
        }
        let due = instance.next_deadline().max(now + TimeSpan::from_millis(1));
        if due < held.due || held.due <= now {
            held.due = due;
            self.net.at(due, Next::Due(copy));
        }
    }

    /// Parts a second of all clients.
    fn asked(&self) -> f64 {
        self.replicas.iter().map(Replicas::whole).sum::<f64>() * LOAD
    }

    /// Whether the copy sees that zone silent.
    fn sees_silent(&self, now: Timestamp, copy: usize, zone: usize) -> bool {
        self.lost.is_some_and(|(z, at)| z == zone && (now - at).as_secs_f64() >= self.copies[copy].sees)
    }

    /// What the cover of each copy does by itself, whatever the shares: what is meant for a zone that it sees silent goes
    /// to the others, evenly.
    fn by_own_sight(&self, now: Timestamp, copy: usize, fractions: &[ZoneFraction]) -> Vec<(u16, f64)> {
        let zones = self.replicas.len();
        let mut of: Vec<f64> = vec![0.0; zones];
        fractions.iter().for_each(|f| of[usize::from(f.zone)] += f64::from(f.permille));
        if let Some(silent) = (0..zones).find(|&z| of[z] > 0.0 && self.sees_silent(now, copy, z)) {
            let moved = std::mem::take(&mut of[silent]) / (zones - 1) as f64;
            (0..zones).filter(|z| *z != silent).for_each(|z| of[z] += moved);
        }
        of.into_iter().enumerate().map(|(z, s)| (z as u16, s)).collect()
    }

    /// Whether a copy that goes alone sends home now: it leaves as it sees silence, and tries again after a while.
    fn sends_home(&mut self, now: Timestamp, copy: usize) -> bool {
        let silent = self.sees_silent(now, copy, self.copies[copy].zone);
        let held = &mut self.copies[copy];
        let trying = held.left.map(|at| (now - at).as_secs_f64() - held.again);
        match trying {
            None if silent => held.left = Some(now),
            // It sees that nothing answers, or that it does.
            Some(tried) if tried >= held.sees => held.left = silent.then_some(now),
            _ => {}
        }
        held.left.is_none_or(|at| (now - at).as_secs_f64() >= held.again)
    }

    /// One step of the world; asked, answered in time, load by zone (parts a second).
    fn step(&mut self, now: Timestamp) -> (f64, f64, Vec<f64>) {
        let zones = self.replicas.len();
        let a_copy = self.asked() / self.copies.len() as f64 * STEP.as_secs_f64();
        let mut parts = vec![0.0; zones];
        for copy in 0..self.copies.len() {
            let home = self.copies[copy].zone as u16;
            let sends_home = self.way == Way::Alone && self.sends_home(now, copy);
            let (shares, lack): (Vec<(u16, f64)>, u16) = match self.way {
                Way::Common => {
                    let plan = self.copies[copy].plan.clone();
                    (self.by_own_sight(now, copy, &plan.fractions), plan.shed)
                }
                Way::Alone if sends_home => (vec![(home, 1.0)], 0),
                Way::Alone => {
                    let others = (0..zones as u16).filter(|z| *z != home);
                    (others.map(|z| (z, 1.0)).collect(), 0)
                }
                Way::None => {
                    let even: Vec<ZoneFraction> =
                        (0..zones as u16).map(|zone| ZoneFraction { zone, permille: 100 }).collect();
                    (self.by_own_sight(now, copy, &even), 0)
                }
            };
            let served = a_copy * f64::from(1000 - lack) / 1000.0;
            let whole: f64 = shares.iter().map(|s| s.1).sum::<f64>().max(1e-9);
            shares.iter().for_each(|(z, s)| parts[usize::from(*z)] += served * s / whole);
        }
        let mut in_time = 0.0;
        let mut again = 0.0;
        for (replicas, &parts) in self.replicas.iter_mut().zip(&parts) {
            let step = replicas.step(now, parts, STEP);
            in_time += step.in_time;
            again += step.unanswered * AGAIN;
        }
        // What is asked again goes where there is room; in time, as it is little.
        in_time += again;
        let asked = a_copy * self.copies.len() as f64;
        (asked, in_time.min(asked), parts.iter().map(|p| p / STEP.as_secs_f64()).collect())
    }
}

/// What one way gave, step by step.
struct Run {
    service: Vec<(f64, f64)>,
    load: Vec<Vec<(f64, f64)>>,
    lost: (f64, f64),
    all: (f64, f64),
    peak: f64,
    pushed_over: f64,
    world: World,
    calm: (u64, u64),
    home: Option<f64>,
    busiest: u64,
}

fn run(copies: usize, zones: usize, seed: u64, way: Way) -> Run {
    let mut world = World::new(copies, zones, seed, way);
    let zone = (seed as usize) % zones;
    let (mut service, mut load) = (Vec::new(), vec![Vec::new(); zones]);
    let (mut lost, mut all, mut peak) = ((0.0, 0.0), (0.0, 0.0), 0.0_f64);
    let (mut calm, mut home) = ((0, 0), None);
    while let Some((now, next)) = world.net.take_next() {
        let at = now.as_secs_f64();
        if at > END {
            break;
        }
        match next {
            Next::Datagram(copy, bytes) => world.call(now, copy, Some(&bytes)),
            Next::Due(copy) => {
                // A later call may have been asked for since.
                if now >= world.copies[copy].due || world.copies[copy].due.as_secs_f64() > 1e8 {
                    world.copies[copy].due = now;
                    world.call(now, copy, None);
                }
            }
            Next::Step => {
                if world.lost.is_none() && (LOST..BACK).contains(&at) {
                    calm = (world.net.sent, world.net.bytes);
                    world.replicas[zone].lose();
                    world.lost = Some((zone, now));
                }
                if world.lost.is_some() && at >= BACK {
                    world.replicas[zone].start(now);
                    world.lost = None;
                }
                let (asked, in_time, parts) = world.step(now);
                service.push((at, in_time / asked));
                for (zone, parts) in parts.iter().enumerate() {
                    load[zone].push((at, parts / world.replicas[zone].whole()));
                    if !world.replicas[zone].lost {
                        peak = peak.max(parts / world.replicas[zone].whole());
                    }
                }
                if (LOST..BACK).contains(&at) {
                    lost = (lost.0 + asked, lost.1 + in_time);
                }
                let total: f64 = parts.iter().sum();
                if at >= BACK && home.is_none() && parts[zone] >= total / zones as f64 * 0.99 {
                    home = Some(at - BACK);
                }
                if at >= LOST {
                    all = (all.0 + asked, all.1 + in_time);
                }
                world.net.at(now + STEP, Next::Step);
            }
        }
    }
    let pushed_over = world.replicas.iter().map(|l| l.pushed_over).sum();
    let busiest =
        world.copies.iter().filter_map(|c| c.instance.as_ref()).map(|i| i.sent().bytes).max().unwrap_or(0);
    Run { service, load, lost, all, peak, pushed_over, world, calm, home, busiest }
}

/// Plays all three ways from one seed.
pub fn play(copies: usize, zones: usize, seed: u64) -> (Figures, Lines) {
    let common = run(copies, zones, seed, Way::Common);
    let alone = run(copies, zones, seed, Way::Alone);
    let none = run(copies, zones, seed, Way::None);
    let zone = (seed as usize) % zones;
    let world = &common.world;
    let first = |what: &dyn Fn(&(ZoneState, u16)) -> bool| {
        let found =
            world.states.values().filter(|(at, states)| at.as_secs_f64() >= LOST && what(&states[zone]));
        found.map(|(at, _)| at.as_secs_f64() - LOST).min_by(f64::total_cmp)
    };
    let out = world
        .states
        .iter()
        .find(|(_, (at, states))| at.as_secs_f64() >= LOST && states[zone].0 == ZoneState::OutOfService);
    let moved = out.and_then(|(number, _)| world.acted.get(number)?.2).map(|at| at.as_secs_f64() - LOST);
    let mut spread: Vec<f64> =
        world.acted.values().filter_map(|a| Some((a.2? - a.0).as_secs_f64())).collect();
    spread.sort_by(f64::total_cmp);
    let each = copies as f64;
    let ways = [("common", &common), ("alone", &alone), ("none", &none)];
    let of =
        |f: &dyn Fn(&Run) -> f64| ways.iter().map(|(n, r)| (n.to_string(), f(r))).collect::<BTreeMap<_, _>>();
    let share = |(asked, in_time): (f64, f64)| in_time / asked.max(1e-9);
    let figures = Figures {
        copies,
        zones,
        seed,
        suspected_s: first(&|p| p.0 == ZoneState::Suspected),
        out_s: first(&|p| p.0 == ZoneState::OutOfService),
        moved_s: moved,
        home_s: common.home,
        spread_s: (
            spread.get(spread.len() / 2).copied().unwrap_or(0.0),
            spread.last().copied().unwrap_or(0.0),
        ),
        decisions: world.states.len(),
        datagrams_calm: common.calm.0 as f64 / each / LOST,
        bytes_calm: common.calm.1 as f64 / each / LOST,
        datagrams: world.net.sent as f64 / each / END,
        bytes: world.net.bytes as f64 / each / END,
        bytes_busiest: common.busiest as f64 / END,
        service: ways.iter().map(|(n, r)| (n.to_string(), (share(r.lost), share(r.all)))).collect(),
        peak: of(&|r| r.peak),
        cold_pushed_over: of(&|r| r.pushed_over),
        two_under_one_number: world.two_under_one,
        older_acted_on: world.older,
    };
    let service = ways.iter().map(|(n, r)| (n.to_string(), r.service.clone())).collect();
    let load = common.load.iter().enumerate().map(|(z, l)| (format!("zone {z}"), l.clone())).collect();
    (figures, Lines { service, load })
}

#[cfg(test)]
mod tests;
