//! Decoding of values in postcard's form that take up a whole buffer.

use serde::de::DeserializeOwned;

/// Why a buffer is not the form of exactly one value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are no value of the type.
    #[error("malformed value")]
    Malformed,
    /// Bytes follow the value.
    #[error("bytes follow the value")]
    TrailingBytes,
}

/// Decodes one value that takes up all of `bytes`.
pub fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Malformed)?;
    if rest.is_empty() { Ok(value) } else { Err(DecodeError::TrailingBytes) }
}
