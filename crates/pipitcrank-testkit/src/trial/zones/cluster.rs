//! The cluster of the zones trial: members in three zones of one region and in a second region, one member without
//! failover that stands for the previous version, replicas in each zone, and a network between members that injects
//! faults.

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

/// All zones as (zone, region) pairs. Faults occur in the first region; the second is reached only through the gateway.
pub(super) const ALL_ZONES: [(&str, &str); 4] =
    [("a", "north"), ("b", "north"), ("c", "north"), ("d", "south")];
/// Number of zones in the first region, each with one voter.
pub(super) const NORTH_ZONES: usize = 3;
/// Index of the zone in the second region.
pub(super) const SOUTH_ZONE: usize = 3;
const MEMBERS_PER_ZONE: usize = 3;
/// Index of the member whose links to all replicas can fail separately from those of other members.
pub(super) const ISOLATED_MEMBER: usize = 7;
/// Number of replicas in one zone.
pub(super) const REPLICAS_PER_ZONE: usize = CELLS as usize;
/// Share of its routing that a healthy zone retains, per mille.
pub(super) const ALL_RETAINED: u16 = 1000;
/// Work of a replica, which serves 200 parts per second. The load on a zone is about a third of its configured
/// capacity, so one zone alone can carry nearly the load of all three.
const WORK: Work = Work { mean_time: Duration::from_millis(10), concurrency: 2 };
/// Slow-start limits set in the node configuration.
pub(super) const SLOW_START: SlowStartLimit =
    SlowStartLimit { overload_factor: 1.2, initial_fraction: 0.15, window: Duration::from_millis(1500) };
/// Duration of slow start for a restored replica.
const SLOW_START_TIME: Duration = Duration::from_secs(8);
/// Retry budget of one member, as in the node configuration.
pub(super) const BUDGET: RetryBudget = RetryBudget {
    free: 5.0,
    fraction: 0.1,
    window: Duration::from_secs(10),
    run_delay: Duration::from_secs(2),
};
/// Required time limit for moving all routing off a lost zone, in seconds.
pub const MOVED_WITHIN_S: f64 = 3.0;
/// Time limit of the trial's wait for routing to move off a lost zone, in seconds.
const MOVE_LIMIT_S: f64 = 12.0;
/// Time limit for all members to follow a common decision after their start, in seconds.
const JOIN_LIMIT_S: f64 = 15.0;

/// How members choose zones for their parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RoutingMode {
    /// Members follow the common decision.
    Agreed,
    /// Each member prefers its own zone and relies only on its own observations.
    Independent,
    /// Members ignore zones.
    ZoneBlind,
}

