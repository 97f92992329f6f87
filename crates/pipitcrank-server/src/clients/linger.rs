//! The last answer of a connection, and the time that the client is left to read it: a close with unread bytes would be a
//! reset, which takes the answer from the client.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::runtime::stream::{Expects, Stream};

/// For so long at most, what a client still sends is read and discarded ...
const MAX_TIME: Duration = Duration::from_secs(5);
/// ... and so many bytes, which is enough for the largest bodies that clients are known to send ...
const MAX_BYTES: usize = 64 << 20;
/// ... while it pauses for no longer than this.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Bytes read in one go.
const PIECE: usize = 64 * 1024;
/// Pause between two pieces: other clients need the processor as well.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Time for a client to read an answer of which others wait for the permit.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long the request of a client without a permit is waited for.
const REJECTED_REQUEST_WAIT: Duration = Duration::from_millis(50);
/// Bytes of that request that are read.
const REJECTED_REQUEST_BYTES: usize = 16 * 1024;

/// Answer to a request that did not come whole in time.
pub(super) const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Answer to a client that waited in the accept queue at shutdown, when there was no permit.
const NO_CAPACITY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Answers a client for which there is no permit, so that its connection is not reset.
pub(super) async fn reject(stream: TcpStream) {
    let (stream, mut request) = (Stream::new(stream), Vec::with_capacity(REJECTED_REQUEST_BYTES));
    let _ = timeout(REJECTED_REQUEST_WAIT, stream.read_some(&mut request, Expects::More)).await;
    send_last(&stream, NO_CAPACITY).await;
}

/// Sends that answer, and lets the client read it for a while.
pub(super) async fn send_last(stream: &Stream, answer: &[u8]) {
    let sent = async {
        if stream.write_all(answer).await.is_ok() {
            linger(stream).await;
        }
    };
    let _ = timeout(LAST_ANSWER_TIMEOUT, sent).await;
}

/// Closes this side's direction, and reads until the client has closed its own.
pub(super) async fn linger(stream: &Stream) {
    if stream.shut_down().is_err() {
        return;
    }
    let until = Instant::now() + MAX_TIME;
    let (mut piece, mut left) = (Vec::with_capacity(PIECE), MAX_BYTES);
    while left > 0 && Instant::now() < until {
        piece.clear();
        match timeout(MAX_SILENCE, stream.read_some(&mut piece, Expects::More)).await {
            Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
        tokio::time::sleep(PIECE_PAUSE).await;
    }
}
