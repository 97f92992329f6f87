//! Runs forwards from other sites as queries of the local exchange and sends the answers back part by part.
//! [`ReceivedForwards`] decides whether a forward is started, answered again or refused.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::Timestamp;
use pipitcrank_server::exchange::{DelegatedRequest, QueryPart, QueryRequest, QueryResponse};
use pipitcrank_server::runtime::event_loop::EventLoop;
use pipitcrank_server::serve::ServerContext;
use tokio::sync::watch;

use crate::frames::{Forward, ForwardOutcome, ForwardPart, LinkMessage};
use crate::message_sender::MessageSender;
use crate::received_forwards::{Admission, ForwardEnd, ReceivedForwards, StreamId};

/// A forward that is running as a query of the local exchange.
struct RunningForward {
    ticket: u64,
    retries_made: Rc<Cell<u32>>,
}

/// The newest connection of a stream.
struct Connection {
    generation: u64,
    sender: MessageSender,
}

/// Runs the forwards of other sites.
pub(crate) struct ForwardService {
    event_loop: Rc<EventLoop>,
    classes: Vec<String>,
    shards: u32,
    tickets: Arc<AtomicU64>,
    received: RefCell<ReceivedForwards>,
    /// Running forwards by id; each is removed when it ends.
    running: RefCell<BTreeMap<u64, RunningForward>>,
    connections: RefCell<BTreeMap<StreamId, Connection>>,
    last_generation: Cell<u64>,
    draining: watch::Receiver<bool>,
}

impl ForwardService {
    pub(crate) fn new(context: &ServerContext, own_site: &str) -> ForwardService {
        ForwardService {
            event_loop: context.event_loop.clone(),
            classes: context.classes.clone(),
            shards: context.shards,
            tickets: context.tickets.clone(),
            received: RefCell::new(ReceivedForwards::new(own_site, context.max_deadline)),
            running: RefCell::default(),
            connections: RefCell::default(),
            last_generation: Cell::default(),
            draining: context.draining.clone(),
        }
    }

    /// Registers a new connection of a stream and returns the connection's generation. Messages on older connections of
    /// the stream are ignored from then on, so that a forward reported as unknown can't arrive later.
    pub(crate) fn register_connection(&self, stream: &StreamId, sender: MessageSender) -> u64 {
        let generation = self.last_generation.get() + 1;
        self.last_generation.set(generation);
        self.connections.borrow_mut().insert(stream.clone(), Connection { generation, sender });
        generation
    }

    pub(crate) fn is_newest(&self, stream: &StreamId, generation: u64) -> bool {
        self.connections.borrow().get(stream).is_some_and(|newest| newest.generation == generation)
    }

    pub(crate) fn unregister_connection(&self, stream: &StreamId, generation: u64) {
        if self.is_newest(stream, generation) {
            self.connections.borrow_mut().remove(stream);
        }
    }

    /// Whether a forward of the stream is running.
    pub(crate) fn has_running(&self, stream: &StreamId) -> bool {
        let received = self.received.borrow();
        let is_of_stream = |id: &u64| received.key(*id).is_some_and(|key| key.stream == *stream);
        self.running.borrow().keys().any(is_of_stream)
    }

    pub(crate) fn handle_forward(
        self: &Rc<Self>,
        stream: &StreamId,
        forward: Forward,
        idempotency_key: Option<Arc<str>>,
        sender: &MessageSender,
    ) {
        let class = self.classes.iter().position(|name| *name == forward.class);
        let is_known = class.is_some() && forward.parts.iter().all(|part| part.shard < self.shards);
        let now = self.event_loop.clock.now();
        if *self.draining.borrow() && self.refuse_while_draining(now, stream, forward.number, sender) {
            return;
        }
        let admission = self.received.borrow_mut().admit(now, stream, &forward, is_known);
        match admission {
            Admission::Begin(id) => {
                self.event_loop.counters.add("forwarded", "begun");
                let class = RequestClassId(class.unwrap_or(0) as u16);
                self.start_forward(id, stream, class, forward, idempotency_key);
            }
            Admission::Repeat => {
                self.event_loop.counters.add("forwarded", "again");
                self.send_status(stream, forward.number, sender);
            }
            Admission::Refuse(outcome) => {
                let is_too_late = outcome == ForwardOutcome::TooLate;
                self.event_loop.counters.add("forwarded", if is_too_late { "late" } else { "refused" });
                sender.send(LinkMessage::End { number: forward.number, outcome, retries_made: 0 });
            }
        }
    }

    /// Refuses a new forward, so that the peer can send it elsewhere at once. Returns false without refusing if the
    /// forward is a repeat.
    fn refuse_while_draining(
        &self,
        now: Timestamp,
        stream: &StreamId,
        number: u64,
        sender: &MessageSender,
    ) -> bool {
        if self.received.borrow_mut().status_or_mark_unknown(now, stream, number).is_some() {
            return false;
        }
        self.event_loop.counters.add("forwarded", "leaving");
        sender.send(LinkMessage::End { number, outcome: ForwardOutcome::TooLate, retries_made: 0 });
        true
    }

