//! Queries for the current decision: which are sent, and how many are answered.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::members::Members;
use pipitcrank_membership::peer::Peer;

use crate::constants::SPREADING_MULTIPLIER;

/// Time between two rounds of queries.
const QUERY_INTERVAL: TimeSpan = TimeSpan::from_millis(300);
/// Voters queried in one round, beside one member.
const VOTERS_PER_ROUND: usize = 2;
/// Queries whose answers are awaited: some rounds.
const MAX_AWAITED: usize = 8 * (VOTERS_PER_ROUND + 1);
/// Answers given in one period; each has some hundred bytes. Nodes that restart together repeat their queries, to others too.
const MAX_ANSWERS_PER_PERIOD: u32 = 200;
const ANSWER_PERIOD: TimeSpan = TimeSpan::from_millis(1000);

/// Queries of this node, and answers to those of others.
pub(super) struct DecisionQueries {
    queried_at: Timestamp,
    awaited: VecDeque<u64>,
    last_nonce: u64,
    period_began: Timestamp,
    answered_in_period: u32,
}

impl DecisionQueries {
    pub(super) fn new(now: Timestamp, long_ago: Timestamp, instance: u64) -> DecisionQueries {
        DecisionQueries {
            queried_at: long_ago,
            awaited: VecDeque::new(),
            // Only holders of the key can answer, and only what they were asked.
            last_nonce: instance.wrapping_mul(SPREADING_MULTIPLIER),
            period_began: now,
            answered_in_period: 0,
        }
    }

    /// Begins a round of queries, if it is time for one.
    pub(super) fn begin_round_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.queried_at >= QUERY_INTERVAL;
        if is_due {
            self.queried_at = now;
        }
        is_due
    }

    /// Who is queried in this round, by turns: voters know first, but members answer where no voter is reached.
    pub(super) fn targets(&self, own: &Peer, voters: &[SocketAddr], members: &Members) -> Vec<SocketAddr> {
        let voters: Vec<SocketAddr> = voters.iter().copied().filter(|voter| *voter != own.address).collect();
        let members: Vec<SocketAddr> = members.live_members().map(|peer| peer.address).collect();
        let turn = self.last_nonce as usize;
        let pick =
            |addresses: &[SocketAddr], n: usize| addresses.get((turn + n) % addresses.len().max(1)).copied();
        let mut targets: Vec<SocketAddr> = (0..VOTERS_PER_ROUND).filter_map(|n| pick(&voters, n)).collect();
        targets.extend(pick(&members, 0));
        targets.sort();
        targets.dedup();
        targets
    }

    /// The nonce of another query.
    pub(super) fn next_nonce(&mut self) -> u64 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.awaited.push_back(self.last_nonce);
        if self.awaited.len() > MAX_AWAITED {
            self.awaited.pop_front();
        }
        self.last_nonce
    }

    /// Whether this is the first answer to an awaited query; a repeated one may be of long ago.
    pub(super) fn accept_answer(&mut self, nonce: u64) -> bool {
        let position = self.awaited.iter().position(|awaited| *awaited == nonce);
        position.and_then(|position| self.awaited.remove(position)).is_some()
    }

    /// Whether one more query may be answered.
    pub(super) fn may_answer(&mut self, now: Timestamp) -> bool {
        if now - self.period_began >= ANSWER_PERIOD {
            (self.period_began, self.answered_in_period) = (now, 0);
        }
        let may_answer = self.answered_in_period < MAX_ANSWERS_PER_PERIOD;
        self.answered_in_period += u32::from(may_answer);
        may_answer
    }
}
