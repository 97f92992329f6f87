use proptest::prelude::*;

use super::*;

fn budget() -> MemoryBudget {
    MemoryBudget::with_limits([100, 1000, 1000, 1000, 1000])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_account_never_grants_more_than_its_limit(steps in proptest::collection::vec((0u8..3, 0usize..60), 1..60)) {
        let (budget, mut held) = (budget(), Vec::<(Reservation, usize)>::new());
        for (action, bytes) in steps {
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            match (action, held.len()) {
                (0, _) => {
                    let reservation = budget.reserve(MemoryAccount::Requests, bytes);
                    prop_assert_eq!(reservation.is_some(), sum + bytes <= 100);
                    held.extend(reservation.map(|reservation| (reservation, bytes)));
                }
                (1, 1..) => {
                    let (reservation, held_bytes) = &mut held[0];
                    let granted = reservation.grow(bytes);
                    prop_assert_eq!(granted, sum + bytes <= 100);
                    *held_bytes += if granted { bytes } else { 0 };
                }
                (_, 1..) => drop(held.swap_remove(bytes % held.len())),
                _ => {}
            }
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.reserved(MemoryAccount::Requests), sum);
        }
        drop(held);
        prop_assert_eq!(budget.reserved(MemoryAccount::Requests), 0);
    }
}

#[test]
fn more_than_an_account_is_granted_only_while_it_is_empty() {
    let budget = budget();
    let whole = budget.reserve(MemoryAccount::Requests, 5000).expect("the account is empty");
    assert!(budget.reserve(MemoryAccount::Requests, 1).is_none());
    drop(whole);
    let one = budget.reserve(MemoryAccount::Requests, 1);
    assert!(one.is_some() && budget.reserve(MemoryAccount::Requests, 5000).is_none());
}

#[test]
fn accounts_do_not_share_memory() {
    let budget = budget();
    let _requests = budget.reserve(MemoryAccount::Requests, 100);
    assert!(budget.is_short(MemoryAccount::Requests) && !budget.is_short(MemoryAccount::Queries));
    assert!(budget.reserve(MemoryAccount::Queries, 1000).is_some());
}

#[test]
fn reserved_memory_and_its_peak_are_counted() {
    let (budget, counters) = (MemoryBudget::unlimited(), Counters::default());
    drop(budget.reserve(MemoryAccount::Queries, 9000));
    let _held = budget.reserve(MemoryAccount::Queries, 3000);
    budget.count(&counters);
    assert_eq!(counters.get(group::MEMORY, memory::QUERIES_KB), 3);
    assert_eq!(counters.get(group::MEMORY, memory::QUERIES_PEAK_KB), 9);
}