/// One process of the program.
pub(super) struct Member {
    pub process: Process,
    pub zone: usize,
    /// Address on which the member receives datagrams from its relay.
    pub listen: SocketAddr,
    /// Address of the relay, to which other members send.
    pub known_as: SocketAddr,
    operators_file: Option<String>,
    /// Whether the script expects the member to be running.
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

/// Zone of a member, its datagram address and the address of its relay.
struct MemberAddress {
    zone: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
}

/// Address on which a member accepts gateway links, and the address of its peer in the other region.
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

/// Builds the node configuration of a member with the limits of `SLOW_START`.
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
    // The first member of each zone in the first region is a voter.
    let voters: Vec<SocketAddr> = addresses[..NORTH_ZONES].iter().map(|address| address.known_as).collect();
    let mut members = Vec::new();
    for (n, address) in addresses.iter().enumerate() {
        let &MemberAddress { zone, listen, known_as } = address;
        // Each member has gateway links to one member of the other region.
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
    // A member without an operators' file stands for the previous version, which has no failover.
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
                "members do not follow a common decision after {JOIN_LIMIT_S} s: {}",
                cluster.logs()
            );
        }
        Ok(cluster)
    }

    /// Starts polling the members that take part in failover.
    async fn observe(&self) -> Result<()> {
        let taking_part = self.members.iter().filter(|member| member.operators_file.is_some());
        let observed = taking_part
            .map(|member| ObservedMember { address: member.known_as, up: member.up.clone() })
            .collect();
        let proximity = Proximity::new(&ALL_ZONES.map(|(_, region)| region.to_string()));
        observe(self.observed.clone(), observed, proximity).await
    }

    /// Whether the member takes part in failover; the member of the previous version does not.
    pub(super) fn takes_part(&self, member: usize) -> bool {
        self.members[member].operators_file.is_some()
    }

    /// Members that take part in failover and should be running.
    pub(super) fn live_members(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members.len()).filter(|&n| self.takes_part(n) && self.members[n].up.get())
    }

    /// The live members of a zone, in order of their index.
    pub(super) fn live_members_of(&self, zone: usize) -> Vec<usize> {
        self.live_members().filter(|&n| self.members[n].zone == zone).collect()
    }

    /// Whether the member's last status is recent and satisfies the condition.
    pub(super) fn reports(&self, member: usize, condition: impl Fn(&StatusReport) -> bool) -> bool {
        let observed = self.observed.borrow();
        let recent = |at: &Instant| at.elapsed() < POLL_INTERVAL * 10;
        observed.last.get(&member).is_some_and(|(at, status)| recent(at) && condition(status))
    }

    /// Whether `condition` holds for the zone's state and retained routing, per mille, in the status of every live
    /// member.
    pub(super) fn all_report(&self, zone: usize, condition: impl Fn(ZoneState, u16) -> bool) -> bool {
        self.live_members().all(|n| {
            self.reports(n, |status| {
                let decision = status.decision.as_ref();
                decision.is_some_and(|d| condition(d.zones[zone].state, d.zones[zone].retained))
            })
        })
    }

    /// Whether all live members report the zone as out of service.
    pub(super) fn is_out(&self, zone: usize) -> bool {
        self.all_report(zone, |state, _| state == ZoneState::OutOfService)
    }

    /// Whether all live members report that routing is moving off the zone.
    pub(super) fn is_moving(&self, zone: usize) -> bool {
        self.all_report(zone, |_, retained| retained < ALL_RETAINED)
    }

    /// Whether all live members report that the zone retains all of its routing.
    pub(super) fn retains_all(&self, zone: usize) -> bool {
        self.all_report(zone, |_, retained| retained == ALL_RETAINED)
    }

    fn all_follow(&self) -> bool {
        self.live_members().all(|n| self.reports(n, |status| status.status == "following"))
    }

    fn all_serving(&self) -> bool {
        let serves = |zone| {
            self.all_report(zone, |state, retained| state == ZoneState::Serving && retained == ALL_RETAINED)
        };
        (0..ALL_ZONES.len()).all(serves) && self.all_follow()
    }

    /// Waits for the condition. Returns the seconds that it took, or `None` after `limit_s` seconds.
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

    /// The leader reported by the first running voter that reports one.
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
        self.observed.borrow_mut().discard(member);
    }

    pub(super) async fn restart(&mut self, member: usize) -> Result<()> {
        let file = self.members[member].operators_file.clone();
        self.members[member].process.restart(file).await?;
        self.observed.borrow_mut().discard(member);
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

    /// Sends an operator's order to the voters and returns the answer.
    pub(super) async fn order(&self, order: OperatorOrder) -> Result<OperatorAnswer> {
        let voters: Vec<SocketAddr> =
            self.members[..NORTH_ZONES].iter().map(|member| member.known_as).collect();
        send_order(&voters, order).await
    }

    /// Makes all replicas of a zone unreachable, waits until no member routes to it, and restores it after `out_for`.
    pub(super) async fn fail_zone(&mut self, zone: usize, report: &mut FaultReport, out_for: Duration) {
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        let moved = self.until(|cluster| cluster.is_out(zone), MOVE_LIMIT_S).await;
        report.moved = moved;
        report.late = moved.filter(|seconds| *seconds > MOVED_WITHIN_S).map(|_| self.history());
        if moved.is_none() {
            report.fail(format!("zone {} was not left: {}", ALL_ZONES[zone].0, self.history()));
        }
        tokio::time::sleep(out_for).await;
        self.restore_zone(zone);
    }

    /// Makes the replicas of a zone reachable again, in slow start.
    pub(super) fn restore_zone(&self, zone: usize) {
        self.fleet.begin_slow_start(zone, SLOW_START_TIME);
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, false);
    }

    /// Waits until all live members report that every zone serves with all of its routing.
    pub(super) async fn wait_for_recovery(&self, report: &mut FaultReport, limit_s: f64) {
        report.recovered = self.until(ZoneCluster::all_serving, limit_s).await;
        if report.recovered.is_none() {
            let observed = self.observed.borrow();
            let decision = observed.decisions.last_key_value().map(|(_, d)| format!("{d:?}"));
            let statuses: Vec<String> =
                observed.last.values().map(|(_, status)| status.status.clone()).collect();
            report.fail(format!("not all is home: {decision:?} {statuses:?}"));
        }
    }

    /// Summary of the last decisions and of the evidence that the voters report, for messages about failed
    /// requirements.
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

    /// Number of the newest decision that any member reported.
    pub(super) fn newest_decision(&self) -> u64 {
        self.observed.borrow().newest_number()
    }

    /// All reported decisions whose number is higher than `number`.
    pub(super) fn decisions_since(&self, number: u64) -> Vec<Decision> {
        self.observed.borrow().decisions.range(number + 1..).map(|(_, d)| d.clone()).collect()
    }

    /// Whether any decision after the one with the given number moved routing off the zone, or off any zone if `zone`
    /// is `None`.
    pub(super) fn moved_since(&self, number: u64, zone: Option<usize>) -> bool {
        let moved = |zones: &[ZoneDecision]| match zone {
            Some(zone) => zones[zone].retained < ALL_RETAINED,
            None => zones.iter().any(|z| z.retained < ALL_RETAINED),
        };
        self.decisions_since(number).iter().any(|d| moved(&d.zones))
    }

    /// Sums the counters of parts within the zone and across zones over all live members.
    pub(super) async fn part_locality(&self) -> PartLocality {
        let mut sum = PartLocality::default();
        for n in self.live_members() {
            let process = &self.members[n].process;
            sum.same_zone += process.counter("zones parts_near").await.unwrap_or(0);
            sum.cross_zone += process.counter("zones parts_across").await.unwrap_or(0);
        }
        sum
    }
}

/// Number of parts by destination.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartLocality {
    /// Parts sent within the co-ordinator's zone.
    pub same_zone: u64,
    /// Parts sent to another zone.
    pub cross_zone: u64,
}
