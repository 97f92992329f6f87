//! Tests of a group of voters on a simulated network: each number has one decision whatever fails, and
//! decisions resume once the faults end.

mod network;

use network::SimulatedNetwork;
use pipitcrank_failover::voter::{PersistentVoterState, Voter};
use rand::Rng;

#[test]
fn voters_form_a_group_and_continue_without_a_minority() {
    for slots in [1, 3, 5] {
        let mut network = SimulatedNetwork::new(1, slots);
        network.assert_progress(5000, "first start");
        assert_eq!(network.leaders().len(), 1);
        for slot in 0..(slots - 1) / 2 {
            network.voters[slot] = None;
        }
        if slots > 1 {
            network.assert_progress(3000, "a minority crashed, including the leader");
        }
    }
}

#[test]
fn decisions_stop_without_a_majority_and_resume_with_one() {
    let mut network = SimulatedNetwork::new(2, 3);
    network.run_for(5000);
    network.isolate(&[0, 1]);
    network.cut_links.extend([(0, 1), (1, 0)]);
    network.run_for(1500);
    let before = network.decisions.len();
    network.run_for(10_000);
    assert_eq!(network.decisions.len(), before, "no decision without a majority");
    network.cut_links.clear();
    network.assert_progress(5000, "links restored");
    assert_eq!(network.generations(), 1, "the group continues without a new generation");
}

#[test]
fn a_voter_that_lost_its_state_is_readmitted_and_counts() {
    let mut network = SimulatedNetwork::new(3, 3);
    network.run_for(5000);
    network.start(2);
    network.assert_progress(3000, "one voter restarted");
    assert!(network.voters[2].as_ref().unwrap().is_voter());
    network.voters[0] = None;
    network.assert_progress(4000, "the readmitted voter is needed for a majority");
    network.start(0);
    network.run_for(3000);
    // Every voter is restarted several times; the group stays the same.
    for round in 0..6 {
        network.start(round % 3);
        network.assert_progress(4000, "rolling restart");
    }
    assert_eq!(network.generations(), 1);
}

#[test]
fn after_total_state_loss_a_new_generation_starts_above_all_numbers() {
    let mut network = SimulatedNetwork::new(4, 3);
    network.run_for(5000);
    for lost in [vec![0, 1, 2], vec![0, 1], vec![1, 2]] {
        let last = *network.decisions.keys().last().unwrap();
        lost.iter().for_each(|&slot| network.start(slot));
        network.assert_progress(12_000, "state lost");
        assert!(*network.decisions.keys().last().unwrap() >> 32 > last >> 32, "{lost:?}");
    }
}

#[test]
fn a_majority_without_state_decides_nothing() {
    let mut network = SimulatedNetwork::new(5, 3);
    network.run_for(5000);
    network.voters[2] = None;
    (0..2).for_each(|slot| network.start(slot));
    network.run_for(100);
    let before = network.decisions.len();
    network.run_for(15_000);
    assert_eq!(
        network.decisions.len(),
        before,
        "the third voter may hold a newer decision, so the others wait for it"
    );
    network.start(2);
    network.assert_progress(10_000, "all slots are up");
}

#[test]
fn a_leader_suspended_for_five_seconds_resumes_safely() {
    let mut network = SimulatedNetwork::new(6, 3);
    network.run_for(5000);
    let leader = network.leaders()[0];
    network.suspended.insert(leader);
    network.assert_progress(5000, "the leader is suspended");
    network.suspended.clear();
    network.assert_progress(3000, "the leader resumed");
    assert_eq!(network.leaders().len(), 1);
}

#[test]
fn invalid_raft_messages_change_nothing() {
    let mut network = SimulatedNetwork::new(7, 3);
    network.run_for(5000);
    let voter = network.voters[1].as_mut().unwrap();
    let before = voter.decision().cloned();
    for bytes in [&b"garbage"[..], &[0xff; 900], &[]] {
        voter.handle_raft(network.now, voter.generation(), bytes);
        voter.handle_raft(network.now, 99, bytes);
    }
    assert!(voter.discarded_messages >= 6);
    assert_eq!(voter.decision().cloned(), before);
    network.assert_progress(2000, "after invalid messages");
}

