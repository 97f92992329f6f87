//! Configuration of a co-ordinator. Settings are read, validated and given defaults here for all callers.
//!
//! This is the only place where keys of the settings are mapped to names in the code.

mod error;
mod settings_reader;
mod zone_names;

pub use error::ConfigError;
pub use settings_reader::SettingsReader;
pub use zone_names::{MAX_ZONES, ZoneNames};

use crate::coordinator::zones::{ZoneFraction, ZoneRouting};
use crate::coordinator::{
    Coordinator, CoordinatorConfig, RequestClassConfig, RetryBudgetConfig, RetryPolicy, SetCoverConfig,
    SlowStartConfig,
};
use crate::ids::Idempotency;
use crate::rng::Rng;

/// Largest accepted count or factor. Sums of such numbers are exact.
const MAX_NUMBER: f64 = 1e9;

impl SettingsReader<'_> {
    /// Creates a co-ordinator from the settings.
    pub fn coordinator(&self, seed: u64) -> Result<Coordinator, ConfigError> {
        let mut coordinator = Coordinator::new(CoordinatorConfig {
            rng: Rng::new(seed),
            set_cover: self.set_cover()?,
            retry_budget: self.retry_budget()?,
            slow_start: self.slow_start()?,
            retry_policy: self.retry_policy()?,
            watch_endpoints: self.watch_endpoints(),
            tick: self.span("/tick_s")?,
        });
        for index in 0..self.classes()?.len() {
            coordinator.add_request_class(self.request_class(index)?);
        }
        if let Some(ZoneNames { own, .. }) = self.zones()? {
            let fractions = vec![ZoneFraction { zone: own, fraction: 1.0 }];
            coordinator.set_zone_routing(ZoneRouting { fractions, ..ZoneRouting::default() });
        }
        Ok(coordinator)
    }

    /// Returns the names of the request classes, in configuration order.
    pub fn classes(&self) -> Result<Vec<String>, ConfigError> {
        let count = self.list("/classes")?.len();
        (0..count).map(|index| Ok(self.text(&format!("/classes/{index}/name"))?.to_string())).collect()
    }

    /// Returns the idempotency of the request class at the index.
    pub fn idempotency(&self, index: usize) -> Result<Idempotency, ConfigError> {
        let key = format!("/classes/{index}/idempotency");
        match self.text(&key)? {
            "safe" => Ok(Idempotency::Idempotent),
            "keyed" => Ok(Idempotency::IdempotentByKey),
            "unsafe" => Ok(Idempotency::NonIdempotent),
            _ => Err(self.error(&key, "has none of safe, keyed, unsafe")),
        }
    }

    fn set_cover(&self) -> Result<SetCoverConfig, ConfigError> {
        let cells = self.count("/domain/sets")?;
        if cells == 0 {
            return Err(self.error("/domain/sets", "names no cells"));
        }
        Ok(SetCoverConfig {
            cells,
            cells_per_shard: self.positive_count("/domain/span")?,
            call_size: self.positive_count("/domain/parts_a_call")? as usize,
            call_cost: self.span("/domain/call_cost_s")?,
        })
    }

    fn retry_budget(&self) -> Result<RetryBudgetConfig, ConfigError> {
        Ok(RetryBudgetConfig {
            window: self.span_or_zero("/rules/budget_span_s")?,
            fraction: self.number_up_to_or("/rules/repeat_ratio", MAX_NUMBER, 0.0)?,
            free: self.number_up_to_or("/rules/extra_free", MAX_NUMBER, 0.0)?,
        })
    }

    fn slow_start(&self) -> Result<SlowStartConfig, ConfigError> {
        Ok(SlowStartConfig {
            initial_capacity: self.number_within("/rules/cold_from", 0.0, 1.0)?,
            warm_up: self.span("/rules/cold_s")?,
            overload_factor: self.number_within("/rules/overload_factor", 0.0, MAX_NUMBER)?,
            window: self.span("/rules/fall_s")?,
            coordinators: if self.has("/balancers") { self.count("/balancers")? } else { 1 },
        })
    }

    fn retry_policy(&self) -> Result<RetryPolicy, ConfigError> {
        Ok(RetryPolicy {
            max_attempts: self.count("/allowed/try_limit")?,
            may_hedge: self.flag("/allowed/may_duplicate")?,
            may_cancel: self.flag("/allowed/cancel")?,
            may_probe: self.flag("/allowed/probing")?,
            max_retry_after: self
                .flag("/allowed/retry_after")?
                .then(|| self.span("/allowed/max_retry_after_s"))
                .transpose()?,
            // The connect timeout is the longest network delay that the settings state.
            max_network_delay: self.span_or_zero("/allowed/dial_timeout_s")?,
        })
    }

    fn watch_endpoints(&self) -> bool {
        self.text("/registry_mode").is_ok_and(|mode| mode == "ask")
    }

    fn request_class(&self, index: usize) -> Result<RequestClassConfig, ConfigError> {
        let class = |key: &str| format!("/classes/{index}/{key}");
        let domain = |key: &str| format!("/domain/{key}/{index}");
        Ok(RequestClassConfig {
            name: self.text(&class("name"))?.to_string(),
            idempotency: self.idempotency(index)?,
            idempotency_window: self.span_or_zero(&class("dedup_window_s"))?,
            latency_objective: self.span(&class("aim_s"))?,
            objective_stretch: self.number_up_to_or(&class("aim_stretch"), MAX_NUMBER, 0.0)?,
            // Settings of earlier versions do not have `late_worth`.
            late_weight: self.number_up_to_or(&class("late_worth"), 1.0, 1.0)?,
            hard_limit: self.span(&class("hard_limit_s"))?,
            complete_threshold: self.number_within(&domain("complete_from"), 0.0, 1.0)?,
            partial_threshold: self.number_within(&domain("floor_by_class"), 0.0, 1.0)?,
            has_second_step: self.number(&domain("follow_up"))? > 0.0,
        })
    }
}
