//! Event counters, served at `/counters` and logged at exit.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::runtime::counter_names::group;
use pipitcrank_handover::messages::CounterValue;

/// Limit of the counters merged from another process; far above the number of counters that exist.
const MAX_MERGED: usize = 1000;
/// Group and name. Both are constants of this process or of its predecessor, so the number of keys is bounded.
type Key = (Cow<'static, str>, Cow<'static, str>);

/// Counters by group and name; clones share the same values.
#[derive(Clone, Default)]
pub struct Counters(Arc<Mutex<BTreeMap<Key, u64>>>);

impl Counters {
    /// Increments a counter by 1.
    pub fn add(&self, group: &'static str, name: &'static str) {
        self.add_to(group.into(), name.into(), 1);
    }

    /// Increases a counter; the value 0 is ignored.
    pub fn add_many(&self, group: &'static str, name: &'static str, count: u64) {
        if count > 0 {
            self.add_to(group.into(), name.into(), count);
        }
    }

    fn add_to(&self, group: Cow<'static, str>, name: Cow<'static, str>, count: u64) {
        *self.entries().entry((group, name)).or_default() += count;
    }

    /// Sets a counter; it appears with its first value other than 0.
    pub fn set(&self, group: &'static str, name: &'static str, value: u64) {
        let (mut entries, key) = (self.entries(), (group.into(), name.into()));
        if value > 0 || entries.contains_key(&key) {
            entries.insert(key, value);
        }
    }

    /// All counters, to be passed to a successor.
    pub fn all(&self) -> Vec<CounterValue> {
        let entries = self.entries();
        let values = entries.iter().map(|((group, name), value)| CounterValue {
            group: group.to_string(),
            name: name.to_string(),
            value: *value,
        });
        values.collect()
    }

    /// Adds the counters of a predecessor, except those of upgrades.
    pub fn add_all(&self, values: Vec<CounterValue>) {
        for CounterValue { group, name, value } in
            values.into_iter().take(MAX_MERGED).filter(|counter| counter.group != group::UPGRADES)
        {
            self.add_to(group.into(), name.into(), value);
        }
    }

    /// The value of one counter.
    pub fn get(&self, group: &'static str, name: &'static str) -> u64 {
        self.entries().get(&(group.into(), name.into())).copied().unwrap_or(0)
    }

    /// The counters as text, one line each: `GROUP NAME VALUE`.
    pub fn render(&self) -> String {
        let mut out = String::new();
        for ((group, name), value) in self.entries().iter() {
            let _ = writeln!(out, "{group} {name} {value}");
        }
        out
    }

    /// The counters of one group as text, separated by commas.
    pub fn render_group(&self, group: &str) -> String {
        let entries = self.entries();
        let of_group = entries.iter().filter(|((other, _), _)| other == group);
        of_group.map(|((_, name), value)| format!("{name}={value}")).collect::<Vec<_>>().join(",")
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<Key, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
