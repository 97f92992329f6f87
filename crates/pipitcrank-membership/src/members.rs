//! Live nodes: SWIM as implemented by `foca` (suspicion, incarnations, indirect probes), driven by datagrams
//! and times that the caller passes in. This module adds departures, which distinguish a member that shut
//! down from one that died, and broadcasts, of which the newest per topic is disseminated.
//!
//! The traffic of a node does not depend on the size of the fleet. A node sends one probe each
//! `PROBE_INTERVAL` and receives its answer, plus at most `INDIRECT_PROBES` further ones if there is no
//! answer, and gossips to `GOSSIP_FANOUT` members each `GOSSIP_INTERVAL` while there is anything new. The
//! number of times that an update is passed on grows with the logarithm of the fleet's size.

mod broadcasts;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, Timer};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::broadcasts::{Broadcast, SharedBroadcastLog};
pub use self::broadcasts::{BroadcastRank, Departure, TopicMessage};
use crate::envelope::MAX_BODY_BYTES;
use crate::peer::Peer;

/// Interval between probes by one node.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit for the answer to a probe, after which other members are requested to probe. It covers several
/// round trips between regions, so that a short pause causes no indirect probes.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(150);
const INDIRECT_PROBES: usize = 3;
/// Time to refute a suspicion; longer than the pauses seen in production.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which dead members are remembered and rejected under the same identity.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(60);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const GOSSIP_FANOUT: usize = 3;
/// Number of times that an update is passed on: the logarithm of 3,000 nodes at this fanout, doubled to allow
/// for loss.
const MAX_TRANSMISSIONS: u8 = 14;
/// Interval between announcements to a live member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between announcements to dead members; a healed partition is detected within a few of these.
const DEAD_MEMBER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);
const DEAD_MEMBERS_PER_ANNOUNCE: usize = 2;
/// Interval between rounds of announcements to seeds that are not members.
const SEED_ANNOUNCE_INTERVAL: TimeSpan = TimeSpan::from_millis(1000);
/// Number of seeds per round, in rotation. One seed that answers lists all other nodes, and a thousand nodes
/// that start at once must not send a thousand announcements each.
const SEEDS_PER_ANNOUNCE: usize = 8;
/// Longest broadcast message in bytes: it fits beside foca's own data.
pub const MAX_BROADCAST_BYTES: usize = 900;

/// A change of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member joined.
    Up(Peer),
    /// A member departed.
    Down(Peer, Departure),
    /// Other members considered this node dead; it refuted that under a new identity.
    Refuted(Peer),
}

/// Gossip that is ready to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingGossip {
    /// Receiver of the gossip.
    pub to: SocketAddr,
    /// Body to be sealed.
    pub body: Vec<u8>,
}

fn config() -> Config {
    let every = |frequency, members| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency, num_members })
    };
    Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_ROUND_TRIP,
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: Some(DEAD_MEMBER_RETENTION),
        max_packet_size: NonZeroUsize::new(MAX_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: every(ANNOUNCE_INTERVAL, 1),
        periodic_announce_to_down_members: every(DEAD_MEMBER_ANNOUNCE_INTERVAL, DEAD_MEMBERS_PER_ANNOUNCE),
        periodic_gossip: every(GOSSIP_INTERVAL, GOSSIP_FANOUT),
    }
}

/// Membership as seen by this node.
pub struct Members {
    foca: Foca<Peer, foca::PostcardCodec, Pcg64Mcg, SharedBroadcastLog>,
    broadcast_log: SharedBroadcastLog,
    runtime: AccumulatingRuntime<Peer>,
    /// Timers of foca by time and order; removed when they fire.
    timers: BTreeMap<(Timestamp, u64), Timer<Peer>>,
    next_timer: u64,
    /// Addresses of the peers in the operators' file.
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    next_seed_announce: Timestamp,
    events: Vec<MembershipEvent>,
    outgoing: Vec<OutgoingGossip>,
    /// Number of times that members joined or departed.
    pub membership_changes: u64,
    /// Number of gossip messages that foca rejected because of a fault of the sender.
    pub undecodable: u64,
}

impl Members {
    /// Creates the membership of node `own`. `seeds` are the nodes to contact first; the node's own address
    /// among them is ignored.
    pub fn new(own: Peer, seeds: &[SocketAddr], seed: u64) -> Members {
        let seeds: Vec<SocketAddr> = seeds.iter().copied().filter(|a| *a != own.address).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let broadcast_log = SharedBroadcastLog::default();
        let foca =
            Foca::with_custom_broadcast(own, config(), rng, foca::PostcardCodec, broadcast_log.clone());
        Members {
            foca,
            broadcast_log,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            next_seed: seed as usize % seeds.len().max(1),
            seeds,
            next_seed_announce: Timestamp::from_micros(i64::MIN),
            events: Vec::new(),
            outgoing: Vec::new(),
            membership_changes: 0,
            undecodable: 0,
        }
    }

