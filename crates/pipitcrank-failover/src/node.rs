//! One copy's part in all of this, without sockets and clock: fed datagrams, times and what its own exchange sees; asked
//! what to send, what to do with queries, and what to log. The program's hands, the emulator and the tests drive it alike.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::envelope::{DatagramKind, DatagramRejection, Opener, OutgoingDatagram, Sealer};
use pipitcrank_membership::evidence::{
    EvidenceReport as Evidence, EvidenceTable, Finding, REPORT_INTERVAL, ReplicaCounts, is_reporter,
};
use pipitcrank_membership::members::{
    BroadcastRank, Departure, Members, MembershipEvent, OutgoingGossip, TopicMessage,
};
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

use crate::controller::FailoverController;
use crate::decision::{Decision, DecisionCause, OperatorOrder};
use crate::follower::{DecisionFollower, DecisionStatus, RoutingPlan};
use crate::routing_table::ZoneFraction;
use crate::voter::{Voter, VoterMemory, VoterMessage, VoterOutput};

/// The leader says so often that the voters are there.
const BEAT: TimeSpan = TimeSpan::from_millis(500);
/// Looked at by the leader: evidence comes each quarter of a second.
const REVIEW: TimeSpan = TimeSpan::from_millis(50);
/// A proposal that came to nothing in this time is made anew.
const AGREED_WITHIN: TimeSpan = TimeSpan::from_millis(600);
/// A copy that does not know what stands asks so often, this many others.
const ASK: TimeSpan = TimeSpan::from_millis(300);
const ASKED: usize = 3;
/// Answers of this kind given a second: one is some hundred bytes.
const ANSWERS: u32 = 200;
/// Operators' orders that wait for the agreement, and answers kept for those asked again.
const MOST_ORDERS: usize = 16;
const ORDER_TIME: TimeSpan = TimeSpan::from_millis(3000);

/// Copies named in one datagram.
const A_PIECE: usize = 40;

const DECISION: u8 = 0;
const BEATS: u8 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Voter(VoterMessage),
    Evidence(Evidence),
    /// What stands? The number comes back with the answer.
    StatusQuery(u64),
    Stands {
        nonce: u64,
        decision: Option<Decision>,
        rank: (u64, u64),
        beat_number: u64,
        /// How long ago its newest beat was heard.
        age: TimeSpan,
    },
    /// An operator's command; none only shows.
    Ask {
        ticket: u64,
        order: Option<OperatorOrder>,
    },

    Told {
        ticket: u64,
        answer: OperatorAnswer,
    },
    /// An operator says which seats stay away for good; none takes it back.
    StayAway {
        ticket: u64,
        seats: Vec<u8>,
    },
    /// Which copies are there, in the order of their addresses, from after that one on.
    Who {
        ticket: u64,
        after: Option<SocketAddr>,
    },
}

/// The answer to an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    Status(StatusReport),
    /// Agreed on under that number.
    Decided(u64),
    Rejected(String),
    /// This copy does not lead the voters; the seat that does, where it knows.
    NotLeader(Option<u8>),
    /// Nodes that are members, a page of the list, and whether more follow.
    Members {
        members: Vec<Peer>,
        more: bool,
    },
}

/// What a copy shows of zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    pub decision: Option<Decision>,
    pub status: String,
    /// This copy's thousandths for each zone.
    pub fractions: Vec<ZoneFraction>,
    /// By zone, where this copy is a voter: what evidence says, copies that speak, replicas that are well.
    pub evidence: Vec<ZoneEvidence>,
    pub leader: Option<u8>,
    pub voters_heard: u8,
    pub members: u16,
}

/// The evidence on one zone, as a voter shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneEvidence {
    /// `Finding::name` of the zone.
    pub finding: String,
    /// Nodes of the zone whose reports count.
    pub reporters: u16,
    /// Replicas of the zone that were seen to be healthy.
    pub healthy_replicas: u16,
}

/// What a process after this one may start from: not agreed on, and perhaps out of date.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartState {
    /// The decision that this node acts on.
    pub decision: Option<Decision>,
    /// Other live members.
    pub members: Vec<Peer>,
}

/// What a node has sent since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Bytes of sealed datagrams.
    pub bytes: u64,
    /// Sealed datagrams.
    pub datagrams: u64,
}

