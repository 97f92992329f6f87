//! Reads values of a JSON document by key, so that each error names the key.

use serde_json::Value;

use super::error::ConfigError;
use crate::time::TimeSpan;

/// Longest accepted time span in seconds: one day, which is also the limit for the waiting time stated by
/// clients.
const MAX_SPAN_S: f64 = 86_400.0;

/// Reads values of a document, or of one section of it. Keys are JSON pointers. Keys in errors start at the
/// root of the document.
pub struct SettingsReader<'a> {
    values: &'a Value,
    prefix: &'static str,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader for the whole document.
    pub fn new(values: &'a Value) -> SettingsReader<'a> {
        SettingsReader { values, prefix: "" }
    }

    /// Returns a reader for the section under the key.
    pub fn section(&self, prefix: &'static str) -> Result<SettingsReader<'a>, ConfigError> {
        Ok(SettingsReader { values: self.get(prefix, Some, "is missing")?, prefix })
    }

    /// Creates an error for the key.
    pub fn error(&self, key: &str, reason: &str) -> ConfigError {
        ConfigError { key: format!("{}{key}", self.prefix), reason: reason.to_string() }
    }

    /// Returns whether the key is present, with any value.
    pub(super) fn has(&self, key: &str) -> bool {
        self.values.pointer(key).is_some()
    }

    /// Returns whether the key is absent or null.
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

    /// Reads a number.
    pub fn number(&self, key: &str) -> Result<f64, ConfigError> {
        self.get(key, Value::as_f64, "has no number")
    }

    /// Reads a number, or returns `default` if the key is absent or null.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        if self.is_absent(key) { Ok(default) } else { self.number(key) }
    }

    /// Reads a number between `min` and `max`.
    pub(super) fn number_within(&self, key: &str, min: f64, max: f64) -> Result<f64, ConfigError> {
        match self.number(key)? {
            number if (min..=max).contains(&number) => Ok(number),
            number => Err(self.error(key, &format!("is {number}; accepted: {min} to {max}"))),
        }
    }

    /// Reads a number from 0 to `max`, or returns `default` if the key is absent or null.
    pub(super) fn number_up_to_or(&self, key: &str, max: f64, default: f64) -> Result<f64, ConfigError> {
        if self.is_absent(key) { Ok(default) } else { self.number_within(key, 0.0, max) }
    }

    /// Reads a non-negative integer.
    pub fn count(&self, key: &str) -> Result<u32, ConfigError> {
        self.get(key, |v| u32::try_from(v.as_u64()?).ok(), "has no count")
    }

    /// Reads an integer of at least 1.
    pub fn positive_count(&self, key: &str) -> Result<u32, ConfigError> {
        match self.count(key)? {
            0 => Err(self.error(key, "is 0; accepted: 1 and more")),
            count => Ok(count),
        }
    }

    /// Reads a boolean.
    pub fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        self.get(key, Value::as_bool, "has no true or false")
    }

    /// Reads a string.
    pub fn text(&self, key: &str) -> Result<&'a str, ConfigError> {
        self.get(key, Value::as_str, "has no text")
    }

    /// Reads a string, or returns `default` if the key is absent or null.
    pub fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, ConfigError> {
        if self.is_absent(key) { Ok(default) } else { self.text(key) }
    }

    /// Reads a time span in seconds, up to one day. The limit keeps sums of time spans from overflowing.
    pub fn span(&self, key: &str) -> Result<TimeSpan, ConfigError> {
        Ok(TimeSpan::from_secs_f64(self.number_within(key, 0.0, MAX_SPAN_S)?))
    }

    /// Reads a time span in seconds, up to one day, or returns zero if the key is absent or null.
    pub(super) fn span_or_zero(&self, key: &str) -> Result<TimeSpan, ConfigError> {
        Ok(TimeSpan::from_secs_f64(self.number_up_to_or(key, MAX_SPAN_S, 0.0)?))
    }

    /// Reads an array.
    pub fn list(&self, key: &str) -> Result<&'a Vec<Value>, ConfigError> {
        self.get(key, Value::as_array, "has no list")
    }
}
