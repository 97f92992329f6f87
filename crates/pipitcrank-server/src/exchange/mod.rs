//! Where the client side and the replica side meet: queries come in with what to do with their answer, calls go out,
//! what becomes of them comes back. It holds the decision module and no socket; it is driven by hand in tests.
//!
//! Whatever happens is put into the inbox as it comes. `turn` hands all of it to the module, then what is due by
//! the clock, lets the module place what waits, and passes on what it wants done. Nothing is decided here.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::coordinator::zones::{ZoneId, ZoneObservation, ZoneRouting, ZoneTraffic};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{self, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::resource_split::{self, DelegatedRetries};
use pipitcrank_handover::snapshot::{ReplicaRecord, Snapshot};

use crate::audit::{self, AdmittedQuery, Audit, SentAttempt};
use crate::reasons::SendDenied;
use crate::replicas::connection_end::outcome_name;
use crate::replicas::frames::{CallPart, LoadReport};
use crate::runtime::counters::Counters;

mod request_table;

use request_table::{Command, HeldPart, HeldQuery, Out, ReplicaEntry, RequestTable};

/// A query as a client asked it.
pub struct QueryRequest {
    pub id: String,
    pub class: RequestClassId,
    pub ends: Timestamp,
    pub parts: Vec<QueryPart>,
    /// By which leaves know a repeat of a deduplicated request class's.
    pub idempotency_key: Option<Arc<str>>,
    pub text: Arc<str>,
}

pub struct QueryPart {
    pub shard: u32,
    pub weight: f64,
    /// The client's guess at the work, in seconds.
    pub work: Option<f64>,
}

/// The one final answer to a query.
#[derive(Debug, PartialEq)]
pub enum QueryResponse {
    Answered {
        whole: bool,
        hits: Vec<(u32, String)>,
    },
    Rejected {
        stay_away: TimeSpan,
    },
    Aborted,
    /// It repeats the id of one that is held.
    DuplicateId,
}

/// What a query leaves behind for its final answer.
pub type ResponseCallback = Box<dyn FnOnce(QueryResponse)>;

/// What a query of another site's leaves behind for each part's answer: shard and value. It may only note them down: it
/// is called within a turn.
pub type PartCallback = Box<dyn FnMut(u32, &str)>;

/// What comes with a query of another site's: further calls lent, how many were made, where answers go as they are in.
pub struct DelegatedRequest {
    pub further: u32,
    pub made: Rc<Cell<u32>>,
    pub as_in: PartCallback,
}

/// Parts of one query on their way to another site.
pub struct OutgoingForward {
    pub calls: Vec<(u32, AttemptId)>,
    pub id: String,
    pub class: RequestClassId,
    pub until: Timestamp,
    /// Shard, weight, work in seconds.
    pub parts: Vec<(u32, f64, Option<f64>)>,
    pub idempotency_key: Option<Arc<str>>,
    pub text: Arc<str>,
    pub repeatable: bool,
    /// Further calls lent with it, under that number.
    pub who: u64,
    pub further: u32,
}

/// One entry of discovery's list.
pub struct Endpoint {
    pub uid: String,
    pub address: Option<SocketAddr>,
    pub cell: u32,
    /// The zone it stands in, by name; none where discovery does not say: then what was said before stands.
    pub zone: Option<String>,
    pub up: bool,
    pub started: Option<Timestamp>,
}

/// One part's attempt, by its number among the part's calls.
pub type AttemptId = (PartId, u32);

/// Under this target each request's way is logged, by its id: taken, sent, not sent, ended, answered.
pub const REQUESTS: &str = "pipitcrank::requests";

/// What the exchange wants done on the replica side.
pub trait ReplicaTransport {
    /// The replica is reached at that address from now on.
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr);
    /// The replica will not be named again.
    fn remove_replica(&mut self, replica: ReplicaId);
    /// One call that carries these parts. They go through `Exchange::release` before the first byte is written.
    fn send_attempts(&mut self, replica: ReplicaId, parts: Vec<AttemptId>);
    /// Nobody waits for the part any more.
    fn cancel_attempt(&mut self, replica: ReplicaId, call: AttemptId);
    fn send_load_probe(&mut self, replica: ReplicaId);
}

