//! After a client has closed, no attempt for it begins more than 0.1 s later, and no waiting attempt is sent more
//! than 0.3 s later. Each test forces the order of events: stand-ins delay responses and connections, and signals
//! stop the process.

mod stand_ins;

use std::time::{Duration, Instant};

use anyhow::Result;
use pipitcrank_testkit::client::{DedicatedConnection, connect, get};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::process::Process;
use pipitcrank_testkit::query_log::{QueryLog, QueryOutcome};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use stand_ins::{ScriptedDiscovery, SlowListener, StandInReplica, node_config, one_part_query, program};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(60);
/// Longer than the time within which an attempt may still begin, plus its way to the replica.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// Closes after more bytes behind the request than are read together with it.
    CloseAfterExtraBytes,
    /// Closes after further pipelined requests.
    ClosePipelined,
}

const ALL_DISCONNECTS: [Disconnect; 4] =
    [Disconnect::Close, Disconnect::Reset, Disconnect::CloseAfterExtraBytes, Disconnect::ClosePipelined];

/// Connects and sends a query, followed by the further bytes or requests of this kind of disconnect.
async fn send_query(process: &Process, id: &str, disconnect_kind: Disconnect) -> Result<TcpStream> {
    let mut stream = connect(process.address).await?;
    let mut bytes = one_part_query(id).request().into_bytes();
    match disconnect_kind {
        Disconnect::CloseAfterExtraBytes => bytes.extend(vec![b'x'; 100_000]),
        Disconnect::ClosePipelined => {
            (0..300).for_each(|n| bytes.extend(one_part_query(&format!("{id}-{n}")).request().into_bytes()));
        }
        _ => {}
    }
    stream.write_all(&bytes).await?;
    Ok(stream)
}

fn disconnect(stream: TcpStream, disconnect_kind: Disconnect) -> Result<()> {
    if matches!(disconnect_kind, Disconnect::Reset) {
        stream.set_zero_linger()?;
    }
    drop(stream);
    Ok(())
}

