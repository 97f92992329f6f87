//! What the next decision is: asked by the voter that leads, from the joined evidence and the decision that stands. No I/O,
//! no clock, no chance; the agreement says what becomes of it.
//!
//! ```text
//! Serving   -- evidence against it for SEEN                    --> Suspected
//! Suspected -- against it for `suspect_after` more                   --> Leaving, by a step
//!           -- well for as long                                --> Serving
//! Leaving   -- each step's time                                --> kept less a step; at nothing Out
//!           -- evidence that it is well (not drained)          --> Returning, hold-down doubled
//! Out       -- well for the hold-down, not drained             --> Returning, by half a step
//! Returning -- each step's time, twice as long while cold      --> kept more by half a step; at all Serving
//!           -- evidence against it                             --> Leaving, hold-down doubled
//! Serving for `calm_after` without a fault                           --> hold-down at its shortest
//! ```
//!
//! Rules that hold whatever the evidence: no step while no other zone is known to be well; a zone that still serves (slow,
//! or drained) is left only as far as the others have room; all that was seen before this voter led does not count.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{EvidenceMatrix, Finding};

use crate::decision::{
    Decision, DecisionCause, FULL_PERMILLE, OperatorOrder, UNKNOWN_CAPACITY, ZoneDecision, ZoneState,
};
use crate::routing_table::{Proximity, RoutingTable};

/// Evidence has to stand for so long before anything is said of it: two words of each copy.
const SEEN: TimeSpan = TimeSpan::from_millis(300);
/// A step of leaving, in thousandths of the load, and the time between two: a whole zone in 0.8 s, so that replicas
/// elsewhere take on a quarter of a zone each time.
const STEP: u16 = 250;
const STEP_TIME: TimeSpan = TimeSpan::from_millis(200);
/// Coming home takes half a step each `RETURN_TIME`: leaves there are cold, and the others carry well meanwhile.
const RETURN_STEP: u16 = 125;
const RETURN_TIME: TimeSpan = TimeSpan::from_millis(500);
/// Cold replicas' share from which a zone comes back at half the timing.
const COLD: f64 = 0.3;
/// What a cold replica carries of a warm one's: the least that rules allow for.
const COLD_CARRIES: f64 = 0.3;
/// Shares have to change by so many thousandths for new figures to be worth a decision, and so long apart.
const WORTH: u16 = 50;
/// And what a zone carries by this part of itself.
const CAPACITY_WORTH: u32 = 4;
const FIGURES_TIME: TimeSpan = TimeSpan::from_millis(500);
/// Share of full replicas from which a zone is at what it carries, whatever operators say it bears.
const AT_ITS_MOST: f64 = 0.3;
/// What a replica bears is never held lower than this share of what operators say, and comes back by so much a second.
const LEAST_BEARS: f64 = 0.2;
const BEARS_BACK: f64 = 0.02;

/// Times that operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverTiming {
    /// Evidence against a zone stands for so long before it is left.
    pub suspect_after: TimeSpan,
    /// A zone that is out is well for so long before it comes back, and at most, doubled at each relapse.
    pub hold_down: TimeSpan,
    pub max_hold_down: TimeSpan,
    /// Serving without a fault for so long: the hold-down is at its shortest again.
    pub calm_after: TimeSpan,
}

/// What is known of a zone while this voter leads.
#[derive(Clone, Copy)]
struct Watch {
    /// Since when evidence has been as it is, against it or for it; none before any.
    against: Option<Timestamp>,
    well: Option<Timestamp>,
    /// When its last step was decided, and since when it has been serving.
    stepped: Timestamp,
    serving: Timestamp,
    /// Parts a second that one of its replicas bears, as evidence shows.
    bears: f64,
}

