//! What a co-ordinator is told at start: read, checked and given defaults here, for every host of the module.
//! A fault names its key.

use std::fmt;

use serde_json::Value;

use crate::coordinator::zones::{ZoneFraction, ZoneId, ZoneRouting};
use crate::coordinator::{
    Coordinator, CoordinatorConfig, RequestClassConfig, RetryBudgetConfig, RetryPolicy, SetCoverConfig,
    SlowStartConfig,
};
use crate::ids::Idempotency;
use crate::rng::Rng;
use crate::time::TimeSpan;

/// A key whose value is missing or not what it has to be, as a JSON pointer.
#[derive(Debug, PartialEq)]
pub struct ConfigError {
    pub key: String,
    pub reason: String,
}

impl std::error::Error for ConfigError {}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.key, self.reason)
    }
}

/// Longest time told: a day, as for what clients may claim to wait.
const LONGEST_S: f64 = 86_400.0;
/// Largest number of calls or multiple told: far beyond any that means something, and sums of it stay exact.
const MOST: f64 = 1e9;

/// Most zones: each has a row and a column in what copies tell each other.
pub const MOST_ZONES: usize = 16;

/// The zones that are configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneNames {
    /// The zone of this co-ordinator.
    pub own: ZoneId,
    /// All zones, in their order.
    pub names: Vec<String>,
}

/// Looks values up by their keys. All keys named in faults begin with where it stands itself.
pub struct SettingsReader<'a> {
    all: &'a Value,
    place: &'static str,
}

