//! `pipitcrank serve`: runs a co-ordinator in this process, or an upgrade supervisor with workers. The operators'
//! file enables the store, failover and the gateway.

use std::cell::RefCell;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::rc::Rc;

use anyhow::{Context, Result, anyhow};
use pipitcrank_config::{GatewayConfig, OperatorsConfig, Site, UpgradeConfig, ZonesConfig};
use pipitcrank_gateway::link_client::{LinkClient, LinkClientConfig, PeerSite};
use pipitcrank_gateway::link_server::LinkServer;
use pipitcrank_server::exchange::ReplicaTransport;
use pipitcrank_server::runtime::clock::Clock;
use pipitcrank_server::serve::{self, ServerContext, TransportFactory};
use tokio::signal::unix::{SignalKind, signal};

use crate::clocks::{micros_since_epoch, time_span};
use crate::environment;
use crate::exit_code;
use crate::failover_driver;
use crate::runtime::block_on_local;
use crate::store_driver::{OpenedStore, StoreDriver, StoreSource, save_while_serving};
use crate::upgrade_supervisor::supervise;
use crate::zone_topology::own_zone;

/// Number of low bits of an incarnation that hold the process id. The higher bits hold the time since 1970.
const PROCESS_ID_BITS: u32 = 22;

type Transport = Rc<RefCell<dyn ReplicaTransport>>;

/// Serves until a shutdown is requested. `path`: path of the operators' file.
pub(crate) fn serve(path: Option<PathBuf>, config: OperatorsConfig) -> Result<i32> {
    let clock = Clock::start();
    match config.upgrade {
        Some(upgrade) => serve_with_workers(&clock, path, config.zones, upgrade),
        None => serve_without_supervisor(clock, config),
    }
}

/// Serves in this process, without a supervisor.
fn serve_without_supervisor(clock: Clock, config: OperatorsConfig) -> Result<i32> {
    let mut opened = OpenedStore::default();
    if let Some(store) = &config.store {
        let (driver, state) = StoreDriver::open(store, &environment::node_name()?);
        opened = OpenedStore { driver: Some(driver), state };
    }
    let learned = opened.state.recovered.learned.take();
    block_on_local(async {
        // Ignores SIGUSR2, which by default would terminate the process.
        let _upgrades = signal(SignalKind::user_defined2())?;
        let transport = transport_factory(config, Some(opened));
        serve::serve(clock, None, transport, learned).await.map_err(|error| anyhow!("{error}"))
    })??;
    Ok(exit_code::SUCCESS)
}

/// Runs the upgrade supervisor, whose workers serve.
fn serve_with_workers(
    clock: &Clock,
    path: Option<PathBuf>,
    zones: Option<ZonesConfig>,
    upgrade: UpgradeConfig,
) -> Result<i32> {
    let node_config = environment::node_config()?;
    node_config.check(clock)?;
    if let Some(zones) = &zones {
        own_zone(zones, node_config.zones()?.as_ref())?;
    }
    let path = path
        .map(|path| path.canonicalize().context("can't resolve the path of the operators' file"))
        .transpose()?;
    block_on_local(supervise(environment::program()?, path, node_config.listen()?, upgrade))?
}

/// Serves as a worker. Standard input is the link to the upgrade supervisor.
pub(crate) fn work(config: OperatorsConfig) -> Result<i32> {
    let link = std::io::stdin().as_fd().try_clone_to_owned().context("can't duplicate standard input")?;
    let link = UnixStream::from(link);
    link.peer_addr().context("standard input is not a supervisor's link")?;
    let transport = transport_factory(config, None);
    block_on_local(serve::serve(Clock::start(), Some(link), transport, None))?
        .map_err(|error| anyhow!("{error}"))?;
    Ok(exit_code::SUCCESS)
}

/// Returns the factory that starts failover, the store and the gateway once the server's context is known; `None` if
/// all of them are off. `opened`: the store and the state in it; `None` while another process may have the store
/// open.
fn transport_factory(config: OperatorsConfig, opened: Option<OpenedStore>) -> Option<TransportFactory> {
    let OperatorsConfig { gateway, zones, store, .. } = config;
    if gateway.is_none() && zones.is_none() && store.is_none() {
        return None;
    }
    Some(Box::new(move |context: ServerContext| {
        let store = StoreSource { opened, config: store };
        match zones {
            Some(zones) => start_failover(&context, zones, store),
            None => start_store(&context, store),
        }
        match gateway {
            Some(gateway) => start_gateway(context, gateway),
            None => context.replicas as Transport,
        }
    }))
}

fn start_failover(context: &ServerContext, zones: ZonesConfig, store: StoreSource) {
    match failover_driver::prepare(context, zones, store) {
        Ok(driver) => drop(tokio::task::spawn_local(driver)),
        Err(error) => {
            tracing::error!("{error}");
            std::process::exit(exit_code::INVALID_CONFIG);
        }
    }
}

fn start_store(context: &ServerContext, store: StoreSource) {
    let (event_loop, revision) = (context.event_loop.clone(), context.revision.clone());
    let draining = context.draining.clone();
    tokio::task::spawn_local(save_while_serving(store, event_loop, revision, draining));
}

fn start_gateway(context: ServerContext, config: GatewayConfig) -> Transport {
    // The start time and the process id make the incarnation unique among earlier and concurrent processes.
    let incarnation = micros_since_epoch() << PROCESS_ID_BITS ^ u64::from(std::process::id());
    let names = config.sites.iter().map(|site| site.name.clone()).collect();
    let server = LinkServer::new(&context, &config.site, incarnation, names);
    tokio::task::spawn_local(server.listen(config.listen));
    let peer = |site: Site| PeerSite { name: site.name, address: site.address };
    let client = LinkClientConfig {
        own_site: config.site,
        incarnation,
        peers: config.sites.into_iter().map(peer).collect(),
        streams_per_site: config.connections,
        local_preference: time_span(config.local_preference),
    };
    Rc::new(RefCell::new(LinkClient::start(context, client)))
}
