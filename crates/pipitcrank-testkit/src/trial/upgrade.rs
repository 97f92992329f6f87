//! Upgrades under load, plain ones and such that go wrong at every step, with the same load without any and with plain
//! restarts beside it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use serde_json::json;

use crate::client::{Clients, DedicatedConnection, QueryRequest, get};
use crate::fleet::{Fleet, Load};
use crate::outcome::Outcome;
use crate::process::{Process, ResourceUsage, UpgradeTimes, signal_worker};
use crate::query_log::{QueryLog, QueryOutcome};
use crate::replica::{ReplicaBehavior, Work};

/// Queries a second; a debug build serves them as well.
const RATE: f64 = 150.0;
/// Of a part; sixteen at once at each replica.
const USUAL: Work = Work { usual: Duration::from_millis(8), at_once: 16 };
/// Twelve replicas that do 600 parts a second, some 110 queries: with twice as many asked they are overloaded.
const SCARCE: Work = Work { usual: Duration::from_millis(40), at_once: 2 };
const OVERLOAD: f64 = 220.0;
/// Of sales, the share that is in flight through most of a passing: one or two at any time. With many more the
/// module takes their replicas to lag.
const SLOW_SALES: f64 = 0.03;
/// Kept connections that rest where a process is killed: some of them with it, whatever the load takes from them.
const RESTING: usize = 40;
/// Connections that were asked on once and stay, and go on being used once a round.
const IDLE: usize = 200;
const STEPS: UpgradeTimes = UpgradeTimes { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
/// Restarts beside it: each loses its queries in the same way.
const RESTARTS: u32 = 2;
const QUIET_S: f64 = 5.0;

/// What happens in one round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Round {
    Plain,
    /// The new process is killed so many milliseconds into its trial.
    NewCrashes(u64),
    /// The new process stands still in its trial.
    NewHangs,
    NoProgram,
    NotExecutable,
    /// The program does nothing.
    HangsBeforeReady,
    CrashesBeforeReady,
    FaultyCharter,
    /// A program that says what no worker says.
    Noise,
    AskedTwice,
    Reloaded,
    /// A replica drains the moment before.
    Drained,
    /// The old process is killed in the trial: what it held is lost with it, and is counted apart. Connections rest there
    /// then, so that the kill closes some each time.
    OldKilled,
}

impl Round {
    /// Upgrades that come about, and that do not.
    fn ends(self) -> (u64, u64) {
        match self {
            Round::Plain | Round::Reloaded | Round::Drained | Round::OldKilled => (1, 0),
            Round::AskedTwice => (1, 1),
            _ => (0, 1),
        }
    }
}

/// Not `OldKilled`, which loses what the old process held.
const KINDS: [Round; 12] = [
    Round::Plain,
    Round::NewCrashes(0),
    Round::NewHangs,
    Round::NoProgram,
    Round::NotExecutable,
    Round::HangsBeforeReady,
    Round::CrashesBeforeReady,
    Round::FaultyCharter,
    Round::Noise,
    Round::AskedTwice,
    Round::Reloaded,
    Round::Drained,
];

/// Each kind comes up as rounds go on; the order is the seed's.
fn script(rng: &mut Pcg64, rounds: u32) -> Vec<Round> {
    let mut kinds = KINDS;
    let mut script = Vec::new();
    while script.len() < rounds as usize {
        kinds.shuffle(rng);
        // Every second one is plain: what goes wrong happens on a chain of upgrades that did not.
        script.extend(kinds.iter().flat_map(|k| [*k, Round::Plain]));
    }
    script.truncate(rounds as usize);
    for round in &mut script {
        if *round == Round::NewCrashes(0) {
            *round = Round::NewCrashes(rng.random_range(1..500));
        }
    }
    script
}

/// Longest time in which nobody answered a client that had just connected.
struct AcceptProbe {
    longest: Rc<Cell<Duration>>,
    refused: Rc<Cell<u64>>,
    task: tokio::task::JoinHandle<()>,
}

