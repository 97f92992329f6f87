//! `pipitcrank check`: all faults of the node configuration and the operators' file.

use std::path::Path;

use pipitcrank_config::OperatorsConfig;
use pipitcrank_server::runtime::clock::Clock;

use crate::zone_topology::own_zone;
use crate::{environment, exit_code};

/// Prints all faults, one a line: the node configuration's first, unless it is left out, then the operators' file's.
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

/// Prints what was found; whether that is no fault.
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

/// What both files say of zones has to agree; without the node configuration only the operators' file is checked.
fn operators_faults(path: &Path, no_node_config: bool) -> Vec<String> {
    let zones = match OperatorsConfig::read(path) {
        Ok(config) => config.zones,
        Err(error) => return vec![error.to_string()],
    };
    let Some(zones) = zones.filter(|_| !no_node_config) else { return Vec::new() };
    // A node configuration that can't be read was reported before.
    let Ok(config) = environment::node_config() else { return Vec::new() };
    let Ok(platform) = config.zones() else { return Vec::new() };
    own_zone(&zones, platform.as_ref()).err().map(|fault| fault.to_string()).into_iter().collect()
}