/// What a node is made of.
pub struct FailoverNodeConfig {
    /// This node, as others reach it.
    pub own: Peer,
    /// The key under which datagrams are sealed.
    pub key: [u8; 32],
    /// Nodes that are asked first.
    pub known_nodes: Vec<SocketAddr>,
    /// Addresses of the voters, in the same order at all nodes.
    pub voters: Vec<SocketAddr>,
    /// Number of zones.
    pub zone_count: usize,
    /// Proposes decisions while this node leads the voters.
    pub controller: FailoverController,
    /// Decides what this node acts on.
    pub follower: DecisionFollower,
}

/// What is worth a line in the log, or a count.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// A decision is acted on from now on.
    Decided(Decision),
    /// This copy, leading, asks the voters for a decision; with the evidence on its zone.
    Proposed {
        cause: DecisionCause,
        zone: u16,
        finding: Finding,
        reporters: usize,
        voters: usize,
    },
    Membership(MembershipEvent),
    StatusChanged(DecisionStatus),
    LeadershipChanged(bool),
    /// A datagram was left, and why.
    DatagramRejected(DatagramRejection),
    /// A datagram of a copy whose word can't be read, or is not its to say.
    Undecodable,
    /// An operator's order and its answer.
    OrderAnswered(OperatorOrder, OperatorAnswer),
}

#[derive(Clone, Copy)]
struct Ordered {
    ticket: u64,
    from: SocketAddr,
    order: OperatorOrder,
    since: Timestamp,
    /// Cause and zone of what has been asked of the voters for it.
    proposed: Option<(DecisionCause, u16)>,
}

pub struct FailoverNode {
    own: Peer,
    seats: Vec<SocketAddr>,
    sealer: Sealer,
    opener: Opener,
    members: Members,
    agreement: Option<Voter>,
    /// What the voter must not forget is kept, and something taken is not yet.
    keeps: bool,
    owes: bool,
    book: FailoverController,
    words: EvidenceTable,
    follow: DecisionFollower,
    /// The newest of its own evidence.
    replica_counts: Vec<ReplicaCounts>,
    spoke: Timestamp,
    spoken: u64,
    /// For which state of the members, and since when, it is or is not among those that speak.
    is_reporter: (u64, Timestamp, bool),
    led: bool,
    /// Sent by this process so far.
    beats: u64,
    beat_at: Timestamp,
    beat_number: u64,
    reviewed: Timestamp,
    proposed: Option<(u64, Timestamp)>,
    asked_at: Timestamp,
    nonces: VecDeque<u64>,
    next_nonce: u64,
    answered: (Timestamp, u32),
    orders: VecDeque<Ordered>,
    answers: VecDeque<(u64, OperatorAnswer)>,
    status: DecisionStatus,
    events: Vec<NodeEvent>,
    out: Vec<OutgoingDatagram>,
    /// Bytes and datagrams sent.
    pub sent: SentTraffic,
}

impl FailoverNode {
    /// `own` as others reach it; `seats`: the voters' addresses, the same at all copies; `named`: copies asked first.
    pub fn new(now: Timestamp, config: FailoverNodeConfig) -> FailoverNode {
        let FailoverNodeConfig {
            own,
            key,
            known_nodes,
            voters: seats,
            zone_count: zones,
            controller: book,
            follower: follow,
        } = config;
        let seat = seats.iter().position(|s| *s == own.address);
        let long_ago = now - TimeSpan::from_millis(60_000);
        let mut all: Vec<SocketAddr> = known_nodes.iter().chain(&seats).copied().collect();
        all.sort();
        all.dedup();
        FailoverNode {
            seats: seats.clone(),
            sealer: Sealer::new(key, own.address, own.instance),
            opener: Opener::new(key, own.address),
            members: Members::new(own.clone(), &all, own.instance),
            keeps: false,
            owes: false,
            agreement: seat.map(|seat| Voter::new(now, seat, seats.len(), zones, own.instance)),
            book,
            words: EvidenceTable::new(zones),
            follow,
            replica_counts: vec![ReplicaCounts::default(); zones],
            spoke: long_ago,
            spoken: 0,
            is_reporter: (0, long_ago, true),
            led: false,
            beats: 0,
            beat_at: long_ago,
            beat_number: 0,
            reviewed: long_ago,
            proposed: None,
            asked_at: long_ago,
            nonces: VecDeque::new(),
            // Not to be guessed from outside: the key's holders alone can answer, with what was asked of them.
            next_nonce: own.instance.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            answered: (now, 0),
            orders: VecDeque::new(),
            answers: VecDeque::new(),
            status: DecisionStatus::NoDecision,
            events: Vec::new(),
            out: Vec::new(),
            sent: SentTraffic::default(),
            own,
        }
    }

