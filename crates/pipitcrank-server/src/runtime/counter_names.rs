//! Names of counters, as served at `/counters`. Operators' tools parse them, so they never change.
//!
//! Names derived from the variants of a type are defined by that type's `name()`.

/// Counter groups: the first word of a line.
pub mod group {
    /// Failed accepts, by error policy.
    pub const ACCEPT_ERRORS: &str = "accept_errors";
    /// Attempts that ended, by outcome.
    pub const ATTEMPTS: &str = "leaf_calls";
    /// Rejected requests, by error.
    pub const BAD_REQUESTS: &str = "bad_requests";
    /// Client connections, by start and end.
    pub const CLIENTS: &str = "clients";
    /// Client connections that ended, by the phase in which they ended.
    pub const CLIENTS_ENDED: &str = "clients_ended";
    /// Updates of the endpoint list, and calls to the discovery service that ended without one.
    pub const DISCOVERY: &str = "discovery";
    /// Answers of replicas that were dropped, by reason.
    pub const DROPPED_ANSWERS: &str = "dropped_answers";
    /// Frames between this process and replicas.
    pub const FRAMES: &str = "frames";
    /// Load probes, by outcome.
    pub const LOAD_PROBES: &str = "probes";
    /// Attempts that the send guard dropped, by reason.
    pub const NOT_SENT: &str = "not_sent";
    /// Memory, in kilobytes: the limit, the usage and the reservations.
    pub const MEMORY: &str = "memory";
    /// Queries, by admission and by response.
    pub const QUERIES: &str = "queries";
    /// Rejected and aborted queries, by reason.
    pub const REFUSALS: &str = "refusals";
    /// Reloads of the node configuration.
    pub const RELOADS: &str = "reloads";
    /// Connections to replicas, by start and end.
    pub const REPLICA_CONNECTIONS: &str = "leaf_connections";
    /// Parts sent more than once, by reason.
    pub const RESENDS: &str = "again";
    /// Work shed to stay within the memory limit, by what was shed.
    pub const SHED: &str = "shed";
    /// Upgrades of the process.
    pub const UPGRADES: &str = "upgrades";
    /// Violations of rules, by rule.
    pub const VIOLATIONS: &str = "violations";
}

/// Names in the group of queries.
pub mod query {
    /// Aborted queries.
    pub const ABORTED: &str = "aborted";
    /// Admitted queries.
    pub const ADMITTED: &str = "taken";
    /// Queries whose client disconnected.
    pub const CLIENT_DISCONNECTED: &str = "client_gone";
    /// Queries answered completely.
    pub const COMPLETE: &str = "merged";
    /// Queries with the id of an open query.
    pub const DUPLICATE_ID: &str = "repeated";
    /// Queries answered partially.
    pub const PARTIAL: &str = "merged_in_part";
    /// Queries with the id of an ended query that may have run.
    pub const RECENT_ID: &str = "may_have_run";
    /// Rejected queries.
    pub const REJECTED: &str = "rejected";
    /// Queries rejected because the limit of open queries was reached.
    pub const REJECTED_OVER_LIMIT: &str = "turned_away_over_most_open";
    /// Queries rejected because too many ids of ended queries must still be remembered.
    pub const REJECTED_TOO_MANY_RECENT: &str = "turned_away_over_most_remembered";
    /// Queries rejected because they were unread until after their deadline.
    pub const UNREAD_TOO_LONG: &str = "unread_too_long";
}

/// Names in the group of client connections, in addition to those of `ConnectionEnd`.
pub mod client {
    /// Accepted connections.
    pub const ACCEPTED: &str = "accepted";
    /// Connections received from another process.
    pub const ADOPTED: &str = "adopted";
    /// Connections rejected at shutdown because no permit was free.
    pub const REJECTED_AT_SHUTDOWN: &str = "turned_away_at_the_end";
}

/// Names in the group of connections to replicas, in addition to those of `ConnectionEnd`.
pub mod replica_connection {
    /// Opened connections.
    pub const OPENED: &str = "opened";
    /// Unused connections closed to release their permit to the client side.
    pub const RELEASED: &str = "given_back";
}

/// Names in the group of frames.
pub mod frame {
    /// Answers received.
    pub const ANSWERS: &str = "answers";
    /// Calls sent.
    pub const CALLS: &str = "calls_sent";
    /// Other frames sent.
    pub const CONTROL: &str = "small_sent";
    /// Answers received for parts that were already cancelled or answered.
    pub const LATE_ANSWERS: &str = "late_answers";
}

