//! `pipitcrank check`: prints the faults of the node configuration and of the operators' file.

use std::path::Path;

use pipitcrank_config::OperatorsConfig;
use pipitcrank_server::runtime::clock::Clock;

use crate::zone_topology::own_zone;
use crate::{environment, exit_code};

/// Prints all faults, one per line: first those of the node configuration, unless `no_node_config` is set, then those
/// of the operators' file. Returns the exit code.
pub(crate) fn check(operators: Option<&Path>, no_node_config: bool) -> i32 {
    let mut code = exit_code::SUCCESS;
    if !no_node_config && !report("the charter", &node_config_faults()) {
        code = exit_code::INVALID_CONFIG;
    }
    if let Some(path) = operators {
        let faults = operators_faults(path, no_node_config);
        if !report(&path.display().to_string(), &faults) {
            code = exit_code::INVALID_CONFIG;
        }
    }
    code
}

/// Prints the faults of one file and returns whether there are none.
fn report(checked: &str, faults: &[String]) -> bool {
    if faults.is_empty() {
        println!("{checked} is good");
    }
    for fault in faults {
        eprintln!("ERROR {fault}");
    }
    faults.is_empty()
}

fn node_config_faults() -> Vec<String> {
    match environment::node_config() {
        Ok(config) => config.faults(&Clock::start()).iter().map(ToString::to_string).collect(),
        Err(error) => vec![error.to_string()],
    }
}

/// Faults of the operators' file itself, and its contradictions with the zones of the node configuration, unless
/// `no_node_config` is set.
fn operators_faults(path: &Path, no_node_config: bool) -> Vec<String> {
    let zones = match OperatorsConfig::read(path) {
        Ok(config) => config.zones,
        Err(error) => return vec![error.to_string()],
    };
    let Some(zones) = zones.filter(|_| !no_node_config) else { return Vec::new() };
    // Faults of the node configuration itself have been reported by `node_config_faults`.
    let Ok(config) = environment::node_config() else { return Vec::new() };
    let Ok(platform) = config.zones() else { return Vec::new() };
    own_zone(&zones, platform.as_ref()).err().map(|fault| fault.to_string()).into_iter().collect()
}