enum Event {
    QueryRequest(u64, QueryRequest, ResponseCallback, Option<DelegatedRequest>),
    Gone(u64),
    Ended(ReplicaId, AttemptId, AttemptOutcome, Option<String>, Option<LoadReport>),
    Probed(ReplicaId, AttemptOutcome, Option<LoadReport>),
    List(Timestamp, bool, Vec<Endpoint>),
    LookInto(ZoneId, usize),
    EndBy(Timestamp),
}

/// A zone's place among those that there are.
fn place(zones: &[String], name: &Option<String>) -> Option<ZoneId> {
    let place = zones.iter().position(|known| Some(known) == name.as_ref())?;
    Some(ZoneId(place as u16))
}

/// Parts that went, by index and id, how many further calls with them, and until when.
type ForwardedDelegation = (Vec<(PartId, Rc<str>)>, u32, Timestamp);

pub struct Exchange {
    coordinator: Coordinator,
    table: RequestTable,
    /// Emptied at each turn.
    inbox: Vec<Event>,
    /// Tickets of clients that have left and were not looked at yet; emptied with the inbox.
    gone: BTreeSet<u64>,
    most_open: usize,
    /// Queries and parts open at another process of this co-ordinator.
    open_elsewhere: usize,
    call_size: usize,
    /// Names of zones, by place; none where zones do not count.
    zones: Vec<String>,
    /// The zone that stands for each site's region, by name.
    site_zones: BTreeMap<String, String>,
    /// Further calls lent with parts that went to another site; each leaves when they come back or their time is over.
    lent: BTreeMap<u64, ForwardedDelegation>,
    next_lent: u64,
}

impl Exchange {
    pub fn new(coordinator: Coordinator, most_open: usize, call_size: usize, counters: Counters) -> Exchange {
        let table = RequestTable { counters, ..RequestTable::default() };
        let call_size = call_size.max(1);
        Exchange {
            coordinator,
            table,
            inbox: Vec::new(),
            gone: BTreeSet::new(),
            most_open,
            open_elsewhere: 0,
            call_size,
            zones: Vec::new(),
            site_zones: BTreeMap::new(),
            lent: BTreeMap::new(),
            next_lent: 0,
        }
    }

    /// Has the rules checked as it goes.
    pub fn enable_audit(&mut self, terms: audit::AuditRules) {
        self.table.audit = Some(Audit::new(terms, self.table.counters.clone()));
    }

    // What happens outside.

    /// What time it is, for all that is told next.
    pub fn set_now(&mut self, now: Timestamp) {
        self.table.now = now;
    }

    /// A query came in; the ticket, which is never used again, stands for it until its final answer.
    pub fn submit(&mut self, ticket: u64, asked: QueryRequest, then: ResponseCallback) {
        self.inbox.push(Event::QueryRequest(ticket, asked, then, None));
    }

    /// The same of a query that another site forwards.
    pub fn submit_forwarded(
        &mut self,
        ticket: u64,
        asked: QueryRequest,
        lent: DelegatedRequest,
        then: ResponseCallback,
    ) {
        self.inbox.push(Event::QueryRequest(ticket, asked, then, Some(lent)));
    }

    pub fn client_disconnected(&mut self, ticket: u64) {
        if let Some(audit) = &mut self.table.audit {
            audit.closed(self.table.now, ticket);
        }
        self.gone.insert(ticket);
        self.inbox.push(Event::Gone(ticket));
    }

    /// A attempt ended; only its first end counts.
    pub fn attempt_ended(
        &mut self,
        call: AttemptId,
        outcome: AttemptOutcome,
        value: Option<String>,
        report: Option<LoadReport>,
    ) {
        if let Some(replica) = self.table.close(call, outcome) {
            self.inbox.push(Event::Ended(replica, call, outcome, value, report));
        }
    }

    /// All that is held is to be answered by then: this process ends.
    pub fn cap_deadlines(&mut self, by: Timestamp) {
        self.inbox.push(Event::EndBy(by));
    }

    pub fn load_probe_ended(
        &mut self,
        replica: ReplicaId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.inbox.push(Event::Probed(replica, outcome, report));
    }

    /// News of the list of replicas; a whole list names all there are.
    pub fn update_endpoints(&mut self, now: Timestamp, whole: bool, rows: Vec<Endpoint>) {
        self.table.counters.add("discovery", if whole { "whole_list" } else { "changes" });
        self.inbox.push(Event::List(now, whole, rows));
    }

    // What the outside asks.

    /// Whether a query taken now could be served: some replica is listed as up.
    pub fn can_serve(&self) -> bool {
        self.table.held_replicas.values().any(|l| l.off.is_none() && l.site.is_none())
    }

