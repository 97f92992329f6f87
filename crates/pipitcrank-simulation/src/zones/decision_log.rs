//! When decisions were made, and when nodes acted on them.

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;
use pipitcrank_failover::decision::{Decision, ZoneDecision, ZoneState};

/// A decision counts as spread once this many of a hundred nodes act on it.
const SPREAD_PERCENT: usize = 99;

/// What a decision says of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneOutcome {
    pub state: ZoneState,
    /// Thousandths of its usual load that it keeps.
    pub retained: u16,
}

/// A decision as it was first seen.
pub struct DecisionRecord {
    pub at: Timestamp,
    pub zones: Vec<ZoneOutcome>,
}

/// How nodes came to act on a decision.
#[derive(Clone, Copy)]
pub struct Application {
    pub first: Timestamp,
    pub nodes: usize,
    /// When nearly all nodes acted on it.
    pub spread: Option<Timestamp>,
}

/// All decisions of a run, by number.
#[derive(Default)]
pub struct DecisionLog {
    pub decisions: BTreeMap<u64, DecisionRecord>,
    pub applications: BTreeMap<u64, Application>,
    /// How often two decisions had one number.
    pub conflicts: u64,
    /// How often a node went from a decision to an older one.
    pub regressions: u64,
}

impl DecisionLog {
    /// A node learned of a decision.
    pub fn record_decision(&mut self, now: Timestamp, decision: &Decision) {
        let outcome = |zone: &ZoneDecision| ZoneOutcome { state: zone.state, retained: zone.retained };
        let zones: Vec<ZoneOutcome> = decision.zones.iter().map(outcome).collect();
        let record = || DecisionRecord { at: now, zones: zones.clone() };
        let first = self.decisions.entry(decision.number).or_insert_with(record);
        self.conflicts += u64::from(first.zones != zones);
    }

    /// One of `nodes` nodes goes from decision `previous` to `number`.
    pub fn record_application(&mut self, now: Timestamp, previous: u64, number: u64, nodes: usize) {
        if number == previous {
            return;
        }
        self.regressions += u64::from(number < previous);
        let new = Application { first: now, nodes: 0, spread: None };
        let application = self.applications.entry(number).or_insert(new);
        application.nodes += 1;
        if application.nodes * 100 >= nodes * SPREAD_PERCENT && application.spread.is_none() {
            application.spread = Some(now);
        }
    }
}
