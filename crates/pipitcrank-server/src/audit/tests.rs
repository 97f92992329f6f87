use pipitcrank_core::ids::{AttemptOutcome, Idempotency, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::*;

const VIEW: RequestClassId = RequestClassId(0);
const SALE: RequestClassId = RequestClassId(1);
const PAY: RequestClassId = RequestClassId(2);
const REPLICA: ReplicaId = ReplicaId(7);

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn terms() -> AuditRules {
    let class = |idempotency, floor| ClassRules {
        idempotency,
        dedup_window: TimeSpan::from_millis(1000),
        floor,
        whole_from: 1.0,
    };
    AuditRules {
        classes: vec![
            class(Idempotency::Idempotent, 0.5),
            class(Idempotency::NonIdempotent, 1.0),
            class(Idempotency::IdempotentByKey, 1.0),
        ],
        may_duplicate: false,
        try_limit: 3,
        drain_grace: TimeSpan::from_millis(200),
        budget_free: 1.0,
        budget_ratio: 0.1,
        budget_span: Some(TimeSpan::from_millis(2000)),
    }
}

struct Books {
    audit: Audit,
    counters: Counters,
}

impl Books {
    /// With one query of that request class, of two parts, whose client waits until 4 s.
    fn with(class: RequestClassId) -> Books {
        Books::told(terms(), class)
    }

    fn told(terms: AuditRules, class: RequestClassId) -> Books {
        let counters = Counters::default();
        let mut books = Books { audit: Audit::new(terms, counters.clone()), counters };
        books.takes(1, class, &[PartId(0), PartId(1)]);
        books
    }

    fn takes(&mut self, ticket: u64, class: RequestClassId, parts: &[PartId]) {
        let deadline = at(4000);
        let taken = AdmittedQuery { ticket, id: "q", class, deadline, forwarded: false, parts };
        self.audit.admitted(at(0), taken);
    }

    fn sends(&mut self, ms: i64, part: u32, attempt: u32) {
        let time_left = at(4000) - at(ms);
        self.audit.sent(at(ms), SentAttempt { part: PartId(part), attempt, replica: REPLICA, time_left });
    }

    fn ends(&mut self, part: u32, attempt: u32, outcome: AttemptOutcome) {
        self.audit.attempt_ended(PartId(part), attempt, outcome);
    }

    fn broken(&self) -> Vec<String> {
        self.counters.all().into_iter().filter(|c| c.group == "violations").map(|c| c.name).collect()
    }
}

#[test]
fn what_keeps_to_the_rules_is_no_violation_and_leaves_nothing_behind() {
    let mut books = Books::with(VIEW);
    books.sends(10, 0, 0);
    books.sends(10, 1, 0);
    books.ends(0, 0, AttemptOutcome::Disconnected);
    books.sends(30, 0, 1);
    books.ends(0, 1, AttemptOutcome::Success);
    books.ends(1, 0, AttemptOutcome::Success);
    books.audit.answered(at(60), 1, Some(1.0), true);
    books.audit.release_part(PartId(0));
    books.audit.release_query(1);
    books.audit.release_part(PartId(1));
    assert_eq!((books.broken(), books.audit.held()), (vec![], (0, 0)));
}

#[test]
fn a_part_sent_after_its_querys_answer_is_counted() {
    let mut books = Books::with(VIEW);
    books.audit.answered(at(60), 1, None, false);
    books.sends(70, 0, 0);
    assert_eq!(books.broken(), ["sent_after_answer"]);
}

#[test]
fn a_part_sent_long_after_its_client_closed_is_counted() {
    let mut books = Books::with(VIEW);
    books.audit.client_closed(at(50), 1);
    books.sends(149, 0, 0);
    assert!(books.broken().is_empty(), "within 0.1 s");
    books.sends(151, 1, 0);
    assert_eq!(books.broken(), ["sent_after_close"]);
}

#[test]
fn more_time_told_than_the_client_has_is_counted() {
    let mut books = Books::with(VIEW);
    let time_left = TimeSpan::from_millis(3151);
    books.audit.sent(at(1000), SentAttempt { part: PartId(0), attempt: 0, replica: REPLICA, time_left });
    assert_eq!(books.broken(), ["deadline_told"]);
}

#[test]
fn a_side_effecting_part_goes_again_only_if_it_never_ran() {
    let mut books = Books::with(SALE);
    books.sends(10, 0, 0);
    books.ends(0, 0, AttemptOutcome::Unreachable);
    books.sends(20, 0, 1);
    assert!(books.broken().is_empty());
    books.ends(0, 1, AttemptOutcome::TimedOut);
    books.sends(30, 0, 2);
    assert!(books.broken().contains(&"repeated_unsafe".to_string()));
}

#[test]
fn a_deduplicated_part_goes_again_only_within_its_window() {
    let mut books = Books::with(PAY);
    books.sends(10, 0, 0);
    books.ends(0, 0, AttemptOutcome::Disconnected);
    books.sends(1010, 0, 1);
    assert!(books.broken().is_empty());
    books.ends(0, 1, AttemptOutcome::Unreachable);
    books.sends(1011, 0, 2);
    assert!(books.broken().contains(&"repeated_late".to_string()));
}

#[test]
fn a_second_copy_and_too_many_tries_are_counted() {
    let mut books = Books::told(AuditRules { budget_span: None, ..terms() }, VIEW);
    books.sends(10, 0, 0);
    books.sends(20, 0, 1);
    assert_eq!(books.broken(), ["second_copy"]);
    for attempt in 0..2 {
        books.ends(0, attempt, AttemptOutcome::Fault);
    }
    books.sends(30, 0, 2);
    assert_eq!(books.broken(), ["second_copy"], "three tries are allowed");
    books.ends(0, 2, AttemptOutcome::Fault);
    books.sends(40, 0, 3);
    assert_eq!(books.broken(), ["second_copy", "too_many_tries"]);
}

#[test]
fn a_part_sent_to_a_drained_replica_beyond_the_grace_is_counted() {
    let mut books = Books::with(VIEW);
    books.audit.replica_listed(REPLICA, Some(at(100)));
    books.audit.replica_listed(REPLICA, Some(at(250)));
    books.sends(300, 0, 0);
    assert!(books.broken().is_empty(), "within the grace");
    books.sends(301, 1, 0);
    assert_eq!(books.broken(), ["sent_to_drained"], "counted from when it was time_left first");
}

#[test]
fn further_attempts_beyond_the_budget_are_counted() {
    // Three taken allow one further attempt and three tenths.
    let mut books = Books::with(VIEW);
    for (part, ms) in [(0, 10), (1, 20)] {
        books.sends(ms, part, 0);
        books.ends(part, 0, AttemptOutcome::Disconnected);
    }
    books.sends(30, 0, 1);
    assert!(books.broken().is_empty());
    books.sends(40, 1, 1);
    assert_eq!(books.broken(), ["budget"]);
}

#[test]
fn an_attempt_unsent_spends_nothing() {
    let mut books = Books::with(VIEW);
    books.sends(10, 0, 0);
    books.ends(0, 0, AttemptOutcome::Disconnected);
    for _ in 0..5 {
        books.sends(30, 0, 1);
        books.audit.unsent(PartId(0), 1);
    }
    books.sends(40, 0, 1);
    assert!(books.broken().is_empty());
}

#[test]
fn late_second_and_dishonest_answers_are_counted() {
    let mut books = Books::with(VIEW);
    books.audit.answered(at(4400), 1, Some(0.5), false);
    assert!(books.broken().is_empty());
    books.audit.answered(at(4400), 1, None, false);
    assert_eq!(books.broken(), ["second_answer"]);
    let mut books = Books::with(VIEW);
    books.audit.answered(at(4501), 1, Some(0.9), true);
    assert_eq!(books.broken(), ["dishonest_answer", "late_answer"]);
}

#[test]
fn a_client_that_leaves_long_after_its_time_without_an_answer_is_counted() {
    let mut books = Books::with(VIEW);
    books.audit.client_closed(at(4501), 1);
    assert_eq!(books.broken(), ["late_answer"]);
}
