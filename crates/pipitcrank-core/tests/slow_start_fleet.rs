//! Total work sent to replicas in slow start by co-ordinators that do not know of each other, over many
//! seeds: a few busy co-ordinators, many quiet ones, and one far busier than the others. If a replica may
//! receive N parts in a window, up to 2 sqrt(N) + 2 more are attributed to chance.

mod helper;

use std::collections::{BTreeMap, VecDeque};

use helper::{Action, RecordedOutput, Setup, at, ms};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use pipitcrank_core::rng::Rng;
use pipitcrank_core::time::Timestamp;

/// Work of a part.
const WORK_MS: i64 = 100;
const CALL_COST_MS: i64 = 50;
/// Slow-start configuration of the co-ordinators built by the test helper.
const WINDOW_MS: i64 = 2000;
const WARM_UP_MS: i64 = 10_000;
const OVERLOAD_FACTOR: f64 = 3.0;
const INITIAL_CAPACITY: f64 = 0.2;
const STEP_MS: i64 = 20;
/// Time at which replicas restart. They are observed until the end of their warm-up.
const START_MS: i64 = 6000;

/// Number and load of the co-ordinators.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    coordinators: usize,
    /// Load of the first co-ordinator relative to the mean of the others.
    first_load: f64,
    /// Requested fraction of the capacity of the replicas.
    load: f64,
    /// Factor applied to the load once the replicas have restarted.
    surge: f64,
}

struct SimulatedCoordinator {
    coordinator: Coordinator,
    queries_per_step: f64,
    timers: VecDeque<(Timestamp, u64)>,
    query_count: u32,
    /// Number of the newest attempt of each part.
    attempts: BTreeMap<PartId, u32>,
}

impl SimulatedCoordinator {
    fn new(fleet: Fleet, index: usize, seed: u64) -> SimulatedCoordinator {
        // Each replica completes one second of work per second.
        let all = f64::from(helper::CELLS) * fleet.load * STEP_MS as f64 / WORK_MS as f64;
        let mean = all / (fleet.coordinators as f64 - 1.0 + fleet.first_load);
        let setup = Setup::with_seed(seed * 1000 + index as u64);
        let mut coordinator = Setup { coordinators: fleet.coordinators as u32, ..setup }.build();
        helper::list_replicas(&mut coordinator, &mut RecordedOutput::default(), &[]);
        SimulatedCoordinator {
            coordinator,
            queries_per_step: if index == 0 { mean * fleet.first_load } else { mean },
            timers: VecDeque::new(),
            query_count: 0,
            attempts: BTreeMap::new(),
        }
    }

    fn fire_timers(&mut self, now: Timestamp, output: &mut RecordedOutput) {
        while self.timers.front().is_some_and(|t| t.0 <= now) {
            let (_, label) = self.timers.pop_front().unwrap();
            self.coordinator.timer_fired(output, now, label);
        }
    }

    fn set_timer(&mut self, at: Timestamp, label: u64) {
        let place = self.timers.partition_point(|t| t.0 <= at);
        self.timers.insert(place, (at, label));
    }

    fn start_queries(&mut self, now: Timestamp, surge: f64, rng: &mut Rng, output: &mut RecordedOutput) {
        let rate = self.queries_per_step * surge;
        let count = rate.floor() as u32 + u32::from(rng.fraction() < rate.fract());
        for _ in 0..count {
            let (query, part) = (QueryId(self.query_count), PartId(self.query_count));
            self.query_count += 1;
            let shard = rng.below(helper::CELLS as usize) as u32;
            let new_query = NewQuery {
                id: query,
                class: RequestClassId(0),
                time_left: ms(4000),
                work_hint: None,
                part_count: 1.0,
            };
            self.coordinator.start_query(output, now, new_query);
            let part = NewPart { id: part, query, shard, weight: 1.0, work_hint: None };
            self.coordinator.add_part(output, now, part);
        }
    }
}

/// Arrival times of the parts that each replica received in slow start, in milliseconds after its start.
type Arrivals = BTreeMap<ReplicaId, Vec<i64>>;

struct Simulation {
    fleet: Fleet,
    /// Number of replicas that restart.
    warming_up: u32,
    rng: Rng,
    coordinators: Vec<SimulatedCoordinator>,
    /// Attempts by the time at which they end, with the index of their co-ordinator.
    ends: BTreeMap<i64, Vec<(usize, AttemptId)>>,
    arrivals: Arrivals,
}

impl Simulation {
    fn run(fleet: Fleet, warming_up: u32, seed: u64) -> Arrivals {
        let coordinators =
            (0..fleet.coordinators).map(|n| SimulatedCoordinator::new(fleet, n, seed)).collect();
        let mut simulation = Simulation {
            fleet,
            warming_up,
            rng: Rng::new(seed),
            coordinators,
            ends: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        };
        for now_ms in (0..START_MS + WARM_UP_MS).step_by(STEP_MS as usize) {
            let due = simulation.ends.remove(&now_ms).unwrap_or_default();
            for index in 0..fleet.coordinators {
                simulation.step(now_ms, index, &due);
            }
        }
        simulation.arrivals
    }

