//! Checks that an operators' file with every key is read as by an earlier version.

use std::path::Path;
use std::time::Duration;

use pipitcrank_config::{
    GatewayConfig, LogsConfig, OperatorsConfig, Site, StoreConfig, UpgradeConfig, Voter, ZoneConfig,
    ZonesConfig,
};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fixtures/operators.dhall");

fn expected() -> OperatorsConfig {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let zone = |name: &str, region: &str| ZoneConfig { name: name.into(), region: region.into() };
    let seconds = Duration::from_secs_f64;
    OperatorsConfig {
        upgrade: Some(UpgradeConfig {
            start_timeout: seconds(10.0),
            trial_time: seconds(5.0),
            heartbeat_timeout: seconds(2.0),
            drain_timeout: seconds(30.0),
        }),
        gateway: Some(GatewayConfig {
            site: "north".into(),
            listen: at(7101),
            sites: vec![Site { name: "south".into(), address: at(7102) }],
            connections: 3,
            local_preference: seconds(0.02),
        }),
        zones: Some(ZonesConfig {
            own_zone: Some("a".into()),
            zones: vec![zone("a", "north"), zone("b", "north"), zone("c", "south")],
            listen: at(7201),
            advertised: at(7301),
            seeds: vec![at(7302)],
            voters: [7301, 7302, 7303]
                .iter()
                .enumerate()
                .map(|(zone, port)| Voter { address: at(*port), zone })
                .collect(),
            secret: "change me: sixteen or more".into(),
            suspect_time: seconds(0.6),
            hold_down: seconds(5.0),
            hold_down_max: seconds(300.0),
            hold_down_reset: seconds(120.0),
            decision_lease: seconds(11.0),
            replica_capacity: 40.0,
            dry_run: true,
        }),
        store: Some(StoreConfig {
            path: "pipitcrank-n1.store".into(),
            write_interval: seconds(2.0),
            max_age: seconds(60.0),
        }),
        logs: LogsConfig { json: true, levels: "info,tokio=warn".into() },
    }
}

#[test]
fn a_file_with_every_key_is_read_as_by_an_earlier_version() {
    assert_eq!(OperatorsConfig::read(Path::new(FILE)), Ok(expected()));
}
