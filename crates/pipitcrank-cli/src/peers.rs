//! The hands of this copy among others: one UDP socket, the exchange's counts made into evidence, the plan handed to the
//! exchange, events to log and counters. And the operators' command, which asks the copies over the same socket's kind.
//! What is decided stands in `pipitcrank-failover`.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail};
use pipitcrank_config::ZonesConfig;
use pipitcrank_core::coordinator::zones::{
    RequestTraffic, ZoneFraction, ZoneId, ZoneObservation, ZoneRouting, ZoneTraffic,
};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::controller::{FailoverController, FailoverTiming};
use pipitcrank_failover::decision::{FULL_PERMILLE, OperatorOrder, UNKNOWN_CAPACITY, ZoneState};
use pipitcrank_failover::follower::{DecisionFollower, RoutingPlan};
use pipitcrank_failover::node::{
    FailoverNode, FailoverNodeConfig, NodeEvent, OperatorAnswer, OperatorClient, ReceivedAnswer, StatusReport,
};
use pipitcrank_failover::routing_table::{ClassLoad, Proximity, shed_fractions};
use pipitcrank_membership::envelope::{MAX_DATAGRAM_BYTES, OutgoingDatagram, derive_key};
use pipitcrank_membership::evidence::ReplicaCounts;
use pipitcrank_membership::members::{Departure, MembershipEvent};
use pipitcrank_membership::peer::Peer;
use pipitcrank_recovery::restart_waves::{RestartNode, RestartRequest, plan_waves};
use pipitcrank_server::discovery::client::SharedRevision;
use pipitcrank_server::runtime::counters::Counters;
use pipitcrank_server::serve::ServerContext;
use tokio::net::UdpSocket;

use crate::disk::{Disk, Past};

/// Datagrams taken in a row before anything else gets its turn.
const A_ROW: usize = 32;
/// While another process of this copy still has the address, it is asked for again so often.
const ADDRESS_AGAIN: Duration = Duration::from_millis(50);
/// Of a zone that is shut, so many replicas are probed each time evidence is gathered: by all that speak together each
/// replica of some dozens is asked within a second.
const LOOKS: usize = 8;
/// A zone is looked into where one in so many of its replicas left something without a word.
const DOUBTED: u32 = 4;
/// Of a zone of which little was just heard, as on calm of all but the own: each replica of some is asked each second, so
/// that its loss is known before it is needed.
const GLANCES: usize = 2;
/// Rates are over so long: shorter ones jump with single queries.
const RATE_OVER: TimeSpan = TimeSpan::from_millis(2000);

/// Tells a process apart from any before it.
pub fn since_1970_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

pub fn span(d: Duration) -> TimeSpan {
    TimeSpan::from_secs_f64(d.as_secs_f64())
}

/// This copy's zone by its place in the operators' list: from the operators' file, else from the platform. Contradictions
/// are named by their key.
pub fn own_zone(zones: &ZonesConfig, platform: Option<&(ZoneId, Vec<String>)>) -> Result<usize> {
    let names: Vec<&str> = zones.zone_names();
    let place = |name: &str| names.iter().position(|n| *n == name);
    if let Some((own, told)) = platform {
        if let Some(unknown) = told.iter().find(|name| place(name).is_none()) {
            bail!("/zones/zones lacks '{unknown}' of the charter's /settings/zones: {}", told.join(", "));
        }
        if let Some((n, extra)) = names.iter().enumerate().find(|(_, name)| !told.iter().any(|t| t == *name))
        {
            bail!(
                "/zones/zones/{n}/name is '{extra}', none of the charter's /settings/zones: {}",
                told.join(", ")
            );
        }
        let own = &told[usize::from(own.0)];
        if let Some(said) = zones.own_zone.as_ref().filter(|said| *said != own) {
            bail!("/zones/zone is '{said}', and the charter's /settings/zone is '{own}'");
        }
        return Ok(place(own).unwrap_or(0));
    }
    match zones.own_zone.as_deref().and_then(place) {
        Some(own) => Ok(own),
        None => bail!("/zones/zone is missing, and the charter names none; accepted: {}", names.join(", ")),
    }
}