pub struct FailoverController {
    timing: FailoverTiming,
    near: Proximity,
    /// Parts a second that a warm replica bears, as operators say; 0 where they say nothing.
    told_bears: f64,
    watches: Vec<Watch>,
    /// Since when each way has been as it is: `[from][to]`, cut or not.
    ways: Vec<Vec<(bool, Timestamp)>>,
    figures_at: Timestamp,
    looked: Timestamp,
    led_since: Timestamp,
}

impl FailoverController {
    pub fn new(timing: FailoverTiming, near: Proximity, zones: usize, told_bears: f64) -> FailoverController {
        let never = Timestamp::from_micros(i64::MIN / 4);
        let watch = Watch { against: None, well: None, stepped: never, serving: never, bears: told_bears };
        FailoverController {
            timing,
            near,
            told_bears,
            watches: vec![watch; zones],
            ways: vec![vec![(false, never); zones]; zones],
            figures_at: never,
            looked: never,
            led_since: never,
        }
    }

    /// This voter leads from now on. What it saw before was not held against the decision that stood then.
    pub fn leadership_gained(&mut self, now: Timestamp) {
        self.led_since = now;
        self.looked = now;
        for watch in &mut self.watches {
            (watch.against, watch.well, watch.stepped, watch.serving) = (None, None, now, now);
        }
        self.ways.iter_mut().flatten().for_each(|way| *way = (way.0, now));
    }

    /// The next decision, if there is a cause for one.
    pub fn next_decision(
        &mut self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
    ) -> Option<Decision> {
        self.watch(now, matrix, current);
        if current.frozen {
            return None;
        }
        let mut next = current.clone();
        self.measure(matrix, &mut next);
        let moves = (0..current.zones.len()).find_map(|zone| {
            let cause = self.step(now, matrix, current, &mut next, zone)?;
            Some((zone, cause))
        });
        let way = || self.cut_ways(now, matrix, current);
        if let Some((zone, cause)) = moves {
            self.watches[zone].stepped = now;
            if next.zones[zone].state == ZoneState::Serving {
                self.watches[zone].serving = now;
            }
            (next.cause, next.zone) = (cause, zone as u16);
        } else if let Some((from, cut_paths)) = way() {
            next.zones[from].cut_paths = cut_paths;
            (next.cause, next.zone) = (DecisionCause::PathChanged, from as u16);
        } else if now - self.figures_at >= FIGURES_TIME && self.matters(current, &next) {
            (next.cause, next.zone) = (DecisionCause::LoadChanged, 0);
        } else {
            return None;
        }
        self.figures_at = now;
        Some(next)
    }

    /// An operator's order as a decision, or why not.
    pub fn apply_order(
        &self,
        matrix: &EvidenceMatrix,
        current: &Decision,
        order: OperatorOrder,
    ) -> Result<Decision, String> {
        let mut next = current.clone();
        self.measure(matrix, &mut next);
        let known = |zone: u16| match usize::from(zone) < current.zones.len() {
            true => Ok(usize::from(zone)),
            false => Err(format!("there is no zone {zone}")),
        };
        match order {
            OperatorOrder::Drain(zone) => {
                let n = known(zone)?;
                if current.zones[n].drained {
                    return Err("it is drained already".into());
                }
                if !self.others_well(matrix, current, n) {
                    return Err("no other zone is known to be well and serving".into());
                }
                if let (Some(left), demand) = (carried_without(&next, n), all_asked(&next))
                    && left < demand
                {
                    let what =
                        format!("the zones left carry {left} parts a second of the {demand} that are asked");
                    return Err(what);
                }
                next.zones[n].drained = true;
                if next.zones[n].retained > 0 {
                    next.zones[n].state = ZoneState::Draining;
                    next.zones[n].retained = next.zones[n].retained.saturating_sub(STEP);
                    if next.zones[n].retained == 0 {
                        next.zones[n].state = ZoneState::OutOfService;
                    }
                }
                (next.cause, next.zone) = (DecisionCause::Drained, zone);
            }
            OperatorOrder::Return(zone) => {
                let n = known(zone)?;
                match current.zones[n].state {
                    ZoneState::Draining | ZoneState::OutOfService => {}
                    state => return Err(format!("it is {}", state.name())),
                }
                match matrix.finding(n) {
                    Finding::Healthy | Finding::Degraded => {}
                    found => return Err(format!("evidence on it is {}, not that it is well", found.name())),
                }
                let place = &mut next.zones[n];
                (place.drained, place.state) = (false, ZoneState::Returning);
                place.retained = (place.retained + RETURN_STEP).min(FULL_PERMILLE - 1);
                (next.cause, next.zone) = (DecisionCause::Returned, zone);
            }
            OperatorOrder::Freeze if current.frozen => return Err("it is frozen already".into()),
            OperatorOrder::Thaw if !current.frozen => return Err("it is not frozen".into()),
            OperatorOrder::Freeze => (next.frozen, next.cause) = (true, DecisionCause::Frozen),
            OperatorOrder::Thaw => (next.frozen, next.cause) = (false, DecisionCause::Thawed),
        }
        Ok(next)
    }

