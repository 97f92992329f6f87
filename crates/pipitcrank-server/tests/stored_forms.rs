//! Checks that a node configuration with every key is read as in an earlier version. The tests of `pipitcrank-core`
//! check the `Coordinator`'s settings.

use std::time::Duration;

use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::discovery::endpoint_update::EndpointList;
use pipitcrank_server::node_config::NodeConfig;
use pipitcrank_server::runtime::clock::Clock;
use pipitcrank_server::runtime::counters::Counters;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fixtures/node_config.json");

#[test]
fn a_node_configuration_with_every_key_is_read_as_before() {
    let text = std::fs::read_to_string(FILE).unwrap();
    let config = NodeConfig::parse(&text, |_| None).unwrap();
    let clock = Clock::start();
    assert_eq!(config.faults(&clock), []);
    assert_eq!(config.name().unwrap(), "n1");
    assert_eq!(config.listen().unwrap(), ([127, 0, 0, 1], 7000).into());
    assert_eq!(config.discovery().unwrap(), "127.0.0.1:7001");
    assert_eq!(config.seed().unwrap(), 0x5eed);
    assert_eq!(config.connection_limit().unwrap(), 256 - 24);
    assert_eq!(config.classes().unwrap(), ["view", "sale", "bill"]);
    assert_eq!(config.keyed_idempotency().unwrap(), [false, true, false]);
    assert_eq!(config.priority_weights().unwrap(), [3.0, 1.0, 1.0]);
    assert_eq!(config.max_deadline().unwrap(), TimeSpan::from_millis(6000));
    assert_eq!((config.cells().unwrap(), config.shards().unwrap()), (12, 48));
    assert_eq!(config.tick_interval().unwrap(), TimeSpan::from_millis(5));
    assert!(config.polls_discovery().unwrap());
    assert_eq!(config.coordinator_count().unwrap(), 20);
    assert_eq!(config.zones().unwrap(), Some((ZoneId(1), vec!["a".into(), "b".into()])));
    assert_eq!((config.streams_per_connection().unwrap(), config.parts_per_call().unwrap()), (6, 6));
    assert_eq!(config.connect_timeout().unwrap(), Duration::from_millis(500));
    assert_eq!(config.idle_timeout().unwrap(), Duration::from_millis(29_500));
    assert!(config.exchange(Counters::default()).is_ok());
    let EndpointList { revision, endpoints: rows } = config.initial_endpoints(&clock).unwrap();
    assert_eq!(revision, 41);
    let rows: Vec<_> = rows
        .iter()
        .map(|r| (&*r.uid, r.address.map(|a| a.port()), r.cell, r.zone.as_deref(), r.up, r.started.is_some()))
        .collect();
    assert_eq!(
        rows,
        [
            ("s-0", Some(7010), 3, Some("a"), true, false),
            ("s-1", Some(7011), 4, Some("b"), false, true),
            ("s-2", None, 0, None, false, false),
        ]
    );
}
