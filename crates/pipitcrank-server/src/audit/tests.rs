use pipitcrank_core::ids::{AttemptId, AttemptOutcome, Idempotency, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::*;
use crate::runtime::counters::Counters;

const VIEW: RequestClassId = RequestClassId(0);
const SALE: RequestClassId = RequestClassId(1);
const PAY: RequestClassId = RequestClassId(2);
const REPLICA: ReplicaId = ReplicaId(7);

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn rules() -> AuditRules {
    let class = |idempotency, floor| ClassRules {
        idempotency,
        dedup_window: TimeSpan::from_millis(1000),
        floor,
        complete_from: 1.0,
    };
    AuditRules {
        classes: vec![
            class(Idempotency::Idempotent, 0.5),
            class(Idempotency::NonIdempotent, 1.0),
            class(Idempotency::IdempotentByKey, 1.0),
        ],
        may_hedge: false,
        max_attempts: 3,
        drain_grace: TimeSpan::from_millis(200),
        budget_free: 1.0,
        budget_ratio: 0.1,
        budget_window: Some(TimeSpan::from_millis(2000)),
    }
}

struct Fixture {
    audit: Audit,
    counters: Counters,
}

impl Fixture {
    /// Creates an audit with one query of the request class, which has two parts and a deadline of 4 s.
    fn with(class: RequestClassId) -> Fixture {
        Fixture::with_rules(rules(), class)
    }

    fn with_rules(rules: AuditRules, class: RequestClassId) -> Fixture {
        let counters = Counters::default();
        let mut fixture = Fixture { audit: Audit::new(rules, counters.clone()), counters };
        fixture.admit(1, class, &[PartId(0), PartId(1)]);
        fixture
    }

    fn admit(&mut self, ticket: u64, class: RequestClassId, parts: &[PartId]) {
        let deadline = at(4000);
        let query = AdmittedQuery { ticket, id: "q", class, deadline, forwarded: false, parts };
        self.audit.admitted(at(0), query);
    }

    fn send(&mut self, ms: i64, part: u32, attempt: u32) {
        let time_left = at(4000) - at(ms);
        self.audit.sent(
            at(ms),
            SentAttempt {
                attempt: AttemptId { part: PartId(part), number: attempt },
                replica: REPLICA,
                time_left,
            },
        );
    }

    fn end(&mut self, part: u32, attempt: u32, outcome: AttemptOutcome) {
        self.audit.attempt_ended(AttemptId { part: PartId(part), number: attempt }, outcome);
    }

    fn violations(&self) -> Vec<String> {
        self.counters.all().into_iter().filter(|c| c.group == "violations").map(|c| c.name).collect()
    }
}

#[test]
fn allowed_actions_are_no_violations_and_leave_no_records() {
    let mut fixture = Fixture::with(VIEW);
    fixture.send(10, 0, 0);
    fixture.send(10, 1, 0);
    fixture.end(0, 0, AttemptOutcome::Disconnected);
    fixture.send(30, 0, 1);
    fixture.end(0, 1, AttemptOutcome::Success);
    fixture.end(1, 0, AttemptOutcome::Success);
    fixture.audit.answered(at(60), 1, Some(1.0), true);
    fixture.audit.release_part(PartId(0));
    fixture.audit.release_query(1);
    fixture.audit.release_part(PartId(1));
    assert_eq!(
        (fixture.violations(), fixture.audit.record_counts()),
        (vec![], RecordCounts { queries: 0, parts: 0 })
    );
}

#[test]
fn a_part_sent_after_its_querys_answer_is_counted() {
    let mut fixture = Fixture::with(VIEW);
    fixture.audit.answered(at(60), 1, None, false);
    fixture.send(70, 0, 0);
    assert_eq!(fixture.violations(), ["sent_after_answer"]);
}

#[test]
fn a_part_sent_long_after_its_client_closed_is_counted() {
    let mut fixture = Fixture::with(VIEW);
    fixture.audit.client_closed(at(50), 1);
    fixture.send(149, 0, 0);
    assert!(fixture.violations().is_empty(), "within 0.1 s of the close");
    fixture.send(151, 1, 0);
    assert_eq!(fixture.violations(), ["sent_after_close"]);
}

#[test]
fn a_deadline_later_than_the_clients_is_counted() {
    let mut fixture = Fixture::with(VIEW);
    let time_left = TimeSpan::from_millis(3151);
    fixture.audit.sent(
        at(1000),
        SentAttempt { attempt: AttemptId { part: PartId(0), number: 0 }, replica: REPLICA, time_left },
    );
    assert_eq!(fixture.violations(), ["deadline_told"]);
}

#[test]
fn a_non_idempotent_part_is_retried_only_if_it_never_ran() {
    let mut fixture = Fixture::with(SALE);
    fixture.send(10, 0, 0);
    fixture.end(0, 0, AttemptOutcome::Unreachable);
    fixture.send(20, 0, 1);
    assert!(fixture.violations().is_empty());
    fixture.end(0, 1, AttemptOutcome::TimedOut);
    fixture.send(30, 0, 2);
    assert!(fixture.violations().contains(&"repeated_unsafe".to_string()));
}

#[test]
fn a_part_idempotent_by_key_is_retried_only_within_its_window() {
    let mut fixture = Fixture::with(PAY);
    fixture.send(10, 0, 0);
    fixture.end(0, 0, AttemptOutcome::Disconnected);
    fixture.send(1010, 0, 1);
    assert!(fixture.violations().is_empty());
    fixture.end(0, 1, AttemptOutcome::Unreachable);
    fixture.send(1011, 0, 2);
    assert!(fixture.violations().contains(&"repeated_late".to_string()));
}

#[test]
fn a_forbidden_hedge_and_too_many_attempts_are_counted() {
    let mut fixture = Fixture::with_rules(AuditRules { budget_window: None, ..rules() }, VIEW);
    fixture.send(10, 0, 0);
    fixture.send(20, 0, 1);
    assert_eq!(fixture.violations(), ["second_copy"]);
    for attempt in 0..2 {
        fixture.end(0, attempt, AttemptOutcome::Fault);
    }
    fixture.send(30, 0, 2);
    assert_eq!(fixture.violations(), ["second_copy"], "three attempts are allowed");
    fixture.end(0, 2, AttemptOutcome::Fault);
    fixture.send(40, 0, 3);
    assert_eq!(fixture.violations(), ["second_copy", "too_many_tries"]);
}

#[test]
fn a_part_sent_to_a_drained_replica_beyond_the_grace_is_counted() {
    let mut fixture = Fixture::with(VIEW);
    fixture.audit.replica_listed(REPLICA, Some(at(100)));
    fixture.audit.replica_listed(REPLICA, Some(at(250)));
    fixture.send(300, 0, 0);
    assert!(fixture.violations().is_empty(), "within the grace");
    fixture.send(301, 1, 0);
    assert_eq!(
        fixture.violations(),
        ["sent_to_drained"],
        "the grace runs from the first listing as draining"
    );
}

#[test]
fn retries_beyond_the_budget_are_counted() {
    // One query and two parts allow 1 + 3 * 0.1 retries.
    let mut fixture = Fixture::with(VIEW);
    for (part, ms) in [(0, 10), (1, 20)] {
        fixture.send(ms, part, 0);
        fixture.end(part, 0, AttemptOutcome::Disconnected);
    }
    fixture.send(30, 0, 1);
    assert!(fixture.violations().is_empty());
    fixture.send(40, 1, 1);
    assert_eq!(fixture.violations(), ["budget"]);
}

#[test]
fn an_unsent_attempt_uses_no_retry_budget() {
    let mut fixture = Fixture::with(VIEW);
    fixture.send(10, 0, 0);
    fixture.end(0, 0, AttemptOutcome::Disconnected);
    for _ in 0..5 {
        fixture.send(30, 0, 1);
        fixture.audit.unsent(AttemptId { part: PartId(0), number: 1 });
    }
    fixture.send(40, 0, 1);
    assert!(fixture.violations().is_empty());
}

#[test]
fn late_second_and_underweight_answers_are_counted() {
    let mut fixture = Fixture::with(VIEW);
    fixture.audit.answered(at(4400), 1, Some(0.5), false);
    assert!(fixture.violations().is_empty());
    fixture.audit.answered(at(4400), 1, None, false);
    assert_eq!(fixture.violations(), ["second_answer"]);
    let mut fixture = Fixture::with(VIEW);
    fixture.audit.answered(at(4501), 1, Some(0.9), true);
    assert_eq!(fixture.violations(), ["dishonest_answer", "late_answer"]);
}

#[test]
fn a_disconnect_long_after_the_deadline_without_an_answer_is_counted() {
    let mut fixture = Fixture::with(VIEW);
    fixture.audit.client_closed(at(4501), 1);
    assert_eq!(fixture.violations(), ["late_answer"]);
}
