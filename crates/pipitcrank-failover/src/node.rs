//! One node of the failover system, without sockets and clock. The caller passes in datagrams, times and the
//! node's observations, and takes out datagrams to send, the routing of queries, and events to log. The
//! program, the emulator and the tests drive the same code.
//!
//! | file | contents |
//! | --- | --- |
//! | `message.rs` | messages between nodes, and between nodes and operators |
//! | `broadcast.rs` | decisions and heartbeats sent by gossip |
//! | `config.rs` | configuration, restart state and traffic counts of a node |
//! | `event.rs` | events to be logged and counted |
//! | `reporter.rs` | evidence reports |
//! | `durable_voter.rs` | the voter, with outputs held back until its state is persisted |
//! | `leadership.rs` | duties of the leader |
//! | `outbox.rs` | sealed datagrams that wait to be sent |
//! | `order_queue.rs` | operators' orders |
//! | `decision_queries.rs` | queries for the current decision |
//! | `operator_client.rs` | client side of operators' commands |

mod broadcast;
mod config;
mod decision_queries;
mod durable_voter;
mod event;
mod leadership;
mod message;
mod operator_client;
mod order_queue;
mod outbox;
mod reporter;

use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::envelope::{DatagramKind, OpenedDatagram, Opener, OutgoingDatagram, Sealer};
use pipitcrank_membership::evidence::{EvidenceTable, ReplicaCounts};
use pipitcrank_membership::members::{Departure, Members, OutgoingGossip, TopicMessage};
use pipitcrank_membership::peer::Peer;

use self::broadcast::{Broadcast, broadcast_decision, broadcast_heartbeat};
pub use self::config::{FailoverNodeConfig, RestartState, SentTraffic};
use self::decision_queries::DecisionQueries;
use self::durable_voter::DurableVoter;
pub use self::event::NodeEvent;
use self::leadership::{Leadership, NextProposal, RejectedOrder};
use self::message::{Message, RequestError};
pub use self::message::{OperatorAnswer, StatusReport, ZoneEvidence};
pub use self::operator_client::{OperatorClient, ReceivedAnswer};
use self::order_queue::{OrderQueue, PendingOrder};
use self::outbox::Outbox;
use self::reporter::EvidenceReporter;
use crate::constants::LONGER_THAN_ANY_INTERVAL;
use crate::decision::{Decision, OperatorOrder};
use crate::follower::{DecisionFollower, DecisionStatus, LeaderHeartbeat, RoutingPlan};
use crate::voter::{AddressedOutput, PersistentVoterState, VoterOutput};

/// State of one node.
pub struct FailoverNode {
    own: Peer,
    /// Addresses of the voters, by slot.
    voter_addresses: Vec<SocketAddr>,
    outbox: Outbox,
    opener: Opener,
    members: Members,
    /// The voter, if this node is one.
    voter: Option<DurableVoter>,
    evidence: EvidenceTable,
    follower: DecisionFollower,
    reporter: EvidenceReporter,
    leadership: Leadership,
    queries: DecisionQueries,
    orders: OrderQueue,
    decision_status: DecisionStatus,
    events: Vec<NodeEvent>,
}

impl FailoverNode {
    /// Creates a node without any state of an earlier process.
    pub fn new(now: Timestamp, config: FailoverNodeConfig) -> FailoverNode {
        let (voter, seeds) = (DurableVoter::from_config(now, &config), config.seeds());
        let FailoverNodeConfig { own, key, voters, zone_count, controller, follower, .. } = config;
        let distant_past = now - LONGER_THAN_ANY_INTERVAL;
        FailoverNode {
            outbox: Outbox::new(Sealer::new(key, own.address, own.instance)),
            opener: Opener::new(key, own.address),
            members: Members::new(own.clone(), &seeds, own.instance),
            voter,
            evidence: EvidenceTable::new(zone_count),
            follower,
            reporter: EvidenceReporter::new(distant_past, zone_count),
            leadership: Leadership::new(distant_past, controller),
            queries: DecisionQueries::new(now, distant_past, own.instance),
            orders: OrderQueue::default(),
            decision_status: DecisionStatus::NoDecision,
            events: Vec::new(),
            voter_addresses: voters,
            own,
        }
    }

    /// Restores the stored state of an earlier process: its last decision, its members and its voter state.
    pub fn restore(
        &mut self,
        now: Timestamp,
        decision: Option<Decision>,
        members: Vec<Peer>,
        voter_state: Option<PersistentVoterState>,
    ) {
        if let Some(DurableVoter { voter, .. }) = &mut self.voter {
            if let Some(state) = voter_state {
                voter.restore(now, state);
            }
            if let Some(decision) = &decision {
                voter.observe_decision(decision);
            }
        }
        if let Some(decision) = decision {
            self.follower.restore(now, decision);
        }
        self.members.add_known_members(now, members.into_iter());
        self.process_pending(now);
    }

