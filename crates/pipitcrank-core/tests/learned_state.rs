//! Restoring learned state in another process.

mod helper;

use helper::driver::{coordinator_with_history, dispatch_at, start_query};
use helper::{RecordedOutput, Setup, at, list_replicas, ms};

#[test]
fn learned_state_restores_replicas_and_classes_by_name() {
    // Guards against restoring the work learned for a request class of one deployment to the class of another
    // deployment at the same index.
    let (mut old, _) = coordinator_with_history(3);
    let known = old.learned_state(at(0));
    let mut other = Setup { class_prefix: "w", ..Setup::with_seed(3) }.build();
    let mut output = RecordedOutput::default();
    list_replicas(&mut other, &mut output, &[]);
    let before = other.learned_state(at(0));
    other.restore_learned_state(at(10), ms(10), known.clone());
    let after = other.learned_state(at(10));
    assert_eq!(after.classes, before.classes, "no class of the other deployment is restored");
    assert_eq!(after.replicas.len(), known.replicas.len(), "all replicas are restored");
    let mut same = Setup { class_prefix: "v", ..Setup::with_seed(3) }.build();
    list_replicas(&mut same, &mut output, &[]);
    same.restore_learned_state(at(10), ms(10), known.clone());
    assert_eq!(
        same.learned_state(at(10)).classes[0],
        old.learned_state(at(10)).classes[0],
        "the class is restored by name"
    );
    // A query of the other deployment is sent at once to a replica whose state was restored.
    start_query(&mut other, &mut output, 20, 0, 0, &[2]);
    assert_eq!(dispatch_at(&mut other, 20).attempts().len(), 1, "the query is sent at once");
}
