//! Three sites on loopback, joined by links that can be slow, silent, cut and healed; one site whose own replicas of two
//! cells turn work away, so that the others are needed. The same seed is played with the gateway, with the site of the
//! shortest round trip alone, and without any far site.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;

use crate::client::Clients;
use crate::fleet::{Fleet, Load, free_address, random_query};
use crate::link::{Link, LinkConditions};
use crate::outcome::Outcome;
use crate::process::Process;
use crate::query_log::{QueryLog, QueryOutcome, RetryBudget};
use crate::replica::{ReplicaBehavior, Work};

const WORK: Work = Work { usual: Duration::from_millis(8), at_once: 16 };
/// Queries a second at the site in trouble.
const RATE: f64 = 80.0;
/// Of sales, the share whose part takes one to two seconds: one is in flight at most breaks of a link.
const SLOW_SALES: f64 = 0.05;
/// How long a trouble lasts, and the rest after it.
const FAULT_DURATION: Duration = Duration::from_millis(1500);
const REST: Duration = Duration::from_millis(500);
/// Retry budget as the stand-in node configuration states it.
const BUDGET: RetryBudget = RetryBudget {
    free: 5.0,
    fraction: 0.1,
    window: Duration::from_secs(10),
    run_delay: Duration::from_secs(2),
};
const NEAR_TRIP: Duration = Duration::from_millis(10);
const FAR_TRIP: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Calm,
    /// The round trip goes up under load.
    SlowWay,
    /// Broken every few hundred milliseconds.
    Flaps,
    /// Accepts and goes silent.
    Stalls,
    /// Answers alone do not come.
    StallsBack,
    Cut,
    /// Each new connection is cut after some bytes.
    CutWithin,
    Killed,
    Restarted,
    /// Its program is started anew and takes over.
    Upgraded,
    /// The other far site is the better one for a while.
    Swapped,
    /// Clients go away while their parts are out.
    Leavers,
    /// Both sites lack cells, and forward to each other.
    Mutual,
    /// The far site's replicas are all busy.
    FarFull,
    /// Leaves of the far site are dead, and its list does not know.
    FarStale,
}

const ALL: [Fault; 15] = [
    Fault::Calm,
    Fault::SlowWay,
    Fault::Flaps,
    Fault::Stalls,
    Fault::StallsBack,
    Fault::Cut,
    Fault::CutWithin,
    Fault::Killed,
    Fault::Restarted,
    Fault::Upgraded,
    Fault::Swapped,
    Fault::Leavers,
    Fault::Mutual,
    Fault::FarFull,
    Fault::FarStale,
];

/// Who is reached from the first site.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reach {
    Both,
    /// The one with the shortest round trip, whatever becomes of it, at no cost beside it.
    Shortest,
    Nobody,
}

struct Site {
    fleet: Fleet,
    process: Process,
    file: Option<String>,
}

struct SiteCluster {
    /// north, south, west; the first has the trouble with its replicas.
    sites: Vec<Site>,
    /// From north to the two others.
    links: Vec<Link>,
    query_log: QueryLog,
}

const NAMES: [&str; 3] = ["north", "south", "west"];

fn file(site: usize, listen: SocketAddr, peers: &[(usize, SocketAddr)], prefer_near: f64) -> String {
    let sites: Vec<String> =
        peers.iter().map(|(n, at)| format!("{{ name = \"{}\", address = \"{at}\" }}", NAMES[*n])).collect();
    // An empty list would need its type.
    let sites = if sites.is_empty() {
        "[] : List { name : Text, address : Text }".to_string()
    } else {
        format!("[ {} ]", sites.join(", "))
    };
    format!(
        "{{ gateway = Some {{ site = \"{}\", listen = \"{listen}\", connections = 2, prefer_near_s = {prefer_near:?}, sites = {sites} }}, {UPGRADE} }}",
        NAMES[site]
    )
}

/// Far sites can be upgraded.
const UPGRADE: &str = "upgrade = Some { start_s = 3.0, settle_s = 0.6, silent_s = 0.5, finish_s = 8.0 }";

