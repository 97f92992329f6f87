//! The send guard: every attempt is checked immediately before its first byte is written.
//!
//! While an attempt waits for its socket, its query may end, its deadline may pass or its replica may start to drain.
//! Such an attempt is dropped and counts as never sent.

use pipitcrank_core::ids::{AttemptId, AttemptOutcome, ReplicaId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::attempt_handle::AttemptHandle;
use super::query::REQUEST_LOG_TARGET;
use super::state::Exchange;
use crate::audit::SentAttempt;
use crate::reasons::SendDenied;
use crate::replicas::frames::CallPart;
use crate::runtime::counter_names::group;

impl Exchange {
    /// Removes the attempts that must no longer be sent from `attempts`. Returns the call parts to write for the
    /// others, in the same order.
    pub fn authorize_send(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        attempts: &mut Vec<AttemptHandle>,
    ) -> Vec<CallPart> {
        let mut allowed = Vec::new();
        attempts.retain(|&attempt| match self.authorize_attempt(now, replica, attempt) {
            Some(part) => {
                allowed.push(part);
                true
            }
            None => false,
        });
        allowed
    }

    fn authorize_attempt(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        attempt: AttemptHandle,
    ) -> Option<CallPart> {
        // An attempt is sent only to its own replica, and only once. A queued attempt may have ended meanwhile.
        let entry = self.table.outstanding_mut(attempt);
        let entry = entry.filter(|entry| entry.replica == replica && !entry.authorized)?;
        entry.authorized = true;
        let deadline = entry.deadline;
        match self.check_send(now, replica, attempt.id, deadline) {
            Ok(part) => {
                self.record_sent(now, replica, attempt.id, part.time_left);
                Some(part)
            }
            Err(reason) => {
                self.record_denied(attempt.id, reason);
                self.attempt_ended(attempt, AttemptOutcome::NeverSent, None, None);
                None
            }
        }
    }

    /// Checks an attempt against the rules on ended queries, disconnected clients, draining replicas, deadlines,
    /// retries and the retry budget.
    fn check_send(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        attempt: AttemptId,
        deadline: Timestamp,
    ) -> Result<CallPart, SendDenied> {
        let part = &self.table.parts[&attempt.part.0];
        let query = part.query.and_then(|query| self.table.queries.get(&query));
        let query = query.ok_or(SendDenied::QueryEnded)?;
        let is_abandoned = query.response.as_ref().is_some_and(|response| response.is_abandoned());
        if is_abandoned || self.disconnected.contains(&query.ticket) {
            return Err(SendDenied::ClientClosed);
        }
        if self.is_draining(replica) || !self.table.replicas.contains_key(&replica.0) {
            return Err(SendDenied::ReplicaDrained);
        }
        if now >= deadline {
            return Err(SendDenied::DeadlinePassed);
        }
        // This check is the last one, since it counts the attempt as sent.
        self.coordinator.begin_attempt(now, attempt)?;
        Ok(CallPart {
            id: part.id.clone(),
            shard: part.shard,
            time_left: deadline - now,
            idempotency_key: query.idempotency_key.clone(),
            text: part.text.clone(),
        })
    }

    fn record_sent(&mut self, now: Timestamp, replica: ReplicaId, attempt: AttemptId, time_left: TimeSpan) {
        let part = &self.table.parts[&attempt.part.0];
        if let Some(query) = part.query.and_then(|query| self.table.queries.get_mut(&query)) {
            query.may_have_run = true;
        }
        tracing::debug!(target: REQUEST_LOG_TARGET, part = &*part.id, attempt = attempt.number, replica = replica.0, left_s = time_left.as_secs_f64(), "attempt sent");
        if let Some(audit) = &mut self.table.audit {
            audit.sent(now, SentAttempt { attempt, replica, time_left });
        }
    }

    fn record_denied(&self, attempt: AttemptId, reason: SendDenied) {
        self.table.counters.add(group::NOT_SENT, reason.name());
        let part = &self.table.parts[&attempt.part.0];
        tracing::debug!(target: REQUEST_LOG_TARGET, part = &*part.id, attempt = attempt.number, reason = reason.name(), "attempt dropped by the send guard");
    }

    /// Ends an attempt that is queued and will never be sent.
    pub fn attempt_never_started(&mut self, attempt: AttemptHandle) {
        if self.table.outstanding(attempt).is_some_and(|entry| !entry.authorized) {
            self.attempt_ended(attempt, AttemptOutcome::Unreachable, None, None);
        }
    }

    /// Revokes the authorization of attempts of which no byte was written. They pass the send guard again.
    pub fn return_unwritten(&mut self, attempts: &[AttemptHandle]) {
        for &attempt in attempts {
            let Some(entry) = self.table.outstanding_mut(attempt) else { continue };
            entry.authorized = false;
            if let Some(audit) = &mut self.table.audit {
                audit.unsent(attempt.id);
            }
        }
    }
}
