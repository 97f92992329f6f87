//! Three sites with real processes and stand-in replicas, and one fault per test in the network or at a remote site.
//! Each test checks that no query is lost, that no side-effecting part runs twice at any site, and that local and
//! remote retries together stay within the retry budget.

use std::path::Path;
use std::time::Duration;

use pipitcrank_testkit::trial::gateway::{Fault, run_single_fault};
use pipitcrank_testkit::trial::on_one_thread;

fn check_fault(seed: u64, fault: Fault) {
    let program = Path::new(env!("CARGO_BIN_EXE_pipitcrank"));
    let outcome = on_one_thread(Duration::from_secs(90), run_single_fault(program, seed, fault)).unwrap();
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
}

#[test]
fn a_remote_site_accepts_and_stops_responding() {
    check_fault(201, Fault::Stalls);
}

#[test]
fn answers_of_a_remote_site_are_lost() {
    check_fault(202, Fault::StallsBack);
}

#[test]
fn a_link_flaps() {
    check_fault(203, Fault::Flaps);
}

#[test]
fn links_are_cut_within_frames() {
    check_fault(204, Fault::CutWithin);
}

#[test]
fn round_trip_time_rises_under_load() {
    check_fault(205, Fault::SlowWay);
}

#[test]
fn a_remote_site_is_killed_or_restarted() {
    check_fault(206, Fault::Killed);
    check_fault(207, Fault::Restarted);
}

#[test]
fn a_remote_site_is_upgraded() {
    check_fault(212, Fault::Upgraded);
}

#[test]
fn two_sites_forward_to_each_other() {
    check_fault(208, Fault::Mutual);
}

#[test]
fn the_better_of_two_remote_sites_changes() {
    check_fault(209, Fault::Swapped);
}

#[test]
fn clients_disconnect() {
    check_fault(210, Fault::Leavers);
}

#[test]
fn a_remote_site_has_no_capacity() {
    check_fault(211, Fault::FarFull);
}

#[test]
fn a_remote_site_has_a_stale_endpoint_list() {
    check_fault(213, Fault::FarStale);
}