    /// Whether that whole list says nothing new; true as well while news of the list wait to be taken.
    pub fn matches_endpoints(&self, rows: &[Endpoint]) -> bool {
        let news = self.inbox.iter().any(|h| matches!(h, Event::List(..)));
        let up = self.table.held_replicas.values().filter(|l| l.off.is_none() && l.site.is_none()).count();
        let same = |row: &Endpoint| {
            let held =
                self.table.replicas.find(&row.uid).and_then(|index| self.table.held_replicas.get(&index));
            let same = |held: &ReplicaEntry| {
                (held.address, held.cell, held.started) == (row.address, row.cell, row.started)
                    && held.off.is_none() == row.up
            };
            // One that is not up need not be held any more.
            held.map_or(!row.up, same)
        };
        news || rows.iter().filter(|r| r.up).count() == up && rows.iter().all(same)
    }

    /// Whether nothing is held that a client waits for.
    pub fn is_drained(&self) -> bool {
        self.inbox.is_empty() && self.table.held_queries.is_empty()
    }

    pub fn has_no_events(&self) -> bool {
        self.inbox.is_empty()
    }

    /// Whether a query of that id is held.
    pub fn has_query(&self, id: &str) -> bool {
        let waits = |h: &Event| matches!(h, Event::QueryRequest(_, asked, ..) if asked.id == id);
        self.table.queries.find(id).is_some() || self.inbox.iter().any(waits)
    }

    /// Queries and parts open here.
    pub fn open_count(&self) -> usize {
        self.table.open_count()
    }

    pub fn is_in_flight(&self, call: AttemptId) -> bool {
        self.table.out.contains_key(&call)
    }

    /// When the next turn is due if nothing happens before.
    pub fn next_due(&self) -> Option<Timestamp> {
        let until = self.table.untils.first().map(|u| u.0);
        self.table.alarms.first().map(|a| a.0).into_iter().chain(until).min()
    }

    /// Told to drain a replica gets nothing more, also within the grace. Guards against a word read late by a process that waits
    /// for the processor: the grace counts from when it could be read.
    pub fn is_draining(&self, replica: ReplicaId) -> bool {
        self.table.held_replicas.get(&replica.0).is_some_and(|l| l.off.is_some())
    }

    /// The last look just before a call's first byte is written: what of it may still go, and how. Whatever is sent passes here.
    /// Guards against frames held up on the way to the socket while their query ended, their time ran out, or their replica
    /// drained: those count as never run.
    pub fn authorize_send(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        parts: &mut Vec<AttemptId>,
    ) -> Vec<CallPart> {
        let mut going = Vec::new();
        parts.retain(|&call| {
            // Guards against a call given up while it was queued, whose number another part's call has by now: that
            // is its own replica's, and goes out once.
            let Some(Out { until, released, .. }) =
                self.table.out.get_mut(&call).filter(|out| out.replica == replica && !out.released)
            else {
                return false;
            };
            *released = true;
            let until = *until;
            match self.may_send(now, replica, call, until) {
                Ok(part) => {
                    self.note_sent(now, replica, call, part.wait);
                    going.push(part);
                    true
                }
                Err(why) => {
                    self.note_not_sent(call, why);
                    self.attempt_ended(call, AttemptOutcome::NeverSent, None, None);
                    false
                }
            }
        });
        going
    }

    /// The guard of all sending: rules on ended queries, closed clients, drained replicas, time, repeats and the budget.
    fn may_send(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        call: AttemptId,
        until: Timestamp,
    ) -> Result<CallPart, SendDenied> {
        let part = &self.table.held_parts[&call.0.0];
        let query = part.query.and_then(|q| self.table.held_queries.get(&q)).ok_or(SendDenied::QueryEnded)?;
        if self.gone.contains(&query.ticket) {
            return Err(SendDenied::ClientClosed);
        }
        if self.is_draining(replica) || !self.table.held_replicas.contains_key(&replica.0) {
            return Err(SendDenied::ReplicaDrained);
        }
        if now >= until {
            return Err(SendDenied::TimeOver);
        }
        // Last: it counts the call as gone out.
        self.coordinator.begin_attempt(now, ids::AttemptId { part: call.0, number: call.1 })?;
        Ok(CallPart {
            id: part.id.clone(),
            shard: part.shard,
            wait: until - now,
            idempotency_key: query.idempotency_key.clone(),
            text: part.text.clone(),
        })
    }

