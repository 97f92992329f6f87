//! The operators' file, in Dhall: what a co-ordinator does beside what the platform's node configuration tells. Typed by the
//! reader, bounded here, and read whole: a fault names its key. What a key absent from the file stands for is in
//! `deploy/operators.dhall`, which a file takes its defaults from, or here where it does not import that.
//!
//! Absent as a whole, all of it is off.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

/// One key's fault, or why nothing could be read.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {reason}")]
pub struct ConfigError {
    pub key: String,
    pub reason: String,
}

/// All that operators say, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    pub upgrade: Option<Upgrade>,
    pub gateway: Option<Gateway>,
    pub zones: Option<Zones>,
    pub store: Option<Store>,
    pub logs: Logs,
}

/// What is kept on disk for the process that comes after this one.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// One file, of this copy alone.
    pub path: std::path::PathBuf,
    /// How often what is known is written. What a voter must not forget is written as it changes.
    pub every: Duration,
    /// What is older is no knowledge of replicas.
    pub oldest: Duration,
}

/// Gateway between sites.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// This site's own name.
    pub site: String,
    /// Where other sites' links are taken.
    pub listen: SocketAddr,
    /// Other sites: name and where their links are taken.
    pub sites: Vec<(String, SocketAddr)>,
    /// Connections kept to each.
    pub connections: u16,
    /// What near replicas are preferred by, beside the way's own time.
    pub prefer_near: Duration,
}

/// Failover between zones and regions, decided in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    /// This copy's own zone, where the file says so.
    pub zone: Option<String>,
    /// All zones and the region of each, the same at all copies.
    pub zones: Vec<(String, String)>,
    /// Where datagrams of other copies are taken, and the address that they know it by.
    pub listen: SocketAddr,
    pub known_as: SocketAddr,
    /// Copies that are asked first.
    pub peers: Vec<SocketAddr>,
    /// Copies that vote: where they are reached, and their zone by place. The same at all copies, in the same order.
    pub voters: Vec<(SocketAddr, usize)>,
    /// What datagrams are sealed with.
    pub secret: String,
    /// How long evidence stands against a zone before it is left.
    pub suspect: Duration,
    /// How long a zone that was out is well before it comes back: at first, and at most as it doubles.
    pub hold_down: Duration,
    pub hold_down_most: Duration,
    /// Without a fault for so long, the hold-down is at its shortest again.
    pub calm: Duration,
    /// How long a decision stands without a word of the voters.
    pub hold: Duration,
    /// Parts a second that a warm replica bears; 0 where nobody knows.
    pub replica_bears: f64,
    /// Decide and log, move nothing.
    pub dry_run: bool,
}

/// Upgrade under load: how long its steps may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Upgrade {
    /// For a new process to have read and checked all it is told by.
    pub start: Duration,
    /// How long it is on trial at least.
    pub settle: Duration,
    /// Longest silence of a process on trial.
    pub silent: Duration,
    /// For the old one's own queries, and again for its last answers.
    pub finish: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Logs {
    pub json: bool,
    /// Levels by module, as `tracing-subscriber` has them; empty is `info`.
    pub levels: String,
}

