//! The spelling of `/counters`: operators' tools read these names, so they stay as they are.
//!
//! Names that follow a type stand beside it, in its `name()`.

/// Groups: the first word of a line.
pub mod group {
    /// Failed accepts, by what follows.
    pub const ACCEPT_ERRORS: &str = "accept_errors";
    /// Attempts that ended, by outcome.
    pub const ATTEMPTS: &str = "leaf_calls";
    /// Refused requests, by error.
    pub const BAD_REQUESTS: &str = "bad_requests";
    /// Client connections, by start and end.
    pub const CLIENTS: &str = "clients";
    /// Updates of the endpoint list, and calls that ended without one.
    pub const DISCOVERY: &str = "discovery";
    /// Frames between this process and replicas.
    pub const FRAMES: &str = "frames";
    /// Load probes, by outcome.
    pub const LOAD_PROBES: &str = "probes";
    /// Attempts that the send guard dropped, by reason.
    pub const NOT_SENT: &str = "not_sent";
    /// Queries, by admission and response.
    pub const QUERIES: &str = "queries";
    /// Rejected and aborted queries, by reason.
    pub const REFUSALS: &str = "refusals";
    /// Reloads of the node configuration.
    pub const RELOADS: &str = "reloads";
    /// Connections to replicas, by start and end.
    pub const REPLICA_CONNECTIONS: &str = "leaf_connections";
    /// Parts sent again, by reason.
    pub const RESENDS: &str = "again";
    /// Upgrades of the process.
    pub const UPGRADES: &str = "upgrades";
    /// Violations of rules, by rule.
    pub const VIOLATIONS: &str = "violations";
}

/// Names in the group of queries.
pub mod query {
    /// Aborted.
    pub const ABORTED: &str = "aborted";
    /// Admitted.
    pub const ADMITTED: &str = "taken";
    /// Its client disconnected.
    pub const CLIENT_DISCONNECTED: &str = "client_gone";
    /// Answered completely.
    pub const COMPLETE: &str = "merged";
    /// An open query has the same id.
    pub const DUPLICATE_ID: &str = "repeated";
    /// Answered partially.
    pub const PARTIAL: &str = "merged_in_part";
    /// Rejected.
    pub const REJECTED: &str = "rejected";
    /// Rejected since as many are open as may be.
    pub const REJECTED_OVER_LIMIT: &str = "turned_away_over_most_open";
    /// Rejected since it lay unread beyond its deadline.
    pub const UNREAD_TOO_LONG: &str = "unread_too_long";
}

/// Names in the group of client connections, beside how they end.
pub mod client {
    /// Accepted.
    pub const ACCEPTED: &str = "accepted";
    /// Taken over from another process.
    pub const ADOPTED: &str = "adopted";
    /// Rejected at shutdown for want of a permit.
    pub const REJECTED_AT_SHUTDOWN: &str = "turned_away_at_the_end";
}

/// Names in the group of connections to replicas, beside how they end.
pub mod replica_connection {
    /// Opened.
    pub const OPENED: &str = "opened";
    /// Closed while unused, since its permit was needed elsewhere.
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
    /// Answers to parts that were cancelled or answered before.
    pub const LATE_ANSWERS: &str = "late_answers";
}

/// Names in the group of discovery, beside how calls end.
pub mod discovery {
    /// Changes of the list.
    pub const CHANGES: &str = "changes";
    /// Complete lists.
    pub const COMPLETE_LISTS: &str = "whole_list";
    /// Moves to another address.
    pub const MOVED: &str = "moved";
    /// Replicas in a zone that is not known.
    pub const UNKNOWN_ZONE: &str = "unknown_zone";
}

/// Names in the group of upgrades.
pub mod upgrade {
    /// Completed.
    pub const COMPLETED: &str = "done";
    /// Relayed queries that the successor did not answer in time.
    pub const NOT_ANSWERED_IN_TIME: &str = "not_answered_in_time";
    /// Requested.
    pub const REQUESTED: &str = "asked";
    /// Rolled back.
    pub const ROLLED_BACK: &str = "undone";
    /// States of a predecessor that could not be loaded.
    pub const SNAPSHOTS_REFUSED: &str = "snapshots_refused";
}

/// Names in the group of reloads.
pub mod reload {
    /// Nothing changed, since the file is faulty.
    pub const FAULTY: &str = "faulty";
    /// The new node configuration took effect.
    pub const LOADED: &str = "taken";
}

/// Names in the group of failed accepts.
pub mod accept_error {
    /// The listener is broken.
    pub const GIVEN_UP: &str = "given_up";
    /// Retried after a pause.
    pub const RETRIED_AFTER_PAUSE: &str = "retried_after_pause";
    /// Retried at once.
    pub const RETRIED_AT_ONCE: &str = "retried_at_once";
}