fn regions(zones: &ZonesConfig) -> Vec<String> {
    zones.zones.iter().map(|zone| zone.region.clone()).collect()
}

/// What a copy is that stands there with others; or a fault by its key. `opens` gives its store, and what a process before
/// it left there; asked once no process of this copy has its address any more.
pub fn stand<O>(
    ground: &ServerContext,
    zones: ZonesConfig,
    opens: O,
) -> Result<impl Future<Output = ()> + use<O>>
where
    O: AsyncFnOnce(tokio::sync::watch::Receiver<bool>) -> (Option<Disk>, Past) + 'static,
{
    let own = own_zone(&zones, ground.zones.as_ref())?;
    let (event_loop, utilities, rev) =
        (ground.event_loop.clone(), ground.priority_weights.clone(), ground.revision.clone());
    let (mut leaving, end_called) = (ground.draining.clone(), ground.shutdown_requested.clone());
    let names: Vec<String> = zones.zones.iter().map(|zone| zone.name.clone()).collect();
    let regions = regions(&zones);
    let region: Vec<bool> = regions.iter().map(|r| *r == regions[own]).collect();
    // A site is a region: its replicas stand for all of its zones.
    let stands_for: Vec<usize> = (0..regions.len())
        .map(|zone| match region[zone] {
            true => zone,
            false => regions.iter().position(|r| *r == regions[zone]).unwrap_or(zone),
        })
        .collect();
    let sites = (0..regions.len()).filter(|&zone| !region[zone] && stands_for[zone] == zone);
    let site_zones = sites.map(|zone| (regions[zone].clone(), names[zone].clone())).collect();
    event_loop.update(|e| {
        e.set_zone_names(names.clone());
        e.set_site_zones(site_zones);
        if !zones.dry_run {
            e.set_zone_routing(ZoneRouting {
                fractions: vec![ZoneFraction { zone: ZoneId(own as u16), fraction: 1.0 }],
                ..ZoneRouting::default()
            });
        }
    });
    Ok(async move {
        let socket = loop {
            match UdpSocket::bind(zones.listen).await {
                Ok(socket) => break socket,
                Err(wrong) => tracing::debug!("/zones/listen {}: {wrong}", zones.listen),
            }
            tokio::select! {
                () = tokio::time::sleep(ADDRESS_AGAIN) => {}
                _ = leaving.wait_for(|left| *left) => return,
            }
        };
        let (disk, Past { recalled, memory }) = opens(leaving.clone()).await;
        let now = event_loop.clock.now();
        let mut instance = instance(now, &zones, own);
        if disk.is_some() {
            instance.require_durable_memory();
            if let Some(decision) = &recalled.decision {
                let (generation, count) = (decision.number >> 32, decision.number as u32);
                tracing::info!(
                    members = recalled.members.len(),
                    "recalls decision {generation}.{count}: none older is taken"
                );
            }
            instance.restore(now, recalled.decision, recalled.members, memory);
        }
        tracing::info!(zone = names[own], known_as = %zones.advertised, voter = votes(&zones), "stands with other copies");
        let (watch, rates) = (Watch::new(&names), Rates::new(now));
        let mut hands = Hands {
            socket,
            instance,
            disk,
            rev,
            event_loop,
            names,
            own,
            stands_for,
            region,
            dry: zones.dry_run,
            utilities,
            watch,
            rates,
            plan: None,
            turned_away: Vec::new(),
        };
        hands.run(&mut leaving).await;
        let how = if end_called.borrow().is_some() { Departure::Left } else { Departure::Upgraded };
        let now = hands.event_loop.clock.now();
        hands.instance.leave(now, how);
        hands.pass_on(now).await;
    })
}

