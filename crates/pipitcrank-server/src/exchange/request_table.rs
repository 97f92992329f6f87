//! What the exchange holds of queries, parts, replicas and calls, and what the decision module asks of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::ids::{AttemptOutcome, PartId, QueryId, RejectReason, ReplicaId, RequestClassId};
use pipitcrank_core::interner::Interner;
use pipitcrank_core::output::CoordinatorOutput;
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::{AttemptId, DelegatedRequest, QueryResponse, REQUESTS, ResponseCallback};
use crate::audit::Audit;
use crate::reasons::ResendReason;
use crate::runtime::counters::Counters;

pub(super) struct HeldQuery {
    pub(super) ticket: u64,
    pub(super) then: Option<ResponseCallback>,
    /// In the order asked.
    pub(super) parts: Vec<u32>,
    pub(super) class: RequestClassId,
    pub(super) idempotency_key: Option<Arc<str>>,
    pub(super) lent: Option<DelegatedRequest>,
}

pub(super) struct HeldPart {
    pub(super) id: Rc<str>,
    /// None once its query is let go of, whose index another may have by then while a call of this part is still out.
    pub(super) query: Option<u32>,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) work: Option<f64>,
    pub(super) text: Arc<str>,
    pub(super) value: Option<String>,
    pub(super) calls: u32,
    /// How the attempt that ended last did.
    pub(super) last_outcome: Option<AttemptOutcome>,
}

pub(super) struct ReplicaEntry {
    pub(super) address: Option<SocketAddr>,
    pub(super) cell: u32,
    pub(super) zone: Option<String>,
    pub(super) started: Option<Timestamp>,
    /// It stands for a cell of that site, as numbered at start.
    pub(super) site: Option<u16>,
    /// When this co-ordinator was told that it drains or is gone, until it is listed as up again.
    pub(super) off: Option<Timestamp>,
}

pub(super) struct Out {
    pub(super) replica: ReplicaId,
    pub(super) until: Timestamp,
    /// Its frame is being written, or was.
    pub(super) released: bool,
}

/// What the module asked for, until the turn is over.
pub(super) enum Command {
    Call(ReplicaId, AttemptId),
    GiveUp(ReplicaId, AttemptId),
    Probe(ReplicaId),
    Meet(ReplicaId, SocketAddr),
    LetGo(ReplicaId),
}

#[derive(Default)]
pub(super) struct RequestTable {
    pub(super) queries: Interner,
    pub(super) parts: Interner,
    pub(super) replicas: Interner,
    /// By index; each ends when the module lets go of it.
    pub(super) held_queries: BTreeMap<u32, HeldQuery>,
    pub(super) held_parts: BTreeMap<u32, HeldPart>,
    pub(super) held_replicas: BTreeMap<u32, ReplicaEntry>,
    /// Queries by the front's ticket; an entry ends with its query.
    pub(super) tickets: BTreeMap<u64, u32>,
    /// Replica calls out, and when waiting for them ends; emptied by their ends.
    pub(super) out: BTreeMap<AttemptId, Out>,
    pub(super) untils: BTreeSet<(Timestamp, AttemptId)>,
    /// Alarms; emptied as they ring.
    pub(super) alarms: BTreeSet<(Timestamp, u64)>,
    /// Emptied at each turn's end.
    pub(super) wishes: Vec<Command>,
    pub(super) counters: Counters,
    /// The run-time check, where it is on.
    pub(super) audit: Option<Audit>,
    /// As last told.
    pub(super) now: Timestamp,
}

impl RequestTable {
    /// Ends a call for the outside, and says at which replica it was out; none if it has ended before.
    pub(super) fn close(&mut self, call: AttemptId, outcome: AttemptOutcome) -> Option<ReplicaId> {
        let Out { replica, until, .. } = self.out.remove(&call)?;
        if let Some(audit) = &mut self.audit {
            audit.ended(call.0, call.1, outcome);
        }
        self.untils.remove(&(until, call));
        Some(replica)
    }

    /// Queries and parts open: a part that is in is not.
    pub(super) fn open_count(&self) -> usize {
        let open = self.held_parts.values().filter(|p| p.value.is_none() && p.query.is_some());
        self.held_queries.len() + open.count()
    }

    fn finish(&mut self, query: QueryId, last: QueryResponse, word: &'static str) {
        self.counters.add("queries", word);
        tracing::debug!(target: REQUESTS, request = self.queries.name(query.0), outcome = word, "answered");
        self.check_answer(query, &last);
        let held = self.held_queries.get_mut(&query.0);
        if let Some(then) = held.and_then(|held| held.then.take()) {
            then(last);
        }
    }

    /// Rejected or aborted, and why.
    fn refuse(&mut self, query: QueryId, last: QueryResponse, word: &'static str, why: RejectReason) {
        self.counters.add("refusals", why.name());
        tracing::debug!(target: REQUESTS, request = self.queries.name(query.0), why = why.name(), "refused");
        self.finish(query, last, word);
    }

