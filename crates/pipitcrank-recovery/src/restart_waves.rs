//! How many copies may be away at once when they are restarted on purpose, and in which order. No I/O, no clock.
//!
//! A wave holds copies that are away together. It keeps to three bounds, in this order: of the voters none is away while
//! another is, and none unless the rest of them have a majority; of each zone at most a share of its copies, at least one
//! where the zone has another; of all copies at most what the others can take over.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One copy, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Copy {
    pub address: SocketAddr,
    /// By its place in the operators' list.
    pub zone: u16,
    pub votes: bool,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("{there} of {seats} voters are there: one more away, and nothing could be decided")]
    Majority { there: usize, seats: usize },
    #[error("one copy alone: nobody would serve while it is away")]
    Alone,
    #[error("zone {0} is not at home: wait until it is, or return it")]
    NotHome(u16),
}

/// Waves in their order: voters last, one at a time, the leader the very last; each zone's copies at most `share` of them
/// at once. `seats`: voters that there should be; `leader`: the one that leads; `home`: by zone, whether it serves whole.
pub fn plan(
    copies: &[Copy],
    seats: usize,
    leader: Option<SocketAddr>,
    home: &[bool],
    share: f64,
) -> Result<Vec<Vec<Copy>>, Refused> {
    if copies.len() < 2 {
        return Err(Refused::Alone);
    }
    if let Some(zone) = home.iter().position(|home| !home) {
        return Err(Refused::NotHome(zone as u16));
    }
    let there = copies.iter().filter(|c| c.votes).count();
    // With one voter its restart is a pause of deciding, whatever is done.
    if seats > 1 && (there.saturating_sub(1)) * 2 <= seats {
        return Err(Refused::Majority { there, seats });
    }
    let mut zones: BTreeMap<u16, Vec<Copy>> = BTreeMap::new();
    let mut sorted: Vec<Copy> = copies.to_vec();
    sorted.sort();
    for copy in &sorted {
        zones.entry(copy.zone).or_default().push(copy.clone());
    }
    let at_once: BTreeMap<u16, usize> = zones
        .iter()
        .map(|(&zone, all)| {
            (zone, ((all.len() as f64 * share).floor() as usize).clamp(1, (all.len() - 1).max(1)))
        })
        .collect();
    // A zone's only copy is away by itself: its clients have others alone.
    let lonely = |zone: &u16| zones[zone].len() == 1;
    let mut left: Vec<Copy> = sorted.iter().filter(|c| !c.votes && !lonely(&c.zone)).cloned().collect();
    let most = ((copies.len() as f64 * share).floor() as usize).max(1);
    let mut waves = Vec::new();
    while !left.is_empty() {
        let (mut wave, mut of_zone): (Vec<Copy>, BTreeMap<u16, usize>) = Default::default();
        left.retain(|copy| {
            let away = of_zone.entry(copy.zone).or_default();
            let goes = wave.len() < most && *away < at_once[&copy.zone];
            if goes {
                *away += 1;
                wave.push(copy.clone());
            }
            !goes
        });
        waves.push(wave);
    }
    waves.extend(sorted.iter().filter(|c| !c.votes && lonely(&c.zone)).map(|c| vec![c.clone()]));
    let mut voters: Vec<Copy> = sorted.into_iter().filter(|c| c.votes).collect();
    voters.sort_by_key(|c| Some(c.address) == leader);
    waves.extend(voters.into_iter().map(|c| vec![c]));
    Ok(waves)
}

#[cfg(test)]
mod tests;
