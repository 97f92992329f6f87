//! Lingering close: sends the last response of a connection and leaves the client time to read it. Closing a socket with unread
//! bytes sends a reset, which makes the client lose the response.

use std::time::Duration;

use pipitcrank_core::time::TimeSpan;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::runtime::stream::{Expects, Stream};

/// Longest time for which input is read and discarded before the close.
const MAX_TIME: Duration = Duration::from_secs(5);
/// Most bytes discarded before the close; enough for the largest bodies that clients are known to send.
const MAX_BYTES: usize = 64 << 20;
/// Longest gap between two reads before the close.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Pause between two reads, which leaves CPU time to other clients.
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Time for a client to read its last response while other clients wait for its permit.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time to wait for the request of a client without a permit.
const REJECTED_REQUEST_WAIT: Duration = Duration::from_millis(50);
/// Most bytes read of the request of a client without a permit.
const REJECTED_REQUEST_BYTES: usize = 16 * 1024;

/// Response to a request that was not received completely in time.
pub(super) const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Response to a client for which there is no permit or no memory.
pub(super) fn service_unavailable(retry_after: Option<TimeSpan>) -> Vec<u8> {
    let retry_after =
        retry_after.map_or(String::new(), |span| format!("retry-after: {:.3}\r\n", span.as_secs_f64()));
    let head = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n";
    format!("{head}{retry_after}\r\n").into_bytes()
}

/// Sends a 503 response to a client without a permit, so that its connection is not reset.
pub(super) async fn reject(stream: TcpStream, retry_after: Option<TimeSpan>) {
    let (stream, mut request) = (Stream::new(stream), Vec::with_capacity(REJECTED_REQUEST_BYTES));
    let _ = timeout(REJECTED_REQUEST_WAIT, stream.read_some(&mut request, Expects::More)).await;
    send_last(&stream, &service_unavailable(retry_after)).await;
}

/// Sends the last response of a connection, and lingers for up to `LAST_ANSWER_TIMEOUT` in all.
pub(super) async fn send_last(stream: &Stream, answer: &[u8]) {
    let sent = async {
        if stream.write_all(answer).await.is_ok() {
            linger(stream).await;
        }
    };
    let _ = timeout(LAST_ANSWER_TIMEOUT, sent).await;
}

/// Shuts down the sending side, then reads and discards input until the client closes or a limit is reached.
pub(super) async fn linger(stream: &Stream) {
    if stream.shut_down().is_err() {
        return;
    }
    let until = Instant::now() + MAX_TIME;
    let mut left = MAX_BYTES;
    while left > 0 && Instant::now() < until {
        match timeout(MAX_SILENCE, stream.discard_some()).await {
            Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}
