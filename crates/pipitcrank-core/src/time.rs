//! Points in time and spans between them, in whole microseconds. Only the sums that mean something compile.

use std::ops::{Add, Mul, Sub};

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct At(i64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Span(i64);

impl At {
    pub fn from_s(s: f64) -> At {
        At((s * 1e6).round() as i64)
    }

    pub const fn from_us(us: i64) -> At {
        At(us)
    }

    pub fn s(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub const fn us(self) -> i64 {
        self.0
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_ms(ms: i64) -> Span {
        Span(ms.saturating_mul(1000))
    }

    pub const fn us(self) -> i64 {
        self.0
    }

    pub fn from_s(s: f64) -> Span {
        Span((s * 1e6).round() as i64)
    }

    pub fn s(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for At {
    type Output = At;
    fn add(self, by: Span) -> At {
        At(self.0.saturating_add(by.0))
    }
}

impl Sub<Span> for At {
    type Output = At;
    fn sub(self, by: Span) -> At {
        At(self.0.saturating_sub(by.0))
    }
}

impl Sub for At {
    type Output = Span;
    fn sub(self, earlier: At) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, less: Span) -> Span {
        Span(self.0.saturating_sub(less.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, more: Span) -> Span {
        Span(self.0.saturating_add(more.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by).round() as i64)
    }
}
