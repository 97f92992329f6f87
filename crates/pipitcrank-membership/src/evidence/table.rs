//! Table of the newest report of each reporter.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::matrix::{EvidenceCell, EvidenceMatrix, median};
use super::report::{EvidenceReport, ReplicaCounts};
use super::reporters::REPORTERS_PER_ZONE;

/// Validity of a report: several report intervals, since some reports are lost.
pub const REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(1000);
/// A reporter that observes at least this fraction of every zone as unhealthy is considered isolated,
/// provided that most reporters of its zone are not.
const ISOLATED_FRACTION: f64 = 0.99;
/// Largest number of reporters kept, as a multiple of those expected: reporters change, and forged addresses
/// must not exhaust the memory.
const REPORTERS_KEPT_PER_EXPECTED: usize = 4;

struct ReceivedReport {
    at: Timestamp,
    instance: u64,
    report: EvidenceReport,
}

/// Newest report of each reporter; expired reports are dropped.
pub struct EvidenceTable {
    zone_count: usize,
    reports: BTreeMap<SocketAddr, ReceivedReport>,
}

impl EvidenceTable {
    /// Creates an empty table for `zone_count` zones.
    pub fn new(zone_count: usize) -> EvidenceTable {
        EvidenceTable { zone_count, reports: BTreeMap::new() }
    }

    /// Records the report of a node; returns whether it was usable.
    pub fn record(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        instance: u64,
        report: EvidenceReport,
    ) -> bool {
        if !report.is_valid(self.zone_count) {
            return false;
        }
        let known = self.reports.get(&from);
        // Reports may arrive out of order.
        if known.is_some_and(|known| known.instance == instance && known.report.sequence >= report.sequence) {
            return true;
        }
        let max_reports = self.zone_count * REPORTERS_PER_ZONE * REPORTERS_KEPT_PER_EXPECTED;
        if known.is_none() && self.reports.len() >= max_reports {
            return false;
        }
        self.reports.insert(from, ReceivedReport { at: now, instance, report });
        true
    }

    /// Drops expired reports and combines the others.
    pub fn matrix(&mut self, now: Timestamp) -> EvidenceMatrix {
        self.reports.retain(|_, received| now - received.at <= REPORT_LIFETIME);
        let mut matrix = EvidenceMatrix {
            cells: vec![vec![EvidenceCell::default(); self.zone_count]; self.zone_count],
            demand: vec![0.0; self.zone_count],
            isolated_reporters: Vec::new(),
        };
        for from in 0..self.zone_count {
            let mut of_zone: Vec<(SocketAddr, &EvidenceReport)> = self
                .reports
                .iter()
                .map(|(address, received)| (*address, &received.report))
                .filter(|(_, report)| usize::from(report.zone) == from)
                .collect();
            matrix.isolated_reporters.extend(remove_isolated(&mut of_zone));
            let reports: Vec<&EvidenceReport> = of_zone.into_iter().map(|(_, report)| report).collect();
            matrix.demand[from] = zone_total(&reports, |report| f64::from(report.demand));
            for to in 0..self.zone_count {
                matrix.cells[from][to] = combine(&reports, to);
            }
        }
        matrix
    }
}

/// Removes isolated reporters if most reporters of the zone are not isolated; returns their addresses.
fn remove_isolated(of_zone: &mut Vec<(SocketAddr, &EvidenceReport)>) -> Vec<SocketAddr> {
    let reaching = of_zone.iter().filter(|(_, report)| !reaches_no_zone(report)).count();
    if reaching * 2 <= of_zone.len() {
        return Vec::new();
    }
    let isolated = of_zone.iter().filter(|(_, report)| reaches_no_zone(report)).map(|(a, _)| *a).collect();
    of_zone.retain(|(_, report)| !reaches_no_zone(report));
    isolated
}

/// Whether a reporter gets no usable answer from any zone, including its own.
fn reaches_no_zone(report: &EvidenceReport) -> bool {
    let mut fractions = report.replica_counts.iter().filter_map(ReplicaCounts::unhealthy_fraction).peekable();
    fractions.peek().is_some() && fractions.all(|fraction| fraction >= ISOLATED_FRACTION)
}

/// Extrapolates a value from the reporters of a zone to all its nodes.
fn zone_total(reports: &[&EvidenceReport], value: impl Fn(&EvidenceReport) -> f64) -> f64 {
    if reports.is_empty() {
        return 0.0;
    }
    let nodes = median(reports.iter().map(|report| f64::from(report.nodes))).unwrap_or(0.0);
    let sum: f64 = reports.iter().map(|report| value(report)).sum();
    sum / reports.len() as f64 * nodes
}

/// Combines the reports from one zone on zone `to`.
fn combine(reports: &[&EvidenceReport], to: usize) -> EvidenceCell {
    let counts = || reports.iter().map(|report| report.replica_counts[to]);
    let observing = || counts().filter(|counts| counts.observed() > 0);
    let answering = |counts: ReplicaCounts| f64::from(counts.responsive) + f64::from(counts.saturated);
    EvidenceCell {
        reporters: reports.len(),
        unhealthy_fraction: median(observing().filter_map(|c| c.unhealthy_fraction())),
        saturated_fraction: median(observing().map(|c| c.fraction_of_observed(c.saturated))).unwrap_or(0.0),
        warming_up_fraction: median(observing().map(|c| c.fraction_of_observed(c.warming_up))).unwrap_or(0.0),
        listed: median(counts().map(|c| f64::from(c.listed))).unwrap_or(0.0),
        answering: median(counts().map(answering)).unwrap_or(0.0),
        answered_parts: zone_total(reports, |report| f64::from(report.replica_counts[to].answered_parts)),
    }
}
