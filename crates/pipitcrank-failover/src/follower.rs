//! What one copy acts on. The newest decision it knows, never an older one; where it has not heard for long that the voters
//! are there, its own evidence within a stated share. No I/O, no clock.
//!
//! ```text
//! Blind     no decision heard yet: all near, nothing shut, as a copy that knows nobody. None older is taken than the one
//!           that a process before it acted on; after `RECALL` without a word it goes on from that, Alone
//! Looking   just woken from standing still: what is shut stays shut, nothing is spilled, until news or `LOOK`
//! Following the voters were heard of within `FRESH`: the decision, to the letter
//! Holding   not heard of for up to `hold`: the decision as it stands, nothing new
//! Alone     for longer: from where it stands, at most `MAX_OWN_SHIFT` of a zone's share by own evidence
//! ```

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{HEALTHY_FRACTION, ReplicaCounts, UNHEALTHY_FRACTION};

use crate::decision::{Decision, FULL_PERMILLE};
use crate::routing_table::{Proximity, RoutingTable, ZoneFraction};

/// Beats come each half second and go round in some gossip: three may be lost.
const FRESH: TimeSpan = TimeSpan::from_millis(2500);
/// A gap of its own ticks beyond this means that it stood still: many ticks, and under any time in which much is decided.
const ASLEEP: TimeSpan = TimeSpan::from_millis(1000);
/// Woken, it looks for so long before it goes on with what it has.
const LOOK: TimeSpan = TimeSpan::from_millis(2000);
/// Own evidence has to stand for so long before a copy alone goes by it: longer than the common decision takes.
const STANDS: TimeSpan = TimeSpan::from_millis(3000);
/// A copy that came back waits so long for what stands before it goes on from what it remembers: voters that lost all found
/// a group anew in less.
const RECALL: TimeSpan = TimeSpan::from_millis(4000);
/// Of a zone's share, in thousandths, a copy alone moves at most so much, away or back.
pub const MAX_OWN_SHIFT: u16 = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionStatus {
    NoDecision,
    Resyncing,
    Following,
    Holding,
    Isolated,
}

impl DecisionStatus {
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

/// What is done with this copy's queries.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// The decision it is from; 0 where there is none.
    pub decision_number: u64,
    /// Fractions of the queries routed to each zone, the nearest zone first.
    pub fractions: Vec<ZoneFraction>,
    /// Nothing goes there.
    pub closed_zones: Vec<u16>,
    /// Thousandths that nobody can carry.
    pub shed: u16,
}

pub struct DecisionFollower {
    zone: usize,
    near: Proximity,
    hold: TimeSpan,
    dry: bool,
    decision: Option<Decision>,
    /// What a process before it acted on last, and when that was recalled.
    recalled: Option<(Decision, Timestamp)>,
    /// Rank of the newest beat heard, and when.
    heartbeat_rank: (u64, u64),
    fresh: Timestamp,
    behind: bool,
    ticked: Option<Timestamp>,
    woke: Option<Timestamp>,
    /// Since when own evidence has been against a zone, and for it.
    against: Vec<Option<Timestamp>>,
    well: Vec<Option<Timestamp>>,
    /// Decisions that came when a newer one was held.
    pub stale_decisions: u64,
}

impl DecisionFollower {
    /// `hold`: how long the last decision stands without a word of the voters. `dry`: decisions are followed and said, and
    /// nothing is moved.
    pub fn new(zone: u16, zones: usize, near: Proximity, hold: TimeSpan, dry: bool) -> DecisionFollower {
        DecisionFollower {
            zone: usize::from(zone),
            near,
            hold,
            dry,
            decision: None,
            recalled: None,
            heartbeat_rank: (0, 0),
            fresh: Timestamp::from_micros(i64::MIN / 4),
            behind: false,
            ticked: None,
            woke: None,
            against: vec![None; zones],
            well: vec![None; zones],
            stale_decisions: 0,
        }
    }

    pub fn decision(&self) -> Option<&Decision> {
        self.decision.as_ref()
    }

    /// What a process before this one acted on last. Nothing is done by it at first: it may have missed others since.
    pub fn restore(&mut self, now: Timestamp, decision: Decision) {
        if decision.is_valid(self.against.len()) {
            self.recalled = Some((decision, now));
        }
    }

    pub fn heartbeat_rank(&self) -> (u64, u64) {
        self.heartbeat_rank
    }

    /// How long ago the newest beat was heard by whoever heard it first here.
    pub fn heartbeat_age(&self, now: Timestamp) -> TimeSpan {
        now - self.fresh
    }

    /// A decision was heard, from wherever; whether it is taken.
    pub fn handle_decision(&mut self, now: Timestamp, decision: Decision) -> bool {
        // Guards against a herd that comes back and takes the word of whoever knows least.
        let before = self.recalled.as_ref().is_some_and(|(r, _)| decision.number < r.number);
        let newer = !before && self.decision.as_ref().is_none_or(|held| decision.number > held.number);
        if !newer || !decision.is_valid(self.against.len()) {
            self.stale_decisions += u64::from(!newer);
            return false;
        }
        self.behind = false;
        if self.decision.is_none() && self.heartbeat_rank == (0, 0) {
            // The time to hold begins with the first that it hears.
            self.fresh = now - FRESH;
        }
        self.decision = Some(decision);
        true
    }

