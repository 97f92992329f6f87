//! Messages between voters and a voter's memory, against bytes of an earlier version.

use std::fmt::Debug;

use serde::de::DeserializeOwned;

use super::*;
use crate::decision::{Cause, Order, Place, State};

#[path = "../../../../fixtures/mod.rs"]
mod fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn decision() -> Decision {
    let place = |state, kept| Place { state, kept, level: 3, drained: true, carries: 900, asked: 70, cut: 4 };
    Decision {
        number: 7 << 32 | 9,
        places: vec![
            place(State::Serving, WHOLE),
            place(State::Suspected, 900),
            place(State::Leaving, 500),
            place(State::Out, 0),
            place(State::Returning, 100),
        ],
        frozen: true,
        cause: Cause::CutOff,
        zone: 2,
    }
}

const WHOLE: u16 = crate::decision::WHOLE;

#[test]
fn decisions_are_read_and_written_as_by_an_earlier_version() {
    check("decision.hex", &[("decision", decision())]);
    let causes = [
        ("begun", Cause::Begun),
        ("dead", Cause::Dead),
        ("cut_off", Cause::CutOff),
        ("slow", Cause::Slow),
        ("well", Cause::Well),
        ("step", Cause::Step),
        ("way", Cause::Way),
        ("figures", Cause::Figures),
        ("calm", Cause::Calm),
        ("drained", Cause::Drained),
        ("returned", Cause::Returned),
        ("frozen", Cause::Frozen),
        ("thawed", Cause::Thawed),
    ];
    check("decision_causes.hex", &causes);
    let orders = [
        ("drain", Order::Drain(2)),
        ("return", Order::Return(3)),
        ("freeze", Order::Freeze),
        ("thaw", Order::Thaw),
    ];
    check("operator_orders.hex", &orders);
    check("proposal.hex", &[("proposal", Proposal { base: 8, decision: decision() })]);
}

#[test]
fn messages_between_voters_are_read_and_written_as_by_an_earlier_version() {
    let hello = Word::Hello {
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
            ("found", Word::Found { generation: 9 }),
            ("joins", Word::Joins { generation: 9, id: 0x402, known: Some(decision()) }),
            ("begin", Word::Begin { generation: 9, ids: vec![0x301, 0x402], first: decision() }),
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
    let memory = Memory {
        seat: 1,
        instance: 1 << 50,
        left: 2,
        run: 3,
        highest: 8,
        promised: true,
        runs: vec![(0x301, (2, 6)), (0x402, (1, 5))],
        group: Some(group),
    };
    let values = [("in_a_group", memory), ("new", Memory::default())];
    fixtures::check("voter_memory.hex", &values, Memory::encode, |bytes| Memory::decode(bytes).unwrap());
}
