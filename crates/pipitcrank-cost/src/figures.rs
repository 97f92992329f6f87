//! Measured figures by name, and their comparison with a file of earlier figures.

use std::collections::BTreeMap;

/// Fraction by which a figure may grow before the check fails. Figures do not vary between runs, so the
/// margin allows for small intended changes, not for noise.
pub const MARGIN: f64 = 0.05;
/// Absolute growth that is allowed in addition to [`MARGIN`], for small figures.
const ABSOLUTE_MARGIN: f64 = 0.5;
/// Prefix of the names of decision checksums, which must not change at all.
const DECISION_PREFIX: &str = "decisions";
/// Suffix of the names of times in microseconds, which the check ignores.
const TIME_SUFFIX: &str = "us";

/// Figures by name.
pub type Figures = BTreeMap<String, f64>;

/// Returns one line for each figure that has grown beyond the margin, for each changed decision checksum, and
/// for each figure that only one of the two sets contains. Current times are not compared.
pub fn regressions(held: &Figures, current: &Figures) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in current.iter().filter(|(name, _)| !name.ends_with(TIME_SUFFIX)) {
        match held.get(name) {
            None => lines.push(format!("{name} is not held yet: {value}")),
            Some(before) if name.starts_with(DECISION_PREFIX) && before != value => {
                lines.push(format!("{name}: {before} was held, now {value}: the module decides otherwise"));
            }
            Some(before) if *value > before * (1.0 + MARGIN) + ABSOLUTE_MARGIN => {
                lines.push(format!("{name}: {before:.1} was held, now {value:.1}"));
            }
            _ => {}
        }
    }
    let missing = held.keys().filter(|name| !current.contains_key(*name));
    lines.extend(missing.map(|name| format!("{name} is held and not counted any more")));
    lines
}
