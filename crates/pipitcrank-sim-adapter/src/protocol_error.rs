//! Errors that end a session.

use std::io;

/// Malformed input, or a failure to read input or write output. Lines are numbered from 1.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    #[error("line {line}: failed to read the input: {source}")]
    ReadFailed { line: u64, source: io::Error },
    #[error("line {line}: failed to write the reply: {source}")]
    WriteFailed { line: u64, source: io::Error },
    #[error("line {line}: the input ends inside a batch, before its COMMIT")]
    IncompleteBatch { line: u64 },
    #[error("line {line}: the input ends inside an endpoint list")]
    IncompleteList { line: u64 },
    #[error("line {line}: '{keyword}' outside a batch; expected MARK")]
    OutsideBatch { line: u64, keyword: String },
    #[error("line {line}: {keyword}: field '{field}' {reason}")]
    InvalidField { line: u64, keyword: String, field: String, reason: String },
}