/// Random crashes, suspensions, partitions, loss and delay. Each number has one decision at all times, and
/// decisions resume after the faults end.
#[test]
fn under_any_faults_each_number_has_one_decision() {
    for seed in 0..40 {
        let slots = [3, 5][seed as usize % 2];
        let mut network = SimulatedNetwork::new(seed, slots);
        network.run_for(4000);
        for _ in 0..12 {
            let slot = network.rng.random_range(0..slots);
            match network.rng.random_range(0..8) {
                0 => network.voters[slot] = None,
                1 => network.start(slot),
                2 => {
                    network.suspended.insert(slot);
                }
                3 => {
                    network.suspended.remove(&slot);
                }
                4 => network.isolate(&[slot]),
                5 => {
                    let to = network.rng.random_range(0..slots);
                    network.cut_links.insert((slot, to));
                }
                6 => (network.loss_rate, network.max_delay_ms) = (0.3, 200),
                _ => {
                    network.cut_links.clear();
                    (network.loss_rate, network.max_delay_ms) = (0.0, 5);
                }
            }
            let ms = network.rng.random_range(100..3000);
            network.run_for(ms);
            network.assert_consistent(&format!("seed {seed}"));
        }
        network.cut_links.clear();
        network.suspended.clear();
        (network.loss_rate, network.max_delay_ms) = (0.0, 5);
        for slot in 0..slots {
            if network.voters[slot].is_none() {
                network.start(slot);
            }
        }
        network.run_for(8000);
        network.assert_progress(8000, &format!("seed {seed}, faults ended"));
    }
}

