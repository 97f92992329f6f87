//! Figures by name, and their comparison with those held.

use std::collections::BTreeMap;

/// Fraction by which a figure may grow before the check fails: figures do not vary from run to run, so this is for small
/// changes on purpose, not for noise.
pub const MARGIN: f64 = 0.05;
/// Absolute growth that never fails the check, for figures that are small.
const ABSOLUTE_MARGIN: f64 = 0.5;
/// Prefix of checksums of decisions, which must not change at all.
const DECISIONS: &str = "decisions";
/// Suffix of times in microseconds, which are never judged.
const MICROSECONDS: &str = "us";

/// Values by name.
pub type Figures = BTreeMap<String, f64>;

/// Lines that name what is worse than held, or not the same where it has to be.
pub fn regressions(held: &Figures, now: &Figures) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in now.iter().filter(|(name, _)| !name.ends_with(MICROSECONDS)) {
        match held.get(name) {
            None => lines.push(format!("{name} is not held yet: {value}")),
            Some(before) if name.starts_with(DECISIONS) && before != value => {
                lines.push(format!("{name}: {before} was held, now {value}: the module decides otherwise"));
            }
            Some(before) if *value > before * (1.0 + MARGIN) + ABSOLUTE_MARGIN => {
                lines.push(format!("{name}: {before:.1} was held, now {value:.1}"));
            }
            _ => {}
        }
    }
    let gone = held.keys().filter(|name| !now.contains_key(*name));
    lines.extend(gone.map(|name| format!("{name} is held and not counted any more")));
    lines
}
