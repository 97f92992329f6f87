//! The operators' file, in Dhall: what a co-ordinator does beside what the platform's node configuration says. It is typed
//! by the reader, checked against bounds here, and read whole; a fault names its key. What a key absent from the file
//! stands for is in `deploy/operators.dhall`, which a file takes its defaults from, or here where it does not import that.
//!
//! Without the file all of it is off.

#![warn(missing_docs)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

/// Longest file accepted, in bytes, with what it imports: it is a page of settings.
const MAX_FILE_SIZE: u64 = 256 * 1024;

/// The operators' file, checked. A section that is none is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorsConfig {
    /// Upgrade under load.
    pub upgrade: Option<UpgradeConfig>,
    /// Gateway between sites.
    pub gateway: Option<GatewayConfig>,
    /// Failover between zones.
    pub zones: Option<ZonesConfig>,
    /// Store on disk.
    pub store: Option<StoreConfig>,
    /// Form and levels of the log.
    pub logs: LogsConfig,
}

impl OperatorsConfig {
    /// Reads a file; imports are looked for beside it. Nothing is fetched from elsewhere: the reader is built without the
    /// network.
    ///
    /// # Errors
    /// The first fault found, by its key, or by the file's path where it can't be read or parsed.
    pub fn read(path: &Path) -> Result<OperatorsConfig, ConfigError> {
        let fault = |reason: String| ConfigError::new(path.display().to_string(), reason);
        let size = std::fs::metadata(path).map_err(|e| fault(format!("can't be read: {e}")))?.len();
        if size > MAX_FILE_SIZE {
            return Err(fault(format!("has {size} bytes, over {MAX_FILE_SIZE}")));
        }
        let file: FileForm =
            serde_dhall::from_file(path).parse().map_err(|e| parse_error(path, &e.to_string()))?;
        file.checked()
    }

    /// The same from a text without imports.
    ///
    /// # Errors
    /// As those of [`OperatorsConfig::read`].
    pub fn parse(text: &str) -> Result<OperatorsConfig, ConfigError> {
        let file: FileForm = serde_dhall::from_str(text)
            .parse()
            .map_err(|e| parse_error(Path::new("the operators' file"), &e.to_string()))?;
        file.checked()
    }
}

/// The reader's message names the field: it becomes the key.
fn parse_error(path: &Path, message: &str) -> ConfigError {
    let field =
        message.split_once("field `").and_then(|(_, rest)| rest.split_once('`')).map(|(name, _)| name);
    let key = field.map_or(path.display().to_string(), |name| format!("/{name}"));
    ConfigError::new(key, message.trim().replace('\n', " "))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileForm {
    upgrade: Option<UpgradeForm>,
    gateway: Option<GatewayForm>,
    zones: Option<ZonesForm>,
    store: Option<StoreForm>,
    logs: Option<LogsForm>,
}

impl FileForm {
    fn checked(self) -> Result<OperatorsConfig, ConfigError> {
        Ok(OperatorsConfig {
            upgrade: self.upgrade.map(UpgradeForm::checked).transpose()?,
            gateway: self.gateway.map(GatewayForm::checked).transpose()?,
            zones: self.zones.map(ZonesForm::checked).transpose()?,
            store: self.store.map(StoreForm::checked).transpose()?,
            logs: self.logs.map(LogsConfig::from).unwrap_or_default(),
        })
    }
}

/// A fault of the operators' file: the key it concerns and the reason, or why the file could not be read.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {reason}")]
pub struct ConfigError {
    /// The key as a path through the file, such as `/upgrade/start_s`, or the file's own path.
    pub key: String,
    /// What is wrong with it, and what is accepted.
    pub reason: String,
}

impl ConfigError {
    fn new(key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), reason: reason.into() }
    }
}

/// Longest name of a site or zone, in bytes, as the link between sites has it.
const MAX_NAME_LENGTH: usize = 64;

/// A duration in seconds from `min` to `max`, both included.
fn duration(key: &str, seconds: f64, min: f64, max: f64) -> Result<Duration, ConfigError> {
    if (min..=max).contains(&seconds) {
        return Ok(Duration::from_secs_f64(seconds));
    }
    Err(ConfigError::new(key, format!("is {seconds}, not from {min} to {max} seconds")))
}

fn check_name(key: &str, name: &str) -> Result<(), ConfigError> {
    let valid =
        !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.bytes().all(|b| b.is_ascii_graphic());
    if valid {
        return Ok(());
    }
    Err(ConfigError::new(key, format!("is '{name}', not 1 to {MAX_NAME_LENGTH} visible ASCII characters")))
}

/// An address and port on loopback: links are not encrypted yet, so they stay on the machine.
fn loopback_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    let fault = |reason: &str| ConfigError::new(key, format!("is '{text}', {reason}"));
    let address: SocketAddr = text.parse().map_err(|_| fault("no address and port"))?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(fault("not on loopback, and links are not encrypted yet"))
    }
}

/// Upgrade under load: time limits of its steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpgradeConfig {
    /// Time for a new process to read and check its configuration.
    pub start_timeout: Duration,
    /// Shortest time that a new process is on trial before the old one is drained.
    pub trial_time: Duration,
    /// Longest time without a heartbeat of a process on trial.
    pub heartbeat_timeout: Duration,
    /// Time for the old process to finish its own queries, and again for its last answers.
    pub drain_timeout: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UpgradeForm {
    start_s: f64,
    settle_s: f64,
    silent_s: f64,
    finish_s: f64,
}

