//! One line of input: a keyword followed by `name=value` fields, which are looked up by name.

use std::str::FromStr;

use crate::protocol_error::ProtocolError;

/// Fields whose value extends to the end of the line.
const TRAILING_FIELDS: [&str; 2] = ["conf", "body_text"];

/// One line of input.
pub struct Line<'a> {
    number: u64,
    text: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(number: u64, text: &'a str) -> Line<'a> {
        Line { number, text }
    }

    /// Line number, starting at 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// First word of the line, which names the event or the framing command.
    pub fn keyword(&self) -> &'a str {
        self.text.split(' ').next().unwrap_or("")
    }

    /// Creates an error for a field. The message contains the field's name followed by `reason`.
    pub fn error(&self, field: &str, reason: &str) -> ProtocolError {
        ProtocolError::InvalidField {
            line: self.number,
            keyword: self.keyword().to_string(),
            field: field.to_string(),
            reason: reason.to_string(),
        }
    }

    /// Text of a field, or `None` if the line has no such field.
    pub fn optional_field(&self, name: &str) -> Option<&'a str> {
        let mut rest = self.text.split_once(' ').map_or("", |(_, rest)| rest);
        while !rest.is_empty() {
            let (field, after) = rest.split_once(' ').unwrap_or((rest, ""));
            if let Some((key, value)) = field.split_once('=') {
                if TRAILING_FIELDS.contains(&key) {
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

    /// Text of a required field.
    pub fn field(&self, name: &str) -> Result<&'a str, ProtocolError> {
        self.optional_field(name).ok_or_else(|| self.error(name, "is missing"))
    }

    /// Number in a required field.
    pub fn parse<T: FromStr>(&self, name: &str) -> Result<T, ProtocolError> {
        let text = self.field(name)?;
        text.parse().map_err(|_| self.error(name, &format!("is '{text}', expected a number in range")))
    }

    /// Number in a field, or `default` if the line has no such field.
    pub fn parse_or<T: FromStr>(&self, name: &str, default: T) -> Result<T, ProtocolError> {
        if self.optional_field(name).is_some() { self.parse(name) } else { Ok(default) }
    }

    /// Finite floating-point number in a required field.
    pub fn finite(&self, name: &str) -> Result<f64, ProtocolError> {
        let value: f64 = self.parse(name)?;
        if value.is_finite() { Ok(value) } else { Err(self.error(name, "must be a finite number")) }
    }

    /// Finite floating-point number in a field, or `default` if the line has no such field.
    pub fn finite_or(&self, name: &str, default: f64) -> Result<f64, ProtocolError> {
        if self.optional_field(name).is_some() { self.finite(name) } else { Ok(default) }
    }

    /// Finite floating-point number in a field, or `None` if the line has no such field.
    pub fn optional_finite(&self, name: &str) -> Result<Option<f64>, ProtocolError> {
        self.optional_field(name).map(|_| self.finite(name)).transpose()
    }
}