impl AcceptProbe {
    fn watch(address: SocketAddr) -> AcceptProbe {
        let (longest, refused) = (Rc::new(Cell::new(Duration::ZERO)), Rc::new(Cell::new(0)));
        let (most, no) = (longest.clone(), refused.clone());
        let task = tokio::task::spawn_local(async move {
            loop {
                let asked = Instant::now();
                match get(address, "/up").await {
                    Some(_) => most.set(most.get().max(asked.elapsed())),
                    None => no.set(no.get() + 1),
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        AcceptProbe { longest, refused, task }
    }
}

impl Drop for AcceptProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Most memory and descriptors held, of all its processes together.
#[derive(Clone, Default)]
struct PeakUsage(Rc<Cell<ResourceUsage>>);

impl PeakUsage {
    fn observe(&self, usage: ResourceUsage) {
        let peak = self.0.get();
        self.0.set(ResourceUsage {
            memory_kb: peak.memory_kb.max(usage.memory_kb),
            descriptors: peak.descriptors.max(usage.descriptors),
        });
    }
}

/// All kinds in the seed's order, or one kind alone where it is named; beside it the same load without upgrades, and
/// with restarts.
pub async fn play(
    program: &Path,
    seed: u64,
    rounds: u32,
    only: Option<&str>,
    verbose: bool,
) -> Result<Outcome> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let script = match only {
        None => script(&mut rng, rounds),
        Some(only) => {
            let named = |r: &&Round| format!("{r:?}").to_lowercase().starts_with(&only.to_lowercase());
            let kind = *KINDS.iter().find(named).with_context(|| format!("no round is named {only}"))?;
            vec![kind; rounds as usize]
        }
    };
    let mut outcome = run_rounds(program, seed, &script, (USUAL, RATE, IDLE), verbose).await?;
    restarts(program, seed, &mut outcome).await?;
    Ok(outcome)
}

/// Upgrades of one kind under the usual load.
pub async fn rounds_of(program: &Path, seed: u64, script: &[Round]) -> Result<Outcome> {
    run_rounds(program, seed, script, (USUAL, RATE, IDLE), false).await
}

/// Plain upgrades while twice as much is asked as the replicas can do. No idle clients: with places short they give way, as
/// they do without an upgrade.
pub async fn overloaded(program: &Path, seed: u64, rounds: u32) -> Result<Outcome> {
    run_rounds(program, seed, &vec![Round::Plain; rounds as usize], (SCARCE, OVERLOAD, 0), false).await
}

async fn run_rounds(
    program: &Path,
    seed: u64,
    script: &[Round],
    (work, rate, idle_clients): (Work, f64, usize),
    verbose: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut rng = Pcg64::seed_from_u64(seed ^ 5);
    let rounds = script.len() as u32;
    let fleet = Fleet::start(seed, work).await?;
    let mut process = Process::start(program, fleet.node_config(seed, 1024, 3000)?, STEPS.file()).await?;
    let quiet = {
        let clients = Clients::new(process.address, QueryLog::default());
        let load = Load::start("quiet", seed ^ 1, rate, SLOW_SALES, clients.clone());
        tokio::time::sleep(Duration::from_secs_f64(QUIET_S)).await;
        load.stop().await?;
        clients.query_log
    };
    let before = process.resource_usage();

    let clients = Clients::new(process.address, fleet.query_log.clone());
    let mut idle = Vec::new();
    for n in 0..idle_clients {
        let mut connection = DedicatedConnection::connect(process.address, fleet.query_log.clone()).await?;
        let ended = connection.ask_in_pieces(QueryRequest::short(&format!("view-idle{n}-0")), &[]).await;
        ensure!(ended == QueryOutcome::Complete, "a client's first query: {ended}");
        idle.push(connection);
    }
    let accepts = AcceptProbe::watch(process.address);
    let load = Load::start("load", seed ^ 2, rate, SLOW_SALES, clients.clone());
    let (mut done, mut undone) = (0, 0);
    let peak = PeakUsage::default();
    for (n, round) in script.iter().enumerate() {
        if verbose {
            let (all, rejected) = (fleet.query_log.total(), fleet.query_log.count(QueryOutcome::Rejected));
            println!("round {:>3}: {round:?}, after {all} queries, {rejected} rejected", n + 1);
        }
        let halves = half_written(&process, &fleet.query_log, n, &mut rng);
        if *round == Round::OldKilled {
            clients.rest(&format!("rest{n}"), RESTING).await;
        }
        play_round(&mut process, &fleet, &clients, *round, &peak).await.with_context(|| {
            let log = process.log();
            let tail: Vec<&str> = log.lines().rev().take(40).collect();
            format!(
                "round {}, {round:?}; its log ends: {}",
                n + 1,
                tail.into_iter().rev().collect::<Vec<_>>().join("\n")
            )
        })?;
        let (more_done, more_undone) = round.ends();
        (done, undone) = (done + more_done, undone + more_undone);
        for half in halves {
            let ended = half.await?;
            let answered = matches!(ended, QueryOutcome::Complete | QueryOutcome::Rejected)
                || *round == Round::OldKilled;
            outcome.promise(answered, &format!("round {}: a request in pieces ended {ended}", n + 1));
        }
        for (m, connection) in idle.iter_mut().enumerate().skip(n % 10).step_by(10) {
            connection.ask_in_pieces(QueryRequest::short(&format!("view-idle{m}-{}", n + 1)), &[]).await;
        }
    }
    let asked_done = (process.counter("upgrades done").await, process.counter("upgrades undone").await);
    load.stop().await?;
    let after = process.resource_usage();
    let query_log = &fleet.query_log;

    outcome.figure("rounds", rounds);
    outcome.figure("upgrades done", asked_done.0.unwrap_or(0) as f64);
    outcome.figure("upgrades undone", asked_done.1.unwrap_or(0) as f64);
    outcome.promise(
        asked_done == (Some(done), Some(undone)),
        &format!("upgrades done and undone are {asked_done:?}, not {:?}", (done, undone)),
    );
    outcome.figure("queries", query_log.total() as f64);
    // What a killed process held is lost with it, and no duty of who goes on.
    let killed = script.contains(&Round::OldKilled);
    let lost = query_log.count(QueryOutcome::Lost);
    outcome.expect_zero("lost", query_log.open() + if killed { 0 } else { lost });
    if killed {
        outcome.figure("lost with a killed process", lost as f64);
    }
    outcome.expect_zero("refused connections", query_log.count(QueryOutcome::ConnectionRefused));
    outcome.expect_zero("tries to connect without an answer", if killed { 0 } else { accepts.refused.get() });
    outcome.expect_once_each(query_log);
    let closed = idle.iter().filter(|l| l.is_closed()).count() as u64;
    if killed {
        outcome.figure("idle connections closed by the kill", closed as f64);
    } else {
        outcome.expect_zero("idle connections closed", closed);
    }
    outcome.expect_zero("kept connections closed", clients.closed.get());
    if killed {
        let by_kill = clients.closed_by_kill.get();
        outcome.figure("kept connections closed by the kill", by_kill as f64);
        outcome.promise(by_kill > 0, "none of the connections that rested was closed by the kill");
    }
    outcome.query_outcomes(query_log);
    for (name, of) in [("with upgrades", query_log), ("without", &quiet)] {
        outcome.figure(&format!("answer ms, half, {name}"), of.response_time_ms(0.5));
        outcome.figure(&format!("answer ms, 99 of 100, {name}"), of.response_time_ms(0.99));
        outcome.figure(&format!("answer ms, longest, {name}"), of.longest_ms());
    }
    outcome.figure("longest time to accept and answer, ms", accepts.longest.get().as_secs_f64() * 1000.0);
    let peak = peak.0.get();
    outcome.figure("memory before, MB", before.memory_kb as f64 / 1024.0);
    outcome.figure("memory at the peak, MB", peak.memory_kb as f64 / 1024.0);
    outcome.figure("memory after, MB", after.memory_kb as f64 / 1024.0);
    outcome.figure("descriptors before", before.descriptors as f64);
    outcome.figure("descriptors at the peak", peak.descriptors as f64);
    outcome.figure("descriptors after", after.descriptors as f64);
    drop(accepts);

    if let Ok(path) = std::env::var("TRIAL_LOG") {
        std::fs::write(path, process.log())?;
    }
    // It ends in order, and nothing is left of it.
    let pids = process.workers();
    process.signal(Signal::TERM)?;
    let status = process.wait_for_exit(Duration::from_secs(15)).await;
    outcome.promise(status.is_some_and(|s| s.success()), &format!("its end is {status:?}"));
    let left = pids.iter().filter(|p| Path::new(&format!("/proc/{p}")).exists()).count();
    outcome.expect_zero("workers left behind", left as u64);
    Ok(outcome)
}

/// Clients that are half through their head, or their body, while the round goes on.
fn half_written(
    process: &Process,
    query_log: &QueryLog,
    round: usize,
    rng: &mut Pcg64,
) -> Vec<tokio::task::JoinHandle<QueryOutcome>> {
    let address = process.address;
    let pieces = (0..8).map(|n| {
        let query = QueryRequest::short(&format!("view-half{round}-{n}"));
        let cut = if n == 0 { 0 } else { rng.random_range(1..query.request().len()) };
        let pause = Duration::from_millis(rng.random_range(100..1800));
        let (query_log, before) = (query_log.clone(), Duration::from_millis(rng.random_range(0..600)));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(before).await;
            match DedicatedConnection::connect(address, query_log.clone()).await {
                // Sometimes nothing of it has come when the connection passes.
                Ok(mut connection) => connection.ask_in_pieces(query, &[(cut, pause)]).await,
                Err(_) => QueryOutcome::ConnectionRefused,
            }
        })
    });
    pieces.collect()
}

async fn wait_until(what: &str, limit: Duration, mut there: impl AsyncFnMut() -> bool) -> Result<()> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if there().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    anyhow::bail!("waited in vain for {what}")
}

