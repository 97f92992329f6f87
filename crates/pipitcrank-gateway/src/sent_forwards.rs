//! Forwards that are outstanding on one stream, by number, and what each change of its connection means for them. No I/O.
//! Outcomes keep their meaning between sites:
//!
//! | what is known | outcome of the part's attempt |
//! | --- | --- |
//! | answered | success |
//! | its frame was not written whole; or the other site says that it was never received, that nothing of it was begun, that it rejects it | never ran |
//! | written whole, and the link broke, or another process answers there now | may have run |
//! | the other site says that it failed | ran and failed, or may have |
//!
//! A part that is not idempotent and in doubt waits for a new connection to the same process, which is asked by number;
//! until then, or its deadline, it is neither retried nor cancelled.

use std::collections::BTreeMap;

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::Timestamp;

use crate::frames::ForwardOutcome;
use crate::site_health::ForwardResult;

/// One part of a forward and the attempt that it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardedPart<A> {
    /// The part's shard.
    pub shard: u32,
    /// The exchange's attempt.
    pub attempt: A,
}

/// A forward that is about to be sent.
#[derive(Debug)]
pub struct NewForward<A> {
    /// Its parts.
    pub parts: Vec<ForwardedPart<A>>,
    /// Whether its parts may run twice.
    pub idempotent: bool,
    /// The exchange's number of the retries delegated with it.
    pub delegation: u64,
    /// Its number in [`crate::site_health::SiteHealth`].
    pub health_id: u64,
    /// When its attempts end at the latest.
    pub deadline: Timestamp,
}

struct OutstandingForward<A> {
    /// What was sent; answered and cancelled parts are removed.
    forward: NewForward<A>,
    /// Its frame was written whole.
    written: bool,
    /// The connection that it was written to is lost.
    in_doubt: bool,
    /// A part of it was answered.
    any_answered: bool,
}

/// A forward that has ended.
#[derive(Debug, PartialEq)]
pub struct ClosedForward<A> {
    /// Attempts of parts not answered.
    pub attempts: Vec<A>,
    /// How these attempts end.
    pub outcome: AttemptOutcome,
    /// The exchange's number of the retries delegated with it.
    pub delegation: u64,
    /// How many of those were made; none where that is not known.
    pub retries_made: Option<u32>,
    /// Its number in [`crate::site_health::SiteHealth`].
    pub health_id: u64,
    /// What it tells of the site's health.
    pub result: ForwardResult,
}

/// A part that was cancelled.
#[derive(Debug, PartialEq)]
pub struct CancelledPart {
    /// The forward's number.
    pub number: u64,
    /// None of the forward's parts is waited for any more.
    pub last: bool,
}

/// What is to be done with forwards in doubt after a new connection.
#[derive(Debug, PartialEq)]
pub enum Reconnection<A> {
    /// The same process is there: it is asked for the status of these.
    RequestStatus(Vec<u64>),
    /// Another process is there, which can't tell: these may have run.
    Closed(Vec<ClosedForward<A>>),
}

/// Outstanding forwards of one stream.
pub struct SentForwards<A> {
    next_number: u64,
    /// Each is removed at its end or deadline.
    outstanding: BTreeMap<u64, OutstandingForward<A>>,
}

impl<A> Default for SentForwards<A> {
    fn default() -> SentForwards<A> {
        SentForwards { next_number: 1, outstanding: BTreeMap::new() }
    }
}

