//! Compares messages between voters and the persisted state of a voter with bytes written by an earlier
//! version.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::persistent_state::{LogPosition, StoredHardState};
use super::raft_group::Proposal;
use super::*;
use crate::decision::{DecisionCause, FULL_PERMILLE, OperatorOrder, ZoneDecision, ZoneState};
use crate::fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn decision() -> Decision {
    let zone = |state, retained| ZoneDecision {
        state,
        retained,
        hold_down_level: 3,
        drained: true,
        capacity: 900,
        demand: 70,
        cut_paths: 4,
    };
    Decision {
        number: 7 << 32 | 9,
        zones: vec![
            zone(ZoneState::Serving, FULL_PERMILLE),
            zone(ZoneState::Suspected, 900),
            zone(ZoneState::Draining, 500),
            zone(ZoneState::OutOfService, 0),
            zone(ZoneState::Returning, 100),
        ],
        frozen: true,
        cause: DecisionCause::CutOff,
        zone: 2,
    }
}

fn known_incarnation(id: u64, count: u64, started: u64) -> KnownIncarnation {
    KnownIncarnation { id, incarnation: Incarnation { count, started } }
}

#[test]
fn decisions_are_read_and_written_as_by_an_earlier_version() {
    check("decision.hex", &[("decision", decision())]);
    let causes = [
        ("begun", DecisionCause::GroupFounded),
        ("dead", DecisionCause::Dead),
        ("cut_off", DecisionCause::CutOff),
        ("slow", DecisionCause::Slow),
        ("well", DecisionCause::Healthy),
        ("step", DecisionCause::NextStep),
        ("way", DecisionCause::PathChanged),
        ("figures", DecisionCause::LoadChanged),
        ("calm", DecisionCause::HoldDownReset),
        ("drained", DecisionCause::Drained),
        ("returned", DecisionCause::Returned),
        ("frozen", DecisionCause::Frozen),
        ("thawed", DecisionCause::Thawed),
    ];
    check("decision_causes.hex", &causes);
    let orders = [
        ("drain", OperatorOrder::Drain(2)),
        ("return", OperatorOrder::Return(3)),
        ("freeze", OperatorOrder::Freeze),
        ("thaw", OperatorOrder::Thaw),
    ];
    check("operator_orders.hex", &orders);
    check("proposal.hex", &[("proposal", Proposal { base: 8, decision: decision() })]);
}

#[test]
fn messages_between_voters_are_read_and_written_as_by_an_earlier_version() {
    let incarnation = Incarnation { count: 2, started: 1 << 50 };
    let heartbeat = VoterHeartbeat {
        id: 0x301,
        generation: 7,
        has_leader: true,
        highest_generation: 8,
        incarnation,
        known_incarnations: vec![
            KnownIncarnation { id: 0x301, incarnation },
            known_incarnation(0x402, 1, 5),
            KnownIncarnation::default(),
        ],
    };
    let promise = Promise { generation: 9, id: 0x402, known_decision: Some(decision()) };
    let group = NewGroup { generation: 9, voter_ids: vec![0x301, 0x402], initial_decision: decision() };
    check(
        "voter_messages.hex",
        &[
            ("hello", VoterMessage::Heartbeat(heartbeat)),
            ("found", VoterMessage::RequestPromise { generation: 9 }),
            ("joins", VoterMessage::Promise(promise)),
            ("begin", VoterMessage::StartGroup(group)),
        ],
    );
}

#[test]
fn a_voters_state_is_read_and_written_as_by_an_earlier_version() {
    let group = PersistentGroupState {
        generation: 7,
        applied: LogPosition { index: 11, term: 4 },
        decision: Some(decision()),
        voters: vec![10, 1, 1],
        hard_state: StoredHardState { term: 5, vote: 0x301, commit: 12 },
        entries: vec![vec![1, 2], vec![3]],
    };
    let state = PersistentVoterState {
        slot: 1,
        instance: 1 << 50,
        abandoned_ids: 2,
        incarnation_count: 3,
        highest_generation: 8,
        has_promised: true,
        known_incarnations: vec![known_incarnation(0x301, 2, 6), known_incarnation(0x402, 1, 5)],
        group: Some(group),
    };
    let values = [("in_a_group", state), ("new", PersistentVoterState::default())];
    fixtures::check("voter_memory.hex", &values, PersistentVoterState::encode, |bytes| {
        PersistentVoterState::decode(bytes).unwrap()
    });
}