    /// Runs one step of one co-ordinator.
    fn step(&mut self, now_ms: i64, index: usize, due: &[(usize, AttemptId)]) {
        let now = at(now_ms);
        let mut output = RecordedOutput::default();
        let simulated = &mut self.coordinators[index];
        if now_ms == START_MS {
            let started: Vec<_> = (0..self.warming_up).map(|replica| (replica, now)).collect();
            helper::list_replicas(&mut simulated.coordinator, &mut output, &started);
        }
        for &(_, attempt) in due.iter().filter(|d| d.0 == index) {
            simulated.coordinator.attempt_ended(&mut output, now, attempt, AttemptOutcome::Success);
        }
        simulated.fire_timers(now, &mut output);
        let surge = if now_ms >= START_MS { self.fleet.surge } else { 1.0 };
        simulated.start_queries(now, surge, &mut self.rng, &mut output);
        simulated.coordinator.dispatch(&mut output, now);
        for action in output.0 {
            match action {
                Action::SendAttempt(part, replica) => self.send(now_ms, index, part, replica),
                Action::SetTimer(at, label) => self.coordinators[index].set_timer(at, label),
                _ => {}
            }
        }
    }

    fn send(&mut self, now_ms: i64, index: usize, part: PartId, replica: ReplicaId) {
        let attempts = &mut self.coordinators[index].attempts;
        let number = *attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
        let end = now_ms + WORK_MS + CALL_COST_MS + STEP_MS - (WORK_MS + CALL_COST_MS) % STEP_MS;
        self.ends.entry(end).or_default().push((index, AttemptId { part, number }));
        if now_ms >= START_MS && replica.0 < self.warming_up {
            self.arrivals.entry(replica).or_default().push(now_ms - START_MS);
        }
    }
}

/// The window of any replica with the highest ratio of parts to the limit.
struct WorstWindow {
    parts: usize,
    /// Maximum number of parts, including the allowance for chance.
    limit: f64,
}

fn worst_window(arrivals: &Arrivals) -> WorstWindow {
    let mut worst = WorstWindow { parts: 0, limit: 1.0 };
    for times in arrivals.values() {
        for (n, &t) in times.iter().enumerate() {
            let first = times.partition_point(|&b| b < t - WINDOW_MS);
            let capacity = INITIAL_CAPACITY + 0.8 * t as f64 / WARM_UP_MS as f64;
            let allowed = OVERLOAD_FACTOR * capacity * WINDOW_MS as f64 / WORK_MS as f64;
            let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
            let parts = n + 1 - first;
            if parts as f64 / limit > worst.parts as f64 / worst.limit {
                worst = WorstWindow { parts, limit };
            }
        }
    }
    worst
}

fn check_limits(fleet: Fleet, seeds: u64) {
    let mut max_ratio: f64 = 0.0;
    for warming_up in [1, 3, helper::CELLS] {
        for seed in 0..seeds {
            let arrivals = Simulation::run(fleet, warming_up, seed);
            let WorstWindow { parts, limit } = worst_window(&arrivals);
            assert!(
                parts as f64 <= limit,
                "{parts} parts exceed the limit of {limit:.1}: {fleet:?}, {warming_up} warming up, seed {seed}"
            );
            max_ratio = max_ratio.max(parts as f64 / limit);
            // If no other replica holds a shard, replicas in slow start must receive work from their first
            // windows on.
            let early = arrivals.values().flatten().filter(|&&t| t <= 2 * WINDOW_MS).count();
            assert!(
                early > 0 || warming_up < helper::CELLS,
                "no parts in the first two windows: {fleet:?}, seed {seed}"
            );
        }
    }
    println!("{fleet:?}: at most {max_ratio:.2} of the limit");
}

/// Checks low and high load before the restart, with and without a surge.
fn check_all_loads(coordinators: usize, first_load: f64, seeds: u64) {
    for (load, surge) in [(0.3, 1.0), (0.95, 1.0), (0.3, 4.0), (0.6, 3.0), (0.95, 2.5)] {
        check_limits(Fleet { coordinators, first_load, load, surge }, seeds);
    }
}

#[test]
fn a_few_busy_coordinators() {
    check_all_loads(3, 1.0, 8);
}

#[test]
fn a_few_dozen_coordinators() {
    check_all_loads(20, 1.0, 6);
    check_all_loads(30, 1.0, 6);
}

#[test]
fn hundreds_of_quiet_coordinators() {
    check_all_loads(300, 1.0, 3);
}

#[test]
fn one_coordinator_several_times_busier_than_the_mean() {
    check_all_loads(30, 6.0, 6);
    check_all_loads(300, 20.0, 2);
}
