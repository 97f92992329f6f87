//! A fleet in zones: each zone's replicas hold all shards, and members of each zone reach each replica over a link of
//! their own, so that a zone can be unreachable for all, or the path between two zones alone. Each zone has a discovery of
//! its own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use serde_json::{Value, json};

use crate::discovery::{Discovery, row};
use crate::fleet::{SHARDS, node_config_of};
use crate::link::{Link, LinkConditions};
use crate::query_log::QueryLog;
use crate::replica::{PeakArrivals, ReplicaBehavior, SlowStartLimit, StandInReplica, Work};

/// Cells, each with one replica a zone; a shard is held by two cells.
pub const CELLS: u32 = 6;
/// One round trip within a zone, and across.
const NEAR: Duration = Duration::from_micros(400);
const ACROSS: Duration = Duration::from_millis(2);

/// Replicas in zones, with links of their own from each zone's members.
pub struct ZonedFleet {
    /// Names of the zones.
    pub names: Vec<String>,
    regions: Vec<String>,
    /// `[zone][cell]`.
    pub replicas: Vec<Vec<Rc<StandInReplica>>>,
    /// `[view][zone][cell]`.
    links: Vec<Vec<Vec<Link>>>,
    /// Discovery of each view.
    pub discoveries: Vec<Discovery>,
    /// The zone of each view: one a zone, and one more for the member that has links of its own.
    views: Vec<usize>,
    /// Where the parts that replicas run are recorded.
    pub query_log: QueryLog,
}

fn healthy_link(from: usize, to: usize) -> LinkConditions {
    LinkConditions::with_round_trip(if from == to { NEAR } else { ACROSS })
}

impl ZonedFleet {
    /// Starts the fleet: zones with the region of each, whose members know the replicas of their own region alone. One
    /// member of zone `isolated_view` has links of its own.
    ///
    /// # Errors
    ///
    /// That a stand-in can't listen.
    pub async fn start(
        seed: u64,
        names: &[(&str, &str)],
        isolated_view: usize,
        work: Work,
        query_log: QueryLog,
    ) -> Result<ZonedFleet> {
        let zones = names.len();
        let mut replicas = Vec::new();
        for zone in 0..zones {
            let mut of_zone = Vec::new();
            for cell in 0..CELLS {
                let seed = seed ^ (zone as u64) << 40 ^ u64::from(cell) << 32;
                of_zone.push(Rc::new(StandInReplica::start(seed, work, query_log.clone()).await?));
            }
            replicas.push(of_zone);
        }
        let mut links = Vec::new();
        let mut discoveries = Vec::new();
        let views: Vec<usize> = (0..zones).chain([isolated_view]).collect();
        for (view, &from) in views.iter().enumerate() {
            let mut to_zones = Vec::new();
            let mut rows = Vec::new();
            for zone in 0..zones {
                let mut to_replicas = Vec::new();
                for cell in 0..CELLS {
                    let replica = &replicas[zone][cell as usize];
                    let link = Link::start(
                        seed ^ (view * 64 + zone) as u64,
                        replica.address,
                        healthy_link(from, zone),
                    )
                    .await?;
                    if names[zone].1 == names[from].1 {
                        rows.push(zoned_row(names[zone].0, cell, link.address, "active", 0));
                    }
                    to_replicas.push(link);
                }
                to_zones.push(to_replicas);
            }
            links.push(to_zones);
            discoveries.push(Discovery::start(rows).await?);
        }
        let regions = names.iter().map(|n| n.1.to_string()).collect();
        let names = names.iter().map(|n| n.0.to_string()).collect();
        Ok(ZonedFleet { names, regions, replicas, links, discoveries, views, query_log })
    }

    /// The view of the member that has links of its own.
    pub fn isolated_view(&self) -> usize {
        self.views.len() - 1
    }

    /// Whether the member that has links of its own reaches no replica.
    pub fn set_member_isolated(&self, silent: bool) {
        let view = self.isolated_view();
        for (zone, links) in self.links[view].iter().enumerate() {
            let link_conditions = healthy_link(self.views[view], zone);
            links.iter().for_each(|l| {
                l.set_conditions(LinkConditions {
                    stalled_forward: silent,
                    stalled_back: silent,
                    ..link_conditions
                })
            });
        }
    }

