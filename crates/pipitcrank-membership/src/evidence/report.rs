//! What one node reports.

use serde::{Deserialize, Serialize};

/// What one node observes of one zone's replicas, as counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCounts {
    /// In the endpoint list.
    pub listed: u16,
    /// Answering with spare capacity.
    pub answering: u16,
    /// Giving no answer at all.
    pub silent: u16,
    /// Answering with errors.
    pub failing: u16,
    /// Answering, with work queued.
    pub saturated: u16,
    /// Warming up.
    pub warming_up: u16,
    /// Parts answered by the zone, in parts per second.
    pub answered_parts: u32,
}

impl ReplicaCounts {
    /// Replicas whose condition was observed.
    pub fn observed(&self) -> u32 {
        [self.answering, self.silent, self.failing, self.saturated].iter().map(|&n| u32::from(n)).sum()
    }

    /// Fraction of the observed replicas that give no usable answer; none where none was observed.
    pub fn unhealthy_fraction(&self) -> Option<f64> {
        let observed = self.observed();
        let unhealthy = u32::from(self.silent) + u32::from(self.failing);
        (observed > 0).then(|| f64::from(unhealthy) / f64::from(observed))
    }

    /// Fraction of the observed replicas that `count` of them are.
    pub(super) fn fraction_of_observed(&self, count: u16) -> f64 {
        f64::from(count) / f64::from(self.observed().max(1))
    }
}

/// What one node reports of all zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The reporter's own zone, by place in the operators' list.
    pub zone: u16,
    /// Grows with each report of one process.
    pub sequence: u64,
    /// By zone, in the operators' order.
    pub replica_counts: Vec<ReplicaCounts>,
    /// Demand of this node's clients, in parts per second.
    pub demand: u32,
    /// Nodes that it knows of in its zone, itself included.
    pub nodes: u16,
}

impl EvidenceReport {
    /// Whether it can be true: one entry for each zone, and no more replicas observed than listed.
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
