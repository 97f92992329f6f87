//! A fleet in several zones. The replicas of each zone hold all shards. The members of each zone reach each replica
//! over separate links, so that a zone can be made unreachable from all zones or from one other zone only. Each zone
//! has its own discovery.

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

/// Number of cells, each with one replica per zone; each shard is held by two cells.
pub const CELLS: u32 = 6;
/// Round trip within a zone.
const ZONE_ROUND_TRIP: Duration = Duration::from_micros(400);
/// Round trip between zones.
const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Replicas in zones, with separate links from the members of each zone.
pub struct ZonedFleet {
    /// Names of the zones.
    pub names: Vec<String>,
    regions: Vec<String>,
    /// The replicas, indexed as `[zone][cell]`.
    pub replicas: Vec<Vec<Rc<StandInReplica>>>,
    /// Links to the replicas, indexed as `[view][zone][cell]`. A view is a set of links with a discovery that lists
    /// them.
    links: Vec<Vec<Vec<Link>>>,
    /// Discovery by view.
    pub discoveries: Vec<Discovery>,
    /// Zone of each view: one view per zone, and a last one for the member with links of its own.
    views: Vec<usize>,
    /// Log that records the parts run by the replicas.
    pub query_log: QueryLog,
}

fn healthy_link(from: usize, to: usize) -> LinkConditions {
    LinkConditions::with_round_trip(if from == to { ZONE_ROUND_TRIP } else { CROSS_ZONE_ROUND_TRIP })
}

impl ZonedFleet {
    /// Starts the fleet. `names` holds zone and region; discovery lists only the replicas of the member's region. One
    /// member of zone `isolated_view` has links of its own.
    ///
    /// # Errors
    ///
    /// If a stand-in cannot listen.
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

    /// View of the member with links of its own.
    pub fn isolated_view(&self) -> usize {
        self.views.len() - 1
    }

    /// Stalls or restores all links of the member with links of its own.
    pub fn set_member_isolated(&self, isolated: bool) {
        let view = self.isolated_view();
        for (zone, links) in self.links[view].iter().enumerate() {
            let link_conditions = healthy_link(self.views[view], zone);
            links.iter().for_each(|l| {
                l.set_conditions(LinkConditions {
                    stalled_forward: isolated,
                    stalled_back: isolated,
                    ..link_conditions
                })
            });
        }
    }

    /// Node configuration of a member with the view. `platform` is whether the platform reports the zones of the
    /// replicas and of the member.
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

    /// Stalls or restores the links from the members of one zone to the replicas of another.
    fn set_paths(&self, from: usize, to: usize, stalled: bool) {
        for (view, _) in self.views.iter().enumerate().filter(|(_, zone)| **zone == from) {
            for link in &self.links[view][to] {
                link.set_conditions(LinkConditions {
                    stalled_forward: stalled,
                    stalled_back: stalled,
                    ..healthy_link(from, to)
                });
            }
        }
    }

    /// Stalls or restores all links to the first `replicas` replicas of a zone, without a reset or a close.
    pub fn set_unreachable(&self, zone: usize, replicas: usize, unreachable: bool) {
        for (view, &from) in self.views.iter().enumerate() {
            for link in &self.links[view][zone][..replicas] {
                link.set_conditions(LinkConditions {
                    stalled_forward: unreachable,
                    stalled_back: unreachable,
                    ..healthy_link(from, zone)
                });
            }
        }
    }

    /// Stalls or restores the links between two zones, in both directions.
    pub fn set_partitioned(&self, a: usize, b: usize, partitioned: bool) {
        self.set_paths(a, b, partitioned);
        self.set_paths(b, a, partitioned);
    }

    /// Sets the behaviour of all replicas of a zone.
    pub fn set_zone_behavior(&self, zone: usize, behavior: ReplicaBehavior) {
        self.replicas[zone].iter().for_each(|l| l.set_behavior(behavior));
    }

    /// Simulates a restart of all replicas of a zone: their links close, discovery publishes the new start time, and
    /// the replicas record the parts that arrive during slow start.
    pub fn begin_slow_start(&self, zone: usize, warm_up: Duration) {
        // A restarted machine has no open connections. Without the close, parts sent before the restart would arrive
        // in slow start.
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

    /// Peak arrivals at any single replica, as in `StandInReplica::peak_arrivals`.
    pub fn peak_arrivals(&self, window: Duration, from: Instant, to: Instant) -> PeakArrivals {
        let each = self.replicas.iter().flatten().map(|replica| replica.peak_arrivals(window, from, to));
        each.fold(PeakArrivals::default(), |peak, one| PeakArrivals {
            parts: peak.parts.max(one.parts),
            connections: peak.connections.max(one.connections),
        })
    }

    /// Excess of parts over the slow-start limit, summed over all replicas.
    pub fn parts_over_slow_start(&self, limit: SlowStartLimit) -> u64 {
        self.replicas.iter().flatten().map(|replica| replica.parts_over_slow_start(limit)).sum()
    }
}

fn zoned_row(zone: &str, cell: u32, address: SocketAddr, state: &str, started_ms: i64) -> Value {
    let mut row = row(&format!("leaf-{zone}-{cell}"), address, cell, state, started_ms);
    row["az"] = json!(zone);
    row
}
