//! Exit codes of the program.

/// Done.
pub(crate) const SUCCESS: i32 = 0;
/// Not done, or a promise not kept.
pub(crate) const FAILURE: i32 = 1;
/// A faulty file, variable or argument.
pub(crate) const INVALID_CONFIG: i32 = 2;
