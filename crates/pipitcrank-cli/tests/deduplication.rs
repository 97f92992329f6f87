//! Deduplicated queries: each part carries the client's key, and a part that may have run is not sent again once
//! replicas would no longer recognise it as a repeat.

mod stand_ins;

use std::time::Duration;

use anyhow::Result;
use pipitcrank_testkit::client::{HttpResponse, QueryRequest, connect, read_response};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::process::{Process, UpgradeTimes};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use serde_json::Value;
use stand_ins::{ScriptedDiscovery, SlowListener, StandInReplica, node_config, program};
use tokio::io::{AsyncWriteExt, BufReader};

const LIMIT: Duration = Duration::from_secs(60);

fn request(id: &str, keys: &[&str]) -> String {
    let wait = Duration::from_secs(4);
    let query =
        QueryRequest { id: id.to_string(), class: "rank", shards: vec![0], wait, text: "c41e".into() };
    let headers: String = keys.iter().map(|k| format!("Idempotency-Key: {k}\r\n")).collect();
    query.request().replace("Req-Id:", &format!("{headers}Req-Id:"))
}

async fn send_query(process: &Process, request: String) -> Result<HttpResponse> {
    let mut stream = connect(process.address).await?;
    stream.write_all(request.as_bytes()).await?;
    let answer = read_response(&mut BufReader::new(stream)).await;
    Ok(answer.unwrap_or_else(|| panic!("no complete answer; {}", process.log())))
}

/// A node configuration with one deduplicated request class with this window, and with this dial time-out.
fn config_with_window(source: &ScriptedDiscovery, window_s: f64, dial_timeout_s: f64) -> Result<Value> {
    let mut config = node_config(source, 1, 256)?;
    let class = &mut config["settings"]["classes"][1];
    (class["idempotency"], class["dedup_window_s"]) = ("keyed".into(), window_s.into());
    config["settings"]["allowed"]["probing"] = false.into();
    config["settings"]["allowed"]["dial_timeout_s"] = dial_timeout_s.into();
    Ok(config)
}

#[test]
fn a_part_and_its_repeat_carry_the_key() {
    on_one_thread(LIMIT, async {
        let (mut a, mut b) = (StandInReplica::start().await?, StandInReplica::start().await?);
        let rows = vec![row("a", a.address, 0, "active", 0), row("b", b.address, 0, "active", 0)];
        let source = ScriptedDiscovery::start(1, rows).await?;
        let process = Process::start(program(), config_with_window(&source, 3.0, 1.0)?, None).await?;
        let mut pending_query = std::pin::pin!(send_query(&process, request("rank-1", &["\"19dd61b8\""])));
        // The first part is cut off and may have run, so it is repeated.
        for repeat in [false, true] {
            let part = tokio::select! {
                part = a.next_part() => part,
                part = b.next_part() => part,
                answer = &mut pending_query => panic!("answered {} without a part", answer?.status),
            };
            assert_eq!(part.key.as_deref(), Some("\"19dd61b8\""), "repeat: {repeat}");
            if repeat { part.answer() } else { part.reset() }
        }
        assert_eq!(pending_query.await?.status, 200);
        Ok(())
    })
    .unwrap();
}

#[test]
fn only_queries_idempotent_by_key_need_exactly_one_valid_key() {
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let process = Process::start(program(), config_with_window(&source, 3.0, 1.0)?, None).await?;
        let long = "k".repeat(257);
        for keys in [&[][..], &["one", "two"], &["a,d=9"], &["a b"], &[""], &[&long]] {
            assert_eq!(send_query(&process, request("rank-1", keys)).await?.status, 400, "{keys:?}");
        }
        for (id, keys, key) in [("view-1", &[][..], None), ("view-2", &["mine"], Some("mine"))] {
            let request = request(id, keys).replace("POST /rank", "POST /view");
            let mut pending_query = std::pin::pin!(send_query(&process, request));
            let part = tokio::select! {
                part = replica.next_part() => part,
                answer = &mut pending_query => panic!("answered {} without a part", answer?.status),
            };
            assert_eq!(part.key.as_deref(), key);
            part.answer();
            assert_eq!(pending_query.await?.status, 200);
        }
        assert!(replica.try_next_part().is_none(), "rejected queries send no parts");
        Ok(())
    })
    .unwrap();
}

