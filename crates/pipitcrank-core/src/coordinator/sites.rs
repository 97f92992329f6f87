//! What the module keeps of other sites: replicas that stand for a cell elsewhere, queries that are another site's, and
//! further calls lent with parts. Which of it a cover may use is decided beside the other candidates.

use super::Coordinator;
use crate::ids::{Idempotency, PartId, QueryId, ReplicaId, RequestClassId};
use crate::time::{TimeSpan, Timestamp};

impl Coordinator {
    /// The query just taken is another site's, which counts it and lends so many further calls for it: it gains
    /// nothing here, spends nothing here, and goes to no third site.
    pub fn mark_forwarded(&mut self, id: QueryId, further: u32) {
        self.budget.admitted.pop_back();
        if let Some(open) = self.queries.get_mut(&id) {
            open.lent = Some((further, 0));
        }
    }

    /// Whether a part of that request class that may have run may go again at all.
    pub fn may_retry(&self, v: RequestClassId) -> bool {
        self.classes[v.0 as usize].terms.idempotency != Idempotency::NonIdempotent
    }

    /// Parts go to another site: how many further calls that may make for them, until then. They count as made,
    /// for the budget and for each part, until `came_back` says how many were.
    pub fn delegate_retries(&mut self, now: Timestamp, who: u64, parts: &[PartId], until: Timestamp) -> u32 {
        let room = |p: &PartId| {
            self.parts
                .get(p)
                .map_or(0, |p| self.retry_policy.max_attempts - p.tried().min(self.retry_policy.max_attempts))
        };
        let most = parts.iter().map(room).min().unwrap_or(0).min(parts.len() as u32);
        let n = self.budget.delegate_up_to(now, who, most, until);
        for id in parts {
            self.parts.get_mut(id).into_iter().for_each(|p| p.elsewhere += n);
        }
        n
    }

    pub fn delegation_returned(&mut self, now: Timestamp, who: u64, parts: &[PartId], lent: u32, made: u32) {
        self.budget.settle_delegation(now, who, made);
        for id in parts {
            self.parts.get_mut(id).into_iter().for_each(|p| p.elsewhere -= lent - made.min(lent));
        }
    }

    /// The replica stands for a cell of another site, which costs that hop; none while nothing may go there. Whether and
    /// at what cost is the route book's word; the cover goes on as ever among those left.
    pub fn set_remote_delay(&mut self, replica: ReplicaId, hop: Option<TimeSpan>) {
        if let Some(state) = self.replicas.get_mut(&replica) {
            self.moved |= state.far != Some(hop);
            state.seen.take();
            state.far = Some(hop);
        }
    }
}
