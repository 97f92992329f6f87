//! The combined evidence from each zone on each zone, and what follows from it.

use std::net::SocketAddr;

/// Fraction of unhealthy replicas from which a zone is observed as unhealthy.
pub const UNHEALTHY_FRACTION: f64 = 0.8;
/// Fraction of unhealthy replicas up to which a zone is observed as healthy.
pub const HEALTHY_FRACTION: f64 = 0.2;

/// What the reporters of one zone observe of one zone: medians, so that one wrong reporter changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceCell {
    /// Reporters that count.
    pub reporters: usize,
    /// Fraction of the observed replicas that give no usable answer; none where none was observed.
    pub unhealthy_fraction: Option<f64>,
    /// Fraction of the observed replicas that are saturated.
    pub saturated_fraction: f64,
    /// Fraction of the observed replicas that are warming up.
    pub warming_up_fraction: f64,
    /// Replicas in the endpoint list.
    pub listed: f64,
    /// Replicas that answer, saturated ones included.
    pub answering: f64,
    /// Parts per second that all nodes of the observing zone together had answered there.
    pub answered_parts: f64,
}

/// The condition of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Nobody has observed enough of it.
    Unknown,
    /// Nearly all of its replicas answer.
    Healthy,
    /// Some of its replicas give no usable answer: its capacity is reduced.
    Degraded,
    /// It accepts work, and all of it waits.
    Slow,
    /// Nobody gets an answer from its replicas; its own nodes, where any report, no more than others.
    Dead,
    /// No other zone reaches it, and none of its own nodes reports.
    CutOff,
}

impl ZoneHealth {
    /// As it is shown to operators and written to logs.
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

    /// Whether the zone can be given work: it is healthy, or degraded.
    pub fn is_usable(self) -> bool {
        matches!(self, ZoneHealth::Healthy | ZoneHealth::Degraded)
    }
}

/// How one zone looks from another.
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

/// All evidence, combined.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EvidenceMatrix {
    /// `[from][to]`: what zone `from` observes of zone `to`.
    pub cells: Vec<Vec<EvidenceCell>>,
    /// By zone: demand of the clients of all its nodes, in parts per second.
    pub demand: Vec<f64>,
    /// Reporters that reach nobody, unlike the others of their zone; their reports do not count.
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

    /// The condition of one zone. Where its own nodes do not report, the other zones decide; where only they observe it,
    /// they do.
    pub fn zone_health(&self, zone: usize) -> ZoneHealth {
        let others: Vec<Condition> = (0..self.zone_count())
            .filter(|from| *from != zone)
            .filter_map(|f| self.condition(f, zone))
            .collect();
        let own = self.condition(zone, zone);
        let unhealthy_to_others = !others.is_empty() && others.iter().all(Condition::is_unhealthy);
        match own {
            Some(own) if own.is_unhealthy() && (unhealthy_to_others || others.is_empty()) => ZoneHealth::Dead,
            // Where its own nodes get answers, only the paths to it are cut: it still serves its own clients.
            None if unhealthy_to_others => ZoneHealth::CutOff,
            None if others.is_empty() => ZoneHealth::Unknown,
            _ => {
                // Only those who reach it count: a cut path says nothing of the zone.
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

    /// Healthy replicas of a zone, as observed by the zone that reaches most of them.
    pub fn healthy_replicas(&self, zone: usize) -> f64 {
        let reaching = (0..self.zone_count()).filter(|from| !self.is_path_cut(*from, zone));
        let healthy = |from: usize| {
            let cell = self.cells[from][zone];
            cell.unhealthy_fraction.map_or(0.0, |unhealthy| cell.listed * (1.0 - unhealthy))
        };
        reaching.map(healthy).fold(0.0, f64::max)
    }

    /// Replicas in the endpoint list of a zone: the median over the zones.
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

    /// Reporters of a zone that count.
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

/// The median; of an even number of values the lower, so that more than half of the reporters must call a zone unhealthy.
pub(super) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}
