//! Runs of the experiment, one for each routing mode.

use pipitcrank_core::time::Timestamp;

use super::node::RoutingMode;
use super::parameters::{END_S, OUTAGE, STEP};
use super::world::{Outage, StepSummary, World};
use crate::event_queue::SimulationEvent;
use crate::network::Traffic;
use crate::plot::Point;

/// Fraction of an even share of the load at which the failed zone counts as returned.
const RETURNED_FRACTION: f64 = 0.99;

/// Demand over a period, and the part of it that was answered in time.
#[derive(Clone, Copy, Default)]
pub struct Service {
    demand: f64,
    in_time: f64,
}

impl Service {
    fn add(&mut self, step: &StepSummary) {
        self.demand += step.demand;
        self.in_time += step.in_time;
    }

    pub fn fraction(&self) -> f64 {
        self.in_time / self.demand.max(1e-9)
    }
}

/// State and measurements of a run in one routing mode.
pub struct Run {
    pub world: World,
    pub failing_zone: usize,
    /// Fraction of the demand answered in time, by step.
    pub service: Vec<Point>,
    /// Load of each zone as a fraction of its capacity, by step.
    pub load: Vec<Vec<Point>>,
    pub service_in_outage: Service,
    pub service_to_end: Service,
    pub peak_load: f64,
    /// Traffic sent before the outage.
    pub traffic_before_outage: Traffic,
    pub time_to_return_s: Option<f64>,
}

impl Run {
    /// Runs the experiment to its end in one mode.
    pub fn simulate(nodes: usize, zones: usize, seed: u64, mode: RoutingMode) -> Run {
        let mut run = Run {
            world: World::new(nodes, zones, seed, mode),
            failing_zone: seed as usize % zones,
            service: Vec::new(),
            load: vec![Vec::new(); zones],
            service_in_outage: Service::default(),
            service_to_end: Service::default(),
            peak_load: 0.0,
            traffic_before_outage: Traffic::default(),
            time_to_return_s: None,
        };
        while let Some((now, event)) = run.world.queue.pop() {
            if now.as_secs_f64() > END_S {
                break;
            }
            match event {
                SimulationEvent::Datagram { node, bytes } => run.world.run_node(now, node, Some(&bytes)),
                SimulationEvent::NodeDeadline(node) => run.world.on_deadline(now, node),
                SimulationEvent::Step => run.on_step(now),
            }
        }
        run
    }

    fn on_step(&mut self, now: Timestamp) {
        let seconds = now.as_secs_f64();
        if self.world.outage.is_none() && OUTAGE.contains(&seconds) {
            self.traffic_before_outage = self.world.network.sent;
            self.world.zones[self.failing_zone].fail();
            self.world.outage = Some(Outage { zone: self.failing_zone, started_at: now });
        }
        if self.world.outage.is_some() && seconds >= OUTAGE.end {
            self.world.zones[self.failing_zone].restart(now);
            self.world.outage = None;
        }
        let step = self.world.step(now);
        self.measure(seconds, &step);
        self.world.queue.schedule(now + STEP, SimulationEvent::Step);
    }

    fn measure(&mut self, seconds: f64, step: &StepSummary) {
        self.service.push(Point { seconds, value: step.in_time / step.demand });
        for ((replicas, points), parts) in self.world.zones.iter().zip(&mut self.load).zip(&step.load) {
            let value = parts / replicas.full_capacity();
            points.push(Point { seconds, value });
            if !replicas.failed {
                self.peak_load = self.peak_load.max(value);
            }
        }
        if OUTAGE.contains(&seconds) {
            self.service_in_outage.add(step);
        }
        if seconds >= OUTAGE.start {
            self.service_to_end.add(step);
        }
        let total: f64 = step.load.iter().sum();
        let even_share = total / step.load.len() as f64;
        let has_returned = step.load[self.failing_zone] >= even_share * RETURNED_FRACTION;
        if seconds >= OUTAGE.end && self.time_to_return_s.is_none() && has_returned {
            self.time_to_return_s = Some(seconds - OUTAGE.end);
        }
    }

    /// Number of parts sent to warming replicas beyond the slow-start allowance.
    pub fn slow_start_excess(&self) -> f64 {
        self.world.zones.iter().map(|zone| zone.slow_start_excess).sum()
    }

    /// Number of bytes sent by the busiest node.
    pub fn busiest_node_bytes(&self) -> u64 {
        let failover = self.world.nodes.iter().filter_map(|node| node.failover.as_ref());
        failover.map(|failover| failover.sent().bytes).max().unwrap_or(0)
    }
}

/// Runs in all routing modes with the same seed.
pub struct Runs {
    pub common: Run,
    independent: Run,
    ignoring: Run,
}

impl Runs {
    /// Runs the experiment in each mode.
    pub fn simulate(nodes: usize, zones: usize, seed: u64) -> Runs {
        Runs {
            common: Run::simulate(nodes, zones, seed, RoutingMode::CommonDecision),
            independent: Run::simulate(nodes, zones, seed, RoutingMode::Independent),
            ignoring: Run::simulate(nodes, zones, seed, RoutingMode::IgnoreZones),
        }
    }

    /// Runs by the name of their mode.
    pub fn by_mode(&self) -> [(&'static str, &Run); 3] {
        [
            (RoutingMode::CommonDecision.name(), &self.common),
            (RoutingMode::Independent.name(), &self.independent),
            (RoutingMode::IgnoreZones.name(), &self.ignoring),
        ]
    }
}
