//! Section `gateway`: this site, and the other sites to which queries can be forwarded.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::checks::{check_name, duration, loopback_address};
use crate::error::ConfigError;

/// Largest number of other sites. Each adds a candidate to every cell and a task for each connection.
const MAX_SITES: usize = 16;
/// Largest number of connections to each site.
const MAX_CONNECTIONS: u16 = 8;

/// Configuration of the gateway between sites.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Name of this site.
    pub site: String,
    /// Address for incoming links of other sites.
    pub listen: SocketAddr,
    /// The other sites.
    pub sites: Vec<Site>,
    /// Number of connections kept open to each site.
    pub connections: u16,
    /// Time added to the round-trip time of a remote replica when it is compared with a local replica.
    pub local_preference: Duration,
}

/// Another site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name that the site sends on each link.
    pub name: String,
    /// Address at which the site accepts links.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GatewayForm {
    site: String,
    listen: String,
    sites: Vec<SiteForm>,
    connections: u16,
    prefer_near_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteForm {
    name: String,
    address: String,
}

impl GatewayForm {
    pub(crate) fn checked(self) -> Result<GatewayConfig, ConfigError> {
        check_name("/gateway/site", &self.site)?;
        let sites = checked_sites(&self.site, &self.sites)?;
        if !(1..=MAX_CONNECTIONS).contains(&self.connections) {
            let reason = format!("is {}, not from 1 to {MAX_CONNECTIONS}", self.connections);
            return Err(ConfigError::new("/gateway/connections", reason));
        }
        Ok(GatewayConfig {
            site: self.site,
            listen: loopback_address("/gateway/listen", &self.listen)?,
            sites,
            connections: self.connections,
            local_preference: duration("/gateway/prefer_near_s", self.prefer_near_s, 0.0, 10.0)?,
        })
    }
}

fn checked_sites(own: &str, forms: &[SiteForm]) -> Result<Vec<Site>, ConfigError> {
    let mut sites: Vec<Site> = Vec::new();
    for (n, form) in forms.iter().enumerate() {
        let key = format!("/gateway/sites/{n}/name");
        check_name(&key, &form.name)?;
        if form.name == own || sites.iter().any(|site| site.name == form.name) {
            return Err(ConfigError::new(key, format!("'{}' stands there twice", form.name)));
        }
        let address = loopback_address(&format!("/gateway/sites/{n}/address"), &form.address)?;
        sites.push(Site { name: form.name.clone(), address });
    }
    if sites.len() > MAX_SITES {
        return Err(ConfigError::new("/gateway/sites", format!("are {}, over {MAX_SITES}", sites.len())));
    }
    Ok(sites)
}