    fn watch(&mut self, now: Timestamp, matrix: &EvidenceMatrix, current: &Decision) {
        let passed = (now - self.looked).as_secs_f64().clamp(0.0, 1.0);
        self.looked = now;
        for zone in 0..self.watches.len() {
            let finding = matrix.finding(zone);
            let against = matches!(finding, Finding::Dead | Finding::CutOff | Finding::Slow);
            let well = matches!(finding, Finding::Healthy | Finding::Degraded);
            let watch = &mut self.watches[zone];
            watch.against = against.then(|| watch.against.unwrap_or(now));
            watch.well = well.then(|| watch.well.unwrap_or(now));
            if against || current.zones[zone].state != ZoneState::Serving {
                watch.serving = now;
            }
            // Guards against figures of operators that the replicas do not keep: what they carried when full counts.
            let (replicas, answered_parts) = (matrix.healthy_replicas(zone), matrix.answered_parts(zone));
            let saturated = matrix.cells[zone][zone].saturated_fraction;
            if self.told_bears > 0.0 && replicas > 0.0 {
                let a_replica = answered_parts / replicas;
                watch.bears = if saturated >= AT_ITS_MOST && a_replica < watch.bears {
                    a_replica.max(self.told_bears * LEAST_BEARS)
                } else {
                    (watch.bears + self.told_bears * BEARS_BACK * passed).min(self.told_bears)
                };
            }
            for to in 0..self.watches.len() {
                let (was, since) = self.ways[zone][to];
                let seen = matrix.cells[zone][to].unhealthy_fraction.is_some();
                let cut_paths = matrix.is_path_cut(zone, to);
                if seen && cut_paths != was {
                    self.ways[zone][to] = (cut_paths, now);
                } else if !seen {
                    self.ways[zone][to] = (was, since.max(now));
                }
            }
        }
    }

    /// What each zone carries and is asked, as evidence has it now.
    fn measure(&self, matrix: &EvidenceMatrix, next: &mut Decision) {
        for (zone, place) in next.zones.iter_mut().enumerate() {
            if matrix.reporters(zone) > 0 {
                place.demand = matrix.demand[zone].round().clamp(0.0, f64::from(UNKNOWN_CAPACITY - 1)) as u32;
            }
            // A zone that is bad as a whole is left in steps, not by what it carries.
            let counts = matches!(matrix.finding(zone), Finding::Healthy | Finding::Degraded);
            if self.told_bears > 0.0 && counts {
                let warm = 1.0 - matrix.warming_up_fraction(zone) * (1.0 - COLD_CARRIES);
                let capacity = matrix.healthy_replicas(zone) * warm * self.watches[zone].bears;
                let whole = matrix.listed_replicas(zone) * self.told_bears;
                let capacity = match place.capacity {
                    UNKNOWN_CAPACITY => capacity,
                    held => {
                        let part = |step: u16| whole * f64::from(step) / f64::from(FULL_PERMILLE);
                        capacity.clamp(f64::from(held) - part(STEP), f64::from(held) + part(RETURN_STEP))
                    }
                };
                place.capacity = capacity.round().clamp(0.0, f64::from(UNKNOWN_CAPACITY - 1)) as u32;
            }
        }
    }

