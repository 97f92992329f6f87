//! Properties that hold whatever happens and in whatever order.

use std::collections::BTreeMap;

use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_server::exchange::{AttemptId, QueryResponse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::harness::{Harness, at, listed};

#[derive(Clone, Debug)]
enum Op {
    Ask(u16, u32, u32, i64),
    End(usize, usize),
    Wait(i64),
    Gone(u64),
    List(u32, bool, bool),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (0..3u16, 0..11u32, 1..5u32, 20..3000i64).prop_map(|(v, s, n, left)| Op::Ask(v, s, n, left)),
        8 => (any::<usize>(), 0..6usize).prop_map(|(which, how)| Op::End(which, how)),
        4 => (1..300i64).prop_map(Op::Wait),
        1 => (1..20u64).prop_map(Op::Gone),
        1 => (0..3u32, any::<bool>(), any::<bool>()).prop_map(|(n, up, whole)| Op::List(n, up, whole)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever happens and in whatever order: one final answer before the deadline unless the client left; hits
    /// only as replicas gave them; nothing is released for a query that is over.
    #[test]
    fn every_query_ends_once_and_in_time(ops in proptest::collection::vec(op(), 1..60)) {
        const HOW: [AttemptOutcome; 6] =
            [AttemptOutcome::Success, AttemptOutcome::Success, AttemptOutcome::Fault, AttemptOutcome::NoCapacity, AttemptOutcome::Unreachable, AttemptOutcome::Disconnected];
        let (mut harness, mut now, mut out) = (Harness::new(), 0i64, Vec::new());
        let mut asked: BTreeMap<String, (i64, bool)> = BTreeMap::new();
        let mut given: BTreeMap<(String, u32), Vec<String>> = BTreeMap::new();
        for (n, op) in ops.into_iter().enumerate() {
            match op {
                Op::Ask(class, first, count, left) => {
                    let ticket = harness.ask(&format!("q{}", harness.tickets + 1), class, first..(first + count).min(12), now + left);
                    asked.insert(format!("q{ticket}"), (now + left, false));
                }
                Op::End(which, how) if !out.is_empty() => {
                    let (_, call, id, shard): (ReplicaId, AttemptId, String, u32) = out.swap_remove(which % out.len());
                    let value = (HOW[how] == AttemptOutcome::Success).then(|| format!("v{n}"));
                    let query = id.split('.').next().unwrap().to_string();
                    given.entry((query, shard)).or_default().extend(value.clone());
                    harness.exchange.attempt_ended(call, HOW[how], value, None);
                }
                Op::End(..) => {}
                Op::Wait(ms) => {
                    now += ms;
                    harness.run_to(now);
                }
                Op::Gone(ticket) => {
                    if let Some(entry) = asked.get_mut(&format!("q{ticket}")) {
                        entry.1 = true;
                        harness.exchange.client_disconnected(ticket);
                    }
                }
                Op::List(replica, up, whole) => harness.exchange.update_endpoints(at(now), whole, vec![listed(replica, up)]),
            }
            harness.turn(now);
            // Of calls given up the replica side tells nothing more.
            out.retain(|(_, call, _, _)| !harness.transport.cancelled.contains(call));
            harness.transport.cancelled.clear();
            for released in harness.release(now) {
                let query = released.2.split('.').next().unwrap();
                prop_assert!(harness.response_to(query).is_none(), "{} was over", released.2);
                prop_assert!(now < asked[query].0);
                out.push(released);
            }
            for (query, (ends, gone)) in &asked {
                prop_assert!(*gone || now < *ends || harness.response_to(query).is_some(), "{query} has no answer");
            }
        }
        for (query, last) in harness.answers.borrow().iter() {
            if let QueryResponse::Answered { hits, .. } = last {
                for (shard, value) in hits {
                    prop_assert!(given[&(query.clone(), *shard)].contains(value));
                }
            }
        }
        harness.run_to(now + 4000);
        prop_assert!(harness.exchange.is_drained());
    }
}