async fn rings(disk: &Option<Disk>) {
    match disk {
        Some(disk) => disk.rings().await,
        None => std::future::pending().await,
    }
}

fn votes(zones: &ZonesConfig) -> bool {
    zones.voter_slot(zones.advertised).is_some()
}

fn instance(now: Timestamp, zones: &ZonesConfig, own: usize) -> FailoverNode {
    let near = Proximity::new(&regions(zones));
    let timing = FailoverTiming {
        suspect_after: span(zones.suspect_time),
        hold_down: span(zones.hold_down),
        max_hold_down: span(zones.hold_down_max),
        calm_after: span(zones.hold_down_reset),
    };
    let count = zones.zones.len();
    let controller = FailoverController::new(timing, near.clone(), count, zones.replica_capacity);
    let follower = DecisionFollower::new(own as u16, count, near, span(zones.decision_lease), zones.dry_run);
    let peer = Peer { address: zones.advertised, instance: since_1970_us(), zone: own as u16 };
    let config = FailoverNodeConfig {
        own: peer,
        key: derive_key(&zones.secret),
        known_nodes: zones.seeds.clone(),
        voters: zones.voters.iter().map(|v| v.address).collect(),
        zone_count: count,
        controller,
        follower,
    };
    FailoverNode::new(now, config)
}

struct Hands {
    socket: UdpSocket,
    instance: FailoverNode,
    disk: Option<Disk>,
    rev: SharedRevision,
    event_loop: std::rc::Rc<pipitcrank_server::runtime::event_loop::EventLoop>,
    names: Vec<String>,
    own: usize,
    /// By zone: the one whose replicas stand for it here. Its own for those of this region, the region's first for others.
    stands_for: Vec<usize>,
    /// By zone: whether it is of this region.
    region: Vec<bool>,
    dry: bool,
    utilities: Vec<f64>,
    watch: Watch,
    rates: Rates,
    /// What the exchange goes by.
    plan: Option<RoutingPlan>,
    turned_away: Vec<f64>,
}

