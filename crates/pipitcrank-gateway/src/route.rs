//! Whether parts may go to a site, and what the hop costs: decided here for each site, from what its links say and what
//! became of forwards. No I/O. What comes out is a narrowing: the decision module takes a site's cells as candidates at
//! that cost, or not at all; it still chooses among what is left.
//!
//! ```text
//! no link, no round trip known      -> closed
//! nothing heard for too long        -> closed until something is
//! told to stay away                 -> closed until then; no mark against the site (it is overloaded, not broken)
//! FAILS forwards in a row failed    -> held out, twice as long each time, then on trial: one forward at a time
//! GOOD trials answered              -> open
//! else                              -> open, at round trip + SPREADS spreads + what near ones are preferred by
//! ```

use std::collections::BTreeMap;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Failed forwards in a row that hold a site out: one may be a replica's fault.
const FAILS: u32 = 3;
/// Answered trials in a row that let it in again.
const GOOD: u32 = 3;
/// How long it is held out at first, and at most: the first is some round trips of any link that is of use, the last is
/// short against an outage, so that an end of it is seen soon.
const HELD_OUT: TimeSpan = TimeSpan::from_millis(500);
const HELD_OUT_MOST: TimeSpan = TimeSpan::from_millis(8000);
/// Weight of the newest round trip in the mean and of the newest distance in the spread (RFC 6298, section 2: 1/8, 1/4).
const NEWEST: f64 = 0.125;
const NEWEST_SPREAD: f64 = 0.25;
/// Spreads on top of the mean, as there.
const SPREADS: f64 = 4.0;
/// Heartbeats are sent so often; so many round trips, and so many heartbeats, without a word close the site.
pub const HEARTBEAT: TimeSpan = TimeSpan::from_millis(50);
const SILENT_BEATS: f64 = 3.0;
/// Longest time that a site can have us stay away.
const AWAY_MOST: TimeSpan = TimeSpan::from_millis(2000);
/// A site that pings well but has answered no forward for so many of its usual times (and at least so long) is closed until it does: it accepts
/// and is silent. Usual times scatter threefold.
const STUCK_TIMES: f64 = 6.0;
const STUCK_LEAST: TimeSpan = TimeSpan::from_millis(300);

/// How a forward ended, as the route sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    Answered,
    /// Told to stay away for so long.
    Rejected(TimeSpan),
    /// It could not have been back in time, or was given up by us: says nothing of the site.
    Neither,
    /// Failed, lost with its link, or not answered by its time.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trust {
    Good { fails: u32 },
    HeldOut { until: Timestamp, times: u32 },
    Trial { good: u32, times: u32 },
}

pub struct Route {
    /// What near replicas are preferred by.
    prefer_near: TimeSpan,
    /// Links up.
    links: u32,
    /// Round trip and its spread, in seconds.
    trip: Option<(f64, f64)>,
    heard: Timestamp,
    away_until: Timestamp,
    trust: Trust,
    /// Forwards out, by when they were sent; each leaves with its end.
    out: BTreeMap<u64, Timestamp>,
    /// When a forward was last answered, in whole or part, and how long they usually take in seconds.
    answered: Timestamp,
    usual: Option<f64>,
    next: u64,
}

impl Route {
    pub fn new(prefer_near: TimeSpan) -> Route {
        let never = Timestamp::from_micros(i64::MIN / 4);
        Route {
            prefer_near,
            links: 0,
            trip: None,
            heard: never,
            away_until: never,
            trust: Trust::Good { fails: 0 },
            out: BTreeMap::new(),
            answered: never,
            usual: None,
            next: 0,
        }
    }

    pub fn linked(&mut self, now: Timestamp) {
        self.links += 1;
        self.heard = now;
    }

    pub fn unlinked(&mut self) {
        self.links = self.links.saturating_sub(1);
        if self.links == 0 {
            // The next way may be another.
            self.trip = None;
        }
    }

    pub fn heard(&mut self, now: Timestamp) {
        self.heard = now;
    }

