//! Tracks how long the evidence on zones and on the paths between them has been unchanged.

use pipitcrank_core::time::Timestamp;
use pipitcrank_membership::evidence::{EvidenceMatrix, ZoneHealth};

use super::timing::{FailoverTiming, OBSERVATION_TIME};
use crate::constants::DISTANT_PAST;
use crate::decision::{Decision, ZoneState};

/// Fraction of saturated replicas at which a zone is at its capacity, whatever capacity is configured.
const AT_CAPACITY_FRACTION: f64 = 0.3;
/// Lower bound of a replica's learned capacity, as a fraction of the configured one.
const MIN_CAPACITY_FRACTION: f64 = 0.2;
/// Fraction of the configured capacity by which the learned capacity recovers per second.
const CAPACITY_RECOVERY_PER_SECOND: f64 = 0.02;
/// Longest interval, in seconds, that one update of the learned capacity covers.
const MAX_RECOVERY_SECONDS: f64 = 1.0;

/// Observations of one zone since this voter became leader.
#[derive(Clone, Copy)]
pub(super) struct ZoneTracker {
    pub(super) unhealthy_since: Option<Timestamp>,
    pub(super) healthy_since: Option<Timestamp>,
    pub(super) last_step: Timestamp,
    /// Start of the current period in which the zone serves and is not unhealthy.
    pub(super) serving_since: Timestamp,
    /// Learned capacity of one replica, in parts per second.
    pub(super) replica_capacity: f64,
}

#[derive(Clone, Copy)]
struct PathTracker {
    is_cut: bool,
    since: Timestamp,
}

/// A change to the cut paths of one zone.
pub(super) struct PathChange {
    pub(super) from: usize,
    /// Bit mask: bit `n` is set if the path to zone `n` is cut.
    pub(super) cut_paths: u16,
}

/// Observations of all zones and paths since this voter became leader.
pub(super) struct EvidenceTracker {
    pub(super) zones: Vec<ZoneTracker>,
    /// State of the path between each two zones, as `[from][to]`.
    paths: Vec<Vec<PathTracker>>,
    updated_at: Timestamp,
    /// Configured capacity of a warm replica in parts per second; 0 if none is configured.
    pub(super) configured_replica_capacity: f64,
}

impl EvidenceTracker {
    pub(super) fn new(zone_count: usize, configured_replica_capacity: f64) -> EvidenceTracker {
        let zone = ZoneTracker {
            unhealthy_since: None,
            healthy_since: None,
            last_step: DISTANT_PAST,
            serving_since: DISTANT_PAST,
            replica_capacity: configured_replica_capacity,
        };
        let path = PathTracker { is_cut: false, since: DISTANT_PAST };
        EvidenceTracker {
            zones: vec![zone; zone_count],
            paths: vec![vec![path; zone_count]; zone_count],
            updated_at: DISTANT_PAST,
            configured_replica_capacity,
        }
    }

    /// Resets all observation times to `now`.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.updated_at = now;
        for zone in &mut self.zones {
            (zone.unhealthy_since, zone.healthy_since) = (None, None);
            (zone.last_step, zone.serving_since) = (now, now);
        }
        self.paths.iter_mut().flatten().for_each(|path| path.since = now);
    }

    pub(super) fn record_step(&mut self, now: Timestamp, zone: usize, serves: bool) {
        self.zones[zone].last_step = now;
        if serves {
            self.zones[zone].serving_since = now;
        }
    }

    pub(super) fn update(&mut self, now: Timestamp, matrix: &EvidenceMatrix, current: &Decision) {
        let elapsed_seconds = (now - self.updated_at).as_secs_f64().clamp(0.0, MAX_RECOVERY_SECONDS);
        self.updated_at = now;
        for zone in 0..self.zones.len() {
            self.zones[zone].update(now, matrix.zone_health(zone), current.zones[zone].state);
            self.update_capacity(elapsed_seconds, matrix, zone);
            for to in 0..self.zones.len() {
                self.paths[zone][to].update(now, matrix, zone, to);
            }
        }
    }

    /// Updates the learned capacity. Replicas may not reach the configured capacity: a lower throughput of
    /// saturated replicas reduces the learned one, which otherwise recovers.
    fn update_capacity(&mut self, elapsed_seconds: f64, matrix: &EvidenceMatrix, zone: usize) {
        let configured = self.configured_replica_capacity;
        let (replicas, answered) = (matrix.healthy_replicas(zone), matrix.answered_parts(zone));
        if configured <= 0.0 || replicas <= 0.0 {
            return;
        }
        let saturated = matrix.cells[zone][zone].saturated_fraction;
        let answered_by_each = answered / replicas;
        let learned = &mut self.zones[zone].replica_capacity;
        *learned = if saturated >= AT_CAPACITY_FRACTION && answered_by_each < *learned {
            answered_by_each.max(configured * MIN_CAPACITY_FRACTION)
        } else {
            (*learned + configured * CAPACITY_RECOVERY_PER_SECOND * elapsed_seconds).min(configured)
        };
    }

    /// Returns the first zone whose cut paths have to change because one of its paths has been cut, or has
    /// been intact, for long enough.
    pub(super) fn path_change(
        &self,
        now: Timestamp,
        timing: &FailoverTiming,
        matrix: &EvidenceMatrix,
        current: &Decision,
    ) -> Option<PathChange> {
        (0..self.paths.len()).find_map(|from| {
            let mut cut_paths = current.zones[from].cut_paths;
            for (to, path) in self.paths[from].iter().enumerate() {
                // A zone that is unreachable from everywhere is at fault itself, not the paths to it.
                let unreachable = matches!(matrix.zone_health(to), ZoneHealth::Dead | ZoneHealth::CutOff);
                if from == to || unreachable {
                    continue;
                }
                if path.is_cut && now - path.since >= OBSERVATION_TIME + timing.suspect_after {
                    cut_paths |= 1 << to;
                } else if !path.is_cut && now - path.since >= timing.hold_down {
                    cut_paths &= !(1 << to);
                }
            }
            (cut_paths != current.zones[from].cut_paths).then_some(PathChange { from, cut_paths })
        })
    }
}

impl ZoneTracker {
    fn update(&mut self, now: Timestamp, health: ZoneHealth, state: ZoneState) {
        let unhealthy = matches!(health, ZoneHealth::Dead | ZoneHealth::CutOff | ZoneHealth::Slow);
        self.unhealthy_since = unhealthy.then(|| self.unhealthy_since.unwrap_or(now));
        self.healthy_since = health.is_usable().then(|| self.healthy_since.unwrap_or(now));
        if unhealthy || state != ZoneState::Serving {
            self.serving_since = now;
        }
    }
}

impl PathTracker {
    fn update(&mut self, now: Timestamp, matrix: &EvidenceMatrix, from: usize, to: usize) {
        if matrix.cells[from][to].unhealthy_fraction.is_none() {
            self.since = self.since.max(now);
            return;
        }
        let is_cut = matrix.is_path_cut(from, to);
        if is_cut != self.is_cut {
            *self = PathTracker { is_cut, since: now };
        }
    }
}
