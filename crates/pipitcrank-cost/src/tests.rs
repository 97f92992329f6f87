use super::*;

#[test]
fn regressions_name_growth_loss_and_changed_decisions_but_not_times() {
    let held: Figures = [("a: blocks", 100.0), ("a: us", 5.0), ("decisions on stream 1", 7.0), ("gone", 1.0)]
        .map(|(k, v)| (k.to_string(), v))
        .into();
    let current: Figures =
        [("a: blocks", 106.0), ("a: us", 500.0), ("decisions on stream 1", 8.0), ("new", 1.0)]
            .map(|(k, v)| (k.to_string(), v))
            .into();
    let lines = regressions(&held, &current);
    for name in ["a: blocks", "decisions on stream 1", "gone", "new"] {
        assert!(lines.iter().any(|l| l.starts_with(name)), "{name}: {lines:?}");
    }
    assert_eq!(lines.len(), 4);
    assert!(regressions(&held, &held).is_empty());
}
