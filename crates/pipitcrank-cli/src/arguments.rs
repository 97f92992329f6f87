//! Command-line arguments. Subcommands, options and their help texts are part of the program's interface.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// A scatter-gather co-ordinator: reads many shards for one query and returns one answer
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success; 1 failure, or a trial whose checks failed; 2 an invalid file, \
variable or argument, named by its key; 3 a broken link between processes."
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Serve queries until SIGTERM, with the node configuration in the file that NODE_CONFIG names
    ///
    /// NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override that file. SIGTERM starts a graceful shutdown, SIGHUP
    /// reloads the files, SIGUSR2 starts an upgrade if the operators' file enables upgrades
    Serve {
        /// The operators' file (Dhall); without it all features that it can enable are off
        #[arg(long)]
        operators: Option<PathBuf>,
    },
    /// Check the node configuration (NODE_CONFIG) and the operators' file, and print each fault with its key
    Check {
        #[arg(long)]
        operators: Option<PathBuf>,
        /// Check only the operators' file, not the node configuration
        #[arg(long = "no-charter")]
        no_node_config: bool,
    },
    /// Upgrade a running co-ordinator: it starts the program again and hands over to the new process
    Upgrade {
        /// Id of the process that was started with `serve`
        #[arg(long)]
        pid: i32,
        /// Address at which it serves, to read the result from its counters; without it the result is not awaited
        #[arg(long)]
        address: Option<SocketAddr>,
        /// Seconds to wait for the result
        #[arg(long, default_value_t = 120.0)]
        wait: f64,
    },
    /// Show the current zone decision, or send the voters an order: drain, return, freeze, thaw, begin
    Zones {
        /// show, drain, return, freeze or thaw; begin: when no voter leads because some are permanently lost, the
        /// remaining voters form a new group without them
        #[arg(value_parser = ["show", "drain", "return", "freeze", "thaw", "begin"])]
        what: String,
        /// Name of the zone, for drain and return; for begin the addresses of the lost voters, separated by commas,
        /// or nothing to include all voters again
        zone: Option<String>,
        /// Operators' file of a co-ordinator, which gives the zones, the voters and the secret
        #[arg(long)]
        operators: PathBuf,
        /// Address of the co-ordinator to contact, as others use it; `show` defaults to the one of that file
        #[arg(long)]
        at: Option<SocketAddr>,
        /// Seconds to wait for an answer
        #[arg(long, default_value_t = 5.0)]
        wait: f64,
    },
    /// Print waves for restarting the co-ordinators: a share of each zone at a time, voters last and one by one
    RestartPlan {
        /// Operators' file of a co-ordinator
        #[arg(long)]
        operators: PathBuf,
        /// Largest share of all co-ordinators, and of those of each zone, to restart at once
        #[arg(long, default_value_t = 0.25)]
        share: f64,
        /// Address of the co-ordinator to contact, as others use it; defaults to the one of that file
        #[arg(long)]
        at: Option<SocketAddr>,
        /// Seconds to wait for an answer
        #[arg(long, default_value_t = 5.0)]
        wait: f64,
    },
    /// Run a demo on this machine: stand-in replicas, several hundred queries, one replica killed half way
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a named scenario with faults on loopback; the exit code is 0 only if all its checks pass
    Trial {
        /// Name of the scenario: upgrade, upgrade-overloaded, upgrade-known, gateway, gateway-table, zones, return, soak, soak-short, soak-hard
        name: String,
        /// Seed of the script: the same seed gives the same script
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive upgrades, for `upgrade`
        #[arg(long, default_value_t = 8)]
        rounds: u32,
        /// Only this kind of round or fault, such as plain, newcrashes or short-reads
        #[arg(long)]
        only: Option<String>,
        /// Print the figures as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Run an experiment in simulated time; the same seed gives the same figures
    Lab {
        /// Name of the experiment: zones
        name: String,
        #[arg(long, default_value_t = 30)]
        copies: usize,
        /// Number of zones, 3 to 6
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=6))]
        zones: u8,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the figures as JSON to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write a chart (SVG) of service and load over time to this file
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Run as a worker of the upgrade supervisor, with the link to the supervisor as standard input
    #[command(hide = true)]
    Work {
        #[arg(long)]
        operators: Option<PathBuf>,
    },
}