impl Hands {
    async fn run(&mut self, leaving: &mut tokio::sync::watch::Receiver<bool>) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.event_loop.clock.instant(self.instance.next_deadline());
            tokio::select! {
                _ = leaving.wait_for(|left| *left) => return,
                ready = self.socket.readable() => if ready.is_err() { tokio::time::sleep(ADDRESS_AGAIN).await },
                () = rings(&self.disk) => {}
                () = tokio::time::sleep_until(due) => {}
            }
            let now = self.event_loop.clock.now();
            for _ in 0..A_ROW {
                match self.socket.try_recv_from(&mut bytes) {
                    Ok((length, _)) => self.instance.handle_datagram(now, &bytes[..length]),
                    // Nothing there, or a word of the machine that somebody sent to is not there.
                    Err(_) => break,
                }
            }
            self.instance.tick(now);
            if self.instance.take_report_due(now) {
                self.see(now);
            }
            self.pass_on(now).await;
        }
    }

    fn see(&mut self, now: Timestamp) {
        let (seen, tally) = self.event_loop.read(|e| e.observe_zones(now));
        self.rates.take(now, &tally);
        // Of another region only its site is met here, which tells nothing of one of its zones.
        let of = |(zone, seen): (usize, &ZoneObservation)| match self.region[zone] {
            true => row(seen, self.rates.merged(zone)),
            false => ReplicaCounts::default(),
        };
        let rows = seen.iter().enumerate().map(of).collect();
        self.instance.report_evidence(now, rows, self.rates.asked());
        for (zone, seen) in seen.iter().enumerate() {
            let shut = self.plan.as_ref().is_some_and(|p| p.closed_zones.contains(&(zone as u16)));
            let unseen = seen.recently_heard * 2 < seen.listed;
            let doubted = seen.suspected * DOUBTED >= seen.listed && seen.suspected > 0;
            // Of many copies those look that speak for their zone: probes have their price.
            if self.instance.is_reporter() && (shut || unseen || doubted) {
                let most = if shut || doubted { LOOKS } else { GLANCES };
                self.event_loop.update(|e| e.probe_zone(ZoneId(zone as u16), most));
            }
        }
        let counters = &self.event_loop.counters;
        counters.set("zones", "parts_near", tally.same_zone_parts);
        counters.set("zones", "parts_across", tally.cross_zone_parts);
    }

    async fn pass_on(&mut self, now: Timestamp) {
        if let Some(disk) = &mut self.disk {
            if let Some(memory) = self.instance.take_memory() {
                disk.keep(&memory);
            }
            if self.instance.awaits_persistence() && disk.is_kept() {
                self.instance.memory_persisted(now);
            }
            disk.look(now, &self.event_loop, &self.rev, || self.instance.restart_state());
        }
        for event in self.instance.take_events() {
            self.watch.take(now, event, &self.event_loop.counters);
        }
        let counters = &self.event_loop.counters;
        counters.set("zones", "older_decisions_left", self.instance.stale_decisions());
        counters.set("peers_sent", "bytes", self.instance.sent().bytes);
        counters.set("peers_sent", "datagrams", self.instance.sent().datagrams);
        let plan = self.instance.routing_plan(now);
        counters.set("zones", "decision", plan.decision_number);
        let away = match plan.shed {
            0 => Vec::new(),
            shed => shed_fractions(shed, &self.rates.mix(&self.utilities)),
        };
        // What request classes ask changes from moment to moment: followed where it matters.
        let differs = away.len() != self.turned_away.len()
            || away.iter().zip(&self.turned_away).any(|(a, b)| (a - b).abs() > 0.02);
        if self.plan.as_ref() != Some(&plan) || differs {
            self.apply(&plan, away.clone());
            (self.plan, self.turned_away) = (Some(plan), away);
        }
        for OutgoingDatagram { to, bytes } in self.instance.take_datagrams() {
            // A datagram that can't go now is one that was lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    fn apply(&self, plan: &RoutingPlan, turned_away: Vec<f64>) {
        let whole = f64::from(FULL_PERMILLE);
        let mut fractions = vec![ZoneFraction { zone: ZoneId(self.own as u16), fraction: 0.0 }];
        for planned in &plan.fractions {
            let stands = ZoneId(self.stands_for[usize::from(planned.zone)] as u16);
            let fraction = f64::from(planned.permille) / whole;
            match fractions.iter_mut().find(|known| known.zone == stands) {
                Some(known) => known.fraction += fraction,
                None => fractions.push(ZoneFraction { zone: stands, fraction }),
            }
        }
        // A region is shut when all of its zones are.
        let is_shut = |zone: usize| plan.closed_zones.contains(&(zone as u16));
        let all_shut =
            |first: usize| (0..self.stands_for.len()).filter(|&z| self.stands_for[z] == first).all(is_shut);
        let zones = 0..self.names.len();
        let shut =
            zones.filter(|&z| self.stands_for[z] == z && all_shut(z)).map(|z| ZoneId(z as u16)).collect();
        if !self.dry {
            self.event_loop.update(|e| {
                e.set_zone_routing(ZoneRouting { fractions, closed: shut, shed_fractions: turned_away })
            });
        }
        let shares: Vec<String> = plan
            .fractions
            .iter()
            .map(|f| format!("{} {:.1} %", self.names[usize::from(f.zone)], f64::from(f.permille) / 10.0))
            .collect();
        tracing::info!(
            number = plan.decision_number,
            lack = plan.shed,
            "queries are meant for {}",
            shares.join(", ")
        );
    }
}

fn row(seen: &ZoneObservation, merged: u32) -> ReplicaCounts {
    let small = |n: u32| n.min(u32::from(u16::MAX)) as u16;
    ReplicaCounts {
        listed: small(seen.listed),
        answering: small(seen.answering),
        silent: small(seen.silent),
        failing: small(seen.failing),
        saturated: small(seen.overloaded),
        warming_up: small(seen.in_slow_start),
        answered_parts: merged,
    }
}

