//! Section `zones`: failover between zones and regions, the other co-ordinators and the voters.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::checks::{check_name, duration, loopback_address};
use crate::error::ConfigError;

/// Most zones, as the core has it.
const MAX_ZONES: usize = 16;
/// Most voters, as the agreement has it.
const MAX_VOTERS: usize = 7;
/// Most seed addresses: some times the largest fleets, and a list of them is still a small part of the longest file.
pub(crate) const MAX_SEEDS: usize = 4096;
/// Shortest secret, in bytes: a shorter one can be guessed.
const MIN_SECRET_LENGTH: usize = 16;
/// Largest capacity of a replica, in parts a second.
const MAX_REPLICA_CAPACITY: f64 = 1e6;

/// Failover between zones and regions, decided by the voters together.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonesConfig {
    /// This co-ordinator's own zone, where the file names it.
    pub own_zone: Option<String>,
    /// All zones, the same at all co-ordinators.
    pub zones: Vec<ZoneConfig>,
    /// Where datagrams of other co-ordinators are received.
    pub listen: SocketAddr,
    /// The address that other co-ordinators know this one by.
    pub advertised: SocketAddr,
    /// Co-ordinators that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The voters, the same at all co-ordinators and in the same order.
    pub voters: Vec<Voter>,
    /// Key that datagrams are sealed with.
    pub secret: String,
    /// How long evidence against a zone lasts before the zone is taken out.
    pub suspect_time: Duration,
    /// How long a zone that was out is healthy before it comes back; doubled with each fault.
    pub hold_down: Duration,
    /// Longest hold-down.
    pub hold_down_max: Duration,
    /// Time without a fault after which the hold-down is at its shortest again.
    pub hold_down_reset: Duration,
    /// How long a decision is valid without a message of the voters.
    pub decision_lease: Duration,
    /// Parts a second that a warm replica can answer; 0 where that is not known.
    pub replica_capacity: f64,
    /// Decide and log, but route queries as without zones.
    pub dry_run: bool,
}

/// A zone and its region.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneConfig {
    /// The zone's name.
    pub name: String,
    /// The region it lies in.
    pub region: String,
}

/// A co-ordinator that votes on decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Voter {
    /// The address that other co-ordinators know it by.
    pub address: SocketAddr,
    /// Its zone, as an index into the list of zones.
    pub zone: usize,
}

impl ZonesConfig {
    /// The index of the zone of that name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        index_of(&self.zones, name)
    }

    /// The names of all zones, in order.
    pub fn zone_names(&self) -> Vec<&str> {
        self.zones.iter().map(|zone| zone.name.as_str()).collect()
    }

    /// The voter slot of an address; none where it does not vote.
    pub fn voter_slot(&self, address: SocketAddr) -> Option<usize> {
        self.voters.iter().position(|voter| voter.address == address)
    }
}

