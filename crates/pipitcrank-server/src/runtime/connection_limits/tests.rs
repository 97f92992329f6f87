use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Beside a plain count: whoever asks, here or at another process, all together never hold more than there are.
    #[test]
    fn sides_share_the_capacity(
        all in 3usize..40,
        steps in proptest::collection::vec((0u8..5, 0usize..40), 0..200),
    ) {
        let (replicas, clients) = ConnectionLimiter::shared(all);
        let (mut of_replicas, mut of_clients, mut elsewhere) = (Vec::new(), Vec::new(), 0);
        for (what, n) in steps {
            let (side, held, others) = match what % 2 {
                0 => (&replicas, &mut of_replicas, of_clients.len()),
                _ => (&clients, &mut of_clients, of_replicas.len()),
            };
            match what {
                0 | 1 => {
                    let room = held.len() + others + elsewhere < all && held.len() < side.limit();
                    let place = side.try_acquire();
                    prop_assert_eq!(place.is_some(), room);
                    held.extend(place);
                }
                2 | 3 if n < held.len() => drop(held.swap_remove(n)),
                // Another process holds so many clients' ones of what is not held here.
                4 => {
                    elsewhere = n.min(all - of_replicas.len() - of_clients.len());
                    clients.reserve_for_peer(elsewhere);
                }
                _ => {}
            }
            prop_assert_eq!((replicas.open(), clients.open()), (of_replicas.len(), of_clients.len()));
            prop_assert!(replicas.open() + clients.open() + elsewhere <= all);
        }
        let least = replicas.limit().min(clients.limit().max(elsewhere));
        prop_assert!(least >= all / 3 || elsewhere > 0, "a third is each one's own");
    }
}
