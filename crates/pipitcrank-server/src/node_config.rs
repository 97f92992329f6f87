//! What this process is told at start, read and checked here: the variables NODE_* and the file that NODE_CONFIG
//! names. Each part is handed its own few figures. A fault names its key. What the decision module is told is read
//! by `pipitcrank_core::told`.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::uri::Authority;
use pipitcrank_core::config::{ConfigError, SettingsReader};
use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::TimeSpan;
use serde::Deserialize;
use serde_json::Value;

use crate::audit;
use crate::discovery::endpoint_update::{EndpointUpdate, Endpoints};
use crate::exchange::{Endpoint, Exchange};
use crate::runtime::clock::{Clock, duration};
use crate::runtime::counters::Counters;

/// Descriptors that are neither a client's nor a replica's: standard ones, the runtime's, listener, discovery.
const OWN_SOCKETS: u32 = 24;

pub struct NodeConfig<V> {
    all: Value,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> NodeConfig<V> {
    /// From the file's text and the variables, which go before it.
    pub fn parse(text: &str, variable: V) -> Result<NodeConfig<V>, ConfigError> {
        let not_json =
            |e| ConfigError { key: "NODE_CONFIG".to_string(), reason: format!("is not JSON: {e}") };
        Ok(NodeConfig { all: serde_json::from_str(text).map_err(not_json)?, variable })
    }

    fn told(&self) -> SettingsReader<'_> {
        SettingsReader::new(&self.all)
    }