async fn wait_for_counter(process: &Process, counter: &str, expected: u64) {
    let started_at = Instant::now();
    while process.counter(counter).await != Some(expected) {
        let counters = get(process.address, "/counters").await.map(|a| a.body);
        assert!(started_at.elapsed() < LIMIT / 4, "{counter} is not {expected}: {counters:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts a process with two replicas that hold the one shard.
async fn two_replicas() -> Result<([StandInReplica; 2], ScriptedDiscovery, Process)> {
    let replicas = [StandInReplica::start().await?, StandInReplica::start().await?];
    let [a, b] = [&replicas[0], &replicas[1]].map(|l| l.address);
    let source =
        ScriptedDiscovery::start(1, vec![row("a", a, 0, "active", 0), row("b", b, 0, "active", 0)]).await?;
    let mut config = node_config(&source, 1, 256)?;
    // Probes would delay the parts.
    config["settings"]["allowed"]["probing"] = false.into();
    let process = Process::start(program(), config, None).await?;
    Ok((replicas, source, process))
}

#[test]
fn no_retry_for_a_client_that_closed() {
    for disconnect_kind in ALL_DISCONNECTS {
        on_one_thread(LIMIT, async {
            let ([mut a, mut b], _source, process) = two_replicas().await?;
            let client = send_query(&process, "view-1", disconnect_kind).await?;
            let first = tokio::select! {
                part = a.next_part() => part,
                part = b.next_part() => part,
            };
            disconnect(client, disconnect_kind)?;
            wait_for_counter(&process, "queries client_gone", 1).await;
            first.fail();
            tokio::time::sleep(SETTLE_TIME).await;
            assert!(
                a.try_next_part().is_none() && b.try_next_part().is_none(),
                "a retry for a client that disconnected: {disconnect_kind:?}"
            );
            Ok(())
        })
        .unwrap();
    }
}

/// The HTTP library finds the end of a chunked body. When bytes that it could not use yet followed the body, an
/// earlier version detected the close after those bytes only once it sent the answer.
#[test]
fn no_retry_for_a_client_that_closed_after_a_chunked_body() {
    for (extra_bytes, resets) in [(0, false), (10, false), (100_000, false), (100_000, true)] {
        on_one_thread(LIMIT, async {
            let ([mut a, mut b], _source, process) = two_replicas().await?;
            let mut client = connect(process.address).await?;
            let plain = one_part_query("view-1").request();
            let (head, body) = plain.split_once("\r\n\r\n").unwrap();
            let head = head.split("\r\n").filter(|l| !l.starts_with("Content-Length"));
            let head = head.collect::<Vec<_>>().join("\r\n");
            let request = format!(
                "{head}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n{}",
                body.len(),
                "x".repeat(extra_bytes)
            );
            client.write_all(request.as_bytes()).await?;
            let first = tokio::select! {
                part = a.next_part() => part,
                part = b.next_part() => part,
            };
            if resets {
                client.set_zero_linger()?;
            }
            drop(client);
            wait_for_counter(&process, "queries client_gone", 1).await;
            first.fail();
            tokio::time::sleep(SETTLE_TIME).await;
            assert!(
                a.try_next_part().is_none() && b.try_next_part().is_none(),
                "a retry for a client that disconnected: {extra_bytes}"
            );
            Ok(())
        })
        .unwrap();
    }
}

/// An attempt waits for a connection while its client closes, with and without cancellation of calls. Without it,
/// only the last check before the first byte can stop the attempt. By then another query may have the slot of the
/// ended one, and the attempt was once sent under the key of that other query.
#[test]
fn an_attempt_waiting_for_a_connection_is_not_sent_after_a_close() {
    for (disconnect_kind, cancel) in
        ALL_DISCONNECTS.into_iter().zip([true, true, false, true]).chain([(Disconnect::Close, false)])
    {
        on_one_thread(LIMIT, async {
            let slow_listener = SlowListener::start().await?;
            let source =
                ScriptedDiscovery::start(1, vec![row("a", slow_listener.address, 0, "active", 0)]).await?;
            let mut config = node_config(&source, 1, 256)?;
            let allowed = &mut config["settings"]["allowed"];
            (allowed["dial_timeout_s"], allowed["probing"]) = (3.5.into(), false.into());
            allowed["cancel"] = cancel.into();
            let process = Process::start(program(), config, None).await?;
            let client = send_query(&process, "view-1", disconnect_kind).await?;
            wait_for_counter(&process, "queries taken", 1).await;
            // The attempt now waits for a connection.
            tokio::time::sleep(Duration::from_millis(50)).await;
            disconnect(client, disconnect_kind)?;
            wait_for_counter(&process, "queries client_gone", 1).await;
            let mut other = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
            let mut pending_query = std::pin::pin!(other.send_in_pieces(one_part_query("view-2"), &[]));
            tokio::select! {
                () = wait_for_counter(&process, "queries taken", 2) => {}
                outcome = &mut pending_query => panic!("{outcome:?}: {}", process.log()),
            }
            // Pending connections are established one second after their start.
            let mut replica = slow_listener.accept_connections();
            let part = tokio::select! {
                part = replica.next_part() => part,
                outcome = &mut pending_query => panic!("{outcome:?}: {}", process.log()),
            };
            assert!(part.id.starts_with("view-2"), "{} was sent: {disconnect_kind:?}, {cancel}", part.id);
            part.answer();
            assert_eq!(pending_query.await, QueryOutcome::Complete);
            tokio::time::sleep(SETTLE_TIME).await;
            assert!(replica.try_next_part().is_none(), "{disconnect_kind:?}");
            Ok(())
        })
        .unwrap();
    }
}

/// Establishes connections to both replicas, so that later parts are sent without delay.
async fn warm_up(
    process: &Process,
    a: &mut StandInReplica,
    b: &mut StandInReplica,
    name: &str,
) -> Result<()> {
    let mut connection = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
    let (mut at_a, mut at_b) = (false, false);
    for n in 0.. {
        let mut pending_query =
            std::pin::pin!(connection.send_in_pieces(one_part_query(&format!("{name}-warm-{n}")), &[]));
        tokio::select! {
            part = a.next_part() => { at_a = true; part.answer() }
            part = b.next_part() => { at_b = true; part.answer() }
            outcome = &mut pending_query => panic!("{outcome:?}"),
        }
        pending_query.as_mut().await;
        if at_a && at_b {
            break;
        }
    }
    Ok(())
}

/// Event that becomes due while the process is stopped. When the process continues, the event and the client's close
/// are both pending.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DueEvent {
    /// The replica reports a failure, which would cause a retry.
    Failure,
    /// The replica does not respond for long, which would cause a hedged request.
    Hedge,
}

fn check_close_takes_precedence(due_event: DueEvent) {
    on_one_thread(LIMIT, async {
        for round in 0..8 {
            let ([mut a, mut b], _source, process) = two_replicas().await?;
            warm_up(&process, &mut a, &mut b, &format!("view-{round}")).await?;
            let client = send_query(&process, &format!("view-{round}"), Disconnect::Close).await?;
            let first = tokio::select! {
                part = a.next_part() => part,
                part = b.next_part() => part,
            };
            process.signal(Signal::STOP)?;
            // The failure arrives before the close in even rounds and after it in odd ones.
            if due_event == DueEvent::Failure && round % 2 == 0 {
                first.fail();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            disconnect(client, Disconnect::Close)?;
            tokio::time::sleep(Duration::from_millis(20)).await;
            if due_event == DueEvent::Failure && round % 2 == 1 {
                first.fail();
            }
            // Until after the time of the hedged request, but before the latency objective of 1 s.
            tokio::time::sleep(Duration::from_millis(700)).await;
            process.signal(Signal::CONT)?;
            wait_for_counter(&process, "queries client_gone", 1).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            let further_part = a.try_next_part().or(b.try_next_part()).map(|c| c.id);
            assert_eq!(
                further_part, None,
                "an attempt for a client that disconnected, round {round}, {due_event:?}"
            );
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_close_while_stopped_takes_precedence_over_the_retry() {
    check_close_takes_precedence(DueEvent::Failure);
}

#[test]
fn a_close_while_stopped_takes_precedence_over_the_hedged_request() {
    check_close_takes_precedence(DueEvent::Hedge);
}

/// Hundreds of clients send a query and close at once. Attempts that are still waiting must not be sent.
#[test]
fn waiting_attempts_are_dropped_after_a_burst_of_closes() {
    on_one_thread(LIMIT, async {
        let slow_listener = SlowListener::start().await?;
        let source =
            ScriptedDiscovery::start(1, vec![row("a", slow_listener.address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 1, 1024)?;
        config["settings"]["allowed"]["dial_timeout_s"] = 3.5.into();
        config["settings"]["allowed"]["probing"] = false.into();
        let process = Process::start(program(), config, None).await?;
        let mut clients = Vec::new();
        for n in 0..200 {
            clients.push(send_query(&process, &format!("view-{n}"), Disconnect::Close).await?);
        }
        wait_for_counter(&process, "queries taken", 200).await;
        for client in clients {
            disconnect(client, Disconnect::Close)?;
        }
        // Some queries were rejected before the close because they had waited too long.
        let ended_queries = async || {
            let client_gone = process.counter("queries client_gone").await.unwrap_or(0);
            client_gone + process.counter("queries rejected").await.unwrap_or(0)
        };
        while ended_queries().await < 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(process.counter("queries client_gone").await > Some(0));
        let mut replica = slow_listener.accept_connections();
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(replica.try_next_part().is_none());
        Ok(())
    })
    .unwrap();
}

/// Outstanding attempts are cancelled, so that the replica need not run them.
#[test]
fn attempts_for_a_client_that_disconnected_are_cancelled() {
    on_one_thread(LIMIT, async {
        let ([mut a, mut b], _source, process) = two_replicas().await?;
        let client = send_query(&process, "view-1", Disconnect::ClosePipelined).await?;
        let part = tokio::select! {
            part = a.next_part() => part,
            part = b.next_part() => part,
        };
        disconnect(client, Disconnect::ClosePipelined)?;
        while a.cancelled.borrow().is_empty() && b.cancelled.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let cancelled = [a.cancelled.borrow().clone(), b.cancelled.borrow().clone()].concat();
        assert_eq!(cancelled, [part.id]);
        Ok(())
    })
    .unwrap();
}

/// A client that shuts down its writing side counts as disconnected, since the server can't distinguish this from a
/// close (docs/crossings.md).
#[test]
fn a_client_that_shuts_down_its_writing_side_counts_as_disconnected() {
    on_one_thread(LIMIT, async {
        let ([mut a, mut b], _source, process) = two_replicas().await?;
        let mut client = send_query(&process, "view-1", Disconnect::Close).await?;
        let first = tokio::select! {
            part = a.next_part() => part,
            part = b.next_part() => part,
        };
        client.shutdown().await?;
        wait_for_counter(&process, "queries client_gone", 1).await;
        first.fail();
        tokio::time::sleep(SETTLE_TIME).await;
        assert!(a.try_next_part().is_none() && b.try_next_part().is_none());
        Ok(())
    })
    .unwrap();
}