/// A program of a line in the place of the real one, until it is put back.
fn put_in_place(process: &Process, script: Option<&str>, mode: u32) -> Result<()> {
    let (real, kept) = (&process.program, process.program.with_extension("kept"));
    std::fs::rename(real, &kept)?;
    if let Some(script) = script {
        std::fs::write(real, format!("#!/bin/sh\n{script}\n"))?;
        std::fs::set_permissions(real, std::fs::Permissions::from_mode(mode))?;
    }
    Ok(())
}

fn put_back(process: &Process) -> Result<()> {
    let kept = process.program.with_extension("kept");
    if kept.exists() {
        std::fs::rename(kept, &process.program)?;
    }
    Ok(())
}

async fn play_round(
    process: &mut Process,
    fleet: &Fleet,
    clients: &Clients,
    round: Round,
    peak: &PeakUsage,
) -> Result<()> {
    let counted =
        async |p: &Process| Some((p.counter("upgrades done").await?, p.counter("upgrades undone").await?));
    let before = counted(process).await.context("its counters")?;
    match round {
        Round::NoProgram => put_in_place(process, None, 0)?,
        Round::NotExecutable => put_in_place(process, Some("exit 0"), 0o644)?,
        Round::HangsBeforeReady => put_in_place(process, Some("exec sleep 100"), 0o755)?,
        Round::CrashesBeforeReady => put_in_place(process, Some("exit 70"), 0o755)?,
        Round::Noise => put_in_place(process, Some("head -c 300 /dev/urandom >&0; exec sleep 100"), 0o755)?,
        Round::FaultyCharter => process.override_node_config("/settings/tick_s", json!("soon"))?,
        Round::Drained => fleet.set_replica_state(3, "leaving"),
        _ => {}
    }
    let old = process.workers();
    process.signal(Signal::USR2)?;
    let new = RefCell::new(None);
    if matches!(round, Round::NewCrashes(_) | Round::NewHangs | Round::OldKilled) {
        wait_until("a trial", Duration::from_secs(5), async || {
            let log = process.log();
            let found = process.workers().into_iter().find(|p| !old.contains(p));
            *new.borrow_mut() = found;
            found.is_some() && log.rfind("going on from") > log.rfind("hands over")
        })
        .await?;
    }
    let new = new.into_inner();
    match (round, new) {
        (Round::NewCrashes(after), Some(new)) => {
            tokio::time::sleep(Duration::from_millis(after)).await;
            signal_worker(new, Signal::KILL);
        }
        (Round::NewHangs, Some(new)) => signal_worker(new, Signal::STOP),
        (Round::OldKilled, _) => {
            clients.kill_begins();
            old.iter().for_each(|p| signal_worker(*p, Signal::KILL));
            let gone = async || !process.workers().iter().any(|p| old.contains(p));
            wait_until("the killed process's end", Duration::from_secs(5), gone).await?;
            clients.kill_is_over();
        }
        (Round::AskedTwice, _) => {
            tokio::time::sleep(Duration::from_millis(150)).await;
            process.signal(Signal::USR2)?;
        }
        (Round::Reloaded, _) => {
            tokio::time::sleep(Duration::from_millis(150)).await;
            process.signal(Signal::HUP)?;
        }
        _ => {}
    }
    let (more_done, more_undone) = round.ends();
    let wanted = (before.0 + more_done, before.1 + more_undone);
    let ended = wait_until("the upgrade's end", Duration::from_secs(25), async || {
        peak.observe(process.resource_usage());
        counted(process).await == Some(wanted) && process.workers().len() == 1
    })
    .await;
    put_back(process)?;
    process.restore_node_config()?;
    if round == Round::Drained {
        fleet.set_replica_state(3, "active");
    }
    ended
}

