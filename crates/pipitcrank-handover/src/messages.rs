//! What is said: between the keeper and a worker, and between the old worker and the new one.

use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Raised with each change of what is said here; the first thing said is this.
pub const VERSION: u16 = 1;

/// From the keeper to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToWorker {
    Hello {
        version: u16,
    },
    /// Serve; the listener comes with it.
    Serve,
    /// Take over from the process at the other end of the socket that comes with it.
    TakeOver,
    /// Hand over to the process at the other end of the socket that comes with it.
    HandOver,
    /// The other is gone: go on alone.
    Alone,
    /// The trial is over: pass listener and connections, and end.
    Pass,
    /// How often an upgrade was asked for, done, undone.
    Upgrades {
        asked: u64,
        done: u64,
        undone: u64,
    },
}

/// From a worker to the keeper.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSupervisor {
    Hello {
        version: u16,
    },
    /// It has read and checked all it is told by, and could serve.
    Checked,
    /// It has taken what is known (or goes by the list alone) and takes queries.
    Learned,
    /// A sign of life of one on trial.
    Beat,
    /// Of its own queries none is open.
    Drained,
    /// Nothing is left with it.
    Passed,
}

/// From the old worker to the new one.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToSuccessor {
    Hello {
        version: u16,
    },
    /// A snapshot as encoded, or nothing where none could be made.
    Known(Vec<u8>),
    Ask(RelayedQuery),
    Gone {
        ticket: u64,
    },
    /// What the old one still holds: connections to replicas, to clients, open queries and parts.
    Room {
        replicas: u32,
        clients: u32,
        open: u32,
    },
    /// A client's connection comes with it, and bytes read from it already. A request begun on it has to be whole
    /// within that.
    Connection {
        read: Vec<u8>,
        whole_within: Option<TimeSpan>,
    },
    /// The old one ends: further calls it made of those lent, and its counters.
    Bye {
        further: u32,
        counters: Vec<(String, String, u64)>,
    },
    /// A query that came with a key by which leaves know a repeat. Last, so that the older messages keep their form.
    AskWithKey(RelayedQuery, String),
}

/// From the new worker to the old one.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToPredecessor {
    Hello { version: u16 },
    Answer { ticket: u64, last: RelayedResponse },
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RelayedQuery {
    pub ticket: u64,
    pub id: String,
    pub class: u16,
    /// Time left.
    pub left: TimeSpan,
    pub parts: Vec<(u32, f64, Option<f64>)>,
    pub text: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum RelayedResponse {
    Merged { whole: bool, hits: Vec<(u32, String)> },
    Rejected { stay_away: TimeSpan },
    Aborted,
    Repeated,
}
