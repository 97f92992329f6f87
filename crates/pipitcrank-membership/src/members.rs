//! Who of the copies is there: SWIM as `foca` has it (suspicion, incarnations, indirect probes), fed datagrams and times and
//! asked what to send. What stands here beside the library: members that said goodbye are told apart from those that
//! died, and rumours, of which the newest of each topic goes round.
//!
//! Traffic of one copy, whatever the fleet's size: a probe each `PROBE` with its answer, at most `INDIRECT` more where it
//! is not answered; gossip to `FANOUT` members each `GOSSIP` while there is news; each news is passed on a number of times
//! that grows with the fleet's logarithm.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{
    AccumulatingRuntime, BroadcastHandler, Config, Foca, Invalidates, OwnedNotification, PeriodicParams,
    Timer,
};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::envelope::MAX_BODY_BYTES;
use crate::peer::Peer;

/// Each copy probes another so often, and waits so long before it asks others to: some round trips between regions, and
/// a copy stopped for a moment is not asked after by three.
const PROBE: Duration = Duration::from_millis(400);
const TRIP: Duration = Duration::from_millis(150);
const INDIRECT: usize = 3;
/// A suspect has so long to refute: longer than the pauses met in service, so that those kill nobody.
const SUSPECT: Duration = Duration::from_millis(1500);
/// The dead are remembered for so long, and not taken back under the name they died with.
const FORGET: Duration = Duration::from_secs(60);
const GOSSIP: Duration = Duration::from_millis(100);
const FANOUT: usize = 3;
/// Members held to be dead are asked again so often: a cut that healed is seen within some of these.
const ASK_DEAD: Duration = Duration::from_millis(1000);
/// Peers of the operators' file that are no members are asked so often, so many of them, by turns: one that answers
/// tells of all others. Guards against a thousand copies that start at once and ask a thousand each.
const ASK_NAMED: TimeSpan = TimeSpan::from_millis(1000);
const NAMED_AT_ONCE: usize = 8;
/// Longest word that goes round as a rumour: fits beside what foca itself says.
pub const MAX_BROADCAST_BYTES: usize = 900;
/// Goodbyes remembered.
const MOST_GOODBYES: usize = 4096;

/// How a member went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It was asked to end.
    Left,
    /// It hands over to another process of the same copy.
    Upgraded,
    /// It said nothing.
    Died,
}

/// What became of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    Up(Peer),
    Down(Peer, Departure),
    /// This copy was held to be dead and refuted it under a new instance.
    Refuted(Peer),
}

/// What goes round. Of one topic the highest rank replaces all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Rumour {
    Goodbye(Peer, Departure),
    Topic(u8, (u64, u64), Vec<u8>),
}

enum Key {
    Goodbye(Peer),
    Topic(u8, (u64, u64)),
}

impl Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        match (self, other) {
            (Key::Goodbye(a), Key::Goodbye(b)) => a == b,
            (Key::Topic(a, rank), Key::Topic(b, older)) => a == b && rank >= older,
            _ => false,
        }
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a rumour that can't be read")]
struct Unread;

#[derive(Default)]
struct Rumours {
    goodbyes: BTreeMap<SocketAddr, (u64, Departure)>,
    topics: BTreeMap<u8, (u64, u64)>,
    heard: VecDeque<(u8, Vec<u8>)>,
}

/// Topics there may be.
const MOST_TOPICS: u8 = 4;

/// foca keeps its handler to itself, so it is shared.
#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Rumours>>);

impl BroadcastHandler<Peer> for Shared {
    type Key = Key;
    type Error = Unread;

    fn receive_item(&mut self, data: &[u8], sender: Option<&Peer>) -> Result<Option<Key>, Unread> {
        self.0.borrow_mut().takes(data, sender.is_some())
    }
}

