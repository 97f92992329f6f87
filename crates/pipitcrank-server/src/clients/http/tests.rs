use super::*;

#[test]
fn a_query_that_comes_after_shutdown_was_requested_is_answered_before_the_kill() {
    let at = |ms| Timestamp::default() + TimeSpan::from_millis(ms);
    let last = TimeSpan::from_millis(1900);
    assert_eq!(deadline(at(9000), None, last), at(9000));
    assert_eq!(deadline(at(9000), Some(at(1000)), last), at(2900));
    assert_eq!(deadline(at(2000), Some(at(1000)), last), at(2000), "its own time, where that is sooner");
}
