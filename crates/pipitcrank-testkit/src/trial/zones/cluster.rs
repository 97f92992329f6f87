//! The cluster that the zones trial plays on: members in three zones of one region and in a second region, one member of
//! the version before, replicas in each zone, and a network between members that can fail.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use pipitcrank_failover::decision::{Decision, OperatorOrder, ZoneDecision, ZoneState};
use pipitcrank_failover::node::{OperatorAnswer, StatusReport};
use pipitcrank_failover::routing_table::Proximity;

use super::report::FaultReport;
use crate::datagram_network::DatagramNetwork;
use crate::fleet::free_address;
use crate::process::Process;
use crate::query_log::{QueryLog, RetryBudget};
use crate::replica::{SlowStartLimit, Work};
use crate::trial::observer::{
    Observations, ObservedMember, POLL_INTERVAL, free_udp_address, observe, send_order,
};
use crate::trial::operators_file::zones_section;
use crate::zoned_fleet::{CELLS, ZonedFleet};

/// (zone, region): the faults' region, and another that the gateway alone reaches.
pub(super) const ALL_ZONES: [(&str, &str); 4] =
    [("a", "north"), ("b", "north"), ("c", "north"), ("d", "south")];
/// Zones of the region that has the faults, each with one voter.
pub(super) const NORTH_ZONES: usize = 3;
/// The zone of the other region.
pub(super) const SOUTH_ZONE: usize = 3;
const MEMBERS_PER_ZONE: usize = 3;
/// The member with links of its own to all replicas.
pub(super) const ISOLATED_MEMBER: usize = 7;
/// Replicas of one zone.
pub(super) const REPLICAS_PER_ZONE: usize = CELLS as usize;
/// Routing per mille that a healthy zone retains.
pub(super) const ALL_RETAINED: u16 = 1000;
/// A replica does two hundred parts a second; a zone is offered about a third of its configured capacity, so that one
/// alone carries nearly all three.
const WORK: Work = Work { mean_time: Duration::from_millis(10), concurrency: 2 };
/// Slow start as the node configuration states it.
pub(super) const SLOW_START: SlowStartLimit =
    SlowStartLimit { overload_factor: 1.2, initial_fraction: 0.15, window: Duration::from_millis(1500) };
/// How long a returned replica is in slow start.
const WARM_UP: Duration = Duration::from_secs(8);
/// Retry budget of one member as the node configuration states it.
pub(super) const BUDGET: RetryBudget = RetryBudget {
    free: 5.0,
    fraction: 0.1,
    window: Duration::from_secs(10),
    run_delay: Duration::from_secs(2),
};
/// Longest time to leave a lost zone that is promised, in seconds.
pub const MOVED_WITHIN_S: f64 = 3.0;
/// Longest wait for a lost zone to be left, in seconds.
const MOVE_LIMIT_S: f64 = 12.0;
/// Longest wait for members to find each other, in seconds.
const JOIN_LIMIT_S: f64 = 15.0;

/// How members route by zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RoutingMode {
    /// By the common decision.
    Agreed,
    /// Each by what it observes itself, its own zone first.
    Independent,
    /// Zones do not count.
    ZoneBlind,
}

/// One process of the program.
pub(super) struct Member {
    pub process: Process,
    pub zone: usize,
    /// Where it takes datagrams, behind the network's relay.
    pub listen: SocketAddr,
    /// The relay's address, by which others know it.
    pub known_as: SocketAddr,
    operators_file: Option<String>,
    /// It is meant to be running.
    pub up: Rc<Cell<bool>>,
}

/// All members, their replicas and the network between them.
pub(super) struct ZoneCluster {
    pub fleet: ZonedFleet,
    pub net: DatagramNetwork,
    pub members: Vec<Member>,
    pub observed: Rc<RefCell<Observations>>,
    pub mode: RoutingMode,
    pub seed: u64,
}

/// Where a member listens for datagrams, before and behind its relay.
struct MemberAddress {
    zone: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
}

/// Where a member takes gateway links, and the member of the other region that it keeps links to.
#[derive(Clone, Copy)]
struct GatewayAddresses {
    listen: SocketAddr,
    other_region: SocketAddr,
}

