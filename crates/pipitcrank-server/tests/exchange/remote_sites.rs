//! Remote sites, and queries that they forward.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipitcrank_core::ids::{AttemptOutcome, RequestClassId};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::{DelegatedRequest, Endpoint, QueryPart, QueryRequest, QueryResponse};

use crate::harness::{Harness, at, listed};

#[test]
fn a_remote_site_gets_parts_only_at_a_known_delay_and_local_replicas_go_first() {
    let mut harness = Harness::new();
    let far = harness.exchange.add_remote_site(0, "south", 3);
    let asked_of = |harness: &mut Harness, name: &str, ms: i64| {
        harness.ask(name, 0, 0..1, ms + 3000);
        harness.turn(ms);
        let calls = std::mem::take(&mut harness.transport.calls);
        calls.iter().flat_map(|(_, calls)| calls).for_each(|c| harness.pass(*c, "v"));
        harness.turn(ms + 1);
        calls.iter().map(|(replica, _)| *replica).collect::<Vec<_>>()
    };
    let local_down: Vec<Endpoint> = (0..3).map(|n| listed(n, false)).collect();
    assert!(asked_of(&mut harness, "a", 10).iter().all(|l| !far.contains(l)), "closed");
    harness.exchange.set_remote_delay(0, Some(TimeSpan::from_millis(100)));
    for n in 0..5 {
        assert!(
            asked_of(&mut harness, &format!("b{n}"), 20 + 2 * n).iter().all(|l| !far.contains(l)),
            "near ones are free"
        );
    }
    harness.exchange.update_endpoints(at(40), false, local_down);
    harness.turn(41);
    assert!(!harness.exchange.can_serve(), "a far site alone is not ours to be up by");
    let (replica, mut calls) = {
        harness.ask("c", 0, 0..1, 3000);
        harness.turn(50);
        harness.transport.calls.remove(0)
    };
    assert!(far.contains(&replica));
    let going = harness.exchange.authorize_forward(at(51), replica, &mut calls);
    assert_eq!((going.len(), &going[0].id[..], going[0].idempotent), (1, "c", true));
    // Discovery's next whole list does not name sites: they stay.
    harness.exchange.update_endpoints(at(60), true, (0..3).map(|n| listed(n, false)).collect());
    harness.turn(61);
    assert!(far.contains(&asked_of(&mut harness, "d", 70)[0]));
    harness.exchange.set_remote_delay(0, None);
    assert!(asked_of(&mut harness, "e", 80).is_empty(), "closed again, and nobody near");
}

#[test]
fn a_forwarded_query_goes_to_no_third_site_and_uses_no_more_retries_than_delegated() {
    for further in [0, 1, 2] {
        let mut harness = Harness::new();
        let far = harness.exchange.add_remote_site(0, "west", 3);
        harness.exchange.set_remote_delay(0, Some(TimeSpan::from_millis(1)));
        let parts = vec![QueryPart { shard: 0, weight: 1.0, work: None }];
        let asked = QueryRequest {
            id: "q@n".into(),
            class: RequestClassId(0),
            deadline: at(3000),
            parts,
            idempotency_key: None,
            text: "t".into(),
        };
        let (made, seen) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let noted = seen.clone();
        let as_in =
            Box::new(move |shard: u32, value: &str| noted.borrow_mut().push((shard, value.to_string())));
        harness.exchange.submit_forwarded(
            1,
            asked,
            DelegatedRequest { retries: further, retries_used: made.clone(), on_part: as_in },
            Box::new(|_: QueryResponse| ()),
        );
        let mut calls = 0;
        for ms in (0..2000).step_by(5) {
            harness.turn(ms);
            for (replica, parts) in std::mem::take(&mut harness.transport.calls) {
                assert!(!far.contains(&replica), "hops are bounded");
                calls += parts.len() as u32;
                let outcome = if calls <= further { AttemptOutcome::Fault } else { AttemptOutcome::Success };
                let value = (outcome == AttemptOutcome::Success).then(|| "v".to_string());
                parts
                    .into_iter()
                    .for_each(|c| harness.exchange.attempt_ended(c, outcome, value.clone(), None));
            }
        }
        assert_eq!((calls, made.get()), (1 + further, further));
        assert_eq!(seen.borrow()[..], [(0, "v".to_string())], "told as it was in");
    }
}
