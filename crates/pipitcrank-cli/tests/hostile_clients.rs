//! Clients that misuse their connections: the process stays within the memory of its node configuration, other clients
//! are served, and no id runs twice.

mod stand_ins;

use std::time::{Duration, Instant};

use anyhow::Result;
use pipitcrank_testkit::client::{Clients, DedicatedConnection, QueryRequest, connect};
use pipitcrank_testkit::crowd::{Crowd, CrowdBehavior};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::fleet::Fleet;
use pipitcrank_testkit::process::Process;
use pipitcrank_testkit::query_log::{QueryLog, QueryOutcome};
use pipitcrank_testkit::replica::Work;
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use stand_ins::{ScriptedDiscovery, StandInReplica, node_config, one_part_query, program};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(120);
const WORK: Work = Work { mean_time: Duration::from_millis(5), concurrency: 16 };
/// The least memory and the descriptors of a co-ordinator on the days that the pages describe.
const LEAST_MEMORY_MB: u64 = 32;
const DESCRIPTORS: u32 = 1024;
const CROWD_SIZE: usize = 900;
/// Longer than the time to receive a request, so that each client's connection is replaced at least once.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// Number of sound clients, each on a connection of its own.
const SOUND_CLIENTS: usize = 4;
const SOUND_LATENCY: Duration = Duration::from_secs(1);

/// Peak memory of a process under a crowd, and how its sound clients were served.
struct CrowdResult {
    peak_memory_kb: u64,
    served_in_time: f64,
}

async fn run_crowd(behaviors: &[CrowdBehavior]) -> Result<CrowdResult> {
    let fleet = Fleet::start(1, WORK).await?;
    let mut config = fleet.node_config(1, DESCRIPTORS, 500)?;
    config["limits"]["memory_mb"] = LEAST_MEMORY_MB.into();
    let mut process = Process::start(program(), config, None).await?;
    let query_log = QueryLog::default();
    let mut sound_clients = tokio::task::JoinSet::new();
    let until = Instant::now() + CROWD_TIME;
    for client in 0..SOUND_CLIENTS {
        let clients = Clients::new(process.address, query_log.clone());
        sound_clients.spawn_local(async move {
            for n in 0.. {
                clients.send(QueryRequest::short(&format!("view-sound-{client}-{n}"))).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                if Instant::now() >= until {
                    return;
                }
            }
        });
    }
    let crowd = Crowd::start(process.address, behaviors, CROWD_SIZE);
    while sound_clients.join_next().await.is_some() {}
    assert_eq!(process.exit_status(), None, "{behaviors:?}: {}", process.log());
    let peak_memory_kb = process.peak_memory_kb();
    drop(crowd);
    Ok(CrowdResult { peak_memory_kb, served_in_time: query_log.answered_within(SOUND_LATENCY) })
}

#[test]
fn a_hostile_crowd_stays_within_the_least_memory_while_others_are_served() {
    on_one_thread(LIMIT, async {
        let mut over_limit = Vec::new();
        for behaviors in CrowdBehavior::ALL.iter().map(std::slice::from_ref).chain([&CrowdBehavior::ALL[..]])
        {
            let CrowdResult { peak_memory_kb, served_in_time } = run_crowd(behaviors).await?;
            eprintln!("{behaviors:?}: peak {peak_memory_kb} kB, sound queries in time {served_in_time:.3}");
            if peak_memory_kb > LEAST_MEMORY_MB * 1024 || served_in_time < 0.98 {
                over_limit.push(format!("{behaviors:?}: {peak_memory_kb} kB, {served_in_time:.3} in time"));
            }
        }
        assert_eq!(over_limit, Vec::<String>::new());
        Ok(())
    })
    .unwrap();
}

/// A query of a class that is not idempotent, with one part.
fn sale_query(id: &str) -> QueryRequest {
    QueryRequest { class: "sale", ..one_part_query(id) }
}

