//! Forwarding between sites: replicas that are stand-ins for the cells of another site, queries forwarded by
//! another site, and retries delegated with the parts that are forwarded to another site. Remote replicas
//! are selected together with the other candidates (`candidates.rs`).

use super::replica_state::Site;
use super::state::State;
use crate::ids::{Idempotency, PartId, QueryId, ReplicaId, RequestClassId};
use crate::time::{TimeSpan, Timestamp};

impl State {
    /// Marks a new query as forwarded by another site. The query does not add to the local retry budget; its
    /// retries are taken from those that the other site has delegated.
    pub(super) fn mark_forwarded(&mut self, id: QueryId, delegated_retries: u32) {
        self.retry_budget.undo_admission();
        if let Some(open) = self.queries.get_mut(&id) {
            open.delegated_retries = Some(delegated_retries);
        }
    }

    pub(super) fn may_retry(&self, class: RequestClassId) -> bool {
        self.class_config(class).idempotency != Idempotency::NonIdempotent
    }

    /// Records that the parts are forwarded, and returns how many retries the other site may make for them
    /// until `expires_at`. These retries count as made, in the budget and for each part, until
    /// `delegation_returned` is called.
    pub(super) fn delegate_retries(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        parts: &[PartId],
        expires_at: Timestamp,
    ) -> u32 {
        let max_attempts = self.retry_policy.max_attempts;
        let attempts_left =
            |p: &PartId| self.parts.get(p).map_or(0, |p| max_attempts.saturating_sub(p.attempt_count()));
        let max_count = parts.iter().map(attempts_left).min().unwrap_or(0).min(parts.len() as u32);
        let count = self.retry_budget.delegate_up_to(now, delegation_id, max_count, expires_at);
        for id in parts {
            if let Some(part) = self.parts.get_mut(id) {
                part.remote_attempts += count;
            }
        }
        count
    }

    /// Ends a delegation of retries to another site, which made `made` of the `delegated` retries.
    pub(super) fn delegation_returned(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        parts: &[PartId],
        delegated: u32,
        made: u32,
    ) {
        self.retry_budget.settle_delegation(now, delegation_id, made);
        for id in parts {
            if let Some(part) = self.parts.get_mut(id) {
                part.remote_attempts -= delegated - made.min(delegated);
            }
        }
    }

    /// Marks the replica as a stand-in for a cell of another site, with `delay` as the round-trip time to
    /// that site. `None` stops forwards to it.
    pub(super) fn set_remote_delay(&mut self, replica: ReplicaId, delay: Option<TimeSpan>) {
        let site = if delay.is_some() { Site::Remote } else { Site::RemoteClosed };
        let network_delay = delay.unwrap_or(TimeSpan::ZERO);
        if let Some(state) = self.replicas.get_mut(&replica) {
            self.needs_dispatch |= (state.site, state.network_delay) != (site, network_delay);
            state.load.invalidate();
            state.site = site;
            state.network_delay = network_delay;
        }
    }
}