    /// A heartbeat came back after so long.
    pub fn tripped(&mut self, now: Timestamp, took: TimeSpan) {
        self.heard = now;
        let took = took.as_secs_f64().max(0.0);
        self.trip = Some(match self.trip {
            None => (took, took / 2.0),
            Some((mean, spread)) => {
                let spread = spread + NEWEST_SPREAD * ((took - mean).abs() - spread);
                // Guards against a way that turns slow at once under load: the mean would take a second to see it.
                let newest = if took > mean + SPREADS * spread { 0.5 } else { NEWEST };
                (mean + newest * (took - mean), spread)
            }
        });
    }

    /// Round trip with its spreads: what the way there and back takes, all but always.
    pub fn trip(&self) -> Option<TimeSpan> {
        self.trip.map(|(mean, spread)| TimeSpan::from_secs_f64(mean + SPREADS * spread))
    }

    pub fn mean_trip(&self) -> Option<TimeSpan> {
        self.trip.map(|(mean, _)| TimeSpan::from_secs_f64(mean))
    }

    /// A forward goes out; its mark here.
    pub fn sent(&mut self, now: Timestamp) -> u64 {
        self.next += 1;
        if self.out.is_empty() {
            self.answered = now;
        }
        self.out.insert(self.next, now);
        self.next
    }

    /// Part of a forward was answered.
    pub fn part(&mut self, now: Timestamp) {
        self.answered = now;
    }

    pub fn ended(&mut self, now: Timestamp, mark: u64, how: Ended) {
        let Some(sent) = self.out.remove(&mark) else { return };
        match how {
            Ended::Answered => {
                self.answered = now;
                let took = (now - sent).as_secs_f64();
                self.usual = Some(self.usual.map_or(took, |u| u + NEWEST * (took - u)));
                self.trust = match self.trust {
                    Trust::Trial { good, times } if good + 1 < GOOD => Trust::Trial { good: good + 1, times },
                    Trust::HeldOut { .. } => self.trust,
                    _ => Trust::Good { fails: 0 },
                };
            }
            Ended::Rejected(stay_away) => {
                self.answered = now;
                self.away_until = self.away_until.max(now + stay_away.min(AWAY_MOST));
            }
            Ended::Neither => {}
            Ended::Failed => {
                self.trust = match self.trust {
                    Trust::Good { fails } if fails + 1 < FAILS => Trust::Good { fails: fails + 1 },
                    Trust::Good { .. } => Trust::HeldOut { until: now + HELD_OUT, times: 1 },
                    Trust::Trial { times, .. } => {
                        let longer = HELD_OUT * f64::from(1u32 << times.min(10));
                        Trust::HeldOut { until: now + longer.min(HELD_OUT_MOST), times: times + 1 }
                    }
                    held => held,
                };
            }
        }
    }

    /// The cost of the hop while parts may go there.
    pub fn hop(&mut self, now: Timestamp) -> Option<TimeSpan> {
        if let Trust::HeldOut { until, times } = self.trust
            && now >= until
        {
            self.trust = Trust::Trial { good: 0, times };
        }
        let trip = self.trip().filter(|_| self.links > 0)?;
        let silent = HEARTBEAT * SILENT_BEATS + trip * 2.0;
        let trusted = match self.trust {
            Trust::Good { .. } => true,
            Trust::HeldOut { .. } => false,
            Trust::Trial { .. } => self.out.is_empty(),
        };
        let open = trusted && now - self.heard <= silent && now >= self.away_until && !self.stuck(now);
        open.then(|| trip + self.prefer_near)
    }

    /// It has forwards of ours and answers none.
    fn stuck(&self, now: Timestamp) -> bool {
        let Some(&oldest) = self.out.values().min() else { return false };
        let usual = TimeSpan::from_secs_f64(self.usual.unwrap_or(0.0)) * STUCK_TIMES;
        let trip = self.mean_trip().unwrap_or(TimeSpan::ZERO);
        now - oldest.max(self.answered) > usual.max(STUCK_LEAST + trip)
    }

    pub fn out(&self) -> usize {
        self.out.len()
    }
}

#[cfg(test)]
mod tests;
