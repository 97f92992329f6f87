//! Compares gossip, evidence and sealed datagrams with bytes written by an earlier version.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::*;
use crate::envelope::{DatagramKind, Opener, Sealer, derive_key};
use crate::evidence::{EvidenceReport, ReplicaCounts};

#[path = "../../../../fixtures/mod.rs"]
mod fixtures;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_allocvec(value).unwrap();
    fixtures::check(file, values, encode, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn peer() -> Peer {
    Peer { address: ([127, 0, 0, 1], 7201).into(), instance: 1 << 50, zone: 2 }
}

#[test]
fn gossip_is_read_and_written_as_by_an_earlier_version() {
    let departed = |departure| Broadcast::Departed { peer: peer(), departure };
    let rank = BroadcastRank { major: 7, minor: 9 };
    let topic = Broadcast::Topic { topic: 1, rank, body: vec![1, 2, 255] };
    check(
        "gossip.hex",
        &[
            ("goodbye_left", departed(Departure::Left)),
            ("goodbye_upgraded", departed(Departure::Upgraded)),
            ("goodbye_died", departed(Departure::Died)),
            ("topic", topic),
        ],
    );
}

#[test]
fn evidence_is_read_and_written_as_by_an_earlier_version() {
    let counts = ReplicaCounts {
        listed: 9,
        responsive: 1,
        unresponsive: 2,
        failing: 3,
        saturated: 4,
        warming_up: 5,
        answered_parts: 60_000,
    };
    let report = EvidenceReport {
        zone: 1,
        sequence: 300,
        replica_counts: vec![counts, ReplicaCounts::default()],
        demand: 7000,
        nodes: 12,
    };
    check("evidence.hex", &[("evidence", report)]);
}

#[test]
fn datagrams_are_sealed_and_opened_as_by_an_earlier_version() {
    let (from, to) = (([127, 0, 0, 1], 7201).into(), ([127, 0, 0, 1], 7202).into());
    let key = derive_key("change me: sixteen or more");
    let opened = |datagram: &[u8]| {
        let opened =
            Opener::new(key, to).open(datagram).map(|o| (o.kind, o.from, o.instance, o.body.to_vec()));
        opened.unwrap()
    };
    let seal = |(kind, from, instance, body): &(DatagramKind, SocketAddr, u64, Vec<u8>)| {
        Sealer::new(key, *from, *instance).seal(to, *kind, body).unwrap()
    };
    let values = [
        ("gossip", (DatagramKind::Gossip, from, 1 << 50, vec![1, 2, 3])),
        ("agree", (DatagramKind::Consensus, from, 7, vec![4, 5])),
        ("word", (DatagramKind::Message, from, 300, Vec::new())),
    ];
    fixtures::check("datagrams.hex", &values, seal, opened);
}
