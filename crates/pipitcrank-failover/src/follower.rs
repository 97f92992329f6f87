//! What one node acts on: the newest decision it knows, never an older one; once it has not heard from the voters for long,
//! its own evidence within a fixed bound. No I/O, no clock.
//!
//! ```text
//! NoDecision  no decision heard yet: everything is routed locally and nothing is closed, as by a node that knows of no
//!             other. None older is accepted than the one that an earlier process of this node acted on; without a newer
//!             one it goes on from that after `RESTORE_AFTER`, Isolated
//! Resyncing   resumed after standing still: closed zones stay closed and nothing spills, until a heartbeat or for
//!             `RESYNC_TIMEOUT`
//! Following   heard from the voters within `FRESH_FOR`: the decision is acted on as it is
//! Holding     not heard from them for up to the hold time: the decision is acted on as it is
//! Isolated    for longer: from that decision, at most `MAX_ISOLATED_SHIFT` of a zone's fraction is moved by own evidence
//! ```

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{HEALTHY_FRACTION, ReplicaCounts, UNHEALTHY_FRACTION};
use serde::{Deserialize, Serialize};

use crate::constants::DISTANT_PAST;
use crate::decision::{Decision, FULL_PERMILLE};
use crate::routing_table::{Proximity, RoutingTable, ZoneFraction};

/// For how long a heartbeat counts: they come twice a second and take some rounds of gossip; three may be lost.
const FRESH_FOR: TimeSpan = TimeSpan::from_millis(2500);
/// A longer gap between two ticks means that this process stood still: many ticks, and shorter than any time in which much
/// is decided.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(1000);
/// For how long a resumed node waits for a heartbeat before it goes on with what it has.
const RESYNC_TIMEOUT: TimeSpan = TimeSpan::from_millis(2000);
/// For how long own evidence must hold before an isolated node acts on it: longer than the common decision takes.
const OWN_EVIDENCE_AFTER: TimeSpan = TimeSpan::from_millis(3000);
/// For how long a restarted node waits for the current decision before it goes on from the restored one: voters that lost
/// all their memory found a new group in less.
const RESTORE_AFTER: TimeSpan = TimeSpan::from_millis(4000);
/// Thousandths of a zone's fraction that an isolated node moves at most, away or back.
pub const MAX_ISOLATED_SHIFT: u16 = 500;

/// How a node stands to the current decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionStatus {
    /// It knows of no decision.
    NoDecision,
    /// It resumed after standing still, and does not know what it missed.
    Resyncing,
    /// It has heard from the voters lately.
    Following,
    /// It has not heard from the voters, within the hold time.
    Holding,
    /// It has not heard from the voters for longer.
    Isolated,
}

impl DecisionStatus {
    /// As it is shown to operators, counted and written to logs.
    pub fn name(self) -> &'static str {
        match self {
            DecisionStatus::NoDecision => "blind",
            DecisionStatus::Resyncing => "looking",
            DecisionStatus::Following => "following",
            DecisionStatus::Holding => "holding",
            DecisionStatus::Isolated => "alone",
        }
    }
}

/// The order of the heartbeats of all leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeartbeatRank {
    /// Generation and term of the leader.
    pub term: u64,
    /// Counts the heartbeats of one leader.
    pub count: u64,
}

/// What the leader of the voters says while it leads: the decision of this number is the current one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Its place among all heartbeats.
    pub rank: HeartbeatRank,
    /// The number of the current decision.
    pub decision_number: u64,
}

/// What is done with this node's queries.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// The decision that it follows from; 0 where there is none.
    pub decision_number: u64,
    /// Fractions of the queries routed to each zone, the nearest zone first.
    pub fractions: Vec<ZoneFraction>,
    /// Zones to which nothing is routed.
    pub closed_zones: Vec<u16>,
    /// Thousandths of the queries that nobody can answer.
    pub shed: u16,
}

/// A decision of an earlier process of this node.
struct RestoredDecision {
    decision: Decision,
    restored_at: Timestamp,
}

/// Since when this node's own evidence on a zone has been as it is.
#[derive(Clone, Copy, Default)]
struct OwnEvidence {
    unhealthy_since: Option<Timestamp>,
    healthy_since: Option<Timestamp>,
}

/// Keeps the newest decision, and derives the routing plan from it.
pub struct DecisionFollower {
    zone: usize,
    proximity: Proximity,
    hold: TimeSpan,
    dry_run: bool,
    decision: Option<Decision>,
    restored: Option<RestoredDecision>,
    /// The newest heartbeat.
    heartbeat: LeaderHeartbeat,
    /// When the newest heartbeat that confirms the decision was heard.
    confirmed_at: Timestamp,
    /// A heartbeat named a decision that is newer than the one held.
    missed_decision: bool,
    ticked_at: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
    /// By zone.
    own_evidence: Vec<OwnEvidence>,
    /// Decisions received that were older than the one held.
    pub stale_decisions: u64,
}

