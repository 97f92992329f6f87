//! What was observed while one fault was played.

/// What was observed while one fault was played.
#[derive(Default)]
pub(super) struct FaultReport {
    /// Seconds until all members had left the lost zone.
    pub moved: Option<f64>,
    /// Seconds until all zones served again, from the end of the fault.
    pub back: Option<f64>,
    /// The decisions made, where the move took longer than is promised.
    pub late: Option<String>,
    /// Mean service at members that lived, while the fault lasted: utility earned over utility offered.
    pub service: f64,
    /// Expectations that did not hold.
    pub missing: Vec<String>,
}

impl FaultReport {
    /// Notes that an expectation did not hold.
    pub(super) fn missing(&mut self, what: impl Into<String>) {
        self.missing.push(what.into());
    }
}
