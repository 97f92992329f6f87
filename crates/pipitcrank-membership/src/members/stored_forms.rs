//! Gossip, evidence and sealed datagrams, against bytes of an earlier version.

use std::fmt::Debug;

use serde::de::DeserializeOwned;

use super::*;
use crate::envelope::{Kind, Opener, Sealer, key};
use crate::evidence::{Row, Word};

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
    check(
        "gossip.hex",
        &[
            ("goodbye_left", Rumour::Goodbye(peer(), Gone::Left)),
            ("goodbye_upgraded", Rumour::Goodbye(peer(), Gone::Upgraded)),
            ("goodbye_died", Rumour::Goodbye(peer(), Gone::Died)),
            ("topic", Rumour::Topic(1, (7, 9), vec![1, 2, 255])),
        ],
    );
}

#[test]
fn evidence_is_read_and_written_as_by_an_earlier_version() {
    let row = Row { listed: 9, answering: 1, silent: 2, failing: 3, full: 4, cold: 5, merged: 60_000 };
    let word = Word { zone: 1, number: 300, rows: vec![row, Row::default()], asked: 7000, copies: 12 };
    check("evidence.hex", &[("evidence", word)]);
}

#[test]
fn datagrams_are_sealed_and_opened_as_by_an_earlier_version() {
    let (from, to) = (([127, 0, 0, 1], 7201).into(), ([127, 0, 0, 1], 7202).into());
    let key = key("change me: sixteen or more");
    let opened = |datagram: &[u8]| {
        let opened =
            Opener::new(key, to).open(datagram).map(|o| (o.kind, o.from, o.instance, o.body.to_vec()));
        opened.unwrap()
    };
    let seal = |(kind, from, instance, body): &(Kind, SocketAddr, u64, Vec<u8>)| {
        Sealer::new(key, *from, *instance).seal(to, *kind, body).unwrap()
    };
    let values = [
        ("gossip", (Kind::Gossip, from, 1 << 50, vec![1, 2, 3])),
        ("agree", (Kind::Agree, from, 7, vec![4, 5])),
        ("word", (Kind::Word, from, 300, Vec::new())),
    ];
    fixtures::check("datagrams.hex", &values, seal, opened);
}
