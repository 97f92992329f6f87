//! Reads and checks the node configuration: the environment variables NODE_* and the file that NODE_CONFIG names.
//!
//! Each part of the server gets only the values that it needs. An error names its key. The settings of the
//! `Coordinator` are read by `pipitcrank_core::config`.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::uri::Authority;
use pipitcrank_core::config::{ConfigError, SettingsReader};
use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::TimeSpan;
use serde::Deserialize;
use serde_json::Value;

use crate::audit;
use crate::discovery::endpoint_update::{EndpointList, EndpointUpdate, Endpoints};
use crate::exchange::Exchange;
use crate::runtime::clock::{Clock, duration};
use crate::runtime::counters::Counters;

/// File descriptors besides those of clients and replicas: standard streams, runtime, listener and discovery.
const OWN_DESCRIPTORS: u32 = 24;
/// Memory limit of a node configuration that states none: the largest on the days that the pages describe.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Time after which a client that was shed may try again, if the settings allow so long: most incomplete requests have
/// ended by then.
const SHED_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(1000);
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The node configuration. `V` looks up environment variables.
pub struct NodeConfig<V> {
    file: Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> NodeConfig<V> {
    /// Parses the file's text; environment variables take precedence over it.
    pub fn parse(text: &str, variable: V) -> Result<NodeConfig<V>, ConfigError> {
        let not_json =
            |e| ConfigError { key: "NODE_CONFIG".to_string(), reason: format!("is not JSON: {e}") };
        Ok(NodeConfig { file: serde_json::from_str(text).map_err(not_json)?, variable })
    }

    fn reader(&self) -> SettingsReader<'_> {
        SettingsReader::new(&self.file)
    }

