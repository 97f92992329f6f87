//! Opens connections to replicas and, through the HTTP library, to the discovery service.
//!
//! A failure caused by a shortage of local resources does not count against the peer: the attempt is retried for as long as the
//! caller waits.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Uri;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::runtime::stream::Stream;
use crate::runtime::system_errors::retry_open;

const HTTP_PORT: u16 = 80;

/// Opens a connection to `address`.
pub async fn dial(address: SocketAddr) -> io::Result<Stream> {
    Ok(Stream::new(retry_open(|| TcpStream::connect(address)).await?))
}

/// The connector of the HTTP library's client.
#[derive(Clone, Copy, Default)]
pub struct Connector;

type DialFuture = Pin<Box<dyn Future<Output = io::Result<TokioIo<Stream>>> + Send>>;

impl Service<Uri> for Connector {
    type Response = TokioIo<Stream>;
    type Error = io::Error;
    type Future = DialFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, to: Uri) -> DialFuture {
        Box::pin(async move {
            let authority = to.authority().ok_or(io::ErrorKind::InvalidInput)?;
            let (host, port) = (authority.host(), authority.port_u16().unwrap_or(HTTP_PORT));
            let host = host.trim_start_matches('[').trim_end_matches(']').to_string();
            let stream = retry_open(|| TcpStream::connect((host.clone(), port))).await?;
            Ok(TokioIo::new(Stream::new(stream)))
        })
    }
}
