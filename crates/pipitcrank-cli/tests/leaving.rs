//! After a client closed no attempt for it begins more than 0.1 s later, and none that waited is sent on 0.3 s later. Each
//! test forces the order: stand-ins hold what they would say, connections come up when let, the process stands still when
//! told to.

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
/// Well past the longest time after which an attempt may still begin, and past its own way.
const LONG: Duration = Duration::from_millis(900);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closes,
    Resets,
    /// With more bytes behind its request than are read with it.
    ClosesBehindBytes,
    /// With further requests behind it.
    ClosesPipelined,
}

const WAYS: [Disconnect; 4] =
    [Disconnect::Closes, Disconnect::Resets, Disconnect::ClosesBehindBytes, Disconnect::ClosesPipelined];

/// Asks as that client does.
async fn asks(process: &Process, id: &str, how: Disconnect) -> Result<TcpStream> {
    let mut stream = connect(process.address).await?;
    let mut bytes = one_part_query(id).request().into_bytes();
    match how {
        Disconnect::ClosesBehindBytes => bytes.extend(vec![b'x'; 100_000]),
        Disconnect::ClosesPipelined => {
            (0..300).for_each(|n| bytes.extend(one_part_query(&format!("{id}-{n}")).request().into_bytes()));
        }
        _ => {}
    }
    stream.write_all(&bytes).await?;
    Ok(stream)
}

fn disconnect(stream: TcpStream, how: Disconnect) -> Result<()> {
    if matches!(how, Disconnect::Resets) {
        stream.set_zero_linger()?;
    }
    drop(stream);
    Ok(())
}

async fn counted(process: &Process, what: &str, wanted: u64) {
    let begun = Instant::now();
    while process.counter(what).await != Some(wanted) {
        let counters = get(process.address, "/counters").await.map(|a| a.body);
        assert!(begun.elapsed() < LIMIT / 4, "{what} is not {wanted}: {counters:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Two replicas that hold the one shard.
async fn two_replicas() -> Result<([StandInReplica; 2], ScriptedDiscovery, Process)> {
    let replicas = [StandInReplica::start().await?, StandInReplica::start().await?];
    let [a, b] = [&replicas[0], &replicas[1]].map(|l| l.address);
    let source =
        ScriptedDiscovery::start(1, vec![row("a", a, 0, "active", 0), row("b", b, 0, "active", 0)]).await?;
    let mut config = node_config(&source, 1, 256)?;
    // Probes would hold up what is forced to come at once.
    config["settings"]["allowed"]["probing"] = false.into();
    let process = Process::start(program(), config, None).await?;
    Ok((replicas, source, process))
}

#[test]
fn whoever_has_closed_gets_no_retry() {
    for how in WAYS {
        on_one_thread(LIMIT, async {
            let ([mut a, mut b], _source, process) = two_replicas().await?;
            let client = asks(&process, "view-1", how).await?;
            let first = tokio::select! {
                call = a.call() => call,
                call = b.call() => call,
            };
            disconnect(client, how)?;
            counted(&process, "queries client_gone", 1).await;
            first.fails();
            tokio::time::sleep(LONG).await;
            assert!(a.came().is_none() && b.came().is_none(), "a retry for a client that left: {how:?}");
            Ok(())
        })
        .unwrap();
    }
}

/// The end of a chunked body is the library's to find; with bytes behind it that the library could not use yet, the close
/// behind those was not seen before the answer.
#[test]
fn whoever_has_closed_behind_a_chunked_body_gets_no_retry() {
    for (behind, resets) in [(0, false), (10, false), (100_000, false), (100_000, true)] {
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
                "x".repeat(behind)
            );
            client.write_all(request.as_bytes()).await?;
            let first = tokio::select! {
                call = a.call() => call,
                call = b.call() => call,
            };
            if resets {
                client.set_zero_linger()?;
            }
            drop(client);
            counted(&process, "queries client_gone", 1).await;
            first.fails();
            tokio::time::sleep(LONG).await;
            assert!(a.came().is_none() && b.came().is_none(), "a retry for a client that left: {behind}");
            Ok(())
        })
        .unwrap();
    }
}

/// Where calls may be cancelled, and where not: there nothing ends the call but the last look before its first byte, and by
/// then another query has the place of the one that ended. Its call went out, under the other's key.
#[test]
fn whoever_has_closed_while_its_call_waited_for_a_connection_is_not_sent_on() {
    for (how, cancel) in WAYS.into_iter().zip([true, true, false, true]).chain([(Disconnect::Closes, false)])
    {
        on_one_thread(LIMIT, async {
            let late = SlowListener::start().await?;
            let source = ScriptedDiscovery::start(1, vec![row("a", late.address, 0, "active", 0)]).await?;
            let mut config = node_config(&source, 1, 256)?;
            let allowed = &mut config["settings"]["allowed"];
            (allowed["dial_timeout_s"], allowed["probing"]) = (3.5.into(), false.into());
            allowed["cancel"] = cancel.into();
            let process = Process::start(program(), config, None).await?;
            let client = asks(&process, "view-1", how).await?;
            counted(&process, "queries taken", 1).await;
            // Its call waits.
            tokio::time::sleep(Duration::from_millis(50)).await;
            disconnect(client, how)?;
            counted(&process, "queries client_gone", 1).await;
            let mut other = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
            let mut asking = std::pin::pin!(other.send_in_pieces(one_part_query("view-2"), &[]));
            tokio::select! {
                () = counted(&process, "queries taken", 2) => {}
                how = &mut asking => panic!("{how:?}: {}", process.log()),
            }
            // Connections come up a second after they were begun.
            let mut replica = late.let_up();
            let call = tokio::select! {
                call = replica.call() => call,
                how = &mut asking => panic!("{how:?}: {}", process.log()),
            };
            assert!(call.id.starts_with("view-2"), "{} was sent on: {how:?}, {cancel}", call.id);
            call.answers();
            assert_eq!(asking.await, QueryOutcome::Complete);
            tokio::time::sleep(LONG).await;
            assert!(replica.came().is_none(), "{how:?}");
            Ok(())
        })
        .unwrap();
    }
}

