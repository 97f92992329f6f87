//! The decision module: which replica answers which part of a query, when, how often, and how the query ends.
//!
//! A caller makes one `Coordinator` from its configuration, adds the request classes in order with `add_request_class`,
//! and hands in each event as it comes: `begin_endpoint_list`, `list_replica` and `finish_endpoint_list` for the endpoint
//! list, `start_query` and `add_part` for arrivals, `attempt_ended` for each attempt, `load_probe_ended` and
//! `load_report`, `cancel_query`, `timer_fired`. After the events of one moment it calls `dispatch` once. All that is to be
//! done goes out through `CoordinatorOutput`; ids are small indices (`ids.rs`) that the caller may use again once they
//! are released.
//!
//! `Coordinator` only sequences: each rule stands in a module of its own. Rules are numbered as in docs/rules.md, and the
//! reasons for the values of constants stand in docs/capacity.md.

mod admission;
mod attempt_rules;
mod attempts;
mod candidates;
mod delegated_retries;
mod endpoint_list;
mod final_answers;
mod forwarding;
pub mod learned_state;
mod load_estimate;
mod open_query;
mod probing;
mod process_handover;
mod quantile;
mod query_review;
mod replica_health;
mod replica_index;
mod replica_load;
mod replica_state;
mod request_class;
mod retry_budget;
mod retry_policy;
mod service_estimates;
mod set_cover;
mod slow_start;
mod state;
mod state_transfer;
mod target_utilization;
mod zone_observation;
pub mod zones;

pub use admission::{NewPart, NewQuery};
pub use replica_index::SetCoverConfig;
pub use request_class::RequestClassConfig;
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use retry_policy::RetryPolicy;
pub use slow_start::SlowStartConfig;
pub use state::CoordinatorConfig;

use learned_state::LearnedState;
use request_class::RequestClassState;
use state::{State, Timer};
use zones::{ZoneId, ZoneObservation, ZoneRouting, ZoneTraffic};

use crate::ids::{AttemptDenied, AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Decides for one co-ordinator; see the module's documentation.
#[derive(Default)]
pub struct Coordinator {
    state: State,
}

/// Configuration and timers.
impl Coordinator {
    /// A coordinator without request classes or replicas.
    pub fn new(config: CoordinatorConfig) -> Coordinator {
        Coordinator { state: State::new(config) }
    }

    /// Adds a request class; its id is the number of those added before.
    pub fn add_request_class(&mut self, config: RequestClassConfig) {
        self.state.classes.push(RequestClassState::new(config));
    }

    /// Starts what runs by itself: the watch of the endpoint list, where it is configured.
    pub fn start(&mut self, output: &mut dyn CoordinatorOutput) {
        self.state.start(output);
    }

    /// A timer set by `CoordinatorOutput::set_timer` is due.
    pub fn timer_fired(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, label: u64) {
        let Some(timer) = self.state.timers.remove(&label) else { return };
        match timer {
            Timer::WatchEndpoints => output.watch_endpoints(),
            Timer::ReviewQuery { query, serial } => self.state.review_query(output, now, query, serial),
            Timer::ProbesTimedOut => self.state.needs_dispatch = true,
        }
    }

    /// Places what waits. To be called once after the events of a moment.
    pub fn dispatch(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        self.state.dispatch(output, now);
    }
}

/// The endpoint list.
impl Coordinator {
    /// A list follows. Replicas that a complete one does not name are no longer listed.
    pub fn begin_endpoint_list(&mut self, is_complete: bool) {
        self.state.begin_endpoint_list(is_complete);
    }

    /// One replica of the list: its cell, whether it takes attempts, and when it started, where that is known.
    pub fn list_replica(&mut self, id: ReplicaId, cell: u32, is_up: bool, started: Option<Timestamp>) {
        self.state.list_replica(id, cell, is_up, started);
    }

    /// The list has ended.
    pub fn finish_endpoint_list(&mut self, output: &mut dyn CoordinatorOutput) {
        self.state.finish_endpoint_list(output);
    }

    /// The list could not be had, or the watch broke; the old list stands.
    pub fn endpoint_list_failed(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        self.state.endpoint_list_failed(output, now);
    }
}

/// Queries.
impl Coordinator {
    /// A query has arrived; its parts follow.
    pub fn start_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, query: NewQuery) {
        self.state.start_query(output, now, query);
    }

    /// A part of a query. It is released at once if the query has ended.
    pub fn add_part(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, part: NewPart) {
        self.state.add_part(output, now, part);
    }

    /// The client has closed, or the query was ended from outside.
    pub fn cancel_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        self.state.cancel_query(output, now, id);
    }

    /// All queries held end by then at the latest: this process is to be stopped.
    pub fn cap_deadlines(&mut self, latest: Timestamp) {
        self.state.cap_deadlines(latest);
    }

    /// The retry-after of a query that was lost with the process that held it; none if it is aborted (rule 6).
    pub fn retry_after_if_lost(&self, class: RequestClassId) -> Option<TimeSpan> {
        self.state.retry_after_if_lost(class)
    }
}