/// The same load while the plain program is ended and started anew, as before there were upgrades.
async fn restarts(program: &Path, seed: u64, outcome: &mut Outcome) -> Result<()> {
    let fleet = Fleet::start(seed ^ 7, USUAL).await?;
    let mut process = Process::start(program, fleet.node_config(seed, 1024, 3000)?, None).await?;
    let clients = Clients::new(process.address, fleet.query_log.clone());
    let load = Load::start("restart", seed ^ 3, RATE, SLOW_SALES, clients);
    for _ in 0..RESTARTS {
        tokio::time::sleep(Duration::from_secs(1)).await;
        process.signal(Signal::TERM)?;
        ensure!(
            process.wait_for_exit(Duration::from_secs(15)).await.is_some(),
            "it does not end after SIGTERM"
        );
        process.restart(None).await?;
    }
    load.stop().await?;
    outcome.figure("beside it: restarts", RESTARTS);
    outcome.figure("beside it: queries", fleet.query_log.total() as f64);
    outcome.figure("beside it: lost", fleet.query_log.count(QueryOutcome::Lost) as f64);
    outcome.figure(
        "beside it: refused connections",
        fleet.query_log.count(QueryOutcome::ConnectionRefused) as f64,
    );
    Ok(())
}

/// With two bad replicas: how well queries are served in the first seconds after an upgrade, and after a restart that
/// knows the list alone.
pub async fn known(program: &Path, seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for (name, steps) in [("an upgrade", STEPS.file()), ("a restart", None)] {
        let fleet = Fleet::start(seed, USUAL).await?;
        fleet.replicas[2].set_behavior(ReplicaBehavior::Slow(60.0));
        fleet.replicas[7].set_behavior(ReplicaBehavior::Fails);
        let mut process =
            Process::start(program, fleet.node_config(seed, 1024, 3000)?, steps.clone()).await?;
        let clients = Clients::new(process.address, QueryLog::default());
        let load = Load::start("warm", seed ^ 1, RATE, 0.0, clients.clone());
        tokio::time::sleep(Duration::from_secs_f64(QUIET_S)).await;
        let before = clients.query_log.answered_within(SOON);
        if steps.is_some() {
            process.signal(Signal::USR2)?;
            wait_until("an upgrade", Duration::from_secs(20), async || {
                process.counter("upgrades done").await == Some(1)
            })
            .await?;
            load.stop().await?;
        } else {
            load.stop().await?;
            process.signal(Signal::TERM)?;
            ensure!(
                process.wait_for_exit(Duration::from_secs(15)).await.is_some(),
                "it does not end after SIGTERM"
            );
            process.restart(None).await?;
        }
        let clients = clients.entered_in(QueryLog::default());
        let load = Load::start("first", seed ^ 2, RATE, 0.0, clients.clone());
        tokio::time::sleep(Duration::from_secs_f64(FIRST_S)).await;
        load.stop().await?;
        let query_log = &clients.query_log;
        outcome.figure(&format!("merged soon before {name}, %"), before * 100.0);
        outcome.figure(
            &format!("merged soon in the first seconds after {name}, %"),
            query_log.answered_within(SOON) * 100.0,
        );
        outcome.figure(&format!("answer ms, 99 of 100, after {name}"), query_log.response_time_ms(0.99));
        if steps.is_some() {
            outcome.expect_zero("lost after an upgrade", query_log.count(QueryOutcome::Lost));
        } else {
            outcome.figure("lost after a restart", query_log.count(QueryOutcome::Lost) as f64);
        }
    }
    Ok(outcome)
}

/// What counts as soon: some times the usual answer, a small part of what the bad replica takes.
const SOON: Duration = Duration::from_millis(100);
const FIRST_S: f64 = 10.0;