impl<A: Copy + PartialEq> SentForwards<A> {
    /// How many forwards are outstanding.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Adds a forward whose frame is about to be begun; its number.
    pub fn begin(&mut self, forward: NewForward<A>) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let new = OutstandingForward { forward, written: false, in_doubt: false, any_answered: false };
        self.outstanding.insert(number, new);
        number
    }

    /// The last byte of its frame was written.
    pub fn mark_written(&mut self, number: u64) {
        if let Some(outstanding) = self.outstanding.get_mut(&number) {
            outstanding.written = true;
        }
    }

    /// A part was answered: its attempt, the first time.
    pub fn part_answered(&mut self, number: u64, shard: u32) -> Option<A> {
        let outstanding = self.outstanding.get_mut(&number)?;
        outstanding.any_answered = true;
        let parts = &mut outstanding.forward.parts;
        let index = parts.iter().position(|part| part.shard == shard)?;
        Some(parts.swap_remove(index).attempt)
    }

    /// The other site says that the forward has ended; none where it had ended before.
    pub fn end(
        &mut self,
        number: u64,
        outcome: ForwardOutcome,
        retries_made: u32,
    ) -> Option<ClosedForward<A>> {
        let outstanding = self.outstanding.remove(&number)?;
        let all_answered = outstanding.all_answered();
        let (attempt_outcome, result) = match outcome {
            ForwardOutcome::Complete if all_answered => (AttemptOutcome::Success, ForwardResult::Answered),
            // A faulty peer may call a forward complete and leave parts out: they may have run.
            ForwardOutcome::Complete => (AttemptOutcome::Fault, ForwardResult::Failed),
            ForwardOutcome::Rejected { retry_after } => {
                (AttemptOutcome::NoCapacity, ForwardResult::Rejected(retry_after))
            }
            ForwardOutcome::Aborted if all_answered => (AttemptOutcome::Fault, ForwardResult::Neutral),
            ForwardOutcome::Aborted => (AttemptOutcome::Fault, ForwardResult::Failed),
            ForwardOutcome::TooLate => (AttemptOutcome::NeverSent, ForwardResult::Neutral),
            ForwardOutcome::NotServed => (AttemptOutcome::Unreachable, ForwardResult::Failed),
            ForwardOutcome::Unknown => (AttemptOutcome::Unreachable, ForwardResult::Neutral),
        };
        let not_begun =
            matches!(outcome, ForwardOutcome::TooLate | ForwardOutcome::NotServed | ForwardOutcome::Unknown);
        // What was not begun made no retries, whatever the peer says.
        let retries_made = if not_begun { 0 } else { retries_made };
        Some(outstanding.close(attempt_outcome, Some(retries_made), result))
    }

    /// Nobody waits for the attempt any more.
    pub fn cancel(&mut self, attempt: A) -> Option<CancelledPart> {
        let has = |o: &OutstandingForward<A>| o.forward.parts.iter().any(|part| part.attempt == attempt);
        let (&number, outstanding) = self.outstanding.iter_mut().find(|(_, o)| has(o))?;
        outstanding.forward.parts.retain(|part| part.attempt != attempt);
        Some(CancelledPart { number, last: outstanding.all_answered() })
    }

    /// The connection is lost. What may be sent elsewhere ends now; what is in doubt and not idempotent waits.
    pub fn connection_lost(&mut self) -> Vec<ClosedForward<A>> {
        let ends = |o: &OutstandingForward<A>| !o.written || o.forward.idempotent || o.all_answered();
        let ended: Vec<OutstandingForward<A>> =
            self.outstanding.extract_if(.., |_, o| ends(o)).map(|(_, o)| o).collect();
        self.outstanding.values_mut().for_each(|o| o.in_doubt = true);
        let closed = ended.into_iter().map(|o| match (o.written, o.all_answered()) {
            (false, _) => o.close(AttemptOutcome::Unreachable, Some(0), ForwardResult::Failed),
            (true, true) => o.close(AttemptOutcome::Disconnected, None, ForwardResult::Neutral),
            (true, false) => o.close(AttemptOutcome::Disconnected, None, ForwardResult::Failed),
        });
        closed.collect()
    }

    /// A new connection is up. The same process is asked what became of forwards in doubt; another can't tell, and its not
    /// knowing them proves nothing: they may have run.
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

    /// Removes those past their deadline: their attempts have ended by it already, and delegated retries count as made.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ClosedForward<A>> {
        let ended = self.outstanding.extract_if(.., |_, o| o.forward.deadline <= now);
        let closed = ended.map(|(_, o)| {
            let neutral = o.all_answered() || o.any_answered;
            let result = if neutral { ForwardResult::Neutral } else { ForwardResult::Failed };
            o.close(AttemptOutcome::TimedOut, None, result)
        });
        closed.collect()
    }
}

impl<A: Copy> OutstandingForward<A> {
    /// No part is waited for: each was answered or cancelled.
    fn all_answered(&self) -> bool {
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