impl<'a> SettingsReader<'a> {
    pub fn new(all: &'a Value) -> SettingsReader<'a> {
        SettingsReader { all, place: "" }
    }

    /// What stands under that key.
    pub fn under(&self, place: &'static str) -> Result<SettingsReader<'a>, ConfigError> {
        Ok(SettingsReader { all: self.get(place, Some, "is missing")?, place })
    }

    pub fn error(&self, key: &str, reason: &str) -> ConfigError {
        ConfigError { key: format!("{}{key}", self.place), reason: reason.to_string() }
    }

    fn get<T>(
        &self,
        key: &str,
        read: impl Fn(&'a Value) -> Option<T>,
        reason: &str,
    ) -> Result<T, ConfigError> {
        self.all.pointer(key).and_then(read).ok_or_else(|| self.error(key, reason))
    }

    pub fn number(&self, key: &str) -> Result<f64, ConfigError> {
        self.get(key, Value::as_f64, "has no number")
    }

    pub fn count(&self, key: &str) -> Result<u32, ConfigError> {
        self.get(key, |v| u32::try_from(v.as_u64()?).ok(), "has no count")
    }

    pub fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        self.get(key, Value::as_bool, "has no true or false")
    }

    pub fn text(&self, key: &str) -> Result<&'a str, ConfigError> {
        self.get(key, Value::as_str, "has no text")
    }

    /// Absent or null stands for that; anything else has to be a text.
    pub fn text_or(&self, key: &str, absent: &'a str) -> Result<&'a str, ConfigError> {
        if self.all.pointer(key).is_none_or(Value::is_null) { Ok(absent) } else { self.text(key) }
    }

    /// A time in seconds. Guards against sums that pass what a time can hold.
    pub fn span(&self, key: &str) -> Result<TimeSpan, ConfigError> {
        Ok(TimeSpan::from_secs_f64(self.within(key, 0.0, LONGEST_S)?))
    }

    fn within(&self, key: &str, least: f64, most: f64) -> Result<f64, ConfigError> {
        match self.number(key)? {
            n if (least..=most).contains(&n) => Ok(n),
            n => Err(self.error(key, &format!("is {n}; accepted: {least} to {most}"))),
        }
    }

    /// The same where it may be absent, which stands for that.
    fn within_or(&self, key: &str, absent: f64, least: f64, most: f64) -> Result<f64, ConfigError> {
        if self.all.pointer(key).is_none_or(Value::is_null) {
            Ok(absent)
        } else {
            self.within(key, least, most)
        }
    }

    pub fn count_from_1(&self, key: &str) -> Result<u32, ConfigError> {
        match self.count(key)? {
            0 => Err(self.error(key, "is 0; accepted: 1 and more")),
            count => Ok(count),
        }
    }

    /// Absent or null stands for the default; anything else has to be a number.
    pub fn number_or(&self, key: &str, absent: f64) -> Result<f64, ConfigError> {
        if self.all.pointer(key).is_none_or(Value::is_null) { Ok(absent) } else { self.number(key) }
    }

    pub fn list(&self, key: &str) -> Result<&'a Vec<Value>, ConfigError> {
        self.get(key, Value::as_array, "has no list")
    }

    /// The names of the request classes, in their order.
    pub fn classes(&self) -> Result<Vec<String>, ConfigError> {
        let count = self.list("/classes")?.len();
        (0..count).map(|n| Ok(self.text(&format!("/classes/{n}/name"))?.to_string())).collect()
    }

    /// The zones that there are and which is this co-ordinator's own, by its place among them; none where nothing is
    /// said of zones.
    pub fn zones(&self) -> Result<Option<ZoneNames>, ConfigError> {
        let said = |key: &str| self.all.pointer(key).is_some_and(|v| !v.is_null());
        if !said("/zones") && !said("/zone") {
            return Ok(None);
        }
        let mut names: Vec<String> = Vec::new();
        for (n, name) in self.list("/zones")?.iter().enumerate() {
            let key = format!("/zones/{n}");
            let name = name.as_str().ok_or_else(|| self.error(&key, "has no text"))?;
            if name.is_empty() || names.iter().any(|known| known == name) {
                return Err(self.error(&key, &format!("is '{name}', empty or named twice")));
            }
            names.push(name.to_string());
        }
        if names.len() > MOST_ZONES {
            return Err(self.error("/zones", &format!("are {}, over {MOST_ZONES}", names.len())));
        }
        if !said("/zone") {
            return Err(self.error("/zone", &format!("is missing; accepted: {}", names.join(", "))));
        }
        let own = self.text("/zone")?;
        match names.iter().position(|name| name == own) {
            Some(place) => Ok(Some(ZoneNames { own: ZoneId(place as u16), names })),
            None => Err(self.error("/zone", &format!("is '{own}', none of its zones: {}", names.join(", ")))),
        }
    }

    /// The decision module, made as told.
    pub fn coordinator(&self, seed: u64) -> Result<Coordinator, ConfigError> {
        let cells = self.count("/domain/sets")?;
        if cells == 0 {
            return Err(self.error("/domain/sets", "names no cells"));
        }
        let set_cover = SetCoverConfig {
            cells,
            cells_per_shard: self.count_from_1("/domain/span")?,
            call_size: self.count_from_1("/domain/parts_a_call")? as usize,
            call_cost: self.span("/domain/call_cost_s")?,
        };
        let window = self.within_or("/rules/budget_span_s", 0.0, 0.0, LONGEST_S)?;
        let retry_budget = RetryBudgetConfig {
            fraction: self.within_or("/rules/repeat_ratio", 0.0, 0.0, MOST)?,
            free: self.within_or("/rules/extra_free", 0.0, 0.0, MOST)?,
            window: TimeSpan::from_secs_f64(window),
        };
        let slow_start = SlowStartConfig {
            initial_capacity: self.within("/rules/cold_from", 0.0, 1.0)?,
            warm_up: self.span("/rules/cold_s")?,
            overload_factor: self.within("/rules/overload_factor", 0.0, MOST)?,
            window: self.span("/rules/fall_s")?,
            coordinators: if self.all.pointer("/balancers").is_some() {
                self.count("/balancers")?
            } else {
                1
            },
        };
        let retry_policy = RetryPolicy {
            max_attempts: self.count("/allowed/try_limit")?,
            may_hedge: self.flag("/allowed/may_duplicate")?,
            may_cancel: self.flag("/allowed/cancel")?,
            may_probe: self.flag("/allowed/probing")?,
            max_retry_after: self
                .flag("/allowed/retry_after")?
                .then(|| self.span("/allowed/max_retry_after_s"))
                .transpose()?,
            // The time told for a connection to come up is the longest way that anybody states.
            max_network_delay: TimeSpan::from_secs_f64(self.within_or(
                "/allowed/dial_timeout_s",
                0.0,
                0.0,
                LONGEST_S,
            )?),
        };
        let watch_endpoints = self.all.pointer("/registry_mode").and_then(Value::as_str) == Some("ask");
        let tick = self.span("/tick_s")?;
        let mut coordinator = Coordinator::new(CoordinatorConfig {
            rng: Rng::new(seed),
            set_cover,
            retry_budget,
            slow_start,
            retry_policy,
            watch_endpoints,
            tick,
        });
        for n in 0..self.classes()?.len() {
            coordinator.add_request_class(self.terms(n)?);
        }
        if let Some(ZoneNames { own, .. }) = self.zones()? {
            coordinator.set_zone_routing(ZoneRouting {
                fractions: vec![ZoneFraction { zone: own, fraction: 1.0 }],
                ..ZoneRouting::default()
            });
        }
        Ok(coordinator)
    }

    /// What a second run of a part of that request class would do.
    pub fn idempotency(&self, n: usize) -> Result<Idempotency, ConfigError> {
        let key = format!("/classes/{n}/idempotency");
        match self.text(&key)? {
            "safe" => Ok(Idempotency::Idempotent),
            "keyed" => Ok(Idempotency::IdempotentByKey),
            "unsafe" => Ok(Idempotency::NonIdempotent),
            _ => Err(self.error(&key, "has none of safe, keyed, unsafe")),
        }
    }

    fn terms(&self, n: usize) -> Result<RequestClassConfig, ConfigError> {
        let of = |key: &str| format!("/classes/{n}/{key}");
        let domain = |key: &str| format!("/domain/{key}/{n}");
        Ok(RequestClassConfig {
            name: self.text(&of("name"))?.to_string(),
            idempotency: self.idempotency(n)?,
            idempotency_window: TimeSpan::from_secs_f64(self.within_or(
                &of("dedup_window_s"),
                0.0,
                0.0,
                LONGEST_S,
            )?),
            latency_objective: self.span(&of("aim_s"))?,
            objective_stretch: self.within_or(&of("aim_stretch"), 0.0, 0.0, MOST)?,
            // Absent: some worth is left after the SLO time, as before the key was read.
            late_weight: self.within_or(&of("late_worth"), 1.0, 0.0, 1.0)?,
            hard_limit: self.span(&of("hard_limit_s"))?,
            complete_from: self.within(&domain("complete_from"), 0.0, 1.0)?,
            partial_from: self.within(&domain("floor_by_class"), 0.0, 1.0)?,
            has_second_step: self.number(&domain("follow_up"))? > 0.0,
        })
    }
}
