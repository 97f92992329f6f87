//! Decoding of buffers that hold exactly one value in postcard encoding.

use serde::de::DeserializeOwned;

/// Reason why a buffer does not hold exactly one value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes can't be decoded as a value of the type.
    #[error("the bytes can't be decoded as a value of the expected type")]
    Malformed,
    /// The buffer holds further bytes after the value.
    #[error("the buffer holds further bytes after the value")]
    TrailingBytes,
}

/// Decodes a value that occupies all of `bytes`.
pub fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Malformed)?;
    if rest.is_empty() { Ok(value) } else { Err(DecodeError::TrailingBytes) }
}
