//! Queries that another process of this co-ordinator works on, while their clients' connections are here. Each is
//! answered once: by the other's word, at the client's time if that does not come, or when the other is gone.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::descriptor_passing::LinkSender;
use pipitcrank_handover::messages::{RelayedHit, RelayedPart, RelayedQuery, RelayedResponse, ToSuccessor};
use tokio::sync::oneshot;

use crate::exchange::{QueryPart, QueryRequest, QueryResponse};
use crate::runtime::event_loop::EventLoop;

/// How long before the client's time an answer has to be back: what the link and this thread may take. Guards against
/// a query lost because the other process hangs.
const BEFORE_TIME: TimeSpan = TimeSpan::from_millis(5);

struct Out {
    class: RequestClassId,
    answer: oneshot::Sender<QueryResponse>,
}

/// Cheap to clone; all clones are one.
#[derive(Clone)]
pub struct Relay {
    event_loop: Rc<EventLoop>,
    /// To the process that works on queries, while there is one.
    to: Rc<RefCell<Option<LinkSender>>>,
    /// By the front's ticket; each leaves with its answer, or its client.
    out: Rc<RefCell<BTreeMap<u64, Out>>>,
}

impl Relay {
    pub fn new(event_loop: Rc<EventLoop>) -> Relay {
        Relay { event_loop, to: Rc::default(), out: Rc::default() }
    }

    /// From now on queries go there.
    pub fn begin(&self, to: LinkSender) {
        *self.to.borrow_mut() = Some(to);
    }

    pub fn quiet(&self) -> bool {
        self.out.borrow().is_empty()
    }

    /// Hands a query on; gives it back where nobody takes any, or where this process holds one of its name.
    pub fn ask(
        &self,
        ticket: u64,
        asked: QueryRequest,
        answer: oneshot::Sender<QueryResponse>,
    ) -> Result<(), (QueryRequest, oneshot::Sender<QueryResponse>)> {
        let to = self.to.borrow();
        let Some(to) = to.as_ref().filter(|_| !self.event_loop.read(|e| e.has_query(&asked.id))) else {
            return Err((asked, answer));
        };
        let left = asked.deadline - self.event_loop.clock.now();
        self.out.borrow_mut().insert(ticket, Out { class: asked.class, answer });
        let relay = self.clone();
        let by = self.event_loop.clock.instant(asked.deadline - BEFORE_TIME);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(by).await;
            if relay.strand(ticket) {
                relay.event_loop.counters.add("upgrades", "not_answered_in_time");
            }
        });
        let key = asked.idempotency_key.clone();
        let words = to_words(ticket, left - BEFORE_TIME, asked);
        let ask = match key {
            None => ToSuccessor::Query(words),
            Some(key) => ToSuccessor::QueryWithKey { query: words, idempotency_key: key.to_string() },
        };
        to.send(&ask, None);
        Ok(())
    }

    /// The client has left. Whether its query was out there.
    pub fn gone(&self, ticket: u64) -> bool {
        let held = self.out.borrow_mut().remove(&ticket).is_some();
        if let Some(to) = self.to.borrow().as_ref().filter(|_| held) {
            to.send(&ToSuccessor::CancelQuery { ticket }, None);
        }
        held
    }

    pub fn answered(&self, ticket: u64, last: RelayedResponse) {
        if let Some(out) = self.out.borrow_mut().remove(&ticket) {
            let _ = out.answer.send(from_words(last));
        }
    }

    /// Answers a query of which the other process is not known to have done anything, nor not to have.
    fn strand(&self, ticket: u64) -> bool {
        let Some(out) = self.out.borrow_mut().remove(&ticket) else { return false };
        let last = self.event_loop.read(|e| e.response_if_lost(out.class));
        self.event_loop
            .counters
            .add("queries", if last == QueryResponse::Aborted { "aborted" } else { "rejected" });
        let _ = out.answer.send(last);
        true
    }

    /// The other process is gone: what it had is answered at once. How many that were.
    pub fn end(&self) -> usize {
        *self.to.borrow_mut() = None;
        let tickets: Vec<u64> = self.out.borrow().keys().copied().collect();
        tickets.into_iter().filter(|&t| self.strand(t)).count()
    }
}

fn to_words(ticket: u64, left: TimeSpan, asked: QueryRequest) -> RelayedQuery {
    let part = |p: &QueryPart| RelayedPart { shard: p.shard, weight: p.weight, work: p.work };
    let parts = asked.parts.iter().map(part).collect();
    let (id, class, text) = (asked.id, asked.class.0, asked.text.to_string());
    RelayedQuery { ticket, id, class, time_left: left, parts, text }
}

/// A query as handed on; none if its request class or a shard is not known here.
pub fn asked(
    event_loop: &EventLoop,
    classes: usize,
    shards: u32,
    ask: RelayedQuery,
    idempotency_key: Option<String>,
) -> Option<QueryRequest> {
    let RelayedQuery { id, class, time_left: left, parts, text, .. } = ask;
    let known = usize::from(class) < classes && !parts.is_empty() && parts.iter().all(|p| p.shard < shards);
    let part = |p: RelayedPart| QueryPart { shard: p.shard, weight: p.weight, work: p.work };
    known.then(|| QueryRequest {
        id,
        class: RequestClassId(class),
        deadline: event_loop.clock.now() + left,
        parts: parts.into_iter().map(part).collect(),
        idempotency_key: idempotency_key.map(Into::into),
        text: text.into(),
    })
}

pub fn to_final_words(last: QueryResponse) -> RelayedResponse {
    match last {
        QueryResponse::Answered { complete, hits } => {
            let hits = hits.into_iter().map(|(shard, value)| RelayedHit { shard, value }).collect();
            RelayedResponse::Answered { complete, hits }
        }
        QueryResponse::Rejected { retry_after } => RelayedResponse::Rejected { retry_after },
        QueryResponse::Aborted => RelayedResponse::Aborted,
        QueryResponse::DuplicateId => RelayedResponse::DuplicateId,
    }
}

fn from_words(last: RelayedResponse) -> QueryResponse {
    match last {
        RelayedResponse::Answered { complete, hits } => {
            let hits = hits.into_iter().map(|hit| (hit.shard, hit.value)).collect();
            QueryResponse::Answered { complete, hits }
        }
        RelayedResponse::Rejected { retry_after } => QueryResponse::Rejected { retry_after },
        RelayedResponse::Aborted => QueryResponse::Aborted,
        RelayedResponse::DuplicateId => QueryResponse::DuplicateId,
    }
}
