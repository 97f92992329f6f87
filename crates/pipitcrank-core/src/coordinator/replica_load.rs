//! The load of one replica as this co-ordinator estimates it: its own attempts out there, and the time lost behind the work
//! of others.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use super::replica_index::CallLimits;
use crate::ids::AttemptId;
use crate::time::{TimeSpan, Timestamp};

/// Seconds of delay behind others' work, when last observed. It drains as time passes, as the queue behind it does.
#[derive(Clone, Copy, Default)]
pub(super) struct Lag {
    pub(super) seconds: f64,
    pub(super) observed_at: Timestamp,
}

impl Lag {
    /// Time for which an observed lag counts for more than what is usual.
    const VALID_FOR: TimeSpan = TimeSpan::from_millis(2000);

    pub(super) fn is_recent(self, now: Timestamp) -> bool {
        now - self.observed_at < Self::VALID_FOR
    }

    pub(super) fn remaining(self, now: Timestamp) -> f64 {
        (self.seconds - (now - self.observed_at).as_secs_f64()).max(0.0)
    }
}

/// A call: parts that one dispatch pass sends to one replica share calls.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId {
    pass: u64,
    index: usize,
}

/// An attempt out at the replica.
pub(super) struct OutstandingAttempt {
    pub(super) sent_at: Timestamp,
    pub(super) work: f64,
    /// All own work out at the replica when it was sent, itself counted.
    pub(super) work_ahead: f64,
    call: CallId,
}

/// An attempt about to go out.
pub(super) struct NewAttempt {
    pub(super) id: AttemptId,
    pub(super) now: Timestamp,
    pub(super) work: f64,
    /// Number of the dispatch pass that sends it.
    pub(super) pass: u64,
}

/// Parts sent by the newest dispatch pass that sent any here.
#[derive(Default)]
struct LastPass {
    number: u64,
    parts: usize,
}

/// What an estimate rests on beside the replica's own state.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct LoadModel {
    pub(super) now: Timestamp,
    /// Seconds that a replica takes for a unit of work with nothing else in its way.
    pub(super) seconds_per_work: f64,
    /// Seconds of lag where nothing was heard of the replica of late.
    pub(super) usual_lag: f64,
}

/// The load at one moment.
#[derive(Clone, Copy)]
pub(super) struct LoadEstimate {
    /// Seconds lost behind others' work.
    pub(super) lag: f64,
    /// Own work out, calls' costs counted.
    pub(super) outstanding_work: f64,
    pub(super) outstanding_calls: usize,
}

/// Attempts out at a replica and its lag.
#[derive(Default)]
pub(super) struct ReplicaLoad {
    /// Emptied as the attempts end.
    pub(super) outstanding: BTreeMap<AttemptId, OutstandingAttempt>,
    last_pass: LastPass,
    lag: Lag,
    /// The last estimate; void when what it rests on changes.
    cached: Cell<Option<(LoadModel, LoadEstimate)>>,
}

impl ReplicaLoad {
    /// The attempt goes out.
    pub(super) fn add(&mut self, attempt: NewAttempt, limits: CallLimits) {
        let NewAttempt { id, now, work, pass } = attempt;
        let parts_before = if self.last_pass.number == pass { self.last_pass.parts } else { 0 };
        self.last_pass = LastPass { number: pass, parts: parts_before + 1 };
        let call = CallId { pass, index: parts_before / limits.max_parts };
        let attempt = OutstandingAttempt { sent_at: now, work, work_ahead: 0.0, call };
        self.outstanding.insert(id, attempt);
        let work_ahead = self.outstanding_work(limits.cost);
        self.outstanding.get_mut(&id).expect("just inserted").work_ahead = work_ahead;
        self.invalidate();
    }

    /// The attempt has ended.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> OutstandingAttempt {
        self.invalidate();
        self.outstanding.remove(&attempt).expect("attempts that end are outstanding")
    }

    pub(super) fn lag(&self) -> Lag {
        self.lag
    }

    pub(super) fn set_lag(&mut self, lag: Lag) {
        self.invalidate();
        self.lag = lag;
    }

    /// What an estimate rests on has changed.
    pub(super) fn invalidate(&mut self) {
        self.cached.take();
    }

    /// The load now. It is asked for again and again within one pass, so the last one is kept.
    pub(super) fn estimate(&self, model: LoadModel, network_delay: TimeSpan, call_cost: f64) -> LoadEstimate {
        if let Some((_, estimate)) = self.cached.get().filter(|(key, _)| *key == model) {
            return estimate;
        }
        let estimate = LoadEstimate {
            lag: self.expected_lag(model, network_delay),
            outstanding_work: self.outstanding_work(call_cost),
            outstanding_calls: self.outstanding_calls().len(),
        };
        self.cached.set(Some((model, estimate)));
        estimate
    }

    /// Seconds of lag expected now: what was observed, drained, or what the attempts out are late.
    pub(super) fn expected_lag(&self, model: LoadModel, network_delay: TimeSpan) -> f64 {
        let LoadModel { now, seconds_per_work, usual_lag } = model;
        let observed = if self.lag.is_recent(now) { self.lag.remaining(now) } else { usual_lag };
        self.outstanding
            .values()
            .map(|o| (now - o.sent_at - network_delay).as_secs_f64() - seconds_per_work * o.work_ahead)
            .fold(observed, f64::max)
    }

    /// Own calls out; parts that share a call count once.
    fn outstanding_calls(&self) -> BTreeSet<CallId> {
        self.outstanding.values().map(|o| o.call).collect()
    }

    fn outstanding_work(&self, call_cost: f64) -> f64 {
        let parts = self.outstanding.values().map(|o| o.work).sum::<f64>();
        parts + call_cost * self.outstanding_calls().len() as f64
    }
}
