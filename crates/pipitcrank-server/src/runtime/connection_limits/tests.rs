use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares the limiters with plain counts: both sides and the other process together never exceed the capacity.
    #[test]
    fn sides_share_the_capacity(
        capacity in 3usize..40,
        steps in proptest::collection::vec((0u8..5, 0usize..40), 0..200),
    ) {
        let (replicas, clients) = ConnectionLimiter::shared(capacity);
        let (mut replica_permits, mut client_permits, mut open_in_peer) = (Vec::new(), Vec::new(), 0);
        for (action, n) in steps {
            let (side, held, others) = match action % 2 {
                0 => (&replicas, &mut replica_permits, client_permits.len()),
                _ => (&clients, &mut client_permits, replica_permits.len()),
            };
            match action {
                0 | 1 => {
                    let expected = held.len() + others + open_in_peer < capacity && held.len() < side.limit();
                    let permit = side.try_acquire();
                    prop_assert_eq!(permit.is_some(), expected);
                    held.extend(permit);
                }
                2 | 3 if n < held.len() => drop(held.swap_remove(n)),
                // The other process holds some client connections within the capacity that is free here.
                4 => {
                    open_in_peer = n.min(capacity - replica_permits.len() - client_permits.len());
                    clients.reserve_for_peer(open_in_peer);
                }
                _ => {}
            }
            prop_assert_eq!((replicas.open(), clients.open()), (replica_permits.len(), client_permits.len()));
            prop_assert!(replicas.open() + clients.open() + open_in_peer <= capacity);
        }
        let least = replicas.limit().min(clients.limit().max(open_in_peer));
        prop_assert!(least >= capacity / 3 || open_in_peer > 0, "a third of the capacity is reserved for each side");
    }
}
