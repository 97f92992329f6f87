//! Races: events that arrive while a process shuts down, starts, or has no free descriptor (docs/crossings.md).
//! Stand-ins and signals force the order of the events.

mod stand_ins;

use std::time::{Duration, Instant};

use anyhow::Result;
use pipitcrank_testkit::client::{DedicatedConnection, QueryRequest, connect, get, read_response};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::process::Process;
use pipitcrank_testkit::query_log::{QueryLog, QueryOutcome};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::{Pid, Resource, Rlimit, Signal, prlimit};
use stand_ins::{ScriptedDiscovery, StandInReplica, node_config, one_part_query, program};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(60);

async fn start_with_one_replica(sockets: u32) -> Result<(StandInReplica, ScriptedDiscovery, Process)> {
    let replica = StandInReplica::start().await?;
    let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
    let process = Process::start(program(), node_config(&source, 1, sockets)?, None).await?;
    source.wait_for_watch().await;
    Ok((replica, source, process))
}

/// Sends a query on this connection, responds at the replica, and returns the status of the answer.
async fn query_on(stream: &mut BufReader<TcpStream>, id: &str, replica: &mut StandInReplica) -> u16 {
    stream.get_mut().write_all(one_part_query(id).request().as_bytes()).await.unwrap();
    let answer = async { read_response(stream).await.map_or(0, |a| a.status) };
    let mut answer = std::pin::pin!(answer);
    tokio::select! {
        part = replica.next_part() => part.answer(),
        status = &mut answer => return status,
    }
    answer.await
}

