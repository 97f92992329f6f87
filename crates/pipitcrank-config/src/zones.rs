//! Section `zones`: failover between zones and regions, with the other co-ordinators and the voters.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::checks::{check_name, duration, loopback_address};
use crate::error::ConfigError;

/// Largest number of zones. The core has the same limit.
const MAX_ZONES: usize = 16;
/// Largest number of voters. The consensus protocol has the same limit.
const MAX_VOTERS: usize = 7;
/// Largest number of seed addresses. It exceeds the largest fleets several times, and a list of that length still
/// takes only a small part of the largest accepted file.
pub(crate) const MAX_SEEDS: usize = 4096;
/// Shortest secret, in bytes. A shorter one can be guessed.
const MIN_SECRET_LENGTH: usize = 16;
/// Largest capacity of a replica, in parts per second.
const MAX_REPLICA_CAPACITY: f64 = 1e6;

/// Configuration of failover between zones and regions, which the voters decide by majority.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonesConfig {
    /// This co-ordinator's own zone, if the file names it.
    pub own_zone: Option<String>,
    /// All zones; the list must be the same at all co-ordinators.
    pub zones: Vec<ZoneConfig>,
    /// Local address for datagrams from other co-ordinators.
    pub listen: SocketAddr,
    /// Address to which other co-ordinators send datagrams for this one.
    pub advertised: SocketAddr,
    /// Addresses of the co-ordinators that are contacted first to join the members.
    pub seeds: Vec<SocketAddr>,
    /// The voters; the list and its order must be the same at all co-ordinators.
    pub voters: Vec<Voter>,
    /// Secret from which the key that seals the datagrams is derived.
    pub secret: String,
    /// Time for which evidence against a zone must persist before the zone is closed.
    pub suspect_time: Duration,
    /// Time for which a closed zone must be healthy before it returns. It doubles with each further fault.
    pub hold_down: Duration,
    /// Upper bound of the hold-down.
    pub hold_down_max: Duration,
    /// Time without a fault after which the hold-down is reset to its initial value.
    pub hold_down_reset: Duration,
    /// Time for which a decision remains valid without a message from the voters.
    pub decision_lease: Duration,
    /// Parts per second that a replica can answer after slow start; 0 if unknown.
    pub replica_capacity: f64,
    /// Whether decisions are made and logged without being applied to the routing of queries.
    pub dry_run: bool,
}

/// A zone and its region.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneConfig {
    /// The zone's name.
    pub name: String,
    /// The region that contains the zone.
    pub region: String,
}

/// A co-ordinator that votes on decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Voter {
    /// The address that other co-ordinators use for this voter.
    pub address: SocketAddr,
    /// The voter's zone, as an index into the list of zones.
    pub zone: usize,
}

impl ZonesConfig {
    /// The index of the zone with this name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        index_of(&self.zones, name)
    }

    /// The names of all zones, in order.
    pub fn zone_names(&self) -> Vec<&str> {
        self.zones.iter().map(|zone| zone.name.as_str()).collect()
    }

    /// The voter slot of an address; `None` if it is not the address of a voter.
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

/// The index of a zone in the list of zones; a fault of `key` if the list does not contain it.
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

/// Checks that no single zone holds the majority of the voters, since its loss would stop all decisions. With two
/// zones or fewer this can't be avoided, and is accepted.
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
