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
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn copy(n: usize, zone: u16, votes: bool) -> Copy {
        Copy { address: ([127, 0, 0, 1], 7000 + n as u16).into(), zone, votes }
    }

    fn fleet(zones: &[usize], voters: usize) -> Vec<Copy> {
        let of = zones.iter().enumerate().flat_map(|(zone, &count)| std::iter::repeat_n(zone as u16, count));
        let firsts: Vec<usize> =
            zones.iter().scan(0, |sum, n| Some(std::mem::replace(sum, *sum + n))).collect();
        let votes = |n| firsts.iter().take(voters).any(|f| *f == n);
        of.enumerate().map(|(n, zone)| copy(n, zone, votes(n))).collect()
    }

    #[test]
    fn voters_go_last_one_by_one_and_the_leader_at_the_very_end() {
        let copies = fleet(&[4, 4, 4], 3);
        let leader = copies.iter().find(|c| c.votes).unwrap().address;
        let waves = plan(&copies, 3, Some(leader), &[true; 3], 0.25).unwrap();
        assert_eq!(waves.iter().map(Vec::len).collect::<Vec<_>>(), [3, 3, 3, 1, 1, 1]);
        assert!(
            waves[..3].iter().all(|w| w
                .iter()
                .map(|c| c.zone)
                .collect::<std::collections::BTreeSet<_>>()
                .len()
                == 3)
        );
        assert_eq!(waves.last().unwrap()[0].address, leader);
    }

    #[test]
    fn what_would_end_all_deciding_or_serving_is_refused() {
        let copies = fleet(&[2, 2, 2], 3);
        let one_dead: Vec<Copy> = copies.iter().filter(|c| c.address != copies[0].address).cloned().collect();
        assert_eq!(plan(&one_dead, 3, None, &[true; 3], 0.5), Err(Refused::Majority { there: 2, seats: 3 }));
        assert_eq!(plan(&copies[..1], 1, None, &[true], 0.5), Err(Refused::Alone));
        assert_eq!(plan(&copies, 3, None, &[true, false, true], 0.5), Err(Refused::NotHome(1)));
        assert!(
            plan(&fleet(&[2], 1), 1, None, &[true], 0.5).is_ok(),
            "a single voter has nobody to wait for"
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Each copy once; never two voters; of no zone all, unless it has but one; of none more than its share.
        #[test]
        fn every_wave_keeps_to_its_bounds(zones in proptest::collection::vec(1usize..30, 1..6), share in 0.01f64..1.0) {
            let copies = fleet(&zones, if zones.len() >= 3 { 3 } else { 1 });
            prop_assume!(copies.len() > 1);
            let seats = copies.iter().filter(|c| c.votes).count();
            let waves = plan(&copies, seats, None, &vec![true; zones.len()], share).unwrap();
            let mut all: Vec<Copy> = waves.iter().flatten().cloned().collect();
            all.sort();
            let mut want = copies.clone();
            want.sort();
            prop_assert_eq!(all, want);
            for wave in &waves {
                prop_assert!(!wave.is_empty());
                prop_assert!(wave.iter().filter(|c| c.votes).count() * wave.len() <= 1);
                prop_assert!(wave.len() == 1 || wave.len() as f64 <= copies.len() as f64 * share);
                for (zone, &count) in zones.iter().enumerate() {
                    let away = wave.iter().filter(|c| usize::from(c.zone) == zone).count();
                    prop_assert!(away < count.max(2) && (away <= 1 || away as f64 <= count as f64 * share));
                }
            }
        }
    }
}
