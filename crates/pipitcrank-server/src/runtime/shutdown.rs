//! Times of a graceful shutdown.
//!
//! All of them follow from the longest deadline of a client, since the platform's grace before it kills does: first
//! admission goes on, then connections that clients still use, then the last answers.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::watch;

/// When shutdown was requested; none until it is.
pub type ShutdownRequest = watch::Receiver<Option<Timestamp>>;

/// The platform kills no sooner than the longest deadline after asking, which it counts as this where it is longer ...
const MAX_COUNTED_DEADLINE: TimeSpan = TimeSpan::from_millis(3000);
/// ... plus this. Both are the protocol's.
const GRACE_BEYOND_DEADLINE: TimeSpan = TimeSpan::from_millis(700);
/// The longest grace, in seconds, of which the fractions below are given.
const MAX_GRACE_S: f64 = 3.7;
/// Fraction of the grace for which admission goes on as before: the layer in front may have nobody else to send clients to.
const ADMISSION: f64 = 1.5 / MAX_GRACE_S;
/// Fraction of the grace after which a connection ends on which nothing came: clients use theirs more often.
const IDLE: f64 = 0.5 / MAX_GRACE_S;
/// Fraction of the grace by which the last answer is given: the rest is for it to be written and read.
const LAST_ANSWER: f64 = 3.3 / MAX_GRACE_S;
/// Of the time after the last answer, the fraction for which accepting may go on where it fails.
const ACCEPT_QUEUE: f64 = 0.5;
/// New connections come for up to 0.4 s after shutdown was requested, whatever the deadlines, and are accepted a little later
/// by a process that waits for the processor.
const MIN_ADMISSION: TimeSpan = TimeSpan::from_millis(450);

/// Times of a graceful shutdown, counted from when it was requested. With short deadlines the grace is short: the schedule
/// shrinks with it, so that the kill finds no open query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then connections are accepted and kept as before.
    pub admit_until: TimeSpan,
    /// From then on a connection ends with its answer, or when nothing came on it for this long.
    pub idle: TimeSpan,
    /// Every open query is answered by then.
    pub last_answer: TimeSpan,
    /// Clients still in the accept queue by then are left.
    pub accept_queue_until: TimeSpan,
}

impl ShutdownSchedule {
    /// The schedule that follows from the longest deadline of a client.
    pub fn of(max_deadline: TimeSpan) -> ShutdownSchedule {
        let grace = max_deadline.min(MAX_COUNTED_DEADLINE) + GRACE_BEYOND_DEADLINE;
        let (admit_until, idle, last_answer) = (grace * ADMISSION, grace * IDLE, grace * LAST_ANSWER);
        let accept_queue_until = last_answer + (grace - last_answer) * ACCEPT_QUEUE;
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
