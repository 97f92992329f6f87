//! Outstanding forwards of one stream, by number, and their outcomes when its connection breaks. No I/O.
//! Attempt outcomes keep their meaning across sites:
//!
//! | state of the part's forward | outcome of the part's attempt |
//! | --- | --- |
//! | the part was answered | success |
//! | the frame was not written completely | did not run |
//! | the other site reported that the forward was never received, was not started or is rejected | did not run |
//! | the frame was written, then the connection broke or the peer's process was replaced | may have run |
//! | the other site reported a failure | ran and failed, or may have run |
//!
//! A non-idempotent forward in doubt waits for a new connection to the same process and a status request for its
//! number. Until its status is received or its deadline passes, its parts are neither retried nor cancelled.

use std::collections::BTreeMap;

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::Timestamp;

use crate::frames::ForwardOutcome;
use crate::site_health::ForwardResult;

/// One part of a forward, with the attempt that the part belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardedPart<A> {
    /// The part's shard.
    pub shard: u32,
    /// The attempt in the exchange.
    pub attempt: A,
}

/// A forward to be sent.
#[derive(Debug)]
pub struct NewForward<A> {
    /// The parts of the forward.
    pub parts: Vec<ForwardedPart<A>>,
    /// Whether the parts may run twice.
    pub idempotent: bool,
    /// Number of the retry delegation in the exchange.
    pub delegation: u64,
    /// Id of the forward in [`crate::site_health::SiteHealth`].
    pub health_id: u64,
    /// Deadline of the attempts.
    pub deadline: Timestamp,
}

struct OutstandingForward<A> {
    /// The forward without its answered and cancelled parts.
    forward: NewForward<A>,
    /// Whether the frame was written completely.
    written: bool,
    /// Whether the forward was written to a connection that has ended since.
    in_doubt: bool,
    /// Whether a part was answered.
    any_answered: bool,
}

/// A forward that has ended.
#[derive(Debug, PartialEq)]
pub struct ClosedForward<A> {
    /// Attempts of the unanswered parts.
    pub attempts: Vec<A>,
    /// Outcome of these attempts.
    pub outcome: AttemptOutcome,
    /// Number of the retry delegation in the exchange.
    pub delegation: u64,
    /// Number of delegated retries that were made; `None` if unknown.
    pub retries_made: Option<u32>,
    /// Id of the forward in [`crate::site_health::SiteHealth`].
    pub health_id: u64,
    /// Result for the site's health.
    pub result: ForwardResult,
}

/// A part that was cancelled.
#[derive(Debug, PartialEq)]
pub struct CancelledPart {
    /// The forward's number.
    pub number: u64,
    /// Whether no part of the forward is outstanding any more.
    pub last: bool,
}

/// Handling of the forwards in doubt after a reconnection.
#[derive(Debug, PartialEq)]
pub enum Reconnection<A> {
    /// The peer is the same process: request the status of these forwards.
    RequestStatus(Vec<u64>),
    /// The peer is another process, which has no record of these forwards: they may have run.
    Closed(Vec<ClosedForward<A>>),
}

/// Outstanding forwards of one stream.
pub struct SentForwards<A> {
    next_number: u64,
    /// Outstanding forwards by number; each is removed when it ends or its deadline passes.
    outstanding: BTreeMap<u64, OutstandingForward<A>>,
}

impl<A> Default for SentForwards<A> {
    fn default() -> SentForwards<A> {
        SentForwards { next_number: 1, outstanding: BTreeMap::new() }
    }
}

