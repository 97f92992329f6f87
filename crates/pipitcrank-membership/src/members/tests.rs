use super::*;

/// A thousand copies that start at once asked a thousand each, each second.
#[test]
fn of_a_thousand_named_peers_some_are_asked_at_a_time_and_all_in_turn() {
    let peer = |n: u16| SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000));
    let named: Vec<SocketAddr> = (0..1024).map(peer).collect();
    let own = Peer { address: peer(7), instance: 1, zone: 0 };
    let mut members = Members::new(own.clone(), &named, 99);
    let mut demand = BTreeSet::new();
    for second in 0..128i64 {
        members.tick(Timestamp::from_micros(second * 1_000_000));
        let sent = members.take_datagrams();
        assert!(sent.len() <= NAMED_AT_ONCE, "{} datagrams in a second", sent.len());
        demand.extend(sent.into_iter().map(|(to, _)| to));
    }
    assert_eq!(demand.len(), 1023, "all but itself");
    assert!(!demand.contains(&own.address));
}
