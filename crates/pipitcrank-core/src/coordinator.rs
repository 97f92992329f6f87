//! Decision logic of a co-ordinator: selects a replica for each part of a query, times and limits the
//! attempts, and ends the query.
//!
//! A caller creates one `Coordinator` from its configuration and adds the request classes in order with
//! `add_request_class`. It passes in events as they occur: `begin_endpoint_list`, `list_replica` and
//! `finish_endpoint_list` for the endpoint list, `start_query` and `add_part` for arrivals, `attempt_ended`
//! for each attempt, `load_probe_ended` and `load_report` for load probes, `cancel_query` and `timer_fired`.
//! After all events of one point in time it calls `dispatch` once. All resulting actions are issued through
//! `CoordinatorOutput`. Ids are small indices (`ids.rs`) that the caller may reuse once they are released.
//!
//! `Coordinator` only delegates: each rule is implemented in a module of its own. Rule numbers refer to
//! docs/rules.md, and docs/capacity.md explains the values of the constants.

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

use crate::ids::{
    AttemptDenied, AttemptId, AttemptOutcome, Idempotency, PartId, QueryId, ReplicaId, RequestClassId,
};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// The decision logic of one co-ordinator; see the module documentation.
#[derive(Default)]
pub struct Coordinator {
    state: State,
}

/// Methods for configuration and timers.
impl Coordinator {
    /// Creates a co-ordinator without request classes or replicas.
    pub fn new(config: CoordinatorConfig) -> Coordinator {
        Coordinator { state: State::new(config) }
    }

    /// Adds a request class. Its id is the number of request classes added before it.
    pub fn add_request_class(&mut self, config: RequestClassConfig) {
        self.state.classes.push(RequestClassState::new(config));
    }

    /// Starts the watch on the endpoint list if one is configured.
    pub fn start(&mut self, output: &mut dyn CoordinatorOutput) {
        self.state.start(output);
    }

    /// Handles the expiry of a timer that was set by `CoordinatorOutput::set_timer`.
    pub fn timer_fired(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, label: u64) {
        let Some(timer) = self.state.timers.remove(&label) else { return };
        match timer {
            Timer::WatchEndpoints => output.watch_endpoints(),
            Timer::ReviewQuery { query, serial } => self.state.review_query(output, now, query, serial),
            Timer::ProbesTimedOut => self.state.needs_dispatch = true,
        }
    }

    /// Assigns all waiting parts to replicas and sends them. Must be called once after the events of one
    /// point in time.
    pub fn dispatch(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        self.state.dispatch(output, now);
    }
}

/// Methods for the endpoint list.
impl Coordinator {
    /// Begins an update of the endpoint list. A complete update removes the replicas that it does not
    /// contain.
    pub fn begin_endpoint_list(&mut self, is_complete: bool) {
        self.state.begin_endpoint_list(is_complete);
    }

    /// Adds one replica to the endpoint list or updates its entry: its cell, whether it accepts attempts,
    /// and its start time if known.
    pub fn list_replica(&mut self, id: ReplicaId, cell: u32, is_up: bool, started: Option<Timestamp>) {
        self.state.list_replica(id, cell, is_up, started);
    }

    /// Completes the update of the endpoint list.
    pub fn finish_endpoint_list(&mut self, output: &mut dyn CoordinatorOutput) {
        self.state.finish_endpoint_list(output);
    }

    /// Handles a failed fetch or a broken watch of the endpoint list. The previous list stays in use.
    pub fn endpoint_list_failed(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        self.state.endpoint_list_failed(output, now);
    }
}

/// Methods for queries.
impl Coordinator {
    /// Admits a new query. Its parts are added afterwards with `add_part`.
    pub fn start_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, query: NewQuery) {
        self.state.start_query(output, now, query);
    }

    /// Adds a part to a query. The part is released at once if the query has already ended.
    pub fn add_part(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, part: NewPart) {
        self.state.add_part(output, now, part);
    }

    /// Ends a query whose client has closed its connection, or that was cancelled by the caller.
    pub fn cancel_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        self.state.cancel_query(output, now, id);
    }

    /// Caps the deadlines of all open queries at `latest`, because this process is about to be stopped.
    pub fn cap_deadlines(&mut self, latest: Timestamp) {
        self.state.cap_deadlines(latest);
    }

    /// Returns the retry-after for a query of the class that is rejected before its admission.
    pub fn retry_after(&self, class: RequestClassId) -> TimeSpan {
        self.state.retry_after(class)
    }

    /// Returns the effect of running a part of the class twice.
    pub fn idempotency(&self, class: RequestClassId) -> Idempotency {
        self.state.class_config(class).idempotency
    }

    /// Returns the retry-after for a query that was lost together with its process, or `None` if the query
    /// has to be aborted (rule 6).
    pub fn retry_after_if_lost(&self, class: RequestClassId) -> Option<TimeSpan> {
        self.state.retry_after_if_lost(class)
    }
}

