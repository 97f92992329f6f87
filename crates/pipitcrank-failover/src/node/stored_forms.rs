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

fn shown() -> Shown {
    Shown {
        decision: Some(Decision::first(2, 7 << 32)),
        standing: "follows".into(),
        shares: vec![(0, 900), (1, 100)],
        evidence: vec![("Well".into(), 5, 40)],
        leader: Some(1),
        voters_heard: 3,
        members: 20,
    }
}

#[test]
fn messages_between_copies_are_read_and_written_as_by_an_earlier_version() {
    let row = Row { listed: 9, answering: 1, silent: 2, failing: 3, full: 4, cold: 5, merged: 60_000 };
    let evidence = Evidence { zone: 1, number: 300, rows: vec![row], asked: 7000, copies: 12 };
    let stands = Said::Stands {
        nonce: 17,
        decision: Some(Decision::first(2, 7 << 32)),
        rank: (8, 9),
        beat_number: 10,
        age: TimeSpan::from_millis(40),
    };
    let told = |answer| Said::Told { ticket: 33, answer };
    check(
        "node_messages.hex",
        &[
            ("voter", Said::Voter(Word::Found { generation: 9 })),
            ("evidence", Said::Evidence(evidence)),
            ("look", Said::Look(17)),
            ("stands", stands),
            ("ask_show", Said::Ask { ticket: 33, order: None }),
            ("ask_order", Said::Ask { ticket: 33, order: Some(Order::Drain(2)) }),
            ("told_shown", told(Answer::Shown(shown()))),
            ("told_done", told(Answer::Done(7 << 32 | 1))),
            ("told_refused", told(Answer::Refused("it is frozen already".into()))),
            ("told_not_leading", told(Answer::NotLeading(Some(2)))),
            ("told_who", told(Answer::Who(vec![peer()], true))),
            ("stay_away", Said::StayAway { ticket: 33, seats: vec![1, 2] }),
            ("who", Said::Who { ticket: 33, after: Some(([127, 0, 0, 1], 7202).into()) }),
        ],
    );
}

#[test]
fn topics_of_gossip_keep_their_numbers() {
    assert_eq!((DECISION, BEATS), (0, 1));
    check("heartbeat.hex", &[("heartbeat", ((8u64, 9u64), 10u64))]);
}
