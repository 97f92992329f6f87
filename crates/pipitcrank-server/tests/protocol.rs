//! Tests of the decoding of frames, endpoint lists and the node configuration, and of the rejection of invalid ones.

use bytes::BytesMut;
use pipitcrank_core::config::ConfigError;
use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::discovery::endpoint_update::{EndpointUpdate, Endpoints};
use pipitcrank_server::node_config::NodeConfig;
use pipitcrank_server::replicas::connection_end::ConnectionEnd;
use pipitcrank_server::replicas::frames::{self, CallPart, LoadReport, ReplicaFrame};
use pipitcrank_server::runtime::clock::Clock;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], body].concat()
}

fn take(bytes: &[u8]) -> Result<Option<ReplicaFrame>, String> {
    frames::take_frame(&mut BytesMut::from(bytes)).map_err(|error| error.to_string())
}

#[test]
fn a_call_contains_a_line_and_the_text_of_each_part() {
    let part = |shard| CallPart {
        id: format!("9b1f.{shard}").into(),
        shard,
        time_left: TimeSpan::from_secs_f64(0.2407),
        idempotency_key: None,
        text: "c41e77d0".into(),
    };
    let keyed = CallPart { idempotency_key: Some("19dd61b8".into()), ..part(3) };
    assert_eq!(&frames::encode_call(&[keyed])[..], framed(b"Q9b1f.3 3 d=240,k=19dd61b8 8\nc41e77d0"));
    let bytes = frames::encode_call(&[part(3), part(9)]);
    assert_eq!(&bytes[..], framed(b"Q9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0"));
    assert_eq!(&frames::encode_cancel("9b1f.3")[..], framed(b"X9b1f.3"));
    assert_eq!(&frames::encode_load_probe()[..], framed(b"L"));
    assert_eq!(&frames::encode_ping()[..], framed(b"P"));
}

#[test]
fn replica_frames_are_decoded_one_by_one_when_complete() {
    let answer = framed(b"A9b1f.3 ok 1840277719 inflight=7,util=0.61\n5be2a07c\n19");
    let load = framed(b"Lqueue=2.5");
    let mut buffer = BytesMut::new();
    for byte in &answer[..answer.len() - 1] {
        buffer.extend_from_slice(&[*byte]);
        assert_eq!(frames::take_frame(&mut buffer), Ok(None));
    }
    buffer.extend_from_slice(&answer[answer.len() - 1..]);
    buffer.extend_from_slice(&load);
    let report = Some(LoadReport { queued: None, in_flight: Some(7.0) });
    let expected = ReplicaFrame::Answer {
        id: "9b1f.3".into(),
        outcome: AttemptOutcome::Success,
        report,
        value: "5be2a07c\n19".into(),
    };
    assert_eq!(frames::take_frame(&mut buffer), Ok(Some(expected)));
    let report = Some(LoadReport { queued: Some(2.5), in_flight: None });
    assert_eq!(
        frames::take_frame(&mut buffer),
        Ok(Some(ReplicaFrame::Load(AttemptOutcome::Success, report)))
    );
    let report = Some(LoadReport { queued: Some(4.364), in_flight: Some(5.0) });
    let expected = ReplicaFrame::Load(AttemptOutcome::Success, report);
    assert_eq!(take(&framed(b"Lbacklog=4.364,eps=0,outstanding=5")), Ok(Some(expected)));
    assert_eq!(take(&framed(b"L-")), Ok(Some(ReplicaFrame::Load(AttemptOutcome::Success, None))));
    assert_eq!(take(&framed(b"Lerr")), Ok(Some(ReplicaFrame::Load(AttemptOutcome::Fault, None))));
    assert_eq!(take(&framed(b"Pok")), Ok(Some(ReplicaFrame::Pong(AttemptOutcome::Success))));
    assert_eq!(take(&framed(b"Eno such shard")), Ok(Some(ReplicaFrame::Error("no such shard".into()))));
    for (status, outcome) in [("err", AttemptOutcome::Fault), ("busy", AttemptOutcome::NoCapacity)] {
        let expected = ReplicaFrame::Answer { id: "q.1".into(), outcome, report: None, value: String::new() };
        assert_eq!(take(&framed(format!("Aq.1 {status} 0 -\n").as_bytes())), Ok(Some(expected)));
    }
}

