//! Twelve copies of the program in three zones, under load, most of them killed at once and started again: with nothing,
//! with what each kept on its disk, with survivors, with stores that are old, torn or lost. Who watches asks each copy ten
//! times a second what it goes by, and holds it against what it went by before.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use pipitcrank_failover::decision::{Decision, OperatorOrder, ZoneState};
use pipitcrank_failover::node::OperatorAnswer;
use pipitcrank_failover::routing_table::Proximity;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;

use super::observer::{Observations, ObservedMember, free_udp_address, observe, send_order};
use super::operators_file::zones_section;
use crate::client::Clients;
use crate::datagram_network::DatagramNetwork;
use crate::fleet::Load;
use crate::outcome::Outcome;
use crate::process::{Folder, Process, signal_worker};
use crate::query_log::{QueryLog, QueryOutcome, RetryBudget, ServiceTotals};
use crate::replica::{PeakArrivals, Work};
use crate::zoned_fleet::ZonedFleet;

const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "north")];
const COPIES: usize = 12;
/// The zone that an operator drains before, so that there is a decision to be remembered.
const DRAINED: usize = 2;
/// A replica does two hundred parts a second.
const WORK: Work = Work { usual: Duration::from_millis(10), at_once: 2 };
/// Queries a second at each copy; a query has 5.7 parts. Two zones of six replicas are left: eight tenths of what they bear.
const RATE: f64 = 22.0;
/// Budget of one copy as the node configuration tells it, and how long a call may wait at a replica before it is seen to run.
const BUDGET: RetryBudget = RetryBudget {
    free: 5.0,
    fraction: 0.1,
    window: Duration::from_secs(10),
    run_delay: Duration::from_secs(2),
};
/// Full service: of what was served before, in each of the five seconds from then on.
const FULL: f64 = 0.95;
const HOLDS: u64 = 5;
/// The aim where something was kept or somebody survived, from the last process's start.
const BACK_WITHIN: f64 = 5.0;
/// Most parts that come to one replica in a second, of what it does; more is a stampede.
const MOST_PARTS: f64 = 1.2 * 200.0;

/// What copies come back from, and what goes wrong beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// All die, nothing is kept.
    Nothing,
    /// All but one die, nothing is kept.
    Survivors,
    /// All die, each has its store.
    Stores,
    /// Nine die, each has its store.
    Both,
    /// All die, and half come back on a store of before the last decision.
    Old,
    /// All die, and the voters' stores are gone.
    Lost,
    /// All die, and half of the stores are torn.
    Torn,
    /// All die, and die again a second after they came back.
    Twice,
    /// Eight stand still for six seconds.
    Stopped,
    /// All die while a zone is lost, which comes back later.
    Failover,
    /// One copy dies 0.8 s after each of its starts.
    Crasher,
    /// Each is ended in order and started again, one after the other.
    Rolling,
    /// All die, the voters' stores are gone, and one voter stays away: begun anew by an operator's command.
    Begin,
}

pub const ALL: [Case; 13] = [
    Case::Nothing,
    Case::Survivors,
    Case::Stores,
    Case::Both,
    Case::Old,
    Case::Lost,
    Case::Torn,
    Case::Twice,
    Case::Stopped,
    Case::Failover,
    Case::Crasher,
    Case::Rolling,
    Case::Begin,
];

struct Member {
    process: Process,
    known_as: SocketAddr,
    file: String,
    store: PathBuf,
    up: Rc<Cell<bool>>,
}

struct RestartCluster {
    fleet: ZonedFleet,
    // Held: relays end with it.
    _net: DatagramNetwork,
    members: Vec<Member>,
    observed: Rc<RefCell<Observations>>,
    stores: Folder,
    kept: bool,
    program: PathBuf,
}

fn zone_of(copy: usize) -> usize {
    copy % ZONES.len()
}

