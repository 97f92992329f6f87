//! Checks that the store file and its values, written by an earlier version, are still read and written.

use std::time::Duration;

use pipitcrank_failover::decision::Decision;
use pipitcrank_failover::voter::PersistentVoterState;
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_membership::peer::Peer;
use pipitcrank_recovery::last_known_state::{ClockReading, LastKnownState};
use pipitcrank_recovery::store::Store;

#[path = "../../../fixtures/mod.rs"]
mod fixtures;

const OWNER: &str = "n1";
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn state() -> LastKnownState {
    let snapshot = Snapshot::decode(&fixtures::read("snapshot.hex")["snapshot"]).unwrap();
    let member = Peer { address: ([127, 0, 0, 1], 7201).into(), instance: 1 << 50, zone: 2 };
    let written = ClockReading { wall_us: 1_700_000_000_000_000, monotonic_us: 5_000_000 };
    LastKnownState::new(written, &snapshot, Some(Decision::initial(2, 7 << 32)), vec![member])
}

#[test]
fn last_known_state_of_an_earlier_version_round_trips() {
    let decode = |bytes: &[u8]| LastKnownState::decode(bytes).unwrap();
    fixtures::check(
        "learned_state_stored.hex",
        &[("learned_state_stored", state())],
        LastKnownState::encode,
        decode,
    );
}

/// The fixture is a store file of an earlier version with a voter state and a last known state.
#[test]
fn store_of_an_earlier_version_is_read_and_written() {
    let voter_state = &fixtures::read("voter_memory.hex")["in_a_group"];
    let file = fixtures::path("store.redb");
    if !file.exists() && std::env::var("FIXTURES").is_ok_and(|mode| mode == "write") {
        let mut store = Store::open(file.clone(), OWNER.into(), || {});
        store.save_voter_state(voter_state.clone());
        store.save_last_known_state(state().encode());
    }
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("store");
    std::fs::copy(&file, &path).unwrap();
    let mut store = Store::open(path.clone(), OWNER.into(), || {});
    let stored = store.stored_values(TEST_TIMEOUT).unwrap();
    assert_eq!(stored.voter_state.as_ref(), Some(voter_state));
    assert_eq!(&PersistentVoterState::decode(voter_state).unwrap().encode(), voter_state);
    assert_eq!(stored.last_known_state, Some(state().encode()));
    store.save_voter_state(vec![1]);
    drop(store);
    let stored = Store::open(path, OWNER.into(), || {}).stored_values(TEST_TIMEOUT).unwrap();
    assert_eq!((stored.voter_state, stored.last_known_state), (Some(vec![1]), Some(state().encode())));
}
