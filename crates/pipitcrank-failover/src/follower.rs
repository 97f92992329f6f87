//! What one copy acts on. The newest decision it knows, never an older one; where it has not heard for long that the voters
//! are there, its own evidence within a stated share. No I/O, no clock.
//!
//! ```text
//! Blind     no decision heard yet: all near, nothing shut, as a copy that knows nobody. None older is taken than the one
//!           that a process before it acted on; after `RECALL` without a word it goes on from that, Alone
//! Looking   just woken from standing still: what is shut stays shut, nothing is spilled, until news or `LOOK`
//! Following the voters were heard of within `FRESH`: the decision, to the letter
//! Holding   not heard of for up to `hold`: the decision as it stands, nothing new
//! Alone     for longer: from where it stands, at most `ALONE` of a zone's share by own evidence
//! ```

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{BAD, Row, WELL};

use crate::decision::{Decision, WHOLE};
use crate::routing_table::{Nearness, table};

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
pub const ALONE: u16 = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Blind,
    Looking,
    Following,
    Holding,
    Alone,
}

impl Standing {
    pub fn name(self) -> &'static str {
        match self {
            Standing::Blind => "blind",
            Standing::Looking => "looking",
            Standing::Following => "following",
            Standing::Holding => "holding",
            Standing::Alone => "alone",
        }
    }
}

/// What is done with this copy's queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The decision it is from; 0 where there is none.
    pub number: u64,
    /// Zones, the nearest first, and thousandths of the queries meant for them.
    pub shares: Vec<(u16, u16)>,
    /// Nothing goes there.
    pub shut: Vec<u16>,
    /// Thousandths that nobody can carry.
    pub lack: u16,
}

pub struct Follow {
    zone: usize,
    near: Nearness,
    hold: TimeSpan,
    dry: bool,
    decision: Option<Decision>,
    /// What a process before it acted on last, and when that was recalled.
    recalled: Option<(Decision, Timestamp)>,
    /// Rank of the newest beat heard, and when.
    beat: (u64, u64),
    fresh: Timestamp,
    behind: bool,
    ticked: Option<Timestamp>,
    woke: Option<Timestamp>,
    /// Since when own evidence has been against a zone, and for it.
    against: Vec<Option<Timestamp>>,
    well: Vec<Option<Timestamp>>,
    /// Decisions that came when a newer one was held.
    pub older: u64,
}

impl Follow {
    /// `hold`: how long the last decision stands without a word of the voters. `dry`: decisions are followed and said, and
    /// nothing is moved.
    pub fn new(zone: u16, zones: usize, near: Nearness, hold: TimeSpan, dry: bool) -> Follow {
        Follow {
            zone: usize::from(zone),
            near,
            hold,
            dry,
            decision: None,
            recalled: None,
            beat: (0, 0),
            fresh: Timestamp::from_micros(i64::MIN / 4),
            behind: false,
            ticked: None,
            woke: None,
            against: vec![None; zones],
            well: vec![None; zones],
            older: 0,
        }
    }

    pub fn decision(&self) -> Option<&Decision> {
        self.decision.as_ref()
    }

    /// What a process before this one acted on last. Nothing is done by it at first: it may have missed others since.
    pub fn recall(&mut self, now: Timestamp, decision: Decision) {
        if decision.sound(self.against.len()) {
            self.recalled = Some((decision, now));
        }
    }

    pub fn beat(&self) -> (u64, u64) {
        self.beat
    }

    /// How long ago the newest beat was heard by whoever heard it first here.
    pub fn beat_age(&self, now: Timestamp) -> TimeSpan {
        now - self.fresh
    }

    /// A decision was heard, from wherever; whether it is taken.
    pub fn decided(&mut self, now: Timestamp, decision: Decision) -> bool {
        // Guards against a herd that comes back and takes the word of whoever knows least.
        let before = self.recalled.as_ref().is_some_and(|(r, _)| decision.number < r.number);
        let newer = !before && self.decision.as_ref().is_none_or(|held| decision.number > held.number);
        if !newer || !decision.sound(self.against.len()) {
            self.older += u64::from(!newer);
            return false;
        }
        self.behind = false;
        if self.decision.is_none() && self.beat == (0, 0) {
            // The time to hold begins with the first that it hears.
            self.fresh = now - FRESH;
        }
        self.decision = Some(decision);
        true
    }

