//! Results of one fault of the zones trial.

/// Results of one fault.
#[derive(Default)]
pub(super) struct FaultReport {
    /// Seconds until no member routed to the lost zone.
    pub moved: Option<f64>,
    /// Seconds from the end of the fault until all zones served again.
    pub recovered: Option<f64>,
    /// Summary of the decisions, if moving routing off the zone took longer than the required limit.
    pub late: Option<String>,
    /// Mean service of the members that the fault does not affect: utility earned divided by utility offered.
    pub service: f64,
    /// Expectations that were not met.
    pub failures: Vec<String>,
}

impl FaultReport {
    /// Records an expectation that was not met.
    pub(super) fn fail(&mut self, what: impl Into<String>) {
        self.failures.push(what.into());
    }
}
