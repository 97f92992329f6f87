//! Errors that reject a request before it becomes a query.

use axum::http::StatusCode;

/// An invalid request. The error's text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The first segment of the path names no request class.
    #[error("no such vertical")]
    UnknownPath,
    /// The method is not `POST`.
    #[error("queries are posted")]
    Method,
    /// Both framing headers are present. A second request may be smuggled in the body, so neither is accepted.
    #[error("it has both Content-Length and Transfer-Encoding")]
    AmbiguousFraming,
    /// `Req-Id` is missing or repeated.
    #[error("Req-Id is missing, or there are several")]
    MissingId,
    /// `Req-Id` is empty, too long or contains other than printable ASCII characters.
    #[error("Req-Id is no id")]
    Id,
    /// `Req-Key` is not 16 hexadecimal digits.
    #[error("Req-Key is no key")]
    Key,
    /// `Idempotency-Key` is repeated, or can't be sent to replicas unchanged.
    #[error("Idempotency-Key is no key, or there are several")]
    IdempotencyKey,
    /// The request class requires an `Idempotency-Key`.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// `Req-Deadline-Ms` is missing, repeated, not a number or over the limit.
    #[error("Req-Deadline-Ms is not a number of milliseconds")]
    Deadline,
    /// The body was not received in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// The body is too large.
    #[error("the body is too large")]
    BodyTooLarge,
    /// There is no memory for the rest of the body.
    #[error("there is no memory for the body now")]
    BodyMemory,
    /// The body ended before it was complete.
    #[error("the body did not come whole")]
    BodyIncomplete,
    /// Bytes behind the request keep arriving.
    #[error("the bytes behind the request do not end")]
    EndlessTail,
    /// The body is not JSON of the expected form.
    #[error("the body is not the JSON expected")]
    Json,
    /// The query names no shard.
    #[error("it asks for no shard")]
    NoShard,
    /// The query names a shard twice, or one that does not exist.
    #[error("it asks for a shard twice, or for one that there is not")]
    Shards,
    /// The weights do not sum to 1, or one is outside 0 to 1.
    #[error("the weights are not shares that sum to 1")]
    Weights,
    /// A cost is negative or not finite.
    #[error("a cost is below 0")]
    Cost,
    /// A part's key is not 16 hexadecimal digits.
    #[error("a part's key is no key")]
    PartKey,
}

impl RequestError {
    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::Method => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyMemory => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Name of the error in `/counters`.
    pub fn name(self) -> &'static str {
        match self {
            RequestError::UnknownPath => "unknown_path",
            RequestError::Method => "method",
            RequestError::BodyTooLarge => "too_large",
            RequestError::BodyMemory => "no_memory",
            _ => "malformed",
        }
    }
}
