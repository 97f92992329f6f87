//! Access to the process's environment: the node configuration and the path of the program.

use std::path::PathBuf;

use anyhow::{Context, Result, anyhow};
use pipitcrank_server::node_config::NodeConfig;
use pipitcrank_server::serve;

/// The value of an environment variable; `None` if it is not set or not UTF-8.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// A node configuration with overrides from environment variables.
pub(crate) type NodeConfigWithEnvironment = NodeConfig<fn(&str) -> Option<String>>;

/// The text of the node configuration that `NODE_CONFIG` names.
pub(crate) fn node_config_text() -> Result<String> {
    // Only the text is kept, since it already includes the text of the error's sources.
    let file = serve::node_config_file().map_err(|error| anyhow!("{error}"))?;
    Ok(file.text)
}

/// The node configuration that `NODE_CONFIG` names.
pub(crate) fn node_config() -> Result<NodeConfigWithEnvironment> {
    let read: fn(&str) -> Option<String> = variable;
    Ok(NodeConfig::parse(&node_config_text()?, read)?)
}

/// Name of this co-ordinator, recorded as the owner of its store.
pub(crate) fn node_name() -> Result<String> {
    Ok(node_config()?.name()?)
}

/// Path of the running program. An upgrade starts the file that is at this path when the upgrade begins.
pub(crate) fn program() -> Result<PathBuf> {
    std::env::current_exe().context("can't determine the path of the program")
}
