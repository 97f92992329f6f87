//! Updates from the discovery service: the complete endpoint list, or changes of it.

use pipitcrank_core::time::Timestamp;
use serde::Deserialize;

use crate::exchange::Endpoint;
use crate::runtime::clock::Clock;

/// A complete endpoint list.
pub struct EndpointList {
    /// Revision of the list.
    pub revision: u64,
    /// All replicas.
    pub endpoints: Vec<Endpoint>,
}

/// A complete list or changes, as sent by the discovery service. The `expecting` text keeps the type name that operators
/// know from error messages.
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
    /// Start time in Unix milliseconds; 0 if unknown.
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
    /// Whether `endpoints` contains all replicas.
    pub complete: bool,
    /// The endpoints, in the order in which they were sent.
    pub endpoints: Vec<Endpoint>,
}

/// Reason for which an update is rejected, with the uid of the replica concerned.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// An endpoint is not an address with a port.
    #[error("endpoint '{endpoint}' of {uid}")]
    Address {
        /// The endpoint as sent.
        endpoint: String,
        /// Uid of the replica.
        uid: String,
    },
    /// A replica that has not left lacks its endpoint or its cell.
    #[error("no endpoint or pod_group of {uid}")]
    Missing {
        /// Uid of the replica.
        uid: String,
    },
}

impl EndpointUpdate {
    /// Decodes the endpoints and converts their start times to the time of `clock`.
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