fn file(
    zone: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
    voters: &[SocketAddr],
    store: Option<&Path>,
) -> String {
    let store = store.map_or(String::new(), |path| {
        format!(", store = Some {{ path = \"{}\", every_s = 0.5, oldest_s = 30.0 }}", path.display())
    });
    format!("{{ {}{store} }}", zones_section(&ZONES, zone, listen, known_as, voters))
}

impl RestartCluster {
    async fn start(program: &Path, seed: u64, kept: bool) -> Result<RestartCluster> {
        let fleet = ZonedFleet::start(seed, &ZONES, 0, WORK, QueryLog::default()).await?;
        let (net, stores) = (DatagramNetwork::new(seed ^ 5), Folder::new("stores")?);
        let mut places = Vec::new();
        for _ in 0..COPIES {
            let listen = free_udp_address().await?;
            places.push((listen, net.relay(listen).await?));
        }
        let voters: Vec<SocketAddr> = places[..ZONES.len()].iter().map(|p| p.1).collect();
        let mut members = Vec::new();
        for (n, &(listen, known_as)) in places.iter().enumerate() {
            let store = stores.path().join(format!("n{n}"));
            let file = file(zone_of(n), listen, known_as, &voters, kept.then_some(&store));
            let mut node_config = fleet.node_config(zone_of(n), seed ^ n as u64, true)?;
            node_config["name"] = format!("n{n}").into();
            let process = Process::start(program, node_config, Some(file.clone())).await?;
            members.push(Member { process, known_as, file, store, up: Rc::new(Cell::new(true)) });
        }
        let cluster = RestartCluster {
            fleet,
            _net: net,
            members,
            observed: Rc::default(),
            stores,
            kept,
            program: program.into(),
        };
        let near = Proximity::new(&ZONES.map(|(_, region)| region.to_string()));
        let observed_members = cluster
            .members
            .iter()
            .map(|m| ObservedMember { address: m.known_as, up: m.up.clone() })
            .collect();
        observe(cluster.observed.clone(), observed_members, near).await?;
        ensure!(
            cluster.until(RestartCluster::all_follow, 15.0).await.is_some(),
            "copies do not find together: {}",
            cluster.logs()
        );
        Ok(cluster)
    }

    fn all_follow(&self) -> bool {
        self.all(|standing, _| standing == "following")
    }

    fn all(&self, what: impl Fn(&str, &Decision) -> bool) -> bool {
        let observed = self.observed.borrow();
        (0..COPIES).filter(|&n| self.members[n].up.get()).all(|n| {
            observed.last.get(&n).is_some_and(|(at, shown)| {
                at.elapsed() < Duration::from_secs(1)
                    && shown.decision.as_ref().is_some_and(|d| what(&shown.status, d))
            })
        })
    }

