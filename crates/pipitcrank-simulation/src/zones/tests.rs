use super::*;

#[test]
fn a_lost_zone_is_left_by_all_and_the_common_decision_serves_more() {
    let (figures, _) = play(30, 3, 1);
    assert!(figures.moved_s.is_some_and(|s| s < 3.5), "{figures:?}");
    assert!(figures.home_s.is_some(), "{figures:?}");
    assert!(figures.service["common"].0 > figures.service["alone"].0, "{figures:?}");
    assert_eq!((figures.two_under_one_number, figures.older_acted_on), (0, 0));
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let bytes = |seed| serde_json::to_string(&play(12, 3, seed).0).unwrap();
    assert_eq!(bytes(2), bytes(2));
    assert_ne!(bytes(2), bytes(3));
}
