//! What the discovery service sends: the complete endpoint list, or changes of it.

use pipitcrank_core::time::Timestamp;
use serde::Deserialize;

use crate::exchange::Endpoint;
use crate::runtime::clock::Clock;

/// A complete endpoint list.
pub struct EndpointList {
    /// Its revision.
    pub revision: u64,
    /// All replicas there are.
    pub endpoints: Vec<Endpoint>,
}

/// A list or changes, as sent. Its name in errors is the one that operators know.
#[derive(Deserialize)]
#[serde(expecting = "struct News")]
pub struct EndpointUpdate {
    /// Revision of the list after this update.
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "all")]
    complete: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: Option<String>,
    #[serde(rename = "pod_group")]
    cell: Option<u32>,
    #[serde(rename = "az", default)]
    zone: Option<String>,
    state: State,
    /// Unix milliseconds; 0 where not known.
    #[serde(rename = "boot_ms", default)]
    started_ms: i64,
}

#[derive(Deserialize, PartialEq, Clone, Copy)]
enum State {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Gone,
}

/// The endpoints of an update.
pub struct Endpoints {
    /// Whether they are all replicas there are.
    pub complete: bool,
    /// The endpoints, in the order sent.
    pub endpoints: Vec<Endpoint>,
}

/// Why an update can't be used. It names the replica.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// An endpoint is no address and port.
    #[error("endpoint '{endpoint}' of {uid}")]
    Address {
        /// What stands there.
        endpoint: String,
        /// The replica.
        uid: String,
    },
    /// A replica that has not left lacks its endpoint or its cell.
    #[error("no endpoint or pod_group of {uid}")]
    Missing {
        /// The replica.
        uid: String,
    },
}

impl EndpointUpdate {
    /// Decodes the endpoints. Start times are placed on `clock`.
    pub fn endpoints(self, clock: &Clock) -> Result<Endpoints, EndpointError> {
        let endpoints = self.targets.into_iter().map(|target| target.into_endpoint(clock));
        Ok(Endpoints { complete: self.complete, endpoints: endpoints.collect::<Result<_, _>>()? })
    }
}

impl Target {
    fn into_endpoint(self, clock: &Clock) -> Result<Endpoint, EndpointError> {
        let Target { uid, endpoint, cell, zone, state, started_ms } = self;
        let address = match endpoint {
            None => None,
            Some(endpoint) => match endpoint.parse() {
                Ok(address) => Some(address),
                Err(_) => return Err(EndpointError::Address { endpoint, uid }),
            },
        };
        if state != State::Gone && (address.is_none() || cell.is_none()) {
            return Err(EndpointError::Missing { uid });
        }
        let started: Option<Timestamp> = (started_ms != 0).then(|| clock.started_at(started_ms));
        Ok(Endpoint { uid, address, cell: cell.unwrap_or(0), zone, up: state == State::Active, started })
    }
}