/// Connections to both replicas are up, so that nothing holds up a call.
async fn warm(process: &Process, a: &mut StandInReplica, b: &mut StandInReplica, name: &str) -> Result<()> {
    let mut warm = DedicatedConnection::connect(process.address, QueryLog::default()).await?;
    let (mut at_a, mut at_b) = (false, false);
    for n in 0.. {
        let mut asking =
            std::pin::pin!(warm.send_in_pieces(one_part_query(&format!("{name}-warm-{n}")), &[]));
        tokio::select! {
            call = a.call() => { at_a = true; call.answers() }
            call = b.call() => { at_b = true; call.answers() }
            how = &mut asking => panic!("{how:?}"),
        }
        asking.as_mut().await;
        if at_a && at_b {
            break;
        }
    }
    Ok(())
}

/// What falls due while the process stands still, beside the client's close: on waking both lie there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    /// The replica says that it failed: a retry.
    Failure,
    /// The replica says nothing for long: a hedged request.
    Hedge,
}

fn a_close_goes_first(due: Due) {
    on_one_thread(LIMIT, async {
        for round in 0..8 {
            let ([mut a, mut b], _source, process) = two_replicas().await?;
            warm(&process, &mut a, &mut b, &format!("view-{round}")).await?;
            let client = asks(&process, &format!("view-{round}"), Disconnect::Closes).await?;
            let first = tokio::select! {
                call = a.call() => call,
                call = b.call() => call,
            };
            process.signal(Signal::STOP)?;
            // Either may lie there first.
            if due == Due::Failure && round % 2 == 0 {
                first.fails();
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            disconnect(client, Disconnect::Closes)?;
            tokio::time::sleep(Duration::from_millis(20)).await;
            if due == Due::Failure && round % 2 == 1 {
                first.fails();
            }
            // Past the moment in which a hedged request is due, before the latency objective of 1 s.
            tokio::time::sleep(Duration::from_millis(700)).await;
            process.signal(Signal::CONT)?;
            counted(&process, "queries client_gone", 1).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            let more = a.came().or(b.came()).map(|c| c.id);
            assert_eq!(more, None, "for a client that left, round {round}, {due:?}");
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_close_during_a_standstill_goes_before_the_retry() {
    a_close_goes_first(Due::Failure);
}

#[test]
fn a_close_during_a_standstill_goes_before_the_hedged_request() {
    a_close_goes_first(Due::Hedge);
}

/// A client that asked and closed at once, by hundreds: none that was not sent on by then is.
#[test]
fn a_burst_of_closes_leaves_nothing_waiting() {
    on_one_thread(LIMIT, async {
        let late = SlowListener::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", late.address, 0, "active", 0)]).await?;
        let mut config = node_config(&source, 1, 1024)?;
        config["settings"]["allowed"]["dial_timeout_s"] = 3.5.into();
        config["settings"]["allowed"]["probing"] = false.into();
        let process = Process::start(program(), config, None).await?;
        let mut clients = Vec::new();
        for n in 0..200 {
            clients.push(asks(&process, &format!("view-{n}"), Disconnect::Closes).await?);
        }
        counted(&process, "queries taken", 200).await;
        for client in clients {
            disconnect(client, Disconnect::Closes)?;
        }
        // Some had been given up on, as they had waited for long.
        let ended = async || {
            let gone = process.counter("queries client_gone").await.unwrap_or(0);
            gone + process.counter("queries rejected").await.unwrap_or(0)
        };
        while ended().await < 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(process.counter("queries client_gone").await > Some(0));
        let mut replica = late.let_up();
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert!(replica.came().is_none());
        Ok(())
    })
    .unwrap();
}

/// What is out already is given up, so that the replica need not run it.
#[test]
fn attempts_for_a_client_that_left_are_cancelled() {
    on_one_thread(LIMIT, async {
        let ([mut a, mut b], _source, process) = two_replicas().await?;
        let client = asks(&process, "view-1", Disconnect::ClosesPipelined).await?;
        let call = tokio::select! {
            call = a.call() => call,
            call = b.call() => call,
        };
        disconnect(client, Disconnect::ClosesPipelined)?;
        while a.cancelled.borrow().is_empty() && b.cancelled.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let given_up = [a.cancelled.borrow().clone(), b.cancelled.borrow().clone()].concat();
        assert_eq!(given_up, [call.id]);
        Ok(())
    })
    .unwrap();
}

/// A client that shuts its writing side has closed: the protocol has one word for both (docs/crossings.md).
#[test]
fn a_client_that_shuts_its_writing_side_has_left() {
    on_one_thread(LIMIT, async {
        let ([mut a, mut b], _source, process) = two_replicas().await?;
        let mut client = asks(&process, "view-1", Disconnect::Closes).await?;
        let first = tokio::select! {
            call = a.call() => call,
            call = b.call() => call,
        };
        client.shutdown().await?;
        counted(&process, "queries client_gone", 1).await;
        first.fails();
        tokio::time::sleep(LONG).await;
        assert!(a.came().is_none() && b.came().is_none());
        Ok(())
    })
    .unwrap();
}
