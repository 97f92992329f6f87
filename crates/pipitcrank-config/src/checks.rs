//! Checks shared by several sections.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::ConfigError;

/// Longest name of a site or zone, in bytes. The link between sites has the same limit.
const MAX_NAME_LENGTH: usize = 64;

/// Converts seconds to a duration and checks that they are from `min` to `max`, both included.
pub(crate) fn duration(key: &str, seconds: f64, min: f64, max: f64) -> Result<Duration, ConfigError> {
    if (min..=max).contains(&seconds) {
        return Ok(Duration::from_secs_f64(seconds));
    }
    Err(ConfigError::new(key, format!("is {seconds}, not from {min} to {max} seconds")))
}

pub(crate) fn check_name(key: &str, name: &str) -> Result<(), ConfigError> {
    let valid =
        !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.bytes().all(|b| b.is_ascii_graphic());
    if valid {
        return Ok(());
    }
    Err(ConfigError::new(key, format!("is '{name}', not 1 to {MAX_NAME_LENGTH} visible ASCII characters")))
}

/// Parses an address and port and checks that it is on loopback. Links are not encrypted, so they must not leave the
/// machine.
pub(crate) fn loopback_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    let fault = |reason: &str| ConfigError::new(key, format!("is '{text}', {reason}"));
    let address: SocketAddr = text.parse().map_err(|_| fault("no address and port"))?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(fault("not on loopback, and links are not encrypted yet"))
    }
}
