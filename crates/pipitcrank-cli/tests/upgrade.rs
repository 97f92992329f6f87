//! Upgrades of real processes under load with stand-in replicas, and one kind of fault per test. Each test checks
//! that no query is lost, that no side-effecting part runs twice, that no connection is refused or closed, and that
//! the upgrade completes or is rolled back as expected.

use std::path::Path;
use std::time::Duration;

use pipitcrank_testkit::trial::upgrade::{Round, run_overloaded, run_usual_rounds};
use pipitcrank_testkit::trial::{Outcome, on_one_thread};

const LIMIT: Duration = Duration::from_secs(120);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

fn assert_rules_hold(outcome: Outcome) {
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
    let queries = outcome.figures.iter().find(|(name, _)| name == "queries").map_or(0.0, |(_, n)| *n);
    assert!(queries > 100.0, "expected a load of more than 100 queries, got {queries}");
}

/// Runs a round with a fault and then an upgrade without one, which must succeed.
fn check_round(seed: u64, round: Round) {
    assert_rules_hold(
        on_one_thread(LIMIT, run_usual_rounds(program(), seed, &[round, Round::Plain])).unwrap(),
    );
}

#[test]
fn a_replica_drains_just_before_the_upgrade() {
    check_round(101, Round::Drained);
}

#[test]
fn the_new_process_crashes_during_its_trial() {
    check_round(102, Round::NewCrashes(20));
    check_round(103, Round::NewCrashes(450));
}

#[test]
fn the_new_process_hangs_during_its_trial() {
    check_round(104, Round::NewHangs);
}

#[test]
fn the_new_program_is_missing_or_not_executable() {
    assert_rules_hold(
        on_one_thread(
            LIMIT,
            run_usual_rounds(program(), 105, &[Round::NoProgram, Round::NotExecutable, Round::Plain]),
        )
        .unwrap(),
    );
}

#[test]
fn the_new_process_crashes_or_hangs_before_it_is_ready() {
    check_round(106, Round::CrashesBeforeReady);
    check_round(107, Round::HangsBeforeReady);
}

#[test]
fn the_new_process_sends_invalid_messages() {
    check_round(108, Round::BadOutput);
}

#[test]
fn the_node_config_is_invalid() {
    check_round(109, Round::FaultyNodeConfig);
}

#[test]
fn a_second_request_or_a_reload_during_an_upgrade() {
    check_round(110, Round::RequestedTwice);
    check_round(111, Round::Reloaded);
}

#[test]
fn the_old_process_is_killed_during_the_upgrade() {
    check_round(112, Round::OldKilled);
}

#[test]
fn an_upgrade_at_twice_the_serving_capacity() {
    assert_rules_hold(on_one_thread(LIMIT, run_overloaded(program(), 113, 2)).unwrap());
}
