//! What is wrong with the input, in plain words.

use std::io;

/// Malformed input, or a stream that failed. Lines are counted from 1.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    #[error("line {line}: cannot be read: {source}")]
    NotRead { line: u64, source: io::Error },
    #[error("line {line}: reply not written: {source}")]
    NotWritten { line: u64, source: io::Error },
    #[error("line {line}: the input ends inside a batch")]
    EndsInBatch { line: u64 },
    #[error("line {line}: the input ends inside a list")]
    EndsInList { line: u64 },
    #[error("line {line}: '{word}' outside a batch")]
    OutsideBatch { line: u64, word: String },
    #[error("line {line}: {word}: field '{field}' {reason}")]
    Field { line: u64, word: String, field: String, reason: String },
}
