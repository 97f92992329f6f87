//! Receives the body of a request within the memory budget.

use axum::body::{Body, HttpBody};
use http_body_util::BodyExt;

use super::request_error::RequestError;
use crate::runtime::memory_budget::{MemoryAccount, MemoryBudget, Reservation};

/// Largest accepted body, as specified by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Part of a body that the memory of a connection includes.
const INCLUDED_BODY_BYTES: usize = 4 * 1024;
/// Factor by which the buffer of a body grows, so that it is copied at most twice.
const GROWTH: usize = 4;

/// A body that has been received completely.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// The memory reserved for the body.
    pub reservation: Reservation,
}

/// Receives a body. The pieces are copied, since each would keep the whole buffer that it was read into.
pub async fn read_body(mut body: Body, budget: &MemoryBudget) -> Result<ReceivedBody, RequestError> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLarge);
    }
    let reservation = budget.reserve(MemoryAccount::Requests, 0).ok_or(RequestError::BodyMemory)?;
    let mut received = ReceivedBody { bytes: Vec::new(), reservation };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::BodyIncomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        received.append(&data)?;
    }
    Ok(received)
}

impl ReceivedBody {
    fn append(&mut self, data: &[u8]) -> Result<(), RequestError> {
        let length = self.bytes.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLarge);
        }
        if length > self.bytes.capacity() {
            self.grow(length)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, length: usize) -> Result<(), RequestError> {
        let mut capacity = INCLUDED_BODY_BYTES;
        while capacity < length {
            capacity *= GROWTH;
        }
        // Small bodies are most of all, and need not have the whole of what is included.
        let capacity = if capacity == INCLUDED_BODY_BYTES { length } else { capacity };
        if !self.reservation.resize(capacity.saturating_sub(INCLUDED_BODY_BYTES)) {
            return Err(RequestError::BodyMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

#[cfg(test)]
mod tests;
