//! Reads values of a JSON document by their keys, so that each error names its key.

use serde_json::Value;

use super::error::ConfigError;
use crate::time::TimeSpan;

/// Longest time accepted, in seconds: a day, as for the time that clients may state to wait.
const MAX_SPAN_S: f64 = 86_400.0;

/// Values of a document, or of the part of it under a key. Keys are JSON pointers; those in errors begin at the root of
/// the document.
pub struct SettingsReader<'a> {
    values: &'a Value,
    prefix: &'static str,
}

impl<'a> SettingsReader<'a> {
    /// Reads the document from its root.
    pub fn new(values: &'a Value) -> SettingsReader<'a> {
        SettingsReader { values, prefix: "" }
    }

    /// Reads what stands under that key.
    pub fn section(&self, prefix: &'static str) -> Result<SettingsReader<'a>, ConfigError> {
        Ok(SettingsReader { values: self.get(prefix, Some, "is missing")?, prefix })
    }

    /// An error of that key.
    pub fn error(&self, key: &str, reason: &str) -> ConfigError {
        ConfigError { key: format!("{}{key}", self.prefix), reason: reason.to_string() }
    }

    /// Whether the key is there, with any value.
    pub(super) fn has(&self, key: &str) -> bool {
        self.values.pointer(key).is_some()
    }

    /// Whether the key is absent or null.
    pub(super) fn is_absent(&self, key: &str) -> bool {
        self.values.pointer(key).is_none_or(Value::is_null)
    }

    fn get<T>(
        &self,
        key: &str,
        read: impl Fn(&'a Value) -> Option<T>,
        reason: &str,
    ) -> Result<T, ConfigError> {
        self.values.pointer(key).and_then(read).ok_or_else(|| self.error(key, reason))
    }

    /// Any number.
    pub fn number(&self, key: &str) -> Result<f64, ConfigError> {
        self.get(key, Value::as_f64, "has no number")
    }

    /// Any number, or `default` if the key is absent or null.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        if self.is_absent(key) { Ok(default) } else { self.number(key) }
    }

    /// A number within bounds.
    pub(super) fn number_within(&self, key: &str, min: f64, max: f64) -> Result<f64, ConfigError> {
        match self.number(key)? {
            number if (min..=max).contains(&number) => Ok(number),
            number => Err(self.error(key, &format!("is {number}; accepted: {min} to {max}"))),
        }
    }

    /// A number from 0 to `max`, or `default` if the key is absent or null.
    pub(super) fn number_up_to_or(&self, key: &str, max: f64, default: f64) -> Result<f64, ConfigError> {
        if self.is_absent(key) { Ok(default) } else { self.number_within(key, 0.0, max) }
    }

    /// A whole number from 0.
    pub fn count(&self, key: &str) -> Result<u32, ConfigError> {
        self.get(key, |v| u32::try_from(v.as_u64()?).ok(), "has no count")
    }

    /// A whole number from 1.
    pub fn positive_count(&self, key: &str) -> Result<u32, ConfigError> {
        match self.count(key)? {
            0 => Err(self.error(key, "is 0; accepted: 1 and more")),
            count => Ok(count),
        }
    }

    /// True or false.
    pub fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        self.get(key, Value::as_bool, "has no true or false")
    }

    /// A text.
    pub fn text(&self, key: &str) -> Result<&'a str, ConfigError> {
        self.get(key, Value::as_str, "has no text")
    }

    /// A text, or `default` if the key is absent or null.
    pub fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, ConfigError> {
        if self.is_absent(key) { Ok(default) } else { self.text(key) }
    }

    /// A time given in seconds, up to a day: sums of such times do not overflow.
    pub fn span(&self, key: &str) -> Result<TimeSpan, ConfigError> {
        Ok(TimeSpan::from_secs_f64(self.number_within(key, 0.0, MAX_SPAN_S)?))
    }

    /// The same, or zero if the key is absent or null.
    pub(super) fn span_or_zero(&self, key: &str) -> Result<TimeSpan, ConfigError> {
        Ok(TimeSpan::from_secs_f64(self.number_up_to_or(key, MAX_SPAN_S, 0.0)?))
    }

    /// A list.
    pub fn list(&self, key: &str) -> Result<&'a Vec<Value>, ConfigError> {
        self.get(key, Value::as_array, "has no list")
    }
}
