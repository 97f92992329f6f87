//! Broadcasts sent by gossip.

use pipitcrank_membership::members::{BroadcastRank, Members, TopicMessage};

use crate::decision::Decision;
use crate::follower::LeaderHeartbeat;

/// Topic of the newest decision.
pub(super) const DECISION_TOPIC: u8 = 0;
/// Topic of the newest heartbeat of a leader.
pub(super) const HEARTBEAT_TOPIC: u8 = 1;

/// Decoded broadcast.
pub(super) enum Broadcast {
    Decision(Decision),
    Heartbeat(LeaderHeartbeat),
}

/// Decodes a broadcast; returns `None` for an unknown topic or an undecodable body.
pub(super) fn decode(message: &TopicMessage) -> Option<Broadcast> {
    match message.topic {
        DECISION_TOPIC => postcard::from_bytes(&message.body).ok().map(Broadcast::Decision),
        HEARTBEAT_TOPIC => postcard::from_bytes(&message.body).ok().map(Broadcast::Heartbeat),
        _ => None,
    }
}

pub(super) fn broadcast_decision(members: &mut Members, decision: &Decision) -> postcard::Result<()> {
    let body = postcard::to_allocvec(decision)?;
    members.broadcast(DECISION_TOPIC, BroadcastRank { major: decision.number, minor: 0 }, &body);
    Ok(())
}

pub(super) fn broadcast_heartbeat(members: &mut Members, heartbeat: &LeaderHeartbeat) {
    let body = postcard::to_allocvec(heartbeat).unwrap_or_default();
    let rank = BroadcastRank { major: heartbeat.rank.term, minor: heartbeat.rank.count };
    members.broadcast(HEARTBEAT_TOPIC, rank, &body);
}
