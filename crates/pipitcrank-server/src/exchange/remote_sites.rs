//! Remote sites. Each cell of a remote site has a replica entry in the request table; parts sent to it are forwarded to
//! the site.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::ids::{PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::attempt_handle::AttemptHandle;
use super::query::QueryPart;
use super::request_table::ReplicaEntry;
use super::state::{DelegatedRetries, Exchange};
use super::zones::zone_id;

/// Parts of one query that are forwarded to another site together.
pub struct OutgoingForward {
    /// The client's id of the query.
    pub id: String,
    /// Its request class.
    pub class: RequestClassId,
    /// Earliest deadline of the attempts.
    pub deadline: Timestamp,
    /// The parts with their attempts.
    pub parts: Vec<OutgoingPart>,
    /// The client's idempotency key, by which replicas detect a repeated request.
    pub idempotency_key: Option<Arc<str>>,
    /// Query text for the replicas.
    pub text: Arc<str>,
    /// Whether the request class allows a retry after an attempt that may have run.
    pub idempotent: bool,
    /// Number that identifies the delegation of retries in this forward.
    pub delegation: u64,
    /// Number of delegated retries and hedged requests.
    pub retries: u32,
}

/// One part of a forward.
pub struct OutgoingPart {
    /// Attempt that ends when the part's outcome arrives.
    pub attempt: AttemptHandle,
    /// Shard, weight and estimated work of the part.
    pub part: QueryPart,
}

impl Exchange {
    /// Adds one replica entry for each cell of a remote site. Nothing is sent to the site until its delay is set.
    pub fn add_remote_site(&mut self, site: u16, name: &str, cells: u32) -> Vec<ReplicaId> {
        self.coordinator.begin_endpoint_list(false);
        let mut replicas = Vec::new();
        for cell in 0..cells {
            // Uids from the discovery service contain no blanks, so this one cannot collide with any of them.
            let replica = ReplicaId(self.table.replica_uids.intern(&format!("site {name} {cell}")));
            let zone = self.site_zones.get(name).cloned();
            let id = zone_id(&self.zones, &zone);
            let entry = ReplicaEntry {
                generation: self.table.next_generation(),
                address: None,
                cell,
                zone,
                started: None,
                site: Some(site),
                down_since: None,
            };
            self.table.replicas.insert(replica.0, entry);
            self.coordinator.list_replica(replica, cell, true, None);
            self.coordinator.set_remote_delay(replica, None);
            self.coordinator.set_replica_zone(replica, id);
            replicas.push(replica);
        }
        self.coordinator.finish_endpoint_list(&mut self.table);
        replicas
    }

    /// Sets the expected delay of a forward to the site; `None` stops forwards to it.
    pub fn set_remote_delay(&mut self, site: u16, delay: Option<TimeSpan>) {
        for (&replica, _) in self.table.replicas.iter().filter(|(_, entry)| entry.site == Some(site)) {
            self.coordinator.set_remote_delay(ReplicaId(replica), delay);
        }
    }

    /// The send guard for forwards, the counterpart of `authorize_send` for calls. Returns one forward for each query
    /// that still has parts to send.
    pub fn authorize_forward(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        attempts: &mut Vec<AttemptHandle>,
    ) -> Vec<OutgoingForward> {
        self.authorize_send(now, replica, attempts);
        self.delegations.retain(|_, delegation| delegation.expires > now);
        let mut by_query: BTreeMap<u32, Vec<AttemptHandle>> = BTreeMap::new();
        for &attempt in attempts.iter() {
            let query = self.table.parts[&attempt.id.part.0].query;
            by_query
                .entry(query.expect("an authorized part belongs to an open query"))
                .or_default()
                .push(attempt);
        }
        by_query.into_iter().map(|(query, attempts)| self.make_forward(now, query, &attempts)).collect()
    }

    fn make_forward(&mut self, now: Timestamp, query: u32, attempts: &[AttemptHandle]) -> OutgoingForward {
        let deadlines = attempts.iter().map(|attempt| self.table.outstanding[&attempt.id].deadline);
        let deadline = deadlines.min().unwrap_or(now);
        self.last_delegation += 1;
        let delegation = self.last_delegation;
        let part_ids: Vec<PartId> = attempts.iter().map(|attempt| attempt.id.part).collect();
        let retries = self.coordinator.delegate_retries(now, delegation, &part_ids, deadline);
        let indices_and_ids = part_ids.iter().map(|part| (*part, self.table.parts[&part.0].id.clone()));
        let delegated = DelegatedRetries { parts: indices_and_ids.collect(), retries, expires: deadline };
        self.delegations.insert(delegation, delegated);
        let entry = &self.table.queries[&query];
        let parts = attempts.iter().map(|&attempt| {
            let part = &self.table.parts[&attempt.id.part.0];
            let part = QueryPart { shard: part.shard, weight: part.weight, work: part.work };
            OutgoingPart { attempt, part }
        });
        let text = attempts.first().map(|attempt| self.table.parts[&attempt.id.part.0].text.clone());
        OutgoingForward {
            id: self.table.query_ids.name(query).to_string(),
            class: entry.class,
            deadline,
            parts: parts.collect(),
            idempotency_key: entry.idempotency_key.clone(),
            text: text.unwrap_or_else(|| "".into()),
            idempotent: self.coordinator.may_retry(entry.class),
            delegation,
            retries,
        }
    }

    /// Ends a delegation of which the other site has used `used` retries.
    pub fn delegation_returned(&mut self, now: Timestamp, delegation: u64, used: u32) {
        if let Some(DelegatedRetries { parts, retries, expires }) = self.delegations.remove(&delegation)
            && now < expires
        {
            // A part may have ended and its index may have been reused for another part.
            let is_open = |(part, id): &(PartId, Rc<str>)| {
                self.table.parts.get(&part.0).is_some_and(|entry| Rc::ptr_eq(&entry.id, id))
            };
            let parts: Vec<PartId> = parts.into_iter().filter(is_open).map(|(part, _)| part).collect();
            self.coordinator.delegation_returned(now, delegation, &parts, retries, used);
        }
    }
}