    /// One zone's step, if one is due.
    fn step(
        &self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
        next: &mut Decision,
        zone: usize,
    ) -> Option<DecisionCause> {
        let watch = self.watches[zone];
        let place = &current.zones[zone];
        let for_long = |since: Option<Timestamp>, long: TimeSpan| since.is_some_and(|s| now - s >= long);
        let finding = matrix.finding(zone);
        let cause = match finding {
            Finding::Dead => DecisionCause::Dead,
            Finding::CutOff => DecisionCause::CutOff,
            _ => DecisionCause::Slow,
        };
        let due = |time: TimeSpan| now - watch.stepped >= time;
        let to = &mut next.zones[zone];
        match place.state {
            ZoneState::Serving
                if for_long(watch.against, SEEN) && self.others_well(matrix, current, zone) =>
            {
                to.state = ZoneState::Suspected;
                Some(cause)
            }
            ZoneState::Serving
                if place.hold_down_level > 0 && now - watch.serving >= self.timing.calm_after =>
            {
                to.hold_down_level = 0;
                Some(DecisionCause::Calm)
            }
            ZoneState::Suspected if for_long(watch.against, SEEN + self.timing.suspect_after) => {
                if !self.others_well(matrix, current, zone) {
                    return None;
                }
                self.leave(next, zone, finding).then_some(cause)
            }
            ZoneState::Suspected if for_long(watch.well, self.timing.suspect_after) => {
                to.state = ZoneState::Serving;
                Some(DecisionCause::Healthy)
            }
            ZoneState::Draining
                if !place.drained && for_long(watch.well, SEEN + self.timing.suspect_after) =>
            {
                to.state = ZoneState::Returning;
                to.hold_down_level = relapsed(place);
                Some(DecisionCause::Healthy)
            }
            ZoneState::Draining if due(STEP_TIME) && self.others_well(matrix, current, zone) => {
                let still = place.drained || watch.against.is_some();
                (still && self.leave(next, zone, finding)).then_some(DecisionCause::NextStep)
            }
            ZoneState::OutOfService
                if !place.drained && for_long(watch.well, self.held(place.hold_down_level)) =>
            {
                (to.state, to.retained) = (ZoneState::Returning, RETURN_STEP);
                Some(DecisionCause::Healthy)
            }
            ZoneState::Returning if for_long(watch.against, SEEN) => {
                (to.state, to.hold_down_level) = (ZoneState::Draining, relapsed(place));
                Some(cause)
            }
            ZoneState::Returning => {
                let slower = if matrix.warming_up_fraction(zone) >= COLD { 2.0 } else { 1.0 };
                if !due(RETURN_TIME * slower) || watch.well.is_none() {
                    return None;
                }
                to.retained = (place.retained + RETURN_STEP).min(FULL_PERMILLE);
                if to.retained == FULL_PERMILLE {
                    to.state = ZoneState::Serving;
                }
                Some(DecisionCause::NextStep)
            }
            _ => None,
        }
    }