    fn note_sent(&mut self, now: Timestamp, replica: ReplicaId, call: AttemptId, told: TimeSpan) {
        let part = &self.table.held_parts[&call.0.0];
        tracing::debug!(target: REQUESTS, part = &*part.id, attempt = call.1, replica = replica.0, told_s = told.as_secs_f64(), "sent");
        if let Some(audit) = &mut self.table.audit {
            audit.sent(now, SentAttempt { part: call.0, attempt: call.1, replica, told });
        }
    }

    fn note_not_sent(&self, call: AttemptId, why: SendDenied) {
        self.table.counters.add("not_sent", why.name());
        let part = &self.table.held_parts[&call.0.0];
        tracing::debug!(target: REQUESTS, part = &*part.id, attempt = call.1, why = why.name(), "not sent");
    }

    /// A call queued for that replica was never begun, and won't be. Guards against ending another part's call that has its
    /// number by now and may be out: it would go out a second time.
    pub fn attempt_never_started(&mut self, replica: ReplicaId, call: AttemptId) {
        if self.table.out.get(&call).is_some_and(|out| out.replica == replica && !out.released) {
            self.attempt_ended(call, AttemptOutcome::Unreachable, None, None);
        }
    }

    /// Nothing of these has been written after all.
    pub fn return_unwritten(&mut self, parts: &[AttemptId]) {
        for call in parts {
            self.table.out.get_mut(call).into_iter().for_each(|out| out.released = false);
            if let Some(audit) = &mut self.table.audit {
                audit.taken_back(call.0, call.1);
            }
        }
    }

    // Other sites.

    /// Another site's replicas, one for each cell; nothing goes there before a hop is known.
    pub fn add_remote_site(&mut self, site: u16, name: &str, cells: u32) -> Vec<ReplicaId> {
        self.coordinator.begin_endpoint_list(false);
        let mut replicas = Vec::new();
        for cell in 0..cells {
            // No name of discovery's has a blank.
            let replica = ReplicaId(self.table.replicas.intern(&format!("site {name} {cell}")));
            let zone = self.site_zones.get(name).cloned();
            let place = place(&self.zones, &zone);
            let held = ReplicaEntry { address: None, cell, zone, started: None, site: Some(site), off: None };
            self.table.held_replicas.insert(replica.0, held);
            self.coordinator.list_replica(replica, cell, true, None);
            self.coordinator.set_remote_delay(replica, None);
            self.coordinator.set_replica_zone(replica, place);
            replicas.push(replica);
        }
        self.coordinator.finish_endpoint_list(&mut self.table);
        replicas
    }

    /// What the way to the site costs from now on; none closes it.
    pub fn set_remote_delay(&mut self, site: u16, hop: Option<TimeSpan>) {
        for (&replica, _) in self.table.held_replicas.iter().filter(|(_, l)| l.site == Some(site)) {
            self.coordinator.set_remote_delay(ReplicaId(replica), hop);
        }
    }

    /// The last look before a forward's first byte, as `release` is for a replica's: what of it may still go, by query.
    pub fn authorize_forward(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        parts: &mut Vec<AttemptId>,
    ) -> Vec<OutgoingForward> {
        self.authorize_send(now, replica, parts);
        self.lent.retain(|_, (.., until)| *until > now);
        let mut by_query: BTreeMap<u32, Vec<AttemptId>> = BTreeMap::new();
        for &call in parts.iter() {
            // What was released has its query.
            let query = self.table.held_parts[&call.0.0].query;
            by_query.entry(query.expect("released parts have a query")).or_default().push(call);
        }
        let mut all = Vec::new();
        for (query, calls) in by_query {
            let held = &self.table.held_queries[&query];
            let until = calls.iter().map(|c| self.table.out[c].until).min().unwrap_or(now);
            self.next_lent += 1;
            let ours: Vec<PartId> = calls.iter().map(|c| c.0).collect();
            let further = self.coordinator.delegate_retries(now, self.next_lent, &ours, until);
            let named = calls.iter().map(|c| (c.0, self.table.held_parts[&c.0.0].id.clone()));
            self.lent.insert(self.next_lent, (named.collect(), further, until));
            let part = |c: &AttemptId| &self.table.held_parts[&c.0.0];
            all.push(OutgoingForward {
                id: self.table.queries.name(query).to_string(),
                class: held.class,
                until,
                parts: calls.iter().map(|c| (part(c).shard, part(c).weight, part(c).work)).collect(),
                idempotency_key: held.idempotency_key.clone(),
                text: calls.first().map_or_else(|| "".into(), |c| part(c).text.clone()),
                repeatable: self.coordinator.may_retry(held.class),
                who: self.next_lent,
                further,
                calls: calls.iter().map(|c| (part(c).shard, *c)).collect(),
            });
        }
        all
    }

