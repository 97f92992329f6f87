//! Counts of what is taken in, sent and answered; shown on request and at exit.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};

type Word = Cow<'static, str>;

/// By what is counted and which kind of it: both are words of the code, of this process's or of one before it, so
/// there are only so many.
#[derive(Clone, Default)]
pub struct Counters(Arc<Mutex<BTreeMap<(Word, Word), u64>>>);

impl Counters {
    pub fn add(&self, what: &'static str, which: &'static str) {
        self.add_many(what.into(), which.into(), 1);
    }

    fn add_many(&self, what: Word, which: Word, more: u64) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry((what, which)).or_default() += more;
    }

    pub fn set(&self, what: &'static str, which: &'static str, to: u64) {
        if to > 0 {
            let key = (what.into(), which.into());
            self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(key, to);
        }
    }

    /// All of them, for a process that goes on counting.
    pub fn all(&self) -> Vec<(String, String, u64)> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().map(|((what, which), n)| (what.to_string(), which.to_string(), *n)).collect()
    }

    /// Adds what a process before this one had counted; most lines taken are far more than there are words.
    pub fn add_all(&self, counted: Vec<(String, String, u64)>) {
        for (what, which, n) in counted.into_iter().take(1000).filter(|(what, ..)| what != "upgrades") {
            self.add_many(what.into(), which.into(), n);
        }
    }

    pub fn get(&self, what: &'static str, which: &'static str) -> u64 {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&(what.into(), which.into()))
            .copied()
            .unwrap_or(0)
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