impl Rumours {
    fn takes(&mut self, data: &[u8], from_others: bool) -> Result<Option<Key>, Unread> {
        match postcard::from_bytes(data).map_err(|_| Unread)? {
            Rumour::Goodbye(peer, how) => {
                if self.goodbyes.get(&peer.address).is_some_and(|g| g.0 >= peer.instance) {
                    return Ok(None);
                }
                if self.goodbyes.len() >= MOST_GOODBYES {
                    self.goodbyes.pop_first();
                }
                self.goodbyes.insert(peer.address, (peer.instance, how));
                Ok(Some(Key::Goodbye(peer)))
            }
            Rumour::Topic(topic, ..) if topic >= MOST_TOPICS => Err(Unread),
            Rumour::Topic(topic, rank, body) => {
                if self.topics.get(&topic).is_some_and(|known| *known >= rank) {
                    return Ok(None);
                }
                self.topics.insert(topic, rank);
                if from_others {
                    self.heard.push_back((topic, body));
                }
                Ok(Some(Key::Topic(topic, rank)))
            }
        }
    }
}

fn config() -> Config {
    let every = |frequency, n| {
        Some(PeriodicParams { frequency, num_members: NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN) })
    };
    Config {
        probe_period: PROBE,
        probe_rtt: TRIP,
        num_indirect_probes: NonZeroUsize::new(INDIRECT).unwrap_or(NonZeroUsize::MIN),
        // Rounds that a rumour lives: the logarithm of 3,000 copies with this fanout, and as many again for loss.
        max_transmissions: NonZeroU8::new(14).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPECT,
        remove_down_after: Some(FORGET),
        max_packet_size: NonZeroUsize::new(MAX_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: every(Duration::from_secs(5), 1),
        periodic_announce_to_down_members: every(ASK_DEAD, 2),
        periodic_gossip: every(GOSSIP, FANOUT),
    }
}

pub struct Members {
    foca: Foca<Peer, foca::PostcardCodec, Pcg64Mcg, Shared>,
    rumours: Shared,
    runtime: AccumulatingRuntime<Peer>,
    /// What foca asked to be told later; each leaves when its time comes.
    timers: BTreeMap<(Timestamp, u64), Timer<Peer>>,
    next_timer: u64,
    /// Peers of the operators' file, and when they are asked next.
    named: Vec<SocketAddr>,
    next_named: usize,
    ask_named: Timestamp,
    news: Vec<MembershipEvent>,
    send: Vec<(SocketAddr, Vec<u8>)>,
    /// How often members came or went.
    pub membership_changes: u64,
    /// What foca did not take; the sender is at fault.
    pub undecodable: u64,
}

impl Members {
    /// `named`: addresses of copies to begin with; the own one among them is left.
    pub fn new(own: Peer, named: &[SocketAddr], seed: u64) -> Members {
        let named: Vec<SocketAddr> = named.iter().copied().filter(|a| *a != own.address).collect();
        let chance = Pcg64Mcg::seed_from_u64(seed);
        let rumours = Shared::default();
        let foca = Foca::with_custom_broadcast(own, config(), chance, foca::PostcardCodec, rumours.clone());
        Members {
            foca,
            rumours,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            next_named: seed as usize % named.len().max(1),
            named,
            ask_named: Timestamp::from_micros(i64::MIN),
            news: Vec::new(),
            send: Vec::new(),
            membership_changes: 0,
            undecodable: 0,
        }
    }

    pub fn own(&self) -> &Peer {
        self.foca.identity()
    }

