//! One decision for each number, whatever fails, and decisions again once nothing does.

mod network;

use network::SimulatedNetwork;
use pipitcrank_failover::voter::{PersistentVoterState, Voter};
use rand::Rng;

#[test]
fn voters_found_a_group_and_go_on_without_a_minority() {
    for slots in [1, 3, 5] {
        let mut network = SimulatedNetwork::new(1, slots);
        network.assert_progress(5000, "first start");
        assert_eq!(network.leaders().len(), 1);
        for slot in 0..(slots - 1) / 2 {
            network.voters[slot] = None;
        }
        if slots > 1 {
            network.assert_progress(3000, "a minority died, the leader among them");
        }
    }
}

#[test]
fn without_a_majority_nothing_is_decided_and_with_it_again_all_goes_on() {
    let mut network = SimulatedNetwork::new(2, 3);
    network.run_for(5000);
    network.isolate(&[0, 1]);
    network.cut_links.extend([(0, 1), (1, 0)]);
    network.run_for(1500);
    let before = network.decisions.len();
    network.run_for(10_000);
    assert_eq!(network.decisions.len(), before, "nobody has a majority");
    network.cut_links.clear();
    network.assert_progress(5000, "healed");
    assert_eq!(network.generations(), 1, "no new generation was needed");
}

#[test]
fn a_voter_that_lost_its_memory_is_admitted_again_and_then_counts() {
    let mut network = SimulatedNetwork::new(3, 3);
    network.run_for(5000);
    network.start(2);
    network.assert_progress(3000, "one restarted");
    assert!(network.voters[2].as_ref().unwrap().is_voter());
    network.voters[0] = None;
    network.assert_progress(4000, "the new one is needed for a majority");
    network.start(0);
    network.run_for(3000);
    // Each of the three, several times: the group outlives them all.
    for round in 0..6 {
        network.start(round % 3);
        network.assert_progress(4000, "rolling restart");
    }
    assert_eq!(network.generations(), 1);
}

#[test]
fn when_all_memory_is_lost_a_new_generation_begins_above_all_numbers() {
    let mut network = SimulatedNetwork::new(4, 3);
    network.run_for(5000);
    for lost in [vec![0, 1, 2], vec![0, 1], vec![1, 2]] {
        let last = *network.decisions.keys().last().unwrap();
        lost.iter().for_each(|&slot| network.start(slot));
        network.assert_progress(12_000, "memory lost");
        assert!(*network.decisions.keys().last().unwrap() >> 32 > last >> 32, "{lost:?}");
    }
}

#[test]
fn a_majority_without_memory_alone_decides_nothing() {
    let mut network = SimulatedNetwork::new(5, 3);
    network.run_for(5000);
    network.voters[2] = None;
    (0..2).for_each(|slot| network.start(slot));
    network.run_for(100);
    let before = network.decisions.len();
    network.run_for(15_000);
    assert_eq!(network.decisions.len(), before, "the third may remember more: it is waited for");
    network.start(2);
    network.assert_progress(10_000, "all slots are up again");
}

#[test]
fn a_leader_that_stood_still_for_five_seconds_resumes_without_harm() {
    let mut network = SimulatedNetwork::new(6, 3);
    network.run_for(5000);
    let leader = network.leaders()[0];
    network.suspended.insert(leader);
    network.assert_progress(5000, "the leader stands still");
    network.suspended.clear();
    network.assert_progress(3000, "and resumes");
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
    network.assert_progress(2000, "after garbage");
}

/// All faults at once: each number has one decision at all times, and decisions go on in the end.
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
        network.assert_progress(8000, &format!("seed {seed}, healed"));
    }
}