/// Attempts and probes.
impl Coordinator {
    /// The attempt's first byte is about to be written: whether that may be, as of now. To be called once for each
    /// attempt by callers whose attempts may wait before they go out; with others they begin as they are decided.
    pub fn begin_attempt(&mut self, now: Timestamp, attempt: AttemptId) -> Result<(), AttemptDenied> {
        self.state.begin_attempt(now, attempt)
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        self.state.attempt_ended(output, now, attempt, outcome);
    }

    /// A load probe has ended; its report comes before by `load_report`.
    pub fn load_probe_ended(&mut self, now: Timestamp, replica: ReplicaId, outcome: AttemptOutcome) {
        self.state.load_probe_ended(now, replica, outcome);
    }

    /// A replica reports its load: the parts queued there, and all parts it holds, where it says so.
    pub fn load_report(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        queued: Option<f64>,
        in_flight: Option<f64>,
    ) {
        if let Some(parts_held) = in_flight.or(queued) {
            self.state.load_report(now, replica, parts_held);
        }
    }
}

/// Zones.
impl Coordinator {
    /// The replica stands in that zone; none where none is known.
    pub fn set_replica_zone(&mut self, replica: ReplicaId, zone: Option<ZoneId>) {
        if let Some(state) = self.state.replicas.get_mut(&replica) {
            state.zone = zone;
        }
    }

    /// From now on queries are routed to zones like that.
    pub fn set_zone_routing(&mut self, routing: ZoneRouting) {
        self.state.needs_dispatch |= self.state.zones.set_routing(routing);
    }

    /// What was counted since the start of the process.
    pub fn zone_traffic(&self) -> &ZoneTraffic {
        self.state.zones.traffic()
    }

    /// What was seen of a zone's replicas, from here.
    pub fn observe_zone(&self, now: Timestamp, zone: ZoneId) -> ZoneObservation {
        self.state.observe_zone(now, zone)
    }

    /// Probes up to `most` replicas of a zone, so that evidence of one that nothing is sent to stays recent.
    pub fn probe_zone(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        zone: ZoneId,
        most: usize,
    ) {
        self.state.probe_zone(output, now, zone, most);
    }
}

/// Other sites.
impl Coordinator {
    /// The replica stands for a cell of another site, at that round-trip time; none while nothing may go there.
    pub fn set_remote_delay(&mut self, replica: ReplicaId, delay: Option<TimeSpan>) {
        self.state.set_remote_delay(replica, delay);
    }

    /// The query just started was forwarded by another site, which counts it and delegates so many retries with it.
    pub fn mark_forwarded(&mut self, id: QueryId, delegated_retries: u32) {
        self.state.mark_forwarded(id, delegated_retries);
    }

    /// Whether a part of the request class that may have run may be attempted again at all.
    pub fn may_retry(&self, class: RequestClassId) -> bool {
        self.state.may_retry(class)
    }

    /// Parts are forwarded to another site: returns how many retries it may make for them until they expire.
    pub fn delegate_retries(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        parts: &[PartId],
        expires_at: Timestamp,
    ) -> u32 {
        self.state.delegate_retries(now, delegation_id, parts, expires_at)
    }

    /// The other site made so many of the retries delegated with the parts, and will make no more.
    pub fn delegation_returned(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        parts: &[PartId],
        delegated: u32,
        made: u32,
    ) {
        self.state.delegation_returned(now, delegation_id, parts, delegated, made);
    }
}

/// Handing over to another process.
impl Coordinator {
    /// All that was learned, as of now.
    pub fn learned_state(&mut self, now: Timestamp) -> LearnedState {
        self.state.learned_state(now)
    }

    /// Restores what another process had learned `age` ago. Replicas are by the indices of this one.
    pub fn restore_learned_state(&mut self, now: Timestamp, age: TimeSpan, learned: LearnedState) {
        self.state.restore_learned_state(now, age, learned);
    }

    /// What the retry budget is configured to be.
    pub fn retry_budget_config(&self) -> RetryBudgetConfig {
        self.state.retry_budget.config()
    }

    /// From now on at most so many retries, none after `expires_at`, and nothing to replicas warming up: another process
    /// has the rest.
    pub fn limit_to_delegated_retries(&mut self, count: u32, expires_at: Timestamp) {
        self.state.limit_to_delegated_retries(count, expires_at);
    }

    /// How many of those are left.
    pub fn delegated_retries_left(&self) -> u32 {
        self.state.retry_budget.allotment_left()
    }

    /// The process that hands over may make so many retries until they expire.
    pub fn delegate_to_predecessor(&mut self, count: u32, expires_at: Timestamp) {
        self.state.delegate_to_predecessor(count, expires_at);
    }

    /// It has ended and made so many.
    pub fn settle_with_predecessor(&mut self, now: Timestamp, made: u32) {
        self.state.settle_with_predecessor(now, made);
    }

    /// The other process has ended, and what it did is not known.
    pub fn resume_without_peer(&mut self, now: Timestamp) {
        self.state.resume_without_peer(now);
    }
}

#[cfg(test)]
mod config_form;
