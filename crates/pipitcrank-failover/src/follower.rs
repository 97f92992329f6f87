//! Selects what one node acts on: the newest decision that it has received, never an older one, and, after a
//! long time without heartbeats from the voters, its local evidence within a fixed bound. No I/O, no clock.
//!
//! ```text
//! NoDecision  no decision received yet: all queries stay local and no zone is closed. A decision older than the one
//!             restored from an earlier process is rejected; without a newer one the restored decision becomes
//!             current after `RESTORE_DELAY`, with status Isolated
//! Resyncing   the process was suspended: closed zones stay closed and nothing spills, until the next heartbeat, at
//!             most for `RESYNC_TIMEOUT`
//! Following   last heartbeat within `HEARTBEAT_LIFETIME`: the decision is applied unchanged
//! Holding     last heartbeat within the hold time: the decision is applied unchanged
//! Isolated    last heartbeat longer ago: the decision is applied, and local evidence moves at most
//!             `MAX_ISOLATED_SHIFT` of a zone's fraction
//! ```

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{HEALTHY_FRACTION, ReplicaCounts, UNHEALTHY_FRACTION};
use serde::{Deserialize, Serialize};

use crate::constants::DISTANT_PAST;
use crate::decision::{Decision, FULL_PERMILLE};
use crate::routing_table::{Proximity, RoutingTable, ZoneFraction};

/// Validity of a heartbeat. Heartbeats are sent twice a second and take a few rounds of gossip; three may be
/// lost.
const HEARTBEAT_LIFETIME: TimeSpan = TimeSpan::from_millis(2500);
/// Gap between two ticks above which the process is considered to have been suspended. The value spans many
/// ticks and is shorter than the time in which decisions usually change.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(1000);
/// Time for which a resumed node waits for a heartbeat before it applies its decision again in full.
const RESYNC_TIMEOUT: TimeSpan = TimeSpan::from_millis(2000);
/// Time for which local evidence must be unchanged before an isolated node acts on it; longer than a decision
/// of the voters takes.
const LOCAL_EVIDENCE_DELAY: TimeSpan = TimeSpan::from_millis(3000);
/// Time for which a restarted node waits for a current decision before it applies the restored one. Voters
/// that lost their state form a new group in less time.
const RESTORE_DELAY: TimeSpan = TimeSpan::from_millis(4000);
/// Largest part of a zone's fraction that an isolated node moves away or back, in thousandths.
pub const MAX_ISOLATED_SHIFT: u16 = 500;

/// Status of a node's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionStatus {
    /// The node has received no decision.
    NoDecision,
    /// The node was suspended and may have missed decisions.
    Resyncing,
    /// A recent heartbeat confirms the decision.
    Following,
    /// The last heartbeat is no longer recent, but within the hold time.
    Holding,
    /// The last heartbeat is older than the hold time.
    Isolated,
}

impl DecisionStatus {
    /// Name shown to operators, used in counters and written to logs.
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

/// Position of a heartbeat in the order of the heartbeats of all leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeartbeatRank {
    /// Generation and term of the leader.
    pub term: u64,
    /// Number of the heartbeat among those of one leader.
    pub count: u64,
}

/// Heartbeat of the voters' leader: confirms that the decision with this number is the current one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Position among all heartbeats.
    pub rank: HeartbeatRank,
    /// Number of the current decision.
    pub decision_number: u64,
}

/// Routing of this node's queries.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// Number of the decision behind this plan; 0 without a decision.
    pub decision_number: u64,
    /// Fraction of the queries for each zone, nearest zone first.
    pub fractions: Vec<ZoneFraction>,
    /// Zones that receive no queries.
    pub closed_zones: Vec<u16>,
    /// Fraction of the queries that no zone can answer, in thousandths.
    pub shed: u16,
}

/// Decision restored from an earlier process of this node.
struct RestoredDecision {
    decision: Decision,
    restored_at: Timestamp,
}

/// Start of the current period in which this node observes a zone as unhealthy or as healthy.
#[derive(Clone, Copy, Default)]
struct LocalEvidence {
    unhealthy_since: Option<Timestamp>,
    healthy_since: Option<Timestamp>,
}

/// Keeps the newest decision and derives the routing plan from it.
pub struct DecisionFollower {
    zone: usize,
    proximity: Proximity,
    hold: TimeSpan,
    dry_run: bool,
    decision: Option<Decision>,
    restored: Option<RestoredDecision>,
    /// Newest heartbeat received.
    heartbeat: LeaderHeartbeat,
    /// Time at which the newest confirming heartbeat was received, here or by the node that relayed it.
    confirmed_at: Timestamp,
    /// A heartbeat referred to a newer decision than the one held here.
    missed_decision: bool,
    last_tick_at: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
    /// Local evidence, by zone.
    local_evidence: Vec<LocalEvidence>,
    /// Number of decisions received that were older than the one held.
    pub stale_decisions: u64,
}