#[test]
fn voters_with_persisted_state_survive_a_simultaneous_restart() {
    let mut network = SimulatedNetwork::new(11, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    let ids: Vec<u64> = network.voters.iter().flatten().map(Voter::own_id).collect();
    for restarted in [vec![2], vec![0, 1], vec![0, 1, 2]] {
        restarted.iter().for_each(|&slot| network.start_from_persisted(slot, 0));
        network.assert_progress(4000, "restarted from persisted state");
    }
    assert_eq!(ids, network.voters.iter().flatten().map(Voter::own_id).collect::<Vec<_>>());
    assert_eq!(network.generations(), 1, "the group continues without a new generation");
    // A voter without state is admitted beside two restored ones.
    network.voters[0] = None;
    network.start_from_persisted(1, 0);
    network.start(2);
    network.run_for(3000);
    network.start_from_persisted(0, 0);
    network.assert_progress(6000, "one voter lost its disk, another was down for a while");
    assert_eq!(network.generations(), 1);
}

#[test]
fn persisted_state_is_used_only_by_its_own_slot() {
    let mut network = SimulatedNetwork::new(12, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    for states in &network.persisted_states {
        let state = states.last().unwrap();
        let bytes = postcard::to_allocvec(state).unwrap();
        assert!(bytes.len() < 4000, "{} bytes", bytes.len());
        assert_eq!(postcard::from_bytes::<PersistentVoterState>(&bytes).unwrap(), *state);
    }
    let (mine, others) = (
        network.persisted_states[0].last().unwrap().clone(),
        network.persisted_states[1].last().unwrap().clone(),
    );
    network.start(0);
    let voter = network.voters[0].as_mut().unwrap();
    let blank = voter.own_id();
    voter.restore(network.now, others);
    assert_eq!(voter.own_id(), blank, "the state of another slot is ignored");
    voter.restore(network.now, mine);
    assert_ne!(voter.own_id(), blank);
    assert!(
        voter.decision().is_some() && voter.take_decided().is_empty(),
        "the restored decision is withheld until it is confirmed as current"
    );
}

#[test]
fn an_outdated_state_is_detected_and_its_id_abandoned() {
    let mut network = SimulatedNetwork::new(13, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    let id = network.voters[2].as_ref().unwrap().own_id();
    let old = network.persisted_states[2].len();
    network.start_from_persisted(2, 0);
    network.assert_progress(3000, "restarted");
    assert_eq!(network.voters[2].as_ref().unwrap().own_id(), id);
    // The disk is restored to its contents before that start.
    let later = network.persisted_states[2].len() - old;
    network.start_from_persisted(2, later);
    network.run_for(100);
    assert!(
        !network.voters[2].as_ref().unwrap().is_voter()
            || network.voters[2].as_ref().unwrap().is_unconfirmed()
    );
    network.assert_progress(5000, "an outdated state was restored");
    let voter = network.voters[2].as_ref().unwrap();
    assert!(voter.own_id() != id && voter.is_voter(), "readmitted under another id");
    assert_eq!(network.generations(), 1);
}

#[test]
fn a_dead_slot_is_excluded_only_by_command() {
    let mut network = SimulatedNetwork::new(14, 3);
    network.assert_progress(5000, "first start");
    let before = *network.decisions.keys().last().unwrap();
    (0..3).for_each(|slot| network.start(slot));
    network.voters[0] = None;
    let decided = network.decisions.len();
    network.run_for(15_000);
    assert_eq!(network.decisions.len(), decided, "two of three voters without state decide nothing");
    for slot in [1, 2] {
        network.voters[slot].as_mut().unwrap().exclude_voters(vec![0]);
    }
    network.assert_progress(8000, "a new generation without the excluded slot");
    assert!(*network.decisions.keys().last().unwrap() >> 32 > before >> 32, "above all numbers used");
    // The slot returns once the exclusion is ended.
    for slot in [1, 2] {
        network.voters[slot].as_mut().unwrap().exclude_voters(Vec::new());
    }
    network.start(0);
    network.assert_progress(5000, "the slot is back");
    assert!(network.voters[0].as_ref().unwrap().is_voter());
}

/// Random crashes on a lossy network. Processes restart from the last persisted state, from an older one, or
/// without state.
#[test]
fn each_number_has_one_decision_whatever_state_is_lost() {
    for seed in 0..40 {
        let mut network = SimulatedNetwork::new(100 + seed, if seed % 2 == 0 { 3 } else { 5 });
        network.has_disks = true;
        (network.loss_rate, network.max_delay_ms) = (0.1, 60);
        network.run_for(4000);
        for _ in 0..12 {
            let slot = network.rng.random_range(0..network.voters.len());
            match network.rng.random_range(0..10) {
                0..5 => network.start_from_persisted(slot, 0),
                5 => {
                    let back = network.rng.random_range(0..20);
                    network.start_from_persisted(slot, back);
                }
                6 => {
                    network.persisted_states[slot].clear();
                    network.start(slot);
                }
                7 => (0..network.voters.len()).for_each(|slot| network.start_from_persisted(slot, 0)),
                8 => network.isolate(&[slot]),
                _ => network.cut_links.clear(),
            }
            let ms = network.rng.random_range(50..2500);
            network.run_for(ms);
            network.assert_consistent(&format!("seed {seed}"));
        }
        (network.loss_rate, network.max_delay_ms) = (0.0, 5);
        network.cut_links.clear();
        network.assert_progress(15_000, &format!("seed {seed}, faults ended"));
    }
}

/// Guards against a second decision under one number: without recorded incarnations, a voter restored from an
/// outdated state could help decide a number that it has already decided.
#[test]
fn an_outdated_state_completes_no_conflicting_majority() {
    let mut network = SimulatedNetwork::new(15, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    let old = network.persisted_states[1].len();
    network.start_from_persisted(1, 0);
    network.assert_progress(3000, "the other voters have recorded the new incarnation");
    network.isolate(&[2]);
    network.assert_progress(3000, "two voters decide, the third is isolated");
    // The other voter of the two is isolated, and this one restarts from its state before the last
    // incarnation.
    network.cut_links.clear();
    network.isolate(&[0]);
    network.in_flight.clear();
    let later = network.persisted_states[1].len() - old;
    network.start_from_persisted(1, later);
    let decided = network.decisions.len();
    network.run_for(8000);
    network.assert_consistent("an outdated state and a voter that missed decisions");
    assert_eq!(
        network.decisions.len(),
        decided,
        "the two connected voters are no majority of those that decided"
    );
    network.cut_links.clear();
    network.assert_progress(6000, "links restored");
}