/// A complete request arrives on an idle connection after the process has closed it. It must not be forwarded, since
/// the client sees the close and repeats the request elsewhere.
#[test]
fn a_request_after_the_close_of_an_idle_connection_is_not_forwarded() {
    on_one_thread(LIMIT, async {
        let (mut replica, _source, process) = start_with_one_replica(256).await?;
        let mut idle_connection = BufReader::new(connect(process.address).await?);
        assert_eq!(query_on(&mut idle_connection, "view-1", &mut replica).await, 200);
        process.signal(Signal::TERM)?;
        let mut nothing = [0; 1];
        assert_eq!(idle_connection.read(&mut nothing).await?, 0, "the idle connection is closed normally");
        let late_write =
            idle_connection.get_mut().write_all(one_part_query("view-2").request().as_bytes()).await;
        if late_write.is_ok() {
            // The client gets no answer, and the replica gets no part.
            let mut rest = Vec::new();
            let _ = idle_connection.read_to_end(&mut rest).await;
            assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(replica.try_next_part().is_none(), "a part was sent after the close");
        Ok(())
    })
    .unwrap();
}

/// A request is written while the process is stopped, so that SIGTERM and the request are pending at the same time.
#[test]
fn a_request_pending_together_with_sigterm_is_answered() {
    on_one_thread(LIMIT, async {
        for round in 0..6 {
            let (mut replica, _source, process) = start_with_one_replica(256).await?;
            let mut idle_connection = BufReader::new(connect(process.address).await?);
            assert_eq!(query_on(&mut idle_connection, "view-1", &mut replica).await, 200);
            process.signal(Signal::STOP)?;
            let mut new = BufReader::new(connect(process.address).await?);
            if round % 2 == 0 {
                process.signal(Signal::TERM)?;
            }
            // One request on an idle connection, and one on a connection that has not been accepted yet.
            for (n, stream) in [&mut idle_connection, &mut new].into_iter().enumerate() {
                let request = one_part_query(&format!("view-late-{n}")).request();
                stream.get_mut().write_all(request.as_bytes()).await?;
            }
            if round % 2 == 1 {
                process.signal(Signal::TERM)?;
            }
            process.signal(Signal::CONT)?;
            for _ in 0..2 {
                replica.next_part().await.answer();
            }
            for stream in [&mut idle_connection, &mut new] {
                let answer = read_response(stream).await;
                assert_eq!(answer.map(|a| a.status), Some(200), "round {round}; {}", process.log());
            }
        }
        Ok(())
    })
    .unwrap();
}

/// A request arrives while the process is stopped. Its deadline counts from the time at which it was written, so the
/// replica must not be given more time than the client has, within the slack.
#[test]
fn a_request_read_late_gets_no_more_time_than_its_client_has() {
    const SLACK: Duration = Duration::from_millis(150);
    on_one_thread(LIMIT, async {
        let (mut replica, _source, process) = start_with_one_replica(256).await?;
        for (n, stopped_ms) in [180, 300, 500, 900].into_iter().enumerate() {
            // Separates this stop from the previous one.
            tokio::time::sleep(Duration::from_millis(400)).await;
            let wait = Duration::from_millis(1500);
            let query = QueryRequest { wait, ..one_part_query(&format!("view-{n}")) };
            let mut idle_connection = BufReader::new(connect(process.address).await?);
            let before = QueryRequest { id: format!("view-before-{n}"), ..query.clone() };
            idle_connection.get_mut().write_all(before.request().as_bytes()).await?;
            replica.next_part().await.answer();
            assert_eq!(read_response(&mut idle_connection).await.map(|a| a.status), Some(200));
            process.signal(Signal::STOP)?;
            idle_connection.get_mut().write_all(query.request().as_bytes()).await?;
            let written = Instant::now();
            tokio::time::sleep(Duration::from_millis(stopped_ms)).await;
            process.signal(Signal::CONT)?;
            let part = replica.next_part().await;
            let time_left = wait.saturating_sub(written.elapsed());
            assert!(
                part.time_left <= time_left + SLACK,
                "stopped for {stopped_ms} ms: stated {:?}, client has {time_left:?}",
                part.time_left
            );
            part.answer();
            assert_eq!(read_response(&mut idle_connection).await.map(|a| a.status), Some(200));
        }
        Ok(())
    })
    .unwrap();
}

/// A change of the endpoint list during shutdown applies to the parts sent after it. The change arrives by the watch,
/// or, if the watch is silent, by the poll after a SIGHUP.
#[test]
fn a_drain_announced_during_shutdown_is_applied() {
    for silent in [false, true] {
        on_one_thread(LIMIT, async {
            let mut a = StandInReplica::start().await?;
            let mut b = StandInReplica::start().await?;
            let source = ScriptedDiscovery::start(1, vec![row("a", a.address, 0, "active", 0)]).await?;
            let mut config = node_config(&source, 1, 256)?;
            // Makes the shutdown long enough for the change.
            for class in config["settings"]["classes"].as_array_mut().unwrap() {
                class["hard_limit_s"] = 9.0.into();
            }
            let process = Process::start(program(), config, None).await?;
            source.wait_for_watch().await;
            let mut idle_connection = BufReader::new(connect(process.address).await?);
            assert_eq!(query_on(&mut idle_connection, "view-1", &mut a).await, 200);
            if silent {
                source.silence_watches();
                source.silence_new_watches();
            }
            process.signal(Signal::TERM)?;
            let changed_at = Instant::now();
            source
                .set_list(2, vec![row("a", a.address, 0, "leaving", 0), row("b", b.address, 0, "active", 0)]);
            if silent {
                process.signal(Signal::HUP)?;
            }
            let counter = if silent { "discovery whole_list" } else { "discovery changes" };
            let expected = if silent { 2 } else { 1 };
            // A connection in use stays open during shutdown.
            let mut n = 1;
            loop {
                n += 1;
                let id = format!("view-{n}");
                idle_connection.get_mut().write_all(one_part_query(&id).request().as_bytes()).await?;
                let reached_b = tokio::select! {
                    part = a.next_part() => { part.answer(); false }
                    part = b.next_part() => { part.answer(); true }
                };
                let answer = read_response(&mut idle_connection).await.expect("an answer");
                assert_eq!(answer.status, 200);
                if reached_b {
                    break;
                }
                if !answer.keep_alive {
                    idle_connection = BufReader::new(connect(process.address).await?);
                }
                assert!(
                    changed_at.elapsed() < Duration::from_secs(3),
                    "the drain is not applied; {}",
                    process.log()
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if let Some(value) = process.counter(counter).await {
                assert_eq!(value, expected, "the change arrives by the intended path");
            }
            Ok(())
        })
        .unwrap();
    }
}

/// Idle clients hold as many descriptors as they can get while discovery is down. When discovery returns with a
/// drain, descriptors must be available for its calls, for the connection to a new replica and for a new client.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    const SOCKETS: u32 = 96;
    on_one_thread(LIMIT, async {
        let (mut a, source, process) = start_with_one_replica(SOCKETS).await?;
        let limit = Rlimit { current: Some(u64::from(SOCKETS)), maximum: Some(u64::from(SOCKETS)) };
        prlimit(Pid::from_raw(process.pid()), Resource::Nofile, limit)?;
        source.set_down(true);
        source.close_watches();
        let mut idle_clients = Vec::new();
        for n in 0..50 {
            let mut stream = BufReader::new(connect(process.address).await?);
            assert_eq!(query_on(&mut stream, &format!("view-{n}"), &mut a).await, 200, "{n}");
            idle_clients.push(stream);
        }
        let mut silent = Vec::new();
        for _ in 0..150 {
            silent.push(connect(process.address).await?);
        }
        let descriptors = process.resource_usage().descriptors;
        assert!(descriptors <= u64::from(SOCKETS), "{descriptors}");
        let mut b = StandInReplica::start().await?;
        source.set_list(2, vec![row("a", a.address, 0, "leaving", 0), row("b", b.address, 0, "active", 0)]);
        source.set_down(false);
        let changed_at = Instant::now();
        let mut n = 0;
        loop {
            n += 1;
            let mut connection = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
            let mut pending_query =
                std::pin::pin!(connection.send_in_pieces(one_part_query(&format!("view-new-{n}")), &[]));
            let reached_b = tokio::select! {
                part = a.next_part() => { part.answer(); false }
                part = b.next_part() => { part.answer(); true }
                outcome = &mut pending_query => panic!("{outcome:?}; {}", process.log()),
            };
            assert_eq!(pending_query.await, QueryOutcome::Complete);
            if reached_b {
                break;
            }
            assert!(
                changed_at.elapsed() < Duration::from_secs(6),
                "the drain is not applied; {}",
                process.log()
            );
        }
        let log = process.log();
        assert!(!log.contains("accept failed"), "{log}");
        assert_eq!(process.counter("leaf_connections no_socket").await, Some(0));
        Ok(())
    })
    .unwrap();
}

/// Ten processes start at once, with clients that connect meanwhile and a discovery that is silent or stalls. A
/// process that reports readiness must serve.
#[test]
fn processes_started_all_at_once_are_ready_soon_and_serve() {
    for silent in [true, false] {
        on_one_thread(LIMIT, async {
            let mut replica = StandInReplica::start().await?;
            let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
            if silent {
                source.set_down(true);
            } else {
                source.script_calls(&[stand_ins::CallFault::StallAfterHead; 30]);
            }
            let mut starting = tokio::task::JoinSet::new();
            let started_at = Instant::now();
            for _ in 0..10 {
                let config = node_config(&source, 1, 256)?;
                let address: std::net::SocketAddr = config["listen"].as_str().unwrap().parse()?;
                starting.spawn_local(async move {
                    // A client that connects repeatedly.
                    let probing_client = tokio::task::spawn_local(async move {
                        loop {
                            let _ = get(address, "/up").await;
                            tokio::time::sleep(Duration::from_millis(5)).await;
                        }
                    });
                    let process = Process::start(program(), config, None).await;
                    probing_client.abort();
                    (process, started_at.elapsed())
                });
            }
            let mut ready_in_time = 0;
            while let Some(started) = starting.join_next().await {
                let (process, took) = started?;
                let process = process?;
                ready_in_time += usize::from(took < Duration::from_secs(10));
                let mut stream = BufReader::new(connect(process.address).await?);
                assert_eq!(query_on(&mut stream, "view-1", &mut replica).await, 200);
            }
            assert!(ready_in_time >= 9, "{ready_in_time} of 10 were ready within 10 s");
            Ok(())
        })
        .unwrap();
    }
}

/// At SIGTERM every connection permit is held by an incomplete request, and the accept queue holds more clients than
/// there are permits or descriptors. Each client must get an answer.
#[test]
fn queued_clients_beyond_permits_and_descriptors_are_answered_at_shutdown() {
    const SOCKETS: u32 = 96;
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 1, SOCKETS)?;
        // The listener closes half a second after SIGTERM, well before the time limit of an incomplete request.
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["hard_limit_s"] = 0.5.into();
        }
        let process = Process::start(program(), config, None).await?;
        let limit = Rlimit { current: Some(u64::from(SOCKETS)), maximum: Some(u64::from(SOCKETS)) };
        prlimit(Pid::from_raw(process.pid()), Resource::Nofile, limit)?;
        // Permits are two thirds of the configured sockets less 24. An incomplete request holds each of them.
        let permits = (SOCKETS as usize - 24) * 2 / 3;
        let mut clients = Vec::new();
        for n in 0..permits + 100 {
            let mut stream = BufReader::new(connect(process.address).await?);
            let request = one_part_query(&format!("view-{n}")).request();
            let length = if n < permits { request.len() - 1 } else { request.len() };
            stream.get_mut().write_all(&request.as_bytes()[..length]).await?;
            clients.push(stream);
        }
        process.signal(Signal::TERM)?;
        let mut responses = tokio::task::JoinSet::new();
        for mut stream in clients {
            responses.spawn_local(async move { read_response(&mut stream).await.map_or(0, |a| a.status) });
        }
        let mut status_counts = std::collections::BTreeMap::new();
        loop {
            tokio::select! {
                // On a slow machine a permit may become free, and the query runs.
                part = replica.next_part() => part.answer(),
                response = responses.join_next() => match response {
                    Some(status) => *status_counts.entry(status?).or_insert(0) += 1,
                    None => break,
                },
            }
        }
        assert!(
            !status_counts.contains_key(&0),
            "{status_counts:?}, where 0 is no answer; {}",
            process.log()
        );
        while !process.log().contains("counters at exit") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(
            process.log().contains("clients turned_away_at_the_end"),
            "{status_counts:?}; {}",
            process.log()
        );
        Ok(())
    })
    .unwrap();
}