/// Methods for attempts and load probes.
impl Coordinator {
    /// Checks once more whether the attempt may be sent, just before its first byte is written. Must be
    /// called once per attempt by callers that queue attempts before they send them; other callers send
    /// attempts as soon as they are decided.
    pub fn begin_attempt(&mut self, now: Timestamp, attempt: AttemptId) -> Result<(), AttemptDenied> {
        self.state.begin_attempt(now, attempt)
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        self.state.attempt_ended(output, now, attempt, outcome);
    }

    /// Records the end of a load probe. If the replica sent a report, `load_report` must be called with it
    /// first.
    pub fn load_probe_ended(&mut self, now: Timestamp, replica: ReplicaId, outcome: AttemptOutcome) {
        self.state.load_probe_ended(now, replica, outcome);
    }

    /// Records a load report of a replica: the number of parts queued there and, if reported, the number of
    /// all parts in flight there.
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

/// Methods for zones.
impl Coordinator {
    /// Sets the zone of a replica; `None` if the zone is unknown.
    pub fn set_replica_zone(&mut self, replica: ReplicaId, zone: Option<ZoneId>) {
        if let Some(state) = self.state.replicas.get_mut(&replica) {
            state.zone = zone;
        }
    }

    /// Replaces the routing of queries to zones.
    pub fn set_zone_routing(&mut self, routing: ZoneRouting) {
        self.state.needs_dispatch |= self.state.zones.set_routing(routing);
    }

    /// Returns the counts of queries and parts, by request class and by zone, since the start of the
    /// process.
    pub fn zone_traffic(&self) -> &ZoneTraffic {
        self.state.zones.traffic()
    }

    /// Returns what this co-ordinator has observed of the replicas of a zone.
    pub fn observe_zone(&self, now: Timestamp, zone: ZoneId) -> ZoneObservation {
        self.state.observe_zone(now, zone)
    }

    /// Probes up to `max_probes` replicas of a zone, so that observations of a zone without traffic stay
    /// recent.
    pub fn probe_zone(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        zone: ZoneId,
        max_probes: usize,
    ) {
        self.state.probe_zone(output, now, zone, max_probes);
    }
}

/// Methods for forwarding to other sites.
impl Coordinator {
    /// Marks the replica as a stand-in for a cell of another site, with `delay` as the round-trip time to
    /// that site. `None` stops forwards to it.
    pub fn set_remote_delay(&mut self, replica: ReplicaId, delay: Option<TimeSpan>) {
        self.state.set_remote_delay(replica, delay);
    }

    /// Marks a new query as forwarded by another site. That site counts the query in its own retry budget
    /// and has delegated `delegated_retries` of its retries to this one.
    pub fn mark_forwarded(&mut self, id: QueryId, delegated_retries: u32) {
        self.state.mark_forwarded(id, delegated_retries);
    }

    /// Returns whether a part of the request class may be attempted again after an earlier attempt may have
    /// run.
    pub fn may_retry(&self, class: RequestClassId) -> bool {
        self.state.may_retry(class)
    }

    /// Records that parts are forwarded to another site, and returns how many retries that site may make for
    /// them before `expires_at`.
    pub fn delegate_retries(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        parts: &[PartId],
        expires_at: Timestamp,
    ) -> u32 {
        self.state.delegate_retries(now, delegation_id, parts, expires_at)
    }

    /// Ends a delegation of retries to another site, which made `made` of the `delegated` retries.
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

/// Methods for the handover to another process.
impl Coordinator {
    /// Returns a copy of the learned state as of `now`.
    pub fn learned_state(&mut self, now: Timestamp) -> LearnedState {
        self.state.learned_state(now)
    }

    /// Restores state that another process learned `age` ago. `learned` identifies replicas by the indices
    /// that they have in this process.
    pub fn restore_learned_state(&mut self, now: Timestamp, age: TimeSpan, learned: LearnedState) {
        self.state.restore_learned_state(now, age, learned);
    }

    /// Returns the configuration of the retry budget.
    pub fn retry_budget_config(&self) -> RetryBudgetConfig {
        self.state.retry_budget.config()
    }

    /// Limits this process to `count` retries before `expires_at` and stops sending to replicas in slow
    /// start. The other process holds the rest of both budgets.
    pub fn limit_to_delegated_retries(&mut self, count: u32, expires_at: Timestamp) {
        self.state.limit_to_delegated_retries(count, expires_at);
    }

    /// Returns how many of the retries set by `limit_to_delegated_retries` remain.
    pub fn delegated_retries_left(&self) -> u32 {
        self.state.retry_budget.allotment_left()
    }

    /// Delegates `count` retries to the predecessor process until `expires_at`.
    pub fn delegate_to_predecessor(&mut self, count: u32, expires_at: Timestamp) {
        self.state.delegate_to_predecessor(count, expires_at);
    }

    /// Records that the predecessor has exited, after it made `made` of the delegated retries.
    pub fn settle_with_predecessor(&mut self, now: Timestamp, made: u32) {
        self.state.settle_with_predecessor(now, made);
    }

    /// Resumes after the other process of this co-ordinator has exited without reporting the retries that it
    /// made. Retries and slow-start sends are blocked until everything that the other process may have sent
    /// has left their windows.
    pub fn resume_without_peer(&mut self, now: Timestamp) {
        self.state.resume_without_peer(now);
    }
}

#[cfg(test)]
mod config_form;
