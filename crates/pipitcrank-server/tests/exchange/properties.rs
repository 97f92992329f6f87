//! Properties that hold for any sequence of inputs.

use std::collections::BTreeMap;

use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_server::exchange::{AttemptHandle, QueryResponse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::harness::{Harness, at, endpoint};

#[derive(Clone, Debug)]
enum Op {
    Submit(u16, u32, u32, i64),
    EndAttempt(usize, usize),
    EndLate(usize, usize),
    Wait(i64),
    Disconnect(u64),
    UpdateEndpoint(u32, bool, bool),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..3u16, 0..11u32, 1..5u32, 20..3000i64).prop_map(|(class, first, count, left)| Op::Submit(class, first, count, left)),
        8 => (any::<usize>(), 0..6usize).prop_map(|(index, outcome)| Op::EndAttempt(index, outcome)),
        2 => (any::<usize>(), 0..6usize).prop_map(|(index, outcome)| Op::EndLate(index, outcome)),
        4 => (1..300i64).prop_map(Op::Wait),
        1 => (1..20u64).prop_map(Op::Disconnect),
        1 => (0..3u32, any::<bool>(), any::<bool>()).prop_map(|(n, up, complete)| Op::UpdateEndpoint(n, up, complete)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Each query gets one final answer before its deadline unless its client has disconnected, hits contain only
    /// values from replicas, no attempt is authorized for a query that has ended, and the late end of an attempt that
    /// has ended before has no effect, whatever has reused its index.
    #[test]
    fn every_query_ends_once_and_in_time(ops in proptest::collection::vec(op(), 1..60)) {
        const OUTCOMES: [AttemptOutcome; 6] =
            [AttemptOutcome::Success, AttemptOutcome::Success, AttemptOutcome::Fault, AttemptOutcome::NoCapacity, AttemptOutcome::Unreachable, AttemptOutcome::Disconnected];
        let (mut harness, mut now, mut in_flight) = (Harness::new(), 0i64, Vec::new());
        let mut ended = Vec::new();
        let mut submitted: BTreeMap<String, (i64, bool)> = BTreeMap::new();
        let mut values: BTreeMap<(String, u32), Vec<String>> = BTreeMap::new();
        for (n, op) in ops.into_iter().enumerate() {
            match op {
                Op::Submit(class, first, count, left) => {
                    let ticket = harness.submit_query(&format!("q{}", harness.last_ticket + 1), class, first..(first + count).min(12), now + left);
                    submitted.insert(format!("q{ticket}"), (now + left, false));
                }
                Op::EndAttempt(index, outcome) if !in_flight.is_empty() => {
                    let (_, attempt, id, shard): (ReplicaId, AttemptHandle, String, u32) = in_flight.swap_remove(index % in_flight.len());
                    let value = (OUTCOMES[outcome] == AttemptOutcome::Success).then(|| format!("v{n}"));
                    let query = id.split('.').next().unwrap().to_string();
                    values.entry((query, shard)).or_default().extend(value.clone());
                    harness.exchange.attempt_ended(attempt, OUTCOMES[outcome], value, None);
                    ended.push(attempt);
                }
                Op::EndLate(index, outcome) if !ended.is_empty() => {
                    let value = (OUTCOMES[outcome] == AttemptOutcome::Success).then(|| format!("late {n}"));
                    let attempt = ended[index % ended.len()];
                    let events = harness.exchange.has_no_events();
                    harness.exchange.attempt_ended(attempt, OUTCOMES[outcome], value, None);
                    prop_assert_eq!(harness.exchange.has_no_events(), events, "the late end of {:?} had an effect", attempt);
                }
                Op::EndAttempt(..) | Op::EndLate(..) => {}
                Op::Wait(ms) => {
                    now += ms;
                    harness.run_until(now);
                }
                Op::Disconnect(ticket) => {
                    if let Some(entry) = submitted.get_mut(&format!("q{ticket}")) {
                        entry.1 = true;
                        harness.exchange.client_disconnected(ticket);
                    }
                }
                Op::UpdateEndpoint(replica, up, complete) => harness.exchange.update_endpoints(at(now), complete, vec![endpoint(replica, up)]),
            }
            harness.run_batch(now);
            // What the replica side reports of a cancelled attempt is late.
            in_flight.retain(|(_, attempt, _, _)| !harness.transport.cancelled.contains(attempt));
            ended.append(&mut harness.transport.cancelled);
            for authorized in harness.authorize_calls(now) {
                let query = authorized.2.split('.').next().unwrap();
                prop_assert!(harness.response_to(query).is_none(), "part {} was sent after its query had ended", authorized.2);
                prop_assert!(now < submitted[query].0);
                in_flight.push(authorized);
            }
            for (query, (deadline, disconnected)) in &submitted {
                prop_assert!(*disconnected || now < *deadline || harness.response_to(query).is_some(), "query {query} has no response at its deadline");
            }
        }
        for (query, response) in harness.responses.borrow().iter() {
            if let QueryResponse::Answered { hits, .. } = response {
                for (shard, value) in hits {
                    prop_assert!(values[&(query.clone(), *shard)].contains(value));
                }
            }
        }
        harness.run_until(now + 4000);
        prop_assert!(harness.exchange.is_drained());
    }
}
