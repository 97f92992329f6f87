//! Nine copies of the program in three zones, three of them voters, three more in a region of their own that the gateway
//! reaches, and one without this part, as the version before; replicas in each zone; faults between copies, and between copies and replicas, from the seed. Who watches asks each copy
//! ten times a second what it knows and does, and holds it against the promises.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, ensure};
use pipitcrank_failover::decision::{Decision, OperatorOrder, UNKNOWN_CAPACITY, ZoneDecision, ZoneState};
use pipitcrank_failover::node::{OperatorAnswer, OperatorClient, ReceivedAnswer, StatusReport};
use pipitcrank_failover::routing_table::{Proximity, RoutingTable};
use pipitcrank_membership::envelope::{DatagramKind, Sealer, derive_key};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::net::UdpSocket;

use super::Outcome;
use crate::client::Clients;
use crate::datagram_network::{DatagramFaults, DatagramNetwork};
use crate::fleet::{Load, free_address};
use crate::process::Process;
use crate::query_log::{QueryLog, QueryOutcome};
use crate::replica::{ReplicaBehavior, Work};
use crate::zoned_fleet::ZonedFleet;

/// Zones of the region that has the troubles, and one of another, reached by the gateway alone.
const ZONES: [&str; 3] = ["a", "b", "c"];
const SOUTH: usize = 3;
/// The copy that has ways of its own to all replicas.
const SICK: usize = 7;
const ALL_ZONES: [(&str, &str); 4] = [("a", "north"), ("b", "north"), ("c", "north"), ("d", "south")];
const A_ZONE: usize = 3;
pub(super) const SECRET: &str = "a secret of the trial's own";
/// A replica does two hundred parts a second; a zone is asked about a third of what it is held to carry, so that one alone
/// carries nearly all three.
const WORK: Work = Work { usual: Duration::from_millis(10), at_once: 2 };
const REPLICA_BEARS: f64 = 160.0;
/// Queries a second at each copy.
const RATE: f64 = 18.0;
/// Rule 4 as the node configuration tells it: factor, share at the start, window, warming.
const COLD: (f64, f64, Duration, Duration) = (1.2, 0.15, Duration::from_millis(1500), Duration::from_secs(8));
/// Budget of one copy, and how long a call may wait at a replica before it is seen to run.
const BUDGET: (f64, f64, Duration) = (5.0, 0.1, Duration::from_secs(10));
const SLACK: Duration = Duration::from_secs(2);
/// The aim for moving off a zone that is lost.
pub const MOVED_WITHIN: f64 = 3.0;
const LOOK: Duration = Duration::from_millis(100);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Calm,
    /// All replicas of a zone vanish without a word, its copies live; it returns cold.
    Replicas,
    /// Leaves and copies of a zone.
    Zone,
    /// Copies of a zone are killed, its replicas live.
    Copies,
    /// Half of a zone's replicas.
    Half,
    /// A zone that comes and goes each 1.5 s.
    Flaps,
    /// Copies of a zone hear none of the others; its replicas are well for all.
    Parted,
    /// Copies of one zone do not reach the replicas of another, both ways round; the third reaches both.
    Cut,
    /// The voter that leads stands still for 5 s while a zone is lost, and wakes as if nothing were.
    Leader,
    /// Two of three voters die while a zone is lost, and come back without memory.
    Majority,
    /// A second zone is lost while the first is half moved.
    Two,
    /// A zone takes all and answers late.
    Slow,
    /// A copy ends by SIGTERM and another is upgraded while a zone is left.
    Restarts,
    /// An operator drains a zone while another is lost, and returns it.
    Drain,
    /// A zone is lost while datagrams are lost, doubled and late.
    Lossy,
    /// One copy reaches no replica anywhere, and says so of all zones.
    Sick,
    /// A whole region loses its leaves while its links go on pinging.
    Region,
    /// Datagrams that are forged, cut, replayed, too long, or of another version.
    Strangers,
}

/// All faults in the order of the enum, with the names that `--only` takes and that figures and messages print.
pub const FAULTS: [(Fault, &str); 18] = [
    (Fault::Calm, "Calm"),
    (Fault::Replicas, "Leaves"),
    (Fault::Zone, "Zone"),
    (Fault::Copies, "Copies"),
    (Fault::Half, "Half"),
    (Fault::Flaps, "Flaps"),
    (Fault::Parted, "Parted"),
    (Fault::Cut, "Cut"),
    (Fault::Leader, "Leader"),
    (Fault::Majority, "Majority"),
    (Fault::Two, "Two"),
    (Fault::Slow, "Slow"),
    (Fault::Restarts, "Restarts"),
    (Fault::Drain, "Drain"),
    (Fault::Lossy, "Lossy"),
    (Fault::Sick, "Sick"),
    (Fault::Region, "Region"),
    (Fault::Strangers, "Strangers"),
];

impl Fault {
    /// The name that `--only` takes and that figures and messages print.
    pub fn name(self) -> &'static str {
        FAULTS.iter().find(|(fault, _)| *fault == self).map_or("", |(_, name)| name)
    }
}

/// How copies go by zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingMode {
    Agreed,
    /// Each by what it sees itself, near first.
    ExclusiveReplica,
    /// Zones do not count.
    ZoneBlind,
}

struct Member {
    process: Process,
    zone: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
    file: Option<String>,
    /// It is meant to be there.
    up: Rc<Cell<bool>>,
}