    /// Returns the state that the next process of this node may start from.
    pub fn restart_state(&self) -> RestartState {
        RestartState {
            decision: self.follower.decision().cloned(),
            members: self.members.live_members().cloned().collect(),
        }
    }

    /// Holds back the voter's outputs and decisions until its state is persisted. The caller calls
    /// `take_persistent_state` after each event, and `state_persisted` when the returned state is stored.
    pub fn require_durable_state(&mut self) {
        if let Some(voter) = &mut self.voter {
            voter.require_durable_state();
        }
    }

    /// Returns the voter state to persist, if it has changed.
    pub fn take_persistent_state(&mut self) -> Option<PersistentVoterState> {
        self.voter.as_mut().and_then(DurableVoter::take_persistent_state)
    }

    /// Reports that the state last returned by `take_persistent_state` is stored.
    pub fn state_persisted(&mut self, now: Timestamp) {
        if let Some(voter) = &mut self.voter {
            voter.state_persisted();
        }
        self.process_pending(now);
    }

    /// Whether outputs wait for `state_persisted`.
    pub fn awaits_persistence(&self) -> bool {
        self.voter.as_ref().is_some_and(DurableVoter::awaits_persistence)
    }

    /// Handles a datagram from the network.
    pub fn handle_datagram(&mut self, now: Timestamp, bytes: &[u8]) {
        match self.opener.open(bytes) {
            Ok(opened) => {
                self.handle_opened(now, opened);
                self.process_pending(now);
            }
            Err(rejection) => self.events.push(NodeEvent::DatagramRejected(rejection)),
        }
    }

    fn handle_opened(&mut self, now: Timestamp, datagram: OpenedDatagram) {
        let OpenedDatagram { kind, from, instance, body } = datagram;
        match kind {
            DatagramKind::Gossip => self.members.handle_gossip(now, body),
            DatagramKind::Consensus => {
                let voter = self.voter.as_mut().filter(|_| self.voter_addresses.contains(&from));
                match (voter, body.split_first_chunk::<8>()) {
                    (Some(DurableVoter { voter, .. }), Some((generation, bytes))) => {
                        voter.handle_raft(now, u64::from_be_bytes(*generation), bytes);
                    }
                    _ => self.events.push(NodeEvent::Undecodable),
                }
            }
            DatagramKind::Message => match postcard::from_bytes(body) {
                Ok(message) => self.handle_message(now, from, instance, message),
                Err(_) => self.events.push(NodeEvent::Undecodable),
            },
        }
    }

    fn handle_message(&mut self, now: Timestamp, from: SocketAddr, instance: u64, message: Message) {
        match message {
            Message::Voter(message) => {
                let slot = self.voter_addresses.iter().position(|voter| *voter == from);
                match (slot, &mut self.voter) {
                    (Some(slot), Some(DurableVoter { voter, .. })) => {
                        voter.handle_message(now, slot, message)
                    }
                    _ => self.events.push(NodeEvent::Undecodable),
                }
            }
            Message::Evidence(report) => {
                if !self.evidence.record(now, from, instance, report) {
                    self.events.push(NodeEvent::Undecodable);
                }
            }
            Message::DecisionQuery(nonce) => self.answer_decision_query(now, from, nonce),
            Message::CurrentDecision { nonce, decision, heartbeat, heartbeat_age } => {
                if self.queries.accept_answer(nonce) {
                    self.handle_current_decision(now, decision, heartbeat, heartbeat_age);
                }
            }
            Message::OperatorRequest { ticket, order } => {
                self.handle_operator_request(now, from, ticket, order);
            }
            Message::MembersRequest { ticket, after } => {
                let members = self.members.live_members().chain([&self.own]).cloned().collect();
                self.outbox.answer(from, ticket, OperatorAnswer::members_page(members, after));
            }
            Message::ExcludeVoters { ticket, slots } => {
                let excluded =
                    self.voter.as_mut().map_or(Err(RequestError::NotAVoter), |voter| voter.exclude(&slots));
                let answer = match excluded {
                    Ok(()) => OperatorAnswer::Decided(self.decision_number()),
                    Err(error) => OperatorAnswer::Rejected(error.to_string()),
                };
                self.outbox.answer(from, ticket, answer);
            }
            Message::Answer { .. } => self.events.push(NodeEvent::Undecodable),
        }
    }

    fn answer_decision_query(&mut self, now: Timestamp, from: SocketAddr, nonce: u64) {
        if self.queries.may_answer(now) {
            self.outbox.send(from, &Message::current_decision(now, nonce, &self.follower));
        }
    }

