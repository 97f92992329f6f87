//! The schedule of a graceful shutdown.
//!
//! All times derive from the longest client deadline, as does the platform's grace period before it kills the process. At first
//! the server admits clients as before, then it closes idle connections, and at last it answers the open queries.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::watch;

/// Time of the shutdown request; `None` until then.
pub type ShutdownRequest = watch::Receiver<Option<Timestamp>>;

/// Cap of the longest client deadline in the platform's grace period, as specified by the protocol.
const MAX_COUNTED_DEADLINE: TimeSpan = TimeSpan::from_millis(3000);
/// The platform's grace period beyond the longest client deadline, as specified by the protocol.
const GRACE_BEYOND_DEADLINE: TimeSpan = TimeSpan::from_millis(700);
/// The longest grace period, to which the numerators of the fractions below refer.
const MAX_GRACE_S: f64 = 3.7;
/// Fraction of the grace period in which clients are admitted as before, as the load balancer in front may have no alternative yet.
const ADMISSION_FRACTION: f64 = 1.5 / MAX_GRACE_S;
/// Idle timeout of connections as a fraction of the grace period; clients use their connections more often than that.
const IDLE_FRACTION: f64 = 0.5 / MAX_GRACE_S;
/// Fraction of the grace period by which every query is answered; the rest is left for writing and reading the responses.
const LAST_ANSWER_FRACTION: f64 = 3.3 / MAX_GRACE_S;
/// Fraction of the time after the last answer for which failing accepts are retried.
const ACCEPT_QUEUE_FRACTION: f64 = 0.5;
/// Shortest admission. New connections arrive for up to 0.4 s after the shutdown request, whatever the deadlines are, and a
/// process waiting for the CPU accepts them a little later.
const MIN_ADMISSION: TimeSpan = TimeSpan::from_millis(450);

/// Times of a graceful shutdown, relative to the shutdown request. They shrink with the grace period, which is short if all
/// client deadlines are, so that no query is open when the process is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// End of the time in which connections are accepted and kept open as before.
    pub admit_until: TimeSpan,
    /// Idle timeout of connections after `admit_until`; a connection in use is closed after its next response.
    pub idle: TimeSpan,
    /// Time by which every open query is answered.
    pub last_answer: TimeSpan,
    /// Time at which clients still in the accept queue are abandoned.
    pub accept_queue_until: TimeSpan,
}

impl ShutdownSchedule {
    /// Derives the schedule from the longest client deadline.
    pub fn of(max_deadline: TimeSpan) -> ShutdownSchedule {
        let grace = max_deadline.min(MAX_COUNTED_DEADLINE) + GRACE_BEYOND_DEADLINE;
        let (admit_until, idle, last_answer) =
            (grace * ADMISSION_FRACTION, grace * IDLE_FRACTION, grace * LAST_ANSWER_FRACTION);
        let accept_queue_until = last_answer + (grace - last_answer) * ACCEPT_QUEUE_FRACTION;
        ShutdownSchedule {
            admit_until: admit_until.max(MIN_ADMISSION),
            idle,
            last_answer,
            accept_queue_until,
        }
    }
}

#[cfg(test)]
mod tests;