/// What was seen of the copies.
#[derive(Default)]
pub(super) struct Observations {
    pub decisions: BTreeMap<u64, Decision>,
    /// When each was first seen.
    at: BTreeMap<u64, Instant>,
    pub two_under_one: u64,
    pub went_back: u64,
    over_capacity: u64,
    pub newest: BTreeMap<usize, u64>,
    /// What each copy said last.
    pub last: BTreeMap<usize, (Instant, StatusReport)>,
}

struct ZoneCluster {
    fleet: ZonedFleet,
    net: DatagramNetwork,
    members: Vec<Member>,
    observed: Rc<RefCell<Observations>>,
    way: RoutingMode,
    seed: u64,
}

/// Where a copy takes links, and one of the other region's that it keeps links to.
#[derive(Clone, Copy)]
struct Gate {
    listen: SocketAddr,
    other: SocketAddr,
}

/// The operators' section on zones that trials give a copy of zone `own`: short times, voters with their zones.
pub(super) fn section(
    zones: &[(&str, &str)],
    own: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
    voters: &[SocketAddr],
) -> String {
    let seats: Vec<String> = (voters.iter().zip(zones))
        .map(|(at, (zone, _))| format!("{{ address = \"{at}\", zone = \"{zone}\" }}"))
        .collect();
    let named: Vec<String> = zones
        .iter()
        .map(|(name, region)| format!("{{ name = \"{name}\", region = \"{region}\" }}"))
        .collect();
    format!(
        "zones = Some {{ zone = \"{}\", listen = \"{listen}\", known_as = \"{known_as}\", zones = [ {} ] \
         , peers = [] : List Text, voters = [ {} ], secret = \"{SECRET}\", suspect_s = 0.4, hold_down_s = 1.0 \
         , hold_down_most_s = 8.0, calm_s = 6.0, hold_s = 6.0, leaf_bears = {REPLICA_BEARS:?}, dry_run = False }}",
        zones[own].0,
        named.join(", "),
        seats.join(", "),
    )
}

fn file(zone: usize, listen: SocketAddr, known_as: SocketAddr, voters: &[SocketAddr], gate: Gate) -> String {
    let (site, other) = if zone == SOUTH { ("south", "north") } else { ("north", "south") };
    format!(
        "{{ {}, gateway = Some {{ site = \"{site}\", listen = \"{}\", connections = 1, prefer_near_s = 0.02 \
         , sites = [ {{ name = \"{other}\", address = \"{}\" }} ] }} \
         , upgrade = Some {{ start_s = 3.0, settle_s = 0.6, silent_s = 1.0, finish_s = 8.0 }} }}",
        section(&ALL_ZONES, zone, listen, known_as, voters),
        gate.listen,
        gate.other
    )
}

/// What a copy is told, with rule 4 as tight as the trial has it.
fn node_config(fleet: &ZonedFleet, zone: usize, seed: u64, way: RoutingMode) -> Result<serde_json::Value> {
    let mut node_config = fleet.node_config(zone, seed, way != RoutingMode::ZoneBlind)?;
    let rules = &mut node_config["settings"]["rules"];
    (rules["overload_factor"], rules["cold_from"]) = (COLD.0.into(), COLD.1.into());
    Ok(node_config)
}

impl ZoneCluster {
    async fn start(program: &Path, seed: u64, way: RoutingMode) -> Result<ZoneCluster> {
        let fleet =
            ZonedFleet::start(seed, &ALL_ZONES, SICK % ZONES.len(), WORK, QueryLog::default()).await?;
        let net = DatagramNetwork::new(seed ^ 5);
        let mut places = Vec::new();
        for n in 0..ALL_ZONES.len() * A_ZONE {
            let listen = free_udp().await?;
            let zone = if n < ZONES.len() * A_ZONE { n % ZONES.len() } else { SOUTH };
            places.push((zone, listen, net.relay(listen).await?));
        }
        let gates: Vec<SocketAddr> = places.iter().map(|_| free_address()).collect::<Result<_>>()?;
        // The first of each zone votes.
        let voters: Vec<SocketAddr> = places[..ZONES.len()].iter().map(|p| p.2).collect();
        let mut members = Vec::new();
        for (n, &(zone, listen, known_as)) in places.iter().enumerate() {
            // Each keeps links to one of the other region's copies.
            let other = if zone == SOUTH { n % A_ZONE } else { ZONES.len() * A_ZONE + n % A_ZONE };
            let gate = Gate { listen: gates[n], other: gates[other] };
            let file = (way == RoutingMode::Agreed).then(|| file(zone, listen, known_as, &voters, gate));
            let view = if n == SICK { fleet.apart() } else { zone };
            let node_config = node_config(&fleet, view, seed ^ n as u64, way)?;
            let process = Process::start(program, node_config, file.clone()).await?;
            members.push(Member { process, zone, listen, known_as, file, up: Rc::new(Cell::new(true)) });
        }
        // One of the version before: it knows of no others.
        let node_config = node_config(&fleet, 0, seed ^ 99, way)?;
        let process = Process::start(program, node_config, None).await?;
        let nowhere = free_address()?;
        let up = Rc::new(Cell::new(true));
        members.push(Member { process, zone: 0, listen: nowhere, known_as: nowhere, file: None, up });
        let cluster = ZoneCluster { fleet, net, members, observed: Rc::default(), way, seed };
        if way == RoutingMode::Agreed {
            cluster.watch().await?;
            let all = |s: &ZoneCluster| s.copies().all(|n| s.shows(n, |shown| shown.status == "following"));
            ensure!(
                cluster.until(all, 15.0).await.is_some(),
                "copies do not find together: {}",
                cluster.logs()
            );
        }
        Ok(cluster)
    }