    // What outlives a process.

    /// What a process before this one kept: the decision that it acted on last, whom it knew, and, at a voter's seat, what
    /// that must not forget.
    pub fn restore(
        &mut self,
        now: Timestamp,
        decision: Option<Decision>,
        members: Vec<Peer>,
        memory: Option<VoterMemory>,
    ) {
        if let Some(agreement) = &mut self.agreement {
            if let Some(memory) = memory {
                agreement.restore(now, memory);
            }
            if let Some(decision) = &decision {
                agreement.observe_decision(decision);
            }
        }
        if let Some(decision) = decision {
            self.follow.restore(now, decision);
        }
        self.members.add_known_members(now, members.into_iter());
        self.settle(now);
    }

    /// What a process after this one may recall, soft as it is.
    pub fn restart_state(&self) -> RestartState {
        RestartState {
            decision: self.follow.decision().cloned(),
            members: self.members.live_members().cloned().collect(),
        }
    }

    /// From now on what this voter says, and what it knows agreed on, waits until what it must not forget is kept: whoever
    /// calls this asks for `take_memory` after each event, and says `kept` when that is done.
    pub fn require_durable_memory(&mut self) {
        self.keeps = true;
    }

    /// What a voter must not forget, where it has changed.
    pub fn take_memory(&mut self) -> Option<VoterMemory> {
        let memory = self.agreement.as_mut().filter(|_| self.keeps).and_then(Voter::take_memory);
        self.owes |= memory.is_some();
        memory
    }

    /// The last that `take_memory` gave is kept.
    pub fn memory_persisted(&mut self, now: Timestamp) {
        self.owes = false;
        self.settle(now);
    }

    /// Whether something said waits for `kept`.
    pub fn awaits_persistence(&self) -> bool {
        self.owes
    }

    // What comes.

    pub fn handle_datagram(&mut self, now: Timestamp, bytes: &[u8]) {
        let opened = match self.opener.open(bytes) {
            Ok(opened) => opened,
            Err(left) => return self.events.push(NodeEvent::DatagramRejected(left)),
        };
        let (from, instance) = (opened.from, opened.instance);
        match opened.kind {
            DatagramKind::Gossip => self.members.handle_gossip(now, opened.body),
            DatagramKind::Consensus => {
                let whole = opened.body.split_first_chunk::<8>();
                match (self.agreement.as_mut().filter(|_| self.seats.contains(&from)), whole) {
                    (Some(agreement), Some((generation, bytes))) => {
                        agreement.handle_raft(now, u64::from_be_bytes(*generation), bytes);
                    }
                    _ => self.events.push(NodeEvent::Undecodable),
                }
            }
            DatagramKind::Message => match postcard::from_bytes(opened.body) {
                Ok(said) => self.word(now, from, instance, said),
                Err(_) => self.events.push(NodeEvent::Undecodable),
            },
        }
        self.settle(now);
    }

