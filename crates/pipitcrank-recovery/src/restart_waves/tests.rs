use proptest::prelude::*;

use super::*;

fn plan(
    nodes: &[RestartNode],
    configured_voters: usize,
    leader: Option<SocketAddr>,
    zone_serves: &[bool],
    max_fraction: f64,
) -> Result<Vec<Vec<RestartNode>>, RestartPlanError> {
    plan_waves(&RestartRequest { nodes, configured_voters, leader, zone_serves, max_fraction })
}

fn node(n: usize, zone: u16, is_voter: bool) -> RestartNode {
    RestartNode { address: ([127, 0, 0, 1], 7000 + n as u16).into(), zone, is_voter }
}

fn cluster(zones: &[usize], voters: usize) -> Vec<RestartNode> {
    let node_zones =
        zones.iter().enumerate().flat_map(|(zone, &count)| std::iter::repeat_n(zone as u16, count));
    let first_nodes: Vec<usize> =
        zones.iter().scan(0, |sum, n| Some(std::mem::replace(sum, *sum + n))).collect();
    let is_voter = |n| first_nodes.iter().take(voters).any(|first| *first == n);
    node_zones.enumerate().map(|(n, zone)| node(n, zone, is_voter(n))).collect()
}

#[test]
fn voters_restart_last_one_by_one_and_the_leader_at_the_end() {
    let nodes = cluster(&[4, 4, 4], 3);
    let leader = nodes.iter().find(|node| node.is_voter).unwrap().address;
    let waves = plan(&nodes, 3, Some(leader), &[true; 3], 0.25).unwrap();
    assert_eq!(waves.iter().map(Vec::len).collect::<Vec<_>>(), [3, 3, 3, 1, 1, 1]);
    assert!(
        waves[..3]
            .iter()
            .all(|w| w.iter().map(|n| n.zone).collect::<std::collections::BTreeSet<_>>().len() == 3)
    );
    assert_eq!(waves.last().unwrap()[0].address, leader);
}

#[test]
fn plans_that_would_stop_decisions_or_service_are_refused() {
    let nodes = cluster(&[2, 2, 2], 3);
    let without_one_voter: Vec<RestartNode> =
        nodes.iter().filter(|node| node.address != nodes[0].address).cloned().collect();
    assert_eq!(
        plan(&without_one_voter, 3, None, &[true; 3], 0.5),
        Err(RestartPlanError::NoMajority { present: 2, configured: 3 })
    );
    assert_eq!(plan(&nodes[..1], 1, None, &[true], 0.5), Err(RestartPlanError::SingleNode));
    assert_eq!(plan(&nodes, 3, None, &[true, false, true], 0.5), Err(RestartPlanError::ZoneNotServing(1)));
    assert!(
        plan(&cluster(&[2], 1), 1, None, &[true], 0.5).is_ok(),
        "a plan with a single voter was rejected"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Each node is in one wave. No wave has two voters, all nodes of a zone with several, or more than the fraction.
    #[test]
    fn every_wave_keeps_its_limits(zones in proptest::collection::vec(1usize..30, 1..6), max_fraction in 0.01f64..1.0) {
        let nodes = cluster(&zones, if zones.len() >= 3 { 3 } else { 1 });
        prop_assume!(nodes.len() > 1);
        let configured = nodes.iter().filter(|node| node.is_voter).count();
        let waves = plan(&nodes, configured, None, &vec![true; zones.len()], max_fraction).unwrap();
        let mut all: Vec<RestartNode> = waves.iter().flatten().cloned().collect();
        all.sort();
    let mut expected = nodes.clone();
        expected.sort();
        prop_assert_eq!(all, expected);
        for wave in &waves {
            prop_assert!(!wave.is_empty());
            prop_assert!(wave.iter().filter(|node| node.is_voter).count() * wave.len() <= 1);
            prop_assert!(wave.len() == 1 || wave.len() as f64 <= nodes.len() as f64 * max_fraction);
            for (zone, &count) in zones.iter().enumerate() {
                let restarted = wave.iter().filter(|node| usize::from(node.zone) == zone).count();
                prop_assert!(
                    restarted < count.max(2) && (restarted <= 1 || restarted as f64 <= count as f64 * max_fraction)
                );
            }
        }
    }
}
