//! The soak test in short, as CI plays it: real processes, two troubles at a time, judged by the rules. The long form is
//! `pipitcrank trial soak --seed N`.

use std::path::Path;
use std::time::Duration;

use pipitcrank_testkit::soak::{Size, run};
use pipitcrank_testkit::trial::on_one_thread;

const LIMIT: Duration = Duration::from_secs(90);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

/// Plays that seed; what was broken.
fn broken(seed: u64, only: Option<&str>) -> Vec<String> {
    let size = Size { duration: Duration::from_secs(6), ..Size::SHORT };
    on_one_thread(LIMIT, run(program(), seed, size, only, false)).unwrap().broken
}

#[test]
fn troubles_that_overlap_break_no_rule() {
    assert_eq!(broken(1, None), Vec::<String>::new());
}

#[test]
fn failing_system_calls_break_no_rule() {
    for kind in ["short-reads", "interrupts", "restart-accepts"] {
        assert_eq!(broken(2, Some(kind)), Vec::<String>::new(), "{kind}");
    }
}

#[test]
fn a_trouble_that_is_not_known_ends_with_those_that_are() {
    let size = Size { processes: 1, ..Size::SHORT };
    let wrong = on_one_thread(LIMIT, run(program(), 1, size, Some("flod"), false)).map(|_| ()).unwrap_err();
    let words = wrong.to_string();
    assert!(words.contains("'flod'") && words.contains("short-reads, short-writes"), "{words}");
}
