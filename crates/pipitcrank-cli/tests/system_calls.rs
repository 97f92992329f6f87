//! System calls that fail as Linux documents, made to by a library loaded into the process under test (docs/rules.md, 17).

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

struct Scene {
    fleet: Fleet,
    process: Process,
    faults: ProcessFaults,
    _shim: FaultLibrary,
}

impl Scene {
    async fn start(seed: u64) -> Result<Scene> {
        let fleet = Fleet::start_with(seed, WORK, QueryLog::with_arrivals()).await?;
        let shim = FaultLibrary::build()?;
        let faults = shim.for_process("one", seed)?;
        let config = fleet.node_config(seed, 512, 3000)?;
        let process = Process::start_with(program(), config, faults.variables())?;
        process.wait_until_ready().await?;
        Ok(Scene { fleet, process, faults, _shim: shim })
    }

    /// So many requests, some at a time, on connections that are kept and on new ones.
    async fn asks(&self, name: &str, many: usize) -> QueryLog {
        let ledger = QueryLog::default();
        let kept = Clients::new(self.process.address, ledger.clone());
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..many {
            let new = Clients::new(self.process.address, ledger.clone());
            let clients = if n % 4 == 0 { new } else { kept.clone() };
            let question = question(&format!("view-{name}-{n}"));
            tasks.spawn_local(async move {
                clients.send(question).await;
            });
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while tasks.join_next().await.is_some() {}
        ledger
    }
}

fn question(id: &str) -> QueryRequest {
    let wait = Duration::from_secs(3);
    let text = "a text that is long enough to be read in several pieces".to_string();
    QueryRequest { id: id.to_string(), class: "view", shards: (0..6).collect(), wait, text }
}

fn all_merged(ledger: &QueryLog, many: usize, log: &str) {
    let ends = [QueryOutcome::Complete, QueryOutcome::Rejected, QueryOutcome::Aborted, QueryOutcome::Lost]
        .map(|end| ledger.count(end));
    let odd = ledger.unexpected_statuses();
    assert_eq!(ledger.count(QueryOutcome::Complete), many as u64, "{ends:?}, odd {odd}; {log}");
}

/// The runtime took a read that brought less than it asked for as the end of what was there, and waited for more to come.
#[test]
fn reads_and_writes_cut_short_lose_no_request() {
    on_one_thread(LIMIT, async {
        let scene = Scene::start(3).await?;
        scene.faults.set(SyscallFault::ShortRead, 0.1)?;
        scene.faults.set(SyscallFault::ShortWrite, 0.1)?;
        let ledger = scene.asks("short", 300).await;
        all_merged(&ledger, 300, &scene.process.log());
        assert_eq!(scene.fleet.query_log.parts_run_again(""), 0, "none had to be asked again");
        Ok(())
    })
    .unwrap();
}

/// A call interrupted by a signal was taken for a connection that broke, with the request that had been read on it.
#[test]
fn interrupted_calls_lose_no_request() {
    on_one_thread(LIMIT, async {
        let scene = Scene::start(4).await?;
        scene.faults.set(SyscallFault::Interrupt, 0.1)?;
        let ledger = scene.asks("interrupted", 300).await;
        all_merged(&ledger, 300, &scene.process.log());
        assert_eq!(scene.fleet.query_log.parts_run_again(""), 0, "none had to be asked again");
        Ok(())
    })
    .unwrap();
}

/// Accepts fail for a while: the time in the accept queue is the client's as well.
#[test]
fn a_request_that_waited_to_be_accepted_gets_no_more_time_than_its_client_has() {
    const SLACK: Duration = Duration::from_millis(150);
    on_one_thread(LIMIT, async {
        let scene = Scene::start(5).await?;
        scene.asks("before", 20).await;
        for (n, fails_for) in [250, 700].into_iter().enumerate() {
            let id = format!("view-waits-{n}");
            scene.faults.set(SyscallFault::Accept, 1.0)?;
            let ledger = QueryLog::default();
            let clients = Clients::new(scene.process.address, ledger.clone());
            let (asked, written) = (question(&id), Instant::now());
            let wait = asked.wait;
            let asking = tokio::task::spawn_local(async move { clients.send(asked).await });
            tokio::time::sleep(Duration::from_millis(fails_for)).await;
            scene.faults.set(SyscallFault::Accept, 0.0)?;
            asking.await?;
            all_merged(&ledger, 1, &scene.process.log());
            let arrivals = scene.fleet.query_log.arrivals();
            let came: Vec<_> = arrivals.iter().filter(|a| a.part.starts_with(&id)).collect();
            assert_eq!(came.len(), 6);
            for arrival in came {
                let left = (written + wait).saturating_duration_since(arrival.at);
                assert!(
                    arrival.stated_deadline <= left + SLACK,
                    "told {:?}, left {left:?}",
                    arrival.stated_deadline
                );
            }
        }
        Ok(())
    })
    .unwrap();
}

/// Calls that the old and the new replica got, in each stretch so long after the new one was listed.
async fn calls_after_a_step(step_s: f64, stretches: &[Duration]) -> Result<Vec<[usize; 2]>> {
    let (mut old, mut new) = (StandInReplica::start().await?, StandInReplica::start().await?);
    let source = ScriptedDiscovery::start(1, vec![row("old", old.address, 0, "active", 0)]).await?;
    let mut config = node_config(&source, 1, 256)?;
    config["settings"]["allowed"]["probing"] = false.into();
    config["settings"]["rules"] = serde_json::json!({"cold_from": 0.05, "cold_s": COLD.as_secs_f64(),
        "drain_grace_s": 2.0, "fall_s": 0.5, "overload_factor": 1.0});
    let shim = FaultLibrary::build()?;
    let faults = shim.for_process("one", 1)?;
    let process = Process::start_with(program(), config, faults.variables())?;
    process.wait_until_ready().await?;
    source.until_watched().await;
    let clients = Clients::new(process.address, QueryLog::default());
    let mut n = 0;
    let mut asks = async |old: &mut StandInReplica, new: &mut StandInReplica, lasts: Duration| {
        let (begun, mut counted) = (Instant::now(), [0, 0]);
        while begun.elapsed() < lasts {
            n += 1;
            let asked = QueryRequest { shards: vec![0], ..question(&format!("view-{n}")) };
            let asking = clients.send(asked);
            let mut asking = std::pin::pin!(asking);
            let call = tokio::select! {
                call = old.call() => { counted[0] += 1; call }
                call = new.call() => { counted[1] += 1; call }
                _ = &mut asking => continue,
            };
            call.answers();
            asking.await;
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        counted
    };
    asks(&mut old, &mut new, Duration::from_secs(1)).await;
    // All machines read the one clock: the new replica's start is told by it as it is now.
    faults.step_wall_clock(step_s)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as i64;
    let boot_ms = now + (step_s * 1000.0) as i64;
    let rows = [("old", old.address, 0), ("new", new.address, boot_ms)];
    source.holds(2, rows.map(|(name, at, boot)| row(name, at, 0, "active", boot)).to_vec());
    let mut counted = Vec::new();
    for &stretch in stretches {
        counted.push(asks(&mut old, &mut new, stretch).await);
    }
    Ok(counted)
}

const COLD: Duration = Duration::from_secs(3);

/// The wall clock steps, then a replica starts: its slow start is neither skipped nor lasts until the old time comes again.
#[test]
fn a_replica_that_starts_after_a_step_of_the_wall_clock_is_in_slow_start_for_its_time() {
    for step_s in [0.0, -3600.0, 3600.0, -2.0, 2.0] {
        on_one_thread(LIMIT, async {
            let stretches = [COLD / 4, COLD, Duration::from_secs(1)];
            let counted = calls_after_a_step(step_s, &stretches).await?;
            let share = |[old, new]: [usize; 2]| new as f64 / (old + new).max(1) as f64;
            assert!(share(counted[0]) < 0.25, "cold, {step_s} s: {counted:?}");
            assert!(share(counted[2]) > 0.25, "warm, {step_s} s: {counted:?}");
            Ok(())
        })
        .unwrap();
    }
}

/// Accepts fail as the listening ends, while new clients come fast: whoever was let connect is answered. The queue was looked
/// at until the first failure, each 50 ms, and closed in the end with clients in it.
#[test]
fn clients_in_the_accept_queue_are_answered_although_accepts_fail_at_the_end() {
    on_one_thread(LIMIT, async {
        let mut scene = Scene::start(6).await?;
        scene.asks("before", 20).await;
        scene.faults.set(SyscallFault::Accept, 0.6)?;
        let (ledger, address) = (QueryLog::default(), scene.process.address);
        let (mut tasks, begun, mut n) = (tokio::task::JoinSet::new(), Instant::now(), 0);
        let mut asked_to_end = false;
        let ended = loop {
            if let Some(status) = scene.process.exit_status() {
                break status;
            }
            assert!(begun.elapsed() < Duration::from_secs(12), "it does not end");
            if !asked_to_end && begun.elapsed() > Duration::from_millis(500) {
                scene.process.signal(Signal::TERM)?;
                asked_to_end = true;
            }
            n += 1;
            let clients = Clients::new(address, ledger.clone());
            let asked = QueryRequest { shards: vec![0], ..question(&format!("view-end-{n}")) };
            tasks.spawn_local(async move {
                clients.send(asked).await;
            });
            tokio::time::sleep(Duration::from_millis(4)).await;
        };
        while tasks.join_next().await.is_some() {}
        assert!(ended.success(), "{ended:?}");
        let [merged, refused, lost] =
            [QueryOutcome::Complete, QueryOutcome::ConnectionRefused, QueryOutcome::Lost]
                .map(|end| ledger.count(end));
        assert!(merged > 100 && refused > 0, "merged {merged}, refused {refused}, lost {lost}");
        // One may connect in the very moment in which the listener closes.
        assert!(lost <= 1, "{lost} of {n} got nothing; {}", scene.process.log());
        Ok(())
    })
    .unwrap();
}

/// What fails for a moment as a process starts is tried again: its configuration can't be opened, its address is still taken.
#[test]
fn a_start_is_not_refused_for_calls_that_fail_for_a_while() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(7, WORK).await?;
        let shim = FaultLibrary::build()?;
        let faults = shim.for_process("one", 7)?;
        for (fault, share) in
            [(SyscallFault::Bind, 0.9), (SyscallFault::Socket, 0.5), (SyscallFault::Open, 0.9)]
        {
            faults.set(fault, share)?;
        }
        let config = fleet.node_config(7, 512, 3000)?;
        let mut process = Process::start_with(program(), config, faults.variables())?;
        let up = tokio::time::timeout(Duration::from_secs(10), process.wait_until_ready()).await;
        let ended = process.exit_status();
        assert!(matches!(up, Ok(Ok(()))) && ended.is_none(), "{ended:?}; {}", process.log());
        Ok(())
    })
    .unwrap();
}

/// SIGHUP comes while the new configuration can't be opened: it is read as soon as it can be.
#[test]
fn a_new_configuration_that_can_not_be_read_at_once_takes_effect_all_the_same() {
    on_one_thread(LIMIT, async {
        let replica = StandInReplica::start().await?;
        let rows = || vec![row("a", replica.address, 0, "active", 0)];
        let (old, new) =
            (ScriptedDiscovery::start(1, rows()).await?, ScriptedDiscovery::start(1, rows()).await?);
        let shim = FaultLibrary::build()?;
        let faults = shim.for_process("one", 8)?;
        let process = Process::start_with(program(), node_config(&old, 1, 256)?, faults.variables())?;
        process.wait_until_ready().await?;
        old.until_watched().await;
        faults.set(SyscallFault::Open, 1.0)?;
        process.override_node_config("/discovery", new.address.to_string().into())?;
        process.signal(Signal::HUP)?;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(new.calls(), 0);
        faults.set(SyscallFault::Open, 0.0)?;
        let watched = tokio::time::timeout(Duration::from_secs(2), new.until_watched()).await;
        assert!(watched.is_ok(), "discovery has not moved; {}", process.log());
        Ok(())
    })
    .unwrap();
}