    /// Asks each copy what stands, for as long as the scene is.
    async fn watch(&self) -> Result<()> {
        let addresses =
            self.members.iter().filter(|m| m.file.is_some()).map(|m| (m.known_as, m.up.clone())).collect();
        let near = Proximity::new(&ALL_ZONES.map(|(_, region)| region.to_string()));
        watch(self.observed.clone(), addresses, near).await
    }

    /// Copies that take part and are meant to be there.
    fn copies(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members.len()).filter(|&n| self.members[n].file.is_some() && self.members[n].up.get())
    }

    fn shows(&self, copy: usize, what: impl Fn(&StatusReport) -> bool) -> bool {
        let observed = self.observed.borrow();
        let fresh = |at: &Instant| at.elapsed() < LOOK * 10;
        observed.last.get(&copy).is_some_and(|(at, shown)| fresh(at) && what(shown))
    }

    /// All copies that are there but those of that zone know the zone to be so.
    fn all_know(&self, zone: usize, what: impl Fn(ZoneState, u16) -> bool) -> bool {
        self.copies().all(|n| {
            self.shows(n, |shown| {
                shown.decision.as_ref().is_some_and(|d| what(d.zones[zone].state, d.zones[zone].retained))
            })
        })
    }

    fn is_out(&self, zone: usize) -> bool {
        self.all_know(zone, |state, _| state == ZoneState::OutOfService)
    }

    fn all_home(&self) -> bool {
        let home = |zone| self.all_know(zone, |state, kept| state == ZoneState::Serving && kept == 1000);
        (0..ALL_ZONES.len()).all(home) && self.copies().all(|n| self.shows(n, |s| s.status == "following"))
    }

    /// Waits for it; the seconds that it took, none where it did not come.
    async fn until(&self, what: impl Fn(&ZoneCluster) -> bool, within: f64) -> Option<f64> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < within {
            if what(self) {
                return Some(start.elapsed().as_secs_f64());
            }
            tokio::time::sleep(LOOK / 4).await;
        }
        None
    }

    fn leader(&self) -> Option<usize> {
        let observed = self.observed.borrow();
        let of =
            |n: usize| observed.last.get(&n).filter(|_| self.members[n].up.get()).and_then(|(_, s)| s.leader);
        (0..ZONES.len()).find_map(of).map(usize::from)
    }

    fn kill(&mut self, copy: usize) {
        self.members[copy].up.set(false);
        self.members[copy].process.kill();
        self.observed.borrow_mut().forget(copy);
    }

    async fn start_again(&mut self, copy: usize) -> Result<()> {
        let file = self.members[copy].file.clone();
        self.members[copy].process.restart(file).await?;
        self.observed.borrow_mut().forget(copy);
        self.members[copy].up.set(true);
        Ok(())
    }

    fn logs(&self) -> String {
        let last = |m: &Member| {
            let log = m.process.log();
            log.lines().rev().take(12).collect::<Vec<_>>().join("\n")
        };
        self.members.iter().map(last).collect::<Vec<_>>().join("\n--\n")
    }

    async fn order(&self, order: OperatorOrder) -> Result<OperatorAnswer> {
        let voters: Vec<SocketAddr> = self.members[..ZONES.len()].iter().map(|m| m.known_as).collect();
        tell(&voters, order).await
    }
}

/// An operator's order, as the program's `zones` gives it.
pub(super) async fn tell(voters: &[SocketAddr], order: OperatorOrder) -> Result<OperatorAnswer> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let mut command = OperatorClient::new(derive_key(SECRET), socket.local_addr()?, since);
    let mut bytes = vec![0; 2048];
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        for voter in voters {
            if let Some(asked) = command.request(*voter, Some(order)) {
                let _ = socket.send_to(&asked, voter).await;
            }
        }
        let again = tokio::time::Instant::now() + Duration::from_millis(300);
        while let Ok(came) = tokio::time::timeout_at(again, socket.recv_from(&mut bytes)).await {
            let Ok((length, _)) = came else { continue };
            match command.open_answer(&bytes[..length]) {
                Some(ReceivedAnswer { answer: OperatorAnswer::NotLeader(_), .. }) | None => {}
                Some(ReceivedAnswer { answer, .. }) => return Ok(answer),
            }
        }
    }
    Ok(OperatorAnswer::Rejected("no answer".to_string()))
}

/// Asks each copy what stands, ten times a second, and enters it in `observed`; of such as are meant to be there.
pub(super) async fn watch(
    observed: Rc<RefCell<Observations>>,
    addresses: Vec<(SocketAddr, Rc<Cell<bool>>)>,
    near: Proximity,
) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let mut command = OperatorClient::new(derive_key(SECRET), socket.local_addr()?, since);
    tokio::task::spawn_local(async move {
        let mut bytes = vec![0; 2048];
        loop {
            for (address, _) in &addresses {
                if let Some(asked) = command.request(*address, None) {
                    let _ = socket.send_to(&asked, address).await;
                }
            }
            let again = tokio::time::Instant::now() + LOOK;
            while let Ok(came) = tokio::time::timeout_at(again, socket.recv_from(&mut bytes)).await {
                let Ok((length, _)) = came else { continue };
                let Some(ReceivedAnswer { from, answer: OperatorAnswer::Status(shown) }) =
                    command.open_answer(&bytes[..length])
                else {
                    continue;
                };
                let Some(copy) = addresses.iter().position(|a| a.0 == from) else { continue };
                // What one says that has just been killed came before.
                if addresses[copy].1.get() {
                    observed.borrow_mut().take(copy, shown, &near);
                }
            }
        }
    });
    Ok(())
}