    /// Node configuration of a member with that view. `platform`: whether the platform states the zones of replicas and
    /// member.
    pub fn node_config(&self, view: usize, seed: u64, platform: bool) -> Result<Value> {
        let (zone, discovery) = (self.views[view], &self.discoveries[view]);
        let mut node_config =
            node_config_of(discovery.address, discovery.initial_list(), CELLS, SHARDS, seed, 1024, 3000)?;
        if platform {
            node_config["settings"]["zone"] = json!(self.names[zone]);
            node_config["settings"]["zones"] = json!(self.names);
        }
        node_config["settings"]["classes"][1]["worth"] = json!(3.0);
        Ok(node_config)
    }

    /// Sets the links from one zone's members to another zone's replicas.
    fn set_paths(&self, from: usize, to: usize, silent: bool) {
        for (view, _) in self.views.iter().enumerate().filter(|(_, zone)| **zone == from) {
            for link in &self.links[view][to] {
                link.set_conditions(LinkConditions {
                    stalled_forward: silent,
                    stalled_back: silent,
                    ..healthy_link(from, to)
                });
            }
        }
    }

    /// Whether the first replicas of a zone are unreachable, without a reset or a close.
    pub fn set_unreachable(&self, zone: usize, replicas: usize, silent: bool) {
        for (view, &from) in self.views.iter().enumerate() {
            for link in &self.links[view][zone][..replicas] {
                link.set_conditions(LinkConditions {
                    stalled_forward: silent,
                    stalled_back: silent,
                    ..healthy_link(from, zone)
                });
            }
        }
    }

    /// Whether members of either zone reach no replica of the other.
    pub fn set_partitioned(&self, a: usize, b: usize, silent: bool) {
        self.set_paths(a, b, silent);
        self.set_paths(b, a, silent);
    }

    /// Sets how all replicas of a zone behave.
    pub fn set_zone_behavior(&self, zone: usize, behavior: ReplicaBehavior) {
        self.replicas[zone].iter().for_each(|l| l.set_behavior(behavior));
    }

    /// The zone's replicas have just started, and discovery announces it; they count what arrives in slow start.
    pub fn begin_slow_start(&self, zone: usize, warm_up: Duration) {
        // A machine that starts knows of no connection: guards against what was written to the one before it.
        self.links.iter().flat_map(|to| &to[zone]).for_each(Link::close_connections);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64;
        for (view, discovery) in self.discoveries.iter().enumerate() {
            if self.regions[self.views[view]] != self.regions[zone] {
                continue;
            }
            for cell in 0..CELLS {
                let address = self.links[view][zone][cell as usize].address;
                discovery.update_row(zoned_row(&self.names[zone], cell, address, "active", now));
            }
        }
        self.replicas[zone].iter().for_each(|l| l.begin_slow_start(warm_up));
    }

    /// Most parts, and most new connections, that arrived at any one replica in a stretch between two points in time.
    pub fn peak_arrivals(&self, stretch: Duration, from: Instant, to: Instant) -> PeakArrivals {
        let each = self.replicas.iter().flatten().map(|replica| replica.peak_arrivals(stretch, from, to));
        each.fold(PeakArrivals::default(), |most, one| PeakArrivals {
            parts: most.parts.max(one.parts),
            connections: most.connections.max(one.connections),
        })
    }

    /// Parts that arrived at a replica in slow start beyond what it may get in any window, over all replicas.
    pub fn parts_over_slow_start(&self, limit: SlowStartLimit) -> u64 {
        self.replicas.iter().flatten().map(|replica| replica.parts_over_slow_start(limit)).sum()
    }
}

fn zoned_row(zone: &str, cell: u32, address: SocketAddr, state: &str, started_ms: i64) -> Value {
    let mut row = row(&format!("leaf-{zone}-{cell}"), address, cell, state, started_ms);
    row["az"] = json!(zone);
    row
}