/// Rates from counts that only grow.
struct Rates {
    before: (Timestamp, ZoneTraffic),
    asked: f64,
    merged: Vec<f64>,
    by_class: Vec<(f64, f64)>,
}

impl Rates {
    fn new(now: Timestamp) -> Rates {
        Rates { before: (now, ZoneTraffic::default()), asked: 0.0, merged: Vec::new(), by_class: Vec::new() }
    }

    fn take(&mut self, now: Timestamp, tally: &ZoneTraffic) {
        let passed = (now - self.before.0).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        // The newest word weighs as its time does in what the rate is over.
        let weight = (passed / RATE_OVER.as_secs_f64()).min(1.0);
        let old = std::mem::replace(&mut self.before, (now, tally.clone())).1;
        let blend = |rate: &mut f64, more: u64| *rate += weight * (more as f64 / passed - *rate);
        let of = |list: &[RequestTraffic], n: usize| list.get(n).copied().unwrap_or_default();
        self.by_class.resize(tally.requested.len(), (0.0, 0.0));
        for (n, rate) in self.by_class.iter_mut().enumerate() {
            let (now, before) = (of(&tally.requested, n), of(&old.requested, n));
            blend(&mut rate.0, now.queries - before.queries);
            blend(&mut rate.1, now.parts - before.parts);
        }
        self.asked = self.by_class.iter().map(|r| r.1).sum();
        self.merged.resize(tally.answered_parts.len(), 0.0);
        for (n, rate) in self.merged.iter_mut().enumerate() {
            blend(rate, tally.answered_parts[n] - old.answered_parts.get(n).copied().unwrap_or(0));
        }
    }

    /// Parts a second of clients.
    fn asked(&self) -> u32 {
        self.asked.round() as u32
    }

    fn merged(&self, zone: usize) -> u32 {
        self.merged.get(zone).copied().unwrap_or(0.0).round() as u32
    }

    /// Of each request class, its share of the parts and its utility a part.
    fn mix(&self, utilities: &[f64]) -> Vec<ClassLoad> {
        let all = self.asked.max(1e-9);
        let of = |(n, &(queries, parts)): (usize, &(f64, f64))| {
            let utility = utilities.get(n).copied().unwrap_or(1.0);
            ClassLoad { work_fraction: parts / all, priority_weight: utility * queries / parts.max(1e-9) }
        };
        self.by_class.iter().enumerate().map(of).collect()
    }
}

/// Events to log and counters. What others send that is bad is counted, and said once a while, not each time.
struct Watch {
    names: Vec<String>,
    bad_said: Option<Timestamp>,
}

/// Bad datagrams are said in the log at most so often.
const SAID_AGAIN: TimeSpan = TimeSpan::from_millis(10_000);

impl Watch {
    fn new(names: &[String]) -> Watch {
        Watch { names: names.to_vec(), bad_said: None }
    }

