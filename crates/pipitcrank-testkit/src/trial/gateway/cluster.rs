//! The cluster that the gateway trial plays on: three sites joined by links that can fail.

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
/// Sites by their index; the first lacks cells of its own.
pub(super) const NAMES: [&str; 3] = ["north", "south", "west"];
pub(super) const NORTH: usize = 0;
pub(super) const SOUTH: usize = 1;
const WEST: usize = 2;
/// Cells of a site.
const CELLS: u32 = 6;
/// Time by which near replicas are preferred, beside the link's own, in seconds.
const PREFER_NEAR_S: f64 = 0.02;
/// Queries a second at the first site.
pub(super) const RATE: f64 = 80.0;
/// Pause after a fault, and before the load begins: links come up.
pub(super) const PAUSE: Duration = Duration::from_millis(500);
/// Round trip from north to south, and to west.
pub(super) const NEAR_TRIP: Duration = Duration::from_millis(10);
pub(super) const FAR_TRIP: Duration = Duration::from_millis(40);
/// Operators' file section: far sites can be upgraded.
const UPGRADE_SECTION: &str =
    "upgrade = Some { start_s = 3.0, settle_s = 0.6, silent_s = 0.5, finish_s = 8.0 }";

/// Who is reached from the first site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reach {
    /// Both far sites.
    Both,
    /// The one with the shortest round trip, whatever becomes of it, without a penalty for being far.
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
    /// Starts the process again after its end.
    pub(super) async fn restart(&mut self) -> Result<()> {
        self.process.restart(self.operators_file.clone()).await
    }
}

/// All sites and the links from the first.
pub(super) struct SiteCluster {
    /// By index, as in `NAMES`.
    pub sites: Vec<Site>,
    /// From north to the two others.
    pub links: Vec<Link>,
    pub query_log: QueryLog,
}

/// A far site as the operators' file names it.
struct Peer {
    site: usize,
    address: SocketAddr,
}

fn operators_file(site: usize, listen: SocketAddr, peers: &[Peer], prefer_near_s: f64) -> String {
    let entry =
        |peer: &Peer| format!("{{ name = \"{}\", address = \"{}\" }}", NAMES[peer.site], peer.address);
    let sites: Vec<String> = peers.iter().map(entry).collect();
    // An empty list would need its type.
    let sites = if sites.is_empty() {
        "[] : List { name : Text, address : Text }".to_string()
    } else {
        format!("[ {} ]", sites.join(", "))
    };
    format!(
        "{{ gateway = Some {{ site = \"{}\", listen = \"{listen}\", connections = 2, prefer_near_s = {prefer_near_s:?}, sites = {sites} }}, {UPGRADE_SECTION} }}",
        NAMES[site]
    )
}

impl SiteCluster {
    /// `round_trips`: of the links from north to the two others.
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
                // A site is named to those that it takes links from, too.
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

    /// Sets how the replicas of two cells behave: where they are busy, nobody near holds the shards of both.
    pub(super) fn set_cell_behavior(&self, site: usize, cells: [u32; 2], behavior: ReplicaBehavior) {
        for (n, replica) in self.sites[site].fleet.replicas.iter().enumerate() {
            if cells.contains(&(n as u32 % CELLS)) {
                replica.set_behavior(behavior);
            }
        }
    }

    /// Sets how all replicas of a site behave.
    pub(super) fn set_site_behavior(&self, site: usize, behavior: ReplicaBehavior) {
        self.sites[site].fleet.replicas.iter().for_each(|replica| replica.set_behavior(behavior));
    }
}