#[test]
fn voters_with_memory_continue_their_group_even_when_all_restart_at_once() {
    let mut network = SimulatedNetwork::new(11, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    let ids: Vec<u64> = network.voters.iter().flatten().map(Voter::own_id).collect();
    for restarted in [vec![2], vec![0, 1], vec![0, 1, 2]] {
        restarted.iter().for_each(|&slot| network.start_from_memory(slot, 0));
        network.assert_progress(4000, "restarted with what was persisted");
    }
    assert_eq!(ids, network.voters.iter().flatten().map(Voter::own_id).collect::<Vec<_>>());
    assert_eq!(network.generations(), 1, "no new generation was needed");
    // A third without memory is admitted beside them.
    network.voters[0] = None;
    network.start_from_memory(1, 0);
    network.start(2);
    network.run_for(3000);
    network.start_from_memory(0, 0);
    network.assert_progress(6000, "one had lost its disk, one was down for a while");
    assert_eq!(network.generations(), 1);
}

#[test]
fn memory_is_read_back_and_used_by_its_own_slot_alone() {
    let mut network = SimulatedNetwork::new(12, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    for memories in &network.persisted_memories {
        let memory = memories.last().unwrap();
        let bytes = postcard::to_allocvec(memory).unwrap();
        assert!(bytes.len() < 4000, "{} bytes", bytes.len());
        assert_eq!(postcard::from_bytes::<PersistentVoterState>(&bytes).unwrap(), *memory);
    }
    let (mine, others) = (
        network.persisted_memories[0].last().unwrap().clone(),
        network.persisted_memories[1].last().unwrap().clone(),
    );
    network.start(0);
    let voter = network.voters[0].as_mut().unwrap();
    let blank = voter.own_id();
    voter.restore(network.now, others);
    assert_eq!(voter.own_id(), blank, "another slot's");
    voter.restore(network.now, mine);
    assert_ne!(voter.own_id(), blank);
    assert!(
        voter.decision().is_some() && voter.take_decided().is_empty(),
        "it is not reported before it is known to be current"
    );
}

#[test]
fn an_older_memory_is_recognized_and_its_id_abandoned_for_good() {
    let mut network = SimulatedNetwork::new(13, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    let id = network.voters[2].as_ref().unwrap().own_id();
    let old = network.persisted_memories[2].len();
    network.start_from_memory(2, 0);
    network.assert_progress(3000, "restarted");
    assert_eq!(network.voters[2].as_ref().unwrap().own_id(), id);
    // The disk is restored to what it was before that start.
    let later = network.persisted_memories[2].len() - old;
    network.start_from_memory(2, later);
    network.run_for(100);
    assert!(
        !network.voters[2].as_ref().unwrap().is_voter()
            || network.voters[2].as_ref().unwrap().is_unconfirmed()
    );
    network.assert_progress(5000, "an older memory was restored");
    let voter = network.voters[2].as_ref().unwrap();
    assert!(voter.own_id() != id && voter.is_voter(), "admitted again under another id");
    assert_eq!(network.generations(), 1);
}

#[test]
fn a_dead_slot_is_excluded_by_command_alone() {
    let mut network = SimulatedNetwork::new(14, 3);
    network.assert_progress(5000, "first start");
    let before = *network.decisions.keys().last().unwrap();
    (0..3).for_each(|slot| network.start(slot));
    network.voters[0] = None;
    let decided = network.decisions.len();
    network.run_for(15_000);
    assert_eq!(network.decisions.len(), decided, "two of three without memory decide nothing");
    for slot in [1, 2] {
        network.voters[slot].as_mut().unwrap().exclude_voters(vec![0]);
    }
    network.assert_progress(8000, "a new generation without it");
    assert!(*network.decisions.keys().last().unwrap() >> 32 > before >> 32, "above all numbers used");
    // It returns after all, once the exclusion is ended.
    for slot in [1, 2] {
        network.voters[slot].as_mut().unwrap().exclude_voters(Vec::new());
    }
    network.start(0);
    network.assert_progress(5000, "back");
    assert!(network.voters[0].as_ref().unwrap().is_voter());
}

/// Processes that die at any moment and go on from what was persisted last, or earlier, or from nothing, on a lossy network.
#[test]
fn whatever_memory_is_kept_or_lost_each_number_has_one_decision() {
    for seed in 0..40 {
        let mut network = SimulatedNetwork::new(100 + seed, if seed % 2 == 0 { 3 } else { 5 });
        network.has_disks = true;
        (network.loss_rate, network.max_delay_ms) = (0.1, 60);
        network.run_for(4000);
        for _ in 0..12 {
            let slot = network.rng.random_range(0..network.voters.len());
            match network.rng.random_range(0..10) {
                0..5 => network.start_from_memory(slot, 0),
                5 => {
                    let back = network.rng.random_range(0..20);
                    network.start_from_memory(slot, back);
                }
                6 => {
                    network.persisted_memories[slot].clear();
                    network.start(slot);
                }
                7 => (0..network.voters.len()).for_each(|slot| network.start_from_memory(slot, 0)),
                8 => network.isolate(&[slot]),
                _ => network.cut_links.clear(),
            }
            let ms = network.rng.random_range(50..2500);
            network.run_for(ms);
            network.assert_consistent(&format!("seed {seed}"));
        }
        (network.loss_rate, network.max_delay_ms) = (0.0, 5);
        network.cut_links.clear();
        network.assert_progress(15_000, &format!("seed {seed} healed"));
    }
}

/// Why incarnations are recorded: with an older memory a voter would help decide a number that it had decided already.
#[test]
fn an_older_memory_helps_no_minority_to_a_second_decision_under_one_number() {
    let mut network = SimulatedNetwork::new(15, 3);
    network.has_disks = true;
    network.assert_progress(5000, "first start");
    let old = network.persisted_memories[1].len();
    network.start_from_memory(1, 0);
    network.assert_progress(3000, "another incarnation, recorded by the others");
    network.isolate(&[2]);
    network.assert_progress(3000, "two decide, the third hears nothing");
    // The other of the two is cut off, and the one returns with its memory of before its last incarnation.
    network.cut_links.clear();
    network.isolate(&[0]);
    network.in_flight.clear();
    let later = network.persisted_memories[1].len() - old;
    network.start_from_memory(1, later);
    let decided = network.decisions.len();
    network.run_for(8000);
    network.assert_consistent("an older memory beside a voter that missed decisions");
    assert_eq!(
        network.decisions.len(),
        decided,
        "the two that are connected are no majority of those that decided"
    );
    network.cut_links.clear();
    network.assert_progress(6000, "healed");
}
