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

/// Longest list taken, in bytes: some ten thousand replicas, indented, and a tenth of the least memory of a platform.
pub const MAX_LIST: usize = 4 << 20;

/// The HTTP library's client.
pub type HttpClient = Client<Connector, Empty<Bytes>>;

/// A client whose calls have a connection of their own each: a cached one that has died would swallow call after call.
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(Connector)
}

/// Asks for the list with that query string; the answer's head has to come in time.
pub async fn request(
    client: &HttpClient,
    address: &str,
    query: &str,
    deadline: Instant,
) -> Result<Incoming, ConnectionEnd> {
    let uri = format!("http://{address}/discovery/hosts{query}");
    let Ok(request) = Request::get(uri).body(Empty::new()) else { return Err(ConnectionEnd::Refused) };
    match timeout_at(deadline, client.request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => Ok(answer.into_body()),
        Ok(Ok(_)) => Err(ConnectionEnd::ProtocolError),
        Ok(Err(_)) => Err(ConnectionEnd::Refused),
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    }
}

/// Asks for the complete list.
pub async fn complete_list(
    client: &HttpClient,
    address: &str,
    deadline: Instant,
) -> Result<Bytes, ConnectionEnd> {
    let body = Limited::new(request(client, address, "", deadline).await?, MAX_LIST).collect();
    match timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(malformed(JsonStreamError::TooLong)),
        Ok(Err(_)) => Err(ConnectionEnd::Reset),
        Err(_) => Err(ConnectionEnd::Silent),
    }
}

/// Logs what is wrong with the stream; how the connection ends by it.
pub fn malformed(error: JsonStreamError) -> ConnectionEnd {
    tracing::warn!("discovery sent a malformed list: {error} (limit: {MAX_LIST} bytes)");
    ConnectionEnd::ProtocolError
}
