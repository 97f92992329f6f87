//! Compares messages between nodes and broadcasts of decisions and heartbeats with bytes written by an
//! earlier version.

use std::fmt::Debug;

use pipitcrank_membership::evidence::EvidenceReport;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::broadcast::{DECISION_TOPIC, HEARTBEAT_TOPIC};
use super::*;
use crate::fixtures;
use crate::follower::HeartbeatRank;
use crate::routing_table::ZoneFraction;
use crate::voter::VoterMessage;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn peer() -> Peer {
    Peer { address: ([127, 0, 0, 1], 7201).into(), instance: 1 << 50, zone: 2 }
}

fn status() -> StatusReport {
    StatusReport {
        decision: Some(Decision::initial(2, 7 << 32)),
        status: "follows".into(),
        fractions: vec![ZoneFraction { zone: 0, permille: 900 }, ZoneFraction { zone: 1, permille: 100 }],
        evidence: vec![ZoneEvidence { health: "Well".into(), reporters: 5, healthy_replicas: 40 }],
        leader: Some(1),
        reachable_voters: 3,
        members: 20,
    }
}

fn heartbeat() -> LeaderHeartbeat {
    LeaderHeartbeat { rank: HeartbeatRank { term: 8, count: 9 }, decision_number: 10 }
}

#[test]
fn messages_between_nodes_are_read_and_written_as_by_an_earlier_version() {
    let counts = ReplicaCounts {
        listed: 9,
        responsive: 1,
        unresponsive: 2,
        failing: 3,
        saturated: 4,
        warming_up: 5,
        answered_parts: 60_000,
    };
    let evidence =
        EvidenceReport { zone: 1, sequence: 300, replica_counts: vec![counts], demand: 7000, nodes: 12 };
    let current_decision = Message::CurrentDecision {
        nonce: 17,
        decision: Some(Decision::initial(2, 7 << 32)),
        heartbeat: heartbeat(),
        heartbeat_age: TimeSpan::from_millis(40),
    };
    let answered = |answer| Message::Answer { ticket: 33, answer };
    check(
        "node_messages.hex",
        &[
            ("voter", Message::Voter(VoterMessage::RequestPromise { generation: 9 })),
            ("evidence", Message::Evidence(evidence)),
            ("look", Message::DecisionQuery(17)),
            ("stands", current_decision),
            ("ask_show", Message::OperatorRequest { ticket: 33, order: None }),
            ("ask_order", Message::OperatorRequest { ticket: 33, order: Some(OperatorOrder::Drain(2)) }),
            ("told_shown", answered(OperatorAnswer::Status(status()))),
            ("told_done", answered(OperatorAnswer::Decided(7 << 32 | 1))),
            ("told_refused", answered(OperatorAnswer::Rejected("it is frozen already".into()))),
            ("told_not_leading", answered(OperatorAnswer::NotLeader(Some(2)))),
            ("told_who", answered(OperatorAnswer::Members { members: vec![peer()], more: true })),
            ("stay_away", Message::ExcludeVoters { ticket: 33, slots: vec![1, 2] }),
            ("who", Message::MembersRequest { ticket: 33, after: Some(([127, 0, 0, 1], 7202).into()) }),
        ],
    );
}

#[test]
fn topics_of_gossip_keep_their_numbers() {
    assert_eq!((DECISION_TOPIC, HEARTBEAT_TOPIC), (0, 1));
    check("heartbeat.hex", &[("heartbeat", heartbeat())]);
}
