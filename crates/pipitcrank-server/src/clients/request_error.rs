//! Why a request is refused before it becomes a query.

use axum::http::StatusCode;

/// A fault of a request. Its text is the body of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The path names no request class.
    #[error("no such vertical")]
    UnknownPath,
    /// It is not a POST.
    #[error("queries are posted")]
    Method,
    /// A request may be hidden in the body of another: neither is taken.
    #[error("it has both Content-Length and Transfer-Encoding")]
    AmbiguousFraming,
    /// `Req-Id` is not there once.
    #[error("Req-Id is missing, or there are several")]
    MissingId,
    /// `Req-Id` is empty, too long or not printable.
    #[error("Req-Id is no id")]
    Id,
    /// `Req-Key` is not 16 hexadecimal digits.
    #[error("Req-Key is no key")]
    Key,
    /// `Idempotency-Key` can't be sent to replicas as it is.
    #[error("Idempotency-Key is no key, or there are several")]
    IdempotencyKey,
    /// The request class needs an `Idempotency-Key`.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// `Req-Deadline-Ms` is not a number within the limit.
    #[error("Req-Deadline-Ms is not a number of milliseconds")]
    Deadline,
    /// The body did not come in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// The body is too large.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body ended before it was whole.
    #[error("the body did not come whole")]
    BodyIncomplete,
    /// The body is not the JSON of the protocol.
    #[error("the body is not the JSON expected")]
    Json,
    /// It names no shard.
    #[error("it asks for no shard")]
    NoShard,
    /// It names a shard twice, or one beyond the last.
    #[error("it asks for a shard twice, or for one that there is not")]
    Shards,
    /// The weights do not sum to 1, or one is not within 0 to 1.
    #[error("the weights are not shares that sum to 1")]
    Weights,
    /// A cost is negative or not a number.
    #[error("a cost is below 0")]
    Cost,
    /// A part's key is not 16 hexadecimal digits.
    #[error("a part's key is no key")]
    PartKey,
}

impl RequestError {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::Method => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Its name in `/counters`.
    pub fn name(self) -> &'static str {
        match self {
            RequestError::UnknownPath => "unknown_path",
            RequestError::Method => "method",
            RequestError::BodyTooLarge => "too_large",
            _ => "malformed",
        }
    }
}
