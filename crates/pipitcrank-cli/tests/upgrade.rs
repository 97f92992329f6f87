//! Upgrades of the whole program under load, one kind of trouble a test, on stand-ins from the rig. Each test asks that
//! no query is lost, no side-effecting part runs twice, no connection is refused or closed, and that the upgrade came
//! about or was undone as it has to be.

use std::path::Path;
use std::time::Duration;

use pipitcrank_testkit::trial::upgrade::{Round, run_overloaded, run_usual_rounds};
use pipitcrank_testkit::trial::{Outcome, on_one_thread};

const LIMIT: Duration = Duration::from_secs(120);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

fn kept(outcome: Outcome) {
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
    let asked = outcome.figures.iter().find(|(name, _)| name == "queries").map_or(0.0, |(_, n)| *n);
    assert!(asked > 100.0, "there was a load: {asked}");
}

/// After each trouble a plain upgrade: nothing of the first is left.
fn survives(seed: u64, round: Round) {
    kept(on_one_thread(LIMIT, run_usual_rounds(program(), seed, &[round, Round::Plain])).unwrap());
}

#[test]
fn one_after_another_with_a_replica_that_drains_the_moment_before() {
    survives(101, Round::Drained);
}

#[test]
fn a_new_process_that_crashes_in_its_trial() {
    survives(102, Round::NewCrashes(20));
    survives(103, Round::NewCrashes(450));
}

#[test]
fn a_new_process_that_stands_still_in_its_trial() {
    survives(104, Round::NewHangs);
}

#[test]
fn a_program_that_is_not_there_or_can_not_be_run() {
    kept(
        on_one_thread(
            LIMIT,
            run_usual_rounds(program(), 105, &[Round::NoProgram, Round::NotExecutable, Round::Plain]),
        )
        .unwrap(),
    );
}

#[test]
fn a_program_that_ends_or_hangs_before_it_is_ready() {
    survives(106, Round::CrashesBeforeReady);
    survives(107, Round::HangsBeforeReady);
}

#[test]
fn a_program_that_says_what_no_worker_says() {
    survives(108, Round::BadOutput);
}

#[test]
fn a_faulty_node_config() {
    survives(109, Round::FaultyNodeConfig);
}

#[test]
fn a_second_one_asked_for_and_a_reload_during_one() {
    survives(110, Round::RequestedTwice);
    survives(111, Round::Reloaded);
}

#[test]
fn an_old_process_that_is_killed_in_the_middle() {
    survives(112, Round::OldKilled);
}

#[test]
fn at_twice_the_load_that_can_be_served() {
    kept(on_one_thread(LIMIT, run_overloaded(program(), 113, 2)).unwrap());
}
