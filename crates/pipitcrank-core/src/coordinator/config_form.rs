//! Checks that a node configuration with every key, as written by an earlier version, is mapped to the same
//! settings.

use super::*;
use crate::config::SettingsReader;
use crate::ids::Idempotency;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fixtures/node_config.json");

#[test]
fn settings_with_every_key_are_read_as_by_an_earlier_version() {
    let text = std::fs::read_to_string(FILE).unwrap();
    let all: serde_json::Value = serde_json::from_str(&text).unwrap();
    let coordinator = SettingsReader::new(&all).section("/settings").unwrap().coordinator(5).unwrap();
    let state = &coordinator.state;
    let (index, call) = (&state.replica_index, &state.call_limits);
    assert_eq!((index.cells, index.cells_per_shard, call.max_parts, call.cost), (12, 2, 8, 0.001));
    let budget = state.retry_budget.config();
    assert_eq!((budget.fraction, budget.free, budget.window), (0.1, 5.0, TimeSpan::from_millis(10_000)));
    let start = &state.slow_start.config;
    assert_eq!(
        (start.initial_capacity, start.warm_up, start.overload_factor),
        (0.3, TimeSpan::from_millis(8000), 4.0)
    );
    assert_eq!((start.window, start.coordinators), (TimeSpan::from_millis(1250), 20));
    let retry_policy = &state.retry_policy;
    assert_eq!(
        (retry_policy.max_attempts, retry_policy.may_hedge, retry_policy.may_cancel, retry_policy.may_probe),
        (4, true, true, false)
    );
    assert_eq!(
        (retry_policy.max_retry_after, retry_policy.max_network_delay),
        (Some(TimeSpan::from_millis(2000)), TimeSpan::from_millis(500))
    );
    assert!(state.watch_endpoints);
    assert_eq!(state.tick, TimeSpan::from_millis(5));
    let classes = [
        ("view", Idempotency::Idempotent, 0, 1000, 0.25, 0.5, 4000, 0.9, 0.6),
        ("sale", Idempotency::IdempotentByKey, 7000, 2000, 0.0, 1.0, 5000, 0.8, 0.5),
        ("bill", Idempotency::NonIdempotent, 0, 1500, 0.0, 1.0, 6000, 0.7, 0.4),
    ];
    assert_eq!(state.classes.len(), classes.len());
    for (class, expected) in state.classes.iter().zip(classes) {
        let config = &class.config;
        let (
            name,
            idempotency,
            window,
            objective,
            stretch,
            late_weight,
            hard_limit,
            complete_threshold,
            partial_threshold,
        ) = expected;
        assert_eq!((&*config.name, config.idempotency, config.has_second_step), (name, idempotency, false));
        assert_eq!(
            (config.idempotency_window, config.latency_objective),
            (TimeSpan::from_millis(window), TimeSpan::from_millis(objective))
        );
        assert_eq!((config.objective_stretch, config.late_weight), (stretch, late_weight));
        assert_eq!(config.hard_limit, TimeSpan::from_millis(hard_limit));
        assert_eq!(
            (config.complete_threshold, config.partial_threshold),
            (complete_threshold, partial_threshold)
        );
    }
}
