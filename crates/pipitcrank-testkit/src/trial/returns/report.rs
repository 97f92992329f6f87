//! Results of one case of the return trial.

use crate::replica::PeakArrivals;

/// Results of one case.
#[derive(Default)]
pub(super) struct CaseReport {
    /// Seconds from the last start to full service.
    pub full: Option<f64>,
    /// Seconds from the last start until all members follow the same decision.
    pub agreed: Option<f64>,
    /// Fraction of the queries of the first ten seconds that got no usable answer.
    pub errors: f64,
    /// Peak arrivals at one replica in a second before the outage.
    pub before: PeakArrivals,
    /// Peak arrivals at one replica in a second after the restart.
    pub after: PeakArrivals,
    /// Expectations that were not met.
    pub failures: Vec<String>,
}

impl CaseReport {
    /// Records an expectation that was not met.
    pub(super) fn fail(&mut self, what: impl Into<String>) {
        self.failures.push(what.into());
    }
}
