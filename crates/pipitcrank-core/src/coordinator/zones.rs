//! Zones as the cover sees them: which one a query is meant for, and what a replica elsewhere is held to cost beside its time.
//! A narrowing (shut zones) and a cost among candidates; the cover chooses among what is left. Which shares there are is
//! decided elsewhere: by all copies in common (`pipitcrank-failover`), or told at start.

use super::{Coordinator, ReplicaState};
use crate::ids::{AttemptOutcome, QueryId, ReplicaId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// A zone, by its place in the list of zones told at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// What of each zone's replicas is used from here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneRouting {
    /// Zones and the shares of queries meant for them, the nearest first. Empty: zones do not count.
    pub fractions: Vec<ZoneFraction>,
    /// Nothing goes there.
    pub closed: Vec<ZoneId>,
    /// Up to this share of queries, by chance, is rejected before anything is sent for it: what all zones left
    /// can't carry, by utility of the request class (0 to 1 each, in the request classes' order).
    pub shed_fractions: Vec<f64>,
}

/// The fraction of queries that is meant for a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFraction {
    /// The zone.
    pub zone: ZoneId,
    /// From 0 to 1.
    pub fraction: f64,
}

#[derive(Default)]
pub(super) struct Zones {
    shares: ZoneRouting,
    tally: ZoneTraffic,
}

/// Queries and their parts, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTraffic {
    /// Queries that arrived.
    pub queries: u64,
    /// Their parts.
    pub parts: u64,
}

/// Counts since the start, for whoever makes rates of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// Queries and parts asked, by request class; what was turned away among them.
    pub requested: Vec<RequestTraffic>,
    /// Parts answered, by zone of the replica.
    pub answered_parts: Vec<u64>,
    /// Parts sent to replicas of the nearest zone.
    pub same_zone_parts: u64,
    /// Parts sent to replicas of other zones.
    pub cross_zone_parts: u64,
}

fn count<T: Clone + Default>(list: &mut Vec<T>, place: usize) -> &mut T {
    if list.len() <= place {
        list.resize(place + 1, T::default());
    }
    &mut list[place]
}

impl Coordinator {
    /// A replica elsewhere is held to come to work later by this share of the SLO time: more than the lag that makes no
    /// difference (`BEHIND_SHARE`), so near goes first; little enough that a jam at home sends work across.
    const CROSSING_SHARE: f64 = 0.1;

    /// The replica stands in that zone; none where nobody says.
    pub fn set_replica_zone(&mut self, replica: ReplicaId, zone: Option<ZoneId>) {
        if let Some(state) = self.replicas.get_mut(&replica) {
            state.zone = zone;
        }
    }

    pub fn set_zone_routing(&mut self, shares: ZoneRouting) {
        self.moved |= self.zones.shares != shares;
        self.zones.shares = shares;
    }

    /// Draws the zone that a query is meant for. No chance is used where there is but one.
    pub(super) fn meant_for(&mut self) -> Option<ZoneId> {
        let of = &self.zones.shares.fractions;
        if of.len() < 2 {
            return of.first().map(|z| z.zone);
        }
        let mut drawn = self.rng.below(Self::FINE) as f64 / Self::FINE as f64;
        let of = &self.zones.shares.fractions;
        for &ZoneFraction { zone, fraction: share } in of {
            if drawn < share {
                return Some(zone);
            }
            drawn -= share;
        }
        // Shares that fall short of one by rounding.
        of.iter().max_by(|a, b| a.fraction.total_cmp(&b.fraction)).map(|z| z.zone)
    }

    /// Shares are drawn to a thousandth: finer than what any copy sends in a second.
    const FINE: usize = 1000;

    /// Whether a query of that request class is to be turned away before anything is sent for it.
    pub(super) fn turned_away(&mut self, class: usize) -> bool {
        let share = self.zones.shares.shed_fractions.get(class).copied().unwrap_or(0.0);
        share > 0.0 && (self.rng.below(Self::FINE) as f64) < share * Self::FINE as f64
    }

