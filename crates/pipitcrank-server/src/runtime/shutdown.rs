//! The hours of an orderly end. All of them follow from the longest time for which a client is told to be waited for,
//! since the platform's grace before it kills does: taking on, then the connections that clients still use, then the
//! last answers. Shapes: spans counted from the moment at which the end was called.

use pipitcrank_core::time::TimeSpan;

/// The platform kills no sooner after asking than the longest deadline, counted as this where it is longer ...
const LONGEST_COUNTED: TimeSpan = TimeSpan::from_millis(3000);
/// ... plus this. Both are the protocol's.
const BEYOND: TimeSpan = TimeSpan::from_millis(700);
/// Shares of that grace. For the first all goes on as before, since the front may have nobody else to send clients to:
/// 1.5 s of the longest grace, 3.7 s; longer and much longer were measured and were worse.
const STAY: f64 = 1.5 / 3.7;
/// A connection of which nothing came for so long ends: what clients use they use more often, 0.5 s of 3.7 s.
const IDLE: f64 = 0.5 / 3.7;
/// The last answer replicas by then: 0.4 s of 3.7 s are left to be written, to be read, and to have been heard late.
const LAST_ANSWER: f64 = 3.3 / 3.7;
/// Of what is left then, accepting may go on for this share where it fails.
const QUEUE_SHARE: f64 = 0.5;
/// New connections come for up to 0.4 s after the end was called, whatever the deadlines, and are taken on a little
/// later by a process that waits for the processor.
const NEWCOMERS: TimeSpan = TimeSpan::from_millis(450);

/// Guards against a kill that finds queries taken after the end was called: with deadlines of 1.5 s the grace is 2.2 s,
/// and what was taken in it was held for up to 3.3 s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// So long connections are taken and kept as before.
    pub stay: TimeSpan,
    /// From then on a connection ends with its answer, or when nothing came on it for so long.
    pub idle: TimeSpan,
    /// Whatever is held is answered by then.
    pub last_answer: TimeSpan,
    /// Who waits in the accept queue by then, and could not be accepted, is left.
    pub queue_until: TimeSpan,
}

impl ShutdownSchedule {
    /// `longest`: how long a client is waited for at most.
    pub fn of(longest: TimeSpan) -> ShutdownSchedule {
        let grace = longest.min(LONGEST_COUNTED) + BEYOND;
        let (stay, idle, last_answer) = (grace * STAY, grace * IDLE, grace * LAST_ANSWER);
        let queue_until = last_answer + (grace - last_answer) * QUEUE_SHARE;
        ShutdownSchedule { stay: stay.max(NEWCOMERS), idle, last_answer, queue_until }
    }
}

#[cfg(test)]
mod tests;
