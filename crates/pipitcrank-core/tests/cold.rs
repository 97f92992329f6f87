//! What cold replicas get from all co-ordinators together, of which each has a module that knows of no other: over many seeds,
//! for few busy ones, many quiet ones, and one far busier than the rest. The bound is the users': of N parts that a replica may
//! get in a window, 2 root N + 2 more are chance.

mod helper;

use std::collections::{BTreeMap, VecDeque};

use helper::{Act, Tape, at, ms};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use pipitcrank_core::rng::Rng;
use pipitcrank_core::time::Timestamp;

/// Work of a part, and the helper's rules for cold replicas: three times what they can do in 2 s, from a fifth of it on,
/// warm after 10 s.
const WORK_MS: i64 = 100;
const CALL_MS: i64 = 50;
const WINDOW_MS: i64 = 2000;
const WARM_MS: i64 = 10_000;
const STEP_MS: i64 = 20;
/// They serve for so long before replicas start anew, and are looked at until these are warm.
const BEFORE_MS: i64 = 6000;

struct Copy {
    coordinator: Coordinator,
    /// Queries a step.
    rate: f64,
    alarms: VecDeque<(Timestamp, u64)>,
    asked: u32,
    /// Number of each part's last call.
    calls: BTreeMap<PartId, u32>,
}

/// How many co-ordinators there are, how busy each is against the mean, and what share of the replicas' work is asked for.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    copies: usize,
    first_is: f64,
    load: f64,
    /// So many times as much is asked from the start of the cold replicas on: a burst, clients that come again.
    surge: f64,
}

/// Parts that each replica got while cold, by their time after its start.
fn played(fleet: Fleet, cold: u32, seed: u64) -> BTreeMap<ReplicaId, Vec<i64>> {
    let mut rng = Rng::new(seed);
    // Each replica does a second's work in a second.
    let all = f64::from(helper::CELLS) * fleet.load * STEP_MS as f64 / WORK_MS as f64;
    let mean = all / (fleet.copies as f64 - 1.0 + fleet.first_is);
    let mut copies: Vec<Copy> = (0..fleet.copies)
        .map(|n| {
            let mut coordinator = helper::coordinator_among(seed * 1000 + n as u64, fleet.copies as u32);
            helper::list(&mut coordinator, &mut Tape::default(), &[]);
            let rate = if n == 0 { mean * fleet.first_is } else { mean };
            Copy { coordinator, rate, alarms: VecDeque::new(), asked: 0, calls: BTreeMap::new() }
        })
        .collect();
    let mut ends: BTreeMap<i64, Vec<(usize, PartId, u32)>> = BTreeMap::new();
    let mut came: BTreeMap<ReplicaId, Vec<i64>> = BTreeMap::new();
    for now_ms in (0..BEFORE_MS + WARM_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        let starts = now_ms == BEFORE_MS;
        let due = ends.remove(&now_ms).unwrap_or_default();
        for (n, copy) in copies.iter_mut().enumerate() {
            let mut tape = Tape::default();
            if starts {
                let started: Vec<_> = (0..cold).map(|replica| (replica, now)).collect();
                helper::list(&mut copy.coordinator, &mut tape, &started);
            }
            for &(_, part, nth) in due.iter().filter(|d| d.0 == n) {
                copy.coordinator.attempt_ended(
                    &mut tape,
                    now,
                    AttemptId { part, number: nth },
                    AttemptOutcome::Success,
                );
            }
            while copy.alarms.front().is_some_and(|a| a.0 <= now) {
                let (_, label) = copy.alarms.pop_front().unwrap();
                copy.coordinator.timer_fired(&mut tape, now, label);
            }
            let rate = copy.rate * if now_ms >= BEFORE_MS { fleet.surge } else { 1.0 };
            let asks = rate.floor() as u32 + u32::from(rng.fraction() < rate.fract());
            for _ in 0..asks {
                let (query, part) = (QueryId(copy.asked), PartId(copy.asked));
                copy.asked += 1;
                let shard = rng.below(helper::CELLS as usize) as u32;
                let asked = NewQuery {
                    id: query,
                    class: RequestClassId(0),
                    time_left: ms(4000),
                    work_hint: None,
                    part_count: 1.0,
                };
                copy.coordinator.start_query(&mut tape, now, asked);
                let part = NewPart { id: part, query, shard, weight: 1.0, work_hint: None };
                copy.coordinator.add_part(&mut tape, now, part);
            }
            copy.coordinator.dispatch(&mut tape, now);
            for act in tape.0 {
                match act {
                    Act::Call(part, replica) => {
                        let nth = *copy.calls.entry(part).and_modify(|n| *n += 1).or_insert(0);
                        ends.entry(now_ms + WORK_MS + CALL_MS + STEP_MS - (WORK_MS + CALL_MS) % STEP_MS)
                            .or_default()
                            .push((n, part, nth));
                        if now_ms >= BEFORE_MS && replica.0 < cold {
                            came.entry(replica).or_default().push(now_ms - BEFORE_MS);
                        }
                    }
                    Act::Wake(when, label) => {
                        let place = copy.alarms.partition_point(|a| a.0 <= when);
                        copy.alarms.insert(place, (when, label));
                    }
                    _ => {}
                }
            }
        }
    }
    came
}