    pub(super) fn is_shut(&self, replica: ReplicaId) -> bool {
        self.replicas[&replica].zone.is_some_and(|z| self.zones.shares.closed.contains(&z))
    }

    /// What a replica is held to cost that does not stand in the zone that the query is meant for.
    pub(super) fn crossing(&self, replica: ReplicaId, query: QueryId) -> TimeSpan {
        let open = &self.queries[&query];
        match (self.replicas[&replica].zone, open.zone) {
            (Some(at), Some(meant)) if at != meant => (open.slo - open.arrived) * Self::CROSSING_SHARE,
            _ => TimeSpan::ZERO,
        }
    }

    pub(super) fn count_crossing(&mut self, replica: ReplicaId) {
        let home = self.zones.shares.fractions.first().map(|z| z.zone);
        if let (Some(at), Some(home)) = (self.replicas[&replica].zone, home) {
            let tally = &mut self.zones.tally;
            *(if at == home { &mut tally.same_zone_parts } else { &mut tally.cross_zone_parts }) += 1;
        }
    }

    pub(super) fn count_asked(&mut self, class: usize, parts: f64) {
        let asked = count(&mut self.zones.tally.requested, class);
        asked.queries += 1;
        asked.parts += parts.max(0.0) as u64;
    }

    /// How a attempt ended, for the replica's zone. Zones are few (`told::MOST_ZONES`).
    pub(super) fn count_ended(&mut self, replica: ReplicaId, outcome: AttemptOutcome) {
        if let (Some(zone), AttemptOutcome::Success) = (self.replicas[&replica].zone, outcome) {
            *count(&mut self.zones.tally.answered_parts, usize::from(zone.0)) += 1;
        }
    }

    pub fn zone_traffic(&self) -> &ZoneTraffic {
        &self.zones.tally
    }

    /// What was seen of a zone's replicas, from here, by this co-ordinator alone.
    pub fn observe_zone(&self, now: Timestamp, zone: ZoneId) -> ZoneObservation {
        let mut seen = ZoneObservation::default();
        let a_part: f64 = self.classes.iter().map(super::RequestClassState::usual_work).sum::<f64>()
            / self.classes.len().max(1) as f64;
        for (_, state) in self.replicas.iter().filter(|(_, l)| l.zone == Some(zone) && l.listed) {
            seen.listed += 1;
            seen.recently_heard += u32::from(state.heard.is_some_and(|h| now - h < Self::JUST));
            let usual = self.overdue.0.unwrap_or(1.0);
            let stuck = |o: &super::OutstandingAttempt| {
                now - o.at
                    > (ReplicaState::SILENT + TimeSpan::from_secs_f64(o.ahead * usual)).min(Self::STUCK)
                    && state.heard.is_none_or(|h| h < o.at)
            };
            let unheard =
                |at: Timestamp, long: TimeSpan| now - at > long && state.heard.is_none_or(|h| h < at);
            let probe_lost = state.probed.is_some_and(|(at, _)| unheard(at, ReplicaState::PROBED));
            let silent =
                state.mute + u32::from(probe_lost) >= ReplicaState::MUTE || state.out.values().any(stuck);
            let late = state.out.values().any(|o| unheard(o.at, ReplicaState::LATE));
            seen.suspected += u32::from(state.mute > 0 || probe_lost || late);
            let heard = state.heard.is_some_and(|h| now - h < Self::RECENT);
            // A site's replicas are out of reach while nothing may go there.
            if state.far == Some(None)
                || state.trial_at.is_some_and(|t| t > now)
                || state.faults >= ReplicaState::FAULTY
            {
                seen.failing += 1;
            } else if silent {
                seen.silent += 1;
            } else if super::drained(state.lag, now) >= ReplicaState::FULL_LAG_S / 2.0 {
                seen.overloaded += 1;
            } else if heard {
                seen.answering += 1;
            }
            seen.in_slow_start += u32::from(self.slow_start.is_cold(state.started, now));
            seen.outstanding += state.out.len() as u32;
        }
        seen.part_work_ms = (a_part * 1000.0) as u32;
        seen
    }

