//! Calls to the discovery service over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::{Instant, timeout_at};

use super::json_objects::JsonStreamError;
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::dial::Connector;
use crate::runtime::memory_budget::{MemoryAccount, MemoryBudget, Reservation};

/// Client type of the HTTP library, as used for discovery calls.
pub type HttpClient = Client<Connector, Empty<Bytes>>;

/// Creates a client that opens a new connection for each call. A cached connection that has died unnoticed would fail
/// one call after another.
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(Connector)
}

/// Requests the list with the query string `query`. The head of the response must arrive before `deadline`.
pub async fn request(
    client: &HttpClient,
    address: &str,
    query: &str,
    deadline: Instant,
) -> Result<Incoming, ConnectionEnd> {
    let uri = format!("http://{address}/discovery/hosts{query}");
    let Ok(request) = Request::get(uri).body(Empty::new()) else { return Err(ConnectionEnd::Refused) };
    match timeout_at(deadline, client.request(request)).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => Ok(response.into_body()),
        Ok(Ok(_)) => Err(ConnectionEnd::ProtocolError),
        Ok(Err(_)) => Err(ConnectionEnd::Refused),
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    }
}

/// Requests the complete list, which must arrive before `deadline`.
pub async fn complete_list(
    client: &HttpClient,
    address: &str,
    deadline: Instant,
    memory: ListMemory,
) -> Result<Vec<u8>, ConnectionEnd> {
    let body = request(client, address, "", deadline).await?;
    timeout_at(deadline, read_list(body, memory)).await.unwrap_or(Err(ConnectionEnd::Silent))
}

/// Copies the pieces of a list as they arrive, since a piece would keep the buffer that it was read into.
async fn read_list(mut body: Incoming, mut memory: ListMemory) -> Result<Vec<u8>, ConnectionEnd> {
    let mut list = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ConnectionEnd::Reset)?.into_data() else { continue };
        memory.hold(list.len() + data.len())?;
        list.extend_from_slice(&data);
    }
    Ok(list)
}

/// The memory of one list that is being received.
pub struct ListMemory {
    max_bytes: usize,
    reservation: Option<Reservation>,
}

impl ListMemory {
    /// Prepares to receive a list of at most `max_bytes`.
    pub fn new(budget: &MemoryBudget, max_bytes: usize) -> ListMemory {
        ListMemory { max_bytes, reservation: budget.reserve(MemoryAccount::Lists, 0) }
    }

    /// Reserves memory for the `bytes` received so far, in place of what was reserved before.
    pub fn hold(&mut self, bytes: usize) -> Result<(), ConnectionEnd> {
        if bytes > self.max_bytes {
            return Err(malformed(JsonStreamError::TooLong, self.max_bytes));
        }
        if self.reservation.as_mut().is_some_and(|reservation| reservation.resize(bytes)) {
            return Ok(());
        }
        tracing::warn!("no memory for a list of {bytes} bytes while others are received; ending the call");
        Err(ConnectionEnd::OutOfMemory)
    }
}

/// Logs a malformed stream and returns the resulting reason for the end of the connection.
pub fn malformed(error: JsonStreamError, max_bytes: usize) -> ConnectionEnd {
    tracing::warn!("discovery sent a malformed list: {error} (limit: {max_bytes} bytes); ignoring it");
    ConnectionEnd::ProtocolError
}
