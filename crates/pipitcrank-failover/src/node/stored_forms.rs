//! Messages between copies and the gossip of decisions and heartbeats, against bytes of an earlier version.

use std::fmt::Debug;

use serde::de::DeserializeOwned;

use super::*;

#[path = "../../../../fixtures/mod.rs"]
mod fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn peer() -> Peer {
    Peer { address: ([127, 0, 0, 1], 7201).into(), instance: 1 << 50, zone: 2 }
}

fn shown() -> StatusReport {
    StatusReport {
        decision: Some(Decision::initial(2, 7 << 32)),
        status: "follows".into(),
        fractions: vec![ZoneFraction { zone: 0, permille: 900 }, ZoneFraction { zone: 1, permille: 100 }],
        evidence: vec![ZoneEvidence { finding: "Well".into(), reporters: 5, healthy_replicas: 40 }],
        leader: Some(1),
        voters_heard: 3,
        members: 20,
    }
}

#[test]
fn messages_between_copies_are_read_and_written_as_by_an_earlier_version() {
    let row = ReplicaCounts {
        listed: 9,
        answering: 1,
        silent: 2,
        failing: 3,
        saturated: 4,
        warming_up: 5,
        answered_parts: 60_000,
    };
    let evidence = Evidence { zone: 1, sequence: 300, replica_counts: vec![row], demand: 7000, nodes: 12 };
    let stands = Message::Stands {
        nonce: 17,
        decision: Some(Decision::initial(2, 7 << 32)),
        rank: (8, 9),
        beat_number: 10,
        age: TimeSpan::from_millis(40),
    };
    let told = |answer| Message::Told { ticket: 33, answer };
    check(
        "node_messages.hex",
        &[
            ("voter", Message::Voter(VoterMessage::Found { generation: 9 })),
            ("evidence", Message::Evidence(evidence)),
            ("look", Message::StatusQuery(17)),
            ("stands", stands),
            ("ask_show", Message::Ask { ticket: 33, order: None }),
            ("ask_order", Message::Ask { ticket: 33, order: Some(OperatorOrder::Drain(2)) }),
            ("told_shown", told(OperatorAnswer::Status(shown()))),
            ("told_done", told(OperatorAnswer::Decided(7 << 32 | 1))),
            ("told_refused", told(OperatorAnswer::Rejected("it is frozen already".into()))),
            ("told_not_leading", told(OperatorAnswer::NotLeader(Some(2)))),
            ("told_who", told(OperatorAnswer::Members { members: vec![peer()], more: true })),
            ("stay_away", Message::StayAway { ticket: 33, seats: vec![1, 2] }),
            ("who", Message::Who { ticket: 33, after: Some(([127, 0, 0, 1], 7202).into()) }),
        ],
    );
}

#[test]
fn topics_of_gossip_keep_their_numbers() {
    assert_eq!((DECISION, BEATS), (0, 1));
    check("heartbeat.hex", &[("heartbeat", ((8u64, 9u64), 10u64))]);
}
