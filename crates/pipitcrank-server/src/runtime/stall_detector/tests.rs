use super::*;

#[test]
fn input_read_after_a_stall_counts_as_old_as_the_stall() {
    let at = |ms| Timestamp::from_secs_f64(5.0) + TimeSpan::from_millis(ms);
    let detector = StallDetector::new(at(0));
    for ms in (0..2000).step_by(50) {
        detector.tick(at(ms));
        assert_eq!(detector.unread_for(at(ms)), TimeSpan::ZERO);
    }
    // A late tick on a busy machine, within the slack of the deadlines sent to replicas.
    detector.tick(at(2050));
    assert_eq!(detector.unread_for(at(2050)), TimeSpan::ZERO);
    detector.tick(at(2200));
    assert_eq!(detector.unread_for(at(2349)), TimeSpan::from_millis(150), "within the length of the stall");
    assert_eq!(detector.unread_for(at(2350)), TimeSpan::ZERO);
    detector.tick(at(2250));
    detector.tick(at(2700));
    detector.tick(at(8700));
    detector.tick(at(8750));
    assert_eq!(detector.unread_for(at(8900)), TimeSpan::from_millis(6000));
    assert_eq!(detector.unread_for(at(8951)), TimeSpan::ZERO);
}
