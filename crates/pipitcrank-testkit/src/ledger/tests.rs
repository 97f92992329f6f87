use super::*;

#[test]
fn each_end_is_entered_once_and_second_ones_are_seen() {
    let ledger = Ledger::default();
    for id in ["a", "b", "c"] {
        ledger.asked(id, 1);
    }
    ledger.ended("a", Ended::Merged, Duration::from_millis(5));
    ledger.ended("b", Ended::Lost, Duration::ZERO);
    assert_eq!((ledger.open(), ledger.count(Ended::Merged), ledger.answered_twice()), (1, 1, 0));
    ledger.ended("a", Ended::Aborted, Duration::from_millis(9));
    assert_eq!((ledger.answered_twice(), ledger.count(Ended::Merged)), (1, 1));
    for part in ["a.1", "a.1", "b.1"] {
        ledger.ran(part);
    }
    ledger.ran("c@north.7f.0.12.4");
    ledger.ran("c.4");
    assert_eq!(ledger.ran_again("c"), 1, "the same part, at another site");
    assert!(ledger.over_budget(0.0, 0.0, Duration::from_secs(9), Duration::ZERO) >= 2.0);
    assert!(ledger.over_budget(2.0, 0.0, Duration::from_secs(9), Duration::ZERO) <= 0.0);
    assert_eq!((ledger.ran_again("a"), ledger.ran_again("b"), ledger.runs()), (1, 0, 5));
}
