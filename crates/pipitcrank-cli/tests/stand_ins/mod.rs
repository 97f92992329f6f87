//! Stand-ins that hold what they would say until a test lets them: replicas that hand out each part, a discovery that
//! spoils its calls by script, a listener whose connections come up late.
#![allow(dead_code, unused_imports)] // each test file uses some of them

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

/// Node configuration of a co-ordinator with that discovery and its replicas: one shard a cell, each held by two cells.
pub fn node_config(source: &ScriptedDiscovery, cells: u32, sockets: u32) -> Result<Value> {
    node_config_of(source.address, source.list(), cells, cells, 5, sockets, 500)
}

/// A query of one part, as most tests need no other.
pub fn one_part_query(id: &str) -> QueryRequest {
    let wait = Duration::from_secs(4);
    QueryRequest { id: id.to_string(), class: "view", shards: vec![0], wait, text: "c41e".to_string() }
}
