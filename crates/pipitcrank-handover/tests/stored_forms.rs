//! Snapshots and the messages between the processes of an upgrade, against bytes of an earlier version.

use std::fmt::Debug;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::messages::{
    CounterValue, RelayedHit, RelayedPart, RelayedQuery, RelayedResponse, ToPredecessor, ToSuccessor,
    ToSupervisor, ToWorker,
};
use pipitcrank_handover::resource_split::DelegatedRetries;
use pipitcrank_handover::snapshot::{ReplicaRecord, Snapshot};
use pipitcrank_handover::upgrade_event::UpgradeCounts;
use serde::Serialize;
use serde::de::DeserializeOwned;

#[path = "../../../fixtures/mod.rs"]
mod fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn snapshot() -> Snapshot {
    let learned = &fixtures::read("learned_state.hex")["learned_state"];
    Snapshot {
        taken_us: 1_700_000_123,
        revision: Some(77),
        replicas: vec![
            ReplicaRecord {
                index: 3,
                uid: "s-3".into(),
                address: Some(([127, 0, 0, 1], 7010).into()),
                cell: 5,
                zone: Some("a".into()),
                uptime: Some(TimeSpan::from_millis(70)),
                draining_for: Some(TimeSpan::from_millis(6)),
            },
            ReplicaRecord {
                index: 9,
                uid: "s-9".into(),
                address: None,
                cell: 1,
                zone: None,
                uptime: None,
                draining_for: None,
            },
        ],
        learned: postcard::from_bytes(learned).unwrap(),
        delegated_retries: DelegatedRetries { count: 2, valid_for: TimeSpan::from_millis(9) },
    }
}

#[test]
fn snapshots_of_an_earlier_version_round_trip() {
    let encode = |snapshot: &Snapshot| snapshot.encode().unwrap();
    fixtures::check("snapshot.hex", &[("snapshot", snapshot())], encode, |b| Snapshot::decode(b).unwrap());
}

fn query() -> RelayedQuery {
    RelayedQuery {
        ticket: 21,
        id: "9b1f".into(),
        class: 2,
        time_left: TimeSpan::from_millis(850),
        parts: vec![
            RelayedPart { shard: 3, weight: 0.75, work: None },
            RelayedPart { shard: 4, weight: 0.25, work: Some(0.01) },
        ],
        text: "c41e77d0".into(),
    }
}

#[test]
fn upgrade_messages_of_an_earlier_version_round_trip() {
    check(
        "upgrade_to_worker.hex",
        &[
            ("hello", ToWorker::Hello { version: 1 }),
            ("serve", ToWorker::Serve),
            ("take_over", ToWorker::TakeOver),
            ("hand_over", ToWorker::HandOver),
            ("alone", ToWorker::ContinueAlone),
            ("pass", ToWorker::TransferConnections),
            (
                "upgrades",
                ToWorker::UpgradeCounts(UpgradeCounts { requested: 7, completed: 5, rolled_back: 2 }),
            ),
        ],
    );
    check(
        "upgrade_to_supervisor.hex",
        &[
            ("hello", ToSupervisor::Hello { version: 1 }),
            ("checked", ToSupervisor::Ready),
            ("learned", ToSupervisor::StateLoaded),
            ("beat", ToSupervisor::Heartbeat),
            ("drained", ToSupervisor::Drained),
            ("passed", ToSupervisor::HandedOver),
        ],
    );
    check(
        "upgrade_to_new.hex",
        &[
            ("hello", ToSuccessor::Hello { version: 1 }),
            ("known", ToSuccessor::Snapshot(vec![1, 2, 255])),
            ("ask", ToSuccessor::Query(query())),
            ("gone", ToSuccessor::CancelQuery { ticket: 21 }),
            (
                "room",
                ToSuccessor::HeldResources {
                    replica_connections: 11,
                    client_connections: 12,
                    open_queries: 13,
                },
            ),
            (
                "connection",
                ToSuccessor::ClientConnection {
                    buffered: b"POST".to_vec(),
                    request_timeout: Some(TimeSpan::from_millis(2500)),
                },
            ),
            (
                "idle_connection",
                ToSuccessor::ClientConnection { buffered: Vec::new(), request_timeout: None },
            ),
            (
                "bye",
                ToSuccessor::Finished {
                    delegated_retries_used: 3,
                    counters: vec![CounterValue { group: "queries".into(), name: "taken".into(), value: 9 }],
                },
            ),
            (
                "ask_with_key",
                ToSuccessor::QueryWithKey { query: query(), idempotency_key: "19dd61b8".into() },
            ),
        ],
    );
    let response = |response| ToPredecessor::Response { ticket: 21, response };
    check(
        "upgrade_to_old.hex",
        &[
            ("hello", ToPredecessor::Hello { version: 1 }),
            (
                "merged",
                response(RelayedResponse::Answered {
                    complete: true,
                    hits: vec![RelayedHit { shard: 3, value: "5be2".into() }],
                }),
            ),
            ("rejected", response(RelayedResponse::Rejected { retry_after: TimeSpan::from_millis(50) })),
            ("aborted", response(RelayedResponse::Aborted)),
            ("repeated", response(RelayedResponse::DuplicateId)),
        ],
    );
}
