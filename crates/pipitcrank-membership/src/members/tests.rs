use super::*;

/// Guards against a storm of announcements: of a thousand nodes that start at once, each announces itself to
/// a few seeds per second, not to all of them.
#[test]
fn announcements_to_seeds_are_bounded_and_reach_all_seeds() {
    let peer = |n: u16| SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000));
    let seeds: Vec<SocketAddr> = (0..1024).map(peer).collect();
    let own = Peer { address: peer(7), instance: 1, zone: 0 };
    let mut members = Members::new(own.clone(), &seeds, 99);
    let mut announced = BTreeSet::new();
    for second in 0..128i64 {
        members.tick(Timestamp::from_micros(second * 1_000_000));
        let sent = members.take_datagrams();
        assert!(sent.len() <= SEEDS_PER_ANNOUNCE, "{} datagrams within a second", sent.len());
        announced.extend(sent.into_iter().map(|gossip| gossip.to));
    }
    assert_eq!(announced.len(), 1023, "every seed except the node itself");
    assert!(!announced.contains(&own.address));
}
