//! Evidence report of one node.

use serde::{Deserialize, Serialize};

/// Observations of one node on the replicas of one zone, as counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCounts {
    /// Replicas in the endpoint list.
    pub listed: u16,
    /// Replicas that answer and have spare capacity.
    pub responsive: u16,
    /// Replicas that give no answer.
    pub unresponsive: u16,
    /// Replicas that answer with errors.
    pub failing: u16,
    /// Replicas that answer and have queued work.
    pub saturated: u16,
    /// Replicas that are warming up.
    pub warming_up: u16,
    /// Parts answered by the zone per second.
    pub answered_parts: u32,
}

impl ReplicaCounts {
    /// Number of replicas whose condition was observed.
    pub fn observed(&self) -> u32 {
        [self.responsive, self.unresponsive, self.failing, self.saturated].iter().map(|&n| u32::from(n)).sum()
    }

    /// Fraction of the observed replicas that give no usable answer; `None` if no replica was observed.
    pub fn unhealthy_fraction(&self) -> Option<f64> {
        let observed = self.observed();
        let unhealthy = u32::from(self.unresponsive) + u32::from(self.failing);
        (observed > 0).then(|| f64::from(unhealthy) / f64::from(observed))
    }

    /// `count` as a fraction of the observed replicas.
    pub(super) fn fraction_of_observed(&self, count: u16) -> f64 {
        f64::from(count) / f64::from(self.observed().max(1))
    }
}

/// Evidence report of one node on all zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Zone of the reporter, as an index into the operators' list.
    pub zone: u16,
    /// Sequence number, which increases with each report of one process.
    pub sequence: u64,
    /// One entry per zone, in the order of the operators' list.
    pub replica_counts: Vec<ReplicaCounts>,
    /// Demand of this node's clients, in parts per second.
    pub demand: u32,
    /// Number of nodes in the reporter's zone according to its membership, itself included.
    pub nodes: u16,
}

impl EvidenceReport {
    /// Whether the report is plausible: it has one entry per zone, and no more replicas are observed or
    /// warming up than listed.
    pub fn is_valid(&self, zone_count: usize) -> bool {
        let plausible = |counts: &ReplicaCounts| {
            counts.observed() <= u32::from(counts.listed) && counts.warming_up <= counts.listed
        };
        usize::from(self.zone) < zone_count
            && self.replica_counts.len() == zone_count
            && self.nodes > 0
            && self.replica_counts.iter().all(plausible)
    }
}
