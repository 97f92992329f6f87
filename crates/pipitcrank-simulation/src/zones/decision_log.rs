//! Log of decisions and of the nodes that applied them.

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;
use pipitcrank_failover::decision::{Decision, ZoneDecision, ZoneState};

/// Percentage of nodes that must have applied a decision for it to count as spread.
const SPREAD_PERCENT: usize = 99;

/// State of a zone according to a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecidedZoneState {
    pub state: ZoneState,
    /// Fraction of its usual load that the zone keeps, in thousandths.
    pub retained: u16,
}

/// A decision, with the time at which the first node received it.
pub struct DecisionRecord {
    pub at: Timestamp,
    pub zones: Vec<DecidedZoneState>,
}

/// Progress of the nodes in applying a decision.
#[derive(Clone, Copy)]
pub struct Application {
    /// Time at which the first node applied the decision.
    pub first: Timestamp,
    pub nodes: usize,
    /// Time at which `SPREAD_PERCENT` of the nodes had applied the decision.
    pub spread: Option<Timestamp>,
}

/// All decisions of a run and their applications, by decision number.
#[derive(Default)]
pub struct DecisionLog {
    pub decisions: BTreeMap<u64, DecisionRecord>,
    pub applications: BTreeMap<u64, Application>,
    /// Number of times that a decision differed from the recorded decision with the same number.
    pub conflicts: u64,
    /// Number of times that a node changed from a decision to an older one.
    pub regressions: u64,
}

impl DecisionLog {
    /// Records that a node received a decision.
    pub fn record_decision(&mut self, now: Timestamp, decision: &Decision) {
        let zone_state =
            |zone: &ZoneDecision| DecidedZoneState { state: zone.state, retained: zone.retained };
        let zones: Vec<DecidedZoneState> = decision.zones.iter().map(zone_state).collect();
        let record = || DecisionRecord { at: now, zones: zones.clone() };
        let recorded = self.decisions.entry(decision.number).or_insert_with(record);
        self.conflicts += u64::from(recorded.zones != zones);
    }

    /// Records that one of `nodes` nodes changed from decision `previous` to decision `number`.
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