impl Observations {
    fn take(&mut self, copy: usize, shown: StatusReport, near: &Proximity) {
        if let Some(decision) = &shown.decision {
            match self.decisions.get(&decision.number) {
                Some(known) => self.two_under_one += u64::from(known != decision),
                None => {
                    // More planned for a zone than it carries, by the figures all go by.
                    let over = RoutingTable::new(decision, near).load.iter().zip(&decision.zones).any(
                        |(load, place)| {
                            place.capacity != UNKNOWN_CAPACITY && *load > u64::from(place.capacity) + 1
                        },
                    );
                    self.over_capacity += u64::from(over);
                    self.at.insert(decision.number, Instant::now());
                    self.decisions.insert(decision.number, decision.clone());
                }
            }
            let newest = self.newest.entry(copy).or_insert(0);
            self.went_back += u64::from(decision.number < *newest);
            *newest = decision.number.max(*newest);
        }
        self.last.insert(copy, (Instant::now(), shown));
    }

    /// Another process stands for the copy from now on.
    fn forget(&mut self, copy: usize) {
        self.newest.remove(&copy);
        self.last.remove(&copy);
    }
}

pub(super) async fn free_udp() -> Result<SocketAddr> {
    Ok(UdpSocket::bind((free_address()?.ip(), 0)).await?.local_addr()?)
}

/// What one trouble showed.
#[derive(Default)]
struct FaultReport {
    moved: Option<f64>,
    back: Option<f64>,
    /// What was decided, where a move took longer than it should.
    late: Option<String>,
    /// Utility in time over utility asked at copies that lived, while it lasted.
    service: f64,
    /// Things that should have been and were not.
    missing: Vec<String>,
}

impl ZoneCluster {
    /// Loses a zone's replicas, waits until all have left it, and has them come back cold.
    async fn lose(&mut self, zone: usize, report: &mut FaultReport, out_for: Duration) {
        self.fleet.vanish(zone, 6, true);
        let moved = self.until(|s| s.is_out(zone), 12.0).await;
        report.moved = moved;
        report.late = moved.filter(|s| *s > MOVED_WITHIN).map(|_| self.history());
        if moved.is_none() {
            report.missing.push(format!("zone {} was not left: {}", ALL_ZONES[zone].0, self.history()));
        }
        tokio::time::sleep(out_for).await;
        self.heal(zone);
    }

    fn heal(&self, zone: usize) {
        self.fleet.starts_cold(zone, COLD.3);
        self.fleet.vanish(zone, 6, false);
    }

    async fn home(&self, report: &mut FaultReport, within: f64) {
        report.back = self.until(ZoneCluster::all_home, within).await;
        if report.back.is_none() {
            let decision = self.observed.borrow().decisions.last_key_value().map(|(_, d)| format!("{d:?}"));
            let standings: Vec<String> =
                self.observed.borrow().last.values().map(|(_, s)| s.status.clone()).collect();
            report.missing.push(format!("not all is home: {decision:?} {standings:?}"));
        }
    }