    fn check_answer(&mut self, query: QueryId, last: &QueryResponse) {
        let (Some(audit), Some(held)) = (&mut self.audit, self.held_queries.get(&query.0)) else { return };
        let weight_of = |shard: &u32| {
            let mut parts = held.parts.iter().filter_map(|p| self.held_parts.get(p));
            parts.find(|p| p.shard == *shard).map_or(0.0, |p| p.weight)
        };
        let (weight, whole) = match last {
            QueryResponse::Answered { complete, hits } => {
                (Some(hits.iter().map(|(s, _)| weight_of(s)).sum()), *complete)
            }
            _ => (None, false),
        };
        audit.answered(self.now, held.ticket, weight, whole);
    }

    /// The replicas that a whole list may have left out.
    pub(super) fn audit_lists(&mut self) {
        let Some(audit) = &mut self.audit else { return };
        for (&replica, held) in self.held_replicas.iter().filter(|(_, l)| l.site.is_none()) {
            audit.listed(ReplicaId(replica), held.off);
        }
    }

    /// Why the part goes once more.
    fn again(&self, part: PartId) -> Option<ResendReason> {
        let held = self.held_parts.get(&part.0).filter(|held| held.calls > 0)?;
        if self.out.range((part, 0)..=(part, u32::MAX)).next().is_some() {
            return Some(ResendReason::Hedge);
        }
        held.last_outcome.map(ResendReason::After)
    }
}

impl CoordinatorOutput for RequestTable {
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, until: Timestamp) {
        if let Some(again) = self.again(part) {
            self.counters.add("again", again.name());
            let part = self.parts.name(part.0);
            tracing::debug!(target: REQUESTS, part, replica = replica.0, why = again.name(), "goes again");
        }
        let held = self.held_parts.get_mut(&part.0).expect("called parts are held");
        let call = (part, held.calls);
        held.calls += 1;
        let lent = held.query.and_then(|q| self.held_queries.get(&q)).and_then(|q| q.lent.as_ref());
        if let Some(lent) = lent.filter(|_| call.1 > 0) {
            lent.retries_used.set(lent.retries_used.get() + 1);
        }
        self.out.insert(call, Out { replica, until, released: false });
        self.untils.insert((until, call));
        self.wishes.push(Command::Call(replica, call));
    }

    fn cancel_attempt(&mut self, part: PartId, nth: u32) {
        if let Some(replica) = self.out.get(&(part, nth)).map(|out| out.replica) {
            self.wishes.push(Command::GiveUp(replica, (part, nth)));
        }
    }

    fn answer(&mut self, query: QueryId, whole: bool) {
        let parts = self.held_queries.get(&query.0).map(|q| &q.parts[..]).unwrap_or_default();
        let hits = parts.iter().filter_map(|p| {
            let part = self.held_parts.get_mut(p)?;
            Some((part.shard, part.value.take()?))
        });
        let hits = hits.collect();
        self.finish(
            query,
            QueryResponse::Answered { complete: whole, hits },
            if whole { "merged" } else { "merged_in_part" },
        );
    }

    fn reject(&mut self, query: QueryId, retry_after: TimeSpan, why: RejectReason) {
        self.refuse(query, QueryResponse::Rejected { retry_after }, "rejected", why);
    }

    fn abort(&mut self, query: QueryId, why: RejectReason) {
        self.refuse(query, QueryResponse::Aborted, "aborted", why);
    }

    fn set_timer(&mut self, at: Timestamp, label: u64) {
        self.alarms.insert((at, label));
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.wishes.push(Command::Probe(replica));
    }

    fn watch_endpoints(&mut self) {} // Discovery is always watched.

    fn log(&mut self, text: &str) {
        tracing::info!("{text}");
    }

    fn release_query(&mut self, query: QueryId) {
        self.queries.release(query.0);
        if let Some(held) = self.held_queries.remove(&query.0) {
            self.tickets.remove(&held.ticket);
            if let Some(audit) = &mut self.audit {
                audit.release_query(held.ticket);
            }
            // Guards against a call that waits for its connection while its query ends: it was taken for one of the query that
            // got the index next, and went out for nobody.
            for part in held.parts {
                let ours = self.held_parts.get_mut(&part).filter(|p| p.query == Some(query.0));
                ours.into_iter().for_each(|p| p.query = None);
            }
        }
    }

    fn release_part(&mut self, part: PartId) {
        self.parts.release(part.0);
        self.held_parts.remove(&part.0);
        if let Some(audit) = &mut self.audit {
            audit.release_part(part);
        }
    }

    fn release_replica(&mut self, replica: ReplicaId) {
        self.replicas.release(replica.0);
        self.held_replicas.remove(&replica.0);
        if let Some(audit) = &mut self.audit {
            audit.release_replica(replica);
        }
        self.wishes.push(Command::LetGo(replica));
    }
}
