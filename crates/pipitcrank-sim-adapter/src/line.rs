//! One line of the wire: a word and name=value fields, looked up by name.

use std::fmt;
use std::str::FromStr;

/// What is wrong with the input, in plain words.
pub struct Wrong(String);

impl Wrong {
    pub fn new(no: u64, what: &str) -> Wrong {
        Wrong(format!("line {no}: {what}"))
    }
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

pub struct Line<'a> {
    no: u64,
    text: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(no: u64, text: &'a str) -> Line<'a> {
        Line { no, text }
    }

    pub fn word(&self) -> &'a str {
        self.text.split(' ').next().unwrap_or("")
    }

    pub fn wrong(&self, field: &str, what: &str) -> Wrong {
        Wrong::new(self.no, &format!("{}: field '{field}' {what}", self.word()))
    }

    pub fn optional(&self, name: &str) -> Option<&'a str> {
        // A text field takes the rest of the line, so the scan stops at its start.
        const TEXTS: [&str; 2] = ["conf", "body_text"];
        let mut rest = self.text.split_once(' ').map_or("", |(_, r)| r);
        while !rest.is_empty() {
            let (field, after) = rest.split_once(' ').unwrap_or((rest, ""));
            if let Some((key, value)) = field.split_once('=') {
                if TEXTS.contains(&key) {
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

    pub fn field(&self, name: &str) -> Result<&'a str, Wrong> {
        self.optional(name).ok_or_else(|| self.wrong(name, "is missing"))
    }

    pub fn number<T: FromStr>(&self, name: &str) -> Result<T, Wrong> {
        let text = self.field(name)?;
        text.parse().map_err(|_| self.wrong(name, &format!("is '{text}', not a number that fits")))
    }

    pub fn number_or<T: FromStr>(&self, name: &str, absent: T) -> Result<T, Wrong> {
        if self.optional(name).is_some() { self.number(name) } else { Ok(absent) }
    }

    /// A finite fractional number.
    pub fn amount(&self, name: &str) -> Result<f64, Wrong> {
        let value: f64 = self.number(name)?;
        if value.is_finite() { Ok(value) } else { Err(self.wrong(name, "is not finite")) }
    }

    pub fn amount_or(&self, name: &str, absent: f64) -> Result<f64, Wrong> {
        if self.optional(name).is_some() { self.amount(name) } else { Ok(absent) }
    }
}
