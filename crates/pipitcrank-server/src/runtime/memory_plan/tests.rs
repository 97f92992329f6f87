use super::*;

fn total(plan: MemoryPlan) -> usize {
    let accounts = [plan.list_account_bytes, plan.request_bytes, plan.query_bytes, plan.answer_bytes];
    assert!(plan.list_bytes * CONCURRENT_LISTS <= plan.list_account_bytes);
    plan.connections * MEAN_CONNECTION_BYTES + plan.frame_bytes + accounts.iter().sum::<usize>()
}

#[test]
fn the_parts_and_the_memory_at_rest_fit_into_the_limit() {
    assert_eq!(
        CONNECTION_SHARES + LIST_SHARES + REQUEST_SHARES + QUERY_SHARES + ANSWER_SHARES + FRAME_SHARES,
        ALL_SHARES
    );
    for mb in 16..300 {
        let plan = MemoryPlan::of(mb * MIB as u64, 1);
        assert!(total(plan) + AT_REST_BYTES <= mb as usize * MIB, "{mb} MB: {plan:?}");
    }
}

#[test]
fn the_least_memory_has_room_for_a_list_of_thousands_and_for_a_third_of_the_descriptors() {
    const INDENTED_ENTRY_BYTES: usize = 350;
    let plan = MemoryPlan::of(32 * MIB as u64, 1);
    assert!(plan.list_bytes >= 3200 * INDENTED_ENTRY_BYTES, "{plan:?}");
    assert!(plan.connections * 2 / 3 >= 1024 / 3, "{plan:?}");
}

#[test]
fn a_tiny_limit_still_leaves_something_of_each() {
    let plan = MemoryPlan::of(MIB as u64, 3);
    assert!(plan.connections > 0 && plan.request_bytes > 0 && plan.query_bytes > 0, "{plan:?}");
}
