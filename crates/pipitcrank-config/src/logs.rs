//! Section `logs`: form and levels of the log.

use serde::Deserialize;

/// Form and levels of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogsConfig {
    /// One JSON object a line in place of text.
    pub json: bool,
    /// Levels by module, as `tracing-subscriber` has them; empty is `info`.
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