    async fn fault(&mut self, fault: Fault) -> Result<FaultReport> {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ fault as u64);
        let zone = rng.random_range(0..ZONES.len());
        let other = (zone + 1 + rng.random_range(0..2)) % ZONES.len();
        let mut report = FaultReport::default();
        let begun = self.decided();
        let (secs, ms) = (Duration::from_secs, Duration::from_millis);
        match fault {
            Fault::Calm => tokio::time::sleep(secs(5)).await,
            Fault::Replicas => {
                self.lose(zone, &mut report, secs(2)).await;
                self.home(&mut report, 25.0).await;
            }
            Fault::Lossy => {
                self.net.all(DatagramFaults { loss: 0.2, doubled: 0.1, delay: ms(60), silent: false });
                self.lose(zone, &mut report, secs(1)).await;
                self.net.heal();
                self.home(&mut report, 25.0).await;
            }
            Fault::Zone => {
                let copies: Vec<usize> = self.copies().filter(|&n| self.members[n].zone == zone).collect();
                copies.iter().for_each(|&n| self.kill(n));
                self.lose(zone, &mut report, secs(1)).await;
                for n in copies {
                    self.start_again(n).await?;
                }
                self.home(&mut report, 30.0).await;
            }
            Fault::Copies => {
                let copies: Vec<usize> = self.copies().filter(|&n| self.members[n].zone == zone).collect();
                copies.iter().for_each(|&n| self.kill(n));
                tokio::time::sleep(secs(4)).await;
                if !self.all_know(zone, |_, kept| kept == 1000) {
                    report.missing.push("leaves that are well were left with their copies".to_string());
                }
                for n in copies {
                    self.start_again(n).await?;
                }
                self.home(&mut report, 15.0).await;
            }
            Fault::Half => {
                self.fleet.vanish(zone, 3, true);
                tokio::time::sleep(secs(5)).await;
                let left = self.since(begun).iter().any(|d| d.zones[zone].retained < 1000);
                if left {
                    report.missing.push("a zone with half of its leaves was left whole".to_string());
                }
                self.fleet.vanish(zone, 3, false);
                self.home(&mut report, 15.0).await;
            }
            Fault::Flaps => {
                for _ in 0..4 {
                    self.fleet.vanish(zone, 6, true);
                    tokio::time::sleep(ms(1500)).await;
                    self.fleet.vanish(zone, 6, false);
                    tokio::time::sleep(ms(1500)).await;
                }
                let history = self.since(begun);
                let returns = history
                    .windows(2)
                    .filter(|w| w[0].zones[zone].retained == 0 && w[1].zones[zone].retained > 0);
                if returns.count() > 3 {
                    report.missing.push("it was let in again at each flap".to_string());
                }
                self.home(&mut report, 40.0).await;
            }
            Fault::Parted => {
                let copies: Vec<usize> = self.copies().filter(|&n| self.members[n].zone == zone).collect();
                self.net.part(&copies);
                tokio::time::sleep(secs(4)).await;
                let held = copies.iter().all(|&n| self.shows(n, |s| s.status == "holding"));
                if !held {
                    report.missing.push("copies that hear nobody do not hold what stands".to_string());
                }
                let left = self.since(begun).iter().any(|d| d.zones.iter().any(|p| p.retained < 1000));
                if left {
                    report.missing.push("a zone that is well for all was left".to_string());
                }
                self.net.heal();
                self.home(&mut report, 15.0).await;
            }
            Fault::Cut => {
                self.fleet.cut(zone, other, true);
                tokio::time::sleep(secs(4)).await;
                let left = self.since(begun).iter().any(|d| d.zones.iter().any(|p| p.retained < 1000));
                if left {
                    report.missing.push("a zone that the third reaches was left".to_string());
                }
                self.fleet.cut(zone, other, false);
                self.home(&mut report, 15.0).await;
            }
            Fault::Leader => {
                let Some(leader) = self.leader() else {
                    report.missing.push("nobody leads".to_string());
                    return Ok(report);
                };
                let zone = (self.members[leader].zone + 1) % ZONES.len();
                self.members[leader].up.set(false);
                let workers = self.members[leader].process.workers();
                let stop =
                    |signal| workers.iter().for_each(|&pid| crate::process::signal_worker(pid, signal));
                stop(Signal::STOP);
                let stopped = Instant::now();
                self.lose(zone, &mut report, ms(500)).await;
                tokio::time::sleep(secs(5).saturating_sub(stopped.elapsed())).await;
                stop(Signal::CONT);
                self.members[leader].up.set(true);
                self.home(&mut report, 25.0).await;
            }
            Fault::Majority => {
                let dead = [zone, other];
                dead.iter().for_each(|&n| self.kill(n));
                tokio::time::sleep(ms(1000)).await;
                let before = self.decided();
                let third = 3 - zone - other;
                self.fleet.vanish(third, 6, true);
                tokio::time::sleep(secs(4)).await;
                if self.decided() != before {
                    report.missing.push("a minority decided".to_string());
                }
                for n in dead {
                    self.start_again(n).await?;
                }
                let moved = self.until(|s| s.is_out(third), 15.0).await;
                if moved.is_none() {
                    report.missing.push("voters that came back did not decide".to_string());
                }
                self.heal(third);
                self.home(&mut report, 30.0).await;
            }
            Fault::Two => {
                self.fleet.vanish(zone, 6, true);
                let half = self.until(|s| s.all_know(zone, |_, kept| kept < 1000), 8.0).await;
                self.fleet.vanish(other, 6, true);
                let moved = self.until(|s| s.is_out(zone) && s.is_out(other), 10.0).await;
                report.moved = half.zip(moved).map(|(a, b)| a + b);
                let third = 3 - zone - other;
                if moved.is_none() || !self.all_know(third, |_, kept| kept == 1000) {
                    report.missing.push("two zones were not left for the third".to_string());
                }
                tokio::time::sleep(secs(1)).await;
                self.heal(zone);
                self.heal(other);
                self.home(&mut report, 40.0).await;
            }
            Fault::Slow => {
                self.fleet.behavior(zone, ReplicaBehavior::Slow(60.0));
                tokio::time::sleep(secs(6)).await;
                self.fleet.behavior(zone, ReplicaBehavior::Normal);
                self.home(&mut report, 40.0).await;
            }
            Fault::Restarts => {
                let of_other = self.copies().filter(|&n| self.members[n].zone == other && n >= ZONES.len());
                let [ends, upgraded] = of_other.collect::<Vec<_>>()[..] else {
                    anyhow::bail!("two copies of a zone do not vote");
                };
                self.fleet.vanish(zone, 6, true);
                self.until(|s| s.all_know(zone, |_, kept| kept < 1000), 8.0).await;
                self.members[ends].up.set(false);
                self.members[ends].process.signal(Signal::TERM)?;
                let before = self.members[upgraded].process.counter("upgrades done").await.unwrap_or(0);
                self.members[upgraded].up.set(false);
                self.members[upgraded].process.signal(Signal::USR2)?;
                self.members[ends].process.wait_for_exit(secs(15)).await.context("its end after SIGTERM")?;
                let start = Instant::now();
                while self.members[upgraded].process.counter("upgrades done").await != Some(before + 1) {
                    ensure!(
                        start.elapsed() < secs(20),
                        "no upgrade: {}",
                        self.members[upgraded].process.log()
                    );
                    tokio::time::sleep(ms(50)).await;
                }
                self.observed.borrow_mut().forget(upgraded);
                self.members[upgraded].up.set(true);
                self.start_again(ends).await?;
                if self.until(|s| s.is_out(zone), 10.0).await.is_none() {
                    report.missing.push("the zone was not left while copies restarted".to_string());
                }
                self.heal(zone);
                self.home(&mut report, 25.0).await;
            }
            Fault::Drain => {
                self.fleet.vanish(zone, 6, true);
                self.until(|s| s.all_know(zone, |_, kept| kept < 1000), 8.0).await;
                match self.order(OperatorOrder::Drain(other as u16)).await? {
                    OperatorAnswer::Decided(_) => {
                        if self.until(|s| s.is_out(other), 10.0).await.is_none() {
                            report.missing.push("a drained zone was not left".to_string());
                        }
                    }
                    OperatorAnswer::Rejected(why) if why.contains("carry") => {}
                    answer => {
                        report.missing.push(format!("a drain during a failover was answered {answer:?}"))
                    }
                }
                let third = 3 - zone - other;
                if let OperatorAnswer::Decided(_) = self.order(OperatorOrder::Drain(third as u16)).await? {
                    report.missing.push("the last zone was let be drained".to_string());
                }
                self.heal(zone);
                let back =
                    self.until(|s| s.all_know(zone, |state, _| state == ZoneState::Serving), 25.0).await;
                if back.is_none() {
                    report.missing.push("the lost zone did not come home".to_string());
                }
                if self.all_know(other, |state, _| state == ZoneState::OutOfService)
                    && !matches!(
                        self.order(OperatorOrder::Return(other as u16)).await?,
                        OperatorAnswer::Decided(_)
                    )
                {
                    report.missing.push("a drained zone that is well was not let return".to_string());
                }
                self.home(&mut report, 25.0).await;
            }
            Fault::Sick => {
                self.fleet.sicken(true);
                tokio::time::sleep(secs(5)).await;
                let touched = |d: &Decision| d.zones.iter().any(|p| p.retained < 1000 || p.cut_paths != 0);
                if self.since(begun).iter().any(touched) {
                    report.missing.push(format!("one sick copy moved something: {}", self.history()));
                }
                self.fleet.sicken(false);
                self.home(&mut report, 15.0).await;
            }
            Fault::Region => {
                self.lose(SOUTH, &mut report, secs(3)).await;
                self.home(&mut report, 25.0).await;
            }
            Fault::Strangers => {
                let decided = self.decided();
                let sent = self.strangers(&mut rng).await?;
                tokio::time::sleep(ms(500)).await;
                let mut left = 0;
                for reason in ["forged", "cut", "too_long", "other_version", "replayed", "unread"] {
                    let n =
                        self.members[0].process.counter(&format!("peers_left {reason}")).await.unwrap_or(0);
                    if n == 0 {
                        report.missing.push(format!("no datagram was counted as {reason}"));
                    }
                    left += n;
                }
                if left < sent {
                    report.missing.push(format!("{left} of {sent} bad datagrams were counted"));
                }
                let log = self.members[0].process.log();
                if log.lines().filter(|l| l.contains("rejected a datagram")).count() > 2 {
                    report.missing.push("bad datagrams flood the log".to_string());
                }
                if self.decided() > decided + 1 {
                    report.missing.push("bad datagrams had something decided".to_string());
                }
                self.home(&mut report, 10.0).await;
            }
        }
        Ok(report)
    }

    /// Sends the first copy what it must leave; how many.
    async fn strangers(&self, rng: &mut Pcg64) -> Result<u64> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let (own, to) = (socket.local_addr()?, self.members[0].known_as);
        // Straight to where it listens: the relay is the faults' own.
        let at = self.members[0].listen;
        let mut others = Sealer::new(derive_key("another secret altogether"), own, 1);
        let mut ours = Sealer::new(derive_key(SECRET), own, 1);
        let mut sent = 0;
        for _ in 0..40 {
            let body: Vec<u8> = (0..rng.random_range(1..300)).map(|_| rng.random()).collect();
            let sound = ours.seal(to, DatagramKind::Message, &[0xff; 9]).context("it is short")?;
            let mut version = sound.clone();
            version[2] = 9;
            let cut = &sound[..rng.random_range(1..12)];
            let forged = others.seal(to, DatagramKind::Consensus, &body).context("it is short")?;
            for bytes in [&sound[..], &sound[..], &version[..], cut, &forged[..], &body[..], &[7; 1500][..]] {
                socket.send_to(bytes, at).await?;
                sent += 1;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(sent)
    }

    /// The last decisions in short, and what the voters make of the evidence.
    fn history(&self) -> String {
        let observed = self.observed.borrow();
        let place =
            |p: &ZoneDecision| format!("{} {} of {}/{}", p.state.name(), p.retained, p.demand, p.capacity);
        let line = |d: &Decision| {
            let places: Vec<String> = d.zones.iter().map(place).collect();
            let ago = observed.at.get(&d.number).map_or(0.0, |at| at.elapsed().as_secs_f64());
            format!("{ago:.2} s ago {} {}: {}", d.number as u32, d.cause.name(), places.join(", "))
        };
        let lines: Vec<String> = observed.decisions.values().rev().take(12).map(line).collect();
        let evidence: Vec<String> =
            observed.last.values().take(ZONES.len()).map(|(_, s)| format!("{:?}", s.evidence)).collect();
        format!("{} | evidence {}", lines.join("; "), evidence.join(" / "))
    }

    /// The newest number known anywhere.
    fn decided(&self) -> u64 {
        self.observed.borrow().decisions.last_key_value().map_or(0, |(n, _)| *n)
    }

    fn since(&self, number: u64) -> Vec<Decision> {
        self.observed.borrow().decisions.range(number + 1..).map(|(_, d)| d.clone()).collect()
    }

    /// Plays one trouble under load; what it showed and the query logs of its clients, by copy.
    async fn under_load(&mut self, fault: Fault) -> Result<(FaultReport, Vec<QueryLog>)> {
        let query_logs: Vec<QueryLog> = self.members.iter().map(|_| QueryLog::default()).collect();
        let loads: Vec<Load> = (0..self.members.len())
            .map(|n| {
                let clients = Clients::new(self.members[n].process.address, query_logs[n].clone());
                let name = format!("{}{n}x{:x}", fault.name(), self.seed);
                Load::start(&name, self.seed ^ (n as u64) << 8, RATE, 0.0, clients)
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let mut report = self.fault(fault).await?;
        for load in loads {
            load.stop().await?;
        }
        // At copies that were there all the time.
        let lived = self.lived(fault);
        // Of a region that is lost, its own clients tell.
        let tells = |n: &&usize| fault != Fault::Region || self.members[**n].zone == SOUTH;
        let counted: Vec<usize> = lived.iter().filter(tells).copied().collect();
        let service: f64 = counted.iter().map(|&n| query_logs[n].service()).sum();
        report.service = service / counted.len().max(1) as f64;
        Ok((report, query_logs))
    }

    /// Copies that no fault killed, stopped or restarted: nothing may be lost at them.
    fn lived(&self, fault: Fault) -> Vec<usize> {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ fault as u64);
        let zone = rng.random_range(0..ZONES.len());
        let other = (zone + 1 + rng.random_range(0..2)) % ZONES.len();
        let all = 0..self.members.len();
        let here = |n: &usize| match fault {
            Fault::Zone | Fault::Copies => self.members[*n].file.is_none() || self.members[*n].zone != zone,
            // Any voter may have led; the others go on.
            Fault::Leader => *n >= ZONES.len(),
            Fault::Majority => *n != zone && *n != other,
            // It can't serve, and says so.
            Fault::Sick => *n != SICK,
            // One is ended in order, and its clients find it gone.
            Fault::Restarts => self.members[*n].zone != other || *n < ZONES.len(),
            _ => true,
        };
        all.filter(here).collect()
    }
}

/// A share of crossing parts, in percent, from the counters of the copies that take part.
async fn crossing(cluster: &ZoneCluster) -> (u64, u64) {
    let mut sums = (0, 0);
    for n in cluster.copies() {
        let process = &cluster.members[n].process;
        sums.0 += process.counter("zones parts_near").await.unwrap_or(0);
        sums.1 += process.counter("zones parts_across").await.unwrap_or(0);
    }
    sums
}

/// Troubles in the seed's order, calm first; then the loss of a zone once more without the common decision, and without
/// zones, from the same seed.
pub async fn play(program: &Path, seed: u64, only: Option<&str>, verbose: bool) -> Result<Outcome> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut faults: Vec<Fault> = FAULTS.iter().map(|(fault, _)| *fault).collect();
    match only {
        Some(name) => {
            faults.retain(|fault| fault.name().eq_ignore_ascii_case(name));
            let known = FAULTS.map(|(_, name)| name).join(", ");
            ensure!(!faults.is_empty(), "no trouble is named '{name}'; there are: [{known}]");
        }
        None => {
            // The loss of a zone is in each; of the others, some.
            faults.retain(|t| !matches!(t, Fault::Calm | Fault::Replicas));
            faults.shuffle(&mut rng);
            faults.truncate(5);
            faults.insert(0, Fault::Replicas);
            faults.insert(0, Fault::Calm);
        }
    }
    let mut outcome = through(program, seed, &faults, verbose, true).await?;
    if only.is_none() {
        for (way, name) in
            [(RoutingMode::ExclusiveReplica, "each copy alone"), (RoutingMode::ZoneBlind, "no zones")]
        {
            let mut cluster = ZoneCluster::start(program, seed, way).await?;
            let (service, query_logs) = cluster.lose_blindly(seed).await?;
            outcome.figure(&format!("service while a zone is lost, {name}, %"), service * 100.0);
            let lost: u64 = query_logs.iter().map(|l| l.count(QueryOutcome::Lost) + l.open()).sum();
            outcome.expect_zero(&format!("lost, {name}"), lost);
        }
    }
    Ok(outcome)
}

