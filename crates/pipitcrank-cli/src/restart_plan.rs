//! `pipitcrank restart-plan`: prints the waves in which the co-ordinators can be restarted.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use pipitcrank_config::ZonesConfig;
use pipitcrank_failover::decision::{FULL_PERMILLE, ZoneState};
use pipitcrank_failover::node::{OperatorAnswer, StatusReport};
use pipitcrank_recovery::restart_waves::{RestartNode, RestartRequest, plan_waves};

use crate::exit_code;
use crate::operator_request::{OperatorRequest, send};

/// Prints the waves, each with at most `max_fraction` of all co-ordinators and of those of each zone.
pub(crate) fn restart_plan(
    zones: &ZonesConfig,
    max_fraction: f64,
    address: Option<SocketAddr>,
    wait: Duration,
) -> Result<i32> {
    ensure!((0.0..=1.0).contains(&max_fraction), "--share is {max_fraction}, not from 0 to 1");
    let address = address.unwrap_or(zones.advertised);
    let status = request_status(zones, address, wait)?;
    let decision = status.decision.with_context(|| format!("{address} knows of no decision"))?;
    let nodes = request_members(zones, address, wait)?;
    let leader = status.leader.and_then(|slot| Some(zones.voters.get(usize::from(slot))?.address));
    let zone_serves: Vec<bool> = decision
        .zones
        .iter()
        .map(|zone| zone.state == ZoneState::Serving && zone.retained == FULL_PERMILLE)
        .collect();
    let waves = plan_waves(&RestartRequest {
        nodes: &nodes,
        configured_voters: zones.voters.len(),
        leader,
        zone_serves: &zone_serves,
        max_fraction,
    })?;
    for (index, wave) in waves.iter().enumerate() {
        let nodes: Vec<String> = wave.iter().map(|node| describe(zones, node)).collect();
        println!("{}: {}", index + 1, nodes.join(", "));
    }
    Ok(exit_code::SUCCESS)
}

fn describe(zones: &ZonesConfig, node: &RestartNode) -> String {
    let zone = zones.zones.get(usize::from(node.zone)).map_or("?", |zone| zone.name.as_str());
    format!("{} ({zone}{})", node.address, if node.is_voter { ", voter" } else { "" })
}

fn request_status(zones: &ZonesConfig, address: SocketAddr, wait: Duration) -> Result<StatusReport> {
    match send(zones, &[address], &OperatorRequest::Order(None), wait)? {
        Some(OperatorAnswer::Status(status)) => Ok(status),
        _ => bail!("no answer of {address} within {wait:?}"),
    }
}

fn request_members(zones: &ZonesConfig, address: SocketAddr, wait: Duration) -> Result<Vec<RestartNode>> {
    let mut nodes = Vec::new();
    let mut after = None;
    loop {
        let answer = send(zones, &[address], &OperatorRequest::Members { after }, wait)?;
        let Some(OperatorAnswer::Members { members, more }) = answer else {
            bail!("no answer of {address} within {wait:?}")
        };
        after = members.last().map(|member| member.address);
        nodes.extend(members.into_iter().map(|member| RestartNode {
            is_voter: zones.voter_slot(member.address).is_some(),
            address: member.address,
            zone: member.zone,
        }));
        if !more {
            return Ok(nodes);
        }
    }
}