    /// This node.
    pub fn own(&self) -> &Peer {
        self.foca.identity()
    }

    /// Other members that are not declared dead, including suspects.
    pub fn live_members(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// Number of live members in a zone, this node included.
    pub fn count_in_zone(&self, zone: u16) -> usize {
        let others = self.live_members().filter(|peer| peer.zone == zone).count();
        others + usize::from(self.own().zone == zone)
    }

    /// Handles the body of a gossip datagram.
    pub fn handle_gossip(&mut self, now: Timestamp, body: &[u8]) {
        if self.foca.handle_data(body, &mut self.runtime).is_err() {
            self.undecodable += 1;
        }
        self.drain_runtime(now);
    }

    /// Time at which `tick` is due.
    pub fn next_deadline(&self) -> Timestamp {
        let first_timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        first_timer.map_or(self.next_seed_announce, |at| at.min(self.next_seed_announce))
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Timestamp) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            if self.foca.handle_timer(timer, &mut self.runtime).is_err() {
                self.undecodable += 1;
            }
            self.drain_runtime(now);
        }
        if now >= self.next_seed_announce {
            self.next_seed_announce = now + SEED_ANNOUNCE_INTERVAL;
            self.announce_to_seeds();
            self.drain_runtime(now);
        }
    }

    fn announce_to_seeds(&mut self) {
        let live: BTreeSet<SocketAddr> = self.live_members().map(|peer| peer.address).collect();
        let (before, after) = self.seeds.split_at(self.next_seed.min(self.seeds.len()));
        let missing = after.iter().chain(before).copied().filter(|address| !live.contains(address));
        let missing: Vec<SocketAddr> = missing.take(SEEDS_PER_ANNOUNCE).collect();
        let last = missing.last().and_then(|last| self.seeds.iter().position(|address| address == last));
        self.next_seed = last.map_or(0, |last| last + 1);
        for address in missing {
            // An announcement is accepted by any process at the address.
            let _ = self.foca.announce(Peer { address, instance: 0, zone: 0 }, &mut self.runtime);
        }
    }

    /// Broadcasts a message to all members. Of one topic, only the message of the highest rank is
    /// disseminated. A message longer than [`MAX_BROADCAST_BYTES`] is not sent.
    pub fn broadcast(&mut self, topic: u8, rank: BroadcastRank, body: &[u8]) {
        if body.len() > MAX_BROADCAST_BYTES {
            return;
        }
        if let Ok(data) = postcard::to_allocvec(&Broadcast::Topic { topic, rank, body: body.to_vec() }) {
            let _ = self.foca.add_broadcast(&data);
        }
    }

    /// Adds members recorded by another node. They are probed like any other members and cause no event.
    pub fn add_known_members(&mut self, now: Timestamp, peers: impl Iterator<Item = Peer>) {
        let own = self.own().address;
        let others = peers.filter(|peer| peer.address != own).map(foca::Member::alive);
        if self.foca.apply_many(others, false, &mut self.runtime).is_err() {
            self.undecodable += 1;
        }
        self.drain_runtime(now);
    }

    /// Gossips at once instead of at the next interval.
    pub fn gossip_now(&mut self, now: Timestamp) {
        let _ = self.foca.gossip(&mut self.runtime);
        self.drain_runtime(now);
    }

    /// Announces the departure of this node. Nothing is sent afterwards except what `take_datagrams` still
    /// returns.
    pub fn leave(&mut self, now: Timestamp, departure: Departure) {
        let departed = Broadcast::Departed { peer: self.own().clone(), departure };
        if let Ok(data) = postcard::to_allocvec(&departed) {
            let _ = self.foca.add_broadcast(&data);
        }
        let _ = self.foca.broadcast(&mut self.runtime);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now);
        self.timers.clear();
    }

    /// Returns the membership changes since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the broadcasts received since the last call.
    pub fn take_broadcasts(&mut self) -> Vec<TopicMessage> {
        self.broadcast_log.take_received()
    }

    /// Returns the gossip to send.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingGossip> {
        std::mem::take(&mut self.outgoing)
    }

    fn drain_runtime(&mut self, now: Timestamp) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.outgoing.push(OutgoingGossip { to: to.address, body: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next_timer += 1;
            let at = now + TimeSpan::from_secs_f64(after.as_secs_f64());
            self.timers.insert((at, self.next_timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.membership_changes += 1;
            self.events.extend(self.membership_event(notification));
        }
    }

    fn membership_event(&self, notification: OwnedNotification<Peer>) -> Option<MembershipEvent> {
        match notification {
            OwnedNotification::MemberUp(peer) => Some(MembershipEvent::Up(peer)),
            OwnedNotification::MemberDown(peer) => {
                let departure = self.broadcast_log.departure_of(&peer);
                Some(MembershipEvent::Down(peer, departure))
            }
            OwnedNotification::Rejoin(peer) => Some(MembershipEvent::Refuted(peer)),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_forms;
