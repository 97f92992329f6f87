//! Opens connections: to replicas and, for the HTTP library, to discovery. A failure for want of this machine's own means
//! is not the other side's, and is tried again for as long as the caller waits.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Uri;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::runtime::stream::Stream;
use crate::runtime::system_errors::retried;

pub async fn dial(address: SocketAddr) -> io::Result<Stream> {
    Ok(Stream::new(retried(|| TcpStream::connect(address)).await?))
}

/// For the HTTP library's client: opens a connection to whom an address names.
#[derive(Clone, Copy, Default)]
pub struct Connector;

type Dialling = Pin<Box<dyn Future<Output = io::Result<TokioIo<Stream>>> + Send>>;

impl Service<Uri> for Connector {
    type Response = TokioIo<Stream>;
    type Error = io::Error;
    type Future = Dialling;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, to: Uri) -> Dialling {
        Box::pin(async move {
            let authority = to.authority().ok_or(io::ErrorKind::InvalidInput)?;
            let (host, port) = (authority.host(), authority.port_u16().unwrap_or(80));
            let host = host.trim_start_matches('[').trim_end_matches(']').to_string();
            let stream = retried(|| TcpStream::connect((host.clone(), port))).await?;
            Ok(TokioIo::new(Stream::new(stream)))
        })
    }
}