/// Unusual settings: a connection carries one part at a time although calls may hold eight parts, and the dial
/// time-out equals the idle time-out.
#[test]
fn one_part_per_connection_and_equal_dial_and_idle_timeouts_work() {
    on_one_thread(LIMIT, async {
        let mut replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 2, 256)?;
        // The one replica holds both shards.
        config["settings"]["domain"]["span"] = 2.into();
        let allowed = &mut config["settings"]["allowed"];
        (allowed["streams_per_conn"], allowed["probing"]) = (1.into(), false.into());
        (allowed["conn_idle_s"], allowed["dial_timeout_s"]) = (2.0.into(), 2.0.into());
        let process = Process::start(program(), config, None).await?;
        let mut client = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
        for n in 0..3 {
            let shards = vec![0, 1];
            let query = QueryRequest { shards, ..one_part_query(&format!("view-{n}")) };
            let mut pending_query = std::pin::pin!(client.send_in_pieces(query, &[]));
            for _ in 0..2 {
                tokio::select! {
                    part = replica.next_part() => part.answer(),
                    outcome = &mut pending_query => panic!("{outcome:?}; {}", process.log()),
                }
            }
            assert_eq!(pending_query.await, QueryOutcome::Complete);
        }
        assert!(process.counter("leaf_connections opened").await <= Some(2), "connections are reused");
        Ok(())
    })
    .unwrap();
}