    fn take(&mut self, now: Timestamp, event: NodeEvent, counters: &Counters) {
        match event {
            NodeEvent::Decided(decision) => {
                counters.add("zones", "decisions");
                let zone = &self.names[usize::from(decision.zone)];
                let states: Vec<String> = (self.names.iter().zip(&decision.zones))
                    .map(|(name, p)| {
                        format!("{name} {} {:.1} %", p.state.name(), f64::from(p.retained) / 10.0)
                    })
                    .collect();
                tracing::info!(
                    number = decision.number,
                    cause = decision.cause.name(),
                    zone,
                    frozen = decision.frozen,
                    "decided: {}",
                    states.join(", ")
                );
            }
            NodeEvent::Proposed { cause, zone, finding, reporters, voters } => {
                counters.add("zones", "proposed");
                tracing::info!(
                    cause = cause.name(),
                    zone = self.names[usize::from(zone)],
                    evidence = %finding.name(),
                    speakers = reporters,
                    voters,
                    "asks the voters"
                );
            }
            NodeEvent::Membership(MembershipEvent::Up(peer)) => {
                counters.add("members", "up");
                tracing::info!(member = %peer.address, zone = self.zone(&peer), "a copy is there");
            }
            NodeEvent::Membership(MembershipEvent::Down(peer, how)) => {
                let how = match how {
                    Departure::Left => "left",
                    Departure::Upgraded => "upgraded",
                    Departure::Died => "died",
                };
                counters.add("members", how);
                tracing::info!(member = %peer.address, zone = self.zone(&peer), "a copy {how}");
            }
            NodeEvent::Membership(MembershipEvent::Refuted(_)) => {
                counters.add("members", "refuted");
                tracing::warn!("held to be dead by others, and refuted");
            }
            NodeEvent::StatusChanged(standing) => {
                counters.add("zones_standing", standing.name());
                tracing::info!("zones: this copy is {}", standing.name());
            }
            NodeEvent::LeadershipChanged(leads) => {
                counters.add("zones", if leads { "leads" } else { "leads_no_more" });
                tracing::info!("{}", if leads { "leads the voters" } else { "leads the voters no more" });
            }
            NodeEvent::DatagramRejected(rejection) => {
                let reason = rejection.name();
                counters.add("peers_left", reason);
                self.say_bad(now, reason);
            }
            NodeEvent::Undecodable => {
                counters.add("peers_left", "unread");
                self.say_bad(now, "unread");
            }
            NodeEvent::OrderAnswered(order, answer) => tracing::info!(?order, ?answer, "an operator's order"),
        }
    }

    fn say_bad(&mut self, now: Timestamp, reason: &str) {
        if self.bad_said.is_none_or(|at| now - at >= SAID_AGAIN) {
            self.bad_said = Some(now);
            tracing::warn!(reason, "a datagram is left; more are counted under peers_left");
        }
    }

    fn zone(&self, peer: &Peer) -> &str {
        self.names.get(usize::from(peer.zone)).map_or("?", String::as_str)
    }
}

// The operators' command.

/// Asks again after this, and everybody meant.
const ASKED_AGAIN: Duration = Duration::from_millis(300);

