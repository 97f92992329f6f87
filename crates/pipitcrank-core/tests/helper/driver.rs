//! Drives a co-ordinator through queries with one part per shard.

use super::{RecordedOutput, Setup, at, list_replicas, ms};
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};

/// Starts a query of request class `class` with one part per shard. Part ids count up from `base`.
pub fn start_query(
    coordinator: &mut Coordinator,
    output: &mut RecordedOutput,
    t: i64,
    class: u16,
    base: u32,
    shards: &[u32],
) {
    let n = shards.len() as f64;
    let query = NewQuery {
        id: QueryId(base),
        class: RequestClassId(class),
        time_left: ms(3000),
        work_hint: None,
        part_count: n,
    };
    coordinator.start_query(output, at(t), query);
    for (i, &shard) in shards.iter().enumerate() {
        let part = NewPart {
            id: PartId(base + i as u32),
            query: QueryId(base),
            shard,
            weight: 1.0 / n,
            work_hint: None,
        };
        coordinator.add_part(output, at(t), part);
    }
}

pub fn dispatch_at(coordinator: &mut Coordinator, t: i64) -> RecordedOutput {
    let mut output = RecordedOutput::default();
    coordinator.dispatch(&mut output, at(t));
    output
}

pub fn listed_coordinator(seed: u64) -> (Coordinator, RecordedOutput) {
    let (mut coordinator, mut output) = (Setup::with_seed(seed).build(), RecordedOutput::default());
    list_replicas(&mut coordinator, &mut output, &[]);
    (coordinator, output)
}

pub fn end_attempt(
    coordinator: &mut Coordinator,
    t: i64,
    part: PartId,
    nth: u32,
    outcome: AttemptOutcome,
) -> RecordedOutput {
    let mut output = RecordedOutput::default();
    coordinator.attempt_ended(&mut output, at(t), AttemptId { part, number: nth }, outcome);
    coordinator.dispatch(&mut output, at(t));
    output
}

/// Starts a query of shard 2 at each of the times, and counts the attempts sent to the replica.
pub fn count_sent_to(
    coordinator: &mut Coordinator,
    output: &mut RecordedOutput,
    replica: ReplicaId,
    times: &[i64],
) -> usize {
    let mut count = 0;
    for (n, &t) in (1..).zip(times) {
        start_query(coordinator, output, t, 0, n * 10, &[2]);
        count += dispatch_at(coordinator, t).attempts().iter().filter(|c| c.1 == replica).count();
    }
    count
}

/// A co-ordinator that has learned that parts take little time, so that no bundle is cut.
pub fn coordinator_with_history(seed: u64) -> (Coordinator, RecordedOutput) {
    let (mut coordinator, mut output) = listed_coordinator(seed);
    for n in 0..80 {
        let t = n * 30 - 3000;
        start_query(&mut coordinator, &mut output, t, 0, 0, &[n as u32]);
        dispatch_at(&mut coordinator, t);
        end_attempt(&mut coordinator, t + 10, PartId(0), 0, AttemptOutcome::Success);
    }
    (coordinator, output)
}

/// A co-ordinator with `count` replicas, each the only holder of its shard.
pub fn coordinator_of_single_holders(count: u32) -> (Coordinator, RecordedOutput) {
    let (mut coordinator, mut output) = (
        Setup { cells: count, cells_per_shard: 1, ..Setup::with_seed(1) }.build(),
        RecordedOutput::default(),
    );
    coordinator.begin_endpoint_list(true);
    for n in 0..count {
        coordinator.list_replica(ReplicaId(n), n, true, None);
    }
    coordinator.finish_endpoint_list(&mut output);
    (coordinator, output)
}
