//! Frames between coordinators and replicas: four bytes of length (most significant first), a letter, and the rest.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;

use super::connection_end::outcome_from_wire;

/// Longest frame taken from a replica, in bytes: as much as any message body of the protocol may hold.
const MAX_FRAME: usize = 64 * 1024;
/// Bytes of a frame's length and letter.
const HEADER: usize = 5;

const CALL: u8 = b'Q';
const CANCEL: u8 = b'X';
const ANSWER: u8 = b'A';
const PING: u8 = b'P';
const LOAD: u8 = b'L';
const ERROR: u8 = b'E';

/// One part of a call, as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    /// The part's id.
    pub id: Rc<str>,
    /// The shard asked.
    pub shard: u32,
    /// For how long the answer is waited for.
    pub time_left: TimeSpan,
    /// The client's key, by which replicas recognize a repeat.
    pub idempotency_key: Option<Arc<str>>,
    /// What is asked.
    pub text: Arc<str>,
}

/// What the decisions read of a replica's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Parts that wait at the replica.
    pub queued: Option<f64>,
    /// Parts that the replica works on.
    pub in_flight: Option<f64>,
}

/// What a replica sends.
#[derive(Debug, PartialEq)]
pub enum ReplicaFrame {
    /// The answer to one part.
    Answer {
        /// The part's id.
        id: String,
        /// How the part ended.
        outcome: AttemptOutcome,
        /// The load, where the replica says.
        report: Option<LoadReport>,
        /// The part's value; empty unless it succeeded.
        value: String,
    },
    /// The answer to a ping.
    Pong(AttemptOutcome),
    /// The answer to a load probe.
    Load(AttemptOutcome, Option<LoadReport>),
    /// The replica could not use a frame, and why.
    Error(String),
}

/// Why a frame can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is 0 or over the limit.
    #[error("its length is 0 or over {MAX_FRAME}")]
    Length,
    /// The rest is not UTF-8.
    #[error("it is not UTF-8")]
    Encoding,
    /// No frame has that letter.
    #[error("its letter is not known")]
    Letter,
    /// A pong has another word than `ok` or `err`.
    #[error("a pong is neither ok nor err")]
    Pong,
    /// An answer has no line of four words.
    #[error("an answer has no line of four words")]
    AnswerLine,
    /// An answer's outcome is not known.
    #[error("an answer has an unknown outcome")]
    AnswerOutcome,
    /// An answer's id is empty or its score is not a number.
    #[error("an answer lacks its id or score")]
    AnswerFields,
    /// An answer's value is empty or holds another frame's header.
    #[error("an answer has no value, or another frame in it")]
    AnswerValue,
}

fn frame(letter: u8, rest: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEADER + rest.len());
    out.put_u32(1 + rest.len() as u32);
    out.put_u8(letter);
    out.put_slice(rest);
    out.freeze()
}

/// One call with its parts.
pub fn encode_call(parts: &[CallPart]) -> Bytes {
    let mut rest = Vec::new();
    for part in parts {
        let key = part.idempotency_key.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let wait_ms = part.time_left.as_micros() / 1000;
        let head = format!("{} {} d={wait_ms}{key} {}\n", part.id, part.shard, part.text.len());
        rest.extend_from_slice(head.as_bytes());
        rest.extend_from_slice(part.text.as_bytes());
    }
    frame(CALL, &rest)
}

/// Tells the replica that nobody waits for the part any more.
pub fn encode_cancel(id: &str) -> Bytes {
    frame(CANCEL, id.as_bytes())
}

/// Asks for a load report.
pub fn encode_load_probe() -> Bytes {
    frame(LOAD, b"")
}

/// Asks for a sign of life.
pub fn encode_ping() -> Bytes {
    frame(PING, b"")
}

/// Takes the first whole frame out of the buffer, if there is one.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<ReplicaFrame>, FrameError> {
    let Some(head) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MAX_FRAME {
        return Err(FrameError::Length);
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let letter = buffer.get_u8();
    let rest = buffer.split_to(length - 1);
    let rest = std::str::from_utf8(&rest).map_err(|_| FrameError::Encoding)?;
    decode(letter, rest).map(Some)
}

fn decode(letter: u8, rest: &str) -> Result<ReplicaFrame, FrameError> {
    match letter {
        ANSWER => decode_answer(rest),
        PING => match outcome_from_wire(rest) {
            Some(outcome @ (AttemptOutcome::Success | AttemptOutcome::Fault)) => {
                Ok(ReplicaFrame::Pong(outcome))
            }
            _ => Err(FrameError::Pong),
        },
        LOAD if rest == "err" => Ok(ReplicaFrame::Load(AttemptOutcome::Fault, None)),
        LOAD => Ok(ReplicaFrame::Load(AttemptOutcome::Success, decode_load(rest))),
        ERROR => Ok(ReplicaFrame::Error(rest.to_string())),
        _ => Err(FrameError::Letter),
    }
}

fn decode_answer(rest: &str) -> Result<ReplicaFrame, FrameError> {
    let (line, value) = rest.split_once('\n').ok_or(FrameError::AnswerLine)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, word, score, load] = words[..] else { return Err(FrameError::AnswerLine) };
    let outcome = outcome_from_wire(word).ok_or(FrameError::AnswerOutcome)?;
    if id.is_empty() || !score.parse().is_ok_and(f64::is_finite) {
        return Err(FrameError::AnswerFields);
    }
    // Where a length does not fit, the value is empty or holds the next frame's header.
    if outcome == AttemptOutcome::Success && (value.is_empty() || value.contains('\0')) {
        return Err(FrameError::AnswerValue);
    }
    let report = decode_load(load);
    Ok(ReplicaFrame::Answer { id: id.to_string(), outcome, report, value: value.to_string() })
}

/// `name=value` pairs separated by commas, or `-`; unknown names are skipped. The protocol's example has the first of the two
/// names of each value, replicas use the second, which the settings have. A report that can't be read counts as none: the
/// answer that it comes with is good.
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
