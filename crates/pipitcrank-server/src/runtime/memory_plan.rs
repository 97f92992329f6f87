//! Division of a process's memory limit. What is kept for clients, replicas and discovery is either counted in advance
//! (connections, endpoint lists) or reserved from a [`MemoryBudget`](super::memory_budget::MemoryBudget) before it is kept.

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Memory of a process that serves nobody: program, runtime, tables of the settings and of a usual endpoint list.
const AT_REST_BYTES: usize = 8 * MIB;
/// One in this many bytes of the rest is left to the allocator, which can't use its free memory for every request.
const ALLOCATOR_ONE_IN: usize = 8;
/// Least part of the limit that is divided, however small the limit is.
const MIN_DIVIDED_ONE_IN: usize = 4;

/// Sixteenths of the divided memory by purpose; they sum to 16.
const CONNECTION_SHARES: usize = 8;
const LIST_SHARES: usize = 2;
const REQUEST_SHARES: usize = 3;
const QUERY_SHARES: usize = 1;
const ANSWER_SHARES: usize = 1;
const FRAME_SHARES: usize = 1;
const ALL_SHARES: usize = 16;

/// Memory of a client connection: its task, the HTTP library's buffers, and the included parts of a request.
const CLIENT_CONNECTION_BYTES: usize = 24 * KIB;
/// Memory of a connection to a replica: its task, its read buffer and its list of finished parts.
const REPLICA_CONNECTION_BYTES: usize = 10 * KIB;
/// Clients may hold two thirds of all connections.
const MEAN_CONNECTION_BYTES: usize = (2 * CLIENT_CONNECTION_BYTES + REPLICA_CONNECTION_BYTES) / 3;
/// Longest lists that are received at the same time: one by the watch, one by a poll. Further polls in parallel get what
/// these leave.
const CONCURRENT_LISTS: usize = 2;
/// Longest endpoint list, with room for about ten thousand replicas in indented JSON.
const MAX_LIST_BYTES: usize = 4 * MIB;

/// The limits that follow from a process's memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Maximum number of connections to clients and replicas together.
    pub connections: usize,
    /// Maximum length of an endpoint list, in bytes.
    pub list_bytes: usize,
    /// Bytes for endpoint lists that are being received.
    pub list_account_bytes: usize,
    /// Bytes for requests that are being received, beyond what a connection includes.
    pub request_bytes: usize,
    /// Bytes for open queries.
    pub query_bytes: usize,
    /// Bytes for the answers of replicas, and for responses that clients have not read, beyond what is included.
    pub answer_bytes: usize,
    /// Bytes for partial frames from replicas, beyond what a connection includes.
    pub frame_bytes: usize,
}

impl MemoryPlan {
    /// Divides `limit` bytes, which `processes` processes of this program share.
    pub fn of(limit: u64, processes: usize) -> MemoryPlan {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let rest = limit.saturating_sub(AT_REST_BYTES * processes).max(limit / MIN_DIVIDED_ONE_IN);
        let divided = rest - rest / ALLOCATOR_ONE_IN;
        let share = |shares: usize| divided / ALL_SHARES * shares;
        MemoryPlan {
            connections: share(CONNECTION_SHARES) / MEAN_CONNECTION_BYTES,
            list_bytes: (share(LIST_SHARES) / CONCURRENT_LISTS).min(MAX_LIST_BYTES),
            list_account_bytes: share(LIST_SHARES),
            request_bytes: share(REQUEST_SHARES),
            query_bytes: share(QUERY_SHARES),
            answer_bytes: share(ANSWER_SHARES),
            frame_bytes: share(FRAME_SHARES),
        }
    }
}

#[cfg(test)]
mod tests;