impl DecisionFollower {
    /// `zone`: this node's own; `hold`: for how long a decision is acted on as it is without a heartbeat; `dry_run`:
    /// decisions are followed and logged, and nothing is routed by them.
    pub fn new(
        zone: u16,
        zone_count: usize,
        proximity: Proximity,
        hold: TimeSpan,
        dry_run: bool,
    ) -> DecisionFollower {
        DecisionFollower {
            zone: usize::from(zone),
            proximity,
            hold,
            dry_run,
            decision: None,
            restored: None,
            heartbeat: LeaderHeartbeat::default(),
            confirmed_at: DISTANT_PAST,
            missed_decision: false,
            ticked_at: None,
            resumed_at: None,
            own_evidence: vec![OwnEvidence::default(); zone_count],
            stale_decisions: 0,
        }
    }

    fn zone_count(&self) -> usize {
        self.own_evidence.len()
    }

    /// The newest decision it knows.
    pub fn decision(&self) -> Option<&Decision> {
        self.decision.as_ref()
    }

    /// Restores the decision that an earlier process of this node acted on last. It is not acted on at first: newer ones may
    /// have been missed.
    pub fn restore(&mut self, now: Timestamp, decision: Decision) {
        if decision.is_valid(self.zone_count()) {
            self.restored = Some(RestoredDecision { decision, restored_at: now });
        }
    }

    /// The newest heartbeat heard.
    pub fn heartbeat(&self) -> LeaderHeartbeat {
        self.heartbeat
    }

    /// How long ago the newest confirming heartbeat was first heard, here or by the node that passed it on.
    pub fn heartbeat_age(&self, now: Timestamp) -> TimeSpan {
        now - self.confirmed_at
    }

    /// Handles a decision from anywhere; whether it was accepted.
    pub fn handle_decision(&mut self, now: Timestamp, decision: Decision) -> bool {
        // Nodes that restart together must not accept the decision of whoever missed most.
        let before_restored =
            self.restored.as_ref().is_some_and(|restored| decision.number < restored.decision.number);
        let newer = self.decision.as_ref().is_none_or(|held| decision.number > held.number);
        if before_restored || !newer {
            self.stale_decisions += 1;
            return false;
        }
        if !decision.is_valid(self.zone_count()) {
            return false;
        }
        self.missed_decision = false;
        if self.decision.is_none() && self.heartbeat.rank == HeartbeatRank::default() {
            // The hold time begins with the first decision heard.
            self.confirmed_at = now - FRESH_FOR;
        }
        self.decision = Some(decision);
        true
    }

    /// Handles a heartbeat that was first heard at that time, here or by the node that passed it on. One that is not newer
    /// than the newest says nothing.
    pub fn handle_heartbeat(&mut self, heard_at: Timestamp, heartbeat: LeaderHeartbeat) {
        if heartbeat.rank <= self.heartbeat.rank {
            return;
        }
        self.heartbeat = heartbeat;
        let confirms = self.decision.as_ref().is_some_and(|held| held.number >= heartbeat.decision_number);
        self.missed_decision = !confirms;
        if confirms {
            self.confirmed_at = self.confirmed_at.max(heard_at);
            self.resumed_at = None;
        }
    }

    /// Passes time, with what this node itself observes of each zone.
    pub fn tick(&mut self, now: Timestamp, replica_counts: &[ReplicaCounts]) {
        if self.ticked_at.is_some_and(|ticked_at| now - ticked_at > STALL_THRESHOLD) {
            self.resumed_at = Some(now);
            self.own_evidence.fill(OwnEvidence::default());
        }
        self.ticked_at = Some(now);
        self.adopt_restored(now);
        for (evidence, counts) in self.own_evidence.iter_mut().zip(replica_counts) {
            let unhealthy = counts.unhealthy_fraction();
            let since = |holds: bool, since: Option<Timestamp>| holds.then(|| since.unwrap_or(now));
            evidence.unhealthy_since = since(
                unhealthy.is_some_and(|fraction| fraction >= UNHEALTHY_FRACTION),
                evidence.unhealthy_since,
            );
            evidence.healthy_since =
                since(unhealthy.is_some_and(|fraction| fraction <= HEALTHY_FRACTION), evidence.healthy_since);
        }
    }

    fn adopt_restored(&mut self, now: Timestamp) {
        let Some(restored) = self.restored.as_ref().filter(|_| self.decision.is_none()) else { return };
        if now - restored.restored_at >= RESTORE_AFTER {
            self.decision = Some(restored.decision.clone());
            // Its hold time has long passed.
            self.confirmed_at = now - FRESH_FOR - self.hold;
        }
    }

    /// Whether it should ask others for the current decision.
    pub fn should_query(&self, now: Timestamp) -> bool {
        self.missed_decision || self.status(now) != DecisionStatus::Following
    }