impl SiteCluster {
    async fn start(program: &Path, seed: u64, reach: Reach, trips: [Duration; 2]) -> Result<SiteCluster> {
        let query_log = QueryLog::default();
        let listens = [free_address()?, free_address()?, free_address()?];
        let mut links = Vec::new();
        for (n, trip) in trips.into_iter().enumerate() {
            links.push(Link::start(seed ^ n as u64, listens[n + 1], LinkConditions::of(trip)).await?);
        }
        let back = Link::start(seed ^ 9, listens[0], LinkConditions::of(trips[0])).await?;
        let mut sites = Vec::new();
        for n in 0..3 {
            let fleet = Fleet::start_with(seed ^ (n as u64) << 8, WORK, query_log.clone()).await?;
            let (peers, prefer) = match (n, reach) {
                (0, Reach::Both) => (vec![(1, links[0].address), (2, links[1].address)], 0.02),
                (0, Reach::Shortest) => (vec![(1, links[0].address)], 0.0),
                (0, Reach::Nobody) => (vec![], 0.02),
                (1, _) => (vec![(0, back.address)], 0.02),
                _ => (vec![], 0.02),
            };
            // A site is named to those that it takes links from, too.
            let peers = if n == 2 { vec![(0, listens[0])] } else { peers };
            let file = if n == 0 && reach == Reach::Nobody {
                None
            } else {
                Some(file(n, listens[n], &peers, prefer))
            };
            let node_config = fleet.node_config(seed ^ n as u64, 1024, 3000)?;
            let process = Process::start(program, node_config, file.clone()).await?;
            sites.push(Site { fleet, process, file });
        }
        Ok(SiteCluster { sites, links, query_log })
    }

    /// Two cells of the site turn all work away, so shards that only they hold have nobody near.
    fn lacks(&self, site: usize, cells: [u32; 2], behavior: ReplicaBehavior) {
        for (n, replica) in self.sites[site].fleet.replicas.iter().enumerate() {
            if cells.contains(&(n as u32 % 6)) {
                replica.set_behavior(behavior);
            }
        }
    }