fn operators_file(address: &MemberAddress, voters: &[SocketAddr], gateway: GatewayAddresses) -> String {
    let (site, other) = if address.zone == SOUTH_ZONE { ("south", "north") } else { ("north", "south") };
    format!(
        "{{ {}, gateway = Some {{ site = \"{site}\", listen = \"{}\", connections = 1, prefer_near_s = 0.02 \
         , sites = [ {{ name = \"{other}\", address = \"{}\" }} ] }} \
         , upgrade = Some {{ start_s = 3.0, settle_s = 0.6, silent_s = 1.0, finish_s = 8.0 }} }}",
        zones_section(&ALL_ZONES, address.zone, address.listen, address.known_as, voters),
        gateway.listen,
        gateway.other_region
    )
}

/// The node configuration of a member, with slow start as tight as the trial has it.
fn node_config(fleet: &ZonedFleet, view: usize, seed: u64, mode: RoutingMode) -> Result<serde_json::Value> {
    let mut node_config = fleet.node_config(view, seed, mode != RoutingMode::ZoneBlind)?;
    let rules = &mut node_config["settings"]["rules"];
    rules["overload_factor"] = SLOW_START.overload_factor.into();
    rules["cold_from"] = SLOW_START.initial_fraction.into();
    Ok(node_config)
}

async fn member_addresses(net: &DatagramNetwork) -> Result<Vec<MemberAddress>> {
    let mut addresses = Vec::new();
    for n in 0..ALL_ZONES.len() * MEMBERS_PER_ZONE {
        let listen = free_udp_address().await?;
        let zone = if n < NORTH_ZONES * MEMBERS_PER_ZONE { n % NORTH_ZONES } else { SOUTH_ZONE };
        addresses.push(MemberAddress { zone, listen, known_as: net.relay(listen).await? });
    }
    Ok(addresses)
}

async fn start_members(
    program: &Path,
    seed: u64,
    mode: RoutingMode,
    fleet: &ZonedFleet,
    addresses: &[MemberAddress],
) -> Result<Vec<Member>> {
    let gateways: Vec<SocketAddr> = addresses.iter().map(|_| free_address()).collect::<Result<_>>()?;
    // The first of each zone votes.
    let voters: Vec<SocketAddr> = addresses[..NORTH_ZONES].iter().map(|address| address.known_as).collect();
    let mut members = Vec::new();
    for (n, address) in addresses.iter().enumerate() {
        let &MemberAddress { zone, listen, known_as } = address;
        // Each keeps links to one member of the other region.
        let other = if zone == SOUTH_ZONE {
            n % MEMBERS_PER_ZONE
        } else {
            NORTH_ZONES * MEMBERS_PER_ZONE + n % MEMBERS_PER_ZONE
        };
        let gateway = GatewayAddresses { listen: gateways[n], other_region: gateways[other] };
        let file = (mode == RoutingMode::Agreed).then(|| operators_file(address, &voters, gateway));
        let view = if n == ISOLATED_MEMBER { fleet.isolated_view() } else { zone };
        let node_config = node_config(fleet, view, seed ^ n as u64, mode)?;
        let process = Process::start(program, node_config, file.clone()).await?;
        let up = Rc::new(Cell::new(true));
        members.push(Member { process, zone, listen, known_as, operators_file: file, up });
    }
    // One of the version before: it knows of no others.
    let process = Process::start(program, node_config(fleet, 0, seed ^ 99, mode)?, None).await?;
    let unused = free_address()?;
    let up = Rc::new(Cell::new(true));
    members.push(Member { process, zone: 0, listen: unused, known_as: unused, operators_file: None, up });
    Ok(members)
}

impl ZoneCluster {
    pub(super) async fn start(program: &Path, seed: u64, mode: RoutingMode) -> Result<ZoneCluster> {
        let isolated_zone = ISOLATED_MEMBER % NORTH_ZONES;
        let fleet = ZonedFleet::start(seed, &ALL_ZONES, isolated_zone, WORK, QueryLog::default()).await?;
        let net = DatagramNetwork::new(seed ^ 5);
        let addresses = member_addresses(&net).await?;
        let members = start_members(program, seed, mode, &fleet, &addresses).await?;
        let cluster = ZoneCluster { fleet, net, members, observed: Rc::default(), mode, seed };
        if mode == RoutingMode::Agreed {
            cluster.observe().await?;
            let all_follow = |cluster: &ZoneCluster| cluster.all_follow();
            ensure!(
                cluster.until(all_follow, JOIN_LIMIT_S).await.is_some(),
                "copies do not find together: {}",
                cluster.logs()
            );
        }
        Ok(cluster)
    }

