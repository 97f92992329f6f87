//! Stand-ins controlled by tests: replicas whose responses a test sends, a discovery with scripted faults, and a
//! listener that delays connections.
#![allow(dead_code, unused_imports)] // no test file uses all of them

mod discovery;
mod replica;

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use pipitcrank_testkit::client::QueryRequest;
use pipitcrank_testkit::fleet::node_config_of;
use serde_json::Value;

pub use discovery::{CallFault, HeldPoll, ScriptedDiscovery};
pub use replica::{ReceivedPart, SlowListener, StandInReplica};

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

/// Node configuration for this discovery and its replicas, with one shard per cell and two cells for each shard.
pub fn node_config(source: &ScriptedDiscovery, cells: u32, sockets: u32) -> Result<Value> {
    node_config_of(source.address, source.list(), cells, cells, 5, sockets, 500)
}

/// A query with one part.
pub fn one_part_query(id: &str) -> QueryRequest {
    let wait = Duration::from_secs(4);
    QueryRequest { id: id.to_string(), class: "view", shards: vec![0], wait, text: "c41e".to_string() }
}
