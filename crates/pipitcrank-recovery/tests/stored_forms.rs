//! The store on disk and what is kept in it, against files of an earlier version.

use std::time::Duration;

use pipitcrank_failover::decision::Decision;
use pipitcrank_failover::voter::VoterMemory;
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_membership::peer::Peer;
use pipitcrank_recovery::last_known_state::{Beliefs, Clocks};
use pipitcrank_recovery::store::Store;

#[path = "../../../fixtures/mod.rs"]
mod fixtures;

const OWNER: &str = "n1";
const SOON: Duration = Duration::from_secs(10);

fn beliefs() -> Beliefs {
    let snapshot = Snapshot::decode(&fixtures::read("snapshot.hex")["snapshot"]).unwrap();
    let member = Peer { address: ([127, 0, 0, 1], 7201).into(), instance: 1 << 50, zone: 2 };
    let written = Clocks { day_us: 1_700_000_000_000_000, since_boot_us: 5_000_000 };
    Beliefs::new(written, &snapshot, Some(Decision::initial(2, 7 << 32)), vec![member])
}

#[test]
fn what_was_known_is_read_and_written_as_by_an_earlier_version() {
    let decode = |bytes: &[u8]| Beliefs::decode(bytes).unwrap();
    fixtures::check(
        "learned_state_stored.hex",
        &[("learned_state_stored", beliefs())],
        Beliefs::encode,
        decode,
    );
}

/// A store with a voter's memory and learned state, as an earlier version left it on disk.
#[test]
fn a_store_of_an_earlier_version_is_opened_read_and_written_on() {
    let memory = &fixtures::read("voter_memory.hex")["in_a_group"];
    let file = fixtures::path("store.redb");
    if !file.exists() && std::env::var("FIXTURES").is_ok_and(|mode| mode == "write") {
        let mut store = Store::open(file.clone(), OWNER.into(), || {});
        store.keep(memory.clone());
        store.believe(beliefs().encode());
    }
    let place = tempfile::tempdir().unwrap();
    let path = place.path().join("store");
    std::fs::copy(&file, &path).unwrap();
    let mut store = Store::open(path.clone(), OWNER.into(), || {});
    let found = store.found(SOON).unwrap();
    assert_eq!(found.promises.as_ref(), Some(memory));
    assert_eq!(&VoterMemory::decode(memory).unwrap().encode(), memory);
    assert_eq!(found.beliefs, Some(beliefs().encode()));
    store.keep(vec![1]);
    drop(store);
    let found = Store::open(path, OWNER.into(), || {}).found(SOON).unwrap();
    assert_eq!((found.promises, found.beliefs), (Some(vec![1]), Some(beliefs().encode())));
}
