//! What was observed of one case.

use crate::replica::PeakArrivals;

/// What was observed of one case.
#[derive(Default)]
pub(super) struct CaseReport {
    /// Seconds from the last start to full service.
    pub full: Option<f64>,
    /// Seconds until all members follow the same decision again.
    pub agreed: Option<f64>,
    /// Fraction of the queries of the first ten seconds that got no answer they can use.
    pub errors: f64,
    /// Most that arrived at one replica in a second, before the outage.
    pub before: PeakArrivals,
    /// The same after the restart.
    pub after: PeakArrivals,
    /// Expectations that did not hold.
    pub missing: Vec<String>,
}

impl CaseReport {
    /// Notes that an expectation did not hold.
    pub(super) fn missing(&mut self, what: impl Into<String>) {
        self.missing.push(what.into());
    }
}