    /// Of the further calls lent with parts so many were made.
    pub fn delegation_returned(&mut self, now: Timestamp, who: u64, made: u32) {
        if let Some((parts, lent, until)) = self.lent.remove(&who)
            && now < until
        {
            // Guards against a part that is over, whose index another has by now.
            let held = |(part, id): &(PartId, Rc<str>)| {
                self.table.held_parts.get(&part.0).is_some_and(|h| Rc::ptr_eq(&h.id, id))
            };
            let parts: Vec<PartId> = parts.into_iter().filter(held).map(|(part, _)| part).collect();
            self.coordinator.delegation_returned(now, who, &parts, lent, made);
        }
    }

    // Zones.

    /// The zones that there are, by place. Leaves that stand elsewhere have none.
    pub fn set_zone_names(&mut self, names: Vec<String>) {
        self.zones = names;
        for (&replica, held) in &self.table.held_replicas {
            let place = place(&self.zones, &held.zone);
            self.coordinator.set_replica_zone(ReplicaId(replica), place);
        }
    }

    /// Which zone stands for a site's region: what is decided of it narrows the ways there. Before the sites are added.
    pub fn set_site_zones(&mut self, zones: BTreeMap<String, String>) {
        self.site_zones = zones;
    }

    /// From now on queries are meant for zones by these shares.
    pub fn set_zone_routing(&mut self, shares: ZoneRouting) {
        self.coordinator.set_zone_routing(shares);
    }

    /// What is seen of each zone's replicas from here, in the zones' order, and what was counted since the start.
    pub fn observe_zones(&self, now: Timestamp) -> (Vec<ZoneObservation>, ZoneTraffic) {
        let seen =
            (0..self.zones.len()).map(|n| self.coordinator.observe_zone(now, ZoneId(n as u16))).collect();
        (seen, self.coordinator.zone_traffic().clone())
    }

    /// Probes some replicas of a zone that nothing is sent to.
    pub fn probe_zone(&mut self, zone: ZoneId, most: usize) {
        self.inbox.push(Event::LookInto(zone, most));
    }

    // Turns.

    pub fn run_batch(&mut self, now: Timestamp, transport: &mut dyn ReplicaTransport) {
        self.set_now(now);
        let mut inbox = std::mem::take(&mut self.inbox).into_iter().peekable();
        while let Some(mut happened) = inbox.next() {
            // Guards against a look at all replicas for each of hundreds that change in one moment. Told one by one they
            // count from the first.
            if let Event::List(_, false, rows) = &mut happened {
                let change = |h: &Event| matches!(h, Event::List(_, false, _));
                while let Some(Event::List(.., more)) = inbox.next_if(change) {
                    rows.extend(more);
                }
            }
            self.hand_in(now, happened);
        }
        while let Some((_, label)) = self.table.alarms.first().copied().filter(|a| a.0 <= now) {
            self.table.alarms.pop_first();
            self.coordinator.timer_fired(&mut self.table, now, label);
        }
        while let Some((_, call)) = self.table.untils.first().copied().filter(|u| u.0 <= now) {
            if let Some(replica) = self.table.close(call, AttemptOutcome::TimedOut) {
                self.table.wishes.push(Command::GiveUp(replica, call));
                self.end_call(now, call, AttemptOutcome::TimedOut, None);
            }
        }
        self.coordinator.dispatch(&mut self.table, now);
        self.carry_out(transport);
    }

    fn hand_in(&mut self, now: Timestamp, happened: Event) {
        match happened {
            Event::QueryRequest(ticket, asked, then, lent) => self.take(now, ticket, asked, then, lent),
            Event::Gone(ticket) => {
                self.gone.remove(&ticket);
                if let Some(&query) = self.table.tickets.get(&ticket) {
                    self.table.counters.add("queries", "client_gone");
                    tracing::debug!(target: REQUESTS, request = self.table.queries.name(query), "client gone");
                    self.coordinator.cancel_query(&mut self.table, now, QueryId(query));
                }
            }
            Event::Ended(replica, call, outcome, value, report) => {
                self.report(now, replica, report);
                self.end_call(now, call, outcome, value);
            }
            Event::Probed(replica, outcome, report) => {
                self.table.counters.add("probes", outcome_name(outcome));
                self.report(now, replica, report);
                self.coordinator.load_probe_ended(now, replica, outcome);
            }
            Event::List(at, whole, rows) => self.take_list(at, whole, rows),
            Event::LookInto(zone, most) => self.coordinator.probe_zone(&mut self.table, now, zone, most),
            Event::EndBy(by) => self.coordinator.cap_deadlines(by),
        }
    }

