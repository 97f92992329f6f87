//! Queries for the current decision: choice of their targets, and limits on the answers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::members::Members;
use pipitcrank_membership::peer::Peer;

use crate::constants::SPREADING_MULTIPLIER;

/// Interval between rounds of queries.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(300);
/// Number of voters queried in one round, in addition to one member.
const VOTERS_PER_ROUND: usize = 2;
/// Largest number of unanswered queries that are tracked: those of several rounds.
const MAX_AWAITED: usize = 8 * (VOTERS_PER_ROUND + 1);
/// Largest number of answers sent in one period, each a few hundred bytes. Nodes that restart together repeat
/// their queries to other nodes as well.
const MAX_ANSWERS_PER_PERIOD: u32 = 200;
const ANSWER_PERIOD: TimeSpan = TimeSpan::from_millis(1000);

/// Queries sent by this node, and answers sent to other nodes.
pub(super) struct DecisionQueries {
    queried_at: Timestamp,
    awaited: VecDeque<u64>,
    last_nonce: u64,
    period_start: Timestamp,
    answered_in_period: u32,
}

impl DecisionQueries {
    pub(super) fn new(now: Timestamp, distant_past: Timestamp, instance: u64) -> DecisionQueries {
        DecisionQueries {
            queried_at: distant_past,
            awaited: VecDeque::new(),
            // Answers are authenticated by the shared key, and only answers to recorded nonces are accepted.
            last_nonce: instance.wrapping_mul(SPREADING_MULTIPLIER),
            period_start: now,
            answered_in_period: 0,
        }
    }

    /// Starts a round of queries if one is due; returns whether it did.
    pub(super) fn begin_round_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.queried_at >= QUERY_INTERVAL;
        if is_due {
            self.queried_at = now;
        }
        is_due
    }

    /// Returns the targets of this round, in rotation. Voters hold the newest decision; members are queried
    /// for the case that no voter is reachable.
    pub(super) fn targets(&self, own: &Peer, voters: &[SocketAddr], members: &Members) -> Vec<SocketAddr> {
        let voters: Vec<SocketAddr> = voters.iter().copied().filter(|voter| *voter != own.address).collect();
        let members: Vec<SocketAddr> = members.live_members().map(|peer| peer.address).collect();
        let turn = self.last_nonce as usize;
        let nth =
            |addresses: &[SocketAddr], n: usize| addresses.get((turn + n) % addresses.len().max(1)).copied();
        let mut targets: Vec<SocketAddr> = (0..VOTERS_PER_ROUND).filter_map(|n| nth(&voters, n)).collect();
        targets.extend(nth(&members, 0));
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns the nonce for the next query.
    pub(super) fn next_nonce(&mut self) -> u64 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.awaited.push_back(self.last_nonce);
        if self.awaited.len() > MAX_AWAITED {
            self.awaited.pop_front();
        }
        self.last_nonce
    }

    /// Whether this is the first answer to a tracked query; a repeated answer may be outdated.
    pub(super) fn accept_answer(&mut self, nonce: u64) -> bool {
        let position = self.awaited.iter().position(|awaited| *awaited == nonce);
        position.and_then(|position| self.awaited.remove(position)).is_some()
    }

    /// Whether one more query may be answered in this period.
    pub(super) fn may_answer(&mut self, now: Timestamp) -> bool {
        if now - self.period_start >= ANSWER_PERIOD {
            (self.period_start, self.answered_in_period) = (now, 0);
        }
        let may_answer = self.answered_in_period < MAX_ANSWERS_PER_PERIOD;
        self.answered_in_period += u32::from(may_answer);
        may_answer
    }
}
