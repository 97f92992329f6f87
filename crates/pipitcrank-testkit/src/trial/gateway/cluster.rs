//! The cluster of the gateway trial: three sites joined by links that can fail.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;

use crate::fleet::{Fleet, free_address};
use crate::link::{Link, LinkConditions};
use crate::process::Process;
use crate::query_log::QueryLog;
use crate::replica::{ReplicaBehavior, Work};

const WORK: Work = Work { mean_time: Duration::from_millis(8), concurrency: 16 };
/// Names of the sites by index.
pub(super) const SITE_NAMES: [&str; 3] = ["north", "south", "west"];
pub(super) const NORTH: usize = 0;
pub(super) const SOUTH: usize = 1;
const WEST: usize = 2;
/// Number of cells in a site.
const CELLS: u32 = 6;
/// Penalty for far replicas in addition to the link's round-trip time, in seconds.
const PREFER_NEAR_S: f64 = 0.02;
/// Load on the first site, in queries per second.
pub(super) const RATE: f64 = 80.0;
/// Pause after a fault and before the load begins, for links to connect.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Round-trip time from north to south.
pub(super) const NEAR_ROUND_TRIP: Duration = Duration::from_millis(10);
/// Round-trip time from north to west.
pub(super) const FAR_ROUND_TRIP: Duration = Duration::from_millis(40);
/// The `upgrade` section of the operators' file, needed to upgrade the far site.
const UPGRADE_SECTION: &str =
    "upgrade = Some { start_s = 3.0, settle_s = 0.6, silent_s = 0.5, finish_s = 8.0 }";

/// Far sites that the first site reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reach {
    /// Both far sites.
    Both,
    /// Only the site with the shortest initial round-trip time, even after its link has become slower. Far replicas
    /// have no penalty.
    Shortest,
    /// No far site.
    Nobody,
}

/// One site: its replicas and its process.
pub(super) struct Site {
    pub fleet: Fleet,
    pub process: Process,
    operators_file: Option<String>,
}

impl Site {
    /// Restarts the process after it has exited.
    pub(super) async fn restart(&mut self) -> Result<()> {
        self.process.restart(self.operators_file.clone()).await
    }
}

/// All sites and the links from the first site.
pub(super) struct SiteCluster {
    /// The sites, in the order of `SITE_NAMES`.
    pub sites: Vec<Site>,
    /// Links from north to the two other sites.
    pub links: Vec<Link>,
    pub query_log: QueryLog,
}

/// A far site in the operators' file.
struct Peer {
    site: usize,
    address: SocketAddr,
}

fn operators_file(site: usize, listen: SocketAddr, peers: &[Peer], prefer_near_s: f64) -> String {
    let entry =
        |peer: &Peer| format!("{{ name = \"{}\", address = \"{}\" }}", SITE_NAMES[peer.site], peer.address);
    let sites: Vec<String> = peers.iter().map(entry).collect();
    // An empty list needs a type annotation in Dhall.
    let sites = if sites.is_empty() {
        "[] : List { name : Text, address : Text }".to_string()
    } else {
        format!("[ {} ]", sites.join(", "))
    };
    format!(
        "{{ gateway = Some {{ site = \"{}\", listen = \"{listen}\", connections = 2, prefer_near_s = {prefer_near_s:?}, sites = {sites} }}, {UPGRADE_SECTION} }}",
        SITE_NAMES[site]
    )
}

impl SiteCluster {
    /// Starts the sites and links. `round_trips` are the round-trip times from north to the two other sites.
    pub(super) async fn start(
        program: &Path,
        seed: u64,
        reach: Reach,
        round_trips: [Duration; 2],
    ) -> Result<SiteCluster> {
        let query_log = QueryLog::default();
        let listens = [free_address()?, free_address()?, free_address()?];
        let mut links = Vec::new();
        for (n, round_trip) in round_trips.into_iter().enumerate() {
            links.push(
                Link::start(seed ^ n as u64, listens[n + 1], LinkConditions::with_round_trip(round_trip))
                    .await?,
            );
        }
        let back =
            Link::start(seed ^ 9, listens[NORTH], LinkConditions::with_round_trip(round_trips[0])).await?;
        let mut sites = Vec::new();
        for (n, &listen) in listens.iter().enumerate() {
            let fleet = Fleet::start_with(seed ^ (n as u64) << 8, WORK, query_log.clone()).await?;
            let south = Peer { site: SOUTH, address: links[0].address };
            let west = Peer { site: WEST, address: links[1].address };
            let (peers, prefer_near_s) = match (n, reach) {
                (NORTH, Reach::Both) => (vec![south, west], PREFER_NEAR_S),
                (NORTH, Reach::Shortest) => (vec![south], 0.0),
                (NORTH, Reach::Nobody) => (vec![], PREFER_NEAR_S),
                (SOUTH, _) => (vec![Peer { site: NORTH, address: back.address }], PREFER_NEAR_S),
                // The file of a site also names the sites that it accepts links from.
                _ => (vec![Peer { site: NORTH, address: listens[NORTH] }], PREFER_NEAR_S),
            };
            let standalone = n == NORTH && reach == Reach::Nobody;
            let operators_file = (!standalone).then(|| operators_file(n, listen, &peers, prefer_near_s));
            let node_config = fleet.node_config(seed ^ n as u64, 1024, 3000)?;
            let process = Process::start(program, node_config, operators_file.clone()).await?;
            sites.push(Site { fleet, process, operators_file });
        }
        Ok(SiteCluster { sites, links, query_log })
    }

    /// Sets the behaviour of the replicas of two cells. If both are busy, the site has no other replicas for their
    /// common shards.
    pub(super) fn set_cell_behavior(&self, site: usize, cells: [u32; 2], behavior: ReplicaBehavior) {
        for (n, replica) in self.sites[site].fleet.replicas.iter().enumerate() {
            if cells.contains(&(n as u32 % CELLS)) {
                replica.set_behavior(behavior);
            }
        }
    }

    /// Sets the behaviour of all replicas of a site.
    pub(super) fn set_site_behavior(&self, site: usize, behavior: ReplicaBehavior) {
        self.sites[site].fleet.replicas.iter().for_each(|replica| replica.set_behavior(behavior));
    }
}
