//! Which nodes may be restarted at once in a rolling restart, and in which order. No I/O, no clock.
//!
//! A wave holds nodes that are restarted together. It keeps three limits: a voter is restarted alone, and only while the
//! other voters are a majority; of each zone at most a fraction of its nodes, and never all unless it has but one; of all
//! nodes at most the same fraction, whose load the others can take over.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One node, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestartNode {
    /// The address by which the others know it.
    pub address: SocketAddr,
    /// Index of its zone in the operators' list.
    pub zone: u16,
    /// Whether it is a voter.
    pub is_voter: bool,
}

/// What a plan is to be made for.
#[derive(Clone, Copy, Debug)]
pub struct RestartRequest<'a> {
    /// The nodes present.
    pub nodes: &'a [RestartNode],
    /// How many voters are configured.
    pub configured_voters: usize,
    /// The voter that leads.
    pub leader: Option<SocketAddr>,
    /// By zone, whether it serves all of its load.
    pub zone_serves: &'a [bool],
    /// Most nodes restarted at once, as a fraction of all and of each zone's.
    pub max_fraction: f64,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestartPlanError {
    /// Without one more voter there would be no majority.
    #[error("{present} of {configured} voters are there: one more away, and nothing could be decided")]
    NoMajority {
        /// Voters present.
        present: usize,
        /// Voters configured.
        configured: usize,
    },
    /// There is no other node.
    #[error("one copy alone: nobody would serve while it is away")]
    SingleNode,
    /// The zone of this index does not serve all of its load.
    #[error("zone {0} is not at home: wait until it is, or return it")]
    ZoneNotServing(u16),
}

/// The waves in their order: voters last, one at a time, the leader at the very end.
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
    // While a zone's only node restarts, all of the zone's clients depend on other zones: it goes by itself.
    let (single, grouped): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|node| zone_sizes[&node.zone] == 1);
    let mut waves = group(grouped, &zone_sizes, request);
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
    // A single voter can't be restarted without a pause of decisions, so that it does not block the plan.
    if configured > 1 && present.saturating_sub(1) * 2 <= configured {
        return Err(RestartPlanError::NoMajority { present, configured });
    }
    Ok(())
}

/// Nodes of zones that have several, in waves within the limits.
fn group(
    mut left: Vec<RestartNode>,
    zone_sizes: &BTreeMap<u16, usize>,
    request: &RestartRequest,
) -> Vec<Vec<RestartNode>> {
    let fraction_of = |count: usize| (count as f64 * request.max_fraction).floor() as usize;
    let max_wave = fraction_of(request.nodes.len()).max(1);
    let max_of_zone = |zone: u16| {
        let size = zone_sizes[&zone];
        fraction_of(size).clamp(1, (size - 1).max(1))
    };
    let mut waves = Vec::new();
    while !left.is_empty() {
        let mut wave: Vec<RestartNode> = Vec::new();
        let mut of_zone: BTreeMap<u16, usize> = BTreeMap::new();
        left.retain(|node| {
            let in_wave = of_zone.entry(node.zone).or_default();
            let joins = wave.len() < max_wave && *in_wave < max_of_zone(node.zone);
            if joins {
                *in_wave += 1;
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