/// The first attempt is cut off and may have run. Its repeat waits for a connection that is established when little
/// of the window is left, so that it would reach the replica after the end of the window.
#[test]
fn a_repeat_that_waited_beyond_the_window_is_not_sent() {
    on_one_thread(LIMIT, async {
        let (mut a, slow_listener) = (StandInReplica::start().await?, SlowListener::start().await?);
        let source = ScriptedDiscovery::start(1, vec![row("a", a.address, 0, "active", 0)]).await?;
        let process = Process::start(program(), config_with_window(&source, 2.4, 1.8)?, None).await?;
        source.wait_for_watch().await;
        let mut pending_query = std::pin::pin!(send_query(&process, request("rank-1", &["mine"])));
        let first = tokio::select! {
            part = a.next_part() => part,
            answer = &mut pending_query => panic!("answered {} without a part", answer?.status),
        };
        // Lists the slow listener as the only other replica of the shard.
        source.set_list(
            2,
            vec![row("a", a.address, 0, "leaving", 0), row("b", slow_listener.address, 0, "active", 0)],
        );
        while process.counter("discovery changes").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        first.reset();
        while process.counter("leaf_calls cut").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The pending connection is established one second after its start.
        let mut b = slow_listener.accept_connections();
        let answer = pending_query.await?;
        assert_eq!(
            answer.status,
            500,
            "the first attempt may have run, so the query fails: {}",
            process.log()
        );
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert!(
            b.try_next_part().is_none() && a.try_next_part().is_none(),
            "a repeat was sent after the window"
        );
        assert!(
            process.counter("leaf_calls stale").await >= Some(1),
            "the repeat was delayed, as forced by this test"
        );
        Ok(())
    })
    .unwrap();
}

/// The rest of the window is shorter than a part may take to reach its replica: a part on a new connection waits
/// until the replica accepts the connection, and would arrive after the window.
#[test]
fn a_repeat_that_may_arrive_after_the_window_is_not_sent() {
    on_one_thread(LIMIT, async {
        let (mut a, mut b) = (StandInReplica::start().await?, StandInReplica::start().await?);
        let rows = vec![row("a", a.address, 0, "active", 0), row("b", b.address, 0, "active", 0)];
        let source = ScriptedDiscovery::start(1, rows).await?;
        let process = Process::start(program(), config_with_window(&source, 0.9, 0.8)?, None).await?;
        let mut pending_query = std::pin::pin!(send_query(&process, request("rank-1", &["mine"])));
        let first = tokio::select! {
            part = a.next_part() => part,
            part = b.next_part() => part,
            answer = &mut pending_query => panic!("answered {} without a part", answer?.status),
        };
        tokio::time::sleep(Duration::from_millis(150)).await;
        first.reset();
        assert_eq!(
            pending_query.await?.status,
            500,
            "the first attempt may have run, so the query fails: {}",
            process.log()
        );
        assert!(a.try_next_part().is_none() && b.try_next_part().is_none());
        Ok(())
    })
    .unwrap();
}

/// During the trial of an upgrade the old process relays each query to the new one, with its key.
#[test]
fn the_key_is_relayed_to_the_new_process() {
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let upgrade_times = UpgradeTimes { start: 3.0, settle: 1.5, silent: 0.5, finish: 8.0 };
        let process =
            Process::start(program(), config_with_window(&source, 3.0, 1.0)?, upgrade_times.operators_file()).await?;
        process.signal(Signal::USR2)?;
        let mut n = 0;
        while process.counter("upgrades done").await != Some(1) {
            n += 1;
            let mut pending_query =
                std::pin::pin!(send_query(&process, request(&format!("rank-{n}"), &["mine"])));
            let part = tokio::select! {
                part = replica.next_part() => part,
                answer = &mut pending_query => panic!("answered {} without a part; {}", answer?.status, process.log()),
            };
            assert_eq!(part.key.as_deref(), Some("mine"), "query {n}");
            part.answer();
            assert_eq!(pending_query.await?.status, 200);
        }
        assert!(n > 5, "expected more than 5 queries during the upgrade, got {n}");
        Ok(())
    })
    .unwrap();
}
