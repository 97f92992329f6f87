use super::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

#[test]
fn an_id_is_remembered_for_the_retention_time() {
    let mut recent = RecentQueries::default();
    recent.add(at(0), "sale-1");
    recent.add(at(1), "sale-2");
    assert!(recent.contains("sale-1") && recent.contains("sale-2") && !recent.contains("sale-3"));
    recent.add(at(60_000), "sale-3");
    assert!(!recent.contains("sale-1") && recent.contains("sale-2"));
}

#[test]
fn an_id_that_ends_again_is_stored_once() {
    let mut recent = RecentQueries::default();
    (0..100).for_each(|ms| recent.add(at(ms), "sale-1"));
    assert_eq!((recent.ended.len(), recent.hashes.len()), (1, 1));
}

#[test]
fn the_table_is_bounded_and_full_only_while_its_oldest_id_must_be_kept() {
    let mut recent = RecentQueries::default();
    (0..MAX_IDS).for_each(|n| recent.add(at(0), &format!("sale-{n}")));
    assert!(recent.is_full(at(5999)) && !recent.is_full(at(6000)));
    recent.add(at(6000), "sale-last");
    assert_eq!((recent.ended.len(), recent.hashes.len()), (MAX_IDS, MAX_IDS));
    assert!(recent.contains("sale-last") && !recent.contains("sale-0"));
}
