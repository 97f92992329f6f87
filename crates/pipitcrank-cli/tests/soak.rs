//! A short soak test for CI: real processes with two faults at a time, checked against the rules. The long form is
//! `pipitcrank trial soak --seed N`.

use std::path::Path;
use std::time::Duration;

use pipitcrank_testkit::soak::{Size, run};
use pipitcrank_testkit::trial::on_one_thread;

const LIMIT: Duration = Duration::from_secs(90);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

/// Runs the soak test with this seed and returns the broken rules.
fn broken(seed: u64, only: Option<&str>) -> Vec<String> {
    let size = Size { duration: Duration::from_secs(6), ..Size::SHORT };
    on_one_thread(LIMIT, run(program(), seed, size, only, false)).unwrap().broken
}

#[test]
fn overlapping_faults_break_no_rule() {
    assert_eq!(broken(1, None), Vec::<String>::new());
}

#[test]
fn failing_system_calls_break_no_rule() {
    for kind in ["short-reads", "interrupts", "restart-accepts"] {
        assert_eq!(broken(2, Some(kind)), Vec::<String>::new(), "{kind}");
    }
}

#[test]
fn restarts_in_series_break_no_rule() {
    assert_eq!(broken(3, Some("restart-series")), Vec::<String>::new());
}

#[test]
fn crowds_break_no_rule_and_stay_within_the_memory_limit() {
    assert_eq!(broken(4, Some("crowd")), Vec::<String>::new());
}

#[test]
fn an_unknown_fault_name_is_an_error_that_lists_the_known_ones() {
    let size = Size { processes: 1, ..Size::SHORT };
    let error = on_one_thread(LIMIT, run(program(), 1, size, Some("flod"), false)).map(|_| ()).unwrap_err();
    let message = error.to_string();
    assert!(message.contains("'flod'") && message.contains("short-reads, short-writes"), "{message}");
}
