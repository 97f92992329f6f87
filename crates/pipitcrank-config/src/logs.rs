//! Section `logs`: format and levels of the log.

use serde::Deserialize;

/// Format and levels of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogsConfig {
    /// Whether lines are JSON objects instead of text.
    pub json: bool,
    /// Levels by module, in the filter syntax of `tracing-subscriber`. Empty means `info`.
    pub levels: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LogsForm {
    json: bool,
    levels: String,
}

impl From<LogsForm> for LogsConfig {
    fn from(form: LogsForm) -> LogsConfig {
        LogsConfig { json: form.json, levels: form.levels }
    }
}
