//! Snapshots and the messages between the processes of an upgrade, against bytes of an earlier version.

use std::fmt::Debug;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::messages::{
    RelayedQuery, RelayedResponse, ToPredecessor, ToSuccessor, ToSupervisor, ToWorker,
};
use pipitcrank_handover::snapshot::{ReplicaRecord, Snapshot};
use serde::Serialize;
use serde::de::DeserializeOwned;

#[path = "../../../fixtures/mod.rs"]
mod fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn snapshot() -> Snapshot {
    let known = &fixtures::read("learned_state.hex")["learned_state"];
    Snapshot {
        taken_us: 1_700_000_123,
        rev: Some(77),
        replicas: vec![
            ReplicaRecord {
                index: 3,
                uid: "s-3".into(),
                address: Some(([127, 0, 0, 1], 7010).into()),
                cell: 5,
                zone: Some("a".into()),
                started: Some(TimeSpan::from_millis(70)),
                off: Some(TimeSpan::from_millis(6)),
            },
            ReplicaRecord {
                index: 9,
                uid: "s-9".into(),
                address: None,
                cell: 1,
                zone: None,
                started: None,
                off: None,
            },
        ],
        known: postcard::from_bytes(known).unwrap(),
        lent: (2, TimeSpan::from_millis(9)),
    }
}

#[test]
fn a_snapshot_of_an_earlier_version_is_read_and_written_alike() {
    let encode = |snapshot: &Snapshot| snapshot.encode().unwrap();
    fixtures::check("snapshot.hex", &[("snapshot", snapshot())], encode, |b| Snapshot::decode(b).unwrap());
}

fn ask() -> RelayedQuery {
    RelayedQuery {
        ticket: 21,
        id: "9b1f".into(),
        class: 2,
        left: TimeSpan::from_millis(850),
        parts: vec![(3, 0.75, None), (4, 0.25, Some(0.01))],
        text: "c41e77d0".into(),
    }
}

#[test]
fn messages_of_an_upgrade_are_read_and_written_as_by_an_earlier_version() {
    check(
        "upgrade_to_worker.hex",
        &[
            ("hello", ToWorker::Hello { version: 1 }),
            ("serve", ToWorker::Serve),
            ("take_over", ToWorker::TakeOver),
            ("hand_over", ToWorker::HandOver),
            ("alone", ToWorker::Alone),
            ("pass", ToWorker::Pass),
            ("upgrades", ToWorker::Upgrades { asked: 7, done: 5, undone: 2 }),
        ],
    );
    check(
        "upgrade_to_supervisor.hex",
        &[
            ("hello", ToSupervisor::Hello { version: 1 }),
            ("checked", ToSupervisor::Checked),
            ("learned", ToSupervisor::Learned),
            ("beat", ToSupervisor::Beat),
            ("drained", ToSupervisor::Drained),
            ("passed", ToSupervisor::Passed),
        ],
    );
    check(
        "upgrade_to_new.hex",
        &[
            ("hello", ToSuccessor::Hello { version: 1 }),
            ("known", ToSuccessor::Known(vec![1, 2, 255])),
            ("ask", ToSuccessor::Ask(ask())),
            ("gone", ToSuccessor::Gone { ticket: 21 }),
            ("room", ToSuccessor::Room { replicas: 11, clients: 12, open: 13 }),
            (
                "connection",
                ToSuccessor::Connection {
                    read: b"POST".to_vec(),
                    whole_within: Some(TimeSpan::from_millis(2500)),
                },
            ),
            ("idle_connection", ToSuccessor::Connection { read: Vec::new(), whole_within: None }),
            ("bye", ToSuccessor::Bye { further: 3, counters: vec![("queries".into(), "taken".into(), 9)] }),
            ("ask_with_key", ToSuccessor::AskWithKey(ask(), "19dd61b8".into())),
        ],
    );
    let answer = |last| ToPredecessor::Answer { ticket: 21, last };
    check(
        "upgrade_to_old.hex",
        &[
            ("hello", ToPredecessor::Hello { version: 1 }),
            ("merged", answer(RelayedResponse::Merged { whole: true, hits: vec![(3, "5be2".into())] })),
            ("rejected", answer(RelayedResponse::Rejected { stay_away: TimeSpan::from_millis(50) })),
            ("aborted", answer(RelayedResponse::Aborted)),
            ("repeated", answer(RelayedResponse::Repeated)),
        ],
    );
}
