//! Combined evidence from each zone on each zone, and the health derived from it.

use std::net::SocketAddr;

/// Fraction of unhealthy replicas at and above which a zone is observed as unhealthy.
pub const UNHEALTHY_FRACTION: f64 = 0.8;
/// Fraction of unhealthy replicas up to which a zone is observed as healthy.
pub const HEALTHY_FRACTION: f64 = 0.2;

/// Observations of one zone's reporters on one zone. The values are medians, so a single wrong reporter has
/// no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceCell {
    /// Number of reporters, without isolated ones.
    pub reporters: usize,
    /// Fraction of the observed replicas that give no usable answer; `None` if no replica was observed.
    pub unhealthy_fraction: Option<f64>,
    /// Fraction of the observed replicas that are saturated.
    pub saturated_fraction: f64,
    /// Fraction of the observed replicas that are warming up.
    pub warming_up_fraction: f64,
    /// Replicas in the endpoint list.
    pub listed: f64,
    /// Replicas that answer, including saturated ones.
    pub answering: f64,
    /// Parts per second answered to all nodes of the observing zone.
    pub answered_parts: f64,
}

/// Health of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// There are not enough observations of the zone.
    Unknown,
    /// Nearly all replicas of the zone answer.
    Healthy,
    /// Some replicas give no usable answer, so the capacity is reduced.
    Degraded,
    /// The zone accepts work, but nearly all replicas queue it.
    Slow,
    /// Neither the zone's own reporters nor any other zone get answers from its replicas.
    Dead,
    /// No other zone reaches the zone, and none of its own nodes reports.
    CutOff,
}

impl ZoneHealth {
    /// Name shown to operators and written to logs.
    pub fn name(self) -> &'static str {
        match self {
            ZoneHealth::Unknown => "Unknown",
            ZoneHealth::Healthy => "Well",
            ZoneHealth::Degraded => "Part",
            ZoneHealth::Slow => "Slow",
            ZoneHealth::Dead => "Dead",
            ZoneHealth::CutOff => "CutOff",
        }
    }

    /// Whether the zone can receive work: it is healthy or degraded.
    pub fn is_usable(self) -> bool {
        matches!(self, ZoneHealth::Healthy | ZoneHealth::Degraded)
    }
}

/// Condition of one zone as observed from another.
#[derive(Clone, Copy)]
struct Condition {
    unhealthy_fraction: f64,
    saturated_fraction: f64,
}

impl Condition {
    fn is_unhealthy(&self) -> bool {
        self.unhealthy_fraction >= UNHEALTHY_FRACTION
    }
}

/// Combined evidence of all reporters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EvidenceMatrix {
    /// `[from][to]`: observations of zone `from` on zone `to`.
    pub cells: Vec<Vec<EvidenceCell>>,
    /// By zone: demand of the clients of all its nodes, in parts per second.
    pub demand: Vec<f64>,
    /// Isolated reporters: they reach no zone, unlike the other reporters of their zone. Their reports do not
    /// count.
    pub isolated_reporters: Vec<SocketAddr>,
}

impl EvidenceMatrix {
    /// Number of zones.
    pub fn zone_count(&self) -> usize {
        self.cells.len()
    }

    /// Whether the nodes of zone `from` get no usable answer from zone `to`.
    pub fn is_path_cut(&self, from: usize, to: usize) -> bool {
        self.cells[from][to].unhealthy_fraction.is_some_and(|fraction| fraction >= UNHEALTHY_FRACTION)
    }

    /// Health of one zone. If its own nodes do not report, the other zones decide; if no other zone observes
    /// it, its own nodes decide.
    pub fn zone_health(&self, zone: usize) -> ZoneHealth {
        let others: Vec<Condition> = (0..self.zone_count())
            .filter(|from| *from != zone)
            .filter_map(|f| self.condition(f, zone))
            .collect();
        let own = self.condition(zone, zone);
        let unhealthy_to_others = !others.is_empty() && others.iter().all(Condition::is_unhealthy);
        match own {
            Some(own) if own.is_unhealthy() && (unhealthy_to_others || others.is_empty()) => ZoneHealth::Dead,
            // If the zone's own nodes get answers, only the paths to it are cut and it still serves its own
            // clients.
            None if unhealthy_to_others => ZoneHealth::CutOff,
            None if others.is_empty() => ZoneHealth::Unknown,
            _ => {
                // Only zones that reach it count: a cut path carries no information about the zone.
                let reaching = others.into_iter().chain(own).filter(|c| !c.is_unhealthy()).collect();
                health_of_reachable(reaching)
            }
        }
    }

    fn condition(&self, from: usize, to: usize) -> Option<Condition> {
        let cell = &self.cells[from][to];
        let unhealthy_fraction = cell.unhealthy_fraction?;
        Some(Condition { unhealthy_fraction, saturated_fraction: cell.saturated_fraction })
    }

    /// Number of healthy replicas of a zone, as observed by the zone that reaches most of them.
    pub fn healthy_replicas(&self, zone: usize) -> f64 {
        let reaching = (0..self.zone_count()).filter(|from| !self.is_path_cut(*from, zone));
        let healthy = |from: usize| {
            let cell = self.cells[from][zone];
            cell.unhealthy_fraction.map_or(0.0, |unhealthy| cell.listed * (1.0 - unhealthy))
        };
        reaching.map(healthy).fold(0.0, f64::max)
    }

    /// Number of replicas in the endpoint list of a zone: the median over the zones.
    pub fn listed_replicas(&self, zone: usize) -> f64 {
        median(self.cells.iter().map(|row| row[zone].listed).filter(|n| *n > 0.0)).unwrap_or(0.0)
    }

    /// Fraction of a zone's replicas that are warming up: the median over the zones that observe any.
    pub fn warming_up_fraction(&self, zone: usize) -> f64 {
        let observing = self.cells.iter().map(|row| row[zone]).filter(|c| c.unhealthy_fraction.is_some());
        median(observing.map(|cell| cell.warming_up_fraction)).unwrap_or(0.0)
    }

    /// Parts per second that a zone answered to all zones.
    pub fn answered_parts(&self, zone: usize) -> f64 {
        (0..self.zone_count()).map(|from| self.cells[from][zone].answered_parts).sum()
    }

    /// Number of reporters of a zone, without isolated ones.
    pub fn reporters(&self, zone: usize) -> usize {
        self.cells[zone].first().map_or(0, |cell| cell.reporters)
    }
}

fn health_of_reachable(reaching: Vec<Condition>) -> ZoneHealth {
    let unhealthy = median(reaching.iter().map(|c| c.unhealthy_fraction)).unwrap_or(1.0);
    let saturated = median(reaching.iter().map(|c| c.saturated_fraction)).unwrap_or(0.0);
    if saturated >= UNHEALTHY_FRACTION {
        ZoneHealth::Slow
    } else if unhealthy > HEALTHY_FRACTION {
        ZoneHealth::Degraded
    } else {
        ZoneHealth::Healthy
    }
}

/// Returns the median. With an even number of values it is the lower one, so that a zone counts as unhealthy
/// only if more than half of the reporters observe it so.
pub(super) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}