/// Names in the group of dropped answers: why it is not certain, or not true, that somebody waits for the answer.
pub mod dropped_answer {
    /// The attempt had ended before the exchange got the answer.
    pub const ATTEMPT_ENDED: &str = "attempt_ended";
    /// The part was cancelled or answered before on the same connection.
    pub const PART_ENDED: &str = "part_ended";
    /// The load probe was sent to a replica that was removed meanwhile.
    pub const REPLICA_REMOVED: &str = "replica_removed";
    /// The part was never sent on the connection, or too long ago to be remembered.
    pub const UNKNOWN_PART: &str = "unknown_part";
}

/// Names in the group of discovery, in addition to the ends of calls.
pub mod discovery {
    /// Updates with changes of the endpoint list.
    pub const CHANGES: &str = "changes";
    /// Updates with a complete endpoint list.
    pub const COMPLETE_LISTS: &str = "whole_list";
    /// Changes of the discovery service's address.
    pub const MOVED: &str = "moved";
    /// Replicas listed in an unknown zone.
    pub const UNKNOWN_ZONE: &str = "unknown_zone";
}

/// Names in the group of memory.
pub mod memory {
    /// Memory reserved for answers and for responses that clients have not read.
    pub const ANSWERS_KB: &str = "answers_kb";
    /// Highest memory reserved for answers and responses.
    pub const ANSWERS_PEAK_KB: &str = "answers_peak_kb";
    /// Memory reserved for partial frames of replicas.
    pub const FRAMES_KB: &str = "frames_kb";
    /// Highest memory reserved for partial frames of replicas.
    pub const FRAMES_PEAK_KB: &str = "frames_peak_kb";
    /// The limit of the node configuration.
    pub const LIMIT_KB: &str = "limit_kb";
    /// Highest resident memory since the start.
    pub const PEAK_KB: &str = "peak_kb";
    /// Memory reserved for endpoint lists that are being received.
    pub const LISTS_KB: &str = "lists_kb";
    /// Highest memory reserved for endpoint lists.
    pub const LISTS_PEAK_KB: &str = "lists_peak_kb";
    /// Memory reserved for open queries.
    pub const QUERIES_KB: &str = "queries_kb";
    /// Highest memory reserved for open queries.
    pub const QUERIES_PEAK_KB: &str = "queries_peak_kb";
    /// Memory reserved for requests that are being received.
    pub const REQUESTS_KB: &str = "requests_kb";
    /// Highest memory reserved for requests that are being received.
    pub const REQUESTS_PEAK_KB: &str = "requests_peak_kb";
    /// Resident memory at the last sample.
    pub const RESIDENT_KB: &str = "resident_kb";
}

/// Names in the group of work shed to stay within the memory limit.
pub mod shed {
    /// Answers of replicas that were dropped; the attempt counts as failed.
    pub const ANSWER: &str = "answer";
    /// Requests rejected while their body was received.
    pub const BODY: &str = "body";
    /// Connections to replicas closed with a partial frame.
    pub const FRAME: &str = "frame";
    /// Requests rejected while their head was received.
    pub const HEAD: &str = "head";
    /// Queries rejected at admission.
    pub const QUERY: &str = "query";
    /// Responses that were not sent.
    pub const RESPONSE: &str = "response";
    /// Incomplete requests ended early, since they took longest.
    pub const SLOW_REQUEST: &str = "slow_request";
}

/// Names in the group of upgrades.
pub mod upgrade {
    /// Completed upgrades.
    pub const COMPLETED: &str = "done";
    /// Relayed queries that the successor did not answer in time.
    pub const NOT_ANSWERED_IN_TIME: &str = "not_answered_in_time";
    /// Relayed queries that this process rejected, since its configuration has no such class or shard.
    pub const QUERIES_REFUSED: &str = "queries_refused";
    /// Requested upgrades.
    pub const REQUESTED: &str = "asked";
    /// Upgrades that were rolled back.
    pub const ROLLED_BACK: &str = "undone";
    /// Snapshots of a predecessor that could not be decoded.
    pub const SNAPSHOTS_REFUSED: &str = "snapshots_refused";
}

/// Names in the group of reloads.
pub mod reload {
    /// Reloads without effect, because the file has an error.
    pub const FAULTY: &str = "faulty";
    /// Reloads that took effect.
    pub const LOADED: &str = "taken";
}

/// Names in the group of failed accepts.
pub mod accept_error {
    /// Failures of the listener itself, which end accepting.
    pub const GIVEN_UP: &str = "given_up";
    /// Failures retried after a pause.
    pub const RETRIED_AFTER_PAUSE: &str = "retried_after_pause";
    /// Failures retried at once.
    pub const RETRIED_AT_ONCE: &str = "retried_at_once";
}