impl<A: Copy + PartialEq> SentForwards<A> {
    /// Number of outstanding forwards.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Adds a forward before its frame is queued for sending, and returns its number.
    pub fn begin(&mut self, forward: NewForward<A>) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let entry = OutstandingForward { forward, written: false, in_doubt: false, any_answered: false };
        self.outstanding.insert(number, entry);
        number
    }

    /// Records that the frame of the forward was written completely.
    pub fn mark_written(&mut self, number: u64) {
        if let Some(outstanding) = self.outstanding.get_mut(&number) {
            outstanding.written = true;
        }
    }

    /// Records the answer to a part and returns the part's attempt; `None` if the part is not outstanding.
    pub fn part_answered(&mut self, number: u64, shard: u32) -> Option<A> {
        let outstanding = self.outstanding.get_mut(&number)?;
        outstanding.any_answered = true;
        let parts = &mut outstanding.forward.parts;
        let index = parts.iter().position(|part| part.shard == shard)?;
        Some(parts.swap_remove(index).attempt)
    }

    /// Closes a forward whose end the other site reported; returns `None` if it was not outstanding.
    pub fn end(
        &mut self,
        number: u64,
        outcome: ForwardOutcome,
        retries_made: u32,
    ) -> Option<ClosedForward<A>> {
        let outstanding = self.outstanding.remove(&number)?;
        let is_settled = outstanding.is_settled();
        let (attempt_outcome, result) = match outcome {
            ForwardOutcome::Complete if is_settled => (AttemptOutcome::Success, ForwardResult::Answered),
            // A faulty peer can report a forward complete without all answers; the missing parts may have run.
            ForwardOutcome::Complete => (AttemptOutcome::Fault, ForwardResult::Failed),
            ForwardOutcome::Rejected { retry_after } => {
                (AttemptOutcome::NoCapacity, ForwardResult::Rejected(retry_after))
            }
            ForwardOutcome::Aborted if is_settled => (AttemptOutcome::Fault, ForwardResult::Neutral),
            ForwardOutcome::Aborted => (AttemptOutcome::Fault, ForwardResult::Failed),
            ForwardOutcome::TooLate => (AttemptOutcome::NeverSent, ForwardResult::Neutral),
            ForwardOutcome::NotServed => (AttemptOutcome::Unreachable, ForwardResult::Failed),
            ForwardOutcome::Unknown => (AttemptOutcome::Unreachable, ForwardResult::Neutral),
        };
        let not_started =
            matches!(outcome, ForwardOutcome::TooLate | ForwardOutcome::NotServed | ForwardOutcome::Unknown);
        // A forward that was not started made no retries; a different count from the peer is ignored.
        let retries_made = if not_started { 0 } else { retries_made };
        Some(outstanding.close(attempt_outcome, Some(retries_made), result))
    }

    /// Removes the part of a cancelled attempt; returns `None` if it is not outstanding.
    pub fn cancel(&mut self, attempt: A) -> Option<CancelledPart> {
        let has_attempt =
            |o: &OutstandingForward<A>| o.forward.parts.iter().any(|part| part.attempt == attempt);
        let (&number, outstanding) = self.outstanding.iter_mut().find(|(_, o)| has_attempt(o))?;
        outstanding.forward.parts.retain(|part| part.attempt != attempt);
        Some(CancelledPart { number, last: outstanding.is_settled() })
    }

    /// Handles the end of the connection: closes and returns all forwards except those that are in doubt and not
    /// idempotent, which wait for a new connection.
    pub fn connection_lost(&mut self) -> Vec<ClosedForward<A>> {
        let can_close = |o: &OutstandingForward<A>| !o.written || o.forward.idempotent || o.is_settled();
        let ended: Vec<OutstandingForward<A>> =
            self.outstanding.extract_if(.., |_, o| can_close(o)).map(|(_, o)| o).collect();
        self.outstanding.values_mut().for_each(|o| o.in_doubt = true);
        let closed = ended.into_iter().map(|o| match (o.written, o.is_settled()) {
            (false, _) => o.close(AttemptOutcome::Unreachable, Some(0), ForwardResult::Failed),
            (true, true) => o.close(AttemptOutcome::Disconnected, None, ForwardResult::Neutral),
            (true, false) => o.close(AttemptOutcome::Disconnected, None, ForwardResult::Failed),
        });
        closed.collect()
    }

    /// Handles a new connection. The same process can report the status of forwards in doubt. Another process has no
    /// record of them, which does not prove that they did not run, so they are closed as forwards that may have run.
    pub fn reconnected(&mut self, same_process: bool) -> Reconnection<A> {
        if same_process {
            let in_doubt = self.outstanding.iter().filter(|(_, o)| o.in_doubt);
            return Reconnection::RequestStatus(in_doubt.map(|(number, _)| *number).collect());
        }
        let ended = self.outstanding.extract_if(.., |_, o| o.in_doubt);
        let closed =
            ended.map(|(_, o)| o.close(AttemptOutcome::Disconnected, None, ForwardResult::Failed)).collect();
        Reconnection::Closed(closed)
    }

    /// Closes the forwards past their deadline. Their attempts have timed out already, and the delegated retries count
    /// as made.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ClosedForward<A>> {
        let ended = self.outstanding.extract_if(.., |_, o| o.forward.deadline <= now);
        let closed = ended.map(|(_, o)| {
            let is_neutral = o.is_settled() || o.any_answered;
            let result = if is_neutral { ForwardResult::Neutral } else { ForwardResult::Failed };
            o.close(AttemptOutcome::TimedOut, None, result)
        });
        closed.collect()
    }
}

impl<A: Copy> OutstandingForward<A> {
    /// Whether no part is outstanding: each was answered or cancelled.
    fn is_settled(&self) -> bool {
        self.forward.parts.is_empty()
    }

    fn close(
        self,
        outcome: AttemptOutcome,
        retries_made: Option<u32>,
        result: ForwardResult,
    ) -> ClosedForward<A> {
        let NewForward { parts, delegation, health_id, .. } = self.forward;
        let attempts = parts.into_iter().map(|part| part.attempt).collect();
        ClosedForward { attempts, outcome, delegation, retries_made, health_id, result }
    }
}

#[cfg(test)]
mod tests;
