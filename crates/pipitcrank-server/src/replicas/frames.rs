//! The frames that co-ordinators and replicas exchange: four bytes of length (most significant first), a letter,
//! and the rest. Decoded once into a small value, encoded once.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;

use crate::replicas::connection_end::outcome_from_wire;

/// Longest frame taken from a replica: as much as any message body of the protocol may hold.
const MOST: usize = 64 * 1024;

/// One part of a call, as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    pub id: Rc<str>,
    pub shard: u32,
    pub time_left: TimeSpan,
    /// As the client gave it: replicas know a repeat by it.
    pub idempotency_key: Option<Arc<str>>,
    pub text: Arc<str>,
}

/// A load report: what the decisions read of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub queued: Option<f64>,
    pub in_flight: Option<f64>,
}

/// What a replica sends.
#[derive(Debug, PartialEq)]
pub enum ReplicaFrame {
    Answer { id: String, outcome: AttemptOutcome, report: Option<LoadReport>, value: String },
    Alive(AttemptOutcome),
    Load(AttemptOutcome, Option<LoadReport>),
    Complaint(String),
}

#[derive(Debug, PartialEq)]
pub struct FrameError(&'static str);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

fn frame(letter: u8, rest: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(5 + rest.len());
    out.put_u32(1 + rest.len() as u32);
    out.put_u8(letter);
    out.put_slice(rest);
    out.freeze()
}

/// One call with its parts.
pub fn call(parts: &[CallPart]) -> Bytes {
    let mut rest = Vec::new();
    for part in parts {
        let key = part.idempotency_key.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let wait_ms = part.time_left.as_micros() / 1000;
        let head = format!("{} {} d={wait_ms}{key} {}\n", part.id, part.shard, part.text.len());
        rest.extend_from_slice(head.as_bytes());
        rest.extend_from_slice(part.text.as_bytes());
    }
    frame(b'Q', &rest)
}

pub fn give_up(id: &str) -> Bytes {
    frame(b'X', id.as_bytes())
}

pub fn load_probe() -> Bytes {
    frame(b'L', b"")
}

pub fn ping() -> Bytes {
    frame(b'P', b"")
}

/// Takes the first whole frame from the buffer, if there is one.
pub fn take(buffer: &mut BytesMut) -> Result<Option<ReplicaFrame>, FrameError> {
    let Some(head) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MOST {
        return Err(FrameError("its length is none or too much"));
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let letter = buffer.get_u8();
    let rest = buffer.split_to(length - 1);
    let rest = std::str::from_utf8(&rest).map_err(|_| FrameError("it is not UTF-8"))?;
    match letter {
        b'A' => answer(rest).map(Some),
        b'P' => match outcome_from_wire(rest) {
            Some(outcome @ (AttemptOutcome::Success | AttemptOutcome::Fault)) => {
                Ok(Some(ReplicaFrame::Alive(outcome)))
            }
            _ => Err(FrameError("a probe's answer is neither ok nor err")),
        },
        b'L' if rest == "err" => Ok(Some(ReplicaFrame::Load(AttemptOutcome::Fault, None))),
        b'L' => Ok(Some(ReplicaFrame::Load(AttemptOutcome::Success, report(rest)))),
        b'E' => Ok(Some(ReplicaFrame::Complaint(rest.to_string()))),
        _ => Err(FrameError("its letter is not known")),
    }
}

fn answer(rest: &str) -> Result<ReplicaFrame, FrameError> {
    let (line, value) = rest.split_once('\n').ok_or(FrameError("an answer has no line"))?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, word, score, load] = words[..] else {
        return Err(FrameError("an answer's line has not four words"));
    };
    let outcome = outcome_from_wire(word).ok_or(FrameError("an answer ends in no known way"))?;
    if id.is_empty() || !score.parse().is_ok_and(f64::is_finite) {
        return Err(FrameError("an answer lacks its id or score"));
    }
    // Guards against a length that does not fit: a value with the next frame's head in it, or nothing at all, is not
    // what a part was asked for.
    if outcome == AttemptOutcome::Success && (value.is_empty() || value.contains('\0')) {
        return Err(FrameError("an answer has no value, or another frame in it"));
    }
    Ok(ReplicaFrame::Answer { id: id.to_string(), outcome, report: report(load), value: value.to_string() })
}

/// `name=value` pairs set apart by commas, or `-`. Names not known are left. The protocol's example has the first
/// name of each, replicas use the second, that of the settings: read under one alone, reports told nothing. A report
/// that can't be read tells nothing, but the answer it comes with is good: it was thrown away once, with all else
/// out on the connection.
fn report(text: &str) -> Option<LoadReport> {
    if text == "-" || text.is_empty() {
        return None;
    }
    let mut found = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let place = match name {
            "queue" | "backlog" => &mut found.queued,
            "inflight" | "outstanding" => &mut found.in_flight,
            _ => continue,
        };
        *place = Some(value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?);
    }
    Some(found)
}
