use std::time::Duration;

use super::*;
use crate::zones::MAX_SEEDS;

const VALID: &str = "{ upgrade = Some { start_s = 10.0, settle_s = 5.0, silent_s = 2.0, finish_s = 30.0 }
    , logs = Some { json = True, levels = \"info\" } }";

#[test]
fn reads_a_full_file_and_an_empty_one_turns_all_off() {
    let read = OperatorsConfig::parse(VALID).unwrap();
    assert_eq!(read.upgrade.unwrap().trial_time, Duration::from_secs(5));
    assert_eq!(read.logs, LogsConfig { json: true, levels: "info".to_string() });
    let all_off =
        "{ upgrade = None { start_s : Double, settle_s : Double, silent_s : Double, finish_s : Double }
        , logs = None { json : Bool, levels : Text } }";
    assert_eq!(OperatorsConfig::parse(all_off).unwrap(), OperatorsConfig::default());
    assert_eq!(OperatorsConfig::parse("{=}").unwrap(), OperatorsConfig::default());
}

#[test]
fn each_fault_names_its_key() {
    for (from, to, key) in [
        ("settle_s = 5.0", "settle_s = -1.0", "/upgrade/settle_s"),
        ("start_s = 10.0", "start_s = 0.0", "/upgrade/start_s"),
        ("silent_s = 2.0", "silent_s = 0.1", "/upgrade/silent_s"),
        ("finish_s = 30.0", "finish_s = 1.0e9", "/upgrade/finish_s"),
        ("settle_s", "settel_s", "/settel_s"),
        ("logs =", "log =", "/log"),
    ] {
        let fault = OperatorsConfig::parse(&VALID.replace(from, to)).unwrap_err();
        assert_eq!(fault.key, key, "{fault}");
    }
    for text in [VALID.replace("5.0", "\"5\""), VALID.replace("5.0", "+"), String::new()] {
        assert!(OperatorsConfig::parse(&text).is_err(), "{text}");
    }
}

#[test]
fn a_thousand_seeds_are_accepted_and_more_than_the_limit_is_a_fault() {
    let file_with_seeds = |count: usize| {
        let peers: Vec<String> =
            (0..count).map(|n| format!("\"127.0.{}.{}:7000\"", n / 250, n % 250 + 1)).collect();
        ZONES.replace("[ \"127.0.0.1:7202\" ]", &format!("[ {} ]", peers.join(", ")))
    };
    assert_eq!(OperatorsConfig::parse(&file_with_seeds(1024)).unwrap().zones.unwrap().seeds.len(), 1024);
    let fault = OperatorsConfig::parse(&file_with_seeds(MAX_SEEDS + 1)).unwrap_err();
    assert_eq!(fault.key, "/zones/peers", "{fault}");
}