    /// Takes a step out of a zone; whether that may be. One that gives nothing is left whatever the others carry; one
    /// that still serves only as far as they have room.
    fn leave(&self, next: &mut Decision, zone: usize, finding: Finding) -> bool {
        let gives_nothing = matches!(finding, Finding::Dead | Finding::CutOff);
        let before = next.zones[zone].clone();
        let place = &mut next.zones[zone];
        place.retained = place.retained.saturating_sub(STEP);
        place.state = if place.retained == 0 { ZoneState::OutOfService } else { ZoneState::Draining };
        if gives_nothing || before.retained == 0 {
            return true;
        }
        let lacking = |d: &Decision| -> u64 {
            let table = RoutingTable::new(d, &self.near);
            (0..d.zones.len()).map(|n| u64::from(table.shed[n]) * u64::from(d.zones[n].demand)).sum()
        };
        let after = lacking(next);
        let moved = next.zones[zone].clone();
        next.zones[zone] = before;
        let fits = after <= lacking(next);
        if fits {
            next.zones[zone] = moved;
        }
        fits
    }

    /// Whether some other zone is known to be well and serves: guards against moving everything nowhere, as where the one
    /// that looks is the one that is cut off.
    fn others_well(&self, matrix: &EvidenceMatrix, current: &Decision, zone: usize) -> bool {
        (0..current.zones.len()).filter(|&n| n != zone).any(|n| {
            let place = &current.zones[n];
            let well = matches!(matrix.finding(n), Finding::Healthy | Finding::Degraded);
            well && matrix.reporters(n) > 0 && place.retained > 0 && !place.drained
        })
    }

    fn held(&self, hold_down_level: u8) -> TimeSpan {
        (self.timing.hold_down * f64::from(1u32 << hold_down_level.min(16))).min(self.timing.max_hold_down)
    }

    /// A way that has been cut, or whole, for long enough to be said so; the new mask of its zone.
    fn cut_ways(&self, now: Timestamp, matrix: &EvidenceMatrix, current: &Decision) -> Option<(usize, u16)> {
        (0..self.ways.len()).find_map(|from| {
            let mut mask = current.zones[from].cut_paths;
            for (to, &(cut_paths, since)) in self.ways[from].iter().enumerate() {
                // A zone that is bad for all is no way that is cut.
                let whole_zone = matches!(matrix.finding(to), Finding::Dead | Finding::CutOff);
                if from == to || whole_zone {
                    continue;
                }
                if cut_paths && now - since >= SEEN + self.timing.suspect_after {
                    mask |= 1 << to;
                } else if !cut_paths && now - since >= self.timing.hold_down {
                    mask &= !(1 << to);
                }
            }
            (mask != current.zones[from].cut_paths).then_some((from, mask))
        })
    }

    fn matters(&self, current: &Decision, next: &Decision) -> bool {
        let moved = |a: u32, b: u32| {
            (a == UNKNOWN_CAPACITY) != (b == UNKNOWN_CAPACITY) || a.abs_diff(b) > a / CAPACITY_WORTH
        };
        if current.zones.iter().zip(&next.zones).any(|(a, b)| moved(a.capacity, b.capacity)) {
            return true;
        }
        let (old, new) = (RoutingTable::new(current, &self.near), RoutingTable::new(next, &self.near));
        let differ = |a: &[u16], b: &[u16]| a.iter().zip(b).any(|(a, b)| a.abs_diff(*b) >= WORTH);
        old.fractions.iter().zip(&new.fractions).any(|(a, b)| differ(a, b)) || differ(&old.shed, &new.shed)
    }
}

fn relapsed(place: &ZoneDecision) -> u8 {
    place.hold_down_level.saturating_add(1).min(16)
}

/// What all zones but one carry, of those that serve; none where nobody says.
fn carried_without(decision: &Decision, zone: usize) -> Option<u64> {
    let others = decision
        .zones
        .iter()
        .enumerate()
        .filter(|(n, p)| *n != zone && p.retained == FULL_PERMILLE && !p.drained);
    others.map(|(_, p)| (p.capacity != UNKNOWN_CAPACITY).then_some(u64::from(p.capacity) * 9 / 10)).sum()
}

fn all_asked(decision: &Decision) -> u64 {
    decision.zones.iter().map(|p| u64::from(p.demand)).sum()
}

#[cfg(test)]
mod tests;
