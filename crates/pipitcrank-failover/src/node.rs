//! One copy's part in all of this, without sockets and clock: fed datagrams, times and what its own exchange sees; asked
//! what to send, what to do with queries, and what to log. The program's hands, the emulator and the tests drive it alike.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::envelope::{Kind, Left, Opener, Sealer};
use pipitcrank_membership::evidence::{Finding, Row, SPEAK, Word as Evidence, Words, speaks};
use pipitcrank_membership::members::{Gone, Members, News};
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

use crate::controller::Book;
use crate::decision::{Cause, Decision, Order};
use crate::follower::{Follow, Plan, Standing};
use crate::voter::{Agreement, Memory, Out, Word};

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
enum Said {
    Voter(Word),
    Evidence(Evidence),
    /// What stands? The number comes back with the answer.
    Look(u64),
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
        order: Option<Order>,
    },

    Told {
        ticket: u64,
        answer: Answer,
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
pub enum Answer {
    Shown(Shown),
    /// Agreed on under that number.
    Done(u64),
    Refused(String),
    /// This copy does not lead the voters; the seat that does, where it knows.
    NotLeading(Option<u8>),
    /// Copies that are there, a piece of the list, and whether more follow.
    Who(Vec<Peer>, bool),
}

/// What a copy shows of zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub decision: Option<Decision>,
    pub standing: String,
    /// This copy's thousandths for each zone.
    pub shares: Vec<(u16, u16)>,
    /// By zone, where this copy is a voter: what evidence says, copies that speak, replicas that are well.
    pub evidence: Vec<(String, u16, u16)>,
    pub leader: Option<u8>,
    pub voters_heard: u8,
    pub members: u16,
}

/// What is worth a line in the log, or a count.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A decision is acted on from now on.
    Decided(Decision),
    /// This copy, leading, asks the voters for a decision; with the evidence on its zone.
    Proposed {
        cause: Cause,
        zone: u16,
        finding: Finding,
        speakers: usize,
        voters: usize,
    },
    Member(News),
    Standing(Standing),
    Leads(bool),
    /// A datagram was left, and why.
    Left(Left),
    /// A datagram of a copy whose word can't be read, or is not its to say.
    Unread,
    /// An operator's order and its answer.
    Order(Order, Answer),
}

#[derive(Clone, Copy)]
struct Ordered {
    ticket: u64,
    from: SocketAddr,
    order: Order,
    since: Timestamp,
    /// Cause and zone of what has been asked of the voters for it.
    proposed: Option<(Cause, u16)>,
}

/// Where the datagrams are to go, and what they are.
type Sent = (SocketAddr, Vec<u8>);

pub struct Instance {
    own: Peer,
    seats: Vec<SocketAddr>,
    sealer: Sealer,
    opener: Opener,
    members: Members,
    agreement: Option<Agreement>,
    /// What the voter must not forget is kept, and something taken is not yet.
    keeps: bool,
    owes: bool,
    book: Book,
    words: Words,
    follow: Follow,
    /// The newest of its own evidence.
    rows: Vec<Row>,
    spoke: Timestamp,
    spoken: u64,
    /// For which state of the members, and since when, it is or is not among those that speak.
    speaks: (u64, Timestamp, bool),
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
    answers: VecDeque<(u64, Answer)>,
    standing: Standing,
    events: Vec<Event>,
    out: Vec<Sent>,
    /// Bytes and datagrams sent.
    pub sent: (u64, u64),
}

impl Instance {
    /// `own` as others reach it; `seats`: the voters' addresses, the same at all copies; `named`: copies asked first.
    #[allow(clippy::too_many_arguments)] // each goes straight to its part
    pub fn new(
        now: Timestamp,
        own: Peer,
        key: [u8; 32],
        named: &[SocketAddr],
        seats: &[SocketAddr],
        zones: usize,
        book: Book,
        follow: Follow,
    ) -> Instance {
        let seat = seats.iter().position(|s| *s == own.address);
        let long_ago = now - TimeSpan::from_millis(60_000);
        let mut all: Vec<SocketAddr> = named.iter().chain(seats).copied().collect();
        all.sort();
        all.dedup();
        Instance {
            seats: seats.to_vec(),
            sealer: Sealer::new(key, own.address, own.instance),
            opener: Opener::new(key, own.address),
            members: Members::new(own.clone(), &all, own.instance),
            keeps: false,
            owes: false,
            agreement: seat.map(|seat| Agreement::new(now, seat, seats.len(), zones, own.instance)),
            book,
            words: Words::new(zones),
            follow,
            rows: vec![Row::default(); zones],
            spoke: long_ago,
            spoken: 0,
            speaks: (0, long_ago, true),
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
            standing: Standing::Blind,
            events: Vec::new(),
            out: Vec::new(),
            sent: (0, 0),
            own,
        }
    }