impl DecisionFollower {
    /// `zone` is this node's zone. A decision is applied unchanged for `hold` without a heartbeat. With
    /// `dry_run`, decisions are followed and logged, but queries are not routed by them.
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
            last_tick_at: None,
            resumed_at: None,
            local_evidence: vec![LocalEvidence::default(); zone_count],
            stale_decisions: 0,
        }
    }

    fn zone_count(&self) -> usize {
        self.local_evidence.len()
    }

    /// Newest decision received.
    pub fn decision(&self) -> Option<&Decision> {
        self.decision.as_ref()
    }

    /// Restores the decision that an earlier process of this node acted on last. It is not applied at once,
    /// since newer decisions may have been missed.
    pub fn restore(&mut self, now: Timestamp, decision: Decision) {
        if decision.is_valid(self.zone_count()) {
            self.restored = Some(RestoredDecision { decision, restored_at: now });
        }
    }

    /// Newest heartbeat received.
    pub fn heartbeat(&self) -> LeaderHeartbeat {
        self.heartbeat
    }

    /// Time since the newest confirming heartbeat was first received, here or by the node that relayed it.
    pub fn heartbeat_age(&self, now: Timestamp) -> TimeSpan {
        now - self.confirmed_at
    }

    /// Handles a decision from any source; returns whether it was accepted.
    pub fn handle_decision(&mut self, now: Timestamp, decision: Decision) -> bool {
        // Prevents nodes that restart together from accepting the decision of a node that missed later ones.
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
            // The hold time starts with the first decision received.
            self.confirmed_at = now - HEARTBEAT_LIFETIME;
        }
        self.decision = Some(decision);
        true
    }

    /// Handles a heartbeat that was first received at `received_at`, here or by the node that relayed it. A
    /// heartbeat that is not newer than the newest one is ignored.
    pub fn handle_heartbeat(&mut self, received_at: Timestamp, heartbeat: LeaderHeartbeat) {
        if heartbeat.rank <= self.heartbeat.rank {
            return;
        }
        self.heartbeat = heartbeat;
        let confirms = self.decision.as_ref().is_some_and(|held| held.number >= heartbeat.decision_number);
        self.missed_decision = !confirms;
        if confirms {
            self.confirmed_at = self.confirmed_at.max(received_at);
            self.resumed_at = None;
        }
    }

    /// Detects a suspension of this process since the last tick, and records this node's observations of
    /// each zone.
    pub fn tick(&mut self, now: Timestamp, replica_counts: &[ReplicaCounts]) {
        if self.last_tick_at.is_some_and(|last_tick_at| now - last_tick_at > STALL_THRESHOLD) {
            self.resumed_at = Some(now);
            self.local_evidence.fill(LocalEvidence::default());
        }
        self.last_tick_at = Some(now);
        self.adopt_restored(now);
        for (evidence, counts) in self.local_evidence.iter_mut().zip(replica_counts) {
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
        if now - restored.restored_at >= RESTORE_DELAY {
            self.decision = Some(restored.decision.clone());
            // The hold time of a restored decision is over.
            self.confirmed_at = now - HEARTBEAT_LIFETIME - self.hold;
        }
    }

    /// Whether the node should query others for the current decision.
    pub fn should_query(&self, now: Timestamp) -> bool {
        self.missed_decision || self.status(now) != DecisionStatus::Following
    }

    /// Status of this node's decision.
    pub fn status(&self, now: Timestamp) -> DecisionStatus {
        if self.decision.is_none() {
            return DecisionStatus::NoDecision;
        }
        if self.resumed_at.is_some_and(|resumed_at| now - resumed_at < RESYNC_TIMEOUT) {
            return DecisionStatus::Resyncing;
        }
        match self.heartbeat_age(now) {
            age if age <= HEARTBEAT_LIFETIME => DecisionStatus::Following,
            age if age <= self.hold => DecisionStatus::Holding,
            _ => DecisionStatus::Isolated,
        }
    }

    /// Returns the current routing plan. Local evidence counts only while the node is isolated.
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
                // The spill from before the suspension may be too large by now.
                row = vec![0; self.zone_count()];
                row[self.zone] = FULL_PERMILLE;
            }
            DecisionStatus::Isolated => {
                self.apply_local_evidence(now, &mut row, &mut closed_zones);
                // The demand of other zones is no longer known.
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

    /// Plan that routes all queries to the node's own zone.
    fn local_plan(&self) -> RoutingPlan {
        let own = ZoneFraction { zone: self.zone as u16, permille: FULL_PERMILLE };
        RoutingPlan { decision_number: 0, fractions: vec![own], closed_zones: Vec::new(), shed: 0 }
    }

    /// Zones with a fraction above 0, and the node's own zone, nearest first.
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

    fn apply_local_evidence(&self, now: Timestamp, row: &mut [u16], closed_zones: &mut Vec<u16>) {
        let lasting =
            |since: Option<Timestamp>| since.is_some_and(|since| now - since >= LOCAL_EVIDENCE_DELAY);
        let healthy: Vec<usize> =
            (0..row.len()).filter(|&zone| lasting(self.local_evidence[zone].healthy_since)).collect();
        // If the plan routes nothing at all, the nearest healthy zone receives a bounded fraction.
        if row.iter().all(|&permille| permille == 0)
            && let Some(&nearest) =
                healthy.iter().min_by_key(|&&zone| (self.proximity.distance(self.zone, zone), zone))
        {
            row[nearest] = MAX_ISOLATED_SHIFT;
        }
        closed_zones.retain(|&zone| row[usize::from(zone)] == 0);
        for zone in 0..row.len() {
            if lasting(self.local_evidence[zone].unhealthy_since) && row[zone] > 0 {
                let targets = self.nearest_targets(&healthy, zone, closed_zones);
                shift_fraction(row, zone, &targets);
            }
        }
    }

    /// Healthy and open zones other than `without` that share the least distance.
    fn nearest_targets(&self, healthy: &[usize], without: usize, closed_zones: &[u16]) -> Vec<usize> {
        let open = |zone: &usize| *zone != without && !closed_zones.contains(&(*zone as u16));
        let distance = |zone: usize| self.proximity.distance(self.zone, zone);
        let candidates: Vec<usize> = healthy.iter().copied().filter(open).collect();
        let nearest = candidates.iter().map(|&zone| distance(zone)).min();
        candidates.into_iter().filter(|&zone| Some(distance(zone)) == nearest).collect()
    }
}

/// Moves a bounded part of a zone's fraction evenly to the targets.
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
