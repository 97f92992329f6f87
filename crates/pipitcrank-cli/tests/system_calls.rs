//! System calls that fail in ways documented for Linux. A library loaded into the process under test injects the
//! faults (docs/rules.md, 17).

mod stand_ins;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use pipitcrank_testkit::client::{Clients, QueryRequest};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::fleet::Fleet;
use pipitcrank_testkit::process::Process;
use pipitcrank_testkit::query_log::{QueryLog, QueryOutcome};
use pipitcrank_testkit::replica::Work;
use pipitcrank_testkit::syscall_faults::{FaultLibrary, ProcessFaults, SyscallFault};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use stand_ins::{ScriptedDiscovery, StandInReplica, node_config, program};

const LIMIT: Duration = Duration::from_secs(90);
const WORK: Work = Work { mean_time: Duration::from_millis(4), concurrency: 32 };

struct Fixture {
    fleet: Fleet,
    process: Process,
    faults: ProcessFaults,
    _library: FaultLibrary,
}

impl Fixture {
    async fn start(seed: u64) -> Result<Fixture> {
        let fleet = Fleet::start_with(seed, WORK, QueryLog::with_arrivals()).await?;
        let library = FaultLibrary::build()?;
        let faults = library.for_process("one", seed)?;
        let config = fleet.node_config(seed, 512, 3000)?;
        let process = Process::start_with(program(), config, faults.variables())?;
        process.wait_until_ready().await?;
        Ok(Fixture { fleet, process, faults, _library: library })
    }

