//! Three sites of the whole program, one trouble of the way or of the other side a test, on stand-ins from the rig. Each
//! asks that no query is lost, no side-effecting part runs twice at any site, and near and far together keep the budget.

use std::path::Path;
use std::time::Duration;

use pipitcrank_testkit::trial::gateway::{Fault, run_single_fault};
use pipitcrank_testkit::trial::on_one_thread;

fn survives(seed: u64, fault: Fault) {
    let program = Path::new(env!("CARGO_BIN_EXE_pipitcrank"));
    let outcome = on_one_thread(Duration::from_secs(90), run_single_fault(program, seed, fault)).unwrap();
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
}

#[test]
fn a_far_site_that_accepts_and_goes_silent() {
    survives(201, Fault::Stalls);
}

#[test]
fn answers_that_do_not_come_back() {
    survives(202, Fault::StallsBack);
}

#[test]
fn a_link_that_flaps() {
    survives(203, Fault::Flaps);
}

#[test]
fn links_cut_within_frames() {
    survives(204, Fault::CutWithin);
}

#[test]
fn a_round_trip_that_goes_up_under_load() {
    survives(205, Fault::SlowWay);
}

#[test]
fn a_far_site_that_is_killed_and_one_that_is_restarted() {
    survives(206, Fault::Killed);
    survives(207, Fault::Restarted);
}

#[test]
fn a_far_site_that_is_upgraded() {
    survives(212, Fault::Upgraded);
}

#[test]
fn both_sites_forwarding_to_each_other() {
    survives(208, Fault::Mutual);
}

#[test]
fn two_far_sites_of_which_the_better_one_changes() {
    survives(209, Fault::Swapped);
}

#[test]
fn clients_that_leave() {
    survives(210, Fault::Leavers);
}

#[test]
fn a_far_site_that_is_full() {
    survives(211, Fault::FarFull);
}

#[test]
fn a_far_site_with_a_stale_list() {
    survives(213, Fault::FarStale);
}
