//! Calls to the discovery service over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::{Instant, timeout_at};

use super::json_objects::JsonStreamError;
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::dial::Connector;

/// Maximum length of a list. It has room for about ten thousand replicas in indented JSON and takes a tenth of the
/// smallest memory size of the supported platforms.
pub const MAX_LIST_BYTES: usize = 4 << 20;

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
) -> Result<Bytes, ConnectionEnd> {
    let body = Limited::new(request(client, address, "", deadline).await?, MAX_LIST_BYTES).collect();
    match timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(malformed(JsonStreamError::TooLong)),
        Ok(Err(_)) => Err(ConnectionEnd::Reset),
        Err(_) => Err(ConnectionEnd::Silent),
    }
}

/// Logs a malformed stream and returns the resulting reason for the end of the connection.
pub fn malformed(error: JsonStreamError) -> ConnectionEnd {
    tracing::warn!("discovery sent a malformed list: {error} (limit: {MAX_LIST_BYTES} bytes); ignoring it");
    ConnectionEnd::ProtocolError
}
