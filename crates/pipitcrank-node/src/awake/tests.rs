use super::*;

#[test]
fn what_is_read_on_waking_is_as_old_as_the_sleep_and_what_comes_later_is_new() {
    let at = |ms| At::from_s(5.0) + Span::from_ms(ms);
    let awake = Awake::new(at(0));
    for ms in (0..2000).step_by(50) {
        awake.look(at(ms));
        assert_eq!(awake.unread_for(at(ms)), Span::ZERO);
    }
    // Late, as a busy machine is.
    awake.look(at(2700));
    assert_eq!(awake.unread_for(at(2700)), Span::ZERO);
    awake.look(at(8700));
    awake.look(at(8750));
    assert_eq!(awake.unread_for(at(8900)), Span::from_ms(6000));
    assert_eq!(awake.unread_for(at(8951)), Span::ZERO);
}
