//! `pipitcrank_core`: a scatter-gather co-ordinator, and what is run beside it.

mod asking;
mod disk;
mod keeper;
mod logs;
mod peers;

use std::cell::RefCell;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use clap::{Parser, Subcommand};
use disk::{Disk, Past};
use pipitcrank_config::{GatewayConfig, OperatorsConfig};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_gateway::link_client::{LinkClient, LinkClientConfig, PeerSite};
use pipitcrank_gateway::link_server::LinkServer;
use pipitcrank_server::exchange::ReplicaTransport;
use pipitcrank_server::node_config::NodeConfig;
use pipitcrank_server::runtime::clock::Clock;
use pipitcrank_server::serve::{self, ServerContext, TransportFactory};
use pipitcrank_simulation::plot::{self, Chart};
use pipitcrank_simulation::zones::{ZonesExperiment, run_experiment};
use pipitcrank_testkit::trial::{self, TrialOptions};

/// A scatter-gather co-ordinator: it reads many shards for one query and gives one answer.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 not done, or a promise not kept; 2 a faulty file, variable or \
argument, named by its key; 3 a link between processes broke."
)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
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
        address: Option<std::net::SocketAddr>,
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
        at: Option<std::net::SocketAddr>,
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
        at: Option<std::net::SocketAddr>,
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
    /// A worker under a keeper, which is its standard input
    #[command(hide = true)]
    Work {
        #[arg(long)]
        operators: Option<PathBuf>,
    },
}

fn main() {
    let Args { what } = Args::parse();
    let code = match what {
        What::Serve { operators } => logged(operators, serve_or_keep),
        What::Work { operators } => logged(operators, |_, operators| work(operators)),
        What::Check { operators, no_node_config } => check(operators, no_node_config),
        What::Upgrade { pid, address, wait } => {
            said(asking::upgrade(pid, address, Duration::from_secs_f64(wait)))
        }
        What::Zones { what, zone, operators, at, wait } => asked_of(&operators, |zones| {
            peers::command(zones, &what, zone.as_deref(), at, Duration::from_secs_f64(wait))
        }),
        What::RestartPlan { operators, share, at, wait } => {
            asked_of(&operators, |zones| peers::restart_plan(zones, share, at, Duration::from_secs_f64(wait)))
        }
        What::Lab { name, copies, zones, seed, json, plot } => {
            said(lab(&name, copies, usize::from(zones), seed, json.as_deref(), plot.as_deref()))
        }
        What::Demo { seed } => said(keeper::program().and_then(|p| pipitcrank_testkit::demo::play(&p, seed))),
        What::Trial { name, seed, rounds, only, json } => {
            let terms = TrialOptions { seed, rounds, only: only.as_deref(), json };
            said(keeper::program().and_then(|p| trial::play(&p, &name, terms)))
        }
    };
    // Nothing is waited for: all that was taken has been answered.
    std::process::exit(code);
}

/// What an operator asks of the copies that a file joins.
fn asked_of(
    path: &std::path::Path,
    ask: impl FnOnce(Option<pipitcrank_config::ZonesConfig>) -> Result<i32>,
) -> i32 {
    match OperatorsConfig::read(path) {
        Ok(operators) => said(ask(operators.zones)),
        Err(wrong) => {
            eprintln!("ERROR {wrong}");
            2
        }
    }
}

/// A wrong ending in words, for a person.
fn said(ended: Result<i32>) -> i32 {
    ended.unwrap_or_else(|wrong| {
        eprintln!("ERROR {wrong:#}");
        1
    })
}

fn logged(path: Option<PathBuf>, run: impl FnOnce(Option<PathBuf>, OperatorsConfig) -> Result<i32>) -> i32 {
    let read = path.as_deref().map(OperatorsConfig::read).transpose();
    let logs = logs::start(&read.as_ref().ok().cloned().flatten().unwrap_or_default().logs);
    let ended = read.map_err(Into::into).and_then(|operators| run(path, operators.unwrap_or_default()));
    let code = ended.unwrap_or_else(|wrong| {
        tracing::error!("{wrong:#}");
        2
    });
    logs.finish();
    code
}

fn on_one_thread<T>(run: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, run))
}

fn serve_or_keep(path: Option<PathBuf>, operators: OperatorsConfig) -> Result<i32> {
    let clock = Clock::start();
    let Some(upgrade) = operators.upgrade else {
        let stored = operators
            .store
            .as_ref()
            .map(|told| Ok::<_, anyhow::Error>(Disk::open(told, &owner()?)))
            .transpose()?;
        let (disk, mut past) = stored.map_or((None, Past::default()), |(disk, past)| (Some(disk), past));
        let known = past.recalled.learned.take().map(|learned| (learned.age, learned.snapshot));
        return on_one_thread(async {
            // Heeded without effect: left alone it would end the process.
            let _upgrades = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::user_defined2())?;
            let beside = beside(operators, Some((disk, past)));
            serve::serve(clock, None, beside, known).await.map_err(|e| anyhow!("{e}"))
        })?
        .map(|()| 0);
    };
    let (_, text) = serve::node_config_text().map_err(|e| anyhow!(e))?;
    let node_config = NodeConfig::parse(&text, |name| std::env::var(name).ok())?;
    node_config.check(&clock)?;
    if let Some(zones) = &operators.zones {
        peers::own_zone(zones, node_config.zones()?.as_ref())?;
    }
    let path = path.map(|p| p.canonicalize().context("the operators' file")).transpose()?;
    on_one_thread(keeper::keep(keeper::program()?, path, node_config.listen()?, upgrade))?
}

/// Whose store it is: the co-ordinator's name.
fn owner() -> Result<String> {
    let (_, text) = serve::node_config_text().map_err(|e| anyhow!(e))?;
    Ok(NodeConfig::parse(&text, |name| std::env::var(name).ok())?.name()?)
}