    async fn fault(&mut self, fault: Fault, seed: u64, clients: &Clients) -> Result<()> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let (near, far) = (LinkConditions::of(NEAR_TRIP), LinkConditions::of(FAR_TRIP));
        match fault {
            Fault::Calm => tokio::time::sleep(FAULT_DURATION).await,
            Fault::SlowWay => {
                self.links[0].set_conditions(LinkConditions::of(Duration::from_millis(400)));
                tokio::time::sleep(FAULT_DURATION).await;
            }
            Fault::Flaps => {
                for _ in 0..6 {
                    self.links[0].break_now();
                    tokio::time::sleep(FAULT_DURATION / 6).await;
                }
            }
            Fault::Stalls => {
                self.links[0].set_conditions(LinkConditions {
                    stalled_there: true,
                    stalled_back: true,
                    ..near
                });
                tokio::time::sleep(FAULT_DURATION).await;
            }
            Fault::StallsBack => {
                self.links[0].set_conditions(LinkConditions { stalled_back: true, ..near });
                tokio::time::sleep(FAULT_DURATION).await;
            }
            Fault::Cut => {
                self.links[0].cut();
                tokio::time::sleep(FAULT_DURATION).await;
                self.links[0].heal();
            }
            Fault::CutWithin => {
                for _ in 0..10 {
                    self.links[0].cut_after(Some(rng.random_range(1..2500)));
                    self.links[0].break_now();
                    tokio::time::sleep(FAULT_DURATION / 10).await;
                }
                self.links[0].cut_after(None);
                self.links[0].break_now();
            }
            Fault::Killed => {
                let south = &mut self.sites[1];
                south.process.kill();
                tokio::time::sleep(FAULT_DURATION / 2).await;
                south.process.restart(south.file.clone()).await?;
                tokio::time::sleep(FAULT_DURATION / 2).await;
            }
            Fault::Restarted => {
                let south = &mut self.sites[1];
                south.process.signal(Signal::TERM)?;
                south
                    .process
                    .wait_for_exit(Duration::from_secs(15))
                    .await
                    .context("its end after SIGTERM")?;
                south.process.restart(south.file.clone()).await?;
                tokio::time::sleep(FAULT_DURATION / 2).await;
            }
            Fault::Upgraded => {
                let south = &self.sites[1].process;
                let before = south.counter("upgrades done").await.context("its counters")?;
                south.signal(Signal::USR2)?;
                let until = tokio::time::Instant::now() + Duration::from_secs(15);
                while south.counter("upgrades done").await != Some(before + 1) {
                    anyhow::ensure!(tokio::time::Instant::now() < until, "no upgrade: {}", south.log());
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
            Fault::Swapped => {
                self.links[0].set_conditions(LinkConditions::of(Duration::from_millis(200)));
                self.links[1].set_conditions(LinkConditions::of(Duration::from_millis(5)));
                tokio::time::sleep(FAULT_DURATION).await;
                self.links[1].set_conditions(far);
            }
            Fault::Leavers => {
                for n in 0..60 {
                    let asked = random_query(&format!("leaver{seed:x}"), n, 0.0, &mut rng);
                    let after = Duration::from_millis(rng.random_range(1..40));
                    let clients = clients.clone();
                    tokio::task::spawn_local(async move { clients.ask_and_disconnect(asked, after).await });
                    tokio::time::sleep(FAULT_DURATION / 60).await;
                }
            }
            Fault::Mutual => {
                self.lacks(1, [3, 4], ReplicaBehavior::Busy);
                let south = Clients::new(self.sites[1].process.address, self.query_log.clone());
                let load = Load::start(&format!("south{seed:x}"), seed, RATE, 0.0, south);
                tokio::time::sleep(FAULT_DURATION).await;
                load.stop().await?;
                self.lacks(1, [3, 4], ReplicaBehavior::Normal);
            }
            Fault::FarStale => {}
            Fault::FarFull => {
                self.sites[1].fleet.replicas.iter().for_each(|l| l.set_behavior(ReplicaBehavior::Busy));
                tokio::time::sleep(FAULT_DURATION).await;
                self.sites[1].fleet.replicas.iter().for_each(|l| l.set_behavior(ReplicaBehavior::Normal));
            }
        }
        if fault == Fault::FarStale {
            // They stay dead; each shard has holders in another cell.
            [2, 8].into_iter().for_each(|n: usize| self.sites[1].fleet.replicas[n].kill());
            tokio::time::sleep(FAULT_DURATION).await;
        }
        self.links[0].set_conditions(near);
        tokio::time::sleep(REST).await;
        Ok(())
    }
}

/// What one run showed.
struct RunReport {
    query_log: QueryLog,
    parts_over: u64,
    late_parts: u64,
    bytes: u64,
    cpu_seconds: f64,
    log: String,
}

async fn run(program: &Path, seed: u64, reach: Reach, script: &[Fault], verbose: bool) -> Result<RunReport> {
    let mut cluster = SiteCluster::start(program, seed, reach, [NEAR_TRIP, FAR_TRIP]).await?;
    cluster.lacks(0, [0, 1], ReplicaBehavior::Busy);
    // The links come up.
    tokio::time::sleep(REST).await;
    let clients = Clients::new(cluster.sites[0].process.address, cluster.query_log.clone());
    let load = Load::start("load", seed ^ 2, RATE, SLOW_SALES, clients.clone());
    for (n, fault) in script.iter().enumerate() {
        if verbose {
            let (asked, service) = (cluster.query_log.total(), cluster.query_log.service());
            println!("{:>2}: {fault:?}, after {asked} queries, service {service:.3}", n + 1);
        }
        cluster
            .fault(*fault, seed ^ (n as u64) << 16, &clients)
            .await
            .with_context(|| format!("{fault:?}"))?;
    }
    load.stop().await?;
    let north = &cluster.sites[0].process;
    if let Ok(folder) = std::env::var("TRIAL_LOGS") {
        for (site, name) in cluster.sites.iter().zip(NAMES) {
            std::fs::write(format!("{folder}/{reach:?}-{name}.log"), site.process.log())?;
        }
        let counters =
            crate::client::get(north.address, "/counters").await.map(|a| a.body).unwrap_or_default();
        std::fs::write(format!("{folder}/{reach:?}-north.counters"), counters)?;
    }
    Ok(RunReport {
        parts_over: north.counter("forwards parts").await.unwrap_or(0),
        late_parts: north.counter("forwards late_parts").await.unwrap_or(0),
        bytes: cluster.links.iter().map(Link::bytes).sum(),
        cpu_seconds: cluster.sites.iter().map(|s| s.process.cpu_seconds()).sum(),
        log: north.log(),
        query_log: cluster.query_log,
    })
}

/// All troubles in the seed's order; the three ways of reaching others beside each other on the same script.
pub async fn play(program: &Path, seed: u64, verbose: bool) -> Result<Outcome> {
    let mut script = ALL;
    script.shuffle(&mut Pcg64::seed_from_u64(seed));
    let (with, shortest, alone) = tokio::join!(
        run(program, seed, Reach::Both, &script, verbose),
        run(program, seed, Reach::Shortest, &script, false),
        run(program, seed, Reach::Nobody, &script, false),
    );
    let (with, shortest, alone) = (with?, shortest?, alone?);
    let mut outcome = Outcome::default();
    promises(&mut outcome, &with);
    outcome.figure("service with the gateway, %", with.query_log.service() * 100.0);
    outcome.figure("service with the shortest way alone, %", shortest.query_log.service() * 100.0);
    outcome.figure("service without far sites, %", alone.query_log.service() * 100.0);
    let more = (with.cpu_seconds - alone.cpu_seconds) * 1e6 / with.parts_over.max(1) as f64;
    outcome.figure("processor time more than without far sites, a part over, microseconds", more);
    let lost = |report: &RunReport| {
        report.query_log.count(QueryOutcome::Lost) + report.query_log.parts_run_again("sale-")
    };
    outcome.expect_zero("lost or run twice in the two others", lost(&shortest) + lost(&alone));
    outcome.promise(
        with.query_log.service() > alone.query_log.service(),
        "the gateway served more than no far site",
    );
    Ok(outcome)
}

/// The gateway alone through one trouble, between two calm whiles.
pub async fn through(program: &Path, seed: u64, fault: Fault) -> Result<Outcome> {
    let report = run(program, seed, Reach::Both, &[Fault::Calm, fault, Fault::Calm], false).await?;
    let mut outcome = Outcome::default();
    promises(&mut outcome, &report);
    Ok(outcome)
}

fn promises(outcome: &mut Outcome, with: &RunReport) {
    let query_log = &with.query_log;
    outcome.figure("queries", query_log.total() as f64);
    outcome.expect_zero("lost", query_log.count(QueryOutcome::Lost) + query_log.open());
    outcome.expect_zero("refused connections", query_log.count(QueryOutcome::ConnectionRefused));
    outcome.expect_once_each(query_log);
    let over = query_log.over_budget(BUDGET);
    outcome.figure("further runs over the budget of any window", over);
    outcome.promise(over <= 0.0, "further calls, near and far together, stay within the budget");
    outcome.query_outcomes(query_log);
    outcome.figure("answer ms, half", query_log.response_time_ms(0.5));
    outcome.figure("answer ms, 99 of 100", query_log.response_time_ms(0.99));
    outcome.figure("parts answered by other sites", with.parts_over as f64);
    outcome.figure("of them too late", with.late_parts as f64);
    outcome.promise(with.parts_over > 100, "other sites were needed");
    outcome.figure(
        "bytes on the links a part, heartbeats included",
        with.bytes as f64 / with.parts_over.max(1) as f64,
    );
    outcome.figure(
        "processor time of all sites a query, microseconds",
        with.cpu_seconds * 1e6 / query_log.total() as f64,
    );
    let panicked = with.log.lines().find(|l| l.contains("panicked"));
    outcome.promise(panicked.is_none(), &format!("nothing panics: {panicked:?}"));
}

/// Service against round trip, and against a way that is broken at random: each figure is a run of its own.
pub async fn table(program: &Path, seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for ms in [1, 10, 50, 100, 200, 400] {
        let trip = Duration::from_millis(ms);
        let mut served = Vec::new();
        for reach in [Reach::Both, Reach::Shortest, Reach::Nobody] {
            let cluster = SiteCluster::start(program, seed, reach, [trip, trip]).await?;
            cluster.lacks(0, [0, 1], ReplicaBehavior::Busy);
            served.push(serve_for(&cluster, seed, Duration::from_secs(5), Duration::MAX).await?);
        }
        outcome.figure(&format!("round trip {ms} ms: both sites, %"), served[0]);
        outcome.figure(&format!("round trip {ms} ms: shortest alone, %"), served[1]);
        outcome.figure(&format!("round trip {ms} ms: no far site, %"), served[2]);
    }
    for ms in [2000, 1000, 500, 250, 100] {
        let cluster = SiteCluster::start(program, seed, Reach::Both, [NEAR_TRIP, FAR_TRIP]).await?;
        cluster.lacks(0, [0, 1], ReplicaBehavior::Busy);
        let served = serve_for(&cluster, seed, Duration::from_secs(5), Duration::from_millis(ms)).await?;
        outcome.figure(&format!("both ways broken each {ms} ms, %"), served);
        outcome.expect_zero(
            &format!("run twice or lost, broken each {ms} ms"),
            cluster.query_log.parts_run_again("sale-") + cluster.query_log.count(QueryOutcome::Lost),
        );
    }
    Ok(outcome)
}

async fn serve_for(cluster: &SiteCluster, seed: u64, lasts: Duration, breaks: Duration) -> Result<f64> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let clients = Clients::new(cluster.sites[0].process.address, cluster.query_log.clone());
    let load = Load::start("table", seed ^ 2, RATE, 0.0, clients);
    let until = tokio::time::Instant::now() + lasts;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(breaks.min(until - tokio::time::Instant::now())).await;
        if breaks < lasts {
            cluster.links.iter().for_each(Link::break_now);
        }
    }
    load.stop().await?;
    Ok(cluster.query_log.service() * 100.0)
}
