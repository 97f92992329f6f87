use super::*;

#[test]
fn each_outcome_is_recorded_once_and_second_answers_are_counted() {
    let query_log = QueryLog::default();
    for id in ["a", "b", "c"] {
        query_log.query_sent(id, 1);
    }
    query_log.query_finished("a", QueryOutcome::Complete, Duration::from_millis(5));
    query_log.query_finished("b", QueryOutcome::Lost, Duration::ZERO);
    assert_eq!(
        (query_log.open(), query_log.count(QueryOutcome::Complete), query_log.answered_twice()),
        (1, 1, 0)
    );
    query_log.query_finished("a", QueryOutcome::Aborted, Duration::from_millis(9));
    assert_eq!((query_log.answered_twice(), query_log.count(QueryOutcome::Complete)), (1, 1));
    for part in ["a.1", "a.1", "b.1"] {
        query_log.part_started(part);
    }
    query_log.part_started("c@north.7f.0.12.4");
    query_log.part_started("c.4");
    assert_eq!(
        query_log.parts_run_again("c"),
        1,
        "a run of the same part for another site counts as a repeat"
    );
    let budget =
        |free| RetryBudget { free, fraction: 0.0, window: Duration::from_secs(9), run_delay: Duration::ZERO };
    assert!(query_log.over_budget(budget(0.0)) >= 2.0);
    assert!(query_log.over_budget(budget(2.0)) <= 0.0);
    assert_eq!(
        (query_log.parts_run_again("a"), query_log.parts_run_again("b"), query_log.part_runs()),
        (1, 0, 5)
    );
}