    fn word(&mut self, now: Timestamp, from: SocketAddr, instance: u64, said: Message) {
        match said {
            Message::Voter(word) => {
                let seat = self.seats.iter().position(|s| *s == from);
                match (seat, &mut self.agreement) {
                    (Some(seat), Some(agreement)) => agreement.handle_message(now, seat, word),
                    _ => self.events.push(NodeEvent::Undecodable),
                }
            }
            Message::Evidence(word) => {
                if !self.words.record(now, from, instance, word) {
                    self.events.push(NodeEvent::Undecodable);
                }
            }
            Message::StatusQuery(nonce) => {
                // Bounded: a herd that returns asks again, and asks others.
                if now - self.answered.0 >= TimeSpan::from_millis(1000) {
                    self.answered = (now, 0);
                }
                if self.answered.1 < ANSWERS {
                    self.answered.1 += 1;
                    let decision = self.follow.decision().cloned();
                    let rank = self.follow.heartbeat_rank();
                    let age = self.follow.heartbeat_age(now);
                    let said = Message::Stands { nonce, decision, rank, beat_number: self.beat_number, age };
                    self.say(from, &said);
                }
            }
            Message::Stands { nonce, decision, rank, beat_number, age } => {
                // Guards against an answer of long ago, said again.
                let Some(place) = self.nonces.iter().position(|n| *n == nonce) else { return };
                self.nonces.remove(place);
                if let Some(decision) = decision {
                    self.takes(now, decision);
                }
                // Guards against a parted set that keeps each other following: a beat is as old as its first hearer had it.
                if age >= TimeSpan::ZERO {
                    self.heard_beat(now - age, rank, beat_number);
                }
            }
            Message::Ask { ticket, order } => self.handle_operator_request(now, from, ticket, order),
            Message::Who { ticket, after } => {
                let mut all: Vec<Peer> = self.members.live_members().chain([&self.own]).cloned().collect();
                all.sort_by_key(|p| p.address);
                all.retain(|p| after.is_none_or(|after| p.address > after));
                let more = all.len() > A_PIECE;
                all.truncate(A_PIECE);
                let answer = OperatorAnswer::Members { members: all, more };
                self.say(from, &Message::Told { ticket, answer });
            }
            Message::StayAway { ticket, seats } => {
                let answer = self.stay_away(&seats);
                self.say(from, &Message::Told { ticket, answer });
            }
            Message::Told { .. } => self.events.push(NodeEvent::Undecodable),
        }
    }

    fn takes(&mut self, now: Timestamp, decision: Decision) {
        if self.follow.handle_decision(now, decision.clone()) {
            if let Some(agreement) = &mut self.agreement {
                agreement.observe_decision(&decision);
            }
            if let Ok(body) = postcard::to_allocvec(&decision) {
                self.members.broadcast(DECISION, BroadcastRank { major: decision.number, minor: 0 }, &body);
                self.members.gossip_now(now);
            }
            self.events.push(NodeEvent::Decided(decision));
        }
    }

    fn heard_beat(&mut self, now: Timestamp, rank: (u64, u64), number: u64) {
        if rank > self.follow.heartbeat_rank() {
            self.beat_number = number;
        }
        self.follow.handle_heartbeat(now, rank, number);
    }

    /// What this copy's exchange sees of each zone; `demand`: parts a second of its clients.
    pub fn report_evidence(&mut self, now: Timestamp, replica_counts: Vec<ReplicaCounts>, demand: u32) {
        self.replica_counts = replica_counts;
        // Worked out anew where members came or went, and then not at each of many at once.
        if self.is_reporter.0 != self.members.membership_changes
            && now - self.is_reporter.1 >= TimeSpan::from_millis(1000)
        {
            let of_zone = self.members.live_members().filter(|p| p.zone == self.own.zone).cloned();
            self.is_reporter = (self.members.membership_changes, now, is_reporter(&self.own, of_zone));
        }
        if !self.is_reporter.2 {
            return;
        }
        self.spoken += 1;
        let word = Evidence {
            zone: self.own.zone,
            sequence: self.spoken,
            replica_counts: self.replica_counts.clone(),
            demand,
            nodes: self.members.count_in_zone(self.own.zone).min(usize::from(u16::MAX)) as u16,
        };
        for seat in self.seats.clone() {
            if seat == self.own.address {
                self.words.record(now, seat, self.own.instance, word.clone());
            } else {
                self.say(seat, &Message::Evidence(word.clone()));
            }
        }
    }

    /// Whether it is time for `sees`.
    pub fn take_report_due(&mut self, now: Timestamp) -> bool {
        let due = now - self.spoke >= REPORT_INTERVAL;
        if due {
            self.spoke = now;
        }
        due
    }

    // Time.

