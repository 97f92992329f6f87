//! Groups and orders the nodes of a rolling restart. No I/O, no clock.
//!
//! A wave is a set of nodes that are restarted at the same time. Three limits apply to each wave:
//!
//! - A voter is restarted alone, and only while the other voters form a majority.
//! - At most a given fraction of a zone's nodes is restarted, and never all of them unless the zone has a single node.
//! - At most the same fraction of all nodes is restarted, so that the other nodes can take over the load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node to be restarted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestartNode {
    /// Address at which the other nodes reach the node.
    pub address: SocketAddr,
    /// Index of the node's zone in the operators' list of zones.
    pub zone: u16,
    /// Whether the node is a voter.
    pub is_voter: bool,
}

/// Input of the plan for a rolling restart.
#[derive(Clone, Copy, Debug)]
pub struct RestartRequest<'a> {
    /// Nodes that are running.
    pub nodes: &'a [RestartNode],
    /// Number of configured voters.
    pub configured_voters: usize,
    /// Address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// For each zone, whether it serves all of its own load.
    pub zone_serves: &'a [bool],
    /// Maximum fraction of nodes that are restarted at once, of all nodes and of each zone.
    pub max_fraction: f64,
}

/// Reason why a rolling restart can't be planned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestartPlanError {
    /// The restart of one voter would leave no majority.
    #[error("{present} of {configured} voters are there: one more away, and nothing could be decided")]
    NoMajority {
        /// Number of voters that are running.
        present: usize,
        /// Number of configured voters.
        configured: usize,
    },
    /// There is no other node that could serve during the restart.
    #[error("one copy alone: nobody would serve while it is away")]
    SingleNode,
    /// The zone with the given index does not serve all of its own load.
    #[error("zone {0} is not at home: wait until it is, or return it")]
    ZoneNotServing(u16),
}

/// Returns the waves in order. Voters are restarted last, one at a time, and the leader after the other voters.
pub fn plan_waves(request: &RestartRequest) -> Result<Vec<Vec<RestartNode>>, RestartPlanError> {
    check(request)?;
    let mut nodes = request.nodes.to_vec();
    nodes.sort();
    let mut zone_sizes: BTreeMap<u16, usize> = BTreeMap::new();
    for node in &nodes {
        *zone_sizes.entry(node.zone).or_default() += 1;
    }
    let (mut voters, others): (Vec<_>, Vec<_>) = nodes.into_iter().partition(|node| node.is_voter);
    voters.sort_by_key(|node| Some(node.address) == request.leader);
    // Clients of a single-node zone depend on other zones during its restart: such a node is a wave of its own.
    let (single, grouped): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|node| zone_sizes[&node.zone] == 1);
    let mut waves = group_into_waves(grouped, &zone_sizes, request);
    waves.extend(single.into_iter().chain(voters).map(|node| vec![node]));
    Ok(waves)
}

fn check(request: &RestartRequest) -> Result<(), RestartPlanError> {
    if request.nodes.len() < 2 {
        return Err(RestartPlanError::SingleNode);
    }
    if let Some(zone) = request.zone_serves.iter().position(|serves| !serves) {
        return Err(RestartPlanError::ZoneNotServing(zone as u16));
    }
    let configured = request.configured_voters;
    let present = request.nodes.iter().filter(|node| node.is_voter).count();
    // Decisions always pause while a single voter restarts; rejecting the plan would make that restart impossible.
    if configured > 1 && present.saturating_sub(1) * 2 <= configured {
        return Err(RestartPlanError::NoMajority { present, configured });
    }
    Ok(())
}

/// Groups the nodes of zones with several nodes into waves within the limits.
fn group_into_waves(
    mut remaining: Vec<RestartNode>,
    zone_sizes: &BTreeMap<u16, usize>,
    request: &RestartRequest,
) -> Vec<Vec<RestartNode>> {
    let fraction_of = |count: usize| (count as f64 * request.max_fraction).floor() as usize;
    let max_wave = fraction_of(request.nodes.len()).max(1);
    let max_in_zone = |zone: u16| {
        let size = zone_sizes[&zone];
        fraction_of(size).clamp(1, (size - 1).max(1))
    };
    let mut waves = Vec::new();
    while !remaining.is_empty() {
        let mut wave: Vec<RestartNode> = Vec::new();
        let mut wave_zone_counts: BTreeMap<u16, usize> = BTreeMap::new();
        remaining.retain(|node| {
            let zone_count = wave_zone_counts.entry(node.zone).or_default();
            let joins = wave.len() < max_wave && *zone_count < max_in_zone(node.zone);
            if joins {
                *zone_count += 1;
                wave.push(node.clone());
            }
            !joins
        });
        waves.push(wave);
    }
    waves
}

#[cfg(test)]
mod tests;
