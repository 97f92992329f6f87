use super::FinishedParts;

/// Guards against a late answer being taken for an answer to a newer attempt: a cancelled part was forgotten once many
/// others had ended on the connection.
#[test]
fn a_cancelled_part_is_remembered_until_its_answer_comes() {
    let mut finished = FinishedParts::default();
    finished.cancelled("late");
    for n in 0..2000 {
        finished.answered(&format!("q{n}"));
    }
    for n in 1..FinishedParts::MAX_CANCELLED {
        assert!(!finished.is_full(), "full with {n} cancelled parts");
        finished.cancelled(&format!("c{n}"));
    }
    assert!(finished.is_full() && finished.contains("late"));
    finished.answered("late");
    assert!(!finished.is_full() && finished.contains("late"), "a second copy of the answer is late as well");
}