/// The worst moment of any replica: parts in a window, and how many there may be with what is chance.
fn worst(came: &BTreeMap<ReplicaId, Vec<i64>>) -> (usize, f64) {
    let mut worst = (0, 1.0);
    for times in came.values() {
        for (n, &t) in times.iter().enumerate() {
            let first = times.partition_point(|&b| b < t - WINDOW_MS);
            let share = 0.2 + 0.8 * t as f64 / WARM_MS as f64;
            let may = 3.0 * share * WINDOW_MS as f64 / WORK_MS as f64;
            let most = may + 2.0 * may.sqrt() + 2.0;
            let got = n + 1 - first;
            if got as f64 / most > worst.0 as f64 / worst.1 {
                worst = (got, most);
            }
        }
    }
    worst
}

fn all_stay_under(fleet: Fleet, seeds: u64) {
    let mut nearest: f64 = 0.0;
    for cold in [1, 3, helper::CELLS] {
        for seed in 0..seeds {
            let came = played(fleet, cold, seed);
            let (got, most) = worst(&came);
            assert!(got as f64 <= most, "{got} of {most:.1}: {fleet:?}, {cold} cold, seed {seed}");
            nearest = nearest.max(got as f64 / most);
            // It is a ramp, no wall: where nobody else holds a shard, what is cold is asked from its first windows on.
            let early = came.values().flatten().filter(|&&t| t <= 2 * WINDOW_MS).count();
            assert!(
                early > 0 || cold < helper::CELLS,
                "nothing in the first windows: {fleet:?}, seed {seed}"
            );
        }
    }
    println!("{fleet:?}: {nearest:.2} of what there may be at most");
}

/// Quiet and busy before, and with a surge.
fn at_all_loads(copies: usize, first_is: f64, seeds: u64) {
    for (load, surge) in [(0.3, 1.0), (0.95, 1.0), (0.3, 4.0), (0.6, 3.0), (0.95, 2.5)] {
        all_stay_under(Fleet { copies, first_is, load, surge }, seeds);
    }
}

#[test]
fn few_busy_ones() {
    at_all_loads(3, 1.0, 8);
}

#[test]
fn a_few_dozen() {
    at_all_loads(20, 1.0, 6);
    at_all_loads(30, 1.0, 6);
}

#[test]
fn hundreds_of_quiet_ones() {
    at_all_loads(300, 1.0, 3);
}

#[test]
fn one_several_times_busier_than_the_mean() {
    at_all_loads(30, 6.0, 6);
    at_all_loads(300, 20.0, 2);
}