    fn take(
        &mut self,
        now: Timestamp,
        ticket: u64,
        asked: QueryRequest,
        then: ResponseCallback,
        lent: Option<DelegatedRequest>,
    ) {
        let QueryRequest { id, class, ends, parts, idempotency_key, text } = asked;
        let ids: Vec<Rc<str>> = parts.iter().map(|p| format!("{id}.{}", p.shard).into()).collect();
        let table = &mut self.table;
        if table.queries.find(&id).is_some() || ids.iter().any(|p| table.parts.find(p).is_some()) {
            table.counters.add("queries", "repeated");
            return then(QueryResponse::DuplicateId);
        }
        // With the number told open, further queries never reach the module. Guards against turning away a query
        // while there is room: a part that is in is not open any more, and the last query taken may pass the number.
        if table.open_count() + self.open_elsewhere >= self.most_open {
            table.counters.add("queries", "turned_away_over_most_open");
            return then(QueryResponse::Rejected { stay_away: TimeSpan::ZERO });
        }
        table.counters.add("queries", "taken");
        let further = lent.as_ref().map(|l| l.further);
        let query = QueryId(table.queries.intern(&id));
        let indices: Vec<u32> = ids.iter().map(|p| table.parts.intern(p)).collect();
        table.tickets.insert(ticket, query.0);
        tracing::debug!(target: REQUESTS, request = id, parts = parts.len(), left_s = (ends - now).as_secs_f64(), "taken");
        if let Some(audit) = &mut table.audit {
            let parts: Vec<PartId> = indices.iter().map(|&p| PartId(p)).collect();
            let lent = lent.is_some();
            audit
                .taken(now, AdmittedQuery { ticket, id: &id, class, client_ends: ends, lent, parts: &parts });
        }
        let (then, held_parts) = (Some(then), indices.clone());
        let held = HeldQuery { ticket, then, parts: held_parts, class, idempotency_key, lent };
        table.held_queries.insert(query.0, held);
        let works: Option<Vec<f64>> = parts.iter().map(|p| p.work).collect();
        let work = works.map(|w| w.iter().sum());
        for ((&index, id), part) in indices.iter().zip(ids).zip(&parts) {
            let held = HeldPart {
                id,
                query: Some(query.0),
                shard: part.shard,
                weight: part.weight,
                work: part.work,
                text: text.clone(),
                value: None,
                calls: 0,
                last_outcome: None,
            };
            table.held_parts.insert(index, held);
        }
        let new_query = NewQuery {
            id: query,
            class,
            time_left: ends - now,
            work_hint: work,
            part_count: parts.len() as f64,
        };
        self.coordinator.start_query(&mut self.table, now, new_query);
        if let Some(further) = further {
            self.coordinator.mark_forwarded(query, further);
        }
        for (index, part) in indices.into_iter().zip(parts) {
            let new_part = NewPart {
                id: PartId(index),
                query,
                shard: part.shard,
                weight: part.weight,
                work_hint: part.work,
            };
            self.coordinator.add_part(&mut self.table, now, new_part);
        }
    }

    fn end_call(&mut self, now: Timestamp, call: AttemptId, outcome: AttemptOutcome, value: Option<String>) {
        self.table.counters.add("leaf_calls", outcome_name(outcome));
        let Some(part) = self.table.held_parts.get_mut(&call.0.0) else { return };
        tracing::debug!(target: REQUESTS, part = &*part.id, attempt = call.1, outcome = outcome_name(outcome), "ended");
        part.last_outcome = Some(outcome);
        if outcome == AttemptOutcome::Success && part.value.is_none() {
            let held = part.query.and_then(|q| self.table.held_queries.get_mut(&q));
            let lent = held.and_then(|q| q.lent.as_mut());
            if let (Some(lent), Some(value)) = (lent, &value) {
                (lent.as_in)(part.shard, value);
            }
            part.value = value;
        }
        let attempt = ids::AttemptId { part: call.0, number: call.1 };
        self.coordinator.attempt_ended(&mut self.table, now, attempt, outcome);
    }

