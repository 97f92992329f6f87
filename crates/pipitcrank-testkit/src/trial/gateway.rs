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

use super::Outcome;
use crate::client::Clients;
use crate::fleet::{Fleet, Load, free_address, question};
use crate::ledger::{Ended, Ledger};
use crate::link::{Link, Way};
use crate::process::Process;
use crate::replica::{Manner, Work};

const WORK: Work = Work { usual: Duration::from_millis(8), at_once: 16 };
/// Queries a second at the site in trouble.
const RATE: f64 = 80.0;
/// Of sales, the share whose part takes one to two seconds: one is in flight at most breaks of a link.
const SLOW_SALES: f64 = 0.05;
/// How long a trouble lasts, and the rest after it.
const TROUBLE: Duration = Duration::from_millis(1500);
const REST: Duration = Duration::from_millis(500);
/// Of the budget as the stand-in node configuration tells it.
const BUDGET: (f64, f64, Duration) = (5.0, 0.1, Duration::from_secs(10));
/// How long a call may wait at a replica before it is seen to run.
const SLACK: Duration = Duration::from_secs(2);
const NEAR_TRIP: Duration = Duration::from_millis(10);
const FAR_TRIP: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
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

const ALL: [Trouble; 15] = [
    Trouble::Calm,
    Trouble::SlowWay,
    Trouble::Flaps,
    Trouble::Stalls,
    Trouble::StallsBack,
    Trouble::Cut,
    Trouble::CutWithin,
    Trouble::Killed,
    Trouble::Restarted,
    Trouble::Upgraded,
    Trouble::Swapped,
    Trouble::Leavers,
    Trouble::Mutual,
    Trouble::FarFull,
    Trouble::FarStale,
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

struct Scene {
    /// north, south, west; the first has the trouble with its replicas.
    sites: Vec<Site>,
    /// From north to the two others.
    links: Vec<Link>,
    ledger: Ledger,
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

impl Scene {
    async fn start(program: &Path, seed: u64, reach: Reach, trips: [Duration; 2]) -> Result<Scene> {
        let ledger = Ledger::default();
        let listens = [free_address()?, free_address()?, free_address()?];
        let mut links = Vec::new();
        for (n, trip) in trips.into_iter().enumerate() {
            links.push(Link::start(seed ^ n as u64, listens[n + 1], Way::of(trip)).await?);
        }
        let back = Link::start(seed ^ 9, listens[0], Way::of(trips[0])).await?;
        let mut sites = Vec::new();
        for n in 0..3 {
            let fleet = Fleet::start_with(seed ^ (n as u64) << 8, WORK, ledger.clone()).await?;
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
        Ok(Scene { sites, links, ledger })
    }

    /// Two cells of the site turn all work away, so shards that only they hold have nobody near.
    fn lacks(&self, site: usize, cells: [u32; 2], manner: Manner) {
        for (n, replica) in self.sites[site].fleet.replicas.iter().enumerate() {
            if cells.contains(&(n as u32 % 6)) {
                replica.turns(manner);
            }
        }
    }

    async fn trouble(&mut self, trouble: Trouble, seed: u64, clients: &Clients) -> Result<()> {
        let mut chance = Pcg64::seed_from_u64(seed);
        let (near, far) = (Way::of(NEAR_TRIP), Way::of(FAR_TRIP));
        match trouble {
            Trouble::Calm => tokio::time::sleep(TROUBLE).await,
            Trouble::SlowWay => {
                self.links[0].turns(Way::of(Duration::from_millis(400)));
                tokio::time::sleep(TROUBLE).await;
            }
            Trouble::Flaps => {
                for _ in 0..6 {
                    self.links[0].break_now();
                    tokio::time::sleep(TROUBLE / 6).await;
                }
            }
            Trouble::Stalls => {
                self.links[0].turns(Way { stalled_there: true, stalled_back: true, ..near });
                tokio::time::sleep(TROUBLE).await;
            }
            Trouble::StallsBack => {
                self.links[0].turns(Way { stalled_back: true, ..near });
                tokio::time::sleep(TROUBLE).await;
            }
            Trouble::Cut => {
                self.links[0].cut();
                tokio::time::sleep(TROUBLE).await;
                self.links[0].heal();
            }
            Trouble::CutWithin => {
                for _ in 0..10 {
                    self.links[0].cut_after(Some(chance.random_range(1..2500)));
                    self.links[0].break_now();
                    tokio::time::sleep(TROUBLE / 10).await;
                }
                self.links[0].cut_after(None);
                self.links[0].break_now();
            }
            Trouble::Killed => {
                let south = &mut self.sites[1];
                south.process.kill();
                tokio::time::sleep(TROUBLE / 2).await;
                south.process.start_again(south.file.clone()).await?;
                tokio::time::sleep(TROUBLE / 2).await;
            }
            Trouble::Restarted => {
                let south = &mut self.sites[1];
                south.process.signal(Signal::TERM)?;
                south.process.end(Duration::from_secs(15)).await.context("its end after SIGTERM")?;
                south.process.start_again(south.file.clone()).await?;
                tokio::time::sleep(TROUBLE / 2).await;
            }
            Trouble::Upgraded => {
                let south = &self.sites[1].process;
                let before = south.count("upgrades done").await.context("its counters")?;
                south.signal(Signal::USR2)?;
                let until = tokio::time::Instant::now() + Duration::from_secs(15);
                while south.count("upgrades done").await != Some(before + 1) {
                    anyhow::ensure!(tokio::time::Instant::now() < until, "no upgrade: {}", south.log());
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
            Trouble::Swapped => {
                self.links[0].turns(Way::of(Duration::from_millis(200)));
                self.links[1].turns(Way::of(Duration::from_millis(5)));
                tokio::time::sleep(TROUBLE).await;
                self.links[1].turns(far);
            }
            Trouble::Leavers => {
                for n in 0..60 {
                    let asked = question(&format!("leaver{seed:x}"), n, 0.0, &mut chance);
                    let after = Duration::from_millis(chance.random_range(1..40));
                    let clients = clients.clone();
                    tokio::task::spawn_local(async move { clients.ask_and_leave(asked, after).await });
                    tokio::time::sleep(TROUBLE / 60).await;
                }
            }
            Trouble::Mutual => {
                self.lacks(1, [3, 4], Manner::Busy);
                let south = Clients::new(self.sites[1].process.address, self.ledger.clone());
                let load = Load::start(&format!("south{seed:x}"), seed, RATE, 0.0, south);
                tokio::time::sleep(TROUBLE).await;
                load.stop().await?;
                self.lacks(1, [3, 4], Manner::Answers);
            }
            Trouble::FarStale => {}
            Trouble::FarFull => {
                self.sites[1].fleet.replicas.iter().for_each(|l| l.turns(Manner::Busy));
                tokio::time::sleep(TROUBLE).await;
                self.sites[1].fleet.replicas.iter().for_each(|l| l.turns(Manner::Answers));
            }
        }
        if trouble == Trouble::FarStale {
            // They stay dead; each shard has holders in another cell.
            [2, 8].into_iter().for_each(|n: usize| self.sites[1].fleet.replicas[n].kill());
            tokio::time::sleep(TROUBLE).await;
        }
        self.links[0].turns(near);
        tokio::time::sleep(REST).await;
        Ok(())
    }
}

/// What one run showed.
struct Shown {
    ledger: Ledger,
    parts_over: u64,
    late_parts: u64,
    bytes: u64,
    processor_s: f64,
    log: String,
}

async fn run(program: &Path, seed: u64, reach: Reach, script: &[Trouble], talk: bool) -> Result<Shown> {
    let mut scene = Scene::start(program, seed, reach, [NEAR_TRIP, FAR_TRIP]).await?;
    scene.lacks(0, [0, 1], Manner::Busy);
    // The links come up.
    tokio::time::sleep(REST).await;
    let clients = Clients::new(scene.sites[0].process.address, scene.ledger.clone());
    let load = Load::start("load", seed ^ 2, RATE, SLOW_SALES, clients.clone());
    for (n, trouble) in script.iter().enumerate() {
        if talk {
            let (asked, service) = (scene.ledger.all(), scene.ledger.service());
            println!("{:>2}: {trouble:?}, after {asked} queries, service {service:.3}", n + 1);
        }
        scene
            .trouble(*trouble, seed ^ (n as u64) << 16, &clients)
            .await
            .with_context(|| format!("{trouble:?}"))?;
    }
    load.stop().await?;
    let north = &scene.sites[0].process;
    if let Ok(folder) = std::env::var("TRIAL_LOGS") {
        for (site, name) in scene.sites.iter().zip(NAMES) {
            std::fs::write(format!("{folder}/{reach:?}-{name}.log"), site.process.log())?;
        }
        let counters =
            crate::client::get(north.address, "/counters").await.map(|a| a.body).unwrap_or_default();
        std::fs::write(format!("{folder}/{reach:?}-north.counters"), counters)?;
    }
    Ok(Shown {
        parts_over: north.count("forwards parts").await.unwrap_or(0),
        late_parts: north.count("forwards late_parts").await.unwrap_or(0),
        bytes: scene.links.iter().map(Link::bytes).sum(),
        processor_s: scene.sites.iter().map(|s| s.process.processor_s()).sum(),
        log: north.log(),
        ledger: scene.ledger,
    })
}

/// All troubles in the seed's order; the three ways of reaching others beside each other on the same script.
pub async fn play(program: &Path, seed: u64, talk: bool) -> Result<Outcome> {
    let mut script = ALL;
    script.shuffle(&mut Pcg64::seed_from_u64(seed));
    let (with, shortest, alone) = tokio::join!(
        run(program, seed, Reach::Both, &script, talk),
        run(program, seed, Reach::Shortest, &script, false),
        run(program, seed, Reach::Nobody, &script, false),
    );
    let (with, shortest, alone) = (with?, shortest?, alone?);
    let mut outcome = Outcome::default();
    promises(&mut outcome, &with);
    outcome.figure("service with the gateway, %", with.ledger.service() * 100.0);
    outcome.figure("service with the shortest way alone, %", shortest.ledger.service() * 100.0);
    outcome.figure("service without far sites, %", alone.ledger.service() * 100.0);
    let more = (with.processor_s - alone.processor_s) * 1e6 / with.parts_over.max(1) as f64;
    outcome.figure("processor time more than without far sites, a part over, microseconds", more);
    let lost = |shown: &Shown| shown.ledger.count(Ended::Lost) + shown.ledger.ran_again("sale-");
    outcome.nought("lost or run twice in the two others", lost(&shortest) + lost(&alone));
    outcome
        .promise(with.ledger.service() > alone.ledger.service(), "the gateway served more than no far site");
    Ok(outcome)
}

/// The gateway alone through one trouble, between two calm whiles.
pub async fn through(program: &Path, seed: u64, trouble: Trouble) -> Result<Outcome> {
    let shown = run(program, seed, Reach::Both, &[Trouble::Calm, trouble, Trouble::Calm], false).await?;
    let mut outcome = Outcome::default();
    promises(&mut outcome, &shown);
    Ok(outcome)
}

fn promises(outcome: &mut Outcome, with: &Shown) {
    let ledger = &with.ledger;
    outcome.figure("queries", ledger.all() as f64);
    outcome.nought("lost", ledger.count(Ended::Lost) + ledger.open());
    outcome.nought("refused connections", ledger.count(Ended::Refused));
    outcome.once_each(ledger);
    let (free, share, window) = BUDGET;
    let over = ledger.over_budget(free, share, window, SLACK);
    outcome.figure("further runs over the budget of any window", over);
    outcome.promise(over <= 0.0, "further calls, near and far together, stay within the budget");
    outcome.ends(ledger);
    outcome.figure("answer ms, half", ledger.within(0.5));
    outcome.figure("answer ms, 99 of 100", ledger.within(0.99));
    outcome.figure("parts answered by other sites", with.parts_over as f64);
    outcome.figure("of them too late", with.late_parts as f64);
    outcome.promise(with.parts_over > 100, "other sites were needed");
    outcome.figure(
        "bytes on the links a part, heartbeats included",
        with.bytes as f64 / with.parts_over.max(1) as f64,
    );
    outcome.figure(
        "processor time of all sites a query, microseconds",
        with.processor_s * 1e6 / ledger.all() as f64,
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
            let scene = Scene::start(program, seed, reach, [trip, trip]).await?;
            scene.lacks(0, [0, 1], Manner::Busy);
            served.push(serve_for(&scene, seed, Duration::from_secs(5), Duration::MAX).await?);
        }
        outcome.figure(&format!("round trip {ms} ms: both sites, %"), served[0]);
        outcome.figure(&format!("round trip {ms} ms: shortest alone, %"), served[1]);
        outcome.figure(&format!("round trip {ms} ms: no far site, %"), served[2]);
    }
    for ms in [2000, 1000, 500, 250, 100] {
        let scene = Scene::start(program, seed, Reach::Both, [NEAR_TRIP, FAR_TRIP]).await?;
        scene.lacks(0, [0, 1], Manner::Busy);
        let served = serve_for(&scene, seed, Duration::from_secs(5), Duration::from_millis(ms)).await?;
        outcome.figure(&format!("both ways broken each {ms} ms, %"), served);
        outcome.nought(
            &format!("run twice or lost, broken each {ms} ms"),
            scene.ledger.ran_again("sale-") + scene.ledger.count(Ended::Lost),
        );
    }
    Ok(outcome)
}

async fn serve_for(scene: &Scene, seed: u64, lasts: Duration, breaks: Duration) -> Result<f64> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let clients = Clients::new(scene.sites[0].process.address, scene.ledger.clone());
    let load = Load::start("table", seed ^ 2, RATE, 0.0, clients);
    let until = tokio::time::Instant::now() + lasts;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(breaks.min(until - tokio::time::Instant::now())).await;
        if breaks < lasts {
            scene.links.iter().for_each(Link::break_now);
        }
    }
    load.stop().await?;
    Ok(scene.ledger.service() * 100.0)
}
