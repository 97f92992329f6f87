//! What the process finds in its environment: the node configuration and the program itself.

use std::path::PathBuf;

use anyhow::{Context, Result, anyhow};
use pipitcrank_server::node_config::NodeConfig;
use pipitcrank_server::serve;

/// A variable of the environment.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// A node configuration that the environment's variables override.
pub(crate) type NodeConfigWithEnvironment = NodeConfig<fn(&str) -> Option<String>>;

/// The text of the node configuration that `NODE_CONFIG` names.
pub(crate) fn node_config_text() -> Result<String> {
    // Without its sources: the error's text names them already.
    let file = serve::node_config_file().map_err(|error| anyhow!("{error}"))?;
    Ok(file.text)
}

/// The node configuration that `NODE_CONFIG` names.
pub(crate) fn node_config() -> Result<NodeConfigWithEnvironment> {
    let read: fn(&str) -> Option<String> = variable;
    Ok(NodeConfig::parse(&node_config_text()?, read)?)
}

/// The co-ordinator's name: the owner of its store.
pub(crate) fn node_name() -> Result<String> {
    Ok(node_config()?.name()?)
}

/// The program's path as it was started, resolved now: what is put there later is what an upgrade starts.
pub(crate) fn program() -> Result<PathBuf> {
    std::env::current_exe().context("the program's path")
}
