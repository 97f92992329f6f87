//! State of one replica, from the endpoint list and from the attempts of this co-ordinator.

use std::collections::VecDeque;

use super::replica_health::ReplicaHealth;
use super::replica_load::{LoadEstimate, LoadModel, ReplicaLoad};
use super::slow_start::SlowStartSend;
use super::zones::ZoneId;
use crate::time::{TimeSpan, Timestamp};

/// Site at which a replica is reached.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Site {
    #[default]
    Local,
    /// The replica is a stand-in for a cell of another site.
    Remote,
    /// The replica is a stand-in for a cell of another site to which nothing may be forwarded.
    RemoteClosed,
}

/// State of one replica.
#[derive(Default)]
pub(super) struct ReplicaState {
    pub(super) cell: u32,
    pub(super) is_listed: bool,
    pub(super) started: Option<Timestamp>,
    pub(super) site: Site,
    /// Round-trip time of the network, which is not attributed to the replica. Zero for local replicas.
    pub(super) network_delay: TimeSpan,
    /// Zone of the replica, or `None` if no zone is configured.
    pub(super) zone: Option<ZoneId>,
    pub(super) health: ReplicaHealth,
    pub(super) load: ReplicaLoad,
    /// Work sent during slow start, oldest first. Entries older than the slow-start window are removed.
    pub(super) slow_start_sends: VecDeque<SlowStartSend>,
}

impl ReplicaState {
    pub(super) fn is_local(&self) -> bool {
        self.site == Site::Local
    }

    pub(super) fn load_estimate(&self, model: LoadModel, call_cost: f64) -> LoadEstimate {
        self.load.estimate(model, self.network_delay, call_cost)
    }

    pub(super) fn expected_lag(&self, model: LoadModel) -> f64 {
        self.load.expected_lag(model, self.network_delay)
    }

    /// Returns whether the replica is neither listed nor has outstanding attempts.
    pub(super) fn is_unused(&self) -> bool {
        !self.is_listed && self.load.outstanding.is_empty()
    }
}
