//! An operators' file with every key, as an earlier version read it.

use std::path::Path;
use std::time::Duration;

use pipitcrank_config::{Gateway, Logs, Operators, Store, Upgrade, Zones};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fixtures/operators.dhall");

fn expected() -> Operators {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let seconds = Duration::from_secs_f64;
    Operators {
        upgrade: Some(Upgrade {
            start: seconds(10.0),
            settle: seconds(5.0),
            silent: seconds(2.0),
            finish: seconds(30.0),
        }),
        gateway: Some(Gateway {
            site: "north".into(),
            listen: at(7101),
            sites: vec![("south".into(), at(7102))],
            connections: 3,
            prefer_near: seconds(0.02),
        }),
        zones: Some(Zones {
            zone: Some("a".into()),
            zones: vec![
                ("a".into(), "north".into()),
                ("b".into(), "north".into()),
                ("c".into(), "south".into()),
            ],
            listen: at(7201),
            known_as: at(7301),
            peers: vec![at(7302)],
            voters: vec![(at(7301), 0), (at(7302), 1), (at(7303), 2)],
            secret: "change me: sixteen or more".into(),
            suspect: seconds(0.6),
            hold_down: seconds(5.0),
            hold_down_most: seconds(300.0),
            calm: seconds(120.0),
            hold: seconds(11.0),
            replica_bears: 40.0,
            dry_run: true,
        }),
        store: Some(Store { path: "pipitcrank-n1.store".into(), every: seconds(2.0), oldest: seconds(60.0) }),
        logs: Logs { json: true, levels: "info,tokio=warn".into() },
    }
}

#[test]
fn a_file_with_every_key_is_read_as_by_an_earlier_version() {
    assert_eq!(Operators::read(Path::new(FILE)), Ok(expected()));
}