    /// When `tick` is due at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        let agreement = self.agreement.as_ref().map(Voter::next_deadline);
        let leads = self.led.then(|| self.reviewed + REVIEW);
        [Some(self.members.next_deadline()), agreement, leads, Some(self.spoke + REPORT_INTERVAL)]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or_default()
    }

    pub fn tick(&mut self, now: Timestamp) {
        self.members.tick(now);
        let replica_counts = std::mem::take(&mut self.replica_counts);
        self.follow.tick(now, &replica_counts);
        self.replica_counts = replica_counts;
        if let Some(agreement) = &mut self.agreement {
            agreement.tick(now);
        }
        if now - self.reviewed >= REVIEW {
            self.reviewed = now;
            self.lead(now);
        }
        if self.follow.should_query(now) && now - self.asked_at >= ASK {
            self.asked_at = now;
            self.look();
        }
        self.settle(now);
        let status = self.follow.status(now);
        if status != self.status {
            self.status = status;
            self.events.push(NodeEvent::StatusChanged(status));
        }
    }

    fn look(&mut self) {
        // By turns: seats know first, but members answer where no seat is reached.
        let members: Vec<SocketAddr> = self.members.live_members().map(|p| p.address).collect();
        let turn = self.next_nonce as usize;
        let seats = self.seats.iter().copied().filter(|s| *s != self.own.address).collect::<Vec<_>>();
        let pick = |list: &[SocketAddr], n: usize| list.get((turn + n) % list.len().max(1)).copied();
        let mut to: Vec<SocketAddr> = (0..ASKED - 1).filter_map(|n| pick(&seats, n)).collect();
        to.extend(pick(&members, 0));
        to.sort();
        to.dedup();
        for address in to {
            self.next_nonce = self.next_nonce.wrapping_add(1);
            let nonce = self.next_nonce;
            self.nonces.push_back(nonce);
            if self.nonces.len() > 8 * ASKED {
                self.nonces.pop_front();
            }
            self.say(address, &Message::StatusQuery(nonce));
        }
    }

    fn lead(&mut self, now: Timestamp) {
        let Some(agreement) = &self.agreement else { return };
        let leads = agreement.is_leader();
        if leads != self.led {
            self.led = leads;
            self.proposed = None;
            self.events.push(NodeEvent::LeadershipChanged(leads));
            if leads {
                self.book.leadership_gained(now);
            }
        }
        let Some(current) = agreement.decision().cloned().filter(|_| leads) else { return };
        let term = agreement.generation() << 32 | agreement.term();
        let voters = agreement.voters_heard(now);
        if now - self.beat_at >= BEAT {
            self.beat_at = now;
            self.beats += 1;
            let rank = (term, self.beats);
            let body = postcard::to_allocvec(&(rank, current.number)).unwrap_or_default();
            self.members.broadcast(BEATS, BroadcastRank { major: rank.0, minor: rank.1 }, &body);
            self.heard_beat(now, rank, current.number);
        }
        // One proposal at a time: what follows from the evidence is made from what stands.
        if self.proposed.is_some_and(|(base, at)| base == current.number && now - at < AGREED_WITHIN) {
            return;
        }
        let matrix = self.words.matrix(now);
        let mut next = None;
        if let Some(first) = self.orders.front_mut() {
            match self.book.apply_order(&matrix, &current, first.order) {
                Ok(decision) => {
                    first.proposed = Some((decision.cause, decision.zone));
                    next = Some(decision);
                }
                Err(why) => {
                    let refused = *first;
                    self.tell(refused, OperatorAnswer::Rejected(why));
                }
            }
        }
        let Some(next) = next.or_else(|| self.book.next_decision(now, &matrix, &current)) else { return };
        let zone = usize::from(next.zone);
        self.events.push(NodeEvent::Proposed {
            cause: next.cause,
            zone: next.zone,
            finding: matrix.finding(zone),
            reporters: matrix.reporters(zone),
            voters,
        });
        self.proposed = Some((current.number, now));
        if let Some(agreement) = &mut self.agreement {
            agreement.propose(current.number, next);
        }
    }

    // Operators.

    /// Each voter is told by itself: there may be no majority to agree on it. A voter that knows a leader refuses.
    fn stay_away(&mut self, seats: &[u8]) -> OperatorAnswer {
        let own = self.seats.iter().position(|s| *s == self.own.address);
        let refused = |why: &str| OperatorAnswer::Rejected(why.to_string());
        let Some(agreement) = &mut self.agreement else { return refused("this copy is no voter") };
        let named: Vec<usize> = seats.iter().map(|s| usize::from(*s)).collect();
        if named.iter().any(|s| *s >= self.seats.len() || Some(*s) == own) {
            return refused("it names this voter itself, or a seat that there is not");
        }
        if !named.is_empty() && agreement.has_leader() {
            return refused("the voters have a leader: nothing needs to begin anew");
        }
        agreement.exclude_voters(named);
        OperatorAnswer::Decided(self.follow.decision().map_or(0, |d| d.number))
    }

    fn handle_operator_request(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        ticket: u64,
        order: Option<OperatorOrder>,
    ) {
        let known = self.answers.iter().find(|a| a.0 == ticket).map(|a| a.1.clone());
        if let Some(answer) = known {
            return self.say(from, &Message::Told { ticket, answer });
        }
        let Some(order) = order else {
            let answer = OperatorAnswer::Status(self.status_report(now));
            return self.say(from, &Message::Told { ticket, answer });
        };
        if self.orders.iter().any(|o| o.ticket == ticket) {
            return;
        }
        if !self.led {
            let leader = self.agreement.as_ref().and_then(Voter::leader).map(|s| s as u8);
            return self.say(from, &Message::Told { ticket, answer: OperatorAnswer::NotLeader(leader) });
        }
        if self.orders.len() >= MOST_ORDERS {
            let answer = OperatorAnswer::Rejected("too many orders wait for the voters".to_string());
            return self.say(from, &Message::Told { ticket, answer });
        }
        self.orders.push_back(Ordered { ticket, from, order, since: now, proposed: None });
    }

    fn tell(&mut self, ordered: Ordered, answer: OperatorAnswer) {
        let Ordered { ticket, from, order, .. } = ordered;
        self.orders.retain(|o| o.ticket != ticket);
        self.answers.push_back((ticket, answer.clone()));
        if self.answers.len() > MOST_ORDERS {
            self.answers.pop_front();
        }
        self.events.push(NodeEvent::OrderAnswered(order, answer.clone()));
        self.say(from, &Message::Told { ticket, answer });
    }

    pub fn status_report(&mut self, now: Timestamp) -> StatusReport {
        let matrix = self.words.matrix(now);
        let of = |zone: usize| {
            let finding = matrix.finding(zone).name().to_string();
            ZoneEvidence {
                finding,
                reporters: matrix.reporters(zone) as u16,
                healthy_replicas: matrix.healthy_replicas(zone).round() as u16,
            }
        };
        let agreement = self.agreement.as_ref();
        StatusReport {
            decision: self.follow.decision().cloned(),
            status: self.follow.status(now).name().to_string(),
            fractions: self.follow.plan(now).fractions,
            evidence: if agreement.is_some() {
                (0..matrix.zone_count()).map(of).collect()
            } else {
                Vec::new()
            },
            leader: agreement.and_then(Voter::leader).map(|s| s as u8),
            voters_heard: agreement.map_or(0, |a| a.voters_heard(now) as u8),
            members: self.members.live_members().count() as u16 + 1,
        }
    }

    // Passing on.

    /// Whether the voter's words may go out and be acted on. Guards against one given and then forgotten.
    fn is_free(&self) -> bool {
        let changed = self.agreement.as_ref().is_some_and(Voter::has_changed);
        !self.keeps || !self.owes && !changed
    }

    fn settle(&mut self, now: Timestamp) {
        for news in self.members.take_events() {
            self.events.push(NodeEvent::Membership(news));
        }
        for TopicMessage { topic, body } in self.members.take_broadcasts() {
            match topic {
                DECISION => match postcard::from_bytes::<Decision>(&body) {
                    Ok(decision) => self.takes(now, decision),
                    Err(_) => self.events.push(NodeEvent::Undecodable),
                },
                BEATS => match postcard::from_bytes::<((u64, u64), u64)>(&body) {
                    Ok((rank, number)) => self.heard_beat(now, rank, number),
                    Err(_) => self.events.push(NodeEvent::Undecodable),
                },
                _ => self.events.push(NodeEvent::Undecodable),
            }
        }
        let free = self.is_free();
        let decided = self.agreement.as_mut().filter(|_| free).map(Voter::take_decided).unwrap_or_default();
        for decision in decided {
            let done = self.orders.iter().find(|o| o.proposed == Some((decision.cause, decision.zone)));
            if let Some(&done) = done {
                self.tell(done, OperatorAnswer::Decided(decision.number));
            }
            self.takes(now, decision);
        }
        let over: Vec<Ordered> =
            self.orders.iter().filter(|o| now - o.since >= ORDER_TIME).copied().collect();
        for ordered in over {
            self.tell(ordered, OperatorAnswer::Rejected("the voters did not agree in time".to_string()));
        }
        // Asked anew: what was taken above may have changed it.
        let free = self.is_free();
        let voters = self.agreement.as_mut().filter(|_| free).map(Voter::take_outputs).unwrap_or_default();
        for (seat, out) in voters {
            let to = self.seats[seat];
            match out {
                VoterOutput::Raft(generation, bytes) => {
                    let body = [&generation.to_be_bytes()[..], &bytes].concat();
                    self.seal(to, DatagramKind::Consensus, &body);
                }
                VoterOutput::Message(word) => self.say(to, &Message::Voter(word)),
            }
        }
        for OutgoingGossip { to, body } in self.members.take_datagrams() {
            self.seal(to, DatagramKind::Gossip, &body);
        }
    }

    fn say(&mut self, to: SocketAddr, said: &Message) {
        if let Ok(body) = postcard::to_allocvec(said) {
            self.seal(to, DatagramKind::Message, &body);
        }
    }

    fn seal(&mut self, to: SocketAddr, kind: DatagramKind, body: &[u8]) {
        if let Some(sealed) = self.sealer.seal(to, kind, body) {
            self.sent.bytes += sealed.len() as u64;
            self.sent.datagrams += 1;
            self.out.push(OutgoingDatagram { to, bytes: sealed });
        }
    }

    /// Says goodbye to the others.
    pub fn leave(&mut self, now: Timestamp, how: Departure) {
        self.members.leave(now, how);
        for OutgoingGossip { to, body } in self.members.take_datagrams() {
            self.seal(to, DatagramKind::Gossip, &body);
        }
    }

    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<NodeEvent> {
        std::mem::take(&mut self.events)
    }

    pub fn routing_plan(&self, now: Timestamp) -> RoutingPlan {
        self.follow.plan(now)
    }

    /// Number of the decision that it goes by; 0 without one.
    pub fn decision_number(&self) -> u64 {
        self.follow.decision().map_or(0, |d| d.number)
    }

    /// Members that another copy, or who set this up, knew of.
    pub fn add_known_members(&mut self, now: Timestamp, peers: impl Iterator<Item = Peer>) {
        self.members.add_known_members(now, peers);
    }

    pub fn decision_status(&self) -> DecisionStatus {
        self.status
    }

    /// Whether this copy is among those that speak for their zone.
    pub fn is_reporter(&self) -> bool {
        self.is_reporter.2
    }

    pub fn is_leader(&self) -> bool {
        self.led
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn stale_decisions(&self) -> u64 {
        self.follow.stale_decisions
    }
}

