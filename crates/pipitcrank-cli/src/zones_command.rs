//! `pipitcrank zones`: shows the current zone decision, or sends an operator's order to the voters.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use pipitcrank_config::{ZoneConfig, ZonesConfig};
use pipitcrank_failover::decision::{Decision, OperatorOrder, UNKNOWN_CAPACITY, ZoneDecision};
use pipitcrank_failover::node::{OperatorAnswer, StatusReport};

use crate::exit_code;
use crate::operator_request::{OperatorRequest, send};

/// Runs `pipitcrank zones ACTION [ARGUMENT]`. `address`: the only co-ordinator to contact, instead of the default
/// ones.
pub(crate) fn zones_command(
    zones: &ZonesConfig,
    action: &str,
    argument: Option<&str>,
    address: Option<SocketAddr>,
    wait: Duration,
) -> Result<i32> {
    if action == "begin" {
        return exclude_voters(zones, argument.unwrap_or_default(), wait);
    }
    let order = match action {
        "drain" => Some(OperatorOrder::Drain(named_zone(zones, argument)?)),
        "return" => Some(OperatorOrder::Return(named_zone(zones, argument)?)),
        "freeze" => Some(OperatorOrder::Freeze),
        "thaw" => Some(OperatorOrder::Thaw),
        _ => None,
    };
    // An order is sent to all voters, since only the leader accepts it and the others answer that they don't lead.
    let to: Vec<SocketAddr> = match (address, order) {
        (Some(address), _) => vec![address],
        (None, None) => vec![zones.advertised],
        (None, Some(_)) => zones.voters.iter().map(|voter| voter.address).collect(),
    };
    match send(zones, &to, &OperatorRequest::Order(order), wait)? {
        Some(OperatorAnswer::Status(status)) => print_status(zones, &status),
        Some(OperatorAnswer::Decided(number)) => println!("decided, number {}", decision_number(number)),
        Some(OperatorAnswer::Rejected(reason)) => bail!("refused: {reason}"),
        Some(OperatorAnswer::NotLeader(_) | OperatorAnswer::Members { .. }) => {
            bail!("no voter leads: {} asked", to.len())
        }
        None => bail!("no answer of {} within {wait:?}", addresses(&to)),
    }
    Ok(exit_code::SUCCESS)
}

fn addresses(list: &[SocketAddr]) -> String {
    list.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

/// A decision's number in printed form: the generation of the voter group and the count within it.
fn decision_number(number: u64) -> String {
    format!("{}.{}", number >> 32, number as u32)
}

fn named_zone(zones: &ZonesConfig, name: Option<&str>) -> Result<u16> {
    let name = name.context("it takes a zone's name")?;
    let index = zones
        .zone_index(name)
        .with_context(|| format!("'{name}' is none of {}", zones.zone_names().join(", ")))?;
    Ok(index as u16)
}

/// Requests each voter that is not in the list to continue without those in the list.
fn exclude_voters(zones: &ZonesConfig, list: &str, wait: Duration) -> Result<i32> {
    let names = list.split(',').filter(|name| !name.is_empty());
    let excluded = names.map(|name| named_voter(zones, name)).collect::<Result<Vec<u8>>>()?;
    let mut faults = Vec::new();
    for (slot, voter) in (0..).zip(&zones.voters) {
        if excluded.contains(&slot) {
            continue;
        }
        let address = voter.address;
        match send(zones, &[address], &OperatorRequest::ExcludeVoters(excluded.clone()), wait)? {
            Some(OperatorAnswer::Decided(_)) => {
                println!("{address} goes on without {} voters", excluded.len());
            }
            Some(OperatorAnswer::Rejected(reason)) => faults.push(format!("{address} refused: {reason}")),
            _ => faults.push(format!("{address} did not answer")),
        }
    }
    ensure!(faults.is_empty(), "{}", faults.join("; "));
    Ok(exit_code::SUCCESS)
}

/// The slot of the voter with an address, given as text.
fn named_voter(zones: &ZonesConfig, name: &str) -> Result<u8> {
    let voters: Vec<SocketAddr> = zones.voters.iter().map(|voter| voter.address).collect();
    let slot = voters.iter().position(|address| address.to_string() == name);
    let slot = slot.with_context(|| format!("'{name}' is none of /zones/voters: {}", addresses(&voters)))?;
    Ok(slot as u8)
}

fn print_status(zones: &ZonesConfig, status: &StatusReport) {
    println!("this copy is {}; {} copies are there", status.status, status.members);
    if let Some(leader) = status.leader {
        let leader = zones.voters.get(usize::from(leader));
        let leader = leader.map_or("?".to_string(), |voter| voter.address.to_string());
        println!("{} of {} voters are heard, {leader} leads", status.reachable_voters, zones.voters.len());
    }
    let Some(decision) = &status.decision else {
        println!("nothing is decided");
        return;
    };
    print_decision(decision);
    for (index, (zone, decided)) in zones.zones.iter().zip(&decision.zones).enumerate() {
        print_zone(zones, status, index, zone, decided);
    }
}

fn print_decision(decision: &Decision) {
    let frozen = if decision.frozen { "; frozen" } else { "" };
    println!("decision {}, {}{frozen}", decision_number(decision.number), decision.cause.name());
    println!(
        "{:<16} {:<10} {:>8} {:>8} {:>10} {:>10}  evidence",
        "zone", "state", "kept", "share", "carries/s", "asked/s"
    );
}

fn print_zone(
    zones: &ZonesConfig,
    status: &StatusReport,
    index: usize,
    zone: &ZoneConfig,
    decided: &ZoneDecision,
) {
    let percent = |permille: u16| format!("{:.1} %", f64::from(permille) / 10.0);
    let planned = status.fractions.iter().find(|fraction| usize::from(fraction.zone) == index);
    let planned = planned.map_or(0, |fraction| fraction.permille);
    let capacity =
        if decided.capacity == UNKNOWN_CAPACITY { "?".to_string() } else { decided.capacity.to_string() };
    let evidence = status.evidence.get(index).map_or("this copy is no voter".to_string(), |evidence| {
        let (reporters, healthy) = (evidence.reporters, evidence.healthy_replicas);
        format!("{}: {reporters} copies speak, {healthy} leaves well", evidence.health)
    });
    let drained = if decided.drained { "; drained" } else { "" };
    println!(
        "{:<16} {:<10} {:>8} {:>8} {capacity:>10} {:>10}  {evidence}{drained}{}",
        zone.name,
        decided.state.name(),
        percent(decided.retained),
        percent(planned),
        decided.demand,
        cut_paths(zones, decided)
    );
}

fn cut_paths(zones: &ZonesConfig, decided: &ZoneDecision) -> String {
    let is_cut = |to: usize| decided.cut_paths & (1 << to) != 0;
    let names: Vec<&str> =
        zones.zone_names().into_iter().enumerate().filter(|(to, _)| is_cut(*to)).map(|(_, n)| n).collect();
    if names.is_empty() { String::new() } else { format!("; way cut to {}", names.join(", ")) }
}
