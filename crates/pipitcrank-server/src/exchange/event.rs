//! Events queued for the next batch.

use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, ReplicaId};
use pipitcrank_core::time::Timestamp;

use super::endpoint::Endpoint;
use super::query::{DelegatedRequest, QueryRequest, ResponseSink};
use crate::replicas::frames::LoadReport;

/// A query submitted by a client or another site.
pub(super) struct Submission {
    /// Identifies the query until its final answer; never reused.
    pub(super) ticket: u64,
    pub(super) request: QueryRequest,
    pub(super) response: Box<dyn ResponseSink>,
    /// Present if another site forwarded the query.
    pub(super) delegated: Option<DelegatedRequest>,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) replica: ReplicaId,
    pub(super) attempt: AttemptId,
    pub(super) outcome: AttemptOutcome,
    pub(super) value: Option<String>,
    pub(super) report: Option<LoadReport>,
}

/// A load probe that has ended.
pub(super) struct EndedProbe {
    pub(super) replica: ReplicaId,
    /// Generation of the replica when the end was reported.
    pub(super) generation: Option<u64>,
    pub(super) outcome: AttemptOutcome,
    pub(super) report: Option<LoadReport>,
}

/// A complete endpoint list, or an incremental change of it.
pub(super) struct EndpointChange {
    pub(super) at: Timestamp,
    /// Whether `endpoints` contains all replicas.
    pub(super) complete: bool,
    pub(super) endpoints: Vec<Endpoint>,
}

pub(super) enum Event {
    Submitted(Submission),
    ClientDisconnected { ticket: u64 },
    AttemptEnded(EndedAttempt),
    LoadProbeEnded(EndedProbe),
    EndpointsUpdated(EndpointChange),
    ZoneProbeRequested { zone: ZoneId, max_probes: usize },
    DeadlinesCapped { by: Timestamp },
}
