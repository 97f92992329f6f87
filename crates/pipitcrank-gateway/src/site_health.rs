//! Whether parts may be sent to a site, and what the detour costs: decided here for each site, from what its links say and
//! how forwards ended. No I/O. The result narrows the choice: the decision module takes a site's cells as candidates at
//! that delay, or not at all; it still chooses among what is left.
//!
//! ```text
//! no link, no round trip known           -> closed
//! nothing received for too long          -> closed until something is
//! asked to retry later                   -> closed until then; no failure of the site (it is overloaded, not broken)
//! MAX_FAILURES forwards in a row failed  -> ejected, twice as long each time, then on trial: one forward at a time
//! TRIALS_TO_RETURN trials answered       -> open
//! else                                   -> open, at the bound of the round trip + the preference of local replicas
//! ```

use std::collections::BTreeMap;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Failed forwards in a row that eject a site: one may be a replica's fault.
const MAX_FAILURES: u32 = 3;
/// Answered trials in a row that end an ejection.
const TRIALS_TO_RETURN: u32 = 3;
/// First ejection: some round trips of any link that is of use.
const EJECTION_TIME: TimeSpan = TimeSpan::from_millis(500);
/// Longest ejection: short against an outage, so that the end of one is seen soon.
const MAX_EJECTION_TIME: TimeSpan = TimeSpan::from_millis(8000);
/// Most doublings of an ejection that are computed.
const MAX_EJECTION_DOUBLINGS: u32 = 10;
/// Weight of the newest round trip in the mean (RFC 6298, section 2: alpha).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest deviation in the mean deviation (RFC 6298, section 2: beta).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Weight in the mean of a round trip above the bound: the mean would take a second to show a link that becomes slow at
/// once under load.
const OUTLIER_WEIGHT: f64 = 0.5;
/// Mean deviations on top of the mean, as in RFC 6298.
const DEVIATIONS: f64 = 4.0;
/// Interval of heartbeats on a link.
pub const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// A site is closed after so many heartbeat intervals, and `SILENT_ROUND_TRIPS`, without a message.
const SILENT_HEARTBEATS: f64 = 3.0;
/// See [`SILENT_HEARTBEATS`].
const SILENT_ROUND_TRIPS: f64 = 2.0;
/// Longest time that a site can ask for before the next forward.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2000);
/// A site that answers pings, but no forward for so many of its usual times and at least `MIN_STUCK_TIME`, is closed until
/// it does: it accepts and is silent. Usual times scatter threefold.
const STUCK_USUAL_TIMES: f64 = 6.0;
/// See [`STUCK_USUAL_TIMES`].
const MIN_STUCK_TIME: TimeSpan = TimeSpan::from_millis(300);

/// What the end of a forward tells of the site's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ForwardResult {
    /// All its parts were answered.
    Answered,
    /// The site is overloaded: nothing more is to be sent for so long.
    Rejected(TimeSpan),
    /// It could not have been back in time, or was cancelled by us: tells nothing of the site.
    Neutral,
    /// Failed, lost with its link, or not answered by its deadline.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EjectionState {
    Healthy { failures: u32 },
    Ejected { until: Timestamp, ejections: u32 },
    Trial { answered: u32, ejections: u32 },
}

/// Mean and mean deviation of the round trip, in seconds.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean: f64,
    deviation: f64,
}

impl RoundTrip {
    /// What a round trip takes at most, in all but rare cases.
    fn bound(self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }

    fn updated(self, newest: f64) -> RoundTrip {
        let RoundTrip { mean, deviation } = self;
        let deviation = deviation + DEVIATION_WEIGHT * ((newest - mean).abs() - deviation);
        let is_outlier = newest > mean + DEVIATIONS * deviation;
        let weight = if is_outlier { OUTLIER_WEIGHT } else { MEAN_WEIGHT };
        RoundTrip { mean: mean + weight * (newest - mean), deviation }
    }
}

/// Health of one site.
pub struct SiteHealth {
    /// Added to the round trip, so that local replicas are preferred.
    local_preference: TimeSpan,
    links_up: u32,
    round_trip: Option<RoundTrip>,
    last_message: Timestamp,
    retry_after: Timestamp,
    ejection: EjectionState,
    /// When each outstanding forward was sent; removed at its end.
    outstanding: BTreeMap<u64, Timestamp>,
    /// When a forward was last answered, in whole or part.
    last_answer: Timestamp,
    /// How long forwards usually take, in seconds.
    usual_time: Option<f64>,
    last_id: u64,
}

impl SiteHealth {
    /// A site without a link; `local_preference` is added to its round trip.
    pub fn new(local_preference: TimeSpan) -> SiteHealth {
        let never = Timestamp::from_micros(i64::MIN / 4);
        SiteHealth {
            local_preference,
            links_up: 0,
            round_trip: None,
            last_message: never,
            retry_after: never,
            ejection: EjectionState::Healthy { failures: 0 },
            outstanding: BTreeMap::new(),
            last_answer: never,
            usual_time: None,
            last_id: 0,
        }
    }

    /// A link to the site is up.
    pub fn link_up(&mut self, now: Timestamp) {
        self.links_up += 1;
        self.last_message = now;
    }

