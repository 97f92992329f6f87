//! The configured zones.

use super::error::ConfigError;
use super::settings_reader::SettingsReader;
use crate::coordinator::zones::ZoneId;

/// Maximum number of zones. Co-ordinators send each other a row and a column for each zone.
pub const MAX_ZONES: usize = 16;

/// The configured zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneNames {
    /// Zone of this co-ordinator.
    pub own: ZoneId,
    /// Names of all zones, in configuration order.
    pub names: Vec<String>,
}

impl SettingsReader<'_> {
    /// Reads the zones, or returns `None` if neither key is present.
    pub fn zones(&self) -> Result<Option<ZoneNames>, ConfigError> {
        if self.is_absent("/zones") && self.is_absent("/zone") {
            return Ok(None);
        }
        let names = self.zone_names()?;
        if self.is_absent("/zone") {
            return Err(self.error("/zone", &format!("is missing; accepted: {}", names.join(", "))));
        }
        let own = self.text("/zone")?;
        match names.iter().position(|name| name == own) {
            Some(index) => Ok(Some(ZoneNames { own: ZoneId(index as u16), names })),
            None => Err(self.error("/zone", &format!("is '{own}', none of its zones: {}", names.join(", ")))),
        }
    }

    fn zone_names(&self) -> Result<Vec<String>, ConfigError> {
        let mut names: Vec<String> = Vec::new();
        for (index, name) in self.list("/zones")?.iter().enumerate() {
            let key = format!("/zones/{index}");
            let name = name.as_str().ok_or_else(|| self.error(&key, "has no text"))?;
            if name.is_empty() || names.iter().any(|known| known == name) {
                return Err(self.error(&key, &format!("is '{name}', empty or named twice")));
            }
            names.push(name.to_string());
        }
        if names.len() > MAX_ZONES {
            return Err(self.error("/zones", &format!("are {}, over {MAX_ZONES}", names.len())));
        }
        Ok(names)
    }
}
