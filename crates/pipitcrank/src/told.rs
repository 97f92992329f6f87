//! What a co-ordinator is told at start: read, checked and given defaults here, for every host of the module.
//! A fault names its key.

use std::fmt;

use serde_json::Value;

use crate::chance::Chance;
use crate::decide::zones::{Shares, Zone};
use crate::decide::{Budget, Cover, FailBack, Root, Terms, Tries};
use crate::ids::Effect;
use crate::time::{At, Span};

/// A key whose value is missing or not what it has to be, as a JSON pointer.
#[derive(Debug, PartialEq)]
pub struct Faulty {
    pub key: String,
    pub what: String,
}

impl std::error::Error for Faulty {}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.key, self.what)
    }
}

/// Most zones: each has a row and a column in what copies tell each other.
pub const MOST_ZONES: usize = 16;

/// Looks values up by their keys. All keys named in faults begin with where it stands itself.
pub struct Told<'a> {
    all: &'a Value,
    place: &'static str,
}

impl<'a> Told<'a> {
    pub fn new(all: &'a Value) -> Told<'a> {
        Told { all, place: "" }
    }

    /// What stands under that key.
    pub fn under(&self, place: &'static str) -> Result<Told<'a>, Faulty> {
        Ok(Told { all: self.get(place, Some, "is missing")?, place })
    }

    pub fn faulty(&self, key: &str, what: &str) -> Faulty {
        Faulty { key: format!("{}{key}", self.place), what: what.to_string() }
    }

    fn get<T>(&self, key: &str, read: impl Fn(&'a Value) -> Option<T>, what: &str) -> Result<T, Faulty> {
        self.all.pointer(key).and_then(read).ok_or_else(|| self.faulty(key, what))
    }

    pub fn number(&self, key: &str) -> Result<f64, Faulty> {
        self.get(key, Value::as_f64, "has no number")
    }

    pub fn count(&self, key: &str) -> Result<u32, Faulty> {
        self.get(key, |v| u32::try_from(v.as_u64()?).ok(), "has no count")
    }

    pub fn flag(&self, key: &str) -> Result<bool, Faulty> {
        self.get(key, Value::as_bool, "has no true or false")
    }

    pub fn text(&self, key: &str) -> Result<&'a str, Faulty> {
        self.get(key, Value::as_str, "has no text")
    }

    /// A time in seconds, not below 0.
    pub fn span(&self, key: &str) -> Result<Span, Faulty> {
        match self.number(key)? {
            s if s >= 0.0 => Ok(Span::from_s(s)),
            _ => Err(self.faulty(key, "is a time below 0")),
        }
    }

    /// Absent or null stands for the default; anything else has to be a number.
    pub fn number_or(&self, key: &str, absent: f64) -> Result<f64, Faulty> {
        if self.all.pointer(key).is_none_or(Value::is_null) { Ok(absent) } else { self.number(key) }
    }

    pub fn list(&self, key: &str) -> Result<&'a Vec<Value>, Faulty> {
        self.get(key, Value::as_array, "has no list")
    }

    /// The names of the verticals, in their order.
    pub fn verticals(&self) -> Result<Vec<String>, Faulty> {
        let count = self.list("/classes")?.len();
        (0..count).map(|n| Ok(self.text(&format!("/classes/{n}/name"))?.to_string())).collect()
    }

    /// The zones that there are and which is this co-ordinator's own, by its place among them; none where nothing is
    /// said of zones.
    pub fn zones(&self) -> Result<Option<(Zone, Vec<String>)>, Faulty> {
        let said = |key: &str| self.all.pointer(key).is_some_and(|v| !v.is_null());
        if !said("/zones") && !said("/zone") {
            return Ok(None);
        }
        let mut names: Vec<String> = Vec::new();
        for (n, name) in self.list("/zones")?.iter().enumerate() {
            let key = format!("/zones/{n}");
            let name = name.as_str().ok_or_else(|| self.faulty(&key, "has no text"))?;
            if name.is_empty() || names.iter().any(|known| known == name) {
                return Err(self.faulty(&key, &format!("is '{name}', empty or named twice")));
            }
            names.push(name.to_string());
        }
        if names.len() > MOST_ZONES {
            return Err(self.faulty("/zones", &format!("are {}, over {MOST_ZONES}", names.len())));
        }
        if !said("/zone") {
            return Err(self.faulty("/zone", &format!("is missing; accepted: {}", names.join(", "))));
        }
        let own = self.text("/zone")?;
        match names.iter().position(|name| name == own) {
            Some(place) => Ok(Some((Zone(place as u16), names))),
            None => {
                Err(self.faulty("/zone", &format!("is '{own}', none of its zones: {}", names.join(", "))))
            }
        }
    }

    /// The decision module, made as told.
    pub fn root(&self, seed: u64) -> Result<Root, Faulty> {
        let cells = self.count("/domain/sets")?;
        if cells == 0 {
            return Err(self.faulty("/domain/sets", "names no cells"));
        }
        let cover = Cover::new(
            cells,
            self.count("/domain/span")?,
            self.count("/domain/parts_a_call")? as usize,
            self.span("/domain/call_cost_s")?,
        );
        let window = self.number_or("/rules/budget_span_s", 0.0)?;
        let budget = Budget::new(
            self.number_or("/rules/repeat_ratio", 0.0)?,
            self.number_or("/rules/extra_free", 0.0)?,
            (window > 0.0).then(|| Span::from_s(window)),
        );
        let fail_back = FailBack {
            cold_from: self.number("/rules/cold_from")?,
            cold: self.span("/rules/cold_s")?,
            factor: self.number("/rules/overload_factor")?,
            window: self.span("/rules/fall_s")?,
            shut: At::from_us(i64::MIN),
            among: if self.all.pointer("/balancers").is_some() { self.count("/balancers")? } else { 1 },
        };
        let tries = Tries {
            limit: self.count("/allowed/try_limit")?,
            may_duplicate: self.flag("/allowed/may_duplicate")?,
            may_abandon: self.flag("/allowed/cancel")?,
            may_probe: self.flag("/allowed/probing")?,
            longest_stay_away: self
                .flag("/allowed/retry_after")?
                .then(|| self.span("/allowed/max_retry_after_s"))
                .transpose()?,
        };
        let asks_list = self.all.pointer("/registry_mode").and_then(Value::as_str) == Some("ask");
        let tick = self.span("/tick_s")?;
        let mut root = Root::new(Chance::new(seed), cover, budget, fail_back, tries, asks_list, tick);
        for n in 0..self.verticals()?.len() {
            root.vertical(self.terms(n)?);
        }
        if let Some((own, _)) = self.zones()? {
            root.set_shares(Shares { of: vec![(own, 1.0)], ..Shares::default() });
        }
        Ok(root)
    }

    fn terms(&self, n: usize) -> Result<Terms, Faulty> {
        let of = |key: &str| format!("/classes/{n}/{key}");
        let domain = |key: &str| format!("/domain/{key}/{n}");
        Ok(Terms {
            name: self.text(&of("name"))?.to_string(),
            effect: match self.text(&of("idempotency"))? {
                "safe" => Effect::Repeatable,
                "keyed" => Effect::Deduplicated,
                "unsafe" => Effect::SideEffecting,
                _ => return Err(self.faulty(&of("idempotency"), "has none of safe, keyed, unsafe")),
            },
            dedup_window: Span::from_s(self.number_or(&of("dedup_window_s"), 0.0)?),
            slo: self.span(&of("aim_s"))?,
            slo_stretch: self.number_or(&of("aim_stretch"), 0.0)?,
            // Absent: some worth is left after the SLO time, as before the key was read.
            late_worth: match self.number_or(&of("late_worth"), 1.0)? {
                share if (0.0..=1.0).contains(&share) => share,
                _ => return Err(self.faulty(&of("late_worth"), "is no share from 0 to 1")),
            },
            hard_limit: self.span(&of("hard_limit_s"))?,
            whole_from: self.number(&domain("complete_from"))?,
            floor: self.number(&domain("floor_by_class"))?,
            second_step: self.number(&domain("follow_up"))? > 0.0,
        })
    }
}