    // What outlives a process.

    /// What a process before this one kept: the decision that it acted on last, whom it knew, and, at a voter's seat, what
    /// that must not forget.
    pub fn recall(
        &mut self,
        now: Timestamp,
        decision: Option<Decision>,
        members: Vec<Peer>,
        memory: Option<Memory>,
    ) {
        if let Some(agreement) = &mut self.agreement {
            if let Some(memory) = memory {
                agreement.remember(now, memory);
            }
            if let Some(decision) = &decision {
                agreement.follows(decision);
            }
        }
        if let Some(decision) = decision {
            self.follow.recall(now, decision);
        }
        self.members.learn(now, members.into_iter());
        self.settle(now);
    }

    /// What a process after this one may recall, soft as it is.
    pub fn beliefs(&self) -> (Option<Decision>, Vec<Peer>) {
        (self.follow.decision().cloned(), self.members.there().cloned().collect())
    }

    /// From now on what this voter says, and what it knows agreed on, waits until what it must not forget is kept: whoever
    /// calls this asks for `take_memory` after each event, and says `kept` when that is done.
    pub fn keeps(&mut self) {
        self.keeps = true;
    }

    /// What a voter must not forget, where it has changed.
    pub fn take_memory(&mut self) -> Option<Memory> {
        let memory = self.agreement.as_mut().filter(|_| self.keeps).and_then(Agreement::take_memory);
        self.owes |= memory.is_some();
        memory
    }

    /// The last that `take_memory` gave is kept.
    pub fn kept(&mut self, now: Timestamp) {
        self.owes = false;
        self.settle(now);
    }

    /// Whether something said waits for `kept`.
    pub fn owes(&self) -> bool {
        self.owes
    }

    // What comes.

    pub fn datagram(&mut self, now: Timestamp, bytes: &[u8]) {
        let opened = match self.opener.open(bytes) {
            Ok(opened) => opened,
            Err(left) => return self.events.push(Event::Left(left)),
        };
        let (from, instance) = (opened.from, opened.instance);
        match opened.kind {
            Kind::Gossip => self.members.heard(now, opened.body),
            Kind::Agree => {
                let whole = opened.body.split_first_chunk::<8>();
                match (self.agreement.as_mut().filter(|_| self.seats.contains(&from)), whole) {
                    (Some(agreement), Some((generation, bytes))) => {
                        agreement.heard_agree(now, u64::from_be_bytes(*generation), bytes);
                    }
                    _ => self.events.push(Event::Unread),
                }
            }
            Kind::Word => match postcard::from_bytes(opened.body) {
                Ok(said) => self.word(now, from, instance, said),
                Err(_) => self.events.push(Event::Unread),
            },
        }
        self.settle(now);
    }