/// An answer that was opened, and the node that gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedAnswer {
    /// The node that answers.
    pub from: SocketAddr,
    /// Its answer.
    pub answer: OperatorAnswer,
}

/// One operator's command, from outside the copies: seals the question and opens the answer.
pub struct OperatorClient {
    sealer: Sealer,
    opener: Opener,
    ticket: u64,
}

impl OperatorClient {
    /// `own`: where answers come; `started` tells it apart from commands before it.
    pub fn new(key: [u8; 32], own: SocketAddr, started: u64) -> OperatorClient {
        let ticket = started.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(own.port());
        OperatorClient { sealer: Sealer::new(key, own, started), opener: Opener::new(key, own), ticket }
    }

    /// The same each time: whoever has heard it answers as before.
    pub fn request(&mut self, to: SocketAddr, order: Option<OperatorOrder>) -> Option<Vec<u8>> {
        let said = postcard::to_allocvec(&Message::Ask { ticket: self.ticket, order }).ok()?;
        self.sealer.seal(to, DatagramKind::Message, &said)
    }

    /// Asks which copies are there, from after that address on.
    pub fn request_members(&mut self, to: SocketAddr, after: Option<SocketAddr>) -> Option<Vec<u8>> {
        let said = postcard::to_allocvec(&Message::Who { ticket: self.ticket, after }).ok()?;
        self.sealer.seal(to, DatagramKind::Message, &said)
    }

    /// Tells one voter which seats stay away for good.
    pub fn request_exclusion(&mut self, to: SocketAddr, seats: Vec<u8>) -> Option<Vec<u8>> {
        let said = postcard::to_allocvec(&Message::StayAway { ticket: self.ticket, seats }).ok()?;
        self.sealer.seal(to, DatagramKind::Message, &said)
    }

    /// The answer and whose it is, or nothing that answers this command.
    pub fn open_answer(&mut self, datagram: &[u8]) -> Option<ReceivedAnswer> {
        let opened = self.opener.open(datagram).ok()?;
        match postcard::from_bytes(opened.body).ok()? {
            Message::Told { ticket, answer } if ticket == self.ticket => {
                Some(ReceivedAnswer { from: opened.from, answer })
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod stored_forms;