    /// Polls the members that take part, for as long as the cluster lives.
    async fn observe(&self) -> Result<()> {
        let taking_part = self.members.iter().filter(|member| member.operators_file.is_some());
        let observed = taking_part
            .map(|member| ObservedMember { address: member.known_as, up: member.up.clone() })
            .collect();
        let proximity = Proximity::new(&ALL_ZONES.map(|(_, region)| region.to_string()));
        observe(self.observed.clone(), observed, proximity).await
    }

    /// Whether the member takes part in the common decision; the one of the version before does not.
    pub(super) fn takes_part(&self, member: usize) -> bool {
        self.members[member].operators_file.is_some()
    }

    /// Members that take part and are meant to be running.
    pub(super) fn live_members(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members.len()).filter(|&n| self.takes_part(n) && self.members[n].up.get())
    }

    /// The live members of a zone.
    pub(super) fn live_members_of(&self, zone: usize) -> Vec<usize> {
        self.live_members().filter(|&n| self.members[n].zone == zone).collect()
    }

    /// Whether the member's last status is recent and satisfies the condition.
    pub(super) fn reports(&self, member: usize, condition: impl Fn(&StatusReport) -> bool) -> bool {
        let observed = self.observed.borrow();
        let recent = |at: &Instant| at.elapsed() < POLL_INTERVAL * 10;
        observed.last.get(&member).is_some_and(|(at, status)| recent(at) && condition(status))
    }

    /// Whether all live members report the zone's state and retained routing per mille to satisfy the condition.
    pub(super) fn all_know(&self, zone: usize, condition: impl Fn(ZoneState, u16) -> bool) -> bool {
        self.live_members().all(|n| {
            self.reports(n, |status| {
                let decision = status.decision.as_ref();
                decision.is_some_and(|d| condition(d.zones[zone].state, d.zones[zone].retained))
            })
        })
    }

    /// Whether all live members know the zone to be out of service.
    pub(super) fn is_out(&self, zone: usize) -> bool {
        self.all_know(zone, |state, _| state == ZoneState::OutOfService)
    }

    /// Whether all live members know that routing is being moved off the zone.
    pub(super) fn is_moving(&self, zone: usize) -> bool {
        self.all_know(zone, |_, retained| retained < ALL_RETAINED)
    }

    /// Whether all live members know that the zone keeps all of its routing.
    pub(super) fn keeps_all(&self, zone: usize) -> bool {
        self.all_know(zone, |_, retained| retained == ALL_RETAINED)
    }

    fn all_follow(&self) -> bool {
        self.live_members().all(|n| self.reports(n, |status| status.status == "following"))
    }

    fn all_home(&self) -> bool {
        let serves = |zone| {
            self.all_know(zone, |state, retained| state == ZoneState::Serving && retained == ALL_RETAINED)
        };
        (0..ALL_ZONES.len()).all(serves) && self.all_follow()
    }

    /// Waits for the condition; the seconds that it took, none where it did not come about.
    pub(super) async fn until(&self, condition: impl Fn(&ZoneCluster) -> bool, limit_s: f64) -> Option<f64> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < limit_s {
            if condition(self) {
                return Some(start.elapsed().as_secs_f64());
            }
            tokio::time::sleep(POLL_INTERVAL / 4).await;
        }
        None
    }

    /// The voter that the first voter which names one takes for the leader.
    pub(super) fn leader(&self) -> Option<usize> {
        let observed = self.observed.borrow();
        let named_by = |n: usize| {
            let status = observed.last.get(&n).filter(|_| self.members[n].up.get());
            status.and_then(|(_, status)| status.leader)
        };
        (0..NORTH_ZONES).find_map(named_by).map(usize::from)
    }

    pub(super) fn kill(&mut self, member: usize) {
        self.members[member].up.set(false);
        self.members[member].process.kill();
        self.observed.borrow_mut().forget(member);
    }

    pub(super) async fn restart(&mut self, member: usize) -> Result<()> {
        let file = self.members[member].operators_file.clone();
        self.members[member].process.restart(file).await?;
        self.observed.borrow_mut().forget(member);
        self.members[member].up.set(true);
        Ok(())
    }

    fn logs(&self) -> String {
        let tail = |member: &Member| {
            let log = member.process.log();
            log.lines().rev().take(12).collect::<Vec<_>>().join("\n")
        };
        self.members.iter().map(tail).collect::<Vec<_>>().join("\n--\n")
    }

    /// Sends an operator's order to the voters.
    pub(super) async fn order(&self, order: OperatorOrder) -> Result<OperatorAnswer> {
        let voters: Vec<SocketAddr> =
            self.members[..NORTH_ZONES].iter().map(|member| member.known_as).collect();
        send_order(&voters, order).await
    }

    /// Makes all replicas of a zone unreachable, waits until all members have left it, and returns it in slow start.
    pub(super) async fn lose(&mut self, zone: usize, report: &mut FaultReport, out_for: Duration) {
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        let moved = self.until(|cluster| cluster.is_out(zone), MOVE_LIMIT_S).await;
        report.moved = moved;
        report.late = moved.filter(|seconds| *seconds > MOVED_WITHIN_S).map(|_| self.history());
        if moved.is_none() {
            report.missing(format!("zone {} was not left: {}", ALL_ZONES[zone].0, self.history()));
        }
        tokio::time::sleep(out_for).await;
        self.heal(zone);
    }

    /// Returns the replicas of a zone, in slow start.
    pub(super) fn heal(&self, zone: usize) {
        self.fleet.begin_slow_start(zone, WARM_UP);
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, false);
    }

    /// Waits until all zones serve again.
    pub(super) async fn wait_home(&self, report: &mut FaultReport, limit_s: f64) {
        report.back = self.until(ZoneCluster::all_home, limit_s).await;
        if report.back.is_none() {
            let observed = self.observed.borrow();
            let decision = observed.decisions.last_key_value().map(|(_, d)| format!("{d:?}"));
            let statuses: Vec<String> =
                observed.last.values().map(|(_, status)| status.status.clone()).collect();
            report.missing(format!("not all is home: {decision:?} {statuses:?}"));
        }
    }

    /// The last decisions in short, and the voters' view of the evidence.
    pub(super) fn history(&self) -> String {
        let observed = self.observed.borrow();
        let zone_text =
            |z: &ZoneDecision| format!("{} {} of {}/{}", z.state.name(), z.retained, z.demand, z.capacity);
        let line = |d: &Decision| {
            let zones: Vec<String> = d.zones.iter().map(zone_text).collect();
            let ago = observed.first_seen.get(&d.number).map_or(0.0, |at| at.elapsed().as_secs_f64());
            format!("{ago:.2} s ago {} {}: {}", d.number as u32, d.cause.name(), zones.join(", "))
        };
        let lines: Vec<String> = observed.decisions.values().rev().take(12).map(line).collect();
        let evidence: Vec<String> = observed
            .last
            .values()
            .take(NORTH_ZONES)
            .map(|(_, status)| format!("{:?}", status.evidence))
            .collect();
        format!("{} | evidence {}", lines.join("; "), evidence.join(" / "))
    }

    /// The newest decision's number known anywhere.
    pub(super) fn newest_decision(&self) -> u64 {
        self.observed.borrow().newest_number()
    }

    /// All decisions after that number.
    pub(super) fn decisions_since(&self, number: u64) -> Vec<Decision> {
        self.observed.borrow().decisions.range(number + 1..).map(|(_, d)| d.clone()).collect()
    }

    /// Whether any decision after that number moved routing off the zone, or off any zone where none is named.
    pub(super) fn moved_since(&self, number: u64, zone: Option<usize>) -> bool {
        let moved = |zones: &[ZoneDecision]| match zone {
            Some(zone) => zones[zone].retained < ALL_RETAINED,
            None => zones.iter().any(|z| z.retained < ALL_RETAINED),
        };
        self.decisions_since(number).iter().any(|d| moved(&d.zones))
    }

    /// Parts that stayed in the coordinator's zone and parts that crossed zones, over all live members.
    pub(super) async fn part_locality(&self) -> PartLocality {
        let mut sum = PartLocality::default();
        for n in self.live_members() {
            let process = &self.members[n].process;
            sum.near += process.counter("zones parts_near").await.unwrap_or(0);
            sum.across += process.counter("zones parts_across").await.unwrap_or(0);
        }
        sum
    }
}

/// Parts by where they went.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartLocality {
    /// Within the coordinator's zone.
    pub near: u64,
    /// To another zone.
    pub across: u64,
}
