//! Broadcasts carried by gossip in addition to membership: departures, and the newest message of each topic.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};

use crate::peer::Peer;

/// Largest number of departures kept.
const MAX_DEPARTURES: usize = 4096;
/// Number of topics; messages of higher topics are rejected.
const MAX_TOPICS: u8 = 4;

/// Kind of a member's departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// The member shut down.
    Left,
    /// The member handed over to another process of the same node.
    Upgraded,
    /// The member died without notice.
    Died,
}

/// Rank of a message: the message of the highest rank replaces all others of its topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BroadcastRank {
    /// Primary part of the rank.
    pub major: u64,
    /// Secondary part of the rank, compared if the primary parts are equal.
    pub minor: u64,
}

/// Message received by gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct TopicMessage {
    /// Topic of the message.
    pub topic: u8,
    /// Body of the message.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Broadcast {
    Departed { peer: Peer, departure: Departure },
    Topic { topic: u8, rank: BroadcastRank, body: Vec<u8> },
}

pub(super) enum BroadcastKey {
    Departed(Peer),
    Topic { topic: u8, rank: BroadcastRank },
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &BroadcastKey) -> bool {
        match (self, other) {
            (BroadcastKey::Departed(peer), BroadcastKey::Departed(other)) => peer == other,
            (
                BroadcastKey::Topic { topic, rank },
                BroadcastKey::Topic { topic: other_topic, rank: other_rank },
            ) => topic == other_topic && rank >= other_rank,
            _ => false,
        }
    }
}

/// Error for a broadcast that could not be decoded or has an unknown topic.
#[derive(Debug, thiserror::Error)]
#[error("a broadcast could not be decoded")]
pub(super) struct UndecodableBroadcast;

/// Departure of one process at an address.
struct DepartedInstance {
    instance: u64,
    departure: Departure,
}

#[derive(Default)]
struct BroadcastLog {
    departures: BTreeMap<SocketAddr, DepartedInstance>,
    topics: BTreeMap<u8, BroadcastRank>,
    received: VecDeque<TopicMessage>,
}

impl BroadcastLog {
    fn record(
        &mut self,
        data: &[u8],
        from_others: bool,
    ) -> Result<Option<BroadcastKey>, UndecodableBroadcast> {
        match postcard::from_bytes(data).map_err(|_| UndecodableBroadcast)? {
            Broadcast::Departed { peer, departure } => Ok(self.record_departure(peer, departure)),
            Broadcast::Topic { topic, .. } if topic >= MAX_TOPICS => Err(UndecodableBroadcast),
            Broadcast::Topic { topic, rank, body } => {
                if self.topics.get(&topic).is_some_and(|known| *known >= rank) {
                    return Ok(None);
                }
                self.topics.insert(topic, rank);
                if from_others {
                    self.received.push_back(TopicMessage { topic, body });
                }
                Ok(Some(BroadcastKey::Topic { topic, rank }))
            }
        }
    }

    fn record_departure(&mut self, peer: Peer, departure: Departure) -> Option<BroadcastKey> {
        if self.departures.get(&peer.address).is_some_and(|known| known.instance >= peer.instance) {
            return None;
        }
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.pop_first();
        }
        self.departures.insert(peer.address, DepartedInstance { instance: peer.instance, departure });
        Some(BroadcastKey::Departed(peer))
    }
}

/// Log shared with foca, which owns its broadcast handler.
#[derive(Clone, Default)]
pub(super) struct SharedBroadcastLog(Rc<RefCell<BroadcastLog>>);

impl SharedBroadcastLog {
    /// Returns the messages received since the last call, in order.
    pub(super) fn take_received(&self) -> Vec<TopicMessage> {
        self.0.borrow_mut().received.drain(..).collect()
    }

    /// Returns how a peer departed; a peer that gave no notice died.
    pub(super) fn departure_of(&self, peer: &Peer) -> Departure {
        let log = self.0.borrow();
        let known = log.departures.get(&peer.address).filter(|known| known.instance >= peer.instance);
        known.map_or(Departure::Died, |known| known.departure)
    }
}

impl BroadcastHandler<Peer> for SharedBroadcastLog {
    type Key = BroadcastKey;
    type Error = UndecodableBroadcast;

    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&Peer>,
    ) -> Result<Option<BroadcastKey>, UndecodableBroadcast> {
        self.0.borrow_mut().record(data, sender.is_some())
    }
}
