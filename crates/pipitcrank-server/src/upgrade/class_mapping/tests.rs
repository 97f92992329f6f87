use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

use super::*;

/// The learned state of a process with these request classes.
fn learned_state(classes: &[String]) -> LearnedState {
    let class =
        |name: &String| json!({"name": name, "aim_s": 1.0, "hard_limit_s": 4.0, "idempotency": "safe"});
    let each = |value: f64| vec![value; classes.len()];
    let settings = json!({
        "allowed": {"cancel": true, "probing": false, "may_duplicate": true, "retry_after": false, "try_limit": 2},
        "classes": classes.iter().map(class).collect::<Vec<_>>(),
        "domain": {"call_cost_s": 0.01, "complete_from": each(1.0), "floor_by_class": each(1.0),
            "follow_up": vec![0; classes.len()], "parts_a_call": 4, "sets": 1, "shards": 1, "span": 1},
        "rules": {"cold_from": 0.3, "cold_s": 9.0, "fall_s": 1.5, "overload_factor": 4.0}, "tick_s": 0.001
    });
    let mut coordinator = SettingsReader::new(&settings).coordinator(1).unwrap();
    coordinator.learned_state(Timestamp::default())
}

fn class_list() -> impl Strategy<Value = Vec<String>> {
    let names = ["view", "rank", "sale", "crop", "pay"].map(str::to_string).to_vec();
    proptest::sample::subsequence(names, 1..=5).prop_shuffle()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// For any two configurations a class is assigned to the one of the same name, or to none.
    #[test]
    fn a_class_is_assigned_by_its_name(predecessor in class_list(), own in class_list()) {
        let mapping = ClassMapping::new(&learned_state(&predecessor), &own);
        for (index, name) in (0u16..).zip(&predecessor) {
            match mapping.own_class(index) {
                Ok(RequestClassId(assigned)) => prop_assert_eq!(&own[usize::from(assigned)], name),
                Err(error) => {
                    prop_assert!(!own.contains(name));
                    prop_assert_eq!(error, ClassMappingError::UnknownName(name.clone()));
                }
            }
        }
        let past_the_end = predecessor.len() as u16;
        prop_assert_eq!(mapping.own_class(past_the_end), Err(ClassMappingError::UnknownIndex(past_the_end)));
    }
}