    fn word(&mut self, now: Timestamp, from: SocketAddr, instance: u64, said: Said) {
        match said {
            Said::Voter(word) => {
                let seat = self.seats.iter().position(|s| *s == from);
                match (seat, &mut self.agreement) {
                    (Some(seat), Some(agreement)) => agreement.heard_word(now, seat, word),
                    _ => self.events.push(Event::Unread),
                }
            }
            Said::Evidence(word) => {
                if !self.words.take(now, from, instance, word) {
                    self.events.push(Event::Unread);
                }
            }
            Said::Look(nonce) => {
                // Bounded: a herd that returns asks again, and asks others.
                if now - self.answered.0 >= TimeSpan::from_millis(1000) {
                    self.answered = (now, 0);
                }
                if self.answered.1 < ANSWERS {
                    self.answered.1 += 1;
                    let decision = self.follow.decision().cloned();
                    let rank = self.follow.beat();
                    let age = self.follow.beat_age(now);
                    let said = Said::Stands { nonce, decision, rank, beat_number: self.beat_number, age };
                    self.say(from, &said);
                }
            }
            Said::Stands { nonce, decision, rank, beat_number, age } => {
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
            Said::Ask { ticket, order } => self.asked(now, from, ticket, order),
            Said::Who { ticket, after } => {
                let mut all: Vec<Peer> = self.members.there().chain([&self.own]).cloned().collect();
                all.sort_by_key(|p| p.address);
                all.retain(|p| after.is_none_or(|after| p.address > after));
                let more = all.len() > A_PIECE;
                all.truncate(A_PIECE);
                let answer = Answer::Who(all, more);
                self.say(from, &Said::Told { ticket, answer });
            }
            Said::StayAway { ticket, seats } => {
                let answer = self.stay_away(&seats);
                self.say(from, &Said::Told { ticket, answer });
            }
            Said::Told { .. } => self.events.push(Event::Unread),
        }
    }

    fn takes(&mut self, now: Timestamp, decision: Decision) {
        if self.follow.decided(now, decision.clone()) {
            if let Some(agreement) = &mut self.agreement {
                agreement.follows(&decision);
            }
            if let Ok(body) = postcard::to_allocvec(&decision) {
                self.members.spread(DECISION, (decision.number, 0), &body);
                self.members.hurry(now);
            }
            self.events.push(Event::Decided(decision));
        }
    }

    fn heard_beat(&mut self, now: Timestamp, rank: (u64, u64), number: u64) {
        if rank > self.follow.beat() {
            self.beat_number = number;
        }
        self.follow.beats(now, rank, number);
    }

    /// What this copy's exchange sees of each zone; `asked`: parts a second of its clients.
    pub fn sees(&mut self, now: Timestamp, rows: Vec<Row>, asked: u32) {
        self.rows = rows;
        // Worked out anew where members came or went, and then not at each of many at once.
        if self.speaks.0 != self.members.changes && now - self.speaks.1 >= TimeSpan::from_millis(1000) {
            let of_zone = self.members.there().filter(|p| p.zone == self.own.zone).cloned();
            self.speaks = (self.members.changes, now, speaks(&self.own, of_zone));
        }
        if !self.speaks.2 {
            return;
        }
        self.spoken += 1;
        let word = Evidence {
            zone: self.own.zone,
            number: self.spoken,
            rows: self.rows.clone(),
            asked,
            copies: self.members.of_zone(self.own.zone).min(usize::from(u16::MAX)) as u16,
        };
        for seat in self.seats.clone() {
            if seat == self.own.address {
                self.words.take(now, seat, self.own.instance, word.clone());
            } else {
                self.say(seat, &Said::Evidence(word.clone()));
            }
        }
    }

    /// Whether it is time for `sees`.
    pub fn wants_to_see(&mut self, now: Timestamp) -> bool {
        let due = now - self.spoke >= SPEAK;
        if due {
            self.spoke = now;
        }
        due
    }

    // Time.

    /// When `tick` is due at the latest.
    pub fn due(&self) -> Timestamp {
        let agreement = self.agreement.as_ref().map(Agreement::due);
        let leads = self.led.then(|| self.reviewed + REVIEW);
        [Some(self.members.due()), agreement, leads, Some(self.spoke + SPEAK)]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or_default()
    }

    pub fn tick(&mut self, now: Timestamp) {
        self.members.tick(now);
        let rows = std::mem::take(&mut self.rows);
        self.follow.tick(now, &rows);
        self.rows = rows;
        if let Some(agreement) = &mut self.agreement {
            agreement.tick(now);
        }
        if now - self.reviewed >= REVIEW {
            self.reviewed = now;
            self.lead(now);
        }
        if self.follow.looks(now) && now - self.asked_at >= ASK {
            self.asked_at = now;
            self.look();
        }
        self.settle(now);
        let standing = self.follow.standing(now);
        if standing != self.standing {
            self.standing = standing;
            self.events.push(Event::Standing(standing));
        }
    }

    fn look(&mut self) {
        // By turns: seats know first, but members answer where no seat is reached.
        let members: Vec<SocketAddr> = self.members.there().map(|p| p.address).collect();
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
            self.say(address, &Said::Look(nonce));
        }
    }

