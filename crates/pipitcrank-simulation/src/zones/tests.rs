use super::*;

#[test]
fn common_decision_moves_load_and_serves_more() {
    let report = run_experiment(30, 3, 1).report;
    assert!(report.time_to_move_s.is_some_and(|s| s < 3.5), "{report:?}");
    assert!(report.time_to_return_s.is_some(), "{report:?}");
    assert!(report.service["common"].in_outage > report.service["alone"].in_outage, "{report:?}");
    assert_eq!((report.conflicting_decisions, report.decision_regressions), (0, 0));
}

#[test]
fn same_seed_gives_same_bytes() {
    let bytes = |seed| serde_json::to_string(&run_experiment(12, 3, seed).report).unwrap();
    assert_eq!(bytes(2), bytes(2));
    assert_ne!(bytes(2), bytes(3));
}
