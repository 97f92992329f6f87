//! Upgrades to another configuration: queries that the old process relays during the trial keep their request class.

mod stand_ins;

use std::time::Duration;

use anyhow::Result;
use pipitcrank_testkit::client::{Clients, HttpResponse, QueryRequest};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::process::{Process, UpgradeTimes};
use pipitcrank_testkit::query_log::QueryLog;
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use serde_json::{Value, json};
use stand_ins::{ScriptedDiscovery, StandInReplica, node_config, program};

const LIMIT: Duration = Duration::from_secs(60);
/// Time within which a part would be sent again: many batches.
const SETTLING_TIME: Duration = Duration::from_millis(100);
/// Minimum number of queries that the new process must have been relayed.
const MIN_QUERIES: u32 = 5;

/// A process whose upgrade is on trial with another configuration.
struct UpgradeOnTrial {
    replica: StandInReplica,
    _source: ScriptedDiscovery,
    process: Process,
}

impl UpgradeOnTrial {
    /// `change`: changes the settings to those of the new process.
    async fn start(change: impl Fn(&mut Value)) -> Result<UpgradeOnTrial> {
        let replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let times = UpgradeTimes { start: 3.0, settle: 1.5, silent: 0.5, finish: 8.0 };
        let config = node_config(&source, 1, 256)?;
        let process = Process::start(program(), config.clone(), times.operators_file()).await?;
        let mut settings = config["settings"].clone();
        change(&mut settings);
        process.override_node_config("/settings", settings)?;
        process.signal(Signal::USR2)?;
        Ok(UpgradeOnTrial { replica, _source: source, process })
    }

    async fn is_done(&self) -> bool {
        self.process.counter("upgrades done").await == Some(1)
    }

    /// Sends a query of the class with side effects on a new connection.
    fn send_sale(&self, n: u32) -> impl Future<Output = Option<HttpResponse>> + use<> {
        let clients = Clients::new(self.process.address, QueryLog::default());
        let (id, wait) = (format!("sale-{n}"), Duration::from_secs(4));
        let query = QueryRequest { id, class: "sale", shards: vec![0], wait, text: "c41e".to_string() };
        async move { clients.send(query).await }
    }
}

/// Puts a further request class before the others.
fn insert_class(settings: &mut Value) {
    let class = json!({"name": "crop", "aim_s": 1.0, "hard_limit_s": 4.0, "idempotency": "safe"});
    settings["classes"].as_array_mut().unwrap().insert(0, class);
    for (key, value) in
        [("complete_from", json!(1.0)), ("floor_by_class", json!(1.0)), ("follow_up", json!(0))]
    {
        settings["domain"][key].as_array_mut().unwrap().insert(0, value);
    }
}

/// Puts another request class in the place of `sale`.
fn replace_last_class(settings: &mut Value) {
    let class = settings["classes"].as_array_mut().unwrap().last_mut().unwrap();
    (class["name"], class["idempotency"]) = ("crop".into(), "safe".into());
}

/// Guards against a side-effecting part running twice (review case 1): the old process named a query's class by its index,
/// and the new process, which has one class more, took it for another class and sent the part again after a failure.
#[test]
fn a_relayed_query_keeps_its_class_when_the_new_process_has_more_classes() {
    on_one_thread(LIMIT, async {
        let mut trial = UpgradeOnTrial::start(insert_class).await?;
        let mut n = 0;
        while !trial.is_done().await {
            n += 1;
            let mut pending_query = std::pin::pin!(trial.send_sale(n));
            let part = tokio::select! {
                part = trial.replica.next_part() => part,
                answer = &mut pending_query =>
                    panic!("answered {:?} without a part; {}", answer.map(|a| a.status), trial.process.log()),
            };
            part.fail();
            let status = pending_query.await.map(|response| response.status);
            assert_eq!(status, Some(500), "query {n} may have run; {}", trial.process.log());
            tokio::time::sleep(SETTLING_TIME).await;
            assert!(trial.replica.try_next_part().is_none(), "the part of query {n} was sent again");
        }
        assert!(n > MIN_QUERIES, "expected more than {MIN_QUERIES} queries during the upgrade, got {n}");
        Ok(())
    })
    .unwrap();
}

/// Guards against a query being run under the rules of another class: its class does not exist in the new process. It is
/// rejected before anything is sent, and counted.
#[test]
fn a_relayed_query_of_a_class_that_is_gone_is_rejected() {
    on_one_thread(LIMIT, async {
        let mut trial = UpgradeOnTrial::start(replace_last_class).await?;
        let (mut n, mut rejected) = (0, 0);
        while !trial.is_done().await {
            n += 1;
            let mut pending_query = std::pin::pin!(trial.send_sale(n));
            // Before and after the trial one process alone answers: the old one serves the class, the new one has none.
            let (is_sent, answer) = tokio::select! {
                part = trial.replica.next_part() => { part.answer(); (true, pending_query.await) }
                answer = &mut pending_query => (false, answer),
            };
            match (is_sent, answer.map(|response| response.status)) {
                (true, Some(200)) | (false, Some(404)) => {}
                (false, Some(503)) => rejected += 1,
                status => panic!("query {n} ended with {status:?}; {}", trial.process.log()),
            }
            tokio::time::sleep(SETTLING_TIME).await;
        }
        assert!(rejected > MIN_QUERIES, "expected more than {MIN_QUERIES} rejections, got {rejected}");
        assert!(trial.process.log().contains("unknown request class"), "{}", trial.process.log());
        Ok(())
    })
    .unwrap();
}
