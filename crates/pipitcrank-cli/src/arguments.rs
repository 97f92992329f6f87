//! Arguments of the program. Names of subcommands and options, and what is said of them, are its interface.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// A scatter-gather co-ordinator: it reads many shards for one query and gives one answer.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 not done, or a promise not kept; 2 a faulty file, variable or \
argument, named by its key; 3 a link between processes broke."
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Serve, told by the file that NODE_CONFIG names, until SIGTERM
    ///
    /// NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before that file. SIGTERM ends it in order, SIGHUP has its files
    /// read again, SIGUSR2 starts an upgrade where the operators' file has that on.
    Serve {
        /// The operators' file (Dhall); without it all that it could turn on is off
        #[arg(long)]
        operators: Option<PathBuf>,
    },
    /// Check the node configuration (NODE_CONFIG) and the operators' file, and say what is wrong by its key
    Check {
        #[arg(long)]
        operators: Option<PathBuf>,
        /// Leave the node configuration: only the operators' file is looked at
        #[arg(long = "no-charter")]
        no_node_config: bool,
    },
    /// Ask a running co-ordinator to start the program anew and hand all over to it
    Upgrade {
        /// The process that was started with `serve`
        #[arg(long)]
        pid: i32,
        /// Where it serves: its counters say how the upgrade ended. Without this nothing is waited for
        #[arg(long)]
        address: Option<SocketAddr>,
        /// Seconds to wait for that
        #[arg(long, default_value_t = 120.0)]
        wait: f64,
    },
    /// Show what is decided of zones, or have the voters decide it: drain, return, freeze, thaw, begin
    Zones {
        /// show, drain, return, freeze or thaw; begin: where no voter leads and some are dead for good, have the others
        /// begin anew without them
        #[arg(value_parser = ["show", "drain", "return", "freeze", "thaw", "begin"])]
        what: String,
        /// The zone's name, for drain and return; for begin the addresses of the dead voters, with commas between, or
        /// nothing to have all take part again
        zone: Option<String>,
        /// The operators' file of a copy: its zones, voters and secret
        #[arg(long)]
        operators: PathBuf,
        /// One copy to be asked, by the address that others know it by; without it `show` asks the file's own copy
        #[arg(long)]
        at: Option<SocketAddr>,
        /// Seconds to wait for an answer
        #[arg(long, default_value_t = 5.0)]
        wait: f64,
    },
    /// Say in which waves the copies can be restarted: voters one by one and last, of each zone a share at once
    RestartPlan {
        /// The operators' file of a copy
        #[arg(long)]
        operators: PathBuf,
        /// Of all copies, and of each zone's, at most this share is away at once
        #[arg(long, default_value_t = 0.25)]
        share: f64,
        /// The copy to be asked, by the address that others know it by; without it the file's own
        #[arg(long)]
        at: Option<SocketAddr>,
        /// Seconds to wait for an answer
        #[arg(long, default_value_t = 5.0)]
        wait: f64,
    },
    /// Show it at work on this machine: stand-in replicas, some hundred queries, a replica killed half way
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a named scenario with faults on loopback; exits with 0 only if its promise held
    Trial {
        /// Its name: upgrade, upgrade-overloaded, upgrade-known, gateway, gateway-table, zones, return, soak, soak-short, soak-hard
        name: String,
        /// The same seed plays the same script
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Upgrades in a row, for `upgrade`
        #[arg(long, default_value_t = 8)]
        rounds: u32,
        /// One kind of round or trouble alone, such as plain, newcrashes or short-reads
        #[arg(long)]
        only: Option<String>,
        /// Figures as one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Play an experiment in simulated time; the same seed gives the same figures
    Lab {
        /// Its name: zones
        name: String,
        #[arg(long, default_value_t = 30)]
        copies: usize,
        /// Zones, 3 to 6
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=6))]
        zones: u8,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Figures as JSON to that file
        #[arg(long)]
        json: Option<PathBuf>,
        /// Service and load over time as a picture (SVG)
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// A worker of the upgrade supervisor, whose link is its standard input
    #[command(hide = true)]
    Work {
        #[arg(long)]
        operators: Option<PathBuf>,
    },
}