impl ZoneCluster {
    /// The same loss of a zone, with nobody to ask when it was left: as long as the common decision took at the most.
    async fn lose_blindly(&mut self, seed: u64) -> Result<(f64, Vec<QueryLog>)> {
        let mut rng = Pcg64::seed_from_u64(seed ^ Fault::Replicas as u64);
        let zone = rng.random_range(0..ZONES.len());
        let query_logs: Vec<QueryLog> = self.members.iter().map(|_| QueryLog::default()).collect();
        let loads: Vec<Load> = (0..self.members.len())
            .map(|n| {
                let clients = Clients::new(self.members[n].process.address, query_logs[n].clone());
                Load::start(&format!("blind{n}x{seed:x}"), seed ^ (n as u64) << 8, RATE, 0.0, clients)
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(1500)).await;
        self.fleet.vanish(zone, 6, true);
        tokio::time::sleep(Duration::from_secs(5)).await;
        self.heal(zone);
        tokio::time::sleep(Duration::from_secs(8)).await;
        for load in loads {
            load.stop().await?;
        }
        let service = query_logs.iter().map(QueryLog::service).sum::<f64>() / query_logs.len() as f64;
        Ok((service, query_logs))
    }
}

/// Those troubles in their order, one scene. `aims`: whether times and service are promised, too; the rules always are.
pub async fn through(
    program: &Path,
    seed: u64,
    faults: &[Fault],
    verbose: bool,
    aims: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut cluster = ZoneCluster::start(program, seed, RoutingMode::Agreed).await?;
    let (mut moved, mut back, mut all_query_logs) = (Vec::new(), Vec::new(), Vec::new());
    let (mut lost, mut queries, mut odd, mut twice, mut over) = (0, 0, 0, 0, 0.0_f64);
    for &fault in faults {
        let before = crossing(&cluster).await;
        let (report, query_logs) = cluster.under_load(fault).await?;
        if verbose {
            let figure = |x: Option<f64>| x.map_or("-".to_string(), |x| format!("{x:.2}"));
            println!(
                "{:<10} service {:>6.2} %  moved {:>6} s  back {:>6} s",
                fault.name(),
                report.service * 100.0,
                figure(report.moved),
                figure(report.back)
            );
        }
        if let Some(late) = report.late.as_ref().filter(|_| verbose) {
            println!("moved late: {late}");
        }
        let name = fault.name().to_lowercase();
        outcome.figure(&format!("service, {name}, %"), report.service * 100.0);
        if fault == Fault::Calm {
            let after = crossing(&cluster).await;
            let (near, across) = (after.0 - before.0, after.1 - before.1);
            let share = across as f64 / (near + across).max(1) as f64;
            outcome.figure("parts that cross zones on calm, %", share * 100.0);
            outcome.promise(share < 0.05, "under 5 % of parts cross zones on calm");
        }
        if aims && matches!(fault, Fault::Replicas | Fault::Zone) {
            outcome.promise(
                report.moved.is_some_and(|s| s <= MOVED_WITHIN),
                &format!("moved within {MOVED_WITHIN} s of a zone's loss ({name}: {:?})", report.moved),
            );
            outcome.promise(
                report.service >= 0.97,
                &format!("service at least 97 % where the rest can carry it ({name}: {:.3})", report.service),
            );
        }
        moved.extend(report.moved);
        back.extend(report.back);
        report.missing.iter().for_each(|what| outcome.promise(false, &format!("{name}: {what}")));
        for n in cluster.lived(fault) {
            lost += query_logs[n].count(QueryOutcome::Lost) + query_logs[n].open();
        }
        for query_log in query_logs {
            queries += query_log.all();
            odd += query_log.unexpected_statuses();
            twice += query_log.answered_twice();
            all_query_logs.push(query_log);
        }
        let copies = cluster.members.len() as f64;
        let (free, share, window) = BUDGET;
        // Each copy has a budget of its own; their sum bounds all runs.
        let asked: Vec<&QueryLog> = all_query_logs.iter().collect();
        over = over.max(cluster.fleet.query_log.over_budget_of(&asked, free * copies, share, window, SLACK));
    }
    outcome.figure("queries", queries as f64);
    outcome.expect_zero("lost at copies that lived", lost);
    outcome.expect_zero("answered twice", twice);
    outcome.expect_zero("odd answers", odd);
    outcome.expect_zero("side-effecting parts run twice", cluster.fleet.query_log.parts_run_again("sale-"));
    {
        let observed = cluster.observed.borrow();
        outcome.figure("decisions", observed.decisions.len() as f64);
        outcome.expect_zero("two decisions under one number", observed.two_under_one);
        outcome.expect_zero("acted on an older decision", observed.went_back);
        outcome.expect_zero("planned beyond capacity", observed.over_capacity);
    }
    let (factor, from, window, _) = COLD;
    outcome
        .expect_zero("parts over what a cold leaf may get", cluster.fleet.pushed_over(factor, from, window));
    outcome.figure("further runs over the budget", over);
    outcome.promise(over <= 0.0, "further calls stay within the budgets");
    for (name, mut values) in [("moved, s", moved), ("back home, s", back)] {
        values.sort_by(f64::total_cmp);
        if let (Some(middle), Some(longest)) = (values.get(values.len() / 2), values.last()) {
            outcome.figure(&format!("{name}: middle"), *middle);
            outcome.figure(&format!("{name}: longest"), *longest);
        }
    }
    let (passed, bytes, dropped) = cluster.net.counts();
    outcome.figure("datagrams between copies", passed as f64);
    outcome.figure("bytes a datagram", bytes as f64 / passed.max(1) as f64);
    outcome.figure("datagrams dropped on purpose", dropped as f64);
    let logs: String = cluster.members.iter().map(|m| m.process.log()).collect();
    let panicked = logs.lines().find(|l| l.contains("panicked"));
    outcome.promise(panicked.is_none(), &format!("nothing panics: {panicked:?}"));
    debug_assert_eq!(cluster.way, RoutingMode::Agreed);
    Ok(outcome)
}
