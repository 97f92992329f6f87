//! Twelve co-ordinator processes are killed at once and started again, as in `pipitcrank trial return` but shorter.
//! The tests check that no rule is broken. Speed and service are checked only by the trial, on an otherwise idle
//! machine.

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use pipitcrank_testkit::trial::on_one_thread;
use pipitcrank_testkit::trial::returns::{Case, run_cases};

/// Runs one test at a time, so that no more than twelve processes run at once.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn check_restart(seed: u64, cases: &[Case]) {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_pipitcrank"));
    let run = run_cases(program, seed, cases, false, false);
    let outcome = on_one_thread(Duration::from_secs(240), run).unwrap();
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
}

#[test]
fn all_restart_with_their_own_stores() {
    check_restart(401, &[Case::Stores]);
}

#[test]
fn half_restart_with_stores_older_than_the_last_decision() {
    check_restart(402, &[Case::StaleStores]);
}

#[test]
fn voters_restart_without_stores_and_one_is_permanently_lost() {
    check_restart(403, &[Case::Begin]);
}