    fn start_forward(
        self: &Rc<Self>,
        id: u64,
        stream: &StreamId,
        class: RequestClassId,
        forward: Forward,
        idempotency_key: Option<Arc<str>>,
    ) {
        let part_count = forward.parts.len();
        let request = QueryRequest {
            // Unique among all queries of this process; the id at the origin site stays readable in it.
            id: format!(
                "{}@{}.{:x}.{}.{}",
                forward.query_id, stream.site, stream.incarnation, stream.stream, forward.number
            ),
            class,
            deadline: self.event_loop.clock.now() + forward.time_left,
            parts: query_parts(&forward.parts),
            idempotency_key,
            text: forward.text.into(),
        };
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let retries_made = Rc::new(Cell::new(0));
        let running = RunningForward { ticket, retries_made: retries_made.clone() };
        self.running.borrow_mut().insert(id, running);
        let service = self.clone();
        let on_part_answer = Box::new(move |shard: u32, value: &str| service.part_answered(id, shard, value));
        let service = self.clone();
        let on_end = Box::new(move |response: QueryResponse| service.query_ended(id, response, part_count));
        let delegated = DelegatedRequest {
            retries: forward.delegated_retries,
            retries_used: retries_made,
            on_part: on_part_answer,
        };
        self.event_loop.update(|exchange| exchange.submit_forwarded(ticket, request, delegated, on_end));
    }

    fn part_answered(&self, id: u64, shard: u32, value: &str) {
        if self.received.borrow_mut().record_answer(id, shard, value) {
            let value = value.to_string();
            self.send_to_peer(id, |number| LinkMessage::PartAnswer { number, shard, value });
        }
    }

    fn query_ended(&self, id: u64, response: QueryResponse, part_count: usize) {
        let running = self.running.borrow_mut().remove(&id);
        let retries_made = running.map_or(0, |running| running.retries_made.get());
        let outcome = forward_outcome(&response, part_count);
        let counter = match outcome {
            ForwardOutcome::Complete => "done",
            ForwardOutcome::Rejected { .. } => "rejected",
            _ => "aborted",
        };
        self.event_loop.counters.add("forwarded", counter);
        if self.received.borrow_mut().record_end(id, ForwardEnd { outcome, retries_made }) {
            self.send_to_peer(id, |number| LinkMessage::End { number, outcome, retries_made });
        }
    }

    /// Sends a message on the newest connection of the forward's stream. Without a connection nothing is sent; the peer
    /// can request the status of the forward later.
    fn send_to_peer(&self, id: u64, message: impl FnOnce(u64) -> LinkMessage) {
        let Some(key) = self.received.borrow().key(id) else { return };
        if let Some(connection) = self.connections.borrow().get(&key.stream) {
            connection.sender.send(message(key.number));
        }
    }

    /// Cancels a forward whose answers the peer no longer needs.
    pub(crate) fn handle_cancel(&self, stream: &StreamId, number: u64, sender: &MessageSender) {
        let Some(id) = self.received.borrow_mut().cancel(stream, number) else { return };
        let running = self.running.borrow_mut().remove(&id);
        if let Some(RunningForward { ticket, retries_made }) = running {
            self.event_loop.counters.add("forwarded", "given_up");
            self.event_loop.update(|exchange| exchange.client_disconnected(ticket));
            let (outcome, retries_made) = (ForwardOutcome::Aborted, retries_made.get());
            self.received.borrow_mut().record_end(id, ForwardEnd { outcome, retries_made });
            sender.send(LinkMessage::End { number, outcome, retries_made });
        }
    }

    /// Sends the recorded answers and the end of a forward, or reports the forward as unknown.
    pub(crate) fn send_status(&self, stream: &StreamId, number: u64, sender: &MessageSender) {
        let now = self.event_loop.clock.now();
        let status = self.received.borrow_mut().status_or_mark_unknown(now, stream, number);
        let Some(status) = status else {
            sender.send(LinkMessage::End { number, outcome: ForwardOutcome::Unknown, retries_made: 0 });
            return;
        };
        for answer in status.answers {
            sender.send(LinkMessage::PartAnswer { number, shard: answer.shard, value: answer.value });
        }
        if let Some(ForwardEnd { outcome, retries_made }) = status.end {
            sender.send(LinkMessage::End { number, outcome, retries_made });
        }
    }
}

/// Converts the parts of a forward to the parts of a query; weights become fractions of the forward's total weight.
fn query_parts(parts: &[ForwardPart]) -> Vec<QueryPart> {
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    let equal_weight = 1.0 / parts.len() as f64;
    let query_part = |part: &ForwardPart| QueryPart {
        shard: part.shard,
        weight: if total > 0.0 { part.weight / total } else { equal_weight },
        work: part.estimated_work,
    };
    parts.iter().map(query_part).collect()
}

fn forward_outcome(response: &QueryResponse, part_count: usize) -> ForwardOutcome {
    match response {
        QueryResponse::Answered { hits, .. } if hits.len() == part_count => ForwardOutcome::Complete,
        // The missing parts of a partial answer may have run.
        QueryResponse::Answered { .. } | QueryResponse::Aborted => ForwardOutcome::Aborted,
        QueryResponse::Rejected { retry_after } => ForwardOutcome::Rejected { retry_after: *retry_after },
        QueryResponse::DuplicateId => ForwardOutcome::NotServed,
    }
}
