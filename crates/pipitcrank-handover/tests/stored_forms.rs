//! Snapshots and the messages between the processes of an upgrade, against bytes of an earlier version.

use std::fmt::Debug;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::snapshot::{SeenLeaf, Snapshot};
use pipitcrank_handover::words::{RelayedAsk, RelayedFinal, ToKeeper, ToNew, ToOld, ToWorker};
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
        leaves: vec![
            SeenLeaf {
                index: 3,
                uid: "s-3".into(),
                address: Some(([127, 0, 0, 1], 7010).into()),
                cell: 5,
                zone: Some("a".into()),
                started: Some(TimeSpan::from_millis(70)),
                off: Some(TimeSpan::from_millis(6)),
            },
            SeenLeaf {
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

fn ask() -> RelayedAsk {
    RelayedAsk {
        ticket: 21,
        id: "9b1f".into(),
        vertical: 2,
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
            ("hello", ToKeeper::Hello { version: 1 }),
            ("checked", ToKeeper::Checked),
            ("learned", ToKeeper::Learned),
            ("beat", ToKeeper::Beat),
            ("drained", ToKeeper::Drained),
            ("passed", ToKeeper::Passed),
        ],
    );
    check(
        "upgrade_to_new.hex",
        &[
            ("hello", ToNew::Hello { version: 1 }),
            ("known", ToNew::Known(vec![1, 2, 255])),
            ("ask", ToNew::Ask(ask())),
            ("gone", ToNew::Gone { ticket: 21 }),
            ("room", ToNew::Room { leaves: 11, clients: 12, open: 13 }),
            (
                "connection",
                ToNew::Connection { read: b"POST".to_vec(), whole_within: Some(TimeSpan::from_millis(2500)) },
            ),
            ("idle_connection", ToNew::Connection { read: Vec::new(), whole_within: None }),
            ("bye", ToNew::Bye { further: 3, counters: vec![("queries".into(), "taken".into(), 9)] }),
            ("ask_with_key", ToNew::AskWithKey(ask(), "19dd61b8".into())),
        ],
    );
    let answer = |last| ToOld::Answer { ticket: 21, last };
    check(
        "upgrade_to_old.hex",
        &[
            ("hello", ToOld::Hello { version: 1 }),
            ("merged", answer(RelayedFinal::Merged { whole: true, hits: vec![(3, "5be2".into())] })),
            ("rejected", answer(RelayedFinal::Rejected { stay_away: TimeSpan::from_millis(50) })),
            ("aborted", answer(RelayedFinal::Aborted)),
            ("repeated", answer(RelayedFinal::Repeated)),
        ],
    );
}
