//! Exit codes of the program.

/// The command succeeded.
pub(crate) const SUCCESS: i32 = 0;
/// The command failed, or a check of a trial failed.
pub(crate) const FAILURE: i32 = 1;
/// A file, variable or argument is invalid.
pub(crate) const INVALID_CONFIG: i32 = 2;
