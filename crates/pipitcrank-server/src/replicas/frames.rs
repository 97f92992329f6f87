//! Frames between co-ordinators and replicas. A frame is a length of four bytes in big-endian order, a type byte (a
//! letter) and a body. The length covers the type byte and the body.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;

use super::connection_end::outcome_from_wire;

/// Maximum length of a frame from a replica, which is the protocol's limit for any message body.
pub(super) const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Size of a frame's length and type byte.
const HEADER_BYTES: usize = 5;

const CALL: u8 = b'Q';
const CANCEL: u8 = b'X';
const ANSWER: u8 = b'A';
const PING: u8 = b'P';
const LOAD: u8 = b'L';
const ERROR: u8 = b'E';

/// One part of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    /// The part's id.
    pub id: Rc<str>,
    /// Number of the shard that answers the part.
    pub shard: u32,
    /// Time until the attempt's deadline.
    pub time_left: TimeSpan,
    /// The client's idempotency key, by which replicas detect a repeated request.
    pub idempotency_key: Option<Arc<str>>,
    /// Query text.
    pub text: Arc<str>,
}

/// The values of a replica's load report that the `Coordinator` uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of parts queued at the replica.
    pub queued: Option<f64>,
    /// Number of parts that the replica is processing.
    pub in_flight: Option<f64>,
}

/// A frame from a replica.
#[derive(Debug, PartialEq)]
pub enum ReplicaFrame {
    /// The answer to one part.
    Answer {
        /// The part's id.
        id: String,
        /// Outcome of the part.
        outcome: AttemptOutcome,
        /// Load report, if the replica sent one.
        report: Option<LoadReport>,
        /// Value of the part; empty unless the part succeeded.
        value: String,
    },
    /// The answer to a ping.
    Pong(AttemptOutcome),
    /// The answer to a load probe.
    Load(AttemptOutcome, Option<LoadReport>),
    /// The replica rejected a frame, for the reason in this text.
    Error(String),
}

/// Reason for which a frame cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is 0 or exceeds the limit.
    #[error("expected a frame length from 1 to {MAX_FRAME_BYTES} bytes, got a length outside this range")]
    InvalidLength,
    /// The body is not UTF-8.
    #[error("expected a frame body in UTF-8, got bytes that are not valid UTF-8")]
    InvalidUtf8,
    /// The type byte is not that of a replica's frame.
    #[error("expected frame type A, P, L or E, got another type byte")]
    UnknownType,
    /// The status of a pong is neither `ok` nor `err`.
    #[error("expected status ok or err in a pong, got another status")]
    InvalidPong,
    /// The first line of an answer does not end or does not consist of four words.
    #[error(
        "expected a first line of four words in an answer, got an unterminated line or another number of words"
    )]
    InvalidAnswerLine,
    /// The outcome of an answer is not one of the protocol's.
    #[error("expected outcome ok, err or busy in an answer, got another outcome")]
    UnknownOutcome,
    /// The id of an answer is empty, or its score is not a finite number.
    #[error("expected a part id and a finite score in an answer, got an empty id or an invalid score")]
    InvalidAnswerFields,
    /// The value of a successful answer is empty or contains a zero byte, as the header of another frame does.
    #[error("expected a value without zero bytes in a successful answer, got an empty value or a zero byte")]
    InvalidAnswerValue,
}

fn frame(frame_type: u8, body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEADER_BYTES + body.len());
    out.put_u32(1 + body.len() as u32);
    out.put_u8(frame_type);
    out.put_slice(body);
    out.freeze()
}

/// Encodes a call with its parts.
pub fn encode_call(parts: &[CallPart]) -> Bytes {
    let mut body = Vec::new();
    for part in parts {
        let key = part.idempotency_key.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let wait_ms = part.time_left.as_micros() / 1000;
        let head = format!("{} {} d={wait_ms}{key} {}\n", part.id, part.shard, part.text.len());
        body.extend_from_slice(head.as_bytes());
        body.extend_from_slice(part.text.as_bytes());
    }
    frame(CALL, &body)
}

/// Encodes the cancellation of a part.
pub fn encode_cancel(id: &str) -> Bytes {
    frame(CANCEL, id.as_bytes())
}

/// Encodes a load probe, which requests a load report.
pub fn encode_load_probe() -> Bytes {
    frame(LOAD, b"")
}

/// Encodes a ping, which the replica answers with a pong.
pub fn encode_ping() -> Bytes {
    frame(PING, b"")
}

/// Removes the first complete frame from the buffer and decodes it; `None` if the buffer holds no complete frame.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<ReplicaFrame>, FrameError> {
    let Some(head) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength);
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let frame_type = buffer.get_u8();
    let body = buffer.split_to(length - 1);
    let body = std::str::from_utf8(&body).map_err(|_| FrameError::InvalidUtf8)?;
    decode(frame_type, body).map(Some)
}

fn decode(frame_type: u8, body: &str) -> Result<ReplicaFrame, FrameError> {
    match frame_type {
        ANSWER => decode_answer(body),
        PING => match outcome_from_wire(body) {
            Some(outcome @ (AttemptOutcome::Success | AttemptOutcome::Fault)) => {
                Ok(ReplicaFrame::Pong(outcome))
            }
            _ => Err(FrameError::InvalidPong),
        },
        LOAD if body == "err" => Ok(ReplicaFrame::Load(AttemptOutcome::Fault, None)),
        LOAD => Ok(ReplicaFrame::Load(AttemptOutcome::Success, decode_load(body))),
        ERROR => Ok(ReplicaFrame::Error(body.to_string())),
        _ => Err(FrameError::UnknownType),
    }
}

fn decode_answer(body: &str) -> Result<ReplicaFrame, FrameError> {
    let (line, value) = body.split_once('\n').ok_or(FrameError::InvalidAnswerLine)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, status, score, load] = words[..] else { return Err(FrameError::InvalidAnswerLine) };
    let outcome = outcome_from_wire(status).ok_or(FrameError::UnknownOutcome)?;
    if id.is_empty() || !score.parse().is_ok_and(f64::is_finite) {
        return Err(FrameError::InvalidAnswerFields);
    }
    // If the length of a frame is wrong, its value is empty or contains the header of the next frame.
    if outcome == AttemptOutcome::Success && (value.is_empty() || value.contains('\0')) {
        return Err(FrameError::InvalidAnswerValue);
    }
    let report = decode_load(load);
    Ok(ReplicaFrame::Answer { id: id.to_string(), outcome, report, value: value.to_string() })
}

/// Decodes a load report: `name=value` pairs separated by commas, or `-` for no report. Unknown names are skipped. Each
/// value has two accepted names: the first is from the protocol's example, the second is the one in the settings and is
/// used by replicas. A malformed report is ignored, since the answer that carries it is still valid.
fn decode_load(text: &str) -> Option<LoadReport> {
    if text == "-" || text.is_empty() {
        return None;
    }
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let field = match name {
            "queue" | "backlog" => &mut report.queued,
            "inflight" | "outstanding" => &mut report.in_flight,
            _ => continue,
        };
        *field = Some(value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)?);
    }
    Some(report)
}
