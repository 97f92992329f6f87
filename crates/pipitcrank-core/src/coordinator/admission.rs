//! Admission of queries and their parts.

use super::open_query::{OpenQuery, PartState};
use super::state::State;
use crate::ids::{PartId, QueryId, RejectReason, RequestClassId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// A query that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct NewQuery {
    /// Index of the query, not used by any other open query.
    pub id: QueryId,
    /// Request class of the query.
    pub class: RequestClassId,
    /// Time until the client's deadline.
    pub time_left: TimeSpan,
    /// Client's hint of the total work of the parts, in a unit common to all hints.
    pub work_hint: Option<f64>,
    /// Number of parts of the query.
    pub part_count: f64,
}

/// A part of a query that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// Index of the part, not used by any other part.
    pub id: PartId,
    /// Query that the part belongs to.
    pub query: QueryId,
    /// Shard that the part reads.
    pub shard: u32,
    /// Weight of the part as a fraction of the whole answer.
    pub weight: f64,
    /// Client's hint of the work of the part, in a unit common to all hints.
    pub work_hint: Option<f64>,
}

/// Number of ticks before the end of the latency objective at which a partial answer is given.
const ANSWER_AHEAD_TICKS: f64 = 3.0;
/// Bounds of the ratio of a part's hint to the mean part hint of its query.
const MIN_RELATIVE_HINT: f64 = 0.2;
const MAX_RELATIVE_HINT: f64 = 5.0;

impl State {
    /// Admits the query, or sheds it at once if the zones in use cannot carry the whole load.
    pub(super) fn start_query(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        query: NewQuery,
    ) {
        let class = usize::from(query.class.0);
        self.retry_budget.record_admission(now);
        let open = self.open_query(now, query);
        self.zones.count_request(class, query.part_count);
        let zone = self.zones.draw_zone(&mut self.rng);
        let serial = open.serial;
        self.queries.insert(query.id, OpenQuery { zone, ..open });
        if self.zones.draw_shed(&mut self.rng, class) {
            return self.end_without_answer(output, now, query.id, RejectReason::ZoneOverCapacity);
        }
        self.review_query(output, now, query.id, serial);
    }

    fn open_query(&mut self, now: Timestamp, query: NewQuery) -> OpenQuery {
        let NewQuery { class: class_id, time_left, work_hint, part_count, .. } = query;
        let serial = self.next_sequence();
        let class = &mut self.classes[usize::from(class_id.0)];
        let mean_part_hint = work_hint.map(|w| w / part_count.max(1.0)).filter(|&w| w > 0.0);
        let relative_work = class.observe_hint(mean_part_hint);
        let stretch = TimeSpan::from_secs_f64(class.config.objective_stretch * work_hint.unwrap_or(0.0));
        let objective = (class.effective_objective() + stretch).min(class.config.hard_limit);
        let deadline = now + time_left;
        // A deadline before the end of the objective replaces it, so that all fractions of the objective
        // refer to the time that is available.
        let objective_at = (now + objective).min(deadline);
        let answer_by = (objective_at - self.tick * ANSWER_AHEAD_TICKS).min(deadline - self.tick);
        OpenQuery {
            serial,
            class: class_id,
            arrived: now,
            objective_at,
            answer_by,
            deadline,
            mean_part_hint,
            relative_work,
            is_first_step_complete: true,
            ..OpenQuery::default()
        }
    }

    pub(super) fn add_part(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, part: NewPart) {
        let Some(open) = self.queries.get_mut(&part.query) else { return output.release_part(part.id) };
        if open.delegated_retries.is_none() {
            self.retry_budget.record_admission(now);
        }
        open.parts.push(part.id);
        let class = open.class;
        // Hints predict the relative work of the parts of one query; across queries they are inaccurate.
        let typical_work = self.classes[usize::from(class.0)].typical_work();
        let relative_hint = part
            .work_hint
            .zip(open.mean_part_hint)
            .map_or(1.0, |(hint, mean)| (hint / mean).clamp(MIN_RELATIVE_HINT, MAX_RELATIVE_HINT));
        let work = typical_work * relative_hint * open.relative_work;
        let NewPart { id, query, shard, weight, .. } = part;
        self.parts.insert(id, PartState { query, class, shard, weight, work, ..PartState::default() });
        self.enqueue(id);
        self.needs_dispatch = true;
    }
}