#[test]
fn an_unsafe_id_that_comes_again_after_its_client_left_runs_once() {
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let process = Process::start(program(), node_config(&source, 1, 256)?, None).await?;
        for (round, pause_ms) in [0, 20, 100, 500, 1500].into_iter().enumerate() {
            let id = format!("sale-{round}");
            let mut client = connect(process.address).await?;
            client.write_all(sale_query(&id).request().as_bytes()).await?;
            let part = replica.next_part().await;
            drop(client);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let mut again = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
            let outcome = tokio::select! {
                outcome = again.send_in_pieces(sale_query(&id), &[]) => outcome,
                second = replica.next_part() => panic!("{} ran twice, after {pause_ms} ms", second.id),
            };
            assert_eq!(outcome, QueryOutcome::UnexpectedStatus(409), "after {pause_ms} ms");
            part.answer();
        }
        Ok(())
    })
    .unwrap();
}

/// The time in the accept queue is known only as an upper bound, which grows while the queue is never empty.
#[test]
fn a_request_from_a_crowded_accept_queue_breaks_no_rule() {
    const FEW_DESCRIPTORS: u32 = 64;
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(3, WORK).await?;
        let process = Process::start(program(), fleet.node_config(3, FEW_DESCRIPTORS, 500)?, None).await?;
        let crowd = Crowd::start(process.address, &[CrowdBehavior::Silent], 80);
        let until = Instant::now() + Duration::from_secs(4);
        let mut clients = tokio::task::JoinSet::new();
        for client in 0..20 {
            let address = process.address;
            clients.spawn_local(async move {
                for n in 0.. {
                    let id = format!("view-{client}-{n}");
                    let query = QueryRequest { wait: Duration::from_millis(300), ..QueryRequest::short(&id) };
                    Clients::new(address, QueryLog::default()).send(query).await;
                    if Instant::now() >= until {
                        return;
                    }
                }
            });
        }
        while clients.join_next().await.is_some() {}
        drop(crowd);
        let log = process.log();
        assert!(!log.contains("a rule is broken"), "{log}");
        Ok(())
    })
    .unwrap();
}

/// Writes as many of the bytes as the connection takes while the process is stopped.
fn write_without_waiting(stream: &TcpStream, mut bytes: &[u8]) {
    while let Ok(written) = stream.try_write(bytes) {
        bytes = &bytes[written..];
        if bytes.is_empty() {
            return;
        }
    }
}

/// The clients' requests, the bytes behind them and the closes are all unread when the process continues.
#[test]
fn a_close_behind_a_long_tail_is_noticed_at_once() {
    const CLIENTS: usize = 12;
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 1, 256)?;
        config["settings"]["allowed"]["probing"] = false.into();
        let process = Process::start(program(), config, None).await?;
        for tail_bytes in [0, 1, 500, 4096, 70_000, 1 << 20, 8 << 20] {
            let mut clients = Vec::new();
            for _ in 0..CLIENTS {
                clients.push(connect(process.address).await?);
            }
            // Their connections are accepted before the process stops, and are not old enough to be closed as silent.
            tokio::time::sleep(Duration::from_millis(30)).await;
            process.signal(Signal::STOP)?;
            for (n, client) in clients.into_iter().enumerate() {
                client.writable().await?;
                let mut bytes = sale_query(&format!("sale-{tail_bytes}-{n}")).request().into_bytes();
                bytes.extend(vec![b'x'; tail_bytes]);
                write_without_waiting(&client, &bytes);
            }
            tokio::time::sleep(Duration::from_millis(400)).await;
            process.signal(Signal::CONT)?;
            tokio::time::sleep(Duration::from_millis(400)).await;
            let sent = std::iter::from_fn(|| replica.try_next_part()).count();
            assert_eq!(
                sent, 0,
                "parts sent for clients that had left, {tail_bytes} bytes behind the request"
            );
        }
        Ok(())
    })
    .unwrap();
}