    fn lead(&mut self, now: Timestamp) {
        let Some(agreement) = &self.agreement else { return };
        let leads = agreement.leads();
        if leads != self.led {
            self.led = leads;
            self.proposed = None;
            self.events.push(Event::Leads(leads));
            if leads {
                self.book.leads(now);
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
            self.members.spread(BEATS, rank, &body);
            self.heard_beat(now, rank, current.number);
        }
        // One proposal at a time: what follows from the evidence is made from what stands.
        if self.proposed.is_some_and(|(base, at)| base == current.number && now - at < AGREED_WITHIN) {
            return;
        }
        let matrix = self.words.join(now);
        let mut next = None;
        if let Some(first) = self.orders.front_mut() {
            match self.book.order(&matrix, &current, first.order) {
                Ok(decision) => {
                    first.proposed = Some((decision.cause, decision.zone));
                    next = Some(decision);
                }
                Err(why) => {
                    let refused = *first;
                    self.tell(refused, Answer::Refused(why));
                }
            }
        }
        let Some(next) = next.or_else(|| self.book.next(now, &matrix, &current)) else { return };
        let zone = usize::from(next.zone);
        self.events.push(Event::Proposed {
            cause: next.cause,
            zone: next.zone,
            finding: matrix.finding(zone),
            speakers: matrix.speakers(zone),
            voters,
        });
        self.proposed = Some((current.number, now));
        if let Some(agreement) = &mut self.agreement {
            agreement.propose(current.number, next);
        }
    }

    // Operators.

    /// Each voter is told by itself: there may be no majority to agree on it. A voter that knows a leader refuses.
    fn stay_away(&mut self, seats: &[u8]) -> Answer {
        let own = self.seats.iter().position(|s| *s == self.own.address);
        let refused = |why: &str| Answer::Refused(why.to_string());
        let Some(agreement) = &mut self.agreement else { return refused("this copy is no voter") };
        let named: Vec<usize> = seats.iter().map(|s| usize::from(*s)).collect();
        if named.iter().any(|s| *s >= self.seats.len() || Some(*s) == own) {
            return refused("it names this voter itself, or a seat that there is not");
        }
        if !named.is_empty() && agreement.has_leader() {
            return refused("the voters have a leader: nothing needs to begin anew");
        }
        agreement.stay_away(named);
        Answer::Done(self.follow.decision().map_or(0, |d| d.number))
    }

    fn asked(&mut self, now: Timestamp, from: SocketAddr, ticket: u64, order: Option<Order>) {
        let known = self.answers.iter().find(|a| a.0 == ticket).map(|a| a.1.clone());
        if let Some(answer) = known {
            return self.say(from, &Said::Told { ticket, answer });
        }
        let Some(order) = order else {
            let answer = Answer::Shown(self.shown(now));
            return self.say(from, &Said::Told { ticket, answer });
        };
        if self.orders.iter().any(|o| o.ticket == ticket) {
            return;
        }
        if !self.led {
            let leader = self.agreement.as_ref().and_then(Agreement::leader).map(|s| s as u8);
            return self.say(from, &Said::Told { ticket, answer: Answer::NotLeading(leader) });
        }
        if self.orders.len() >= MOST_ORDERS {
            let answer = Answer::Refused("too many orders wait for the voters".to_string());
            return self.say(from, &Said::Told { ticket, answer });
        }
        self.orders.push_back(Ordered { ticket, from, order, since: now, proposed: None });
    }

    fn tell(&mut self, ordered: Ordered, answer: Answer) {
        let Ordered { ticket, from, order, .. } = ordered;
        self.orders.retain(|o| o.ticket != ticket);
        self.answers.push_back((ticket, answer.clone()));
        if self.answers.len() > MOST_ORDERS {
            self.answers.pop_front();
        }
        self.events.push(Event::Order(order, answer.clone()));
        self.say(from, &Said::Told { ticket, answer });
    }

    pub fn shown(&mut self, now: Timestamp) -> Shown {
        let matrix = self.words.join(now);
        let of = |zone: usize| {
            let finding = format!("{:?}", matrix.finding(zone));
            (finding, matrix.speakers(zone) as u16, matrix.well(zone).round() as u16)
        };
        let agreement = self.agreement.as_ref();
        Shown {
            decision: self.follow.decision().cloned(),
            standing: self.follow.standing(now).name().to_string(),
            shares: self.follow.plan(now).shares,
            evidence: if agreement.is_some() { (0..matrix.zones()).map(of).collect() } else { Vec::new() },
            leader: agreement.and_then(Agreement::leader).map(|s| s as u8),
            voters_heard: agreement.map_or(0, |a| a.voters_heard(now) as u8),
            members: self.members.there().count() as u16 + 1,
        }
    }

    // Passing on.

    /// Whether the voter's words may go out and be acted on. Guards against one given and then forgotten.
    fn is_free(&self) -> bool {
        let changed = self.agreement.as_ref().is_some_and(Agreement::has_changed);
        !self.keeps || !self.owes && !changed
    }

    fn settle(&mut self, now: Timestamp) {
        for news in self.members.take_news() {
            self.events.push(Event::Member(news));
        }
        for (topic, body) in self.members.take_rumours() {
            match topic {
                DECISION => match postcard::from_bytes::<Decision>(&body) {
                    Ok(decision) => self.takes(now, decision),
                    Err(_) => self.events.push(Event::Unread),
                },
                BEATS => match postcard::from_bytes::<((u64, u64), u64)>(&body) {
                    Ok((rank, number)) => self.heard_beat(now, rank, number),
                    Err(_) => self.events.push(Event::Unread),
                },
                _ => self.events.push(Event::Unread),
            }
        }
        let free = self.is_free();
        let decided =
            self.agreement.as_mut().filter(|_| free).map(Agreement::take_decided).unwrap_or_default();
        for decision in decided {
            let done = self.orders.iter().find(|o| o.proposed == Some((decision.cause, decision.zone)));
            if let Some(&done) = done {
                self.tell(done, Answer::Done(decision.number));
            }
            self.takes(now, decision);
        }
        let over: Vec<Ordered> =
            self.orders.iter().filter(|o| now - o.since >= ORDER_TIME).copied().collect();
        for ordered in over {
            self.tell(ordered, Answer::Refused("the voters did not agree in time".to_string()));
        }
        // Asked anew: what was taken above may have changed it.
        let free = self.is_free();
        let voters = self.agreement.as_mut().filter(|_| free).map(Agreement::take_out).unwrap_or_default();
        for (seat, out) in voters {
            let to = self.seats[seat];
            match out {
                Out::Agree(generation, bytes) => {
                    let body = [&generation.to_be_bytes()[..], &bytes].concat();
                    self.seal(to, Kind::Agree, &body);
                }
                Out::Word(word) => self.say(to, &Said::Voter(word)),
            }
        }
        for (to, body) in self.members.take_sent() {
            self.seal(to, Kind::Gossip, &body);
        }
    }

    fn say(&mut self, to: SocketAddr, said: &Said) {
        if let Ok(body) = postcard::to_allocvec(said) {
            self.seal(to, Kind::Word, &body);
        }
    }

    fn seal(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) {
        if let Some(sealed) = self.sealer.seal(to, kind, body) {
            self.sent = (self.sent.0 + sealed.len() as u64, self.sent.1 + 1);
            self.out.push((to, sealed));
        }
    }

    /// Says goodbye to the others.
    pub fn leave(&mut self, now: Timestamp, how: Gone) {
        self.members.leave(now, how);
        for (to, body) in self.members.take_sent() {
            self.seal(to, Kind::Gossip, &body);
        }
    }

    pub fn take_out(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn plan(&self, now: Timestamp) -> Plan {
        self.follow.plan(now)
    }

    /// Number of the decision that it goes by; 0 without one.
    pub fn number(&self) -> u64 {
        self.follow.decision().map_or(0, |d| d.number)
    }

    /// Members that another copy, or who set this up, knew of.
    pub fn learn(&mut self, now: Timestamp, peers: impl Iterator<Item = Peer>) {
        self.members.learn(now, peers);
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether this copy is among those that speak for their zone.
    pub fn speaks(&self) -> bool {
        self.speaks.2
    }

    pub fn leads(&self) -> bool {
        self.led
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn older_left(&self) -> u64 {
        self.follow.older
    }
}

/// One operator's command, from outside the copies: seals the question and opens the answer.
pub struct Command {
    sealer: Sealer,
    opener: Opener,
    ticket: u64,
}

impl Command {
    /// `own`: where answers come; `started` tells it apart from commands before it.
    pub fn new(key: [u8; 32], own: SocketAddr, started: u64) -> Command {
        let ticket = started.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(own.port());
        Command { sealer: Sealer::new(key, own, started), opener: Opener::new(key, own), ticket }
    }

    /// The same each time: whoever has heard it answers as before.
    pub fn ask(&mut self, to: SocketAddr, order: Option<Order>) -> Option<Vec<u8>> {
        let said = postcard::to_allocvec(&Said::Ask { ticket: self.ticket, order }).ok()?;
        self.sealer.seal(to, Kind::Word, &said)
    }

    /// Asks which copies are there, from after that address on.
    pub fn who(&mut self, to: SocketAddr, after: Option<SocketAddr>) -> Option<Vec<u8>> {
        let said = postcard::to_allocvec(&Said::Who { ticket: self.ticket, after }).ok()?;
        self.sealer.seal(to, Kind::Word, &said)
    }

    /// Tells one voter which seats stay away for good.
    pub fn stay_away(&mut self, to: SocketAddr, seats: Vec<u8>) -> Option<Vec<u8>> {
        let said = postcard::to_allocvec(&Said::StayAway { ticket: self.ticket, seats }).ok()?;
        self.sealer.seal(to, Kind::Word, &said)
    }

    /// The answer and whose it is, or nothing that answers this command.
    pub fn answer(&mut self, datagram: &[u8]) -> Option<(SocketAddr, Answer)> {
        let opened = self.opener.open(datagram).ok()?;
        match postcard::from_bytes(opened.body).ok()? {
            Said::Told { ticket, answer } if ticket == self.ticket => Some((opened.from, answer)),
            _ => None,
        }
    }
}

#[cfg(test)]
mod stored_forms;
