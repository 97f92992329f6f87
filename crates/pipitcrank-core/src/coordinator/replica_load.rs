//! Load of one replica as estimated by this co-ordinator: its own outstanding attempts, and the delay caused
//! by the work of other co-ordinators.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use super::replica_index::CallLimits;
use crate::ids::AttemptId;
use crate::time::{TimeSpan, Timestamp};

/// Delay caused by the work of other co-ordinators, as last observed. It decreases as time passes, because
/// the queue at the replica drains.
#[derive(Clone, Copy, Default)]
pub(super) struct Lag {
    pub(super) seconds: f64,
    pub(super) observed_at: Timestamp,
}

impl Lag {
    /// Time for which an observed lag is used instead of the typical lag.
    const VALID_FOR: TimeSpan = TimeSpan::from_millis(2000);

    pub(super) fn is_recent(self, now: Timestamp) -> bool {
        now - self.observed_at < Self::VALID_FOR
    }

    pub(super) fn remaining(self, now: Timestamp) -> f64 {
        (self.seconds - (now - self.observed_at).as_secs_f64()).max(0.0)
    }
}

/// Identifies a call. The parts that one dispatch pass sends to one replica share calls.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId {
    pass: u64,
    index: usize,
}

/// An attempt that is outstanding at the replica.
pub(super) struct OutstandingAttempt {
    pub(super) sent_at: Timestamp,
    pub(super) work: f64,
    /// Work of this co-ordinator that was outstanding at the replica when the attempt was sent, including the
    /// attempt itself.
    pub(super) work_ahead: f64,
    call: CallId,
}

/// An attempt that is about to be sent.
pub(super) struct NewAttempt {
    pub(super) id: AttemptId,
    pub(super) now: Timestamp,
    pub(super) work: f64,
    /// Number of the dispatch pass that sends the attempt.
    pub(super) pass: u64,
}

/// Number of parts sent by the latest dispatch pass that sent any to this replica.
#[derive(Default)]
struct LastPass {
    number: u64,
    parts: usize,
}

/// Inputs of a load estimate apart from the state of the replica.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct LoadModel {
    pub(super) now: Timestamp,
    /// Seconds that a replica takes per unit of work without queueing.
    pub(super) seconds_per_work: f64,
    /// Seconds of lag assumed for a replica without recent observations.
    pub(super) typical_lag: f64,
}

/// Estimated load at one point in time.
#[derive(Clone, Copy)]
pub(super) struct LoadEstimate {
    /// Seconds of delay caused by the work of other co-ordinators.
    pub(super) lag: f64,
    /// Outstanding work of this co-ordinator, including the cost of calls.
    pub(super) outstanding_work: f64,
    pub(super) outstanding_calls: usize,
}

/// Outstanding attempts at a replica, and its lag.
#[derive(Default)]
pub(super) struct ReplicaLoad {
    /// Outstanding attempts. Entries are removed as their attempts end.
    pub(super) outstanding: BTreeMap<AttemptId, OutstandingAttempt>,
    last_pass: LastPass,
    lag: Lag,
    /// The last estimate, cleared whenever one of its inputs changes.
    cached: Cell<Option<(LoadModel, LoadEstimate)>>,
}

impl ReplicaLoad {
    /// Adds an attempt that is sent now.
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

    /// Removes an attempt that has ended.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> OutstandingAttempt {
        self.invalidate();
        self.outstanding.remove(&attempt).expect("an attempt that ends is outstanding")
    }

    pub(super) fn lag(&self) -> Lag {
        self.lag
    }

    pub(super) fn set_lag(&mut self, lag: Lag) {
        self.invalidate();
        self.lag = lag;
    }

    /// Clears the cached estimate because one of its inputs has changed.
    pub(super) fn invalidate(&mut self) {
        self.cached.take();
    }

    /// Returns the load at present. The last estimate is cached, because it is requested many times within
    /// one pass.
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

    /// Returns the lag expected at present, in seconds: the observed lag less the time since then, or the
    /// delay of the most overdue outstanding attempt if that is longer.
    pub(super) fn expected_lag(&self, model: LoadModel, network_delay: TimeSpan) -> f64 {
        let LoadModel { now, seconds_per_work, typical_lag } = model;
        let observed = if self.lag.is_recent(now) { self.lag.remaining(now) } else { typical_lag };
        self.outstanding
            .values()
            .map(|o| (now - o.sent_at - network_delay).as_secs_f64() - seconds_per_work * o.work_ahead)
            .fold(observed, f64::max)
    }

    /// Outstanding calls of this co-ordinator. Parts that share a call count once.
    fn outstanding_calls(&self) -> BTreeSet<CallId> {
        self.outstanding.values().map(|o| o.call).collect()
    }

    fn outstanding_work(&self, call_cost: f64) -> f64 {
        let parts = self.outstanding.values().map(|o| o.work).sum::<f64>();
        parts + call_cost * self.outstanding_calls().len() as f64
    }
}
