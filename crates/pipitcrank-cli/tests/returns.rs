//! Twelve copies of the whole program killed at once and started again: a short form of `pipitcrank trial return`. Each
//! asks that no rule is broken; how fast and how much is served is the trial's own, on a machine that has nothing else to do.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use pipitcrank_testkit::trial::on_one_thread;
use pipitcrank_testkit::trial::returns::{Case, run_cases};

/// Twelve processes are enough at a time.
static ONE: Mutex<()> = Mutex::new(());

fn comes_back(seed: u64, cases: &[Case]) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_pipitcrank"));
    let run = run_cases(program, seed, cases, false, false);
    let outcome = on_one_thread(Duration::from_secs(240), run).unwrap();
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
}

#[test]
fn all_at_once_with_what_each_had_kept() {
    comes_back(401, &[Case::Stores]);
}

#[test]
fn half_on_stores_of_before_the_last_decision() {
    comes_back(402, &[Case::StaleStores]);
}

#[test]
fn the_voters_stores_lost_and_one_voter_dead_for_good() {
    comes_back(403, &[Case::Begin]);
}