fn index_of(zones: &[ZoneConfig], name: &str) -> Option<usize> {
    zones.iter().position(|zone| zone.name == name)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ZonesForm {
    zone: String,
    zones: Vec<ZoneForm>,
    listen: String,
    known_as: String,
    peers: Vec<String>,
    voters: Vec<VoterForm>,
    secret: String,
    suspect_s: f64,
    hold_down_s: f64,
    hold_down_most_s: f64,
    calm_s: f64,
    hold_s: f64,
    #[serde(rename = "leaf_bears")]
    replica_capacity: f64,
    dry_run: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneForm {
    name: String,
    region: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterForm {
    address: String,
    zone: String,
}

impl ZonesForm {
    pub(crate) fn checked(self) -> Result<ZonesConfig, ConfigError> {
        let zones = checked_zones(self.zones)?;
        if !self.zone.is_empty() {
            known_zone("/zones/zone", &zones, &self.zone)?;
        }
        let listen = loopback_address("/zones/listen", &self.listen)?;
        let advertised = if self.known_as.is_empty() {
            listen
        } else {
            loopback_address("/zones/known_as", &self.known_as)?
        };
        let voters = checked_voters(&self.voters, &zones)?;
        if self.peers.len() > MAX_SEEDS {
            let reason = format!("are {}, over {MAX_SEEDS}", self.peers.len());
            return Err(ConfigError::new("/zones/peers", reason));
        }
        check_secret(&self.secret)?;
        check_replica_capacity(self.replica_capacity)?;
        let hold_down = duration("/zones/hold_down_s", self.hold_down_s, 0.5, 3600.0)?;
        Ok(ZonesConfig {
            seeds: checked_seeds(&self.peers)?,
            suspect_time: duration("/zones/suspect_s", self.suspect_s, 0.1, 60.0)?,
            hold_down,
            hold_down_max: duration(
                "/zones/hold_down_most_s",
                self.hold_down_most_s,
                hold_down.as_secs_f64(),
                86_400.0,
            )?,
            hold_down_reset: duration("/zones/calm_s", self.calm_s, 1.0, 86_400.0)?,
            decision_lease: duration("/zones/hold_s", self.hold_s, 3.0, 3600.0)?,
            own_zone: (!self.zone.is_empty()).then_some(self.zone),
            zones,
            listen,
            advertised,
            voters,
            secret: self.secret,
            replica_capacity: self.replica_capacity,
            dry_run: self.dry_run,
        })
    }
}

fn checked_zones(forms: Vec<ZoneForm>) -> Result<Vec<ZoneConfig>, ConfigError> {
    let mut zones: Vec<ZoneConfig> = Vec::new();
    for (n, ZoneForm { name, region }) in forms.into_iter().enumerate() {
        let key = format!("/zones/zones/{n}");
        check_name(&format!("{key}/name"), &name)?;
        check_name(&format!("{key}/region"), &region)?;
        if index_of(&zones, &name).is_some() {
            return Err(ConfigError::new(format!("{key}/name"), format!("'{name}' stands there twice")));
        }
        zones.push(ZoneConfig { name, region });
    }
    if !(1..=MAX_ZONES).contains(&zones.len()) {
        let reason = format!("are {}, not 1 to {MAX_ZONES}", zones.len());
        return Err(ConfigError::new("/zones/zones", reason));
    }
    Ok(zones)
}

/// The index of a zone that the list of zones has to contain.
fn known_zone(key: &str, zones: &[ZoneConfig], name: &str) -> Result<usize, ConfigError> {
    index_of(zones, name).ok_or_else(|| {
        let names: Vec<&str> = zones.iter().map(|zone| zone.name.as_str()).collect();
        ConfigError::new(key, format!("is '{name}', none of /zones/zones: {}", names.join(", ")))
    })
}

fn checked_voters(forms: &[VoterForm], zones: &[ZoneConfig]) -> Result<Vec<Voter>, ConfigError> {
    let mut voters: Vec<Voter> = Vec::new();
    for (n, form) in forms.iter().enumerate() {
        let key = format!("/zones/voters/{n}");
        let address = loopback_address(&format!("{key}/address"), &form.address)?;
        if voters.iter().any(|voter| voter.address == address) {
            let reason = format!("'{address}' stands there twice");
            return Err(ConfigError::new(format!("{key}/address"), reason));
        }
        voters.push(Voter { address, zone: known_zone(&format!("{key}/zone"), zones, &form.zone)? });
    }
    if voters.len().is_multiple_of(2) || voters.len() > MAX_VOTERS {
        let count = voters.len();
        let reason = format!("are {count}; accepted: 1, 3, 5 or {MAX_VOTERS}, so that one half is larger");
        return Err(ConfigError::new("/zones/voters", reason));
    }
    check_no_zone_has_majority(&voters, zones)?;
    Ok(voters)
}

/// With more than two zones no single zone needs to hold the majority, so none may: its loss would stop all decisions.
fn check_no_zone_has_majority(voters: &[Voter], zones: &[ZoneConfig]) -> Result<(), ConfigError> {
    if zones.len() <= 2 || voters.len() <= 1 {
        return Ok(());
    }
    for (index, zone) in zones.iter().enumerate() {
        let here = voters.iter().filter(|voter| voter.zone == index).count();
        if here * 2 > voters.len() {
            let (all, name) = (voters.len(), &zone.name);
            let reason = format!("has {here} of {all} in zone '{name}': its loss would end all deciding");
            return Err(ConfigError::new("/zones/voters", reason));
        }
    }
    Ok(())
}

fn check_secret(secret: &str) -> Result<(), ConfigError> {
    if secret.len() < MIN_SECRET_LENGTH {
        let reason = format!("has {} characters, under {MIN_SECRET_LENGTH}", secret.len());
        return Err(ConfigError::new("/zones/secret", reason));
    }
    Ok(())
}

fn check_replica_capacity(capacity: f64) -> Result<(), ConfigError> {
    if !(0.0..=MAX_REPLICA_CAPACITY).contains(&capacity) {
        let reason = format!("is {capacity}, not from 0 to {MAX_REPLICA_CAPACITY} parts a second");
        return Err(ConfigError::new("/zones/leaf_bears", reason));
    }
    Ok(())
}

fn checked_seeds(addresses: &[String]) -> Result<Vec<SocketAddr>, ConfigError> {
    let checked = |(n, address): (usize, &String)| loopback_address(&format!("/zones/peers/{n}"), address);
    addresses.iter().enumerate().map(checked).collect()
}
