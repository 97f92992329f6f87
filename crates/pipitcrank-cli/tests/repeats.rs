//! A deduplicated query's parts carry the client's key, on whatever way they go, and none that may have run goes out again
//! when replicas would not know it as a repeat.

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
    let question =
        QueryRequest { id: id.to_string(), class: "rank", shards: vec![0], wait, text: "c41e".into() };
    let headers: String = keys.iter().map(|k| format!("Idempotency-Key: {k}\r\n")).collect();
    question.request().replace("Req-Id:", &format!("{headers}Req-Id:"))
}

async fn asks(process: &Process, request: String) -> Result<HttpResponse> {
    let mut stream = connect(process.address).await?;
    stream.write_all(request.as_bytes()).await?;
    let answer = read_response(&mut BufReader::new(stream)).await;
    Ok(answer.unwrap_or_else(|| panic!("no whole answer; {}", process.log())))
}

/// One request class is deduplicated within that window; connections may take so long to come up.
fn config_with_window(source: &ScriptedDiscovery, window_s: f64, way_s: f64) -> Result<Value> {
    let mut config = node_config(source, 1, 256)?;
    let class = &mut config["settings"]["classes"][1];
    (class["idempotency"], class["dedup_window_s"]) = ("keyed".into(), window_s.into());
    config["settings"]["allowed"]["probing"] = false.into();
    config["settings"]["allowed"]["dial_timeout_s"] = way_s.into();
    Ok(config)
}

#[test]
fn the_key_goes_out_with_the_part_and_with_its_repeat() {
    on_one_thread(LIMIT, async {
        let (mut a, mut b) = (StandInReplica::start().await?, StandInReplica::start().await?);
        let rows = vec![row("a", a.address, 0, "active", 0), row("b", b.address, 0, "active", 0)];
        let source = ScriptedDiscovery::start(1, rows).await?;
        let process = Process::start(program(), config_with_window(&source, 3.0, 1.0)?, None).await?;
        let mut asking = std::pin::pin!(asks(&process, request("rank-1", &["\"19dd61b8\""])));
        // One after the other, as the first is cut and may have run.
        for repeat in [false, true] {
            let call = tokio::select! {
                call = a.call() => call,
                call = b.call() => call,
                answer = &mut asking => panic!("answered {}", answer?.status),
            };
            assert_eq!(call.key.as_deref(), Some("\"19dd61b8\""), "repeat: {repeat}");
            if repeat { call.answers() } else { call.resets() }
        }
        assert_eq!(asking.await?.status, 200);
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_query_idempotent_by_key_without_one_valid_key_is_rejected_and_no_other_needs_one() {
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let process = Process::start(program(), config_with_window(&source, 3.0, 1.0)?, None).await?;
        let long = "k".repeat(257);
        for keys in [&[][..], &["one", "two"], &["a,d=9"], &["a b"], &[""], &[&long]] {
            assert_eq!(asks(&process, request("rank-1", keys)).await?.status, 400, "{keys:?}");
        }
        for (id, keys, key) in [("view-1", &[][..], None), ("view-2", &["mine"], Some("mine"))] {
            let request = request(id, keys).replace("POST /rank", "POST /view");
            let mut asking = std::pin::pin!(asks(&process, request));
            let call = tokio::select! {
                call = replica.call() => call,
                answer = &mut asking => panic!("answered {}", answer?.status),
            };
            assert_eq!(call.key.as_deref(), key);
            call.answers();
            assert_eq!(asking.await?.status, 200);
        }
        assert!(replica.came().is_none(), "nothing of the others went out");
        Ok(())
    })
    .unwrap();
}

/// The first call is cut and may have run; its repeat waits for a connection that comes up when little of the window is left:
/// it would come to the replica after it.
#[test]
fn a_repeat_that_waited_beyond_the_window_does_not_go_out() {
    on_one_thread(LIMIT, async {
        let (mut a, late) = (StandInReplica::start().await?, SlowListener::start().await?);
        let source = ScriptedDiscovery::start(1, vec![row("a", a.address, 0, "active", 0)]).await?;
        let process = Process::start(program(), config_with_window(&source, 2.4, 1.8)?, None).await?;
        source.until_watched().await;
        let mut asking = std::pin::pin!(asks(&process, request("rank-1", &["mine"])));
        let first = tokio::select! {
            call = a.call() => call,
            answer = &mut asking => panic!("answered {}", answer?.status),
        };
        // Its only other holder.
        source.holds(2, vec![row("a", a.address, 0, "leaving", 0), row("b", late.address, 0, "active", 0)]);
        while process.counter("discovery changes").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        first.resets();
        while process.counter("leaf_calls cut").await != Some(1) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        // A connection that waits comes up a second after it was begun.
        let mut b = late.let_up();
        let answer = asking.await?;
        assert_eq!(answer.status, 500, "it may have run: {}", process.log());
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert!(b.came().is_none() && a.came().is_none(), "a repeat that nobody knows as one");
        assert!(process.counter("leaf_calls stale").await >= Some(1), "it was held up, as is forced here");
        Ok(())
    })
    .unwrap();
}

/// As long as its way may take is not left of the window at once: a call on a connection just up lies there for as long as the
/// replica takes to open it, and came after the window.
#[test]
fn a_repeat_that_may_come_to_its_replica_after_the_window_does_not_go_out() {
    on_one_thread(LIMIT, async {
        let (mut a, mut b) = (StandInReplica::start().await?, StandInReplica::start().await?);
        let rows = vec![row("a", a.address, 0, "active", 0), row("b", b.address, 0, "active", 0)];
        let source = ScriptedDiscovery::start(1, rows).await?;
        let process = Process::start(program(), config_with_window(&source, 0.9, 0.8)?, None).await?;
        let mut asking = std::pin::pin!(asks(&process, request("rank-1", &["mine"])));
        let first = tokio::select! {
            call = a.call() => call,
            call = b.call() => call,
            answer = &mut asking => panic!("answered {}", answer?.status),
        };
        tokio::time::sleep(Duration::from_millis(150)).await;
        first.resets();
        assert_eq!(asking.await?.status, 500, "it may have run: {}", process.log());
        assert!(a.came().is_none() && b.came().is_none());
        Ok(())
    })
    .unwrap();
}

/// While an upgrade is on trial the old process hands each query to the new one.
#[test]
fn the_key_goes_along_to_the_process_that_takes_over() {
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let steps = UpgradeTimes { start: 3.0, settle: 1.5, silent: 0.5, finish: 8.0 };
        let process =
            Process::start(program(), config_with_window(&source, 3.0, 1.0)?, steps.operators_file()).await?;
        process.signal(Signal::USR2)?;
        let mut n = 0;
        while process.counter("upgrades done").await != Some(1) {
            n += 1;
            let mut asking = std::pin::pin!(asks(&process, request(&format!("rank-{n}"), &["mine"])));
            let call = tokio::select! {
                call = replica.call() => call,
                answer = &mut asking => panic!("answered {}; {}", answer?.status, process.log()),
            };
            assert_eq!(call.key.as_deref(), Some("mine"), "query {n}");
            call.answers();
            assert_eq!(asking.await?.status, 200);
        }
        assert!(n > 5, "asked all along: {n}");
        Ok(())
    })
    .unwrap();
}