const GATEWAY: &str = "{ gateway = Some { site = \"north\", listen = \"127.0.0.1:7001\", connections = 2
    , prefer_near_s = 0.02, sites = [ { name = \"south\", address = \"127.0.0.1:7002\" } ] } }";

#[test]
fn gateway_addresses_are_on_loopback_and_site_names_are_unique() {
    let read = OperatorsConfig::parse(GATEWAY).unwrap().gateway.unwrap();
    assert_eq!(read.sites, [Site { name: "south".to_string(), address: "127.0.0.1:7002".parse().unwrap() }]);
    for (from, to, key) in [
        ("127.0.0.1:7002", "192.0.2.1:7002", "/gateway/sites/0/address"),
        ("127.0.0.1:7001", "0.0.0.0:7001", "/gateway/listen"),
        ("127.0.0.1:7001", "here", "/gateway/listen"),
        ("south", "north", "/gateway/sites/0/name"),
        ("south", "", "/gateway/sites/0/name"),
        ("north", "no rth", "/gateway/site"),
        ("connections = 2", "connections = 0", "/gateway/connections"),
        ("0.02", "-0.02", "/gateway/prefer_near_s"),
    ] {
        let fault = OperatorsConfig::parse(&GATEWAY.replace(from, to)).unwrap_err();
        assert_eq!(fault.key, key, "{fault}");
    }
}

const ZONES: &str = "{ zones = Some { zone = \"a\", listen = \"127.0.0.1:7201\", known_as = \"\"
    , zones = [ { name = \"a\", region = \"r\" }, { name = \"b\", region = \"r\" }, { name = \"c\", region = \"s\" } ]
    , peers = [ \"127.0.0.1:7202\" ], secret = \"0123456789abcdef\", dry_run = False, leaf_bears = 50.0
    , voters = [ { address = \"127.0.0.1:7201\", zone = \"a\" }, { address = \"127.0.0.1:7202\", zone = \"b\" }
               , { address = \"127.0.0.1:7203\", zone = \"c\" } ]
    , suspect_s = 0.6, hold_down_s = 5.0, hold_down_most_s = 60.0, calm_s = 60.0, hold_s = 10.0 } }";

#[test]
fn zones_are_checked_by_key_and_no_zone_holds_the_majority() {
    let read = OperatorsConfig::parse(ZONES).unwrap().zones.unwrap();
    assert_eq!((read.advertised, read.voters[2].zone), (read.listen, 2));
    for (from, to, key) in [
        ("zone = \"a\", listen", "zone = \"d\", listen", "/zones/zone"),
        ("listen = \"127.0.0.1", "listen = \"192.0.2.1", "/zones/listen"),
        ("known_as = \"\"", "known_as = \"here\"", "/zones/known_as"),
        ("name = \"b\"", "name = \"a\"", "/zones/zones/1/name"),
        ("region = \"s\"", "region = \"\"", "/zones/zones/2/region"),
        ("[ \"127.0.0.1:7202\" ]", "[ \"10.0.0.1:7202\" ]", "/zones/peers/0"),
        ("0123456789abcdef", "short", "/zones/secret"),
        ("address = \"127.0.0.1:7203\"", "address = \"127.0.0.1:7201\"", "/zones/voters/2/address"),
        ("zone = \"c\" } ]", "zone = \"x\" } ]", "/zones/voters/2/zone"),
        (", zone = \"b\" }", ", zone = \"a\" }", "/zones/voters"),
        ("suspect_s = 0.6", "suspect_s = 0.0", "/zones/suspect_s"),
        ("hold_down_s = 5.0", "hold_down_s = 0.0", "/zones/hold_down_s"),
        ("hold_down_most_s = 60.0", "hold_down_most_s = 1.0", "/zones/hold_down_most_s"),
        ("calm_s = 60.0", "calm_s = 0.0", "/zones/calm_s"),
        ("hold_s = 10.0", "hold_s = 1.0", "/zones/hold_s"),
        ("leaf_bears = 50.0", "leaf_bears = -1.0", "/zones/leaf_bears"),
    ] {
        let fault = OperatorsConfig::parse(&ZONES.replacen(from, to, 1)).unwrap_err();
        assert_eq!(fault.key, key, "{fault}");
    }
    let two_voters = ZONES.replace(", { address = \"127.0.0.1:7203\", zone = \"c\" }", "");
    let fault = OperatorsConfig::parse(&two_voters.replace("                    ]", "]")).unwrap_err();
    assert_eq!(fault.key, "/zones/voters", "{fault}");
}

#[test]
fn store_path_and_times_are_checked() {
    const STORE: &str =
        "{ store = Some { path = \"/var/lib/pipitcrank/n1\", every_s = 2.0, oldest_s = 60.0 } }";
    let read = OperatorsConfig::parse(STORE).unwrap().store.unwrap();
    assert_eq!((read.path.to_str(), read.max_age), (Some("/var/lib/pipitcrank/n1"), Duration::from_secs(60)));
    for (from, to, key) in [
        ("/var/lib/pipitcrank/n1", "", "/store/path"),
        ("/var/lib/pipitcrank/n1", "/", "/store/path"),
        ("/var/lib/pipitcrank/n1", "/tmp", "/store/path"),
        ("every_s = 2.0", "every_s = 0.0", "/store/every_s"),
        ("oldest_s = 60.0", "oldest_s = 1.0e6", "/store/oldest_s"),
        ("oldest_s", "older_s", "/older_s"),
    ] {
        let fault = OperatorsConfig::parse(&STORE.replace(from, to)).unwrap_err();
        assert_eq!(fault.key, key, "{fault}");
    }
}

#[test]
fn a_missing_file_is_a_fault_with_its_path() {
    let fault = OperatorsConfig::read(Path::new("/nowhere/operators.dhall")).unwrap_err();
    assert_eq!(fault.key, "/nowhere/operators.dhall");
}