    /// Sends `count` concurrent queries on kept and on new connections, and returns their outcomes.
    async fn send_queries(&self, name: &str, count: usize) -> QueryLog {
        let query_log = QueryLog::default();
        let shared_clients = Clients::new(self.process.address, query_log.clone());
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..count {
            let new = Clients::new(self.process.address, query_log.clone());
            let clients = if n % 4 == 0 { new } else { shared_clients.clone() };
            let query_request = query_request(&format!("view-{name}-{n}"));
            tasks.spawn_local(async move {
                clients.send(query_request).await;
            });
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while tasks.join_next().await.is_some() {}
        query_log
    }
}

fn query_request(id: &str) -> QueryRequest {
    let wait = Duration::from_secs(3);
    let text = "a text that is long enough to be read in several pieces".to_string();
    QueryRequest { id: id.to_string(), class: "view", shards: (0..6).collect(), wait, text }
}

fn assert_all_complete(query_log: &QueryLog, count: usize, log: &str) {
    let outcomes =
        [QueryOutcome::Complete, QueryOutcome::Rejected, QueryOutcome::Aborted, QueryOutcome::Lost]
            .map(|outcome| query_log.count(outcome));
    let unexpected = query_log.unexpected_statuses();
    assert_eq!(
        query_log.count(QueryOutcome::Complete),
        count as u64,
        "complete, rejected, aborted, lost: {outcomes:?}; unexpected: {unexpected}; {log}"
    );
}

/// Guards against a runtime that treats a short read as the end of the available bytes and waits for more to arrive.
#[test]
fn reads_and_writes_cut_short_lose_no_request() {
    on_one_thread(LIMIT, async {
        let fixture = Fixture::start(3).await?;
        fixture.faults.set(SyscallFault::ShortRead, 0.1)?;
        fixture.faults.set(SyscallFault::ShortWrite, 0.1)?;
        let query_log = fixture.send_queries("short", 300).await;
        assert_all_complete(&query_log, 300, &fixture.process.log());
        assert_eq!(fixture.fleet.query_log.parts_run_again(""), 0, "no part was repeated");
        Ok(())
    })
    .unwrap();
}

/// Guards against treating an interrupted system call as a broken connection, which loses the request read from it.
#[test]
fn interrupted_calls_lose_no_request() {
    on_one_thread(LIMIT, async {
        let fixture = Fixture::start(4).await?;
        fixture.faults.set(SyscallFault::Interrupt, 0.1)?;
        let query_log = fixture.send_queries("interrupted", 300).await;
        assert_all_complete(&query_log, 300, &fixture.process.log());
        assert_eq!(fixture.fleet.query_log.parts_run_again(""), 0, "no part was repeated");
        Ok(())
    })
    .unwrap();
}

/// Accepts fail for a while. The time that a request spends in the accept queue counts towards its deadline.
#[test]
fn time_in_the_accept_queue_counts_towards_the_deadline() {
    const SLACK: Duration = Duration::from_millis(150);
    on_one_thread(LIMIT, async {
        let fixture = Fixture::start(5).await?;
        fixture.send_queries("before", 20).await;
        for (n, fails_for) in [250, 700].into_iter().enumerate() {
            let id = format!("view-waits-{n}");
            fixture.faults.set(SyscallFault::Accept, 1.0)?;
            let query_log = QueryLog::default();
            let clients = Clients::new(fixture.process.address, query_log.clone());
            let (query, written) = (query_request(&id), Instant::now());
            let wait = query.wait;
            let pending_query = tokio::task::spawn_local(async move { clients.send(query).await });
            tokio::time::sleep(Duration::from_millis(fails_for)).await;
            fixture.faults.set(SyscallFault::Accept, 0.0)?;
            pending_query.await?;
            assert_all_complete(&query_log, 1, &fixture.process.log());
            let arrivals = fixture.fleet.query_log.arrivals();
            let part_arrivals: Vec<_> = arrivals.iter().filter(|a| a.part.starts_with(&id)).collect();
            assert_eq!(part_arrivals.len(), 6);
            for arrival in part_arrivals {
                let time_left = (written + wait).saturating_duration_since(arrival.at);
                assert!(
                    arrival.stated_deadline <= time_left + SLACK,
                    "stated {:?}, client has {time_left:?}",
                    arrival.stated_deadline
                );
            }
        }
        Ok(())
    })
    .unwrap();
}

/// Numbers of parts that the old and the new replica received in each of the intervals after the new one was listed,
/// which happens after a step of the wall clock.
async fn parts_after_clock_step(step_s: f64, intervals: &[Duration]) -> Result<Vec<[usize; 2]>> {
    let (mut old, mut new) = (StandInReplica::start().await?, StandInReplica::start().await?);
    let source = ScriptedDiscovery::start(1, vec![row("old", old.address, 0, "active", 0)]).await?;
    let mut config = node_config(&source, 1, 256)?;
    config["settings"]["allowed"]["probing"] = false.into();
    config["settings"]["rules"] = serde_json::json!({"cold_from": 0.05, "cold_s": SLOW_START.as_secs_f64(),
        "drain_grace_s": 2.0, "fall_s": 0.5, "overload_factor": 1.0});
    let library = FaultLibrary::build()?;
    let faults = library.for_process("one", 1)?;
    let process = Process::start_with(program(), config, faults.variables())?;
    process.wait_until_ready().await?;
    source.wait_for_watch().await;
    let clients = Clients::new(process.address, QueryLog::default());
    let mut n = 0;
    let mut send_queries = async |old: &mut StandInReplica, new: &mut StandInReplica, duration: Duration| {
        let (started_at, mut counts) = (Instant::now(), [0, 0]);
        while started_at.elapsed() < duration {
            n += 1;
            let query = QueryRequest { shards: vec![0], ..query_request(&format!("view-{n}")) };
            let pending_query = clients.send(query);
            let mut pending_query = std::pin::pin!(pending_query);
            let part = tokio::select! {
                part = old.next_part() => { counts[0] += 1; part }
                part = new.next_part() => { counts[1] += 1; part }
                _ = &mut pending_query => continue,
            };
            part.answer();
            pending_query.await;
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        counts
    };
    send_queries(&mut old, &mut new, Duration::from_secs(1)).await;
    // All machines share this clock, so the start time of the new replica is given by the stepped clock.
    faults.step_wall_clock(step_s)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as i64;
    let boot_ms = now + (step_s * 1000.0) as i64;
    let rows = [("old", old.address, 0), ("new", new.address, boot_ms)];
    source.set_list(2, rows.map(|(name, at, boot)| row(name, at, 0, "active", boot)).to_vec());
    let mut counts = Vec::new();
    for &interval in intervals {
        counts.push(send_queries(&mut old, &mut new, interval).await);
    }
    Ok(counts)
}

const SLOW_START: Duration = Duration::from_secs(3);

/// The wall clock steps, then a replica starts. Its slow start must neither be skipped nor be extended by the step.
#[test]
fn slow_start_is_unaffected_by_a_step_of_the_wall_clock() {
    for step_s in [0.0, -3600.0, 3600.0, -2.0, 2.0] {
        on_one_thread(LIMIT, async {
            let intervals = [SLOW_START / 4, SLOW_START, Duration::from_secs(1)];
            let counts = parts_after_clock_step(step_s, &intervals).await?;
            let fraction = |[old, new]: [usize; 2]| new as f64 / (old + new).max(1) as f64;
            assert!(fraction(counts[0]) < 0.25, "in slow start, clock step {step_s} s: {counts:?}");
            assert!(fraction(counts[2]) > 0.25, "after slow start, clock step {step_s} s: {counts:?}");
            Ok(())
        })
        .unwrap();
    }
}

/// Accepts fail during shutdown while new clients keep connecting. Every connected client must get an answer. An
/// earlier version emptied the accept queue every 50 ms only up to the first failure, and closed it with clients left
/// in it.
#[test]
fn queued_clients_are_answered_although_accepts_fail_during_shutdown() {
    on_one_thread(LIMIT, async {
        let mut fixture = Fixture::start(6).await?;
        fixture.send_queries("before", 20).await;
        fixture.faults.set(SyscallFault::Accept, 0.6)?;
        let (query_log, address) = (QueryLog::default(), fixture.process.address);
        let (mut tasks, started_at, mut n) = (tokio::task::JoinSet::new(), Instant::now(), 0);
        let mut signalled = false;
        let exit_status = loop {
            if let Some(status) = fixture.process.exit_status() {
                break status;
            }
            assert!(started_at.elapsed() < Duration::from_secs(12), "the process does not exit");
            if !signalled && started_at.elapsed() > Duration::from_millis(500) {
                fixture.process.signal(Signal::TERM)?;
                signalled = true;
            }
            n += 1;
            let clients = Clients::new(address, query_log.clone());
            let query = QueryRequest { shards: vec![0], ..query_request(&format!("view-end-{n}")) };
            tasks.spawn_local(async move {
                clients.send(query).await;
            });
            tokio::time::sleep(Duration::from_millis(4)).await;
        };
        while tasks.join_next().await.is_some() {}
        assert!(exit_status.success(), "{exit_status:?}");
        let [merged, refused, lost] =
            [QueryOutcome::Complete, QueryOutcome::ConnectionRefused, QueryOutcome::Lost]
                .map(|outcome| query_log.count(outcome));
        assert!(merged > 100 && refused > 0, "complete {merged}, refused {refused}, lost {lost}");
        // One client may connect just as the listener closes.
        assert!(lost <= 1, "{lost} of {n} clients got no answer; {}", fixture.process.log());
        Ok(())
    })
    .unwrap();
}

/// System calls that fail temporarily at start are retried, such as opening the configuration or binding the address.
#[test]
fn a_start_succeeds_although_system_calls_fail_temporarily() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(7, WORK).await?;
        let library = FaultLibrary::build()?;
        let faults = library.for_process("one", 7)?;
        for (fault, fraction) in
            [(SyscallFault::Bind, 0.9), (SyscallFault::Socket, 0.5), (SyscallFault::Open, 0.9)]
        {
            faults.set(fault, fraction)?;
        }
        let config = fleet.node_config(7, 512, 3000)?;
        let mut process = Process::start_with(program(), config, faults.variables())?;
        let up = tokio::time::timeout(Duration::from_secs(10), process.wait_until_ready()).await;
        let exit_status = process.exit_status();
        assert!(matches!(up, Ok(Ok(()))) && exit_status.is_none(), "{exit_status:?}; {}", process.log());
        Ok(())
    })
    .unwrap();
}

/// The new configuration can't be opened when SIGHUP arrives. It is read as soon as it can be opened.
#[test]
fn a_new_configuration_is_read_later_if_it_can_not_be_opened_at_once() {
    on_one_thread(LIMIT, async {
        let replica = StandInReplica::start().await?;
        let rows = || vec![row("a", replica.address, 0, "active", 0)];
        let (old, new) =
            (ScriptedDiscovery::start(1, rows()).await?, ScriptedDiscovery::start(1, rows()).await?);
        let library = FaultLibrary::build()?;
        let faults = library.for_process("one", 8)?;
        let process = Process::start_with(program(), node_config(&old, 1, 256)?, faults.variables())?;
        process.wait_until_ready().await?;
        old.wait_for_watch().await;
        faults.set(SyscallFault::Open, 1.0)?;
        process.override_node_config("/discovery", new.address.to_string().into())?;
        process.signal(Signal::HUP)?;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(new.call_count(), 0);
        faults.set(SyscallFault::Open, 0.0)?;
        let watch_opened = tokio::time::timeout(Duration::from_secs(2), new.wait_for_watch()).await;
        assert!(watch_opened.is_ok(), "the new discovery address is not used; {}", process.log());
        Ok(())
    })
    .unwrap();
}