#[test]
fn frames_outside_the_protocol_are_rejected() {
    let cases: [&[u8]; 11] = [
        &[0, 0, 0, 0, b'A'],
        &[255, 255, 255, 255, b'A'],
        &framed(b"Zhello"),
        &framed(b"Aq.1 ok 0 -"),
        &framed(b"Aq.1 ok 0\n"),
        &framed(b"Aq.1 melted 0 -\n"),
        &framed(b"Aq.1 ok much -\nd"),
        &framed(b"Aq.1 ok 0 -\n"),
        &framed(b"Aq.1 ok 0 -\nd\0\0\x08Aq.2 ok"),
        &framed(b"Pbusy"),
        &framed(b"A\xff\xfe ok 0 -\n"),
    ];
    for bytes in cases {
        assert!(take(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn a_malformed_load_report_is_ignored_and_its_answer_counts() {
    for report in ["nan", "%%%", "queue=many", "queue=-1", "queue=inf", "a,b"] {
        let expected = ReplicaFrame::Answer {
            id: "q.1".into(),
            outcome: AttemptOutcome::Success,
            report: None,
            value: "d".into(),
        };
        assert_eq!(
            take(&framed(format!("Aq.1 ok 7 {report}\nd").as_bytes())),
            Ok(Some(expected)),
            "{report}"
        );
        let expected = ReplicaFrame::Load(AttemptOutcome::Success, None);
        assert_eq!(take(&framed(format!("L{report}").as_bytes())), Ok(Some(expected)), "{report}");
    }
}

#[test]
fn an_attempt_never_ran_if_its_frame_was_not_written_completely() {
    for end in [
        ConnectionEnd::Closed,
        ConnectionEnd::Reset,
        ConnectionEnd::ProtocolError,
        ConnectionEnd::RejectedByPeer,
    ] {
        assert_eq!(
            (end.attempt_outcome(false), end.attempt_outcome(true)),
            (AttemptOutcome::Unreachable, AttemptOutcome::Disconnected),
            "{}",
            end.name()
        );
    }
    assert_eq!(ConnectionEnd::ConnectTimeout.attempt_outcome(false), AttemptOutcome::Unreachable);
    // A load probe lost on an established connection does not show that the replica is unreachable.
    assert_eq!(ConnectionEnd::Refused.probe_outcome(), AttemptOutcome::Unreachable);
    assert_eq!(
        (ConnectionEnd::Closed.probe_outcome(), ConnectionEnd::Idle.probe_outcome()),
        (AttemptOutcome::Disconnected, AttemptOutcome::Disconnected)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_decoder_handles_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200), frame_type in 0..6usize) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = frames::take_frame(&mut buffer) {}
        let mut body = vec![b"APLEQX"[frame_type]];
        body.extend(&bytes);
        let mut buffer = BytesMut::from(&framed(&body)[..]);
        let undecoded = match frames::take_frame(&mut buffer) {
            Ok(frame) => frame.is_none(),
            Err(_) => false,
        };
        prop_assert!(!undecoded, "a complete frame must be decoded or rejected");
    }
}

fn counts(text: &str) -> Result<(bool, usize, usize), String> {
    let update: EndpointUpdate = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let Endpoints { complete, endpoints: replicas } =
        update.endpoints(&Clock::start()).map_err(|e| e.to_string())?;
    Ok((complete, replicas.len(), replicas.iter().filter(|replica| replica.up).count()))
}

#[test]
fn valid_lists_are_accepted_and_invalid_ones_rejected() {
    let target =
        |uid: &str, fields: &str| format!(r#"{{"uid":"{uid}","az":"a","capacity_hint":1.0,{fields}}}"#);
    let list =
        |all: bool, items: &[String]| format!(r#"{{"rev":4,"all":{all},"targets":[{}]}}"#, items.join(","));
    let up = target("a", r#""endpoint":"127.0.0.1:81","pod_group":3,"state":"active","boot_ms":0"#);
    let leaving =
        target("b", r#""endpoint":"127.0.0.1:82","pod_group":0,"state":"leaving","boot_ms":1700000000000"#);
    let left = target("c", r#""state":"left""#);
    assert_eq!(counts(&list(true, &[up.clone(), leaving, left])), Ok((true, 3, 1)));
    assert_eq!(counts(&list(false, &[])), Ok((false, 0, 0)));
    let invalid = [
        list(true, &[target("a", r#""endpoint":"nowhere","pod_group":3,"state":"active""#)]),
        list(true, &[target("a", r#""endpoint":"127.0.0.1:81","state":"active""#)]),
        list(true, &[target("a", r#""endpoint":"127.0.0.1:81","pod_group":3,"state":"asleep""#)]),
        list(true, &[target("a", r#""endpoint":"127.0.0.1:81","pod_group":-3,"state":"active""#)]),
        list(true, &[up]).replace("targets", "target"),
    ];
    for text in invalid {
        assert!(counts(&text).is_err(), "{text}");
    }
}

#[test]
fn wall_clock_times_are_converted_to_the_process_clock() {
    let clock = Clock::start();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as i64;
    let an_hour_ago = clock.started_at(unix - 3_600_000);
    let age = (clock.now() - an_hour_ago).as_secs_f64();
    assert!((3590.0..3700.0).contains(&age), "{age}");
    let before = clock.now();
    let future = clock.started_at(i64::MAX);
    assert!(
        before <= future && future <= clock.now(),
        "a start time in the future must be converted to the present time"
    );
    assert!(clock.started_at(i64::MIN) < clock.now());
}

fn node_config_json() -> Value {
    json!({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[]},
        "settings":{
            "allowed":{"cancel":true,"probing":true,"may_duplicate":true,"retry_after":true,"max_retry_after_s":2.0,
                "try_limit":4,"conn_idle_s":15.0,"dial_timeout_s":0.25,"max_open":147,"streams_per_conn":32},
            "classes":[{"aim_s":2.5,"hard_limit_s":6.0,"idempotency":"safe","late_worth":0.3,"name":"view"}],
            "domain":{"call_cost_s":0.05,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],
                "parts_a_call":4,"sets":3,"shards":12,"span":2},
            "rules":{"cold_from":0.27,"cold_s":18.0,"drain_grace_s":2.0,"fall_s":1.5,"overload_factor":4.0},
            "tick_s":0.005}})
}

/// Checks a node configuration as the program does at start.
fn check_node_config(text: &str) -> Result<(), ConfigError> {
    NodeConfig::parse(text, |_| None)?.check(&Clock::start())
}

#[test]
fn the_node_configuration_is_read_and_variables_override_the_file() {
    let node_config = NodeConfig::parse(&node_config_json().to_string(), |_| None).unwrap();
    assert_eq!(
        (node_config.name(), node_config.streams_per_connection(), node_config.shards()),
        (Ok("n1".into()), Ok(32), Ok(12))
    );
    assert!(
        node_config.idle_timeout().unwrap() < std::time::Duration::from_secs(15),
        "the idle timeout must be shorter than the replica's"
    );
    assert_eq!(
        node_config.connection_limit(),
        Ok(1000),
        "some of the 1,024 sockets are reserved for other uses"
    );
    let named = |name: &str| (name == "NODE_NAME").then(|| "other".to_string());
    assert_eq!(NodeConfig::parse(&node_config_json().to_string(), named).unwrap().name(), Ok("other".into()));
    assert_eq!(check_node_config(&node_config_json().to_string()), Ok(()));
}

/// The settings may allow more parts in a call than there are streams on a connection. The lower number applies.
#[test]
fn a_call_holds_no_more_parts_than_a_connection_carries() {
    let mut config = node_config_json();
    for (streams, parts_per_call) in [(1, 1), (3, 3), (4, 4), (32, 4)] {
        config["settings"]["allowed"]["streams_per_conn"] = streams.into();
        assert_eq!(check_node_config(&config.to_string()), Ok(()), "{streams}");
        assert_eq!(
            NodeConfig::parse(&config.to_string(), |_| None).unwrap().parts_per_call(),
            Ok(parts_per_call),
            "{streams}"
        );
    }
}

/// The settings may contain a connect timeout equal to or longer than the idle timeout. The effective idle timeout must
/// still be at least half of the configured one.
#[test]
fn the_idle_timeout_is_at_least_half_of_the_configured_one() {
    let mut config = node_config_json();
    for (idle, dial) in [(1.0, 1.0), (1.0, 2.0), (2.0, 1.5), (30.0, 0.25)] {
        config["settings"]["allowed"]["conn_idle_s"] = idle.into();
        config["settings"]["allowed"]["dial_timeout_s"] = dial.into();
        let effective =
            NodeConfig::parse(&config.to_string(), |_| None).unwrap().idle_timeout().unwrap().as_secs_f64();
        assert!((idle / 2.0..idle).contains(&effective), "{effective} s at idle {idle} s, connect {dial} s");
    }
}

#[test]
fn an_invalid_value_is_reported_with_its_key() {
    let cases = [
        ("/listen", json!("here")),
        ("/seed", json!("xyz")),
        ("/discovery", json!(3)),
        ("/settings/classes/0/hard_limit_s", json!(0.0)),
        ("/settings/classes/0/hard_limit_s", json!(-1.0)),
        ("/settings/classes/0/hard_limit_s", json!("long")),
        ("/settings/classes/0/hard_limit_s", json!(864_000.0)),
        ("/settings/classes/0/aim_s", json!(1e300)),
        ("/settings/classes/0/dedup_window_s", json!(-5.0)),
        ("/settings/domain/call_cost_s", json!(-0.01)),
        ("/settings/domain/parts_a_call", json!(0)),
        ("/settings/domain/span", json!(0)),
        ("/settings/domain/complete_from/0", json!(2.0)),
        ("/settings/domain/floor_by_class/0", json!(-0.5)),
        ("/settings/rules/cold_from", json!(-1.0)),
        ("/settings/rules/overload_factor", json!(-4.0)),
        ("/settings/rules/repeat_ratio", json!(-0.1)),
        ("/settings/rules/extra_free", json!(-1.0)),
        ("/discovery", json!("somewhere")),
        ("/known", json!({"rev": "x"})),
        ("/limits/sockets", json!(8)),
        ("/settings/allowed/conn_idle_s", json!("long")),
        ("/settings/allowed/dial_timeout_s", json!(-1.0)),
        ("/settings/allowed/max_open", Value::Null),
        ("/settings/allowed/streams_per_conn", json!(0)),
        ("/settings/allowed/try_limit", json!(-4)),
        ("/settings/classes/0/idempotency", json!("maybe")),
        ("/settings/classes/0/late_worth", json!(1.5)),
        ("/settings/classes/0/late_worth", json!("none")),
        ("/settings/domain/follow_up/0", json!(3)),
        ("/settings/domain/sets", json!(0)),
        ("/settings/domain/shards", json!(1.5)),
        ("/settings/rules/drain_grace_s", json!([])),
        ("/settings/rules/budget_span_s", json!("x")),
        ("/settings/tick_s", Value::Null),
    ];
    for (key, value) in cases {
        let mut config = node_config_json();
        match config.pointer_mut(key) {
            Some(place) => *place = value,
            None => {
                let (place, name) = key.rsplit_once('/').unwrap();
                config.pointer_mut(place).unwrap()[name] = value;
            }
        }
        let error = check_node_config(&config.to_string()).unwrap_err().to_string();
        assert!(error.starts_with(&format!("{key} ")), "{key}: '{error}'");
    }
    let error = check_node_config("{").unwrap_err().to_string();
    assert!(error.starts_with("NODE_CONFIG "), "{error}");
}

/// Boundary values that can be served are accepted: a call cost of zero, a deduplication window of zero or one longer than
/// the deadline, and a deadline of one day.
#[test]
fn boundary_values_are_accepted() {
    let cases = [
        ("/settings/domain/call_cost_s", json!(0.0)),
        ("/settings/classes/0/dedup_window_s", json!(0.0)),
        ("/settings/classes/0/dedup_window_s", json!(60.0)),
        ("/settings/classes/0/hard_limit_s", json!(86_400.0)),
        ("/settings/classes/0/aim_s", json!(0.0)),
        ("/settings/classes/0/late_worth", json!(0.0)),
        ("/settings/allowed/streams_per_conn", json!(1)),
    ];
    for (key, value) in cases {
        let mut config = node_config_json();
        let (place, name) = key.rsplit_once('/').unwrap();
        config.pointer_mut(place).unwrap()[name] = value;
        assert_eq!(check_node_config(&config.to_string()), Ok(()), "{key}");
    }
}