    /// A link to the site is down.
    pub fn link_down(&mut self) {
        self.links_up = self.links_up.saturating_sub(1);
        if self.links_up == 0 {
            // The next connection may take another path.
            self.round_trip = None;
        }
    }

    /// Something was received from the site.
    pub fn message_received(&mut self, now: Timestamp) {
        self.last_message = now;
    }

    /// A heartbeat was answered after so long.
    pub fn round_trip_measured(&mut self, now: Timestamp, round_trip: TimeSpan) {
        self.last_message = now;
        let newest = round_trip.as_secs_f64().max(0.0);
        self.round_trip = Some(match self.round_trip {
            None => RoundTrip { mean: newest, deviation: newest / 2.0 },
            Some(known) => known.updated(newest),
        });
    }

    /// What a round trip takes at most, in all but rare cases; none without a link.
    pub fn round_trip_bound(&self) -> Option<TimeSpan> {
        self.round_trip.map(|known| TimeSpan::from_secs_f64(known.bound()))
    }

    /// The mean round trip; none without a link.
    pub fn mean_round_trip(&self) -> Option<TimeSpan> {
        self.round_trip.map(|known| TimeSpan::from_secs_f64(known.mean))
    }

    /// A forward is sent; its id here.
    pub fn forward_sent(&mut self, now: Timestamp) -> u64 {
        self.last_id += 1;
        if self.outstanding.is_empty() {
            self.last_answer = now;
        }
        self.outstanding.insert(self.last_id, now);
        self.last_id
    }

    /// Part of a forward was answered.
    pub fn part_answered(&mut self, now: Timestamp) {
        self.last_answer = now;
    }

    /// The forward of that id has ended.
    pub fn forward_ended(&mut self, now: Timestamp, id: u64, result: ForwardResult) {
        let Some(sent) = self.outstanding.remove(&id) else { return };
        match result {
            ForwardResult::Answered => self.forward_answered(now, sent),
            ForwardResult::Rejected(retry_after) => {
                self.last_answer = now;
                self.retry_after = self.retry_after.max(now + retry_after.min(MAX_RETRY_AFTER));
            }
            ForwardResult::Neutral => {}
            ForwardResult::Failed => self.ejection = self.ejection_after_failure(now),
        }
    }

    fn forward_answered(&mut self, now: Timestamp, sent: Timestamp) {
        self.last_answer = now;
        let took = (now - sent).as_secs_f64();
        self.usual_time = Some(self.usual_time.map_or(took, |usual| usual + MEAN_WEIGHT * (took - usual)));
        self.ejection = match self.ejection {
            EjectionState::Trial { answered, ejections } if answered + 1 < TRIALS_TO_RETURN => {
                EjectionState::Trial { answered: answered + 1, ejections }
            }
            EjectionState::Ejected { .. } => self.ejection,
            _ => EjectionState::Healthy { failures: 0 },
        };
    }

    fn ejection_after_failure(&self, now: Timestamp) -> EjectionState {
        match self.ejection {
            EjectionState::Healthy { failures } if failures + 1 < MAX_FAILURES => {
                EjectionState::Healthy { failures: failures + 1 }
            }
            EjectionState::Healthy { .. } => {
                EjectionState::Ejected { until: now + EJECTION_TIME, ejections: 1 }
            }
            EjectionState::Trial { ejections, .. } => {
                let doubled = EJECTION_TIME * f64::from(1u32 << ejections.min(MAX_EJECTION_DOUBLINGS));
                let until = now + doubled.min(MAX_EJECTION_TIME);
                EjectionState::Ejected { until, ejections: ejections + 1 }
            }
            ejected @ EjectionState::Ejected { .. } => ejected,
        }
    }

    /// The delay of the site's cells while parts may be sent there; none while it is closed.
    pub fn delay(&mut self, now: Timestamp) -> Option<TimeSpan> {
        if let EjectionState::Ejected { until, ejections } = self.ejection
            && now >= until
        {
            self.ejection = EjectionState::Trial { answered: 0, ejections };
        }
        let round_trip = self.round_trip_bound().filter(|_| self.links_up > 0)?;
        let max_silence = HEARTBEAT_INTERVAL * SILENT_HEARTBEATS + round_trip * SILENT_ROUND_TRIPS;
        let admitted = match self.ejection {
            EjectionState::Healthy { .. } => true,
            EjectionState::Ejected { .. } => false,
            EjectionState::Trial { .. } => self.outstanding.is_empty(),
        };
        let is_open = admitted
            && now - self.last_message <= max_silence
            && now >= self.retry_after
            && !self.is_stuck(now);
        is_open.then(|| round_trip + self.local_preference)
    }

    /// It has forwards of ours and answers none.
    fn is_stuck(&self, now: Timestamp) -> bool {
        let Some(&oldest) = self.outstanding.values().min() else { return false };
        let usual = TimeSpan::from_secs_f64(self.usual_time.unwrap_or(0.0)) * STUCK_USUAL_TIMES;
        let round_trip = self.mean_round_trip().unwrap_or(TimeSpan::ZERO);
        now - oldest.max(self.last_answer) > usual.max(MIN_STUCK_TIME + round_trip)
    }

    /// How many forwards are outstanding.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }
}

#[cfg(test)]
mod tests;
