//! `pipitcrank`: a scatter-gather co-ordinator and its operators' commands.

mod arguments;
mod check;
mod clocks;
mod environment;
mod event_log;
mod evidence_collector;
mod exit_code;
mod failover_driver;
mod logs;
mod operator_request;
mod restart_plan;
mod runtime;
mod serve;
mod simulate;
mod store_driver;
mod upgrade_command;
mod upgrade_supervisor;
mod worker_process;
mod zone_topology;
mod zones_command;

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Parser;
use pipitcrank_config::{OperatorsConfig, ZonesConfig};
use pipitcrank_testkit::demo;
use pipitcrank_testkit::trial::{self, TrialOptions};

use crate::arguments::{Arguments, Command};
use crate::simulate::Experiment;

fn main() {
    let Arguments { command } = Arguments::parse();
    let code = run(command);
    // Exits without waiting for background threads: all accepted requests have been answered.
    std::process::exit(code);
}

/// Runs a command and returns the exit code.
fn run(command: Command) -> i32 {
    match command {
        Command::Serve { operators } => run_logged(operators, serve::serve),
        Command::Work { operators } => run_logged(operators, |_, config| serve::work(config)),
        Command::Check { operators, no_node_config } => check::check(operators.as_deref(), no_node_config),
        Command::Upgrade { pid, address, wait } => {
            exit_code_of(upgrade_command::upgrade(pid, address, Duration::from_secs_f64(wait)))
        }
        Command::Zones { what, zone, operators, at, wait } => run_with_zones(&operators, |zones| {
            let wait = Duration::from_secs_f64(wait);
            zones_command::zones_command(zones, &what, zone.as_deref(), at, wait)
        }),
        Command::RestartPlan { operators, share, at, wait } => run_with_zones(&operators, |zones| {
            restart_plan::restart_plan(zones, share, at, Duration::from_secs_f64(wait))
        }),
        Command::Lab { name, copies, zones, seed, json, plot } => {
            let zones = usize::from(zones);
            exit_code_of(Experiment { name, nodes: copies, zones, seed, json, plot }.run())
        }
        Command::Demo { seed } => {
            exit_code_of(environment::program().and_then(|program| demo::run(&program, seed)))
        }
        Command::Trial { name, seed, rounds, only, json } => {
            let options = TrialOptions { seed, rounds, only: only.as_deref(), json };
            exit_code_of(environment::program().and_then(|program| trial::run(&program, &name, options)))
        }
    }
}

/// Runs an operator's command that needs the `zones` section of an operators' file.
fn run_with_zones(path: &Path, command: impl FnOnce(&ZonesConfig) -> Result<i32>) -> i32 {
    match OperatorsConfig::read(path) {
        Ok(config) => {
            let zones = config.zones.context("/zones is off in that operators' file");
            exit_code_of(zones.and_then(|zones| command(&zones)))
        }
        Err(error) => {
            eprintln!("ERROR {error}");
            exit_code::INVALID_CONFIG
        }
    }
}

/// Returns the exit code of a command, and prints its error to standard error.
fn exit_code_of(result: Result<i32>) -> i32 {
    result.unwrap_or_else(|error| {
        eprintln!("ERROR {error:#}");
        exit_code::FAILURE
    })
}

/// Reads the operators' file, starts logging with its settings, and runs `process`. Errors are logged.
fn run_logged(
    path: Option<PathBuf>,
    process: impl FnOnce(Option<PathBuf>, OperatorsConfig) -> Result<i32>,
) -> i32 {
    let config = path.as_deref().map(OperatorsConfig::read).transpose();
    let logs = config.as_ref().ok().cloned().flatten().unwrap_or_default().logs;
    let writer = logs::start(&logs);
    let result = config.map_err(Into::into).and_then(|config| process(path, config.unwrap_or_default()));
    let code = result.unwrap_or_else(|error| {
        tracing::error!("{error:#}");
        exit_code::INVALID_CONFIG
    });
    writer.finish();
    code
}
