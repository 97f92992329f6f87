//! One line of the wire: a word and name=value fields, looked up by name.

use std::str::FromStr;

use crate::protocol_error::ProtocolError;

/// Fields that take the rest of the line.
const TEXT_FIELDS: [&str; 2] = ["conf", "body_text"];

/// One line of the wire.
pub struct Line<'a> {
    number: u64,
    text: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(number: u64, text: &'a str) -> Line<'a> {
        Line { number, text }
    }

    /// Its number, counted from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The word that it begins with.
    pub fn word(&self) -> &'a str {
        self.text.split(' ').next().unwrap_or("")
    }

    /// An error of that field.
    pub fn error(&self, field: &str, reason: &str) -> ProtocolError {
        ProtocolError::Field {
            line: self.number,
            word: self.word().to_string(),
            field: field.to_string(),
            reason: reason.to_string(),
        }
    }

    /// The field's text, where it is there.
    pub fn optional(&self, name: &str) -> Option<&'a str> {
        let mut rest = self.text.split_once(' ').map_or("", |(_, rest)| rest);
        while !rest.is_empty() {
            let (field, after) = rest.split_once(' ').unwrap_or((rest, ""));
            if let Some((key, value)) = field.split_once('=') {
                if TEXT_FIELDS.contains(&key) {
                    return (key == name).then(|| &rest[key.len() + 1..]);
                }
                if key == name {
                    return Some(value);
                }
            }
            rest = after;
        }
        None
    }

    /// The field's text.
    pub fn field(&self, name: &str) -> Result<&'a str, ProtocolError> {
        self.optional(name).ok_or_else(|| self.error(name, "is missing"))
    }

    /// Any number.
    pub fn number_in<T: FromStr>(&self, name: &str) -> Result<T, ProtocolError> {
        let text = self.field(name)?;
        text.parse().map_err(|_| self.error(name, &format!("is '{text}', not a number that fits")))
    }

    /// The same, or `default` if the field is not there.
    pub fn number_in_or<T: FromStr>(&self, name: &str, default: T) -> Result<T, ProtocolError> {
        if self.optional(name).is_some() { self.number_in(name) } else { Ok(default) }
    }

    /// A finite fractional number.
    pub fn amount(&self, name: &str) -> Result<f64, ProtocolError> {
        let value: f64 = self.number_in(name)?;
        if value.is_finite() { Ok(value) } else { Err(self.error(name, "is not finite")) }
    }

    /// The same, or `default` if the field is not there.
    pub fn amount_or(&self, name: &str, default: f64) -> Result<f64, ProtocolError> {
        if self.optional(name).is_some() { self.amount(name) } else { Ok(default) }
    }

    /// The same, where the field is there.
    pub fn optional_amount(&self, name: &str) -> Result<Option<f64>, ProtocolError> {
        self.optional(name).map(|_| self.amount(name)).transpose()
    }
}
