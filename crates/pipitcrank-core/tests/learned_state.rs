//! Learned state, restored in another process.

mod helper;

use helper::driver::{coordinator_with_history, dispatch_at, start_query};
use helper::{RecordedOutput, Setup, at, list_replicas, ms};

#[test]
fn learned_state_is_restored_for_replicas_and_for_classes_by_name_only() {
    // Work learned of one deployment's request class was restored for another's at the same index (2026-12-01).
    let (mut old, _) = coordinator_with_history(3);
    let known = old.learned_state(at(0));
    let mut other = Setup { class_prefix: "w", ..Setup::with_seed(3) }.build();
    let mut output = RecordedOutput::default();
    list_replicas(&mut other, &mut output, &[]);
    let before = other.learned_state(at(0));
    other.restore_learned_state(at(10), ms(10), known.clone());
    let after = other.learned_state(at(10));
    assert_eq!(after.classes, before.classes, "no request class has the old names");
    assert_eq!(after.replicas.len(), known.replicas.len(), "the same replicas");
    let mut same = Setup { class_prefix: "v", ..Setup::with_seed(3) }.build();
    list_replicas(&mut same, &mut output, &[]);
    same.restore_learned_state(at(10), ms(10), known.clone());
    assert_eq!(
        same.learned_state(at(10)).classes[0],
        old.learned_state(at(10)).classes[0],
        "restored under its own name"
    );
    // A query of the new deployment is sent at once to a replica learned of.
    start_query(&mut other, &mut output, 20, 0, 0, &[2]);
    assert_eq!(dispatch_at(&mut other, 20).attempts().len(), 1, "sent at once");
}
