//! A fleet of 1,024 leaves as one co-ordinator meets it: told at start, replaced by a list that comes indented, drained by a
//! third one by one, told anew at SIGHUP, and passed on to another process.

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
/// Of both processes of an upgrade together, in kilobytes; built without optimization they hold more.
const MEMORY: u64 = 96 * 1024;

fn rows(first: usize, hosts: &[StandInReplica]) -> Vec<Value> {
    let one =
        |n: usize| row(&format!("leaf-{n}"), hosts[n % hosts.len()].address, n as u32 % CELLS, "active", 0);
    (first..first + REPLICAS).map(one).collect()
}

async fn counted(process: &Process, what: &str, wanted: u64) -> Result<()> {
    let begun = Instant::now();
    while process.counter(what).await != Some(wanted) {
        let now = process.counter(what).await;
        assert!(begun.elapsed() < Duration::from_secs(20), "{what}: {now:?}; {}", process.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Queries of forty parts each, all of them whole.
async fn serves(name: &str, clients: &Clients) {
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
fn a_thousand_replicas_are_told_replaced_drained_and_passed_on() {
    on_one_thread(Duration::from_secs(120), async {
        let ledger = QueryLog::default();
        let mut hosts = Vec::new();
        for n in 0..8 {
            hosts.push(StandInReplica::start(n, WORK, ledger.clone()).await?);
        }
        let discovery = Discovery::start(rows(0, &hosts)).await?;
        let config =
            node_config_of(discovery.address, discovery.initial_list(), CELLS, SHARDS, 6, 1024, 3000)?;
        let steps = UpgradeTimes { start: 10.0, settle: 0.6, silent: 2.0, finish: 8.0 };
        let process =
            Process::start(Path::new(env!("CARGO_BIN_EXE_pipitcrank")), config, steps.operators_file())
                .await?;
        let clients = Clients::new(process.address, ledger.clone());
        serves("told", &clients).await;

        // Nothing of the old list is listed any more.
        discovery.replace_list(rows(REPLICAS, &hosts));
        counted(&process, "discovery whole_list", 2).await?;
        serves("replaced", &clients).await;

        for replica in rows(REPLICAS, &hosts).into_iter().step_by(3) {
            let mut replica = replica;
            replica["state"] = "leaving".into();
            discovery.update_row(replica);
        }
        counted(&process, "discovery changes", REPLICAS.div_ceil(3) as u64).await?;
        serves("drained", &clients).await;

        process.signal(Signal::HUP)?;
        counted(&process, "reloads taken", 1).await?;
        process.signal(Signal::USR2)?;
        counted(&process, "upgrades done", 1).await?;
        serves("passed-on", &clients).await;
        let memory = process.resource_usage().memory_kb;
        assert!(memory < MEMORY, "{memory} kB");
        // A connection a replica, and what of the told sockets is left: none was held to be out of reach.
        assert_eq!(process.counter("leaf_connections no_socket").await, Some(0));
        assert_eq!(ledger.count(QueryOutcome::Lost) + ledger.count(QueryOutcome::Aborted), 0);
        Ok(())
    })
    .unwrap();
}
