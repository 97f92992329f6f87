//! Forwards to remote sites, and queries forwarded by them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipitcrank_core::ids::{AttemptOutcome, RequestClassId};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::{DelegatedRequest, Endpoint, QueryPart, QueryRequest, QueryResponse};

use crate::harness::{Harness, at, endpoint};

#[test]
fn remote_sites_need_a_known_delay_and_come_after_local_replicas() {
    let mut harness = Harness::new();
    let remote = harness.exchange.add_remote_site(0, "south", 3);
    let replicas_called = |harness: &mut Harness, name: &str, ms: i64| {
        harness.submit_query(name, 0, 0..1, ms + 3000);
        harness.run_batch(ms);
        let calls = std::mem::take(&mut harness.transport.calls);
        calls.iter().flat_map(|(_, attempts)| attempts).for_each(|attempt| harness.succeed(*attempt, "v"));
        harness.run_batch(ms + 1);
        calls.iter().map(|(replica, _)| *replica).collect::<Vec<_>>()
    };
    let local_down: Vec<Endpoint> = (0..3).map(|n| endpoint(n, false)).collect();
    assert!(
        replicas_called(&mut harness, "a", 10).iter().all(|replica| !remote.contains(replica)),
        "a site with an unknown delay was used"
    );
    harness.exchange.set_remote_delay(0, Some(TimeSpan::from_millis(100)));
    for n in 0..5 {
        assert!(
            replicas_called(&mut harness, &format!("b{n}"), 20 + 2 * n)
                .iter()
                .all(|replica| !remote.contains(replica)),
            "a remote site was used while local replicas were free"
        );
    }
    harness.exchange.update_endpoints(at(40), false, local_down);
    harness.run_batch(41);
    assert!(!harness.exchange.can_serve(), "a remote site alone must not make this site ready");
    let (replica, mut attempts) = {
        harness.submit_query("c", 0, 0..1, 3000);
        harness.run_batch(50);
        harness.transport.calls.remove(0)
    };
    assert!(remote.contains(&replica));
    let forwards = harness.exchange.authorize_forward(at(51), replica, &mut attempts);
    assert_eq!((forwards.len(), &forwards[0].id[..], forwards[0].idempotent), (1, "c", true));
    // A complete list from the discovery service does not contain remote sites, and they must not be removed by it.
    harness.exchange.update_endpoints(at(60), true, (0..3).map(|n| endpoint(n, false)).collect());
    harness.run_batch(61);
    assert!(remote.contains(&replicas_called(&mut harness, "d", 70)[0]));
    harness.exchange.set_remote_delay(0, None);
    assert!(replicas_called(&mut harness, "e", 80).is_empty(), "a call was sent without any usable replica");
}

#[test]
fn a_forwarded_query_stays_local_and_within_its_delegated_retries() {
    for delegated in [0, 1, 2] {
        let mut harness = Harness::new();
        let remote = harness.exchange.add_remote_site(0, "west", 3);
        harness.exchange.set_remote_delay(0, Some(TimeSpan::from_millis(1)));
        let parts = vec![QueryPart { shard: 0, weight: 1.0, work: None }];
        let request = QueryRequest {
            id: "q@n".into(),
            class: RequestClassId(0),
            deadline: at(3000),
            parts,
            idempotency_key: None,
            text: "t".into(),
        };
        let (retries_used, answered) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let sink = answered.clone();
        let part_sink =
            Box::new(move |shard: u32, value: &str| sink.borrow_mut().push((shard, value.to_string())));
        harness.exchange.submit_forwarded(
            1,
            request,
            DelegatedRequest { retries: delegated, retries_used: retries_used.clone(), on_part: part_sink },
            Box::new(|_: QueryResponse| ()),
        );
        let mut attempt_count = 0;
        for ms in (0..2000).step_by(5) {
            harness.run_batch(ms);
            for (replica, attempts) in std::mem::take(&mut harness.transport.calls) {
                assert!(!remote.contains(&replica), "a forwarded query was forwarded again");
                attempt_count += attempts.len() as u32;
                let outcome =
                    if attempt_count <= delegated { AttemptOutcome::Fault } else { AttemptOutcome::Success };
                let value = (outcome == AttemptOutcome::Success).then(|| "v".to_string());
                attempts
                    .into_iter()
                    .for_each(|id| harness.exchange.attempt_ended(id, outcome, value.clone(), None));
            }
        }
        assert_eq!((attempt_count, retries_used.get()), (1 + delegated, delegated));
        assert_eq!(answered.borrow()[..], [(0, "v".to_string())], "the answer was not passed on");
    }
}