    /// Other copies held to be there, suspects among them.
    pub fn live_members(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|m| m.id())
    }

    /// How many copies of that zone are there, this one counted.
    pub fn count_in_zone(&self, zone: u16) -> usize {
        self.live_members().filter(|p| p.zone == zone).count() + usize::from(self.own().zone == zone)
    }

    /// A body of gossip that came.
    pub fn handle_gossip(&mut self, now: Timestamp, body: &[u8]) {
        if self.foca.handle_data(body, &mut self.runtime).is_err() {
            self.undecodable += 1;
        }
        self.drain(now);
    }

    /// When `tick` is due.
    pub fn next_deadline(&self) -> Timestamp {
        self.timers.first_key_value().map_or(self.ask_named, |((at, _), _)| (*at).min(self.ask_named))
    }

    pub fn tick(&mut self, now: Timestamp) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            if self.foca.handle_timer(timer, &mut self.runtime).is_err() {
                self.undecodable += 1;
            }
            self.drain(now);
        }
        if now >= self.ask_named {
            self.ask_named = now + ASK_NAMED;
            let live_members: BTreeSet<SocketAddr> = self.live_members().map(|p| p.address).collect();
            let (before, after) = self.named.split_at(self.next_named.min(self.named.len()));
            let missing = after.iter().chain(before).copied().filter(|a| !live_members.contains(a));
            let missing: Vec<SocketAddr> = missing.take(NAMED_AT_ONCE).collect();
            let last = missing.last().and_then(|last| self.named.iter().position(|a| a == last));
            self.next_named = last.map_or(0, |last| last + 1);
            for address in missing {
                // Whoever is there now: an announcement is taken by any process at that address.
                let _ = self.foca.announce(Peer { address, instance: 0, zone: 0 }, &mut self.runtime);
            }
            self.drain(now);
        }
    }

    /// Has the word go round to all; of one topic the highest rank stays. A word too long goes nowhere.
    pub fn broadcast(&mut self, topic: u8, rank: (u64, u64), body: &[u8]) {
        if body.len() > MAX_BROADCAST_BYTES {
            return;
        }
        if let Ok(data) = postcard::to_allocvec(&Rumour::Topic(topic, rank, body.to_vec())) {
            let _ = self.foca.add_broadcast(&data);
        }
    }

    /// Members that another copy knew of: they are asked after as any, and are no news.
    pub fn add_known_members(&mut self, now: Timestamp, peers: impl Iterator<Item = Peer>) {
        let own = self.own().address;
        let others = peers.filter(|p| p.address != own).map(foca::Member::alive);
        if self.foca.apply_many(others, false, &mut self.runtime).is_err() {
            self.undecodable += 1;
        }
        self.drain(now);
    }

    /// Gossips at once, to as many as at any other time: whoever hears news first passes it on first.
    pub fn gossip_now(&mut self, now: Timestamp) {
        let _ = self.foca.gossip(&mut self.runtime);
        self.drain(now);
    }

    /// Says goodbye: nothing is sent after this but what `take_datagrams` still has.
    pub fn leave(&mut self, now: Timestamp, how: Departure) {
        if let Ok(data) = postcard::to_allocvec(&Rumour::Goodbye(self.own().clone(), how)) {
            let _ = self.foca.add_broadcast(&data);
        }
        let _ = self.foca.broadcast(&mut self.runtime);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain(now);
        self.timers.clear();
    }

    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.news)
    }

    /// Rumours that came, by topic.
    pub fn take_broadcasts(&mut self) -> Vec<(u8, Vec<u8>)> {
        self.rumours.0.borrow_mut().heard.drain(..).collect()
    }

    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.send)
    }

    fn drain(&mut self, now: Timestamp) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.send.push((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next_timer += 1;
            self.timers.insert((now + TimeSpan::from_secs_f64(after.as_secs_f64()), self.next_timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.membership_changes += 1;
            match notification {
                OwnedNotification::MemberUp(peer) => self.news.push(MembershipEvent::Up(peer)),
                OwnedNotification::MemberDown(peer) => {
                    let how = self.goodbye(&peer);
                    self.news.push(MembershipEvent::Down(peer, how));
                }
                OwnedNotification::Rejoin(peer) => self.news.push(MembershipEvent::Refuted(peer)),
                _ => {}
            }
        }
    }

    fn goodbye(&self, peer: &Peer) -> Departure {
        let rumours = self.rumours.0.borrow();
        let said = rumours.goodbyes.get(&peer.address);
        said.filter(|(instance, _)| *instance >= peer.instance).map_or(Departure::Died, |(_, how)| *how)
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_forms;