    fn handle_current_decision(
        &mut self,
        now: Timestamp,
        decision: Option<Decision>,
        heartbeat: LeaderHeartbeat,
        heartbeat_age: TimeSpan,
    ) {
        if let Some(decision) = decision {
            self.handle_decision(now, decision);
        }
        // The age of a heartbeat counts from the node that first received it. Otherwise nodes of a partition
        // would keep confirming the decision to each other forever.
        if heartbeat_age >= TimeSpan::ZERO {
            self.follower.handle_heartbeat(now - heartbeat_age, heartbeat);
        }
    }

    fn handle_decision(&mut self, now: Timestamp, decision: Decision) {
        if !self.follower.handle_decision(now, decision.clone()) {
            return;
        }
        if let Some(DurableVoter { voter, .. }) = &mut self.voter {
            voter.observe_decision(&decision);
        }
        if broadcast_decision(&mut self.members, &decision).is_ok() {
            self.members.gossip_now(now);
        }
        self.events.push(NodeEvent::Decided(decision));
    }

    /// Whether `report_evidence` is due; the report then counts as sent.
    pub fn take_report_due(&mut self, now: Timestamp) -> bool {
        self.reporter.take_due(now)
    }

    /// Reports this node's observations, by zone. `demand` is the demand of its clients in parts per second.
    pub fn report_evidence(&mut self, now: Timestamp, replica_counts: Vec<ReplicaCounts>, demand: u32) {
        let report = self.reporter.report(now, &self.members, &self.own, replica_counts, demand);
        let Some(report) = report else { return };
        for voter in self.voter_addresses.clone() {
            if voter == self.own.address {
                self.evidence.record(now, voter, self.own.instance, report.clone());
            } else {
                self.outbox.send(voter, &Message::Evidence(report.clone()));
            }
        }
    }