    async fn until(&self, what: impl Fn(&RestartCluster) -> bool, within: f64) -> Option<f64> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < within {
            if what(self) {
                return Some(start.elapsed().as_secs_f64());
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        None
    }

    fn logs(&self) -> String {
        let last = |m: &Member| m.process.log().lines().rev().take(10).collect::<Vec<_>>().join("\n");
        self.members.iter().map(last).collect::<Vec<_>>().join("\n--\n")
    }

    fn voters(&self) -> Vec<SocketAddr> {
        self.members[..ZONES.len()].iter().map(|m| m.known_as).collect()
    }

    fn kill(&mut self, copies: &[usize]) {
        for &n in copies {
            self.members[n].up.set(false);
        }
        for &n in copies {
            self.members[n].process.kill();
            self.gone(n);
        }
    }

    /// Its process is no more. What it went by still counts where it has a store: the next may not go by less.
    fn gone(&self, copy: usize) {
        let mut observed = self.observed.borrow_mut();
        observed.last.remove(&copy);
        if !self.kept {
            observed.newest.remove(&copy);
        }
    }

    /// Starts them all at once; when the last of them was started.
    async fn start_again(&mut self, copies: &[usize]) -> Result<Instant> {
        for &n in copies {
            let file = self.members[n].file.clone();
            self.members[n].process.spawn_again(Some(file))?;
        }
        let last = Instant::now();
        for &n in copies {
            self.members[n].process.wait_until_ready().await?;
            self.members[n].up.set(true);
        }
        Ok(last)
    }

    /// Runs the program as an operator would, with that copy's file; what it says, and whether it was done.
    async fn command(&self, copy: usize, words: &[&str]) -> Result<(bool, String)> {
        let path = self.stores.path().join("asks.dhall");
        std::fs::write(&path, &self.members[copy].file)?;
        let mut command = tokio::process::Command::new(&self.program);
        let out = command.args(words).arg("--operators").arg(&path).output().await?;
        let said = [out.stdout, out.stderr].concat();
        Ok((out.status.success(), String::from_utf8_lossy(&said).into_owned()))
    }

    fn drained(&self, decision: &Decision) -> bool {
        decision.zones[DRAINED].state == ZoneState::OutOfService && decision.zones[DRAINED].drained
    }
}

/// What one case showed.
#[derive(Default)]
struct CaseReport {
    /// Seconds from the last start to full service.
    full: Option<f64>,
    /// Until all copies go by the same decision again.
    agreed: Option<f64>,
    /// Share of queries in the first ten seconds that got nothing that serves.
    errors: f64,
    /// Most parts and connections that came to a replica in a second: before, and after the start.
    before: PeakArrivals,
    after: PeakArrivals,
    missing: Vec<String>,
}

/// The share served of what was asked within that time, over all copies, and how many got nothing that serves.
fn service(query_logs: &[QueryLog], from: Instant, to: Instant) -> (f64, u64) {
    let each = query_logs.iter().map(|log| log.service_between(from, to));
    let sum = each.fold(ServiceTotals::default(), |sum, one| ServiceTotals {
        earned: sum.earned + one.earned,
        offered: sum.offered + one.offered,
        failed: sum.failed + one.failed,
    });
    (sum.earned / sum.offered.max(1e-9), sum.failed)
}

impl RestartCluster {
    async fn play(&mut self, case: Case, seed: u64, query_logs: &[QueryLog]) -> Result<CaseReport> {
        let mut rng = Pcg64::seed_from_u64(seed ^ case as u64);
        let (secs, ms) = (Duration::from_secs, Duration::from_millis);
        let mut report = CaseReport::default();
        let old: Vec<(PathBuf, PathBuf)> = (0..COPIES)
            .filter(|n| n % 2 == 1)
            .map(|n| (self.members[n].store.clone(), self.stores.path().join(format!("old{n}"))))
            .collect();
        if case == Case::Old {
            tokio::time::sleep(secs(1)).await;
            for (store, old) in &old {
                std::fs::copy(store, old)?;
            }
        }
        match send_order(&self.voters(), OperatorOrder::Drain(DRAINED as u16)).await? {
            OperatorAnswer::Decided(_) => {}
            answer => report.missing.push(format!("the zone was not drained: {answer:?}")),
        }
        let out = self.until(|s| s.all(|_, d| s.drained(d)), 15.0).await;
        ensure!(out.is_some(), "the drained zone was not left: {}", self.logs());
        tokio::time::sleep(secs(1)).await;
        let from = Instant::now();
        tokio::time::sleep(secs(3)).await;
        let to = Instant::now();
        let usual = service(query_logs, from, to - ms(500)).0;
        report.before = self.fleet.peak_arrivals(secs(1), from, to);
        let newest = self.observed.borrow().decisions.last_key_value().map_or(0, |(n, _)| *n);
        let mut order: Vec<usize> = (0..COPIES).collect();
        order.shuffle(&mut rng);
        let dead: Vec<usize> = match case {
            Case::Survivors => order.iter().copied().filter(|&n| n != COPIES - 1).collect(),
            Case::Both => order[..9].to_vec(),
            Case::Stopped => order[..8].to_vec(),
            Case::Crasher => vec![ZONES.len() + rng.random_range(0..COPIES - ZONES.len())],
            _ => order,
        };
        let lost_zone = rng.random_range(0..DRAINED);
        let mut started = match case {
            Case::Stopped => {
                let stop = |s: &RestartCluster, signal| {
                    dead.iter().for_each(|&n| signal_worker(s.members[n].process.pid(), signal));
                };
                dead.iter().for_each(|&n| self.members[n].up.set(false));
                stop(self, Signal::STOP);
                tokio::time::sleep(secs(6)).await;
                stop(self, Signal::CONT);
                dead.iter().for_each(|&n| self.members[n].up.set(true));
                Instant::now()
            }
            Case::Rolling => {
                // With a zone drained nobody should; the plan says so.
                let (planned, said) = self.command(1, &["restart-plan"]).await?;
                if planned || !said.contains("is not at home") {
                    report.missing.push(format!("a plan while a zone is drained: {said}"));
                }
                for n in 0..COPIES {
                    self.members[n].up.set(false);
                    self.members[n].process.signal(Signal::TERM)?;
                    ensure!(
                        self.members[n].process.wait_for_exit(secs(10)).await.is_some(),
                        "its end after SIGTERM"
                    );
                    self.gone(n);
                    self.start_again(&[n]).await?;
                }
                Instant::now()
            }
            _ => {
                if case == Case::Failover {
                    self.fleet.vanish(lost_zone, 6, true);
                    tokio::time::sleep(ms(700)).await;
                }
                self.kill(&dead);
                match case {
                    Case::Old => {
                        for (store, old) in &old {
                            std::fs::copy(old, store)?;
                        }
                    }
                    Case::Lost | Case::Begin => {
                        for n in 0..ZONES.len() {
                            std::fs::remove_file(&self.members[n].store)?;
                        }
                    }
                    Case::Torn => {
                        for n in (0..COPIES).step_by(2) {
                            let store =
                                std::fs::OpenOptions::new().write(true).open(&self.members[n].store)?;
                            store.set_len(store.metadata()?.len() / 2)?;
                        }
                    }
                    _ => {}
                }
                tokio::time::sleep(ms(500 + rng.random_range(0..1000))).await;
                let dead: Vec<usize> =
                    dead.iter().copied().filter(|&n| case != Case::Begin || n != 0).collect();
                self.start_again(&dead).await?
            }
        };
        if case == Case::Begin {
            // As long as founding takes, were it to begin without the third seat.
            tokio::time::sleep(secs(6)).await;
            if self.observed.borrow().decisions.last_key_value().is_some_and(|(n, _)| n >> 32 > newest >> 32)
            {
                report
                    .missing
                    .push("two of three voters without memory began anew by themselves".to_string());
            }
            let away = self.members[0].known_as.to_string();
            let (done, said) = self.command(1, &["zones", "begin", &away]).await?;
            if !done {
                report.missing.push(format!("`zones begin` was not done: {said}"));
            }
            if self.until(RestartCluster::all_follow, 15.0).await.is_none() {
                report.missing.push("nothing was begun anew without the dead voter".to_string());
            }
            let (done, said) = self.command(1, &["zones", "begin", &away]).await?;
            if done || !said.contains("leader") {
                report.missing.push(format!("`zones begin` with a leader: {said}"));
            }
            // It is back after all.
            started = self.start_again(&[0]).await?;
            let (done, said) = self.command(1, &["zones", "begin"]).await?;
            if !done {
                report.missing.push(format!("`zones begin` was not taken back: {said}"));
            }
        }
        if case == Case::Twice {
            tokio::time::sleep(secs(1).saturating_sub(started.elapsed())).await;
            self.kill(&dead);
            started = self.start_again(&dead).await?;
        }
        if case == Case::Crasher {
            for _ in 0..5 {
                tokio::time::sleep(ms(800)).await;
                self.kill(&dead);
                started = self.start_again(&dead).await?;
            }
        }
        if case == Case::Failover {
            tokio::time::sleep(secs(2)).await;
            self.fleet.starts_cold(lost_zone, secs(4));
            self.fleet.vanish(lost_zone, 6, false);
            started = Instant::now();
        }
        report.agreed =
            self.until(RestartCluster::all_follow, 20.0).await.map(|_| started.elapsed().as_secs_f64());
        if report.agreed.is_none() {
            report.missing.push(format!("copies do not find together again: {}", self.logs()));
        }
        tokio::time::sleep((started + secs(10 + HOLDS)).saturating_duration_since(Instant::now())).await;
        let end = Instant::now();
        // The first moment from which each of the next five seconds holds what was before.
        let from = |ms: u64| started + Duration::from_millis(ms);
        let good = |ms: u64| service(query_logs, from(ms), from(ms + 1000)).0 >= FULL * usual;
        let full = (0..=(10_000 / 250)).map(|n| n * 250).find(|&ms| (0..HOLDS).all(|s| good(ms + s * 1000)));
        report.full = full.map(|ms| ms as f64 / 1000.0);
        let (_, failed) = service(query_logs, started, from(10_000));
        let asked = RATE * COPIES as f64 * 10.0;
        report.errors = failed as f64 / asked;
        report.after = self.fleet.peak_arrivals(secs(1), started, end);
        // What was decided is not lost with the processes, where a majority of voters kept it.
        let keeps = self.kept && case != Case::Lost;
        if keeps && !self.all(|_, d| d.number >= newest && (self.drained(d) || case == Case::Failover)) {
            report.missing.push("what was decided before did not outlive the processes".to_string());
        }
        if case == Case::Stores {
            let answer = send_order(&self.voters(), OperatorOrder::Return(DRAINED as u16)).await?;
            let home = |s: &RestartCluster| {
                s.all(|_, d| d.zones.iter().all(|p| p.state == ZoneState::Serving && p.retained == 1000))
            };
            if !matches!(answer, OperatorAnswer::Decided(_)) || self.until(home, 15.0).await.is_none() {
                report.missing.push(format!("the drained zone did not return: {answer:?}"));
            }
            let (planned, said) = self.command(1, &["restart-plan", "--share", "0.25"]).await?;
            let last = said.lines().last().unwrap_or("").to_string();
            let named = self.members.iter().filter(|m| said.contains(&m.known_as.to_string())).count();
            if !planned || named != COPIES || !last.contains("voter") {
                report.missing.push(format!("no plan of a restart: {said}"));
            }
        }
        Ok(report)
    }
}

/// Cases in the seed's order, the four kinds of memory first.
pub async fn play(program: &Path, seed: u64, only: Option<&str>, verbose: bool) -> Result<Outcome> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut cases = ALL.to_vec();
    match only {
        Some(name) => {
            cases.retain(|c| format!("{c:?}").eq_ignore_ascii_case(name));
            ensure!(!cases.is_empty(), "no case is named '{name}'; there are: {ALL:?}");
        }
        None => {
            cases[4..].shuffle(&mut rng);
            cases.truncate(7);
        }
    }
    through(program, seed, &cases, verbose, true).await
}