// The file's form: all fields there, as Dhall records are.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    upgrade: Option<UpgradeForm>,
    gateway: Option<GatewayForm>,
    zones: Option<ZonesForm>,
    store: Option<StoreForm>,
    logs: Option<LogsForm>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreForm {
    path: String,
    every_s: f64,
    oldest_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UpgradeForm {
    start_s: f64,
    settle_s: f64,
    silent_s: f64,
    finish_s: f64,
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
    replica_bears: f64,
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LogsForm {
    json: bool,
    levels: String,
}

/// Longest file taken, with what it imports: it is a page of settings.
const LONGEST: u64 = 256 * 1024;

impl Operators {
    /// From a file; what it imports is looked for beside it. Nothing is fetched from elsewhere: the reader is built
    /// without the network.
    pub fn read(path: &Path) -> Result<Operators, ConfigError> {
        let wrong = |reason: String| ConfigError { key: path.display().to_string(), reason };
        let size = std::fs::metadata(path).map_err(|e| wrong(format!("can't be read: {e}")))?.len();
        if size > LONGEST {
            return Err(wrong(format!("has {size} bytes, over {LONGEST}")));
        }
        let file: File = serde_dhall::from_file(path).parse().map_err(|e| faulty(path, &e.to_string()))?;
        file.checked()
    }

    /// The same from a text without imports.
    pub fn parse(text: &str) -> Result<Operators, ConfigError> {
        let file: File = serde_dhall::from_str(text)
            .parse()
            .map_err(|e| faulty(Path::new("the operators' file"), &e.to_string()))?;
        file.checked()
    }
}

/// The reader's words name the field: it is put first, as the key.
fn faulty(path: &Path, words: &str) -> ConfigError {
    let named = words.split_once("field `").and_then(|(_, rest)| rest.split_once('`')).map(|(name, _)| name);
    let key = named.map_or(path.display().to_string(), |name| format!("/{name}"));
    ConfigError { key, reason: words.trim().replace('\n', " ") }
}

fn time(key: &str, seconds: f64, least: f64, most: f64) -> Result<Duration, ConfigError> {
    if (least..=most).contains(&seconds) {
        return Ok(Duration::from_secs_f64(seconds));
    }
    Err(ConfigError {
        key: key.to_string(),
        reason: format!("is {seconds}, not from {least} to {most} seconds"),
    })
}

impl File {
    fn checked(self) -> Result<Operators, ConfigError> {
        let upgrade = self.upgrade.map(UpgradeForm::checked).transpose()?;
        let gateway = self.gateway.map(GatewayForm::checked).transpose()?;
        let zones = self.zones.map(ZonesForm::checked).transpose()?;
        let store = self.store.map(StoreForm::checked).transpose()?;
        let logs = self.logs.map_or(Logs::default(), |l| Logs { json: l.json, levels: l.levels });
        Ok(Operators { upgrade, gateway, zones, store, logs })
    }
}

/// Longest name of a site, as the link has it.
const LONGEST_NAME: usize = 64;

fn name(key: &str, name: &str) -> Result<(), ConfigError> {
    let good = !name.is_empty() && name.len() <= LONGEST_NAME && name.bytes().all(|b| b.is_ascii_graphic());
    let reason = || format!("is '{name}', not 1 to {LONGEST_NAME} visible ASCII characters");
    if good { Ok(()) } else { Err(ConfigError { key: key.to_string(), reason: reason() }) }
}

/// Links are not encrypted yet, so they stay on the machine.
fn address(key: &str, address: &str) -> Result<SocketAddr, ConfigError> {
    let wrong =
        |reason: &str| ConfigError { key: key.to_string(), reason: format!("is '{address}', {reason}") };
    let found: SocketAddr = address.parse().map_err(|_| wrong("no address and port"))?;
    if found.ip().is_loopback() {
        Ok(found)
    } else {
        Err(wrong("not on loopback, and links are not encrypted yet"))
    }
}

impl GatewayForm {
    fn checked(self) -> Result<Gateway, ConfigError> {
        name("/gateway/site", &self.site)?;
        let mut sites: Vec<(String, SocketAddr)> = Vec::new();
        for (n, site) in self.sites.iter().enumerate() {
            let key = format!("/gateway/sites/{n}/name");
            name(&key, &site.name)?;
            if site.name == self.site || sites.iter().any(|(known, _)| *known == site.name) {
                return Err(ConfigError { key, reason: format!("'{}' stands there twice", site.name) });
            }
            sites.push((site.name.clone(), address(&format!("/gateway/sites/{n}/address"), &site.address)?));
        }
        // Each has a candidate a cell and a task a connection.
        if sites.len() > 16 {
            return Err(ConfigError {
                key: "/gateway/sites".into(),
                reason: format!("are {}, over 16", sites.len()),
            });
        }
        if !(1..=8).contains(&self.connections) {
            let reason = format!("is {}, not from 1 to 8", self.connections);
            return Err(ConfigError { key: "/gateway/connections".into(), reason });
        }
        Ok(Gateway {
            site: self.site,
            listen: address("/gateway/listen", &self.listen)?,
            sites,
            connections: self.connections,
            prefer_near: time("/gateway/prefer_near_s", self.prefer_near_s, 0.0, 10.0)?,
        })
    }
}

/// Most zones, as the core has it; most voters, as the agreement has it; most copies to ask first: some times the largest
/// fleets, and a list of them still is a small part of the longest file.
const MOST_ZONES: usize = 16;
const MOST_VOTERS: usize = 7;
const MOST_PEERS: usize = 4096;
/// A secret shorter than this can be guessed.
const LEAST_SECRET: usize = 16;

impl ZonesForm {
    fn checked(self) -> Result<Zones, ConfigError> {
        let fault = |key: String, reason: String| Err(ConfigError { key, reason });
        let mut zones: Vec<(String, String)> = Vec::new();
        for (n, zone) in self.zones.into_iter().enumerate() {
            let key = format!("/zones/zones/{n}");
            name(&format!("{key}/name"), &zone.name)?;
            name(&format!("{key}/region"), &zone.region)?;
            if zones.iter().any(|(known, _)| *known == zone.name) {
                return fault(format!("{key}/name"), format!("'{}' stands there twice", zone.name));
            }
            zones.push((zone.name, zone.region));
        }
        if !(1..=MOST_ZONES).contains(&zones.len()) {
            return fault("/zones/zones".into(), format!("are {}, not 1 to {MOST_ZONES}", zones.len()));
        }
        let names = || zones.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>().join(", ");
        let place = |key: &str, zone: &str| match zones.iter().position(|(name, _)| name == zone) {
            Some(place) => Ok(place),
            None => {
                let reason = format!("is '{zone}', none of /zones/zones: {}", names());
                Err(ConfigError { key: key.into(), reason })
            }
        };
        if !self.zone.is_empty() {
            place("/zones/zone", &self.zone)?;
        }
        let listen = address("/zones/listen", &self.listen)?;
        let known_as =
            if self.known_as.is_empty() { listen } else { address("/zones/known_as", &self.known_as)? };
        let mut voters: Vec<(SocketAddr, usize)> = Vec::new();
        for (n, voter) in self.voters.iter().enumerate() {
            let key = format!("/zones/voters/{n}");
            let at = address(&format!("{key}/address"), &voter.address)?;
            if voters.iter().any(|(known, _)| *known == at) {
                return fault(format!("{key}/address"), format!("'{at}' stands there twice"));
            }
            voters.push((at, place(&format!("{key}/zone"), &voter.zone)?));
        }
        if voters.len().is_multiple_of(2) || voters.len() > MOST_VOTERS {
            let reason = format!(
                "are {}; accepted: 1, 3, 5 or {MOST_VOTERS}, so that one half is larger",
                voters.len()
            );
            return fault("/zones/voters".into(), reason);
        }
        // Guards against a zone whose loss takes the majority along, where zones are enough to do without.
        for (zone, (name, _)) in zones.iter().enumerate().filter(|_| zones.len() > 2 && voters.len() > 1) {
            let here = voters.iter().filter(|v| v.1 == zone).count();
            if here * 2 > voters.len() {
                let reason = format!(
                    "has {here} of {} in zone '{name}': its loss would end all deciding",
                    voters.len()
                );
                return fault("/zones/voters".into(), reason);
            }
        }
        if self.peers.len() > MOST_PEERS {
            return fault("/zones/peers".into(), format!("are {}, over {MOST_PEERS}", self.peers.len()));
        }
        let peers = self.peers.iter().enumerate().map(|(n, at)| address(&format!("/zones/peers/{n}"), at));
        if self.secret.len() < LEAST_SECRET {
            let reason = format!("has {} characters, under {LEAST_SECRET}", self.secret.len());
            return fault("/zones/secret".into(), reason);
        }
        if !(0.0..=1e6).contains(&self.replica_bears) {
            let reason = format!("is {}, not from 0 to 1000000 parts a second", self.replica_bears);
            return fault("/zones/leaf_bears".into(), reason);
        }
        let hold_down = time("/zones/hold_down_s", self.hold_down_s, 0.5, 3600.0)?;
        Ok(Zones {
            peers: peers.collect::<Result<_, _>>()?,
            suspect: time("/zones/suspect_s", self.suspect_s, 0.1, 60.0)?,
            hold_down,
            hold_down_most: time(
                "/zones/hold_down_most_s",
                self.hold_down_most_s,
                hold_down.as_secs_f64(),
                86_400.0,
            )?,
            calm: time("/zones/calm_s", self.calm_s, 1.0, 86_400.0)?,
            hold: time("/zones/hold_s", self.hold_s, 3.0, 3600.0)?,
            zone: (!self.zone.is_empty()).then_some(self.zone),
            zones,
            listen,
            known_as,
            voters,
            secret: self.secret,
            replica_bears: self.replica_bears,
            dry_run: self.dry_run,
        })
    }
}

/// Longest path taken, as systems have it.
const LONGEST_PATH: usize = 4096;

impl StoreForm {
    /// Each write is a sync of the disk: ten a second are more than any start gains by. What a day old copy knew of
    /// replicas is of no use to anybody.
    fn checked(self) -> Result<Store, ConfigError> {
        let path = std::path::PathBuf::from(&self.path);
        let wrong = |reason: &str| ConfigError {
            key: "/store/path".into(),
            reason: format!("is '{}', {reason}", self.path),
        };
        if path.file_name().is_none() || self.path.len() > LONGEST_PATH || self.path.contains('\0') {
            return Err(wrong("the path of no file"));
        }
        if path.is_dir() {
            return Err(wrong("a directory, not a file"));
        }
        Ok(Store {
            path,
            every: time("/store/every_s", self.every_s, 0.1, 60.0)?,
            oldest: time("/store/oldest_s", self.oldest_s, 1.0, 86_400.0)?,
        })
    }
}

impl UpgradeForm {
    /// Signs of life come every 0.05 s: ten of them may be late before a process is held to hang. A trial of over
    /// ten minutes is no trial; two processes need twice the memory as long.
    fn checked(self) -> Result<Upgrade, ConfigError> {
        Ok(Upgrade {
            start: time("/upgrade/start_s", self.start_s, 0.1, 600.0)?,
            settle: time("/upgrade/settle_s", self.settle_s, 0.0, 600.0)?,
            silent: time("/upgrade/silent_s", self.silent_s, 0.5, 60.0)?,
            finish: time("/upgrade/finish_s", self.finish_s, 0.1, 600.0)?,
        })
    }
}

#[cfg(test)]
mod tests;