    /// The voters' beat was heard at that time, here or by another who says so: they stand by the decision of that number.
    /// Beats are ranked, an old one says nothing.
    pub fn beats(&mut self, heard: Timestamp, rank: (u64, u64), number: u64) {
        if rank <= self.beat {
            return;
        }
        self.beat = rank;
        if self.decision.as_ref().is_some_and(|held| held.number >= number) {
            (self.fresh, self.behind, self.woke) = (self.fresh.max(heard), false, None);
        } else {
            // It missed a decision: what it holds is not what they stand by.
            self.behind = true;
        }
    }

    /// Passes time, with what this copy sees of each zone itself.
    pub fn tick(&mut self, now: Timestamp, rows: &[Row]) {
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
        for (zone, row) in rows.iter().enumerate().take(self.against.len()) {
            let bad = row.bad();
            let is = |holds: bool, since: Option<Timestamp>| holds.then(|| since.unwrap_or(now));
            self.against[zone] = is(bad.is_some_and(|b| b >= BAD), self.against[zone]);
            self.well[zone] = is(bad.is_some_and(|b| b <= WELL), self.well[zone]);
        }
    }

    /// Whether it should ask others what stands.
    pub fn looks(&self, now: Timestamp) -> bool {
        self.behind || !matches!(self.standing(now), Standing::Following)
    }

    pub fn standing(&self, now: Timestamp) -> Standing {
        let Some(_) = &self.decision else { return Standing::Blind };
        if self.woke.is_some_and(|woke| now - woke < LOOK) {
            return Standing::Looking;
        }
        match now - self.fresh {
            silent if silent <= FRESH => Standing::Following,
            silent if silent <= self.hold => Standing::Holding,
            _ => Standing::Alone,
        }
    }

    /// What is done now. What it sees itself counts only where it stands alone.
    pub fn plan(&self, now: Timestamp) -> Plan {
        let zones = self.against.len();
        let near_alone =
            Plan { number: 0, shares: vec![(self.zone as u16, WHOLE)], shut: Vec::new(), lack: 0 };
        let Some(decision) = self.decision.as_ref().filter(|_| !self.dry) else { return near_alone };
        let whole = table(decision, &self.near);
        let (mut row, mut lack) = (whole.of[self.zone].clone(), whole.lack[self.zone]);
        let mut shut: Vec<u16> =
            (0..zones).filter(|&to| !decision.open(self.zone, to)).map(|to| to as u16).collect();
        match self.standing(now) {
            Standing::Looking if decision.open(self.zone, self.zone) => {
                // What was spilled when it fell asleep may be too much by now.
                row = vec![0; zones];
                row[self.zone] = WHOLE;
            }
            Standing::Alone => {
                self.by_own_evidence(now, &mut row, &mut shut);
                // Nobody says any more how much is asked elsewhere.
                lack = if row.iter().any(|&s| s > 0) { 0 } else { lack };
            }
            _ => {}
        }
        let mut shares: Vec<(u16, u16)> = row.iter().enumerate().map(|(n, &s)| (n as u16, s)).collect();
        shares.sort_by_key(|(to, _)| (self.near.of(self.zone, usize::from(*to)), *to));
        shares.retain(|(to, share)| *share > 0 || usize::from(*to) == self.zone);
        Plan { number: decision.number, shares, shut, lack }
    }

    fn by_own_evidence(&self, now: Timestamp, row: &mut [u16], shut: &mut Vec<u16>) {
        let stands = |since: Option<Timestamp>| since.is_some_and(|s| now - s >= STANDS);
        let good: Vec<usize> = (0..row.len()).filter(|&z| stands(self.well[z])).collect();
        // A zone that was out and is seen to be well is let in again, for a share at most.
        if row.iter().all(|&s| s == 0)
            && let Some(&first) = good.iter().min_by_key(|&&z| (self.near.of(self.zone, z), z))
        {
            row[first] = ALONE;
        }
        shut.retain(|&z| row[usize::from(z)] == 0);
        for zone in 0..row.len() {
            if !stands(self.against[zone]) || row[zone] == 0 {
                continue;
            }
            let others: Vec<usize> =
                good.iter().copied().filter(|&z| z != zone && !shut.contains(&(z as u16))).collect();
            let nearest = others.iter().map(|&z| self.near.of(self.zone, z)).min();
            let others: Vec<usize> =
                others.into_iter().filter(|&z| Some(self.near.of(self.zone, z)) == nearest).collect();
            if others.is_empty() {
                continue;
            }
            let moved = (u32::from(row[zone]) * u32::from(ALONE) / u32::from(WHOLE)) as u16;
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
