//! Counts of what is taken in, sent and answered; shown on request and at exit.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};

/// By what is counted and which kind of it: both are words of the code, so there are only so many.
#[derive(Clone, Default)]
pub struct Counters(Arc<Mutex<BTreeMap<(&'static str, &'static str), u64>>>);

impl Counters {
    pub fn add(&self, what: &'static str, which: &'static str) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry((what, which)).or_default() += 1;
    }

    pub fn get(&self, what: &'static str, which: &'static str) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&(what, which)).copied().unwrap_or(0)
    }

    /// One line each: `what which count`.
    pub fn show(&self) -> String {
        let mut out = String::new();
        for ((what, which), n) in self.0.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = writeln!(out, "{what} {which} {n}");
        }
        out
    }
}
