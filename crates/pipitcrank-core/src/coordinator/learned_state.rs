//! What a `Coordinator` has learned, in a form that another process can take over: every moment stands as an age, so
//! that the taker places it on its own clock. Open queries and calls out are not in it: they stay put.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Coordinator, QuantileEstimator, ReplicaState, RetryBudgetConfig};
use crate::ids::ReplicaId;
use crate::time::{TimeSpan, Timestamp};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    pub classes: Vec<LearnedClassState>,
    pub replicas: Vec<(u32, LearnedReplicaState)>,
    /// Ages of what counts against the budget of further calls, oldest first.
    pub admitted: Vec<TimeSpan>,
    pub retries: Vec<TimeSpan>,
    /// Further calls lent with parts to other sites, and for how long yet: what comes back of them is not
    /// told here.
    pub delegated_retries: Vec<(u32, TimeSpan)>,
    overdue: Option<f64>,
    rate: Option<f64>,
    fill: f64,
    carried: (f64, TimeSpan),
    lag: (f64, TimeSpan),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedClassState {
    /// Empty from a process that did not write it: then the request classes are taken in their order.
    #[serde(default)]
    name: String,
    work: Option<f64>,
    hint: Option<f64>,
    leaving: f64,
    stay: TimeSpan,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedReplicaState {
    pub started: Option<TimeSpan>,
    faults: f64,
    lag: (f64, TimeSpan),
    /// Left out as faulty for so long yet.
    trial_in: Option<TimeSpan>,
    pub slow_start_sends: Vec<(TimeSpan, f64)>,
}

impl LearnedState {
    /// Whether all of it can be worked with: no number that is none, no moment still to come.
    pub fn sound(&self) -> bool {
        let past = |s: &TimeSpan| *s >= TimeSpan::ZERO;
        let good = |x: &f64| x.is_finite() && *x >= 0.0;
        let mark = |m: &Option<f64>| m.as_ref().is_none_or(|x| good(x) && *x > 0.0);
        let since = |(x, s): &(f64, TimeSpan)| good(x) && past(s);
        self.classes.iter().all(|v| {
            mark(&v.work)
                && v.hint.is_none_or(f64::is_finite)
                && good(&v.leaving)
                && v.leaving <= 1.0
                && past(&v.stay)
        }) && self.replicas.iter().all(|(_, l)| {
            good(&l.faults)
                && l.faults <= 1.0
                && since(&l.lag)
                && l.slow_start_sends.iter().all(|(s, w)| past(s) && good(w))
        }) && self.delegated_retries.iter().all(|(_, s)| past(s))
            && self.admitted.iter().chain(&self.retries).all(past)
            && [&self.overdue, &self.rate].into_iter().all(mark)
            && (Coordinator::FILL.0..=Coordinator::FILL.1).contains(&self.fill)
            && since(&self.carried)
            && since(&self.lag)
    }
}

impl Coordinator {
    /// All that was learned, as of now. What has left its window is not in it.
    pub fn learned_state(&mut self, now: Timestamp) -> LearnedState {
        self.budget.remaining(now);
        let ages = |times: &std::collections::VecDeque<Timestamp>| times.iter().map(|&t| now - t).collect();
        let classes = self.classes.iter();
        let classes = classes.map(|t| LearnedClassState {
            name: t.terms.name.clone(),
            work: t.work.0,
            hint: t.hint,
            leaving: t.leaving,
            stay: t.stay,
        });
        let window = self.slow_start.config.window;
        let replica = |l: &ReplicaState| LearnedReplicaState {
            started: l.started.map(|t| now - t),
            faults: l.faults,
            lag: (l.lag.0, now - l.lag.1),
            trial_in: l.trial_at.map(|t| t - now).filter(|&s| s > TimeSpan::ZERO),
            slow_start_sends: l
                .sent_cold
                .iter()
                .map(|&(t, w)| (now - t, w))
                .filter(|(s, _)| *s <= window)
                .collect(),
        };
        LearnedState {
            classes: classes.collect(),
            replicas: self.replicas.iter().map(|(id, l)| (id.0, replica(l))).collect(),
            admitted: ages(&self.budget.admitted),
            retries: ages(&self.budget.retries),
            delegated_retries: self.budget.lent.values().map(|&(n, until)| (n, until - now)).collect(),
            overdue: self.overdue.0,
            rate: self.rate.0,
            fill: self.fill,
            carried: (self.carried.0, now - self.carried.1),
            lag: (self.lag.0, now - self.lag.1),
        }
    }

    /// Takes what another process had learned `passed` ago. Leaves are by the indices of this one. A replica
    /// that has started since is another process: of the old one nothing is taken. Verticals by name, so that
    /// after a move none learns another's work; by their order from a process that wrote no names.
    pub fn restore_learned_state(&mut self, now: Timestamp, passed: TimeSpan, known: LearnedState) {
        let at = |age: TimeSpan| now - age - passed;
        let unnamed = known.classes.iter().all(|k| k.name.is_empty());
        let in_order = known.classes.len() == self.classes.len();
        for (n, class) in self.classes.iter_mut().enumerate() {
            let k = match unnamed {
                true => known.classes.get(n).filter(|_| in_order),
                false => known.classes.iter().find(|k| k.name == class.terms.name),
            };
            if let Some(k) = k {
                class.work = QuantileEstimator(k.work);
                (class.hint, class.leaving, class.stay) = (k.hint, k.leaving, k.stay);
            }
        }
        let mut replicas: BTreeMap<u32, LearnedReplicaState> = known.replicas.into_iter().collect();
        for (ReplicaId(id), state) in self.replicas.iter_mut().map(|(id, s)| (*id, s)) {
            let Some(k) = replicas.remove(&id) else { continue };
            let same = match (state.started, k.started) {
                (Some(ours), Some(theirs)) => {
                    (ours - at(theirs)).as_micros().abs() < Self::SAME_START.as_micros()
                }
                (ours, theirs) => ours.is_none() && theirs.is_none(),
            };
            if !same {
                continue;
            }
            state.seen.take();
            (state.faults, state.lag) = (k.faults, (k.lag.0, at(k.lag.1)));
            state.trial_at = k.trial_in.map(|s| now + s - passed);
            state.sent_cold = k.slow_start_sends.into_iter().map(|(s, w)| (at(s), w)).collect();
        }
        self.budget.admitted = known.admitted.into_iter().map(at).collect();
        self.budget.retries = known.retries.into_iter().map(at).collect();
        for (n, (lent, left)) in known.delegated_retries.into_iter().enumerate() {
            self.budget.delegate(Self::OLD - 1 - n as u64, lent, now - passed + left);
        }
        (self.overdue, self.rate) =
            (QuantileEstimator(known.overdue.or(self.overdue.0)), QuantileEstimator(known.rate));
        self.fill = known.fill;
        (self.carried, self.lag) = ((known.carried.0, at(known.carried.1)), (known.lag.0, at(known.lag.1)));
        self.moved = true;
    }

    /// The same start as told to two clocks: they are set by the wall clock, which may be moved between.
    const SAME_START: TimeSpan = TimeSpan::from_millis(500);

    // Two processes as one co-ordinator: what each may spend is divided by `pipitcrank_handover::resource_split`.

    /// What the retry budget is configured to be.
    pub fn retry_budget_config(&self) -> RetryBudgetConfig {
        self.budget.config
    }

    /// From now on at most so many further calls, none after `until`, and nothing to cold replicas: another
    /// process has the rest.
    pub fn limit_to_delegated_retries(&mut self, further: u32, until: Timestamp) {
        self.budget.purse = Some((f64::from(further), until));
        self.slow_start.shut = Timestamp::from_micros(i64::MAX);
    }

    /// The process that hands over may make so many further calls, until then.
    pub fn delegate_to_predecessor(&mut self, further: u32, until: Timestamp) {
        self.budget.delegate(Self::OLD, further, until);
    }

    /// It is gone and made so many.
    pub fn settle_with_predecessor(&mut self, now: Timestamp, further: u32) {
        self.budget.settle_delegation(now, Self::OLD, further);
    }

    /// The old process, among those that further calls are lent to.
    const OLD: u64 = u64::MAX;

    /// How many of those lent to this process are left.
    pub fn delegated_retries_left(&self) -> u32 {
        self.budget.purse.map_or(0, |(n, _)| n.max(0.0) as u32)
    }

    /// Alone again, and what the other process did is not known: it is held to have used all it might, so
    /// nothing of a kind goes until the longest window in which that counts has passed.
    pub fn resume_alone(&mut self, now: Timestamp) {
        self.budget.purse = None;
        self.budget.lent.remove(&Self::OLD);
        self.budget.shut = now + self.budget.config.window;
        self.slow_start.shut = now + self.slow_start.config.window;
        self.moved = true;
    }
}

#[cfg(test)]
mod stored_forms;
