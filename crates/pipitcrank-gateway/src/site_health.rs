//! Health of one remote site: whether it is open, which means that parts may be sent to it, and the delay of its cells.
//! Both follow from the state of its links and the outcomes of forwards. No I/O. The `Coordinator` adds the cells of an
//! open site to its candidates, with that delay, and ignores those of a closed site.
//!
//! ```text
//! no connection, or round trip unknown          -> closed
//! nothing received for too long                 -> closed until the next message
//! forwards outstanding, none answered too long  -> closed until the next answer
//! rejection with a retry-after                  -> closed until it has passed; no failure, only overload
//! MAX_FAILURES consecutive failures             -> ejected, twice as long each time; then trials with one forward each
//! TRIALS_TO_RETURN trials answered              -> open
//! otherwise                                     -> open, delay = bound of the round trip + local preference
//! ```

use std::collections::BTreeMap;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Consecutive failed forwards after which a site is ejected; a single failure may be the fault of one replica.
const MAX_FAILURES: u32 = 3;
/// Consecutive answered trials after which a site is healthy again.
const TRIALS_TO_RETURN: u32 = 3;
/// Duration of the first ejection: several round trips of any usable link.
const EJECTION_TIME: TimeSpan = TimeSpan::from_millis(500);
/// Maximum duration of an ejection; short compared with an outage, so that recovery is detected soon.
const MAX_EJECTION_TIME: TimeSpan = TimeSpan::from_millis(8000);
/// Maximum number of doublings in the computation of an ejection's duration.
const MAX_EJECTION_DOUBLINGS: u32 = 10;
/// Weight of the newest sample in a mean (RFC 6298, section 2: alpha).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest deviation in the mean deviation (RFC 6298, section 2: beta).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Weight in the mean of a round trip above the bound. With [`MEAN_WEIGHT`] the mean would take a second to follow a
/// link that suddenly becomes slow under load.
const OUTLIER_WEIGHT: f64 = 0.5;
/// Number of mean deviations between the mean and the bound, as in RFC 6298.
const DEVIATION_MULTIPLIER: f64 = 4.0;
/// Interval of heartbeats on a link.
pub const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// A site is closed after this many heartbeat intervals plus [`MAX_SILENT_ROUND_TRIPS`] round trips without a message.
const MAX_SILENT_HEARTBEATS: f64 = 3.0;
/// See [`MAX_SILENT_HEARTBEATS`].
const MAX_SILENT_ROUND_TRIPS: f64 = 2.0;
/// Maximum retry-after; a longer one in a rejection is shortened to it.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2000);
/// Multiple of the mean duration of forwards. A site that answers pings, but no forward for this long and for at least
/// [`MIN_STALL_TIME`], is closed until it answers one. Normal durations vary by a factor of three.
const STALL_FACTOR: f64 = 6.0;
/// See [`STALL_FACTOR`].
const MIN_STALL_TIME: TimeSpan = TimeSpan::from_millis(300);

/// Outcome of a forward in terms of the site's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ForwardResult {
    /// All parts were answered.
    Answered,
    /// The site is overloaded and should receive no forwards for this time.
    Rejected(TimeSpan),
    /// The forward had too little time left or was cancelled, which indicates nothing about the site.
    Neutral,
    /// The forward failed, was lost with its connection, or was not answered by its deadline.
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
    /// Upper bound of nearly all round trips, in seconds.
    fn bound(self) -> f64 {
        self.mean + DEVIATION_MULTIPLIER * self.deviation
    }

    fn updated(self, newest: f64) -> RoundTrip {
        let RoundTrip { mean, deviation } = self;
        let deviation = deviation + DEVIATION_WEIGHT * ((newest - mean).abs() - deviation);
        let is_outlier = newest > mean + DEVIATION_MULTIPLIER * deviation;
        let weight = if is_outlier { OUTLIER_WEIGHT } else { MEAN_WEIGHT };
        RoundTrip { mean: mean + weight * (newest - mean), deviation }
    }
}

