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

struct Scene {
    audit: Audit,
    counters: Counters,
}

impl Scene {
    /// With one query of that request class, of two parts, whose client waits until 4 s.
    fn with(class: RequestClassId) -> Scene {
        Scene::told(rules(), class)
    }

    fn told(rules: AuditRules, class: RequestClassId) -> Scene {
        let counters = Counters::default();
        let mut scene = Scene { audit: Audit::new(rules, counters.clone()), counters };
        scene.takes(1, class, &[PartId(0), PartId(1)]);
        scene
    }

    fn takes(&mut self, ticket: u64, class: RequestClassId, parts: &[PartId]) {
        let deadline = at(4000);
        let taken = AdmittedQuery { ticket, id: "q", class, deadline, forwarded: false, parts };
        self.audit.admitted(at(0), taken);
    }

    fn sends(&mut self, ms: i64, part: u32, attempt: u32) {
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

    fn ends(&mut self, part: u32, attempt: u32, outcome: AttemptOutcome) {
        self.audit.attempt_ended(AttemptId { part: PartId(part), number: attempt }, outcome);
    }

    fn broken(&self) -> Vec<String> {
        self.counters.all().into_iter().filter(|c| c.group == "violations").map(|c| c.name).collect()
    }
}

#[test]
fn what_keeps_to_the_rules_is_no_violation_and_leaves_nothing_behind() {
    let mut scene = Scene::with(VIEW);
    scene.sends(10, 0, 0);
    scene.sends(10, 1, 0);
    scene.ends(0, 0, AttemptOutcome::Disconnected);
    scene.sends(30, 0, 1);
    scene.ends(0, 1, AttemptOutcome::Success);
    scene.ends(1, 0, AttemptOutcome::Success);
    scene.audit.answered(at(60), 1, Some(1.0), true);
    scene.audit.release_part(PartId(0));
    scene.audit.release_query(1);
    scene.audit.release_part(PartId(1));
    assert_eq!(
        (scene.broken(), scene.audit.record_counts()),
        (vec![], RecordCounts { queries: 0, parts: 0 })
    );
}

#[test]
fn a_part_sent_after_its_querys_answer_is_counted() {
    let mut scene = Scene::with(VIEW);
    scene.audit.answered(at(60), 1, None, false);
    scene.sends(70, 0, 0);
    assert_eq!(scene.broken(), ["sent_after_answer"]);
}

#[test]
fn a_part_sent_long_after_its_client_closed_is_counted() {
    let mut scene = Scene::with(VIEW);
    scene.audit.client_closed(at(50), 1);
    scene.sends(149, 0, 0);
    assert!(scene.broken().is_empty(), "within 0.1 s");
    scene.sends(151, 1, 0);
    assert_eq!(scene.broken(), ["sent_after_close"]);
}

#[test]
fn a_deadline_later_than_the_clients_is_counted() {
    let mut scene = Scene::with(VIEW);
    let time_left = TimeSpan::from_millis(3151);
    scene.audit.sent(
        at(1000),
        SentAttempt { attempt: AttemptId { part: PartId(0), number: 0 }, replica: REPLICA, time_left },
    );
    assert_eq!(scene.broken(), ["deadline_told"]);
}

#[test]
fn a_non_idempotent_part_is_repeated_only_if_it_never_ran() {
    let mut scene = Scene::with(SALE);
    scene.sends(10, 0, 0);
    scene.ends(0, 0, AttemptOutcome::Unreachable);
    scene.sends(20, 0, 1);
    assert!(scene.broken().is_empty());
    scene.ends(0, 1, AttemptOutcome::TimedOut);
    scene.sends(30, 0, 2);
    assert!(scene.broken().contains(&"repeated_unsafe".to_string()));
}

#[test]
fn a_part_idempotent_by_key_is_repeated_only_within_its_window() {
    let mut scene = Scene::with(PAY);
    scene.sends(10, 0, 0);
    scene.ends(0, 0, AttemptOutcome::Disconnected);
    scene.sends(1010, 0, 1);
    assert!(scene.broken().is_empty());
    scene.ends(0, 1, AttemptOutcome::Unreachable);
    scene.sends(1011, 0, 2);
    assert!(scene.broken().contains(&"repeated_late".to_string()));
}

#[test]
fn a_forbidden_hedge_and_too_many_attempts_are_counted() {
    let mut scene = Scene::told(AuditRules { budget_window: None, ..rules() }, VIEW);
    scene.sends(10, 0, 0);
    scene.sends(20, 0, 1);
    assert_eq!(scene.broken(), ["second_copy"]);
    for attempt in 0..2 {
        scene.ends(0, attempt, AttemptOutcome::Fault);
    }
    scene.sends(30, 0, 2);
    assert_eq!(scene.broken(), ["second_copy"], "three tries are allowed");
    scene.ends(0, 2, AttemptOutcome::Fault);
    scene.sends(40, 0, 3);
    assert_eq!(scene.broken(), ["second_copy", "too_many_tries"]);
}

#[test]
fn a_part_sent_to_a_drained_replica_beyond_the_grace_is_counted() {
    let mut scene = Scene::with(VIEW);
    scene.audit.replica_listed(REPLICA, Some(at(100)));
    scene.audit.replica_listed(REPLICA, Some(at(250)));
    scene.sends(300, 0, 0);
    assert!(scene.broken().is_empty(), "within the grace");
    scene.sends(301, 1, 0);
    assert_eq!(scene.broken(), ["sent_to_drained"], "counted from when it was time_left first");
}

#[test]
fn retries_beyond_the_budget_are_counted() {
    // Three taken allow one further attempt and three tenths.
    let mut scene = Scene::with(VIEW);
    for (part, ms) in [(0, 10), (1, 20)] {
        scene.sends(ms, part, 0);
        scene.ends(part, 0, AttemptOutcome::Disconnected);
    }
    scene.sends(30, 0, 1);
    assert!(scene.broken().is_empty());
    scene.sends(40, 1, 1);
    assert_eq!(scene.broken(), ["budget"]);
}

#[test]
fn an_attempt_unsent_spends_nothing() {
    let mut scene = Scene::with(VIEW);
    scene.sends(10, 0, 0);
    scene.ends(0, 0, AttemptOutcome::Disconnected);
    for _ in 0..5 {
        scene.sends(30, 0, 1);
        scene.audit.unsent(AttemptId { part: PartId(0), number: 1 });
    }
    scene.sends(40, 0, 1);
    assert!(scene.broken().is_empty());
}

#[test]
fn late_second_and_dishonest_answers_are_counted() {
    let mut scene = Scene::with(VIEW);
    scene.audit.answered(at(4400), 1, Some(0.5), false);
    assert!(scene.broken().is_empty());
    scene.audit.answered(at(4400), 1, None, false);
    assert_eq!(scene.broken(), ["second_answer"]);
    let mut scene = Scene::with(VIEW);
    scene.audit.answered(at(4501), 1, Some(0.9), true);
    assert_eq!(scene.broken(), ["dishonest_answer", "late_answer"]);
}

#[test]
fn a_client_that_leaves_long_after_its_time_without_an_answer_is_counted() {
    let mut scene = Scene::with(VIEW);
    scene.audit.client_closed(at(4501), 1);
    assert_eq!(scene.broken(), ["late_answer"]);
}