    /// Time at which `tick` is due at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        let always = self.members.next_deadline().min(self.reporter.next_deadline());
        let voter = self.voter.as_ref().map(|voter| voter.voter.next_deadline());
        [voter, self.leadership.next_deadline()].into_iter().flatten().fold(always, Timestamp::min)
    }

    /// Runs everything that is due: gossip, heartbeats, proposals and decision queries.
    pub fn tick(&mut self, now: Timestamp) {
        self.members.tick(now);
        self.follower.tick(now, self.reporter.replica_counts());
        if let Some(DurableVoter { voter, .. }) = &mut self.voter {
            voter.tick(now);
        }
        if self.leadership.begin_review_if_due(now) {
            self.review(now);
        }
        if self.follower.should_query(now) && self.queries.begin_round_if_due(now) {
            self.query_decision();
        }
        self.process_pending(now);
        let status = self.follower.status(now);
        if status != self.decision_status {
            self.decision_status = status;
            self.events.push(NodeEvent::StatusChanged(status));
        }
    }

    fn query_decision(&mut self) {
        for address in self.queries.targets(&self.own, &self.voter_addresses, &self.members) {
            let nonce = self.queries.next_nonce();
            self.outbox.send(address, &Message::DecisionQuery(nonce));
        }
    }

    /// Performs the leader's duties: sends heartbeats and proposes decisions.
    fn review(&mut self, now: Timestamp) {
        let Some(DurableVoter { voter, .. }) = &mut self.voter else { return };
        let leads = voter.is_leader();
        self.events.extend(self.leadership.set_leading(now, leads));
        let Some(current) = voter.decision().cloned().filter(|_| leads) else { return };
        if let Some(heartbeat) = self.leadership.take_due_heartbeat(now, voter, current.number) {
            broadcast_heartbeat(&mut self.members, &heartbeat);
            self.follower.handle_heartbeat(now, heartbeat);
        }
        // Only one proposal is pending at a time; the next one is based on its outcome.
        if self.leadership.awaits_decision(now, current.number) {
            return;
        }
        let matrix = self.evidence.matrix(now);
        let NextProposal { rejected, next } =
            self.leadership.next_proposal(now, &matrix, &current, &mut self.orders);
        if let Some(RejectedOrder { order, error }) = rejected {
            self.close_order(order, OperatorAnswer::Rejected(error.to_string()));
        }
        if let (Some(next), Some(DurableVoter { voter, .. })) = (next, &mut self.voter) {
            self.events.push(self.leadership.propose(now, &matrix, voter, current.number, next));
        }
    }

    fn handle_operator_request(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        ticket: u64,
        order: Option<OperatorOrder>,
    ) {
        if let Some(answer) = self.orders.recorded_answer(ticket) {
            return self.outbox.answer(from, ticket, answer);
        }
        let Some(order) = order else {
            let status = self.status_report(now);
            return self.outbox.answer(from, ticket, OperatorAnswer::Status(status));
        };
        let leader = self.leadership.leader(self.leader_slot());
        if let Some(answer) = self.orders.add(PendingOrder::new(now, from, ticket, order), leader) {
            self.outbox.answer(from, ticket, answer);
        }
    }

    fn close_order(&mut self, pending: PendingOrder, answer: OperatorAnswer) {
        let PendingOrder { ticket, from, order, .. } = pending;
        self.orders.close(ticket, answer.clone());
        self.events.push(NodeEvent::OrderAnswered(order, answer.clone()));
        self.outbox.answer(from, ticket, answer);
    }

    fn leader_slot(&self) -> Option<u8> {
        self.voter.as_ref().and_then(DurableVoter::leader_slot)
    }

    /// View of the zones from this node, for operators.
    pub fn status_report(&mut self, now: Timestamp) -> StatusReport {
        let matrix = self.evidence.matrix(now);
        StatusReport {
            decision: self.follower.decision().cloned(),
            status: self.follower.status(now).name().to_string(),
            fractions: self.follower.plan(now).fractions,
            evidence: if self.voter.is_some() { ZoneEvidence::of_zones(&matrix) } else { Vec::new() },
            leader: self.leader_slot(),
            reachable_voters: self.voter.as_ref().map_or(0, |voter| voter.voter.reachable_voters(now) as u8),
            members: self.members.live_members().count() as u16 + 1,
        }
    }

    fn process_pending(&mut self, now: Timestamp) {
        self.events.extend(self.members.take_events().into_iter().map(NodeEvent::Membership));
        for message in self.members.take_broadcasts() {
            self.handle_broadcast(now, &message);
        }
        let decided = self.voter.as_mut().map(DurableVoter::take_decided).unwrap_or_default();
        for decision in decided {
            if let Some(order) = self.orders.completed_by(&decision) {
                self.close_order(order, OperatorAnswer::Decided(decision.number));
            }
            self.handle_decision(now, decision);
        }
        for order in self.orders.expired(now) {
            let reason = RequestError::NotDecidedInTime.to_string();
            self.close_order(order, OperatorAnswer::Rejected(reason));
        }
        self.send_voter_outputs();
        self.send_gossip();
    }

    fn handle_broadcast(&mut self, now: Timestamp, message: &TopicMessage) {
        match broadcast::decode(message) {
            Some(Broadcast::Decision(decision)) => self.handle_decision(now, decision),
            Some(Broadcast::Heartbeat(heartbeat)) => self.follower.handle_heartbeat(now, heartbeat),
            None => self.events.push(NodeEvent::Undecodable),
        }
    }

    fn send_voter_outputs(&mut self) {
        let outputs = self.voter.as_mut().map(DurableVoter::take_outputs).unwrap_or_default();
        for AddressedOutput { slot, output } in outputs {
            let to = self.voter_addresses[slot];
            match output {
                VoterOutput::Raft { generation, bytes } => {
                    let body = [&generation.to_be_bytes()[..], &bytes].concat();
                    self.outbox.seal(to, DatagramKind::Consensus, &body);
                }
                VoterOutput::Message(message) => self.outbox.send(to, &Message::Voter(message)),
            }
        }
    }

    fn send_gossip(&mut self) {
        for OutgoingGossip { to, body } in self.members.take_datagrams() {
            self.outbox.seal(to, DatagramKind::Gossip, &body);
        }
    }

    /// Announces the departure of this node to the other members.
    pub fn leave(&mut self, now: Timestamp, departure: Departure) {
        self.members.leave(now, departure);
        self.send_gossip();
    }

    /// Adds members recorded by another node or by the process that set up this one.
    pub fn add_known_members(&mut self, now: Timestamp, peers: impl Iterator<Item = Peer>) {
        self.members.add_known_members(now, peers);
    }

    /// Returns the datagrams to send.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        self.outbox.take()
    }

    /// Number and size of the datagrams sealed so far.
    pub fn sent(&self) -> SentTraffic {
        self.outbox.sent()
    }

    /// Returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<NodeEvent> {
        std::mem::take(&mut self.events)
    }

    /// Current routing of this node's queries.
    pub fn routing_plan(&self, now: Timestamp) -> RoutingPlan {
        self.follower.plan(now)
    }

    /// Number of the decision that this node acts on; 0 without a decision.
    pub fn decision_number(&self) -> u64 {
        self.follower.decision().map_or(0, |decision| decision.number)
    }

    /// Status of this node's decision at the last tick.
    pub fn decision_status(&self) -> DecisionStatus {
        self.decision_status
    }

    /// Whether this node is among the reporters of its zone.
    pub fn is_reporter(&self) -> bool {
        self.reporter.is_reporter()
    }

    /// Whether this node leads the voters.
    pub fn is_leader(&self) -> bool {
        self.leadership.leads()
    }

    /// Membership as seen by this node.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Number of decisions received that were older than the one held.
    pub fn stale_decisions(&self) -> u64 {
        self.follower.stale_decisions
    }
}

#[cfg(test)]
mod stored_forms;