    fn settings(&self) -> Result<SettingsReader<'_>, ConfigError> {
        self.reader().section("/settings")
    }

    fn text(&self, key: &str, variable: &str) -> Result<String, ConfigError> {
        match (self.variable)(variable) {
            Some(value) => Ok(value),
            None => Ok(self.reader().text(key)?.to_string()),
        }
    }

    /// Name of this co-ordinator.
    pub fn name(&self) -> Result<String, ConfigError> {
        self.text("/name", "NODE_NAME")
    }

    /// Listen address for clients.
    pub fn listen(&self) -> Result<SocketAddr, ConfigError> {
        let listen = self.text("/listen", "NODE_LISTEN")?;
        let invalid = |_| self.reader().error("/listen", &format!("is '{listen}', no address and port"));
        listen.parse().map_err(invalid)
    }

    /// Address and port of the discovery service.
    pub fn discovery(&self) -> Result<String, ConfigError> {
        let address = self.text("/discovery", "NODE_DISCOVERY")?;
        let is_valid = address.parse::<Authority>().is_ok_and(|a| a.port_u16().is_some());
        let invalid = || self.reader().error("/discovery", &format!("is '{address}', no address and port"));
        if is_valid { Ok(address) } else { Err(invalid()) }
    }

    /// The errors that prevent a start: the first of each part of the server, without repeated keys.
    pub fn faults(&self, clock: &Clock) -> Vec<ConfigError> {
        let parts = [
            self.name().err(),
            self.listen().err(),
            self.discovery().err(),
            self.initial_endpoints(clock).err(),
            self.connection_limit().err(),
            self.memory_limit().err(),
            self.exchange(Counters::default()).err(),
            self.shards().err(),
            self.cells().err(),
            self.tick_interval().err(),
            self.streams_per_connection().err(),
            self.idle_timeout().err(),
            self.max_deadline().err(),
            self.polls_discovery().err(),
        ];
        let mut errors: Vec<ConfigError> = Vec::new();
        for error in parts.into_iter().flatten() {
            if errors.iter().all(|other| other.key != error.key) {
                errors.push(error);
            }
        }
        errors
    }

    /// Returns the first error that prevents a start, if any.
    pub fn check(&self, clock: &Clock) -> Result<(), ConfigError> {
        self.faults(clock).into_iter().next().map_or(Ok(()), Err)
    }

    /// The endpoint list to start with.
    pub fn initial_endpoints(&self, clock: &Clock) -> Result<EndpointList, ConfigError> {
        let invalid = |reason: String| self.reader().error("/known", &format!("is no list: {reason}"));
        let known = self.file.get("known").ok_or_else(|| invalid("it is missing".to_string()))?;
        let known = EndpointUpdate::deserialize(known).map_err(|e| invalid(e.to_string()))?;
        let revision = known.revision;
        let Endpoints { endpoints, .. } = known.endpoints(clock).map_err(|e| invalid(e.to_string()))?;
        // If two parts of the platform spell zone names differently, no replica would count as local.
        let names = self.zones()?.map(|(_, names)| names);
        for (n, endpoint) in endpoints.iter().enumerate() {
            if let (Some(names), Some(zone)) = (&names, &endpoint.zone)
                && !names.contains(zone)
            {
                let reason = format!("is '{zone}', none of /settings/zones: {}", names.join(", "));
                return Err(self.reader().error(&format!("/known/targets/{n}/az"), &reason));
            }
        }
        Ok(EndpointList { revision, endpoints })
    }

    /// Maximum number of connections to replicas and of clients together.
    pub fn connection_limit(&self) -> Result<usize, ConfigError> {
        match self.reader().count("/limits/sockets")? {
            limit if limit >= 2 * OWN_DESCRIPTORS => Ok((limit - OWN_DESCRIPTORS) as usize),
            few => Err(self
                .reader()
                .error("/limits/sockets", &format!("is {few}, under {}", 2 * OWN_DESCRIPTORS))),
        }
    }

    /// Memory limit of this process, in bytes.
    pub fn memory_limit(&self) -> Result<u64, ConfigError> {
        let key = "/limits/memory_mb";
        let mb = self.reader().number_or(key, DEFAULT_MEMORY_MB)?;
        if mb > 0.0 {
            return Ok((mb * BYTES_PER_MB) as u64);
        }
        Err(self.reader().error(key, &format!("is {mb}; accepted: megabytes above 0")))
    }

    /// Retry-after of requests that are shed before they become queries; `None` if the settings allow none.
    pub fn shed_retry_after(&self) -> Result<Option<TimeSpan>, ConfigError> {
        let settings = self.settings()?;
        if !settings.flag("/allowed/retry_after")? {
            return Ok(None);
        }
        Ok(Some(settings.span("/allowed/max_retry_after_s")?.min(SHED_RETRY_AFTER)))
    }

    /// Names of the request classes, by id.
    pub fn classes(&self) -> Result<Vec<String>, ConfigError> {
        self.settings()?.classes()
    }

    /// Whether replicas detect duplicates by the client's key, by request class.
    pub fn keyed_idempotency(&self) -> Result<Vec<bool>, ConfigError> {
        let settings = self.settings()?;
        let keyed = |n| Ok(settings.text(&format!("/classes/{n}/idempotency"))? == "keyed");
        (0..settings.classes()?.len()).map(keyed).collect()
    }

    /// Priority weight of a complete answer, by request class; 1 by default.
    pub fn priority_weights(&self) -> Result<Vec<f64>, ConfigError> {
        let settings = self.settings()?;
        (0..settings.classes()?.len())
            .map(|n| settings.number_or(&format!("/classes/{n}/worth"), 1.0))
            .collect()
    }

    /// The longest deadline of all request classes.
    pub fn max_deadline(&self) -> Result<TimeSpan, ConfigError> {
        Ok(self.deadlines()?.into_iter().max().unwrap_or(TimeSpan::ZERO))
    }

    /// The deadline of each request class.
    fn deadlines(&self) -> Result<Vec<TimeSpan>, ConfigError> {
        let settings = self.settings()?;
        let limits = (0..settings.classes()?.len()).map(|n| {
            let key = format!("/classes/{n}/hard_limit_s");
            match settings.span(&key)? {
                limit if limit > TimeSpan::ZERO => Ok(limit),
                _ => Err(settings.error(&key, "leaves no time to answer in; accepted: seconds above 0")),
            }
        });
        limits.collect()
    }

    /// Number of cells of the replica ring.
    pub fn cells(&self) -> Result<u32, ConfigError> {
        self.settings()?.count("/domain/sets")
    }

    /// Number of shards.
    pub fn shards(&self) -> Result<u32, ConfigError> {
        self.settings()?.count("/domain/shards")
    }

    /// Interval of batches; events within one interval share a batch.
    pub fn tick_interval(&self) -> Result<TimeSpan, ConfigError> {
        self.settings()?.span("/tick_s")
    }

    /// Creates the exchange with its `Coordinator`.
    pub fn exchange(&self, counters: Counters) -> Result<Exchange, ConfigError> {
        let settings = self.settings()?;
        for n in 0..settings.classes()?.len() {
            let key = format!("/domain/follow_up/{n}");
            if settings.number(&key)? > 0.0 {
                return Err(settings.error(&key, "asks for a second step, which sockets don't have"));
            }
        }
        let zones = self.zones()?.map_or(Vec::new(), |(_, names)| names);
        // Required, although the exchange sends nothing to a draining replica and so needs no grace time.
        settings.span("/rules/drain_grace_s")?;
        let (seed, parts_per_call) = (self.seed()?, self.parts_per_call()?);
        // The `Coordinator` must use the same number of parts per call.
        let mut all = self.file.clone();
        if let Some(value) = all.pointer_mut("/settings/domain/parts_a_call") {
            *value = parts_per_call.into();
        }
        let mut exchange = Exchange::new(
            SettingsReader::new(&all).section("/settings")?.coordinator(seed)?,
            settings.count("/allowed/max_open")? as usize,
            parts_per_call as usize,
            counters,
        );
        exchange.set_zone_names(zones);
        exchange.enable_audit(self.audit_rules()?);
        Ok(exchange)
    }

    /// The settings of the audit.
    fn audit_rules(&self) -> Result<audit::AuditRules, ConfigError> {
        let settings = self.settings()?;
        let class = |n: usize| {
            let window = settings.number_or(&format!("/classes/{n}/dedup_window_s"), 0.0)?;
            Ok(audit::ClassRules {
                idempotency: settings.idempotency(n)?,
                dedup_window: TimeSpan::from_secs_f64(window),
                floor: settings.number(&format!("/domain/floor_by_class/{n}"))?,
                complete_from: settings.number(&format!("/domain/complete_from/{n}"))?,
            })
        };
        let span = TimeSpan::from_secs_f64(settings.number_or("/rules/budget_span_s", 0.0)?);
        Ok(audit::AuditRules {
            classes: (0..settings.classes()?.len()).map(class).collect::<Result<_, _>>()?,
            may_hedge: settings.flag("/allowed/may_duplicate")?,
            max_attempts: settings.count("/allowed/try_limit")?,
            drain_grace: settings.span("/rules/drain_grace_s")?,
            budget_free: settings.number_or("/rules/extra_free", 0.0)?,
            budget_ratio: settings.number_or("/rules/repeat_ratio", 0.0)?,
            budget_window: (span > TimeSpan::ZERO).then_some(span),
        })
    }

    /// Seed of this process's random number generator.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        let seed = self.reader().text("/seed")?;
        let invalid = |_| self.reader().error("/seed", &format!("is '{seed}', not up to 16 hex digits"));
        u64::from_str_radix(seed, 16).map_err(invalid)
    }

    /// Whether the discovery service is polled at a limited rate, since its calls are costly and rejected when too frequent.
    pub fn polls_discovery(&self) -> Result<bool, ConfigError> {
        let settings = self.settings()?;
        match settings.text_or("/registry_mode", "push")? {
            "push" => Ok(false),
            "ask" => Ok(true),
            other => Err(settings.error("/registry_mode", &format!("is '{other}'; accepted: push, ask"))),
        }
    }

    /// Number of co-ordinators including this one; 1 by default.
    pub fn coordinator_count(&self) -> Result<u32, ConfigError> {
        let settings = self.settings()?;
        Ok(settings.number_or("/balancers", 1.0)?.clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    /// The zone of this co-ordinator and the names of all zones; `None` if the platform has no zones.
    pub fn zones(&self) -> Result<Option<(ZoneId, Vec<String>)>, ConfigError> {
        Ok(self.settings()?.zones()?.map(|zones| (zones.own, zones.names)))
    }

    /// Maximum number of outstanding parts on a connection to a replica.
    pub fn streams_per_connection(&self) -> Result<usize, ConfigError> {
        Ok(self.settings()?.positive_count("/allowed/streams_per_conn")? as usize)
    }

    /// Maximum number of parts in one call, capped at the number that a connection carries at once.
    pub fn parts_per_call(&self) -> Result<u32, ConfigError> {
        let parts = self.settings()?.positive_count("/domain/parts_a_call")?;
        Ok(parts.min(self.streams_per_connection()? as u32))
    }

    /// Timeout for establishing a connection to a replica.
    pub fn connect_timeout(&self) -> Result<Duration, ConfigError> {
        Ok(duration(self.settings()?.span("/allowed/dial_timeout_s")?))
    }

    /// Idle timeout of a connection to a replica. It ends before the replica's own idle timeout, by the longest round trip
    /// or by half of the replica's timeout, whichever is shorter. Without the second bound, a connect timeout as long as
    /// the idle timeout would close each connection as soon as it is established.
    pub fn idle_timeout(&self) -> Result<Duration, ConfigError> {
        let idle = duration(self.settings()?.span("/allowed/conn_idle_s")?);
        Ok(idle - self.connect_timeout()?.min(idle / 2))
    }
}