    fn report(&mut self, now: Timestamp, replica: ReplicaId, report: Option<LoadReport>) {
        if let Some(LoadReport { waiting, in_hand }) = report {
            self.coordinator.load_report(now, replica, waiting, in_hand);
        }
    }

    // Two processes as one co-ordinator.

    /// What another process needs to go on from here, taken at `now`; from then on this one only finishes what it
    /// holds, for `longest` at most.
    pub fn begin_handover(
        &mut self,
        now: Timestamp,
        taken_us: i64,
        rev: Option<u64>,
        longest: TimeSpan,
    ) -> Snapshot {
        self.take_lists();
        let mut known = self.coordinator.learned_state(now);
        let budget = self.coordinator.retry_budget_config();
        let delegated_retries = resource_split::split_retry_budget(budget, longest, &mut known);
        let until = now + delegated_retries.valid_for;
        self.coordinator.limit_to_delegated_retries(delegated_retries.count, until);
        Snapshot {
            taken_us,
            revision: rev,
            replicas: self.seen_replicas(now),
            learned: known,
            delegated_retries,
        }
    }

    /// What a process that comes after this one may recall, if this one ends without a word. Nothing is given away.
    pub fn snapshot(&mut self, now: Timestamp, taken_us: i64, rev: Option<u64>) -> Snapshot {
        self.take_lists();
        let known = self.coordinator.learned_state(now);
        Snapshot {
            taken_us,
            revision: rev,
            replicas: self.seen_replicas(now),
            learned: known,
            delegated_retries: DelegatedRetries::default(),
        }
    }

    fn seen_replicas(&self, now: Timestamp) -> Vec<ReplicaRecord> {
        let near = self.table.held_replicas.iter().filter(|(_, l)| l.site.is_none());
        near.map(|(&index, held)| ReplicaRecord {
            index,
            uid: self.table.replicas.name(index).to_string(),
            address: held.address,
            cell: held.cell,
            zone: held.zone.clone(),
            started: held.started.map(|t| now - t),
            draining_for: held.off.map(|t| now - t),
        })
        .collect()
    }

    /// Goes on from what another process knew `passed` ago.
    pub fn resume_from_predecessor(&mut self, now: Timestamp, passed: TimeSpan, snapshot: Snapshot) {
        let DelegatedRetries { count: further, valid_for: within } = snapshot.delegated_retries;
        self.take_over(now, passed, true, snapshot);
        self.coordinator.delegate_to_predecessor(further, now - passed + within);
    }

    /// Goes on from what a process before this one knew `passed` ago, which is there no more. Its list counts where
    /// that is later than the one told at start. What it did last is not known: it is held to have used all it might.
    pub fn restore(&mut self, now: Timestamp, passed: TimeSpan, its_list: bool, snapshot: Snapshot) {
        self.take_lists();
        self.take_over(now, passed, its_list, snapshot);
        self.coordinator.resume_alone(now);
    }

    fn take_over(&mut self, now: Timestamp, passed: TimeSpan, its_list: bool, snapshot: Snapshot) {
        let at = |age: TimeSpan| now - age - passed;
        let mut indices = BTreeMap::new();
        let mut rows = Vec::new();
        let mut offs = Vec::new();
        for ReplicaRecord { index, uid, address, cell, zone, started, draining_for: off } in snapshot.replicas
        {
            // What is not listed any more gets no index: nobody would let it go.
            let ours = if its_list {
                Some(self.table.replicas.intern(&uid))
            } else {
                self.table.replicas.find(&uid)
            };
            let Some(ours) = ours else { continue };
            indices.insert(index, ours);
            offs.extend(off.map(|off| (ours, at(off))));
            rows.push(Endpoint { uid, address, cell, zone, up: off.is_none(), started: started.map(at) });
        }
        if its_list {
            self.take_list(now, true, rows);
            for (replica, off) in offs {
                if let Some(held) = self.table.held_replicas.get_mut(&replica) {
                    held.off = Some(off);
                }
            }
        }
        let mut known = snapshot.learned;
        let replicas = std::mem::take(&mut known.replicas);
        known.replicas = replicas.into_iter().filter_map(|(i, l)| Some((*indices.get(&i)?, l))).collect();
        self.coordinator.restore_learned_state(now, passed, known);
    }