    /// Probes some replicas of a zone that nothing is sent to, those first that were asked longest ago, so that its
    /// return rests on evidence. Each that is asked again is asked no sooner than a report is good for.
    pub fn probe_zone(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        zone: ZoneId,
        most: usize,
    ) {
        let asked = |l: &ReplicaState| l.probed.map(|p| p.0);
        let due = |l: &ReplicaState| {
            // Far sites are measured on their links.
            l.listed
                && l.far.is_none()
                && l.zone == Some(zone)
                && asked(l).is_none_or(|t| now - t >= Self::FRESH)
        };
        let mut replicas: Vec<(Option<Timestamp>, ReplicaId)> =
            self.replicas.iter().filter(|(_, l)| due(l)).map(|(&id, l)| (asked(l), id)).collect();
        replicas.sort();
        for (_, replica) in replicas.into_iter().take(if self.retry_policy.may_probe { most } else { 0 }) {
            self.replicas.get_mut(&replica).expect("just listed").asks_again(now);
            output.send_load_probe(replica);
        }
    }

    /// A call out for longer than this, with nothing heard since, speaks of silence whatever its work.
    const STUCK: TimeSpan = TimeSpan::from_millis(2000);
    /// Heard of within this, a replica answers.
    const RECENT: TimeSpan = TimeSpan::from_millis(2000);
    /// Heard of within this, it needs no glance.
    const JUST: TimeSpan = TimeSpan::from_millis(500);
}

impl ReplicaState {
    /// Silence of a call that counts as such: beyond a usual part's wait, within the aim for moving a zone.
    const SILENT: TimeSpan = TimeSpan::from_millis(700);
    /// A probe out for longer has come to nothing: many round trips between regions.
    const PROBED: TimeSpan = TimeSpan::from_millis(200);
    /// A call out for longer, with nothing heard since, is reason to look.
    const LATE: TimeSpan = TimeSpan::from_millis(200);
    /// Unheard calls and probes in a row that make a replica silent: one may be lost.
    const MUTE: u32 = 2;

    /// A probe goes out; one before it may still be unanswered.
    pub(super) fn asks_again(&mut self, now: Timestamp) {
        let unheard = self.probed.is_some_and(|(at, _)| self.heard.is_none_or(|h| h < at));
        self.mute += u32::from(unheard);
        self.probed = Some((now, true));
    }

    /// A call or a probe ended. One that was overdue and given up, as another answered instead, or was cut off, left
    /// nothing to be heard either; a probe that came to nothing is counted when the next goes out.
    pub(super) fn word(&mut self, now: Timestamp, outcome: AttemptOutcome, overdue: bool) {
        match outcome {
            AttemptOutcome::Success | AttemptOutcome::Fault | AttemptOutcome::NoCapacity => {
                (self.mute, self.heard) = (0, Some(now))
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Disconnected
                if overdue =>
            {
                self.mute += 1
            }
            _ => {}
        }
    }
}

/// Leaves of one zone by what this co-ordinator last saw of each. Leaves that it has not asked of late are in `listed`
/// alone. Counts; `part_work_ms` in milliseconds of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    pub listed: u32,
    pub answering: u32,
    pub silent: u32,
    pub failing: u32,
    pub overloaded: u32,
    pub in_slow_start: u32,
    /// Of those listed, such as gave a word within half a second.
    pub recently_heard: u32,
    /// Of those listed, such as left something without a word of late, be it too little to call them silent.
    pub suspected: u32,
    pub outstanding: u32,
    pub part_work_ms: u32,
}
