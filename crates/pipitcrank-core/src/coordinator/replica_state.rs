//! What is known of one replica, from the endpoint list and from this co-ordinator's own attempts.

use std::collections::VecDeque;

use super::replica_health::ReplicaHealth;
use super::replica_load::{LoadEstimate, LoadModel, ReplicaLoad};
use super::slow_start::SlowStartSend;
use super::zones::ZoneId;
use crate::time::{TimeSpan, Timestamp};

/// Where a replica is reached.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Site {
    #[default]
    Local,
    /// It stands for a cell of another site.
    Remote,
    /// It stands for a cell of another site, and nothing may go there.
    RemoteClosed,
}

/// What is known of one replica.
#[derive(Default)]
pub(super) struct ReplicaState {
    pub(super) cell: u32,
    pub(super) is_listed: bool,
    pub(super) started: Option<Timestamp>,
    pub(super) site: Site,
    /// Round-trip time to it that is the network's and not the replica's; none is regarded of local replicas.
    pub(super) network_delay: TimeSpan,
    /// None where none is configured.
    pub(super) zone: Option<ZoneId>,
    pub(super) health: ReplicaHealth,
    pub(super) load: ReplicaLoad,
    /// Work sent during slow start, oldest first; entries older than the slow-start window are removed.
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

    /// Neither listed nor with attempts out.
    pub(super) fn is_unused(&self) -> bool {
        !self.is_listed && self.load.outstanding.is_empty()
    }
}
