use super::*;

#[test]
fn shutdown_caps_the_deadline_of_new_queries() {
    let at = |ms| Timestamp::default() + TimeSpan::from_millis(ms);
    let last = TimeSpan::from_millis(1900);
    assert_eq!(deadline(at(9000), None, last), at(9000));
    assert_eq!(deadline(at(9000), Some(at(1000)), last), at(2900));
    assert_eq!(deadline(at(2000), Some(at(1000)), last), at(2000), "an earlier own deadline stays");
}
