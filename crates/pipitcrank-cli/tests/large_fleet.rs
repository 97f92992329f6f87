//! One co-ordinator with 1,024 replicas: the list is loaded at start, replaced by an indented one, a third of it
//! drained row by row, reloaded at SIGHUP and handed over in an upgrade.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Result;
use pipitcrank_testkit::client::{Clients, QueryRequest};
use pipitcrank_testkit::discovery::{Discovery, row};
use pipitcrank_testkit::fleet::node_config_of;
use pipitcrank_testkit::process::{Process, UpgradeTimes};
use pipitcrank_testkit::query_log::{QueryLog, QueryOutcome};
use pipitcrank_testkit::replica::{StandInReplica, Work};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use serde_json::Value;

const REPLICAS: usize = 1024;
const CELLS: u32 = 128;
const SHARDS: u32 = 256;
const WORK: Work = Work { mean_time: Duration::from_millis(2), concurrency: 64 };
/// Largest memory of both processes of an upgrade together, in kilobytes. Optimized builds need less.
const MAX_MEMORY_KB: u64 = 96 * 1024;

fn rows(first: usize, hosts: &[StandInReplica]) -> Vec<Value> {
    let to_row =
        |n: usize| row(&format!("leaf-{n}"), hosts[n % hosts.len()].address, n as u32 % CELLS, "active", 0);
    (first..first + REPLICAS).map(to_row).collect()
}

async fn wait_for_counter(process: &Process, counter: &str, expected: u64) -> Result<()> {
    let started_at = Instant::now();
    while process.counter(counter).await != Some(expected) {
        let now = process.counter(counter).await;
        assert!(started_at.elapsed() < Duration::from_secs(20), "{counter}: {now:?}; {}", process.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Sends queries of forty parts each and checks that all answers are complete.
async fn check_queries_complete(name: &str, clients: &Clients) {
    let before = clients.query_log.count(QueryOutcome::Complete);
    for n in 0..20u32 {
        let shards = (0..40).map(|i| (n * 37 + i * 5) % SHARDS).collect();
        let wait = Duration::from_secs(4);
        clients
            .send(QueryRequest {
                id: format!("view-{name}-{n}"),
                class: "view",
                shards,
                wait,
                text: "c41e".into(),
            })
            .await;
    }
    assert_eq!(clients.query_log.count(QueryOutcome::Complete) - before, 20, "{name}");
}

#[test]
fn a_thousand_replicas_are_loaded_replaced_drained_and_handed_over() {
    on_one_thread(Duration::from_secs(120), async {
        let query_log = QueryLog::default();
        let mut hosts = Vec::new();
        for n in 0..8 {
            hosts.push(StandInReplica::start(n, WORK, query_log.clone()).await?);
        }
        let discovery = Discovery::start(rows(0, &hosts)).await?;
        let config =
            node_config_of(discovery.address, discovery.initial_list(), CELLS, SHARDS, 6, 1024, 3000)?;
        let upgrade_times = UpgradeTimes { start: 10.0, settle: 0.6, silent: 2.0, finish: 8.0 };
        let process = Process::start(
            Path::new(env!("CARGO_BIN_EXE_pipitcrank")),
            config,
            upgrade_times.operators_file(),
        )
        .await?;
        let clients = Clients::new(process.address, query_log.clone());
        check_queries_complete("loaded", &clients).await;

        // The new list has none of the replicas of the old one.
        discovery.replace_list(rows(REPLICAS, &hosts));
        wait_for_counter(&process, "discovery whole_list", 2).await?;
        check_queries_complete("replaced", &clients).await;

        for replica in rows(REPLICAS, &hosts).into_iter().step_by(3) {
            let mut replica = replica;
            replica["state"] = "leaving".into();
            discovery.update_row(replica);
        }
        wait_for_counter(&process, "discovery changes", REPLICAS.div_ceil(3) as u64).await?;
        check_queries_complete("drained", &clients).await;

        process.signal(Signal::HUP)?;
        wait_for_counter(&process, "reloads taken", 1).await?;
        process.signal(Signal::USR2)?;
        wait_for_counter(&process, "upgrades done", 1).await?;
        check_queries_complete("handed-over", &clients).await;
        let memory = process.resource_usage().memory_kb;
        assert!(memory < MAX_MEMORY_KB, "{memory} kB");
        // One connection per replica fits into the configured number of sockets.
        assert_eq!(process.counter("leaf_connections no_socket").await, Some(0));
        assert_eq!(query_log.count(QueryOutcome::Lost) + query_log.count(QueryOutcome::Aborted), 0);
        Ok(())
    })
    .unwrap();
}