/// Health of one site.
pub struct SiteHealth {
    /// Added to the round trip, so that local replicas are preferred over the site's.
    local_preference: TimeSpan,
    links_up: u32,
    round_trip: Option<RoundTrip>,
    last_message: Timestamp,
    retry_after: Timestamp,
    ejection: EjectionState,
    /// Send time of each outstanding forward, by id; removed when the forward ends.
    outstanding: BTreeMap<u64, Timestamp>,
    /// Last time of progress: an answer, a rejection, or a forward sent while none was outstanding.
    last_answer: Timestamp,
    /// Mean duration of answered forwards, in seconds.
    mean_duration: Option<f64>,
    last_id: u64,
}

impl SiteHealth {
    /// A site without a connection; `local_preference` is added to its round trip.
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
            mean_duration: None,
            last_id: 0,
        }
    }

    /// Records that a connection to the site was established.
    pub fn link_up(&mut self, now: Timestamp) {
        self.links_up += 1;
        self.last_message = now;
    }

    /// Records that a connection to the site has ended.
    pub fn link_down(&mut self) {
        self.links_up = self.links_up.saturating_sub(1);
        if self.links_up == 0 {
            // The next connection may use another network path.
            self.round_trip = None;
        }
    }

    /// Records that bytes were received from the site.
    pub fn message_received(&mut self, now: Timestamp) {
        self.last_message = now;
    }

    /// Records the round trip of a heartbeat.
    pub fn round_trip_measured(&mut self, now: Timestamp, round_trip: TimeSpan) {
        self.last_message = now;
        let newest = round_trip.as_secs_f64().max(0.0);
        self.round_trip = Some(match self.round_trip {
            None => RoundTrip { mean: newest, deviation: newest / 2.0 },
            Some(known) => known.updated(newest),
        });
    }

    /// Upper bound of nearly all round trips; `None` if unknown.
    pub fn round_trip_bound(&self) -> Option<TimeSpan> {
        self.round_trip.map(|known| TimeSpan::from_secs_f64(known.bound()))
    }

    /// Mean round trip; `None` if unknown.
    pub fn mean_round_trip(&self) -> Option<TimeSpan> {
        self.round_trip.map(|known| TimeSpan::from_secs_f64(known.mean))
    }

    /// Records that a forward is sent and returns its id in this state machine.
    pub fn forward_sent(&mut self, now: Timestamp) -> u64 {
        self.last_id += 1;
        if self.outstanding.is_empty() {
            self.last_answer = now;
        }
        self.outstanding.insert(self.last_id, now);
        self.last_id
    }

    /// Records that a part of a forward was answered.
    pub fn part_answered(&mut self, now: Timestamp) {
        self.last_answer = now;
    }

    /// Records the result of the forward `id`.
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
        let duration = (now - sent).as_secs_f64();
        self.mean_duration =
            Some(self.mean_duration.map_or(duration, |mean| mean + MEAN_WEIGHT * (duration - mean)));
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

    /// Delay of the site's cells while the site is open; `None` while it is closed.
    pub fn delay(&mut self, now: Timestamp) -> Option<TimeSpan> {
        if let EjectionState::Ejected { until, ejections } = self.ejection
            && now >= until
        {
            self.ejection = EjectionState::Trial { answered: 0, ejections };
        }
        let round_trip = self.round_trip_bound().filter(|_| self.links_up > 0)?;
        let max_silence = HEARTBEAT_INTERVAL * MAX_SILENT_HEARTBEATS + round_trip * MAX_SILENT_ROUND_TRIPS;
        let ejection_permits = match self.ejection {
            EjectionState::Healthy { .. } => true,
            EjectionState::Ejected { .. } => false,
            EjectionState::Trial { .. } => self.outstanding.is_empty(),
        };
        let is_open = ejection_permits
            && now - self.last_message <= max_silence
            && now >= self.retry_after
            && !self.is_stalled(now);
        is_open.then(|| round_trip + self.local_preference)
    }

    /// Whether forwards are outstanding and none has been answered for too long.
    fn is_stalled(&self, now: Timestamp) -> bool {
        let Some(&oldest) = self.outstanding.values().min() else { return false };
        let max_duration = TimeSpan::from_secs_f64(self.mean_duration.unwrap_or(0.0)) * STALL_FACTOR;
        let round_trip = self.mean_round_trip().unwrap_or(TimeSpan::ZERO);
        now - oldest.max(self.last_answer) > max_duration.max(MIN_STALL_TIME + round_trip)
    }

    /// Number of outstanding forwards.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }
}

#[cfg(test)]
mod tests;