/// Other copies, other sites beside the near replicas, and the store, where the operators' file has them. `opened`: the store
/// and what a process before this one left in it; none while such a process may still have it.
fn beside(operators: OperatorsConfig, opened: Option<(Option<Disk>, Past)>) -> Option<TransportFactory> {
    let OperatorsConfig { gateway, zones, store, .. } = operators;
    if gateway.is_none() && zones.is_none() && store.is_none() {
        return None;
    }
    Some(Box::new(move |ground: ServerContext| {
        let (event_loop, rev, leaving) =
            (ground.event_loop.clone(), ground.revision.clone(), ground.draining.clone());
        let opens = async move |gone: tokio::sync::watch::Receiver<bool>| match (opened, store) {
            (Some(opened), _) => opened,
            (None, Some(told)) => {
                let owner = owner().unwrap_or_default();
                let (disk, past) = Disk::open_when_free(&told, &owner, move || *gone.borrow()).await;
                (Some(disk), past)
            }
            (None, None) => (None, Past::default()),
        };
        if let Some(zones) = zones {
            let stands = peers::stand(&ground, zones, opens).unwrap_or_else(|wrong| {
                tracing::error!("{wrong}");
                std::process::exit(2);
            });
            tokio::task::spawn_local(stands);
        } else {
            tokio::task::spawn_local(async move {
                if let (Some(disk), _) = opens(leaving.clone()).await {
                    disk::write_alone(disk, event_loop, rev, leaving).await;
                }
            });
        }
        let Some(GatewayConfig { site, listen, sites, connections, local_preference }) = gateway else {
            return ground.replicas as Rc<RefCell<dyn ReplicaTransport>>;
        };
        // Told apart from any process before or beside this one: by its number and its start.
        let incarnation = peers::since_1970_us() << 22 ^ u64::from(std::process::id());
        let names = sites.iter().map(|site| site.name.clone()).collect();
        tokio::task::spawn_local(LinkServer::new(&ground, &site, incarnation, names).listen(listen));
        let config = LinkClientConfig {
            own_site: site,
            incarnation,
            peers: sites
                .into_iter()
                .map(|site| PeerSite { name: site.name, address: site.address })
                .collect(),
            streams_per_site: connections,
            local_preference: TimeSpan::from_secs_f64(local_preference.as_secs_f64()),
        };
        let client = LinkClient::start(ground, config);
        Rc::new(RefCell::new(client)) as Rc<RefCell<dyn ReplicaTransport>>
    }))
}

fn work(operators: OperatorsConfig) -> Result<i32> {
    let keeper = std::io::stdin().as_fd().try_clone_to_owned().context("standard input")?;
    let keeper = UnixStream::from(keeper);
    keeper.peer_addr().context("standard input is not a keeper's link")?;
    on_one_thread(serve::serve(Clock::start(), Some(keeper), beside(operators, None), None))?
        .map_err(|e| anyhow!("{e}"))?;
    Ok(0)
}

/// Most copies that an experiment is played with: more take hours.
const MOST_COPIES: usize = 10_000;

fn lab(
    name: &str,
    copies: usize,
    zones: usize,
    seed: u64,
    json: Option<&std::path::Path>,
    plot: Option<&std::path::Path>,
) -> Result<i32> {
    anyhow::ensure!(name == "zones", "no experiment is named '{name}'; there is: zones");
    anyhow::ensure!((zones..=MOST_COPIES).contains(&copies), "{copies} copies, not {zones} to {MOST_COPIES}");
    let ZonesExperiment { report, service, load } = run_experiment(copies, zones, seed);
    let text = serde_json::to_string_pretty(&report)?;
    println!("{text}");
    if let Some(path) = json {
        std::fs::write(path, &text).with_context(|| path.display().to_string())?;
    }
    if let Some(path) = plot {
        let service = Chart { title: "share of what was asked that was answered in time", series: &service };
        let load =
            Chart { title: "load of each zone against what it bears, by the common decision", series: &load };
        plot::draw(path, service, load)?;
    }
    Ok(0)
}

/// All faults that there are, one a line: the node configuration's first, then the operators' file's.
fn check(operators: Option<PathBuf>, no_node_config: bool) -> i32 {
    let mut code = 0;
    let mut look = |what: &str, faults: Vec<String>| {
        if faults.is_empty() {
            println!("{what} is good");
        }
        for fault in faults {
            eprintln!("ERROR {fault}");
            code = 2;
        }
    };
    if !no_node_config {
        let read = serve::node_config_text().and_then(|(_, text)| {
            NodeConfig::parse(&text, |name| std::env::var(name).ok()).map_err(|e| e.to_string())
        });
        let faults = read.map(|c| c.faults(&Clock::start()).iter().map(ToString::to_string).collect());
        look("the charter", faults.unwrap_or_else(|wrong| vec![wrong]));
    }
    if let Some(path) = operators {
        let read = OperatorsConfig::read(&path);
        let mut faults: Vec<String> = read.as_ref().err().map(ToString::to_string).into_iter().collect();
        // What both files say of zones has to agree; without the node configuration only the file itself is looked at.
        if let (Ok(OperatorsConfig { zones: Some(zones), .. }), false) = (&read, no_node_config)
            && let Ok((_, text)) = serve::node_config_text()
            && let Ok(node_config) = NodeConfig::parse(&text, |name| std::env::var(name).ok())
            && let Ok(platform) = node_config.zones()
        {
            faults.extend(peers::own_zone(zones, platform.as_ref()).err().map(|wrong| wrong.to_string()));
        }
        look(&path.display().to_string(), faults);
    }
    code
}