    /// The voters' beat was heard at that time, here or by another who says so: they stand by the decision of that number.
    /// Beats are ranked, an old one says nothing.
    pub fn handle_heartbeat(&mut self, heard: Timestamp, rank: (u64, u64), number: u64) {
        if rank <= self.heartbeat_rank {
            return;
        }
        self.heartbeat_rank = rank;
        if self.decision.as_ref().is_some_and(|held| held.number >= number) {
            (self.fresh, self.behind, self.woke) = (self.fresh.max(heard), false, None);
        } else {
            // It missed a decision: what it holds is not what they stand by.
            self.behind = true;
        }
    }

    /// Passes time, with what this copy sees of each zone itself.
    pub fn tick(&mut self, now: Timestamp, replica_counts: &[ReplicaCounts]) {
        if self.ticked.is_some_and(|t| now - t > ASLEEP) {
            self.woke = Some(now);
            self.against.iter_mut().chain(&mut self.well).for_each(|since| *since = None);
        }
        self.ticked = Some(now);
        if let Some((decision, since)) = &self.recalled
            && self.decision.is_none()
            && now - *since >= RECALL
        {
            // Its time to hold is long over.
            (self.decision, self.fresh) = (Some(decision.clone()), now - FRESH - self.hold);
        }
        for (zone, row) in replica_counts.iter().enumerate().take(self.against.len()) {
            let bad = row.unhealthy_fraction();
            let is = |holds: bool, since: Option<Timestamp>| holds.then(|| since.unwrap_or(now));
            self.against[zone] = is(bad.is_some_and(|b| b >= UNHEALTHY_FRACTION), self.against[zone]);
            self.well[zone] = is(bad.is_some_and(|b| b <= HEALTHY_FRACTION), self.well[zone]);
        }
    }

    /// Whether it should ask others what stands.
    pub fn should_query(&self, now: Timestamp) -> bool {
        self.behind || !matches!(self.status(now), DecisionStatus::Following)
    }

    pub fn status(&self, now: Timestamp) -> DecisionStatus {
        let Some(_) = &self.decision else { return DecisionStatus::NoDecision };
        if self.woke.is_some_and(|woke| now - woke < LOOK) {
            return DecisionStatus::Resyncing;
        }
        match now - self.fresh {
            silent if silent <= FRESH => DecisionStatus::Following,
            silent if silent <= self.hold => DecisionStatus::Holding,
            _ => DecisionStatus::Isolated,
        }
    }

    /// What is done now. What it sees itself counts only where it stands alone.
    pub fn plan(&self, now: Timestamp) -> RoutingPlan {
        let zones = self.against.len();
        let near_alone = RoutingPlan {
            decision_number: 0,
            fractions: vec![ZoneFraction { zone: self.zone as u16, permille: FULL_PERMILLE }],
            closed_zones: Vec::new(),
            shed: 0,
        };
        let Some(decision) = self.decision.as_ref().filter(|_| !self.dry) else { return near_alone };
        let whole = RoutingTable::new(decision, &self.near);
        let (mut row, mut shed) = (whole.fractions[self.zone].clone(), whole.shed[self.zone]);
        let mut closed_zones: Vec<u16> =
            (0..zones).filter(|&to| !decision.allows(self.zone, to)).map(|to| to as u16).collect();
        match self.status(now) {
            DecisionStatus::Resyncing if decision.allows(self.zone, self.zone) => {
                // What was spilled when it fell asleep may be too much by now.
                row = vec![0; zones];
                row[self.zone] = FULL_PERMILLE;
            }
            DecisionStatus::Isolated => {
                self.by_own_evidence(now, &mut row, &mut closed_zones);
                // Nobody says any more how much is asked elsewhere.
                shed = if row.iter().any(|&s| s > 0) { 0 } else { shed };
            }
            _ => {}
        }
        let mut fractions: Vec<ZoneFraction> =
            row.iter().enumerate().map(|(n, &s)| ZoneFraction { zone: n as u16, permille: s }).collect();
        fractions.sort_by_key(|f| (self.near.of(self.zone, usize::from(f.zone)), f.zone));
        fractions.retain(|f| f.permille > 0 || usize::from(f.zone) == self.zone);
        RoutingPlan { decision_number: decision.number, fractions, closed_zones, shed }
    }

    fn by_own_evidence(&self, now: Timestamp, row: &mut [u16], closed_zones: &mut Vec<u16>) {
        let stands = |since: Option<Timestamp>| since.is_some_and(|s| now - s >= STANDS);
        let good: Vec<usize> = (0..row.len()).filter(|&z| stands(self.well[z])).collect();
        // A zone that was out and is seen to be well is let in again, for a share at most.
        if row.iter().all(|&s| s == 0)
            && let Some(&first) = good.iter().min_by_key(|&&z| (self.near.of(self.zone, z), z))
        {
            row[first] = MAX_OWN_SHIFT;
        }
        closed_zones.retain(|&z| row[usize::from(z)] == 0);
        for zone in 0..row.len() {
            if !stands(self.against[zone]) || row[zone] == 0 {
                continue;
            }
            let others: Vec<usize> =
                good.iter().copied().filter(|&z| z != zone && !closed_zones.contains(&(z as u16))).collect();
            let nearest = others.iter().map(|&z| self.near.of(self.zone, z)).min();
            let others: Vec<usize> =
                others.into_iter().filter(|&z| Some(self.near.of(self.zone, z)) == nearest).collect();
            if others.is_empty() {
                continue;
            }
            let moved = (u32::from(row[zone]) * u32::from(MAX_OWN_SHIFT) / u32::from(FULL_PERMILLE)) as u16;
            for &other in &others {
                let part = moved / others.len() as u16;
                row[other] += part;
                row[zone] -= part;
            }
        }
    }
}

#[cfg(test)]
mod tests;