/// Carries out `pipitcrank zones WHAT [ZONE]`; the exit code.
pub fn command(
    zones: Option<ZonesConfig>,
    what: &str,
    zone: Option<&str>,
    at: Option<SocketAddr>,
    wait: Duration,
) -> Result<i32> {
    let zones = zones.context("/zones is off in that operators' file")?;
    if what == "begin" {
        return begin_without(&zones, zone.unwrap_or_default(), wait);
    }
    let place = || -> Result<u16> {
        let name = zone.context("it takes a zone's name")?;
        let names: Vec<&str> = zones.zone_names();
        let found = names.iter().position(|n| *n == name);
        Ok(found.with_context(|| format!("'{name}' is none of {}", names.join(", ")))? as u16)
    };
    let order = match what {
        "drain" => Some(OperatorOrder::Drain(place()?)),
        "return" => Some(OperatorOrder::Return(place()?)),
        "freeze" => Some(OperatorOrder::Freeze),
        "thaw" => Some(OperatorOrder::Thaw),
        _ => None,
    };
    // An order is for whoever leads the voters; each of them says whether it does.
    let to: Vec<SocketAddr> = match (at, order) {
        (Some(at), _) => vec![at],
        (None, None) => vec![zones.advertised],
        (None, Some(_)) => zones.voters.iter().map(|v| v.address).collect(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let answer = runtime.block_on(ask(&zones, &to, Asks::Order(order), wait))?;
    match answer {
        Some(OperatorAnswer::Status(shown)) => show(&zones, &shown),
        Some(OperatorAnswer::Decided(number)) => {
            println!("decided, number {}.{}", number >> 32, number as u32)
        }
        Some(OperatorAnswer::Rejected(why)) => bail!("refused: {why}"),
        Some(OperatorAnswer::NotLeader(_) | OperatorAnswer::Members { .. }) => {
            bail!("no voter leads: {} asked", to.len())
        }
        None => bail!(
            "no answer of {} within {wait:?}",
            to.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
        ),
    }
    Ok(0)
}

/// Has each voter but those named begin anew without them; the exit code.
fn begin_without(zones: &ZonesConfig, named: &str, wait: Duration) -> Result<i32> {
    let mut away = Vec::new();
    for address in named.split(',').filter(|a| !a.is_empty()) {
        let seat = zones.voters.iter().position(|v| v.address.to_string() == address);
        let voters: Vec<String> = zones.voters.iter().map(|v| v.address.to_string()).collect();
        away.push(
            seat.with_context(|| format!("'{address}' is none of /zones/voters: {}", voters.join(", ")))?
                as u8,
        );
    }
    let there: Vec<SocketAddr> =
        (0..).zip(&zones.voters).filter(|(seat, _)| !away.contains(seat)).map(|(_, v)| v.address).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut faults = Vec::new();
    for &voter in &there {
        match runtime.block_on(ask(zones, &[voter], Asks::StayAway(away.clone()), wait))? {
            Some(OperatorAnswer::Decided(_)) => println!("{voter} goes on without {} voters", away.len()),
            Some(OperatorAnswer::Rejected(why)) => faults.push(format!("{voter} refused: {why}")),
            _ => faults.push(format!("{voter} did not answer")),
        }
    }
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("; "));
    Ok(0)
}

/// Prints in which waves the copies can be restarted, each with at most `share` of them and of each zone's; the exit code.
pub fn restart_plan(
    zones: Option<ZonesConfig>,
    share: f64,
    at: Option<SocketAddr>,
    wait: Duration,
) -> Result<i32> {
    let zones = zones.context("/zones is off in that operators' file")?;
    anyhow::ensure!((0.0..=1.0).contains(&share), "--share is {share}, not from 0 to 1");
    let to = [at.unwrap_or(zones.advertised)];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let silent = || format!("no answer of {} within {wait:?}", to[0]);
    let Some(OperatorAnswer::Status(shown)) = runtime.block_on(ask(&zones, &to, Asks::Order(None), wait))?
    else {
        bail!(silent())
    };
    let decision = shown.decision.with_context(|| format!("{} knows of no decision", to[0]))?;
    let mut copies = Vec::new();
    let mut after = None;
    loop {
        let Some(OperatorAnswer::Members { members: some, more }) =
            runtime.block_on(ask(&zones, &to, Asks::Who(after), wait))?
        else {
            bail!(silent())
        };
        after = some.last().map(|p| p.address);
        copies.extend(some.into_iter().map(|p| RestartNode {
            is_voter: zones.voter_slot(p.address).is_some(),
            address: p.address,
            zone: p.zone,
        }));
        if !more {
            break;
        }
    }
    let leader = shown.leader.and_then(|seat| Some(zones.voters.get(usize::from(seat))?.address));
    let home: Vec<bool> =
        decision.zones.iter().map(|p| p.state == ZoneState::Serving && p.retained == FULL_PERMILLE).collect();
    let waves = plan_waves(&RestartRequest {
        nodes: &copies,
        configured_voters: zones.voters.len(),
        leader,
        zone_serves: &home,
        max_fraction: share,
    })?;
    for (n, wave) in waves.iter().enumerate() {
        let named = |c: &RestartNode| {
            let zone = zones.zones.get(usize::from(c.zone)).map_or("?", |z| z.name.as_str());
            format!("{} ({zone}{})", c.address, if c.is_voter { ", voter" } else { "" })
        };
        println!("{}: {}", n + 1, wave.iter().map(named).collect::<Vec<_>>().join(", "));
    }
    Ok(0)
}

enum Asks {
    Order(Option<OperatorOrder>),
    Who(Option<SocketAddr>),
    StayAway(Vec<u8>),
}

async fn ask(
    zones: &ZonesConfig,
    to: &[SocketAddr],
    asks: Asks,
    wait: Duration,
) -> Result<Option<OperatorAnswer>> {
    let socket = UdpSocket::bind((zones.listen.ip(), 0)).await.context("an address to ask from")?;
    let mut command = OperatorClient::new(derive_key(&zones.secret), socket.local_addr()?, since_1970_us());
    let (until, mut last) = (Instant::now() + wait, None);
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    while Instant::now() < until {
        for &at in to {
            let asked = match &asks {
                Asks::Order(order) => command.request(at, *order),
                Asks::Who(after) => command.request_members(at, *after),
                Asks::StayAway(seats) => command.request_exclusion(at, seats.clone()),
            };
            if let Some(asked) = asked {
                let _ = socket.send_to(&asked, at).await;
            }
        }
        let again = Instant::now() + ASKED_AGAIN;
        while let Ok(came) = tokio::time::timeout_at(again.into(), socket.recv_from(&mut bytes)).await {
            // An error tells of one who is not there; the others may be.
            let Ok((length, _)) = came else { continue };
            match command.open_answer(&bytes[..length]) {
                Some(ReceivedAnswer { answer: OperatorAnswer::NotLeader(leader), .. }) => {
                    last = Some(OperatorAnswer::NotLeader(leader))
                }
                Some(ReceivedAnswer { answer, .. }) => return Ok(Some(answer)),
                None => {}
            }
        }
    }
    Ok(last)
}

fn show(zones: &ZonesConfig, shown: &StatusReport) {
    let share = |n: u16| format!("{:.1} %", f64::from(n) / 10.0);
    println!("this copy is {}; {} copies are there", shown.status, shown.members);
    if let Some(leader) = shown.leader {
        let at = zones.voters.get(usize::from(leader)).map_or("?".to_string(), |v| v.address.to_string());
        println!("{} of {} voters are heard, {at} leads", shown.voters_heard, zones.voters.len());
    }
    let Some(decision) = &shown.decision else {
        println!("nothing is decided");
        return;
    };
    let (generation, count) = (decision.number >> 32, decision.number as u32);
    let frozen = if decision.frozen { "; frozen" } else { "" };
    println!("decision {generation}.{count}, {}{frozen}", decision.cause.name());
    println!(
        "{:<16} {:<10} {:>8} {:>8} {:>10} {:>10}  evidence",
        "zone", "state", "kept", "share", "carries/s", "asked/s"
    );
    for (n, zone) in zones.zones.iter().enumerate() {
        let Some(place) = decision.zones.get(n) else { continue };
        let meant = shown.fractions.iter().find(|f| usize::from(f.zone) == n).map_or(0, |f| f.permille);
        let carries =
            if place.capacity == UNKNOWN_CAPACITY { "?".to_string() } else { place.capacity.to_string() };
        let evidence = shown.evidence.get(n).map_or("this copy is no voter".to_string(), |e| {
            format!("{}: {} copies speak, {} leaves well", e.finding, e.reporters, e.healthy_replicas)
        });
        let cut: Vec<&str> = (0..zones.zones.len())
            .filter(|to| place.cut_paths & (1 << to) != 0)
            .map(|to| zones.zones[to].name.as_str())
            .collect();
        let cut = if cut.is_empty() { String::new() } else { format!("; way cut to {}", cut.join(", ")) };
        let drained = if place.drained { "; drained" } else { "" };
        println!(
            "{:<16} {:<10} {:>8} {:>8} {carries:>10} {:>10}  {evidence}{drained}{cut}",
            zone.name,
            place.state.name(),
            share(place.retained),
            share(meant),
            place.demand
        );
    }
}
