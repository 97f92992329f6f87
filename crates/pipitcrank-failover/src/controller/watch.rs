//! Since when the evidence on zones and on the paths between them has been as it is.

use pipitcrank_core::time::Timestamp;
use pipitcrank_membership::evidence::{EvidenceMatrix, ZoneHealth};

use super::timing::{FailoverTiming, OBSERVED_FOR};
use crate::constants::DISTANT_PAST;
use crate::decision::{Decision, ZoneState};

/// Fraction of saturated replicas from which a zone is at its capacity, whatever operators say of it.
const AT_CAPACITY_FRACTION: f64 = 0.3;
/// The learned capacity of a replica is never below this fraction of the configured one.
const MIN_CAPACITY_FRACTION: f64 = 0.2;
/// By this fraction of the configured capacity the learned one recovers each second.
const CAPACITY_RECOVERY_PER_SECOND: f64 = 0.02;
/// Longest time, in seconds, for which the learned capacity recovers at once.
const MAX_RECOVERY_SECONDS: f64 = 1.0;

/// What is known of a zone while this voter leads.
#[derive(Clone, Copy)]
pub(super) struct ZoneWatch {
    pub(super) unhealthy_since: Option<Timestamp>,
    pub(super) healthy_since: Option<Timestamp>,
    pub(super) last_step: Timestamp,
    /// Since when it has been serving without evidence against it.
    pub(super) serving_since: Timestamp,
    /// Parts per second that one of its replicas answers, as evidence shows.
    pub(super) replica_capacity: f64,
}

#[derive(Clone, Copy)]
struct PathWatch {
    is_cut: bool,
    since: Timestamp,
}

/// The paths from one zone as they should be decided.
pub(super) struct PathChange {
    pub(super) from: usize,
    /// Bit `n`: the path to zone `n` is cut.
    pub(super) cut_paths: u16,
}

/// What is known of all zones and paths while this voter leads.
pub(super) struct EvidenceWatch {
    pub(super) zones: Vec<ZoneWatch>,
    /// `[from][to]`.
    paths: Vec<Vec<PathWatch>>,
    updated_at: Timestamp,
    /// Parts per second that operators say a replica answers once warm; 0 where they do not say.
    pub(super) configured_replica_capacity: f64,
}

impl EvidenceWatch {
    pub(super) fn new(zone_count: usize, configured_replica_capacity: f64) -> EvidenceWatch {
        let zone = ZoneWatch {
            unhealthy_since: None,
            healthy_since: None,
            last_step: DISTANT_PAST,
            serving_since: DISTANT_PAST,
            replica_capacity: configured_replica_capacity,
        };
        let path = PathWatch { is_cut: false, since: DISTANT_PAST };
        EvidenceWatch {
            zones: vec![zone; zone_count],
            paths: vec![vec![path; zone_count]; zone_count],
            updated_at: DISTANT_PAST,
            configured_replica_capacity,
        }
    }

    /// Forgets how long the evidence has been as it is.
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
        let passed = (now - self.updated_at).as_secs_f64().clamp(0.0, MAX_RECOVERY_SECONDS);
        self.updated_at = now;
        for zone in 0..self.zones.len() {
            self.zones[zone].update(now, matrix.zone_health(zone), current.zones[zone].state);
            self.update_capacity(passed, matrix, zone);
            for to in 0..self.zones.len() {
                self.paths[zone][to].update(now, matrix, zone, to);
            }
        }
    }

    /// Replicas may not reach the capacity that operators state: what they answered when saturated counts.
    fn update_capacity(&mut self, passed_seconds: f64, matrix: &EvidenceMatrix, zone: usize) {
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
            (*learned + configured * CAPACITY_RECOVERY_PER_SECOND * passed_seconds).min(configured)
        };
    }

    /// The first zone of which a path has been cut, or whole, for long enough to be decided.
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
                // Where a zone is unreachable for all, none of the paths is at fault.
                let unreachable = matches!(matrix.zone_health(to), ZoneHealth::Dead | ZoneHealth::CutOff);
                if from == to || unreachable {
                    continue;
                }
                if path.is_cut && now - path.since >= OBSERVED_FOR + timing.suspect_after {
                    cut_paths |= 1 << to;
                } else if !path.is_cut && now - path.since >= timing.hold_down {
                    cut_paths &= !(1 << to);
                }
            }
            (cut_paths != current.zones[from].cut_paths).then_some(PathChange { from, cut_paths })
        })
    }
}

impl ZoneWatch {
    fn update(&mut self, now: Timestamp, health: ZoneHealth, state: ZoneState) {
        let unhealthy = matches!(health, ZoneHealth::Dead | ZoneHealth::CutOff | ZoneHealth::Slow);
        self.unhealthy_since = unhealthy.then(|| self.unhealthy_since.unwrap_or(now));
        self.healthy_since = health.is_usable().then(|| self.healthy_since.unwrap_or(now));
        if unhealthy || state != ZoneState::Serving {
            self.serving_since = now;
        }
    }
}

impl PathWatch {
    fn update(&mut self, now: Timestamp, matrix: &EvidenceMatrix, from: usize, to: usize) {
        if matrix.cells[from][to].unhealthy_fraction.is_none() {
            self.since = self.since.max(now);
            return;
        }
        let is_cut = matrix.is_path_cut(from, to);
        if is_cut != self.is_cut {
            *self = PathWatch { is_cut, since: now };
        }
    }
}