/// Those cases, a fleet each. `aims`: whether times and loads are promised, too; the rules always are.
pub async fn through(
    program: &Path,
    seed: u64,
    cases: &[Case],
    verbose: bool,
    aims: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let (mut lost, mut twice, mut odd, mut sales) = (0, 0, 0, 0);
    let (mut under_one, mut back, mut over) = (0, 0, 0.0_f64);
    for &case in cases {
        let kept = !matches!(case, Case::Nothing | Case::Survivors);
        let mut cluster = RestartCluster::start(program, seed, kept).await?;
        let query_logs: Vec<QueryLog> = cluster.members.iter().map(|_| QueryLog::default()).collect();
        let loads: Vec<Load> = (cluster.members.iter().zip(&query_logs).enumerate())
            .map(|(n, (member, query_log))| {
                let clients = Clients::new(member.process.address, query_log.clone());
                Load::start(&format!("{case:?}{n}x{seed:x}"), seed ^ (n as u64) << 8, RATE, 0.0, clients)
            })
            .collect();
        let report = cluster.play(case, seed, &query_logs).await?;
        for load in loads {
            load.stop().await?;
        }
        let name = format!("{case:?}").to_lowercase();
        if verbose {
            let figure = |x: Option<f64>| x.map_or("-".to_string(), |x| format!("{x:.2}"));
            println!(
                "{name:<10} full service after {:>5} s, one decision after {:>5} s, errors {:>5.2} %, most parts {} -> {}, connections {} -> {}",
                figure(report.full),
                figure(report.agreed),
                report.errors * 100.0,
                report.before.parts,
                report.after.parts,
                report.before.connections,
                report.after.connections
            );
        }
        outcome.figure(&format!("{name}: full service, s"), report.full.unwrap_or(99.0));
        outcome.figure(&format!("{name}: one decision, s"), report.agreed.unwrap_or(99.0));
        outcome.figure(&format!("{name}: errors in ten seconds, %"), report.errors * 100.0);
        outcome.figure(&format!("{name}: most parts at a leaf in a second"), report.after.parts as f64);
        outcome.figure(
            &format!("{name}: most connections at a leaf in a second"),
            report.after.connections as f64,
        );
        let promised = aims && kept && case != Case::Failover;
        outcome.promise(
            !promised || report.full.is_some_and(|s| s <= BACK_WITHIN),
            &format!(
                "full service within {BACK_WITHIN} s where something was kept ({name}: {:?})",
                report.full
            ),
        );
        outcome.promise(
            !aims || report.after.parts as f64 <= MOST_PARTS,
            &format!("at most {MOST_PARTS} parts a second come to a leaf ({name}: {})", report.after.parts),
        );
        report.missing.iter().for_each(|what| outcome.promise(false, &format!("{name}: {what}")));
        // At copies that no fault touched; at those ended in order nothing that was accepted is lost either.
        let untouched = |n: usize| match case {
            Case::Survivors => n == COPIES - 1,
            Case::Rolling => true,
            _ => false,
        };
        for n in (0..COPIES).filter(|&n| untouched(n)) {
            lost += query_logs[n].count(QueryOutcome::Lost) + query_logs[n].open();
        }
        twice += query_logs.iter().map(QueryLog::answered_twice).sum::<u64>();
        odd += query_logs.iter().map(QueryLog::unexpected_statuses).sum::<u64>();
        sales += cluster.fleet.query_log.parts_run_again("sale-");
        let asked: Vec<&QueryLog> = query_logs.iter().collect();
        // A process that died leaves its budget to the next where it has a store; without, each start has one.
        let starts = if kept { COPIES } else { 2 * COPIES } as f64;
        let budget = RetryBudget { free: BUDGET.free * starts, ..BUDGET };
        over = over.max(cluster.fleet.query_log.over_budget_with_queries_of(&asked, budget));
        let observed = cluster.observed.borrow();
        (under_one, back) = (under_one + observed.conflicting_decisions, back + observed.regressions);
        let logs: String = cluster.members.iter().map(|m| m.process.log()).collect();
        // The store's library gives some torn files up so; it is caught.
        let panicked = logs.lines().find(|l| l.contains("panicked") && !l.contains("'store'"));
        outcome.promise(panicked.is_none(), &format!("{name}: nothing panics: {panicked:?}"));
    }
    outcome.expect_zero("lost at copies that no fault touched", lost);
    outcome.expect_zero("answered twice", twice);
    outcome.expect_zero("odd answers", odd);
    outcome.expect_zero("side-effecting parts run twice", sales);
    outcome.expect_zero("two decisions under one number", under_one);
    outcome.expect_zero("acted on an older decision", back);
    outcome.figure("further runs over the budget", over);
    outcome.promise(over <= 0.0, "further calls stay within the budgets");
    Ok(outcome)
}