    /// The other process has ended, and made so many further calls of those lent.
    pub fn settle_with_predecessor(&mut self, now: Timestamp, further: u32) {
        self.coordinator.settle_with_predecessor(now, further);
        self.open_elsewhere = 0;
    }

    /// Further calls made of those kept when handing over.
    pub fn delegated_retries_used(&self, kept: u32) -> u32 {
        kept.saturating_sub(self.coordinator.delegated_retries_left())
    }

    /// The other process is gone, and what it did is not known.
    pub fn resume_alone(&mut self, now: Timestamp) {
        self.coordinator.resume_alone(now);
        self.open_elsewhere = 0;
    }

    pub fn set_open_in_peer(&mut self, open: usize) {
        self.open_elsewhere = open;
    }

    /// How a query ends that the other process had when it died.
    pub fn response_if_lost(&self, class: RequestClassId) -> QueryResponse {
        match self.coordinator.retry_after_if_lost(class) {
            Some(stay_away) => QueryResponse::Rejected { stay_away },
            None => QueryResponse::Aborted,
        }
    }

    /// News of the list that have come and were not looked at yet.
    fn take_lists(&mut self) {
        let (lists, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.inbox).into_iter().partition(|h| matches!(h, Event::List(..)));
        self.inbox = rest;
        for list in lists {
            if let Event::List(at, whole, rows) = list {
                self.take_list(at, whole, rows);
            }
        }
    }

    fn take_list(&mut self, at: Timestamp, whole: bool, rows: Vec<Endpoint>) {
        self.coordinator.begin_endpoint_list(whole);
        if whole {
            let near = self.table.held_replicas.values_mut().filter(|l| l.site.is_none());
            near.for_each(|l| l.off = l.off.or(Some(at)));
            self.table.audit_lists();
            // Other sites are not discovery's to name.
            for (&replica, held) in self.table.held_replicas.iter().filter(|(_, l)| l.site.is_some()) {
                self.coordinator.list_replica(ReplicaId(replica), held.cell, true, None);
            }
        }
        for Endpoint { uid, address, cell, zone, up, started } in rows {
            let replica = ReplicaId(self.table.replicas.intern(&uid));
            let fresh = ReplicaEntry { address: None, cell, zone: None, started, site: None, off: Some(at) };
            let held = self.table.held_replicas.entry(replica.0).or_insert(fresh);
            (held.cell, held.started) = (cell, started);
            held.zone = zone.or(held.zone.take());
            let place = place(&self.zones, &held.zone);
            if place.is_none() && held.zone.is_some() && !self.zones.is_empty() {
                self.table.counters.add("discovery", "unknown_zone");
            }
            held.off = if up { None } else { held.off.or(Some(at)) };
            if let Some(audit) = &mut self.table.audit {
                audit.listed(replica, held.off);
            }
            if let Some(address) = address.filter(|a| held.address != Some(*a)) {
                held.address = Some(address);
                self.table.wishes.push(Command::Meet(replica, address));
            }
            self.coordinator.list_replica(replica, cell, up, started);
            self.coordinator.set_replica_zone(replica, place);
        }
        self.coordinator.finish_endpoint_list(&mut self.table);
    }

    /// Passes on what the module asked for: the parts for one replica travel together, up to the call size told.
    fn carry_out(&mut self, transport: &mut dyn ReplicaTransport) {
        let wishes = std::mem::take(&mut self.table.wishes);
        // In the order of their first part.
        let mut bundles: Vec<(ReplicaId, Vec<AttemptId>)> = Vec::new();
        let mut places: BTreeMap<ReplicaId, usize> = BTreeMap::new();
        for wish in wishes {
            match wish {
                Command::Call(replica, call) => {
                    let place = *places.entry(replica).or_insert(bundles.len());
                    match bundles.get_mut(place) {
                        Some((_, bundle)) => bundle.push(call),
                        None => bundles.push((replica, vec![call])),
                    }
                }
                Command::GiveUp(replica, call) => {
                    transport.cancel_attempt(replica, call);
                    self.attempt_ended(call, AttemptOutcome::Cancelled, None, None);
                }
                Command::Probe(replica) => transport.send_load_probe(replica),
                Command::Meet(replica, address) => transport.set_address(replica, address),
                Command::LetGo(replica) => transport.remove_replica(replica),
            }
        }
        for (replica, bundle) in bundles {
            for parts in bundle.chunks(self.call_size) {
                transport.send_attempts(replica, parts.to_vec());
            }
        }
    }
}