impl UpgradeForm {
    /// Heartbeats come every 0.05 s: ten may be late before a process counts as hung. A trial longer than ten minutes
    /// tells no more, and two processes need twice the memory as long.
    fn checked(self) -> Result<UpgradeConfig, ConfigError> {
        Ok(UpgradeConfig {
            start_timeout: duration("/upgrade/start_s", self.start_s, 0.1, 600.0)?,
            trial_time: duration("/upgrade/settle_s", self.settle_s, 0.0, 600.0)?,
            heartbeat_timeout: duration("/upgrade/silent_s", self.silent_s, 0.5, 60.0)?,
            drain_timeout: duration("/upgrade/finish_s", self.finish_s, 0.1, 600.0)?,
        })
    }
}

/// Most other sites: each adds a candidate to each cell and a task for each connection.
const MAX_SITES: usize = 16;
/// Most connections to each site.
const MAX_CONNECTIONS: u16 = 8;

/// Gateway between sites.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// This site's own name.
    pub site: String,
    /// Where links of other sites are accepted.
    pub listen: SocketAddr,
    /// The other sites.
    pub sites: Vec<Site>,
    /// Connections kept to each site.
    pub connections: u16,
    /// Added to the round trip time of a remote replica when it is compared with a local one.
    pub local_preference: Duration,
}

/// Another site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name, as it gives it itself on each link.
    pub name: String,
    /// Where it accepts links.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GatewayForm {
    site: String,
    listen: String,
    sites: Vec<SiteForm>,
    connections: u16,
    prefer_near_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteForm {
    name: String,
    address: String,
}

impl GatewayForm {
    fn checked(self) -> Result<GatewayConfig, ConfigError> {
        check_name("/gateway/site", &self.site)?;
        let sites = checked_sites(&self.site, &self.sites)?;
        if !(1..=MAX_CONNECTIONS).contains(&self.connections) {
            let reason = format!("is {}, not from 1 to {MAX_CONNECTIONS}", self.connections);
            return Err(ConfigError::new("/gateway/connections", reason));
        }
        Ok(GatewayConfig {
            site: self.site,
            listen: loopback_address("/gateway/listen", &self.listen)?,
            sites,
            connections: self.connections,
            local_preference: duration("/gateway/prefer_near_s", self.prefer_near_s, 0.0, 10.0)?,
        })
    }
}

fn checked_sites(own: &str, forms: &[SiteForm]) -> Result<Vec<Site>, ConfigError> {
    let mut sites: Vec<Site> = Vec::new();
    for (n, form) in forms.iter().enumerate() {
        let key = format!("/gateway/sites/{n}/name");
        check_name(&key, &form.name)?;
        if form.name == own || sites.iter().any(|site| site.name == form.name) {
            return Err(ConfigError::new(key, format!("'{}' stands there twice", form.name)));
        }
        let address = loopback_address(&format!("/gateway/sites/{n}/address"), &form.address)?;
        sites.push(Site { name: form.name.clone(), address });
    }
    if sites.len() > MAX_SITES {
        return Err(ConfigError::new("/gateway/sites", format!("are {}, over {MAX_SITES}", sites.len())));
    }
    Ok(sites)
}

/// Most zones, as the core has it.
const MAX_ZONES: usize = 16;
/// Most voters, as the agreement has it.
const MAX_VOTERS: usize = 7;
/// Most seed addresses: some times the largest fleets, and a list of them is still a small part of the longest file.
const MAX_SEEDS: usize = 4096;
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
struct ZonesForm {
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
    fn checked(self) -> Result<ZonesConfig, ConfigError> {
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

/// Longest path accepted, in bytes, as systems have it.
const MAX_PATH_LENGTH: usize = 4096;

/// The store on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// One file, of this co-ordinator alone.
    pub path: PathBuf,
    /// How often the learned state is written. What a voter must not forget is written as it changes.
    pub write_interval: Duration,
    /// Learned state that is older is not used.
    pub max_age: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreForm {
    path: String,
    every_s: f64,
    oldest_s: f64,
}

impl StoreForm {
    /// Each write is a sync of the disk: ten a second are more than any start gains by. Learned state that is a day old
    /// is of no use.
    fn checked(self) -> Result<StoreConfig, ConfigError> {
        Ok(StoreConfig {
            path: checked_path(self.path)?,
            write_interval: duration("/store/every_s", self.every_s, 0.1, 60.0)?,
            max_age: duration("/store/oldest_s", self.oldest_s, 1.0, 86_400.0)?,
        })
    }
}

fn checked_path(text: String) -> Result<PathBuf, ConfigError> {
    let path = PathBuf::from(&text);
    let fault = |reason: &str| ConfigError::new("/store/path", format!("is '{text}', {reason}"));
    if path.file_name().is_none() || text.len() > MAX_PATH_LENGTH || text.contains('\0') {
        return Err(fault("the path of no file"));
    }
    if path.is_dir() {
        return Err(fault("a directory, not a file"));
    }
    Ok(path)
}

/// Form and levels of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogsConfig {
    /// One JSON object a line in place of text.
    pub json: bool,
    /// Levels by module, as `tracing-subscriber` has them; empty is `info`.
    pub levels: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LogsForm {
    json: bool,
    levels: String,
}

impl From<LogsForm> for LogsConfig {
    fn from(form: LogsForm) -> LogsConfig {
        LogsConfig { json: form.json, levels: form.levels }
    }
}

#[cfg(test)]
mod tests;