    /// How it stands to the current decision.
    pub fn status(&self, now: Timestamp) -> DecisionStatus {
        if self.decision.is_none() {
            return DecisionStatus::NoDecision;
        }
        if self.resumed_at.is_some_and(|resumed_at| now - resumed_at < RESYNC_TIMEOUT) {
            return DecisionStatus::Resyncing;
        }
        match self.heartbeat_age(now) {
            age if age <= FRESH_FOR => DecisionStatus::Following,
            age if age <= self.hold => DecisionStatus::Holding,
            _ => DecisionStatus::Isolated,
        }
    }

    /// What is done now. Own evidence counts only while the node is isolated.
    pub fn plan(&self, now: Timestamp) -> RoutingPlan {
        let Some(decision) = self.decision.as_ref().filter(|_| !self.dry_run) else {
            return self.local_plan();
        };
        let table = RoutingTable::new(decision, &self.proximity);
        let (mut row, mut shed) = (table.fractions[self.zone].clone(), table.shed[self.zone]);
        let mut closed_zones: Vec<u16> = (0..self.zone_count())
            .filter(|&to| !decision.allows(self.zone, to))
            .map(|to| to as u16)
            .collect();
        match self.status(now) {
            DecisionStatus::Resyncing if decision.allows(self.zone, self.zone) => {
                // What spilled before it stood still may be too much by now.
                row = vec![0; self.zone_count()];
                row[self.zone] = FULL_PERMILLE;
            }
            DecisionStatus::Isolated => {
                self.apply_own_evidence(now, &mut row, &mut closed_zones);
                // The demand elsewhere is no longer known.
                shed = if row.iter().any(|&permille| permille > 0) { 0 } else { shed };
            }
            _ => {}
        }
        RoutingPlan {
            decision_number: decision.number,
            fractions: self.nearest_first(&row),
            closed_zones,
            shed,
        }
    }

    /// Everything to the own zone.
    fn local_plan(&self) -> RoutingPlan {
        let own = ZoneFraction { zone: self.zone as u16, permille: FULL_PERMILLE };
        RoutingPlan { decision_number: 0, fractions: vec![own], closed_zones: Vec::new(), shed: 0 }
    }

    /// The zones that are routed to, and the own zone.
    fn nearest_first(&self, row: &[u16]) -> Vec<ZoneFraction> {
        let mut fractions: Vec<ZoneFraction> = row
            .iter()
            .enumerate()
            .map(|(zone, &permille)| ZoneFraction { zone: zone as u16, permille })
            .collect();
        fractions.sort_by_key(|f| (self.proximity.distance(self.zone, usize::from(f.zone)), f.zone));
        fractions.retain(|f| f.permille > 0 || usize::from(f.zone) == self.zone);
        fractions
    }

    fn apply_own_evidence(&self, now: Timestamp, row: &mut [u16], closed_zones: &mut Vec<u16>) {
        let lasting = |since: Option<Timestamp>| since.is_some_and(|since| now - since >= OWN_EVIDENCE_AFTER);
        let healthy: Vec<usize> =
            (0..row.len()).filter(|&zone| lasting(self.own_evidence[zone].healthy_since)).collect();
        // Where nothing was routed anywhere, the nearest healthy zone is tried again, with a bounded fraction.
        if row.iter().all(|&permille| permille == 0)
            && let Some(&nearest) =
                healthy.iter().min_by_key(|&&zone| (self.proximity.distance(self.zone, zone), zone))
        {
            row[nearest] = MAX_ISOLATED_SHIFT;
        }
        closed_zones.retain(|&zone| row[usize::from(zone)] == 0);
        for zone in 0..row.len() {
            if lasting(self.own_evidence[zone].unhealthy_since) && row[zone] > 0 {
                let targets = self.nearest_targets(&healthy, zone, closed_zones);
                shift_fraction(row, zone, &targets);
            }
        }
    }

    /// Of the healthy and open zones but one, those at the least distance.
    fn nearest_targets(&self, healthy: &[usize], without: usize, closed_zones: &[u16]) -> Vec<usize> {
        let open = |zone: &usize| *zone != without && !closed_zones.contains(&(*zone as u16));
        let distance = |zone: usize| self.proximity.distance(self.zone, zone);
        let candidates: Vec<usize> = healthy.iter().copied().filter(open).collect();
        let nearest = candidates.iter().map(|&zone| distance(zone)).min();
        candidates.into_iter().filter(|&zone| Some(distance(zone)) == nearest).collect()
    }
}

/// Moves the bounded part of a zone's fraction evenly to the targets.
fn shift_fraction(row: &mut [u16], from: usize, targets: &[usize]) {
    if targets.is_empty() {
        return;
    }
    let moved = (u32::from(row[from]) * u32::from(MAX_ISOLATED_SHIFT) / u32::from(FULL_PERMILLE)) as u16;
    let each = moved / targets.len() as u16;
    for &target in targets {
        row[target] += each;
        row[from] -= each;
    }
}

#[cfg(test)]
mod tests;