/// A drained replica returns at the same address and must get parts again. Without an outstanding part its old
/// connection was closed, so a new one is opened; with an outstanding part the old connection is reused.
#[test]
fn a_drained_replica_that_returns_at_its_address_gets_parts_again() {
    for has_outstanding_part in [false, true] {
        on_one_thread(LIMIT, async {
            let (mut replica, source, process) = start_with_one_replica(256).await?;
            let mut idle_connection = BufReader::new(connect(process.address).await?);
            assert_eq!(query_on(&mut idle_connection, "view-1", &mut replica).await, 200);
            let mut other = BufReader::new(connect(process.address).await?);
            let mut part = None;
            if has_outstanding_part {
                other.get_mut().write_all(one_part_query("view-held").request().as_bytes()).await?;
                part = Some(replica.next_part().await);
            }
            let wait_for_changes = async |n: u64| {
                while process.counter("discovery changes").await < Some(n) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            source.set_list(2, vec![row("a", replica.address, 0, "leaving", 0)]);
            wait_for_changes(1).await;
            assert_eq!(
                query_on(&mut idle_connection, "view-2", &mut replica).await,
                503,
                "no other replica holds the shard"
            );
            assert!(replica.try_next_part().is_none());
            source.set_list(3, vec![row("a", replica.address, 0, "active", 0)]);
            wait_for_changes(2).await;
            assert_eq!(
                query_on(&mut idle_connection, "view-3", &mut replica).await,
                200,
                "outstanding part: {has_outstanding_part}"
            );
            if let Some(part) = part {
                part.answer();
                assert_eq!(read_response(&mut other).await.map(|a| a.status), Some(200));
            }
            let opened = process.counter("leaf_connections opened").await;
            assert_eq!(
                opened,
                Some(if has_outstanding_part { 1 } else { 2 }),
                "outstanding part: {has_outstanding_part}"
            );
            Ok(())
        })
        .unwrap();
    }
}
