//! Messages between voters and a voter's memory, against bytes of an earlier version.

use std::fmt::Debug;

use serde::de::DeserializeOwned;

use super::*;
use crate::decision::{DecisionCause, OperatorOrder, ZoneDecision, ZoneState};

#[path = "../../../../fixtures/mod.rs"]
mod fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn decision() -> Decision {
    let place = |state, retained| ZoneDecision {
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
            place(ZoneState::Serving, FULL_PERMILLE),
            place(ZoneState::Suspected, 900),
            place(ZoneState::Draining, 500),
            place(ZoneState::OutOfService, 0),
            place(ZoneState::Returning, 100),
        ],
        frozen: true,
        cause: DecisionCause::CutOff,
        zone: 2,
    }
}

const FULL_PERMILLE: u16 = crate::decision::FULL_PERMILLE;

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
        ("calm", DecisionCause::Calm),
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
    let hello = VoterMessage::Hello {
        id: 0x301,
        generation: 7,
        led: true,
        highest: 8,
        run: (2, 1 << 50),
        runs: vec![(0x301, (2, 1 << 50)), (0x402, (1, 5)), (0, (0, 0))],
    };
    check(
        "voter_messages.hex",
        &[
            ("hello", hello),
            ("found", VoterMessage::Found { generation: 9 }),
            ("joins", VoterMessage::Joins { generation: 9, id: 0x402, known: Some(decision()) }),
            ("begin", VoterMessage::Begin { generation: 9, ids: vec![0x301, 0x402], first: decision() }),
        ],
    );
}

#[test]
fn a_voters_memory_is_read_and_written_as_by_an_earlier_version() {
    let group = GroupMemory {
        generation: 7,
        at: (11, 4),
        decision: Some(decision()),
        voters: vec![10, 1, 1],
        hard: (5, 0x301, 12),
        entries: vec![vec![1, 2], vec![3]],
    };
    let memory = VoterMemory {
        seat: 1,
        instance: 1 << 50,
        left: 2,
        run: 3,
        highest: 8,
        promised: true,
        runs: vec![(0x301, (2, 6)), (0x402, (1, 5))],
        group: Some(group),
    };
    let values = [("in_a_group", memory), ("new", VoterMemory::default())];
    fixtures::check("voter_memory.hex", &values, VoterMemory::encode, |bytes| {
        VoterMemory::decode(bytes).unwrap()
    });
}
