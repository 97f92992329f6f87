use proptest::prelude::*;

use super::*;

fn copy(n: usize, zone: u16, votes: bool) -> Copy {
    Copy { address: ([127, 0, 0, 1], 7000 + n as u16).into(), zone, votes }
}

fn fleet(zones: &[usize], voters: usize) -> Vec<Copy> {
    let of = zones.iter().enumerate().flat_map(|(zone, &count)| std::iter::repeat_n(zone as u16, count));
    let firsts: Vec<usize> = zones.iter().scan(0, |sum, n| Some(std::mem::replace(sum, *sum + n))).collect();
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
        waves[..3]
            .iter()
            .all(|w| w.iter().map(|c| c.zone).collect::<std::collections::BTreeSet<_>>().len() == 3)
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
    assert!(plan(&fleet(&[2], 1), 1, None, &[true], 0.5).is_ok(), "a single voter has nobody to wait for");
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
