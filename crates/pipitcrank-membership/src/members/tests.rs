use super::*;

/// A thousand nodes that start at once must not announce to a thousand each, every second.
#[test]
fn of_a_thousand_seeds_some_are_announced_to_at_a_time_and_all_in_turn() {
    let peer = |n: u16| SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000));
    let seeds: Vec<SocketAddr> = (0..1024).map(peer).collect();
    let own = Peer { address: peer(7), instance: 1, zone: 0 };
    let mut members = Members::new(own.clone(), &seeds, 99);
    let mut announced = BTreeSet::new();
    for second in 0..128i64 {
        members.tick(Timestamp::from_micros(second * 1_000_000));
        let sent = members.take_datagrams();
        assert!(sent.len() <= SEEDS_PER_ANNOUNCE, "{} datagrams in a second", sent.len());
        announced.extend(sent.into_iter().map(|gossip| gossip.to));
    }
    assert_eq!(announced.len(), 1023, "all but itself");
    assert!(!announced.contains(&own.address));
}