    fn settings(&self) -> Result<SettingsReader<'_>, ConfigError> {
        self.told().under("/settings")
    }

    fn word(&self, key: &str, variable: &str) -> Result<String, ConfigError> {
        match (self.variable)(variable) {
            Some(value) => Ok(value),
            None => Ok(self.told().text(key)?.to_string()),
        }
    }

    pub fn name(&self) -> Result<String, ConfigError> {
        self.word("/name", "NODE_NAME")
    }

    pub fn listen(&self) -> Result<SocketAddr, ConfigError> {
        let listen = self.word("/listen", "NODE_LISTEN")?;
        let wrong = |_| self.told().error("/listen", &format!("is '{listen}', no address and port"));
        listen.parse().map_err(wrong)
    }

    pub fn discovery(&self) -> Result<String, ConfigError> {
        let address = self.word("/discovery", "NODE_DISCOVERY")?;
        let sound = address.parse::<Authority>().is_ok_and(|a| a.port_u16().is_some());
        let wrong = || self.told().error("/discovery", &format!("is '{address}', no address and port"));
        if sound { Ok(address) } else { Err(wrong()) }
    }

    /// What of it could not be started with: the first fault of each part, each key once.
    pub fn faults(&self, clock: &Clock) -> Vec<ConfigError> {
        let parts = [
            self.name().err(),
            self.listen().err(),
            self.discovery().err(),
            self.initial_endpoints(clock).err(),
            self.connection_limit().err(),
            self.exchange(Counters::default()).err(),
            self.shards().err(),
            self.cells().err(),
            self.tick_interval().err(),
            self.streams_per_connection().err(),
            self.idle_timeout().err(),
            self.max_deadline().err(),
            self.polls_discovery().err(),
        ];
        let mut faults: Vec<ConfigError> = Vec::new();
        for fault in parts.into_iter().flatten() {
            if faults.iter().all(|f| f.key != fault.key) {
                faults.push(fault);
            }
        }
        faults
    }

    /// Whether all of it could be started with.
    pub fn check(&self, clock: &Clock) -> Result<(), ConfigError> {
        self.faults(clock).into_iter().next().map_or(Ok(()), Err)
    }

    /// The list of leaves as last held, and its version.
    pub fn initial_endpoints(&self, clock: &Clock) -> Result<(u64, Vec<Endpoint>), ConfigError> {
        let wrong = |reason: String| self.told().error("/known", &format!("is no list: {reason}"));
        let known = self.all.get("known").ok_or_else(|| wrong("it is missing".to_string()))?;
        let known = EndpointUpdate::deserialize(known).map_err(|e| wrong(e.to_string()))?;
        let rev = known.revision;
        let Endpoints { endpoints: rows, .. } = known.endpoints(clock).map_err(|e| wrong(e.to_string()))?;
        // Guards against two parts of the platform that name zones otherwise: near would be nowhere.
        let names = self.zones()?.map(|(_, names)| names);
        for (n, row) in rows.iter().enumerate() {
            if let (Some(names), Some(zone)) = (&names, &row.zone)
                && !names.contains(zone)
            {
                let reason = format!("is '{zone}', none of /settings/zones: {}", names.join(", "));
                return Err(self.told().error(&format!("/known/targets/{n}/az"), &reason));
            }
        }
        Ok((rev, rows))
    }

    /// Sockets for replicas and clients together, at most.
    pub fn connection_limit(&self) -> Result<usize, ConfigError> {
        match self.told().count("/limits/sockets")? {
            most if most >= 2 * OWN_SOCKETS => Ok((most - OWN_SOCKETS) as usize),
            few => Err(self.told().error("/limits/sockets", &format!("is {few}, under {}", 2 * OWN_SOCKETS))),
        }
    }

    /// The names of the request classes, in the module's order.
    pub fn classes(&self) -> Result<Vec<String>, ConfigError> {
        self.settings()?.classes()
    }

    /// Whether replicas know a repeat by the client's key, by request class.
    pub fn keyed_idempotency(&self) -> Result<Vec<bool>, ConfigError> {
        let settings = self.settings()?;
        let keyed = |n| Ok(settings.text(&format!("/classes/{n}/idempotency"))? == "keyed");
        (0..settings.classes()?.len()).map(keyed).collect()
    }

    /// Utility of a request class's whole answer, in the module's order; 1 where nothing is said.
    pub fn priority_weights(&self) -> Result<Vec<f64>, ConfigError> {
        let settings = self.settings()?;
        (0..settings.classes()?.len())
            .map(|n| settings.number_or(&format!("/classes/{n}/worth"), 1.0))
            .collect()
    }

    /// What passes in a time without any promise: the longest that a client is waited for.
    pub fn max_deadline(&self) -> Result<TimeSpan, ConfigError> {
        let settings = self.settings()?;
        let mut limits = (0..settings.classes()?.len()).map(|n| {
            let key = format!("/classes/{n}/hard_limit_s");
            match settings.span(&key)? {
                limit if limit > TimeSpan::ZERO => Ok(limit),
                _ => Err(settings.error(&key, "leaves no time to answer in; accepted: seconds above 0")),
            }
        });
        limits.try_fold(TimeSpan::ZERO, |most, next| Ok(most.max(next?)))
    }

    /// Cells that a site's replicas stand in.
    pub fn cells(&self) -> Result<u32, ConfigError> {
        self.settings()?.count("/domain/sets")
    }

    pub fn shards(&self) -> Result<u32, ConfigError> {
        self.settings()?.count("/domain/shards")
    }

    pub fn tick_interval(&self) -> Result<TimeSpan, ConfigError> {
        self.settings()?.span("/tick_s")
    }

    pub fn exchange(&self, counters: Counters) -> Result<Exchange, ConfigError> {
        let settings = self.settings()?;
        for n in 0..settings.classes()?.len() {
            let key = format!("/domain/follow_up/{n}");
            if settings.number(&key)? > 0.0 {
                return Err(settings.error(&key, "asks for a second step, which sockets don't have"));
            }
        }
        let zones = self.zones()?.map_or(Vec::new(), |(_, names)| names);
        // Nothing goes to a replica that was told to drain, so its grace is not needed; it has to be told all the same.
        settings.span("/rules/drain_grace_s")?;
        let (seed, call_size) = (self.seed()?, self.parts_per_call()?);
        // The decision module counts in the same calls.
        let mut all = self.all.clone();
        if let Some(told) = all.pointer_mut("/settings/domain/parts_a_call") {
            *told = call_size.into();
        }
        let mut exchange = Exchange::new(
            SettingsReader::new(&all).under("/settings")?.coordinator(seed)?,
            settings.count("/allowed/max_open")? as usize,
            call_size as usize,
            counters,
        );
        exchange.set_zone_names(zones);
        exchange.enable_audit(self.audit_terms()?);
        Ok(exchange)
    }

    /// What the run-time check of the rules goes by.
    fn audit_terms(&self) -> Result<audit::AuditRules, ConfigError> {
        let settings = self.settings()?;
        let class = |n: usize| {
            let window = settings.number_or(&format!("/classes/{n}/dedup_window_s"), 0.0)?;
            Ok(audit::ClassRules {
                idempotency: settings.idempotency(n)?,
                dedup_window: TimeSpan::from_secs_f64(window),
                floor: settings.number(&format!("/domain/floor_by_class/{n}"))?,
                whole_from: settings.number(&format!("/domain/complete_from/{n}"))?,
            })
        };
        let span = TimeSpan::from_secs_f64(settings.number_or("/rules/budget_span_s", 0.0)?);
        Ok(audit::AuditRules {
            classes: (0..settings.classes()?.len()).map(class).collect::<Result<_, _>>()?,
            may_duplicate: settings.flag("/allowed/may_duplicate")?,
            try_limit: settings.count("/allowed/try_limit")?,
            drain_grace: settings.span("/rules/drain_grace_s")?,
            budget_free: settings.number_or("/rules/extra_free", 0.0)?,
            budget_ratio: settings.number_or("/rules/repeat_ratio", 0.0)?,
            budget_span: (span > TimeSpan::ZERO).then_some(span),
        })
    }

    /// What its chance is made from.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        let seed = self.told().text("/seed")?;
        let wrong = |_| self.told().error("/seed", &format!("is '{seed}', not up to 16 hex digits"));
        u64::from_str_radix(seed, 16).map_err(wrong)
    }

    /// Lists are told to who asks alone, and each call is paid for.
    pub fn polls_discovery(&self) -> Result<bool, ConfigError> {
        let settings = self.settings()?;
        match settings.text_or("/registry_mode", "push")? {
            "push" => Ok(false),
            "ask" => Ok(true),
            other => Err(settings.error("/registry_mode", &format!("is '{other}'; accepted: push, ask"))),
        }
    }

    /// How many co-ordinators there are, this one counted; 1 where nobody says.
    pub fn coordinator_count(&self) -> Result<u32, ConfigError> {
        let settings = self.settings()?;
        Ok(settings.number_or("/balancers", 1.0)?.clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    /// This co-ordinator's zone, by its place, and the names of all; none where the platform says nothing.
    pub fn zones(&self) -> Result<Option<(ZoneId, Vec<String>)>, ConfigError> {
        Ok(self.settings()?.zones()?.map(|zones| (zones.own, zones.names)))
    }

    /// Parts that a connection to a replica carries at once.
    pub fn streams_per_connection(&self) -> Result<usize, ConfigError> {
        Ok(self.settings()?.count_from_1("/allowed/streams_per_conn")? as usize)
    }

    /// Parts that one call carries. Guards against a call that no connection takes: settings may allow larger ones.
    pub fn parts_per_call(&self) -> Result<u32, ConfigError> {
        let a_call = self.settings()?.count_from_1("/domain/parts_a_call")?;
        Ok(a_call.min(self.streams_per_connection()? as u32))
    }

    /// Time for a connection to a replica to come up.
    pub fn connect_timeout(&self) -> Result<Duration, ConfigError> {
        Ok(duration(self.settings()?.span("/allowed/dial_timeout_s")?))
    }

    /// How long a connection to a replica may stand idle: closed before the replica would, earlier by as long as a way
    /// there may take at most, or by half of it. Guards against connections closed as they come up, for ever, where they may
    /// take as long to come up as they may stand idle.
    pub fn idle_timeout(&self) -> Result<Duration, ConfigError> {
        let idle = duration(self.settings()?.span("/allowed/conn_idle_s")?);
        Ok(idle - self.connect_timeout()?.min(idle / 2))
    }
}
